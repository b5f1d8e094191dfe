#pragma once

#include "core/segment_balancer.h"

/*
 * Finds the owner of a flow by asking every agent that could hold it. Most agents know without the segment
 * whether they do; one that does not know gets the segment and tries its upstream. A flow that every agent
 * disowns is reset, if the view lists all agents.
 */

/* Asks the agents; the segment goes to the owner. */
void oh_segment_search_start (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                              size_t length);

/* An agent cannot answer the question without the segment. flow may be NULL. */
void oh_segment_search_wanted (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, uint32_t question,
                               oh_address_t agent);

/* An agent does not hold the flow; answered is the number of its question. flow may be NULL. */
void oh_segment_search_absent (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, uint32_t answered);

/* The owner is known: sends it the segment and ends the search. */
void oh_segment_search_deliver (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

void oh_segment_search_end (oh_balancer_flow_t *flow);

/* Called with every tick. */
void oh_segment_search_refill (oh_segment_balancer_t *balancer);

/* Every agent is listed now: goes on with the flows that all agents listed earlier have disowned. */
void oh_segment_search_resume (oh_segment_balancer_t *balancer);
