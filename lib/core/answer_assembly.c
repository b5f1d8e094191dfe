#include "core/answer_assembly.h"

#include <glib.h>
#include <string.h>

struct oh_held_chunk
{
  uint64_t digest;
  uint64_t tag;
  uint64_t total_length;
  bool last;
  size_t length;
  uint8_t data[];
};

static oh_held_chunk_t **
held_slot (oh_answer_t *answer, uint64_t sequence)
{
  return &answer->held[sequence % OH_ANSWER_WINDOW];
}

/* Checks and takes the next chunk in order. */
static oh_chunk_verdict_t
take (oh_answer_t *answer, const oh_held_chunk_t *chunk, const uint8_t *bytes, oh_answer_deliver_t deliver,
      void *data)
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
  return OH_CHUNK_TAKEN;
}

static void
take_held (oh_answer_t *answer, oh_answer_deliver_t deliver, void *data)
{
  oh_chunk_verdict_t verdict = OH_CHUNK_TAKEN;

  while (verdict == OH_CHUNK_TAKEN && !answer->complete && *held_slot (answer, answer->next) != NULL)
    {
      g_autofree oh_held_chunk_t *chunk = g_steal_pointer (held_slot (answer, answer->next));

      verdict = take (answer, chunk, chunk->data, deliver, data);
    }
}

static void
hold (oh_answer_t *answer, const Oh__Chunk *chunk)
{
  oh_held_chunk_t *copy = g_malloc (sizeof *copy + chunk->data.len);

  *copy = (oh_held_chunk_t){
    .digest = chunk->digest,
    .tag = chunk->tag,
    .total_length = chunk->total_length,
    .last = chunk->last,
    .length = chunk->data.len,
  };
  if (chunk->data.len > 0)
    memcpy (copy->data, chunk->data.data, chunk->data.len);
  *held_slot (answer, chunk->sequence) = copy;
}

void
oh_answer_init (oh_answer_t *answer)
{
  *answer = (oh_answer_t){ 0 };
}

void
oh_answer_drop_held (oh_answer_t *answer)
{
  for (size_t i = 0; i < OH_ANSWER_WINDOW; i++)
    g_clear_pointer (&answer->held[i], g_free);
}

void
oh_answer_finish (oh_answer_t *answer)
{
  oh_answer_drop_held (answer);
}

bool
oh_answer_has_gap (const oh_answer_t *answer)
{
  for (size_t i = 0; i < OH_ANSWER_WINDOW; i++)
    if (answer->held[i] != NULL)
      return true;
  return false;
}

oh_chunk_verdict_t
oh_answer_add (oh_answer_t *answer, const Oh__Chunk *chunk, oh_answer_deliver_t deliver, void *data)
{
  oh_chunk_verdict_t verdict;
  oh_held_chunk_t view;

  if (answer->complete || chunk->sequence < answer->next)
    return OH_CHUNK_DUPLICATE;
  if (chunk->sequence - answer->next >= OH_ANSWER_WINDOW)
    return OH_CHUNK_OUTSIDE;
  if (chunk->sequence > answer->next)
    {
      if (*held_slot (answer, chunk->sequence) != NULL)
        return OH_CHUNK_DUPLICATE;
      hold (answer, chunk);
      return OH_CHUNK_HELD;
    }
  view = (oh_held_chunk_t){
    .digest = chunk->digest,
    .tag = chunk->tag,
    .total_length = chunk->total_length,
    .last = chunk->last,
    .length = chunk->data.len,
  };
  verdict = take (answer, &view, chunk->data.data, deliver, data);
  if (verdict != OH_CHUNK_TAKEN)
    return verdict;
  /* A copy held while the chunk was ahead is superseded. */
  g_clear_pointer (held_slot (answer, chunk->sequence), g_free);
  take_held (answer, deliver, data);
  return OH_CHUNK_TAKEN;
}
