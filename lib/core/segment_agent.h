#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/list.h"
#include "base/log.h"
#include "core/admission.h"
#include "core/codec.h"
#include "core/position_waiters.h"
#include "core/request_wait.h"
#include "core/segment.h"
#include "core/upstream_identity.h"
#include "core/warmup_limit.h"

/*
 * Agent side of segment forwarding (see core/segment.h). The agent sits between the balancers and one
 * upstream and sees both directions of every flow there. It makes the final decision on what reaches the
 * upstream: it refuses a SYN that is for another service or that the upstream should not accept now, and
 * delivers other segments only if the upstream has, or may have, their flow.
 *
 * A state machine without I/O. Pointers passed to the sink are valid during the call only.
 */

enum
{
  OH_SEGMENT_AGENT_TICK_MS = 50,
  OH_SEGMENT_REPORT_INTERVAL_MS = 500,   /* between load reports while nothing changes */
  OH_SEGMENT_SYN_TIMEOUT_MS = 100,       /* a live upstream answers a SYN within a few milliseconds */
  OH_SEGMENT_SYN_MAX_BYTES = 128,        /* a SYN carries no data */
  OH_SEGMENT_REQUEST_TIMEOUT_MS = 10000, /* a request without a response for this long counts as abandoned */
  /* Between two times that a leaving upstream is asked whether it still runs; an upstream that runs and whose
   * process does not listen any more answers within this time. */
  OH_SEGMENT_ASK_INTERVAL_MS = 500,
  /* At a new start the upstream is asked about the flows that were used within this time, in which a response
   * may be outstanding; the others are asked about when their callers send something. */
  OH_SEGMENT_ASK_ACTIVE_MS = 5000,
  OH_SEGMENT_ASK_COPIES = 2, /* an upstream acknowledges every second segment */
  /* A new flow that brings no request within this time is idle. With an objective, see request_wait.h. */
  OH_SEGMENT_FIRST_REQUEST_MS = 300,
  /* An announcement may be handled this long after it was sent. */
  OH_SEGMENT_ANNOUNCEMENT_DELAY_MS = 1000,
  OH_SEGMENT_CLOCK_TOLERANCE_MS = 50, /* between two readings of the time of day on one VM */
  /* An agent without an announcement is listed for this many heartbeat intervals after its start; an upstream
   * that is running announces itself in that time. */
  OH_SEGMENT_UNANNOUNCED_HEARTBEATS = 3,
  /* At most this many segments of a flow are delivered to learn whether the upstream has it, within any
   * interval of this length: two, as an upstream acknowledges every second segment of a flow that it has. The
   * interval exceeds the 2 s in which three segments elsewhere break the flow by the delay of a probe. */
  OH_SEGMENT_PROBES_MAX = 2,
  OH_SEGMENT_PROBES_INTERVAL_MS = 2500,
  OH_SEGMENT_SUSPECT_SYNS = 2, /* consecutive unanswered SYNs after which the upstream is suspect */
  OH_SEGMENT_AGENT_QUERY_FLOWS_MAX = 128,  /* per query of a balancer */
  OH_SEGMENT_LIMIT_LOG_INTERVAL_MS = 1000, /* between log lines about the limit */
  OH_SEGMENT_AGENT_LOG_BYTES = 480,
};

typedef enum
{
  OH_SEGMENT_AGENT_RELAY,    /* a datagram from a balancer */
  OH_SEGMENT_AGENT_UPSTREAM, /* a datagram from the upstream */
  /* The operating system has refused a datagram to the upstream: no process is bound to its address. */
  OH_SEGMENT_AGENT_REFUSED,
  /* No process accepts TCP connections at the upstream's address any more, after one did. */
  OH_SEGMENT_AGENT_LISTENER_GONE,
  OH_SEGMENT_AGENT_TICK, /* every OH_SEGMENT_AGENT_TICK_MS */
} oh_segment_agent_event_kind_t;

/* An input of the state machine. */
typedef struct
{
  oh_segment_agent_event_kind_t kind;
  int64_t now_us;
  struct
  {
    uint8_t *bytes;
    size_t length;
  } datagram;
} oh_segment_agent_event_t;

typedef struct oh_segment_agent_sink oh_segment_agent_sink_t;

/* How the listener at the upstream's address is watched. */
typedef enum
{
  OH_LISTENER_IGNORED,
  OH_LISTENER_CHECKED, /* until it has accepted a connection */
  OH_LISTENER_POLLED,  /* until it refuses one */
} oh_listener_attention_t;

/* Outputs of the state machine, implemented by the adapter. */
typedef struct
{
  void (*send_upstream) (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length);
  /* The adapter supplies the port on which callers receive segments. */
  void (*send_caller) (oh_segment_agent_sink_t *sink, oh_address_t caller, const uint8_t *bytes,
                       size_t length);
  void (*send_balancer) (oh_segment_agent_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length);
  /* Sends a load report to balancers: a regular one, to those that are due (load_reports.h), or to all, since
   * the state of the upstream has changed. */
  void (*report) (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length, bool to_all);
  /* Sets how it is watched whether a process accepts TCP connections at the upstream's address. */
  void (*watch_listener) (oh_segment_agent_sink_t *sink, oh_listener_attention_t attention);
  /* Called when the data that the agent reports to the control replicas has changed. */
  void (*changed) (oh_segment_agent_sink_t *sink);
  /* pairs: key=value pairs of the event. */
  void (*log) (oh_segment_agent_sink_t *sink, oh_log_level_t level, const char *event, const char *pairs);
} oh_segment_agent_sink_ops_t;

struct oh_segment_agent_sink
{
  const oh_segment_agent_sink_ops_t *ops;
};

typedef enum
{
  OH_AGENT_FLOW_OPENING, /* the SYN was delivered */
  OH_AGENT_FLOW_OPEN,
  OH_AGENT_FLOW_PROBED, /* a segment was delivered to learn whether the upstream has the flow */
  OH_AGENT_FLOW_ABSENT, /* the upstream does not have it */
} oh_agent_flow_state_t;

/* The agent's record of a flow. */
typedef struct
{
  oh_flow_key_t key;
  uint64_t digest; /* of the key */
  oh_agent_flow_state_t state;
  unsigned generation;   /* of the upstream that has the flow */
  oh_address_t balancer; /* to which the agent reports about the flow */
  uint64_t service;      /* that the SYN was for; 0 if another process of the agent delivered it */
  uint32_t syn_sequence;
  bool answered;                            /* the upstream answered the SYN */
  uint32_t syn_ack_sequence;                /* of the upstream's last SYN-ACK */
  uint32_t caller_acknowledged;             /* by the caller's last segment */
  uint32_t query;                           /* number of the query that the probe answers; 0: none */
  unsigned n_probes;                        /* segments delivered as probes */
  int64_t probed_us[OH_SEGMENT_PROBES_MAX]; /* when the last ones were, as a ring */
  bool awaiting_response; /* a request was delivered and no response data has come back yet */
  bool closed;            /* by either end, or reset */
  bool lost;              /* the upstream does not have it any more, and the caller was reset */
  GBytes *last_data;      /* last segment with data that was delivered, while the flow is open, or NULL */
  bool overdue;           /* the request counts as lost, while awaiting_response */
  int64_t request_us;     /* when the request was delivered, while awaiting_response */
  int64_t opened_us;      /* when the record was added */
  int64_t used_us;        /* when the record last moved to the end of the lru list */
  size_t syn_length;
  uint8_t syn[OH_SEGMENT_SYN_MAX_BYTES]; /* the SYN itself, returned to the balancer if it is not answered */
  oh_list_t lru_link;
  oh_list_t opening_link;          /* in oh_segment_agent_t.opening while the SYN is unanswered */
  oh_list_t awaiting_request_link; /* in oh_segment_agent_t.awaiting_request */
  oh_list_t unanswered_link;       /* in oh_segment_agent_t.unanswered or overdue, while awaiting_response */
} oh_agent_flow_t;

typedef struct
{
  oh_counter_t delivered;          /* segments to the upstream */
  oh_counter_t returned;           /* segments that the upstream returned */
  oh_counter_t sent;               /* segments to callers */
  oh_counter_t opened;             /* flows */
  oh_counter_t refused;            /* SYNs */
  oh_counter_t positions_reported; /* load reports to balancers that waited for a position */
  oh_counter_t limited;            /* SYNs beyond the limit of a warming upstream */
  oh_counter_t unanswered;         /* SYNs that the upstream did not answer in time */
  oh_counter_t probes;             /* segments delivered to learn whether the upstream has the flow */
  oh_counter_t probes_held;        /* segments not delivered, as enough probes of the flow were */
  oh_counter_t searches;           /* flows that balancers searched for */
  oh_counter_t absent;             /* segments of flows that the upstream does not have */
  oh_counter_t resets;             /* of flows whose upstream is gone or has lost them */
  oh_counter_t dropped_malformed;
  oh_counter_t dropped_bad_seal;
  oh_counter_t announcements;
  oh_counter_t announcements_stale;
  oh_counter_t announcements_refused;
  oh_counter_t flows;                /* gauge */
  oh_counter_t requests_waiting;     /* gauge: requests without a response */
  oh_counter_t yielded;              /* SYNs refused as the rest of the limit is reserved */
  oh_counter_t lost_requests;        /* requests that counted as lost */
  oh_counter_t limit_decreases;      /* of the limit */
  oh_counter_t limit;                /* gauge: requests that may be at the upstream; 0: fixed limits apply */
  oh_counter_t reserved;             /* gauge: part of the limit for flows that do not yield */
  oh_counter_t service_us;           /* gauge: mean time that a slot works on a request */
  oh_counter_t first_answer_latency; /* registers first_answer_seconds */
  oh_counter_t request_latency;      /* registers request_seconds */
} oh_segment_agent_counters_t;

typedef struct
{
  const oh_segment_format_t *format;
  const char *name; /* must outlive the agent */
  const char *zone;
  uint64_t incarnation; /* random, new for each start of the process */
  oh_address_t relay;
  oh_address_t upstream;   /* where the upstream receives segments */
  int64_t heartbeat_ms;    /* between the upstream's announcements */
  int64_t flow_timeout_ms; /* a record unused for this long is removed */
  unsigned max_flows;      /* that the upstream may have open */
  int64_t started_ms;      /* time of day at the start of the process */
  int64_t started_us;      /* the same on the clock of the events (now_us) */
  /* Margin of the limit of new flows while the upstream is warming; an overshoot of 0 means 1. If both are 0,
   * the settings ask for no limit: the slack is one flow, and there is no limit while the services are not
   * known. */
  int64_t warmup_overshoot_milli;
  int64_t warmup_slack_milli;
} oh_segment_agent_config_t;

typedef struct
{
  oh_segment_agent_config_t config;
  oh_keyring_t keyring;
  oh_service_set_t services; /* of the configuration */
  oh_upstream_identity_t identity;
  bool records_complete; /* this process has seen the opening of every flow of the upstream */
  GHashTable *flows;     /* of oh_agent_flow_t, owned */
  GHashTable *by_digest; /* the same, by the digest of the key */
  oh_list_t lru;         /* least recently used first */
  oh_list_t opening;     /* flows whose SYN is unanswered, oldest first */
  unsigned n_opening;
  oh_list_t awaiting_request; /* new flows without a request, oldest first */
  unsigned n_awaiting_request;
  unsigned n_open;
  oh_list_t unanswered; /* flows that await a response, whose request is not overdue, oldest request first */
  oh_list_t overdue;    /* the others that await a response, oldest request first */
  unsigned n_awaiting_response;
  oh_admission_t admission;
  oh_position_waiters_t position_waiters;
  oh_request_wait_t request_wait; /* of new flows, in use while there is an objective */
  unsigned logged_limit;          /* 0: none */
  int64_t limit_logged_us;
  unsigned unanswered_syns; /* consecutive */
  oh_warmup_limit_t warmup_limit;
  oh_warmup_rate_t warmup_rate; /* of the upstream's service, in effect while it is warming */
  uint64_t report_sequence;
  int64_t reported_us;
  oh_segment_agent_counters_t counters;
  oh_histogram_t first_answer_seconds;
  oh_histogram_t request_seconds;
  int64_t upstream_sent_us;  /* last segment from the upstream */
  bool upstream_ended;       /* that was shown, and nothing has shown since that it runs */
  int64_t ended_us;          /* when that became known */
  int64_t asked_us;          /* when a leaving upstream was last asked whether it still runs */
  bool listener_gone;        /* no process listens at its address, while nothing was announced since */
  bool zone_drained;         /* the operators have drained the agent's zone: SYNs are refused */
  unsigned unanswered_ticks; /* since it was first asked after its last segment; 0: it was not */
  int64_t now_us;
  oh_segment_agent_sink_t *sink; /* set only while an event is handled */
  oh_arena_t arena;
  uint8_t out[OH_RELAY_MAX_BYTES];
} oh_segment_agent_t;

/* Copies the keyring. */
void oh_segment_agent_init (oh_segment_agent_t *agent, const oh_segment_agent_config_t *config,
                            const oh_keyring_t *keyring);
void oh_segment_agent_finish (oh_segment_agent_t *agent);
void oh_segment_agent_add_counters (oh_segment_agent_t *agent, oh_counters_t *counters);
/* Handles one event; the sink is called before this returns. */
void oh_segment_agent_handle (oh_segment_agent_t *agent, const oh_segment_agent_event_t *event,
                              oh_segment_agent_sink_t *sink);

/* Handles an announcement of the upstream. One that is refused or stale changes nothing; the adapter tells
 * the sender of a refusal. */
oh_announcement_result_t oh_segment_agent_announce (oh_segment_agent_t *agent,
                                                    const oh_announcement_t *announcement, int64_t now_us,
                                                    oh_segment_agent_sink_t *sink);

/* Replaces the services of the configuration and their limits; announcements of others are refused. */
void oh_segment_agent_set_services (oh_segment_agent_t *agent, const oh_service_set_t *services,
                                    oh_segment_agent_sink_t *sink);

/* Tells whether a confirmed view lists the agent's zone as drained. */
void oh_segment_agent_set_zone_drained (oh_segment_agent_t *agent, bool drained);

/* Fills the load report for the control replicas. *load points to *relay, which gets the agent's address, and
 * borrows the agent's name. */
void oh_segment_agent_get_load (oh_segment_agent_t *agent, int64_t now_us, Oh__Load *load,
                                Oh__Address *relay);

/* Name of the service that the upstream announced; "" before its first announcement. Owned by the agent. */
const char *oh_segment_agent_service (const oh_segment_agent_t *agent);

/* True if the upstream has ended, or has announced that it leaves and has no open flows. */
bool oh_segment_agent_is_done (const oh_segment_agent_t *agent);

/*
 * True if the control replicas should list the agent: its upstream has announced itself, or may still do so
 * after the start of the agent. Until it does, the agent is listed without a service, so that balancers
 * include it in their searches for flows.
 */
bool oh_segment_agent_is_listed (const oh_segment_agent_t *agent, int64_t now_us);
