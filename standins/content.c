#include "content.h"

#include <string.h>
#include <xxhash.h>

char *
content_answer (const char *service, const char *flow, const char *payload, size_t payload_length,
                size_t bytes, size_t *length)
{
  const uint64_t hash = XXH64 (payload, payload_length, XXH64 (service, strlen (service), 0));
  GString *text = g_string_new (NULL);

  g_string_printf (text, "flow=%s payload=%016" G_GINT64_MODIFIER "x\n", flow, hash);
  while (text->len < bytes)
    g_string_append_c (text, (char)('a' + (hash + text->len * 7) % 26));
  *length = text->len;
  return g_string_free (text, FALSE);
}

void
content_entity (const char *service, uint64_t version, uint64_t offset, uint8_t *buffer, size_t length)
{
  const uint64_t seed = XXH64 (service, strlen (service), version);

  for (size_t i = 0; i < length; i++)
    {
      /* A multiplication by an odd constant gives each 8-byte word another value, with a period of 2^64
       * words, so that no two chunks are equal; it costs one multiplication per byte. */
      const uint64_t word = ((offset + i) / 8 + seed) * 0x9e3779b97f4a7c15u;

      buffer[i] = (uint8_t)(word >> (8 * ((offset + i) % 8)));
    }
}

char *
content_item (const char *service, const char *flow, uint64_t sequence)
{
  return g_strdup_printf ("service=%s flow=%s item=%" G_GUINT64_FORMAT, service, flow, sequence);
}

uint64_t
content_parameter (const char *text, size_t length, const char *key, uint64_t default_value)
{
  g_autofree char *copy = g_strndup (text, length);
  g_auto (GStrv) words = g_strsplit_set (copy, " \n", -1);
  const size_t key_length = strlen (key);
  guint64 value;

  for (char **word = words; *word != NULL; word++)
    if (strncmp (*word, key, key_length) == 0 && (*word)[key_length] == '='
        && g_ascii_string_to_unsigned (*word + key_length + 1, 10, 0, G_MAXUINT64, &value, NULL))
      return value;
  return default_value;
}
