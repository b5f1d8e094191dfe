#pragma once

#include "core/segment_balancer.h"

/*
 * Finds the owner of a flow by querying every agent. One query names several flows while there are many to
 * search, as after the loss of all records. Most agents can tell from their records whether they own a flow;
 * one that cannot gets a segment of the flow and probes its upstream with it, if it is the only one. A flow
 * that every agent reports as absent is not reset, as the view may lack its owner; one of its next segments
 * starts another search.
 */

/* Queues the flow for one of the next queries, unless it was searched a moment ago. Its segments stay pending
 * meanwhile; they are dropped if its route is gone. */
void oh_segment_search_start (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* Handles an ANSWER of an agent to a query. */
void oh_segment_search_handle_answer (oh_segment_balancer_t *balancer, const Oh__SegmentRelay *relay,
                                      oh_address_t agent);

/* Handles an ABSENT of an agent that got a SEARCH: it does not own the flow. number is that of the query.
 * flow may be NULL. */
void oh_segment_search_handle_absent (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow,
                                      uint32_t number, oh_address_t agent);

/* Records the agent as the owner of the flow and sends it the pending segments. */
void oh_segment_search_handle_owned (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow,
                                     oh_address_t agent);

/* Called when the view has come to list every agent: searches the flows again that all agents of their query
 * have reported absent. */
void oh_segment_search_resume (oh_segment_balancer_t *balancer);

/* Refills the search budget and sends queued queries. Called every OH_SEGMENT_TICK_MS. */
void oh_segment_search_tick (oh_segment_balancer_t *balancer);

/* Frees the arrays of a query and marks the entry as unused. */
void oh_segment_query_clear (oh_segment_query_t *query);
