#include "core/admission.h"

#include <glib.h>

/* The smaller one of two objectives, of which 0 is none. */
static uint32_t
smaller_target (uint32_t a, uint32_t b)
{
  if (a == 0 || b == 0)
    return MAX (a, b);
  return MIN (a, b);
}

/* Positions that yielding flows do not get. One per slot is left to them. */
static unsigned
reserved_positions (unsigned limit, unsigned slots)
{
  return limit > slots ? MIN (slots, limit - slots) : 0;
}

static unsigned
fixed_limit (const oh_admission_work_t *work)
{
  return work->slots * (work->warming ? OH_ADMISSION_PER_SLOT_WARMING : OH_ADMISSION_PER_SLOT);
}

void
oh_admission_init (oh_admission_t *admission)
{
  *admission = (oh_admission_t){ .window_us = INT64_MIN / 2 };
  oh_pace_init (&admission->pace);
}

void
oh_admission_restart (oh_admission_t *admission, unsigned slots, int64_t now_us)
{
  oh_pace_restart (&admission->pace, slots, now_us);
}

void
oh_admission_note_target (oh_admission_t *admission, uint32_t target_ms, int64_t now_us)
{
  const int64_t window_us = (int64_t)OH_ADMISSION_OBJECTIVE_WINDOW_MS * 1000;
  const int64_t age_us = now_us - admission->window_us;

  if (age_us >= window_us)
    {
      admission->former_target_ms = age_us < 2 * window_us ? admission->current_target_ms : 0;
      admission->current_target_ms = 0;
      admission->window_us = now_us;
    }
  admission->current_target_ms = smaller_target (admission->current_target_ms, target_ms);
  admission->target_ms = smaller_target (admission->current_target_ms, admission->former_target_ms);
  oh_pace_set_target (&admission->pace, (int64_t)admission->target_ms * 1000);
}

/* Lost requests and unanswered SYNs take all positions but one until the upstream answers. That one is for
 * any flow: if it were reserved and only yielding flows came, nothing would show that the upstream answers
 * again.
 */
static unsigned
current_reserve (const oh_admission_t *admission, const oh_admission_work_t *work, unsigned limit)
{
  const unsigned reserved = reserved_positions (limit, work->slots);
  const unsigned silent = admission->pace.n_lost + admission->pace.n_unanswered_syns;

  return silent >= limit - reserved ? 0 : reserved;
}

oh_admission_result_t
oh_admission_decide (const oh_admission_t *admission, const oh_admission_work_t *work, uint32_t target_ms,
                     bool yields)
{
  unsigned limit;
  unsigned taken;

  if (target_ms == 0)
    return work->n_requests + work->n_expected < fixed_limit (work) ? OH_ADMISSION_ADMITTED
                                                                    : OH_ADMISSION_FULL;
  limit = oh_pace_limit (&admission->pace, work->warming);
  taken = oh_pace_taken (&admission->pace, work->warming) + work->n_expected;
  if (taken >= limit)
    return OH_ADMISSION_FULL;
  if (yields && taken >= limit - current_reserve (admission, work, limit))
    return OH_ADMISSION_RESERVED;
  return OH_ADMISSION_ADMITTED;
}

void
oh_admission_note_decision (oh_admission_t *admission, const oh_admission_work_t *work,
                            oh_admission_result_t result, int64_t now_us)
{
  const unsigned taken = oh_pace_taken (&admission->pace, work->warming) + work->n_expected;

  oh_pace_note_work (&admission->pace, result == OH_ADMISSION_RESERVED ? UINT32_MAX : taken, work->warming,
                     now_us);
}

oh_admission_report_t
oh_admission_report (const oh_admission_t *admission, const oh_admission_work_t *work)
{
  oh_admission_report_t report = { .taken = work->n_requests };

  if (admission->target_ms == 0)
    return report;
  report.limit = oh_pace_limit (&admission->pace, work->warming);
  report.reserved = current_reserve (admission, work, report.limit);
  report.service_us = oh_pace_service_us (&admission->pace);
  report.taken = oh_pace_taken (&admission->pace, work->warming);
  return report;
}
