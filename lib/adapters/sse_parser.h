#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Incremental parser of text/event-stream: items with "id: N" and "data: ..." lines. */

enum
{
  OH_SSE_MAX_ITEM_BYTES = 4096, /* greater items are rejected; a chunk holds 1,024 bytes */
};

typedef struct
{
  GString *line;
  GString *data;
  uint64_t id;
  bool has_id;
  bool has_data;
} oh_sse_parser_t;

/* Returns false to stop parsing. */
typedef bool (*oh_sse_item_t) (uint64_t id, const char *bytes, size_t length, void *data);

void oh_sse_parser_init (oh_sse_parser_t *parser);
void oh_sse_parser_finish (oh_sse_parser_t *parser);

/* Returns false if the text is malformed: an item without a number as id, or one that is too large. */
bool oh_sse_parser_feed (oh_sse_parser_t *parser, const char *bytes, size_t length, oh_sse_item_t item,
                         void *data);
