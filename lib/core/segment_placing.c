#include "core/segment_placing.h"

#include "core/segment_flows.h"

/*
 * Tries the service that the flow's hash selects, then the other targets of the route: an upstream that has
 * room serves the caller better than the exact share of a service that has none.
 */
static bool
choose_upstream (oh_segment_balancer_t *balancer, const oh_route_t *route, const oh_balancer_flow_t *flow,
                 uint64_t *service, oh_placement_decision_t *decision)
{
  uint64_t tried[OH_SEGMENT_OFFERS_MAX];
  const uint64_t first = oh_route_choose (route, &flow->key);
  oh_placement_decision_t other;

  for (unsigned i = 0; i < flow->n_offers; i++)
    tried[i] = flow->offers[i].incarnation;
  *service = first;
  if (oh_placement_choose (&balancer->placement, first, tried, flow->n_offers, balancer->now_us, decision))
    return true;
  for (guint i = 0; i < route->targets->len; i++)
    {
      const oh_route_target_t *target = &g_array_index (route->targets, oh_route_target_t, i);

      if (target->weight == 0 || target->service == first
          || !oh_placement_choose (&balancer->placement, target->service, tried, flow->n_offers,
                                   balancer->now_us, &other))
        continue;
      *service = target->service;
      *decision = other;
      return true;
    }
  return false;
}

/* True if the flow may find room by the time that the caller sends the next copy of its first segment. */
static bool
may_find_room (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow,
               oh_placement_reason_t reason)
{
  const bool starting = balancer->now_us - balancer->confirmed_us < (int64_t)OH_SEGMENT_LISTING_MS * 1000;

  if (flow->copies >= OH_SEGMENT_COPIES)
    return false;
  return flow->overloaded || (starting && reason == OH_PLACEMENT_NO_UPSTREAM);
}

/* The callers of flows that nobody took are told at once, unless room is likely to be found for the next
 * copy.
 */
static void
refuse_flow (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, oh_placement_reason_t reason)
{
  /* An earlier copy may have opened the flow through another balancer. */
  const bool known_unopened = flow->first_copy && !flow->owned && !oh_balancer_flow_has_open_offer (flow)
                              && balancer->now_us - flow->opened_us < (int64_t)OH_SEGMENT_OPENING_MS * 1000
                              && oh_segment_balancer_is_fresh (balancer);
  const bool hold = may_find_room (balancer, flow, reason);

  oh_balancer_flow_log (balancer, OH_LOG_INFO, "flow_refused", &flow->key,
                        "reason=%s offers=%u copies=%u overloaded=%d result=%s",
                        oh_placement_reason_name (reason), flow->n_offers, flow->copies, flow->overloaded,
                        hold             ? "held"
                        : known_unopened ? "reset"
                                         : "dropped");
  if (hold)
    {
      oh_counter_increment (&balancer->counters.held);
      flow->n_offers = 0;
      return;
    }
  if (!known_unopened)
    return;
  oh_counter_increment (&balancer->counters.resets_refused);
  oh_segment_send_reset (balancer, &flow->key, 0);
}

void
oh_segment_place (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                  size_t length)
{
  const oh_route_t *route = oh_route_table_find (&balancer->routes, flow->key.route);
  oh_placement_decision_t decision;
  uint64_t service;
  oh_offer_t *offer;

  if (route == NULL)
    {
      refuse_flow (balancer, flow, OH_PLACEMENT_UNKNOWN_SERVICE);
      return;
    }
  if (!choose_upstream (balancer, route, flow, &service, &decision))
    {
      if (!oh_balancer_flow_has_open_offer (flow))
        refuse_flow (balancer, flow, decision.reason);
      return;
    }
  offer = &flow->offers[flow->n_offers++];
  *offer = (oh_offer_t){
    .agent = decision.upstream->agent,
    .incarnation = decision.upstream->incarnation,
    .service = service,
    .sent_us = balancer->now_us,
  };
  oh_counter_increment (&balancer->counters.placed);
  if (flow->n_offers > 1)
    oh_counter_increment (&balancer->counters.placed_again);
  oh_placement_sent (&balancer->placement, decision.upstream, oh_flow_key_digest (&flow->key),
                     balancer->now_us);
  oh_balancer_flow_log (
    balancer, OH_LOG_INFO, "flow_placed", &flow->key,
    "service=%s upstream=%s reason=%s candidates=%u load=%.2f offer=%u version=%" G_GUINT64_FORMAT,
    decision.service_name, decision.upstream->name, oh_placement_reason_name (decision.reason),
    decision.candidates, decision.load, flow->n_offers, balancer->routes_version);
  oh_segment_send_relay (balancer, offer->agent, OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN, service, bytes,
                         length);
}

static void
repeat_offer (oh_segment_balancer_t *balancer, const oh_offer_t *offer, const uint8_t *bytes, size_t length)
{
  oh_segment_send_relay (balancer, offer->agent, OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN, offer->service, bytes,
                         length);
}

/* A further copy of a first segment that was placed here. */
static void
repeat_first (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes, size_t length)
{
  const unsigned offers = flow->n_offers;

  flow->copies++;
  if (flow->owned || balancer->now_us - flow->opened_us > (int64_t)OH_SEGMENT_OPENING_MS * 1000)
    {
      oh_counter_increment (&balancer->counters.dropped_late);
      return;
    }
  for (unsigned i = 0; i < flow->n_offers; i++)
    if (flow->offers[i].state == OH_OFFER_ACCEPTED)
      {
        repeat_offer (balancer, &flow->offers[i], bytes, length);
        return;
      }
  if (flow->n_offers < OH_SEGMENT_OFFERS_MAX)
    oh_segment_place (balancer, flow, bytes, length);
  for (unsigned i = 0; i < offers && flow->n_offers == offers; i++)
    if (flow->offers[i].state == OH_OFFER_SENT)
      repeat_offer (balancer, &flow->offers[i], bytes, length);
}

void
oh_segment_place_first (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                        const oh_segment_t *segment, const uint8_t *bytes, size_t length)
{
  oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, key);

  if (flow != NULL && flow->first_seen && flow->first_sequence == segment->sequence)
    {
      oh_balancer_flow_use (balancer, flow);
      repeat_first (balancer, flow, bytes, length);
      return;
    }
  if (!oh_segment_balancer_ready (balancer))
    {
      oh_counter_increment (&balancer->counters.dropped_no_view);
      return;
    }
  if (oh_route_table_find (&balancer->routes, key->route) == NULL)
    {
      oh_counter_increment (&balancer->counters.resets_no_route);
      oh_balancer_flow_log (balancer, OH_LOG_INFO, "flow_refused", key,
                            "reason=no-route version=%" G_GUINT64_FORMAT, balancer->routes_version);
      if (segment->acknowledged == 0 && oh_segment_balancer_is_fresh (balancer))
        oh_segment_send_reset (balancer, key, 0);
      return;
    }
  flow = oh_balancer_flow_add (balancer, key);
  flow->first_seen = true;
  flow->first_sequence = segment->sequence;
  flow->first_copy = segment->acknowledged == 0;
  flow->copies = segment->acknowledged;
  oh_segment_place (balancer, flow, bytes, length);
}
