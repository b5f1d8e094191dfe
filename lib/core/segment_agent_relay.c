#include "core/segment_agent_private.h"

#include <string.h>

static bool
check_admission (oh_segment_agent_t *agent, const Oh__SegmentRelay *open, Oh__Result *result)
{
  const oh_upstream_identity_t *identity = &agent->identity;

  if (identity->generation == 0)
    *result = OH__RESULT__RESULT_NO_UPSTREAM;
  else if (identity->service_id != open->service)
    *result = OH__RESULT__RESULT_WRONG_SERVICE;
  else if (identity->state != OH_ANNOUNCED_READY || agent->zone_drained)
    *result = OH__RESULT__RESULT_NOT_RUN_DRAINING;
  else if (!oh_upstream_identity_accepts_flows (identity, agent->now_us) || agent->upstream_ended)
    *result = OH__RESULT__RESULT_NO_UPSTREAM;
  else if (!oh_agent_warmup_admits (agent))
    *result = OH__RESULT__RESULT_NOT_RUN_OVERLOADED;
  else if (agent->n_open + agent->n_opening >= agent->config.max_flows
           || !oh_segment_agent_admits (agent, open->target_ms, open->yields))
    *result = OH__RESULT__RESULT_NOT_RUN_OVERLOADED;
  else
    return true;
  return false;
}

static void
handle_open (oh_segment_agent_t *agent, const oh_flow_key_t *key, const oh_segment_t *segment,
             const Oh__SegmentRelay *open, oh_address_t balancer)
{
  oh_agent_flow_t *flow = g_hash_table_lookup (agent->flows, key);
  const uint8_t *bytes = open->segment.data;
  const size_t length = open->segment.len;
  Oh__Result result = OH__RESULT__RESULT_NOT_RUN_OVERLOADED;

  if (flow != NULL && flow->generation == agent->identity.generation
      && flow->syn_sequence == segment->sequence
      && (flow->state == OH_AGENT_FLOW_OPENING || flow->state == OH_AGENT_FLOW_OPEN))
    {
      /* A retransmission: the upstream answers it again. */
      flow->balancer = balancer;
      if (flow->state == OH_AGENT_FLOW_OPENING && oh_agent_warmup_admits_again (agent))
        oh_agent_warmup_deliver_syn (agent, bytes, length);
      return;
    }
  oh_position_waiters_offered (&agent->position_waiters);
  if (length > OH_SEGMENT_SYN_MAX_BYTES || !check_admission (agent, open, &result))
    {
      if (result == OH__RESULT__RESULT_NOT_RUN_OVERLOADED && length <= OH_SEGMENT_SYN_MAX_BYTES)
        oh_segment_agent_add_waiter (agent, open, balancer);
      oh_segment_agent_refuse_syn (agent, balancer, key, result, bytes, length);
      return;
    }
  flow = oh_agent_flow_add (agent, key, OH_AGENT_FLOW_OPENING);
  flow->balancer = balancer;
  flow->service = open->service;
  flow->syn_sequence = segment->sequence;
  flow->syn_length = length;
  memcpy (flow->syn, bytes, length);
  oh_list_append (&agent->opening, &flow->opening_link);
  agent->n_opening++;
  oh_list_append (&agent->awaiting_request, &flow->awaiting_request_link);
  agent->n_awaiting_request++;
  oh_agent_warmup_deliver_syn (agent, bytes, length);
}

static void
deliver_to_flow (oh_segment_agent_t *agent, oh_agent_flow_t *flow, const oh_segment_t *segment,
                 const uint8_t *bytes, size_t length)
{
  oh_agent_flow_touch (agent, flow);
  flow->caller_acknowledged = segment->acknowledged;
  if (segment->length > 0 && !flow->closed)
    {
      if (flow->last_data == NULL && flow->syn_length > 0)
        oh_request_wait_observe (&agent->request_wait, agent->now_us - flow->opened_us);
      oh_agent_flow_begin_request (agent, flow);
      g_clear_pointer (&flow->last_data, g_bytes_unref);
      flow->last_data = g_bytes_new (bytes, length);
      oh_agent_flow_end_awaiting_request (agent, flow);
      oh_segment_agent_note_request (agent);
    }
  if (segment->fin || segment->rst)
    oh_agent_flow_close (agent, flow);
  oh_segment_agent_deliver (agent, bytes, length);
}

/* Delivers a segment to learn whether the upstream has the flow. If it has not, the segment is one at a wrong
 * upstream, so there are only a few; the caller retransmits what is not delivered. */
static void
probe (oh_segment_agent_t *agent, oh_agent_flow_t *flow, const uint8_t *bytes, size_t length)
{
  int64_t *oldest_us = &flow->probed_us[flow->n_probes % OH_SEGMENT_PROBES_MAX];

  if (flow->n_probes >= OH_SEGMENT_PROBES_MAX
      && agent->now_us - *oldest_us < (int64_t)OH_SEGMENT_PROBES_INTERVAL_MS * 1000)
    {
      oh_counter_increment (&agent->counters.probes_held);
      return;
    }
  *oldest_us = agent->now_us;
  flow->n_probes++;
  oh_counter_increment (&agent->counters.probes);
  oh_segment_agent_deliver (agent, bytes, length);
}

/* Handles a segment of a flow without a record. A balancer that was told that the flow is here is told the
 * contrary only by the upstream itself, which is probed; one that only offered it (offered) searches; in a
 * search, complete records are enough. */
static void
handle_unknown (oh_segment_agent_t *agent, const oh_flow_key_t *key, const oh_segment_t *segment,
                oh_address_t balancer, uint32_t query, bool offered, const uint8_t *bytes, size_t length)
{
  const bool absent = offered || (query != 0 && agent->records_complete);
  oh_agent_flow_t *flow;

  oh_agent_flow_log (agent, OH_LOG_INFO, "flow_unknown", key, "search=%u generation=%u state=%d result=%s",
                     query, agent->identity.generation, (int)agent->identity.state,
                     absent ? "absent" : "probed");
  if (absent)
    {
      oh_segment_agent_answer_absent (agent, key, balancer, query, OH_ABSENT_NO_RECORD, bytes, length);
      return;
    }
  flow = oh_agent_flow_add (agent, key, OH_AGENT_FLOW_PROBED);
  flow->balancer = balancer;
  flow->query = query;
  flow->caller_acknowledged = segment->acknowledged;
  probe (agent, flow, bytes, length);
}

/* A SYN may have been answered by several upstreams; the caller opens the flow with the one whose SYN-ACK it
 * acknowledges. */
static bool
acknowledges_syn_ack (const oh_agent_flow_t *flow, const oh_segment_t *segment)
{
  return flow->answered && segment->ack && segment->acknowledged == flow->syn_ack_sequence + 1;
}

static void
handle_non_syn (oh_segment_agent_t *agent, const oh_flow_key_t *key, const oh_segment_t *segment,
                oh_address_t balancer, uint32_t query, bool offered, const uint8_t *bytes, size_t length)
{
  oh_agent_flow_t *flow = g_hash_table_lookup (agent->flows, key);
  bool opened = false;

  if (flow == NULL)
    {
      handle_unknown (agent, key, segment, balancer, query, offered, bytes, length);
      return;
    }
  if (flow->generation != agent->identity.generation && flow->state != OH_AGENT_FLOW_ABSENT
      && agent->identity.generation != 0 && flow->generation != 0)
    {
      flow->caller_acknowledged = segment->acknowledged;
      if (flow->state == OH_AGENT_FLOW_OPEN)
        oh_segment_agent_reset_flow (agent, flow, "service-replaced");
      else
        oh_segment_agent_answer_absent (agent, key, balancer, query, OH_ABSENT_DENIED, bytes, length);
      return;
    }
  switch (flow->state)
    {
    case OH_AGENT_FLOW_OPENING:
      if (!acknowledges_syn_ack (flow, segment))
        {
          oh_segment_agent_answer_absent (agent, key, balancer, query, OH_ABSENT_NO_RECORD, bytes, length);
          return;
        }
      oh_agent_flow_set_state (agent, flow, OH_AGENT_FLOW_OPEN);
      oh_counter_increment (&agent->counters.opened);
      opened = true;
      break;
    case OH_AGENT_FLOW_OPEN:
      break;
    case OH_AGENT_FLOW_PROBED:
      oh_agent_flow_touch (agent, flow);
      flow->balancer = balancer;
      flow->query = query;
      flow->caller_acknowledged = segment->acknowledged;
      probe (agent, flow, bytes, length);
      return;
    case OH_AGENT_FLOW_ABSENT:
      oh_agent_flow_touch (agent, flow);
      oh_segment_agent_answer_absent (agent, key, balancer, query, OH_ABSENT_DENIED, bytes, length);
      return;
    }
  if (opened || query != 0 || !oh_address_equal (flow->balancer, balancer))
    oh_segment_agent_answer (agent, balancer, OH__SEGMENT_RELAY_KIND__SEGMENT_OWNED, OH__RESULT__RESULT_NONE,
                             key, NULL, 0);
  flow->balancer = balancer;
  if (agent->upstream_ended)
    {
      flow->caller_acknowledged = segment->acknowledged;
      oh_segment_agent_reset_flow (agent, flow, "upstream-ended");
      return;
    }
  deliver_to_flow (agent, flow, segment, bytes, length);
}

/* Reports which of the flows the upstream has, and for which of them only a segment can tell. */
static void
handle_query (oh_segment_agent_t *agent, const Oh__SegmentRelay *query, oh_address_t balancer)
{
  uint8_t held[OH_SEGMENT_AGENT_QUERY_FLOWS_MAX / 8] = { 0 };
  uint8_t wanted[OH_SEGMENT_AGENT_QUERY_FLOWS_MAX / 8] = { 0 };
  const size_t bytes = (query->n_flows + 7) / 8;
  Oh__SegmentRelay answer = OH__SEGMENT_RELAY__INIT;
  Oh__Address self;
  size_t size;

  if (query->n_flows > OH_SEGMENT_AGENT_QUERY_FLOWS_MAX)
    {
      oh_counter_increment (&agent->counters.dropped_malformed);
      return;
    }
  for (size_t i = 0; i < query->n_flows; i++)
    {
      const oh_agent_flow_t *flow = g_hash_table_lookup (agent->by_digest, &query->flows[i]);
      const uint8_t bit = (uint8_t)(1 << i % 8);

      oh_counter_increment (&agent->counters.searches);
      if (flow != NULL && (flow->state == OH_AGENT_FLOW_OPEN || flow->state == OH_AGENT_FLOW_OPENING))
        held[i / 8] |= bit;
      if (flow != NULL ? flow->state != OH_AGENT_FLOW_ABSENT && flow->state != OH_AGENT_FLOW_OPEN
                       : !agent->records_complete)
        wanted[i / 8] |= bit;
    }
  oh_address_to_wire (agent->config.relay, &self);
  answer.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_ANSWER;
  answer.search = query->search;
  answer.owner = &self;
  answer.held = (ProtobufCBinaryData){ .data = held, .len = bytes };
  answer.wanted = (ProtobufCBinaryData){ .data = wanted, .len = bytes };
  size = oh_segment_relay_encode (&answer, &agent->keyring, agent->out, sizeof agent->out);
  agent->sink->ops->send_balancer (agent->sink, balancer, agent->out, size);
}

void
oh_segment_agent_handle_relay (oh_segment_agent_t *agent, const uint8_t *bytes, size_t length)
{
  const Oh__SegmentRelay *relay
    = oh_segment_relay_decode (&agent->arena, &agent->keyring, bytes, length, NULL);
  oh_segment_t segment;
  oh_address_t balancer;
  oh_flow_key_t key;
  bool searched;

  if (relay == NULL || !oh_address_from_wire (relay->balancer, &balancer))
    {
      oh_counter_increment (&agent->counters.dropped_bad_seal);
      return;
    }
  if (relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_ASK)
    {
      handle_query (agent, relay, balancer);
      return;
    }
  if (!agent->config.format->ops->decode (agent->config.format, relay->segment.data, relay->segment.len,
                                          &segment))
    {
      oh_counter_increment (&agent->counters.dropped_malformed);
      return;
    }
  key = (oh_flow_key_t){ .caller = segment.from, .route = segment.to };
  searched = relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_SEARCH && relay->search != 0;
  if (searched)
    oh_counter_increment (&agent->counters.searches);
  if (relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN && segment.syn && !segment.ack)
    handle_open (agent, &key, &segment, relay, balancer);
  else if (!segment.syn && (searched || relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER))
    handle_non_syn (agent, &key, &segment, balancer, searched ? relay->search : 0, relay->offered,
                    relay->segment.data, relay->segment.len);
  else
    oh_counter_increment (&agent->counters.dropped_malformed);
}
