#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

/*
 * Durable state of a Raft replica: identity, hard state, snapshot and log. Functions block until the data is
 * durable. A storage is used by one thread at a time; the control daemon calls it on a thread of its own, so
 * that a slow disk does not delay heartbeats. Raft has at most one persist request outstanding.
 */

typedef enum
{
  OH_ENTRY_COMMAND,
  OH_ENTRY_NOOP,
  OH_ENTRY_REPLICAS, /* data is an encoded ReplicaSet */
} oh_entry_kind_t;

typedef struct
{
  uint64_t index;
  uint64_t term;
  oh_entry_kind_t kind;
  GBytes *data; /* never NULL, may be empty */
} oh_entry_t;

typedef struct
{
  uint64_t term;
  uint64_t voted_for; /* replica id, 0 for none */
  uint64_t cluster;   /* 0 before the replica belongs to a cluster */
} oh_hard_state_t;

/* Replicated state after the entry at index. Index 0: no snapshot, and the pointers are NULL. */
typedef struct
{
  uint64_t index;
  uint64_t term;
  GBytes *replicas; /* encoded ReplicaSet in effect at index */
  GBytes *data;
} oh_snapshot_t;

/* Changes to the durable state, applied atomically: all of them become durable or none. */
typedef struct
{
  uint64_t id; /* chosen by the sender, to match the result to the request */
  oh_hard_state_t hard;
  oh_snapshot_t snapshot; /* replaces all log entries up to its index; index 0: no snapshot */
  uint64_t truncate_from; /* log entries from this index on are removed; 0: none */
  GPtrArray *entries;     /* of oh_entry_t *, consecutive, owned; appended after the truncation */
} oh_persist_request_t;

/* State recovered from a storage when it is opened. */
typedef struct
{
  char *name;
  uint64_t id; /* random, generated when the data folder was created */
  oh_hard_state_t hard;
  oh_snapshot_t snapshot;
  GPtrArray *entries; /* of oh_entry_t *, consecutive after the snapshot, owned */
} oh_recovered_state_t;

typedef struct oh_storage oh_storage_t;

typedef struct
{
  /* After OH_ERROR_CODE_NO_SPACE the durable state is unchanged and a later request may succeed. Any
   * other failure is final: no further request is made to the storage. */
  bool (*persist) (oh_storage_t *storage, const oh_persist_request_t *request, oh_error_t *error);
} oh_storage_ops_t;

struct oh_storage
{
  const oh_storage_ops_t *ops;
};

static inline bool
oh_storage_persist (oh_storage_t *storage, const oh_persist_request_t *request, oh_error_t *error)
{
  return storage->ops->persist (storage, request, error);
}

/* Takes a new reference to data. Free with oh_entry_free. */
static inline oh_entry_t *
oh_entry_new (uint64_t index, uint64_t term, oh_entry_kind_t kind, GBytes *data)
{
  oh_entry_t *entry = g_new (oh_entry_t, 1);

  *entry = (oh_entry_t){ .index = index, .term = term, .kind = kind, .data = g_bytes_ref (data) };
  return entry;
}

/* Has the signature of a GDestroyNotify. */
static inline void
oh_entry_free (void *pointer)
{
  oh_entry_t *entry = pointer;

  g_bytes_unref (entry->data);
  g_free (entry);
}

static inline void
oh_snapshot_clear (oh_snapshot_t *snapshot)
{
  g_clear_pointer (&snapshot->replicas, g_bytes_unref);
  g_clear_pointer (&snapshot->data, g_bytes_unref);
  snapshot->index = 0;
  snapshot->term = 0;
}

/* Takes new references to the data of the source. The target is overwritten without being cleared. */
static inline void
oh_snapshot_copy (oh_snapshot_t *target, const oh_snapshot_t *source)
{
  *target = *source;
  if (source->replicas != NULL)
    g_bytes_ref (source->replicas);
  if (source->data != NULL)
    g_bytes_ref (source->data);
}

static inline void
oh_persist_request_free (oh_persist_request_t *request)
{
  oh_snapshot_clear (&request->snapshot);
  g_ptr_array_unref (request->entries);
  g_free (request);
}

static inline void
oh_recovered_state_clear (oh_recovered_state_t *recovered)
{
  g_clear_pointer (&recovered->name, g_free);
  oh_snapshot_clear (&recovered->snapshot);
  g_clear_pointer (&recovered->entries, g_ptr_array_unref);
}
