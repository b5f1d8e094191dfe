#include "core/raft_private.h"

/*
 * Quorums. Of two voters, one is a quorum if the disk of the other is known to be lost: it holds all that was
 * committed, and no other quorum can be formed without it. So a cluster that has two voters survives the loss
 * of one disk, like one of three.
 *
 * The change to three voters may then be known to a majority of the three only, without that one. Until it is
 * committed, all decisions need a quorum of the two voters, too. As a restarted replica does not know what is
 * committed, the leader then appends the same set again, and accepts no command before: a replica that holds
 * the second entry knows it of the first.
 *
 * From three voters or two the leader removes only one whose disk is lost. A removed one that can vote might
 * form a majority of the three together with a late vote of the lost one. models/agreement.pml checks these
 * rules.
 */

static bool
is_disk_lost (const oh_raft_t *raft, uint64_t id)
{
  for (unsigned i = 0; i < raft->lost_ids->len; i++)
    if (g_array_index (raft->lost_ids, uint64_t, i) == id)
      return true;
  return false;
}

/* True if the replica is in the latest set or the one before. */
static bool
is_known (const oh_raft_t *raft, uint64_t id)
{
  return oh_raft_replicas_find (raft->replicas, id) != NULL
         || (raft->previous_replicas != NULL && oh_raft_replicas_find (raft->previous_replicas, id) != NULL);
}

bool
oh_raft_add_lost_disk (oh_raft_t *raft, uint64_t id)
{
  if (!is_known (raft, id) || is_disk_lost (raft, id))
    return false;
  g_array_append_val (raft->lost_ids, id);
  return true;
}

void
oh_raft_prune_lost_disks (oh_raft_t *raft)
{
  for (unsigned i = raft->lost_ids->len; i > 0; i--)
    if (!is_known (raft, g_array_index (raft->lost_ids, uint64_t, i - 1)))
      g_array_remove_index (raft->lost_ids, i - 1);
}

static int
compare_descending (const void *a, const void *b)
{
  const int64_t left = *(const int64_t *)a;
  const int64_t right = *(const int64_t *)b;

  return left < right ? 1 : left > right ? -1 : 0;
}

static bool
is_voter_of (const GPtrArray *replicas, uint64_t id)
{
  const oh_raft_replica_t *replica = oh_raft_replicas_find (replicas, id);

  return replica != NULL && replica->role == OH__REPLICA_ROLE__REPLICA_VOTER;
}

bool
oh_raft_counts_as_voter (const oh_raft_t *raft, uint64_t id)
{
  return is_voter_of (raft->replicas, id)
         || (raft->replicas_index > raft->commit && raft->previous_replicas != NULL
             && is_voter_of (raft->previous_replicas, id));
}

bool
oh_raft_is_growth_of_two (const oh_raft_t *raft)
{
  return raft->target_voters > 0 && raft->previous_replicas != NULL
         && oh_raft_replicas_count (raft->previous_replicas, OH__REPLICA_ROLE__REPLICA_VOTER) == 2
         && oh_raft_replicas_count (raft->replicas, OH__REPLICA_ROLE__REPLICA_VOTER) > 2;
}

bool
oh_raft_needs_previous_set (const oh_raft_t *raft)
{
  return raft->replicas_index > raft->commit && oh_raft_is_growth_of_two (raft);
}

typedef int64_t (*voter_value_t) (const oh_raft_t *raft, uint64_t id);

static int64_t
quorum_value_of (const oh_raft_t *raft, const GPtrArray *replicas, voter_value_t value)
{
  int64_t values[OH_RAFT_REPLICAS_MAX];
  int64_t with_disk = 0; /* value of the last voter whose disk is not lost */
  unsigned n = 0;
  unsigned n_lost = 0;

  for (unsigned i = 0; i < replicas->len; i++)
    {
      const oh_raft_replica_t *replica = replicas->pdata[i];

      if (replica->role != OH__REPLICA_ROLE__REPLICA_VOTER)
        continue;
      values[n] = value (raft, replica->id);
      if (is_disk_lost (raft, replica->id))
        n_lost++;
      else
        with_disk = values[n];
      n++;
    }
  if (n == 0)
    return 0;
  if (n == 2 && n_lost == 1)
    return with_disk;
  qsort (values, n, sizeof *values, compare_descending);
  return values[n / 2];
}

int64_t
oh_raft_quorum_value (const oh_raft_t *raft, voter_value_t value)
{
  const int64_t latest = quorum_value_of (raft, raft->replicas, value);

  return oh_raft_needs_previous_set (raft)
           ? MIN (latest, quorum_value_of (raft, raft->previous_replicas, value))
           : latest;
}
