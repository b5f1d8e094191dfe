#pragma once

#include "core/segment_balancer.h"

/*
 * Flows of managed services (placement_view.h) whose agents have no position. They wait in the order of
 * held_queue.h and are offered when a report shows a position, and while any of them waits every
 * OH_SEGMENT_HELD_INTERVAL_MS, as a position may have become free. Offers to agents that are not known to
 * have a free position are speculative. Those that are not accepted are limited in number. Flows whose agents
 * report no limits are held in segment_held.h.
 */

enum
{
  OH_SEGMENT_HELD_OFFERS_MAX = 32, /* in one event */
  /* Speculative offers of a balancer that may be refused in OH_SEGMENT_TICK_MS: several for each upstream of
   * its share. 16 offers
   * are 5 KB on links of 5 Mbit/s, 1% of what such a link carries in a second. */
  OH_SEGMENT_SPECULATIVE_MIN = 16,
  OH_SEGMENT_SPECULATIVE_MAX = 128,
  OH_SEGMENT_SPECULATIVE_PER_UPSTREAM = 4,
  /* Before the caller gives up: the first transmission of the SYN may have taken OH_SEGMENT_SYN_DELAY_MS, and
   * the flow has yet to open. */
  OH_SEGMENT_WAIT_MARGIN_MS = 100,
  OH_SEGMENT_OVERLOAD_END_MS = 1000, /* after the last flow that had to wait */
};

/* Sets when the caller sent the first SYN, by the transmission that arrived first; called once for a flow. */
void oh_segment_set_start (oh_balancer_flow_t *flow, const oh_segment_t *syn);

/* Lets the flow wait. Returns false if it must not be offered again: its caller is about to give up, or an
 * upstream may have it. */
bool oh_segment_wait (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                      size_t length);

/* Offers waiting flows, as far as there are positions, and ends the wait of those whose callers give up. */
void oh_segment_offer_waiting (oh_segment_balancer_t *balancer);

/* Called at each tick. */
void oh_segment_overload_tick (oh_segment_balancer_t *balancer);

/* The least position to which a flow may be offered now. */
oh_position_t oh_segment_least_position (const oh_segment_balancer_t *balancer);

/* True if the flow has waited for longer than the objective of its route. */
bool oh_segment_is_late (const oh_segment_balancer_t *balancer, const oh_route_t *route,
                         const oh_balancer_flow_t *flow);
