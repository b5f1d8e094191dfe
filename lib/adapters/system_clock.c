#include "adapters/system_clock.h"

#include <glib.h>
#include <time.h>

static int64_t
now_us (oh_clock_t *clock)
{
  struct timespec now;

  (void)clock;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

oh_clock_t *
oh_system_clock (void)
{
  static const oh_clock_ops_t ops = { .now_us = now_us };
  static oh_clock_t clock = { .ops = &ops };

  return &clock;
}

int64_t
oh_system_clock_ready_time (int64_t due_us)
{
  return g_get_monotonic_time () + due_us - oh_clock_now_us (oh_system_clock ());
}
