#include "core/segment_agent.h"

#include <stdarg.h>
#include <string.h>

/* Fraction of its slots that a warming upstream offers. */
#define WARMING_SHARE 0.6

static void G_GNUC_PRINTF (5, 6)
  log_flow (const oh_segment_agent_t *agent, oh_log_level_t level, const char *event,
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

/* Flow records. */

static void
end_opening (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  if (oh_list_is_empty (&flow->opening_link))
    return;
  oh_list_remove (&flow->opening_link);
  agent->n_opening--;
}

static void
end_awaiting_request (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  if (oh_list_is_empty (&flow->awaiting_request_link))
    return;
  oh_list_remove (&flow->awaiting_request_link);
  agent->n_awaiting_request--;
}

static void
set_awaiting_response (oh_segment_agent_t *agent, oh_agent_flow_t *flow, bool awaiting)
{
  if (awaiting == flow->awaiting_response)
    return;
  agent->n_awaiting_response += awaiting ? 1 : -1;
  flow->awaiting_response = awaiting;
  flow->request_us = agent->now_us;
}

static void
set_state (oh_segment_agent_t *agent, oh_agent_flow_t *flow, oh_agent_flow_state_t state)
{
  agent->n_open -= flow->state == OH_AGENT_FLOW_OPEN && !flow->closed;
  flow->state = state;
  agent->n_open += flow->state == OH_AGENT_FLOW_OPEN && !flow->closed;
  if (state != OH_AGENT_FLOW_OPENING)
    end_opening (agent, flow);
  if (state != OH_AGENT_FLOW_OPEN)
    set_awaiting_response (agent, flow, false);
  if (state != OH_AGENT_FLOW_OPEN && state != OH_AGENT_FLOW_OPENING)
    end_awaiting_request (agent, flow);
}

static void
close_flow (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  agent->n_open -= flow->state == OH_AGENT_FLOW_OPEN && !flow->closed;
  flow->closed = true;
  set_awaiting_response (agent, flow, false);
  end_awaiting_request (agent, flow);
}

static void
remove_flow (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  close_flow (agent, flow);
  end_opening (agent, flow);
  oh_list_remove (&flow->lru_link);
  if (g_hash_table_lookup (agent->by_digest, &flow->digest) == flow)
    g_hash_table_remove (agent->by_digest, &flow->digest);
  g_hash_table_remove (agent->flows, &flow->key);
}

static void
touch_flow (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  flow->used_us = agent->now_us;
  oh_list_remove (&flow->lru_link);
  oh_list_append (&agent->lru, &flow->lru_link);
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
  remove_flow (agent, oldest);
}

static oh_agent_flow_t *
add_flow (oh_segment_agent_t *agent, const oh_flow_key_t *key, oh_agent_flow_state_t state)
{
  oh_agent_flow_t *flow = g_hash_table_lookup (agent->flows, key);

  if (flow != NULL)
    remove_flow (agent, flow);
  if (g_hash_table_size (agent->flows) >= max_records (agent))
    evict_oldest (agent);
  flow = g_new0 (oh_agent_flow_t, 1);
  flow->key = *key;
  flow->generation = agent->identity.generation;
  flow->opened_us = agent->now_us;
  oh_list_init (&flow->lru_link);
  oh_list_init (&flow->opening_link);
  oh_list_init (&flow->awaiting_request_link);
  flow->state = OH_AGENT_FLOW_ABSENT;
  flow->digest = oh_flow_key_digest (key);
  g_hash_table_insert (agent->flows, &flow->key, flow);
  g_hash_table_replace (agent->by_digest, &flow->digest, flow);
  set_state (agent, flow, state);
  touch_flow (agent, flow);
  return flow;
}

static void
expire_flows (oh_segment_agent_t *agent)
{
  while (!oh_list_is_empty (&agent->lru))
    {
      oh_agent_flow_t *oldest = oh_list_entry (agent->lru.next, oh_agent_flow_t, lru_link);

      if (agent->now_us - oldest->used_us < agent->config.flow_timeout_ms * 1000)
        break;
      remove_flow (agent, oldest);
    }
}

/* Messages to balancers. */

static unsigned
offered_slots (const oh_segment_agent_t *agent)
{
  const oh_upstream_identity_t *identity = &agent->identity;

  if (!oh_upstream_identity_accepts_flows (identity, agent->now_us))
    return 0;
  if (agent->now_us < identity->warmup_ends_us)
    return MAX (1u, (unsigned)(identity->slots * WARMING_SHARE));
  return MAX (1u, identity->slots);
}

static Oh__UpstreamState
upstream_state (const oh_segment_agent_t *agent)
{
  const oh_upstream_identity_t *identity = &agent->identity;

  if (identity->state != OH_ANNOUNCED_READY)
    return OH__UPSTREAM_STATE__UPSTREAM_DRAINING;
  if (!oh_upstream_identity_accepts_flows (identity, agent->now_us)
      || agent->unanswered_syns >= OH_SEGMENT_SUSPECT_SYNS)
    return OH__UPSTREAM_STATE__UPSTREAM_SUSPECT;
  if (agent->now_us < identity->warmup_ends_us)
    return OH__UPSTREAM_STATE__UPSTREAM_WARMING;
  return OH__UPSTREAM_STATE__UPSTREAM_READY;
}

void
oh_segment_agent_get_load (oh_segment_agent_t *agent, int64_t now_us, Oh__Load *load, Oh__Address *relay)
{
  agent->now_us = MAX (agent->now_us, now_us);
  oh__load__init (load);
  oh_address_to_wire (agent->config.relay, relay);
  load->upstream = (char *)agent->config.name;
  load->service = agent->identity.service_id;
  /* A restart of the upstream is a new incarnation, too. */
  load->incarnation = agent->config.incarnation + agent->identity.generation;
  load->sequence = ++agent->report_sequence;
  load->slots = offered_slots (agent);
  load->busy = MIN (agent->n_awaiting_response, agent->identity.slots);
  /* A flow that has just opened is expected to bring a request. */
  load->queued = agent->n_awaiting_response - load->busy + agent->n_awaiting_request;
  load->flows = agent->n_open + agent->n_opening;
  load->max_flows = agent->config.max_flows;
  load->state = upstream_state (agent);
  load->agent = relay;
}

static size_t
encode (oh_segment_agent_t *agent, Oh__SegmentRelay *relay)
{
  Oh__Load load;
  Oh__Address self;
  size_t size;

  oh_segment_agent_get_load (agent, agent->now_us, &load, &self);
  relay->load = &load;
  size = oh_segment_relay_encode (relay, &agent->keyring, agent->out, sizeof agent->out);
  relay->load = NULL;
  return size;
}

static void
report_load (oh_segment_agent_t *agent)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  size_t size;

  if (agent->identity.generation == 0)
    return;
  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_LOAD;
  size = encode (agent, &relay);
  agent->reported_us = agent->now_us;
  if (size > 0)
    agent->sink->ops->report (agent->sink, agent->out, size);
}

/* Reports the state of a flow to a balancer. bytes is the segment to return, if any. */
static void
send_answer (oh_segment_agent_t *agent, oh_address_t balancer, Oh__SegmentRelay *relay,
             const oh_flow_key_t *key, const uint8_t *bytes, size_t length)
{
  Oh__Address caller;
  Oh__Address route;
  size_t size;

  oh_address_to_wire (key->caller, &caller);
  oh_address_to_wire (key->route, &route);
  relay->caller = &caller;
  relay->route = &route;
  relay->segment.data = (uint8_t *)bytes;
  relay->segment.len = length;
  size = encode (agent, relay);
  if (size > 0 && balancer.port != 0)
    agent->sink->ops->send_balancer (agent->sink, balancer, agent->out, size);
}

static void
answer (oh_segment_agent_t *agent, oh_address_t balancer, Oh__SegmentRelayKind kind, Oh__Result refused,
        const oh_flow_key_t *key, const uint8_t *bytes, size_t length)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;

  relay.kind = kind;
  relay.refused = refused;
  send_answer (agent, balancer, &relay, key, bytes, length);
}

static void
deliver (oh_segment_agent_t *agent, const uint8_t *bytes, size_t length)
{
  oh_counter_increment (&agent->counters.delivered);
  agent->sink->ops->send_upstream (agent->sink, bytes, length);
}

static void
refuse_syn (oh_segment_agent_t *agent, oh_address_t balancer, const oh_flow_key_t *key, Oh__Result result,
            const uint8_t *bytes, size_t length)
{
  oh_counter_increment (&agent->counters.refused);
  log_flow (agent, OH_LOG_INFO, "first_refused", key, "result=%d state=%d generation=%u open=%u", (int)result,
            (int)agent->identity.state, agent->identity.generation, agent->n_open);
  answer (agent, balancer, OH__SEGMENT_RELAY_KIND__SEGMENT_REFUSED, result, key, bytes, length);
}

/* The incarnation of the upstream that had the flow is gone, or has lost it: a response will never come. */
static void
reset_flow (oh_segment_agent_t *agent, oh_agent_flow_t *flow, const char *reason)
{
  uint8_t buffer[OH_SEGMENT_RESET_MAX_BYTES];
  const size_t length = agent->config.format->ops->make_reset (agent->config.format, &flow->key,
                                                               flow->caller_acknowledged, buffer);

  oh_counter_increment (&agent->counters.resets);
  log_flow (agent, OH_LOG_INFO, "flow_reset", &flow->key, "reason=%s generation=%u now=%u", reason,
            flow->generation, agent->identity.generation);
  agent->sink->ops->send_caller (agent->sink, flow->key.caller, buffer, length);
}

/* An upstream announces that it leaves shortly before it exits, and may still respond until then. */
static bool
has_left (const oh_segment_agent_t *agent)
{
  const int64_t heard_us = MAX (agent->identity.last_heard_us, agent->upstream_sent_us);

  return oh_upstream_identity_has_left (&agent->identity)
         && agent->now_us - heard_us >= (int64_t)OH_SEGMENT_LEAVE_GRACE_MS * 1000;
}

/* Resets the flows whose upstream is gone. A caller that only waits for a response sends no segment that a
 * reset could answer, so the agent does not wait for one. */
static void
reset_orphaned_flows (oh_segment_agent_t *agent, const char *reason)
{
  const bool left = has_left (agent);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      oh_agent_flow_t *flow = value;

      if (flow->state != OH_AGENT_FLOW_OPEN || flow->closed || flow->generation == 0
          || (!left && flow->generation == agent->identity.generation))
        continue;
      reset_flow (agent, flow, reason);
      close_flow (agent, flow);
    }
}

/* Messages from balancers. */

/* Beyond this limit a request would queue at the upstream for longer than its deadline allows. */
static bool
is_overloaded (const oh_segment_agent_t *agent)
{
  const bool warming = agent->now_us < agent->identity.warmup_ends_us;
  const unsigned per_slot = warming ? OH_SEGMENT_ADMIT_PER_SLOT_WARMING : OH_SEGMENT_ADMIT_PER_SLOT;

  return agent->n_awaiting_response + agent->n_awaiting_request >= agent->identity.slots * per_slot;
}

static bool
check_admission (const oh_segment_agent_t *agent, uint64_t service, Oh__Result *result)
{
  const oh_upstream_identity_t *identity = &agent->identity;

  if (identity->generation == 0)
    *result = OH__RESULT__RESULT_NO_UPSTREAM;
  else if (identity->service_id != service)
    *result = OH__RESULT__RESULT_WRONG_SERVICE;
  else if (identity->state != OH_ANNOUNCED_READY)
    *result = OH__RESULT__RESULT_NOT_RUN_DRAINING;
  else if (!oh_upstream_identity_accepts_flows (identity, agent->now_us))
    *result = OH__RESULT__RESULT_NO_UPSTREAM;
  else if (agent->n_open + agent->n_opening >= agent->config.max_flows || is_overloaded (agent))
    *result = OH__RESULT__RESULT_NOT_RUN_OVERLOADED;
  else
    return true;
  return false;
}

static void
handle_open (oh_segment_agent_t *agent, const oh_flow_key_t *key, const oh_segment_t *segment,
             uint64_t service, oh_address_t balancer, const uint8_t *bytes, size_t length)
{
  oh_agent_flow_t *flow = g_hash_table_lookup (agent->flows, key);
  Oh__Result result = OH__RESULT__RESULT_NOT_RUN_OVERLOADED;

  if (flow != NULL && flow->generation == agent->identity.generation
      && flow->syn_sequence == segment->sequence
      && (flow->state == OH_AGENT_FLOW_OPENING || flow->state == OH_AGENT_FLOW_OPEN))
    {
      /* A retransmission: the upstream answers it again. */
      flow->balancer = balancer;
      if (flow->state == OH_AGENT_FLOW_OPENING)
        deliver (agent, bytes, length);
      return;
    }
  if (!check_admission (agent, service, &result) || length > OH_SEGMENT_SYN_MAX_BYTES)
    {
      refuse_syn (agent, balancer, key, result, bytes, length);
      return;
    }
  flow = add_flow (agent, key, OH_AGENT_FLOW_OPENING);
  flow->balancer = balancer;
  flow->syn_sequence = segment->sequence;
  flow->syn_length = length;
  memcpy (flow->syn, bytes, length);
  oh_list_append (&agent->opening, &flow->opening_link);
  agent->n_opening++;
  oh_list_append (&agent->awaiting_request, &flow->awaiting_request_link);
  agent->n_awaiting_request++;
  deliver (agent, bytes, length);
}

static void
deliver_to_flow (oh_segment_agent_t *agent, oh_agent_flow_t *flow, const oh_segment_t *segment,
                 const uint8_t *bytes, size_t length)
{
  touch_flow (agent, flow);
  flow->caller_acknowledged = segment->acknowledged;
  if (segment->length > 0 && !flow->closed)
    {
      set_awaiting_response (agent, flow, true);
      end_awaiting_request (agent, flow);
    }
  if (segment->fin || segment->rst)
    close_flow (agent, flow);
  deliver (agent, bytes, length);
}

/* Why the agent reports a flow as absent. */
typedef enum
{
  ABSENT_NO_RECORD, /* the agent knows of no such flow, or it has not opened here */
  ABSENT_DENIED,    /* the upstream said so, or the incarnation that had the flow is gone */
} absent_reason_t;

/* Reports that the upstream does not have the flow. query is the number of the query that this answers, 0 for
 * none. The segment is not returned if it belongs to a query, as its balancer has kept it. */
static void
answer_absent (oh_segment_agent_t *agent, const oh_flow_key_t *key, oh_address_t balancer, uint32_t query,
               absent_reason_t reason, const uint8_t *bytes, size_t length)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;

  oh_counter_increment (&agent->counters.absent);
  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_ABSENT;
  relay.search = query;
  relay.denied = reason == ABSENT_DENIED;
  send_answer (agent, balancer, &relay, key, query == 0 ? bytes : NULL, query == 0 ? length : 0);
}

/* Delivers a segment to learn whether the upstream has the flow. If it has not, the segment is one at a wrong
 * upstream, so there are only a few; the caller retransmits what is not delivered. */
static void
probe (oh_segment_agent_t *agent, oh_agent_flow_t *flow, const uint8_t *bytes, size_t length)
{
  if (agent->now_us - flow->probes_us >= (int64_t)OH_SEGMENT_PROBES_INTERVAL_MS * 1000)
    {
      flow->probes_us = agent->now_us;
      flow->n_probes = 0;
    }
  if (flow->n_probes >= OH_SEGMENT_PROBES_MAX)
    {
      oh_counter_increment (&agent->counters.probes_held);
      return;
    }
  flow->n_probes++;
  oh_counter_increment (&agent->counters.probes);
  deliver (agent, bytes, length);
}

/* Handles a segment of a flow without a record. A balancer that was told that the flow is here is told the
 * contrary only by the upstream itself, which is probed; in a search, complete records are enough. */
static void
handle_unknown (oh_segment_agent_t *agent, const oh_flow_key_t *key, const oh_segment_t *segment,
                oh_address_t balancer, uint32_t query, const uint8_t *bytes, size_t length)
{
  const bool absent = query != 0 && agent->records_complete;
  oh_agent_flow_t *flow;

  log_flow (agent, OH_LOG_INFO, "flow_unknown", key, "search=%u generation=%u state=%d result=%s", query,
            agent->identity.generation, (int)agent->identity.state, absent ? "absent" : "probed");
  if (absent)
    {
      answer_absent (agent, key, balancer, query, ABSENT_NO_RECORD, bytes, length);
      return;
    }
  flow = add_flow (agent, key, OH_AGENT_FLOW_PROBED);
  flow->balancer = balancer;
  flow->query = query;
  flow->caller_acknowledged = segment->acknowledged;
  flow->probes_us = agent->now_us;
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
                oh_address_t balancer, uint32_t query, const uint8_t *bytes, size_t length)
{
  oh_agent_flow_t *flow = g_hash_table_lookup (agent->flows, key);
  bool opened = false;

  if (flow == NULL)
    {
      handle_unknown (agent, key, segment, balancer, query, bytes, length);
      return;
    }
  if (flow->generation != agent->identity.generation && flow->state != OH_AGENT_FLOW_ABSENT
      && agent->identity.generation != 0 && flow->generation != 0)
    {
      flow->caller_acknowledged = segment->acknowledged;
      if (flow->state == OH_AGENT_FLOW_OPEN)
        reset_flow (agent, flow, "upstream-replaced");
      else
        answer_absent (agent, key, balancer, query, ABSENT_DENIED, bytes, length);
      return;
    }
  switch (flow->state)
    {
    case OH_AGENT_FLOW_OPENING:
      if (!acknowledges_syn_ack (flow, segment))
        {
          answer_absent (agent, key, balancer, query, ABSENT_NO_RECORD, bytes, length);
          return;
        }
      set_state (agent, flow, OH_AGENT_FLOW_OPEN);
      oh_counter_increment (&agent->counters.opened);
      opened = true;
      break;
    case OH_AGENT_FLOW_OPEN:
      break;
    case OH_AGENT_FLOW_PROBED:
      touch_flow (agent, flow);
      flow->balancer = balancer;
      flow->query = query;
      flow->caller_acknowledged = segment->acknowledged;
      probe (agent, flow, bytes, length);
      return;
    case OH_AGENT_FLOW_ABSENT:
      touch_flow (agent, flow);
      answer_absent (agent, key, balancer, query, ABSENT_DENIED, bytes, length);
      return;
    }
  if (opened || query != 0 || !oh_address_equal (flow->balancer, balancer))
    answer (agent, balancer, OH__SEGMENT_RELAY_KIND__SEGMENT_OWNED, OH__RESULT__RESULT_NONE, key, NULL, 0);
  flow->balancer = balancer;
  if (has_left (agent))
    {
      flow->caller_acknowledged = segment->acknowledged;
      reset_flow (agent, flow, "upstream-left");
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

static void
handle_relay (oh_segment_agent_t *agent, const uint8_t *bytes, size_t length)
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
    handle_open (agent, &key, &segment, relay->service, balancer, relay->segment.data, relay->segment.len);
  else if (!segment.syn && (searched || relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER))
    handle_non_syn (agent, &key, &segment, balancer, searched ? relay->search : 0, relay->segment.data,
                    relay->segment.len);
  else
    oh_counter_increment (&agent->counters.dropped_malformed);
}

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
  remove_flow (agent, flow);
  refuse_syn (agent, balancer, &key, OH__RESULT__RESULT_NOT_RUN_OVERLOADED, bytes, length);
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
      set_state (agent, flow, OH_AGENT_FLOW_ABSENT);
      answer_absent (agent, &key, flow->balancer, flow->query, ABSENT_DENIED, bytes, length);
      return;
    case OH_AGENT_FLOW_OPEN:
      if (flow->closed)
        return;
      flow->caller_acknowledged = segment->acknowledged;
      reset_flow (agent, flow, "returned");
      close_flow (agent, flow);
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
  if (flow->state != OH_AGENT_FLOW_OPENING)
    return;
  end_opening (agent, flow);
  flow->syn_ack_sequence = segment->sequence;
  if (flow->answered)
    return;
  flow->answered = true;
  oh_histogram_observe (&agent->first_answer_seconds, agent->now_us - flow->opened_us);
  answer (agent, flow->balancer, OH__SEGMENT_RELAY_KIND__SEGMENT_ACCEPTED, OH__RESULT__RESULT_NONE,
          &flow->key, NULL, 0);
}

/* The upstream resets a flow that it was only probed with, or that its caller has not opened here. Another
 * upstream may have the flow, so the reset must not reach the caller. */
static void
handle_reset_elsewhere (oh_segment_agent_t *agent, oh_agent_flow_t *flow)
{
  const bool probed = flow->state == OH_AGENT_FLOW_PROBED;

  log_flow (agent, OH_LOG_INFO, "probe_reset", &flow->key, "generation=%u search=%u state=%d",
            flow->generation, flow->query, (int)flow->state);
  set_state (agent, flow, OH_AGENT_FLOW_ABSENT);
  if (probed)
    answer_absent (agent, &flow->key, flow->balancer, flow->query, ABSENT_DENIED, NULL, 0);
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
    flow = add_flow (agent, &key, segment.syn ? OH_AGENT_FLOW_OPENING : OH_AGENT_FLOW_OPEN);
  touch_flow (agent, flow);
  if (segment.syn)
    handle_syn_ack (agent, &segment, flow);
  else if (flow->state == OH_AGENT_FLOW_PROBED || flow->state == OH_AGENT_FLOW_ABSENT)
    {
      set_state (agent, flow, OH_AGENT_FLOW_OPEN);
      answer (agent, flow->balancer, OH__SEGMENT_RELAY_KIND__SEGMENT_OWNED, OH__RESULT__RESULT_NONE, &key,
              NULL, 0);
    }
  if (segment.length > 0 && flow->awaiting_response)
    {
      oh_histogram_observe (&agent->request_seconds, agent->now_us - flow->request_us);
      set_awaiting_response (agent, flow, false);
    }
  if (segment.fin || segment.rst)
    close_flow (agent, flow);
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

/* Assigns flows to the new incarnation that may have opened there before its first announcement. Flows that
 * opened before the last announcement of the former one are certainly of that one. The upstream returns the
 * segments of those that it does not have. None is assigned to an upstream of another service. */
static void
adopt_flows (oh_segment_agent_t *agent, const oh_upstream_identity_t *former)
{
  const int64_t certain_us = former->last_heard_us - (int64_t)OH_SEGMENT_ANNOUNCEMENT_DELAY_MS * 1000;
  GHashTableIter iter;
  gpointer value;

  if (former->generation != 0 && former->service_id != agent->identity.service_id)
    return;
  g_hash_table_iter_init (&iter, agent->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      oh_agent_flow_t *flow = value;

      if (flow->generation != 0 && flow->opened_us < certain_us)
        continue;
      flow->generation = agent->identity.generation;
      /* They are no load of the new incarnation unless their callers send something. */
      set_awaiting_response (agent, flow, false);
      end_awaiting_request (agent, flow);
    }
}

static void
apply_identity_change (oh_segment_agent_t *agent, const oh_announcement_t *announcement,
                       oh_identity_change_t change, const oh_upstream_identity_t *former)
{
  if (change == OH_IDENTITY_REPLACED)
    {
      agent->unanswered_syns = 0;
      agent->records_complete = is_first_announcement (agent, announcement);
      log_records (agent, announcement);
      adopt_flows (agent, former);
      reset_orphaned_flows (agent, "upstream-replaced");
    }
  report_load (agent);
  agent->sink->ops->changed (agent->sink);
}

oh_announcement_result_t
oh_segment_agent_announce (oh_segment_agent_t *agent, const oh_announcement_t *announcement, int64_t now_us,
                           oh_segment_agent_sink_t *sink)
{
  const oh_upstream_identity_t former = agent->identity;
  oh_identity_change_t change;
  oh_announcement_result_t result;

  agent->now_us = now_us;
  agent->sink = sink;
  result = oh_upstream_identity_update (&agent->identity, announcement, now_us, &change);
  oh_counter_increment (&agent->counters.announcements);
  if (result == OH_ANNOUNCEMENT_STALE)
    oh_counter_increment (&agent->counters.announcements_stale);
  else if (oh_announcement_refused (result))
    oh_counter_increment (&agent->counters.announcements_refused);
  if (change != OH_IDENTITY_REFRESHED)
    log_announcement (agent, announcement, result);
  if (change == OH_IDENTITY_CHANGED || change == OH_IDENTITY_REPLACED)
    apply_identity_change (agent, announcement, change, &former);
  agent->sink = NULL;
  return result;
}

void
oh_segment_agent_set_services (oh_segment_agent_t *agent, const oh_service_set_t *services,
                               oh_segment_agent_sink_t *sink)
{
  const oh_upstream_identity_t before = agent->identity;
  char pairs[OH_SEGMENT_AGENT_LOG_BYTES];

  if (!oh_service_set_is_known (services) || services->digest == agent->services.digest)
    return;
  oh_service_set_assign (&agent->services, (const uint64_t *)(void *)services->ids->data, services->ids->len);
  if (oh_upstream_identity_check_service (&agent->identity))
    return;
  agent->sink = sink;
  agent->records_complete = false;
  g_snprintf (pairs, sizeof pairs, "id=%s service=%s started_ms=%" G_GINT64_FORMAT " result=%s", before.id,
              before.service, before.started_ms,
              oh_announcement_result_name (OH_ANNOUNCEMENT_UNKNOWN_SERVICE));
  agent->sink->ops->log (agent->sink, OH_LOG_WARNING, "upstream_forgotten", pairs);
  agent->sink->ops->changed (agent->sink);
  agent->sink = NULL;
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
      /* The record stays: a late SYN-ACK may still be the one that the caller acknowledges. */
      end_opening (agent, flow);
      refuse_syn (agent, flow->balancer, &flow->key, OH__RESULT__RESULT_NOT_RUN_UPSTREAM, flow->syn,
                  flow->syn_length);
    }
}

static void
expire_awaiting_request (oh_segment_agent_t *agent)
{
  const int64_t limit_us = agent->now_us - (int64_t)OH_SEGMENT_FIRST_REQUEST_MS * 1000;

  while (!oh_list_is_empty (&agent->awaiting_request))
    {
      oh_agent_flow_t *flow
        = oh_list_entry (agent->awaiting_request.next, oh_agent_flow_t, awaiting_request_link);

      if (flow->opened_us > limit_us)
        break;
      end_awaiting_request (agent, flow);
    }
}

static void
expire_requests (oh_segment_agent_t *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->flows);
  while (agent->n_awaiting_response > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      oh_agent_flow_t *flow = value;

      if (flow->awaiting_response
          && agent->now_us - flow->request_us > (int64_t)OH_SEGMENT_REQUEST_TIMEOUT_MS * 1000)
        set_awaiting_response (agent, flow, false);
    }
}

static void
handle_tick (oh_segment_agent_t *agent)
{
  expire_opening_flows (agent);
  expire_awaiting_request (agent);
  if (agent->n_open > 0 && has_left (agent))
    reset_orphaned_flows (agent, "upstream-left");
  if (agent->now_us - agent->reported_us < (int64_t)OH_SEGMENT_REPORT_INTERVAL_MS * 1000)
    return;
  expire_flows (agent);
  expire_requests (agent);
  oh_counter_set (&agent->counters.flows, agent->n_open);
  oh_counter_set (&agent->counters.requests_waiting, agent->n_awaiting_response);
  report_load (agent);
}

void
oh_segment_agent_init (oh_segment_agent_t *agent, const oh_segment_agent_config_t *config,
                       const oh_keyring_t *keyring)
{
  *agent = (oh_segment_agent_t){
    .config = *config,
    .keyring = *keyring,
    .flows = g_hash_table_new_full (oh_flow_key_hash, oh_flow_key_equal, NULL, g_free),
    .by_digest = g_hash_table_new (g_int64_hash, g_int64_equal),
  };
  oh_list_init (&agent->lru);
  oh_list_init (&agent->opening);
  oh_list_init (&agent->awaiting_request);
  oh_service_set_init (&agent->services);
  oh_upstream_identity_init (&agent->identity, config->upstream, &agent->services, config->heartbeat_ms);
  oh_arena_init (&agent->arena);
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
oh_segment_agent_is_listed (const oh_segment_agent_t *agent, int64_t now_us)
{
  const int64_t wait_us = agent->config.heartbeat_ms * 1000 * OH_SEGMENT_UNANNOUNCED_HEARTBEATS;

  if (agent->identity.generation == 0)
    return now_us - agent->config.started_us <= wait_us;
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
      handle_relay (agent, event->datagram.bytes, event->datagram.length);
      break;
    case OH_SEGMENT_AGENT_UPSTREAM:
      handle_from_upstream (agent, event->datagram.bytes, event->datagram.length);
      break;
    case OH_SEGMENT_AGENT_TICK:
      handle_tick (agent);
      break;
    }
  agent->sink = NULL;
}
