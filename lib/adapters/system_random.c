#include "adapters/system_random.h"

#include <sodium.h>

static void
fill (oh_random_t *random, void *bytes, size_t length)
{
  (void)random;
  randombytes_buf (bytes, length);
}

oh_random_t *
oh_system_random (void)
{
  static const oh_random_ops_t ops = { .fill = fill };
  static oh_random_t random = { .ops = &ops };

  return &random;
}
