#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Reproducible response content of the stand-in upstreams. The load generator computes the same content to
 * check the answers. All content depends on the service, so that an answer of another service is detected.
 */

/* The answer to a single request: "flow=FLOW payload=HASH\n", where HASH covers the service and the payload,
 * padded to at least bytes with letters that depend on the hash. Free the result with g_free. */
char *content_answer (const char *service, const char *flow, const char *payload, size_t payload_length,
                      size_t bytes, size_t *length);

/* Fills buffer with the bytes from offset on of the entity that transfers download. The entity has no end;
 * its bytes depend on the service and the version. */
void content_entity (const char *service, uint64_t version, uint64_t offset, uint8_t *buffer, size_t length);

/* Item of a feed, counted from 0. Free the result with g_free. */
char *content_item (const char *service, const char *flow, uint64_t sequence);

/* Number in the first valid "KEY=NUMBER" among the words of text, which are separated by spaces and newlines;
 * default_value if there is none. */
uint64_t content_parameter (const char *text, size_t length, const char *key, uint64_t default_value);
