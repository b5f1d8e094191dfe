#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/codec.h"

/*
 * Puts the chunks of one answer in order and checks the digest chain, the entity tag and the total length.
 * Chunks ahead of the next one are held within the window.
 */

enum
{
  OH_ANSWER_WINDOW = 64, /* 64 datagrams of the greatest size fit the default socket buffer of Linux */
};

typedef enum
{
  OH_CHUNK_TAKEN,      /* the answer grew */
  OH_CHUNK_HELD,       /* ahead of the next chunk */
  OH_CHUNK_DUPLICATE,  /* taken or held before */
  OH_CHUNK_OUTSIDE,    /* beyond the window */
  OH_CHUNK_MISMATCH,   /* digest or total length do not fit the chunks before it */
  OH_CHUNK_TAG_CHANGE, /* the entity changed under the transfer */
} oh_chunk_verdict_t;

typedef struct oh_held_chunk oh_held_chunk_t;

typedef struct
{
  uint64_t next;   /* first chunk not yet taken */
  uint64_t digest; /* of the chunk before next; 0 before the first */
  uint64_t tag;    /* of the entity, once a chunk was taken */
  uint64_t length; /* bytes taken */
  bool complete;   /* the last chunk was taken and the total length matched */
  oh_held_chunk_t *held[OH_ANSWER_WINDOW];
} oh_answer_t;

/* Called for each chunk taken, in order. */
typedef void (*oh_answer_deliver_t) (uint64_t sequence, const uint8_t *bytes, size_t length, void *data);

void oh_answer_init (oh_answer_t *answer);
void oh_answer_finish (oh_answer_t *answer);

/* Drops held chunks, for instance those of an earlier attempt; what was taken stays. */
void oh_answer_drop_held (oh_answer_t *answer);

/* True if chunks ahead of the next one are held, thus the next one is missing. */
bool oh_answer_has_gap (const oh_answer_t *answer);

oh_chunk_verdict_t oh_answer_add (oh_answer_t *answer, const Oh__Chunk *chunk, oh_answer_deliver_t deliver,
                                  void *data);
