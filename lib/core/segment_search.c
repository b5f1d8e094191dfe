#include "core/segment_search.h"

#include <string.h>
#include <xxhash.h>

#include "core/segment_directory.h"
#include "core/segment_flows.h"

enum
{
  BITS_PER_WORD = 64,
};

/* The budget limits the messages of searches, so that they leave most of a slow link to flows whose owner is
 * known. */
static void
refill_budget (oh_segment_balancer_t *balancer)
{
  const int refill = OH_SEGMENT_SEARCH_MESSAGES_PER_S * OH_SEGMENT_TICK_MS / 1000;

  balancer->search_budget = MIN (balancer->search_budget + refill, OH_SEGMENT_SEARCH_MESSAGES_PER_S);
}

static uint64_t
digest_agents (const oh_segment_balancer_t *balancer)
{
  uint64_t digest = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, balancer->placement.upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const oh_address_t agent = ((const oh_placement_upstream_t *)value)->agent;
      const uint64_t word = (uint64_t)agent.ipv4 << 16 | agent.port;

      digest ^= XXH64 (&word, sizeof word, 0);
    }
  return digest;
}

/* Queries. */

static oh_segment_query_t *
new_query (oh_segment_balancer_t *balancer)
{
  oh_segment_query_t *query;

  balancer->last_query++;
  balancer->last_query += balancer->last_query == 0; /* 0 means no query */
  query = &balancer->queries[balancer->last_query % OH_SEGMENT_QUERIES_MAX];
  oh_segment_query_clear (query);
  query->number = balancer->last_query;
  query->agents = g_array_new (FALSE, FALSE, sizeof (oh_address_t));
  query->agents_digest = digest_agents (balancer);
  query->flows = g_array_new (FALSE, FALSE, sizeof (oh_flow_key_t));
  return query;
}

/* Returns NULL if newer queries have replaced it. */
static oh_segment_query_t *
find_query (oh_segment_balancer_t *balancer, uint32_t number)
{
  oh_segment_query_t *query = &balancer->queries[number % OH_SEGMENT_QUERIES_MAX];

  return number != 0 && query->number == number ? query : NULL;
}

static bool
find_agent (const oh_segment_query_t *query, oh_address_t agent, unsigned *index)
{
  for (guint i = 0; i < query->agents->len; i++)
    if (oh_address_equal (g_array_index (query->agents, oh_address_t, i), agent))
      {
        *index = i;
        return true;
      }
  return false;
}

/* Moves flows from the queue to the query, except those that need no search any more. */
static void
dequeue_flows (oh_segment_balancer_t *balancer, oh_segment_query_t *query)
{
  guint n_taken = 0;

  while (n_taken < balancer->query_queue->len && query->flows->len < OH_SEGMENT_QUERY_FLOWS_MAX)
    {
      const oh_flow_key_t key = g_array_index (balancer->query_queue, oh_flow_key_t, n_taken++);
      oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, &key);

      if (flow == NULL || !flow->query_queued)
        continue;
      flow->query_queued = false;
      flow->query = query->number;
      flow->queried_us = balancer->now_us;
      flow->n_absent = 0;
      flow->n_undecided = 0;
      memset (flow->answered, 0, sizeof flow->answered);
      g_array_append_val (query->flows, key);
    }
  g_array_remove_range (balancer->query_queue, 0, n_taken);
}

static void
query_agents (oh_segment_balancer_t *balancer, oh_segment_query_t *query)
{
  uint64_t digests[OH_SEGMENT_QUERY_FLOWS_MAX];
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  Oh__Address self;
  GHashTableIter iter;
  gpointer value;
  char pairs[OH_SEGMENT_LOG_BYTES];
  size_t size;

  for (guint i = 0; i < query->flows->len; i++)
    digests[i] = oh_flow_key_digest (&g_array_index (query->flows, oh_flow_key_t, i));
  oh_address_to_wire (balancer->relay, &self);
  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_ASK;
  relay.balancer = &self;
  relay.search = query->number;
  relay.flows = digests;
  relay.n_flows = query->flows->len;
  size = oh_segment_relay_encode (&relay, &balancer->keyring, balancer->out, sizeof balancer->out);
  g_assert (size > 0);
  g_hash_table_iter_init (&iter, balancer->placement.upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const oh_address_t agent = ((const oh_placement_upstream_t *)value)->agent;

      g_array_append_val (query->agents, agent);
      balancer->search_budget--;
      oh_counter_increment (&balancer->counters.search_messages);
      balancer->sink->ops->send_agent (balancer->sink, agent, balancer->out, size);
    }
  g_snprintf (pairs, sizeof pairs, "question=%u flows=%u agents=%u budget=%d listed=%d", query->number,
              query->flows->len, query->agents->len, balancer->search_budget, balancer->all_listed);
  balancer->sink->ops->log (balancer->sink, OH_LOG_INFO, "flows_asked", pairs);
}

static void
send_queries (oh_segment_balancer_t *balancer)
{
  while (balancer->query_queue->len > 0 && balancer->search_budget > 0)
    {
      oh_segment_query_t *query = new_query (balancer);

      dequeue_flows (balancer, query);
      if (query->flows->len > 0)
        query_agents (balancer, query);
    }
}

void
oh_segment_query_clear (oh_segment_query_t *query)
{
  query->number = 0;
  g_clear_pointer (&query->agents, g_array_unref);
  g_clear_pointer (&query->flows, g_array_unref);
}

/* Flows. */

static void
queue_for_query (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  flow->query_queued = true;
  g_array_append_val (balancer->query_queue, flow->key);
  oh_counter_increment (&balancer->counters.searched);
}

void
oh_segment_search_start (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  const int64_t query_age_ms = (balancer->now_us - flow->queried_us) / 1000;
  const int64_t absent_age_ms = (balancer->now_us - flow->all_absent_us) / 1000;

  if (oh_route_table_find (&balancer->routes, flow->key.route) == NULL)
    {
      oh_counter_increment (&balancer->counters.dropped_no_route);
      g_clear_pointer (&flow->pending, g_ptr_array_unref);
      return;
    }
  if (flow->query_queued || (flow->query != 0 && query_age_ms < OH_SEGMENT_QUERY_RETRY_MS))
    return;
  /* All agents reported it absent a moment ago and would do so again. */
  if (flow->all_absent_us != 0 && absent_age_ms < OH_SEGMENT_SEARCH_BACKOFF_MS)
    return;
  flow->all_absent_us = 0;
  queue_for_query (balancer, flow);
  /* With less budget left, the next tick sends it together with others in one query. */
  if (balancer->search_budget > OH_SEGMENT_SEARCH_MESSAGES_PER_S / 2)
    send_queries (balancer);
}

/* No agent of the query is known to own the flow. That does not prove that the flow has ended: the agent that
 * owns it may be missing from the view, or may have lost its record. So the caller is not reset. */
static void
end_query (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const oh_segment_query_t *query)
{
  if (query->agents_digest != digest_agents (balancer))
    {
      queue_for_query (balancer, flow);
      return;
    }
  oh_balancer_flow_log (balancer, OH_LOG_INFO, "flow_absent", &flow->key,
                        "question=%u asked=%u undecided=%u listed=%d lookup_age_ms=%" G_GINT64_FORMAT,
                        query->number, query->agents->len, flow->n_undecided, balancer->all_listed,
                        flow->lookup_us != 0 ? (balancer->now_us - flow->lookup_us) / 1000 : -1);
  flow->all_absent_us = balancer->now_us;
}

/* Sends a segment of the flow to an agent that cannot tell without it. */
static void
send_wanted_segment (oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow, oh_address_t agent)
{
  gsize length;
  const uint8_t *bytes;

  if (flow->pending == NULL || balancer->search_budget <= 0)
    return; /* the next segment of the flow starts a new query */
  balancer->search_budget--;
  oh_counter_increment (&balancer->counters.search_messages);
  bytes = g_bytes_get_data (g_ptr_array_index (flow->pending, flow->pending->len - 1), &length);
  oh_segment_send_query_relay (balancer, agent, OH__SEGMENT_RELAY_KIND__SEGMENT_SEARCH, 0, flow->query, bytes,
                               length);
}

/* Every agent has answered. If one of them cannot tell, by elimination it is the likely owner, and may probe
 * its upstream. If more cannot tell, none may: segments would reach upstreams without the flow. */
static void
conclude_query (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const oh_segment_query_t *query)
{
  if (flow->n_undecided == 1)
    send_wanted_segment (balancer, flow, flow->undecided);
  else
    end_query (balancer, flow, query);
}

/* Records that an agent does not have the flow, or cannot tell without a probe of its upstream. */
static void
mark_answered (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const oh_segment_query_t *query,
               unsigned index, bool absent)
{
  const uint64_t bit = (uint64_t)1 << (index % BITS_PER_WORD);
  const oh_address_t agent = g_array_index (query->agents, oh_address_t, index);

  if (index >= OH_SEGMENT_QUERIED_AGENTS_MAX)
    return;
  if ((flow->answered[index / BITS_PER_WORD] & bit) != 0)
    {
      if (absent && flow->n_undecided == 1 && oh_address_equal (flow->undecided, agent))
        {
          flow->n_undecided = 0; /* its upstream has returned the segment */
          flow->n_absent++;
          if (flow->n_absent == query->agents->len)
            end_query (balancer, flow, query);
        }
      return;
    }
  flow->answered[index / BITS_PER_WORD] |= bit;
  if (absent)
    flow->n_absent++;
  else
    {
      flow->n_undecided++;
      flow->undecided = agent;
    }
  if (flow->n_absent + flow->n_undecided == query->agents->len)
    conclude_query (balancer, flow, query);
}

void
oh_segment_search_handle_owned (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, oh_address_t agent)
{
  char owner[OH_ADDRESS_TEXT_BYTES];

  if (flow->owned && oh_address_equal (flow->owner, agent))
    return;
  if (!oh_balancer_flow_has_open_offer (flow))
    {
      oh_counter_increment (&balancer->counters.found);
      oh_balancer_flow_log (balancer, OH_LOG_INFO, "flow_found", &flow->key,
                            "owner=%s question=%u waiting=%u before=%d", oh_address_format (agent, owner),
                            flow->query, flow->pending != NULL ? flow->pending->len : 0, flow->owned);
    }
  flow->owned = true;
  flow->from_peer = false;
  flow->owner = agent;
  flow->query_queued = false;
  flow->pending_lookups = 0;
  oh_list_remove (&flow->lookup_link);
  oh_balancer_flow_deliver_pending (balancer, flow);
  oh_segment_directory_publish (balancer, flow);
}

static bool
is_searched (const oh_balancer_flow_t *flow, uint32_t query)
{
  return flow != NULL && flow->query == query && !flow->owned && !oh_balancer_flow_has_open_offer (flow);
}

void
oh_segment_search_handle_absent (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, uint32_t number,
                                 oh_address_t agent)
{
  const oh_segment_query_t *query = find_query (balancer, number);
  unsigned index;

  if (query != NULL && is_searched (flow, number) && find_agent (query, agent, &index))
    mark_answered (balancer, flow, query, index, true);
}

static bool
bit_is_set (const ProtobufCBinaryData *bits, guint index)
{
  return (bits->data[index / 8] & 1 << index % 8) != 0;
}

void
oh_segment_search_handle_answer (oh_segment_balancer_t *balancer, const Oh__SegmentRelay *relay,
                                 oh_address_t agent)
{
  const oh_segment_query_t *query = find_query (balancer, relay->search);
  unsigned index;
  size_t bytes;

  if (query == NULL || !find_agent (query, agent, &index))
    return;
  bytes = (query->flows->len + 7) / 8;
  if (relay->held.len != bytes || relay->wanted.len != bytes)
    {
      oh_counter_increment (&balancer->counters.dropped_malformed);
      return;
    }
  for (guint i = 0; i < query->flows->len; i++)
    {
      oh_balancer_flow_t *flow
        = g_hash_table_lookup (balancer->flows, &g_array_index (query->flows, oh_flow_key_t, i));

      if (!is_searched (flow, relay->search))
        continue;
      if (bit_is_set (&relay->held, i) && bit_is_set (&relay->wanted, i))
        send_wanted_segment (balancer, flow, agent);
      else if (bit_is_set (&relay->held, i))
        oh_segment_search_handle_owned (balancer, flow, agent);
      else
        mark_answered (balancer, flow, query, index, !bit_is_set (&relay->wanted, i));
    }
}

void
oh_segment_search_resume (oh_segment_balancer_t *balancer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, balancer->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      oh_balancer_flow_t *flow = value;

      if (flow->all_absent_us == 0 || flow->query_queued || !is_searched (flow, flow->query))
        continue;
      flow->all_absent_us = 0;
      queue_for_query (balancer, flow);
    }
}

void
oh_segment_search_tick (oh_segment_balancer_t *balancer)
{
  refill_budget (balancer);
  send_queries (balancer);
}
