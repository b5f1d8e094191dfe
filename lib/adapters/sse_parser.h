#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Incremental parser of server-sent events (text/event-stream). Each event is one item: a numeric "id" field
 * and one or more "data" fields, which are joined with newlines.
 */

enum
{
  OH_SSE_MAX_ITEM_BYTES = 4096, /* larger items and lines are rejected; a chunk holds 1,024 bytes */
};

typedef struct
{
  GString *line; /* the incomplete line at the end of the input */
  GString *data; /* of the current item */
  uint64_t id;   /* of the current item, if has_id */
  bool has_id;
  bool has_data;
} oh_sse_parser_t;

/* Receives one complete item; the bytes are valid during the call. Returns false to stop parsing. */
typedef bool (*oh_sse_item_callback_t) (uint64_t id, const char *bytes, size_t length, void *data);

void oh_sse_parser_init (oh_sse_parser_t *parser);
void oh_sse_parser_finish (oh_sse_parser_t *parser);

/*
 * Parses the next part of the stream. Returns false if the text is malformed: an item without a numeric id,
 * a NUL byte, or an item or line of more than OH_SSE_MAX_ITEM_BYTES. If the callback stops the parser, the
 * rest of the bytes is ignored.
 */
bool oh_sse_parser_feed (oh_sse_parser_t *parser, const char *bytes, size_t length,
                         oh_sse_item_callback_t on_item, void *data);
