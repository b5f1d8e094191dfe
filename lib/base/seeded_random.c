#include "base/seeded_random.h"

#include <string.h>

static void
fill (oh_random_t *base, void *bytes, size_t length)
{
  oh_seeded_random_t *random = (oh_seeded_random_t *)base;
  char *out = bytes;

  while (length > 0)
    {
      const guint32 word = g_rand_int (random->rand);
      const size_t part = MIN (length, sizeof word);

      memcpy (out, &word, part);
      out += part;
      length -= part;
    }
}

void
oh_seeded_random_init (oh_seeded_random_t *random, uint32_t seed)
{
  static const oh_random_ops_t ops = { .fill = fill };

  random->base.ops = &ops;
  random->rand = g_rand_new_with_seed (seed);
}

void
oh_seeded_random_finish (oh_seeded_random_t *random)
{
  g_clear_pointer (&random->rand, g_rand_free);
}
