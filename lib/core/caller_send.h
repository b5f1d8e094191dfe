#pragma once

#include "core/caller_entry.h"

/* Builds the caller's packets and hands them to the sink. */

void oh_caller_send_open (oh_caller_core_t *core, oh_caller_sink_t *sink);
void oh_caller_send_request (oh_caller_core_t *core, const oh_caller_entry_t *entry, int64_t now_us,
                             oh_caller_sink_t *sink);
void oh_caller_send_cancel (oh_caller_core_t *core, uint32_t number, oh_caller_sink_t *sink);

/* next: first chunk not yet received in order. */
void oh_caller_send_ack (oh_caller_core_t *core, uint32_t number, uint32_t attempt, uint64_t next,
                         oh_caller_sink_t *sink);
void oh_caller_send_ping (oh_caller_core_t *core, oh_caller_sink_t *sink);
void oh_caller_send_close (oh_caller_core_t *core, oh_caller_sink_t *sink);
