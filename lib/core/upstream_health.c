#include "core/upstream_health.h"

#include <glib.h>
#include <string.h>

enum
{
  UNREACHABLE_MS = 3500, /* three polls of a second each, with a margin for their timeout */
  HANGING_MS = 10000,
};

static void
count_results (const oh_upstream_health_t *health, int64_t now_us, unsigned *good, unsigned *bad)
{
  const int64_t second = now_us / G_USEC_PER_SEC;

  *good = 0;
  *bad = 0;
  for (unsigned i = 0; i < OH_HEALTH_WINDOW_S; i++)
    if (health->buckets[i].second > second - OH_HEALTH_WINDOW_S)
      {
        *good += health->buckets[i].good;
        *bad += health->buckets[i].bad;
      }
}

static bool
is_suspect (const oh_upstream_health_t *health, int64_t now_us, int64_t oldest_us)
{
  unsigned good;
  unsigned bad;

  count_results (health, now_us, &good, &bad);
  if (good + bad >= OH_HEALTH_MIN_RESULTS && bad > good)
    return true;
  if (now_us - health->answered_us > UNREACHABLE_MS * 1000)
    return true;
  return oldest_us != 0 && now_us - oldest_us > HANGING_MS * 1000
         && now_us - health->completed_us > HANGING_MS * 1000;
}

static unsigned
usable_slots (const oh_upstream_health_t *health)
{
  return health->reported_slots > 0 ? MIN (health->slots, health->reported_slots) : health->slots;
}

void
oh_upstream_health_init (oh_upstream_health_t *health, uint64_t service, unsigned slots)
{
  memset (health, 0, sizeof *health);
  health->service = service;
  health->slots = slots;
  for (unsigned i = 0; i < OH_HEALTH_WINDOW_S; i++)
    health->buckets[i].second = INT64_MIN / 2;
}

void
oh_upstream_health_record (oh_upstream_health_t *health, int64_t now_us, bool good)
{
  const int64_t second = now_us / G_USEC_PER_SEC;
  oh_health_bucket_t *bucket = &health->buckets[second % OH_HEALTH_WINDOW_S];

  if (bucket->second != second)
    *bucket = (oh_health_bucket_t){ .second = second };
  if (good)
    bucket->good++;
  else
    bucket->bad++;
  health->completed_us = now_us;
}

void
oh_upstream_health_answered (oh_upstream_health_t *health, int64_t now_us, uint64_t service,
                             Oh__UpstreamState state, uint64_t instance)
{
  if (!health->known || health->instance != instance)
    health->warm_since_us = now_us;
  health->known = true;
  health->foreign = service != health->service;
  health->reported = state;
  health->instance = instance;
  health->answered_us = now_us;
}

bool
oh_upstream_health_update (oh_upstream_health_t *health, int64_t now_us, int64_t oldest_us)
{
  const bool suspect = health->known && is_suspect (health, now_us, oldest_us);

  if (suspect == health->suspect)
    return false;
  if (!suspect)
    health->warm_since_us = now_us;
  health->suspect = suspect;
  return true;
}

unsigned
oh_upstream_health_offered (const oh_upstream_health_t *health, int64_t now_us)
{
  int64_t warm_slots;

  if (!health->known || health->foreign || health->suspect)
    return 0;
  warm_slots = 1 + (now_us - health->warm_since_us) / G_USEC_PER_SEC;
  return (unsigned)MIN (warm_slots, (int64_t)usable_slots (health));
}

Oh__UpstreamState
oh_upstream_health_state (const oh_upstream_health_t *health, int64_t now_us)
{
  if (health->known && health->reported == OH__UPSTREAM_STATE__UPSTREAM_DRAINING)
    return OH__UPSTREAM_STATE__UPSTREAM_DRAINING;
  if (!health->known || health->foreign || health->suspect)
    return OH__UPSTREAM_STATE__UPSTREAM_SUSPECT;
  if (health->reported == OH__UPSTREAM_STATE__UPSTREAM_WARMING
      || oh_upstream_health_offered (health, now_us) < usable_slots (health))
    return OH__UPSTREAM_STATE__UPSTREAM_WARMING;
  return OH__UPSTREAM_STATE__UPSTREAM_READY;
}
