#pragma once

#include "core/agent_core.h"

/* Parts of the agent core: packets of flows, requests and the upstream, replies, handover. */

enum
{
  OH_AGENT_OFFER_MS = 2000,
  OH_AGENT_TICK_MS = 20, /* granularity of retransmissions and of deadlines in the queue */
  OH_AGENT_REPORT_MS = 1000,
  OH_AGENT_REPORT_MIN_MS = 100,
  OH_AGENT_IDLE_MS = 60000, /* callers ping every second */
};

typedef struct
{
  uint64_t id;
  oh_entry_t *entry; /* NULL: nobody waits for the result any more */
  Oh__RequestKind kind;
  unsigned class_;
  bool holds_slot;
  int64_t started_us;
  bool answered; /* the answer has begun */
  bool cancel_open;
  bool failed; /* failure waits for the result of the cancellation */
  oh_upstream_failure_t failure;
  oh_list_t link;
} oh_run_t;

/* agent_core.c */
void oh_agent_log (oh_agent_core_t *core, oh_log_level_t level, const char *event, const char *format, ...)
  G_GNUC_PRINTF (4, 5);
void oh_agent_emit (oh_agent_core_t *core, const oh_agent_action_t *action);
uint64_t oh_agent_flow_log_id (const oh_flow_t *flow);

/* agent_reply.c */
void oh_agent_send_relay (oh_agent_core_t *core, oh_address_t balancer, Oh__Relay *relay);
void oh_agent_reply_to (oh_agent_core_t *core, oh_address_t caller, oh_address_t balancer,
                        const oh_flow_id_t *flow, Oh__Packet *packet);
void oh_agent_reply (oh_agent_core_t *core, oh_flow_t *flow, Oh__Packet *packet);
void oh_agent_send_outcome (oh_agent_core_t *core, oh_entry_t *entry);
void oh_agent_send_moved (oh_agent_core_t *core, oh_flow_t *flow, const oh_token_t *token);
oh_token_t oh_agent_make_token (const oh_agent_core_t *core, const oh_flow_id_t *flow, uint32_t generation,
                                uint64_t offer);
void oh_agent_stream_ready (oh_agent_core_t *core, oh_entry_t *entry);
void oh_agent_send_chunks (oh_agent_core_t *core);
void oh_agent_run_timers (oh_agent_core_t *core);

/* agent_flow.c */
void oh_agent_handle_relay (oh_agent_core_t *core, const uint8_t *bytes, size_t length);
void oh_agent_drop_entries (oh_agent_core_t *core, oh_flow_t *flow);
void oh_agent_sweep_flows (oh_agent_core_t *core);
bool oh_agent_flow_runs (const oh_flow_t *flow);

/* agent_request.c */
void oh_agent_handle_request (oh_agent_core_t *core, oh_flow_t *flow, const Oh__Request *request);
void oh_agent_handle_cancel (oh_agent_core_t *core, oh_flow_t *flow, uint32_t number);
void oh_agent_handle_upstream (oh_agent_core_t *core, const oh_upstream_event_t *event);
void oh_agent_drop_entry (oh_agent_core_t *core, oh_entry_t *entry);
void oh_agent_suspend_stream (oh_agent_core_t *core, oh_entry_t *entry);
void oh_agent_resume_stream (oh_agent_core_t *core, oh_entry_t *entry);
void oh_agent_stream_drained (oh_agent_core_t *core, oh_entry_t *entry);
void oh_agent_run_queue (oh_agent_core_t *core);
int64_t oh_agent_oldest_unanswered (const oh_agent_core_t *core);

/* agent_drain.c */
bool oh_agent_is_foreign (const oh_agent_core_t *core);
void oh_agent_update_drain (oh_agent_core_t *core);
void oh_agent_run_drain (oh_agent_core_t *core);
void oh_agent_handle_flow_state (oh_agent_core_t *core, GBytes *peer, const Oh__FlowState *state);
void oh_agent_handle_flow_state_reply (oh_agent_core_t *core, const Oh__FlowStateReply *reply);
