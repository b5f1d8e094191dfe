#pragma once

#include "ports/random.h"
#include "ports/storage.h"

/* Storage of an observer, which keeps no state across restarts: each start is a new replica with a new id. */

typedef struct
{
  oh_storage_t storage; /* first member */
} oh_memory_storage_t;

/* Fills *recovered with the name, a new id from random and an empty log; the caller clears it with
 * oh_recovered_state_clear. Requests to the storage succeed and have no effect. */
void oh_memory_storage_init (oh_memory_storage_t *storage, const char *name, oh_random_t *random,
                             oh_recovered_state_t *recovered);
