#pragma once

#include "core/segment_balancer.h"

/*
 * Directory of the owners of flows. A rendezvous hash of each flow selects the balancers of the availability
 * zone that store its owner (its directory nodes); balancers without a record of the flow look it up there.
 */

/* Sends the owner of a flow to its directory nodes, unless that was done before or the owner is not known. */
void oh_segment_directory_publish (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* Handles a RECORD of another balancer, which names the owner of the flow. */
void oh_segment_directory_handle_record (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                                         const Oh__SegmentRelay *relay);

/* Handles a LOOKUP of another balancer, which asks for the owner of the flow. */
void oh_segment_directory_handle_lookup (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                                         const Oh__SegmentRelay *relay);

/* Queues the segment and finds the owner of the flow by a lookup at its directory nodes, then at those of the
 * other availability zones, then by a search. */
void oh_segment_directory_find_owner (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow,
                                      const uint8_t *bytes, size_t length);

/* Handles an UNKNOWN of a directory node, which does not know the owner. flow may be NULL. */
void oh_segment_directory_handle_unknown (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* Sends the pending segments to the owner. If no directory node knew it, asks those of the other availability
 * zones, or starts a search. */
void oh_segment_directory_end_lookup (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* Ends lookups that have timed out. */
void oh_segment_directory_expire_lookups (oh_segment_balancer_t *balancer);

/* Called when directory nodes of other availability zones have changed: the next segment of each flow without
 * a known owner looks it up again. */
void oh_segment_directory_forget_lookups (oh_segment_balancer_t *balancer);

/* Called when the set of directory nodes has changed, or they have lost their records: each flow's next
 * segment publishes its owner again, or looks it up again. */
void oh_segment_directory_invalidate (oh_segment_balancer_t *balancer);
