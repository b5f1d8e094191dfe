#include <glib.h>

#include "core/keyring.h"
#include "core/upstream_health.h"

#define SECOND ((int64_t)G_USEC_PER_SEC)
#define READY OH__UPSTREAM_STATE__UPSTREAM_READY
#define WARMING OH__UPSTREAM_STATE__UPSTREAM_WARMING
#define SUSPECT OH__UPSTREAM_STATE__UPSTREAM_SUSPECT
#define DRAINING OH__UPSTREAM_STATE__UPSTREAM_DRAINING

typedef struct
{
  const char *name;   /* behaviour of the upstream that the case covers */
  unsigned succeeded; /* requests finished in the second before the check */
  unsigned failed;
  int64_t silent_s; /* time since the health endpoint answered */
  int64_t oldest_s; /* age of the oldest unanswered request */
  Oh__UpstreamState reported;
  unsigned reported_slots;
  bool wrong_service;
  unsigned offered;
  Oh__UpstreamState state;
} health_case_t;

static const health_case_t cases[] = {
  { "healthy", 20, 0, 0, 0, READY, 4, false, 4, READY },
  { "most-results-failed-but-reports-ready", 9, 11, 0, 0, READY, 4, false, 0, SUSPECT },
  { "half-of-results-failed", 10, 10, 0, 0, READY, 4, false, 4, READY },
  { "too-few-results", 0, 3, 0, 0, READY, 4, false, 4, READY },
  { "health-endpoint-silent", 20, 0, 4, 0, READY, 4, false, 0, SUSPECT },
  { "health-endpoint-slow", 20, 0, 3, 0, READY, 4, false, 4, READY },
  { "hangs-with-request-open", 0, 0, 0, 11, READY, 4, false, 0, SUSPECT },
  { "one-long-request-among-others", 5, 0, 0, 11, READY, 4, false, 4, READY },
  { "reports-more-slots", 20, 0, 0, 0, READY, 400, false, 4, READY },
  { "reports-fewer-slots", 20, 0, 0, 0, READY, 2, false, 2, READY },
  { "reports-no-slots", 20, 0, 0, 0, READY, 0, false, 4, READY },
  { "reports-warming-forever", 20, 0, 0, 0, WARMING, 4, false, 4, WARMING },
  { "draining", 20, 0, 0, 0, DRAINING, 4, false, 4, DRAINING },
  { "wrong-service", 20, 0, 0, 0, READY, 4, true, 0, SUSPECT },
};

static void
test_case (gconstpointer data)
{
  const health_case_t *item = data;
  const int64_t start_us = 1000 * SECOND;
  const int64_t now_us = start_us + 60 * SECOND;
  oh_upstream_health_t health;

  oh_upstream_health_init (&health, 1, 4);
  oh_upstream_health_answered (&health, start_us, 1, READY, 7);
  oh_upstream_health_answered (&health, now_us - item->silent_s * SECOND, item->wrong_service ? 2 : 1,
                               item->reported, 7);
  health.reported_slots = item->reported_slots;
  for (unsigned i = 0; i < item->succeeded; i++)
    oh_upstream_health_record (&health, now_us - SECOND, true);
  for (unsigned i = 0; i < item->failed; i++)
    oh_upstream_health_record (&health, now_us - SECOND, false);
  oh_upstream_health_update (&health, now_us, item->oldest_s != 0 ? now_us - item->oldest_s * SECOND : 0);
  g_assert_cmpuint (oh_upstream_health_offered_slots (&health, now_us), ==, item->offered);
  g_assert_cmpint (oh_upstream_health_state (&health, now_us), ==, item->state);
}

/* Guards against a full load at once for a cold upstream: at the first start, after a restart, and on
 * recovery from being suspect. */
static void
test_slow_start (void)
{
  int64_t now_us = 1000 * SECOND;
  oh_upstream_health_t health;

  oh_upstream_health_init (&health, 1, 4);
  g_assert_cmpuint (oh_upstream_health_offered_slots (&health, now_us), ==, 0);
  for (unsigned round = 0; round < 3; round++)
    {
      /* Rounds 0 and 1 are different instances; in round 2 the second one recovers from failures. */
      if (round == 2)
        {
          for (unsigned i = 0; i < 10; i++)
            oh_upstream_health_record (&health, now_us, false);
          g_assert_true (oh_upstream_health_update (&health, now_us, 0));
          g_assert_cmpuint (oh_upstream_health_offered_slots (&health, now_us), ==, 0);
          now_us += (OH_HEALTH_WINDOW_S + 1) * SECOND;
        }
      oh_upstream_health_answered (&health, now_us, 1, READY, MIN (round, 1));
      oh_upstream_health_update (&health, now_us, 0);
      for (unsigned slots = 1; slots <= 6; slots++)
        {
          g_assert_cmpuint (oh_upstream_health_offered_slots (&health, now_us), ==, MIN (slots, 4));
          g_assert_cmpint (oh_upstream_health_state (&health, now_us), ==, slots < 4 ? WARMING : READY);
          now_us += SECOND;
          oh_upstream_health_answered (&health, now_us, 1, READY, MIN (round, 1));
        }
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/agent/health/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  g_test_add_func ("/agent/health/slow-start", test_slow_start);
  return g_test_run ();
}
