#define OH_LOG_MODULE "settings"
#include "base/log.h"

#include "adapters/settings_watch.h"

#include <glib-unix.h>

enum
{
  POLL_INTERVAL_S = 2,
};

/* Calls back if the content differs from the last one read. */
static void
check_file (oh_settings_watch_t *watch, const char *cause)
{
  g_autoptr (GError) error = NULL;
  char *content = NULL;

  if (!g_file_get_contents (watch->path, &content, NULL, &error))
    {
      oh_log_warning ("settings_unreadable", "path=%s reason=\"%s\"", watch->path, error->message);
      return;
    }
  if (g_strcmp0 (content, watch->content) == 0)
    {
      g_free (content);
      return;
    }
  g_free (watch->content);
  watch->content = content;
  oh_log_info ("settings_changed", "path=%s cause=%s", watch->path, cause);
  watch->changed (watch->data);
}

static gboolean
on_timer (gpointer data)
{
  check_file (data, "file");
  return G_SOURCE_CONTINUE;
}

static gboolean
on_signal (gpointer data)
{
  oh_log_info ("reload_requested", "signal=SIGHUP");
  check_file (data, "signal");
  return G_SOURCE_CONTINUE;
}

void
oh_settings_watch_init (oh_settings_watch_t *watch, const char *path, void (*changed) (void *data),
                        void *data)
{
  *watch = (oh_settings_watch_t){ .path = g_strdup (path), .changed = changed, .data = data };
  g_file_get_contents (path, &watch->content, NULL, NULL);
  watch->timer = g_timeout_add_seconds (POLL_INTERVAL_S, on_timer, watch);
  watch->signal = g_unix_signal_add (SIGHUP, on_signal, watch);
}

void
oh_settings_watch_finish (oh_settings_watch_t *watch)
{
  g_source_remove (watch->timer);
  g_source_remove (watch->signal);
  g_clear_pointer (&watch->path, g_free);
  g_clear_pointer (&watch->content, g_free);
}
