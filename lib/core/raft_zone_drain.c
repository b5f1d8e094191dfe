#include <xxhash.h>

#include "core/raft_private.h"

/*
 * Which replicas of the set understand drains of availability zones. A replica of an earlier release applies
 * such a change as an invalid one, so that its state differs from then on; the leader therefore accepts one
 * only if all replicas of the set have said in an AppendReply that they understand it.
 *
 * The leader sends its record to the others in its append requests. A new leader therefore accepts the change
 * although a replica, for instance the former leader, has stopped and cannot report again.
 */

static unsigned
position_of (const oh_raft_t *raft, uint64_t id)
{
  for (unsigned i = 0; i < raft->zone_drain_ids->len; i++)
    if (g_array_index (raft->zone_drain_ids, uint64_t, i) == id)
      return i;
  return raft->zone_drain_ids->len;
}

static bool
understands (const oh_raft_t *raft, uint64_t id)
{
  return id != 0 && (id == raft->self->id || position_of (raft, id) < raft->zone_drain_ids->len);
}

void
oh_raft_update_zone_drain_set (oh_raft_t *raft)
{
  g_autoptr (GBytes) bytes = oh_raft_replicas_encode (raft->replicas);
  gsize length;
  const void *data = g_bytes_get_data (bytes, &length);

  raft->set_digest = MAX (XXH64 (data, length, 0), 1);
  for (unsigned i = raft->zone_drain_ids->len; i > 0; i--)
    if (oh_raft_replicas_find (raft->replicas, g_array_index (raft->zone_drain_ids, uint64_t, i - 1)) == NULL)
      g_array_remove_index (raft->zone_drain_ids, i - 1);
}

void
oh_raft_record_zone_drain (oh_raft_t *raft, uint64_t id, bool understood)
{
  const unsigned position = position_of (raft, id);
  const bool known = position < raft->zone_drain_ids->len;

  if (understood && !known)
    g_array_append_val (raft->zone_drain_ids, id);
  else if (!understood && known)
    g_array_remove_index (raft->zone_drain_ids, position);
}

void
oh_raft_fill_zone_drain (const oh_raft_t *raft, Oh__AppendRequest *request)
{
  G_STATIC_ASSERT (OH_RAFT_REPLICAS_MAX <= 32);
  request->set_digest = raft->set_digest;
  for (unsigned i = 0; i < raft->replicas->len; i++)
    if (understands (raft, ((const oh_raft_replica_t *)raft->replicas->pdata[i])->id))
      request->drains_zones |= 1U << i;
}

void
oh_raft_adopt_zone_drain (oh_raft_t *raft, const Oh__AppendRequest *request)
{
  if (request->set_digest != raft->set_digest)
    return;
  for (unsigned i = 0; i < raft->replicas->len; i++)
    oh_raft_record_zone_drain (raft, ((const oh_raft_replica_t *)raft->replicas->pdata[i])->id,
                               (request->drains_zones & 1U << i) != 0);
}

/* True if the replica is a non-voter without contact for OH_RAFT_VOTER_TIMEOUT_US. A failed non-voter stays
 * in the set until its place is needed, and once all other replicas have restarted, no record says whether it
 * understands drains. It must not prevent them for good, so it counts like a replica that joins later. */
static bool
is_lost_learner (const oh_raft_t *raft, const oh_raft_replica_t *replica)
{
  const oh_raft_peer_t *peer = oh_raft_find_peer (raft, replica->id);

  /* A replica that was just added has had no contact yet. */
  return replica->role != OH__REPLICA_ROLE__REPLICA_VOTER && peer != NULL
         && raft->now_us - MAX (peer->contact_us, peer->added_us) > OH_RAFT_VOTER_TIMEOUT_US;
}

const char *
oh_raft_find_without_zone_drain (const oh_raft_t *raft)
{
  for (unsigned i = 0; i < raft->replicas->len; i++)
    {
      const oh_raft_replica_t *replica = raft->replicas->pdata[i];

      if (!understands (raft, replica->id) && !is_lost_learner (raft, replica))
        return replica->name;
    }
  return NULL;
}
