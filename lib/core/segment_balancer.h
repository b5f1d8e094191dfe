#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/list.h"
#include "base/log.h"
#include "core/codec.h"
#include "core/held_queue.h"
#include "core/placement.h"
#include "core/route_table.h"
#include "core/segment.h"

/*
 * Balancer side of segment forwarding (see core/segment.h): offers the SYN of a flow to an agent, records the
 * agents that it was offered to, and forwards the other segments of the flow there. The agent whose upstream
 * has the flow is its owner.
 *
 * The owner of each open flow is also published to its directory nodes: two balancers of the availability
 * zone that a rendezvous hash of the flow selects, preferring those with a disk. A balancer without a record
 * of the flow (it has just started, or the fabric moved the flow) looks the owner up there, then, as the
 * caller may have moved, at the directory nodes of the other availability zones. If none of them knows it,
 * the balancer searches: it queries every agent. While there are many flows to search, one query names
 * several of them.
 *
 * A state machine without I/O. Pointers passed to the sink are valid during the call only.
 */

enum
{
  OH_SEGMENT_OFFERS_MAX = OH_PLACEMENT_TRIED_MAX, /* agents that one flow is offered to */
  OH_SEGMENT_TICK_MS = 100,
  /* Between offers of waiting flows. A full agent is offered a flow again after 5 ms at the earliest. */
  OH_SEGMENT_HELD_INTERVAL_MS = 10,
  OH_SEGMENT_SEARCH_MESSAGES_PER_S = 1500, /* budget of one balancer; about 150 KB/s */
  OH_SEGMENT_SEARCH_BACKOFF_MS = 1000,     /* until a flow that no agent owns is searched again */
  OH_SEGMENT_DIRECTORY_NODES = 2,          /* balancers that the owner of a flow is published to */
  OH_SEGMENT_PENDING_MAX = 4,              /* segments of one flow that are kept until its owner is known */
  OH_SEGMENT_LOOKUP_TIMEOUT_MS = 50,       /* wait for directory nodes, before the agents are queried */
  OH_SEGMENT_LOOKUP_ZONES_MAX = 16,        /* other availability zones in which an owner is looked up */
  OH_SEGMENT_QUERY_RETRY_MS = 100,         /* after a query that not all agents have answered */
  OH_SEGMENT_QUERY_FLOWS_MAX = 100,        /* flows in one query; fits a datagram */
  OH_SEGMENT_QUERIES_MAX = 64,             /* most recent queries, whose answers are accepted */
  OH_SEGMENT_OPEN_TIMEOUT_MS = 1400,       /* a caller abandons a flow that has not opened by then */
  OH_SEGMENT_CLOSED_RETENTION_MS = 5000,   /* a record is kept for this long after its flow has closed */
  OH_SEGMENT_SYN_RETRANSMISSIONS = 2,      /* how often a caller retransmits an unanswered SYN */
  /* When it does so, after the first transmission. */
  OH_SEGMENT_SYN_RETRANSMISSION_1_MS = 200,
  OH_SEGMENT_SYN_RETRANSMISSION_2_MS = 600,
  OH_SEGMENT_SYN_DELAY_MS = 50, /* by which the first transmission may have been later than its successors */
  OH_SEGMENT_STARTUP_MS = 3000, /* after the first confirmed view, while upstreams may still be unannounced */
  OH_SEGMENT_QUERIED_AGENTS_MAX = 512, /* with more agents in a query, a flow is never found to be absent */
  OH_SEGMENT_PAUSE_MS = 300,           /* a gap between events from which on queued input may be outdated */
  OH_SEGMENT_LOG_BYTES = 400,
};

typedef enum
{
  OH_SEGMENT_BALANCER_CALLER, /* a datagram from the fabric */
  OH_SEGMENT_BALANCER_RELAY,  /* a datagram from an agent or another balancer */
  OH_SEGMENT_BALANCER_VIEW,   /* a new view of the deployment */
  OH_SEGMENT_BALANCER_TICK,   /* every OH_SEGMENT_TICK_MS */
  /* Every OH_SEGMENT_HELD_INTERVAL_MS while oh_segment_balancer_waits. */
  OH_SEGMENT_BALANCER_HELD,
} oh_segment_balancer_event_kind_t;

/* An input of the state machine. */
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

/* Outputs of the state machine, implemented by the adapter. */
typedef struct
{
  /* Sends a message to an agent or to another balancer. */
  void (*send_agent) (oh_segment_balancer_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length);
  /* The adapter supplies the port on which callers receive segments. */
  void (*send_caller) (oh_segment_balancer_sink_t *sink, oh_address_t caller, const uint8_t *bytes,
                       size_t length);
  /* Stores the owner of a flow persistently, if the adapter can. Called if this balancer is a directory node
   * of the flow, or if another balancer sent the owner. */
  void (*store) (oh_segment_balancer_sink_t *sink, const oh_flow_key_t *key, oh_address_t owner);
  /* pairs: key=value pairs of the event. */
  void (*log) (oh_segment_balancer_sink_t *sink, oh_log_level_t level, const char *event, const char *pairs);
} oh_segment_balancer_sink_ops_t;

struct oh_segment_balancer_sink
{
  const oh_segment_balancer_sink_ops_t *ops;
};

typedef enum
{
  OH_OFFER_SENT,     /* no reply yet */
  OH_OFFER_ACCEPTED, /* the upstream answered the SYN */
  OH_OFFER_REFUSED,  /* the agent refused the SYN, or does not own the flow */
} oh_offer_state_t;

/* The offer of a flow to an agent. */
typedef struct
{
  oh_address_t agent;
  uint64_t incarnation; /* of the upstream */
  uint64_t service;
  int64_t sent_us;
  bool repeated;         /* a retransmission of the SYN was sent there, too */
  bool yields;           /* as sent to the agent */
  bool speculative;      /* the agent was not known to have a free position */
  unsigned transmission; /* of the SYN that was sent there last */
  oh_offer_state_t state;
} oh_offer_t;

/* The balancer's record of a flow. */
typedef struct
{
  oh_flow_key_t key;
  uint32_t syn_sequence;      /* valid if syn_seen */
  bool syn_seen;              /* this balancer got the SYN, or a retransmission */
  unsigned syn_transmissions; /* that this balancer got: bit n is set for the one after n others */
  bool may_be_open; /* an upstream got the SYN and may answer late, or the caller has sent more than SYNs */
  bool owned;       /* owner is known: the agent said so, here or to the balancer that told this one */
  bool from_peer;   /* another balancer, or an earlier process, told the owner */
  bool closed;      /* the caller has sent a FIN or RST */
  oh_address_t owner;
  unsigned n_offers;
  oh_offer_t offers[OH_SEGMENT_OFFERS_MAX];
  unsigned syn_retransmissions;
  bool overloaded;          /* the last refusal was due to overload */
  bool published;           /* the owner was sent to the directory nodes */
  bool stored;              /* the owner was passed to the sink's store, or restored from there */
  unsigned pending_lookups; /* directory nodes that have not answered yet */
  bool remote_lookup;       /* those of the other availability zones are asked, too */
  int64_t lookup_us;        /* when the lookups were sent; 0: never */
  GPtrArray *pending;       /* of GBytes: segments kept until the owner is known; NULL if there are none */
  bool query_queued;        /* the flow is to be named in the next query */
  uint32_t query;           /* number of the last query that named the flow; 0: none */
  int64_t queried_us;       /* when that query was sent */
  unsigned n_absent;        /* agents of the query that do not own the flow */
  unsigned n_undecided;     /* agents of the query that cannot tell without a probe of their upstream */
  oh_address_t undecided;   /* one of them */
  uint64_t answered[OH_SEGMENT_QUERIED_AGENTS_MAX / 64]; /* one bit per agent of the query, for both */
  int64_t all_absent_us;      /* when every agent of the query had reported it absent; 0: never */
  uint32_t last_acknowledged; /* by the caller's last segment */
  int64_t opened_us;          /* when the record was added */
  int64_t used_us;            /* when the record last moved to the end of the lru list */
  oh_list_t lru_link;
  oh_list_t lookup_link;  /* in oh_segment_balancer_t.lookups while a lookup is unanswered */
  GBytes *held_syn;       /* NULL: the flow is not held, see segment_held.h */
  int64_t held_us;        /* since when */
  oh_list_t held_link;    /* in oh_segment_balancer_t.held */
  oh_held_flow_t waiting; /* in oh_segment_balancer_t.waiting; the start of the flow is valid if syn_seen */
} oh_balancer_flow_t;

/* A balancer in the view. */
typedef struct
{
  oh_address_t relay;
  bool durable;  /* it stores the owners of flows on disk */
  uint64_t zone; /* hash of its availability zone */
} oh_segment_peer_t;

/* A query that asks every agent which of the named flows it owns. */
typedef struct
{
  uint32_t number;        /* 0: unused entry */
  GArray *agents;         /* of oh_address_t: the agents that were queried; NULL in an unused entry */
  uint64_t agents_digest; /* hash of the set of agents, independent of their order */
  GArray *flows;          /* of oh_flow_key_t, at most OH_SEGMENT_QUERY_FLOWS_MAX; NULL likewise */
} oh_segment_query_t;

typedef struct
{
  oh_counter_t segments;           /* from callers */
  oh_counter_t forwarded;          /* segments sent to an agent that was offered the flow or owns it */
  oh_counter_t searched;           /* flows queued for a query */
  oh_counter_t search_messages;    /* queries and segments sent to agents to find owners */
  oh_counter_t found;              /* flows whose owner was found by a search */
  oh_counter_t placed;             /* offers to agents */
  oh_counter_t placed_again;       /* offers of a flow after its first one */
  oh_counter_t accepted;           /* offers whose SYN an upstream answered */
  oh_counter_t refused_by_agent;   /* offers */
  oh_counter_t records;            /* owners published to other balancers */
  oh_counter_t lookups;            /* flows looked up at directory nodes for lack of a record */
  oh_counter_t lookups_found;      /* lookups that found the owner */
  oh_counter_t resets_absent;      /* flows that the upstream of their owner does not have any more */
  oh_counter_t held;               /* refusals of flows that are kept and offered again */
  oh_counter_t speculative_offers; /* offers to agents that were not known to have a position */
  oh_counter_t resets_expired;     /* flows that waited until their callers were about to give up */
  oh_counter_t flows_waiting;      /* gauge */
  oh_counter_t resets_no_route;
  oh_counter_t resets_refused;
  oh_counter_t dropped_malformed;
  oh_counter_t dropped_bad_seal;
  oh_counter_t dropped_no_view;  /* SYNs before the first confirmed view, when nothing is placed */
  oh_counter_t dropped_no_route; /* segments of flows with an unknown owner whose route is gone */
  oh_counter_t dropped_searches; /* segments beyond OH_SEGMENT_PENDING_MAX */
  oh_counter_t dropped_late;     /* SYNs of flows that are open or abandoned */
  oh_counter_t flows;            /* gauge */
  oh_counter_t view_version;     /* gauge */
  oh_counter_t offer_latency;    /* registers offer_seconds */
} oh_segment_balancer_counters_t;

typedef struct
{
  const oh_segment_format_t *format;
  oh_address_t relay; /* own address, to which agents and balancers send */
  oh_keyring_t keyring;
  int64_t flow_timeout_us;
  unsigned max_flows;
  oh_placement_t placement;
  oh_route_table_t routes;
  uint64_t routes_version; /* of the confirmed view that the routes come from; 0: none */
  int64_t confirmed_us;    /* when the first confirmed view arrived */
  int search_budget;       /* messages that searches may send now; a query may make it negative */
  GArray *query_queue;     /* of oh_flow_key_t: flows to name in the next queries */
  uint32_t last_query;     /* number of the last query */
  oh_segment_query_t queries[OH_SEGMENT_QUERIES_MAX]; /* indexed by number modulo OH_SEGMENT_QUERIES_MAX */
  bool all_listed;                                    /* the view lists every upstream that has a lease */
  uint64_t zone;                                      /* hash of the availability zone */
  GArray *peers;           /* of oh_segment_peer_t: balancers of the availability zone, this one included */
  GArray *remote_peers;    /* the same: balancers of the other availability zones */
  GHashTable *flows;       /* of oh_balancer_flow_t, owned */
  oh_list_t lru;           /* least recently used first */
  oh_list_t lookups;       /* flows with an unanswered lookup, oldest first */
  oh_list_t held;          /* flows to be offered again, the longest-waiting first */
  oh_held_queue_t waiting; /* flows of managed services that wait for a position, see segment_overload.h */
  int speculative_budget;  /* speculative offers that may be refused until the next tick */
  int64_t overload_us;     /* start of the current overload, see segment_overload.h; 0: none */
  int64_t waited_us;       /* when a flow last had to wait for a position */
  oh_segment_balancer_counters_t counters;
  oh_histogram_t offer_seconds;
  int64_t last_event_us; /* when the last event was handled */
  int64_t resumed_us;    /* when the process last resumed after a pause */
  int64_t now_us;
  oh_segment_balancer_sink_t *sink; /* set only while an event is handled */
  oh_arena_t arena;
  uint8_t out[OH_RELAY_MAX_BYTES];
} oh_segment_balancer_t;

typedef struct
{
  const oh_segment_format_t *format;
  const char *zone; /* availability zone of this balancer; copied */
  oh_address_t relay;
  int64_t flow_timeout_ms;
  unsigned max_flows;
} oh_segment_balancer_config_t;

/* Copies the keyring. */
void oh_segment_balancer_init (oh_segment_balancer_t *balancer, const oh_segment_balancer_config_t *config,
                               const oh_keyring_t *keyring, oh_random_t *random);
void oh_segment_balancer_finish (oh_segment_balancer_t *balancer);
void oh_segment_balancer_add_counters (oh_segment_balancer_t *balancer, oh_counters_t *counters);
/* Handles one event; the sink is called before this returns. */
void oh_segment_balancer_handle (oh_segment_balancer_t *balancer, const oh_segment_balancer_event_t *event,
                                 oh_segment_balancer_sink_t *sink);

/* Adds the record of a flow whose owner an earlier process stored. Does not replace what this process learned
 * itself. */
void oh_segment_balancer_restore (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                                  oh_address_t owner, int64_t now_us);

/* Passes the owners of all flows that were stored before, or restored, to the sink's store again. */
void oh_segment_balancer_store_all (oh_segment_balancer_t *balancer, oh_segment_balancer_sink_t *sink);

/* True while flows wait for a position at an agent. */
bool oh_segment_balancer_waits (const oh_segment_balancer_t *balancer);

/* True once new flows can be placed: a confirmed view has arrived. */
bool oh_segment_balancer_ready (const oh_segment_balancer_t *balancer);
