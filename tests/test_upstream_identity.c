#include "core/upstream_identity.h"

#include <glib.h>

#include "core/keyring.h"

/* Guards against announcements of other incarnations and of other programs that end the present incarnation
 * or take its place, and against sound ones that are ignored. */

enum
{
  STEPS_MAX = 9,
  HEARTBEAT_MS = 1000,
};

static const oh_address_t own_address = { .ipv4 = 0x0a000003, .port = 8080 };
static const oh_address_t other_port = { .ipv4 = 0x0a000003, .port = 8081 };

static const char *const named_services[] = { "kiln", "scan" };

typedef struct
{
  const char *id; /* NULL: end of the case */
  const char *service;
  oh_announced_state_t state;
  int64_t started_ms;
  uint64_t sequence;
  oh_announcement_result_t result;
  oh_identity_change_t change;
  bool elsewhere;   /* announced with another address */
  unsigned wait_ms; /* before the announcement; 0: 1 us */
} step_t;

#define READY OH_ANNOUNCED_READY
#define DRAINING OH_ANNOUNCED_DRAINING
#define LEFT OH_ANNOUNCED_LEFT
#define TAKEN OH_ANNOUNCEMENT_TAKEN
#define STALE OH_ANNOUNCEMENT_STALE
#define NONE OH_IDENTITY_UNCHANGED
#define REFRESHED OH_IDENTITY_REFRESHED
#define CHANGED OH_IDENTITY_CHANGED
#define REPLACED OH_IDENTITY_REPLACED

static const struct
{
  const char *name; /* the failure that it guards against */
  step_t steps[STEPS_MAX];
} cases[] = {
  { "a start under an old id is ignored",
    { { "a", "kiln", READY, 10, 9, TAKEN, REPLACED, false, 0 },
      { "a", "kiln", READY, 20, 1, TAKEN, REPLACED, false, 0 },
      { "a", "kiln", READY, 20, 2, TAKEN, REFRESHED, false, 0 } } },
  { "an address does not go to another service",
    { { "a", "kiln", READY, 10, 9, TAKEN, REPLACED, false, 0 },
      { "b", "scan", READY, 20, 1, TAKEN, REPLACED, false, 0 },
      { "a", "kiln", READY, 10, 10, STALE, NONE, false, 0 } } },
  { "an upstream at another address replaces the agent's",
    { { "b", "scan", READY, 20, 1, OH_ANNOUNCEMENT_OTHER_ADDRESS, NONE, true, 0 },
      { "a", "kiln", READY, 10, 1, TAKEN, REPLACED, false, 0 },
      { "b", "scan", READY, 20, 1, OH_ANNOUNCEMENT_OTHER_ADDRESS, NONE, true, 0 },
      { "a", "kiln", READY, 10, 2, TAKEN, REFRESHED, false, 0 } } },
  { "an incarnation changes its service",
    { { "a", "kiln", READY, 10, 1, TAKEN, REPLACED, false, 0 },
      { "a", "scan", READY, 10, 2, OH_ANNOUNCEMENT_OTHER_SERVICE, NONE, false, 0 },
      { "a", "kiln", READY, 10, 2, TAKEN, REFRESHED, false, 0 } } },
  { "a start of a service that the configuration does not name replaces the present one",
    { { "b", "oven", READY, 9, 1, OH_ANNOUNCEMENT_UNKNOWN_SERVICE, NONE, false, 0 },
      { "a", "kiln", READY, 10, 1, TAKEN, REPLACED, false, 0 },
      { "b", "oven", READY, 20, 1, OH_ANNOUNCEMENT_UNKNOWN_SERVICE, NONE, false, 0 },
      { "a", "kiln", READY, 10, 2, TAKEN, REFRESHED, false, 0 } } },
  { "two ids with one start time replace each other at each announcement",
    { { "a", "kiln", READY, 10, 1, TAKEN, REPLACED, false, 0 },
      { "b", "kiln", READY, 10, 1, OH_ANNOUNCEMENT_OTHER_ID, NONE, false, 0 },
      { "a", "kiln", READY, 10, 2, TAKEN, REFRESHED, false, 0 } } },
  { "the late leaving of an earlier start under the same id ends the present one",
    { { "a", "kiln", DRAINING, 10, 9, TAKEN, REPLACED, false, 0 },
      { "a", "kiln", READY, 20, 1, TAKEN, REPLACED, false, 0 },
      { "a", "", LEFT, 10, 0, STALE, NONE, false, 0 },
      { "a", "kiln", READY, 20, 2, TAKEN, REFRESHED, false, 0 } } },
  { "a leaving without a start time ends an incarnation that has not been draining",
    { { "a", "kiln", READY, 20, 1, TAKEN, REPLACED, false, 0 },
      { "a", "", LEFT, OH_ANNOUNCED_START_UNKNOWN, 0, OH_ANNOUNCEMENT_AMBIGUOUS_LEAVING, NONE, false, 0 },
      { "a", "kiln", DRAINING, 20, 2, TAKEN, CHANGED, false, 0 },
      { "a", "", LEFT, OH_ANNOUNCED_START_UNKNOWN, 0, TAKEN, CHANGED, false, 0 } } },
  { "the leaving of the present start is ignored",
    { { "a", "kiln", READY, 20, 1, TAKEN, REPLACED, false, 0 },
      { "a", "", LEFT, 20, 0, TAKEN, CHANGED, false, 0 } } },
  { "an incarnation that has left returns with a late announcement",
    { { "a", "kiln", READY, 20, 1, TAKEN, REPLACED, false, 0 },
      { "a", "", LEFT, 20, 0, TAKEN, CHANGED, false, 0 },
      { "a", "kiln", READY, 20, 2, STALE, NONE, false, 0 },
      { "a", "", LEFT, 20, 0, STALE, NONE, false, 0 } } },
  { "an upstream that started after the time of day was set back is shut out",
    { { "a", "kiln", READY, 20, 9, TAKEN, REPLACED, false, 0 },
      { "b", "kiln", READY, 10, 1, STALE, NONE, false, 1500 },
      { "b", "kiln", READY, 10, 2, STALE, NONE, false, 1000 },
      { "b", "kiln", READY, 10, 3, TAKEN, REPLACED, false, 1000 },
      { "b", "kiln", READY, 10, 4, TAKEN, REFRESHED, false, 1000 } } },
  { "late announcements of an earlier start replace an upstream that announces itself",
    { { "a", "kiln", READY, 20, 1, TAKEN, REPLACED, false, 0 },
      { "b", "kiln", READY, 10, 7, STALE, NONE, false, 1000 },
      { "a", "kiln", READY, 20, 2, TAKEN, REFRESHED, false, 900 },
      { "b", "kiln", READY, 10, 8, STALE, NONE, false, 1000 },
      { "a", "kiln", READY, 20, 3, TAKEN, REFRESHED, false, 900 },
      { "b", "kiln", READY, 10, 9, STALE, NONE, false, 1000 } } },
  { "late announcements that come together replace a silent upstream",
    { { "a", "kiln", READY, 20, 1, TAKEN, REPLACED, false, 0 },
      { "b", "kiln", READY, 10, 7, STALE, NONE, false, 6000 },
      { "b", "kiln", READY, 10, 8, STALE, NONE, false, 0 },
      { "b", "kiln", READY, 10, 9, STALE, NONE, false, 0 },
      { "b", "kiln", READY, 10, 9, STALE, NONE, false, 1000 },
      { "b", "kiln", READY, 10, 8, STALE, NONE, false, 1000 },
      { "a", "kiln", READY, 20, 2, TAKEN, REFRESHED, false, 0 } } },
  { "a late announcement of a replaced incarnation with a later start replaces the present one",
    { { "a", "kiln", READY, 20, 9, TAKEN, REPLACED, false, 0 },
      { "b", "kiln", READY, 10, 1, STALE, NONE, false, 1500 },
      { "b", "kiln", READY, 10, 2, STALE, NONE, false, 1000 },
      { "b", "kiln", READY, 10, 3, TAKEN, REPLACED, false, 1000 },
      { "a", "kiln", READY, 20, 10, STALE, NONE, false, 0 },
      { "b", "kiln", READY, 10, 4, TAKEN, REFRESHED, false, 1000 } } },
  { "the leaving of another id ends the present incarnation",
    { { "a", "kiln", READY, 20, 1, TAKEN, REPLACED, false, 0 },
      { "b", "", LEFT, 20, 0, STALE, NONE, false, 0 } } },
};

static void
assign_services (oh_service_set_t *services)
{
  uint64_t ids[G_N_ELEMENTS (named_services)];

  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    ids[i] = oh_service_id (named_services[i]);
  oh_service_set_init (services);
  oh_service_set_assign (services, ids, G_N_ELEMENTS (ids));
}

static void
run_case (size_t number)
{
  oh_upstream_identity_t identity;
  oh_service_set_t services;
  int64_t now_us = 0;

  assign_services (&services);
  oh_upstream_identity_init (&identity, own_address, &services, HEARTBEAT_MS);
  for (unsigned i = 0; i < STEPS_MAX && cases[number].steps[i].id != NULL; i++)
    {
      const step_t *step = &cases[number].steps[i];
      const oh_announcement_t announcement = {
        .id = step->id,
        .service = step->service,
        .address = step->elsewhere ? other_port : own_address,
        .state = step->state,
        .slots = 4,
        .started_ms = step->started_ms,
        .sequence = step->sequence,
      };
      oh_identity_change_t change;
      oh_announcement_result_t result;

      now_us += step->wait_ms > 0 ? (int64_t)step->wait_ms * 1000 : 1;
      result = oh_upstream_identity_update (&identity, &announcement, now_us, &change);

      if (result != step->result || change != step->change)
        g_error ("case '%s', step %u: %s, change %d", cases[number].name, i,
                 oh_announcement_result_name (result), (int)change);
      g_assert_cmpint (oh_announcement_refused (result), ==, result != TAKEN && result != STALE);
    }
  oh_service_set_finish (&services);
}

static void
test_cases (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (i);
}

/* Guards against an upstream that is shut out for ever because an announcement of a service that does not
 * exist came before its own, while the agent did not know the services yet; and against one that is forgotten
 * when its service loses its last route. */
static void
test_services_known_later (void)
{
  static const struct
  {
    const char *service;
    bool kept;
  } variants[] = { { "kiln", true }, { "oven", false } };

  for (size_t i = 0; i < G_N_ELEMENTS (variants); i++)
    {
      const oh_announcement_t first = { .id = "b",
                                        .service = variants[i].service,
                                        .address = own_address,
                                        .slots = 4,
                                        .started_ms = 20,
                                        .sequence = 1 };
      const oh_announcement_t own = {
        .id = "a", .service = "kiln", .address = own_address, .slots = 4, .started_ms = 10, .sequence = 5
      };
      oh_upstream_identity_t identity;
      oh_service_set_t services;

      oh_service_set_init (&services);
      oh_upstream_identity_init (&identity, own_address, &services, HEARTBEAT_MS);
      g_assert_cmpint (oh_upstream_identity_update (&identity, &first, 1, NULL), ==, TAKEN);
      assign_services (&services);
      g_assert_cmpint (oh_upstream_identity_check_service (&identity), ==, variants[i].kept);
      g_assert_cmpint (oh_upstream_identity_update (&identity, &own, 2, NULL), ==,
                       variants[i].kept ? STALE : TAKEN);
      oh_service_set_assign (&services, NULL, 0);
      g_assert_true (oh_upstream_identity_check_service (&identity));
      oh_service_set_finish (&services);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upstream-identity/cases", test_cases);
  g_test_add_func ("/upstream-identity/services-known-later", test_services_known_later);
  return g_test_run ();
}
