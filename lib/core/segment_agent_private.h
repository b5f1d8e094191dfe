#pragma once

#include "core/segment_agent.h"

/* Functions that the source files of the segment agent share. */

/* Flow records (segment_agent_flows.c). */

/* Logs an event of the flow; the format gives key=value pairs. */
void oh_agent_flow_log (const oh_segment_agent_t *agent, oh_log_level_t level, const char *event,
                        const oh_flow_key_t *key, const char *format, ...) G_GNUC_PRINTF (5, 6);

/* Adds a record, owned by the table of flows; one of the same key is replaced. Evicts the least recently used
 * record if the table is full. */
oh_agent_flow_t *oh_agent_flow_add (oh_segment_agent_t *agent, const oh_flow_key_t *key,
                                    oh_agent_flow_state_t state);

/* Frees a record; a GDestroyNotify for the table of flows. */
void oh_agent_flow_free (gpointer data);
void oh_agent_flow_remove (oh_segment_agent_t *agent, oh_agent_flow_t *flow);

/* Marks the record as the most recently used one. */
void oh_agent_flow_touch (oh_segment_agent_t *agent, oh_agent_flow_t *flow);
void oh_agent_flow_set_state (oh_segment_agent_t *agent, oh_agent_flow_t *flow, oh_agent_flow_state_t state);
void oh_agent_flow_close (oh_segment_agent_t *agent, oh_agent_flow_t *flow);

/* The upstream has answered the SYN, or will not in time. */
void oh_agent_flow_end_opening (oh_segment_agent_t *agent, oh_agent_flow_t *flow);

/* The first request has come, or is not expected any more. */
void oh_agent_flow_end_awaiting_request (oh_segment_agent_t *agent, oh_agent_flow_t *flow);
void oh_agent_flow_set_awaiting_response (oh_segment_agent_t *agent, oh_agent_flow_t *flow, bool awaiting);

/* Removes records that were not used for the flow timeout. */
void oh_agent_flow_expire (oh_segment_agent_t *agent);

/* Assigns flows to the new incarnation that may have opened there before its first announcement. former: the
 * identity before that. Flows that opened before its last announcement are certainly of that incarnation. The
 * upstream returns the segments of those that it does not have; requests without a response are delivered
 * again for that. None is assigned to an upstream of another service. */
void oh_agent_flow_adopt (oh_segment_agent_t *agent, const oh_upstream_identity_t *former);

/* Messages to balancers, callers and the upstream (segment_agent_replies.c). */

/* Why the agent reports a flow as absent. */
typedef enum
{
  OH_ABSENT_NO_RECORD, /* the agent knows of no such flow, or it has not opened here */
  OH_ABSENT_DENIED,    /* the upstream said so, or the incarnation that had the flow is gone */
} oh_absent_reason_t;

/* Reports the state of a flow to a balancer. bytes is the segment to return, if any. */
void oh_segment_agent_answer (oh_segment_agent_t *agent, oh_address_t balancer, Oh__SegmentRelayKind kind,
                              Oh__Result refused, const oh_flow_key_t *key, const uint8_t *bytes,
                              size_t length);

/* Reports that the upstream does not have the flow. query is the number of the query that this answers, 0 for
 * none. The segment is not returned if it belongs to a query, as its balancer has kept it. */
void oh_segment_agent_answer_absent (oh_segment_agent_t *agent, const oh_flow_key_t *key,
                                     oh_address_t balancer, uint32_t query, oh_absent_reason_t reason,
                                     const uint8_t *bytes, size_t length);
void oh_segment_agent_refuse_syn (oh_segment_agent_t *agent, oh_address_t balancer, const oh_flow_key_t *key,
                                  Oh__Result result, const uint8_t *bytes, size_t length);
void oh_segment_agent_report_load (oh_segment_agent_t *agent);

/* Sends a segment to the upstream. */
void oh_segment_agent_deliver (oh_segment_agent_t *agent, const uint8_t *bytes, size_t length);

/* Resets the caller of a flow. The incarnation of the upstream that had the flow is gone, or has lost it: a
 * response will never come. */
void oh_segment_agent_reset_flow (oh_segment_agent_t *agent, oh_agent_flow_t *flow, const char *reason);

/* Resets the flows whose upstream is gone. A caller that only waits for a response sends no segment that a
 * reset could answer, so the agent does not wait for one. */
void oh_segment_agent_reset_orphaned_flows (oh_segment_agent_t *agent, const char *reason);

/* True once the upstream has announced that it leaves, and was silent since. */
bool oh_segment_agent_has_left (const oh_segment_agent_t *agent);

/* Messages from balancers (segment_agent_relay.c). */

/* Handles a datagram from a balancer. */
void oh_segment_agent_handle_relay (oh_segment_agent_t *agent, const uint8_t *bytes, size_t length);
