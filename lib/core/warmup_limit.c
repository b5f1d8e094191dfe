#include "core/warmup_limit.h"

#include <glib.h>
#include <string.h>

enum
{
  /* Longer idle times do not add tokens. Bounds the product with the rate, and suffices for one flow at the
   * lowest rate. */
  IDLE_MAX_US = 1000 * OH_WARMUP_SPAN_US,
};

static const int64_t token_units = 1000000000; /* of a flow */
static const int64_t milli_flow_units = 1000000;

/* Flows per span times 1,000. */
static int64_t
hard_limit_milli (const oh_warmup_limit_t *limit, oh_warmup_rate_t rate)
{
  return rate.milli_per_s * limit->margin.overshoot_milli / 1000 + limit->margin.slack_milli;
}

static int64_t
bucket_size (const oh_warmup_limit_t *limit, oh_warmup_rate_t rate)
{
  const int64_t above_rate_milli = hard_limit_milli (limit, rate) - rate.milli_per_s;

  return MAX (above_rate_milli / 2 * milli_flow_units, token_units);
}

static int64_t
tokens_at (const oh_warmup_limit_t *limit, oh_warmup_rate_t rate, int64_t now_us)
{
  const int64_t elapsed_us = CLAMP (now_us - limit->tokens_us, 0, IDLE_MAX_US);

  return MIN (limit->tokens + elapsed_us * rate.milli_per_s, bucket_size (limit, rate));
}

/* The clock may not go back: an earlier time is taken as that of the last entry. */
static int64_t
slice_at (const oh_warmup_limit_t *limit, int64_t now_us)
{
  return MAX (now_us / OH_WARMUP_SLICE_US, limit->last_slice);
}

static uint64_t
count_span (const oh_warmup_limit_t *limit, int64_t now_us)
{
  const int64_t first = slice_at (limit, now_us) - OH_WARMUP_SLICES + 1;
  uint64_t count = 0;

  for (int64_t slice = MAX (first, 0); slice <= limit->last_slice; slice++)
    count += limit->delivered[slice % OH_WARMUP_SLICES];
  return count;
}

void
oh_warmup_limit_init (oh_warmup_limit_t *limit, const oh_warmup_margin_t *margin, int64_t full_until_us)
{
  *limit = (oh_warmup_limit_t){ .margin = *margin, .full_until_us = full_until_us };
}

void
oh_warmup_limit_clear_full (oh_warmup_limit_t *limit)
{
  limit->full_until_us = 0;
}

uint64_t
oh_warmup_limit_flows (const oh_warmup_limit_t *limit, oh_warmup_rate_t rate)
{
  return (uint64_t)hard_limit_milli (limit, rate) / 1000;
}

bool
oh_warmup_limit_admits_again (const oh_warmup_limit_t *limit, oh_warmup_rate_t rate, int64_t now_us)
{
  if (!rate.limited)
    return true;
  return now_us >= limit->full_until_us && count_span (limit, now_us) < oh_warmup_limit_flows (limit, rate);
}

bool
oh_warmup_limit_admits (const oh_warmup_limit_t *limit, oh_warmup_rate_t rate, int64_t now_us)
{
  if (!oh_warmup_limit_admits_again (limit, rate, now_us))
    return false;
  return !rate.limited || rate.milli_per_s == 0 || tokens_at (limit, rate, now_us) >= token_units;
}

void
oh_warmup_limit_count (oh_warmup_limit_t *limit, oh_warmup_rate_t rate, int64_t now_us)
{
  const int64_t slice = slice_at (limit, now_us);

  if (slice - limit->last_slice >= OH_WARMUP_SLICES)
    memset (limit->delivered, 0, sizeof limit->delivered);
  else
    for (int64_t passed = limit->last_slice + 1; passed <= slice; passed++)
      limit->delivered[passed % OH_WARMUP_SLICES] = 0;
  limit->delivered[slice % OH_WARMUP_SLICES]++;
  limit->last_slice = slice;
  limit->tokens = MAX (tokens_at (limit, rate, now_us) - token_units, 0);
  limit->tokens_us = MAX (now_us, limit->tokens_us);
}
