#pragma once

#include <stdatomic.h>
#include <stdint.h>

/* Latency histogram with fixed buckets from 100 us to 10 s. May be updated and read from any thread. */

enum
{
  OH_HISTOGRAM_BUCKETS = 16, /* the last one has no upper bound */
};

typedef struct
{
  _Atomic uint64_t counts[OH_HISTOGRAM_BUCKETS]; /* not cumulative */
  _Atomic uint64_t sum_us;
} oh_histogram_t;

void oh_histogram_init (oh_histogram_t *histogram);

/* Counts one latency in its bucket; a negative one counts as 0. */
void oh_histogram_observe (oh_histogram_t *histogram, int64_t latency_us);

/* Inclusive upper bound of the bucket in microseconds; INT64_MAX for the last bucket. */
int64_t oh_histogram_bound_us (unsigned bucket);
