#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/codec.h"

/*
 * Receiving side of one answer: puts the chunks in order and checks the digest chain, the entity tag and the
 * total length. Chunks that arrive ahead of the next one are buffered within the window.
 */

enum
{
  OH_ANSWER_WINDOW = 64, /* chunks; 64 datagrams of the maximum size fit the default socket buffer of Linux */
};

typedef enum
{
  OH_CHUNK_ACCEPTED,      /* delivered, with any buffered chunks that follow it */
  OH_CHUNK_BUFFERED,      /* ahead of the next chunk, not checked yet */
  OH_CHUNK_DUPLICATE,     /* accepted or buffered before */
  OH_CHUNK_OUT_OF_WINDOW, /* beyond the window */
  OH_CHUNK_MISMATCH,      /* digest or total length inconsistent with the chunks before it */
  OH_CHUNK_TAG_CHANGE,    /* the entity changed during the transfer */
} oh_chunk_status_t;

typedef struct oh_buffered_chunk oh_buffered_chunk_t;

typedef struct
{
  uint64_t next;   /* sequence of the first chunk not yet accepted */
  uint64_t digest; /* of the chunk before next; 0 before the first */
  uint64_t tag; /* hash of the upstream's entity tag, or id of a feed's first item; set by the first chunk */
  uint64_t length; /* bytes accepted */
  bool complete;   /* the last chunk was accepted and the total length matched */
  oh_buffered_chunk_t *buffered[OH_ANSWER_WINDOW];
} oh_answer_t;

/* Called for each chunk accepted, in order. bytes is valid during the call. */
typedef void (*oh_answer_deliver_t) (uint64_t sequence, const uint8_t *bytes, size_t length, void *data);

void oh_answer_init (oh_answer_t *answer);
void oh_answer_finish (oh_answer_t *answer);

/* Drops the buffered chunks, for instance those of an earlier attempt. Keeps what was accepted. */
void oh_answer_drop_buffered (oh_answer_t *answer);

/* True if chunks are buffered, which means that the next one is missing. */
bool oh_answer_has_gap (const oh_answer_t *answer);

/* Adds a received chunk, which is copied if it must be buffered. data is passed to deliver. */
oh_chunk_status_t oh_answer_add (oh_answer_t *answer, const Oh__Chunk *chunk, oh_answer_deliver_t deliver,
                                 void *data);
