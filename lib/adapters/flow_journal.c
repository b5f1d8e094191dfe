#define OH_LOG_MODULE "flow_journal"
#include "base/log.h"

#include "adapters/flow_journal.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#define FILE_NAME "flows"
#define NEW_FILE_NAME "flows.new"

enum
{
  FOLDER_MODE = 0700,
  FILE_MODE = 0600,
  ADDRESS_BYTES = 6,
  DIGEST_OFFSET = 3 * ADDRESS_BYTES,
  RECORD_BYTES = DIGEST_OFFSET + (int)sizeof (uint64_t),
  FILE_MAX_BYTES = 64 * 1024 * 1024, /* a longer file is not read at the start */
};

/* A record holds the addresses of the caller, the route and the owner, each an IPv4 address (4 bytes) and a
 * port (2 bytes), and XXH64 of them (8 bytes), all in host byte order. */

typedef struct
{
  GByteArray *records;
  bool replaces_file; /* otherwise the records are appended */
  bool last;          /* the thread ends after it */
} batch_t;

/* Shared by the journal and its thread, and freed when both have released it: the journal does not wait for a
 * thread that a hanging disk blocks, since the process must be able to end. */
struct oh_flow_journal_writer
{
  gatomicrefcount references;
  GAsyncQueue *batches; /* of batch_t *, owned */
  GThread *thread;
  GMutex mutex;
  oh_flow_journal_t *journal; /* protected by mutex; NULL after oh_flow_journal_finish */
  GBytes *content;            /* of the file at the start; NULL after its records were restored */
  char *folder;
  char *path;
  char *new_path;
  int fd;
  bool dirty;        /* records were written after the last sync */
  int64_t synced_us; /* monotonic time of the last sync */
  gint written;      /* atomic; records */
  gint syncs;        /* atomic */
  gint dropped;      /* atomic; records */
  gint incomplete;   /* atomic; 1 if records are missing in the file because the disk was full */
  gint ended;        /* atomic; the thread has only to release the writer */
};

/* Records. */

static void
put_address (uint8_t *at, oh_address_t address)
{
  memcpy (at, &address.ipv4, sizeof address.ipv4);
  memcpy (at + sizeof address.ipv4, &address.port, sizeof address.port);
}

static oh_address_t
get_address (const uint8_t *at)
{
  oh_address_t address;

  memcpy (&address.ipv4, at, sizeof address.ipv4);
  memcpy (&address.port, at + sizeof address.ipv4, sizeof address.port);
  return address;
}

static void
add_record (GByteArray *batch, const oh_flow_key_t *key, oh_address_t owner)
{
  uint8_t record[RECORD_BYTES];
  uint64_t digest;

  put_address (record, key->caller);
  put_address (record + ADDRESS_BYTES, key->route);
  put_address (record + 2 * ADDRESS_BYTES, owner);
  digest = XXH64 (record, DIGEST_OFFSET, 0);
  memcpy (record + DIGEST_OFFSET, &digest, sizeof digest);
  g_byte_array_append (batch, record, sizeof record);
}

/* Returns false if the digest of the record does not match. */
static bool
read_record (const uint8_t *record, oh_flow_key_t *key, oh_address_t *owner)
{
  const uint64_t expected = XXH64 (record, DIGEST_OFFSET, 0);
  uint64_t digest;

  memcpy (&digest, record + DIGEST_OFFSET, sizeof digest);
  key->caller = get_address (record);
  key->route = get_address (record + ADDRESS_BYTES);
  *owner = get_address (record + 2 * ADDRESS_BYTES);
  return digest == expected;
}

/* The writer's thread. */

static void
free_batch (gpointer data)
{
  batch_t *batch = data;

  g_byte_array_unref (batch->records);
  g_free (batch);
}

static void
release_writer (oh_flow_journal_writer_t *writer)
{
  if (!g_atomic_ref_count_dec (&writer->references))
    return;
  g_async_queue_unref (writer->batches);
  if (writer->fd >= 0)
    close (writer->fd);
  g_clear_pointer (&writer->content, g_bytes_unref);
  g_mutex_clear (&writer->mutex);
  g_free (writer->folder);
  g_free (writer->path);
  g_free (writer->new_path);
  g_free (writer);
}

static bool
write_all (int fd, const GByteArray *bytes)
{
  size_t done = 0;

  while (done < bytes->len)
    {
      const ssize_t count = write (fd, bytes->data + done, bytes->len - done);

      if (count < 0 && errno == EINTR)
        continue;
      if (count <= 0)
        return false;
      done += (size_t)count;
    }
  return true;
}

/* Without the sync of its folder, a renamed file may have its old name after a loss of power. */
static void
sync_folder (const oh_flow_journal_writer_t *writer)
{
  const int fd = open (writer->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

  if (fd < 0 || fsync (fd) != 0)
    oh_log_limited (OH_LOG_MODULE, OH_LOG_WARNING, "flow_journal_sync_failed", "folder=%s reason=\"%s\"",
                    writer->folder, g_strerror (errno));
  if (fd >= 0)
    close (fd);
}

/* Replaces the file by one with these records. On failure the old file stays. */
static bool
rewrite_file (oh_flow_journal_writer_t *writer, const GByteArray *records)
{
  const int fd = open (writer->new_path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, FILE_MODE);

  if (fd < 0)
    return false;
  if (!write_all (fd, records) || fdatasync (fd) != 0 || g_rename (writer->new_path, writer->path) != 0)
    {
      const int reason = errno;

      close (fd);
      /* A part of a file would take space from the others on a full disk. */
      g_unlink (writer->new_path);
      errno = reason;
      return false;
    }
  sync_folder (writer);
  if (writer->fd >= 0)
    close (writer->fd);
  writer->fd = fd;
  return true;
}

/* An incomplete record would misalign the records after it, so a failed write is cut off again. */
static bool
append_to_file (oh_flow_journal_writer_t *writer, const GByteArray *records)
{
  const off_t end = lseek (writer->fd, 0, SEEK_END);
  int reason;

  if (end >= 0 && write_all (writer->fd, records))
    return true;
  reason = errno;
  if (end >= 0 && ftruncate (writer->fd, end) != 0)
    oh_log_limited (OH_LOG_MODULE, OH_LOG_WARNING, "flow_journal_damaged", "reason=\"%s\"",
                    g_strerror (errno));
  errno = reason;
  return false;
}

/* Only space comes back; other errors last. */
static void
mark_incomplete (oh_flow_journal_writer_t *writer, int reason)
{
  if (reason == ENOSPC || reason == EDQUOT || reason == EFBIG)
    g_atomic_int_set (&writer->incomplete, 1);
}

static void
write_batch (oh_flow_journal_writer_t *writer, const batch_t *batch)
{
  const gint records = (gint)(batch->records->len / RECORD_BYTES);
  int reason;

  if (batch->replaces_file)
    g_atomic_int_set (&writer->incomplete, 0);
  if (batch->replaces_file ? rewrite_file (writer, batch->records) : append_to_file (writer, batch->records))
    {
      g_atomic_int_add (&writer->written, records);
      writer->dirty = true;
      return;
    }
  reason = errno;
  g_atomic_int_add (&writer->dropped, records);
  mark_incomplete (writer, reason);
  oh_log_limited (OH_LOG_MODULE, OH_LOG_WARNING, "flow_journal_write_failed", "records=%d reason=\"%s\"",
                  records, g_strerror (reason));
}

static int64_t
time_to_sync_us (const oh_flow_journal_writer_t *writer)
{
  return writer->synced_us + (int64_t)OH_FLOW_JOURNAL_SYNC_INTERVAL_MS * 1000 - g_get_monotonic_time ();
}

static void
sync_file (oh_flow_journal_writer_t *writer)
{
  writer->dirty = false;
  if (fdatasync (writer->fd) == 0)
    g_atomic_int_inc (&writer->syncs);
  else
    oh_log_limited (OH_LOG_MODULE, OH_LOG_WARNING, "flow_journal_sync_failed", "file=%s reason=\"%s\"",
                    writer->path, g_strerror (errno));
  writer->synced_us = g_get_monotonic_time ();
}

/* Returns the next batch; syncs the file when that is due. */
static batch_t *
next_batch (oh_flow_journal_writer_t *writer)
{
  while (writer->dirty)
    {
      const int64_t wait_us = time_to_sync_us (writer);
      batch_t *batch = wait_us > 0 ? g_async_queue_timeout_pop (writer->batches, (guint64)wait_us) : NULL;

      if (batch != NULL)
        return batch;
      if (time_to_sync_us (writer) <= 0)
        sync_file (writer);
    }
  return g_async_queue_pop (writer->batches);
}

/* Restores the records of the file. Runs in the main context. */
static gboolean
on_read (gpointer data)
{
  oh_flow_journal_t *journal = data;
  const uint8_t *content;
  gsize length;
  unsigned damaged = 0;
  unsigned restored = 0;

  content = g_bytes_get_data (journal->writer->content, &length);
  for (gsize at = 0; at + RECORD_BYTES <= length; at += RECORD_BYTES)
    {
      oh_flow_key_t key;
      oh_address_t owner;

      if (!read_record (content + at, &key, &owner))
        {
          damaged++;
          continue;
        }
      restored++;
      journal->restore (journal->data, &key, owner);
    }
  g_clear_pointer (&journal->writer->content, g_bytes_unref);
  journal->records += restored + damaged;
  oh_counter_set (&journal->counters.restored, restored);
  oh_log_info ("flow_journal_opened", "records=%u damaged=%u", restored, damaged);
  return G_SOURCE_REMOVE;
}

static bool
open_file (oh_flow_journal_writer_t *writer)
{
  if (g_mkdir_with_parents (writer->folder, FOLDER_MODE) != 0)
    return false;
  writer->fd = open (writer->path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
  return writer->fd >= 0;
}

/* Reads the file and has its records restored in the main context. An incomplete last record is cut off,
 * since it would misalign the records that are appended. */
static void
read_file (oh_flow_journal_writer_t *writer)
{
  g_autofree char *content = NULL;
  gsize length = 0;
  GStatBuf status;

  if (fstat (writer->fd, &status) == 0 && status.st_size <= FILE_MAX_BYTES
      && g_file_get_contents (writer->path, &content, &length, NULL) && length % RECORD_BYTES != 0
      && ftruncate (writer->fd, (off_t)(length - length % RECORD_BYTES)) != 0)
    oh_log_warning ("flow_journal_damaged", "reason=\"%s\"", g_strerror (errno));
  g_mutex_lock (&writer->mutex);
  writer->content = g_bytes_new_take (g_steal_pointer (&content), length);
  if (writer->journal != NULL)
    g_idle_add (on_read, writer->journal);
  g_mutex_unlock (&writer->mutex);
}

static gpointer
run_writer (gpointer data)
{
  oh_flow_journal_writer_t *writer = data;
  bool last = false;

  if (open_file (writer))
    read_file (writer);
  else
    {
      const int reason = errno;

      mark_incomplete (writer, reason);
      oh_log_warning ("flow_journal_unusable", "file=%s reason=\"%s\"", writer->path, g_strerror (reason));
    }
  while (!last)
    {
      batch_t *batch = next_batch (writer);

      last = batch->last;
      if (batch->records->len > 0 || batch->replaces_file)
        write_batch (writer, batch);
      free_batch (batch);
    }
  if (writer->dirty)
    sync_file (writer);
  g_atomic_int_set (&writer->ended, 1);
  release_writer (writer);
  return NULL;
}

/* The journal. */

static oh_flow_journal_writer_t *
start_writer (oh_flow_journal_t *journal, const char *folder)
{
  oh_flow_journal_writer_t *writer = g_new0 (oh_flow_journal_writer_t, 1);

  g_atomic_ref_count_init (&writer->references);
  g_mutex_init (&writer->mutex);
  writer->journal = journal;
  writer->folder = g_strdup (folder);
  writer->path = g_build_filename (folder, FILE_NAME, NULL);
  writer->new_path = g_build_filename (folder, NEW_FILE_NAME, NULL);
  writer->batches = g_async_queue_new_full (free_batch);
  writer->fd = -1;
  g_atomic_ref_count_inc (&writer->references);
  writer->thread = g_thread_new ("flow-journal", run_writer, writer);
  return writer;
}

static void
push_batch (oh_flow_journal_t *journal, bool last)
{
  batch_t *batch = g_new0 (batch_t, 1);

  batch->records = journal->batch;
  batch->replaces_file = journal->batch_replaces_file;
  batch->last = last;
  journal->batch = g_byte_array_new ();
  journal->batch_replaces_file = false;
  g_async_queue_push (journal->writer->batches, batch);
}

void
oh_flow_journal_init (oh_flow_journal_t *journal, const char *folder, oh_flow_journal_restore_t restore,
                      void *data)
{
  *journal = (oh_flow_journal_t){
    .restore = restore,
    .data = data,
    .rewrite_threshold = OH_FLOW_JOURNAL_REWRITE_MIN_RECORDS,
  };
  if (folder == NULL || folder[0] == '\0')
    return;
  journal->batch = g_byte_array_new ();
  journal->writer = start_writer (journal, folder);
}

void
oh_flow_journal_finish (oh_flow_journal_t *journal)
{
  oh_flow_journal_writer_t *writer = journal->writer;

  if (writer == NULL)
    return;
  g_mutex_lock (&writer->mutex);
  writer->journal = NULL;
  g_mutex_unlock (&writer->mutex);
  g_idle_remove_by_data (journal);
  push_batch (journal, true);
  for (unsigned ms = 0; ms < OH_FLOW_JOURNAL_STOP_TIMEOUT_MS && g_atomic_int_get (&writer->ended) == 0; ms++)
    g_usleep (1000);
  if (g_atomic_int_get (&writer->ended) != 0)
    g_thread_join (writer->thread);
  else
    g_thread_unref (writer->thread);
  release_writer (writer);
  g_byte_array_unref (journal->batch);
}

void
oh_flow_journal_add_counters (oh_flow_journal_t *journal, oh_counters_t *counters)
{
  oh_counters_add_with_help (counters, &journal->counters.written, "flow_journal_written_total",
                             "Owners of flows written to the disk");
  oh_counters_add_with_help (counters, &journal->counters.dropped, "flow_journal_dropped_total",
                             "Owners of flows that the disk was too slow for, or refused");
  oh_counters_add_with_help (counters, &journal->counters.restored, "flow_journal_restored",
                             "Owners of flows found on the disk at the start");
  oh_counters_add_with_help (counters, &journal->counters.syncs, "flow_journal_syncs_total",
                             "Syncs of the owners of flows to the disk");
}

void
oh_flow_journal_add (oh_flow_journal_t *journal, const oh_flow_key_t *key, oh_address_t owner)
{
  if (journal->writer == NULL)
    return;
  add_record (journal->batch, key, owner);
  journal->records++;
}

/* Drops the batch if it would be appended; one that replaces the file is kept until it can be queued. */
static void
drop_batch (oh_flow_journal_t *journal, unsigned records)
{
  if (journal->batch_replaces_file || records == 0)
    return;
  g_atomic_int_add (&journal->writer->dropped, (gint)records);
  g_byte_array_set_size (journal->batch, 0);
  oh_log_limited (OH_LOG_MODULE, OH_LOG_WARNING, "flow_journal_slow", "dropped=%u", records);
}

/* True if records are missing in the file because a write failed, as on a full disk, and the last attempt to
 * write all of them is long enough ago. */
static bool
is_repair_due (oh_flow_journal_t *journal)
{
  if (g_atomic_int_get (&journal->writer->incomplete) == 0)
    return false;
  journal->flushes_incomplete = (journal->flushes_incomplete + 1) % OH_FLOW_JOURNAL_REPAIR_FLUSHES;
  return journal->flushes_incomplete == 0;
}

bool
oh_flow_journal_flush (oh_flow_journal_t *journal)
{
  const unsigned records = journal->batch != NULL ? journal->batch->len / RECORD_BYTES : 0;

  if (journal->writer == NULL)
    return false;
  oh_counter_set (&journal->counters.written, (uint64_t)g_atomic_int_get (&journal->writer->written));
  oh_counter_set (&journal->counters.dropped, (uint64_t)g_atomic_int_get (&journal->writer->dropped));
  oh_counter_set (&journal->counters.syncs, (uint64_t)g_atomic_int_get (&journal->writer->syncs));
  if (g_async_queue_length (journal->writer->batches) >= OH_FLOW_JOURNAL_QUEUED_BATCHES_MAX)
    {
      drop_batch (journal, records);
      return false;
    }
  if (journal->batch_replaces_file)
    journal->rewrite_threshold
      = MAX (records * OH_FLOW_JOURNAL_GROWTH_FACTOR, (unsigned)OH_FLOW_JOURNAL_REWRITE_MIN_RECORDS);
  if (journal->batch->len > 0 || journal->batch_replaces_file)
    push_batch (journal, false);
  if (journal->records < journal->rewrite_threshold && !is_repair_due (journal))
    return false;
  journal->records = 0;
  journal->batch_replaces_file = true;
  return true;
}
