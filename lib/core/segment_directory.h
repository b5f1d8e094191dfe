#pragma once

#include "core/segment_balancer.h"

/*
 * Owners of flows, told to the balancers of the availability zone that a rendezvous hash of the flow selects
 * (its holders), and asked there by balancers without a record.
 */

/* Tells the holders the owner of a flow, once. */
void oh_segment_directory_tell (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* Another balancer tells the owner of the flow. */
void oh_segment_directory_record (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                                  const Oh__SegmentRelay *relay);

/* Another balancer asks for the owner of the flow. */
void oh_segment_directory_answer (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                                  const Oh__SegmentRelay *relay);

/* Finds the owner of the flow, at the holders first; the segment goes to it. */
void oh_segment_directory_find (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow,
                                const uint8_t *bytes, size_t length);

/* A holder does not know the owner. flow may be NULL. */
void oh_segment_directory_unknown (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* Sends the segments that wait to the owner, or searches it if no holder knew it. */
void oh_segment_directory_end_lookup (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* Ends lookups that took too long. */
void oh_segment_directory_expire (oh_segment_balancer_t *balancer);

/* Other balancers are the holders now, or have lost their records: the owner of each flow is told again with
 * the flow's next segment, or asked for there. */
void oh_segment_directory_forget (oh_segment_balancer_t *balancer);
