#include "base/counters.h"

void
oh_counters_init (oh_counters_t *counters)
{
  oh_list_init (&counters->list);
}

void
oh_counters_finish (oh_counters_t *counters)
{
  oh_list_foreach_safe (&counters->list, link, following)
    oh_list_remove (link);
}

void
oh_counters_add (oh_counters_t *counters, oh_counter_t *counter, const char *name)
{
  oh_counters_add_with_help (counters, counter, name, NULL);
}

void
oh_counters_add_histogram (oh_counters_t *counters, oh_counter_t *counter, oh_histogram_t *histogram,
                           const char *name, const char *help)
{
  oh_counters_add_with_help (counters, counter, name, help);
  oh_histogram_init (histogram);
  counter->histogram = histogram;
}

void
oh_counters_add_with_help (oh_counters_t *counters, oh_counter_t *counter, const char *name, const char *help)
{
  counter->name = name;
  counter->help = help;
  counter->histogram = NULL;
  atomic_init (&counter->value, 0);
  oh_list_append (&counters->list, &counter->link);
}

static void
format_histogram (GString *text, const oh_counter_t *counter)
{
  const oh_histogram_t *histogram = counter->histogram;
  uint64_t cumulative = 0;

  for (unsigned i = 0; i < OH_HISTOGRAM_BUCKETS; i++)
    {
      char bound[G_ASCII_DTOSTR_BUF_SIZE] = "+Inf";

      cumulative += atomic_load_explicit (&histogram->counts[i], memory_order_relaxed);
      if (i < OH_HISTOGRAM_BUCKETS - 1)
        g_ascii_formatd (bound, sizeof bound, "%g", (double)oh_histogram_bound_us (i) / G_USEC_PER_SEC);
      g_string_append_printf (text, "oriolehaven_%s_bucket{le=\"%s\"} %" G_GUINT64_FORMAT "\n", counter->name,
                              bound, cumulative);
    }
  g_string_append_printf (
    text, "oriolehaven_%s_sum %.6f\noriolehaven_%s_count %" G_GUINT64_FORMAT "\n", counter->name,
    (double)atomic_load_explicit (&histogram->sum_us, memory_order_relaxed) / G_USEC_PER_SEC, counter->name,
    cumulative);
}

static const char *
metric_type (const oh_counter_t *counter)
{
  if (counter->histogram != NULL)
    return "histogram";
  return g_str_has_suffix (counter->name, "_total") ? "counter" : "gauge";
}

char *
oh_counters_format_prometheus (oh_counters_t *counters)
{
  GString *text = g_string_new (NULL);

  oh_list_foreach (&counters->list, link)
    {
      const oh_counter_t *counter = oh_list_entry (link, oh_counter_t, link);
      g_autofree char *default_help = g_strdelimit (g_strdup (counter->name), "_", ' ');

      g_string_append_printf (text, "# HELP oriolehaven_%s %s\n# TYPE oriolehaven_%s %s\n", counter->name,
                              counter->help != NULL ? counter->help : default_help, counter->name,
                              metric_type (counter));
      if (counter->histogram != NULL)
        format_histogram (text, counter);
      else
        g_string_append_printf (text, "oriolehaven_%s %" G_GUINT64_FORMAT "\n", counter->name,
                                oh_counter_get (counter));
    }
  return g_string_free (text, FALSE);
}

char *
oh_counters_format (oh_counters_t *counters)
{
  GString *text = g_string_new (NULL);

  oh_list_foreach (&counters->list, link)
    {
      const oh_counter_t *counter = oh_list_entry (link, oh_counter_t, link);

      if (counter->histogram != NULL)
        continue;
      g_string_append_printf (text, "%s %" G_GUINT64_FORMAT "\n", counter->name, oh_counter_get (counter));
    }
  return g_string_free (text, FALSE);
}
