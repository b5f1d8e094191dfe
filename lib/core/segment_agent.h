#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/list.h"
#include "base/log.h"
#include "core/codec.h"
#include "core/segment.h"
#include "core/upstream_identity.h"

/*
 * The agent's decisions about flows whose ends do not speak the caller protocol. It stands between the
 * balancers and one upstream, sees both directions of every flow there, and is the last authority on what the
 * upstream gets: it refuses a first segment that is for another service, or that the upstream should not take
 * now, and delivers later segments only to flows that the upstream holds.
 *
 * A state machine without I/O. What an action points to is valid during the call.
 */

enum
{
  OH_SEGMENT_AGENT_TICK_MS = 50,
  OH_SEGMENT_REPORT_MS = 500,       /* between load reports while nothing changes */
  OH_SEGMENT_UNANSWERED_MS = 100,   /* an upstream answers a first segment within a few milliseconds */
  OH_SEGMENT_FIRST_MAX_BYTES = 128, /* a first segment carries no data */
  OH_SEGMENT_BUSY_MAX_MS = 10000,   /* a request without an answer for this time counts as given up */
  OH_SEGMENT_LEAVE_MS = 500,        /* from the announcement that an upstream leaves to its exit, at most */
  OH_SEGMENT_ADMIT_PER_SLOT = 3,    /* requests at the upstream or about to come, for each slot */
  OH_SEGMENT_ADMIT_WARMING = 2,     /* the same while the upstream is slow after its start */
  OH_SEGMENT_FRESH_MS = 300,        /* a flow that opens brings a request within this time, or is idle */
  /* An upstream that started less than this before its agent has no flows of an earlier agent process: it
   * takes longer to start one anew and to open a flow through it. */
  OH_SEGMENT_SAME_START_MS = 500,
  OH_SEGMENT_UNANNOUNCED_BEATS = 3, /* heartbeats after which an upstream that has not been heard is gone */
  OH_SEGMENT_SUSPECT_FIRSTS = 2,    /* first segments in a row without an answer that make a suspect */
  OH_SEGMENT_ASK_FLOWS_MAX = 128,   /* flows that one question names */
  OH_SEGMENT_AGENT_LOG_BYTES = 400,
};

typedef enum
{
  OH_SEGMENT_AGENT_RELAY,    /* a datagram from a balancer */
  OH_SEGMENT_AGENT_UPSTREAM, /* a datagram from the upstream */
  OH_SEGMENT_AGENT_ANNOUNCED,
  OH_SEGMENT_AGENT_TICK, /* every OH_SEGMENT_AGENT_TICK_MS */
} oh_segment_agent_event_kind_t;

typedef struct
{
  oh_segment_agent_event_kind_t kind;
  int64_t now_us;
  union
  {
    struct
    {
      uint8_t *bytes;
      size_t length;
    } datagram;
    const oh_announcement_t *announcement;
  };
} oh_segment_agent_event_t;

typedef struct oh_segment_agent_sink oh_segment_agent_sink_t;

typedef struct
{
  void (*send_upstream) (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length);
  /* The adapter knows the port at which callers take segments. */
  void (*send_caller) (oh_segment_agent_sink_t *sink, oh_address_t caller, const uint8_t *bytes,
                       size_t length);
  void (*send_balancer) (oh_segment_agent_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length);
  /* A load report for every balancer. */
  void (*report) (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length);
  /* What the agent announces to the control replicas has changed. */
  void (*changed) (oh_segment_agent_sink_t *sink);
  void (*log) (oh_segment_agent_sink_t *sink, oh_log_level_t level, const char *event, const char *pairs);
} oh_segment_agent_sink_ops_t;

struct oh_segment_agent_sink
{
  const oh_segment_agent_sink_ops_t *ops;
};

typedef enum
{
  OH_AGENT_FLOW_OPENING, /* the first segment was delivered */
  OH_AGENT_FLOW_OPEN,
  OH_AGENT_FLOW_PROBED, /* unknown here; one segment was delivered to learn whether the upstream holds it */
  OH_AGENT_FLOW_ABSENT, /* the upstream does not hold it */
} oh_agent_flow_state_t;

typedef struct
{
  oh_flow_key_t key;
  uint64_t digest; /* of the key */
  oh_agent_flow_state_t state;
  unsigned generation; /* of the upstream that holds it */
  oh_address_t balancer;
  uint32_t first_sequence;      /* of the caller's first segment */
  bool answered;                /* the upstream answered the first segment */
  uint32_t answer_sequence;     /* of that answer */
  uint32_t caller_acknowledged; /* in the caller's last segment */
  uint32_t search;              /* question that a probe answers */
  bool waiting;                 /* a request was delivered and nothing has come back yet */
  bool closed;
  int64_t waiting_us;
  int64_t opened_us;
  int64_t used_us;
  size_t first_length;
  uint8_t first[OH_SEGMENT_FIRST_MAX_BYTES]; /* while the upstream has not answered it */
  oh_list_t by_use;
  oh_list_t opening; /* in the list of unanswered first segments */
  oh_list_t fresh;   /* in the list of flows that have brought no request yet */
} oh_agent_flow_t;

typedef struct
{
  oh_counter_t delivered;  /* segments to the upstream */
  oh_counter_t returned;   /* segments that the upstream gave back */
  oh_counter_t sent;       /* segments to callers */
  oh_counter_t opened;     /* flows */
  oh_counter_t refused;    /* first segments */
  oh_counter_t unanswered; /* first segments that the upstream left unanswered */
  oh_counter_t probes;     /* segments delivered to learn whether the upstream holds the flow */
  oh_counter_t searches;   /* flows that balancers asked for */
  oh_counter_t absent;     /* segments of flows that are not here */
  oh_counter_t resets;     /* of flows whose upstream is gone */
  oh_counter_t dropped_malformed;
  oh_counter_t dropped_bad_seal;
  oh_counter_t announcements;
  oh_counter_t announcements_stale;
  oh_counter_t flows;           /* gauge */
  oh_counter_t waiting;         /* gauge: requests without an answer */
  oh_counter_t first_latency;   /* stands for the histogram */
  oh_counter_t request_latency; /* stands for the histogram */
} oh_segment_agent_counters_t;

typedef struct
{
  const oh_segment_format_t *format;
  const char *name; /* must outlive the agent */
  const char *zone;
  uint64_t incarnation; /* random, new for each start of the process */
  oh_address_t relay;
  int64_t heartbeat_ms; /* of the upstream */
  int64_t flow_timeout_ms;
  unsigned max_flows;
  int64_t started_ms; /* time of day at the start of the process */
  int64_t started_us; /* the same on the clock of the events */
} oh_segment_agent_config_t;

typedef struct
{
  oh_segment_agent_config_t config;
  oh_keyring_t keyring;
  oh_upstream_identity_t identity;
  bool complete;         /* no flow of the upstream was opened before this process had its records */
  GHashTable *flows;     /* of oh_agent_flow_t, owned */
  GHashTable *by_digest; /* the same, by the digest of the key */
  oh_list_t by_use;      /* least recently used first */
  oh_list_t opening;     /* flows whose first segment is not answered, oldest first */
  unsigned n_opening;
  oh_list_t fresh; /* flows that have brought no request yet, oldest first */
  unsigned n_fresh;
  unsigned n_open;
  unsigned n_waiting;
  unsigned unanswered_firsts; /* in a row */
  uint64_t report_sequence;
  int64_t reported_us;
  oh_segment_agent_counters_t counters;
  oh_histogram_t first_seconds;
  oh_histogram_t request_seconds;
  int64_t now_us;
  oh_segment_agent_sink_t *sink; /* valid while an event is handled */
  oh_arena_t arena;
  uint8_t out[OH_RELAY_MAX_BYTES];
} oh_segment_agent_t;

/* Copies the keyring. */
void oh_segment_agent_init (oh_segment_agent_t *agent, const oh_segment_agent_config_t *config,
                            const oh_keyring_t *keyring);
void oh_segment_agent_finish (oh_segment_agent_t *agent);
void oh_segment_agent_add_counters (oh_segment_agent_t *agent, oh_counters_t *counters);
void oh_segment_agent_handle (oh_segment_agent_t *agent, const oh_segment_agent_event_t *event,
                              oh_segment_agent_sink_t *sink);

/* Fills the load report for the control replicas; address is written into *relay. */
void oh_segment_agent_load (oh_segment_agent_t *agent, int64_t now_us, Oh__Load *load, Oh__Address *relay);

/* Name of the service that the upstream announced, "" before its first announcement. */
const char *oh_segment_agent_service (const oh_segment_agent_t *agent);

/*
 * True if the agent takes part in the deployment: its upstream has announced itself, or may do so soon. Until
 * it does, the agent is listed without a service, so that balancers search their flows here.
 */
bool oh_segment_agent_is_listed (const oh_segment_agent_t *agent, int64_t now_us);
