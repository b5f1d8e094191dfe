#pragma once

#include "ports/random.h"
#include "ports/storage.h"

/* Storage of an observer: nothing outlives the process, and each start is another replica. */

typedef struct
{
  oh_storage_t storage; /* first member */
} oh_memory_storage_t;

/* Fills *recovered with an empty log and a new id; clear it with oh_recovered_clear. */
void oh_memory_storage_init (oh_memory_storage_t *storage, const char *name, oh_random_t *random,
                             oh_recovered_t *recovered);
