#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "core/codec.h"
#include "core/keyring.h"
#include "core/retry_budget.h"
#include "ports/random.h"

/*
 * One flow from the caller's side, without I/O: opening, requests, answers, cancellation, path checks and
 * reopening. Events carry the time; actions go to the sink. A sink must not hand the core another event
 * while the core handles one.
 */

typedef enum
{
  OH_CALLER_EVENT_OPEN,
  OH_CALLER_EVENT_PACKET,
  OH_CALLER_EVENT_TIMER,
  OH_CALLER_EVENT_REQUEST,
  OH_CALLER_EVENT_CANCEL,
  OH_CALLER_EVENT_CLOSE,
} oh_caller_event_kind_t;

typedef struct
{
  uint64_t id; /* chosen by the user; names the request in actions and in a cancellation */
  Oh__RequestKind kind;
  unsigned priority;   /* 0 command, 1 normal, 2 bulk */
  int64_t deadline_us; /* 0: none */
  const uint8_t *payload;
  size_t payload_length; /* at most OH_PAYLOAD_MAX_BYTES */
} oh_caller_request_t;

typedef struct
{
  oh_caller_event_kind_t kind;
  int64_t now_us;
  union
  {
    const Oh__Packet *packet;
    oh_caller_request_t request;
    uint64_t cancel_id;
  };
} oh_caller_event_t;

typedef enum
{
  OH_CALLER_ACTION_SEND,         /* bytes, to the fabric */
  OH_CALLER_ACTION_ARM_TIMER,    /* due_us; replaces the previous one */
  OH_CALLER_ACTION_REPLACE_PATH, /* open a new local socket; the old one is given up */
  OH_CALLER_ACTION_OPENED,       /* a token was adopted, also after a move and a reopening */
  OH_CALLER_ACTION_DATA,         /* part of an answer, in order; a single request's answer comes whole */
  OH_CALLER_ACTION_RESTART,      /* the entity changed: data of the request starts again at the beginning */
  OH_CALLER_ACTION_RENUMBERED,   /* number ended with result; the request goes on under another number */
  OH_CALLER_ACTION_DONE,
  OH_CALLER_ACTION_OPEN_FAILED, /* result; requests were reported before, the flow is unusable */
  OH_CALLER_ACTION_CLOSED,
} oh_caller_action_kind_t;

typedef struct
{
  oh_caller_action_kind_t kind;
  uint64_t id;         /* DATA, RESTART, RENUMBERED, DONE */
  uint32_t number;     /* RENUMBERED, DONE; 0 if it was never sent */
  Oh__Result result;   /* RENUMBERED, DONE, OPEN_FAILED; RESULT_NONE: answered */
  uint64_t sequence;   /* DATA: chunk number */
  const void *bytes;   /* SEND, DATA */
  size_t length;       /* SEND, DATA */
  uint64_t total;      /* DONE: bytes of the answer */
  uint64_t digest;     /* DONE: digest of the last chunk taken */
  int64_t due_us;      /* ARM_TIMER */
  uint32_t generation; /* OPENED */
} oh_caller_action_t;

typedef struct oh_caller_sink oh_caller_sink_t;

struct oh_caller_sink
{
  void (*emit) (oh_caller_sink_t *sink, const oh_caller_action_t *action);
};

typedef enum
{
  OH_CALLER_IDLE,
  OH_CALLER_OPENING,
  OH_CALLER_OPEN,
  OH_CALLER_CLOSING,
  OH_CALLER_CLOSED, /* after a close or a failed opening */
} oh_caller_state_t;

typedef struct oh_caller_entry oh_caller_entry_t;

typedef struct
{
  oh_flow_id_t flow;
  uint64_t service;
  oh_random_t *random;
  oh_retry_budget_t *budget;
  oh_caller_state_t state;
  uint32_t generation; /* of the token held, or of the one asked for */
  oh_token_t token;

  /* Opening and closing. */
  uint32_t open_attempt;
  unsigned unanswered_opens; /* on the present path */
  int64_t give_up_us;
  int64_t retransmit_us;
  int64_t interval_us;
  Oh__Result open_refusal; /* last one */

  /* Path. */
  uint64_t ping_sequence;
  uint64_t pong_sequence; /* highest one answered */
  unsigned unanswered_pings;
  bool path_replaced; /* since the owner was last heard */
  int64_t ping_us;

  /* Requests; slots are indexed by number modulo the window. */
  oh_caller_entry_t *window[OH_REQUEST_WINDOW];
  uint32_t floor; /* lowest unfinished number, sent as ack_below */
  uint32_t next_number;
  oh_list_t pending; /* not yet numbered, ordered by priority, then arrival */
  int64_t armed_us;

  /* Counts, for counters and tests. */
  uint64_t n_reopened;
  uint64_t n_moved;
  uint64_t n_path_replaced;
  uint64_t n_stale_packets;
  uint64_t n_bad_chunks;
} oh_caller_core_t;

/* random and budget must outlive the core; the flow id is drawn from random. */
void oh_caller_core_init (oh_caller_core_t *core, uint64_t service, oh_random_t *random,
                          oh_retry_budget_t *budget);
void oh_caller_core_finish (oh_caller_core_t *core);

void oh_caller_core_handle (oh_caller_core_t *core, const oh_caller_event_t *event, oh_caller_sink_t *sink);

/* The present number of an unfinished request; 0 if it has none. */
uint32_t oh_caller_core_number (const oh_caller_core_t *core, uint64_t id);
