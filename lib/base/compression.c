#include "base/compression.h"

#include <gio/gio.h>
#include <stdint.h>
#include <string.h>

enum
{
  CHUNK_BYTES = 16 * 1024,
  COMPRESSION_LEVEL = 6,
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
oh_compress (const void *bytes, size_t length)
{
  g_autoptr (GZlibCompressor) compressor
    = g_zlib_compressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB, COMPRESSION_LEVEL);
  GByteArray *compressed = convert (G_CONVERTER (compressor), bytes, length, G_MAXSIZE);

  return g_byte_array_free_to_bytes (compressed);
}

GBytes *
oh_decompress (const void *bytes, size_t length, size_t max_bytes)
{
  g_autoptr (GZlibDecompressor) decompressor = g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
  GByteArray *result = convert (G_CONVERTER (decompressor), bytes, length, max_bytes);

  return result != NULL ? g_byte_array_free_to_bytes (result) : NULL;
}

GBytes *
oh_compress_text (const char *text)
{
  return oh_compress (text, strlen (text));
}

char *
oh_decompress_text (const void *bytes, size_t length, size_t max_bytes)
{
  g_autoptr (GBytes) text = oh_decompress (bytes, length, max_bytes);

  return text != NULL ? g_strndup (g_bytes_get_data (text, NULL), g_bytes_get_size (text)) : NULL;
}
