#include "core/log_timeline.h"

#include <stdbool.h>
#include <string.h>

typedef struct
{
  double time_s;
  char *prefix; /* before the time */
  char *text;   /* after the time */
} timeline_line_t;

static const char time_key[] = "time=";

static void
free_line (gpointer data)
{
  timeline_line_t *line = data;

  g_free (line->prefix);
  g_free (line->text);
  g_free (line);
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
compare_lines (gconstpointer a, gconstpointer b)
{
  const timeline_line_t *left = *(timeline_line_t *const *)a;
  const timeline_line_t *right = *(timeline_line_t *const *)b;

  return left->time_s < right->time_s ? -1 : left->time_s > right->time_s;
}

void
oh_log_timeline_init (oh_log_timeline_t *timeline, oh_timeline_kind_t kind, const char *value)
{
  *timeline = (oh_log_timeline_t){
    .kind = kind,
    .value = value,
    .lines = g_ptr_array_new_with_free_func (free_line),
  };
}

void
oh_log_timeline_finish (oh_log_timeline_t *timeline)
{
  g_clear_pointer (&timeline->lines, g_ptr_array_unref);
}

void
oh_log_timeline_add (oh_log_timeline_t *timeline, const char *line)
{
  const char *time = strstr (line, time_key);
  timeline_line_t *kept;
  char *rest;

  if (time == NULL || !line_matches (timeline, line))
    return;
  kept = g_new0 (timeline_line_t, 1);
  kept->time_s = g_ascii_strtod (time + strlen (time_key), &rest);
  kept->prefix = g_strstrip (g_strndup (line, (gsize)(time - line)));
  kept->text = g_strstrip (g_strdup (rest));
  g_ptr_array_add (timeline->lines, kept);
}

char *
oh_log_timeline_format (oh_log_timeline_t *timeline)
{
  GString *text = g_string_new (NULL);
  double first_s;

  if (timeline->lines->len == 0)
    return g_string_free (text, FALSE);
  g_ptr_array_sort (timeline->lines, compare_lines);
  first_s = ((timeline_line_t *)g_ptr_array_index (timeline->lines, 0))->time_s;
  for (guint i = 0; i < timeline->lines->len; i++)
    {
      const timeline_line_t *line = g_ptr_array_index (timeline->lines, i);

      g_string_append_printf (text, "+%9.6f s  %s%s%s\n", line->time_s - first_s, line->prefix,
                              line->prefix[0] != '\0' ? "  " : "", line->text);
    }
  return g_string_free (text, FALSE);
}
