#pragma once

#include "segment_sim.h"

/*
 * Functions that the source files of the simulation share. Those with the parameters of sim_event_fn_t handle
 * events.
 */

/* number: of the process, attempt, incarnation or request that the event belongs to; bytes: those of the
 * message, if any, valid during the call. */
typedef void (*sim_event_fn_t) (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                                size_t length);

/* Events, the network, addresses and faults (segment_sim.c). */

/* Calls run (sim, index, number, bytes, length) after the delay. */
void sim_schedule_bytes (segment_sim_t *sim, int64_t delay_us, sim_event_fn_t run, unsigned index,
                         unsigned number, const uint8_t *bytes, size_t length);
void sim_schedule (segment_sim_t *sim, int64_t delay_us, sim_event_fn_t run, unsigned index, unsigned number);
double sim_random_share (segment_sim_t *sim);
int64_t sim_random_between (segment_sim_t *sim, int64_t low, int64_t high);
unsigned sim_random_index (segment_sim_t *sim, unsigned n);
/* Sends a message over the network, which may lose it. */
void sim_transmit (segment_sim_t *sim, sim_event_fn_t run, unsigned index, const uint8_t *bytes,
                   size_t length);
oh_address_t sim_balancer_address (unsigned index);
oh_address_t sim_agent_address (unsigned index);
oh_address_t sim_upstream_address (unsigned index);
void sim_restart_agent (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length);

/* Callers, and the rule for open flows (segment_sim_callers.c). */

sim_caller_t *sim_find_caller (segment_sim_t *sim, const oh_flow_key_t *key);
/* A segment of the flow has reached an upstream that does not have it, or the one that has it. */
void sim_note_foreign_segment (segment_sim_t *sim, const oh_flow_key_t *key);
void sim_note_own_segment (segment_sim_t *sim, const oh_flow_key_t *key);
void sim_start_flow (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length);
void sim_receive_at_caller (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                            size_t length);

/* Upstreams (segment_sim_upstreams.c). */

void sim_receive_at_upstream (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                              size_t length);
/* Pauses or crashes a random upstream, or lets it drain and leave. */
void sim_disturb_upstream (segment_sim_t *sim);
/* Starts an incarnation of the upstream; the former one and its flows are gone. */
void sim_start_upstream (sim_node_t *node);

/* Agents (segment_sim_agents.c). */

/* Schedules the event for the end of a pause of its receiver. */
void sim_receive_later (segment_sim_t *sim, int64_t until_us, sim_event_fn_t run, unsigned index,
                        unsigned number, const uint8_t *bytes, size_t length);
void sim_handle_agent_event (sim_node_t *node, oh_segment_agent_event_kind_t kind, uint8_t *bytes,
                             size_t length);
void sim_receive_at_agent (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                           size_t length);
void sim_receive_from_upstream (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                                size_t length);
void sim_receive_refusal (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length);
void sim_start_agent (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length);
void sim_end_agent (sim_node_t *node);

/* Balancers (segment_sim_balancers.c). */

void sim_receive_at_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                              size_t length);
void sim_receive_relay_at_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                                    size_t length);
void sim_start_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length);
void sim_end_balancer (sim_balancer_t *balancer);
