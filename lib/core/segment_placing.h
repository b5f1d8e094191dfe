#pragma once

#include "core/segment_balancer.h"

/* Offers new flows to agents, and refuses those that nobody takes. */

/* A copy of the first segment of a flow. */
void oh_segment_place_first (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                             const oh_segment_t *segment, const uint8_t *bytes, size_t length);

/* Offers the flow to the next agent; bytes are its first segment. */
void oh_segment_place (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                       size_t length);
