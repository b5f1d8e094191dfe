#include <glib.h>

#include "base/seeded_random.h"
#include "core/placement.h"
#include "view_fixture.h"

enum
{
  MS = 1000, /* microseconds */
};

static const fixture_upstream_t three_equal[] = {
  { "p1", "plan-fetch", "a", 4, 0, 0, 0, READY, false },
  { "p2", "plan-fetch", "a", 4, 0, 0, 0, READY, false },
  { "p3", "plan-fetch", "a", 4, 0, 0, 0, READY, false },
  { NULL },
};

static const fixture_upstream_t two_equal[] = {
  { "p1", "plan-fetch", "a", 4, 0, 0, 0, READY, false },
  { "p2", "plan-fetch", "a", 4, 0, 0, 0, READY, false },
  { NULL },
};

typedef struct
{
  oh_placement_t placement;
  oh_seeded_random_t random;
} fixture_t;

static void
fixture_init (fixture_t *fixture, const fixture_upstream_t *upstreams, bool confirmed)
{
  oh_seeded_random_init (&fixture->random, 1);
  oh_placement_init (&fixture->placement, "a", &fixture->random.base);
  oh_placement_set_view (&fixture->placement, fixture_view (upstreams, confirmed), 0);
}

static void
fixture_finish (fixture_t *fixture)
{
  oh_placement_finish (&fixture->placement);
  oh_seeded_random_finish (&fixture->random);
}

/* Places an Open of the flow with the key. Returns the name of the upstream, NULL if the Open is refused. */
static const char *
place (fixture_t *fixture, const char *service, uint64_t key, int64_t now_us)
{
  oh_placement_decision_t decision;

  if (!oh_placement_choose (&fixture->placement, oh_service_id (service), NULL, 0, now_us, &decision))
    return NULL;
  oh_placement_open_sent (&fixture->placement, decision.upstream, key, now_us);
  return decision.upstream->name;
}

static Oh__Load
make_load (const char *name, const char *service, uint64_t incarnation, uint64_t sequence, unsigned busy)
{
  Oh__Load load = OH__LOAD__INIT;

  load.upstream = (char *)name;
  load.service = oh_service_id (service);
  load.incarnation = incarnation;
  load.sequence = sequence;
  load.slots = 4;
  load.busy = busy;
  load.max_flows = FIXTURE_MAX_FLOWS;
  return load;
}

/* The agent accepts the Open; its report, whose busy slots include it, is not applied. */
static void
answer (fixture_t *fixture, const char *name, uint64_t key, unsigned busy, int64_t now_us)
{
  const Oh__Load load = make_load (name, "", 0, 0, busy);

  oh_placement_open_answered (&fixture->placement, &load, key, true, now_us);
}

/* Guards against a choice that ignores load, state, limits, the zone, earlier refusals or dependencies. */
static void
test_choice (void)
{
  static const struct
  {
    const char *title;
    fixture_upstream_t upstreams[8];
    const char *service;
    const char *expected; /* NULL: refused */
    oh_placement_reason_t reason;
    uint64_t tried[3];
    size_t n_tried;
    bool unconfirmed;
  } cases[] = {
    { .title = "least work per slot, not least work",
      .upstreams = { { "p1", "plan-fetch", "a", 1, 1, 0, 0, READY, false },
                     { "p2", "plan-fetch", "b", 4, 2, 0, 9, READY, false } },
      .service = "plan-fetch",
      .expected = "p2",
      .reason = OH_PLACEMENT_LEAST_LOAD },
    { .title = "queued work counts",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 4, 5, 0, READY, false },
                     { "p2", "plan-fetch", "b", 4, 4, 0, 0, READY, false } },
      .service = "plan-fetch",
      .expected = "p2",
      .reason = OH_PLACEMENT_LEAST_LOAD },
    { .title = "one more flow does not send a flow out of its zone",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 1, 0, 8, READY, false },
                     { "p2", "plan-fetch", "b", 4, 1, 0, 7, READY, false } },
      .service = "plan-fetch",
      .expected = "p1",
      .reason = OH_PLACEMENT_SAME_ZONE },
    { .title = "nor does a little less work elsewhere while a slot is free",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 2, 0, 8, READY, false },
                     { "p2", "plan-fetch", "b", 4, 1, 0, 8, READY, false } },
      .service = "plan-fetch",
      .expected = "p1",
      .reason = OH_PLACEMENT_SAME_ZONE },
    { .title = "no free slot at home",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 4, 0, 8, READY, false },
                     { "p2", "plan-fetch", "b", 4, 3, 0, 8, READY, false } },
      .service = "plan-fetch",
      .expected = "p2",
      .reason = OH_PLACEMENT_LEAST_LOAD },
    { .title = "many more flows at home than elsewhere",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 1, 0, 40, READY, false },
                     { "p2", "plan-fetch", "b", 4, 1, 0, 4, READY, false } },
      .service = "plan-fetch",
      .expected = "p2",
      .reason = OH_PLACEMENT_FEWEST_FLOWS },
    { .title = "flows break ties at home",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 1, 0, 8, READY, false },
                     { "p2", "plan-fetch", "a", 4, 1, 0, 7, READY, false } },
      .service = "plan-fetch",
      .expected = "p2",
      .reason = OH_PLACEMENT_FEWEST_FLOWS },
    { .title = "same zone among equals",
      .upstreams = { { "p1", "plan-fetch", "b", 4, 4, 0, 7, READY, false },
                     { "p2", "plan-fetch", "a", 4, 4, 0, 7, READY, false } },
      .service = "plan-fetch",
      .expected = "p2",
      .reason = OH_PLACEMENT_SAME_ZONE },
    { .title = "idle, but drained by an operator",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 0, 0, 0, READY, true },
                     { "p2", "plan-fetch", "a", 4, 4, 9, 9, READY, false } },
      .service = "plan-fetch",
      .expected = "p2",
      .reason = OH_PLACEMENT_ONLY_CANDIDATE },
    { .title = "the only upstream reports that it drains",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 0, 0, 0, DRAINING, false } },
      .service = "plan-fetch",
      .expected = NULL,
      .reason = OH_PLACEMENT_NO_UPSTREAM },
    { .title = "flow limit reached",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 0, 0, FIXTURE_MAX_FLOWS, READY, false } },
      .service = "plan-fetch",
      .expected = NULL,
      .reason = OH_PLACEMENT_NO_UPSTREAM },
    { .title = "suspect looks idle because it fails at once",
      .upstreams = { { "p1", "plan-fetch", "a", 0, 0, 0, 0, SUSPECT, false },
                     { "p2", "plan-fetch", "a", 4, 4, 4, 9, READY, false },
                     { "p3", "plan-fetch", "a", 4, 4, 3, 9, READY, false } },
      .service = "plan-fetch",
      .expected = "p3",
      .reason = OH_PLACEMENT_LEAST_LOAD },
    { .title = "two of three are idle suspects, only one is excluded",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 0, 0, 0, SUSPECT, false },
                     { "p2", "plan-fetch", "a", 4, 1, 0, 0, SUSPECT, false },
                     { "p3", "plan-fetch", "a", 4, 4, 3, 9, READY, false } },
      .service = "plan-fetch",
      .expected = "p3",
      .reason = OH_PLACEMENT_ONLY_CANDIDATE },
    { .title = "the only upstream is never excluded",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 0, 0, 0, SUSPECT, false } },
      .service = "plan-fetch",
      .expected = "p1",
      .reason = OH_PLACEMENT_ONLY_CANDIDATE },
    { .title = "the least loaded refused before",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 0, 0, 0, READY, false },
                     { "p2", "plan-fetch", "a", 4, 4, 4, 9, READY, false } },
      .service = "plan-fetch",
      .expected = "p2",
      .reason = OH_PLACEMENT_ONLY_CANDIDATE,
      .tried = { 1000 },
      .n_tried = 1 },
    { .title = "three agents refused before",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 0, 0, 0, READY, false } },
      .service = "plan-fetch",
      .expected = NULL,
      .reason = OH_PLACEMENT_TRIED_ALL,
      .tried = { 1, 2, 3 },
      .n_tried = 3 },
    { .title = "view not confirmed",
      .upstreams = { { "p1", "plan-fetch", "a", 4, 0, 0, 0, READY, false } },
      .service = "plan-fetch",
      .expected = NULL,
      .reason = OH_PLACEMENT_NO_CONFIRMED_VIEW,
      .unconfirmed = true },
    { .title = "service without upstreams",
      .upstreams = { { NULL } },
      .service = "plan-fetch",
      .expected = NULL,
      .reason = OH_PLACEMENT_NO_UPSTREAM },
    { .title = "service that is not in the configuration",
      .upstreams = { { "x1", "unnamed", "a", 4, 0, 0, 0, READY, false } },
      .service = "unnamed",
      .expected = NULL,
      .reason = OH_PLACEMENT_UNKNOWN_SERVICE },
    { .title = "dependency has no upstream",
      .upstreams = { { "s1", "scan-serve", "a", 4, 0, 0, 0, READY, false } },
      .service = "scan-serve",
      .expected = NULL,
      .reason = OH_PLACEMENT_DEPENDENCY_UNAVAILABLE },
    { .title = "dependency drained",
      .upstreams = { { "k1", "kiln-log", "a", 4, 0, 0, 0, READY, true },
                     { "s1", "scan-serve", "a", 4, 0, 0, 0, READY, false } },
      .service = "scan-serve",
      .expected = NULL,
      .reason = OH_PLACEMENT_DEPENDENCY_UNAVAILABLE },
    { .title = "dependency available",
      .upstreams = { { "k1", "kiln-log", "a", 4, 4, 4, 0, READY, false },
                     { "s1", "scan-serve", "a", 4, 0, 0, 0, READY, false } },
      .service = "scan-serve",
      .expected = "s1",
      .reason = OH_PLACEMENT_ONLY_CANDIDATE },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      oh_placement_decision_t decision;

      g_test_message ("%s", cases[i].title);
      fixture_init (&fixture, cases[i].upstreams, !cases[i].unconfirmed);
      oh_placement_choose (&fixture.placement, oh_service_id (cases[i].service), cases[i].tried,
                           cases[i].n_tried, 0, &decision);
      g_assert_cmpstr (decision.upstream != NULL ? decision.upstream->name : NULL, ==, cases[i].expected);
      g_assert_cmpint (decision.reason, ==, cases[i].reason);
      g_assert_cmpint (decision.refused != OH__RESULT__RESULT_NONE, ==, cases[i].expected == NULL);
      fixture_finish (&fixture);
    }
}

/* Guards against a burst of Opens that all go to one upstream because no load report arrives in between. */
static void
test_sent_counts (void)
{
  fixture_t fixture;

  fixture_init (&fixture, three_equal, true);
  for (uint64_t key = 0; key < 12; key++)
    g_assert_nonnull (place (&fixture, "plan-fetch", key, 0));
  for (unsigned i = 0; three_equal[i].name != NULL; i++)
    g_assert_cmpuint (oh_placement_find_upstream (&fixture.placement, three_equal[i].name)->n_unanswered, ==,
                      4);
  fixture_finish (&fixture);
}

/* Guards against an Open that still counts as unanswered after its answer, so that it counts twice, or for
 * ever if the answer is lost. */
static void
test_unanswered_ends (void)
{
  fixture_t fixture;
  const oh_placement_upstream_t *upstream;

  fixture_init (&fixture, three_equal, true);
  upstream = oh_placement_find_upstream (&fixture.placement, place (&fixture, "plan-fetch", 1, 0));
  answer (&fixture, upstream->name, 2, 1, 1 * MS);
  g_assert_cmpuint (upstream->n_unanswered, ==, 1);
  answer (&fixture, upstream->name, 1, 1, 1 * MS);
  g_assert_cmpuint (upstream->n_unanswered, ==, 0);
  upstream = oh_placement_find_upstream (&fixture.placement, place (&fixture, "plan-fetch", 3, 2 * MS));
  oh_placement_expire_opens (&fixture.placement, 2001 * MS);
  g_assert_cmpuint (upstream->n_unanswered, ==, 1);
  oh_placement_expire_opens (&fixture.placement, 2002 * MS);
  g_assert_cmpuint (upstream->n_unanswered, ==, 0);
  fixture_finish (&fixture);
}

/* Guards against late or duplicate reports, and those of another service or an unknown upstream, that replace
 * newer ones. Guards also against a restarted agent whose reports are ignored. */
static void
test_report_order (void)
{
  static const struct
  {
    const char *name;
    const char *service;
    uint64_t incarnation;
    uint64_t sequence;
    bool accepted;
  } reports[] = {
    { "p1", "plan-fetch", 1000, 1, false }, /* the one that the view holds */
    { "p1", "plan-fetch", 1000, 5, true },  { "p1", "plan-fetch", 1000, 5, false },
    { "p1", "plan-fetch", 1000, 4, false }, { "p9", "plan-fetch", 1000, 6, false },
    { "p1", "kiln-log", 1000, 6, false },   { "p1", "plan-fetch", 77, 1, true }, /* restarted */
    { "p1", "plan-fetch", 1000, 7, false },                                      /* sent before the restart */
    { "p1", "plan-fetch", 77, 2, true },
  };
  fixture_t fixture;

  fixture_init (&fixture, three_equal, true);
  for (size_t i = 0; i < G_N_ELEMENTS (reports); i++)
    {
      const Oh__Load load
        = make_load (reports[i].name, reports[i].service, reports[i].incarnation, reports[i].sequence, 1);

      g_test_message ("report %zu", i);
      g_assert_cmpint (oh_placement_apply_load (&fixture.placement, &load, 0), ==, reports[i].accepted);
    }
  /* The view still lists the earlier incarnation. */
  oh_placement_set_view (&fixture.placement, fixture_view (three_equal, true), 0);
  g_assert_cmpuint (oh_placement_find_upstream (&fixture.placement, "p1")->incarnation, ==, 77);
  g_assert_cmpuint (oh_placement_find_upstream (&fixture.placement, "p1")->busy, ==, 1);
  fixture_finish (&fixture);
}

/* Guards against Opens sent to a hanging agent, and against one that gets no Opens after it recovered. */
static void
test_silent_agent (void)
{
  fixture_t fixture;
  const char *silent;
  Oh__Load load;

  fixture_init (&fixture, three_equal, true);
  silent = place (&fixture, "plan-fetch", 1, 1 * MS);
  for (uint64_t key = 10; key < 40; key++)
    {
      const int64_t now_us = (int64_t)(key * 50) * MS;
      const char *name = place (&fixture, "plan-fetch", key, now_us);

      if (now_us >= 1 * MS + OH_PLACEMENT_SILENCE_TIMEOUT_MS * MS)
        g_assert_cmpstr (name, !=, silent);
      answer (&fixture, name, key, 1, now_us);
    }

  /* The first Open has expired: one Open at a time probes the agent. */
  oh_placement_expire_opens (&fixture.placement, 2100 * MS);
  for (uint64_t key = 100; key < 160; key++)
    place (&fixture, "plan-fetch", key, 2100 * MS);
  g_assert_cmpuint (oh_placement_find_upstream (&fixture.placement, silent)->n_unanswered, ==, 1);

  /* An answer ends the suspicion. */
  load = make_load (silent, "plan-fetch",
                    oh_placement_find_upstream (&fixture.placement, silent)->incarnation, 2, 0);
  oh_placement_apply_load (&fixture.placement, &load, 2150 * MS);
  answer (&fixture, silent, oh_placement_find_upstream (&fixture.placement, silent)->unanswered[0].key, 1,
          2150 * MS);
  g_assert_cmpstr (place (&fixture, "plan-fetch", 200, 2200 * MS), ==, silent);
  g_assert_cmpstr (place (&fixture, "plan-fetch", 201, 2200 * MS), ==, silent);
  fixture_finish (&fixture);
}

/* Guards against a hanging agent that is not excluded because of the cap, stays in the view while the control
 * service is down, and gets a full share of the Opens. */
static void
test_silent_agent_beyond_cap (void)
{
  fixture_t fixture;
  unsigned to_silent = 0;

  fixture_init (&fixture, two_equal, true);
  for (uint64_t key = 0; key < 1000; key++)
    {
      const int64_t now_us = (int64_t)(key + 1) * 10 * MS;
      const char *name = place (&fixture, "plan-fetch", key, now_us);

      if (!g_str_equal (name, "p1"))
        answer (&fixture, name, key, 1, now_us);
      else if (now_us > 500 * MS)
        to_silent++;
      oh_placement_expire_opens (&fixture.placement, now_us);
    }
  /* One probe each time that the one before has expired. */
  g_assert_cmpuint (to_silent, <=, 10 * 1000 / OH_PLACEMENT_RESERVATION_MS);
  g_assert_cmpuint (to_silent, >=, 1);
  fixture_finish (&fixture);
}

/* Guards against an upstream that gets most Opens because it falsely reports no load, and against one that
 * gets too few Opens or remains distrusted after its reports are true again. */
static void
test_false_report (void)
{
  enum
  {
    OPENS = 300,
  };
  fixture_t fixture;
  unsigned to_false = 0;

  fixture_init (&fixture, three_equal, true);
  for (uint64_t key = 0; key < OPENS; key++)
    {
      const int64_t now_us = (int64_t)key * 10 * MS;
      const char *name = place (&fixture, "plan-fetch", key, now_us);
      const bool false_report = g_str_equal (name, "p1");
      const Oh__Load load
        = make_load (name, "plan-fetch", oh_placement_find_upstream (&fixture.placement, name)->incarnation,
                     key + 2, false_report ? 0 : 3);

      to_false += false_report ? 1 : 0;
      oh_placement_apply_load (&fixture.placement, &load, now_us);
      oh_placement_open_answered (&fixture.placement, &load, key, true, now_us);
    }
  g_assert_cmpuint (to_false, <=, OPENS / 3);
  g_assert_cmpuint (to_false, >=, OPENS / 5);

  place (&fixture, "plan-fetch", OPENS, 3000 * MS);
  oh_placement_open_sent (&fixture.placement, oh_placement_find_upstream (&fixture.placement, "p1"),
                          OPENS + 1, 3000 * MS);
  answer (&fixture, "p1", OPENS + 1, 1, 3001 * MS);
  g_assert_cmpuint (oh_placement_find_upstream (&fixture.placement, "p1")->false_reports, ==, 0);
  fixture_finish (&fixture);
}

/* Guards against suspicion that excludes more than a third of the upstreams, or fewer suspects than that
 * third allows, also if there are few upstreams or all are suspects; and against an idle suspect that is not
 * excluded and gets most Opens. */
static void
test_exclusion_cap (void)
{
  enum
  {
    OPENS = 300,
  };
  static const struct
  {
    unsigned upstreams;
    unsigned suspects; /* the first ones of them */
    unsigned excluded; /* expected */
  } cases[] = { { 1, 1, 0 }, { 2, 1, 0 }, { 2, 2, 0 }, { 3, 1, 1 },
                { 3, 2, 1 }, { 3, 3, 1 }, { 4, 2, 1 }, { 7, 7, 2 } };
  static const char *const names[] = { "p1", "p2", "p3", "p4", "p5", "p6", "p7" };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_upstream_t upstreams[G_N_ELEMENTS (names) + 1] = { 0 };
      unsigned counts[G_N_ELEMENTS (names)] = { 0 };
      unsigned n_without_opens = 0;
      fixture_t fixture;

      g_test_message ("case %zu", i);
      for (unsigned u = 0; u < cases[i].upstreams; u++)
        upstreams[u] = (fixture_upstream_t){ .name = names[u],
                                             .service = "plan-fetch",
                                             .zone = "a",
                                             .slots = u < cases[i].suspects ? 0 : 4,
                                             .busy = u < cases[i].suspects ? 0 : 4,
                                             .state = u < cases[i].suspects ? SUSPECT : READY };
      fixture_init (&fixture, upstreams, true);
      for (uint64_t key = 0; key < OPENS; key++)
        {
          const char *name = place (&fixture, "plan-fetch", key, (int64_t)key * 10 * MS);

          counts[name[1] - '1']++;
          answer (&fixture, name, key, 4, (int64_t)key * 10 * MS);
        }
      for (unsigned u = 0; u < cases[i].upstreams; u++)
        {
          n_without_opens += counts[u] == 0 ? 1 : 0;
          if (u < cases[i].suspects && cases[i].suspects < cases[i].upstreams)
            g_assert_cmpuint (counts[u], <=, OPENS / (cases[i].upstreams - cases[i].excluded));
        }
      g_assert_cmpuint (n_without_opens, ==, cases[i].excluded);
      fixture_finish (&fixture);
    }
}

/* Guards against a dependency that counts as unavailable after one lost Open, and one that counts as
 * available although its agent is silent. */
static void
test_silent_dependency (void)
{
  static const fixture_upstream_t upstreams[] = {
    { "k1", "kiln-log", "a", 4, 0, 0, 0, READY, false },
    { "s1", "scan-serve", "a", 4, 0, 0, 0, READY, false },
    { NULL },
  };
  static const struct
  {
    int64_t report_ms; /* receipt of the dependency's load report; 0: none */
    int64_t now_ms;
    bool available;
  } cases[]
    = { { 0, 400, true }, { 900, 1700, true }, { 0, 1700, false }, { 0, 2300, false }, { 2200, 2300, true } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      const Oh__Load load = make_load ("k1", "kiln-log", fixture_incarnation (0), 2, 0);

      g_test_message ("case %zu", i);
      fixture_init (&fixture, upstreams, true);
      place (&fixture, "kiln-log", 1, 100 * MS);
      if (cases[i].report_ms > 0)
        oh_placement_apply_load (&fixture.placement, &load, cases[i].report_ms * MS);
      oh_placement_expire_opens (&fixture.placement, cases[i].now_ms * MS);
      g_assert_cmpint (place (&fixture, "scan-serve", 2, cases[i].now_ms * MS) != NULL, ==,
                       cases[i].available);
      fixture_finish (&fixture);
    }
}

/* Guards against Opens to an upstream that the view no longer lists, and against a new one that gets none. */
static void
test_membership (void)
{
  static const fixture_upstream_t later[] = {
    { "p4", "plan-fetch", "a", 1, 0, 0, 0, READY, false },
    { NULL },
  };
  fixture_t fixture;

  fixture_init (&fixture, three_equal, true);
  oh_placement_set_view (&fixture.placement, fixture_view (later, true), 0);
  g_assert_cmpstr (place (&fixture, "plan-fetch", 1, 0), ==, "p4");
  g_assert_null (oh_placement_find_upstream (&fixture.placement, "p1"));
  fixture_finish (&fixture);
}

/* A view whose services are managed. */
static void
managed_fixture_init (fixture_t *fixture, const fixture_upstream_t *upstreams)
{
  oh_placement_view_t *view = fixture_view (upstreams, true);

  for (guint i = 0; i < view->services->len; i++)
    g_array_index (view->services, oh_placement_service_t, i).managed = true;
  oh_seeded_random_init (&fixture->random, 1);
  oh_placement_init (&fixture->placement, "a", &fixture->random.base);
  oh_placement_set_view (&fixture->placement, view, 0);
}

/* Guards against Opens at agents without a position while others have one, against the use of the reserved
 * part of a limit, and against the comparison of upstreams that differ in speed by their slots alone. */
static void
test_positions (void)
{
  static const struct
  {
    const char *title;
    struct
    {
      unsigned busy;
      unsigned limit;
      unsigned reserved;
      unsigned service_us;
    } loads[3];
    bool yields;
    oh_position_t least;
    const char *expected; /* NULL: refused for want of a position */
    oh_position_t position;
    bool unmanaged;
  } cases[] = {
    { "a position at the busier upstream",
      { { 3, 3, 0, 0 }, { 4, 5, 0, 0 }, { 5, 5, 0, 0 } },
      false,
      OH_POSITION_POSSIBLE,
      "p2",
      OH_POSITION_FREE,
      false },
    { "a service that is not managed",
      { { 3, 3, 0, 0 }, { 4, 5, 0, 0 }, { 5, 5, 0, 0 } },
      false,
      OH_POSITION_POSSIBLE,
      "p1",
      OH_POSITION_FREE,
      true },
    { "a reserved position, for a flow that does not yield",
      { { 3, 4, 1, 0 }, { 4, 6, 1, 0 }, { 5, 5, 0, 0 } },
      false,
      OH_POSITION_POSSIBLE,
      "p1",
      OH_POSITION_FREE,
      false },
    { "a reserved position, for a flow that yields",
      { { 3, 4, 1, 0 }, { 4, 6, 1, 0 }, { 5, 5, 0, 0 } },
      true,
      OH_POSITION_POSSIBLE,
      "p2",
      OH_POSITION_FREE,
      false },
    { "no position is known, and one may be free",
      { { 4, 3, 0, 0 }, { 3, 3, 0, 0 }, { 5, 5, 0, 0 } },
      false,
      OH_POSITION_POSSIBLE,
      "p2",
      OH_POSITION_POSSIBLE,
      false },
    { "no position is known, and only a known one is accepted",
      { { 4, 3, 0, 0 }, { 3, 3, 0, 0 }, { 5, 5, 0, 0 } },
      false,
      OH_POSITION_FREE,
      NULL,
      OH_POSITION_TAKEN,
      false },
    { "an agent of the former release among full ones",
      { { 3, 3, 0, 0 }, { 9, 0, 0, 0 }, { 3, 3, 0, 0 } },
      false,
      OH_POSITION_FREE,
      "p2",
      OH_POSITION_FREE,
      false },
    { "the faster upstream has more work, and less for its capacity",
      { { 2, 9, 0, 90000 }, { 2, 9, 0, 90000 }, { 3, 9, 0, 30000 } },
      false,
      OH_POSITION_FREE,
      "p3",
      OH_POSITION_FREE,
      false },
    { "its pace does not count where the service is not managed",
      { { 2, 9, 0, 90000 }, { 1, 9, 0, 90000 }, { 3, 9, 0, 30000 } },
      false,
      OH_POSITION_FREE,
      "p2",
      OH_POSITION_FREE,
      true },
    { "differences below a quarter are noise",
      { { 3, 9, 0, 60000 }, { 4, 9, 0, 50000 }, { 4, 9, 0, 55000 } },
      false,
      OH_POSITION_FREE,
      "p1",
      OH_POSITION_FREE,
      false },
    { "a service time that is not known counts as the mean",
      { { 3, 9, 0, 0 }, { 2, 9, 0, 0 }, { 3, 9, 0, 50000 } },
      false,
      OH_POSITION_FREE,
      "p2",
      OH_POSITION_FREE,
      false },
    { "a slow upstream counts as a quarter at least",
      { { 1, 9, 0, 90000 }, { 3, 9, 0, 90000 }, { 14, 20, 0, 1000 } },
      false,
      OH_POSITION_FREE,
      "p1",
      OH_POSITION_FREE,
      false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const oh_placement_request_t request
        = { .service = oh_service_id ("plan-fetch"), .yields = cases[i].yields, .position = cases[i].least };
      oh_placement_decision_t decision;
      fixture_t fixture;

      g_test_message ("%s", cases[i].title);
      if (cases[i].unmanaged)
        fixture_init (&fixture, three_equal, true);
      else
        managed_fixture_init (&fixture, three_equal);
      for (unsigned u = 0; u < 3; u++)
        {
          Oh__Load load = make_load (three_equal[u].name, "plan-fetch", fixture_incarnation (u), 2,
                                     cases[i].loads[u].busy);

          load.limit = cases[i].loads[u].limit;
          load.reserved = cases[i].loads[u].reserved;
          load.service_us = cases[i].loads[u].service_us;
          g_assert_true (oh_placement_apply_load (&fixture.placement, &load, 0));
        }
      oh_placement_choose_position (&fixture.placement, &request, 0, &decision);
      g_assert_cmpstr (decision.upstream != NULL ? decision.upstream->name : NULL, ==, cases[i].expected);
      if (cases[i].expected == NULL)
        g_assert_cmpint (decision.reason, ==, OH_PLACEMENT_NO_POSITION);
      else
        g_assert_cmpint (decision.position, ==, cases[i].position);
      fixture_finish (&fixture);
    }
}

/* Guards against an upstream that fails its requests at once, so that it looks fast and idle, and gets most
 * of the flows. */
static void
test_outlier (void)
{
  static const struct
  {
    unsigned service_us; /* of p3; the others take 16 ms */
    unsigned least;      /* share of 1,000 flows */
    unsigned most;
  } cases[] = {
    { 1000, 1, 60 },     /* a tenth of the mean of the others */
    { 7000, 300, 1000 }, /* a faster VM */
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const oh_placement_request_t request = { .service = oh_service_id ("plan-fetch") };
      uint64_t sequence = 1;
      unsigned n = 0;
      fixture_t fixture;

      managed_fixture_init (&fixture, three_equal);
      for (unsigned flow = 0; flow < 1000; flow++)
        {
          const int64_t now_us = (int64_t)(flow + 1) * 10000;
          oh_placement_decision_t decision;

          for (unsigned u = 0; u < 3; u++)
            {
              /* The others are busier at times. */
              Oh__Load load = make_load (three_equal[u].name, "plan-fetch", fixture_incarnation (u),
                                         ++sequence, u < 2 ? 1 + flow % 2 : 0);

              load.limit = 9;
              load.service_us = u < 2 ? 16000 : cases[i].service_us;
              g_assert_true (oh_placement_apply_load (&fixture.placement, &load, now_us));
            }
          g_assert_true (oh_placement_choose_position (&fixture.placement, &request, now_us, &decision));
          n += strcmp (decision.upstream->name, "p3") == 0;
          oh_placement_open_sent (&fixture.placement, decision.upstream, flow, now_us);
          for (unsigned u = 0; u < 3; u++)
            if (strcmp (decision.upstream->name, three_equal[u].name) == 0)
              {
                const Oh__Load load
                  = make_load (three_equal[u].name, "plan-fetch", fixture_incarnation (u), ++sequence, 1);

                oh_placement_open_answered (&fixture.placement, &load, flow, true, now_us);
              }
        }
      g_test_message ("service time %u us: %u of 1000 flows", cases[i].service_us, n);
      g_assert_cmpuint (n, >=, cases[i].least);
      g_assert_cmpuint (n, <=, cases[i].most);
      fixture_finish (&fixture);
    }
}

/* Guards against offers to an agent that has just refused for overload, against a wait that does not end, and
 * against a refusal of a flow that yields that keeps the others from the reserved part. Guards also against
 * an offer whose answer was lost, which took a position for 2 s. */
static void
test_full_agent (void)
{
  static const fixture_upstream_t one[] = {
    { "p1", "plan-fetch", "a", 4, 0, 0, 0, READY, false },
    { NULL },
  };
  static const struct
  {
    unsigned service_us;
    bool yields;        /* the refused flow */
    bool second_yields; /* the next one */
    int64_t wait_ms;    /* of the next one; 0: none */
  } cases[] = {
    { 0, false, false, 100 },     { 1000, false, false, 5 }, { 80000, false, false, 20 },
    { 900000, false, true, 100 }, { 80000, true, true, 20 }, { 80000, true, false, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      oh_placement_request_t request
        = { .service = oh_service_id ("plan-fetch"), .position = OH_POSITION_POSSIBLE };
      Oh__Load load = make_load ("p1", "plan-fetch", fixture_incarnation (0), 2, 6);
      oh_placement_decision_t decision;
      fixture_t fixture;

      g_test_message ("case %zu", i);
      load.limit = 6;
      load.service_us = cases[i].service_us;
      managed_fixture_init (&fixture, one);
      oh_placement_apply_load (&fixture.placement, &load, 1 * MS);
      oh_placement_overloaded (&fixture.placement, &load, cases[i].yields, 1 * MS);
      request.yields = cases[i].second_yields;
      g_assert_true (
        oh_placement_choose_position (&fixture.placement, &request, (1 + cases[i].wait_ms) * MS, &decision));
      if (cases[i].wait_ms > 0)
        g_assert_false (
          oh_placement_choose_position (&fixture.placement, &request, cases[i].wait_ms * MS, &decision));
      load.sequence++;
      load.busy--;
      oh_placement_apply_load (&fixture.placement, &load, 2 * MS);
      g_assert_true (oh_placement_choose_position (&fixture.placement, &request, 2 * MS, &decision));
      g_assert_cmpint (decision.position, ==, OH_POSITION_FREE);
      oh_placement_open_sent (&fixture.placement, decision.upstream, 1, 2 * MS);
      g_assert_false (oh_placement_choose_position (&fixture.placement, &request, 3 * MS, &decision));
      load.sequence++;
      oh_placement_apply_load (&fixture.placement, &load, 400 * MS);
      g_assert_true (oh_placement_choose_position (&fixture.placement, &request, 400 * MS, &decision));
      fixture_finish (&fixture);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/placement/choice", test_choice);
  g_test_add_func ("/placement/sent-counts", test_sent_counts);
  g_test_add_func ("/placement/unanswered-ends", test_unanswered_ends);
  g_test_add_func ("/placement/report-order", test_report_order);
  g_test_add_func ("/placement/silent-agent", test_silent_agent);
  g_test_add_func ("/placement/silent-agent-beyond-cap", test_silent_agent_beyond_cap);
  g_test_add_func ("/placement/false-report", test_false_report);
  g_test_add_func ("/placement/exclusion-cap", test_exclusion_cap);
  g_test_add_func ("/placement/silent-dependency", test_silent_dependency);
  g_test_add_func ("/placement/membership", test_membership);
  g_test_add_func ("/placement/positions", test_positions);
  g_test_add_func ("/placement/full-agent", test_full_agent);
  g_test_add_func ("/placement/outlier", test_outlier);
  return g_test_run ();
}
