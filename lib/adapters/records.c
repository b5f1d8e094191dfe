#include "adapters/records.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "core/raft_replicas.h"
#include "wire/raft.pb-c.h"

enum
{
  SECTOR_BYTES = 512, /* smallest unit that a disk writes as a whole */
};

static uint32_t
length_checksum (const uint8_t bytes[4], uint64_t offset)
{
  return (uint32_t)XXH64 (bytes, 4, offset);
}

static bool
all_zero (const uint8_t *bytes, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (bytes[i] != 0)
      return false;
  return true;
}

/* True if the part of the message, which lies in [start, end), in the last sector that it reaches into holds
 * only zero bytes. */
static bool
end_unwritten (const uint8_t *bytes, size_t start, size_t end)
{
  const size_t last_sector = (end - 1) / SECTOR_BYTES * SECTOR_BYTES;
  const size_t from = MAX (last_sector, start);

  return all_zero (bytes + from, end - from);
}

oh_record_status_t
oh_record_read (const uint8_t *bytes, size_t length, size_t *offset, const uint8_t **message,
                size_t *message_length)
{
  const size_t start = *offset;
  const size_t left = length - start;
  const uint8_t *header = bytes + start;
  uint32_t size;
  uint32_t checksum;
  uint64_t digest;

  if (left == 0)
    return OH_RECORD_END;
  if (left < OH_RECORD_HEADER_BYTES)
    return OH_RECORD_TORN;
  memcpy (&size, header, sizeof size);
  memcpy (&checksum, header + 4, sizeof checksum);
  memcpy (&digest, header + 8, sizeof digest);
  size = GUINT32_FROM_LE (size);
  if (GUINT32_FROM_LE (checksum) != length_checksum (header, start))
    return all_zero (header, left) ? OH_RECORD_TORN : OH_RECORD_CORRUPT;
  if (size > OH_RECORD_MAX_BYTES)
    return OH_RECORD_CORRUPT;
  if (size > left - OH_RECORD_HEADER_BYTES)
    return OH_RECORD_TORN;
  if (GUINT64_FROM_LE (digest) != XXH64 (header + OH_RECORD_HEADER_BYTES, size, start))
    {
      const size_t end = start + OH_RECORD_HEADER_BYTES + size;

      return end == length && size > 0 && end_unwritten (bytes, start + OH_RECORD_HEADER_BYTES, end)
               ? OH_RECORD_TORN
               : OH_RECORD_CORRUPT;
    }
  *message = header + OH_RECORD_HEADER_BYTES;
  *message_length = size;
  *offset = start + OH_RECORD_HEADER_BYTES + size;
  return OH_RECORD_OK;
}

void
oh_record_write_header (uint8_t header[OH_RECORD_HEADER_BYTES], uint64_t offset, const uint8_t *message,
                        size_t length)
{
  const uint32_t size = GUINT32_TO_LE ((uint32_t)length);
  const uint64_t digest = GUINT64_TO_LE (XXH64 (message, length, offset));
  uint32_t checksum;

  g_assert (length <= OH_RECORD_MAX_BYTES);
  memcpy (header, &size, sizeof size);
  checksum = GUINT32_TO_LE (length_checksum (header, offset));
  memcpy (header + 4, &checksum, sizeof checksum);
  memcpy (header + 8, &digest, sizeof digest);
}

static bool
set_corrupt_error (oh_error_t *error, const char *what, uint64_t offset)
{
  return oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_CORRUPT, "log: %s at offset %" PRIu64, what,
                       offset);
}

static bool
replicas_valid (GBytes *bytes)
{
  GPtrArray *replicas = oh_raft_replicas_decode (bytes);

  if (replicas == NULL)
    return false;
  g_ptr_array_unref (replicas);
  return true;
}

bool
oh_snapshot_decode (const uint8_t *message, size_t length, oh_snapshot_t *snapshot, oh_error_t *error)
{
  Oh__StoredSnapshot *stored = oh__stored_snapshot__unpack (NULL, length, message);
  bool valid = false;

  if (stored != NULL && stored->index > 0 && stored->index < INT64_MAX)
    {
      snapshot->index = stored->index;
      snapshot->term = stored->term;
      snapshot->replicas = g_bytes_new (stored->replicas.data, stored->replicas.len);
      snapshot->data = g_bytes_new (stored->data.data, stored->data.len);
      valid = replicas_valid (snapshot->replicas);
    }
  if (stored != NULL)
    oh__stored_snapshot__free_unpacked (stored, NULL);
  if (!valid)
    {
      oh_snapshot_clear (snapshot);
      return oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_CORRUPT,
                           "snapshot: the record is not a valid snapshot");
    }
  return true;
}

/* Index that the next entry must have; 0: any. */
static uint64_t
next_index (const GPtrArray *entries)
{
  return entries->len > 0 ? ((const oh_entry_t *)entries->pdata[entries->len - 1])->index + 1 : 0;
}

/* Returns false if the entry is invalid or does not follow the last one. */
static bool
add_entry (GPtrArray *entries, const Oh__LogEntry *stored)
{
  g_autoptr (GBytes) data = g_bytes_new (stored->data.data, stored->data.len);
  const uint64_t expected = next_index (entries);

  if (stored->index == 0 || stored->index >= INT64_MAX || (expected != 0 && stored->index != expected))
    return false;
  if ((unsigned)stored->kind > OH_ENTRY_REPLICAS)
    return false;
  if (stored->kind == OH__ENTRY_KIND__ENTRY_REPLICAS && !replicas_valid (data))
    return false;
  g_ptr_array_add (entries, oh_entry_new (stored->index, stored->term, (oh_entry_kind_t)stored->kind, data));
  return true;
}

/* Applies a record to the entries and the hard state. Returns false if its content is invalid. */
static bool
replay_record (GPtrArray *entries, oh_hard_state_t *hard, const Oh__StoredRecord *record)
{
  if (record->hard == NULL)
    return false;
  *hard = (oh_hard_state_t){
    .term = record->hard->term,
    .voted_for = record->hard->voted_for,
    .cluster = record->hard->cluster,
  };
  if (record->truncate_from > 0)
    {
      unsigned keep = entries->len;

      while (keep > 0 && ((const oh_entry_t *)entries->pdata[keep - 1])->index >= record->truncate_from)
        keep--;
      g_ptr_array_set_size (entries, (int)keep);
    }
  for (size_t i = 0; i < record->n_entries; i++)
    if (!add_entry (entries, record->entries[i]))
      return false;
  return true;
}

/*
 * Drops the entries that the snapshot covers, and keeps the later ones if they continue the snapshot. Returns
 * false if entries are missing between the snapshot and the first entry.
 */
static bool
trim_to_snapshot (GPtrArray *entries, const oh_snapshot_t *snapshot)
{
  unsigned covered = 0;

  if (entries->len > 0 && ((const oh_entry_t *)entries->pdata[0])->index > snapshot->index + 1)
    return false;
  while (covered < entries->len && ((const oh_entry_t *)entries->pdata[covered])->index <= snapshot->index)
    covered++;
  /* The snapshot was received from the leader, and the log conflicts with it or ends before it. */
  if (covered > 0
      && (((const oh_entry_t *)entries->pdata[covered - 1])->index != snapshot->index
          || ((const oh_entry_t *)entries->pdata[covered - 1])->term != snapshot->term))
    covered = entries->len;
  if (covered > 0)
    g_ptr_array_remove_range (entries, 0, covered);
  return true;
}

bool
oh_stored_log_recover (const uint8_t *bytes, size_t length, oh_recovered_state_t *recovered,
                       size_t *valid_length, oh_error_t *error)
{
  GPtrArray *entries = g_ptr_array_new_with_free_func (oh_entry_free);
  oh_hard_state_t hard = { 0 };
  size_t offset = 0;
  oh_record_status_t status;

  do
    {
      const uint64_t start = offset;
      const uint8_t *message;
      size_t message_length;
      Oh__StoredRecord *record;
      bool valid;

      status = oh_record_read (bytes, length, &offset, &message, &message_length);
      if (status == OH_RECORD_CORRUPT)
        {
          set_corrupt_error (error, "corrupt record", start);
          goto failed;
        }
      if (status != OH_RECORD_OK)
        continue;
      record = oh__stored_record__unpack (NULL, message_length, message);
      valid = record != NULL && replay_record (entries, &hard, record);
      if (record != NULL)
        oh__stored_record__free_unpacked (record, NULL);
      if (!valid)
        {
          set_corrupt_error (error, "a record with invalid content", start);
          goto failed;
        }
    }
  while (status == OH_RECORD_OK);
  if (!trim_to_snapshot (entries, &recovered->snapshot))
    {
      set_corrupt_error (error, "entries are missing between the snapshot and the record", 0);
      goto failed;
    }
  recovered->hard = hard;
  recovered->entries = entries;
  *valid_length = offset;
  return true;

failed:
  g_ptr_array_unref (entries);
  return false;
}
