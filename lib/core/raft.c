#include "core/raft.h"

#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include "core/raft_private.h"

enum
{
  COMPACT_BYTES = 4 * 1024 * 1024,  /* size of the log entries at which a snapshot is taken */
  LOG_MAX_BYTES = 16 * 1024 * 1024, /* half the greatest storage record */
};

static const uint64_t no_index = UINT64_MAX;

/* Shared with the other raft*.c files. */

void
oh_raft_log_line (oh_raft_t *raft, const char *event, const char *format, ...)
{
  char pairs[512];
  int prefix = g_snprintf (pairs, sizeof pairs, "replica=%s id=%016" PRIx64 " term=%" PRIu64 " ",
                           raft->self->name, raft->self->id, raft->hard.term);
  va_list args;

  va_start (args, format);
  g_vsnprintf (pairs + prefix, sizeof pairs - (size_t)prefix, format, args);
  va_end (args);
  raft->sink->ops->log (raft->sink, event, pairs);
}

bool
oh_raft_is_voter (const oh_raft_t *raft, uint64_t id)
{
  const oh_raft_replica_t *replica = oh_raft_replicas_find (raft->replicas, id);

  return replica != NULL && replica->role == OH__REPLICA_ROLE__REPLICA_VOTER;
}

oh_raft_peer_t *
oh_raft_find_peer (const oh_raft_t *raft, uint64_t id)
{
  for (unsigned i = 0; i < raft->peers->len; i++)
    {
      oh_raft_peer_t *peer = &g_array_index (raft->peers, oh_raft_peer_t, i);

      if (peer->id == id)
        return peer;
    }
  return NULL;
}

oh_raft_replica_t *
oh_raft_sender_new (const Oh__RaftMessage *message)
{
  return oh_raft_replica_new (message->from_name, message->from, message->from_endpoint,
                              OH__REPLICA_ROLE__REPLICA_LEARNER);
}

void
oh_raft_send (oh_raft_t *raft, const oh_raft_replica_t *to, uint64_t term, Oh__RaftMessage *message)
{
  message->cluster = raft->hard.cluster;
  message->from = raft->self->id;
  message->from_name = raft->self->name;
  message->from_endpoint = raft->self->endpoint;
  message->to = to->id;
  message->term = term;
  raft->sink->ops->send (raft->sink, to, message);
}

void
oh_raft_append_entry (oh_raft_t *raft, oh_entry_t *entry)
{
  const uint64_t index = entry->index;
  const bool replicas = entry->kind == OH_ENTRY_REPLICAS;

  oh_raft_log_append (&raft->log, entry);
  raft->dirty_from = MIN (raft->dirty_from, index);
  if (replicas)
    oh_raft_load_replicas (raft);
}

void
oh_raft_truncate (oh_raft_t *raft, uint64_t index)
{
  g_assert (index > raft->commit);
  oh_raft_log_truncate (&raft->log, index);
  raft->dirty_from = MIN (raft->dirty_from, index);
  if (raft->replicas_index >= index)
    oh_raft_load_replicas (raft);
}

static void
update_peers (oh_raft_t *raft)
{
  GArray *peers = g_array_new (FALSE, TRUE, sizeof (oh_raft_peer_t));

  for (unsigned i = 0; i < raft->replicas->len; i++)
    {
      const oh_raft_replica_t *replica = raft->replicas->pdata[i];
      const oh_raft_peer_t *old = oh_raft_find_peer (raft, replica->id);
      oh_raft_peer_t peer = {
        .id = replica->id,
        .next_index = oh_raft_log_last_index (&raft->log) + 1,
        .added_us = raft->now_us,
      };

      if (replica->id == 0 || replica->id == raft->self->id)
        continue;
      if (old != NULL)
        peer = *old;
      g_array_append_val (peers, peer);
    }
  g_array_unref (raft->peers);
  raft->peers = peers;
}

void
oh_raft_load_replicas (oh_raft_t *raft)
{
  uint64_t index = 0;
  uint64_t previous_index = 0;
  GBytes *bytes = oh_raft_log_replicas (&raft->log, oh_raft_log_last_index (&raft->log), &index);
  GPtrArray *replicas = bytes != NULL ? oh_raft_replicas_decode (bytes) : oh_raft_replicas_new ();

  /* The bytes were checked when they were received or recovered. */
  g_assert (replicas != NULL);
  g_ptr_array_unref (raft->replicas);
  raft->replicas = replicas;
  g_clear_pointer (&raft->previous_replicas, g_ptr_array_unref);
  bytes = index > 0 ? oh_raft_log_replicas (&raft->log, index - 1, &previous_index) : NULL;
  if (bytes != NULL)
    raft->previous_replicas = oh_raft_replicas_decode (bytes);
  raft->replicas_index = index;
  raft->report_change_pending = true;
  raft->reply_nonce++;
  oh_raft_prune_lost_disks (raft);
  oh_raft_update_zone_drain_set (raft);
  update_peers (raft);
}

void
oh_raft_set_leader (oh_raft_t *raft, oh_raft_replica_t *leader)
{
  const uint64_t old = raft->leader != NULL ? raft->leader->id : 0;

  if (old != (leader != NULL ? leader->id : 0))
    raft->report_change_pending = true;
  raft->first_election_done |= leader != NULL;
  oh_raft_replica_free (raft->leader);
  raft->leader = leader;
}

void
oh_raft_set_cluster (oh_raft_t *raft, uint64_t cluster)
{
  raft->hard.cluster = cluster;
  raft->dirty_hard = true;
  raft->role = OH_RAFT_FOLLOWER;
  raft->report_change_pending = true;
  oh_raft_reset_election_timer (raft);
  oh_raft_log_line (raft, "raft-cluster", "cluster=%016" PRIx64, cluster);
}

void
oh_raft_apply_committed (oh_raft_t *raft)
{
  const uint64_t limit = MIN (raft->commit, oh_raft_durable_index (raft));

  /* Only durable state is applied, so that a restart does not roll back the applied state. */
  if (raft->log.snapshot.index > raft->applied)
    {
      if (raft->dirty_snapshot || raft->persist_snapshot)
        return;
      raft->sink->ops->install (raft->sink, &raft->log.snapshot);
      raft->applied = raft->log.snapshot.index;
    }
  while (raft->applied < limit)
    {
      raft->applied++;
      raft->sink->ops->apply (raft->sink, oh_raft_log_get (&raft->log, raft->applied));
    }
  if (raft->snapshot_requested || raft->storage_full || raft->applied == raft->log.snapshot.index)
    return;
  if (raft->applied - raft->log.snapshot.index >= raft->compact_entries || raft->log.bytes >= COMPACT_BYTES)
    {
      raft->snapshot_requested = true;
      raft->sink->ops->take_snapshot (raft->sink, raft->applied);
    }
}

/* Events. */

static void
on_start (oh_raft_t *raft, const oh_raft_event_t *event)
{
  const oh_recovered_state_t *recovered = event->start.recovered;

  raft->self = oh_raft_replica_new (recovered->name, recovered->id, event->start.endpoint,
                                    OH__REPLICA_ROLE__REPLICA_VOTER);
  for (size_t i = 0; i < event->start.n_initial; i++)
    {
      const oh_raft_replica_t *replica = &event->start.initial[i];
      const uint64_t id = g_str_equal (replica->name, recovered->name) ? recovered->id : 0;

      oh_raft_replicas_add (raft->known_replicas, oh_raft_replica_new (replica->name, id, replica->endpoint,
                                                                       OH__REPLICA_ROLE__REPLICA_VOTER));
    }
  raft->join = event->start.join;
  raft->started_us = raft->now_us;
  raft->target_voters = event->start.target_voters;
  raft->observer = event->start.observer;
  raft->may_bootstrap = event->start.may_bootstrap && raft->target_voters > 0 && recovered->hard.cluster == 0;
  raft->first_seed
    = event->start.n_initial > 0 && g_str_equal (event->start.initial[0].name, recovered->name);
  raft->hello_nonce = oh_random_u64 (raft->random);
  raft->reply_nonce = raft->hello_nonce;
  raft->compact_entries
    = event->start.compact_entries > 0 ? event->start.compact_entries : OH_RAFT_COMPACT_ENTRIES;
  raft->hard = recovered->hard;
  if (recovered->snapshot.index > 0)
    oh_raft_log_set_snapshot (&raft->log, &recovered->snapshot);
  for (unsigned i = 0; i < recovered->entries->len; i++)
    {
      const oh_entry_t *entry = recovered->entries->pdata[i];

      oh_raft_log_append (&raft->log, oh_entry_new (entry->index, entry->term, entry->kind, entry->data));
    }
  /* A crash between writing the snapshot and the log record of one request leaves the older hard state. */
  if (oh_raft_log_last_term (&raft->log) > raft->hard.term)
    {
      raft->hard.term = oh_raft_log_last_term (&raft->log);
      raft->hard.voted_for = 0;
      raft->dirty_hard = true;
    }
  else
    raft->durable_term = raft->hard.term;
  raft->commit = raft->log.snapshot.index;
  oh_raft_load_replicas (raft);
  raft->role = raft->hard.cluster != 0 ? OH_RAFT_FOLLOWER : OH_RAFT_UNFORMED;
  raft->hello_due_us = raft->now_us;
  oh_raft_reset_election_timer (raft);
  oh_raft_log_line (raft, "raft-start", "role=%s last=%" PRIu64 " snapshot=%" PRIu64 " cluster=%016" PRIx64,
                    oh_raft_role_name (raft->role), oh_raft_log_last_index (&raft->log),
                    raft->log.snapshot.index, raft->hard.cluster);
  if (raft->first_seed && raft->may_bootstrap && !raft->observer && raft->role == OH_RAFT_UNFORMED)
    oh_raft_bootstrap (raft);
  oh_raft_try_form_cluster (raft);
  oh_raft_apply_committed (raft);
}

/* True if the message belongs to this cluster. A replica without a cluster joins that of the sender. */
static bool
accept_cluster (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  if (message->cluster == 0)
    return false;
  if (raft->role == OH_RAFT_UNFORMED)
    {
      /* The message is addressed to the id of this replica: the sender's cluster has it as a member, and ids
       * are random, so no other cluster has it. */
      oh_raft_set_cluster (raft, message->cluster);
      return true;
    }
  return message->cluster == raft->hard.cluster;
}

static void
on_message (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const bool addressed = message->to == raft->self->id;

  if (message->from == 0 || message->from == raft->self->id)
    return;
  oh_raft_add_known_sender (raft, message);
  switch (message->body_case)
    {
    case OH__RAFT_MESSAGE__BODY_HELLO:
      oh_raft_on_hello (raft, message);
      break;
    case OH__RAFT_MESSAGE__BODY_HELLO_REPLY:
      if (addressed)
        oh_raft_on_hello_reply (raft, message);
      break;
    case OH__RAFT_MESSAGE__BODY_VOTE_REQUEST:
      if (addressed && accept_cluster (raft, message))
        oh_raft_on_vote_request (raft, message);
      break;
    case OH__RAFT_MESSAGE__BODY_VOTE_REPLY:
      if (addressed && message->cluster == raft->hard.cluster)
        oh_raft_on_vote_reply (raft, message);
      break;
    case OH__RAFT_MESSAGE__BODY_APPEND_REQUEST:
      if (addressed && accept_cluster (raft, message))
        oh_raft_on_append_request (raft, message);
      break;
    case OH__RAFT_MESSAGE__BODY_APPEND_REPLY:
      if (addressed && message->cluster == raft->hard.cluster)
        oh_raft_on_append_reply (raft, message);
      break;
    case OH__RAFT_MESSAGE__BODY_SNAPSHOT_REQUEST:
      if (addressed && accept_cluster (raft, message))
        oh_raft_on_snapshot_request (raft, message);
      break;
    case OH__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
      if (addressed && message->cluster == raft->hard.cluster)
        oh_raft_on_snapshot_reply (raft, message);
      break;
    case OH__RAFT_MESSAGE__BODY__NOT_SET:
    case _OH__RAFT_MESSAGE__BODY__CASE_IS_INT_SIZE:
      break;
    }
}

/* True if a command that is committed now survives the loss of disks. With fewer voters than target_voters it
 * may need each of them; for a change of two voters see raft_quorum.c. */
static bool
has_enough_voters (const oh_raft_t *raft)
{
  const unsigned voters = oh_raft_replicas_count (raft->replicas, OH__REPLICA_ROLE__REPLICA_VOTER);
  const unsigned lost_disks = raft->target_voters / 2;

  if (oh_raft_is_growth_of_two (raft))
    return false;
  if (voters >= raft->target_voters)
    return true;
  return voters > lost_disks && raft->now_us - raft->started_us >= OH_RAFT_FULL_SET_WAIT_US;
}

static oh_raft_proposal_result_t
propose (oh_raft_t *raft, GBytes *data)
{
  if (raft->role != OH_RAFT_LEADER)
    return raft->storage_full ? OH_RAFT_STORAGE_FULL : OH_RAFT_NOT_LEADER;
  if (g_bytes_get_size (data) > OH_RAFT_COMMAND_MAX_BYTES)
    return OH_RAFT_CHANGE_INVALID;
  if (raft->target_voters > 0 && !has_enough_voters (raft))
    return OH_RAFT_NOT_READY;
  oh_raft_append_entry (
    raft, oh_entry_new (oh_raft_log_last_index (&raft->log) + 1, raft->hard.term, OH_ENTRY_COMMAND, data));
  raft->broadcast_pending = true;
  return OH_RAFT_PROPOSED;
}

static void
answer_proposal (oh_raft_t *raft, uint64_t tag, oh_raft_proposal_result_t result)
{
  const bool appended = result == OH_RAFT_PROPOSED;

  raft->sink->ops->proposed (raft->sink, tag, result, appended ? oh_raft_log_last_index (&raft->log) : 0,
                             appended ? raft->hard.term : 0);
}

static void
on_timer (oh_raft_t *raft)
{
  switch (raft->role)
    {
    case OH_RAFT_UNFORMED:
      oh_raft_hello_tick (raft);
      break;
    case OH_RAFT_FOLLOWER:
    case OH_RAFT_CANDIDATE:
      oh_raft_hello_tick (raft);
      oh_raft_election_tick (raft);
      break;
    case OH_RAFT_LEADER:
      oh_raft_hello_tick (raft);
      oh_raft_leader_tick (raft);
      break;
    case OH_RAFT_FAILED:
      break;
    }
}

static int64_t
next_timer_us (const oh_raft_t *raft)
{
  int64_t due_us = INT64_MAX;

  switch (raft->role)
    {
    case OH_RAFT_UNFORMED:
      due_us = raft->hello_due_us;
      break;
    case OH_RAFT_FOLLOWER:
      due_us = MIN (raft->hello_due_us, raft->election_due_us);
      break;
    case OH_RAFT_CANDIDATE:
      due_us = MIN (MIN (raft->hello_due_us, raft->election_due_us), raft->votes_due_us);
      break;
    case OH_RAFT_LEADER:
      due_us = raft->heartbeat_due_us;
      break;
    case OH_RAFT_FAILED:
      return due_us;
    }
  if (raft->storage_full && !raft->persist_outstanding)
    due_us = MIN (due_us, raft->storage_retry_due_us);
  return due_us;
}

void
oh_raft_handle (oh_raft_t *raft, const oh_raft_event_t *event, oh_raft_sink_t *sink)
{
  const oh_raft_role_t role = raft->role;
  const uint64_t term = raft->hard.term;
  bool confirmed;

  raft->sink = sink;
  raft->now_us = MAX (raft->now_us, event->now_us);
  raft->broadcast_pending = false;
  raft->adjust_voters_pending = false;
  confirmed = oh_raft_confirmed (raft, raft->now_us);
  if (raft->role == OH_RAFT_FAILED)
    return;
  switch (event->kind)
    {
    case OH_RAFT_START:
      on_start (raft, event);
      break;
    case OH_RAFT_TIMER:
      raft->armed_timer_us = INT64_MIN;
      on_timer (raft);
      break;
    case OH_RAFT_MESSAGE:
      on_message (raft, event->message);
      break;
    case OH_RAFT_PROPOSE:
      answer_proposal (raft, event->propose.tag, propose (raft, event->propose.data));
      break;
    case OH_RAFT_ADD_REPLICA:
      answer_proposal (raft, event->membership.tag,
                       oh_raft_add_replica (raft, event->membership.name, event->membership.endpoint));
      break;
    case OH_RAFT_REMOVE_REPLICA:
      answer_proposal (raft, event->membership.tag, oh_raft_remove_replica (raft, event->membership.name));
      break;
    case OH_RAFT_SEEDS:
      oh_raft_add_seeds (raft, event->seeds.seeds, event->seeds.n_seeds);
      break;
    case OH_RAFT_LEAVE:
      raft->leaving = true;
      raft->adjust_voters_pending = true;
      break;
    case OH_RAFT_SYNCED:
      oh_raft_on_synced (raft, event->persist.id);
      break;
    case OH_RAFT_STORAGE_FAILED:
      oh_raft_on_storage_failed (raft, event->persist.id, event->persist.full);
      break;
    case OH_RAFT_SNAPSHOT_READY:
      oh_raft_on_snapshot_ready (raft, event->snapshot.index, event->snapshot.data);
      break;
    }
  if (raft->role == OH_RAFT_LEADER && raft->adjust_voters_pending)
    oh_raft_adjust_voters (raft);
  if (raft->role == OH_RAFT_LEADER && raft->broadcast_pending)
    oh_raft_broadcast (raft);
  if (raft->role != OH_RAFT_FAILED)
    oh_raft_issue_persist (raft);

  const int64_t due_us = next_timer_us (raft);
  if (due_us != raft->armed_timer_us)
    {
      raft->armed_timer_us = due_us;
      sink->ops->arm_timer (sink, due_us);
    }
  if (raft->report_change_pending || role != raft->role || term != raft->hard.term
      || confirmed != oh_raft_confirmed (raft, raft->now_us))
    {
      raft->report_change_pending = false;
      sink->ops->changed (sink);
    }
}

void
oh_raft_init (oh_raft_t *raft, oh_random_t *random)
{
  *raft = (oh_raft_t){
    .random = random,
    .known_replicas = oh_raft_replicas_new (),
    .agreeing_ids = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL),
    .replicas = oh_raft_replicas_new (),
    .lost_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
    .zone_drain_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
    .peers = g_array_new (FALSE, TRUE, sizeof (oh_raft_peer_t)),
    .persist_from = no_index,
    .dirty_from = no_index,
    .armed_timer_us = INT64_MIN,
    .pending_messages = G_QUEUE_INIT,
  };
  oh_raft_log_init (&raft->log);
  oh_entry_packer_init (&raft->packer);
}

void
oh_raft_finish (oh_raft_t *raft)
{
  oh_raft_replica_free (raft->self);
  oh_raft_replica_free (raft->leader);
  g_ptr_array_unref (raft->known_replicas);
  g_hash_table_unref (raft->agreeing_ids);
  g_ptr_array_unref (raft->replicas);
  g_clear_pointer (&raft->previous_replicas, g_ptr_array_unref);
  g_array_unref (raft->lost_ids);
  g_array_unref (raft->zone_drain_ids);
  g_array_unref (raft->peers);
  g_queue_clear_full (&raft->pending_messages, oh_raft_pending_message_free);
  oh_snapshot_clear (&raft->incoming_snapshot);
  g_clear_pointer (&raft->incoming_snapshot_data, g_byte_array_unref);
  oh_raft_log_finish (&raft->log);
  oh_entry_packer_finish (&raft->packer);
  g_clear_pointer (&raft->packed_snapshot, g_bytes_unref);
}

/* Accessors. */

oh_raft_role_t
oh_raft_role (const oh_raft_t *raft)
{
  return raft->role;
}

const char *
oh_raft_role_name (oh_raft_role_t role)
{
  switch (role)
    {
    case OH_RAFT_UNFORMED:
      return "unformed";
    case OH_RAFT_FOLLOWER:
      return "follower";
    case OH_RAFT_CANDIDATE:
      return "candidate";
    case OH_RAFT_LEADER:
      return "leader";
    case OH_RAFT_FAILED:
      return "failed";
    }
  return "unknown";
}

uint64_t
oh_raft_id (const oh_raft_t *raft)
{
  return raft->self != NULL ? raft->self->id : 0;
}

uint64_t
oh_raft_term (const oh_raft_t *raft)
{
  return raft->hard.term;
}

uint64_t
oh_raft_commit_index (const oh_raft_t *raft)
{
  return raft->commit;
}

uint64_t
oh_raft_applied_index (const oh_raft_t *raft)
{
  return raft->applied;
}

uint64_t
oh_raft_last_index (const oh_raft_t *raft)
{
  return oh_raft_log_last_index (&raft->log);
}

/* True if the leader may have another replica to replace this one by, or has begun to. */
static bool
can_be_replaced (const oh_raft_t *raft)
{
  if (oh_raft_replicas_count (raft->replicas, OH__REPLICA_ROLE__REPLICA_VOTER) > raft->target_voters)
    return true;
  for (unsigned i = 0; i < raft->replicas->len; i++)
    {
      const oh_raft_replica_t *replica = raft->replicas->pdata[i];

      if (replica->role == OH__REPLICA_ROLE__REPLICA_LEARNER && replica->id != raft->self->id)
        return true;
    }
  return false;
}

bool
oh_raft_may_stop (const oh_raft_t *raft)
{
  if (raft->target_voters == 0 || raft->role == OH_RAFT_UNFORMED || raft->role == OH_RAFT_FAILED)
    return true;
  if (!oh_raft_is_voter (raft, raft->self->id))
    return raft->replicas_index <= raft->commit;
  return !can_be_replaced (raft);
}

bool
oh_raft_storage_full (const oh_raft_t *raft)
{
  return raft->storage_full;
}

const char *
oh_raft_leader_name (const oh_raft_t *raft)
{
  return raft->leader != NULL ? raft->leader->name : NULL;
}

const char *
oh_raft_leader_endpoint (const oh_raft_t *raft)
{
  return raft->leader != NULL ? raft->leader->endpoint : NULL;
}

const GPtrArray *
oh_raft_replicas (const oh_raft_t *raft)
{
  return raft->replicas;
}

GPtrArray *
oh_raft_committed_replicas (const oh_raft_t *raft)
{
  uint64_t index = 0;
  GBytes *bytes = oh_raft_log_replicas (&raft->log, oh_raft_commit_index (raft), &index);
  GPtrArray *replicas = bytes != NULL ? oh_raft_replicas_decode (bytes) : oh_raft_replicas_new ();

  /* The bytes were checked when they were received or recovered. */
  g_assert (replicas != NULL);
  return replicas;
}

int64_t
oh_raft_quorum_age_us (const oh_raft_t *raft, int64_t now_us)
{
  if (raft->role == OH_RAFT_LEADER)
    return now_us - oh_raft_quorum_contact_us (raft, now_us);
  return raft->confirmed_us != 0 ? now_us - raft->confirmed_us : INT64_MAX;
}

bool
oh_raft_read_index (const oh_raft_t *raft, int64_t now_us, uint64_t *index)
{
  /* Entries of earlier terms are known to be committed only once one of this term is. */
  if (raft->role != OH_RAFT_LEADER || raft->commit < raft->term_start_index
      || oh_raft_quorum_age_us (raft, now_us) > OH_RAFT_CONFIRMED_US)
    return false;
  *index = raft->commit;
  return true;
}

bool
oh_raft_confirmed (const oh_raft_t *raft, int64_t now_us)
{
  uint64_t read_index;

  switch (raft->role)
    {
    case OH_RAFT_LEADER:
      return oh_raft_read_index (raft, now_us, &read_index) && raft->applied >= read_index;
    case OH_RAFT_FOLLOWER:
    case OH_RAFT_CANDIDATE:
      return oh_raft_quorum_age_us (raft, now_us) <= OH_RAFT_CONFIRMED_US
             && raft->applied >= raft->confirmed_commit;
    case OH_RAFT_UNFORMED:
    case OH_RAFT_FAILED:
      break;
    }
  return false;
}
