#include "core/segment_agent.h"

#include "core/segment_agent_private.h"

/* Segments from the upstream. */

static void
handle_returned_syn (oh_segment_agent_t *agent, oh_agent_flow_t *flow, const oh_segment_t *segment,
                     const uint8_t *bytes, size_t length)
{
  const oh_address_t balancer = flow != NULL ? flow->balancer : (oh_address_t){ 0 };
  const oh_flow_key_t key = { .caller = segment->from, .route = segment->to };

  agent->unanswered_syns = 0;
  if (flow == NULL || flow->state != OH_AGENT_FLOW_OPENING || flow->answered)
    return; /* a retransmission of a SYN that was answered or refused */
  oh_pace_syn_refused (&agent->admission.pace, flow->opened_us, agent->now_us);
  oh_agent_flow_remove (agent, flow);
  oh_segment_agent_refuse_syn (agent, balancer, &key, OH__RESULT__RESULT_NOT_RUN_OVERLOADED, bytes, length);
}

static void
handle_returned (oh_segment_agent_t *agent, const oh_segment_t *segment, uint8_t *bytes, size_t length)
{
  const oh_flow_key_t key = { .caller = segment->from, .route = segment->to };
  oh_agent_flow_t *flow = g_hash_table_lookup (agent->flows, &key);

  oh_counter_increment (&agent->counters.returned);
  agent->config.format->ops->clear_returned (agent->config.format, bytes, length);
  if (segment->syn)
    {
      handle_returned_syn (agent, flow, segment, bytes, length);
      return;
    }
  if (flow == NULL)
    return;
  switch (flow->state)
    {
    case OH_AGENT_FLOW_PROBED:
      oh_agent_flow_set_state (agent, flow, OH_AGENT_FLOW_ABSENT);
      oh_segment_agent_answer_absent (agent, &key, flow->balancer, flow->query, OH_ABSENT_DENIED, bytes,
                                      length);
      return;
    case OH_AGENT_FLOW_OPEN:
      oh_agent_flow_returned (agent, flow, segment->acknowledged);
      return;
    case OH_AGENT_FLOW_OPENING:
    case OH_AGENT_FLOW_ABSENT:
      return;
    }
}

static void
handle_syn_ack (oh_segment_agent_t *agent, const oh_segment_t *segment, oh_agent_flow_t *flow)
{
  agent->unanswered_syns = 0;
  oh_pace_syn_answered (&agent->admission.pace);
  if (flow->state != OH_AGENT_FLOW_OPENING)
    return;
  oh_agent_flow_end_opening (agent, flow);
  flow->syn_ack_sequence = segment->sequence;
  if (flow->answered)
    return;
  flow->answered = true;
  oh_histogram_observe (&agent->first_answer_seconds, agent->now_us - flow->opened_us);
  oh_segment_agent_answer (agent, flow->balancer, OH__SEGMENT_RELAY_KIND__SEGMENT_ACCEPTED,
                           OH__RESULT__RESULT_NONE, &flow->key, NULL, 0);
}

/* The upstream resets a flow that it was only probed with, or that its caller has not opened here. Another
 * upstream may have the flow, so the reset must not reach the caller. */
static void
handle_reset_elsewhere (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  const bool probed = flow->state == OH_AGENT_FLOW_PROBED;

  oh_agent_flow_log (agent, OH_LOG_INFO, "probe_reset", &flow->key, "generation=%u search=%u state=%d",
                     flow->generation, flow->query, (int)flow->state);
  oh_agent_flow_set_state (agent, flow, OH_AGENT_FLOW_ABSENT);
  if (probed)
    oh_segment_agent_answer_absent (agent, &flow->key, flow->balancer, flow->query, OH_ABSENT_DENIED, NULL,
                                    0);
}

static void
handle_from_upstream (oh_segment_agent_t *agent, uint8_t *bytes, size_t length)
{
  oh_segment_t segment;
  oh_flow_key_t key;
  oh_agent_flow_t *flow;

  if (!agent->config.format->ops->decode (agent->config.format, bytes, length, &segment))
    {
      oh_counter_increment (&agent->counters.dropped_malformed);
      return;
    }
  agent->upstream_sent_us = agent->now_us;
  oh_segment_agent_upstream_runs (agent);
  if (segment.returned)
    {
      handle_returned (agent, &segment, bytes, length);
      return;
    }
  key = (oh_flow_key_t){ .caller = segment.to, .route = segment.from };
  flow = g_hash_table_lookup (agent->flows, &key);
  if (flow != NULL && segment.rst && flow->state != OH_AGENT_FLOW_OPEN)
    {
      handle_reset_elsewhere (agent, flow);
      return;
    }
  if (flow == NULL && !segment.syn && segment.length == 0 && (segment.fin || segment.rst))
    {
      /* An upstream may also end a flow that the caller has opened elsewhere: no proof that it has been here.
       */
      agent->sink->ops->send_caller (agent->sink, key.caller, bytes, length);
      return;
    }
  if (flow == NULL || flow->generation != agent->identity.generation)
    flow = oh_agent_flow_add (agent, &key, segment.syn ? OH_AGENT_FLOW_OPENING : OH_AGENT_FLOW_OPEN);
  oh_agent_flow_touch (agent, flow);
  if (segment.syn)
    handle_syn_ack (agent, &segment, flow);
  else if (flow->state == OH_AGENT_FLOW_PROBED || flow->state == OH_AGENT_FLOW_ABSENT)
    {
      oh_agent_flow_set_state (agent, flow, OH_AGENT_FLOW_OPEN);
      oh_segment_agent_answer (agent, flow->balancer, OH__SEGMENT_RELAY_KIND__SEGMENT_OWNED,
                               OH__RESULT__RESULT_NONE, &key, NULL, 0);
    }
  if (segment.length > 0 && flow->awaiting_response)
    {
      oh_histogram_observe (&agent->request_seconds, agent->now_us - flow->request_us);
      oh_agent_flow_end_request (agent, flow, OH_PACE_ANSWERED);
    }
  if (segment.fin || segment.rst)
    {
      oh_agent_flow_end_request (agent, flow, OH_PACE_FAILED);
      oh_agent_flow_close (agent, flow);
    }
  oh_counter_increment (&agent->counters.sent);
  agent->sink->ops->send_caller (agent->sink, key.caller, bytes, length);
}

/* Announcements and timers. */

/* True if this process takes the first announcement of the incarnation. No flow was let in before, so it sees
 * the opening of every flow. An upstream may count its announcements from 0, so that the second one has
 * sequence 1; but it comes a heartbeat interval after the start. */
static bool
is_first_announcement (const oh_segment_agent_t *agent, const oh_announcement_t *announcement)
{
  const int64_t now_ms = agent->config.started_ms + (agent->now_us - agent->config.started_us) / 1000;
  const int64_t age_ms = now_ms - announcement->started_ms;

  /* A start in the future tells nothing: the time of day was set back. */
  return announcement->sequence <= 1 && age_ms >= -OH_SEGMENT_CLOCK_TOLERANCE_MS
         && age_ms < agent->config.heartbeat_ms / 2;
}

static void
log_announcement (const oh_segment_agent_t *agent, const oh_announcement_t *announcement,
                  oh_announcement_result_t result)
{
  const oh_log_level_t level = oh_announcement_refused (result) ? OH_LOG_WARNING : OH_LOG_INFO;
  char pairs[OH_SEGMENT_AGENT_LOG_BYTES];
  char address[OH_ADDRESS_TEXT_BYTES];

  g_snprintf (pairs, sizeof pairs,
              "id=%s service=%s address=%s state=%d slots=%u started_ms=%" G_GINT64_FORMAT
              " sequence=%" G_GUINT64_FORMAT " present_id=%s present_started_ms=%" G_GINT64_FORMAT
              " generation=%u result=%s",
              announcement->id, announcement->service, oh_address_format (announcement->address, address),
              (int)announcement->state, announcement->slots, announcement->started_ms, announcement->sequence,
              agent->identity.id, agent->identity.started_ms, agent->identity.generation,
              oh_announcement_result_name (result));
  agent->sink->ops->log (agent->sink, level, "upstream_announced", pairs);
}

static void
log_records (const oh_segment_agent_t *agent, const oh_announcement_t *announcement)
{
  char pairs[OH_SEGMENT_AGENT_LOG_BYTES];

  g_snprintf (pairs, sizeof pairs,
              "complete=%d generation=%u sequence=%" G_GUINT64_FORMAT " agent_started_ms=%" G_GINT64_FORMAT
              " agent_age_ms=%" G_GINT64_FORMAT " upstream_started_ms=%" G_GINT64_FORMAT " flows=%u",
              agent->records_complete, agent->identity.generation, announcement->sequence,
              agent->config.started_ms, (agent->now_us - agent->config.started_us) / 1000,
              announcement->started_ms, g_hash_table_size (agent->flows));
  agent->sink->ops->log (agent->sink, OH_LOG_INFO, "flow_records", pairs);
}

static oh_listener_attention_t
listener_attention (oh_announced_state_t state)
{
  switch (state)
    {
    case OH_ANNOUNCED_READY:
      return OH_LISTENER_IGNORED;
    case OH_ANNOUNCED_DRAINING:
      return OH_LISTENER_CHECKED;
    case OH_ANNOUNCED_LEFT:
      return OH_LISTENER_POLLED;
    }
  g_assert_not_reached ();
}

static void
apply_identity_change (oh_segment_agent_t *agent, const oh_announcement_t *announcement,
                       oh_identity_change_t change)
{
  if (change == OH_IDENTITY_REPLACED)
    {
      agent->unanswered_syns = 0;
      oh_agent_warmup_update (agent, true);
      agent->records_complete = is_first_announcement (agent, announcement);
      log_records (agent, announcement);
      oh_segment_agent_handle_replaced (agent);
      oh_segment_agent_restart_pace (agent);
    }
  oh_pace_set_slots (&agent->admission.pace, agent->identity.slots);
  agent->sink->ops->watch_listener (agent->sink, listener_attention (agent->identity.state));
  oh_segment_agent_report_load (agent, true);
  agent->sink->ops->changed (agent->sink);
}

/* An announcement shows that the upstream runs, unless it may have been sent before its end became known. */
static void
note_announcement (oh_segment_agent_t *agent, const oh_announcement_t *announcement,
                   oh_announcement_result_t result, oh_identity_change_t change)
{
  const bool after_end = agent->now_us - agent->ended_us > (int64_t)OH_SEGMENT_ANNOUNCEMENT_DELAY_MS * 1000;

  if (result == OH_ANNOUNCEMENT_TAKEN && announcement->state != OH_ANNOUNCED_LEFT
      && (change == OH_IDENTITY_REPLACED || after_end))
    oh_segment_agent_upstream_runs (agent);
}

oh_announcement_result_t
oh_segment_agent_announce (oh_segment_agent_t *agent, const oh_announcement_t *announcement, int64_t now_us,
                           oh_segment_agent_sink_t *sink)
{
  oh_identity_change_t change;
  oh_announcement_result_t result;
  bool silent;

  agent->now_us = now_us;
  agent->sink = sink;
  silent = oh_upstream_identity_is_silent (&agent->identity, now_us);
  result = oh_upstream_identity_update (&agent->identity, announcement, now_us, &change);
  oh_counter_increment (&agent->counters.announcements);
  if (result == OH_ANNOUNCEMENT_STALE)
    oh_counter_increment (&agent->counters.announcements_stale);
  else if (oh_announcement_refused (result))
    oh_counter_increment (&agent->counters.announcements_refused);
  note_announcement (agent, announcement, result, change);
  if (silent && result == OH_ANNOUNCEMENT_TAKEN)
    oh_segment_agent_restart_pace (agent);
  if (change != OH_IDENTITY_REFRESHED)
    log_announcement (agent, announcement, result);
  if (change == OH_IDENTITY_CHANGED || change == OH_IDENTITY_REPLACED)
    apply_identity_change (agent, announcement, change);
  agent->sink = NULL;
  return result;
}

void
oh_segment_agent_set_services (oh_segment_agent_t *agent, const oh_service_set_t *services,
                               oh_segment_agent_sink_t *sink)
{
  const oh_upstream_identity_t before = agent->identity;
  char pairs[OH_SEGMENT_AGENT_LOG_BYTES];
  bool had_room;
  bool known;

  if (!oh_service_set_is_known (services) || services->digest == agent->services.digest)
    return;
  oh_service_set_copy (&agent->services, services);
  agent->sink = sink;
  known = oh_upstream_identity_check_service (&agent->identity);
  had_room = oh_agent_warmup_has_room (agent);
  oh_agent_warmup_update (agent, false);
  if (known)
    {
      if (!had_room && oh_agent_warmup_has_room (agent))
        oh_segment_agent_report_load (agent, true); /* balancers were told that no position is free */
      agent->sink = NULL;
      return;
    }
  agent->records_complete = false;
  g_snprintf (pairs, sizeof pairs, "id=%s service=%s started_ms=%" G_GINT64_FORMAT " result=%s", before.id,
              before.service, before.started_ms,
              oh_announcement_result_name (OH_ANNOUNCEMENT_UNKNOWN_SERVICE));
  agent->sink->ops->log (agent->sink, OH_LOG_WARNING, "upstream_forgotten", pairs);
  agent->sink->ops->changed (agent->sink);
  agent->sink = NULL;
}

void
oh_segment_agent_set_zone_drained (oh_segment_agent_t *agent, bool drained)
{
  agent->zone_drained = drained;
}

/* Returns unanswered SYNs to their balancers, which offer them to other agents long before the caller would
 * retransmit. */
static void
expire_opening_flows (oh_segment_agent_t *agent)
{
  const int64_t limit_us = agent->now_us - (int64_t)OH_SEGMENT_SYN_TIMEOUT_MS * 1000;

  while (!oh_list_is_empty (&agent->opening))
    {
      oh_agent_flow_t *flow = oh_list_entry (agent->opening.next, oh_agent_flow_t, opening_link);

      if (flow->opened_us > limit_us)
        break;
      oh_counter_increment (&agent->counters.unanswered);
      agent->unanswered_syns++;
      oh_pace_syn_unanswered (&agent->admission.pace, flow->opened_us, agent->now_us);
      /* The record stays: a late SYN-ACK may still be the one that the caller acknowledges. */
      oh_agent_flow_end_opening (agent, flow);
      oh_segment_agent_refuse_syn (agent, flow->balancer, &flow->key, OH__RESULT__RESULT_NOT_RUN_UPSTREAM,
                                   flow->syn, flow->syn_length);
    }
}

static void
expire_requests_of (oh_segment_agent_t *agent, oh_list_t *list)
{
  while (!oh_list_is_empty (list))
    {
      oh_agent_flow_t *flow = oh_list_entry (list->next, oh_agent_flow_t, unanswered_link);

      if (agent->now_us - flow->request_us <= (int64_t)OH_SEGMENT_REQUEST_TIMEOUT_MS * 1000)
        return;
      oh_agent_flow_end_request (agent, flow, OH_PACE_ABANDONED);
    }
}

static void
handle_tick (oh_segment_agent_t *agent)
{
  expire_opening_flows (agent);
  oh_segment_agent_expire_expected (agent);
  oh_segment_agent_update_pace (agent);
  oh_segment_agent_ask_leaving (agent);
  if (agent->now_us - agent->reported_us < (int64_t)OH_SEGMENT_REPORT_INTERVAL_MS * 1000)
    return;
  oh_agent_flow_expire (agent);
  expire_requests_of (agent, &agent->overdue);
  expire_requests_of (agent, &agent->unanswered);
  oh_counter_set (&agent->counters.flows, agent->n_open);
  oh_counter_set (&agent->counters.requests_waiting, agent->n_awaiting_response);
  oh_segment_agent_report_load (agent, false);
}

void
oh_segment_agent_init (oh_segment_agent_t *agent, const oh_segment_agent_config_t *config,
                       const oh_keyring_t *keyring)
{
  *agent = (oh_segment_agent_t){
    .config = *config,
    .keyring = *keyring,
    .flows = g_hash_table_new_full (oh_flow_key_hash, oh_flow_key_equal, NULL, oh_agent_flow_free),
    .by_digest = g_hash_table_new (g_int64_hash, g_int64_equal),
  };
  oh_list_init (&agent->lru);
  oh_list_init (&agent->opening);
  oh_list_init (&agent->awaiting_request);
  oh_list_init (&agent->unanswered);
  oh_list_init (&agent->overdue);
  oh_admission_init (&agent->admission);
  oh_position_waiters_init (&agent->position_waiters);
  oh_request_wait_init (&agent->request_wait);
  oh_service_set_init (&agent->services);
  oh_upstream_identity_init (&agent->identity, config->upstream, &agent->services, config->heartbeat_ms);
  oh_arena_init (&agent->arena);
  oh_agent_warmup_init (agent);
}

void
oh_segment_agent_finish (oh_segment_agent_t *agent)
{
  g_hash_table_unref (agent->by_digest);
  g_hash_table_unref (agent->flows);
  oh_service_set_finish (&agent->services);
  oh_keyring_finish (&agent->keyring);
}

void
oh_segment_agent_add_counters (oh_segment_agent_t *agent, oh_counters_t *counters)
{
  oh_segment_agent_counters_t *own = &agent->counters;
  const struct
  {
    oh_counter_t *counter;
    const char *name;
    const char *help;
  } table[] = {
    { &own->delivered, "segments_delivered_total", "Segments delivered to the upstream" },
    { &own->returned, "segments_returned_total", "Segments that the upstream gave back" },
    { &own->sent, "segments_sent_total", "Segments sent to callers" },
    { &own->opened, "flows_opened_total", "Flows that callers opened at the upstream" },
    { &own->refused, "firsts_refused_total", "First segments refused" },
    { &own->positions_reported, "positions_told_total",
      "Load reports to balancers that waited for a position" },
    { &own->limited, "firsts_limited_total",
      "First segments refused or not repeated by the rate limit of a warming upstream" },
    { &own->unanswered, "firsts_unanswered_total", "First segments that the upstream left unanswered" },
    { &own->probes, "probes_total", "Segments delivered to learn whether the upstream holds the flow" },
    { &own->searches, "searches_total", "Flows that balancers asked for, and searched segments received" },
    { &own->probes_held, "probes_held_total", "Segments not delivered after enough probes of their flow" },
    { &own->absent, "segments_absent_total", "Segments of flows that are not here" },
    { &own->resets, "resets_total", "Resets of flows whose upstream is gone" },
    { &own->dropped_malformed, "dropped_malformed_total", "Datagrams that are no segments" },
    { &own->dropped_bad_seal, "dropped_bad_seal_total", "Datagrams of balancers without a valid seal" },
    { &own->announcements, "announcements_total", "Announcements of the upstream" },
    { &own->announcements_stale, "announcements_stale_total",
      "Late announcements, or those of a former start" },
    { &own->announcements_refused, "announcements_refused_total",
      "Announcements that cannot be of the agent's upstream" },
    { &own->flows, "flows", "Open flows" },
    { &own->requests_waiting, "requests_waiting", "Requests that the upstream has not begun to answer" },
    { &own->yielded, "firsts_yielded_total", "First segments refused as the rest of the limit is reserved" },
    { &own->lost_requests, "requests_lost_total", "Requests that counted as lost" },
    { &own->limit_decreases, "request_limit_decreases_total", "Decreases of the limit on requests" },
    { &own->limit, "request_limit", "Requests that may be at the upstream; 0: fixed limits apply" },
    { &own->reserved, "request_limit_reserved", "Part of the limit for flows that do not yield" },
    { &own->service_us, "service_time_us", "Mean time that a slot of the upstream works on a request" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    oh_counters_add_with_help (counters, table[i].counter, table[i].name, table[i].help);
  oh_counters_add_histogram (counters, &own->first_answer_latency, &agent->first_answer_seconds,
                             "first_answer_seconds", "Time from a first segment to the upstream's answer");
  oh_counters_add_histogram (counters, &own->request_latency, &agent->request_seconds, "request_wait_seconds",
                             "Time from a request to the first data of its answer");
}

const char *
oh_segment_agent_service (const oh_segment_agent_t *agent)
{
  return agent->identity.service;
}

bool
oh_segment_agent_is_done (const oh_segment_agent_t *agent)
{
  return agent->upstream_ended || (agent->n_open == 0 && oh_upstream_identity_has_left (&agent->identity));
}

bool
oh_segment_agent_is_listed (const oh_segment_agent_t *agent, int64_t now_us)
{
  const int64_t wait_us = agent->config.heartbeat_ms * 1000 * OH_SEGMENT_UNANNOUNCED_HEARTBEATS;

  /* One that was restarted after its upstream announced that it leaves hears nothing from it any more. */
  if (agent->identity.generation == 0)
    return now_us - agent->config.started_us <= wait_us || agent->n_open > 0;
  return agent->identity.service[0] != '\0';
}

void
oh_segment_agent_handle (oh_segment_agent_t *agent, const oh_segment_agent_event_t *event,
                         oh_segment_agent_sink_t *sink)
{
  agent->now_us = event->now_us;
  agent->sink = sink;
  switch (event->kind)
    {
    case OH_SEGMENT_AGENT_RELAY:
      oh_segment_agent_handle_relay (agent, event->datagram.bytes, event->datagram.length);
      break;
    case OH_SEGMENT_AGENT_UPSTREAM:
      handle_from_upstream (agent, event->datagram.bytes, event->datagram.length);
      break;
    case OH_SEGMENT_AGENT_REFUSED:
      oh_segment_agent_handle_refused (agent);
      break;
    case OH_SEGMENT_AGENT_LISTENER_GONE:
      oh_segment_agent_handle_listener_gone (agent);
      break;
    case OH_SEGMENT_AGENT_TICK:
      handle_tick (agent);
      break;
    }
  oh_segment_agent_notify_waiters (agent);
  agent->sink = NULL;
}
