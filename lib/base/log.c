#define OH_LOG_MODULE "log"
#include "base/log.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

enum
{
  QUEUE_LINES = 8192,  /* 4 MiB of memory */
  LINE_BYTES = 512,    /* with newline and terminating NUL; longer lines are truncated */
  STOP_CHECK_MS = 100, /* between checks of the stop deadline while fd accepts no data */
  STOP_TIMEOUT_MS = 500,
  BUCKET_LINES = 200, /* capacity of a token bucket */
  BUCKET_LINES_PER_S = 100,
};

typedef struct
{
  GMutex mutex;
  GCond cond;
  GThread *thread;
  char (*lines)[LINE_BYTES]; /* ring of QUEUE_LINES */
  unsigned head;             /* index of the oldest queued line */
  unsigned count;            /* of queued lines */
  int fd;
  bool stop;
} log_writer_t;

/* Token bucket of one event name; a token permits one line. */
typedef struct
{
  double tokens;
  int64_t refilled_us;
  uint64_t suppressed; /* lines since the last one that was logged */
} log_bucket_t;

static log_writer_t writer;
static _Atomic int enabled_level = OH_LOG_INFO;
static bool writer_installed;
static _Atomic uint64_t dropped;
static _Atomic int64_t stop_deadline_us; /* after it, queued lines are dropped; 0 before oh_log_stop */

static const GLogLevelFlags glib_levels[] = {
  [OH_LOG_ERROR] = G_LOG_LEVEL_CRITICAL,
  [OH_LOG_WARNING] = G_LOG_LEVEL_WARNING,
  [OH_LOG_INFO] = G_LOG_LEVEL_INFO,
  [OH_LOG_DEBUG] = G_LOG_LEVEL_DEBUG,
};

static const char *
level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_DEBUG)
    return "debug";
  return "info";
}

static const char *
find_field (const GLogField *fields, gsize n_fields, const char *key)
{
  for (gsize i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, key) == 0)
      return fields[i].value;
  return NULL;
}

static GLogWriterOutput
enqueue_line (GLogLevelFlags level, const GLogField *fields, gsize n_fields, gpointer data)
{
  const char *message = find_field (fields, n_fields, "MESSAGE");
  const char *module = find_field (fields, n_fields, "GLIB_DOMAIN");
  const gint64 wall_us = g_get_real_time ();

  (void)data;
  g_mutex_lock (&writer.mutex);
  if (writer.count == QUEUE_LINES)
    atomic_fetch_add (&dropped, 1);
  else
    {
      char *line = writer.lines[(writer.head + writer.count) % QUEUE_LINES];

      g_snprintf (line, LINE_BYTES, "time=%" G_GINT64_FORMAT ".%06d level=%s module=%s %s\n",
                  wall_us / G_USEC_PER_SEC, (int)(wall_us % G_USEC_PER_SEC), level_name (level),
                  module != NULL ? module : "glib", message != NULL ? message : "");
      /* A truncated line ends with a newline, too. */
      line[LINE_BYTES - 2] = line[LINE_BYTES - 2] == '\0' ? '\0' : '\n';
      writer.count++;
      g_cond_signal (&writer.cond);
    }
  g_mutex_unlock (&writer.mutex);
  return G_LOG_WRITER_HANDLED;
}

/* True once the time that oh_log_stop allows for the queued lines is over. */
static bool
stop_deadline_passed (void)
{
  return atomic_load (&stop_deadline_us) != 0 && g_get_monotonic_time () > atomic_load (&stop_deadline_us);
}

/* Blocks until the line is written. Returns false if fd is broken or accepts no data by the stop deadline. */
static bool
write_line (const char *line)
{
  size_t length = strlen (line);

  while (length > 0)
    {
      struct pollfd ready = { .fd = writer.fd, .events = POLLOUT };
      ssize_t written;

      if (poll (&ready, 1, stop_deadline_passed () ? 0 : STOP_CHECK_MS) == 0)
        {
          if (stop_deadline_passed ())
            return false;
          continue;
        }
      /* This does not block: a pipe that polls as writable has room for PIPE_BUF bytes, more than a line. */
      written = write (writer.fd, line, length);
      if (written < 0 && errno != EINTR && errno != EAGAIN)
        return false;
      if (written > 0)
        {
          line += written;
          length -= (size_t)written;
        }
    }
  return true;
}

static gpointer
run_writer (gpointer data)
{
  uint64_t reported = 0;

  (void)data;
  g_mutex_lock (&writer.mutex);
  while (!writer.stop || writer.count > 0)
    {
      while (writer.count == 0 && !writer.stop)
        g_cond_wait (&writer.cond, &writer.mutex);
      while (writer.count > 0)
        {
          char line[LINE_BYTES];

          memcpy (line, writer.lines[writer.head], LINE_BYTES);
          writer.head = (writer.head + 1) % QUEUE_LINES;
          writer.count--;
          g_mutex_unlock (&writer.mutex);
          if (!write_line (line))
            atomic_fetch_add (&dropped, 1);
          g_mutex_lock (&writer.mutex);
        }
      if (atomic_load (&dropped) != reported)
        {
          char line[LINE_BYTES];

          reported = atomic_load (&dropped);
          g_snprintf (line, sizeof line,
                      "level=warning module=log event=lines_dropped total=%" G_GUINT64_FORMAT "\n", reported);
          g_mutex_unlock (&writer.mutex);
          write_line (line);
          g_mutex_lock (&writer.mutex);
        }
    }
  g_mutex_unlock (&writer.mutex);
  return NULL;
}

void
oh_log_start (oh_log_level_t level, int fd)
{
  g_assert (writer.thread == NULL);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGXFSZ, SIG_IGN);
  writer.fd = fd;
  atomic_store (&stop_deadline_us, 0);
  atomic_store (&enabled_level, (int)level);
  g_mutex_init (&writer.mutex);
  g_cond_init (&writer.cond);
  writer.lines = g_malloc0 ((gsize)QUEUE_LINES * LINE_BYTES);
  writer.head = 0;
  writer.count = 0;
  writer.stop = false;
  if (!writer_installed)
    g_log_set_writer_func (enqueue_line, NULL, NULL); /* allowed once per process */
  writer_installed = true;
  writer.thread = g_thread_new ("log", run_writer, NULL);
}

void
oh_log_stop (void)
{
  if (writer.thread == NULL)
    return;
  atomic_store (&stop_deadline_us, g_get_monotonic_time () + (int64_t)STOP_TIMEOUT_MS * 1000);
  g_mutex_lock (&writer.mutex);
  writer.stop = true;
  g_cond_signal (&writer.cond);
  g_mutex_unlock (&writer.mutex);
  g_thread_join (writer.thread);
  writer.thread = NULL;
}

bool
oh_log_level_parse (const char *name, oh_log_level_t *level)
{
  static const char *const names[] = {
    [OH_LOG_ERROR] = "error",
    [OH_LOG_WARNING] = "warning",
    [OH_LOG_INFO] = "info",
    [OH_LOG_DEBUG] = "debug",
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_strcmp0 (name, names[i]) == 0)
      {
        *level = (oh_log_level_t)i;
        return true;
      }
  return false;
}

bool
oh_log_enabled (oh_log_level_t level)
{
  return (int)level <= atomic_load_explicit (&enabled_level, memory_order_relaxed);
}

uint64_t
oh_log_dropped (void)
{
  return atomic_load (&dropped);
}

/* Returns false if a line of the event is over its rate limit and must be suppressed. */
static bool
take_token (const char *module, const char *event)
{
  static GMutex mutex;
  static GHashTable *buckets; /* event -> log_bucket_t; never freed, since there are few event names */
  const int64_t now_us = g_get_monotonic_time ();
  uint64_t suppressed = 0;
  log_bucket_t *bucket;
  bool taken;

  g_mutex_lock (&mutex);
  if (buckets == NULL)
    buckets = g_hash_table_new (g_str_hash, g_str_equal);
  bucket = g_hash_table_lookup (buckets, event);
  if (bucket == NULL)
    {
      bucket = g_new0 (log_bucket_t, 1);
      bucket->tokens = BUCKET_LINES;
      bucket->refilled_us = now_us;
      g_hash_table_insert (buckets, g_strdup (event), bucket);
    }
  bucket->tokens += (double)(now_us - bucket->refilled_us) * BUCKET_LINES_PER_S / G_USEC_PER_SEC;
  bucket->tokens = MIN (bucket->tokens, BUCKET_LINES);
  bucket->refilled_us = now_us;
  taken = bucket->tokens >= 1;
  if (taken)
    {
      bucket->tokens -= 1;
      suppressed = bucket->suppressed;
      bucket->suppressed = 0;
    }
  else
    bucket->suppressed++;
  g_mutex_unlock (&mutex);
  if (suppressed > 0)
    oh_log_event (module, OH_LOG_INFO, "lines_suppressed", "of=%s count=%" G_GUINT64_FORMAT, event,
                  suppressed);
  return taken;
}

static void
log_pairs (const char *module, oh_log_level_t level, const char *event, const char *pairs)
{
  char line[LINE_BYTES + 64];

  g_snprintf (line, sizeof line, "event=%s %s", event, pairs);

  const GLogField fields[] = {
    { .key = "MESSAGE", .value = line, .length = -1 },
    { .key = "GLIB_DOMAIN", .value = module, .length = -1 },
  };

  g_log_structured_array (glib_levels[level], fields, G_N_ELEMENTS (fields));
}

void
oh_log_event (const char *module, oh_log_level_t level, const char *event, const char *format, ...)
{
  char pairs[LINE_BYTES];
  va_list args;

  va_start (args, format);
  g_vsnprintf (pairs, sizeof pairs, format, args);
  va_end (args);
  log_pairs (module, level, event, pairs);
}

void
oh_log_limited (const char *module, oh_log_level_t level, const char *event, const char *format, ...)
{
  char pairs[LINE_BYTES];
  va_list args;

  if (!take_token (module, event))
    return;
  va_start (args, format);
  g_vsnprintf (pairs, sizeof pairs, format, args);
  va_end (args);
  log_pairs (module, level, event, pairs);
}
