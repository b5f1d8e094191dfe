#pragma once

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#include "base/histogram.h"
#include "base/list.h"

/*
 * Metrics registry of a process: counters, gauges and histograms, written out in the order of registration.
 * Values may be updated and read from any thread.
 */

/* One metric: a counter, a gauge or a histogram. */
typedef struct
{
  const char *name;          /* static; lower case with underscores, the unit as suffix */
  const char *help;          /* static; NULL: the name with spaces for underscores */
  oh_histogram_t *histogram; /* borrowed; NULL for a counter or gauge. If set, value is not used */
  _Atomic uint64_t value;
  oh_list_t link;
} oh_counter_t;

typedef struct
{
  oh_list_t list;
} oh_counters_t;

void oh_counters_init (oh_counters_t *counters);

/* Unlinks all counters; they stay valid. */
void oh_counters_finish (oh_counters_t *counters);

/* Registers a counter or gauge without help text and sets it to 0. The counter is owned by the caller and
 * must outlive the registry. Not thread safe: all metrics are registered before threads start. */
void oh_counters_add (oh_counters_t *counters, oh_counter_t *counter, const char *name);

/* Like oh_counters_add, with the text of the metric's HELP line. */
void oh_counters_add_with_help (oh_counters_t *counters, oh_counter_t *counter, const char *name,
                                const char *help);

/* Initialises the histogram and registers it under the name, which ends in _seconds. The counter links it
 * into the registry; both are owned by the caller and must outlive the registry. */
void oh_counters_add_histogram (oh_counters_t *counters, oh_counter_t *counter, oh_histogram_t *histogram,
                                const char *name, const char *help);

/* Returns all metrics in the Prometheus text format: HELP and TYPE lines, names with the prefix oriolehaven_.
 * Names that end in _total have the type counter, other names without a histogram the type gauge. Free with
 * g_free. */
char *oh_counters_format_prometheus (oh_counters_t *counters);

/* Returns one "name value" line for each counter and gauge, without prefix. Free with g_free. */
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
