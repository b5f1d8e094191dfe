#pragma once

#include <stddef.h>
#include <stdint.h>

/* Source of random bytes: the system's generator in daemons, a seeded one in tests. */

typedef struct oh_random oh_random_t;

typedef struct
{
  void (*fill) (oh_random_t *random, void *bytes, size_t length);
} oh_random_ops_t;

struct oh_random
{
  const oh_random_ops_t *ops;
};

static inline void
oh_random_fill (oh_random_t *random, void *bytes, size_t length)
{
  random->ops->fill (random, bytes, length);
}

static inline uint64_t
oh_random_u64 (oh_random_t *random)
{
  uint64_t value;

  oh_random_fill (random, &value, sizeof value);
  return value;
}

/* Uniform in [0, bound); bound > 0. The modulo bias is below bound / 2^64. */
static inline uint64_t
oh_random_below (oh_random_t *random, uint64_t bound)
{
  return oh_random_u64 (random) % bound;
}
