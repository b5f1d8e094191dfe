#include "core/pace.h"

#include <glib.h>
#include <string.h>

#include "core/admission.h"

/* Simulation of one upstream and of the admission of flows there, in steps of 1 ms. Flows are always waiting,
 * except in idle phases. Each case runs with the limit of the pace, with the fixed limits, and with a policy
 * that knows the state of the upstream and the work of each request. An answer counts as good if it comes
 * within the objective. */

enum
{
  PHASES_MAX = 12,
  REQUESTS_MAX = 256, /* at the same time, with those that are never answered */
  QUEUE_MAX = 8,      /* that an upstream queues, besides those that run */
  WORK_MS = 60,
  OPENING_MS = 3,       /* from the admission of a flow to its request */
  SYN_TIMEOUT_MS = 100, /* of the agent */
  EXPECTED_MS = 300,    /* OH_SEGMENT_FIRST_REQUEST_MS */
  REQUEST_TIMEOUT_MS = 10000,
  TICK_MS = 50,
  HUNG_SLOT_MS = 1500,    /* a hung request occupies its slot for this long, in the cases where it does */
  LONG_INTERVAL_MS = 120, /* between requests on flows that are open for long */
  REACHED_MS = 1000,      /* after this time of a phase the capacity has to be reached */
  FIRST_MS = 1000,        /* the first part of the time in which it has to be */
  HANG_VARIATION_MS = 40, /* how much longer a hang lasts with each seed */
  SEEDS = 20,             /* of each case; results are sums over them */
  SLOTS = 2,
  STEP_US = 10000,
  START_US = 10 * G_USEC_PER_SEC,
};

/* Part of the capacity that has to be reached. */
#define REACHED 0.9

/* Good answers relative to those with the fixed limits; less differs by chance. */
#define NOT_WORSE 0.97

typedef enum
{
  HEALTHY,
  REFUSING,     /* returns a share of the SYNs */
  HANGING,      /* does not answer a share of the requests, which occupy no slot */
  HANGING_BUSY, /* the same, but they occupy a slot */
  DOWN,         /* does not run: nothing is answered */
  FAILING,      /* ends each flow without an answer at once */
  ERRING,       /* answers each request with an error at once */
  AGENT_PAUSED, /* the upstream runs, but the agent does not */
} behaviour_t;

typedef struct
{
  int duration_ms;
  double factor; /* of the work of each request; 0: 1 */
  behaviour_t behaviour;
  double share; /* of the requests or SYNs that the behaviour is about */
  bool warming;
  bool idle; /* no flow is waiting */
  bool goal; /* the capacity has to be reached in the phase */
} phase_t;

typedef struct
{
  const char *name;
  unsigned slots; /* 0: 2 */
  uint32_t target_ms;
  bool mixed; /* one request in five has 11 times the work of the others */
  bool long_flows;
  bool fails; /* the upstream fails requests at once: it must not get more of them */
  phase_t phases[PHASES_MAX];
} case_t;

typedef enum
{
  POLICY_PACE,
  POLICY_FIXED,
  POLICY_PERFECT,
  POLICIES,
} policy_t;

typedef struct
{
  bool used;
  bool delivered;      /* the upstream has the request */
  bool hung;           /* is never answered */
  bool occupies;       /* occupies a slot, if hung */
  bool lost;           /* counts as lost */
  bool uncounted;      /* the agent does not count it any more */
  bool expected;       /* is counted as expected */
  bool syn_unanswered; /* the SYN was delivered to an upstream that is down */
  bool answered;       /* while the agent was paused */
  int64_t opened_ms;
  int64_t begun_ms; /* request delivered */
  double work_ms;   /* left */
} request_t;

typedef struct
{
  const case_t *test;
  policy_t policy;
  const phase_t *phase;
  unsigned slots;
  GRand *random;
  oh_admission_t admission;
  request_t requests[REQUESTS_MAX]; /* oldest first */
  unsigned n;
  double next_work_ms; /* of the flow that is waiting */
  bool next_hangs;
  int64_t now_ms;
  unsigned most_warming; /* at the upstream, while it is warming */
  unsigned unserved;     /* flows that were admitted and not answered within the objective */
  unsigned good;
  unsigned good_in_goal;  /* in the windows where the capacity has to be reached */
  unsigned good_at_first; /* in the first FIRST_MS of them */
} sim_t;

static int64_t
now_us (const sim_t *sim)
{
  return sim->now_ms * 1000;
}

static oh_admission_work_t
work (const sim_t *sim)
{
  oh_admission_work_t result = { .slots = sim->slots, .warming = sim->phase->warming };

  for (unsigned i = 0; i < sim->n; i++)
    {
      result.n_expected += sim->requests[i].expected;
      result.n_requests += sim->requests[i].delivered && !sim->requests[i].uncounted;
    }
  return result;
}

static bool
occupies_slot (const request_t *request)
{
  return request->delivered && !request->answered && (!request->hung || request->occupies);
}

static void
draw_next (sim_t *sim)
{
  const double factor = sim->phase->factor > 0 ? sim->phase->factor : 1;
  const bool big = g_rand_double (sim->random) < 0.2;

  sim->next_work_ms = WORK_MS * factor * g_rand_double_range (sim->random, 0.8, 1.2);
  if (sim->test->mixed)
    sim->next_work_ms *= big ? 11.0 / 3 : 1.0 / 3;
  sim->next_hangs = (sim->phase->behaviour == HANGING || sim->phase->behaviour == HANGING_BUSY)
                    && g_rand_double (sim->random) < sim->phase->share;
}

/* With perfect knowledge: keeps each slot busy and one request ready, none of which comes late or fails. */
static bool
is_useful (sim_t *sim)
{
  unsigned waiting = 0;
  double work_ms = 0;

  switch (sim->phase->behaviour)
    {
    case DOWN:
    case FAILING:
    case ERRING:
      return false;
    case HANGING:
    case HANGING_BUSY:
      if (sim->phase->share >= 1)
        return false;
      while (sim->next_hangs)
        draw_next (sim);
      break;
    case HEALTHY:
    case REFUSING:
    case AGENT_PAUSED:
      break;
    }
  for (unsigned i = 0; i < sim->n; i++)
    if (occupies_slot (&sim->requests[i]) || sim->requests[i].expected)
      {
        waiting++;
        work_ms += MIN (sim->requests[i].work_ms, HUNG_SLOT_MS);
      }
  return waiting < sim->slots
         || (waiting <= sim->slots + 1
             && work_ms / sim->slots + sim->next_work_ms + OPENING_MS < sim->test->target_ms);
}

static bool
is_admitted (sim_t *sim)
{
  const oh_admission_work_t before = work (sim);
  oh_admission_work_t after = before;
  oh_admission_result_t result;

  if (sim->policy == POLICY_PERFECT)
    return is_useful (sim);
  if (sim->policy == POLICY_FIXED)
    return oh_admission_decide (&sim->admission, &before, 0, false) == OH_ADMISSION_ADMITTED;
  oh_admission_note_target (&sim->admission, sim->test->target_ms, now_us (sim));
  result = oh_admission_decide (&sim->admission, &before, sim->test->target_ms, false);
  after.n_expected += result == OH_ADMISSION_ADMITTED;
  oh_admission_note_decision (&sim->admission, &after, result, now_us (sim));
  return result == OH_ADMISSION_ADMITTED;
}

static unsigned
at_upstream (const sim_t *sim)
{
  unsigned count = 0;

  for (unsigned i = 0; i < sim->n; i++)
    count += occupies_slot (&sim->requests[i]);
  return count;
}

/* Delivers the request of a flow. */
static void
deliver (sim_t *sim, request_t *request)
{
  request->expected = false;
  request->delivered = true;
  request->begun_ms = sim->now_ms;
  oh_pace_begin (&sim->admission.pace, now_us (sim));
  if (sim->phase->warming)
    sim->most_warming = MAX (sim->most_warming, at_upstream (sim));
}

static request_t *
add (sim_t *sim)
{
  request_t *request = &sim->requests[sim->n++];

  g_assert_cmpuint (sim->n, <, REQUESTS_MAX);
  *request = (request_t){
    .used = true,
    .opened_ms = sim->now_ms,
    .work_ms = sim->next_work_ms,
    .hung = sim->next_hangs,
    .occupies = sim->phase->behaviour == HANGING_BUSY,
  };
  sim->unserved += request->hung;
  draw_next (sim);
  return request;
}

/* Admits flows until the limit is reached. A refusal by the upstream ends the attempts of this step. */
static void
open_flows (sim_t *sim)
{
  while (is_admitted (sim))
    {
      const bool refused
        = at_upstream (sim) >= sim->slots + QUEUE_MAX
          || (sim->phase->behaviour == REFUSING && g_rand_double (sim->random) < sim->phase->share);
      request_t *request;

      if (refused)
        {
          oh_pace_syn_refused (&sim->admission.pace, now_us (sim), now_us (sim));
          return;
        }
      request = add (sim);
      request->expected = true;
      request->syn_unanswered = sim->phase->behaviour == DOWN;
      if (!request->syn_unanswered)
        oh_pace_syn_answered (&sim->admission.pace);
    }
}

static void
end (sim_t *sim, request_t *request, oh_pace_outcome_t outcome, bool good)
{
  const int64_t latency_ms = sim->now_ms - request->opened_ms;

  if (!request->uncounted)
    oh_pace_end (&sim->admission.pace, outcome, request->begun_ms * 1000, request->lost, now_us (sim));
  if (good && latency_ms <= sim->test->target_ms)
    sim->good++;
  else
    sim->unserved++;
  request->used = false;
}

/* What the agent does at a tick, and at the deadlines of its timers. */
static void
run_agent (sim_t *sim)
{
  oh_pace_t *pace = &sim->admission.pace;

  if (sim->now_ms % TICK_MS == 0)
    oh_pace_advance (pace, now_us (sim));
  for (unsigned i = 0; i < sim->n; i++)
    {
      request_t *request = &sim->requests[i];
      const int64_t age_ms = sim->now_ms - request->opened_ms;

      if (request->answered)
        end (sim, request, OH_PACE_ANSWERED, true);
      else if (request->expected && request->syn_unanswered && age_ms == SYN_TIMEOUT_MS)
        oh_pace_syn_unanswered (pace, request->opened_ms * 1000, now_us (sim));
      else if (request->expected && request->syn_unanswered && age_ms >= EXPECTED_MS)
        request->used = false;
      else if (request->expected && !request->syn_unanswered && age_ms >= OPENING_MS)
        deliver (sim, request);
      if (!request->used || !request->delivered || request->uncounted)
        continue;
      if (!request->lost && oh_pace_is_lost (pace, request->begun_ms * 1000, now_us (sim)))
        {
          request->lost = true;
          oh_pace_mark_lost (pace, request->begun_ms * 1000, now_us (sim));
        }
      if (sim->now_ms - request->begun_ms > REQUEST_TIMEOUT_MS)
        {
          oh_pace_end (pace, OH_PACE_ABANDONED, request->begun_ms * 1000, request->lost, now_us (sim));
          request->uncounted = true;
        }
    }
}

static void
complete (sim_t *sim, request_t *request)
{
  const behaviour_t behaviour = sim->phase->behaviour;

  if (request->hung)
    request->occupies = false;
  else if (behaviour == AGENT_PAUSED)
    request->answered = true;
  else
    end (sim, request, behaviour == FAILING ? OH_PACE_FAILED : OH_PACE_ANSWERED,
         behaviour != FAILING && behaviour != ERRING);
}

/* One step of the upstream: its oldest requests run. */
static void
run_upstream (sim_t *sim)
{
  const bool fails = sim->phase->behaviour == FAILING || sim->phase->behaviour == ERRING;
  unsigned running = 0;

  if (sim->phase->behaviour == DOWN)
    return;
  for (unsigned i = 0; i < sim->n; i++)
    {
      request_t *request = &sim->requests[i];

      if (!request->used || !occupies_slot (request))
        continue;
      if (!fails && running++ >= sim->slots)
        return;
      if (request->hung && sim->now_ms - request->begun_ms > HUNG_SLOT_MS)
        complete (sim, request);
      else if (!request->hung && (fails || (request->work_ms -= 1) <= 0))
        complete (sim, request);
    }
}

static void
remove_unused (sim_t *sim)
{
  unsigned n = 0;

  for (unsigned i = 0; i < sim->n; i++)
    if (sim->requests[i].used && !(sim->requests[i].uncounted && sim->requests[i].hung))
      sim->requests[n++] = sim->requests[i];
  sim->n = n;
}

static void
run_step (sim_t *sim)
{
  run_upstream (sim);
  remove_unused (sim);
  if (sim->phase->behaviour != AGENT_PAUSED)
    {
      run_agent (sim);
      remove_unused (sim);
      if (sim->test->long_flows && sim->now_ms % LONG_INTERVAL_MS == 0)
        deliver (sim, add (sim));
      if (!sim->phase->idle)
        open_flows (sim);
    }
  sim->now_ms++;
}

static void
run_case (sim_t *sim, const case_t *test, policy_t policy, unsigned seed)
{
  *sim = (sim_t){ .test = test, .policy = policy, .slots = test->slots > 0 ? test->slots : SLOTS };
  sim->random = g_rand_new_with_seed (seed);
  sim->now_ms = 1000;
  oh_admission_init (&sim->admission);
  oh_admission_restart (&sim->admission, sim->slots, now_us (sim));
  for (unsigned i = 0; i < PHASES_MAX && test->phases[i].duration_ms > 0; i++)
    {
      const int64_t begin_ms = sim->now_ms;
      int64_t end_ms;

      sim->phase = &test->phases[i];
      draw_next (sim);
      /* The last losses of a hang lie differently before its end. */
      end_ms = begin_ms + sim->phase->duration_ms
               + (sim->phase->behaviour == HANGING ? seed * HANG_VARIATION_MS : 0);
      while (sim->now_ms < end_ms)
        {
          const unsigned good = sim->good;

          run_step (sim);
          if (!sim->phase->goal || sim->now_ms <= begin_ms + REACHED_MS)
            continue;
          sim->good_in_goal += sim->good - good;
          if (sim->now_ms <= begin_ms + REACHED_MS + FIRST_MS)
            sim->good_at_first += sim->good - good;
        }
    }
  g_rand_free (sim->random);
}

#define PHASE(ms, ...)                                                                                       \
  {                                                                                                          \
    .duration_ms = ms, __VA_ARGS__                                                                           \
  }
#define UP_AND_DOWN PHASE (1100, .goal = true), PHASE (1100, .behaviour = DOWN)

static const case_t cases[] = {
  { .name = "warming for 2 s at 1.6 times the work",
    .target_ms = 400,
    .phases = { PHASE (2000, .factor = 1.6, .warming = true, .goal = true), PHASE (4000, .goal = true) } },
  { .name = "the same, not announced",
    .target_ms = 400,
    .phases = { PHASE (2000, .factor = 1.6, .goal = true), PHASE (4000, .goal = true) } },
  { .name = "5 times slower for 6.5 s",
    .target_ms = 400,
    .phases
    = { PHASE (3000, .goal = true), PHASE (6500, .factor = 5, .goal = true), PHASE (4000, .goal = true) } },
  { .name = "5 times slower for 6.5 s, objective of 800 ms",
    .target_ms = 800,
    .phases
    = { PHASE (3000, .goal = true), PHASE (6500, .factor = 5, .goal = true), PHASE (4000, .goal = true) } },
  { .name = "0.7 times the work", .target_ms = 200, .phases = { PHASE (5000, .factor = 0.7, .goal = true) } },
  { .name = "1.7 times the work", .target_ms = 200, .phases = { PHASE (5000, .factor = 1.7, .goal = true) } },
  { .name = "hang in 0.44 of requests",
    .target_ms = 400,
    .phases = { PHASE (3000, .goal = true), PHASE (6500, .behaviour = HANGING, .share = 0.44),
                PHASE (4000, .goal = true) } },
  { .name = "hang in 0.44 of requests, objective of 800 ms",
    .target_ms = 800,
    .phases = { PHASE (3000, .goal = true), PHASE (6500, .behaviour = HANGING, .share = 0.44),
                PHASE (4000, .goal = true) } },
  { .name = "hang in 0.44 of requests, which occupy a slot for 1.5 s",
    .target_ms = 400,
    .phases = { PHASE (3000, .goal = true), PHASE (6500, .behaviour = HANGING_BUSY, .share = 0.44),
                PHASE (HUNG_SLOT_MS), PHASE (4000, .goal = true) } },
  { .name = "hang in all requests",
    .target_ms = 400,
    .phases = { PHASE (3000, .goal = true), PHASE (6500, .behaviour = HANGING, .share = 1),
                PHASE (4000, .goal = true) } },
  { .name = "hang in all requests, objective of 800 ms",
    .target_ms = 800,
    .phases = { PHASE (3000, .goal = true), PHASE (6500, .behaviour = HANGING, .share = 1),
                PHASE (4000, .goal = true) } },
  { .name = "refusals",
    .target_ms = 400,
    .phases = { PHASE (3000, .goal = true), PHASE (4000, .behaviour = REFUSING, .share = 0.3, .goal = true),
                PHASE (4000, .goal = true) } },
  { .name = "up and down, 1.1 s each",
    .target_ms = 400,
    .phases = { UP_AND_DOWN, UP_AND_DOWN, UP_AND_DOWN, UP_AND_DOWN, UP_AND_DOWN, UP_AND_DOWN } },
  { .name = "healthy reports while all requests fail without an answer",
    .target_ms = 400,
    .fails = true,
    .phases
    = { PHASE (3000, .goal = true), PHASE (4000, .behaviour = FAILING), PHASE (4000, .goal = true) } },
  { .name = "healthy reports while all requests are answered with an error",
    .target_ms = 400,
    .fails = true,
    .phases = { PHASE (3000, .goal = true), PHASE (4000, .behaviour = ERRING), PHASE (4000, .goal = true) } },
  { .name = "idle, then a burst",
    .target_ms = 400,
    .phases = { PHASE (300), PHASE (5000, .idle = true), PHASE (3000, .goal = true) } },
  { .name = "one slot",
    .slots = 1,
    .target_ms = 400,
    .phases = { PHASE (2000, .factor = 1.6, .warming = true, .goal = true), PHASE (3000, .goal = true),
                PHASE (3000, .factor = 5, .goal = true), PHASE (3000, .goal = true) } },
  { .name = "long flows beside short ones",
    .target_ms = 400,
    .long_flows = true,
    .phases = { PHASE (4000, .goal = true), PHASE (4000, .factor = 2, .goal = true) } },
  { .name = "mixed work", .target_ms = 400, .mixed = true, .phases = { PHASE (8000, .goal = true) } },
  { .name = "mixed work, twice as much for 4 s",
    .target_ms = 800,
    .mixed = true,
    .phases
    = { PHASE (4000, .goal = true), PHASE (4000, .factor = 2, .goal = true), PHASE (4000, .goal = true) } },
  { .name = "the agent is paused for 2.5 s",
    .target_ms = 400,
    .phases
    = { PHASE (3000, .goal = true), PHASE (2500, .behaviour = AGENT_PAUSED), PHASE (3000, .goal = true) } },
};

/* Answers that the slots can give in the windows where the capacity has to be reached, or in their first
 * window_ms. */
static double
capacity (const case_t *test, int window_ms)
{
  const unsigned slots = test->slots > 0 ? test->slots : SLOTS;
  double sum = 0;

  for (unsigned i = 0; i < PHASES_MAX; i++)
    if (test->phases[i].goal)
      sum += slots * (double)MIN (window_ms, test->phases[i].duration_ms - REACHED_MS)
             / (WORK_MS * (test->phases[i].factor > 0 ? test->phases[i].factor : 1));
  return sum;
}

/* Sums over the runs of a case with one policy. */
typedef struct
{
  unsigned good;
  unsigned good_in_goal;
  unsigned good_at_first;
  unsigned unserved;
  unsigned most_warming; /* maximum */
} result_t;

static result_t
run_seeds (const case_t *test, policy_t policy)
{
  static sim_t sim;
  result_t result = { 0 };

  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      run_case (&sim, test, policy, seed);
      result.good += sim.good;
      result.good_in_goal += sim.good_in_goal;
      result.good_at_first += sim.good_at_first;
      result.unserved += sim.unserved;
      result.most_warming = MAX (result.most_warming, sim.most_warming);
    }
  return result;
}

/* Guards against a limit that leaves capacity unused 1 s after it could be used, that makes callers wait for
 * answers which come too late, or that attracts more flows to an upstream that fails; and against a flood of
 * an upstream that has just started. */
static void
test_cases (void)
{
  static const char *const names[POLICIES] = { "pace", "fixed", "perfect" };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const unsigned slots = cases[i].slots > 0 ? cases[i].slots : SLOTS;
      const double reachable = capacity (&cases[i], G_MAXINT) * SEEDS;
      const double at_first = capacity (&cases[i], FIRST_MS) * SEEDS;
      result_t results[POLICIES];
      const result_t *pace = &results[POLICY_PACE];

      g_test_message ("%s: capacity=%.0f", cases[i].name, reachable);
      for (unsigned j = 0; j < POLICIES; j++)
        {
          results[j] = run_seeds (&cases[i], (policy_t)j);
          g_test_message ("  %s: good=%u good_in_goal=%u (%.3f, at first %.3f) not_good=%u"
                          " most_while_warming=%u",
                          names[j], results[j].good, results[j].good_in_goal,
                          results[j].good_in_goal / reachable, results[j].good_at_first / at_first,
                          results[j].unserved, results[j].most_warming);
        }
      g_assert_cmpfloat (pace->good_in_goal, >=,
                         REACHED * MAX (results[POLICY_PERFECT].good_in_goal, reachable));
      g_assert_cmpfloat (pace->good_at_first, >=,
                         REACHED * MAX (results[POLICY_PERFECT].good_at_first, at_first));
      g_assert_cmpfloat (pace->good, >=, NOT_WORSE * results[POLICY_FIXED].good);
      g_assert_cmpuint (pace->most_warming, <=, 2 * slots);
      if (cases[i].fails)
        g_assert_cmpuint (pace->unserved, <=, results[POLICY_FIXED].unserved);
    }
}

/* An upstream of 2 slots that gets a request as soon as there is room, and answers each after work_us. */
static void
run_rounds (oh_pace_t *pace, unsigned rounds, unsigned concurrent, int64_t work_us, int64_t *now)
{
  for (unsigned i = 0; i < rounds; i++)
    {
      const int64_t begun_us = *now;

      for (unsigned j = 0; j < concurrent; j++)
        oh_pace_begin (pace, *now);
      oh_pace_note_work (pace, concurrent, false, *now);
      for (unsigned j = 0; j < concurrent; j++)
        {
          if (j % SLOTS == 0)
            for (int64_t left_us = work_us; left_us > 0; left_us -= STEP_US)
              {
                *now += MIN (left_us, STEP_US);
                oh_pace_advance (pace, *now);
              }
          oh_pace_end (pace, OH_PACE_ANSWERED, begun_us, false, *now);
        }
    }
}

static void
start (oh_pace_t *pace, int64_t now_us)
{
  oh_pace_init (pace);
  oh_pace_set_target (pace, 400000);
  oh_pace_restart (pace, SLOTS, now_us);
}

/* Guards against a service time that depends on how many requests wait for a slot. */
static void
test_service_time (void)
{
  for (unsigned concurrent = 1; concurrent <= 6; concurrent++)
    {
      oh_pace_t pace;
      int64_t now = START_US;

      start (&pace, now);
      g_assert_cmpuint (oh_pace_service_us (&pace), ==, 0);
      run_rounds (&pace, 40, concurrent, 60000, &now);
      /* The last request of an odd number leaves a slot idle, which is not counted. */
      g_assert_cmpuint (oh_pace_service_us (&pace), >=, 57000);
      g_assert_cmpuint (oh_pace_service_us (&pace), <=, 63000);
    }
}

/* Guards against a limit that doubles in more than one round of answers, exceeds 3 per slot, or grows while
 * it is not in use. */
static void
test_growth (void)
{
  oh_pace_t pace;
  int64_t now = START_US;

  start (&pace, now);
  g_assert_cmpuint (oh_pace_limit (&pace, false), ==, 3);
  run_rounds (&pace, 10, 2, 20000, &now);
  g_assert_cmpuint (oh_pace_limit (&pace, false), ==, 3);
  run_rounds (&pace, 1, 3, 20000, &now);
  g_assert_cmpuint (oh_pace_limit (&pace, false), ==, 6);
  g_assert_cmpuint (oh_pace_limit (&pace, true), ==, 4);
  run_rounds (&pace, 10, 6, 20000, &now);
  g_assert_cmpuint (oh_pace_limit (&pace, false), ==, 6);
}

typedef enum
{
  SYN_REFUSED,
  SYN_UNANSWERED,
  ANSWERED_LATE,
  ANSWERED_IN_TIME,
  FAILED,
  ABANDONED_LATE,
  ABANDONED_EARLY,
  LOST,
} signal_t;

static void
give_signal (oh_pace_t *pace, signal_t signal, int64_t begun_us, int64_t now_us)
{
  switch (signal)
    {
    case SYN_REFUSED:
      oh_pace_syn_refused (pace, begun_us, now_us);
      return;
    case SYN_UNANSWERED:
      oh_pace_syn_unanswered (pace, begun_us, now_us);
      return;
    case ANSWERED_LATE:
    case ANSWERED_IN_TIME:
      oh_pace_end (pace, OH_PACE_ANSWERED, begun_us, false, now_us);
      return;
    case FAILED:
      oh_pace_end (pace, OH_PACE_FAILED, begun_us, false, now_us);
      return;
    case ABANDONED_LATE:
    case ABANDONED_EARLY:
      oh_pace_end (pace, OH_PACE_ABANDONED, begun_us, false, now_us);
      return;
    case LOST:
      oh_pace_mark_lost (pace, begun_us, now_us);
      return;
    }
}

static const struct
{
  const char *name; /* the failure that it guards against */
  signal_t signal;
  int64_t age_ms;
  bool paused; /* the agent is paused meanwhile, or the upstream is replaced */
  bool lowered;
} signals[] = {
  { "a refusal by the upstream does not lower the limit", SYN_REFUSED, 1, false, true },
  { "an unanswered SYN does not lower the limit", SYN_UNANSWERED, 100, false, true },
  { "a late answer does not lower the limit", ANSWERED_LATE, 401, false, true },
  { "an answer in time lowers the limit", ANSWERED_IN_TIME, 400, false, false },
  { "a flow that the upstream ends without an answer does not lower the limit", FAILED, 1, false, true },
  { "a caller that has given up for want of an answer does not lower the limit", ABANDONED_LATE, 401, false,
    true },
  { "a caller that closes its flow early lowers the limit", ABANDONED_EARLY, 100, false, false },
  { "a lost request does not lower the limit", LOST, 800, false, true },
  { "a pause of the agent counts as an unanswered SYN", SYN_UNANSWERED, 2000, true, false },
  { "a pause of the agent counts as a late answer", ANSWERED_LATE, 2000, true, false },
  { "a pause of the agent counts as a request that a caller has given up", ABANDONED_LATE, 2000, true,
    false },
};

/* Guards also against a limit that is lowered more than once for requests that were begun before. */
static void
test_signals (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (signals); i++)
    {
      oh_pace_t pace;
      int64_t now = START_US;
      int64_t begun_us;

      g_test_message ("%s", signals[i].name);
      start (&pace, now);
      run_rounds (&pace, 4, 6, 20000, &now);
      begun_us = now;
      for (unsigned j = 0; j < 2; j++)
        oh_pace_begin (&pace, now);
      now += signals[i].age_ms * 1000;
      if (!signals[i].paused)
        for (int64_t at_us = begun_us; at_us < now; at_us += STEP_US)
          oh_pace_advance (&pace, at_us);
      for (unsigned j = 0; j < 2; j++)
        give_signal (&pace, signals[i].signal, begun_us, now);
      g_assert_cmpuint (pace.n_decreases, ==, signals[i].lowered ? 1 : 0);
      if (signals[i].lowered)
        g_assert_cmpuint (oh_pace_limit (&pace, false), <=, 3);
      else
        g_assert_cmpuint (pace.limit, ==, 6);
      if (signals[i].paused)
        g_assert_cmpuint (oh_pace_service_us (&pace), <=, 21000);
    }
}

/* Guards against lost requests that take positions although the upstream answers, against a flood of one that
 * answers nothing, and against a restart that keeps what was measured before. */
static void
test_losses (void)
{
  oh_pace_t pace;
  int64_t now = START_US;
  int64_t begun_us;

  start (&pace, now);
  run_rounds (&pace, 10, 6, 60000, &now);
  begun_us = now;
  for (unsigned i = 0; i < 2; i++)
    oh_pace_begin (&pace, now);
  g_assert_false (oh_pace_is_lost (&pace, begun_us, now + 800000));
  g_assert_true (oh_pace_is_lost (&pace, begun_us, now + 800001));
  for (const int64_t until_us = now + 850000; now < until_us; now += STEP_US)
    oh_pace_advance (&pace, now);
  for (unsigned i = 0; i < 2; i++)
    oh_pace_mark_lost (&pace, begun_us, now);
  /* Both slots were busy in vain for longer than half of the objective. */
  g_assert_cmpuint (oh_pace_limit (&pace, false), ==, 2);
  g_assert_cmpuint (oh_pace_taken (&pace, false), ==, 1);
  oh_pace_begin (&pace, now);
  g_assert_cmpuint (oh_pace_taken (&pace, false), ==, 2);
  oh_pace_end (&pace, OH_PACE_ANSWERED, now, false, now + 60000);
  g_assert_cmpuint (oh_pace_taken (&pace, false), ==, 0);
  oh_pace_end (&pace, OH_PACE_ANSWERED, begun_us, true, now + 60000);
  g_assert_cmpuint (oh_pace_taken (&pace, false), ==, 0);
  oh_pace_restart (&pace, 4, now);
  g_assert_cmpuint (oh_pace_limit (&pace, false), ==, 5);
  g_assert_cmpuint (oh_pace_service_us (&pace), ==, 0);
}

/* Guards against a service time from an outage that outlives it. */
static void
test_outage (void)
{
  const unsigned losses = 6;
  oh_pace_t pace;
  int64_t now = START_US;

  for (unsigned n = losses - 1; n <= losses; n++)
    {
      start (&pace, now);
      run_rounds (&pace, 10, 6, 60000, &now);
      for (unsigned i = 0; i < n; i++)
        {
          oh_pace_begin (&pace, now);
          oh_pace_mark_lost (&pace, now, now);
        }
      oh_pace_begin (&pace, now);
      oh_pace_end (&pace, OH_PACE_ANSWERED, now, false, now);
      g_assert_cmpuint (oh_pace_limit (&pace, false), ==, n < losses ? SLOTS : SLOTS + 1);
      g_assert_cmpint (oh_pace_service_us (&pace) == 0, ==, n == losses);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pace/cases", test_cases);
  g_test_add_func ("/pace/service-time", test_service_time);
  g_test_add_func ("/pace/growth", test_growth);
  g_test_add_func ("/pace/signals", test_signals);
  g_test_add_func ("/pace/losses", test_losses);
  g_test_add_func ("/pace/outage", test_outage);
  return g_test_run ();
}
