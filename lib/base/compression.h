#pragma once

#include <glib.h>
#include <stddef.h>

/* Compression of long texts with zlib, for messages between processes. */

/* Returns the compressed text without its terminating NUL; the caller owns the reference. */
GBytes *oh_compress_text (const char *text);

/* Returns the decompressed text, NUL-terminated, or NULL if the bytes are malformed or the text is longer
 * than max_bytes. Free with g_free. */
char *oh_decompress_text (const void *bytes, size_t length, size_t max_bytes);
