#pragma once

#include "core/caller_entry.h"

/* Encodes the caller's packets and emits each as an OH_CALLER_ACTION_SEND. */

/* Opens and reopens: asks for a token of core->generation. */
void oh_caller_send_open (oh_caller_core_t *core, oh_caller_sink_t *sink);

/* Sends the entry's current number and attempt; asks for the answer from the first chunk not yet accepted. */
void oh_caller_send_request (oh_caller_core_t *core, const oh_caller_entry_t *entry, int64_t now_us,
                             oh_caller_sink_t *sink);
void oh_caller_send_cancel (oh_caller_core_t *core, uint32_t number, oh_caller_sink_t *sink);

/* next: sequence of the first chunk not yet received in order. */
void oh_caller_send_ack (oh_caller_core_t *core, uint32_t number, uint32_t attempt, uint64_t next,
                         oh_caller_sink_t *sink);

/* Increments core->ping_sequence. */
void oh_caller_send_ping (oh_caller_core_t *core, oh_caller_sink_t *sink);
void oh_caller_send_close (oh_caller_core_t *core, oh_caller_sink_t *sink);
