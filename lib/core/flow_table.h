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
 * Flows of an agent and the requests of each. A request number is looked up in a window of OH_REQUEST_WINDOW
 * numbers above the flow's floor; the window never forgets a number. A closed flow leaves a record of its
 * generation, so that copies of its packets cannot bring it back.
 */

enum
{
  OH_FLOW_BALANCERS = 3,
  OH_FLOW_CLOSED_KEEP_MS = 120000, /* packets older than this are assumed not to exist */
  OH_FLOW_MAX_CLOSED = 262144,     /* 2,000 flows closed per second for the time they are kept */
};

typedef struct oh_flow oh_flow_t;

typedef enum
{
  OH_ENTRY_QUEUED,
  OH_ENTRY_RUNNING,
  OH_ENTRY_RESUMING, /* feed or transfer whose connection to the upstream has to be made again */
  OH_ENTRY_ANSWERED, /* the answer is complete and kept until acknowledged */
  OH_ENTRY_REFUSED,  /* recorded as not run */
  OH_ENTRY_CANCELLED,
  OH_ENTRY_FAILED, /* failed, or not known whether it ran */
} oh_entry_state_t;

typedef struct
{
  oh_flow_t *flow;
  uint32_t number;
  uint32_t attempt;
  Oh__RequestKind kind;
  oh_entry_state_t state;
  Oh__Result result; /* of a finished entry; RESULT_NONE for an answer */
  oh_queue_item_t queue_item;
  uint64_t run; /* id of the request at the upstream; 0: none */
  bool cancel_asked;
  bool started;      /* the upstream's answer has begun */
  unsigned restarts; /* of the upstream connection since the last progress */
  uint8_t *payload;  /* NULL once it cannot be needed again */
  size_t payload_length;
  uint64_t feed_base; /* feeds: item id of chunk 0, once known */
  bool feed_base_known;
  bool tag_known;
  oh_chunk_stream_t stream;
  bool paused;
  oh_list_t ready_link; /* streams with chunks to send */
  oh_list_t timer_link; /* entries with a retransmission or restart due */
  int64_t repeat_us;    /* next repetition of the outcome, or restart of the upstream connection */
  int64_t repeat_interval_ms;
  unsigned repeats;
} oh_entry_t;

typedef enum
{
  OH_FLOW_OFFERED, /* a token was given out, no packet has used it */
  OH_FLOW_OWNED,
  OH_FLOW_DORMANT, /* received from another agent; nothing runs before a packet uses the new token */
  OH_FLOW_FROZEN,  /* about to be handed over: starts nothing */
  OH_FLOW_SENT,    /* its state left this agent, which must not run anything for it again */
  OH_FLOW_MOVED,   /* another agent owns it; moved_to names it */
} oh_flow_state_t;

struct oh_flow
{
  oh_flow_id_t id;
  oh_flow_state_t state;
  uint32_t generation; /* of the token that owns the flow here */
  uint64_t offer;      /* of that token */
  uint32_t floor;
  oh_entry_t *entries[OH_REQUEST_WINDOW]; /* by number modulo the window */
  oh_address_t caller;
  oh_address_t balancers[OH_FLOW_BALANCERS]; /* the one last heard from first */
  unsigned n_balancers;
  unsigned next_balancer; /* for retransmissions */
  int64_t heard_us;
  uint32_t offered_generation; /* 0: no open offer */
  uint64_t offered;            /* number of the open offer */
  int64_t offer_ends_us;
  uint64_t source_incarnation; /* agent that handed the flow over; 0: opened here */
  uint32_t sent_generation;    /* SENT: generation offered to the target */
  uint64_t target_incarnation; /* SENT */
  char *target;                /* SENT: name of the peer */
  bool target_refused;         /* SENT */
  int64_t sent_us;             /* SENT: last time the state was sent; MOVED: time of the move */
  int64_t first_sent_us;
  oh_token_t moved_to;
  int64_t moved_repeat_us;
  int64_t moved_interval_ms;
  oh_list_t link;
};

typedef struct
{
  oh_flow_id_t id;
  uint32_t generation;
  int64_t ends_us;
  oh_list_t link;
} oh_closed_flow_t;

typedef struct
{
  GHashTable *by_id; /* oh_flow_id_t -> oh_flow_t */
  oh_list_t flows;   /* in the order of their creation */
  unsigned n_flows;
  unsigned n_moved; /* flows in state MOVED */
  GHashTable *closed_by_id;
  oh_list_t closed; /* of oh_closed_flow_t, oldest first */
  unsigned n_closed;
} oh_flow_table_t;

void oh_flow_table_init (oh_flow_table_t *table);

/* Every flow must have been removed. */
void oh_flow_table_finish (oh_flow_table_t *table);

oh_flow_t *oh_flow_table_find (const oh_flow_table_t *table, const oh_flow_id_t *id);
oh_flow_t *oh_flow_table_add (oh_flow_table_t *table, const oh_flow_id_t *id, oh_flow_state_t state);

/* Frees the flow; its entries must have been removed. */
void oh_flow_table_remove (oh_flow_table_t *table, oh_flow_t *flow);
void oh_flow_set_state (oh_flow_table_t *table, oh_flow_t *flow, oh_flow_state_t state);

/* Records that no packet of this generation or a lower one may open the flow again. */
void oh_flow_table_close (oh_flow_table_t *table, const oh_flow_id_t *id, uint32_t generation,
                          int64_t now_us);

/* Highest closed generation of the flow, 0 if none is recorded. */
uint32_t oh_flow_table_closed_generation (const oh_flow_table_t *table, const oh_flow_id_t *id);

/* Forgets records whose time is over. */
void oh_flow_table_expire (oh_flow_table_t *table, int64_t now_us);

/* True if number lies in the flow's window. */
bool oh_flow_in_window (const oh_flow_t *flow, uint32_t number);

/* number must lie in the window. NULL if it was not seen. */
oh_entry_t *oh_flow_find_entry (const oh_flow_t *flow, uint32_t number);
oh_entry_t *oh_flow_add_entry (oh_flow_t *flow, uint32_t number);

/* Frees the entry, which must not be queued or at the upstream. */
void oh_flow_remove_entry (oh_flow_t *flow, oh_entry_t *entry);

/* Puts the balancer in front of those last heard from. */
void oh_flow_heard (oh_flow_t *flow, oh_address_t caller, oh_address_t balancer, int64_t now_us);
