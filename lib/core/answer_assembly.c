#include "core/answer_assembly.h"

#include <glib.h>
#include <string.h>

struct oh_buffered_chunk
{
  uint64_t digest;
  uint64_t tag;
  uint64_t total_length;
  bool last;
  size_t length;
  uint8_t data[];
};

static oh_buffered_chunk_t **
buffered_slot (oh_answer_t *answer, uint64_t sequence)
{
  return &answer->buffered[sequence % OH_ANSWER_WINDOW];
}

/* Checks the next chunk in order and delivers it if it is valid. */
static oh_chunk_status_t
accept_next (oh_answer_t *answer, const oh_buffered_chunk_t *chunk, const uint8_t *bytes,
             oh_answer_deliver_t deliver, void *data)
{
  if (oh_chunk_digest (answer->digest, bytes, chunk->length) != chunk->digest)
    return OH_CHUNK_MISMATCH;
  if (answer->next > 0 && chunk->tag != answer->tag)
    return OH_CHUNK_TAG_CHANGE;
  if (chunk->last && chunk->total_length != answer->length + chunk->length)
    return OH_CHUNK_MISMATCH;
  answer->digest = chunk->digest;
  answer->tag = chunk->tag;
  answer->length += chunk->length;
  answer->complete = chunk->last;
  deliver (answer->next++, bytes, chunk->length, data);
  return OH_CHUNK_ACCEPTED;
}

/* Delivers buffered chunks up to the next gap. Drops a corrupt one, so that a retransmission can replace it.
 */
static void
accept_buffered (oh_answer_t *answer, oh_answer_deliver_t deliver, void *data)
{
  oh_chunk_status_t status = OH_CHUNK_ACCEPTED;

  while (status == OH_CHUNK_ACCEPTED && !answer->complete && *buffered_slot (answer, answer->next) != NULL)
    {
      g_autofree oh_buffered_chunk_t *chunk = g_steal_pointer (buffered_slot (answer, answer->next));

      status = accept_next (answer, chunk, chunk->data, deliver, data);
    }
}

static void
buffer_chunk (oh_answer_t *answer, const Oh__Chunk *chunk)
{
  oh_buffered_chunk_t *copy = g_malloc (sizeof *copy + chunk->data.len);

  *copy = (oh_buffered_chunk_t){
    .digest = chunk->digest,
    .tag = chunk->tag,
    .total_length = chunk->total_length,
    .last = chunk->last,
    .length = chunk->data.len,
  };
  if (chunk->data.len > 0)
    memcpy (copy->data, chunk->data.data, chunk->data.len);
  *buffered_slot (answer, chunk->sequence) = copy;
}

void
oh_answer_init (oh_answer_t *answer)
{
  *answer = (oh_answer_t){ 0 };
}

void
oh_answer_drop_buffered (oh_answer_t *answer)
{
  for (size_t i = 0; i < OH_ANSWER_WINDOW; i++)
    g_clear_pointer (&answer->buffered[i], g_free);
}

void
oh_answer_finish (oh_answer_t *answer)
{
  oh_answer_drop_buffered (answer);
}

bool
oh_answer_has_gap (const oh_answer_t *answer)
{
  for (size_t i = 0; i < OH_ANSWER_WINDOW; i++)
    if (answer->buffered[i] != NULL)
      return true;
  return false;
}

oh_chunk_status_t
oh_answer_add (oh_answer_t *answer, const Oh__Chunk *chunk, oh_answer_deliver_t deliver, void *data)
{
  oh_chunk_status_t status;
  oh_buffered_chunk_t view;

  if (answer->complete || chunk->sequence < answer->next)
    return OH_CHUNK_DUPLICATE;
  if (chunk->sequence - answer->next >= OH_ANSWER_WINDOW)
    return OH_CHUNK_OUT_OF_WINDOW;
  if (chunk->sequence > answer->next)
    {
      if (*buffered_slot (answer, chunk->sequence) != NULL)
        return OH_CHUNK_DUPLICATE;
      buffer_chunk (answer, chunk);
      return OH_CHUNK_BUFFERED;
    }
  view = (oh_buffered_chunk_t){
    .digest = chunk->digest,
    .tag = chunk->tag,
    .total_length = chunk->total_length,
    .last = chunk->last,
    .length = chunk->data.len,
  };
  status = accept_next (answer, &view, chunk->data.data, deliver, data);
  if (status != OH_CHUNK_ACCEPTED)
    return status;
  /* A duplicate that was buffered while the chunk was ahead is no longer needed. */
  g_clear_pointer (buffered_slot (answer, chunk->sequence), g_free);
  accept_buffered (answer, deliver, data);
  return OH_CHUNK_ACCEPTED;
}
