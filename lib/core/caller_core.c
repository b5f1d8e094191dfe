#include "core/caller_core.h"

#include <glib.h>
#include <string.h>

#include "core/caller_internal.h"
#include "core/caller_send.h"

enum
{
  PING_INTERVAL_US = 1000 * 1000,
  PING_RETRY_INTERVAL_US = 300 * 1000, /* after an unanswered ping; many times the round trip of 5 ms */
  UNANSWERED_PINGS_MAX = 3,
  UNANSWERED_OPENS_MAX = 3,
  OPEN_LIMIT_US = 10 * 1000 * 1000,    /* a service without an upstream is reported after this time */
  REOPEN_LIMIT_US = 120 * 1000 * 1000, /* so that an established flow survives a restart of all upstreams */
  CLOSE_LIMIT_US = 2 * 1000 * 1000,
};

int64_t
oh_caller_jittered (const oh_caller_core_t *core, int64_t interval_us)
{
  return interval_us * 3 / 4 + (int64_t)oh_random_below (core->random, (uint64_t)interval_us / 2 + 1);
}

void
oh_caller_mark_path_alive (oh_caller_core_t *core, int64_t now_us)
{
  core->unanswered_pings = 0;
  core->path_replaced = false;
  core->ping_us = now_us + PING_INTERVAL_US;
}

/* Ends every request; those that may have run end as unknown. */
static void
give_up_all_requests (oh_caller_core_t *core, Oh__Result result_if_not_run, oh_caller_sink_t *sink)
{
  for (uint32_t number = core->floor; number < core->next_number; number++)
    {
      oh_caller_entry_t *entry = oh_caller_window_find (core, number);

      if (entry != NULL && !entry->finished)
        oh_caller_give_up_entry (core, entry, result_if_not_run, sink);
    }
  oh_list_foreach_safe (&core->pending, link, following)
    oh_caller_give_up_entry (core, oh_list_entry (link, oh_caller_entry_t, link), result_if_not_run, sink);
}

static void
start_opening (oh_caller_core_t *core, int64_t now_us, int64_t limit_us, oh_caller_sink_t *sink)
{
  core->state = OH_CALLER_OPENING;
  core->open_attempt = 1;
  core->unanswered_opens = 0;
  core->interval_us = OH_CALLER_BACKOFF_MIN_US;
  core->give_up_us = now_us + limit_us;
  core->retransmit_us = now_us + oh_caller_jittered (core, core->interval_us);
  core->open_refusal = OH__RESULT__RESULT_NO_UPSTREAM;
  oh_caller_send_open (core, sink);
}

/* Asks for a new owner because the current one is gone or unreachable. Requests that were sent and must not
 * run twice, or were cancelled, end as unknown; the others are sent again to the new owner. */
static void
reopen (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink)
{
  for (uint32_t number = core->floor; number < core->next_number; number++)
    {
      oh_caller_entry_t *entry = oh_caller_window_find (core, number);

      if (entry == NULL || entry->finished)
        continue;
      if (entry->sent && (entry->kind == OH__REQUEST_KIND__REQUEST_ONCE || entry->cancelled))
        {
          oh_caller_finish_entry (core, entry, OH__RESULT__RESULT_UNKNOWN, sink);
          continue;
        }
      entry->attempt++;
      entry->may_have_run = entry->may_have_run || entry->sent;
      entry->sent = false;
      entry->send_us = 0;
      entry->ack_us = 0;
      oh_answer_drop_buffered (&entry->answer);
      if (!oh_caller_entry_is_stream (entry))
        {
          oh_answer_init (&entry->answer);
          g_byte_array_set_size (entry->body, 0);
        }
    }
  core->n_reopened++;
  core->generation++;
  start_opening (core, now_us, REOPEN_LIMIT_US, sink);
}

static void
fail_opening (oh_caller_core_t *core, oh_caller_sink_t *sink)
{
  core->state = OH_CALLER_CLOSED;
  give_up_all_requests (core, core->open_refusal, sink);
  sink->emit (sink, &(oh_caller_action_t){
                      .kind = OH_CALLER_ACTION_OPEN_FAILED,
                      .result = core->open_refusal,
                    });
}

/* Makes the agent in the token the owner and sends all unfinished requests to it. */
static void
adopt_token (oh_caller_core_t *core, const oh_token_t *token, int64_t now_us, oh_caller_sink_t *sink)
{
  core->token = *token;
  core->generation = token->flow_generation;
  if (core->state != OH_CALLER_CLOSING)
    core->state = OH_CALLER_OPEN;
  else
    core->retransmit_us = now_us;
  oh_caller_mark_path_alive (core, now_us);
  for (uint32_t number = core->floor; number < core->next_number; number++)
    {
      oh_caller_entry_t *entry = oh_caller_window_find (core, number);

      if (entry->finished)
        continue;
      entry->send_us = now_us;
      entry->interval_us = OH_CALLER_BACKOFF_MIN_US;
    }
  sink->emit (sink, &(oh_caller_action_t){
                      .kind = OH_CALLER_ACTION_OPENED,
                      .generation = core->generation,
                    });
}

static void
handle_open_reply (oh_caller_core_t *core, const Oh__OpenReply *reply, int64_t now_us, oh_caller_sink_t *sink)
{
  oh_token_t token;

  if (core->state != OH_CALLER_OPENING)
    {
      core->n_stale_packets++;
      return;
    }
  if (reply->refused == OH__RESULT__RESULT_NONE)
    {
      /* The first token is used; one for an earlier attempt is equally valid. */
      if (oh_token_from_wire (reply->token, &token) && token.service == core->service
          && token.flow_generation == core->generation)
        adopt_token (core, &token, now_us, sink);
      return;
    }
  if (reply->attempt != core->open_attempt)
    {
      core->n_stale_packets++;
      return;
    }
  core->open_refusal = reply->refused;
  if (core->generation == 1 && reply->refused == OH__RESULT__RESULT_DEPENDENCY_UNAVAILABLE)
    {
      fail_opening (core, sink);
      return;
    }
  core->open_attempt++;
  core->unanswered_opens = 0;
  core->retransmit_us = now_us + oh_caller_jittered (core, core->interval_us);
  core->interval_us = MIN (core->interval_us * 2, OH_CALLER_BACKOFF_MAX_US);
}

static void
handle_pong (oh_caller_core_t *core, const Oh__Pong *pong, int64_t now_us)
{
  oh_token_t token;

  /* A late or duplicate pong does not show that the path works now. */
  if (core->state != OH_CALLER_OPEN || pong->sequence <= core->pong_sequence
      || pong->sequence > core->ping_sequence)
    {
      core->n_stale_packets++;
      return;
    }
  core->pong_sequence = pong->sequence;
  oh_caller_mark_path_alive (core, now_us);
  if (pong->token != NULL && oh_token_from_wire (pong->token, &token) && token.service == core->service
      && token.incarnation == core->token.incarnation && token.flow_generation == core->generation
      && oh_address_equal (token.agent, core->token.agent))
    core->token = token;
}

static void
handle_moved (oh_caller_core_t *core, const Oh__Moved *moved, int64_t now_us, oh_caller_sink_t *sink)
{
  oh_token_t token;
  bool newer;

  if (!oh_token_from_wire (moved->token, &token) || token.service != core->service
      || core->state == OH_CALLER_CLOSED)
    return;
  /* While opening, core->generation is the requested one, which the new owner may have been given already. */
  newer = core->state == OH_CALLER_OPENING ? token.flow_generation >= core->generation
                                           : token.flow_generation > core->generation;
  if (!newer)
    {
      core->n_stale_packets++;
      return;
    }
  core->n_moved++;
  adopt_token (core, &token, now_us, sink);
}

static void
handle_gone (oh_caller_core_t *core, const Oh__Gone *gone, int64_t now_us, oh_caller_sink_t *sink)
{
  if (gone->incarnation != core->token.incarnation)
    core->n_stale_packets++;
  else if (core->state == OH_CALLER_OPEN)
    reopen (core, now_us, sink);
}

static void
finish_close (oh_caller_core_t *core, oh_caller_sink_t *sink)
{
  core->state = OH_CALLER_CLOSED;
  sink->emit (sink, &(oh_caller_action_t){ .kind = OH_CALLER_ACTION_CLOSED });
}

static void
handle_packet (oh_caller_core_t *core, const Oh__Packet *packet, int64_t now_us, oh_caller_sink_t *sink)
{
  oh_flow_id_t flow;

  oh_flow_id_from_packet (packet, &flow);
  /* A Gone of another service is valid: an agent of that service may have been started at the owner's
   * address. */
  if (memcmp (&flow, &core->flow, sizeof flow) != 0
      || (packet->service != core->service && packet->body_case != OH__PACKET__BODY_GONE))
    {
      core->n_stale_packets++;
      return;
    }
  switch (packet->body_case)
    {
    case OH__PACKET__BODY_OPEN_REPLY:
      handle_open_reply (core, packet->open_reply, now_us, sink);
      break;
    case OH__PACKET__BODY_CHUNK:
      if (core->state == OH_CALLER_OPEN)
        oh_caller_handle_chunk (core, packet->chunk, now_us, sink);
      break;
    case OH__PACKET__BODY_OUTCOME:
      if (core->state == OH_CALLER_OPEN)
        oh_caller_handle_outcome (core, packet->outcome, now_us, sink);
      break;
    case OH__PACKET__BODY_PONG:
      handle_pong (core, packet->pong, now_us);
      break;
    case OH__PACKET__BODY_MOVED:
      handle_moved (core, packet->moved, now_us, sink);
      break;
    case OH__PACKET__BODY_GONE:
      if (core->state == OH_CALLER_CLOSING && packet->gone->incarnation == core->token.incarnation)
        finish_close (core, sink);
      else
        handle_gone (core, packet->gone, now_us, sink);
      break;
    case OH__PACKET__BODY_CLOSE_REPLY:
      if (core->state == OH_CALLER_CLOSING)
        finish_close (core, sink);
      break;
    case OH__PACKET__BODY_OPEN:
    case OH__PACKET__BODY_REQUEST:
    case OH__PACKET__BODY_CHUNK_ACK:
    case OH__PACKET__BODY_CANCEL:
    case OH__PACKET__BODY_PING:
    case OH__PACKET__BODY_CLOSE:
    case OH__PACKET__BODY__NOT_SET:
    case _OH__PACKET__BODY__CASE_IS_INT_SIZE:
      core->n_stale_packets++;
      break;
    }
}

/* Pings the owner. Unanswered pings lead to a new path first, then, without an answer on that one either, to
 * a new owner. */
static void
run_path_checks (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink)
{
  if (now_us < core->ping_us)
    return;
  if (core->unanswered_pings >= UNANSWERED_PINGS_MAX)
    {
      if (core->path_replaced)
        {
          reopen (core, now_us, sink);
          return;
        }
      core->path_replaced = true;
      core->unanswered_pings = 0;
      core->n_path_replaced++;
      sink->emit (sink, &(oh_caller_action_t){ .kind = OH_CALLER_ACTION_REPLACE_PATH });
      for (uint32_t number = core->floor; number < core->next_number; number++)
        {
          oh_caller_entry_t *entry = oh_caller_window_find (core, number);

          if (!entry->finished)
            entry->send_us = now_us;
        }
    }
  core->unanswered_pings++;
  /* Replacing the path is cheap, so the interval before it is short. Leaving the owner may make outcomes
   * unknown, so the interval before that is longer. */
  core->ping_us = now_us + (core->path_replaced ? PING_INTERVAL_US : PING_RETRY_INTERVAL_US);
  oh_caller_send_ping (core, sink);
}

static void
run_opening_timers (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink)
{
  if (now_us >= core->give_up_us)
    {
      fail_opening (core, sink);
      return;
    }
  if (now_us < core->retransmit_us)
    return;
  if (++core->unanswered_opens > UNANSWERED_OPENS_MAX)
    {
      core->unanswered_opens = 0;
      core->n_path_replaced++;
      sink->emit (sink, &(oh_caller_action_t){ .kind = OH_CALLER_ACTION_REPLACE_PATH });
    }
  oh_caller_send_open (core, sink);
  core->retransmit_us = now_us + oh_caller_jittered (core, core->interval_us);
  core->interval_us = MIN (core->interval_us * 2, OH_CALLER_BACKOFF_MAX_US);
}

static void
run_closing_timers (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink)
{
  if (now_us >= core->give_up_us)
    {
      finish_close (core, sink);
      return;
    }
  if (now_us < core->retransmit_us)
    return;
  oh_caller_send_close (core, sink);
  core->retransmit_us = now_us + oh_caller_jittered (core, core->interval_us);
  core->interval_us = MIN (core->interval_us * 2, OH_CALLER_BACKOFF_MAX_US);
}

/* Does everything that is due at now_us; called after every event. */
static void
run_due_work (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink)
{
  oh_caller_expire_pending (core, now_us, sink);
  if (core->state == OH_CALLER_OPEN)
    run_path_checks (core, now_us, sink);
  switch (core->state)
    {
    case OH_CALLER_OPEN:
      oh_caller_run_entry_timers (core, now_us, sink);
      oh_caller_send_pending (core, now_us, sink);
      break;
    case OH_CALLER_OPENING:
      run_opening_timers (core, now_us, sink);
      break;
    case OH_CALLER_CLOSING:
      run_closing_timers (core, now_us, sink);
      break;
    case OH_CALLER_IDLE:
    case OH_CALLER_CLOSED:
      break;
    }
}

/* Lowers *due_us to the candidate if that is earlier; 0: no candidate. */
static void
lower_due_us (int64_t *due_us, int64_t candidate_us)
{
  if (candidate_us != 0 && candidate_us < *due_us)
    *due_us = candidate_us;
}

/* Time of the next timer event; G_MAXINT64: none. */
static int64_t
next_due_us (const oh_caller_core_t *core)
{
  const bool window_full = !oh_caller_window_has_room (core);
  int64_t due_us = G_MAXINT64;

  oh_list_foreach (&core->pending, link)
    {
      const oh_caller_entry_t *entry = oh_list_entry (link, oh_caller_entry_t, link);

      lower_due_us (&due_us, entry->deadline_us);
      if (core->state == OH_CALLER_OPEN && !window_full && !oh_caller_must_wait (core, entry))
        lower_due_us (&due_us, entry->not_before_us);
    }
  if (core->state == OH_CALLER_OPENING || core->state == OH_CALLER_CLOSING)
    {
      lower_due_us (&due_us, core->give_up_us);
      lower_due_us (&due_us, core->retransmit_us);
    }
  if (core->state != OH_CALLER_OPEN)
    return due_us;
  lower_due_us (&due_us, core->ping_us);
  for (uint32_t number = core->floor; number < core->next_number; number++)
    {
      const oh_caller_entry_t *entry = oh_caller_window_find (core, number);

      if (entry->finished)
        continue;
      lower_due_us (&due_us, entry->send_us);
      lower_due_us (&due_us, entry->ack_us);
      if (entry->deadline_us != 0 && entry->answer.next == 0)
        lower_due_us (&due_us, entry->deadline_us
                                 + (entry->cancelled ? OH_CALLER_GIVE_UP_AFTER_DEADLINE_US
                                                     : OH_CALLER_CANCEL_AFTER_DEADLINE_US));
    }
  return due_us;
}

static void
handle_close (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink)
{
  const bool open = core->state == OH_CALLER_OPEN;

  if (core->state == OH_CALLER_CLOSED || core->state == OH_CALLER_CLOSING)
    return;
  core->state = open ? OH_CALLER_CLOSING : OH_CALLER_CLOSED;
  give_up_all_requests (core, OH__RESULT__RESULT_NOT_RUN_CANCELLED, sink);
  core->interval_us = OH_CALLER_BACKOFF_MIN_US;
  core->give_up_us = now_us + CLOSE_LIMIT_US;
  core->retransmit_us = now_us;
  if (!open)
    finish_close (core, sink);
}

void
oh_caller_core_init (oh_caller_core_t *core, uint64_t service, oh_random_t *random, oh_retry_budget_t *budget)
{
  *core = (oh_caller_core_t){
    .service = service,
    .random = random,
    .budget = budget,
    .state = OH_CALLER_IDLE,
    .generation = 1,
    .floor = 1,
    .next_number = 1,
  };
  oh_random_fill (random, &core->flow, sizeof core->flow);
  oh_list_init (&core->pending);
}

void
oh_caller_core_finish (oh_caller_core_t *core)
{
  for (size_t i = 0; i < OH_REQUEST_WINDOW; i++)
    if (core->window[i] != NULL)
      oh_caller_entry_free (core->window[i]);
  oh_list_foreach_safe (&core->pending, link, following)
    oh_caller_entry_free (oh_list_entry (link, oh_caller_entry_t, link));
}

void
oh_caller_core_handle (oh_caller_core_t *core, const oh_caller_event_t *event, oh_caller_sink_t *sink)
{
  int64_t due_us;

  switch (event->kind)
    {
    case OH_CALLER_EVENT_OPEN:
      g_assert (core->state == OH_CALLER_IDLE);
      start_opening (core, event->now_us, OPEN_LIMIT_US, sink);
      break;
    case OH_CALLER_EVENT_PACKET:
      handle_packet (core, event->packet, event->now_us, sink);
      break;
    case OH_CALLER_EVENT_TIMER:
      core->armed_us = 0;
      break;
    case OH_CALLER_EVENT_REQUEST:
      oh_caller_handle_request (core, &event->request, sink);
      break;
    case OH_CALLER_EVENT_CANCEL:
      oh_caller_handle_cancel (core, event->cancel_id, event->now_us, sink);
      break;
    case OH_CALLER_EVENT_CLOSE:
      handle_close (core, event->now_us, sink);
      break;
    }
  run_due_work (core, event->now_us, sink);
  due_us = next_due_us (core);
  if (due_us == core->armed_us || due_us == G_MAXINT64)
    return;
  core->armed_us = due_us;
  sink->emit (sink, &(oh_caller_action_t){ .kind = OH_CALLER_ACTION_ARM_TIMER, .due_us = due_us });
}

uint32_t
oh_caller_core_request_number (const oh_caller_core_t *core, uint64_t id)
{
  const oh_caller_entry_t *entry = oh_caller_entry_find_by_id (core, id);

  return entry != NULL ? entry->number : 0;
}
