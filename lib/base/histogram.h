#pragma once

#include <stdatomic.h>
#include <stdint.h>

/* A latency histogram with fixed buckets, from 100 us to 10 s. Readable from any thread. */

enum
{
  OH_HISTOGRAM_BUCKETS = 16, /* the last one has no bound */
};

typedef struct
{
  _Atomic uint64_t counts[OH_HISTOGRAM_BUCKETS]; /* not cumulative */
  _Atomic uint64_t sum_us;
} oh_histogram_t;

void oh_histogram_init (oh_histogram_t *histogram);
void oh_histogram_observe (oh_histogram_t *histogram, int64_t latency_us);

/* Upper bound of the bucket in microseconds; INT64_MAX for the last. */
int64_t oh_histogram_bound_us (unsigned bucket);
