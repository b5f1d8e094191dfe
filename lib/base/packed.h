#pragma once

#include <glib.h>
#include <stddef.h>

/* Long texts, compressed with zlib for the network. */

GBytes *oh_pack (const char *text);

/* NULL if the bytes are no packed text of at most max_bytes. Free with g_free. */
char *oh_unpack (const void *bytes, size_t length, size_t max_bytes);
