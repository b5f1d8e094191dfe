#pragma once

#include "core/agent_core.h"

/* Functions that the source files of the agent core share. */

enum
{
  OH_AGENT_OFFER_MS = 2000,     /* lifetime of a token that no packet has used */
  OH_AGENT_TICK_MS = 20,        /* granularity of retransmissions and of deadlines in the queue */
  OH_AGENT_REPORT_MS = 1000,    /* interval of load reports while the load does not change */
  OH_AGENT_REPORT_MIN_MS = 100, /* lower bound of the interval while it changes */
  OH_AGENT_IDLE_MS = 60000,     /* idle time after which a flow is closed; callers ping every second */
};

/* A request that has been sent to the upstream. */
typedef struct
{
  uint64_t id;
  oh_flow_entry_t *entry; /* NULL: the result is discarded */
  Oh__RequestKind kind;
  unsigned priority_class;
  bool holds_slot;
  int64_t started_us;
  bool answer_started;
  bool cancel_pending; /* sent to the upstream, result not yet received */
  bool failed;         /* with a cancellation pending, whose result decides how the failure is reported */
  oh_upstream_failure_t failure;
  oh_list_t link;
} oh_run_t;

/* agent_core.c */
/* Emits a log line of at most 399 bytes of key=value pairs. */
void oh_agent_log (oh_agent_core_t *core, oh_log_level_t level, const char *event, const char *format, ...)
  G_GNUC_PRINTF (4, 5);
void oh_agent_emit (oh_agent_core_t *core, const oh_agent_action_t *action);

/* First 8 bytes of the flow id, by which log lines name the flow. */
uint64_t oh_agent_flow_log_id (const oh_flow_t *flow);

/* agent_reply.c */

/* Adds the current load to the relay message and sends it to the balancer. */
void oh_agent_send_relay (oh_agent_core_t *core, oh_address_t balancer, Oh__Relay *relay);

/* Sends a packet of the flow to the caller through the balancer; sets the packet's flow and service. */
void oh_agent_reply_to (oh_agent_core_t *core, oh_address_t caller, oh_address_t balancer,
                        const oh_flow_id_t *flow, Oh__Packet *packet);

/* Like oh_agent_reply_to, to the flow's caller through the balancer that next_balancer selects. Does nothing
 * if the flow has no balancer. */
void oh_agent_reply (oh_agent_core_t *core, oh_flow_t *flow, Oh__Packet *packet);

/* Sends the entry's result and schedules its next retransmission while any are left. */
void oh_agent_send_outcome (oh_agent_core_t *core, oh_flow_entry_t *entry);

/* Tells the caller that token is now the one of the flow's owner. */
void oh_agent_send_moved (oh_agent_core_t *core, oh_flow_t *flow, const oh_token_t *token);

/* Signed token that names this agent as the flow's owner. */
oh_token_t oh_agent_make_token (const oh_agent_core_t *core, const oh_flow_id_t *flow, uint32_t generation,
                                uint64_t offer_id);

/* Queues the entry for sending if it has chunks that may be sent. */
void oh_agent_schedule_stream (oh_agent_core_t *core, oh_flow_entry_t *entry);

/* Sends chunks of the scheduled entries by deficit round robin, up to the limit for one event. */
void oh_agent_send_chunks (oh_agent_core_t *core);

/* Retransmits chunks and outcomes and restarts upstream connections that are due. */
void oh_agent_run_timers (oh_agent_core_t *core);

/* agent_flow.c */
void oh_agent_handle_relay (oh_agent_core_t *core, const uint8_t *bytes, size_t length);

/* Calls oh_agent_drop_entry for each entry of the flow. */
void oh_agent_drop_entries (oh_agent_core_t *core, oh_flow_t *flow);

/* Closes idle flows, clears expired offers, and removes expired records of closed flows. */
void oh_agent_sweep_flows (oh_agent_core_t *core);

/* True if a unary request of the flow is at the upstream; feeds and transfers are not counted. */
bool oh_agent_has_running_request (const oh_flow_t *flow);

/* agent_request.c */
void oh_agent_handle_request (oh_agent_core_t *core, oh_flow_t *flow, const Oh__Request *request);
void oh_agent_handle_cancel (oh_agent_core_t *core, oh_flow_t *flow, uint32_t number);
void oh_agent_handle_upstream (oh_agent_core_t *core, const oh_upstream_event_t *event);

/* Frees the entry. A unary request at the upstream runs on, and its result is discarded; a feed or transfer
 * is abandoned. */
void oh_agent_drop_entry (oh_agent_core_t *core, oh_flow_entry_t *entry);

/* Ends the upstream connection of a feed or transfer, which oh_agent_resume_stream can open again. */
void oh_agent_suspend_stream (oh_agent_core_t *core, oh_flow_entry_t *entry);

/* Starts a suspended feed or queues a suspended transfer. Does nothing unless this agent owns the flow. */
void oh_agent_resume_stream (oh_agent_core_t *core, oh_flow_entry_t *entry);

/* Resumes reading from the upstream when a full send buffer has drained to half. */
void oh_agent_unpause_stream (oh_agent_core_t *core, oh_flow_entry_t *entry);

/* Refuses queued requests whose deadline has passed, or all if the upstream belongs to another service, and
 * starts others in free slots. */
void oh_agent_run_queue (oh_agent_core_t *core);

/* Start time of the oldest request in a slot whose answer has not begun; 0 if there is none. */
int64_t oh_agent_oldest_unanswered_us (const oh_agent_core_t *core);

/* agent_drain.c */

/* True if the upstream has answered and belongs to another service than the configured one. */
bool oh_agent_has_wrong_service (const oh_agent_core_t *core);

/* Starts or ends draining when a planned stop, the upstream or an operator asks for it. A drain of the
 * availability zone only keeps new flows away. */
void oh_agent_update_drain (oh_agent_core_t *core);

/* Advances the handover of flows, and exits when a planned stop is complete. */
void oh_agent_run_drain (oh_agent_core_t *core);
void oh_agent_handle_flow_state (oh_agent_core_t *core, GBytes *peer, const Oh__FlowState *state);
void oh_agent_handle_flow_state_reply (oh_agent_core_t *core, const Oh__FlowStateReply *reply);
