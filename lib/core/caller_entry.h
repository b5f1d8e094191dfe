#pragma once

#include <glib.h>

#include "core/answer_assembly.h"
#include "core/caller_core.h"

/* One request of a flow, either pending or in the window of request numbers. */

struct oh_caller_entry
{
  oh_list_t link; /* in core->pending while the entry has no number */
  uint64_t id;
  Oh__RequestKind kind;
  unsigned priority;
  int64_t deadline_us;
  GByteArray *payload;
  uint32_t number;   /* 0 while pending */
  uint32_t attempt;  /* within the current number; incremented by each reopening */
  bool sent;         /* in the current attempt */
  bool may_have_run; /* under an earlier number or attempt */
  bool cancelled;
  bool finished;           /* reported; kept until the floor passes it, to acknowledge late chunks */
  unsigned retries;        /* under another number, since the last accepted chunk */
  int64_t not_before_us;   /* earliest transmission of a pending retry */
  int64_t send_us;         /* next transmission; 0: none */
  int64_t interval_us;     /* backoff after the next transmission */
  unsigned unacknowledged; /* chunks accepted since the last acknowledgement */
  int64_t ack_us;          /* time of the delayed acknowledgement; 0: none */
  oh_answer_t answer;
  GByteArray *body; /* answer of a unary request, delivered when complete; NULL for a stream */
};

/* Transfers and feeds: their answers are delivered chunk by chunk and can be resumed. The other kinds are
 * unary requests, whose answer is delivered as a whole. */
static inline bool
oh_caller_entry_is_stream (const oh_caller_entry_t *entry)
{
  return entry->kind == OH__REQUEST_KIND__REQUEST_TRANSFER || entry->kind == OH__REQUEST_KIND__REQUEST_FEED;
}

/* Copies the payload. */
oh_caller_entry_t *oh_caller_entry_new (const oh_caller_request_t *request);

/* Unlinks from the pending list; the window must not refer to the entry any more. */
void oh_caller_entry_free (oh_caller_entry_t *entry);

/* Inserts into the pending list, behind entries of the same or a more urgent priority. */
void oh_caller_entry_queue (oh_caller_core_t *core, oh_caller_entry_t *entry);

/* True if the window has room for another number. */
bool oh_caller_window_has_room (const oh_caller_core_t *core);

/* Moves the entry from the pending list to the window under the next number. The window must have room. */
void oh_caller_entry_assign_number (oh_caller_core_t *core, oh_caller_entry_t *entry);

/* Finishes the entry's number and leaves the entry without one. A placeholder stays in the window, so that
 * late chunks are acknowledged until the floor has passed the number. */
void oh_caller_entry_release_number (oh_caller_core_t *core, oh_caller_entry_t *entry);

/* Frees the finished entries at the floor and raises the floor past them. */
void oh_caller_window_raise_floor (oh_caller_core_t *core);

/* NULL if the number is not in the window. */
oh_caller_entry_t *oh_caller_window_find (const oh_caller_core_t *core, uint32_t number);

/* Finds an unfinished entry, numbered or pending, by the user's id; NULL if none. */
oh_caller_entry_t *oh_caller_entry_find_by_id (const oh_caller_core_t *core, uint64_t id);
