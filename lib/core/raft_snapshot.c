#include <xxhash.h>

#include "base/compression.h"
#include "core/raft_private.h"

enum
{
  CHUNK_BYTES = 32 * 1024,     /* 128 ms at 2 Mbit/s, within which a heartbeat waits */
  CHUNK_MAX_BYTES = 64 * 1024, /* accepted: earlier releases send chunks of this size */
  /* The applied state holds the text and the published document, of 1 MiB each at most, 1,024 change results
   * and 4,096 names of drained upstreams: under 3 MiB. */
  SNAPSHOT_MAX_BYTES = 16 * 1024 * 1024,
};

static uint64_t
snapshot_digest (GBytes *data)
{
  size_t length;
  const void *bytes = g_bytes_get_data (data, &length);

  return XXH64 (bytes, length, 0);
}

/* Leader. */

/* The bytes of the snapshot as they are sent to the peer. */
static GBytes *
snapshot_bytes (oh_raft_t *raft, const oh_raft_peer_t *peer)
{
  const oh_snapshot_t *snapshot = &raft->log.snapshot;

  if (!peer->snapshot_packed)
    return snapshot->data;
  if (raft->packed_snapshot == NULL || raft->packed_snapshot_index != snapshot->index)
    {
      gsize length;
      const void *data = g_bytes_get_data (snapshot->data, &length);

      g_clear_pointer (&raft->packed_snapshot, g_bytes_unref);
      raft->packed_snapshot = oh_compress (data, length);
      raft->packed_snapshot_index = snapshot->index;
    }
  return raft->packed_snapshot;
}

void
oh_raft_send_snapshot (oh_raft_t *raft, const oh_raft_replica_t *to, oh_raft_peer_t *peer)
{
  const oh_snapshot_t *snapshot = &raft->log.snapshot;
  Oh__RaftMessage message = OH__RAFT_MESSAGE__INIT;
  Oh__SnapshotRequest request = OH__SNAPSHOT_REQUEST__INIT;
  size_t length;
  const uint8_t *data;
  GBytes *bytes;

  if (peer->snapshot_index != snapshot->index)
    peer->snapshot_packed = peer->unpacks;
  bytes = snapshot_bytes (raft, peer);
  data = g_bytes_get_data (bytes, &length);
  if (peer->snapshot_index != snapshot->index)
    {
      peer->snapshot_index = snapshot->index;
      peer->snapshot_offset = 0;
      peer->snapshot_received = false;
      oh_raft_log_line (raft, "raft-snapshot-send", "to=%s to_id=%016" PRIx64 " index=%" PRIu64 " bytes=%zu",
                        to->name, to->id, snapshot->index, length);
    }
  request.last_index = snapshot->index;
  request.last_term = snapshot->term;
  request.replicas.data = (uint8_t *)g_bytes_get_data (snapshot->replicas, &request.replicas.len);
  request.total_length = length;
  request.offset = MIN (peer->snapshot_offset, length);
  request.data.len = MIN (length - request.offset, CHUNK_BYTES);
  request.data.data = request.data.len > 0 ? (uint8_t *)data + request.offset : NULL;
  request.digest = snapshot_digest (bytes);
  request.packed = peer->snapshot_packed;
  request.sent_us = peer->sent_us;
  message.body_case = OH__RAFT_MESSAGE__BODY_SNAPSHOT_REQUEST;
  message.snapshot_request = &request;
  oh_raft_send (raft, to, raft->hard.term, &message);
}

void
oh_raft_on_snapshot_reply (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const Oh__SnapshotReply *reply = message->snapshot_reply;
  oh_raft_peer_t *peer = oh_raft_accept_reply (raft, message, reply->sent_us);

  if (peer == NULL || reply->last_index > raft->commit)
    return;
  if (reply->full)
    return; /* sent again when a reply to a heartbeat shows that there is space */
  if (reply->done)
    {
      peer->match_index = MAX (peer->match_index, reply->last_index);
      peer->next_index = MAX (peer->next_index, peer->match_index + 1);
      peer->awaiting_reply = false;
      peer->snapshot_index = 0;
      oh_raft_advance_commit (raft);
    }
  else if (reply->last_index == peer->snapshot_index && reply->sent_us >= peer->sent_us)
    {
      peer->snapshot_offset = reply->next_offset;
      peer->snapshot_received = reply->next_offset == g_bytes_get_size (snapshot_bytes (raft, peer));
      peer->awaiting_reply = peer->snapshot_received;
    }
  raft->broadcast_pending = true;
}

/* Follower. */

/* Replies once everything that has changed so far is durable. */
static void
reply_snapshot (oh_raft_t *raft, const Oh__RaftMessage *message, Oh__SnapshotReply reply)
{
  reply.last_index = message->snapshot_request->last_index;
  reply.sent_us = message->snapshot_request->sent_us;
  oh_raft_send_after_sync (raft, &(oh_raft_pending_message_t){
                                   .to = oh_raft_sender_new (message),
                                   .kind = OH__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY,
                                   .snapshot_reply = reply,
                                 });
}

/* Tells where the next chunk begins. Chunks are held in memory, so that this need not wait for the disk. */
static void
reply_chunk (oh_raft_t *raft, const Oh__RaftMessage *message, uint64_t next_offset)
{
  Oh__RaftMessage reply_message = OH__RAFT_MESSAGE__INIT;
  Oh__SnapshotReply reply = OH__SNAPSHOT_REPLY__INIT;
  oh_raft_replica_t *to;

  reply.next_offset = next_offset;
  if (raft->hard.term != raft->durable_term)
    {
      reply_snapshot (raft, message, reply);
      return;
    }
  reply.last_index = message->snapshot_request->last_index;
  reply.sent_us = message->snapshot_request->sent_us;
  reply_message.body_case = OH__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY;
  reply_message.snapshot_reply = &reply;
  to = oh_raft_sender_new (message);
  oh_raft_send (raft, to, raft->hard.term, &reply_message);
  oh_raft_replica_free (to);
}

static bool
snapshot_request_valid (const Oh__RaftMessage *message)
{
  const Oh__SnapshotRequest *request = message->snapshot_request;

  return request->last_index > 0 && request->last_index < INT64_MAX && request->last_term <= message->term
         && request->total_length <= SNAPSHOT_MAX_BYTES && request->data.len <= CHUNK_MAX_BYTES
         && request->offset <= request->total_length
         && request->data.len <= request->total_length - request->offset;
}

static void
start_incoming_snapshot (oh_raft_t *raft, const Oh__SnapshotRequest *request)
{
  oh_snapshot_clear (&raft->incoming_snapshot);
  raft->incoming_snapshot.index = request->last_index;
  raft->incoming_snapshot.term = request->last_term;
  raft->incoming_snapshot_length = request->total_length;
  raft->incoming_snapshot_digest = request->digest;
  raft->incoming_snapshot_packed = request->packed;
  g_clear_pointer (&raft->incoming_snapshot_data, g_byte_array_unref);
  raft->incoming_snapshot_data = g_byte_array_new ();
}

static void
install_snapshot (oh_raft_t *raft, const oh_snapshot_t *snapshot)
{
  oh_raft_log_set_snapshot (&raft->log, snapshot);
  raft->commit = snapshot->index;
  raft->dirty_snapshot = true;
  raft->dirty_from = snapshot->index + 1;
  raft->snapshot_requested = false;
  oh_raft_load_replicas (raft);
  oh_raft_log_line (raft, "raft-snapshot-install", "index=%" PRIu64 " bytes=%zu", snapshot->index,
                    g_bytes_get_size (snapshot->data));
}

/* The data of the received snapshot; NULL if the bytes are corrupt. */
static GBytes *
unpack_incoming_snapshot (oh_raft_t *raft)
{
  g_autoptr (GBytes) bytes = g_byte_array_free_to_bytes (g_steal_pointer (&raft->incoming_snapshot_data));
  gsize length;
  const void *data = g_bytes_get_data (bytes, &length);

  if (snapshot_digest (bytes) != raft->incoming_snapshot_digest)
    return NULL;
  return raft->incoming_snapshot_packed ? oh_decompress (data, length, SNAPSHOT_MAX_BYTES)
                                        : g_bytes_ref (bytes);
}

/* Installs the received snapshot; false if it is corrupt. */
static bool
finish_incoming_snapshot (oh_raft_t *raft, const Oh__SnapshotRequest *request)
{
  GPtrArray *replicas;
  bool valid;

  raft->incoming_snapshot.data = unpack_incoming_snapshot (raft);
  raft->incoming_snapshot.replicas = g_bytes_new (request->replicas.data, request->replicas.len);
  replicas = oh_raft_replicas_decode (raft->incoming_snapshot.replicas);
  valid = replicas != NULL && raft->incoming_snapshot.data != NULL;
  g_clear_pointer (&replicas, g_ptr_array_unref);
  if (valid)
    install_snapshot (raft, &raft->incoming_snapshot);
  oh_snapshot_clear (&raft->incoming_snapshot);
  return valid;
}

void
oh_raft_on_snapshot_request (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const Oh__SnapshotRequest *request = message->snapshot_request;
  Oh__SnapshotReply reply = OH__SNAPSHOT_REPLY__INIT;
  uint64_t next_offset;

  if (!snapshot_request_valid (message))
    return;
  if (message->term < raft->hard.term)
    {
      reply_snapshot (raft, message, reply);
      return;
    }
  if (!oh_raft_accept_leader (raft, message))
    return;
  if (request->last_index <= raft->commit)
    {
      reply.done = true;
      reply_snapshot (raft, message, reply);
      return;
    }
  if (raft->storage_full)
    {
      reply.full = true;
      reply_snapshot (raft, message, reply);
      return;
    }
  if (oh_raft_log_matches (&raft->log, request->last_index, request->last_term))
    {
      raft->commit = request->last_index;
      oh_raft_apply_committed (raft);
      reply.done = true;
      reply_snapshot (raft, message, reply);
      return;
    }
  if (raft->incoming_snapshot_data == NULL || raft->incoming_snapshot.index != request->last_index
      || raft->incoming_snapshot.term != request->last_term
      || raft->incoming_snapshot_length != request->total_length
      || raft->incoming_snapshot_digest != request->digest
      || raft->incoming_snapshot_packed != request->packed)
    start_incoming_snapshot (raft, request);
  if (request->offset == raft->incoming_snapshot_data->len)
    g_byte_array_append (raft->incoming_snapshot_data, request->data.data, (unsigned)request->data.len);
  next_offset = raft->incoming_snapshot_data->len;
  if (next_offset == raft->incoming_snapshot_length)
    {
      reply.done = finish_incoming_snapshot (raft, request);
      if (!reply.done)
        next_offset = 0;
    }
  reply_chunk (raft, message, next_offset);
  if (reply.done)
    reply_snapshot (raft, message, reply);
}

/* Snapshots taken by this replica. */

void
oh_raft_on_snapshot_ready (oh_raft_t *raft, uint64_t index, GBytes *data)
{
  oh_snapshot_t snapshot = { .index = index, .data = data };
  uint64_t set_index;

  /* A snapshot installed meanwhile may be newer than the one that was asked for. */
  if (index > raft->log.snapshot.index && index <= raft->applied
      && oh_raft_log_term (&raft->log, index, &snapshot.term)
      && g_bytes_get_size (data) <= SNAPSHOT_MAX_BYTES)
    {
      snapshot.replicas = oh_raft_log_replicas (&raft->log, index, &set_index);
      oh_raft_log_set_snapshot (&raft->log, &snapshot);
      raft->replicas_index = MAX (raft->replicas_index, index);
      raft->dirty_snapshot = true;
      oh_raft_log_line (raft, "raft-snapshot-taken", "index=%" PRIu64 " bytes=%zu", index,
                        g_bytes_get_size (data));
    }
  raft->snapshot_requested = false;
}
