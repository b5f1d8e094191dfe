#include "core/segment_agent_private.h"

enum
{
  UNANSWERED_TICKS_MAX = OH_SEGMENT_ASK_INTERVAL_MS / OH_SEGMENT_AGENT_TICK_MS,
  /* Of these, at least so many after the listener has gone: an upstream that was paused may go on, and then
   * answers what it was asked before. */
  UNANSWERED_TICKS_AFTER = 4,
};

/* Delivers the caller's last data again. An upstream that has the flow acknowledges it, one that does not
 * have the flow returns it. Returns false if there is none. */
static bool
ask_for_flow (oh_segment_agent_t *agent, const oh_agent_flow_t *flow, unsigned n_copies)
{
  gsize length;
  const uint8_t *bytes;

  if (flow->state != OH_AGENT_FLOW_OPEN || flow->last_data == NULL)
    return false;
  bytes = g_bytes_get_data (flow->last_data, &length);
  for (unsigned i = 0; i < n_copies; i++)
    oh_segment_agent_deliver (agent, bytes, length);
  return true;
}

static void
end_flow (oh_segment_agent_t *agent, oh_agent_flow_t *flow, const char *reason)
{
  oh_segment_agent_reset_flow (agent, flow, reason);
  oh_agent_flow_close (agent, flow);
  flow->lost = true;
}

void
oh_agent_flow_returned (oh_segment_agent_t *agent, oh_agent_flow_t *flow, uint32_t acknowledged)
{
  /* One that was closed in order has ended at the upstream. A reset may have been lost, so it is repeated. */
  if (flow->closed && !flow->lost)
    return;
  flow->caller_acknowledged = acknowledged;
  end_flow (agent, flow, "returned");
}

void
oh_segment_agent_handle_replaced (oh_segment_agent_t *agent)
{
  const uint64_t service = agent->identity.service_id;
  GHashTableIter iter;
  gpointer value;

  agent->listener_gone = false;
  g_hash_table_iter_init (&iter, agent->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      oh_agent_flow_t *flow = value;
      const bool open = flow->state == OH_AGENT_FLOW_OPEN && !flow->closed;

      if (flow->service != 0 && flow->service != service)
        {
          if (open)
            end_flow (agent, flow, "service-replaced");
          continue;
        }
      flow->generation = agent->identity.generation;
      if (open && agent->now_us - flow->used_us < (int64_t)OH_SEGMENT_ASK_ACTIVE_MS * 1000)
        ask_for_flow (agent, flow, 1);
      /* They are no load of the new incarnation unless their callers send something. */
      oh_agent_flow_end_request (agent, flow, OH_PACE_ABANDONED);
      oh_agent_flow_end_awaiting_request (agent, flow);
    }
}

static void
log_end (const oh_segment_agent_t *agent, const char *proof)
{
  char pairs[OH_SEGMENT_AGENT_LOG_BYTES];

  g_snprintf (pairs, sizeof pairs,
              "proof=%s id=%s generation=%u state=%d announced_age_ms=%" G_GINT64_FORMAT
              " sent_age_ms=%" G_GINT64_FORMAT " open=%u",
              proof, agent->identity.id, agent->identity.generation, (int)agent->identity.state,
              (agent->now_us - agent->identity.last_heard_us) / 1000,
              (agent->now_us - agent->upstream_sent_us) / 1000, agent->n_open);
  agent->sink->ops->log (agent->sink, OH_LOG_INFO, "upstream_ended", pairs);
}

/* Resets the flows of an upstream that has ended. A caller that only waits for a response sends no segment
 * that a reset could answer, so the agent does not wait for one. */
static void
end_upstream (oh_segment_agent_t *agent, const char *proof)
{
  const bool known = agent->upstream_ended;
  GHashTableIter iter;
  gpointer value;

  if (!known)
    log_end (agent, proof);
  agent->upstream_ended = true;
  agent->ended_us = agent->now_us;
  g_hash_table_iter_init (&iter, agent->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      oh_agent_flow_t *flow = value;

      if (flow->state == OH_AGENT_FLOW_OPEN && !flow->closed)
        end_flow (agent, flow, "upstream-ended");
      else if (flow->state == OH_AGENT_FLOW_PROBED)
        {
          oh_agent_flow_set_state (agent, flow, OH_AGENT_FLOW_ABSENT);
          oh_segment_agent_answer_absent (agent, &flow->key, flow->balancer, flow->query, OH_ABSENT_DENIED,
                                          NULL, 0);
        }
    }
  if (known)
    return;
  oh_segment_agent_report_load (agent, true);
  agent->sink->ops->changed (agent->sink);
}

void
oh_segment_agent_handle_refused (oh_segment_agent_t *agent)
{
  end_upstream (agent, "refused");
}

void
oh_segment_agent_handle_listener_gone (oh_segment_agent_t *agent)
{
  agent->listener_gone = true;
  agent->unanswered_ticks = MIN (agent->unanswered_ticks, UNANSWERED_TICKS_MAX - UNANSWERED_TICKS_AFTER);
  agent->asked_us = agent->now_us - (int64_t)OH_SEGMENT_ASK_INTERVAL_MS * 1000;
}

void
oh_segment_agent_upstream_runs (oh_segment_agent_t *agent)
{
  if (agent->upstream_ended)
    oh_segment_agent_restart_pace (agent);
  agent->upstream_ended = false;
  agent->unanswered_ticks = 0;
}

/* Returns false if no flow has data to ask with. */
static bool
ask_upstream (oh_segment_agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (ask_for_flow (agent, value, OH_SEGMENT_ASK_COPIES))
      return true;
  return false;
}

void
oh_segment_agent_ask_leaving (oh_segment_agent_t *agent)
{
  const int64_t interval_us = (int64_t)OH_SEGMENT_ASK_INTERVAL_MS * 1000;
  const int64_t since_us
    = agent->listener_gone ? agent->asked_us : MAX (agent->asked_us, agent->upstream_sent_us);

  if (agent->upstream_ended || agent->n_open == 0
      || !(agent->listener_gone || oh_upstream_identity_has_left (&agent->identity)))
    return;
  /* Ticks, as an answer may wait in the socket after a pause of this process. */
  if (agent->unanswered_ticks > 0 && ++agent->unanswered_ticks > UNANSWERED_TICKS_MAX && agent->listener_gone)
    {
      end_upstream (agent, "listener-gone");
      return;
    }
  if (agent->now_us - since_us < interval_us || !ask_upstream (agent))
    return;
  agent->asked_us = agent->now_us;
  if (agent->unanswered_ticks == 0)
    agent->unanswered_ticks = 1;
}
