#include "core/entry_packer.h"

#include "base/compression.h"
#include "core/raft.h"

enum
{
  PACK_MIN_BYTES = 1024, /* shorter entries fit into one segment as they are */
  RECENT_MAX = 8,
};

typedef struct
{
  uint64_t index;
  uint64_t term;
  GBytes *bytes; /* NULL: not shorter than the data */
} packed_t;

static void
packed_free (gpointer data)
{
  packed_t *packed = data;

  g_clear_pointer (&packed->bytes, g_bytes_unref);
  g_free (packed);
}

static packed_t *
find_recent (const oh_entry_packer_t *packer, const oh_entry_t *entry)
{
  for (const GList *link = packer->recent.head; link != NULL; link = link->next)
    {
      packed_t *packed = link->data;

      if (packed->index == entry->index && packed->term == entry->term)
        return packed;
    }
  return NULL;
}

static packed_t *
pack (const oh_entry_t *entry)
{
  packed_t *packed = g_new0 (packed_t, 1);
  gsize length;
  const void *data = g_bytes_get_data (entry->data, &length);

  packed->index = entry->index;
  packed->term = entry->term;
  packed->bytes = oh_compress (data, length);
  if (g_bytes_get_size (packed->bytes) >= length)
    g_clear_pointer (&packed->bytes, g_bytes_unref);
  return packed;
}

void
oh_entry_packer_init (oh_entry_packer_t *packer)
{
  g_queue_init (&packer->recent);
}

void
oh_entry_packer_finish (oh_entry_packer_t *packer)
{
  g_queue_clear_full (&packer->recent, packed_free);
}

GBytes *
oh_entry_packer_pack (oh_entry_packer_t *packer, const oh_entry_t *entry)
{
  packed_t *packed;

  if (entry->kind != OH_ENTRY_COMMAND || g_bytes_get_size (entry->data) < PACK_MIN_BYTES)
    return NULL;
  packed = find_recent (packer, entry);
  if (packed != NULL)
    {
      g_queue_remove (&packer->recent, packed);
      g_queue_push_head (&packer->recent, packed);
      return packed->bytes;
    }
  packed = pack (entry);
  g_queue_push_head (&packer->recent, packed);
  if (packer->recent.length > RECENT_MAX)
    packed_free (g_queue_pop_tail (&packer->recent));
  return packed->bytes;
}

GBytes *
oh_entry_unpack (const Oh__LogEntry *entry)
{
  if (entry->packed_data.len > 0)
    return oh_decompress (entry->packed_data.data, entry->packed_data.len, OH_RAFT_COMMAND_MAX_BYTES);
  if (entry->data.len > OH_RAFT_COMMAND_MAX_BYTES)
    return NULL;
  return g_bytes_new (entry->data.data, entry->data.len);
}
