#include "core/log_story.h"

#include <stdbool.h>
#include <string.h>

typedef struct
{
  double time_s;
  char *prefix; /* what stands before the time */
  char *text;   /* after the time */
} story_line_t;

static const char time_key[] = "time=";

static void
free_line (gpointer data)
{
  story_line_t *line = data;

  g_free (line->prefix);
  g_free (line->text);
  g_free (line);
}

/* True if the line has the key with exactly this value. */
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
belongs (const oh_log_story_t *story, const char *line)
{
  switch (story->kind)
    {
    case OH_STORY_FLOW:
      return has_pair (line, "caller=", story->value);
    case OH_STORY_VERSION:
      return has_pair (line, "version=", story->value) || has_pair (line, "number=", story->value);
    }
  return false;
}

static int
compare_lines (gconstpointer a, gconstpointer b)
{
  const story_line_t *left = *(story_line_t *const *)a;
  const story_line_t *right = *(story_line_t *const *)b;

  return left->time_s < right->time_s ? -1 : left->time_s > right->time_s;
}

void
oh_log_story_init (oh_log_story_t *story, oh_story_kind_t kind, const char *value)
{
  *story = (oh_log_story_t){
    .kind = kind,
    .value = value,
    .lines = g_ptr_array_new_with_free_func (free_line),
  };
}

void
oh_log_story_finish (oh_log_story_t *story)
{
  g_clear_pointer (&story->lines, g_ptr_array_unref);
}

void
oh_log_story_add (oh_log_story_t *story, const char *line)
{
  const char *time = strstr (line, time_key);
  story_line_t *kept;
  char *rest;

  if (time == NULL || !belongs (story, line))
    return;
  kept = g_new0 (story_line_t, 1);
  kept->time_s = g_ascii_strtod (time + strlen (time_key), &rest);
  kept->prefix = g_strstrip (g_strndup (line, (gsize)(time - line)));
  kept->text = g_strstrip (g_strdup (rest));
  g_ptr_array_add (story->lines, kept);
}

char *
oh_log_story_format (oh_log_story_t *story)
{
  GString *text = g_string_new (NULL);
  double first_s;

  if (story->lines->len == 0)
    return g_string_free (text, FALSE);
  g_ptr_array_sort (story->lines, compare_lines);
  first_s = ((story_line_t *)g_ptr_array_index (story->lines, 0))->time_s;
  for (guint i = 0; i < story->lines->len; i++)
    {
      const story_line_t *line = g_ptr_array_index (story->lines, i);

      g_string_append_printf (text, "+%9.6f s  %s%s%s\n", line->time_s - first_s, line->prefix,
                              line->prefix[0] != '\0' ? "  " : "", line->text);
    }
  return g_string_free (text, FALSE);
}
