#pragma once

#include "core/segment_balancer.h"

/*
 * Finds the owner of a flow by asking every agent. One question names several flows while there are many to
 * search, as after the loss of all records. Most agents know without the segment whether they hold a flow;
 * one that does not know gets the segment and tries its upstream. A flow that every agent disowns is reset,
 * if the view lists all agents.
 */

/* The flow is named by one of the next questions; its segments are kept meanwhile. */
void oh_segment_search_start (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* An agent has answered a question. */
void oh_segment_search_answer (oh_segment_balancer_t *balancer, const Oh__SegmentRelay *relay,
                               oh_address_t agent);

/* An agent that got the segment does not hold the flow; number is that of the question. flow may be NULL. */
void oh_segment_search_absent (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, uint32_t number,
                               oh_address_t agent);

/* The agent holds the flow. */
void oh_segment_search_owned (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, oh_address_t agent);

/* Every agent is listed now: goes on with the flows that all agents listed earlier have disowned. */
void oh_segment_search_resume (oh_segment_balancer_t *balancer);

/* Called every OH_SEGMENT_TICK_MS. */
void oh_segment_search_tick (oh_segment_balancer_t *balancer);

/* Frees what the question holds. */
void oh_segment_question_clear (oh_segment_question_t *question);
