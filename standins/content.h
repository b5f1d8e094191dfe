#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What stand-in upstreams answer, computed alike by the load generator to check it. The service is part of
 * all content, so that an answer of another service is recognised.
 */

/* "flow=HEX payload=HEX\n", padded to at least bytes with letters that depend on both. */
char *content_answer (const char *service, const char *flow, const char *payload, size_t payload_length,
                      size_t bytes, size_t *length);

/* Fills buffer with the bytes of an entity from offset on. */
void content_entity (const char *service, uint64_t version, uint64_t offset, uint8_t *buffer, size_t length);

/* Item of a feed; free with g_free. */
char *content_item (const char *service, const char *flow, uint64_t sequence);

/* Value of "KEY=NUMBER" among the blank-separated words of text, or the default. */
uint64_t content_parameter (const char *text, size_t length, const char *key, uint64_t default_value);
