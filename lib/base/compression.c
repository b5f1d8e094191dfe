#include "base/compression.h"

#include <gio/gio.h>
#include <stdint.h>
#include <string.h>

enum
{
  CHUNK_BYTES = 16 * 1024,
};

/* Runs the whole input through the converter. Returns NULL if it is malformed or the output is longer than
 * max_bytes. */
static GByteArray *
convert (GConverter *converter, const uint8_t *bytes, size_t length, size_t max_bytes)
{
  g_autoptr (GByteArray) output = g_byte_array_new ();
  GConverterResult result;

  do
    {
      uint8_t chunk[CHUNK_BYTES];
      gsize consumed;
      gsize produced;

      result = g_converter_convert (converter, bytes, length, chunk, sizeof chunk, G_CONVERTER_INPUT_AT_END,
                                    &consumed, &produced, NULL);
      if (result == G_CONVERTER_ERROR || output->len + produced > max_bytes)
        return NULL;
      g_byte_array_append (output, chunk, (guint)produced);
      bytes += consumed;
      length -= consumed;
    }
  while (result != G_CONVERTER_FINISHED);
  return g_steal_pointer (&output);
}

GBytes *
oh_compress_text (const char *text)
{
  g_autoptr (GZlibCompressor) compressor = g_zlib_compressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB, 6);
  GByteArray *compressed
    = convert (G_CONVERTER (compressor), (const uint8_t *)text, strlen (text), G_MAXSIZE);

  return g_byte_array_free_to_bytes (compressed);
}

char *
oh_decompress_text (const void *bytes, size_t length, size_t max_bytes)
{
  g_autoptr (GZlibDecompressor) decompressor = g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
  GByteArray *text = convert (G_CONVERTER (decompressor), bytes, length, max_bytes);

  if (text == NULL)
    return NULL;
  g_byte_array_append (text, (const uint8_t *)"", 1);
  return (char *)g_byte_array_free (text, FALSE);
}
