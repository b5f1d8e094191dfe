#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/log.h"
#include "core/flow_table.h"
#include "core/handover_target.h"
#include "core/keyring.h"
#include "core/request_queue.h"
#include "core/upstream_health.h"
#include "core/view.h"
#include "ports/random.h"
#include "ports/upstream.h"

/*
 * The agent beside one upstream: owns flows, runs each request at most once, hands flows over when it drains.
 * A state machine without I/O: events go in with their time, actions come out through the sink, called from
 * within oh_agent_core_handle. What an action points to is valid during the call.
 */

typedef struct
{
  const char *name; /* strings must outlive the core */
  const char *service_name;
  uint64_t service;
  uint64_t incarnation; /* random, new for each start of the process */
  oh_address_t relay;   /* address that tokens name */
  unsigned slots;
  unsigned max_flows;
  int64_t drain_limit_ms;
} oh_agent_config_t;

typedef enum
{
  OH_AGENT_EVENT_RELAY,        /* a datagram arrived */
  OH_AGENT_EVENT_TIMER,        /* the armed time has come; calls at other times do no harm */
  OH_AGENT_EVENT_UPSTREAM,     /* see ports/upstream.h */
  OH_AGENT_EVENT_VIEW,         /* the view changed */
  OH_AGENT_EVENT_PEER_REQUEST, /* flow state from another agent */
  OH_AGENT_EVENT_PEER_REPLY,   /* answer to flow state sent */
  OH_AGENT_EVENT_STOP,         /* planned stop of the process */
} oh_agent_event_kind_t;

typedef struct
{
  oh_agent_event_kind_t kind;
  int64_t now_us;
  union
  {
    struct
    {
      const uint8_t *bytes;
      size_t length;
    } relay;
    const oh_upstream_event_t *upstream;
    const oh_view_t *view; /* must stay valid until the next view event */
    struct
    {
      GBytes *peer; /* to whom the reply goes */
      const Oh__FlowState *state;
    } peer_request;
    const Oh__FlowStateReply *peer_reply;
  };
} oh_agent_event_t;

typedef enum
{
  OH_AGENT_ACTION_SEND,      /* a datagram */
  OH_AGENT_ACTION_ARM_TIMER, /* replaces the time armed before */
  OH_AGENT_ACTION_START,     /* request to the upstream, see ports/upstream.h for these four */
  OH_AGENT_ACTION_CANCEL,
  OH_AGENT_ACTION_ABANDON,
  OH_AGENT_ACTION_SET_PAUSED,
  OH_AGENT_ACTION_SEND_PEER,
  OH_AGENT_ACTION_REPLY_PEER,
  OH_AGENT_ACTION_LOG,
  OH_AGENT_ACTION_EXIT, /* the planned stop is complete */
} oh_agent_action_kind_t;

typedef struct
{
  oh_agent_action_kind_t kind;
  union
  {
    struct
    {
      oh_address_t to;
      const uint8_t *bytes;
      size_t length;
    } send;
    int64_t due_us;
    const oh_upstream_request_t *start;
    struct
    {
      uint64_t id;
      bool paused;
    } request;
    struct
    {
      const char *endpoint;
      const Oh__FlowState *state;
    } peer;
    struct
    {
      GBytes *peer;
      const Oh__FlowStateReply *reply;
    } reply;
    struct
    {
      oh_log_level_t level;
      const char *event;
      const char *pairs;
    } log;
  };
} oh_agent_action_t;

typedef struct oh_agent_sink oh_agent_sink_t;

struct oh_agent_sink
{
  void (*emit) (oh_agent_sink_t *sink, const oh_agent_action_t *action);
};

typedef struct
{
  oh_counter_t packets;
  oh_counter_t packets_rejected; /* malformed, or the seal or token does not verify */
  oh_counter_t packets_stale;    /* of an earlier generation, below the floor, or above the window */
  oh_counter_t duplicates;
  oh_counter_t gone;
  oh_counter_t opens;
  oh_counter_t opens_refused;
  oh_counter_t requests_run;
  oh_counter_t requests_refused;
  oh_counter_t requests_unknown;
  oh_counter_t chunks_sent;
  oh_counter_t chunks_repeated;
  oh_counter_t slots_offered;
  oh_counter_t slots_busy;
  oh_counter_t queued;
  oh_counter_t flows;
  oh_counter_t flows_moved;
  oh_counter_t flows_received;
} oh_agent_counters_t;

typedef struct
{
  oh_agent_config_t config;
  const oh_keyring_t *keyring; /* borrowed; the daemon advances it */
  oh_random_t *random;
  oh_agent_sink_t *sink; /* during handle */
  int64_t now_us;        /* during handle */
  const oh_view_t *view; /* borrowed; NULL before the first one */

  oh_flow_table_t flows;
  oh_request_queue_t queue;
  oh_upstream_health_t health;
  oh_handover_targets_t targets;

  GHashTable *runs; /* id -> request at the upstream */
  oh_list_t run_list;
  uint64_t last_run;
  unsigned busy; /* occupied slots */
  unsigned busy_other;

  oh_list_t ready;  /* entries with chunks to send, in round robin order */
  oh_list_t timers; /* entries with something due */

  bool stopping;
  bool draining;
  bool exited;
  bool no_peer_logged;
  int64_t stop_us;
  int64_t drain_us;

  uint64_t report_sequence;
  int64_t report_us; /* time of the last load report */
  bool report_changed;
  unsigned offers;
  uint64_t last_offer; /* number of the last token given out for a new owner */
  int64_t sweep_us;    /* next look at idle flows and expired offers */
  int64_t armed_us;

  oh_arena_t relay_arena;
  oh_arena_t packet_arena;
  oh_agent_counters_t counters;
} oh_agent_core_t;

void oh_agent_core_init (oh_agent_core_t *core, const oh_agent_config_t *config, const oh_keyring_t *keyring,
                         oh_random_t *random, oh_counters_t *counters);
void oh_agent_core_finish (oh_agent_core_t *core);

void oh_agent_core_handle (oh_agent_core_t *core, const oh_agent_event_t *event, oh_agent_sink_t *sink);

/* Load as it stands now. load and agent refer to the core's configuration. */
void oh_agent_core_load (const oh_agent_core_t *core, int64_t now_us, Oh__Load *load, Oh__Address *agent);
