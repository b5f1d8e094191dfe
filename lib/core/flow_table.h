#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/settings.h"
#include "core/chunk_stream.h"
#include "core/codec.h"
#include "core/request_queue.h"

/*
 * The flows of an agent and the requests of each. Requests are looked up by number in a window of
 * OH_REQUEST_WINDOW numbers that starts at the flow's floor; a number is remembered until the floor has
 * passed it. A record of the generation is kept for each closed flow, so that delayed duplicates of its
 * packets cannot open it again.
 */

enum
{
  OH_FLOW_BALANCERS = 3,           /* balancers remembered per flow for the return path */
  OH_FLOW_CLOSED_KEEP_MS = 120000, /* longer than any packet is assumed to be delayed */
  /* Limit for the flows and the closed flows on record together; 2,000 flows closed per second leave 240,000
   * records. */
  OH_FLOW_MAX_CLOSED = 262144,
};

typedef struct oh_flow oh_flow_t;

typedef enum
{
  OH_FLOW_ENTRY_QUEUED,
  OH_FLOW_ENTRY_RUNNING,
  OH_FLOW_ENTRY_RESUMING, /* feed or transfer that waits for a new connection to the upstream */
  OH_FLOW_ENTRY_ANSWERED, /* the answer is complete and is kept until it is acknowledged */
  OH_FLOW_ENTRY_REFUSED,  /* not run, and will not run */
  OH_FLOW_ENTRY_CANCELLED,
  OH_FLOW_ENTRY_FAILED, /* failed, or unknown whether it ran */
} oh_flow_entry_state_t;

/* What the agent knows of one request number of a flow. */
typedef struct
{
  oh_flow_t *flow;
  uint32_t number;
  uint32_t attempt;
  Oh__RequestKind kind;
  oh_flow_entry_state_t state;
  Oh__Result result; /* of a finished entry; RESULT_NONE if it was answered */
  oh_queue_item_t queue_item;
  uint64_t run; /* id of the oh_run_t at the upstream; 0: none */
  bool cancel_requested;
  bool answer_started; /* by the upstream, possibly on an earlier connection */
  unsigned restarts;   /* of the upstream connection since the last progress */
  uint8_t *payload;    /* owned; NULL once the request cannot be sent to the upstream again */
  size_t payload_length;
  uint64_t feed_base; /* feeds: item id of chunk 0, valid if feed_base_known */
  bool feed_base_known;
  bool tag_known; /* stream.tag identifies the entity or feed at the upstream */
  oh_chunk_stream_t stream;
  bool paused;          /* reading from the upstream is paused, as the stream's buffer is full */
  oh_list_t ready_link; /* in oh_agent_core_t.ready */
  oh_list_t timer_link; /* in oh_agent_core_t.timers */
  int64_t retry_us; /* next retransmission of the outcome, or restart of the upstream connection; 0: none */
  int64_t retry_interval_ms;
  unsigned outcome_retries; /* retransmissions scheduled since the last request or cancellation */
} oh_flow_entry_t;

typedef enum
{
  OH_FLOW_OFFERED, /* a token was issued, but no packet has used it */
  OH_FLOW_OWNED,
  OH_FLOW_RECEIVED, /* handed over by another agent; nothing runs before a packet uses the new token */
  OH_FLOW_FROZEN,   /* about to be handed over: no request is started */
  OH_FLOW_SENT,     /* its state was sent to a peer, so this agent must not run anything for it again */
  OH_FLOW_MOVED,    /* another agent owns it; moved_to is that agent's token */
} oh_flow_state_t;

struct oh_flow
{
  oh_flow_id_t id;
  oh_flow_state_t state;
  uint32_t generation;                         /* of the token that owns the flow here */
  uint64_t offer_id;                           /* of that token */
  uint32_t floor;                              /* lowest request number that the caller still uses */
  oh_flow_entry_t *entries[OH_REQUEST_WINDOW]; /* by number modulo the window */
  oh_address_t caller;
  oh_address_t balancers[OH_FLOW_BALANCERS]; /* most recently used first */
  unsigned n_balancers;
  unsigned next_balancer;      /* index for the next reply; advanced by each retransmission */
  int64_t last_heard_us;       /* last packet from the caller, or import of the flow */
  uint32_t pending_generation; /* of the pending offer; 0: none */
  uint64_t pending_offer_id;
  int64_t offer_expires_us;
  uint64_t source_incarnation; /* agent that handed the flow over; 0: opened here */
  uint32_t sent_generation;    /* SENT: generation of the flow at the target */
  uint64_t target_incarnation; /* SENT */
  char *target;                /* SENT: name of the target, owned */
  bool target_refused;         /* SENT */
  int64_t sent_us;             /* SENT: when the state was last sent; MOVED: when the target accepted it */
  int64_t first_sent_us;
  oh_token_t moved_to;
  int64_t moved_retry_us; /* next retransmission of Moved; 0: none */
  int64_t moved_interval_ms;
  oh_list_t link;
};

/* Record of a closed flow. */
typedef struct
{
  oh_flow_id_t id;
  uint32_t generation; /* highest one closed */
  int64_t expires_us;
  oh_list_t link;
} oh_closed_flow_t;

typedef struct
{
  GHashTable *by_id; /* oh_flow_id_t -> oh_flow_t */
  oh_list_t flows;   /* in the order of their creation */
  unsigned n_flows;
  unsigned n_moved;         /* of them in state MOVED */
  GHashTable *closed_by_id; /* oh_flow_id_t -> oh_closed_flow_t */
  oh_list_t closed;         /* of oh_closed_flow_t, oldest first */
  unsigned n_closed;
} oh_flow_table_t;

void oh_flow_table_init (oh_flow_table_t *table);

/* All flows must have been removed before. */
void oh_flow_table_finish (oh_flow_table_t *table);

/* NULL if the table has no flow of this id. */
oh_flow_t *oh_flow_table_find (const oh_flow_table_t *table, const oh_flow_id_t *id);

/* Adds a flow with an id that is not in the table; the table owns it. state must not be MOVED. */
oh_flow_t *oh_flow_table_add (oh_flow_table_t *table, const oh_flow_id_t *id, oh_flow_state_t state);

/* Frees the flow, which must have no entries. */
void oh_flow_table_remove (oh_flow_table_t *table, oh_flow_t *flow);

/* Every change of state goes through this function, which updates n_moved. */
void oh_flow_set_state (oh_flow_table_t *table, oh_flow_t *flow, oh_flow_state_t state);

/* Records that no packet of this generation or a lower one may open the flow again. */
void oh_flow_table_close (oh_flow_table_t *table, const oh_flow_id_t *id, uint32_t generation,
                          int64_t now_us);

/* Highest closed generation of the flow, 0 if none is recorded. */
uint32_t oh_flow_table_closed_generation (const oh_flow_table_t *table, const oh_flow_id_t *id);

/* Removes the records of closed flows that have expired. */
void oh_flow_table_expire (oh_flow_table_t *table, int64_t now_us);

/* True if number is in the flow's window. */
bool oh_flow_in_window (const oh_flow_t *flow, uint32_t number);

/* Entry of the number, which must be in the window; NULL if there is none. */
oh_flow_entry_t *oh_flow_find_entry (const oh_flow_t *flow, uint32_t number);

/* Adds an entry, owned by the flow, for a number in the window that has none. */
oh_flow_entry_t *oh_flow_add_entry (oh_flow_t *flow, uint32_t number);

/* Frees the entry, which must not be queued or at the upstream. */
void oh_flow_remove_entry (oh_flow_t *flow, oh_flow_entry_t *entry);

/* Records that a packet of the caller arrived through the balancer, which becomes the first choice for
 * replies. */
void oh_flow_record_path (oh_flow_t *flow, oh_address_t caller, oh_address_t balancer, int64_t now_us);
