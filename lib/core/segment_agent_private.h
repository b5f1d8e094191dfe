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

/* A request was delivered, unless one is unanswered already. */
void oh_agent_flow_begin_request (oh_segment_agent_t *agent, oh_agent_flow_t *flow);

/* The flow awaits a response no longer, if it did. */
void oh_agent_flow_end_request (oh_segment_agent_t *agent, oh_agent_flow_t *flow, oh_pace_outcome_t outcome);

/* The request counts as lost. It may still be answered. */
void oh_agent_flow_mark_request_lost (oh_segment_agent_t *agent, oh_agent_flow_t *flow);

/* Removes records that were not used for the flow timeout. */
void oh_agent_flow_expire (oh_segment_agent_t *agent);

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
void oh_segment_agent_report_load (oh_segment_agent_t *agent, bool to_all);

/* Sends a load report to one balancer. */
void oh_segment_agent_send_load (oh_segment_agent_t *agent, oh_address_t balancer);

/* Sends a segment to the upstream. */
void oh_segment_agent_deliver (oh_segment_agent_t *agent, const uint8_t *bytes, size_t length);

/* Resets the caller of a flow. The incarnation of the upstream that had the flow is gone, or has lost it: a
 * response will never come. */
void oh_segment_agent_reset_flow (oh_segment_agent_t *agent, oh_agent_flow_t *flow, const char *reason);

/*
 * Ends of flows (segment_agent_ends.c). A flow that has opened is reset only if
 *
 * - its upstream returns a segment of it,
 * - the operating system refuses a datagram, as no process is bound to the upstream's address,
 * - no process accepts TCP connections there any more, after one did, and data that a running upstream has to
 *   acknowledge is not acknowledged either, or
 * - an upstream of another service has announced itself at that address.
 *
 * Silence alone proves nothing: an upstream may be idle, slow or paused. That an upstream announces that it
 * leaves tells of an end which may come seconds later. An announcement of a new start may be a late one, of
 * an incarnation between an earlier one and the present one. So after either the upstream is asked: data of
 * the caller is delivered again.
 */

/* The upstream has returned a segment of an open flow. */
void oh_agent_flow_returned (oh_segment_agent_t *agent, oh_agent_flow_t *flow, uint32_t acknowledged);

/* A new incarnation was announced. */
void oh_segment_agent_handle_replaced (oh_segment_agent_t *agent);

/* A datagram to the upstream was refused: its process has ended. */
void oh_segment_agent_handle_refused (oh_segment_agent_t *agent);

/* No process listens at the upstream's address any more. */
void oh_segment_agent_handle_listener_gone (oh_segment_agent_t *agent);

/* Notes that the upstream runs: it has sent a segment or announced itself. */
void oh_segment_agent_upstream_runs (oh_segment_agent_t *agent);

/* Asks an upstream that leaves, or whose listener is gone, whether it still runs, if it is time to. To be
 * called at each tick. */
void oh_segment_agent_ask_leaving (oh_segment_agent_t *agent);

/* Limit of new flows while the upstream is warming (segment_agent_warmup.c, warmup_limit.h). */

void oh_agent_warmup_init (oh_segment_agent_t *agent);

/* Takes the limit of the upstream's service, when that or the services may have changed. replaced: a new
 * incarnation was announced. */
void oh_agent_warmup_update (oh_segment_agent_t *agent, bool replaced);

/* True if the limit allows a new flow now. */
bool oh_agent_warmup_has_room (const oh_segment_agent_t *agent);

/* The same, and counts a flow that is not allowed. */
bool oh_agent_warmup_admits (oh_segment_agent_t *agent);

/* False if the limit does not allow that the SYN of a flow is delivered again now. The caller repeats it. */
bool oh_agent_warmup_admits_again (oh_segment_agent_t *agent);

/* Sends a SYN to the upstream and counts it. */
void oh_agent_warmup_deliver_syn (oh_segment_agent_t *agent, const uint8_t *bytes, size_t length);

/* Reports no free position while the limit allows no new flow. */
void oh_agent_warmup_fill_load (const oh_segment_agent_t *agent, Oh__Load *load);

/* Admission and pace of the upstream (segment_agent_admission.c). */

/* True if the upstream is said to be warming up. */
bool oh_segment_agent_is_warming (const oh_segment_agent_t *agent);

/* Requests and flows that admission counts. */
oh_admission_work_t oh_segment_agent_work (const oh_segment_agent_t *agent);

/* Decides whether the upstream can have the request of another flow, and notes the decision. To be called
 * once for a flow, after all other checks. */
bool oh_segment_agent_admits (oh_segment_agent_t *agent, uint32_t target_ms, bool yields);

/* New flows whose request has not come in time count as idle from now on (request_wait.h). */
void oh_segment_agent_expire_expected (oh_segment_agent_t *agent);

/* Notes that an offer of the balancer was refused for want of a position. */
void oh_segment_agent_add_waiter (oh_segment_agent_t *agent, const Oh__SegmentRelay *open,
                                  oh_address_t balancer);

/* Reports free positions to balancers that wait for them (position_waiters.h). To be called after each event.
 */
void oh_segment_agent_notify_waiters (oh_segment_agent_t *agent);

/* Notes that a request was delivered. */
void oh_segment_agent_note_request (oh_segment_agent_t *agent);

/* The upstream starts anew: it was replaced, or was silent or ended and runs again. */
void oh_segment_agent_restart_pace (oh_segment_agent_t *agent);

/* Counts requests as lost that are unanswered for long, and logs changes of the limit. To be called at each
 * tick. */
void oh_segment_agent_update_pace (oh_segment_agent_t *agent);

/* Messages from balancers (segment_agent_relay.c). */

/* Handles a datagram from a balancer. */
void oh_segment_agent_handle_relay (oh_segment_agent_t *agent, const uint8_t *bytes, size_t length);
