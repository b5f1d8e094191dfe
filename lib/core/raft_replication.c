#include "core/raft_private.h"

/*
 * Flow control. A leader has one request with entries outstanding at each peer, of APPEND_MAX_BYTES or one
 * entry. Until it is confirmed, the peer gets heartbeats without entries, which begin after the request: as
 * the connection keeps the order of messages, the peer rejects such a heartbeat only if the request did not
 * arrive or was lost in a restart. Then it is sent again. A peer that does not answer is sent nothing but
 * heartbeats. So a slow link carries each entry once, and a heartbeat waits for one request at most.
 */

enum
{
  APPEND_MAX_ENTRIES = 64,
  APPEND_MAX_BYTES = 32 * 1024, /* of several entries in one request: 128 ms at 2 Mbit/s */
};

/* Quorum. */

static int64_t
contact_us (const oh_raft_t *raft, uint64_t id)
{
  const oh_raft_peer_t *peer = oh_raft_find_peer (raft, id);

  if (id == raft->self->id)
    return INT64_MAX;
  return peer != NULL ? peer->contact_us : 0;
}

int64_t
oh_raft_quorum_contact_us (const oh_raft_t *raft, int64_t now_us)
{
  return MIN (oh_raft_quorum_value (raft, contact_us), now_us);
}

static int64_t
match_index (const oh_raft_t *raft, uint64_t id)
{
  const oh_raft_peer_t *peer = oh_raft_find_peer (raft, id);

  if (id == raft->self->id)
    return (int64_t)oh_raft_durable_index (raft);
  return peer != NULL ? (int64_t)peer->match_index : 0;
}

static uint64_t
quorum_match (const oh_raft_t *raft)
{
  return (uint64_t)oh_raft_quorum_value (raft, match_index);
}

/* Leader. */

/* Fills in what every append request carries, and sends it. */
static void
send_append_request (oh_raft_t *raft, const oh_raft_replica_t *to, oh_raft_peer_t *peer,
                     Oh__AppendRequest *request)
{
  Oh__RaftMessage message = OH__RAFT_MESSAGE__INIT;
  uint64_t commit_term = 0;

  oh_raft_log_term (&raft->log, raft->commit, &commit_term);
  peer->sent_commit = raft->commit;
  request->commit = raft->commit;
  request->has_quorum = commit_term == raft->hard.term;
  request->quorum_age_us = raft->now_us - oh_raft_quorum_contact_us (raft, raft->now_us);
  message.body_case = OH__RAFT_MESSAGE__BODY_APPEND_REQUEST;
  message.append_request = request;
  oh_raft_fill_zone_drain (raft, request);
  oh_raft_send (raft, to, raft->hard.term, &message);
}

/* Fills in the entry as the peer is sent it. Returns the contents, compressed or not, which the caller keeps
 * as long as the entry is used. */
static GBytes *
wire_contents (oh_raft_t *raft, const oh_raft_peer_t *peer, const oh_entry_t *entry, Oh__LogEntry *wire)
{
  GBytes *packed = peer->unpacks ? oh_entry_packer_pack (&raft->packer, entry) : NULL;
  GBytes *contents = packed != NULL ? packed : entry->data;
  ProtobufCBinaryData *field = packed != NULL ? &wire->packed_data : &wire->data;

  oh__log_entry__init (wire);
  wire->index = entry->index;
  wire->term = entry->term;
  wire->kind = (Oh__EntryKind)entry->kind;
  field->data = (uint8_t *)g_bytes_get_data (contents, &field->len);
  return g_bytes_ref (contents);
}

static void
send_entries (oh_raft_t *raft, const oh_raft_replica_t *to, oh_raft_peer_t *peer, uint64_t previous_term)
{
  Oh__AppendRequest request = OH__APPEND_REQUEST__INIT;
  Oh__LogEntry entries[APPEND_MAX_ENTRIES];
  Oh__LogEntry *pointers[APPEND_MAX_ENTRIES];
  GBytes *contents[APPEND_MAX_ENTRIES] = { NULL }; /* what entries refer to */
  size_t bytes = 0;

  request.previous_index = peer->next_index - 1;
  request.previous_term = previous_term;
  request.sent_us = peer->sent_us;
  request.entries = pointers;
  for (uint64_t i = peer->next_index; i <= oh_raft_log_last_index (&raft->log); i++)
    {
      const size_t n = request.n_entries;

      if (n == APPEND_MAX_ENTRIES)
        break;
      contents[n] = wire_contents (raft, peer, oh_raft_log_get (&raft->log, i), &entries[n]);
      bytes += g_bytes_get_size (contents[n]);
      if (n > 0 && bytes > APPEND_MAX_BYTES)
        {
          g_bytes_unref (contents[n]);
          break;
        }
      pointers[n] = &entries[n];
      request.n_entries++;
    }
  peer->request_end = request.previous_index + request.n_entries;
  send_append_request (raft, to, peer, &request);
  for (size_t i = 0; i < request.n_entries; i++)
    g_bytes_unref (contents[i]);
}

/* Stamps of requests to one peer increase, so that a reply names its request. */
static int64_t
next_stamp_us (const oh_raft_t *raft, oh_raft_peer_t *peer)
{
  peer->last_sent_us = MAX (raft->now_us, peer->last_sent_us + 1);
  return peer->last_sent_us;
}

/* Sends the entries from next_index on, or, if some of them are not in the log any more, a chunk of the
 * snapshot. */
static void
send_append (oh_raft_t *raft, oh_raft_peer_t *peer)
{
  const oh_raft_replica_t *to = oh_raft_replicas_find (raft->replicas, peer->id);
  uint64_t previous_term;

  if (to == NULL)
    return;
  peer->awaiting_reply = true;
  peer->sent_us = next_stamp_us (raft, peer);
  peer->request_is_chunk = !oh_raft_log_term (&raft->log, peer->next_index - 1, &previous_term);
  if (!peer->request_is_chunk)
    send_entries (raft, to, peer, previous_term);
  else
    {
      peer->request_end = raft->log.snapshot.index;
      oh_raft_send_snapshot (raft, to, peer);
    }
}

/* The index that the peer's log should reach, by what was sent to it. A snapshot has to arrive as a whole. */
static uint64_t
expected_index (const oh_raft_peer_t *peer)
{
  if (peer->awaiting_reply && (!peer->request_is_chunk || peer->snapshot_received))
    return peer->request_end;
  return peer->match_index;
}

/* Sends an append request without entries, which makes contact, finds out whether the peer's log is as
 * expected and commits it up to there. */
static void
send_heartbeat (oh_raft_t *raft, oh_raft_peer_t *peer)
{
  const oh_raft_replica_t *to = oh_raft_replicas_find (raft->replicas, peer->id);
  Oh__AppendRequest request = OH__APPEND_REQUEST__INIT;
  const uint64_t expected = expected_index (peer);

  if (to == NULL)
    return;
  if (oh_raft_log_term (&raft->log, expected, &request.previous_term))
    request.previous_index = expected;
  request.sent_us = next_stamp_us (raft, peer);
  send_append_request (raft, to, peer, &request);
}

/* True if a heartbeat cannot tell whether the outstanding request arrived: the log was compacted beyond it.
 */
static bool
is_request_compacted (const oh_raft_t *raft, const oh_raft_peer_t *peer)
{
  uint64_t term;

  return peer->awaiting_reply && expected_index (peer) == peer->request_end
         && !oh_raft_log_term (&raft->log, peer->request_end, &term);
}

static void
send_append_or_heartbeat (oh_raft_t *raft, oh_raft_peer_t *peer)
{
  const bool behind = peer->match_index < oh_raft_log_last_index (&raft->log);

  if ((!peer->awaiting_reply && behind) || is_request_compacted (raft, peer))
    send_append (raft, peer);
  else
    send_heartbeat (raft, peer);
}

void
oh_raft_broadcast (oh_raft_t *raft)
{
  for (unsigned i = 0; i < raft->peers->len; i++)
    {
      oh_raft_peer_t *peer = &g_array_index (raft->peers, oh_raft_peer_t, i);

      if (!peer->awaiting_reply)
        send_append_or_heartbeat (raft, peer);
    }
}

static void
heartbeat (oh_raft_t *raft)
{
  raft->heartbeat_due_us = raft->now_us + OH_RAFT_HEARTBEAT_US;
  for (unsigned i = 0; i < raft->peers->len; i++)
    send_append_or_heartbeat (raft, &g_array_index (raft->peers, oh_raft_peer_t, i));
}

void
oh_raft_become_leader (oh_raft_t *raft)
{
  g_autoptr (GBytes) empty = g_bytes_new (NULL, 0);
  const uint64_t last = oh_raft_log_last_index (&raft->log);

  raft->role = OH_RAFT_LEADER;
  raft->term_start_index = last + 1;
  oh_raft_set_leader (
    raft, oh_raft_replica_new (raft->self->name, raft->self->id, raft->self->endpoint, raft->self->role));
  for (unsigned i = 0; i < raft->peers->len; i++)
    {
      oh_raft_peer_t *peer = &g_array_index (raft->peers, oh_raft_peer_t, i);

      *peer = (oh_raft_peer_t){ .id = peer->id, .next_index = last + 1, .contact_us = raft->now_us };
    }
  oh_raft_log_line (raft, "raft-leader", "last=%" PRIu64 " commit=%" PRIu64, last, raft->commit);
  /* Entries of older terms are committed only along with an entry of this term after them. */
  oh_raft_append_entry (raft, oh_entry_new (last + 1, raft->hard.term, OH_ENTRY_NOOP, empty));
  heartbeat (raft);
}

void
oh_raft_leader_tick (oh_raft_t *raft)
{
  if (raft->now_us < raft->heartbeat_due_us)
    return;
  if (raft->now_us - oh_raft_quorum_contact_us (raft, raft->now_us) > OH_RAFT_ELECTION_MAX_US)
    {
      oh_raft_log_line (raft, "raft-quorum-lost", "commit=%" PRIu64, raft->commit);
      oh_raft_become_follower (raft, raft->hard.term);
      return;
    }
  raft->adjust_voters_pending = true;
  heartbeat (raft);
}

void
oh_raft_advance_commit (oh_raft_t *raft)
{
  const uint64_t match = quorum_match (raft);
  const bool needed_previous_set = oh_raft_needs_previous_set (raft);
  uint64_t term;

  /* An entry of an older term is not safe even on a quorum: a leader whose log ends in a later term can still
   * replace it. */
  if (match <= raft->commit || !oh_raft_log_term (&raft->log, match, &term) || term != raft->hard.term)
    return;
  /* The next change of the replica set, if one is due, need not wait for a heartbeat. */
  raft->adjust_voters_pending |= raft->replicas_index > raft->commit && raft->replicas_index <= match;
  raft->commit = match;
  oh_raft_apply_committed (raft);
  raft->broadcast_pending = true;
  if (raft->replicas_index <= raft->commit && !oh_raft_is_voter (raft, raft->self->id))
    {
      /* These last appends tell the others that the removal or demotion is committed. */
      heartbeat (raft);
      oh_raft_log_line (raft, "raft-removed", "commit=%" PRIu64, raft->commit);
      oh_raft_become_follower (raft, raft->hard.term);
    }
  else if (needed_previous_set && !oh_raft_needs_previous_set (raft))
    oh_raft_advance_commit (raft); /* later entries need a quorum of the latest set only */
}

oh_raft_peer_t *
oh_raft_accept_reply (oh_raft_t *raft, const Oh__RaftMessage *message, int64_t sent_us)
{
  oh_raft_peer_t *peer;

  if (message->term > raft->hard.term)
    {
      oh_raft_become_follower (raft, message->term);
      return NULL;
    }
  if (raft->role != OH_RAFT_LEADER || message->term < raft->hard.term)
    return NULL;
  peer = oh_raft_find_peer (raft, message->from);
  if (peer != NULL)
    {
      peer->contact_us = MAX (peer->contact_us, MIN (sent_us, raft->now_us));
      peer->has_replied = true;
    }
  return peer;
}

/* Sends a chunk of a snapshot again if the reply to a later heartbeat has come before that to the chunk. */
static void
resend_lost_chunk (oh_raft_t *raft, oh_raft_peer_t *peer, const Oh__AppendReply *reply)
{
  if (peer->awaiting_reply && peer->request_is_chunk && !peer->snapshot_received && !reply->full
      && reply->sent_us > peer->sent_us)
    send_append (raft, peer);
}

void
oh_raft_on_append_reply (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const Oh__AppendReply *reply = message->append_reply;
  const uint64_t last = oh_raft_log_last_index (&raft->log);
  oh_raft_peer_t *peer = oh_raft_accept_reply (raft, message, reply->sent_us);

  if (peer == NULL || reply->match > last)
    return;
  raft->adjust_voters_pending |= reply->leaving && !peer->leaving;
  peer->leaving = reply->leaving;
  peer->unpacks = reply->unpacks;
  oh_raft_record_zone_drain (raft, peer->id, reply->drains_zones);
  if (!reply->success && !reply->full)
    {
      if (reply->sent_us < peer->sent_us)
        return;
      peer->next_index = CLAMP (reply->hint, peer->match_index + 1, last + 1);
      peer->snapshot_received = false;
      send_append (raft, peer);
      return;
    }
  peer->match_index = MAX (peer->match_index, reply->match);
  peer->next_index = MAX (peer->next_index, peer->match_index + 1);
  if (peer->awaiting_reply && peer->match_index >= peer->request_end)
    {
      peer->awaiting_reply = false;
      peer->snapshot_index = 0;
    }
  else
    resend_lost_chunk (raft, peer, reply);
  oh_raft_advance_commit (raft);
  if (raft->role != OH_RAFT_LEADER || peer->awaiting_reply || reply->full)
    return;
  if (peer->match_index < last)
    send_append (raft, peer);
  else if (peer->sent_commit < raft->commit && !raft->broadcast_pending)
    send_heartbeat (raft, peer); /* it replied after the quorum that committed the entries */
}

/* Follower. */

static bool
replicas_valid (GBytes *data)
{
  GPtrArray *replicas = oh_raft_replicas_decode (data);

  if (replicas == NULL)
    return false;
  g_ptr_array_unref (replicas);
  return true;
}

/* Returns NULL if the entry is malformed. */
static oh_entry_t *
entry_from_wire (const Oh__LogEntry *wire)
{
  g_autoptr (GBytes) data = oh_entry_unpack (wire);

  if (data == NULL || (unsigned)wire->kind > OH_ENTRY_REPLICAS)
    return NULL;
  if (wire->kind == OH__ENTRY_KIND__ENTRY_REPLICAS && !replicas_valid (data))
    return NULL;
  return oh_entry_new (wire->index, wire->term, (oh_entry_kind_t)wire->kind, data);
}

/* Returns the entries of the request, of oh_entry_t *, NULL if one is malformed or out of order. */
static GPtrArray *
entries_from_wire (const Oh__RaftMessage *message)
{
  const Oh__AppendRequest *request = message->append_request;
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (oh_entry_free);
  uint64_t term = request->previous_term;

  if (request->n_entries > APPEND_MAX_ENTRIES || request->previous_index > INT64_MAX)
    return NULL;
  for (size_t i = 0; i < request->n_entries; i++)
    {
      const Oh__LogEntry *wire = request->entries[i];
      oh_entry_t *entry = NULL;

      if (wire->index == request->previous_index + 1 + i && wire->term >= term && wire->term <= message->term)
        entry = entry_from_wire (wire);
      if (entry == NULL)
        return NULL;
      g_ptr_array_add (entries, entry);
      term = wire->term;
    }
  return g_steal_pointer (&entries);
}

static void
reply_append (oh_raft_t *raft, const Oh__RaftMessage *message, Oh__AppendReply reply)
{
  oh_raft_replica_t *to = oh_raft_sender_new (message);

  reply.sent_us = message->append_request->sent_us;
  reply.leaving = raft->leaving;
  reply.full = raft->storage_full;
  reply.unpacks = true;
  reply.drains_zones = true;
  /* A slow disk must not look like lost contact: the durable part is acknowledged at once, the rest after its
   * sync. */
  if (raft->hard.term == raft->durable_term)
    {
      Oh__RaftMessage reply_message = OH__RAFT_MESSAGE__INIT;
      Oh__AppendReply durable = reply;

      durable.match = MIN (reply.match, oh_raft_durable_index (raft));
      reply_message.body_case = OH__RAFT_MESSAGE__BODY_APPEND_REPLY;
      reply_message.append_reply = &durable;
      oh_raft_send (raft, to, raft->hard.term, &reply_message);
    }
  if (raft->hard.term == raft->durable_term && reply.match <= oh_raft_durable_index (raft))
    oh_raft_replica_free (to);
  else
    oh_raft_send_after_sync (raft, &(oh_raft_pending_message_t){
                                     .to = to,
                                     .kind = OH__RAFT_MESSAGE__BODY_APPEND_REPLY,
                                     .append_reply = reply,
                                   });
}

/* Index that the leader should try next: one past a shorter log, otherwise the first entry of the conflicting
 * term. */
static uint64_t
conflict_hint (const oh_raft_t *raft, uint64_t previous)
{
  const uint64_t last = oh_raft_log_last_index (&raft->log);
  const oh_entry_t *entry = oh_raft_log_get (&raft->log, previous);
  uint64_t hint = previous;

  if (entry == NULL)
    return last + 1;
  while (hint > raft->commit + 1 && oh_raft_log_get (&raft->log, hint - 1) != NULL
         && oh_raft_log_get (&raft->log, hint - 1)->term == entry->term)
    hint--;
  return hint;
}

/* Number of leading entries that the log holds already, -1 if a committed entry conflicts. */
static int
count_known_entries (const oh_raft_t *raft, const Oh__AppendRequest *request)
{
  for (size_t i = 0; i < request->n_entries; i++)
    {
      const Oh__LogEntry *entry = request->entries[i];

      if (entry->index <= raft->log.snapshot.index)
        continue;
      if (oh_raft_log_matches (&raft->log, entry->index, entry->term))
        continue;
      return entry->index <= raft->commit ? -1 : (int)i;
    }
  return (int)request->n_entries;
}

/* Appends the entries but the first skip ones. */
static void
append_new_entries (oh_raft_t *raft, const GPtrArray *entries, size_t skip)
{
  for (size_t i = skip; i < entries->len; i++)
    {
      const oh_entry_t *entry = entries->pdata[i];

      if (i == skip && entry->index <= oh_raft_log_last_index (&raft->log))
        oh_raft_truncate (raft, entry->index);
      oh_raft_append_entry (raft, oh_entry_new (entry->index, entry->term, entry->kind, entry->data));
    }
}

static void
update_confirmed (oh_raft_t *raft, const Oh__AppendRequest *request)
{
  if (!request->has_quorum || request->quorum_age_us < 0 || request->quorum_age_us > OH_RAFT_CONFIRMED_US)
    return;
  raft->confirmed_us = MAX (raft->confirmed_us, raft->now_us - request->quorum_age_us);
  /* An older request may arrive late over another connection. */
  raft->confirmed_commit = MAX (raft->confirmed_commit, request->commit);
}

bool
oh_raft_accept_leader (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  /* A term has one leader; a second one is forged or faulty. */
  if (raft->role == OH_RAFT_LEADER && message->term == raft->hard.term)
    return false;
  oh_raft_become_follower (raft, message->term);
  oh_raft_set_leader (raft, oh_raft_sender_new (message));
  raft->leader_contact_us = raft->now_us;
  raft->hello_due_us = raft->now_us + OH_RAFT_CONFIRMED_US;
  oh_raft_reset_election_timer (raft);
  return true;
}

void
oh_raft_on_append_request (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const Oh__AppendRequest *request = message->append_request;
  Oh__AppendReply reply = OH__APPEND_REPLY__INIT;
  const uint64_t end = request->previous_index + request->n_entries;
  g_autoptr (GPtrArray) entries = entries_from_wire (message);
  int skip;

  if (entries == NULL)
    return;
  if (message->term < raft->hard.term)
    {
      /* The newer term in the reply makes the sender step down. */
      reply_append (raft, message, reply);
      return;
    }
  if (!oh_raft_accept_leader (raft, message))
    return;
  if (request->previous_index > raft->log.snapshot.index
      && !oh_raft_log_matches (&raft->log, request->previous_index, request->previous_term))
    {
      reply.hint = conflict_hint (raft, request->previous_index);
      reply_append (raft, message, reply);
      return;
    }
  skip = count_known_entries (raft, request);
  if (skip < 0)
    {
      oh_raft_log_line (raft, "raft-conflict", "commit=%" PRIu64 " previous=%" PRIu64, raft->commit,
                        request->previous_index);
      return;
    }
  if (raft->storage_full && (size_t)skip < request->n_entries)
    {
      reply_append (raft, message, reply);
      return;
    }
  append_new_entries (raft, entries, (size_t)skip);
  oh_raft_adopt_zone_drain (raft, request);
  update_confirmed (raft, request);
  if (MIN (request->commit, end) > raft->commit)
    {
      raft->commit = MIN (request->commit, end);
      oh_raft_apply_committed (raft);
    }
  reply.success = true;
  reply.match = MAX (end, raft->log.snapshot.index);
  reply_append (raft, message, reply);
}
