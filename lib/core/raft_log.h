#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ports/storage.h"

/* The log in memory: a snapshot and the entries after it. */

typedef struct
{
  oh_snapshot_t snapshot;
  GPtrArray *entries; /* of oh_entry_t *, the first one at snapshot.index + 1 */
  size_t bytes;       /* size of the data of the entries */
} oh_raft_log_t;

void oh_raft_log_init (oh_raft_log_t *log);
void oh_raft_log_finish (oh_raft_log_t *log);

static inline uint64_t
oh_raft_log_last_index (const oh_raft_log_t *log)
{
  return log->snapshot.index + log->entries->len;
}

/* NULL if the index is not among the entries. */
const oh_entry_t *oh_raft_log_get (const oh_raft_log_t *log, uint64_t index);

/* Sets *term to the term of the entry at index; false if index is neither among the entries nor the last one
 * of the snapshot. Index 0 has term 0 while there is no snapshot. */
bool oh_raft_log_term (const oh_raft_log_t *log, uint64_t index, uint64_t *term);

uint64_t oh_raft_log_last_term (const oh_raft_log_t *log);

/* True if the log has that term at that index. */
bool oh_raft_log_matches (const oh_raft_log_t *log, uint64_t index, uint64_t term);

/* Takes ownership of the entry, whose index must be that after the last. */
void oh_raft_log_append (oh_raft_log_t *log, oh_entry_t *entry);

/* Removes the entries from index on; index must be after the snapshot. */
void oh_raft_log_truncate (oh_raft_log_t *log, uint64_t index);

/* Replaces the snapshot by a later one, whose references are copied. Entries after it stay if the log holds
 * the last entry of the snapshot; otherwise all entries are removed. */
void oh_raft_log_set_snapshot (oh_raft_log_t *log, const oh_snapshot_t *snapshot);

/* The encoded replica set in effect at index, and the index of its entry (or of the snapshot); NULL if
 * none. Borrowed. */
GBytes *oh_raft_log_replicas (const oh_raft_log_t *log, uint64_t index, uint64_t *set_index);
