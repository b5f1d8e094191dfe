#include "core/chunk_stream.h"

#include <glib.h>
#include <string.h>

enum
{
  FAST_RETRANSMIT_DUPLICATE_ACKS = 3, /* as in TCP: fewer are common when packets are reordered */
  FAST_RETRANSMIT_SPACING_MS = 20,    /* several round trips, so that one loss causes one retransmission */
};

static oh_chunk_t *
chunk_from_link (oh_list_t *link)
{
  return oh_list_entry (link, oh_chunk_t, link);
}

static void
make_chunk (oh_chunk_stream_t *stream, const uint8_t *bytes, size_t length, bool last)
{
  oh_chunk_t *chunk = g_malloc (sizeof *chunk + length);

  g_assert (length <= OH_CHUNK_MAX_BYTES);
  *chunk = (oh_chunk_t){
    .sequence = stream->next,
    .digest = oh_chunk_digest (stream->digest, bytes, length),
    .last = last,
    .length = length,
  };
  if (length > 0)
    memcpy (chunk->data, bytes, length);
  oh_list_append (&stream->chunks, &chunk->link);
  stream->n_chunks++;
  stream->next++;
  stream->digest = chunk->digest;
}

static void
drop_chunk (oh_chunk_stream_t *stream, oh_chunk_t *chunk)
{
  oh_list_remove (&chunk->link);
  stream->n_chunks--;
  g_free (chunk);
}

void
oh_chunk_stream_init (oh_chunk_stream_t *stream, uint64_t from, uint64_t digest, uint64_t tag,
                      uint64_t window)
{
  memset (stream, 0, offsetof (oh_chunk_stream_t, partial));
  oh_list_init (&stream->chunks);
  stream->first_unacked = from;
  stream->acked_digest = digest;
  stream->next = from;
  stream->digest = digest;
  stream->send_next = from;
  stream->tag = tag;
  stream->window = MAX (window, 1);
  stream->total_length = from * OH_CHUNK_MAX_BYTES;
  stream->retransmit_us = 0;
  stream->retransmit_interval_ms = OH_STREAM_BACKOFF_MIN_MS;
  stream->fast_retransmit_us = 0;
  stream->duplicate_acks = 0;
  stream->deficit_bytes = 0;
}

void
oh_chunk_stream_finish (oh_chunk_stream_t *stream)
{
  oh_list_foreach_safe (&stream->chunks, link, following)
    drop_chunk (stream, chunk_from_link (link));
}

void
oh_chunk_stream_append (oh_chunk_stream_t *stream, const uint8_t *bytes, size_t length)
{
  g_assert (!stream->finished);
  stream->total_length += length;
  while (length > 0)
    {
      size_t part;

      if (stream->partial_length == OH_CHUNK_MAX_BYTES)
        {
          make_chunk (stream, stream->partial, OH_CHUNK_MAX_BYTES, false);
          stream->partial_length = 0;
        }
      part = MIN (length, OH_CHUNK_MAX_BYTES - stream->partial_length);
      memcpy (stream->partial + stream->partial_length, bytes, part);
      stream->partial_length += part;
      bytes += part;
      length -= part;
    }
}

void
oh_chunk_stream_append_item (oh_chunk_stream_t *stream, const uint8_t *bytes, size_t length)
{
  g_assert (!stream->finished);
  stream->total_length += length;
  make_chunk (stream, bytes, length, false);
}

void
oh_chunk_stream_end (oh_chunk_stream_t *stream)
{
  g_assert (!stream->finished);
  make_chunk (stream, stream->partial, stream->partial_length, true);
  stream->partial_length = 0;
  stream->finished = true;
}

void
oh_chunk_stream_drop_partial (oh_chunk_stream_t *stream)
{
  stream->total_length -= stream->partial_length;
  stream->partial_length = 0;
}

void
oh_chunk_stream_import (oh_chunk_stream_t *stream, const Oh__Chunk *chunk)
{
  make_chunk (stream, chunk->data.data, chunk->data.len, chunk->last);
  if (chunk->last)
    {
      stream->finished = true;
      stream->total_length = chunk->total_length;
    }
}

void
oh_chunk_stream_rewind (oh_chunk_stream_t *stream)
{
  stream->send_next = stream->first_unacked;
}

bool
oh_chunk_stream_ack (oh_chunk_stream_t *stream, uint64_t next, uint64_t window, int64_t now_us)
{
  if (next > stream->next)
    return false;
  if (next < stream->first_unacked)
    return true;
  stream->window = MAX (window, 1);
  if (next == stream->first_unacked)
    {
      if (stream->send_next > stream->first_unacked
          && ++stream->duplicate_acks >= FAST_RETRANSMIT_DUPLICATE_ACKS
          && now_us - stream->fast_retransmit_us >= FAST_RETRANSMIT_SPACING_MS * 1000)
        {
          stream->send_next = stream->first_unacked;
          stream->fast_retransmit_us = now_us;
          stream->duplicate_acks = 0;
        }
      return true;
    }
  oh_list_foreach_safe (&stream->chunks, link, following)
    {
      if (chunk_from_link (link)->sequence >= next)
        break;
      stream->acked_digest = chunk_from_link (link)->digest;
      drop_chunk (stream, chunk_from_link (link));
    }
  stream->first_unacked = next;
  stream->send_next = MAX (stream->send_next, next);
  stream->duplicate_acks = 0;
  stream->retransmit_interval_ms = OH_STREAM_BACKOFF_MIN_MS;
  stream->retransmit_us = stream->send_next > next ? now_us + OH_STREAM_BACKOFF_MIN_MS * 1000 : 0;
  return true;
}

const oh_chunk_t *
oh_chunk_stream_peek (const oh_chunk_stream_t *stream)
{
  if (stream->send_next >= stream->next || stream->send_next >= stream->first_unacked + stream->window)
    return NULL;
  /* Searches from the end, where the chunk usually is. */
  for (oh_list_t *link = stream->chunks.prev; link != &stream->chunks; link = link->prev)
    if (chunk_from_link (link)->sequence == stream->send_next)
      return chunk_from_link (link);
  return NULL;
}

void
oh_chunk_stream_mark_sent (oh_chunk_stream_t *stream, int64_t now_us, oh_random_t *random)
{
  stream->send_next++;
  if (stream->retransmit_us == 0)
    stream->retransmit_us = now_us + oh_stream_backoff_us (&stream->retransmit_interval_ms, random);
}

bool
oh_chunk_stream_check_retransmit (oh_chunk_stream_t *stream, int64_t now_us)
{
  if (stream->retransmit_us == 0 || now_us < stream->retransmit_us)
    return false;
  stream->retransmit_us = 0;
  stream->send_next = stream->first_unacked;
  return stream->n_chunks > 0;
}

bool
oh_chunk_stream_is_done (const oh_chunk_stream_t *stream)
{
  return stream->finished && stream->first_unacked == stream->next;
}

bool
oh_chunk_stream_is_full (const oh_chunk_stream_t *stream)
{
  return stream->n_chunks >= OH_STREAM_BUFFER_CHUNKS;
}

int64_t
oh_stream_backoff_us (int64_t *interval_ms, oh_random_t *random)
{
  const int64_t base_us = *interval_ms * 1000;

  *interval_ms = MIN (*interval_ms * 2, OH_STREAM_BACKOFF_MAX_MS);
  return base_us + (int64_t)oh_random_below (random, (uint64_t)base_us / 4);
}
