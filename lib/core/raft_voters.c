#include "core/raft_private.h"

/* How a leader keeps the voters: which learner is promoted, and which voter it replaces. */

static const oh_raft_replica_t *
find_voter_named (const GPtrArray *replicas, const char *name)
{
  for (unsigned i = 0; i < replicas->len; i++)
    {
      const oh_raft_replica_t *replica = replicas->pdata[i];

      if (replica->role == OH__REPLICA_ROLE__REPLICA_VOTER && g_str_equal (replica->name, name))
        return replica;
    }
  return NULL;
}

static bool
is_leaving (oh_raft_t *raft, uint64_t id)
{
  const oh_raft_peer_t *peer = oh_raft_find_peer (raft, id);

  return id == raft->self->id ? raft->leaving : peer != NULL && peer->leaving;
}

static bool
caught_up (oh_raft_t *raft, uint64_t id)
{
  const oh_raft_peer_t *peer = oh_raft_find_peer (raft, id);

  return peer != NULL && peer->match_index >= raft->commit && oh_raft_in_contact (raft, id);
}

static bool
is_caught_up_learner (oh_raft_t *raft, const oh_raft_replica_t *replica)
{
  return replica->role == OH__REPLICA_ROLE__REPLICA_LEARNER && caught_up (raft, replica->id)
         && !is_leaving (raft, replica->id);
}

static oh_raft_replica_t *
find_leaving_voter (oh_raft_t *raft, const GPtrArray *replicas)
{
  for (unsigned i = 0; i < replicas->len; i++)
    {
      oh_raft_replica_t *replica = replicas->pdata[i];

      if (replica->role == OH__REPLICA_ROLE__REPLICA_VOTER && is_leaving (raft, replica->id))
        return replica;
    }
  return NULL;
}

/* The voter other than this replica that has been out of contact longest; NULL if there is no other. */
static oh_raft_replica_t *
find_longest_silent_voter (oh_raft_t *raft, const GPtrArray *replicas)
{
  oh_raft_replica_t *found = NULL;

  for (unsigned i = 0; i < replicas->len; i++)
    {
      oh_raft_replica_t *replica = replicas->pdata[i];

      if (replica->role == OH__REPLICA_ROLE__REPLICA_VOTER && replica->id != raft->self->id
          && (found == NULL
              || oh_raft_contact_age_us (raft, replica->id) > oh_raft_contact_age_us (raft, found->id)))
        found = replica;
    }
  return found;
}

static oh_raft_replica_t *
find_caught_up_learner (oh_raft_t *raft, const GPtrArray *replicas)
{
  for (unsigned i = 0; i < replicas->len; i++)
    if (is_caught_up_learner (raft, replicas->pdata[i]))
      return replicas->pdata[i];
  return NULL;
}

/* The voter to be replaced: one that is being stopped, otherwise the one that has been out of contact
 * longest. *lost is set if it is being stopped or has been out of contact for OH_RAFT_VOTER_TIMEOUT_US. */
static oh_raft_replica_t *
find_voter_to_replace (oh_raft_t *raft, const GPtrArray *replicas, bool *lost)
{
  oh_raft_replica_t *voter = find_leaving_voter (raft, replicas);

  *lost = voter != NULL;
  if (voter != NULL)
    return voter;
  voter = find_longest_silent_voter (raft, replicas);
  *lost = voter != NULL && oh_raft_contact_age_us (raft, voter->id) > OH_RAFT_VOTER_TIMEOUT_US;
  return voter;
}

/*
 * Appends the same set again after two voters have become more (see raft_quorum.c). Otherwise
 * appends the next change towards target_voters voters: promotes a learner while voters are missing or one of
 * them is lost, and demotes the voter that is to be replaced while there are too many. A lost voter is
 * demoted only after the learner that takes its place is a voter. The other way round, the smaller set in
 * between would not survive the loss of a disk, although the silent voter still has its own.
 */
static void
maintain_voter_count (oh_raft_t *raft)
{
  const unsigned voters = oh_raft_replicas_count (raft->replicas, OH__REPLICA_ROLE__REPLICA_VOTER);
  g_autoptr (GPtrArray) replicas = oh_raft_replicas_copy (raft->replicas);
  oh_raft_replica_t *learner = find_caught_up_learner (raft, replicas);
  bool lost;
  oh_raft_replica_t *replaced = find_voter_to_replace (raft, replicas, &lost);

  if (oh_raft_check_change (raft) != OH_RAFT_PROPOSED)
    return;
  if (oh_raft_is_growth_of_two (raft))
    {
      oh_raft_append_replica_set (raft, g_steal_pointer (&replicas));
      return;
    }
  if (voters > raft->target_voters && replaced != NULL)
    {
      oh_raft_log_line (raft, "raft-demote", "name=%s replica=%016" PRIx64 " leaving=%d silent_ms=%" PRId64,
                        replaced->name, replaced->id, is_leaving (raft, replaced->id),
                        oh_raft_contact_age_us (raft, replaced->id) / 1000);
      replaced->role = OH__REPLICA_ROLE__REPLICA_LEARNER;
    }
  else if (learner != NULL && (voters < raft->target_voters || (voters == raft->target_voters && lost)))
    {
      oh_raft_log_line (raft, "raft-promote", "name=%s learner=%016" PRIx64, learner->name, learner->id);
      learner->role = OH__REPLICA_ROLE__REPLICA_VOTER;
    }
  else
    return;
  oh_raft_append_replica_set (raft, g_steal_pointer (&replicas));
}

void
oh_raft_adjust_voters (oh_raft_t *raft)
{
  for (unsigned i = 0; i < raft->replicas->len; i++)
    {
      const oh_raft_replica_t *learner = raft->replicas->pdata[i];
      const oh_raft_replica_t *former;
      GPtrArray *replicas;

      if (learner->role != OH__REPLICA_ROLE__REPLICA_LEARNER || !caught_up (raft, learner->id)
          || oh_raft_check_change (raft) != OH_RAFT_PROPOSED)
        continue;
      former = find_voter_named (raft->replicas, learner->name);
      if (former == NULL && raft->target_voters > 0)
        continue;
      replicas = oh_raft_replicas_copy (raft->replicas);
      former = find_voter_named (replicas, learner->name);
      if (former != NULL)
        {
          oh_raft_log_line (raft, "raft-replace", "name=%s former=%016" PRIx64 " learner=%016" PRIx64,
                            learner->name, former->id, learner->id);
          g_ptr_array_remove (replicas, (void *)former);
        }
      else
        {
          oh_raft_log_line (raft, "raft-promote", "name=%s learner=%016" PRIx64, learner->name, learner->id);
          oh_raft_replicas_find (replicas, learner->id)->role = OH__REPLICA_ROLE__REPLICA_VOTER;
        }
      oh_raft_append_replica_set (raft, replicas);
      return;
    }
  if (raft->target_voters > 0)
    maintain_voter_count (raft);
}
