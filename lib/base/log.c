#define OH_LOG_MODULE "log"
#include "base/log.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

enum
{
  QUEUE_LINES = 8192, /* 4 MiB at the greatest line length */
  LINE_BYTES = 512,
};

typedef struct
{
  GMutex mutex;
  GCond cond;
  GThread *thread;
  char (*lines)[LINE_BYTES]; /* ring of QUEUE_LINES */
  unsigned head;             /* first line not yet written */
  unsigned count;
  bool stop;
} log_writer_t;

static log_writer_t writer;
static _Atomic int enabled_level = OH_LOG_INFO;
static _Atomic uint64_t dropped;

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
      line[LINE_BYTES - 2] = line[LINE_BYTES - 2] == '\0' ? '\0' : '\n';
      writer.count++;
      g_cond_signal (&writer.cond);
    }
  g_mutex_unlock (&writer.mutex);
  return G_LOG_WRITER_HANDLED;
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
          fputs (line, stderr);
          g_mutex_lock (&writer.mutex);
        }
      if (atomic_load (&dropped) != reported)
        {
          reported = atomic_load (&dropped);
          fprintf (stderr, "level=warning module=log event=lines_dropped total=%" G_GUINT64_FORMAT "\n",
                   reported);
        }
      fflush (stderr);
    }
  g_mutex_unlock (&writer.mutex);
  return NULL;
}

void
oh_log_start (oh_log_level_t level)
{
  g_assert (writer.thread == NULL);
  atomic_store (&enabled_level, (int)level);
  g_mutex_init (&writer.mutex);
  g_cond_init (&writer.cond);
  writer.lines = g_malloc0 ((gsize)QUEUE_LINES * LINE_BYTES);
  writer.head = 0;
  writer.count = 0;
  writer.stop = false;
  g_log_set_writer_func (enqueue_line, NULL, NULL);
  writer.thread = g_thread_new ("log", run_writer, NULL);
}

void
oh_log_stop (void)
{
  if (writer.thread == NULL)
    return;
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

void
oh_log_event (const char *module, oh_log_level_t level, const char *event, const char *format, ...)
{
  char pairs[LINE_BYTES];
  char line[LINE_BYTES + 64];
  va_list args;

  va_start (args, format);
  g_vsnprintf (pairs, sizeof pairs, format, args);
  va_end (args);
  g_snprintf (line, sizeof line, "event=%s %s", event, pairs);

  const GLogField fields[] = {
    { .key = "MESSAGE", .value = line, .length = -1 },
    { .key = "GLIB_DOMAIN", .value = module, .length = -1 },
  };

  g_log_structured_array (glib_levels[level], fields, G_N_ELEMENTS (fields));
}
