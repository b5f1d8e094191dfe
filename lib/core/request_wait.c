#include "core/request_wait.h"

#include <glib.h>

enum
{
  MEAN_WEIGHT = 8, /* a new time counts for one part in so many */
  DEVIATION_WEIGHT = 4,
  DEVIATIONS = 4,
};

void
oh_request_wait_init (oh_request_wait_t *wait)
{
  *wait = (oh_request_wait_t){ 0 };
}

void
oh_request_wait_observe (oh_request_wait_t *wait, int64_t elapsed_us)
{
  const int64_t bounded_us = CLAMP (elapsed_us, 1, (int64_t)OH_REQUEST_WAIT_MAX_MS * 1000);

  if (wait->mean_us == 0)
    {
      wait->mean_us = bounded_us;
      wait->deviation_us = bounded_us / 2;
      return;
    }
  wait->deviation_us += (ABS (bounded_us - wait->mean_us) - wait->deviation_us) / DEVIATION_WEIGHT;
  wait->mean_us = MAX (wait->mean_us + (bounded_us - wait->mean_us) / MEAN_WEIGHT, 1);
}

int64_t
oh_request_wait_us (const oh_request_wait_t *wait)
{
  if (wait->mean_us == 0)
    return (int64_t)OH_REQUEST_WAIT_INITIAL_MS * 1000;
  return CLAMP (wait->mean_us + DEVIATIONS * wait->deviation_us, (int64_t)OH_REQUEST_WAIT_MIN_MS * 1000,
                (int64_t)OH_REQUEST_WAIT_MAX_MS * 1000);
}
