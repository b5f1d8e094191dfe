#include "base/histogram.h"

#include <stddef.h>

static const int64_t bounds_us[OH_HISTOGRAM_BUCKETS] = {
  100,   250,    500,    1000,   2500,    5000,    10000,    25000,
  50000, 100000, 250000, 500000, 1000000, 2500000, 10000000, INT64_MAX,
};

void
oh_histogram_init (oh_histogram_t *histogram)
{
  for (unsigned i = 0; i < OH_HISTOGRAM_BUCKETS; i++)
    atomic_init (&histogram->counts[i], 0);
  atomic_init (&histogram->sum_us, 0);
}

void
oh_histogram_observe (oh_histogram_t *histogram, int64_t latency_us)
{
  unsigned bucket = 0;

  if (latency_us < 0)
    latency_us = 0;
  while (latency_us > bounds_us[bucket])
    bucket++;
  atomic_fetch_add_explicit (&histogram->counts[bucket], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum_us, (uint64_t)latency_us, memory_order_relaxed);
}

int64_t
oh_histogram_bound_us (unsigned bucket)
{
  return bounds_us[bucket];
}
