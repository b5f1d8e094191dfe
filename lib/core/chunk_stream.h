#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "core/codec.h"
#include "ports/random.h"

/*
 * Sending side of one answer: numbered chunks with a digest chain, kept until the caller acknowledges them.
 * Acknowledgements are cumulative, so a loss is repaired by going back to the first unacknowledged chunk and
 * sending again from there.
 */

enum
{
  OH_STREAM_BUFFER_CHUNKS = 64, /* reading from the upstream pauses at this many unacknowledged chunks */
  OH_STREAM_BACKOFF_MIN_MS = 200,
  OH_STREAM_BACKOFF_MAX_MS = 2000,
  OH_STREAM_QUANTUM_BYTES = 2 * OH_CHUNK_MAX_BYTES, /* credit of a stream per turn, in deficit round robin */
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
  uint64_t first_unacked; /* sequence of the first chunk not acknowledged */
  uint64_t acked_digest;  /* digest of the chunk before it */
  uint64_t next;          /* sequence of the next chunk to be made */
  uint64_t digest;        /* of the last chunk made */
  uint64_t send_next;     /* sequence of the next chunk to send */
  uint64_t window;        /* chunks that may be sent beyond the last acknowledged one */
  uint64_t tag;           /* hash of the upstream's entity tag, or id of a feed's first item */
  bool finished;          /* the last chunk was made */
  uint64_t total_length;  /* bytes of the answer so far, with those before the first chunk */
  size_t partial_length;
  uint8_t partial[OH_CHUNK_MAX_BYTES]; /* bytes appended that are not yet part of a chunk */
  int64_t retransmit_us;               /* time of the next retransmission; 0: nothing outstanding */
  int64_t retransmit_interval_ms;
  int64_t fast_retransmit_us; /* time of the last retransmission caused by duplicate acknowledgements */
  unsigned duplicate_acks;
  uint64_t deficit_bytes; /* unused credit of the stream's turn, in deficit round robin */
} oh_chunk_stream_t;

/* from and digest: sequence of the first chunk and digest of the one before it; the chunks before from count
 * as full ones in total_length. A window of 0 counts as 1, so that a lost window update cannot stop the
 * stream forever. */
void oh_chunk_stream_init (oh_chunk_stream_t *stream, uint64_t from, uint64_t digest, uint64_t tag,
                           uint64_t window);

/* Frees the chunks. */
void oh_chunk_stream_finish (oh_chunk_stream_t *stream);

/* Appends bytes of an answer. A full block does not become a chunk before more bytes or the end arrive, so
 * that the last chunk can be marked as such. */
void oh_chunk_stream_append (oh_chunk_stream_t *stream, const uint8_t *bytes, size_t length);

/* Appends one item of a feed, at most OH_CHUNK_MAX_BYTES, as a chunk of its own. */
void oh_chunk_stream_append_item (oh_chunk_stream_t *stream, const uint8_t *bytes, size_t length);

/* Marks the end of the answer and makes the last chunk. */
void oh_chunk_stream_end (oh_chunk_stream_t *stream);

/* Discards bytes that are not yet part of a chunk, so that reading can resume at a chunk boundary. */
void oh_chunk_stream_drop_partial (oh_chunk_stream_t *stream);

/* Adds a chunk that another agent made, received in a handover. Its size must be valid. */
void oh_chunk_stream_import (oh_chunk_stream_t *stream, const Oh__Chunk *chunk);

/* Goes back to the first unacknowledged chunk, for instance when the caller retransmits its request. */
void oh_chunk_stream_rewind (oh_chunk_stream_t *stream);

/* Handles an acknowledgement of all chunks before next. Returns false, and changes nothing, if it covers
 * chunks that were never made. */
bool oh_chunk_stream_ack (oh_chunk_stream_t *stream, uint64_t next, uint64_t window, int64_t now_us);

/* Next chunk that the window allows to send, or NULL. The stream owns it; valid until the next change. */
const oh_chunk_t *oh_chunk_stream_peek (const oh_chunk_stream_t *stream);

/* Records that the chunk returned by peek was sent. */
void oh_chunk_stream_mark_sent (oh_chunk_stream_t *stream, int64_t now_us, oh_random_t *random);

/* Goes back to the first unacknowledged chunk if the retransmission time has come. Returns true if there is
 * such a chunk and the time has come. */
bool oh_chunk_stream_check_retransmit (oh_chunk_stream_t *stream, int64_t now_us);

/* True once all chunks are made and acknowledged. */
bool oh_chunk_stream_is_done (const oh_chunk_stream_t *stream);

/* True if reading from the upstream should pause. */
bool oh_chunk_stream_is_full (const oh_chunk_stream_t *stream);

/* Returns the interval plus a random part of up to a quarter, and doubles the interval up to
 * OH_STREAM_BACKOFF_MAX_MS. */
int64_t oh_stream_backoff_us (int64_t *interval_ms, oh_random_t *random);
