#pragma once

#include "core/segment_balancer.h"

/* The flow records of a segment balancer, and the messages that it sends about them. */

/* Logs an event of the flow; the format gives key=value pairs. */
void oh_balancer_flow_log (const oh_segment_balancer_t *balancer, oh_log_level_t level, const char *event,
                           const oh_flow_key_t *key, const char *format, ...) G_GNUC_PRINTF (5, 6);

/* Frees a record; a GDestroyNotify for the table of flows. */
void oh_balancer_flow_free (gpointer data);

/* Adds an empty record, owned by the table of flows. Evicts the least recently used record if the table is
 * full. */
oh_balancer_flow_t *oh_balancer_flow_add (oh_segment_balancer_t *balancer, const oh_flow_key_t *key);

/* Marks the record as the most recently used one. */
void oh_balancer_flow_touch (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* Removes flows that have been idle for the flow timeout, or closed for OH_SEGMENT_CLOSED_RETENTION_MS. */
void oh_balancer_flow_expire (oh_segment_balancer_t *balancer);

/* True if an agent that was offered the flow has not refused it. */
bool oh_balancer_flow_has_open_offer (const oh_balancer_flow_t *flow);

/* Keeps a copy of a segment until the flow's owner is known. */
void oh_balancer_flow_queue_segment (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow,
                                     const uint8_t *bytes, size_t length);

/* Sends the pending segments to the owner. An agent that got one of them during a search gets it twice, which
 * its upstream handles as a retransmission. */
void oh_balancer_flow_deliver_pending (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* Sends a message with a segment to an agent. service is the one that the agent has to check, 0 for none. */
void oh_segment_send_relay (oh_segment_balancer_t *balancer, oh_address_t agent, Oh__SegmentRelayKind kind,
                            uint64_t service, const uint8_t *bytes, size_t length);

/* Offers a flow to an agent; bytes are its SYN. target_ms is the objective of its route. */
void oh_segment_send_open (oh_segment_balancer_t *balancer, const oh_offer_t *offer, unsigned target_ms,
                           const uint8_t *bytes, size_t length);

/* Sends a segment to an agent that was offered the flow, and has not said that it is open there. */
void oh_segment_send_offered (oh_segment_balancer_t *balancer, oh_address_t agent, const uint8_t *bytes,
                              size_t length);

/* As oh_segment_send_relay; query is the number of the query in a SEARCH, otherwise 0. */
void oh_segment_send_query_relay (oh_segment_balancer_t *balancer, oh_address_t agent,
                                  Oh__SegmentRelayKind kind, uint64_t service, uint32_t query,
                                  const uint8_t *bytes, size_t length);

/* Returns the number of transmissions of a SYN before this one. */
unsigned oh_segment_transmission (const oh_segment_balancer_t *balancer, const uint8_t *syn, size_t length);

/* Sends a reset of the flow to its caller. */
void oh_segment_send_reset (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, uint32_t sequence);

/* False for OH_SEGMENT_OPEN_TIMEOUT_MS after a pause of the process: segments that queued up meanwhile may be
 * outdated, as their flows may have opened through another balancer. Flows must not be reset then. */
bool oh_segment_balancer_caught_up (const oh_segment_balancer_t *balancer);
