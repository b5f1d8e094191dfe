#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/raft.pb-c.h"

/* Replica sets: GPtrArray of owned oh_raft_replica_t *, sorted by name, then id. */

enum
{
  OH_RAFT_REPLICAS_MAX = 16, /* of all roles together */
  OH_RAFT_NAME_MAX_BYTES = 63,
  OH_RAFT_ENDPOINT_MAX_BYTES = 127,
};

typedef struct
{
  char *name;
  uint64_t id; /* 0: not known, as for REPLICA_AWAITED and in the initial set */
  char *endpoint;
  Oh__ReplicaRole role;
  uint64_t reply_nonce; /* in known_replicas: of its last HelloReply; 0: none */
} oh_raft_replica_t;

oh_raft_replica_t *oh_raft_replica_new (const char *name, uint64_t id, const char *endpoint,
                                        Oh__ReplicaRole role);
void oh_raft_replica_free (void *replica);

GPtrArray *oh_raft_replicas_new (void);
GPtrArray *oh_raft_replicas_copy (const GPtrArray *replicas);

/* Takes ownership of replica, and keeps the order. */
void oh_raft_replicas_add (GPtrArray *replicas, oh_raft_replica_t *replica);

/* NULL if absent, always for id 0. Borrowed. */
oh_raft_replica_t *oh_raft_replicas_find (const GPtrArray *replicas, uint64_t id);

unsigned oh_raft_replicas_count (const GPtrArray *replicas, Oh__ReplicaRole role);

/* Deterministic: equal sets give equal bytes, from which the cluster id is computed. */
GBytes *oh_raft_replicas_encode (const GPtrArray *replicas);

/* NULL if the bytes are not a valid set: at most OH_RAFT_REPLICAS_MAX replicas, names and endpoints present
 * and bounded, ids unique, and 0 exactly for REPLICA_AWAITED. */
GPtrArray *oh_raft_replicas_decode (GBytes *bytes);
