#pragma once

#include <glib.h>
#include <stddef.h>

/* Compression with zlib, for messages between processes. */

/* Returns the compressed bytes; the caller owns the reference. */
GBytes *oh_compress (const void *bytes, size_t length);

/* Returns NULL if the bytes are malformed or the result is longer than max_bytes. */
GBytes *oh_decompress (const void *bytes, size_t length, size_t max_bytes);

/* Returns the compressed text without its terminating NUL; the caller owns the reference. */
GBytes *oh_compress_text (const char *text);

/* Returns the decompressed text, NUL-terminated, or NULL if the bytes are malformed or the text is longer
 * than max_bytes. Free with g_free. */
char *oh_decompress_text (const void *bytes, size_t length, size_t max_bytes);
