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
 * The agent that serves one upstream: it owns flows, runs their requests, and hands the flows over to other
 * agents when it drains. It starts each attempt of a request at most once; a request of another kind than
 * ONCE runs again if the caller sends a new attempt, and feeds and transfers are resumed on a new connection
 * to the upstream. It is a state machine without I/O: events are passed in with a timestamp, actions are
 * emitted through the sink from within oh_agent_core_handle. Pointers in an action are valid only during the
 * emit call.
 */

typedef struct
{
  const char *name; /* of the upstream; the strings must outlive the core */
  const char *service_name;
  const char *zone;
  uint64_t service;     /* id derived from service_name */
  uint64_t incarnation; /* random, new for each start of the process */
  oh_address_t relay;   /* where balancers send this agent's datagrams; part of its tokens */
  unsigned slots;       /* requests that the upstream may run at once */
  unsigned max_flows;
  int64_t drain_limit_ms; /* a planned stop ends after this time even if flows are left */
} oh_agent_config_t;

typedef enum
{
  OH_AGENT_EVENT_RELAY,        /* a datagram arrived */
  OH_AGENT_EVENT_TIMER,        /* the armed time is reached; an early event is harmless */
  OH_AGENT_EVENT_UPSTREAM,     /* see ports/upstream.h */
  OH_AGENT_EVENT_VIEW,         /* the view changed */
  OH_AGENT_EVENT_PEER_REQUEST, /* another agent hands over a flow */
  OH_AGENT_EVENT_PEER_REPLY,   /* a peer's answer to a flow state that this agent sent */
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
      GBytes *peer; /* identifies the sender; passed back in OH_AGENT_ACTION_REPLY_PEER */
      const Oh__FlowState *state;
    } peer_request;
    const Oh__FlowStateReply *peer_reply;
  };
} oh_agent_event_t;

typedef enum
{
  OH_AGENT_ACTION_SEND,      /* a datagram */
  OH_AGENT_ACTION_ARM_TIMER, /* due_us replaces the time armed before */
  OH_AGENT_ACTION_START,     /* this and the next three: calls of ports/upstream.h */
  OH_AGENT_ACTION_CANCEL,
  OH_AGENT_ACTION_ABANDON,
  OH_AGENT_ACTION_SET_PAUSED,
  OH_AGENT_ACTION_SEND_PEER,  /* hands a flow over to another agent */
  OH_AGENT_ACTION_REPLY_PEER, /* answers OH_AGENT_EVENT_PEER_REQUEST */
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

/* Receiver of actions; embedded as the first member of its implementation. */
struct oh_agent_sink
{
  void (*emit) (oh_agent_sink_t *sink, const oh_agent_action_t *action);
};

typedef struct
{
  oh_counter_t packets;
  oh_counter_t packets_rejected; /* malformed, of another service, or the seal or token does not verify */
  oh_counter_t packets_stale;    /* of an earlier generation or attempt, or outside the request window */
  oh_counter_t duplicates;       /* of requests */
  oh_counter_t gone;             /* Gone packets sent */
  oh_counter_t opens;
  oh_counter_t opens_refused;
  oh_counter_t requests_run;
  oh_counter_t requests_refused;
  oh_counter_t requests_unknown;
  oh_counter_t chunks_sent;
  oh_counter_t chunks_retransmitted;
  oh_counter_t slots_offered;
  oh_counter_t slots_busy;
  oh_counter_t queued;
  oh_counter_t flows;
  oh_counter_t flows_moved;    /* handed over to other agents */
  oh_counter_t flows_received; /* handed over by other agents */
} oh_agent_counters_t;

typedef struct
{
  oh_agent_config_t config;
  const oh_keyring_t *keyring; /* borrowed; the daemon advances it */
  oh_random_t *random;
  oh_agent_sink_t *sink; /* set during oh_agent_core_handle, NULL otherwise */
  int64_t now_us;        /* time of the event being handled */
  const oh_view_t *view; /* borrowed; NULL before the first view event */

  oh_flow_table_t flows;
  oh_request_queue_t queue;
  oh_upstream_health_t health;
  oh_handover_targets_t targets;

  GHashTable *runs;   /* id -> oh_run_t, requests at the upstream */
  oh_list_t run_list; /* of oh_run_t, in the order of their start */
  uint64_t last_run_id;
  unsigned busy;               /* occupied slots */
  unsigned busy_lower_classes; /* of them by requests of classes other than 0 */

  oh_list_t ready;  /* of oh_flow_entry_t with chunks to send, in round-robin order */
  oh_list_t timers; /* of oh_flow_entry_t with a retransmission or restart due */

  bool stopping;
  bool draining;
  bool zone_drained;   /* no new flows are taken; open ones stay */
  bool exited;         /* OH_AGENT_ACTION_EXIT was emitted */
  bool no_peer_logged; /* limits handover_without_peer to one line until a peer is found */
  int64_t stop_us;
  int64_t drain_us;

  uint64_t report_sequence; /* of the last load sent to a balancer; every relay message carries one */
  int64_t last_report_us;   /* time of the last load report */
  bool load_changed;        /* since the last load report */
  unsigned pending_offers;  /* tokens issued that no packet has used and that have not expired */
  uint64_t last_offer_id;
  int64_t next_sweep_us; /* next check for idle flows and expired offers */
  int64_t armed_us;

  oh_arena_t relay_arena;
  oh_arena_t packet_arena;
  oh_agent_counters_t counters;
} oh_agent_core_t;

/* config is copied; keyring and random are borrowed. Registers the agent's metrics with counters. */
void oh_agent_core_init (oh_agent_core_t *core, const oh_agent_config_t *config, const oh_keyring_t *keyring,
                         oh_random_t *random, oh_counters_t *counters);
void oh_agent_core_finish (oh_agent_core_t *core);

/* Handles one event; actions are emitted through the sink during the call. */
void oh_agent_core_handle (oh_agent_core_t *core, const oh_agent_event_t *event, oh_agent_sink_t *sink);

/* Fills load and agent with the current load. load borrows the upstream's name from the core's configuration
 * and points to agent. */
void oh_agent_core_load (const oh_agent_core_t *core, int64_t now_us, Oh__Load *load, Oh__Address *agent);
