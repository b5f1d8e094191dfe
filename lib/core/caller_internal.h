#pragma once

#include "core/caller_core.h"
#include "core/caller_entry.h"

/*
 * Functions shared between the two parts of the caller core: caller_core.c has the flow and its path,
 * caller_request.c the requests of the flow.
 */

enum
{
  OH_CALLER_BACKOFF_MIN_US = 200 * 1000,
  OH_CALLER_BACKOFF_MAX_US = 2000 * 1000,
  /* Both count from the deadline of a request without an outcome: the owner is asked to end the request,
   * later the caller stops waiting. */
  OH_CALLER_CANCEL_AFTER_DEADLINE_US = 1000 * 1000,
  OH_CALLER_GIVE_UP_AFTER_DEADLINE_US = 5 * 1000 * 1000,
};

/* caller_core.c */

/* 0.75 to 1.25 times the interval, so that callers that lost the same balancer do not retransmit in step. */
int64_t oh_caller_jittered (const oh_caller_core_t *core, int64_t interval_us);

/* Records that the owner answered, which shows that the path works in both directions. */
void oh_caller_mark_path_alive (oh_caller_core_t *core, int64_t now_us);

/* caller_request.c */

/* Reports the end of a request. May free the entry. */
void oh_caller_finish_entry (oh_caller_core_t *core, oh_caller_entry_t *entry, Oh__Result result,
                             oh_caller_sink_t *sink);

/* Ends a request whose owner sent no outcome: as unknown if it may have run, else with result_if_not_run. May
 * free the entry. */
void oh_caller_give_up_entry (oh_caller_core_t *core, oh_caller_entry_t *entry, Oh__Result result_if_not_run,
                              oh_caller_sink_t *sink);

void oh_caller_handle_chunk (oh_caller_core_t *core, const Oh__Chunk *chunk, int64_t now_us,
                             oh_caller_sink_t *sink);

void oh_caller_handle_outcome (oh_caller_core_t *core, const Oh__Outcome *outcome, int64_t now_us,
                               oh_caller_sink_t *sink);

/* True while the path is suspect and the request must not run twice. Sent now, it would end as unknown if the
 * owner turns out to be lost. */
bool oh_caller_must_wait (const oh_caller_core_t *core, const oh_caller_entry_t *entry);

/* Ends pending requests whose deadline has passed. */
void oh_caller_expire_pending (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink);

/* Numbers and sends pending requests as far as the window has room. */
void oh_caller_send_pending (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink);

/* Sends what is due for numbered requests: acknowledgements, retransmissions and cancellations. */
void oh_caller_run_entry_timers (oh_caller_core_t *core, int64_t now_us, oh_caller_sink_t *sink);

void oh_caller_handle_request (oh_caller_core_t *core, const oh_caller_request_t *request,
                               oh_caller_sink_t *sink);

void oh_caller_handle_cancel (oh_caller_core_t *core, uint64_t id, int64_t now_us, oh_caller_sink_t *sink);
