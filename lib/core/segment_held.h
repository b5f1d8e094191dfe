#pragma once

#include "core/segment_balancer.h"

/*
 * Flows that no agent had room for. This answers a wave of new flows, as after a restart of many machines or
 * when many callers begin at once: agents refuse for some tens of milliseconds what they accept afterwards,
 * while a caller sends its SYN again only after 200 and 600 ms. The balancer keeps the SYN and offers the
 * flow again at its ticks, the longest-waiting flows first. Flows of managed services whose agents report
 * limits wait in segment_overload.h.
 */

enum
{
  OH_SEGMENT_HELD_OFFERS_PER_TICK = 16, /* so that a full service is not loaded further by offers */
  OH_SEGMENT_HELD_SYN_MAX_BYTES = 128,
  /* Before the caller gives up: an upstream that accepts a flow later answers a caller that has gone. */
  OH_SEGMENT_HELD_MARGIN_MS = 300,
};

/* Keeps the flow's SYN, of at most OH_SEGMENT_HELD_SYN_MAX_BYTES. */
void oh_segment_hold (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                      size_t length);

/* The flow is being offered: it is not held any more. */
void oh_segment_end_hold (oh_balancer_flow_t *flow);

/* Offers held flows again; called at each tick. */
void oh_segment_offer_held (oh_segment_balancer_t *balancer);
