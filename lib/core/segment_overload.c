#include "core/segment_overload.h"

#include "core/segment_flows.h"
#include "core/segment_held.h"
#include "core/segment_placing.h"

void
oh_segment_set_start (oh_balancer_flow_t *flow, const oh_segment_t *syn)
{
  static const int64_t sent_ms[OH_HELD_TRANSMISSIONS]
    = { 0, OH_SEGMENT_SYN_RETRANSMISSION_1_MS, OH_SEGMENT_SYN_RETRANSMISSION_2_MS };

  flow->waiting.transmission = MIN (syn->acknowledged, OH_HELD_TRANSMISSIONS - 1);
  flow->waiting.started_us = flow->opened_us - sent_ms[flow->waiting.transmission] * 1000;
}

static int64_t
wait_limit_us (void)
{
  return (int64_t)(OH_SEGMENT_OPEN_TIMEOUT_MS - OH_SEGMENT_WAIT_MARGIN_MS) * 1000;
}

static bool
may_offer (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow)
{
  return !flow->owned && !flow->closed && !flow->may_be_open && !oh_balancer_flow_has_open_offer (flow)
         && balancer->now_us - flow->waiting.started_us <= wait_limit_us ()
         && oh_segment_balancer_caught_up (balancer);
}

static void
log_overload (const oh_segment_balancer_t *balancer, bool started)
{
  char pairs[OH_SEGMENT_LOG_BYTES];

  g_snprintf (pairs, sizeof pairs,
              "held=%" G_GUINT64_FORMAT " expired=%" G_GUINT64_FORMAT " duration_ms=%" G_GINT64_FORMAT,
              oh_counter_get (&balancer->counters.held), oh_counter_get (&balancer->counters.resets_expired),
              (balancer->now_us - balancer->overload_us) / 1000);
  if (started)
    balancer->sink->ops->log (balancer->sink, OH_LOG_WARNING, "overload_started", pairs);
  else
    balancer->sink->ops->log (balancer->sink, OH_LOG_WARNING, "overload_ended", pairs);
}

/* Time after a flow's start within which an offer can lead to an answer in time. */
static int64_t
allowance_us (const oh_segment_balancer_t *balancer, const oh_route_t *route, const oh_balancer_flow_t *flow)
{
  const uint64_t service = oh_route_choose (route, &flow->key);

  return route->target_ms == 0
           ? INT64_MAX
           : (int64_t)route->target_ms * 1000 - oh_placement_service_us (&balancer->placement, service);
}

/* Keeps the last transmission, as refusals of earlier ones may still be on their way. */
static void
hold_syn (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes, size_t length)
{
  gsize held_length;

  if (flow->held_syn == NULL)
    oh_counter_increment (&balancer->counters.held);
  else
    {
      const uint8_t *held = g_bytes_get_data (flow->held_syn, &held_length);

      if (held == bytes
          || oh_segment_transmission (balancer, held, held_length)
               >= oh_segment_transmission (balancer, bytes, length))
        return;
      g_bytes_unref (flow->held_syn);
    }
  flow->held_syn = g_bytes_new (bytes, length);
}

bool
oh_segment_wait (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                 size_t length)
{
  const oh_route_t *route = oh_route_table_find (&balancer->routes, flow->key.route);

  if (route == NULL || length > OH_SEGMENT_HELD_SYN_MAX_BYTES || !may_offer (balancer, flow))
    return false;
  hold_syn (balancer, flow, bytes, length);
  if (balancer->overload_us == 0)
    {
      balancer->overload_us = balancer->now_us;
      log_overload (balancer, true);
    }
  balancer->waited_us = balancer->now_us;
  oh_held_queue_remove (&flow->waiting);
  oh_held_queue_add (&balancer->waiting, &flow->waiting, route->address, route->class,
                     allowance_us (balancer, route, flow));
  return true;
}

/* Ends the wait of flows that can no longer open before their callers give up. */
static void
expire (oh_segment_balancer_t *balancer)
{
  const int64_t before_us = balancer->now_us - wait_limit_us ();
  oh_held_flow_t *oldest;

  while ((oldest = oh_held_queue_find_older (&balancer->waiting, before_us)) != NULL)
    {
      oh_balancer_flow_t *flow = oh_list_entry (oldest, oh_balancer_flow_t, waiting);
      const bool unopened = oh_segment_is_unopened (balancer, flow);

      oh_segment_end_hold (flow);
      oh_balancer_flow_log (balancer, OH_LOG_INFO, "flow_expired", &flow->key,
                            "copies=%u waited_ms=%" G_GINT64_FORMAT " result=%s", flow->syn_retransmissions,
                            (balancer->now_us - flow->waiting.started_us) / 1000,
                            unopened ? "reset" : "dropped");
      if (!unopened)
        continue;
      oh_counter_increment (&balancer->counters.resets_expired);
      oh_segment_send_reset (balancer, &flow->key, 0);
    }
}

static void
offer_next (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  g_autoptr (GBytes) syn = g_bytes_ref (flow->held_syn);
  gsize length;
  const uint8_t *bytes = g_bytes_get_data (syn, &length);
  oh_placement_reason_t reason;

  if (!may_offer (balancer, flow))
    oh_segment_end_hold (flow);
  else if (oh_segment_offer (balancer, flow, bytes, length, &reason))
    oh_held_queue_remove (&flow->waiting);
  else if (oh_segment_may_wait (balancer, flow, reason))
    /* The other flows of the route have no position either: they are not preferred to this one. */
    oh_held_queue_block (&balancer->waiting, &flow->waiting);
  else
    {
      oh_segment_end_hold (flow);
      oh_segment_refuse (balancer, flow, reason, bytes, length);
    }
}

void
oh_segment_offer_waiting (oh_segment_balancer_t *balancer)
{
  oh_held_flow_t *next;

  if (balancer->waiting.n_flows == 0)
    return;
  expire (balancer);
  oh_held_queue_start_round (&balancer->waiting);
  for (unsigned i = 0; i < OH_SEGMENT_HELD_OFFERS_MAX
                       && (next = oh_held_queue_next (&balancer->waiting, balancer->now_us)) != NULL;
       i++)
    offer_next (balancer, oh_list_entry (next, oh_balancer_flow_t, waiting));
}

void
oh_segment_overload_tick (oh_segment_balancer_t *balancer)
{
  balancer->speculative_budget
    = CLAMP ((int)oh_placement_upstream_share (&balancer->placement) * OH_SEGMENT_SPECULATIVE_PER_UPSTREAM,
             OH_SEGMENT_SPECULATIVE_MIN, OH_SEGMENT_SPECULATIVE_MAX);
  oh_segment_offer_waiting (balancer);
  oh_counter_set (&balancer->counters.flows_waiting, balancer->waiting.n_flows);
  if (balancer->overload_us == 0 || balancer->waiting.n_flows > 0
      || balancer->now_us - balancer->waited_us < (int64_t)OH_SEGMENT_OVERLOAD_END_MS * 1000)
    return;
  log_overload (balancer, false);
  balancer->overload_us = 0;
}

oh_position_t
oh_segment_least_position (const oh_segment_balancer_t *balancer)
{
  return balancer->speculative_budget > 0 ? OH_POSITION_POSSIBLE : OH_POSITION_FREE;
}

bool
oh_segment_is_late (const oh_segment_balancer_t *balancer, const oh_route_t *route,
                    const oh_balancer_flow_t *flow)
{
  return route->target_ms > 0
         && balancer->now_us - flow->waiting.started_us > (int64_t)route->target_ms * 1000;
}
