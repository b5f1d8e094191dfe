#pragma once

#include <glib.h>

#include "ports/storage.h"
#include "wire/raft.pb-c.h"

/*
 * Compression of log entries on their way to other replicas. A change holds a document and the text that it
 * was translated from, which compress well, and goes to each replica over its link.
 */

typedef struct
{
  GQueue recent; /* of packed_t *, owned, the last used first: the same entry goes to several replicas */
} oh_entry_packer_t;

void oh_entry_packer_init (oh_entry_packer_t *packer);
void oh_entry_packer_finish (oh_entry_packer_t *packer);

/* Returns the compressed data, which the packer owns until the next call; NULL if that is not worth it. */
GBytes *oh_entry_packer_pack (oh_entry_packer_t *packer, const oh_entry_t *entry);

/* Returns the data of an entry as it was received, compressed or not; NULL if it is malformed or too long. */
GBytes *oh_entry_unpack (const Oh__LogEntry *entry);
