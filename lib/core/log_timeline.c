#include "core/log_timeline.h"

#include <stdbool.h>
#include <string.h>

typedef struct
{
  double time_s;
  char *prefix; /* before the time */
  char *text;   /* after the time */
} timeline_entry_t;

static const char time_key[] = "time=";

static void
free_entry (gpointer data)
{
  timeline_entry_t *entry = data;

  g_free (entry->prefix);
  g_free (entry->text);
  g_free (entry);
}

/* True if the line has the key, given with its "=", with exactly this value. */
static bool
has_pair (const char *line, const char *key, const char *value)
{
  const size_t key_length = strlen (key);
  const size_t value_length = strlen (value);

  for (const char *at = strstr (line, key); at != NULL; at = strstr (at + 1, key))
    {
      const char *end = at + key_length + value_length;

      if ((at == line || at[-1] == ' ') && strncmp (at + key_length, value, value_length) == 0
          && (*end == ' ' || *end == '\0' || *end == '\n'))
        return true;
    }
  return false;
}

static bool
line_matches (const oh_log_timeline_t *timeline, const char *line)
{
  switch (timeline->kind)
    {
    case OH_TIMELINE_FLOW:
      return has_pair (line, "caller=", timeline->value);
    case OH_TIMELINE_VERSION:
      return has_pair (line, "version=", timeline->value) || has_pair (line, "number=", timeline->value);
    }
  return false;
}

static int
compare_entries (gconstpointer a, gconstpointer b)
{
  const timeline_entry_t *left = *(timeline_entry_t *const *)a;
  const timeline_entry_t *right = *(timeline_entry_t *const *)b;

  return left->time_s < right->time_s ? -1 : left->time_s > right->time_s;
}

void
oh_log_timeline_init (oh_log_timeline_t *timeline, oh_timeline_kind_t kind, const char *value)
{
  *timeline = (oh_log_timeline_t){
    .kind = kind,
    .value = value,
    .entries = g_ptr_array_new_with_free_func (free_entry),
  };
}

void
oh_log_timeline_finish (oh_log_timeline_t *timeline)
{
  g_clear_pointer (&timeline->entries, g_ptr_array_unref);
}

void
oh_log_timeline_add (oh_log_timeline_t *timeline, const char *line)
{
  const char *time = strstr (line, time_key);
  timeline_entry_t *entry;
  char *rest;

  if (time == NULL || !line_matches (timeline, line))
    return;
  entry = g_new0 (timeline_entry_t, 1);
  entry->time_s = g_ascii_strtod (time + strlen (time_key), &rest);
  entry->prefix = g_strstrip (g_strndup (line, (gsize)(time - line)));
  entry->text = g_strstrip (g_strdup (rest));
  g_ptr_array_add (timeline->entries, entry);
}

char *
oh_log_timeline_format (oh_log_timeline_t *timeline)
{
  GString *text = g_string_new (NULL);
  double first_s;

  if (timeline->entries->len == 0)
    return g_string_free (text, FALSE);
  g_ptr_array_sort (timeline->entries, compare_entries);
  first_s = ((timeline_entry_t *)g_ptr_array_index (timeline->entries, 0))->time_s;
  for (guint i = 0; i < timeline->entries->len; i++)
    {
      const timeline_entry_t *entry = g_ptr_array_index (timeline->entries, i);

      g_string_append_printf (text, "+%9.6f s  %s%s%s\n", entry->time_s - first_s, entry->prefix,
                              entry->prefix[0] != '\0' ? "  " : "", entry->text);
    }
  return g_string_free (text, FALSE);
}
