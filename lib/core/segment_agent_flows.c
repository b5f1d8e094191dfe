#include "core/segment_agent_private.h"

#include <stdarg.h>

void G_GNUC_PRINTF (5, 6)
  oh_agent_flow_log (const oh_segment_agent_t *agent, oh_log_level_t level, const char *event,
                     const oh_flow_key_t *key, const char *format, ...)
{
  char pairs[OH_SEGMENT_AGENT_LOG_BYTES];
  va_list arguments;

  if (!oh_log_enabled (level))
    return;
  va_start (arguments, format);
  agent->sink->ops->log (agent->sink, level, event,
                         oh_flow_key_pairs (key, pairs, sizeof pairs, format, arguments));
  va_end (arguments);
}

void
oh_agent_flow_end_opening (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  if (oh_list_is_empty (&flow->opening_link))
    return;
  oh_list_remove (&flow->opening_link);
  agent->n_opening--;
}

void
oh_agent_flow_end_awaiting_request (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  if (oh_list_is_empty (&flow->awaiting_request_link))
    return;
  oh_list_remove (&flow->awaiting_request_link);
  agent->n_awaiting_request--;
}

void
oh_agent_flow_begin_request (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  if (flow->awaiting_response)
    return;
  agent->n_awaiting_response++;
  flow->awaiting_response = true;
  flow->overdue = false;
  flow->request_us = agent->now_us;
  oh_list_append (&agent->unanswered, &flow->unanswered_link);
  oh_pace_begin (&agent->admission.pace, agent->now_us);
}

void
oh_agent_flow_end_request (oh_segment_agent_t *agent, oh_agent_flow_t *flow, oh_pace_outcome_t outcome)
{
  if (!flow->awaiting_response)
    return;
  agent->n_awaiting_response--;
  flow->awaiting_response = false;
  oh_list_remove (&flow->unanswered_link);
  oh_pace_end (&agent->admission.pace, outcome, flow->request_us, flow->overdue, agent->now_us);
}

void
oh_agent_flow_mark_request_lost (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  flow->overdue = true;
  oh_list_remove (&flow->unanswered_link);
  oh_list_append (&agent->overdue, &flow->unanswered_link);
  oh_counter_increment (&agent->counters.lost_requests);
  oh_pace_mark_lost (&agent->admission.pace, flow->request_us, agent->now_us);
}

void
oh_agent_flow_set_state (oh_segment_agent_t *agent, oh_agent_flow_t *flow, oh_agent_flow_state_t state)
{
  agent->n_open -= flow->state == OH_AGENT_FLOW_OPEN && !flow->closed;
  flow->state = state;
  agent->n_open += flow->state == OH_AGENT_FLOW_OPEN && !flow->closed;
  if (state != OH_AGENT_FLOW_OPENING)
    oh_agent_flow_end_opening (agent, flow);
  if (state != OH_AGENT_FLOW_OPEN)
    oh_agent_flow_end_request (agent, flow, OH_PACE_ABANDONED);
  if (state != OH_AGENT_FLOW_OPEN && state != OH_AGENT_FLOW_OPENING)
    oh_agent_flow_end_awaiting_request (agent, flow);
}

void
oh_agent_flow_close (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  agent->n_open -= flow->state == OH_AGENT_FLOW_OPEN && !flow->closed;
  flow->closed = true;
  oh_agent_flow_end_request (agent, flow, OH_PACE_ABANDONED);
  oh_agent_flow_end_awaiting_request (agent, flow);
  g_clear_pointer (&flow->last_data, g_bytes_unref);
}

void
oh_agent_flow_remove (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  oh_agent_flow_close (agent, flow);
  oh_agent_flow_end_opening (agent, flow);
  oh_list_remove (&flow->lru_link);
  if (g_hash_table_lookup (agent->by_digest, &flow->digest) == flow)
    g_hash_table_remove (agent->by_digest, &flow->digest);
  g_hash_table_remove (agent->flows, &flow->key);
}

void
oh_agent_flow_touch (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  flow->used_us = agent->now_us;
  oh_list_remove (&flow->lru_link);
  oh_list_append (&agent->lru, &flow->lru_link);
}

void
oh_agent_flow_free (gpointer data)
{
  oh_agent_flow_t *flow = data;

  g_clear_pointer (&flow->last_data, g_bytes_unref);
  g_free (flow);
}

/* Room for all flows of a full upstream, and for as many records of absent or closed flows. */
static unsigned
max_records (const oh_segment_agent_t *agent)
{
  return agent->config.max_flows * 2;
}

static void
evict_oldest (oh_segment_agent_t *agent)
{
  oh_agent_flow_t *oldest = oh_list_entry (agent->lru.next, oh_agent_flow_t, lru_link);

  if (oldest->state == OH_AGENT_FLOW_OPEN && !oldest->closed)
    agent->records_complete = false;
  oh_agent_flow_remove (agent, oldest);
}

oh_agent_flow_t *
oh_agent_flow_add (oh_segment_agent_t *agent, const oh_flow_key_t *key, oh_agent_flow_state_t state)
{
  oh_agent_flow_t *flow = g_hash_table_lookup (agent->flows, key);

  if (flow != NULL)
    oh_agent_flow_remove (agent, flow);
  if (g_hash_table_size (agent->flows) >= max_records (agent))
    evict_oldest (agent);
  flow = g_new0 (oh_agent_flow_t, 1);
  flow->key = *key;
  flow->generation = agent->identity.generation;
  flow->opened_us = agent->now_us;
  oh_list_init (&flow->lru_link);
  oh_list_init (&flow->opening_link);
  oh_list_init (&flow->awaiting_request_link);
  oh_list_init (&flow->unanswered_link);
  flow->state = OH_AGENT_FLOW_ABSENT;
  flow->digest = oh_flow_key_digest (key);
  g_hash_table_insert (agent->flows, &flow->key, flow);
  g_hash_table_replace (agent->by_digest, &flow->digest, flow);
  oh_agent_flow_set_state (agent, flow, state);
  oh_agent_flow_touch (agent, flow);
  return flow;
}

void
oh_agent_flow_expire (oh_segment_agent_t *agent)
{
  while (!oh_list_is_empty (&agent->lru))
    {
      oh_agent_flow_t *oldest = oh_list_entry (agent->lru.next, oh_agent_flow_t, lru_link);

      if (agent->now_us - oldest->used_us < agent->config.flow_timeout_ms * 1000)
        break;
      oh_agent_flow_remove (agent, oldest);
    }
}
