#include "core/segment_search.h"

#include <string.h>

#include "core/segment_flows.h"

/* Most agents know without the segment whether they hold its flow; the others ask for it. */
static void
ask (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const oh_upstream_t *upstream)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  Oh__Address addresses[3];
  size_t size;

  oh_address_to_wire (balancer->relay, &addresses[0]);
  oh_address_to_wire (flow->key.caller, &addresses[1]);
  oh_address_to_wire (flow->key.route, &addresses[2]);
  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_ASK;
  relay.search = (uint32_t)flow->question << 16 | (flow->asked->len & 0xffff);
  relay.balancer = &addresses[0];
  relay.caller = &addresses[1];
  relay.route = &addresses[2];
  g_array_append_val (flow->asked, upstream->agent);
  balancer->search_budget--;
  oh_counter_increment (&balancer->counters.search_messages);
  size = oh_segment_relay_encode (&relay, &balancer->keyring, balancer->out, sizeof balancer->out);
  if (size > 0)
    balancer->sink->ops->send_agent (balancer->sink, upstream->agent, balancer->out, size);
}

static bool
leads_to (const oh_route_t *route, uint64_t service)
{
  for (guint i = 0; i < route->targets->len; i++)
    if (g_array_index (route->targets, oh_route_target_t, i).service == service)
      return true;
  return false;
}

/* An agent whose upstream has not announced itself since the agent started may hold flows of any service. */
static bool
may_hold (const oh_route_t *route, const oh_upstream_t *upstream)
{
  return leads_to (route, upstream->service) || upstream->service == oh_service_id ("");
}

static bool
may_search (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  if (balancer->now_us - flow->search_period_us >= (int64_t)OH_SEGMENT_SEARCH_PERIOD_MS * 1000)
    {
      flow->search_period_us = balancer->now_us;
      flow->searches = 0;
    }
  if (flow->searches++ >= OH_SEGMENT_SEARCHES_MAX)
    return false;
  /* Found nowhere a moment ago; the flow would be found nowhere again. */
  if (flow->absent_us != 0 && balancer->now_us - flow->absent_us < (int64_t)OH_SEGMENT_SEARCH_AGAIN_MS * 1000)
    return false;
  return balancer->search_budget > 0;
}

/* What searches may send, so that they leave most of a thin link to the flows that have an owner. */
void
oh_segment_search_refill (oh_segment_balancer_t *balancer)
{
  const int refill = OH_SEGMENT_SEARCH_MESSAGES_PER_S * OH_SEGMENT_TICK_MS / 1000;

  balancer->search_budget = MIN (balancer->search_budget + refill, OH_SEGMENT_SEARCH_MESSAGES_PER_S);
}

static bool
was_asked (const oh_balancer_flow_t *flow, oh_address_t agent)
{
  for (guint i = 0; i < flow->asked->len; i++)
    if (oh_address_equal (g_array_index (flow->asked, oh_address_t, i), agent))
      return true;
  return false;
}

/* Returns true if there were agents that have not been asked yet. */
static bool
search_others (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  const guint asked = flow->asked->len;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, balancer->placement.upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!was_asked (flow, ((const oh_upstream_t *)value)->agent))
      ask (balancer, flow, value);
  return flow->asked->len > asked;
}

/*
 * Sends the segment to every agent of the route's services. An earlier configuration may have led the flow to
 * another service; the agents of those are asked when these have answered.
 */
void
oh_segment_search_start (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                         size_t length)
{
  const oh_route_t *route = oh_route_table_find (&balancer->routes, flow->key.route);
  GHashTableIter iter;
  gpointer value;

  if (route == NULL)
    {
      oh_counter_increment (&balancer->counters.dropped_no_route);
      return;
    }
  if (!may_search (balancer, flow))
    {
      oh_counter_increment (&balancer->counters.dropped_searches);
      return;
    }
  oh_counter_increment (&balancer->counters.searched);
  oh_segment_search_end (flow);
  flow->question++;
  flow->question += flow->question == 0; /* 0 names no question */
  flow->n_absent = 0;
  memset (flow->absent, 0, sizeof flow->absent);
  flow->asked = g_array_new (FALSE, FALSE, sizeof (oh_address_t));
  flow->searched = g_bytes_new (bytes, length);
  g_hash_table_iter_init (&iter, balancer->placement.upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (may_hold (route, value))
      ask (balancer, flow, value);
  if (flow->asked->len == 0)
    search_others (balancer, flow);
  oh_balancer_flow_log (balancer, OH_LOG_DEBUG, "flow_searched", &flow->key, "question=%u asked=%u",
                        flow->question, flow->asked->len);
}

/* Every agent that could own the flow has said that it does not. */
static void
end_absent_flow (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  const bool certain
    = balancer->listed && flow->asked->len <= OH_SEGMENT_ASKED_MAX && oh_segment_balancer_is_fresh (balancer);

  oh_balancer_flow_log (balancer, OH_LOG_INFO, "flow_absent", &flow->key, "asked=%u listed=%d result=%s",
                        flow->asked->len, balancer->listed, certain ? "reset" : "dropped");
  flow->absent_us = certain ? 0 : balancer->now_us;
  if (!certain)
    return;
  oh_counter_increment (&balancer->counters.resets_absent);
  oh_segment_send_reset (balancer, &flow->key, flow->last_acknowledged);
}

/* An agent that cannot tell without the segment gets it. */
void
oh_segment_search_wanted (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, uint32_t question,
                          oh_address_t agent)
{
  gsize length;
  const uint8_t *bytes;

  if (flow == NULL || flow->searched == NULL || question >> 16 != flow->question)
    return;
  bytes = g_bytes_get_data (flow->searched, &length);
  oh_segment_send_question (balancer, agent, OH__SEGMENT_RELAY_KIND__SEGMENT_SEARCH, 0, question, bytes,
                            length);
}

void
oh_segment_search_absent (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, uint32_t answered)
{
  const unsigned index = answered & 0xffff;
  const uint64_t bit = (uint64_t)1 << (index % 64);

  if (flow == NULL || flow->asked == NULL || flow->owned || oh_balancer_flow_has_open_offer (flow)
      || answered >> 16 != flow->question || index >= flow->asked->len || index >= OH_SEGMENT_ASKED_MAX
      || (flow->absent[index / 64] & bit) != 0)
    return;
  flow->absent[index / 64] |= bit;
  flow->n_absent++;
  if (flow->n_absent == flow->asked->len && !search_others (balancer, flow))
    end_absent_flow (balancer, flow);
}

/* The segment whose owner was searched goes to it; an agent that wanted it gets it twice, which its upstream
 * takes as a retransmission. */
void
oh_segment_search_deliver (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  gsize length;
  const uint8_t *bytes;

  if (flow->searched != NULL)
    {
      bytes = g_bytes_get_data (flow->searched, &length);
      oh_segment_send_relay (balancer, flow->owner, OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER, 0, bytes,
                             length);
    }
  oh_segment_search_end (flow);
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

      if (flow->absent_us == 0 || flow->asked == NULL || flow->owned
          || oh_balancer_flow_has_open_offer (flow))
        continue;
      flow->absent_us = 0;
      if (!search_others (balancer, flow))
        end_absent_flow (balancer, flow);
    }
}
