#include "adapters/sse_parser.h"

#include <string.h>

static const char *
field_value (const char *line, const char *name)
{
  const size_t length = strlen (name);

  if (strncmp (line, name, length) != 0 || line[length] != ':')
    return NULL;
  line += length + 1;
  return *line == ' ' ? line + 1 : line;
}

/*
 * Processes one complete line. Returns false if it is malformed; sets *stop if the callback wants no more
 * items.
 */
static bool
process_line (oh_sse_parser_t *parser, oh_sse_item_callback_t on_item, void *data, bool *stop)
{
  const char *line = parser->line->str;
  const char *value;
  guint64 id;

  if (line[0] == '\0')
    {
      const bool complete = parser->has_data;

      if (complete && !parser->has_id)
        return false;
      if (complete)
        *stop = !on_item (parser->id, parser->data->str, parser->data->len, data);
      parser->has_id = false;
      parser->has_data = false;
      g_string_truncate (parser->data, 0);
      return true;
    }
  value = field_value (line, "id");
  if (value != NULL)
    {
      if (!g_ascii_string_to_unsigned (value, 10, 0, G_MAXUINT64, &id, NULL))
        return false;
      parser->id = id;
      parser->has_id = true;
      return true;
    }
  value = field_value (line, "data");
  if (value != NULL)
    {
      if (parser->has_data)
        g_string_append_c (parser->data, '\n');
      g_string_append (parser->data, value);
      parser->has_data = true;
      return parser->data->len <= OH_SSE_MAX_ITEM_BYTES;
    }
  /* Comments and other fields are ignored. */
  return true;
}

void
oh_sse_parser_init (oh_sse_parser_t *parser)
{
  *parser = (oh_sse_parser_t){ .line = g_string_new (NULL), .data = g_string_new (NULL) };
}

void
oh_sse_parser_finish (oh_sse_parser_t *parser)
{
  g_string_free (parser->line, TRUE);
  g_string_free (parser->data, TRUE);
}

bool
oh_sse_parser_feed (oh_sse_parser_t *parser, const char *bytes, size_t length, oh_sse_item_callback_t on_item,
                    void *data)
{
  bool stop = false;

  for (size_t i = 0; i < length && !stop; i++)
    {
      if (bytes[i] == '\n')
        {
          if (parser->line->len > 0 && parser->line->str[parser->line->len - 1] == '\r')
            g_string_truncate (parser->line, parser->line->len - 1);
          if (!process_line (parser, on_item, data, &stop))
            return false;
          g_string_truncate (parser->line, 0);
          continue;
        }
      if (parser->line->len >= OH_SSE_MAX_ITEM_BYTES || bytes[i] == '\0')
        return false;
      g_string_append_c (parser->line, bytes[i]);
    }
  return true;
}
