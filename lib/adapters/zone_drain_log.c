#define OH_LOG_MODULE "zones"
#include "base/log.h"

#include "adapters/zone_drain_log.h"

/* The zones, separated by commas. Free with g_free. */
static char *
join_zones (const GPtrArray *zones)
{
  g_autoptr (GString) text = g_string_new ("");

  for (guint i = 0; i < zones->len; i++)
    g_string_append_printf (text, "%s%s", i > 0 ? "," : "", (const char *)g_ptr_array_index (zones, i));
  return g_string_free (g_steal_pointer (&text), FALSE);
}

void
oh_zone_drain_log_update (oh_zone_drain_log_t *log, const oh_view_t *view)
{
  g_autofree char *zones = join_zones (view->drained_zones);

  if (g_strcmp0 (zones, log->zones != NULL ? log->zones : "") == 0)
    return;
  oh_log_info ("zone_drain_in_effect", "zones=%s version=%" G_GUINT64_FORMAT " confirmed=%d", zones,
               view->version, view->confirmed);
  g_free (log->zones);
  log->zones = g_steal_pointer (&zones);
}

void
oh_zone_drain_log_finish (oh_zone_drain_log_t *log)
{
  g_clear_pointer (&log->zones, g_free);
}
