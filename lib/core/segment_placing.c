#include "core/segment_placing.h"

#include "core/segment_flows.h"
#include "core/segment_held.h"
#include "core/segment_overload.h"

/* Result of the choice of an agent. */
typedef struct
{
  uint64_t service;
  bool yields;
  oh_placement_decision_t decision;
} choice_t;

static bool
choose_at (oh_segment_balancer_t *balancer, const oh_route_t *route, const oh_balancer_flow_t *flow,
           const oh_route_target_t *target, choice_t *choice)
{
  uint64_t tried[OH_SEGMENT_OFFERS_MAX];
  const oh_placement_request_t request = {
    .service = target->service,
    .tried = tried,
    .n_tried = flow->n_offers,
    .yields = target->outranked || oh_segment_is_late (balancer, route, flow),
    .position = oh_segment_least_position (balancer),
  };

  for (unsigned i = 0; i < flow->n_offers; i++)
    tried[i] = flow->offers[i].incarnation;
  choice->service = target->service;
  choice->yields = request.yields;
  return oh_placement_choose_position (&balancer->placement, &request, balancer->now_us, &choice->decision);
}

/*
 * Tries the service that the flow's hash selects, then the other targets of the route: serving the caller is
 * worth more than the exact traffic split while the selected service has no capacity.
 */
static bool
choose_upstream (oh_segment_balancer_t *balancer, const oh_route_t *route, const oh_balancer_flow_t *flow,
                 choice_t *choice)
{
  const oh_route_target_t *primary = oh_route_choose_target (route, &flow->key);
  choice_t other;

  if (choose_at (balancer, route, flow, primary, choice))
    return true;
  for (guint i = 0; i < route->targets->len; i++)
    {
      const oh_route_target_t *target = &g_array_index (route->targets, oh_route_target_t, i);

      if (target->weight == 0 || target->service == primary->service)
        continue;
      if (choose_at (balancer, route, flow, target, &other))
        {
          *choice = other;
          return true;
        }
      if (other.decision.reason == OH_PLACEMENT_NO_POSITION)
        choice->decision.reason = OH_PLACEMENT_NO_POSITION; /* the flow can wait for one there */
    }
  return false;
}

bool
oh_segment_is_managed (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow)
{
  const oh_route_t *route = oh_route_table_find (&balancer->routes, flow->key.route);

  return route != NULL && route->managed;
}

static bool
is_starting (const oh_segment_balancer_t *balancer)
{
  return balancer->now_us - balancer->confirmed_us < (int64_t)OH_SEGMENT_STARTUP_MS * 1000;
}

/* True if upstreams of the service may still be announced. */
static bool
may_be_announced (const oh_segment_balancer_t *balancer, oh_placement_reason_t reason)
{
  return is_starting (balancer)
         && (reason == OH_PLACEMENT_NO_UPSTREAM
             || (reason == OH_PLACEMENT_ALL_DRAINED && !balancer->all_listed));
}

bool
oh_segment_may_wait (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow,
                     oh_placement_reason_t reason)
{
  return reason == OH_PLACEMENT_NO_POSITION
         || (may_be_announced (balancer, reason) && oh_segment_is_managed (balancer, flow));
}

/* True if there may be capacity for the flow while its caller still waits. */
static bool
may_find_capacity (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow,
                   oh_placement_reason_t reason)
{
  if (flow->syn_retransmissions >= OH_SEGMENT_SYN_RETRANSMISSIONS || reason == OH_PLACEMENT_UNKNOWN_SERVICE
      || reason == OH_PLACEMENT_NO_POSITION)
    return false;
  if (reason == OH_PLACEMENT_ALL_DRAINED)
    return may_be_announced (balancer, reason);
  return flow->overloaded || may_be_announced (balancer, reason);
}

/* Transmissions of the SYN that its caller may have sent by now, as a set of bits. */
static unsigned
due_transmissions (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow)
{
  const int64_t age_ms = (balancer->now_us - flow->opened_us) / 1000 + OH_SEGMENT_SYN_DELAY_MS;

  return 1U | (age_ms >= OH_SEGMENT_SYN_RETRANSMISSION_1_MS ? 2U : 0)
         | (age_ms >= OH_SEGMENT_SYN_RETRANSMISSION_2_MS ? 4U : 0);
}

bool
oh_segment_is_unopened (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow)
{
  return (due_transmissions (balancer, flow) & ~flow->syn_transmissions) == 0 && !flow->may_be_open
         && !flow->owned && !oh_balancer_flow_has_open_offer (flow)
         && balancer->now_us - flow->opened_us < (int64_t)OH_SEGMENT_OPEN_TIMEOUT_MS * 1000
         && oh_segment_balancer_caught_up (balancer);
}

void
oh_segment_refuse (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, oh_placement_reason_t reason,
                   const uint8_t *bytes, size_t length)
{
  const bool unopened = oh_segment_is_unopened (balancer, flow);
  const bool waits
    = oh_segment_may_wait (balancer, flow, reason) && oh_segment_wait (balancer, flow, bytes, length);
  const bool defer = !waits && may_find_capacity (balancer, flow, reason);

  oh_balancer_flow_log (balancer, OH_LOG_INFO, "flow_refused", &flow->key,
                        "reason=%s offers=%u copies=%u overloaded=%d age_ms=%" G_GINT64_FORMAT " result=%s",
                        oh_placement_reason_name (reason), flow->n_offers, flow->syn_retransmissions,
                        flow->overloaded, (balancer->now_us - flow->opened_us) / 1000,
                        defer || waits ? "held"
                        : unopened     ? "reset"
                                       : "dropped");
  if (waits)
    return;
  if (defer)
    {
      oh_counter_increment (&balancer->counters.held);
      flow->n_offers = 0;
      oh_segment_hold (balancer, flow, bytes, length);
      return;
    }
  if (!unopened)
    return;
  oh_counter_increment (&balancer->counters.resets_refused);
  oh_segment_send_reset (balancer, &flow->key, 0);
}

static void
send_offer (oh_segment_balancer_t *balancer, const oh_route_t *route, oh_balancer_flow_t *flow,
            const choice_t *choice, const uint8_t *bytes, size_t length)
{
  const oh_placement_decision_t *decision = &choice->decision;
  oh_offer_t *offer = &flow->offers[flow->n_offers++];

  *offer = (oh_offer_t){
    .agent = decision->upstream->agent,
    .incarnation = decision->upstream->incarnation,
    .service = choice->service,
    .sent_us = balancer->now_us,
    .yields = choice->yields,
    .speculative = decision->position == OH_POSITION_POSSIBLE,
    .transmission = oh_segment_transmission (balancer, bytes, length),
  };
  oh_counter_increment (&balancer->counters.placed);
  if (flow->n_offers > 1)
    oh_counter_increment (&balancer->counters.placed_again);
  if (offer->speculative)
    {
      balancer->speculative_budget--;
      oh_counter_increment (&balancer->counters.speculative_offers);
    }
  oh_placement_open_sent (&balancer->placement, decision->upstream, oh_flow_key_digest (&flow->key),
                          balancer->now_us);
  oh_balancer_flow_log (
    balancer, OH_LOG_INFO, "flow_placed", &flow->key,
    "service=%s upstream=%s reason=%s candidates=%u load=%.2f offer=%u version=%" G_GUINT64_FORMAT,
    decision->service_name, decision->upstream->name, oh_placement_reason_name (decision->reason),
    decision->candidates, decision->load, flow->n_offers, balancer->routes_version);
  oh_segment_send_open (balancer, offer, route->target_ms, bytes, length);
}

bool
oh_segment_offer (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                  size_t length, oh_placement_reason_t *reason)
{
  const oh_route_t *route = oh_route_table_find (&balancer->routes, flow->key.route);
  choice_t choice;

  *reason = OH_PLACEMENT_UNKNOWN_SERVICE;
  if (route == NULL)
    return false;
  if (!choose_upstream (balancer, route, flow, &choice))
    {
      *reason = choice.decision.reason;
      return false;
    }
  send_offer (balancer, route, flow, &choice, bytes, length);
  return true;
}

void
oh_segment_place (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                  size_t length)
{
  oh_placement_reason_t reason;

  oh_segment_end_hold (flow);
  if (oh_segment_offer (balancer, flow, bytes, length, &reason))
    return;
  if (!oh_balancer_flow_has_open_offer (flow)
      || oh_route_table_find (&balancer->routes, flow->key.route) == NULL)
    oh_segment_refuse (balancer, flow, reason, bytes, length);
}

/* True if new flows of the route may go to the service. */
static bool
route_leads_to (const oh_segment_balancer_t *balancer, oh_address_t address, uint64_t service)
{
  const oh_route_t *route = oh_route_table_find (&balancer->routes, address);

  for (guint i = 0; route != NULL && i < route->targets->len; i++)
    {
      const oh_route_target_t *target = &g_array_index (route->targets, oh_route_target_t, i);

      if (target->service == service && target->weight > 0)
        return true;
    }
  return false;
}

static void
repeat_offer (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, oh_offer_t *offer,
              const uint8_t *bytes, size_t length)
{
  const oh_route_t *route = oh_route_table_find (&balancer->routes, key->route);

  offer->repeated = true;
  offer->transmission = oh_segment_transmission (balancer, bytes, length);
  oh_segment_send_open (balancer, offer, route != NULL ? route->target_ms : 0, bytes, length);
}

/* A retransmission of a SYN that this balancer has placed: goes to the agent that accepted it, to another
 * agent if none has, or again to those that have not replied, unless the route has changed since. */
static void
handle_retransmitted_syn (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                          size_t length)
{
  const unsigned n_offers = flow->n_offers;

  if (flow->waiting.route != NULL)
    return; /* it is offered in its turn */
  if (flow->owned || balancer->now_us - flow->opened_us > (int64_t)OH_SEGMENT_OPEN_TIMEOUT_MS * 1000)
    {
      oh_counter_increment (&balancer->counters.dropped_late);
      return;
    }
  for (unsigned i = 0; i < flow->n_offers; i++)
    if (flow->offers[i].state == OH_OFFER_ACCEPTED)
      {
        repeat_offer (balancer, &flow->key, &flow->offers[i], bytes, length);
        return;
      }
  if (flow->n_offers < OH_SEGMENT_OFFERS_MAX)
    oh_segment_place (balancer, flow, bytes, length);
  for (unsigned i = 0; i < n_offers && flow->n_offers == n_offers; i++)
    if (flow->offers[i].state == OH_OFFER_SENT
        && route_leads_to (balancer, flow->key.route, flow->offers[i].service))
      repeat_offer (balancer, &flow->key, &flow->offers[i], bytes, length);
}

static void
note_transmission (oh_balancer_flow_t *flow, const oh_segment_t *syn)
{
  const unsigned number = MIN (syn->acknowledged, OH_SEGMENT_SYN_RETRANSMISSIONS);

  flow->syn_transmissions |= 1U << number;
  flow->syn_retransmissions = MAX (flow->syn_retransmissions, number);
}

void
oh_segment_place_syn (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, const oh_segment_t *segment,
                      const uint8_t *bytes, size_t length)
{
  oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, key);

  if (flow != NULL && flow->syn_seen && flow->syn_sequence == segment->sequence)
    {
      oh_balancer_flow_touch (balancer, flow);
      note_transmission (flow, segment);
      handle_retransmitted_syn (balancer, flow, bytes, length);
      return;
    }
  if (!oh_segment_balancer_ready (balancer))
    {
      oh_counter_increment (&balancer->counters.dropped_no_view);
      return;
    }
  /* It may have queued up while the process was paused, and the flow be open elsewhere by now. */
  if (segment->acknowledged > 0 && !oh_segment_balancer_caught_up (balancer))
    {
      oh_counter_increment (&balancer->counters.dropped_late);
      return;
    }
  if (oh_route_table_find (&balancer->routes, key->route) == NULL)
    {
      oh_counter_increment (&balancer->counters.resets_no_route);
      oh_balancer_flow_log (balancer, OH_LOG_INFO, "flow_refused", key,
                            "reason=no-route version=%" G_GUINT64_FORMAT, balancer->routes_version);
      if (segment->acknowledged == 0 && oh_segment_balancer_caught_up (balancer))
        oh_segment_send_reset (balancer, key, 0);
      return;
    }
  flow = oh_balancer_flow_add (balancer, key);
  flow->syn_seen = true;
  flow->syn_sequence = segment->sequence;
  note_transmission (flow, segment);
  oh_segment_set_start (flow, segment);
  if (balancer->waiting.n_flows > 0 && oh_segment_is_managed (balancer, flow)
      && oh_segment_wait (balancer, flow, bytes, length))
    oh_segment_offer_waiting (balancer); /* behind those that are preferred */
  else
    oh_segment_place (balancer, flow, bytes, length);
}
