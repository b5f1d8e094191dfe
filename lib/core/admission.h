#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/pace.h"

/*
 * Admission of new flows at one upstream: whether a flow may be opened now, and what the load report says
 * about it. Flows whose route has an objective are admitted up to the limit of the upstream's pace, of which
 * a part is reserved for flows that do not yield. Other flows, among them those of balancers of the previous
 * release, are admitted up to a fixed number of requests per slot.
 *
 * No I/O and no clock, as in core/pace.h.
 */

enum
{
  /* Fixed limits: requests per slot, running or expected. */
  OH_ADMISSION_PER_SLOT = 3,
  OH_ADMISSION_PER_SLOT_WARMING = 2,
  /* An objective counts for this long to twice as long after the last flow that had it. */
  OH_ADMISSION_OBJECTIVE_WINDOW_MS = 5000,
};

/* What the agent knows about its upstream. */
typedef struct
{
  unsigned slots;
  bool warming;
  unsigned n_requests; /* without an answer, including lost ones */
  unsigned n_expected; /* new flows that may bring a request */
} oh_admission_work_t;

typedef struct
{
  oh_pace_t pace;
  uint32_t target_ms;         /* objective of the upstream; 0: none */
  int64_t window_us;          /* begin of the current window */
  uint32_t current_target_ms; /* smallest in the current window; 0: none */
  uint32_t former_target_ms;  /* smallest in the window before */
} oh_admission_t;

/* Part of a load report. */
typedef struct
{
  unsigned limit; /* 0: not reported */
  unsigned reserved;
  uint32_t service_us; /* 0: unknown */
  unsigned taken;      /* positions that requests take, of those that have begun */
} oh_admission_report_t;

typedef enum
{
  OH_ADMISSION_ADMITTED,
  OH_ADMISSION_FULL,
  OH_ADMISSION_RESERVED, /* only flows that do not yield are admitted */
} oh_admission_result_t;

void oh_admission_init (oh_admission_t *admission);

/* The upstream has a new incarnation. */
void oh_admission_restart (oh_admission_t *admission, unsigned slots, int64_t now_us);

/* Notes the objective that a balancer named with a flow, before the decision on it; 0: none. */
void oh_admission_note_target (oh_admission_t *admission, uint32_t target_ms, int64_t now_us);

/* Decides on a flow with the objective target_ms. */
oh_admission_result_t oh_admission_decide (const oh_admission_t *admission, const oh_admission_work_t *work,
                                           uint32_t target_ms, bool yields);

/* Notes a decision, so that the limit grows while it is in use. work: after an admission. */
void oh_admission_note_decision (oh_admission_t *admission, const oh_admission_work_t *work,
                                 oh_admission_result_t result, int64_t now_us);

/* While the upstream has no objective, only taken is set. */
oh_admission_report_t oh_admission_report (const oh_admission_t *admission, const oh_admission_work_t *work);
