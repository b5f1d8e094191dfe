#include "core/raft_replicas.h"

#include <string.h>

static int
compare (const void *a, const void *b)
{
  const oh_raft_replica_t *left = *(oh_raft_replica_t *const *)a;
  const oh_raft_replica_t *right = *(oh_raft_replica_t *const *)b;
  const int by_name = strcmp (left->name, right->name);

  if (by_name != 0)
    return by_name;
  return left->id < right->id ? -1 : left->id > right->id;
}

static bool
replica_valid (const Oh__Replica *wire)
{
  const size_t name_length = strlen (wire->name);
  const size_t endpoint_length = strlen (wire->endpoint);

  if (name_length == 0 || name_length > OH_RAFT_NAME_MAX_BYTES)
    return false;
  if (endpoint_length == 0 || endpoint_length > OH_RAFT_ENDPOINT_MAX_BYTES)
    return false;
  switch (wire->role)
    {
    case OH__REPLICA_ROLE__REPLICA_VOTER:
    case OH__REPLICA_ROLE__REPLICA_LEARNER:
    case OH__REPLICA_ROLE__REPLICA_OBSERVER:
      return wire->id != 0;
    case OH__REPLICA_ROLE__REPLICA_AWAITED:
      return wire->id == 0;
    case _OH__REPLICA_ROLE_IS_INT_SIZE:
      break;
    }
  return false;
}

oh_raft_replica_t *
oh_raft_replica_new (const char *name, uint64_t id, const char *endpoint, Oh__ReplicaRole role)
{
  oh_raft_replica_t *replica = g_new (oh_raft_replica_t, 1);

  *replica = (oh_raft_replica_t){
    .name = g_strdup (name),
    .id = id,
    .endpoint = g_strdup (endpoint),
    .role = role,
  };
  return replica;
}

void
oh_raft_replica_free (void *pointer)
{
  oh_raft_replica_t *replica = pointer;

  if (replica == NULL)
    return;
  g_free (replica->name);
  g_free (replica->endpoint);
  g_free (replica);
}

GPtrArray *
oh_raft_replicas_new (void)
{
  return g_ptr_array_new_with_free_func (oh_raft_replica_free);
}

GPtrArray *
oh_raft_replicas_copy (const GPtrArray *replicas)
{
  GPtrArray *copy = oh_raft_replicas_new ();

  for (unsigned i = 0; i < replicas->len; i++)
    {
      const oh_raft_replica_t *replica = replicas->pdata[i];

      g_ptr_array_add (copy,
                       oh_raft_replica_new (replica->name, replica->id, replica->endpoint, replica->role));
    }
  return copy;
}

void
oh_raft_replicas_add (GPtrArray *replicas, oh_raft_replica_t *replica)
{
  g_ptr_array_add (replicas, replica);
  g_ptr_array_sort (replicas, compare);
}

oh_raft_replica_t *
oh_raft_replicas_find (const GPtrArray *replicas, uint64_t id)
{
  for (unsigned i = 0; id != 0 && i < replicas->len; i++)
    {
      oh_raft_replica_t *replica = replicas->pdata[i];

      if (replica->id == id)
        return replica;
    }
  return NULL;
}

unsigned
oh_raft_replicas_count (const GPtrArray *replicas, Oh__ReplicaRole role)
{
  unsigned count = 0;

  for (unsigned i = 0; i < replicas->len; i++)
    count += ((const oh_raft_replica_t *)replicas->pdata[i])->role == role;
  return count;
}

GBytes *
oh_raft_replicas_encode (const GPtrArray *replicas)
{
  Oh__ReplicaSet set = OH__REPLICA_SET__INIT;
  g_autofree Oh__Replica *replica_messages = g_new (Oh__Replica, replicas->len);
  g_autofree Oh__Replica **pointers = g_new (Oh__Replica *, replicas->len);

  for (unsigned i = 0; i < replicas->len; i++)
    {
      const oh_raft_replica_t *replica = replicas->pdata[i];

      oh__replica__init (&replica_messages[i]);
      replica_messages[i].name = replica->name;
      replica_messages[i].id = replica->id;
      replica_messages[i].endpoint = replica->endpoint;
      replica_messages[i].role = replica->role;
      pointers[i] = &replica_messages[i];
    }
  set.n_replicas = replicas->len;
  set.replicas = pointers;

  const size_t length = oh__replica_set__get_packed_size (&set);
  uint8_t *bytes = g_malloc (length);
  oh__replica_set__pack (&set, bytes);
  return g_bytes_new_take (bytes, length);
}

GPtrArray *
oh_raft_replicas_decode (GBytes *bytes)
{
  size_t length;
  const uint8_t *data = g_bytes_get_data (bytes, &length);
  Oh__ReplicaSet *set = oh__replica_set__unpack (NULL, length, data);
  GPtrArray *replicas = NULL;
  bool valid;

  if (set == NULL)
    return NULL;
  valid = set->n_replicas <= OH_RAFT_REPLICAS_MAX;
  replicas = oh_raft_replicas_new ();
  for (size_t i = 0; valid && i < set->n_replicas; i++)
    {
      const Oh__Replica *wire = set->replicas[i];

      valid = replica_valid (wire) && oh_raft_replicas_find (replicas, wire->id) == NULL;
      if (valid)
        oh_raft_replicas_add (replicas,
                              oh_raft_replica_new (wire->name, wire->id, wire->endpoint, wire->role));
    }
  oh__replica_set__free_unpacked (set, NULL);
  if (!valid)
    g_clear_pointer (&replicas, g_ptr_array_unref);
  return replicas;
}
