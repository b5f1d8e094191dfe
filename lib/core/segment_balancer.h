#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/list.h"
#include "base/log.h"
#include "core/codec.h"
#include "core/placement.h"
#include "core/route_table.h"
#include "core/segment.h"

/*
 * The balancer's decisions about flows whose ends do not speak the caller protocol: places the first segment
 * of a flow, remembers to which agents it was offered, and forwards later segments there.
 *
 * The owner of each open flow is also told to two balancers of the availability zone that a hash of the flow
 * selects, those with a disk first, so that a balancer without a record (it has just started, or the fabric
 * moved the flow) finds it with one message. If they do not know it either, the flow is searched: every agent
 * is asked for it. One question names many flows while there are many to search.
 *
 * A state machine without I/O. What an action points to is valid during the call.
 */

enum
{
  OH_SEGMENT_OFFERS_MAX = OH_PLACEMENT_TRIED_MAX, /* agents that one flow is offered to */
  OH_SEGMENT_TICK_MS = 100,
  OH_SEGMENT_SEARCH_MESSAGES_PER_S = 1500, /* of one balancer; about 150 KB */
  OH_SEGMENT_SEARCH_AGAIN_MS = 1000,       /* a flow that is nowhere is not searched again within this time */
  OH_SEGMENT_HOLDERS = 2,                  /* balancers that are told the owner of a flow */
  OH_SEGMENT_WAITING_MAX = 4,              /* segments of one flow that wait for its owner */
  OH_SEGMENT_LOOKUP_MS = 50,               /* for their answers, before the agents are asked */
  OH_SEGMENT_ASK_AGAIN_MS = 100,           /* after a question that not all agents have answered */
  OH_SEGMENT_QUESTION_FLOWS = 100,         /* flows that one question names; fits a datagram */
  OH_SEGMENT_QUESTIONS = 64,               /* last questions that are remembered */
  OH_SEGMENT_OPENING_MS = 1400,            /* a caller gives up a flow that has not opened by then */
  OH_SEGMENT_CLOSED_MS = 5000,             /* a record outlives the end of its flow by this time */
  OH_SEGMENT_COPIES = 2,                   /* of a first segment that a caller sends after the first */
  OH_SEGMENT_LISTING_MS = 3000, /* after the start, upstreams may not have announced themselves yet */
  OH_SEGMENT_ASKED_MAX = 128,   /* agents of a search up to which a flow can be found to be nowhere */
  OH_SEGMENT_LAG_MS = 300,      /* after a longer pause nothing is reset: what was waiting is old */
  OH_SEGMENT_LOG_BYTES = 400,
};

typedef enum
{
  OH_SEGMENT_BALANCER_CALLER, /* a datagram from the fabric */
  OH_SEGMENT_BALANCER_RELAY,  /* a datagram from an agent */
  OH_SEGMENT_BALANCER_VIEW,
  OH_SEGMENT_BALANCER_TICK, /* every OH_SEGMENT_TICK_MS */
} oh_segment_balancer_event_kind_t;

typedef struct
{
  oh_segment_balancer_event_kind_t kind;
  int64_t now_us;
  union
  {
    struct
    {
      uint8_t *bytes;
      size_t length;
    } datagram;
    const oh_view_t *view; /* borrowed for the call */
  };
} oh_segment_balancer_event_t;

typedef struct oh_segment_balancer_sink oh_segment_balancer_sink_t;

typedef struct
{
  void (*send_agent) (oh_segment_balancer_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length);
  /* The adapter knows the port at which callers take segments. */
  void (*send_caller) (oh_segment_balancer_sink_t *sink, oh_address_t caller, const uint8_t *bytes,
                       size_t length);
  /* This balancer is a holder of the flow: its owner is to be kept beyond the end of the process, if it can.
   */
  void (*store) (oh_segment_balancer_sink_t *sink, const oh_flow_key_t *key, oh_address_t owner);
  void (*log) (oh_segment_balancer_sink_t *sink, oh_log_level_t level, const char *event, const char *pairs);
} oh_segment_balancer_sink_ops_t;

struct oh_segment_balancer_sink
{
  const oh_segment_balancer_sink_ops_t *ops;
};

typedef enum
{
  OH_OFFER_SENT,
  OH_OFFER_ACCEPTED, /* the upstream answered the first segment */
  OH_OFFER_REFUSED,  /* the agent does not hold the flow */
} oh_offer_state_t;

typedef struct
{
  oh_address_t agent;
  uint64_t incarnation;
  uint64_t service;
  int64_t sent_us;
  oh_offer_state_t state;
} oh_offer_t;

typedef struct
{
  oh_flow_key_t key;
  uint32_t first_sequence; /* of the first segment, if first_seen */
  bool first_seen;         /* a copy of the first segment came to this balancer */
  bool first_copy;         /* the first copy of the first segment came to this balancer */
  bool owned;              /* owner is known */
  bool closed;             /* an end has finished the flow */
  oh_address_t owner;
  unsigned n_offers;
  oh_offer_t offers[OH_SEGMENT_OFFERS_MAX];
  unsigned copies;    /* of the first segment, after the first */
  bool overloaded;    /* an agent refused the flow only because it has too much to do */
  bool recorded;      /* its owner was told to the balancers that the hash selects */
  bool stored;        /* this is one of them */
  unsigned lookups;   /* balancers that were asked and have not answered */
  int64_t lookup_us;  /* when they were asked; 0: never */
  GPtrArray *waiting; /* of GBytes: segments that wait for the owner to be found; NULL if none does */
  bool unasked;       /* the next question names the flow */
  uint32_t question;  /* the last one that named it; 0: none */
  int64_t asked_us;   /* when it was sent */
  unsigned n_absent;  /* agents that do not hold the flow, of those that the question went to */
  uint64_t absent[OH_SEGMENT_ASKED_MAX / 64]; /* bit for each of these agents */
  int64_t absent_us;          /* when every agent had said so, though not all may have been asked; 0: never */
  uint32_t last_acknowledged; /* by the caller, in its last segment */
  int64_t opened_us;
  int64_t used_us;
  oh_list_t by_use;
  oh_list_t by_lookup; /* in the list of flows whose lookup is not answered */
} oh_balancer_flow_t;

typedef struct
{
  oh_address_t relay;
  bool durable; /* it keeps what it is told beyond the end of its process */
} oh_segment_peer_t;

/* Which of these flows do you hold? */
typedef struct
{
  uint32_t number;        /* 0: none */
  GArray *agents;         /* of oh_address_t: those that were asked; NULL without a number */
  uint64_t agents_digest; /* the same for the same set of agents */
  GArray *flows;          /* of oh_flow_key_t, at most OH_SEGMENT_QUESTION_FLOWS */
} oh_segment_question_t;

typedef struct
{
  oh_counter_t segments;        /* from callers */
  oh_counter_t forwarded;       /* to an agent that was offered the flow or owns it */
  oh_counter_t searched;        /* segments whose owner was not known */
  oh_counter_t search_messages; /* sent for them */
  oh_counter_t found;           /* flows whose owner answered a search */
  oh_counter_t placed;          /* offers to agents */
  oh_counter_t placed_again;    /* of them after a refusal or a repetition */
  oh_counter_t accepted;        /* first segments that an upstream answered */
  oh_counter_t refused_by_agent;
  oh_counter_t records;       /* owners told to other balancers */
  oh_counter_t lookups;       /* segments sent to other balancers for want of a record */
  oh_counter_t looked_up;     /* of them, those whose owner one of them knew */
  oh_counter_t resets_absent; /* flows that no upstream holds */
  oh_counter_t held;          /* first segments that wait for the caller's next copy, for want of room */
  oh_counter_t resets_no_route;
  oh_counter_t resets_refused;
  oh_counter_t dropped_malformed;
  oh_counter_t dropped_bad_seal;
  oh_counter_t dropped_no_view;  /* nothing is placed before the first confirmed view */
  oh_counter_t dropped_no_route; /* in the middle of a flow */
  oh_counter_t dropped_searches; /* beyond the bound of searches */
  oh_counter_t dropped_late;     /* first segments of flows that are open or given up */
  oh_counter_t flows;            /* gauge */
  oh_counter_t view_version;     /* gauge */
  oh_counter_t offer_latency;    /* stands for the histogram */
} oh_segment_balancer_counters_t;

typedef struct
{
  const oh_segment_format_t *format;
  oh_address_t relay; /* where agents send to */
  oh_keyring_t keyring;
  int64_t flow_timeout_us;
  unsigned max_flows;
  oh_placement_t placement;
  oh_route_table_t routes;
  uint64_t routes_version;
  int64_t confirmed_us; /* first confirmed view */
  int search_budget;    /* messages that searches may send now */
  GArray *unasked;      /* of oh_flow_key_t: flows that the next questions name */
  uint32_t n_questions;
  oh_segment_question_t questions[OH_SEGMENT_QUESTIONS]; /* by number, modulo their number */
  bool listed;                                           /* the view lists every upstream that has a lease */
  GArray *peers;     /* of oh_segment_peer_t: balancers of the availability zone, this one included */
  GHashTable *flows; /* of oh_balancer_flow_t, owned */
  oh_list_t by_use;  /* least recently used first */
  oh_list_t lookups; /* flows whose lookup is not answered, oldest first */
  oh_segment_balancer_counters_t counters;
  oh_histogram_t offer_seconds;
  int64_t handled_us; /* last event */
  int64_t lagged_us;  /* when the process last came back from a pause */
  int64_t now_us;
  oh_segment_balancer_sink_t *sink; /* valid while an event is handled */
  oh_arena_t arena;
  uint8_t out[OH_RELAY_MAX_BYTES];
} oh_segment_balancer_t;

typedef struct
{
  const oh_segment_format_t *format;
  const char *zone;
  oh_address_t relay;
  int64_t flow_timeout_ms;
  unsigned max_flows;
} oh_segment_balancer_config_t;

/* Copies the keyring. */
void oh_segment_balancer_init (oh_segment_balancer_t *balancer, const oh_segment_balancer_config_t *config,
                               const oh_keyring_t *keyring, oh_random_t *random);
void oh_segment_balancer_finish (oh_segment_balancer_t *balancer);
void oh_segment_balancer_add_counters (oh_segment_balancer_t *balancer, oh_counters_t *counters);
void oh_segment_balancer_handle (oh_segment_balancer_t *balancer, const oh_segment_balancer_event_t *event,
                                 oh_segment_balancer_sink_t *sink);

/* A flow whose owner was stored by an earlier process. */
void oh_segment_balancer_restore (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                                  oh_address_t owner, int64_t now_us);

/* Stores all flows again that this balancer holds the owners of. */
void oh_segment_balancer_store_all (oh_segment_balancer_t *balancer, oh_segment_balancer_sink_t *sink);

/* True once new flows can be placed: a confirmed view has arrived. */
bool oh_segment_balancer_ready (const oh_segment_balancer_t *balancer);
