#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "core/codec.h"
#include "ports/random.h"

/*
 * Sending side of one answer: numbered chunks with a digest chain, kept until the caller acknowledges them.
 * The caller accepts chunks in order only, so a loss is repaired by sending again from the first
 * unacknowledged chunk.
 */

enum
{
  OH_STREAM_BUFFER_CHUNKS = 64, /* reading from the upstream stops at this many kept chunks */
  OH_STREAM_RETRY_MIN_MS = 200,
  OH_STREAM_RETRY_MAX_MS = 2000,
  OH_STREAM_QUANTUM_BYTES = 2 * OH_CHUNK_MAX_BYTES,
};

typedef struct
{
  oh_list_t link;
  uint64_t sequence;
  uint64_t digest;
  bool last;
  size_t length;
  uint8_t data[];
} oh_chunk_t;

typedef struct
{
  oh_list_t chunks; /* of oh_chunk_t, unacknowledged, ascending */
  unsigned n_chunks;
  uint64_t acked;        /* first sequence not acknowledged */
  uint64_t acked_digest; /* digest of the chunk before it */
  uint64_t next;         /* sequence of the next chunk to be made */
  uint64_t digest;       /* of the last chunk made */
  uint64_t send_next;    /* first sequence to send */
  uint64_t window;
  uint64_t tag;
  bool finished;
  uint64_t total_length;
  size_t partial_length;
  uint8_t partial[OH_CHUNK_MAX_BYTES];
  int64_t retry_us; /* time of the next retransmission; 0: nothing outstanding */
  int64_t retry_interval_ms;
  int64_t fast_retry_us; /* time of the last retransmission caused by repeated acknowledgements */
  unsigned repeated_acks;
  uint64_t deficit_bytes;
} oh_chunk_stream_t;

/* from and digest: position of the first chunk and digest of the one before it. window 0 counts as 1, so that
 * a lost window update cannot stop the stream for ever. */
void oh_chunk_stream_init (oh_chunk_stream_t *stream, uint64_t from, uint64_t digest, uint64_t tag,
                           uint64_t window);
void oh_chunk_stream_finish (oh_chunk_stream_t *stream);

/* Appends bytes of an answer. The last full block is held back until more bytes or the end arrive, so that
 * the last chunk can be marked. */
void oh_chunk_stream_append (oh_chunk_stream_t *stream, const uint8_t *bytes, size_t length);

/* Appends one item of at most OH_CHUNK_MAX_BYTES as a chunk of its own. */
void oh_chunk_stream_append_item (oh_chunk_stream_t *stream, const uint8_t *bytes, size_t length);

/* Marks the end of the answer and makes the last chunk. */
void oh_chunk_stream_end (oh_chunk_stream_t *stream);

/* Discards bytes that are not yet part of a chunk, so that reading can start again at a chunk's boundary. */
void oh_chunk_stream_drop_partial (oh_chunk_stream_t *stream);

/* Adds a chunk that another agent made. */
void oh_chunk_stream_import (oh_chunk_stream_t *stream, const Oh__Chunk *chunk);

/* The caller still asks for the answer: sends again what is not acknowledged. */
void oh_chunk_stream_repeat (oh_chunk_stream_t *stream);

/* next: first chunk that the caller misses. Returns false for an acknowledgement of chunks never sent. */
bool oh_chunk_stream_ack (oh_chunk_stream_t *stream, uint64_t next, uint64_t window, int64_t now_us);

/* Next chunk that the window allows to send, or NULL. */
const oh_chunk_t *oh_chunk_stream_peek (const oh_chunk_stream_t *stream);

/* Records that the chunk returned by peek was sent. */
void oh_chunk_stream_sent (oh_chunk_stream_t *stream, int64_t now_us, oh_random_t *random);

/* Starts again from the first unacknowledged chunk if the retransmission time has come. Returns true if so.
 */
bool oh_chunk_stream_retry (oh_chunk_stream_t *stream, int64_t now_us);

/* All chunks are made and acknowledged. */
bool oh_chunk_stream_is_done (const oh_chunk_stream_t *stream);

/* Reading from the upstream should pause. */
bool oh_chunk_stream_is_full (const oh_chunk_stream_t *stream);

/* Delay with a jitter of a quarter, doubling from the smallest interval up to the greatest. */
int64_t oh_stream_backoff_us (int64_t *interval_ms, oh_random_t *random);
