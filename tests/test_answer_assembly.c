#include <glib.h>
#include <string.h>

#include "core/answer_assembly.h"

enum
{
  N_CHUNKS = 4,
};

typedef struct
{
  Oh__Chunk chunks[N_CHUNKS];
  uint8_t bytes[N_CHUNKS];
} sample_t;

static void
sample_init (sample_t *sample, uint64_t tag)
{
  uint64_t digest = 0;

  for (size_t i = 0; i < N_CHUNKS; i++)
    {
      Oh__Chunk *chunk = &sample->chunks[i];

      oh__chunk__init (chunk);
      sample->bytes[i] = (uint8_t)('a' + i);
      chunk->sequence = i;
      chunk->data.data = &sample->bytes[i];
      chunk->data.len = 1;
      chunk->tag = tag;
      digest = oh_chunk_digest (digest, &sample->bytes[i], 1);
      chunk->digest = digest;
      chunk->last = i == N_CHUNKS - 1;
      chunk->total_length = chunk->last ? N_CHUNKS : 0;
    }
}

static void
append (uint64_t sequence, const uint8_t *bytes, size_t length, void *data)
{
  GString *text = data;

  g_assert_cmpuint (sequence, ==, text->len);
  g_string_append_len (text, (const char *)bytes, length);
}

/* Guards against an incomplete, reordered or duplicated answer when packets are lost, reordered or
 * duplicated. */
static void
test_orders (void)
{
  static const struct
  {
    const char *order;
    const char *text;
    bool complete;
  } cases[] = {
    { "0123", "abcd", true },       { "3210", "abcd", true }, { "0011223333", "abcd", true },
    { "013", "ab", false },         { "123", "", false },     { "31132", "", false },
    { "3113200123", "abcd", true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GString) text = g_string_new (NULL);
      oh_answer_t answer;
      sample_t sample;

      sample_init (&sample, 7);
      oh_answer_init (&answer);
      for (const char *c = cases[i].order; *c != '\0'; c++)
        oh_answer_add (&answer, &sample.chunks[*c - '0'], append, text);
      g_assert_cmpstr (text->str, ==, cases[i].text);
      g_assert_cmpint (answer.complete, ==, cases[i].complete);
      oh_answer_finish (&answer);
    }
}

/* Guards against accepting chunks of another answer or entity, corrupt chunks and wrong total lengths. */
static void
test_inconsistent_chunks (void)
{
  static const struct
  {
    const char *fault;
    oh_chunk_status_t status;
  } cases[] = {
    { "digest", OH_CHUNK_MISMATCH }, { "data", OH_CHUNK_MISMATCH },          { "length", OH_CHUNK_MISMATCH },
    { "tag", OH_CHUNK_TAG_CHANGE },  { "sequence", OH_CHUNK_OUT_OF_WINDOW },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GString) text = g_string_new (NULL);
      oh_answer_t answer;
      sample_t sample;
      Oh__Chunk *last = &sample.chunks[3];

      sample_init (&sample, 7);
      oh_answer_init (&answer);
      for (size_t c = 0; c < 3; c++)
        g_assert_cmpint (oh_answer_add (&answer, &sample.chunks[c], append, text), ==, OH_CHUNK_ACCEPTED);
      if (strcmp (cases[i].fault, "digest") == 0)
        last->digest++;
      else if (strcmp (cases[i].fault, "data") == 0)
        last->data.data[0]++;
      else if (strcmp (cases[i].fault, "length") == 0)
        last->total_length++;
      else if (strcmp (cases[i].fault, "tag") == 0)
        last->tag++;
      else
        last->sequence = answer.next + OH_ANSWER_WINDOW;
      g_assert_cmpint (oh_answer_add (&answer, last, append, text), ==, cases[i].status);
      g_assert_false (answer.complete);
      sample_init (&sample, 7);
      g_assert_cmpint (oh_answer_add (&answer, &sample.chunks[3], append, text), ==, OH_CHUNK_ACCEPTED);
      g_assert_true (answer.complete);
      g_assert_cmpstr (text->str, ==, "abcd");
      oh_answer_finish (&answer);
    }
}

/* Guards against a corrupt chunk that arrives early and keeps its valid retransmission from being accepted.
 */
static void
test_corrupt_buffered_chunk (void)
{
  g_autoptr (GString) text = g_string_new (NULL);
  oh_answer_t answer;
  sample_t sample;

  sample_init (&sample, 7);
  oh_answer_init (&answer);
  sample.chunks[1].digest++;
  g_assert_cmpint (oh_answer_add (&answer, &sample.chunks[1], append, text), ==, OH_CHUNK_BUFFERED);
  g_assert_cmpint (oh_answer_add (&answer, &sample.chunks[0], append, text), ==, OH_CHUNK_ACCEPTED);
  g_assert_cmpstr (text->str, ==, "a");
  sample.chunks[1].digest--;
  for (size_t c = 1; c < N_CHUNKS; c++)
    g_assert_cmpint (oh_answer_add (&answer, &sample.chunks[c], append, text), ==, OH_CHUNK_ACCEPTED);
  g_assert_true (answer.complete);
  oh_answer_finish (&answer);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/answer/orders", test_orders);
  g_test_add_func ("/answer/inconsistent-chunks", test_inconsistent_chunks);
  g_test_add_func ("/answer/corrupt-buffered-chunk", test_corrupt_buffered_chunk);
  return g_test_run ();
}
