#include <string.h>
#include <xxhash.h>

#include "core/raft_private.h"

enum
{
  HELLO_INTERVAL_US = 200000,
  /* Of a replica without a leader, for FIRST_HELLOS_US after its start. The first Hello finds no connection,
   * and others arrive while there is no leader yet or while it adds another replica. */
  FIRST_HELLO_INTERVAL_US = 50000,
  FIRST_HELLOS_US = 500000,
  /* With target_voters: between Hellos of a voter, or of another replica in contact with its leader, to
   * replicas that may be looking for the cluster. */
  MEMBER_HELLO_INTERVAL_US = 1000000,
  STARTUP_US = 5000000, /* such a replica uses HELLO_INTERVAL_US for this time after its start */
};

/* Cluster formation. */

static oh_raft_replica_t *
find_by_name (const GPtrArray *replicas, const char *name)
{
  for (unsigned i = 0; i < replicas->len; i++)
    {
      oh_raft_replica_t *replica = replicas->pdata[i];

      if (g_str_equal (replica->name, name))
        return replica;
    }
  return NULL;
}

/* Adds a replica to known_replicas, to which Hello is sent. */
static void
add_known_replica (oh_raft_t *raft, const char *name, const char *endpoint)
{
  if (raft->known_replicas->len >= OH_RAFT_REPLICAS_MAX || strlen (name) == 0
      || strlen (name) > OH_RAFT_NAME_MAX_BYTES || strlen (endpoint) == 0
      || strlen (endpoint) > OH_RAFT_ENDPOINT_MAX_BYTES || find_by_name (raft->known_replicas, name) != NULL)
    return;
  /* The set is no longer the initial one: no cluster may be formed from it, and one exists already. */
  raft->join = true;
  oh_raft_replicas_add (raft->known_replicas,
                        oh_raft_replica_new (name, 0, endpoint, OH__REPLICA_ROLE__REPLICA_VOTER));
}

void
oh_raft_add_known_sender (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  if (raft->role == OH_RAFT_UNFORMED && raft->target_voters > 0 && message->cluster != 0)
    add_known_replica (raft, message->from_name, message->from_endpoint);
}

void
oh_raft_add_seeds (oh_raft_t *raft, const oh_raft_replica_t *seeds, size_t n_seeds)
{
  for (size_t i = 0; i < n_seeds; i++)
    {
      if (find_by_name (raft->known_replicas, seeds[i].name) != NULL)
        continue;
      /* A full list drops its first replica; members of the cluster are known from the replica set, too. */
      if (raft->known_replicas->len >= OH_RAFT_REPLICAS_MAX)
        g_ptr_array_remove_index (raft->known_replicas, 0);
      add_known_replica (raft, seeds[i].name, seeds[i].endpoint);
    }
}

static void
send_hello (oh_raft_t *raft, const oh_raft_replica_t *to)
{
  Oh__RaftMessage message = OH__RAFT_MESSAGE__INIT;
  Oh__Hello hello = OH__HELLO__INIT;
  Oh__Replica self = OH__REPLICA__INIT;
  g_autofree Oh__Replica *known = g_new (Oh__Replica, raft->known_replicas->len);
  g_autofree Oh__Replica **pointers = g_new (Oh__Replica *, raft->known_replicas->len);
  oh_raft_replica_t recipient = *to;

  self.name = raft->self->name;
  self.id = raft->self->id;
  self.endpoint = raft->self->endpoint;
  for (unsigned i = 0; i < raft->known_replicas->len; i++)
    {
      const oh_raft_replica_t *replica = raft->known_replicas->pdata[i];

      oh__replica__init (&known[i]);
      known[i].name = replica->name;
      known[i].id = replica->id;
      known[i].endpoint = replica->endpoint;
      pointers[i] = &known[i];
    }
  hello.self = &self;
  /* An empty list: a replica that only joins takes no part in forming a cluster. */
  hello.n_known = raft->join ? 0 : raft->known_replicas->len;
  hello.known = pointers;
  hello.nonce = raft->hello_nonce;
  hello.observer = raft->observer;
  hello.may_found = raft->may_bootstrap && raft->role == OH_RAFT_UNFORMED;
  hello.echo = to->reply_nonce;
  hello.n_heard = hello.n_known;
  hello.heard = raft->last_nonces;
  message.body_case = OH__RAFT_MESSAGE__BODY_HELLO;
  message.hello = &hello;
  recipient.id = 0;
  oh_raft_send (raft, &recipient, raft->hard.term, &message);
}

static void
send_hellos (oh_raft_t *raft)
{
  for (unsigned i = 0; i < raft->known_replicas->len; i++)
    {
      const oh_raft_replica_t *replica = raft->known_replicas->pdata[i];

      if (!g_str_equal (replica->name, raft->self->name))
        send_hello (raft, replica);
    }
}

void
oh_raft_hello_tick (oh_raft_t *raft)
{
  if (raft->now_us < raft->hello_due_us)
    return;
  raft->hello_due_us = raft->now_us + HELLO_INTERVAL_US;
  /* A non-voter in contact with its leader is in the set; without contact it may have been removed. */
  if (raft->role == OH_RAFT_UNFORMED
      || (!oh_raft_is_voter (raft, raft->self->id)
          && raft->now_us - raft->leader_contact_us > OH_RAFT_CONFIRMED_US))
    {
      if (raft->now_us - raft->started_us < FIRST_HELLOS_US)
        raft->hello_due_us = raft->now_us + FIRST_HELLO_INTERVAL_US;
      send_hellos (raft);
    }
  else if (raft->target_voters > 0 && raft->now_us >= raft->member_hello_due_us)
    {
      /* Shortly after a start, other replicas may have started too and be looking for the cluster. */
      raft->member_hello_due_us
        = raft->now_us
          + (raft->now_us - raft->started_us < STARTUP_US ? HELLO_INTERVAL_US : MEMBER_HELLO_INTERVAL_US);
      send_hellos (raft);
    }
}

void
oh_raft_bootstrap (oh_raft_t *raft)
{
  g_autoptr (GPtrArray) replicas = oh_raft_replicas_new ();
  g_autoptr (GBytes) bytes = NULL;
  size_t length;
  const void *data;

  oh_raft_replicas_add (replicas, oh_raft_replica_new (raft->self->name, raft->self->id, raft->self->endpoint,
                                                       OH__REPLICA_ROLE__REPLICA_VOTER));
  bytes = oh_raft_replicas_encode (replicas);
  data = g_bytes_get_data (bytes, &length);
  raft->may_bootstrap = false;
  oh_raft_append_entry (raft, oh_entry_new (1, 0, OH_ENTRY_REPLICAS, bytes));
  oh_raft_set_cluster (raft, MAX (XXH64 (data, length, 0), 1));
}

/* If the first seed has no disk, it appoints the first replica with a disk that sends it Hello, and no other.
 */
static void
appoint_bootstrap_replica (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  Oh__RaftMessage reply_message = OH__RAFT_MESSAGE__INIT;
  Oh__HelloReply reply = OH__HELLO_REPLY__INIT;
  Oh__Replica bootstrap_replica = OH__REPLICA__INIT;
  Oh__Replica *bootstrap_pointer = &bootstrap_replica;
  oh_raft_replica_t *known;
  oh_raft_replica_t *to;

  if (!raft->first_seed || !raft->may_bootstrap || !raft->observer || message->cluster != 0)
    return;
  if (raft->bootstrap_id == 0 && (message->hello->observer || !message->hello->may_found))
    return;
  if (raft->bootstrap_id == 0)
    {
      raft->bootstrap_id = message->from;
      add_known_replica (raft, message->hello->self->name, message->hello->self->endpoint);
      known = find_by_name (raft->known_replicas, message->hello->self->name);
      if (known != NULL)
        known->id = message->from;
    }
  reply.found = raft->bootstrap_id == message->from;
  known = oh_raft_replicas_find (raft->known_replicas, raft->bootstrap_id);
  if (known == NULL)
    return;
  bootstrap_replica.name = known->name;
  bootstrap_replica.endpoint = known->endpoint;
  bootstrap_replica.id = known->id;
  reply.n_replicas = 1;
  reply.replicas = &bootstrap_pointer;
  to = oh_raft_sender_new (message);
  reply_message.body_case = OH__RAFT_MESSAGE__BODY_HELLO_REPLY;
  reply_message.hello_reply = &reply;
  oh_raft_send (raft, to, raft->hard.term, &reply_message);
  oh_raft_replica_free (to);
}

void
oh_raft_try_form_cluster (oh_raft_t *raft)
{
  g_autoptr (GBytes) bytes = NULL;
  size_t length;
  const void *data;

  if (raft->role != OH_RAFT_UNFORMED || raft->join || raft->target_voters > 0
      || find_by_name (raft->known_replicas, raft->self->name) == NULL)
    return;
  for (unsigned i = 0; i < raft->known_replicas->len; i++)
    {
      const oh_raft_replica_t *replica = raft->known_replicas->pdata[i];

      if (replica->id == 0)
        return;
      if (replica->id != raft->self->id && !g_hash_table_contains (raft->agreeing_ids, &replica->id))
        return;
    }
  /* The others form the cluster only when they know that this replica agrees, and as a member it sends no
   * Hello any more, so it sends a last one now. */
  send_hellos (raft);
  bytes = oh_raft_replicas_encode (raft->known_replicas);
  data = g_bytes_get_data (bytes, &length);
  /* Every initial replica appends the same entry, in term 0, before any election. */
  oh_raft_append_entry (raft, oh_entry_new (1, 0, OH_ENTRY_REPLICAS, bytes));
  oh_raft_set_cluster (raft, MAX (XXH64 (data, length, 0), 1));
}

/* True if the Hello lists the ids in known_replicas and echoes this replica's nonce. */
static bool
hello_agrees (const oh_raft_t *raft, const Oh__Hello *hello)
{
  if (hello->n_known != raft->known_replicas->len || hello->n_heard != hello->n_known)
    return false;
  for (size_t i = 0; i < hello->n_known; i++)
    {
      const oh_raft_replica_t *replica = find_by_name (raft->known_replicas, hello->known[i]->name);

      if (replica == NULL || replica->id == 0 || replica->id != hello->known[i]->id
          || !g_str_equal (replica->endpoint, hello->known[i]->endpoint))
        return false;
      if (replica->id == raft->self->id && hello->heard[i] != raft->hello_nonce)
        return false;
    }
  return true;
}

static void
on_hello_unformed (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const Oh__Hello *hello = message->hello;
  oh_raft_replica_t *replica = find_by_name (raft->known_replicas, hello->self->name);

  if (message->cluster != 0 || hello->n_known == 0 || replica == NULL || replica->id == raft->self->id)
    return;
  for (unsigned i = 0; i < raft->known_replicas->len; i++)
    if (raft->known_replicas->pdata[i] == replica)
      raft->last_nonces[i] = hello->nonce;
  if (replica->id != message->from)
    {
      /* The agreement of the others was about the old id. */
      g_hash_table_remove_all (raft->agreeing_ids);
      replica->id = message->from;
      raft->hello_nonce = oh_random_u64 (raft->random);
      raft->hello_due_us = raft->now_us;
    }
  if (!hello_agrees (raft, hello))
    g_hash_table_remove (raft->agreeing_ids, &message->from);
  else if (!g_hash_table_contains (raft->agreeing_ids, &message->from))
    {
      uint64_t *id = g_new (uint64_t, 1);

      *id = message->from;
      g_hash_table_add (raft->agreeing_ids, id);
      oh_raft_try_form_cluster (raft);
    }
}

static void
send_hello_reply (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  Oh__RaftMessage reply_message = OH__RAFT_MESSAGE__INIT;
  Oh__HelloReply reply = OH__HELLO_REPLY__INIT;
  Oh__Replica replica_messages[OH_RAFT_REPLICAS_MAX];
  Oh__Replica *pointers[OH_RAFT_REPLICAS_MAX];
  oh_raft_replica_t *to = oh_raft_sender_new (message);

  for (unsigned i = 0; i < raft->replicas->len; i++)
    {
      const oh_raft_replica_t *replica = raft->replicas->pdata[i];

      oh__replica__init (&replica_messages[i]);
      replica_messages[i].name = replica->name;
      replica_messages[i].id = replica->id;
      replica_messages[i].endpoint = replica->endpoint;
      replica_messages[i].role = replica->role;
      pointers[i] = &replica_messages[i];
    }
  reply.n_replicas = raft->replicas->len;
  reply.replicas = pointers;
  reply.nonce = raft->reply_nonce;
  reply_message.body_case = OH__RAFT_MESSAGE__BODY_HELLO_REPLY;
  reply_message.hello_reply = &reply;
  oh_raft_send (raft, to, raft->hard.term, &reply_message);
  oh_raft_replica_free (to);
}

/* Leader: membership changes, one replica at a time. */

oh_raft_proposal_result_t
oh_raft_check_change (const oh_raft_t *raft)
{
  uint64_t term = 0;

  if (raft->role != OH_RAFT_LEADER)
    return raft->storage_full ? OH_RAFT_STORAGE_FULL : OH_RAFT_NOT_LEADER;
  if (raft->replicas_index > raft->commit)
    return OH_RAFT_CHANGE_PENDING;
  /* Until an entry of this term is committed, the set of an older leader may still be committed elsewhere,
   * and the quorums of two sets that each differ from the present one in one replica need not intersect. */
  if (!oh_raft_log_term (&raft->log, raft->commit, &term) || term != raft->hard.term)
    return OH_RAFT_NOT_READY;
  return OH_RAFT_PROPOSED;
}

void
oh_raft_append_replica_set (oh_raft_t *raft, GPtrArray *replicas)
{
  g_autoptr (GBytes) bytes = oh_raft_replicas_encode (replicas);

  g_ptr_array_unref (replicas);
  oh_raft_append_entry (
    raft, oh_entry_new (oh_raft_log_last_index (&raft->log) + 1, raft->hard.term, OH_ENTRY_REPLICAS, bytes));
  raft->broadcast_pending = true;
}

bool
oh_raft_in_contact (oh_raft_t *raft, uint64_t id)
{
  const oh_raft_peer_t *peer = oh_raft_find_peer (raft, id);

  if (id == raft->self->id)
    return true;
  return peer != NULL && peer->contact_us != 0 && raft->now_us - peer->contact_us <= OH_RAFT_CONFIRMED_US;
}

/* True if the replica replied to this leader recently. oh_raft_in_contact alone is not enough: a new leader
 * sets contact_us without a reply. */
static bool
is_live (oh_raft_t *raft, uint64_t id)
{
  const oh_raft_peer_t *peer = oh_raft_find_peer (raft, id);

  return id == raft->self->id || (peer != NULL && peer->has_replied && oh_raft_in_contact (raft, id));
}

int64_t
oh_raft_contact_age_us (oh_raft_t *raft, uint64_t id)
{
  const oh_raft_peer_t *peer = oh_raft_find_peer (raft, id);

  if (id == raft->self->id)
    return 0;
  return peer != NULL ? raft->now_us - peer->contact_us : INT64_MAX;
}

/* Makes room in a full set: removes the non-voter that has been out of contact longest, if for
 * OH_RAFT_LEARNER_TIMEOUT_US. */
static void
remove_lost_learner (oh_raft_t *raft, GPtrArray *replicas)
{
  int64_t longest_us = OH_RAFT_LEARNER_TIMEOUT_US;
  unsigned position = replicas->len;

  for (unsigned i = 0; i < replicas->len; i++)
    {
      const oh_raft_replica_t *replica = replicas->pdata[i];

      if (replica->role == OH__REPLICA_ROLE__REPLICA_VOTER
          || oh_raft_contact_age_us (raft, replica->id) < longest_us)
        continue;
      longest_us = oh_raft_contact_age_us (raft, replica->id);
      position = i;
    }
  if (position < replicas->len)
    g_ptr_array_remove_index (replicas, position);
}

/* Adds the sender of a Hello to the set as a learner or observer: in place of a non-voter of its name, beside
 * a lost voter of its name, or with target_voters under any name. */
static void
try_add_joining_replica (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const Oh__Replica *joining = message->hello->self;
  GPtrArray *replicas;
  bool name_known = false;

  if (oh_raft_check_change (raft) != OH_RAFT_PROPOSED
      || oh_raft_replicas_find (raft->replicas, joining->id) != NULL)
    return;
  replicas = oh_raft_replicas_copy (raft->replicas);
  for (unsigned i = replicas->len; i > 0; i--)
    {
      const oh_raft_replica_t *replica = replicas->pdata[i - 1];

      if (!g_str_equal (replica->name, joining->name))
        continue;
      /* Two live replicas of one name are a configuration error; the present one stays. */
      if (is_live (raft, replica->id))
        {
          g_ptr_array_unref (replicas);
          return;
        }
      name_known = true;
      if (replica->role != OH__REPLICA_ROLE__REPLICA_VOTER)
        g_ptr_array_remove_index (replicas, i - 1);
    }
  if (raft->target_voters > 0 && replicas->len == OH_RAFT_REPLICAS_MAX)
    remove_lost_learner (raft, replicas);
  if ((!name_known && raft->target_voters == 0) || replicas->len == OH_RAFT_REPLICAS_MAX)
    {
      g_ptr_array_unref (replicas);
      return;
    }
  oh_raft_replicas_add (replicas,
                        oh_raft_replica_new (joining->name, joining->id, joining->endpoint,
                                             message->hello->observer ? OH__REPLICA_ROLE__REPLICA_OBSERVER
                                                                      : OH__REPLICA_ROLE__REPLICA_LEARNER));
  oh_raft_log_line (raft, "raft-learner", "name=%s learner=%016" PRIx64, joining->name, joining->id);
  oh_raft_append_replica_set (raft, replicas);
}

/*
 * Finds replicas of the set whose disks are lost: a machine keeps one data folder, so that another replica of
 * the same name has taken the place of an earlier one. Its Hello has to echo a nonce that was sent since the
 * set has had the earlier one; a delayed Hello of a still earlier replica does not.
 */
static void
find_lost_disks (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const Oh__Hello *hello = message->hello;
  bool found = false;

  if (raft->target_voters == 0 || hello->observer || hello->echo != raft->reply_nonce)
    return;
  for (unsigned i = 0; i < raft->replicas->len; i++)
    {
      const oh_raft_replica_t *replica = raft->replicas->pdata[i];

      if (!g_str_equal (replica->name, hello->self->name) || replica->id == hello->self->id
          || !oh_raft_add_lost_disk (raft, replica->id))
        continue;
      oh_raft_log_line (raft, "raft-disk-lost", "name=%s former=%016" PRIx64 " present=%016" PRIx64,
                        replica->name, replica->id, hello->self->id);
      found = true;
    }
  if (found && raft->role == OH_RAFT_LEADER)
    oh_raft_advance_commit (raft);
  else if (found)
    oh_raft_recount_votes (raft);
}

void
oh_raft_on_hello (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const Oh__Replica *self = message->hello->self;

  if (self == NULL || self->id == 0 || self->id != message->from || strlen (self->name) == 0
      || strlen (self->name) > OH_RAFT_NAME_MAX_BYTES || strlen (self->endpoint) == 0
      || strlen (self->endpoint) > OH_RAFT_ENDPOINT_MAX_BYTES || g_str_equal (self->name, raft->self->name))
    return;
  if (raft->role == OH_RAFT_UNFORMED)
    {
      appoint_bootstrap_replica (raft, message);
      on_hello_unformed (raft, message);
      return;
    }
  if (message->cluster != 0 && message->cluster != raft->hard.cluster)
    return;
  find_lost_disks (raft, message);
  send_hello_reply (raft, message);
  if (raft->role == OH_RAFT_LEADER)
    try_add_joining_replica (raft, message);
}

void
oh_raft_on_hello_reply (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const Oh__HelloReply *reply = message->hello_reply;
  oh_raft_replica_t *sender;

  if (reply->found && raft->may_bootstrap && !raft->observer && raft->role == OH_RAFT_UNFORMED)
    {
      oh_raft_bootstrap (raft);
      return;
    }
  sender = find_by_name (raft->known_replicas, message->from_name);
  if (sender != NULL)
    sender->reply_nonce = reply->nonce;
  /* The leader may not be in the initial set, so all replicas of the cluster are added. */
  for (size_t i = 0; i < reply->n_replicas; i++)
    add_known_replica (raft, reply->replicas[i]->name, reply->replicas[i]->endpoint);
}

oh_raft_proposal_result_t
oh_raft_add_replica (oh_raft_t *raft, const char *name, const char *endpoint)
{
  const oh_raft_proposal_result_t allowed = oh_raft_check_change (raft);
  GPtrArray *replicas;

  if (allowed != OH_RAFT_PROPOSED)
    return allowed;
  if (strlen (name) == 0 || strlen (name) > OH_RAFT_NAME_MAX_BYTES || strlen (endpoint) == 0
      || strlen (endpoint) > OH_RAFT_ENDPOINT_MAX_BYTES || find_by_name (raft->replicas, name) != NULL
      || raft->replicas->len == OH_RAFT_REPLICAS_MAX)
    return OH_RAFT_CHANGE_INVALID;
  replicas = oh_raft_replicas_copy (raft->replicas);
  oh_raft_replicas_add (replicas, oh_raft_replica_new (name, 0, endpoint, OH__REPLICA_ROLE__REPLICA_AWAITED));
  oh_raft_append_replica_set (raft, replicas);
  return OH_RAFT_PROPOSED;
}

oh_raft_proposal_result_t
oh_raft_remove_replica (oh_raft_t *raft, const char *name)
{
  const oh_raft_proposal_result_t allowed = oh_raft_check_change (raft);
  GPtrArray *replicas;
  unsigned voters = 0;

  if (allowed != OH_RAFT_PROPOSED)
    return allowed;
  if (find_by_name (raft->replicas, name) == NULL)
    return OH_RAFT_CHANGE_INVALID;
  replicas = oh_raft_replicas_copy (raft->replicas);
  for (unsigned i = replicas->len; i > 0; i--)
    {
      const oh_raft_replica_t *replica = replicas->pdata[i - 1];

      if (!g_str_equal (replica->name, name))
        continue;
      voters += replica->role == OH__REPLICA_ROLE__REPLICA_VOTER;
      g_ptr_array_remove_index (replicas, i - 1);
    }
  if (voters > 1 || oh_raft_replicas_count (replicas, OH__REPLICA_ROLE__REPLICA_VOTER) == 0)
    {
      g_ptr_array_unref (replicas);
      return OH_RAFT_CHANGE_INVALID;
    }
  oh_raft_append_replica_set (raft, replicas);
  return OH_RAFT_PROPOSED;
}
