#include "core/raft_log.h"

void
oh_raft_log_init (oh_raft_log_t *log)
{
  *log = (oh_raft_log_t){ .entries = g_ptr_array_new_with_free_func (oh_entry_free) };
}

void
oh_raft_log_finish (oh_raft_log_t *log)
{
  oh_snapshot_clear (&log->snapshot);
  g_clear_pointer (&log->entries, g_ptr_array_unref);
}

const oh_entry_t *
oh_raft_log_get (const oh_raft_log_t *log, uint64_t index)
{
  if (index <= log->snapshot.index || index > oh_raft_log_last_index (log))
    return NULL;
  return log->entries->pdata[index - log->snapshot.index - 1];
}

bool
oh_raft_log_term (const oh_raft_log_t *log, uint64_t index, uint64_t *term)
{
  const oh_entry_t *entry = oh_raft_log_get (log, index);

  if (entry != NULL)
    *term = entry->term;
  else if (index == log->snapshot.index)
    *term = log->snapshot.term;
  else
    return false;
  return true;
}

uint64_t
oh_raft_log_last_term (const oh_raft_log_t *log)
{
  uint64_t term = 0;

  oh_raft_log_term (log, oh_raft_log_last_index (log), &term);
  return term;
}

bool
oh_raft_log_matches (const oh_raft_log_t *log, uint64_t index, uint64_t term)
{
  uint64_t own_term;

  return oh_raft_log_term (log, index, &own_term) && own_term == term;
}

void
oh_raft_log_append (oh_raft_log_t *log, oh_entry_t *entry)
{
  g_assert (entry->index == oh_raft_log_last_index (log) + 1);
  log->bytes += g_bytes_get_size (entry->data);
  g_ptr_array_add (log->entries, entry);
}

static void
remove_range (oh_raft_log_t *log, unsigned start, unsigned count)
{
  for (unsigned i = start; i < start + count; i++)
    log->bytes -= g_bytes_get_size (((const oh_entry_t *)log->entries->pdata[i])->data);
  if (count > 0)
    g_ptr_array_remove_range (log->entries, start, count);
}

void
oh_raft_log_truncate (oh_raft_log_t *log, uint64_t index)
{
  g_assert (index > log->snapshot.index);
  if (index > oh_raft_log_last_index (log))
    return;

  const unsigned start = (unsigned)(index - log->snapshot.index - 1);
  remove_range (log, start, log->entries->len - start);
}

void
oh_raft_log_set_snapshot (oh_raft_log_t *log, const oh_snapshot_t *snapshot)
{
  oh_snapshot_t copy;
  unsigned count = log->entries->len;

  g_assert (snapshot->index > log->snapshot.index);
  if (oh_raft_log_matches (log, snapshot->index, snapshot->term))
    count = (unsigned)(snapshot->index - log->snapshot.index);
  /* The snapshot may refer to bytes that only an entry or the old snapshot keeps alive. */
  oh_snapshot_copy (&copy, snapshot);
  remove_range (log, 0, count);
  oh_snapshot_clear (&log->snapshot);
  log->snapshot = copy;
}

GBytes *
oh_raft_log_replicas (const oh_raft_log_t *log, uint64_t index, uint64_t *set_index)
{
  for (uint64_t i = MIN (index, oh_raft_log_last_index (log)); i > log->snapshot.index; i--)
    {
      const oh_entry_t *entry = oh_raft_log_get (log, i);

      if (entry->kind == OH_ENTRY_REPLICAS)
        {
          *set_index = i;
          return entry->data;
        }
    }
  *set_index = log->snapshot.index;
  return log->snapshot.replicas;
}
