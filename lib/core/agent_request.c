#define OH_LOG_MODULE "agent"
#include "core/agent_internal.h"

enum
{
  DEFAULT_QUEUE_PER_SLOT = 8,
  MAX_RESTARTS = 5, /* about 6 s without progress, as the delays double */
};

static oh_run_t *
find_run (const oh_agent_core_t *core, uint64_t id)
{
  return g_hash_table_lookup (core->runs, &id);
}

/* True for requests with one answer that cannot be resumed, unlike feeds and transfers. */
static bool
is_unary (Oh__RequestKind kind)
{
  return kind == OH__REQUEST_KIND__REQUEST_ONCE || kind == OH__REQUEST_KIND__REQUEST_REPEATABLE;
}

static const oh_config_service_t *
service_config (const oh_agent_core_t *core)
{
  return core->view != NULL ? oh_config_find (&core->view->config, core->config.service) : NULL;
}

static void
emit_request (oh_agent_core_t *core, oh_agent_action_kind_t kind, uint64_t id, bool paused)
{
  oh_agent_emit (core, &(oh_agent_action_t){ .kind = kind, .request = { .id = id, .paused = paused } });
}

static void
free_slot (oh_agent_core_t *core, oh_run_t *run)
{
  if (!run->holds_slot)
    return;
  run->holds_slot = false;
  core->busy--;
  if (run->priority_class > 0)
    core->busy_lower_classes--;
  core->load_changed = true;
}

static void
end_run (oh_agent_core_t *core, oh_run_t *run)
{
  free_slot (core, run);
  if (run->entry != NULL)
    run->entry->run = 0;
  g_hash_table_remove (core->runs, &run->id);
  oh_list_remove (&run->link);
  g_free (run);
}

static void
abandon_run (oh_agent_core_t *core, oh_run_t *run)
{
  emit_request (core, OH_AGENT_ACTION_ABANDON, run->id, false);
  end_run (core, run);
}

/* The request stays at the upstream and keeps its slot, but its result is discarded. */
static void
detach_run (oh_agent_core_t *core, oh_run_t *run)
{
  oh_flow_entry_t *entry = run->entry;

  if (entry->paused)
    emit_request (core, OH_AGENT_ACTION_SET_PAUSED, run->id, false);
  entry->paused = false;
  entry->run = 0;
  run->entry = NULL;
  if (run->failed)
    end_run (core, run);
}

/* Records the result and sends it. A duplicate of the request that arrives later gets the same result. */
static void
finish_entry (oh_agent_core_t *core, oh_flow_entry_t *entry, oh_flow_entry_state_t state, Oh__Result result)
{
  g_assert (entry->run == 0);
  entry->state = state;
  entry->result = result;
  g_clear_pointer (&entry->payload, g_free);
  oh_chunk_stream_finish (&entry->stream);
  oh_list_remove (&entry->ready_link);
  entry->stream.send_next = entry->stream.next;
  entry->stream.retransmit_us = 0;
  entry->outcome_retries = 0;
  entry->retry_interval_ms = OH_STREAM_BACKOFF_MIN_MS;
  if (result == OH__RESULT__RESULT_UNKNOWN)
    oh_counter_increment (&core->counters.requests_unknown);
  else if (result != OH__RESULT__RESULT_FAILED)
    oh_counter_increment (&core->counters.requests_refused);
  oh_agent_log (core, OH_LOG_DEBUG, "request_finished",
                "flow=%016" G_GINT64_MODIFIER "x number=%u attempt=%u result=%d",
                oh_agent_flow_log_id (entry->flow), entry->number, entry->attempt, (int)result);
  oh_agent_send_outcome (core, entry);
}

static void
start_run (oh_agent_core_t *core, oh_flow_entry_t *entry)
{
  oh_run_t *run = g_new0 (oh_run_t, 1);
  const bool feed = entry->kind == OH__REQUEST_KIND__REQUEST_FEED;
  oh_upstream_request_t request = {
    .flow = entry->flow->id,
    .number = entry->number,
    .kind = entry->kind,
    .priority = entry->queue_item.priority_class,
    .payload = entry->payload,
    .payload_length = entry->payload_length,
  };

  if (entry->queue_item.deadline_us != INT64_MAX && !entry->answer_started)
    request.remaining_ms = MAX ((entry->queue_item.deadline_us - core->now_us) / 1000, 1);
  if (feed && entry->feed_base_known && entry->feed_base + entry->stream.next > 0)
    {
      request.resume = true;
      request.last_event_id = entry->feed_base + entry->stream.next - 1;
    }
  if (entry->kind == OH__REQUEST_KIND__REQUEST_TRANSFER && entry->stream.next > 0)
    {
      request.resume = true;
      request.resume_chunk = entry->stream.next;
    }
  *run = (oh_run_t){
    .id = ++core->last_run_id,
    .entry = entry,
    .kind = entry->kind,
    .priority_class = entry->queue_item.priority_class,
    .holds_slot = !feed,
    .started_us = core->now_us,
  };
  g_hash_table_insert (core->runs, &run->id, run);
  oh_list_append (&core->run_list, &run->link);
  if (run->holds_slot)
    {
      core->busy++;
      if (run->priority_class > 0)
        core->busy_lower_classes++;
      core->load_changed = true;
    }
  request.id = run->id;
  entry->run = run->id;
  entry->state = OH_FLOW_ENTRY_RUNNING;
  entry->paused = false;
  oh_counter_increment (&core->counters.requests_run);
  oh_agent_emit (core, &(oh_agent_action_t){ .kind = OH_AGENT_ACTION_START, .start = &request });
}

static void
enqueue (oh_agent_core_t *core, oh_flow_entry_t *entry)
{
  entry->state = OH_FLOW_ENTRY_QUEUED;
  oh_request_queue_push (&core->queue, &entry->queue_item);
  core->load_changed = true;
}

static void
refuse_queued (oh_agent_core_t *core, oh_flow_entry_t *entry, Oh__Result result)
{
  oh_request_queue_remove (&core->queue, &entry->queue_item);
  core->load_changed = true;
  finish_entry (core, entry, OH_FLOW_ENTRY_REFUSED, result);
}

static void
admit (oh_agent_core_t *core, oh_flow_entry_t *entry)
{
  const oh_config_service_t *service = service_config (core);
  const unsigned per_slot = service != NULL ? service->queue_per_slot : DEFAULT_QUEUE_PER_SLOT;

  if (oh_agent_has_wrong_service (core))
    finish_entry (core, entry, OH_FLOW_ENTRY_REFUSED, OH__RESULT__RESULT_WRONG_SERVICE);
  else if (entry->kind == OH__REQUEST_KIND__REQUEST_FEED)
    start_run (core, entry);
  else if (core->queue.length < per_slot * core->config.slots)
    enqueue (core, entry);
  else
    {
      /* When the queue is full, a queued request of a lower class is refused; it has not run either. */
      oh_queue_item_t *victim = oh_request_queue_find_victim (&core->queue, entry->queue_item.priority_class);

      if (victim == NULL)
        {
          finish_entry (core, entry, OH_FLOW_ENTRY_REFUSED, OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
          return;
        }
      refuse_queued (core, oh_list_entry (&victim->link, oh_flow_entry_t, queue_item.link),
                     OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
      enqueue (core, entry);
    }
}

static void
handle_duplicate (oh_agent_core_t *core, oh_flow_entry_t *entry, uint32_t attempt)
{
  oh_counter_increment (&core->counters.duplicates);
  /* An entry made by a cancellation that overtook its request has no attempt yet; the caller checks the one
   * in the outcome. */
  if (entry->state == OH_FLOW_ENTRY_CANCELLED)
    entry->attempt = attempt;
  switch (entry->state)
    {
    case OH_FLOW_ENTRY_QUEUED:
    case OH_FLOW_ENTRY_RESUMING:
      break;
    case OH_FLOW_ENTRY_RUNNING:
    case OH_FLOW_ENTRY_ANSWERED:
      oh_chunk_stream_rewind (&entry->stream);
      oh_agent_schedule_stream (core, entry);
      break;
    case OH_FLOW_ENTRY_REFUSED:
    case OH_FLOW_ENTRY_CANCELLED:
    case OH_FLOW_ENTRY_FAILED:
      entry->outcome_retries = 0;
      oh_agent_send_outcome (core, entry);
      break;
    }
}

void
oh_agent_handle_request (oh_agent_core_t *core, oh_flow_t *flow, const Oh__Request *request)
{
  const oh_config_service_t *service = service_config (core);
  const unsigned max_class = service != NULL ? service->max_class : 0;
  oh_flow_entry_t *entry;

  if (!oh_flow_in_window (flow, request->number) || (unsigned)request->kind > OH__REQUEST_KIND__REQUEST_FEED)
    {
      oh_counter_increment (&core->counters.packets_stale);
      return;
    }
  entry = oh_flow_find_entry (flow, request->number);
  if (entry != NULL && request->attempt < entry->attempt)
    {
      oh_counter_increment (&core->counters.packets_stale);
      return;
    }
  /* Only a new attempt runs again, unless the request is of kind ONCE or was cancelled. */
  if (entry != NULL
      && (request->attempt == entry->attempt || entry->kind == OH__REQUEST_KIND__REQUEST_ONCE
          || request->kind == OH__REQUEST_KIND__REQUEST_ONCE || entry->state == OH_FLOW_ENTRY_CANCELLED))
    {
      handle_duplicate (core, entry, request->attempt);
      return;
    }
  if (flow->state != OH_FLOW_OWNED)
    return; /* frozen: the caller retransmits it to the next owner */
  if (entry != NULL)
    oh_agent_drop_entry (core, entry);

  entry = oh_flow_add_entry (flow, request->number);
  entry->attempt = request->attempt;
  entry->kind = request->kind;
  entry->queue_item.priority_class = MIN (MAX (request->priority, max_class), OH_QUEUE_CLASSES - 1);
  entry->queue_item.deadline_us
    = request->remaining_ms > 0 ? core->now_us + (int64_t)request->remaining_ms * 1000 : INT64_MAX;
  entry->payload = g_memdup2 (request->payload.data, request->payload.len);
  entry->payload_length = request->payload.len;
  if (is_unary (request->kind))
    oh_chunk_stream_init (&entry->stream, 0, 0, 0, request->window);
  else
    {
      oh_chunk_stream_init (&entry->stream, request->resume_from, request->resume_digest, request->resume_tag,
                            request->window);
      entry->tag_known = request->resume_from > 0;
      entry->feed_base_known = entry->tag_known;
      entry->feed_base = request->resume_tag;
    }
  admit (core, entry);
}

void
oh_agent_handle_cancel (oh_agent_core_t *core, oh_flow_t *flow, uint32_t number)
{
  oh_flow_entry_t *entry;

  if (!oh_flow_in_window (flow, number))
    {
      oh_counter_increment (&core->counters.packets_stale);
      return;
    }
  entry = oh_flow_find_entry (flow, number);
  if (entry == NULL)
    {
      /* Records the cancellation, so that the request does not run if it arrives later. */
      entry = oh_flow_add_entry (flow, number);
      finish_entry (core, entry, OH_FLOW_ENTRY_CANCELLED, OH__RESULT__RESULT_NOT_RUN_CANCELLED);
      return;
    }
  switch (entry->state)
    {
    case OH_FLOW_ENTRY_QUEUED:
      oh_request_queue_remove (&core->queue, &entry->queue_item);
      core->load_changed = true;
      finish_entry (core, entry, OH_FLOW_ENTRY_CANCELLED, OH__RESULT__RESULT_NOT_RUN_CANCELLED);
      break;
    case OH_FLOW_ENTRY_RUNNING:
      if (!entry->cancel_requested)
        {
          entry->cancel_requested = true;
          find_run (core, entry->run)->cancel_pending = true;
          emit_request (core, OH_AGENT_ACTION_CANCEL, entry->run, false);
        }
      break;
    case OH_FLOW_ENTRY_RESUMING:
      finish_entry (core, entry, OH_FLOW_ENTRY_CANCELLED, OH__RESULT__RESULT_UNKNOWN);
      break;
    case OH_FLOW_ENTRY_ANSWERED:
      oh_chunk_stream_rewind (&entry->stream);
      oh_agent_schedule_stream (core, entry);
      break;
    case OH_FLOW_ENTRY_REFUSED:
    case OH_FLOW_ENTRY_CANCELLED:
    case OH_FLOW_ENTRY_FAILED:
      entry->outcome_retries = 0;
      oh_agent_send_outcome (core, entry);
      break;
    }
}

void
oh_agent_drop_entry (oh_agent_core_t *core, oh_flow_entry_t *entry)
{
  if (entry->state == OH_FLOW_ENTRY_QUEUED)
    {
      oh_request_queue_remove (&core->queue, &entry->queue_item);
      entry->state = OH_FLOW_ENTRY_REFUSED;
      core->load_changed = true;
    }
  if (entry->run != 0)
    {
      oh_run_t *run = find_run (core, entry->run);

      if (is_unary (entry->kind))
        detach_run (core, run);
      else
        abandon_run (core, run);
    }
  oh_flow_remove_entry (entry->flow, entry);
}

void
oh_agent_suspend_stream (oh_agent_core_t *core, oh_flow_entry_t *entry)
{
  g_assert (!is_unary (entry->kind));
  if (entry->run != 0)
    abandon_run (core, find_run (core, entry->run));
  entry->state = OH_FLOW_ENTRY_RESUMING;
  entry->retry_us = 0;
  entry->paused = false;
  oh_chunk_stream_drop_partial (&entry->stream);
}

void
oh_agent_resume_stream (oh_agent_core_t *core, oh_flow_entry_t *entry)
{
  g_assert (entry->state == OH_FLOW_ENTRY_RESUMING);
  if (entry->flow->state != OH_FLOW_OWNED)
    return;
  if (entry->kind == OH__REQUEST_KIND__REQUEST_FEED)
    {
      if (entry->tag_known && !entry->feed_base_known)
        {
          entry->feed_base = entry->stream.tag;
          entry->feed_base_known = true;
        }
      start_run (core, entry);
    }
  else
    enqueue (core, entry);
}

/* Schedules a new upstream connection for a feed or transfer, with backoff; after MAX_RESTARTS it fails. */
static void
schedule_restart (oh_agent_core_t *core, oh_flow_entry_t *entry)
{
  if (++entry->restarts > MAX_RESTARTS)
    {
      finish_entry (core, entry, OH_FLOW_ENTRY_FAILED, OH__RESULT__RESULT_UNKNOWN);
      return;
    }
  if (entry->restarts == 1)
    entry->retry_interval_ms = OH_STREAM_BACKOFF_MIN_MS;
  entry->state = OH_FLOW_ENTRY_RESUMING;
  entry->paused = false;
  oh_chunk_stream_drop_partial (&entry->stream);
  entry->retry_us = core->now_us + oh_stream_backoff_us (&entry->retry_interval_ms, core->random);
  if (oh_list_is_empty (&entry->timer_link))
    oh_list_append (&core->timers, &entry->timer_link);
}

static void
apply_failure (oh_agent_core_t *core, oh_flow_entry_t *entry, oh_upstream_failure_t failure)
{
  switch (failure)
    {
    case OH_UPSTREAM_SHED:
    case OH_UPSTREAM_NOT_SENT:
      if (entry->answer_started && !is_unary (entry->kind))
        schedule_restart (core, entry);
      else
        finish_entry (core, entry, OH_FLOW_ENTRY_REFUSED, OH__RESULT__RESULT_NOT_RUN_UPSTREAM);
      break;
    case OH_UPSTREAM_WRONG_SERVICE:
      finish_entry (core, entry, OH_FLOW_ENTRY_REFUSED, OH__RESULT__RESULT_WRONG_SERVICE);
      break;
    case OH_UPSTREAM_DEADLINE:
      finish_entry (core, entry, OH_FLOW_ENTRY_REFUSED, OH__RESULT__RESULT_NOT_RUN_DEADLINE);
      break;
    case OH_UPSTREAM_ERROR:
      finish_entry (core, entry, OH_FLOW_ENTRY_FAILED, OH__RESULT__RESULT_FAILED);
      break;
    case OH_UPSTREAM_CONNECTION_LOST:
      if (is_unary (entry->kind))
        finish_entry (core, entry, OH_FLOW_ENTRY_FAILED, OH__RESULT__RESULT_UNKNOWN);
      else
        schedule_restart (core, entry);
      break;
    }
}

/* Ends a feed or transfer that cannot continue. */
static void
fail_stream (oh_agent_core_t *core, oh_run_t *run, Oh__Result result)
{
  oh_flow_entry_t *entry = run->entry;

  abandon_run (core, run);
  finish_entry (core, entry, OH_FLOW_ENTRY_FAILED, result);
}

static void
handle_started (oh_agent_core_t *core, oh_run_t *run, const oh_upstream_event_t *event)
{
  oh_flow_entry_t *entry = run->entry;

  run->answer_started = true;
  if (entry == NULL)
    return;
  entry->answer_started = true;
  if (entry->kind == OH__REQUEST_KIND__REQUEST_FEED)
    return;
  if (entry->kind == OH__REQUEST_KIND__REQUEST_TRANSFER
      && ((entry->tag_known && event->started.tag != entry->stream.tag)
          || (entry->stream.next > 0 && !event->started.partial)))
    {
      fail_stream (core, run, OH__RESULT__RESULT_RESUME_MISMATCH);
      return;
    }
  entry->stream.tag = event->started.tag;
  entry->tag_known = true;
}

static void
pause_if_full (oh_agent_core_t *core, oh_run_t *run)
{
  oh_flow_entry_t *entry = run->entry;

  if (entry->paused || !oh_chunk_stream_is_full (&entry->stream))
    return;
  entry->paused = true;
  emit_request (core, OH_AGENT_ACTION_SET_PAUSED, run->id, true);
}

static void
handle_data (oh_agent_core_t *core, oh_run_t *run, const oh_upstream_event_t *event)
{
  oh_flow_entry_t *entry = run->entry;

  if (entry == NULL)
    return;
  entry->restarts = 0;
  oh_chunk_stream_append (&entry->stream, event->data.bytes, event->data.length);
  oh_agent_schedule_stream (core, entry);
  pause_if_full (core, run);
}

static void
handle_item (oh_agent_core_t *core, oh_run_t *run, const oh_upstream_event_t *event)
{
  oh_flow_entry_t *entry = run->entry;
  uint64_t expected;

  if (entry == NULL)
    return;
  if (!entry->feed_base_known)
    {
      /* The id of the first item becomes the feed's tag, so that any agent can map a chunk to an item. */
      entry->feed_base_known = true;
      entry->feed_base = event->data.item;
      entry->stream.tag = event->data.item;
      entry->tag_known = true;
    }
  expected = entry->feed_base + entry->stream.next;
  if (event->data.item < expected)
    return;
  if (event->data.item > expected || event->data.length > OH_CHUNK_MAX_BYTES)
    {
      fail_stream (core, run,
                   event->data.item > expected ? OH__RESULT__RESULT_RESUME_MISMATCH
                                               : OH__RESULT__RESULT_FAILED);
      return;
    }
  entry->restarts = 0;
  oh_chunk_stream_append_item (&entry->stream, event->data.bytes, event->data.length);
  oh_agent_schedule_stream (core, entry);
  pause_if_full (core, run);
}

static void
handle_end (oh_agent_core_t *core, oh_run_t *run)
{
  oh_flow_entry_t *entry = run->entry;

  oh_upstream_health_record (&core->health, core->now_us, true);
  end_run (core, run);
  if (entry == NULL)
    return;
  if (entry->kind == OH__REQUEST_KIND__REQUEST_FEED)
    {
      schedule_restart (core, entry);
      return;
    }
  oh_chunk_stream_end (&entry->stream);
  entry->state = OH_FLOW_ENTRY_ANSWERED;
  entry->paused = false;
  g_clear_pointer (&entry->payload, g_free);
  oh_agent_schedule_stream (core, entry);
}

static void
handle_failure (oh_agent_core_t *core, oh_run_t *run, oh_upstream_failure_t failure)
{
  oh_flow_entry_t *entry = run->entry;

  if (failure == OH_UPSTREAM_WRONG_SERVICE)
    core->health.wrong_service = true;
  else if (failure != OH_UPSTREAM_DEADLINE)
    oh_upstream_health_record (&core->health, core->now_us, false);
  if (run->cancel_pending && entry != NULL)
    {
      run->failed = true;
      run->failure = failure;
      free_slot (core, run);
      return;
    }
  end_run (core, run);
  if (entry != NULL)
    apply_failure (core, entry, failure);
}

static void
handle_cancel_result (oh_agent_core_t *core, oh_run_t *run, oh_cancel_result_t result)
{
  oh_flow_entry_t *entry = run->entry;
  /* Once the answer has begun, a report that the request did not run is not trusted. */
  const bool not_run = result == OH_CANCEL_RESULT_NOT_RUN && !run->answer_started;

  run->cancel_pending = false;
  if (entry == NULL)
    return;
  if (not_run)
    {
      if (run->failed)
        end_run (core, run);
      else
        abandon_run (core, run);
      finish_entry (core, entry, OH_FLOW_ENTRY_CANCELLED, OH__RESULT__RESULT_NOT_RUN_CANCELLED);
    }
  else if (run->failed)
    {
      const oh_upstream_failure_t failure = run->failure;

      end_run (core, run);
      if (is_unary (entry->kind))
        apply_failure (core, entry, failure);
      else
        finish_entry (core, entry, OH_FLOW_ENTRY_CANCELLED, OH__RESULT__RESULT_UNKNOWN);
    }
  else if (!is_unary (entry->kind))
    {
      abandon_run (core, run);
      finish_entry (core, entry, OH_FLOW_ENTRY_CANCELLED, OH__RESULT__RESULT_UNKNOWN);
    }
  else if (result != OH_CANCEL_RESULT_RUN && !run->answer_started)
    {
      detach_run (core, run);
      finish_entry (core, entry, OH_FLOW_ENTRY_FAILED, OH__RESULT__RESULT_UNKNOWN);
    }
  /* Otherwise the request runs to completion and its answer is sent as usual. */
}

void
oh_agent_handle_upstream (oh_agent_core_t *core, const oh_upstream_event_t *event)
{
  oh_run_t *run = event->id != 0 ? find_run (core, event->id) : NULL;

  switch (event->kind)
    {
    case OH_UPSTREAM_HEALTH:
      if (event->health.answered)
        oh_upstream_health_answered (&core->health, core->now_us, event->health.service, event->health.state,
                                     event->health.instance);
      return;
    case OH_UPSTREAM_LOAD:
      core->health.reported_slots = event->load.slots;
      return;
    case OH_UPSTREAM_STARTED:
      if (run != NULL)
        handle_started (core, run, event);
      return;
    case OH_UPSTREAM_DATA:
      if (run != NULL)
        handle_data (core, run, event);
      return;
    case OH_UPSTREAM_ITEM:
      if (run != NULL)
        handle_item (core, run, event);
      return;
    case OH_UPSTREAM_END:
      if (run != NULL)
        handle_end (core, run);
      return;
    case OH_UPSTREAM_FAILED:
      if (run != NULL)
        handle_failure (core, run, event->failure);
      return;
    case OH_UPSTREAM_CANCEL_RESULT:
      if (run != NULL)
        handle_cancel_result (core, run, event->cancel_result);
      return;
    }
}

void
oh_agent_unpause_stream (oh_agent_core_t *core, oh_flow_entry_t *entry)
{
  if (!entry->paused || entry->run == 0 || entry->stream.n_chunks > OH_STREAM_BUFFER_CHUNKS / 2)
    return;
  entry->paused = false;
  emit_request (core, OH_AGENT_ACTION_SET_PAUSED, entry->run, false);
}

void
oh_agent_run_queue (oh_agent_core_t *core)
{
  /* A suspect upstream gets one request at a time, to detect whether it has recovered. */
  const unsigned limit
    = core->health.answered ? MAX (oh_upstream_health_offered_slots (&core->health, core->now_us), 1) : 0;
  oh_queue_item_t *item;

  while ((item = oh_request_queue_expired (&core->queue, core->now_us)) != NULL)
    refuse_queued (core, oh_list_entry (&item->link, oh_flow_entry_t, queue_item.link),
                   OH__RESULT__RESULT_NOT_RUN_DEADLINE);
  if (oh_agent_has_wrong_service (core))
    {
      while ((item = oh_request_queue_pop (&core->queue, 1, 0, 0)) != NULL)
        finish_entry (core, oh_list_entry (&item->link, oh_flow_entry_t, queue_item.link),
                      OH_FLOW_ENTRY_REFUSED, OH__RESULT__RESULT_WRONG_SERVICE);
      return;
    }
  while ((item = oh_request_queue_pop (&core->queue, limit, core->busy, core->busy_lower_classes)) != NULL)
    start_run (core, oh_list_entry (&item->link, oh_flow_entry_t, queue_item.link));
}

int64_t
oh_agent_oldest_unanswered_us (const oh_agent_core_t *core)
{
  /* The list is ordered by start time. */
  oh_list_foreach (&core->run_list, link)
    {
      const oh_run_t *run = oh_list_entry (link, oh_run_t, link);

      if (!run->answer_started && run->holds_slot)
        return run->started_us;
    }
  return 0;
}
