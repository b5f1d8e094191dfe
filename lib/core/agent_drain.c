#define OH_LOG_MODULE "agent"
#include "core/agent_internal.h"
#include "core/flow_export.h"

#include <string.h>

enum
{
  STATE_RETRY_MS = 500,      /* interval of retransmitting a flow state until a peer accepts it */
  MOVED_IDLE_MS = 3000,      /* a caller that still uses the old token would have pinged three times */
  MOVED_RETRY_MAX_MS = 1000, /* Moved is not sent again once the backoff interval reaches this */
  MAX_FLOWS_IN_TRANSIT = 32, /* a flow's state may hold several megabytes of answers */
};

static bool
is_drained_by_operator (const oh_agent_core_t *core)
{
  if (core->view == NULL)
    return false;
  for (guint i = 0; i < core->view->drained->len; i++)
    if (strcmp (g_ptr_array_index (core->view->drained, i), core->config.name) == 0)
      return true;
  return false;
}

/* Number of flows whose state may be waiting at a peer, where it takes up memory and bandwidth. */
static unsigned
count_in_transit (const oh_agent_core_t *core)
{
  unsigned count = 0;

  oh_list_foreach (&core->flows.flows, link)
    if (oh_list_entry (link, oh_flow_t, link)->state == OH_FLOW_SENT)
      count++;
  return count;
}

static const oh_view_member_t *
find_target (oh_agent_core_t *core, const char *avoid)
{
  const unsigned n_flows = core->flows.n_flows - core->flows.n_moved;
  const double work_per_flow = (double)(core->busy + core->queue.length) / MAX (n_flows, 1);

  return oh_handover_targets_choose (&core->targets, core->view, avoid, work_per_flow, core->now_us);
}

static void
freeze (oh_agent_core_t *core, oh_flow_t *flow)
{
  oh_flow_set_state (&core->flows, flow, OH_FLOW_FROZEN);
  for (unsigned i = 0; i < OH_REQUEST_WINDOW; i++)
    {
      oh_flow_entry_t *entry = flow->entries[i];

      if (entry == NULL || entry->state != OH_FLOW_ENTRY_QUEUED)
        continue;
      if (entry->answer_started || entry->tag_known)
        {
          oh_request_queue_remove (&core->queue, &entry->queue_item);
          oh_agent_suspend_stream (core, entry);
        }
      else
        /* It has not run. The caller retransmits it to the next owner. */
        oh_agent_drop_entry (core, entry);
    }
}

static void
unfreeze (oh_agent_core_t *core, oh_flow_t *flow)
{
  oh_flow_set_state (&core->flows, flow, OH_FLOW_OWNED);
  for (unsigned i = 0; i < OH_REQUEST_WINDOW; i++)
    if (flow->entries[i] != NULL && flow->entries[i]->state == OH_FLOW_ENTRY_RESUMING
        && flow->entries[i]->retry_us == 0)
      oh_agent_resume_stream (core, flow->entries[i]);
}

static void
emit_state (oh_agent_core_t *core, oh_flow_t *flow, const char *endpoint)
{
  Oh__FlowState *state = oh_flow_export (flow, core->config.service, flow->sent_generation,
                                         core->config.incarnation, flow->target_incarnation);

  flow->sent_us = core->now_us;
  oh_agent_emit (core, &(oh_agent_action_t){ .kind = OH_AGENT_ACTION_SEND_PEER,
                                             .peer = { .endpoint = endpoint, .state = state } });
  oh__flow_state__free_unpacked (state, NULL);
}

/* Hands the flow over to the target; from now on this agent runs nothing for the flow. Each target gets its
 * own generation: an earlier target that never replied may hold the state, but no caller has its token. */
static void
send_state (oh_agent_core_t *core, oh_flow_t *flow, const oh_view_member_t *target)
{
  for (unsigned i = 0; i < OH_REQUEST_WINDOW; i++)
    if (flow->entries[i] != NULL && flow->entries[i]->state == OH_FLOW_ENTRY_RUNNING)
      oh_agent_suspend_stream (core, flow->entries[i]);
  oh_flow_set_state (&core->flows, flow, OH_FLOW_SENT);
  flow->sent_generation = MAX (flow->sent_generation, flow->generation) + 1;
  g_free (flow->target);
  flow->target = g_strdup (target->name);
  flow->target_incarnation = target->incarnation;
  flow->target_refused = false;
  oh_agent_log (core, OH_LOG_INFO, "handover_sent",
                "flow=%016" G_GINT64_MODIFIER "x generation=%u target=%s busy=%u flows=%u",
                oh_agent_flow_log_id (flow), flow->sent_generation, target->name, target->busy,
                target->flows);
  oh_handover_targets_sent (&core->targets, target);
  emit_state (core, flow, target->peer_endpoint);
}

static void
retry_handover (oh_agent_core_t *core, oh_flow_t *flow)
{
  const oh_view_member_t *target = oh_view_find_member (core->view, flow->target);

  if (target == NULL || target->incarnation != flow->target_incarnation)
    {
      /* The target is gone. Its token was never passed on to the caller, so another target may be chosen. */
      target = find_target (core, NULL);
      if (target != NULL)
        send_state (core, flow, target);
    }
  else if (core->now_us - flow->sent_us >= (int64_t)STATE_RETRY_MS * 1000)
    {
      const oh_view_member_t *other = flow->target_refused ? find_target (core, flow->target) : NULL;

      if (other != NULL)
        send_state (core, flow, other);
      else
        emit_state (core, flow, target->peer_endpoint);
    }
}

static void
resend_moved (oh_agent_core_t *core, oh_flow_t *flow)
{
  if (flow->moved_retry_us == 0 || core->now_us < flow->moved_retry_us)
    return;
  oh_agent_send_moved (core, flow, &flow->moved_to);
  flow->moved_retry_us = flow->moved_interval_ms < MOVED_RETRY_MAX_MS
                           ? core->now_us + oh_stream_backoff_us (&flow->moved_interval_ms, core->random)
                           : 0;
}

static void
drain_flow (oh_agent_core_t *core, oh_flow_t *flow, const oh_view_member_t **target, unsigned *in_transit)
{
  switch (flow->state)
    {
    case OH_FLOW_OFFERED:
      break;
    case OH_FLOW_OWNED:
    case OH_FLOW_RECEIVED:
    case OH_FLOW_FROZEN:
      if (*target == NULL)
        {
          if (flow->state == OH_FLOW_FROZEN)
            unfreeze (core, flow);
          if (!core->no_peer_logged)
            oh_agent_log (core, OH_LOG_WARNING, "handover_without_peer", "service=%s flows=%u",
                          core->config.service_name, core->flows.n_flows - core->flows.n_moved);
          core->no_peer_logged = true;
          break;
        }
      core->no_peer_logged = false;
      if (flow->state != OH_FLOW_FROZEN)
        freeze (core, flow);
      if (!oh_agent_has_running_request (flow) && *in_transit < MAX_FLOWS_IN_TRANSIT)
        {
          send_state (core, flow, *target);
          ++*in_transit;
          *target = find_target (core, NULL);
        }
      break;
    case OH_FLOW_SENT:
      retry_handover (core, flow);
      break;
    case OH_FLOW_MOVED:
      resend_moved (core, flow);
      break;
    }
}

static bool
may_exit (const oh_agent_core_t *core)
{
  if (core->now_us - core->stop_us >= core->config.drain_limit_ms * 1000)
    return true;
  oh_list_foreach (&core->flows.flows, link)
    {
      const oh_flow_t *flow = oh_list_entry (link, oh_flow_t, link);

      if (flow->state != OH_FLOW_MOVED)
        return false;
      if (core->now_us - MAX (flow->sent_us, flow->last_heard_us) < (int64_t)MOVED_IDLE_MS * 1000)
        return false;
    }
  return oh_list_is_empty (&core->run_list);
}

static void
reply_to_state (oh_agent_core_t *core, GBytes *peer, const Oh__FlowState *state, Oh__Result refused,
                const oh_token_t *token)
{
  Oh__FlowStateReply reply = OH__FLOW_STATE_REPLY__INIT;
  Oh__Token wire;
  Oh__Address address;
  Oh__Address agent;
  Oh__Load load;

  oh_agent_core_load (core, core->now_us, &load, &agent);
  reply.load = &load;
  reply.flow = state->flow;
  reply.generation = state->generation;
  reply.refused = refused;
  if (token != NULL)
    {
      oh_token_to_wire (token, &wire, &address);
      reply.token = &wire;
    }
  oh_agent_emit (core, &(oh_agent_action_t){ .kind = OH_AGENT_ACTION_REPLY_PEER,
                                             .reply = { .peer = peer, .reply = &reply } });
}

static Oh__Result
state_refusal (const oh_agent_core_t *core, const Oh__FlowState *state, const oh_flow_id_t *id,
               const oh_flow_t *flow)
{
  if (state->service != core->config.service || oh_agent_has_wrong_service (core))
    return OH__RESULT__RESULT_WRONG_SERVICE;
  /* The state was sent to an earlier incarnation, which may have run requests that the state does not
   * contain. */
  if (state->target_incarnation != core->config.incarnation)
    return OH__RESULT__RESULT_UNKNOWN;
  if (core->draining || core->zone_drained)
    return OH__RESULT__RESULT_NOT_RUN_DRAINING;
  if (!core->health.answered)
    return OH__RESULT__RESULT_NO_UPSTREAM;
  if (flow == NULL && core->flows.n_flows - core->flows.n_moved >= core->config.max_flows)
    return OH__RESULT__RESULT_NOT_RUN_OVERLOADED;
  /* Only a generation newer than any known here is accepted: a delayed duplicate must not restore a flow. */
  if (state->generation <= oh_flow_table_closed_generation (&core->flows, id)
      || (flow != NULL && state->generation <= MAX (flow->generation, flow->sent_generation)))
    return OH__RESULT__RESULT_UNKNOWN;
  return OH__RESULT__RESULT_NONE;
}

bool
oh_agent_has_wrong_service (const oh_agent_core_t *core)
{
  return core->health.answered && core->health.wrong_service;
}

void
oh_agent_update_drain (oh_agent_core_t *core)
{
  const bool upstream_drains
    = core->health.answered && core->health.reported_state == OH__UPSTREAM_STATE__UPSTREAM_DRAINING;
  const bool draining = core->stopping || upstream_drains || is_drained_by_operator (core);
  const bool zone_drained = core->view != NULL && oh_view_is_zone_drained (core->view, core->config.zone);

  core->load_changed |= zone_drained != core->zone_drained;
  core->zone_drained = zone_drained;
  if (draining == core->draining)
    return;
  core->draining = draining;
  core->drain_us = core->now_us;
  core->no_peer_logged = false;
  core->load_changed = true;
  oh_agent_log (core, OH_LOG_INFO, draining ? "drain_started" : "drain_ended",
                "upstream=%s stop=%d upstream_drains=%d flows=%u", core->config.name, core->stopping,
                upstream_drains, core->flows.n_flows - core->flows.n_moved);
  if (!draining)
    oh_list_foreach (&core->flows.flows, link)
      {
        oh_flow_t *flow = oh_list_entry (link, oh_flow_t, link);

        if (flow->state == OH_FLOW_FROZEN)
          unfreeze (core, flow);
      }
}

void
oh_agent_run_drain (oh_agent_core_t *core)
{
  const oh_view_member_t *target;
  unsigned in_transit;

  if (core->draining)
    {
      target = find_target (core, NULL);
      in_transit = count_in_transit (core);
      oh_list_foreach (&core->flows.flows, link)
        drain_flow (core, oh_list_entry (link, oh_flow_t, link), &target, &in_transit);
    }
  else
    oh_list_foreach (&core->flows.flows, link)
      {
        oh_flow_t *flow = oh_list_entry (link, oh_flow_t, link);

        if (flow->state == OH_FLOW_SENT)
          retry_handover (core, flow);
        else if (flow->state == OH_FLOW_MOVED)
          resend_moved (core, flow);
      }
  if (core->stopping && !core->exited && may_exit (core))
    {
      core->exited = true;
      oh_agent_log (core, OH_LOG_INFO, "drain_finished", "upstream=%s flows_left=%u requests_left=%u",
                    core->config.name, core->flows.n_flows - core->flows.n_moved, core->busy);
      oh_agent_emit (core, &(oh_agent_action_t){ .kind = OH_AGENT_ACTION_EXIT });
    }
}

void
oh_agent_handle_flow_state (oh_agent_core_t *core, GBytes *peer, const Oh__FlowState *state)
{
  oh_flow_id_t id;
  oh_flow_t *flow;
  Oh__Result refusal;
  oh_token_t token;
  oh_error_t error;
  bool created = false;

  if (state->flow.len != OH_FLOW_ID_BYTES)
    {
      oh_counter_increment (&core->counters.packets_rejected);
      return;
    }
  memcpy (id.bytes, state->flow.data, sizeof id.bytes);
  flow = oh_flow_table_find (&core->flows, &id);
  if (flow != NULL && (flow->state == OH_FLOW_OWNED || flow->state == OH_FLOW_RECEIVED)
      && flow->generation == state->generation && flow->source_incarnation == state->source_incarnation)
    {
      token = oh_agent_make_token (core, &id, state->generation, flow->offer_id);
      reply_to_state (core, peer, state, OH__RESULT__RESULT_NONE, &token);
      return;
    }
  refusal = state_refusal (core, state, &id, flow);
  if (refusal != OH__RESULT__RESULT_NONE)
    {
      reply_to_state (core, peer, state, refusal, NULL);
      return;
    }
  if (flow == NULL)
    {
      flow = oh_flow_table_add (&core->flows, &id, OH_FLOW_RECEIVED);
      created = true;
    }
  else
    oh_agent_drop_entries (core, flow);
  if (!oh_flow_import (flow, state, core->now_us, &error))
    {
      oh_agent_log (core, OH_LOG_WARNING, "handover_malformed", "reason=\"%s\"", error.message);
      if (created)
        oh_flow_table_remove (&core->flows, flow);
      reply_to_state (core, peer, state, OH__RESULT__RESULT_FAILED, NULL);
      return;
    }
  if (flow->pending_generation != 0)
    {
      flow->pending_generation = 0;
      core->pending_offers--;
    }
  oh_flow_set_state (&core->flows, flow, OH_FLOW_RECEIVED);
  flow->generation = state->generation;
  flow->offer_id = ++core->last_offer_id;
  flow->sent_generation = 0;
  flow->source_incarnation = state->source_incarnation;
  core->load_changed = true;
  oh_counter_increment (&core->counters.flows_received);
  oh_agent_log (core, OH_LOG_INFO, "handover_received",
                "flow=%016" G_GINT64_MODIFIER "x generation=%u entries=%zu", oh_agent_flow_log_id (flow),
                flow->generation, state->n_entries);
  token = oh_agent_make_token (core, &id, flow->generation, flow->offer_id);
  reply_to_state (core, peer, state, OH__RESULT__RESULT_NONE, &token);
}

void
oh_agent_handle_flow_state_reply (oh_agent_core_t *core, const Oh__FlowStateReply *reply)
{
  oh_flow_id_t id;
  oh_flow_t *flow;
  oh_token_t token;

  if (reply->flow.len != OH_FLOW_ID_BYTES)
    {
      oh_counter_increment (&core->counters.packets_rejected);
      return;
    }
  memcpy (id.bytes, reply->flow.data, sizeof id.bytes);
  flow = oh_flow_table_find (&core->flows, &id);
  if (flow == NULL || flow->state != OH_FLOW_SENT || reply->generation != flow->sent_generation)
    return;
  oh_handover_targets_replied (&core->targets, flow->target_incarnation, reply->load, core->now_us);
  if (reply->refused != OH__RESULT__RESULT_NONE)
    {
      oh_agent_log (core, OH_LOG_INFO, "handover_refused",
                    "flow=%016" G_GINT64_MODIFIER "x target=%s reason=%d", oh_agent_flow_log_id (flow),
                    flow->target, (int)reply->refused);
      /* The next attempt is delayed by STATE_RETRY_MS, so that a set of peers that all refuse is not polled
       * continuously. */
      flow->target_refused = true;
      return;
    }
  if (!oh_token_from_wire (reply->token, &token) || !oh_token_verify (core->keyring, &id, &token)
      || token.flow_generation != flow->sent_generation || token.incarnation != flow->target_incarnation
      || token.service != core->config.service)
    {
      oh_counter_increment (&core->counters.packets_rejected);
      return;
    }
  oh_agent_drop_entries (core, flow);
  oh_flow_set_state (&core->flows, flow, OH_FLOW_MOVED);
  flow->moved_to = token;
  flow->sent_us = core->now_us;
  flow->moved_interval_ms = OH_STREAM_BACKOFF_MIN_MS;
  flow->moved_retry_us = core->now_us;
  core->load_changed = true;
  oh_counter_increment (&core->counters.flows_moved);
  oh_agent_log (core, OH_LOG_INFO, "handover_done", "flow=%016" G_GINT64_MODIFIER "x generation=%u target=%s",
                oh_agent_flow_log_id (flow), token.flow_generation, flow->target);
  resend_moved (core, flow);
}
