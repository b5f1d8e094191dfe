#include "core/raft_private.h"

enum
{
  FULL_DISK_RETRY_US = 1000000, /* between attempts to write to a full disk */
};

static const uint64_t no_index = UINT64_MAX;

void
oh_raft_pending_message_free (void *pointer)
{
  oh_raft_pending_message_t *pending = pointer;

  oh_raft_replica_free (pending->to);
  g_free (pending);
}

static void
send_pending_message (oh_raft_t *raft, oh_raft_pending_message_t *pending)
{
  Oh__RaftMessage message = OH__RAFT_MESSAGE__INIT;

  message.body_case = pending->kind;
  switch ((int)pending->kind)
    {
    case OH__RAFT_MESSAGE__BODY_VOTE_REQUEST:
      message.vote_request = &pending->vote_request;
      break;
    case OH__RAFT_MESSAGE__BODY_VOTE_REPLY:
      message.vote_reply = &pending->vote_reply;
      break;
    case OH__RAFT_MESSAGE__BODY_APPEND_REPLY:
      message.append_reply = &pending->append_reply;
      break;
    case OH__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
      message.snapshot_reply = &pending->snapshot_reply;
      break;
    }
  oh_raft_send (raft, pending->to, pending->term, &message);
}

static bool
is_dirty (const oh_raft_t *raft)
{
  return raft->dirty_hard || raft->dirty_snapshot || raft->dirty_from != no_index;
}

void
oh_raft_send_after_sync (oh_raft_t *raft, const oh_raft_pending_message_t *pending)
{
  oh_raft_pending_message_t *copy = g_new (oh_raft_pending_message_t, 1);

  *copy = *pending;
  copy->term = raft->hard.term;
  if (is_dirty (raft))
    copy->persist_id = raft->persist_id + 1;
  else if (raft->persist_outstanding)
    copy->persist_id = raft->persist_id;
  else
    copy->persist_id = raft->synced_id;
  if (copy->persist_id <= raft->synced_id)
    {
      send_pending_message (raft, copy);
      oh_raft_pending_message_free (copy);
    }
  else
    g_queue_push_tail (&raft->pending_messages, copy);
}

uint64_t
oh_raft_durable_index (const oh_raft_t *raft)
{
  const uint64_t first_not_durable = MIN (raft->dirty_from, raft->persist_from);

  /* Until an installed snapshot is durable, the disk holds a log that may disagree with the leader's. */
  if (raft->log.snapshot.index > raft->applied && (raft->dirty_snapshot || raft->persist_snapshot))
    return 0;
  return MIN (oh_raft_log_last_index (&raft->log), first_not_durable - 1);
}

void
oh_raft_issue_persist (oh_raft_t *raft)
{
  oh_persist_request_t *request;

  if (raft->persist_outstanding || !is_dirty (raft))
    return;
  if (raft->storage_full && raft->now_us < raft->storage_retry_due_us)
    return;
  request = g_new0 (oh_persist_request_t, 1);
  request->id = ++raft->persist_id;
  request->hard = raft->hard;
  request->entries = g_ptr_array_new_with_free_func (oh_entry_free);
  if (raft->dirty_snapshot)
    oh_snapshot_copy (&request->snapshot, &raft->log.snapshot);
  if (raft->dirty_from != no_index)
    {
      request->truncate_from = raft->dirty_from;
      for (uint64_t i = raft->dirty_from; i <= oh_raft_log_last_index (&raft->log); i++)
        {
          const oh_entry_t *entry = oh_raft_log_get (&raft->log, i);

          g_ptr_array_add (request->entries,
                           oh_entry_new (entry->index, entry->term, entry->kind, entry->data));
        }
    }
  raft->persist_outstanding = true;
  raft->persist_term = raft->hard.term;
  raft->persist_from = raft->dirty_from;
  raft->persist_snapshot = raft->dirty_snapshot;
  raft->dirty_from = no_index;
  raft->dirty_snapshot = false;
  raft->dirty_hard = false;
  raft->sink->ops->persist (raft->sink, request);
}

void
oh_raft_on_synced (oh_raft_t *raft, uint64_t id)
{
  if (!raft->persist_outstanding || id != raft->persist_id)
    return;
  raft->persist_outstanding = false;
  raft->persist_from = no_index;
  raft->persist_snapshot = false;
  raft->synced_id = id;
  raft->durable_term = raft->persist_term;
  if (raft->storage_full)
    {
      raft->storage_full = false;
      oh_raft_log_line (raft, "raft-storage-recovered", "last=%" PRIu64, oh_raft_log_last_index (&raft->log));
    }
  while (!g_queue_is_empty (&raft->pending_messages))
    {
      oh_raft_pending_message_t *pending = g_queue_peek_head (&raft->pending_messages);

      if (pending->persist_id > raft->synced_id)
        break;
      g_queue_pop_head (&raft->pending_messages);
      if (pending->term == raft->hard.term)
        send_pending_message (raft, pending);
      oh_raft_pending_message_free (pending);
    }
  oh_raft_recount_votes (raft);
  if (raft->role == OH_RAFT_LEADER)
    oh_raft_advance_commit (raft);
  oh_raft_apply_committed (raft);
}

void
oh_raft_on_storage_failed (oh_raft_t *raft, uint64_t id, bool full)
{
  if (!raft->persist_outstanding || id != raft->persist_id)
    return;
  /* The contents of the request go into the next one; messages that wait for it are dropped. */
  raft->persist_outstanding = false;
  raft->dirty_from = MIN (raft->dirty_from, raft->persist_from);
  /* A snapshot installed meanwhile replaces the request's entries up to its index. */
  raft->dirty_from = MAX (raft->dirty_from, raft->log.snapshot.index + 1);
  raft->dirty_snapshot |= raft->persist_snapshot;
  raft->dirty_hard = true;
  raft->persist_from = no_index;
  raft->persist_snapshot = false;
  g_queue_clear_full (&raft->pending_messages, oh_raft_pending_message_free);
  if (!raft->storage_full)
    oh_raft_log_line (raft, "raft-storage-failed", "full=%d last=%" PRIu64 " durable=%" PRIu64, full,
                      oh_raft_log_last_index (&raft->log), oh_raft_durable_index (raft));
  raft->storage_full = true;
  raft->storage_retry_due_us = raft->now_us + FULL_DISK_RETRY_US;
  raft->report_change_pending = true;
  if (raft->role == OH_RAFT_LEADER || raft->role == OH_RAFT_CANDIDATE)
    oh_raft_become_follower (raft, raft->hard.term);
  if (!full)
    {
      raft->role = OH_RAFT_FAILED;
      oh_raft_set_leader (raft, NULL);
    }
}
