#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

/*
 * Durable state of a replica: its identity, hard state, snapshot and log. The functions block until the data
 * is durable. A storage belongs to one thread at a time; the control daemon calls it from its storage thread,
 * so that a slow disk does not delay heartbeats. The raft core has at most one request outstanding.
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

/* State after the entry at index. An index of 0 means that there is no snapshot; the pointers are NULL. */
typedef struct
{
  uint64_t index;
  uint64_t term;
  GBytes *replicas; /* encoded ReplicaSet at index */
  GBytes *data;
} oh_snapshot_t;

/* A request is durable as a whole or not at all. */
typedef struct
{
  uint64_t id;
  oh_hard_state_t hard;
  oh_snapshot_t snapshot; /* entries up to its index are removed; index 0 for none */
  uint64_t truncate_from; /* entries from this index on are removed; 0 for none */
  GPtrArray *entries;     /* of oh_entry_t *, consecutive, owned; appended after the truncation */
} oh_persist_t;

/* What a storage holds when it is opened. */
typedef struct
{
  char *name;
  uint64_t id; /* random, drawn when the data folder was created */
  oh_hard_state_t hard;
  oh_snapshot_t snapshot;
  GPtrArray *entries; /* of oh_entry_t *, consecutive after the snapshot, owned */
} oh_recovered_t;

typedef struct oh_storage oh_storage_t;

typedef struct
{
  /* On OH_ERROR_CODE_NO_SPACE nothing changed and a later request may succeed. Any other failure is final. */
  bool (*persist) (oh_storage_t *storage, const oh_persist_t *request, oh_error_t *error);
} oh_storage_ops_t;

struct oh_storage
{
  const oh_storage_ops_t *ops;
};

static inline bool
oh_storage_persist (oh_storage_t *storage, const oh_persist_t *request, oh_error_t *error)
{
  return storage->ops->persist (storage, request, error);
}

/* Takes a reference to data. */
static inline oh_entry_t *
oh_entry_new (uint64_t index, uint64_t term, oh_entry_kind_t kind, GBytes *data)
{
  oh_entry_t *entry = g_new (oh_entry_t, 1);

  *entry = (oh_entry_t){ .index = index, .term = term, .kind = kind, .data = g_bytes_ref (data) };
  return entry;
}

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

/* Copies references; the target must be clear. */
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
oh_persist_free (oh_persist_t *request)
{
  oh_snapshot_clear (&request->snapshot);
  g_ptr_array_unref (request->entries);
  g_free (request);
}

static inline void
oh_recovered_clear (oh_recovered_t *recovered)
{
  g_clear_pointer (&recovered->name, g_free);
  oh_snapshot_clear (&recovered->snapshot);
  g_clear_pointer (&recovered->entries, g_ptr_array_unref);
}
