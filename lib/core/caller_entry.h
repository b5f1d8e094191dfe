#pragma once

#include <glib.h>

#include "core/answer_assembly.h"
#include "core/caller_core.h"

/* One request of a flow and its place in the window of request numbers. */

struct oh_caller_entry
{
  oh_list_t link; /* in core->pending while it has no number */
  uint64_t id;
  Oh__RequestKind kind;
  unsigned priority;
  int64_t deadline_us;
  GByteArray *payload;
  uint32_t number;   /* 0 while pending */
  uint32_t attempt;  /* of the present number; grows when it is sent to a new owner */
  bool sent;         /* under the present number */
  bool may_have_run; /* under an earlier number or attempt */
  bool cancelled;
  bool finished; /* kept until the floor passes it, to acknowledge late copies */
  unsigned tries;
  int64_t not_before_us; /* of a pending retry */
  int64_t send_us;       /* next transmission; 0: none */
  int64_t interval_us;
  unsigned unacknowledged; /* chunks taken since the last acknowledgement */
  int64_t ack_us;          /* delayed acknowledgement due; 0: none */
  oh_answer_t answer;
  GByteArray *body; /* of single requests, delivered when complete */
};

static inline bool
oh_caller_entry_is_stream (const oh_caller_entry_t *entry)
{
  return entry->kind == OH__REQUEST_KIND__REQUEST_TRANSFER || entry->kind == OH__REQUEST_KIND__REQUEST_FEED;
}

oh_caller_entry_t *oh_caller_entry_new (const oh_caller_request_t *request);
void oh_caller_entry_free (oh_caller_entry_t *entry);

/* Inserts into the pending list, behind entries of the same or a higher priority class. */
void oh_caller_entry_queue (oh_caller_core_t *core, oh_caller_entry_t *entry);

/* True if another number fits the window. */
bool oh_caller_window_has_room (const oh_caller_core_t *core);

/* Takes the entry from the pending list and gives it the next number. */
void oh_caller_entry_assign (oh_caller_core_t *core, oh_caller_entry_t *entry);

/* Detaches the entry from its number, which is finished: a placeholder that acknowledges late copies stays
 * until the floor has passed it. */
void oh_caller_entry_detach (oh_caller_core_t *core, oh_caller_entry_t *entry);

/* Frees finished entries at the floor and raises it. */
void oh_caller_window_raise_floor (oh_caller_core_t *core);

/* NULL if the number is not in the window. */
oh_caller_entry_t *oh_caller_window_find (const oh_caller_core_t *core, uint32_t number);

/* By the user's id, numbered or pending, unfinished; NULL if none. */
oh_caller_entry_t *oh_caller_entry_find_id (const oh_caller_core_t *core, uint64_t id);
