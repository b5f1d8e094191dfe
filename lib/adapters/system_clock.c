#include "adapters/system_clock.h"

#include <glib.h>

static int64_t
now_us (oh_clock_t *clock)
{
  (void)clock;
  return g_get_monotonic_time ();
}

oh_clock_t *
oh_system_clock (void)
{
  static const oh_clock_ops_t ops = { .now_us = now_us };
  static oh_clock_t clock = { .ops = &ops };

  return &clock;
}
