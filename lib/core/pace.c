#include "core/pace.h"

#include <glib.h>

#define MEAN_KEPT (1 - 1.0 / OH_PACE_MEAN_ANSWERS)

/* 0 while it is unknown. A slot that has been busy for long raises it before the answer comes. */
static double
service_us (const oh_pace_t *pace)
{
  if (pace->n_answers < OH_PACE_KNOWN_ANSWERS)
    return 0;
  return MAX (pace->mean_busy_us / pace->mean_answers,
              (pace->mean_busy_us + pace->recent_busy_us) / (pace->mean_answers + 1));
}

/* Greatest limit whose requests can be answered within half of the objective. */
static unsigned
limit_ceiling (const oh_pace_t *pace)
{
  const unsigned most = pace->slots * OH_PACE_PER_SLOT_MAX;
  const double service = service_us (pace);
  double fitting;

  if (service <= 0 || pace->target_us == 0)
    return most;
  fitting = pace->slots * (double)pace->target_us / 2 / service;
  return fitting >= most ? most : MAX (pace->slots, (unsigned)fitting);
}

static unsigned
bounded_limit (const oh_pace_t *pace)
{
  return CLAMP (pace->limit, pace->slots, limit_ceiling (pace));
}

/* Losses of requests that were in progress together have one cause, so a request that began before the last
 * decrease causes no further one. */
static void
decrease (oh_pace_t *pace, int64_t begun_us, int64_t now_us)
{
  if (pace->target_us == 0 || begun_us < pace->valid_from_us || begun_us < pace->decreased_us)
    return;
  pace->limit = MAX (pace->slots, bounded_limit (pace) / 2);
  pace->decreased_us = now_us;
  pace->n_decreases++;
}

static void
count_answer (oh_pace_t *pace, int64_t now_us)
{
  if (now_us < pace->measured_from_us)
    return;
  pace->mean_busy_us = pace->mean_busy_us * MEAN_KEPT + pace->recent_busy_us;
  pace->mean_answers = pace->mean_answers * MEAN_KEPT + 1;
  pace->recent_busy_us = 0;
  pace->n_answers++;
}

static void
handle_answer (oh_pace_t *pace, int64_t begun_us, int64_t now_us)
{
  const bool outage = pace->n_lost >= pace->slots * OH_PACE_OUTAGE_LOSSES_PER_SLOT;

  pace->n_lost = 0;
  pace->n_unanswered_syns = 0;
  if (outage)
    {
      oh_pace_restart (pace, pace->slots, now_us);
      return;
    }
  count_answer (pace, now_us);
  if (now_us - begun_us > pace->target_us)
    decrease (pace, begun_us, now_us);
  else if (begun_us >= pace->valid_from_us && pace->used_us >= begun_us)
    pace->limit = MIN (pace->limit + 1, limit_ceiling (pace));
}

void
oh_pace_init (oh_pace_t *pace)
{
  *pace = (oh_pace_t){ 0 };
}

void
oh_pace_restart (oh_pace_t *pace, unsigned slots, int64_t now_us)
{
  *pace = (oh_pace_t){
    .slots = slots,
    .target_us = pace->target_us,
    .limit = slots > 0 ? slots + 1 : 0,
    .n_requests = pace->n_requests,
    .advanced_us = now_us,
    .valid_from_us = now_us,
    .measured_from_us = now_us,
    .n_decreases = pace->n_decreases,
    .n_lost_total = pace->n_lost_total,
    .used_us = INT64_MIN,
    .decreased_us = INT64_MIN,
  };
}

void
oh_pace_set_slots (oh_pace_t *pace, unsigned slots)
{
  if (slots == pace->slots)
    return;
  pace->slots = slots;
  pace->limit = CLAMP (pace->limit, slots, slots * OH_PACE_PER_SLOT_MAX);
}

void
oh_pace_set_target (oh_pace_t *pace, int64_t target_us)
{
  pace->target_us = target_us;
}

void
oh_pace_advance (oh_pace_t *pace, int64_t now_us)
{
  const int64_t from_us = MAX (pace->advanced_us, pace->measured_from_us);

  if (now_us <= pace->advanced_us)
    return;
  if (now_us - pace->advanced_us > (int64_t)OH_PACE_PAUSE_MS * 1000)
    {
      pace->valid_from_us = now_us;
      pace->measured_from_us = now_us + (int64_t)OH_PACE_SETTLE_MS * 1000;
      pace->recent_busy_us = 0;
    }
  else if (now_us > from_us)
    pace->recent_busy_us += (double)(now_us - from_us) * MIN (pace->n_requests, pace->slots);
  pace->advanced_us = now_us;
}

void
oh_pace_note_work (oh_pace_t *pace, unsigned work, bool warming, int64_t now_us)
{
  oh_pace_advance (pace, now_us);
  if (work >= oh_pace_limit (pace, warming))
    pace->used_us = now_us;
}

void
oh_pace_begin (oh_pace_t *pace, int64_t now_us)
{
  oh_pace_advance (pace, now_us);
  pace->n_requests++;
}

void
oh_pace_end (oh_pace_t *pace, oh_pace_outcome_t outcome, int64_t begun_us, bool lost, int64_t now_us)
{
  oh_pace_advance (pace, now_us);
  if (!lost)
    {
      g_assert (pace->n_requests > 0);
      pace->n_requests--;
    }
  switch (outcome)
    {
    case OH_PACE_ANSWERED:
      handle_answer (pace, begun_us, now_us);
      return;
    case OH_PACE_FAILED:
      decrease (pace, begun_us, now_us);
      return;
    case OH_PACE_ABANDONED:
      if (now_us - begun_us > pace->target_us)
        decrease (pace, begun_us, now_us);
      return;
    }
  g_assert_not_reached ();
}

bool
oh_pace_is_lost (const oh_pace_t *pace, int64_t begun_us, int64_t now_us)
{
  const int64_t limit_us = CLAMP (pace->target_us * OH_PACE_LOST_TARGETS, (int64_t)OH_PACE_LOST_MIN_MS * 1000,
                                  (int64_t)OH_PACE_LOST_MAX_MS * 1000);

  return pace->target_us > 0 && now_us - MAX (begun_us, pace->valid_from_us) > limit_us;
}

void
oh_pace_mark_lost (oh_pace_t *pace, int64_t begun_us, int64_t now_us)
{
  oh_pace_advance (pace, now_us);
  g_assert (pace->n_requests > 0);
  pace->n_requests--;
  pace->n_lost++;
  pace->n_lost_total++;
  decrease (pace, begun_us, now_us);
}

void
oh_pace_syn_answered (oh_pace_t *pace)
{
  pace->n_unanswered_syns = 0;
}

void
oh_pace_syn_refused (oh_pace_t *pace, int64_t begun_us, int64_t now_us)
{
  oh_pace_advance (pace, now_us);
  pace->n_unanswered_syns = 0;
  decrease (pace, begun_us, now_us);
}

void
oh_pace_syn_unanswered (oh_pace_t *pace, int64_t begun_us, int64_t now_us)
{
  oh_pace_advance (pace, now_us);
  if (begun_us < pace->valid_from_us)
    return;
  pace->n_unanswered_syns++;
  decrease (pace, begun_us, now_us);
}

unsigned
oh_pace_limit (const oh_pace_t *pace, bool warming)
{
  const unsigned limit = bounded_limit (pace);

  return warming ? MIN (limit, pace->slots * OH_PACE_PER_SLOT_WARMING_MAX) : limit;
}

unsigned
oh_pace_taken (const oh_pace_t *pace, bool warming)
{
  const unsigned limit = oh_pace_limit (pace, warming);
  const unsigned unanswered = pace->n_lost + pace->n_unanswered_syns;

  return pace->n_requests + (limit > 0 ? MIN (unanswered, limit - 1) : 0);
}

uint32_t
oh_pace_service_us (const oh_pace_t *pace)
{
  return (uint32_t)MIN (service_us (pace), (double)UINT32_MAX);
}
