#pragma once

#include "core/segment_balancer.h"

/* The flow records of a segment balancer, and the messages that it sends about them. */

/* Logs an event of the flow; the format gives key=value pairs. */
void oh_balancer_flow_log (const oh_segment_balancer_t *balancer, oh_log_level_t level, const char *event,
                           const oh_flow_key_t *key, const char *format, ...) G_GNUC_PRINTF (5, 6);

/* For the table of flows. */
void oh_balancer_flow_free (gpointer data);

/* Adds an empty record. Forgets the least recently used one if there are too many. */
oh_balancer_flow_t *oh_balancer_flow_add (oh_segment_balancer_t *balancer, const oh_flow_key_t *key);

void oh_balancer_flow_use (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* Forgets flows that have not been used for the flow timeout, or that ended a while ago. */
void oh_balancer_flow_expire (oh_segment_balancer_t *balancer);

/* True if an agent that was offered the flow has not refused it. */
bool oh_balancer_flow_has_open_offer (const oh_balancer_flow_t *flow);

/* The agent that holds the flow, as far as this balancer knows. Returns false if it does not. */
bool oh_balancer_flow_owner (const oh_balancer_flow_t *flow, oh_address_t *owner);

/* Keeps a segment until the flow's owner is known. */
void oh_balancer_flow_keep (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                            size_t length);

/* Sends what was kept to the owner; an agent that got one of them during a search gets it twice, which its
 * upstream takes as a retransmission. */
void oh_balancer_flow_deliver_waiting (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow);

/* service: 0 unless the agent is to check it. */
void oh_segment_send_relay (oh_segment_balancer_t *balancer, oh_address_t agent, Oh__SegmentRelayKind kind,
                            uint64_t service, const uint8_t *bytes, size_t length);

/* The same with the number of a question in a SEARCH, otherwise 0. */
void oh_segment_send_question (oh_segment_balancer_t *balancer, oh_address_t agent, Oh__SegmentRelayKind kind,
                               uint64_t service, uint32_t search, const uint8_t *bytes, size_t length);

/* Resets the flow at its caller. */
void oh_segment_send_reset (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, uint32_t sequence);

/* False for a while after a pause: what waited meanwhile may describe a flow that has opened elsewhere. */
bool oh_segment_balancer_is_fresh (const oh_segment_balancer_t *balancer);
