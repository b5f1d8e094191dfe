#pragma once

#include "core/caller_core.h"
#include "core/caller_entry.h"

/* Parts of the caller core: the flow with its path in caller_core.c, its requests in caller_request.c. */

enum
{
  OH_CALLER_INTERVAL_MIN_US = 200 * 1000,
  OH_CALLER_INTERVAL_MAX_US = 2000 * 1000,
  OH_CALLER_LATE_CANCEL_US = 1000 * 1000, /* after the deadline the owner is asked to end the request */
  OH_CALLER_LATE_LIMIT_US = 5 * 1000 * 1000,
};

/* caller_core.c */

/* 0.75 to 1.25 of the interval, so that callers that lost the same balancer do not send in step. */
int64_t oh_caller_jittered (const oh_caller_core_t *core, int64_t interval_us);

/* The owner was heard: the path works. */
void oh_caller_note_contact (oh_caller_core_t *core, int64_t now_us);

/* caller_request.c */

/* Reports the end of a request; the entry may be freed. */
void oh_caller_finish_entry (oh_caller_core_t *core, oh_caller_entry_t *entry, Oh__Result result,
                             oh_caller_sink_t *sink);

/* Ends a request whose owner sent no outcome. */
void oh_caller_give_up_entry (oh_caller_core_t *core, oh_caller_entry_t *entry, Oh__Result result_if_not_run,
                              oh_caller_sink_t *sink);

void oh_caller_handle_chunk (oh_caller_core_t *core, const Oh__Chunk *chunk, int64_t now_us,
                             oh_caller_sink_t *sink);

void oh_caller_handle_outcome (oh_caller_core_t *core, const Oh__Outcome *outcome, int64_t now_us,
                               oh_caller_sink_t *sink);

/* True while the path is in doubt and the request must not be sent: what must not run twice would end as
 * unknown if the owner is lost. */
bool oh_caller_must_wait (const oh_caller_core_t *core, const oh_caller_entry_t *entry);

void oh_caller_expire_pending (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink);

void oh_caller_send_pending (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink);

void oh_caller_service_entries (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink);

void oh_caller_handle_request (oh_caller_core_t *core, const oh_caller_request_t *request,
                               oh_caller_sink_t *sink);

void oh_caller_handle_cancel (oh_caller_core_t *core, uint64_t id, int64_t now_us, oh_caller_sink_t *sink);
