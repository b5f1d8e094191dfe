#include "raft_sim.h"

/* Tests of the flow control of replication: what a change costs a replica behind a slow link, after losses,
 * and while it cannot be reached. The slow replica is an observer, as on entry VMs without a disk. */

enum
{
  SLOW = 4, /* slot of the observer */
  KB = 1024,
};

/* Three voters and an observer, all up to date. */
static void
setup (sim_t *sim, uint32_t seed)
{
  sim_init_voters (sim, seed, 3, 3);
  sim->delay_us = 1; /* as over a connection, messages arrive in order */
  for (unsigned slot = 0; slot < 3; slot++)
    sim_start (sim, slot);
  sim->nodes[SLOW].observer = true;
  sim_start (sim, SLOW);
  sim_wait_leader (sim, 10 * SIM_S);
  sim_wait_role (sim, SLOW, OH__REPLICA_ROLE__REPLICA_OBSERVER, 20 * SIM_S);
  sim_wait_applied (sim, SLOW, sim_commit (sim, 10 * SIM_S), 5 * SIM_S);
}

static uint64_t
total_entry_bytes (const sim_t *sim, unsigned slot)
{
  return sim->nodes[slot].entry_bytes;
}

typedef struct
{
  const char *name;
  int64_t link_bytes_per_s; /* of the observer */
  size_t command_bytes;
  unsigned commands;
  int64_t interval_us; /* between commands */
  unsigned loss_percent;
  unsigned permille_sent; /* greatest ratio of the bytes sent to the observer to those of the commands */
  int64_t lag_us;         /* until the observer has applied a command, at most */
} flow_case_t;

/* Guards against entries that are sent again with each heartbeat while their first copy is still on its way:
 * over a slow link the copies queue up faster than the link carries them. */
static void
test_slow_link (void)
{
  static const flow_case_t cases[] = {
    { "changes in succession", 250000, 40 * KB, 5, 800 * SIM_MS, 0, 1000, 500 * SIM_MS },
    { "changes at once", 250000, 40 * KB, 5, 0, 0, 1000, 1300 * SIM_MS },
    { "the largest change", 250000, OH_RAFT_COMMAND_MAX_BYTES, 1, 0, 0, 1000, 9940 * SIM_MS },
    { "small changes, loss", 250000, 4 * KB, 300, 50 * SIM_MS, 3, 1100, 1000 * SIM_MS },
    { "fast link, loss", 0, 40 * KB, 100, 100 * SIM_MS, 3, 1100, 1000 * SIM_MS },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const flow_case_t *c = &cases[i];
      sim_node_t *slow;
      sim_t sim;
      uint64_t before;
      uint64_t last = 0;
      int64_t committed_us = 0;

      setup (&sim, 40 + i);
      slow = &sim.nodes[SLOW];
      slow->link_bytes_per_s = c->link_bytes_per_s;
      sim.command_bytes = c->command_bytes;
      sim.loss_percent = c->loss_percent;
      before = total_entry_bytes (&sim, SLOW);
      for (unsigned n = 0; n < c->commands; n++)
        {
          last = sim_commit (&sim, 5 * SIM_S);
          committed_us = sim.now_us;
          if (c->interval_us > 0)
            sim_run (&sim, c->interval_us);
          if (c->interval_us >= c->lag_us)
            g_assert_cmpuint (slow->applied, >=, last);
        }
      sim_run (&sim, MAX (0, committed_us + c->lag_us - sim.now_us));
      g_test_message ("%s: sent %" G_GUINT64_FORMAT " of %zu bytes, peak of the queue %zu, applied %d",
                      c->name, total_entry_bytes (&sim, SLOW) - before, c->command_bytes * c->commands,
                      slow->queued_peak, slow->applied >= last);
      g_assert_cmpuint (slow->applied, >=, last);
      g_assert_cmpuint ((total_entry_bytes (&sim, SLOW) - before) * 1000, <=,
                        (uint64_t)c->command_bytes * c->commands * c->permille_sent + 1000 * KB);
      sim_finish (&sim);
    }
}

/* Guards against a leader that sends entries again and again to a replica that it cannot reach. Once the
 * replica is back, it is brought up to date without waiting for a back-off. */
static void
test_unreachable (void)
{
  static const struct
  {
    const char *name;
    int64_t away_us;
    bool restarted;
  } cases[] = {
    { "cut off for a moment", 300 * SIM_MS, false },
    { "cut off", 5 * SIM_S, false },
    { "restarted", 2 * SIM_S, true },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      sim_t sim;
      sim_node_t *away;
      uint64_t before;
      uint64_t last;
      unsigned slot = 0;

      setup (&sim, 60 + i);
      while (&sim.nodes[slot] == sim_leader (&sim))
        slot++;
      away = &sim.nodes[slot];
      sim.command_bytes = 100 * KB;
      before = total_entry_bytes (&sim, slot);
      if (cases[i].restarted)
        sim_crash (&sim, slot);
      else
        away->isolated = true;
      last = sim_commit (&sim, 5 * SIM_S);
      sim_run (&sim, cases[i].away_us);
      g_assert_cmpuint (total_entry_bytes (&sim, slot) - before, <=, 101 * KB);
      away->isolated = false;
      if (!away->alive)
        sim_start (&sim, slot);
      sim_run (&sim, 300 * SIM_MS);
      g_assert_cmpuint (away->applied, >=, last);
      g_assert_cmpuint (total_entry_bytes (&sim, slot) - before, <=, 202 * KB);
      sim_finish (&sim);
    }
}

/* Guards against a voter whose disk hangs being sent the same entries with each heartbeat, and against one
 * that loses what it has received before it was durable and does not get it again. */
static void
test_slow_sync (void)
{
  sim_t sim;
  sim_node_t *voter;
  uint64_t before;
  uint64_t last;
  unsigned slot = 0;

  setup (&sim, 80);
  while (&sim.nodes[slot] == sim_leader (&sim))
    slot++;
  voter = &sim.nodes[slot];
  sim.command_bytes = 100 * KB;
  voter->sync_us = 4 * SIM_S;
  before = total_entry_bytes (&sim, slot);
  last = sim_commit (&sim, 5 * SIM_S);
  sim_run (&sim, 3 * SIM_S);
  g_assert_cmpuint (total_entry_bytes (&sim, slot) - before, <=, 303 * KB);
  sim_crash (&sim, slot);
  voter->sync_us = 0;
  sim_start (&sim, slot);
  sim_wait_applied (&sim, slot, last, 2 * SIM_S);
  sim_finish (&sim);
}

/* Guards against heartbeats that wait behind documents: a replica behind a slow link would take its leader
 * for lost. A chunk of a snapshot counts as well. */
static void
test_heartbeats_pass (void)
{
  sim_t sim;
  sim_node_t *slow;

  setup (&sim, 90);
  slow = &sim.nodes[SLOW];
  slow->link_bytes_per_s = 250000;
  sim.command_bytes = 40 * KB;
  slow->heartbeat_gap_us = 0;
  for (unsigned n = 0; n < 20; n++)
    {
      sim_commit (&sim, 5 * SIM_S);
      sim_run (&sim, 200 * SIM_MS);
    }
  g_assert_cmpint (slow->heartbeat_gap_us, <=, OH_RAFT_ELECTION_MIN_US);
  sim_finish (&sim);
}

/* Guards against a snapshot whose chunks are sent again with each heartbeat, and one that goes over a slow
 * link as it is although it compresses. */
static void
send_snapshot (bool compressible)
{
  sim_t sim;
  sim_node_t *slow;
  uint64_t before;
  uint64_t last;

  setup (&sim, 95);
  slow = &sim.nodes[SLOW];
  sim.snapshot_bytes = 1000 * KB;
  sim.compressible = compressible;
  sim.compact_entries = 8;
  for (unsigned slot = 0; slot < 3; slot++)
    sim.nodes[slot].raft.compact_entries = 8;
  sim_crash (&sim, SLOW);
  for (unsigned n = 0; n < 40; n++)
    last = sim_commit (&sim, 5 * SIM_S);
  slow->link_bytes_per_s = 250000;
  before = total_entry_bytes (&sim, SLOW);
  sim_start (&sim, SLOW);
  sim_wait_applied (&sim, SLOW, last, 6 * SIM_S);
  g_assert_cmpuint (total_entry_bytes (&sim, SLOW) - before, <=, compressible ? 100 * KB : 1100 * KB);
  g_assert_cmpuint (slow->snapshots_installed, ==, 1);
  sim_finish (&sim);
}

static void
test_snapshot_to_slow_replica (void)
{
  send_snapshot (false);
  send_snapshot (true);
}

/* Guards against documents that go over a slow link as they are. A replica of an earlier release, which does
 * not say that it unpacks entries, gets them so; after a restart with this release it does not. */
static void
test_compression (void)
{
  sim_t sim;
  sim_node_t *slow;
  uint64_t before;

  setup (&sim, 97);
  slow = &sim.nodes[SLOW];
  sim.command_bytes = 40 * KB;
  sim.compressible = true;
  before = total_entry_bytes (&sim, SLOW);
  sim_wait_applied (&sim, SLOW, sim_commit (&sim, 5 * SIM_S), SIM_S);
  g_assert_cmpuint (total_entry_bytes (&sim, SLOW) - before, <=, 4 * KB);
  slow->former_release = true;
  sim_run (&sim, SIM_S);
  before = total_entry_bytes (&sim, SLOW);
  sim_wait_applied (&sim, SLOW, sim_commit (&sim, 5 * SIM_S), SIM_S);
  g_assert_cmpuint (total_entry_bytes (&sim, SLOW) - before, >=, 40 * KB);
  sim_finish (&sim);
}

/* Guards against a voter that syncs an entry after the quorum did, and learns of the commit only with the
 * next heartbeat: as long as a node waits for a view that it confirms. */
static void
test_late_voter (void)
{
  for (uint32_t seed = 60; seed < 70; seed++)
    {
      sim_t sim;
      unsigned late;

      setup (&sim, seed);
      late = (sim_leader (&sim)->slot + 1) % 3;
      for (unsigned slot = 0; slot < 3; slot++)
        sim.nodes[slot].sync_us = slot == late ? 20 * SIM_MS : SIM_MS;
      for (unsigned i = 0; i < 10; i++)
        {
          sim_run (&sim, 33 * SIM_MS);
          sim_wait_applied (&sim, late, sim_commit (&sim, SIM_S), 25 * SIM_MS);
        }
      sim_finish (&sim);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/raft-flow/slow-link", test_slow_link);
  g_test_add_func ("/raft-flow/unreachable", test_unreachable);
  g_test_add_func ("/raft-flow/slow-sync", test_slow_sync);
  g_test_add_func ("/raft-flow/heartbeats-pass", test_heartbeats_pass);
  g_test_add_func ("/raft-flow/snapshot", test_snapshot_to_slow_replica);
  g_test_add_func ("/raft-flow/compression", test_compression);
  g_test_add_func ("/raft-flow/late-voter", test_late_voter);
  return g_test_run ();
}
