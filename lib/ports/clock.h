#pragma once

#include <stdint.h>

/* Monotonic clock in microseconds, for adapters and daemons. The modules in core/ get the time with each
 * event instead. */

typedef struct oh_clock oh_clock_t;

typedef struct
{
  int64_t (*now_us) (oh_clock_t *clock);
} oh_clock_ops_t;

struct oh_clock
{
  const oh_clock_ops_t *ops;
};

static inline int64_t
oh_clock_now_us (oh_clock_t *clock)
{
  return clock->ops->now_us (clock);
}
