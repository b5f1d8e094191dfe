#define OH_LOG_MODULE "test"

#include <stdio.h>
#include <stdlib.h>

#include "segment_sim.h"

enum
{
  SEEDS = 150,
  FAULTS_S = 40,
  CALM_S = 15, /* longer than every fault */
  CHECK_S = 10,
};

/* Guards against resets of open flows, and against their segments at other upstreams, when agents and
 * balancers are restarted and frozen in series beside young and old upstreams while callers use their flows,
 * move to another availability zone and pause; leaving: also when upstreams outlive their deregister calls,
 * are paused, crash, and start with a clock that was set back; and against callers that are not served once
 * the faults have ended. */
static void
run_seed (uint32_t seed, bool leaving)
{
  static segment_sim_t sim;
  unsigned answered;
  unsigned timed_out;

  segment_sim_init (&sim, seed, leaving);
  segment_sim_run (&sim, (int64_t)FAULTS_S * SIM_S);
  sim.faults = false;
  segment_sim_run (&sim, (int64_t)CALM_S * SIM_S);
  answered = sim.answered;
  timed_out = sim.timed_out;
  segment_sim_run (&sim, (int64_t)CHECK_S * SIM_S);
  g_test_message ("seed %u: %u answered, %u timed out, %u resets of lost flows", seed, sim.answered,
                  sim.timed_out, sim.resets);
  if (sim.answered - answered < SIM_CALLERS || sim.timed_out - timed_out > SIM_CALLERS / 4)
    g_error ("seed %u: %u requests answered and %u timed out in the last %d s, without faults", seed,
             sim.answered - answered, sim.timed_out - timed_out, CHECK_S);
  segment_sim_finish (&sim);
}

/* Seeds that failed once, with the cause. */
static void
test_failed_seeds (void)
{
  static const struct
  {
    uint32_t seed;
    const char *cause;
  } cases[] = {
    { 28, "three balancers searched a moving caller's flow, and let an agent each probe its upstream" },
    { 497, "the same, with probes 2.1 s apart" },
    { 583, "the same, with probes 2.1 s apart" },
    { 6141, "a paused balancer offered the flow anew for queued SYNs, and restarted agents probed their "
            "upstreams" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%s", cases[i].cause);
      run_seed (cases[i].seed, false);
    }
}

static void
run_random_seeds (bool leaving)
{
  const char *first = g_getenv ("SEGMENT_SIM_FIRST");
  const char *count = g_getenv ("SEGMENT_SIM_SEEDS");
  const uint32_t begin = first != NULL ? (uint32_t)strtoul (first, NULL, 10) : 1;
  const uint32_t n = count != NULL ? (uint32_t)strtoul (count, NULL, 10) : SEEDS;

  for (uint32_t seed = begin; seed < begin + n; seed++)
    run_seed (seed, leaving);
}

static void
test_random (void)
{
  run_random_seeds (false);
}

static void
test_leaving (void)
{
  run_random_seeds (true);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/segment-sim/failed-seeds", test_failed_seeds);
  g_test_add_func ("/segment-sim/random", test_random);
  g_test_add_func ("/segment-sim/leaving", test_leaving);
  return g_test_run ();
}
