#pragma once

#include "base/seeded_random.h"
#include "core/raft.h"

/*
 * Raft replicas in one process: virtual clock, seeded network faults, and disks that lose what was not
 * synced. The simulation checks after every event that a term has one leader, that a new leader holds every
 * committed entry, and that no two replicas apply different entries at an index.
 */

enum
{
  SIM_NODES_MAX = 6,
  SIM_MS = 1000,
  SIM_S = 1000000,
};

typedef struct sim sim_t;

typedef struct
{
  oh_raft_sink_t sink; /* first member */
  sim_t *sim;
  unsigned slot;
  char *name;
  char *endpoint;
  bool alive;
  bool join;
  bool observer; /* nothing is on disk */
  bool started;  /* once at least */
  bool isolated;
  bool disk_full;
  int64_t sync_us;     /* time a persist request takes; 0: random up to 5 ms */
  oh_recovered_t disk; /* id 0: no data folder */
  oh_raft_t raft;
  oh_persist_t *request; /* being written */
  int64_t request_due_us;
  int64_t timer_us;
  uint64_t applied;
  uint64_t digest; /* over the applied entries */
  bool snapshot_wanted;
  unsigned snapshots_taken;
  unsigned snapshots_installed;
  unsigned changes;                   /* calls of changed */
  oh_raft_proposal_result_t proposal; /* last result */
  uint64_t proposal_index;
  uint64_t proposal_term;
} sim_node_t;

struct sim
{
  oh_seeded_random_t random;
  uint32_t seed;
  int64_t now_us;
  unsigned n_initial;
  unsigned compact_entries;
  unsigned target_voters; /* that the leader keeps up; 0: as operators say */
  unsigned loss_percent;
  unsigned duplicate_percent;
  size_t snapshot_bytes; /* added to the state, so that a transfer takes several chunks */
  int64_t delay_us;      /* greatest delay of a message */
  sim_node_t nodes[SIM_NODES_MAX];
  GPtrArray *messages;
  GArray *terms;       /* of uint64_t: terms of the applied entries, by index */
  GArray *digests;     /* of uint64_t: digest after each applied entry */
  GHashTable *leaders; /* term to replica id */
  uint64_t next_command;
};

void sim_init (sim_t *sim, uint32_t seed, unsigned n_initial);
void sim_init_voters (sim_t *sim, uint32_t seed, unsigned n_initial, unsigned target_voters);
void sim_finish (sim_t *sim);
void sim_run (sim_t *sim, int64_t duration_us);
void sim_start (sim_t *sim, unsigned slot);

/* What is being written is lost or completed at random. */
void sim_crash (sim_t *sim, unsigned slot);
void sim_lose_disk (sim_t *sim, unsigned slot);

/* The live, not isolated leader of the highest term; NULL if none. */
sim_node_t *sim_leader (sim_t *sim);

/* Runs until a leader has committed in its term; fails the test if that takes longer than limit_us. */
sim_node_t *sim_wait_leader (sim_t *sim, int64_t limit_us);

/* Proposes a unique command at the node. */
oh_raft_proposal_result_t sim_propose (sim_t *sim, sim_node_t *node);
oh_raft_proposal_result_t sim_change (sim_t *sim, sim_node_t *node, oh_raft_event_kind_t kind, unsigned slot);

/* Proposes at the leader, and again after a change of leader, until it is applied there; returns the index.
 */
uint64_t sim_commit (sim_t *sim, int64_t limit_us);

/* Runs until the node has applied index. */
void sim_wait_applied (sim_t *sim, unsigned slot, uint64_t index, int64_t limit_us);

/* Runs until there is a leader and every live replica of its set agrees that slot's present id has the role,
 * or has none with role -1. */
void sim_wait_role (sim_t *sim, unsigned slot, int role, int64_t limit_us);

/* Asserts that logs agree wherever two replicas hold an entry of the same index and term. */
void sim_check_logs (sim_t *sim);
