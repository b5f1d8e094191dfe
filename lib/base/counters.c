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
  counter->name = name;
  atomic_init (&counter->value, 0);
  oh_list_append (&counters->list, &counter->link);
}

char *
oh_counters_format (oh_counters_t *counters)
{
  GString *text = g_string_new (NULL);

  oh_list_foreach (&counters->list, link)
    {
      const oh_counter_t *counter = oh_list_entry (link, oh_counter_t, link);

      g_string_append_printf (text, "%s %" G_GUINT64_FORMAT "\n", counter->name, oh_counter_get (counter));
    }
  return g_string_free (text, FALSE);
}
