#include "core/upstream_health.h"

#include <glib.h>
#include <string.h>

enum
{
  UNREACHABLE_MS = 3500, /* three polls, one per second, plus a margin for their timeout */
  HANGING_MS = 10000,    /* a request is unanswered, and none was completed, for this long */
};

static void
count_results (const oh_upstream_health_t *health, int64_t now_us, unsigned *succeeded, unsigned *failed)
{
  const int64_t second = now_us / G_USEC_PER_SEC;

  *succeeded = 0;
  *failed = 0;
  for (unsigned i = 0; i < OH_HEALTH_WINDOW_S; i++)
    if (health->buckets[i].second > second - OH_HEALTH_WINDOW_S)
      {
        *succeeded += health->buckets[i].succeeded;
        *failed += health->buckets[i].failed;
      }
}

static bool
is_suspect (const oh_upstream_health_t *health, int64_t now_us, int64_t oldest_unanswered_us)
{
  unsigned succeeded;
  unsigned failed;

  count_results (health, now_us, &succeeded, &failed);
  if (succeeded + failed >= OH_HEALTH_MIN_RESULTS && failed > succeeded)
    return true;
  if (now_us - health->last_answer_us > UNREACHABLE_MS * 1000)
    return true;
  return oldest_unanswered_us != 0 && now_us - oldest_unanswered_us > HANGING_MS * 1000
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
oh_upstream_health_record (oh_upstream_health_t *health, int64_t now_us, bool succeeded)
{
  const int64_t second = now_us / G_USEC_PER_SEC;
  oh_health_bucket_t *bucket = &health->buckets[second % OH_HEALTH_WINDOW_S];

  if (bucket->second != second)
    *bucket = (oh_health_bucket_t){ .second = second };
  if (succeeded)
    bucket->succeeded++;
  else
    bucket->failed++;
  health->completed_us = now_us;
}

void
oh_upstream_health_answered (oh_upstream_health_t *health, int64_t now_us, uint64_t service,
                             Oh__UpstreamState state, uint64_t instance)
{
  if (!health->answered || health->instance != instance)
    health->slow_start_us = now_us;
  health->answered = true;
  health->wrong_service = service != health->service;
  health->reported_state = state;
  health->instance = instance;
  health->last_answer_us = now_us;
}

bool
oh_upstream_health_update (oh_upstream_health_t *health, int64_t now_us, int64_t oldest_unanswered_us)
{
  const bool suspect = health->answered && is_suspect (health, now_us, oldest_unanswered_us);

  if (suspect == health->suspect)
    return false;
  if (!suspect)
    health->slow_start_us = now_us;
  health->suspect = suspect;
  return true;
}

unsigned
oh_upstream_health_offered_slots (const oh_upstream_health_t *health, int64_t now_us)
{
  int64_t warm_slots;

  if (!health->answered || health->wrong_service || health->suspect)
    return 0;
  warm_slots = 1 + (now_us - health->slow_start_us) / G_USEC_PER_SEC;
  return (unsigned)MIN (warm_slots, (int64_t)usable_slots (health));
}

Oh__UpstreamState
oh_upstream_health_state (const oh_upstream_health_t *health, int64_t now_us)
{
  if (health->answered && health->reported_state == OH__UPSTREAM_STATE__UPSTREAM_DRAINING)
    return OH__UPSTREAM_STATE__UPSTREAM_DRAINING;
  if (!health->answered || health->wrong_service || health->suspect)
    return OH__UPSTREAM_STATE__UPSTREAM_SUSPECT;
  if (health->reported_state == OH__UPSTREAM_STATE__UPSTREAM_WARMING
      || oh_upstream_health_offered_slots (health, now_us) < usable_slots (health))
    return OH__UPSTREAM_STATE__UPSTREAM_WARMING;
  return OH__UPSTREAM_STATE__UPSTREAM_READY;
}
