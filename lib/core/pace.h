#pragma once

#include <stdbool.h>
#include <stdint.h>

/*
 * Pace of one upstream, measured from the times at which its requests begin and are answered:
 *
 * - the service time: the mean time that a slot works on a request, which is the time that slots were busy
 *   divided by the number of answers;
 * - the limit: how many requests the upstream should have at the same time. It grows by one for each answer
 *   that came within the objective while the limit was in use. It is halved after a refusal, a lost request,
 *   an unanswered SYN or a late answer, at most once for the requests that were begun before that. It is
 *   bounded by what can be answered within half of the objective.
 *
 * No I/O and no clock: times are passed in and do not decrease. Nothing is kept for each request; the caller
 * keeps when a request began. A gap between two calls is a pause of the calling process, so oh_pace_advance
 * has to be called more often than every OH_PACE_PAUSE_MS.
 */

enum
{
  OH_PACE_PER_SLOT_MAX = 3,         /* greatest limit */
  OH_PACE_PER_SLOT_WARMING_MAX = 2, /* the same while the upstream is warming */
  OH_PACE_MEAN_ANSWERS = 16,        /* answers over which the service time is averaged */
  OH_PACE_KNOWN_ANSWERS = 4,        /* the service time of fewer answers is not significant */
  /* A request counts as lost after twice the objective, within these bounds. The upper one lets an upstream
   * reach its capacity within 1 s of the end of a hang in which every position was taken. */
  OH_PACE_LOST_TARGETS = 2,
  OH_PACE_LOST_MIN_MS = 400,
  OH_PACE_LOST_MAX_MS = 800,
  /* So many losses per slot without an answer are an outage: at the next answer the measurements restart.
   * Fewer in a row occur at an upstream that does not answer some of its requests. */
  OH_PACE_OUTAGE_LOSSES_PER_SLOT = 3,
  OH_PACE_PAUSE_MS = 150, /* a longer gap between two calls is a pause */
  /* Messages that arrived during a pause are handled within this time after it. Their times say nothing about
   * the upstream. */
  OH_PACE_SETTLE_MS = 50,
};

/* How a request ended. */
typedef enum
{
  OH_PACE_ANSWERED,
  OH_PACE_FAILED,    /* the upstream ended the flow without an answer */
  OH_PACE_ABANDONED, /* the caller ended the flow, or the agent did */
} oh_pace_outcome_t;

typedef struct
{
  unsigned slots;
  int64_t target_us;          /* objective for the time to an answer; 0: none */
  unsigned limit;             /* before it is bounded by the service time */
  unsigned n_requests;        /* without an answer, except lost ones */
  unsigned n_lost;            /* lost requests since the last answer */
  unsigned n_unanswered_syns; /* unanswered SYNs since the upstream last answered one */
  int64_t advanced_us;        /* time of the last call */
  int64_t valid_from_us;      /* requests and SYNs begun earlier do not change the limit */
  int64_t measured_from_us;   /* answers and busy slots before this time do not count */
  int64_t used_us;            /* when the limit was last in use */
  int64_t decreased_us;       /* when the limit was last decreased */
  double mean_busy_us;        /* busy time of slots up to the last answer, of which earlier ones count less */
  double mean_answers;        /* answers, weighted in the same way */
  double recent_busy_us;      /* busy time of slots since the last answer */
  unsigned n_answers;         /* since the start */
  uint64_t n_decreases;       /* since oh_pace_init, as the next */
  uint64_t n_lost_total;
} oh_pace_t;

void oh_pace_init (oh_pace_t *pace);

/* The upstream has started or recovered: forgets what was measured. Requests that have begun stay counted. */
void oh_pace_restart (oh_pace_t *pace, unsigned slots, int64_t now_us);

/* Changes the number of slots without a start. */
void oh_pace_set_slots (oh_pace_t *pace, unsigned slots);

/* target_us: the objective; with 0 the limit stays as it is. */
void oh_pace_set_target (oh_pace_t *pace, int64_t target_us);

/* To be called at each tick. */
void oh_pace_advance (oh_pace_t *pace, int64_t now_us);

/* Notes how many requests the upstream has or is expected to get, including one that was refused. */
void oh_pace_note_work (oh_pace_t *pace, unsigned work, bool warming, int64_t now_us);

/* A request was delivered. */
void oh_pace_begin (oh_pace_t *pace, int64_t now_us);

/* A request that was begun at begun_us has ended. lost: oh_pace_mark_lost was called for it. */
void oh_pace_end (oh_pace_t *pace, oh_pace_outcome_t outcome, int64_t begun_us, bool lost, int64_t now_us);

/* True if a request without an answer should count as lost now. Those begun earlier are lost earlier. */
bool oh_pace_is_lost (const oh_pace_t *pace, int64_t begun_us, int64_t now_us);

/* Counts a request as lost. It may still be answered. */
void oh_pace_mark_lost (oh_pace_t *pace, int64_t begun_us, int64_t now_us);

/* The upstream has answered a SYN, refused one (returned it), or not answered one that was delivered at
 * begun_us in time. */
void oh_pace_syn_answered (oh_pace_t *pace);
void oh_pace_syn_refused (oh_pace_t *pace, int64_t begun_us, int64_t now_us);
void oh_pace_syn_unanswered (oh_pace_t *pace, int64_t begun_us, int64_t now_us);

/* Requests that the upstream should have at the same time; at least one for each slot. */
unsigned oh_pace_limit (const oh_pace_t *pace, bool warming);

/* Positions of the limit that requests take which have begun, including lost ones. Those count until the
 * upstream answers again, but leave one position, so that one request at a time shows whether it does. */
unsigned oh_pace_taken (const oh_pace_t *pace, bool warming);

/* Mean time in us that a slot works on a request; 0 while it is unknown. */
uint32_t oh_pace_service_us (const oh_pace_t *pace);
