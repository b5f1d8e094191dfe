#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "core/codec.h"
#include "core/keyring.h"
#include "core/retry_budget.h"
#include "ports/random.h"

/*
 * State machine of one flow on the caller's side, without I/O: opening, requests, answers, cancellation, path
 * checks and reopening. Events carry the current time; actions go to the sink. A sink must not pass another
 * event to the core from within emit.
 *
 * The owner of a flow is the agent that the current token names. The path is the route to the owner through
 * the fabric, the network that spreads datagrams over the balancers. It depends on the address of the
 * local socket: a socket with another port gets another path.
 */

typedef enum
{
  OH_CALLER_EVENT_OPEN,    /* starts the opening; once */
  OH_CALLER_EVENT_PACKET,  /* packet; one of another flow is counted as stale */
  OH_CALLER_EVENT_TIMER,   /* the armed time has come */
  OH_CALLER_EVENT_REQUEST, /* request; may precede the opening's end */
  OH_CALLER_EVENT_CANCEL,  /* cancel_id; an unknown id is ignored */
  OH_CALLER_EVENT_CLOSE,   /* ends all requests, then the flow */
} oh_caller_event_kind_t;

typedef struct
{
  uint64_t id; /* chosen by the user, unique in the flow; names the request in actions and cancellations */
  Oh__RequestKind kind;
  unsigned priority;      /* 0 command, 1 normal, 2 bulk */
  int64_t deadline_us;    /* on the clock of now_us; 0: none */
  const uint8_t *payload; /* copied */
  size_t payload_length;  /* at most OH_PAYLOAD_MAX_BYTES */
} oh_caller_request_t;

typedef struct
{
  oh_caller_event_kind_t kind;
  int64_t now_us;
  union
  {
    const Oh__Packet *packet; /* used during the call only */
    oh_caller_request_t request;
    uint64_t cancel_id;
  };
} oh_caller_event_t;

typedef enum
{
  OH_CALLER_ACTION_SEND,         /* send bytes to the fabric */
  OH_CALLER_ACTION_ARM_TIMER,    /* arm the timer for due_us, replacing the previous time */
  OH_CALLER_ACTION_REPLACE_PATH, /* replace the local socket by a new one, which has another port */
  OH_CALLER_ACTION_OPENED,       /* a token was adopted, also after a move or a reopening */
  OH_CALLER_ACTION_DATA,         /* part of a stream, in order, or the whole answer of a unary request */
  OH_CALLER_ACTION_RESTART,      /* the entity changed: the request's data starts again at the beginning */
  OH_CALLER_ACTION_RENUMBERED,   /* number ended with result; the request continues under another number */
  OH_CALLER_ACTION_DONE,         /* the request ended with result; reported exactly once per request */
  OH_CALLER_ACTION_OPEN_FAILED,  /* result; every request was reported before, the flow is unusable */
  OH_CALLER_ACTION_CLOSED,       /* the flow is closed */
} oh_caller_action_kind_t;

typedef struct
{
  oh_caller_action_kind_t kind;
  uint64_t id;         /* DATA, RESTART, RENUMBERED, DONE */
  uint32_t number;     /* RENUMBERED, DONE: request number; 0 if it has none */
  Oh__Result result;   /* RENUMBERED, DONE, OPEN_FAILED; RESULT_NONE: answered */
  uint64_t sequence;   /* DATA: chunk number */
  const void *bytes;   /* SEND, DATA */
  size_t length;       /* SEND, DATA */
  uint64_t total;      /* DONE: bytes of the answer */
  uint64_t digest;     /* DONE: digest of the last chunk accepted */
  int64_t due_us;      /* ARM_TIMER */
  uint32_t generation; /* OPENED */
} oh_caller_action_t;

typedef struct oh_caller_sink oh_caller_sink_t;

/* Receives the core's actions. The action and its bytes are valid during the call. */
struct oh_caller_sink
{
  void (*emit) (oh_caller_sink_t *sink, const oh_caller_action_t *action);
};

typedef enum
{
  OH_CALLER_IDLE,    /* before OH_CALLER_EVENT_OPEN */
  OH_CALLER_OPENING, /* also while a lost owner is replaced */
  OH_CALLER_OPEN,
  OH_CALLER_CLOSING,
  OH_CALLER_CLOSED, /* after a close or a failed opening */
} oh_caller_state_t;

typedef struct oh_caller_entry oh_caller_entry_t;

typedef struct
{
  oh_flow_id_t flow;
  uint64_t service; /* oh_service_id of the service's name */
  oh_random_t *random;
  oh_retry_budget_t *budget;
  oh_caller_state_t state;
  uint32_t generation; /* flow generation of the current token; while opening, of the requested one */
  oh_token_t token;

  /* Opening and closing. */
  uint32_t open_attempt;     /* incremented when the current attempt is refused */
  unsigned unanswered_opens; /* on the current path */
  int64_t give_up_us;        /* deadline of the opening or closing */
  int64_t retransmit_us;     /* next Open or Close */
  int64_t interval_us;       /* backoff before the one after it */
  Oh__Result open_refusal;   /* of the last refusal; reported if the opening fails */

  /* Path. */
  uint64_t ping_sequence;
  uint64_t pong_sequence;    /* highest ping sequence answered */
  unsigned unanswered_pings; /* on the current path, since the owner last answered */
  bool path_replaced;        /* since the owner last answered */
  int64_t ping_us;           /* next ping */

  /* Requests. The window is indexed by request number modulo OH_REQUEST_WINDOW. */
  oh_caller_entry_t *window[OH_REQUEST_WINDOW];
  uint32_t floor; /* lowest unfinished request number, sent as ack_below */
  uint32_t next_number;
  oh_list_t pending; /* entries without a number, ordered by priority, then arrival */
  int64_t armed_us;  /* time last passed in ARM_TIMER; 0 after the timer fired */

  /* Statistics. */
  uint64_t n_reopened;
  uint64_t n_moved;
  uint64_t n_path_replaced;
  uint64_t n_stale_packets; /* late, duplicate or unexpected */
  uint64_t n_bad_chunks;    /* digest, length or entity tag inconsistent with the answer so far */
} oh_caller_core_t;

/* random and budget must outlive the core. Draws the flow id from random. */
void oh_caller_core_init (oh_caller_core_t *core, uint64_t service, oh_random_t *random,
                          oh_retry_budget_t *budget);

/* Frees the requests without reporting them. */
void oh_caller_core_finish (oh_caller_core_t *core);

/* Handles one event and then everything that is due at its time. */
void oh_caller_core_handle (oh_caller_core_t *core, const oh_caller_event_t *event, oh_caller_sink_t *sink);

/* The current number of an unfinished request; 0 if it has none or the id is unknown. */
uint32_t oh_caller_core_request_number (const oh_caller_core_t *core, uint64_t id);
