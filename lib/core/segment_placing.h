#pragma once

#include "core/segment_balancer.h"

/* Offers new flows to agents, and refuses those that no agent accepts. */

/* Handles a SYN, or a retransmission of one. */
void oh_segment_place_syn (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                           const oh_segment_t *segment, const uint8_t *bytes, size_t length);

/* Offers the flow to an agent; bytes are its SYN. Returns false, with the reason, if there is none. */
bool oh_segment_offer (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                       size_t length, oh_placement_reason_t *reason);

/* Refuses a flow that no agent accepted. It is held if there may be capacity before its caller gives up.
 * Otherwise the caller gets a reset at once if the flow cannot have opened. */
void oh_segment_refuse (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow,
                        oh_placement_reason_t reason, const uint8_t *bytes, size_t length);

/* True if the flow has opened nowhere: each transmission of its SYN came to this balancer, and no upstream
 * that was offered the flow may still answer. */
bool oh_segment_is_unopened (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow);

/* True if a flow that was not offered for the reason waits in segment_overload.h: agents are full, or not yet
 * listed after the start of the balancer. */
bool oh_segment_may_wait (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow,
                          oh_placement_reason_t reason);

/* True if a service of the flow's route is managed, see placement_view.h. */
bool oh_segment_is_managed (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow);

/* Offers the flow to the next agent, or refuses it if there is none; bytes are its SYN. */
void oh_segment_place (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                       size_t length);
