#include "adapters/file_storage.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "adapters/records.h"
#include "wire/raft.pb-c.h"

enum
{
  /* The log file is rewritten when it exceeds this and twice its length after the last rewrite. So this
   * bounds a log file that changes of the hard state alone extend. */
  REWRITE_MIN_BYTES = 16 * 1024 * 1024,
};

typedef struct
{
  oh_storage_t base;
  char *path;
  int folder_fd;
  int lock_fd;
  int log_fd;
  uint64_t log_length;          /* offset at which the next record is written */
  size_t log_length_at_rewrite; /* length after the last rewrite, or when the log was opened */
  oh_recovered_state_t state;   /* durable state, after the last successful request */
  bool
    tail_pending; /* an incomplete record follows log_length; to be cut off before the next one is written */
  bool rewrite_pending; /* the log file may not continue the snapshot; nothing may be appended to it */
  bool failed;          /* the content on disk is unknown; all further requests are refused */
} oh_file_storage_t;

static bool
is_full (int code)
{
  return code == ENOSPC || code == EDQUOT || code == EFBIG;
}

/* Sets an error for errno, "name: cannot action: ...", and returns false. */
static bool
set_system_error (oh_error_t *error, const char *action, const char *name)
{
  const int code = errno;

  return oh_error_set (error, OH_ERROR_STORAGE,
                       is_full (code) ? OH_ERROR_CODE_NO_SPACE : OH_ERROR_CODE_SYSTEM,
                       "%s: cannot %s: %s (errno %d)", name, action, g_strerror (code), code);
}

static bool
write_all (int fd, const uint8_t *bytes, size_t length, uint64_t offset)
{
  while (length > 0)
    {
      const ssize_t written = pwrite (fd, bytes, length, (off_t)offset);

      if (written < 0 && errno == EINTR)
        continue;
      if (written < 0)
        return false;
      if (written == 0)
        {
          errno = ENOSPC;
          return false;
        }
      bytes += written;
      length -= (size_t)written;
      offset += (uint64_t)written;
    }
  return true;
}

/*
 * Replaces a file of the data folder by one with the given bytes: writes and syncs a temporary file, renames
 * it, and syncs the folder. A failure before the rename leaves the old file as it was. The new file is
 * returned open in *fd_out, owned by the caller, or closed if fd_out is NULL.
 */
static bool
replace_file (oh_file_storage_t *storage, const char *name, const uint8_t *bytes, size_t length, int *fd_out,
              oh_error_t *error)
{
  g_autofree char *temporary = g_strconcat (name, ".tmp", NULL);
  bool renamed = false;
  const int fd = openat (storage->folder_fd, temporary, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);

  if (fd < 0)
    return set_system_error (error, "create", temporary);
  if (!write_all (fd, bytes, length, 0))
    {
      set_system_error (error, "write", temporary);
      goto out;
    }
  if (fsync (fd) != 0)
    {
      set_system_error (error, "sync", temporary);
      goto out;
    }
  if (renameat (storage->folder_fd, temporary, storage->folder_fd, name) != 0)
    {
      set_system_error (error, "rename", temporary);
      goto out;
    }
  renamed = true;
  if (fsync (storage->folder_fd) != 0)
    {
      /* After a crash the name may refer to the old or the new file. */
      storage->failed = true;
      errno = EIO;
      set_system_error (error, "sync the folder after the rename", name);
      renamed = false;
    }

out:
  if (!renamed)
    {
      unlinkat (storage->folder_fd, temporary, 0);
      close (fd);
      return false;
    }
  if (fd_out != NULL)
    *fd_out = fd;
  else
    close (fd);
  return true;
}

/* Encodes a record for the given offset of its file. Free with g_free. */
static uint8_t *
make_record (const ProtobufCMessage *message, uint64_t offset, size_t *length)
{
  const size_t packed = protobuf_c_message_get_packed_size (message);
  uint8_t *bytes = g_malloc (OH_RECORD_HEADER_BYTES + packed);

  protobuf_c_message_pack (message, bytes + OH_RECORD_HEADER_BYTES);
  oh_record_write_header (bytes, offset, bytes + OH_RECORD_HEADER_BYTES, packed);
  *length = OH_RECORD_HEADER_BYTES + packed;
  return bytes;
}

static uint8_t *
make_log_record (const oh_hard_state_t *state, uint64_t truncate_from, const GPtrArray *entries,
                 uint64_t offset, size_t *length)
{
  Oh__StoredRecord record = OH__STORED_RECORD__INIT;
  Oh__HardState hard = OH__HARD_STATE__INIT;
  Oh__LogEntry *messages = g_new (Oh__LogEntry, entries->len);
  Oh__LogEntry **pointers = g_new (Oh__LogEntry *, entries->len);
  uint8_t *bytes;

  hard.term = state->term;
  hard.voted_for = state->voted_for;
  hard.cluster = state->cluster;
  record.hard = &hard;
  record.truncate_from = truncate_from;
  record.n_entries = entries->len;
  record.entries = pointers;
  for (unsigned i = 0; i < entries->len; i++)
    {
      const oh_entry_t *entry = entries->pdata[i];

      oh__log_entry__init (&messages[i]);
      messages[i].index = entry->index;
      messages[i].term = entry->term;
      messages[i].kind = (Oh__EntryKind)entry->kind;
      messages[i].data.data = (uint8_t *)g_bytes_get_data (entry->data, &messages[i].data.len);
      pointers[i] = &messages[i];
    }

  bytes = make_record (&record.base, offset, length);
  g_free (pointers);
  g_free (messages);
  return bytes;
}

/* Sets *result to the state after the request. The data of entries is shared by reference. */
static void
apply_request (const oh_recovered_state_t *state, const oh_persist_request_t *request,
               oh_recovered_state_t *result)
{
  GPtrArray *entries = g_ptr_array_new_with_free_func (oh_entry_free);
  const oh_snapshot_t *snapshot = request->snapshot.index > 0 ? &request->snapshot : &state->snapshot;

  *result = (oh_recovered_state_t){ .name = g_strdup (state->name), .id = state->id, .hard = request->hard };
  oh_snapshot_copy (&result->snapshot, snapshot);
  for (unsigned i = 0; i < state->entries->len; i++)
    {
      const oh_entry_t *entry = state->entries->pdata[i];

      if (entry->index <= snapshot->index)
        continue;
      if (request->truncate_from > 0 && entry->index >= request->truncate_from)
        break;
      g_ptr_array_add (entries, oh_entry_new (entry->index, entry->term, entry->kind, entry->data));
    }
  for (unsigned i = 0; i < request->entries->len; i++)
    {
      const oh_entry_t *entry = request->entries->pdata[i];

      g_ptr_array_add (entries, oh_entry_new (entry->index, entry->term, entry->kind, entry->data));
    }
  result->entries = entries;
}

/* True if the entries follow the snapshot without a gap. */
static bool
entries_consecutive (const oh_recovered_state_t *state)
{
  for (unsigned i = 0; i < state->entries->len; i++)
    if (((const oh_entry_t *)state->entries->pdata[i])->index != state->snapshot.index + 1 + i)
      return false;
  return true;
}

/* Takes ownership of fd, a log file of the given length, and appends to it from now on. */
static void
set_log_file (oh_file_storage_t *storage, int fd, uint64_t length)
{
  if (storage->log_fd >= 0)
    close (storage->log_fd);
  storage->log_fd = fd;
  storage->log_length = length;
  storage->log_length_at_rewrite = length;
  storage->tail_pending = false;
  storage->rewrite_pending = false;
}

/* Replaces the log file by one with a single record that holds the hard state and the entries of state. */
static bool
rewrite_log (oh_file_storage_t *storage, const oh_recovered_state_t *state, oh_error_t *error)
{
  size_t length;
  const uint64_t truncate_from = state->entries->len > 0 ? state->snapshot.index + 1 : 0;
  g_autofree uint8_t *bytes = make_log_record (&state->hard, truncate_from, state->entries, 0, &length);
  int fd = -1;

  if (!replace_file (storage, "log", bytes, length, &fd, error))
    return false;
  set_log_file (storage, fd, length);
  return true;
}

static bool
write_snapshot (oh_file_storage_t *storage, const oh_snapshot_t *snapshot, oh_error_t *error)
{
  Oh__StoredSnapshot record = OH__STORED_SNAPSHOT__INIT;
  size_t length;

  record.index = snapshot->index;
  record.term = snapshot->term;
  record.replicas.data = (uint8_t *)g_bytes_get_data (snapshot->replicas, &record.replicas.len);
  record.data.data = (uint8_t *)g_bytes_get_data (snapshot->data, &record.data.len);

  g_autofree uint8_t *bytes = make_record (&record.base, 0, &length);
  return replace_file (storage, "snapshot", bytes, length, NULL, error);
}

/* Cuts off an incomplete record at the end of the log: recovery would take it for corruption if later ones
 * followed. A full disk may refuse even this; then it is done before the next request. */
static bool
cut_tail (oh_file_storage_t *storage, oh_error_t *error)
{
  if (ftruncate (storage->log_fd, (off_t)storage->log_length) == 0 && fdatasync (storage->log_fd) == 0)
    {
      storage->tail_pending = false;
      return true;
    }
  storage->tail_pending = is_full (errno);
  storage->failed = !storage->tail_pending;
  return set_system_error (error, "remove an incomplete record", "log");
}

static bool
append_record (oh_file_storage_t *storage, const oh_persist_request_t *request, oh_error_t *error)
{
  oh_error_t cut_error;
  size_t length;
  g_autofree uint8_t *bytes = make_log_record (&request->hard, request->truncate_from, request->entries,
                                               storage->log_length, &length);

  if (storage->tail_pending && !cut_tail (storage, error))
    return false;
  if (!write_all (storage->log_fd, bytes, length, storage->log_length))
    {
      set_system_error (error, "write", "log");
      /* Its own error matters only if it is final. */
      if (!cut_tail (storage, &cut_error) && storage->failed && error != NULL)
        *error = cut_error;
      return false;
    }
  if (fsync (storage->log_fd) != 0)
    {
      /* After a failed sync the kernel may have dropped dirty pages, so the content on disk is unknown. */
      storage->failed = true;
      errno = EIO;
      return set_system_error (error, "sync", "log");
    }
  storage->log_length += length;
  return true;
}

static bool
file_storage_persist (oh_storage_t *base, const oh_persist_request_t *request, oh_error_t *error)
{
  oh_file_storage_t *storage = (oh_file_storage_t *)base;
  oh_recovered_state_t next;
  bool done = false;

  if (storage->failed)
    return oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_SYSTEM,
                         "%s: request refused: an earlier failure left the content on disk unknown",
                         storage->path);
  apply_request (&storage->state, request, &next);
  if (!entries_consecutive (&next))
    {
      oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_MALFORMED,
                    "%s: request %" PRIu64 " leaves a gap in the log", storage->path, request->id);
      goto out;
    }
  /* The snapshot is written before the log: recovery ignores log entries that the snapshot covers, so a crash
   * between the two loses nothing. */
  if (request->snapshot.index > 0)
    {
      if (!write_snapshot (storage, &request->snapshot, error))
        goto out;
      storage->rewrite_pending = true;
    }
  if (storage->rewrite_pending
      || storage->log_length > MAX (REWRITE_MIN_BYTES, 2 * storage->log_length_at_rewrite))
    done = rewrite_log (storage, &next, error);
  else
    done = append_record (storage, request, error);

out:
  if (done)
    {
      oh_recovered_state_clear (&storage->state);
      storage->state = next;
    }
  else
    oh_recovered_state_clear (&next);
  return done;
}

static const oh_storage_ops_t file_storage_ops = { .persist = file_storage_persist };

/* Opening and closing. */

/* Returns the content of a file of the data folder, to be freed with g_free. If the file does not exist,
 * returns NULL without setting the error; on any other failure sets *failed and the error. */
static uint8_t *
read_file (const oh_file_storage_t *storage, const char *name, size_t *length, bool *failed,
           oh_error_t *error)
{
  g_autofree char *path = g_build_filename (storage->path, name, NULL);
  g_autoptr (GError) gerror = NULL;
  char *bytes = NULL;

  *failed = false;
  if (g_file_get_contents (path, &bytes, length, &gerror))
    return (uint8_t *)bytes;
  if (!g_error_matches (gerror, G_FILE_ERROR, G_FILE_ERROR_NOENT))
    {
      *failed = true;
      oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_SYSTEM, "%s", gerror->message);
    }
  return NULL;
}

/* Reads a file that is replaced by rename, and so holds exactly one complete record. */
static bool
read_single_record (const char *name, const uint8_t *bytes, size_t length, const uint8_t **message,
                    size_t *message_length, oh_error_t *error)
{
  size_t offset = 0;

  if (oh_record_read (bytes, length, &offset, message, message_length) != OH_RECORD_OK || offset != length)
    return oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_CORRUPT,
                         "%s: corrupt: expected exactly one valid record", name);
  return true;
}

/* Draws a replica id and stores it with the name. */
static bool
write_identity (oh_file_storage_t *storage, const char *name, oh_random_t *random, oh_error_t *error)
{
  Oh__StoredIdentity identity = OH__STORED_IDENTITY__INIT;
  size_t length;

  /* With a log or a snapshot but no identity, the replica would come back under a new id while its stored
   * term, vote and entries belong to the old one. */
  if (faccessat (storage->folder_fd, "log", F_OK, 0) == 0
      || faccessat (storage->folder_fd, "snapshot", F_OK, 0) == 0)
    return oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_CORRUPT,
                         "%s: the identity file is missing, but a log or a snapshot exists", storage->path);
  do
    storage->state.id = oh_random_u64 (random);
  while (storage->state.id == 0);
  storage->state.name = g_strdup (name);
  identity.name = storage->state.name;
  identity.id = storage->state.id;

  g_autofree uint8_t *bytes = make_record (&identity.base, 0, &length);
  return replace_file (storage, "identity", bytes, length, NULL, error);
}

static bool
load_identity (oh_file_storage_t *storage, const char *name, oh_random_t *random, oh_error_t *error)
{
  size_t length;
  const uint8_t *message;
  size_t message_length;
  bool failed;
  Oh__StoredIdentity *identity;
  g_autofree uint8_t *bytes = read_file (storage, "identity", &length, &failed, error);

  if (failed)
    return false;
  if (bytes == NULL)
    return write_identity (storage, name, random, error);
  if (!read_single_record ("identity", bytes, length, &message, &message_length, error))
    return false;
  identity = oh__stored_identity__unpack (NULL, message_length, message);
  if (identity == NULL || identity->id == 0)
    {
      if (identity != NULL)
        oh__stored_identity__free_unpacked (identity, NULL);
      return oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_CORRUPT,
                           "identity: the record is not a valid identity");
    }
  storage->state.id = identity->id;
  storage->state.name = g_strdup (identity->name);
  oh__stored_identity__free_unpacked (identity, NULL);
  if (!g_str_equal (storage->state.name, name))
    return oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_CONFLICT,
                         "%s: the data folder belongs to replica %s, not %s", storage->path,
                         storage->state.name, name);
  return true;
}

static bool
load_snapshot (oh_file_storage_t *storage, oh_error_t *error)
{
  size_t length;
  bool failed;
  const uint8_t *message;
  size_t message_length;
  g_autofree uint8_t *bytes = read_file (storage, "snapshot", &length, &failed, error);

  if (bytes == NULL)
    return !failed;
  return read_single_record ("snapshot", bytes, length, &message, &message_length, error)
         && oh_snapshot_decode (message, message_length, &storage->state.snapshot, error);
}

static bool
load_log (oh_file_storage_t *storage, oh_error_t *error)
{
  size_t length = 0;
  size_t valid_length = 0;
  bool failed;
  g_autofree uint8_t *bytes = read_file (storage, "log", &length, &failed, error);

  if (failed)
    return false;
  if (bytes == NULL)
    {
      int fd = -1;

      /* The log is created right after the identity, before the first request, so it exists if a snapshot
       * does. */
      if (storage->state.snapshot.index > 0)
        return oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_CORRUPT,
                             "%s: the log file is missing, but a snapshot exists", storage->path);
      storage->state.entries = g_ptr_array_new_with_free_func (oh_entry_free);
      if (!replace_file (storage, "log", (const uint8_t *)"", 0, &fd, error))
        return false;
      set_log_file (storage, fd, 0);
      return true;
    }
  if (!oh_stored_log_recover (bytes, length, &storage->state, &valid_length, error))
    return false;
  const int fd = openat (storage->folder_fd, "log", O_RDWR | O_CLOEXEC);
  if (fd < 0)
    return set_system_error (error, "open", "log");
  set_log_file (storage, fd, valid_length);
  /* The process may have ended after it wrote the snapshot of a request and before it rewrote the log. */
  storage->rewrite_pending = storage->state.snapshot.index > 0;
  storage->tail_pending = valid_length < length;
  return !storage->tail_pending || cut_tail (storage, error) || storage->tail_pending;
}

/* Makes the recovered state durable. The process that wrote it may have been killed before its sync, so that
 * a power failure could still undo the last record or rename. Snapshot and identity are synced before they
 * are renamed. */
static bool
sync_recovered_state (const oh_file_storage_t *storage, oh_error_t *error)
{
  if (fsync (storage->log_fd) != 0)
    return set_system_error (error, "sync", "log");
  if (fsync (storage->folder_fd) != 0)
    return set_system_error (error, "sync", storage->path);
  return true;
}

static bool
open_folder (oh_file_storage_t *storage, oh_error_t *error)
{
  g_autofree char *parent = g_path_get_dirname (storage->path);

  if (mkdir (storage->path, 0700) == 0)
    {
      const int fd = open (parent, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
      const bool synced = fd >= 0 && fsync (fd) == 0;

      if (fd >= 0)
        close (fd);
      if (!synced)
        return set_system_error (error, "sync", parent);
    }
  else if (errno != EEXIST)
    return set_system_error (error, "create", storage->path);
  storage->folder_fd = open (storage->path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (storage->folder_fd < 0)
    return set_system_error (error, "open", storage->path);
  storage->lock_fd = openat (storage->folder_fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (storage->lock_fd < 0)
    return set_system_error (error, "create", "lock");
  if (flock (storage->lock_fd, LOCK_EX | LOCK_NB) != 0)
    return oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_CONFLICT,
                         "%s: another process uses the data folder", storage->path);
  return true;
}

oh_storage_t *
oh_file_storage_open (const char *path, const char *name, oh_random_t *random,
                      oh_recovered_state_t *recovered, oh_error_t *error)
{
  oh_file_storage_t *storage = g_new0 (oh_file_storage_t, 1);
  oh_persist_request_t no_change = { 0 };

  storage->base.ops = &file_storage_ops;
  storage->path = g_strdup (path);
  storage->folder_fd = -1;
  storage->lock_fd = -1;
  storage->log_fd = -1;
  if (!open_folder (storage, error) || !load_identity (storage, name, random, error)
      || !load_snapshot (storage, error) || !load_log (storage, error)
      || !sync_recovered_state (storage, error))
    {
      oh_file_storage_close (&storage->base);
      return NULL;
    }
  no_change.hard = storage->state.hard;
  no_change.entries = g_ptr_array_new ();
  apply_request (&storage->state, &no_change, recovered);
  g_ptr_array_unref (no_change.entries);
  return &storage->base;
}

void
oh_file_storage_close (oh_storage_t *base)
{
  oh_file_storage_t *storage = (oh_file_storage_t *)base;

  if (storage->log_fd >= 0)
    close (storage->log_fd);
  if (storage->lock_fd >= 0)
    close (storage->lock_fd);
  if (storage->folder_fd >= 0)
    close (storage->folder_fd);
  oh_recovered_state_clear (&storage->state);
  g_free (storage->path);
  g_free (storage);
}
