#include "core/caller_internal.h"

#include <glib.h>
#include <string.h>

#include "core/caller_outcome.h"
#include "core/caller_send.h"

enum
{
  SUSPECT_PATH_PINGS = 2, /* unanswered pings; the first is then PING_RETRY_INTERVAL_US old */
  ACK_DELAY_US = 20 * 1000,
  ACK_CHUNKS = 8, /* an eighth of the window, so that the sender does not stall between acknowledgements */
  /* Time without chunks after which the request is sent again. Long for streams, since pings check the path
   * and this only resumes a stream that the owner has lost. */
  STREAM_STALL_US = 10 * 1000 * 1000,
  ANSWER_STALL_US = 1000 * 1000,
  RETRY_BACKOFF_US = 100 * 1000,
  TRIES_MAX = 4,              /* first one included; counted anew after each accepted chunk */
  ANSWER_MAX_BYTES = 1 << 20, /* of a unary request's answer, which is kept in memory until complete */
};

typedef struct
{
  oh_caller_entry_t *entry;
  oh_caller_sink_t *sink;
} delivery_context_t;

void
oh_caller_finish_entry (oh_caller_core_t *core, oh_caller_entry_t *entry, Oh__Result result,
                        oh_caller_sink_t *sink)
{
  if (result == OH__RESULT__RESULT_NONE && entry->body != NULL)
    sink->emit (sink, &(oh_caller_action_t){
                        .kind = OH_CALLER_ACTION_DATA,
                        .id = entry->id,
                        .bytes = entry->body->data,
                        .length = entry->body->len,
                      });
  sink->emit (sink, &(oh_caller_action_t){
                      .kind = OH_CALLER_ACTION_DONE,
                      .id = entry->id,
                      .number = entry->number,
                      .result = result,
                      .total = entry->answer.length,
                      .digest = entry->answer.digest,
                    });
  entry->finished = true;
  entry->send_us = 0;
  entry->ack_us = 0;
  if (entry->number == 0)
    oh_caller_entry_free (entry);
  else
    oh_caller_window_raise_floor (core);
}

void
oh_caller_give_up_entry (oh_caller_core_t *core, oh_caller_entry_t *entry, Oh__Result result_if_not_run,
                         oh_caller_sink_t *sink)
{
  const bool may_have_run = entry->sent || entry->may_have_run;

  oh_caller_finish_entry (core, entry, may_have_run ? OH__RESULT__RESULT_UNKNOWN : result_if_not_run, sink);
}

/* Ends the entry's number with result and makes the request pending again. */
static void
requeue (oh_caller_core_t *core, oh_caller_entry_t *entry, Oh__Result result, int64_t not_before_us,
         oh_caller_sink_t *sink)
{
  sink->emit (sink, &(oh_caller_action_t){
                      .kind = OH_CALLER_ACTION_RENUMBERED,
                      .id = entry->id,
                      .number = entry->number,
                      .result = result,
                    });
  entry->may_have_run
    = entry->may_have_run || (entry->sent && oh_outcome_from_result (result) != OH_OUTCOME_NOT_RUN);
  entry->sent = false;
  entry->not_before_us = not_before_us;
  oh_answer_drop_buffered (&entry->answer);
  if (!oh_caller_entry_is_stream (entry))
    {
      oh_answer_init (&entry->answer);
      g_byte_array_set_size (entry->body, 0);
    }
  oh_caller_entry_release_number (core, entry);
  oh_caller_entry_queue (core, entry);
}

/* True if the request may be sent again after the result, without regard to the retry budget. */
static bool
may_retry (const oh_caller_entry_t *entry, Oh__Result result, int64_t now_us)
{
  if (entry->cancelled || (entry->deadline_us != 0 && now_us >= entry->deadline_us))
    return false;
  switch (result)
    {
    case OH__RESULT__RESULT_NOT_RUN_OVERLOADED:
    case OH__RESULT__RESULT_NOT_RUN_DRAINING:
    case OH__RESULT__RESULT_NOT_RUN_UPSTREAM:
      return true;
    case OH__RESULT__RESULT_UNKNOWN:
    case OH__RESULT__RESULT_FAILED:
      return entry->kind != OH__REQUEST_KIND__REQUEST_ONCE;
    case OH__RESULT__RESULT_RESUME_MISMATCH:
      return entry->kind == OH__REQUEST_KIND__REQUEST_TRANSFER;
    case OH__RESULT__RESULT_NONE:
    case OH__RESULT__RESULT_NOT_RUN_DEADLINE:
    case OH__RESULT__RESULT_NOT_RUN_CANCELLED:
    case OH__RESULT__RESULT_DEPENDENCY_UNAVAILABLE:
    case OH__RESULT__RESULT_NO_UPSTREAM:
    case OH__RESULT__RESULT_NO_CONFIRMED_VIEW:
    case OH__RESULT__RESULT_WRONG_SERVICE:
    case _OH__RESULT_IS_INT_SIZE:
      break;
    }
  return false;
}

/* The result to report. A refusal is valid for the current attempt only: an earlier owner that has not
 * answered may still run the request, for instance when a frozen process continues. */
static Oh__Result
reported_result (const oh_caller_entry_t *entry, Oh__Result result)
{
  return entry->may_have_run && oh_outcome_from_result (result) == OH_OUTCOME_NOT_RUN
           ? OH__RESULT__RESULT_UNKNOWN
           : result;
}

/* Ends the request with the result, or retries it under another number. */
static void
finish_or_retry (oh_caller_core_t *core, oh_caller_entry_t *entry, Oh__Result result, int64_t now_us,
                 oh_caller_sink_t *sink)
{
  const bool established = oh_caller_entry_is_stream (entry) && entry->answer.next > 0;
  const Oh__Result reported = reported_result (entry, result);
  int64_t backoff_us;

  if (!may_retry (entry, result, now_us))
    {
      oh_caller_finish_entry (core, entry, reported, sink);
      return;
    }
  /* An established stream is not ended because the retry budget is spent; its retries are limited by the
   * backoff alone. */
  if (!established && (entry->retries + 1 >= TRIES_MAX || !oh_retry_budget_withdraw (core->budget)))
    {
      oh_caller_finish_entry (core, entry, reported, sink);
      return;
    }
  if (result == OH__RESULT__RESULT_RESUME_MISMATCH)
    {
      oh_answer_finish (&entry->answer);
      oh_answer_init (&entry->answer);
      sink->emit (sink, &(oh_caller_action_t){ .kind = OH_CALLER_ACTION_RESTART, .id = entry->id });
    }
  backoff_us = MIN (RETRY_BACKOFF_US << MIN (entry->retries, 5U), OH_CALLER_BACKOFF_MAX_US);
  entry->retries++;
  requeue (core, entry, reported, now_us + oh_caller_jittered (core, backoff_us), sink);
}

static void
deliver (uint64_t sequence, const uint8_t *bytes, size_t length, void *data)
{
  delivery_context_t *context = data;
  oh_caller_entry_t *entry = context->entry;

  entry->unacknowledged++;
  if (entry->body != NULL)
    {
      if (length > 0 && entry->body->len + length <= ANSWER_MAX_BYTES)
        g_byte_array_append (entry->body, bytes, length);
      return;
    }
  context->sink->emit (context->sink, &(oh_caller_action_t){
                                        .kind = OH_CALLER_ACTION_DATA,
                                        .id = entry->id,
                                        .sequence = sequence,
                                        .bytes = bytes,
                                        .length = length,
                                      });
}

static void
send_entry_ack (oh_caller_core_t *core, oh_caller_entry_t *entry, oh_caller_sink_t *sink)
{
  entry->ack_us = 0;
  entry->unacknowledged = 0;
  oh_caller_send_ack (core, entry->number, entry->attempt, entry->answer.next, sink);
}

static void
schedule_ack (oh_caller_entry_t *entry, int64_t now_us)
{
  if (entry->ack_us == 0)
    entry->ack_us = now_us + ACK_DELAY_US;
}

static void
handle_accepted_chunk (oh_caller_core_t *core, oh_caller_entry_t *entry, int64_t now_us,
                       oh_caller_sink_t *sink)
{
  /* The owner sends chunks of a stream without acknowledgements until the window is full, so they do not show
   * that the path to the owner works. */
  if (!oh_caller_entry_is_stream (entry))
    oh_caller_mark_path_alive (core, now_us);
  entry->retries = 0;
  entry->interval_us = OH_CALLER_BACKOFF_MIN_US;
  entry->send_us = now_us + (oh_caller_entry_is_stream (entry) ? STREAM_STALL_US : ANSWER_STALL_US);
  if (entry->body != NULL && entry->answer.length > ANSWER_MAX_BYTES)
    {
      oh_caller_finish_entry (core, entry, OH__RESULT__RESULT_FAILED, sink);
      return;
    }
  if (entry->answer.complete || entry->unacknowledged >= ACK_CHUNKS)
    send_entry_ack (core, entry, sink);
  else
    schedule_ack (entry, now_us);
  if (entry->answer.complete)
    oh_caller_finish_entry (core, entry, OH__RESULT__RESULT_NONE, sink);
}

void
oh_caller_handle_chunk (oh_caller_core_t *core, const Oh__Chunk *chunk, int64_t now_us,
                        oh_caller_sink_t *sink)
{
  oh_caller_entry_t *entry = oh_caller_window_find (core, chunk->number);
  delivery_context_t context = { .entry = entry, .sink = sink };

  if (chunk->number >= core->next_number || (entry != NULL && entry->attempt != chunk->attempt))
    {
      core->n_stale_packets++;
      return;
    }
  if (entry == NULL || entry->finished)
    {
      /* The owner does not know yet that the number is finished. */
      core->n_stale_packets++;
      oh_caller_send_ack (core, chunk->number, chunk->attempt, chunk->sequence + 1, sink);
      return;
    }
  switch (oh_answer_add (&entry->answer, chunk, deliver, &context))
    {
    case OH_CHUNK_ACCEPTED:
      handle_accepted_chunk (core, entry, now_us, sink);
      break;
    case OH_CHUNK_BUFFERED:
      schedule_ack (entry, now_us);
      break;
    case OH_CHUNK_DUPLICATE:
      core->n_stale_packets++;
      schedule_ack (entry, now_us);
      break;
    case OH_CHUNK_OUT_OF_WINDOW:
      core->n_stale_packets++;
      break;
    case OH_CHUNK_MISMATCH:
      core->n_bad_chunks++;
      schedule_ack (entry, now_us);
      break;
    case OH_CHUNK_TAG_CHANGE:
      core->n_bad_chunks++;
      finish_or_retry (core, entry, OH__RESULT__RESULT_RESUME_MISMATCH, now_us, sink);
      break;
    }
}

void
oh_caller_handle_outcome (oh_caller_core_t *core, const Oh__Outcome *outcome, int64_t now_us,
                          oh_caller_sink_t *sink)
{
  oh_caller_entry_t *entry = oh_caller_window_find (core, outcome->number);

  if (entry == NULL || entry->finished || outcome->result == OH__RESULT__RESULT_NONE
      || (entry->attempt != outcome->attempt && !entry->cancelled))
    {
      core->n_stale_packets++;
      return;
    }
  oh_caller_mark_path_alive (core, now_us);
  finish_or_retry (core, entry, outcome->result, now_us, sink);
}

static void
transmit (oh_caller_core_t *core, oh_caller_entry_t *entry, int64_t now_us, oh_caller_sink_t *sink)
{
  if (entry->cancelled && entry->sent)
    oh_caller_send_cancel (core, entry->number, sink);
  else
    {
      oh_caller_send_request (core, entry, now_us, sink);
      entry->sent = true;
    }
  entry->send_us = now_us + oh_caller_jittered (core, entry->interval_us);
  entry->interval_us = MIN (entry->interval_us * 2, OH_CALLER_BACKOFF_MAX_US);
}

/* Moves a stream at the floor of a full window to a new number, since the window cannot advance past it. */
static void
renumber_stream_at_floor (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink)
{
  oh_caller_entry_t *entry = oh_caller_window_find (core, core->floor);

  if (!oh_caller_entry_is_stream (entry) || entry->finished)
    return;
  oh_caller_send_cancel (core, entry->number, sink);
  requeue (core, entry, OH__RESULT__RESULT_NONE, now_us, sink);
  oh_caller_entry_assign_number (core, entry);
  entry->interval_us = OH_CALLER_BACKOFF_MIN_US;
  transmit (core, entry, now_us, sink);
}

void
oh_caller_expire_pending (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink)
{
  oh_list_foreach_safe (&core->pending, link, following)
    {
      oh_caller_entry_t *entry = oh_list_entry (link, oh_caller_entry_t, link);

      if (entry->deadline_us != 0 && now_us >= entry->deadline_us)
        oh_caller_give_up_entry (core, entry, OH__RESULT__RESULT_NOT_RUN_DEADLINE, sink);
    }
}

bool
oh_caller_must_wait (const oh_caller_core_t *core, const oh_caller_entry_t *entry)
{
  return entry->kind == OH__REQUEST_KIND__REQUEST_ONCE
         && (core->unanswered_pings >= SUSPECT_PATH_PINGS || core->path_replaced);
}

void
oh_caller_send_pending (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink)
{
  oh_list_foreach_safe (&core->pending, link, following)
    {
      oh_caller_entry_t *entry = oh_list_entry (link, oh_caller_entry_t, link);

      if (entry->not_before_us > now_us || oh_caller_must_wait (core, entry))
        continue;
      if (!oh_caller_window_has_room (core))
        renumber_stream_at_floor (core, now_us, sink);
      if (!oh_caller_window_has_room (core))
        return;
      oh_caller_entry_assign_number (core, entry);
      entry->interval_us = OH_CALLER_BACKOFF_MIN_US;
      transmit (core, entry, now_us, sink);
    }
}

/* Handles a passed deadline of a request that has no outcome and no chunk yet: asks the owner to end it,
 * later stops waiting. Returns true if the entry ended. */
static bool
check_deadline (oh_caller_core_t *core, oh_caller_entry_t *entry, int64_t now_us, oh_caller_sink_t *sink)
{
  if (entry->deadline_us == 0 || entry->answer.next > 0)
    return false;
  if (now_us >= entry->deadline_us + OH_CALLER_GIVE_UP_AFTER_DEADLINE_US)
    {
      oh_caller_give_up_entry (core, entry, OH__RESULT__RESULT_NOT_RUN_DEADLINE, sink);
      return true;
    }
  if (now_us >= entry->deadline_us + OH_CALLER_CANCEL_AFTER_DEADLINE_US && !entry->cancelled)
    {
      entry->cancelled = true;
      entry->interval_us = OH_CALLER_BACKOFF_MIN_US;
      entry->send_us = now_us;
    }
  return false;
}

void
oh_caller_run_entry_timers (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink)
{
  for (uint32_t number = core->floor; number < core->next_number; number++)
    {
      oh_caller_entry_t *entry = oh_caller_window_find (core, number);

      if (entry == NULL || entry->finished || check_deadline (core, entry, now_us, sink))
        continue;
      if (entry->ack_us != 0 && now_us >= entry->ack_us)
        send_entry_ack (core, entry, sink);
      if (entry->send_us != 0 && now_us >= entry->send_us)
        transmit (core, entry, now_us, sink);
    }
}

void
oh_caller_handle_request (oh_caller_core_t *core, const oh_caller_request_t *request, oh_caller_sink_t *sink)
{
  oh_caller_entry_t *entry = oh_caller_entry_new (request);

  g_assert (request->payload_length <= OH_PAYLOAD_MAX_BYTES);
  oh_retry_budget_deposit (core->budget);
  oh_caller_entry_queue (core, entry);
  if (core->state == OH_CALLER_CLOSED || core->state == OH_CALLER_CLOSING)
    oh_caller_give_up_entry (core, entry, OH__RESULT__RESULT_NO_UPSTREAM, sink);
}

void
oh_caller_handle_cancel (oh_caller_core_t *core, uint64_t id, int64_t now_us, oh_caller_sink_t *sink)
{
  oh_caller_entry_t *entry = oh_caller_entry_find_by_id (core, id);

  if (entry == NULL || entry->cancelled)
    return;
  if (!entry->sent)
    {
      oh_caller_give_up_entry (core, entry, OH__RESULT__RESULT_NOT_RUN_CANCELLED, sink);
      return;
    }
  entry->cancelled = true;
  entry->interval_us = OH_CALLER_BACKOFF_MIN_US;
  entry->send_us = now_us;
  if (oh_caller_entry_is_stream (entry))
    {
      /* The user needs nothing more of the stream, so it ends at once. If the Cancel is lost, ack_below tells
       * the owner. */
      if (core->state == OH_CALLER_OPEN)
        oh_caller_send_cancel (core, entry->number, sink);
      oh_caller_finish_entry (core, entry, OH__RESULT__RESULT_UNKNOWN, sink);
    }
}
