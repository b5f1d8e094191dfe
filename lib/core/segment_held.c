#include "core/segment_held.h"

#include "core/segment_flows.h"
#include "core/segment_placing.h"

void
oh_segment_hold (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                 size_t length)
{
  oh_segment_end_hold (flow);
  if (length > OH_SEGMENT_HELD_SYN_MAX_BYTES)
    return; /* left to the caller's next transmission */
  flow->held_syn = g_bytes_new (bytes, length);
  flow->held_us = balancer->now_us;
  oh_list_append (&balancer->held, &flow->held_link);
}

void
oh_segment_end_hold (oh_balancer_flow_t *flow)
{
  g_clear_pointer (&flow->held_syn, g_bytes_unref);
  oh_list_remove (&flow->held_link);
  oh_held_queue_remove (&flow->waiting);
}

/* True if the caller still waits, and no upstream has, or may have, the flow. */
static bool
may_offer (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow)
{
  const int64_t limit_ms = OH_SEGMENT_OPEN_TIMEOUT_MS - OH_SEGMENT_HELD_MARGIN_MS;

  return !flow->owned && !flow->closed && !flow->may_be_open && !oh_balancer_flow_has_open_offer (flow)
         && balancer->now_us - flow->opened_us < limit_ms * 1000 && oh_segment_balancer_caught_up (balancer);
}

void
oh_segment_offer_held (oh_segment_balancer_t *balancer)
{
  for (unsigned i = 0; i < OH_SEGMENT_HELD_OFFERS_PER_TICK && !oh_list_is_empty (&balancer->held); i++)
    {
      oh_balancer_flow_t *flow = oh_list_entry (balancer->held.next, oh_balancer_flow_t, held_link);
      g_autoptr (GBytes) syn = NULL;
      gsize length;
      const uint8_t *bytes;

      if (flow->held_us == balancer->now_us)
        break; /* refused in this call */
      syn = g_bytes_ref (flow->held_syn);
      bytes = g_bytes_get_data (syn, &length);
      oh_segment_end_hold (flow);
      if (may_offer (balancer, flow))
        oh_segment_place (balancer, flow, bytes, length);
    }
}
