#pragma once

#include "core/segment_balancer.h"

/* Offers new flows to agents, and refuses those that no agent accepts. */

/* Handles a SYN, or a retransmission of one. */
void oh_segment_place_syn (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                           const oh_segment_t *segment, const uint8_t *bytes, size_t length);

/* Offers the flow to the next agent, or refuses it if there is none; bytes are its SYN. */
void oh_segment_place (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                       size_t length);
