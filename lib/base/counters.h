#pragma once

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#include "base/histogram.h"
#include "base/list.h"

/* Monotonic counters and gauges of one process, readable from any thread. */

typedef struct
{
  const char *name;          /* static; lower case with underscores, the unit as suffix */
  const char *help;          /* static; NULL if the name says it all */
  oh_histogram_t *histogram; /* NULL for a counter or gauge; then the value is not used */
  _Atomic uint64_t value;
  oh_list_t link;
} oh_counter_t;

typedef struct
{
  oh_list_t list;
} oh_counters_t;

void oh_counters_init (oh_counters_t *counters);
void oh_counters_finish (oh_counters_t *counters);

/* The counter is owned by the caller and must outlive the registry. Registration happens before threads
 * start. */
void oh_counters_add (oh_counters_t *counters, oh_counter_t *counter, const char *name);

/* As oh_counters_add, with a sentence for the reader of the metrics. */
void oh_counters_add_with_help (oh_counters_t *counters, oh_counter_t *counter, const char *name,
                                const char *help);

/* Adds a histogram under the counter's name, which ends in _seconds. */
void oh_counters_add_histogram (oh_counters_t *counters, oh_counter_t *counter, oh_histogram_t *histogram,
                                const char *name, const char *help);

/* The text format that Prometheus reads: HELP and TYPE lines, names with the prefix oriolehaven_. Names that
 * end in _total are counters, the others gauges. */
char *oh_counters_format_metrics (oh_counters_t *counters);

/* One "name value" line for each counter, in the order of registration. */
char *oh_counters_format (oh_counters_t *counters);

static inline void
oh_counter_increment (oh_counter_t *counter)
{
  atomic_fetch_add_explicit (&counter->value, 1, memory_order_relaxed);
}

static inline void
oh_counter_add (oh_counter_t *counter, uint64_t amount)
{
  atomic_fetch_add_explicit (&counter->value, amount, memory_order_relaxed);
}

static inline void
oh_counter_set (oh_counter_t *counter, uint64_t value)
{
  atomic_store_explicit (&counter->value, value, memory_order_relaxed);
}

static inline uint64_t
oh_counter_get (const oh_counter_t *counter)
{
  return atomic_load_explicit (&counter->value, memory_order_relaxed);
}
