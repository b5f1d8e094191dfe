#include <glib.h>
#include <string.h>

#include "agent_fixture.h"

enum
{
  N_FLOWS = 2000,        /* flows of one upstream */
  DRAIN_BOUND_MS = 3000, /* an upstream that drains must get no new work after this time */
  STEP_MS = 10,
};

static void
open_flows (fixture_t *fixture, unsigned n_flows)
{
  for (unsigned i = 0; i < n_flows; i++)
    {
      memcpy (fixture->flow.bytes, &i, sizeof i);
      fixture_open (fixture, 0, 1);
    }
}

static void
deliver_messages (fixture_t *fixture)
{
  while (fixture_deliver_next_state (fixture, false) || fixture_deliver_next_reply (fixture, false))
    ;
}

/* Guards against a handover so slow that flows are still waiting for it when the drain limit is reached. */
static void
test_rate (void)
{
  fixture_t fixture;
  fake_agent_t *source = &fixture.agents[0];

  fixture_init (&fixture, 4, 2 * N_FLOWS);
  fixture_update_view (&fixture, NULL);
  open_flows (&fixture, N_FLOWS);
  fixture_update_view (&fixture, "upstream-0");
  for (int64_t ms = 0; ms < DRAIN_BOUND_MS; ms += STEP_MS)
    {
      fixture_advance (&fixture, STEP_MS);
      deliver_messages (&fixture);
    }
  g_assert_cmpuint (source->core.flows.n_moved, ==, N_FLOWS);
  fixture_finish (&fixture);
}

/*
 * Guards against sending all flows to the peer that was least loaded when the view last changed: a view is
 * not updated when only load changes.
 */
static void
test_stale_view (void)
{
  static const struct
  {
    unsigned busy;  /* load of upstream-1 in the view */
    unsigned flows; /* likewise */
  } cases[] = { { 0, 0 }, { 1, 0 }, { 4, 0 }, { 0, 40 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      enum
      {
        FLOWS = 120,
      };
      fixture_t fixture;
      unsigned most = 0;

      fixture_init (&fixture, 4, N_FLOWS);
      fixture_update_view (&fixture, NULL);
      open_flows (&fixture, FLOWS);
      fixture_update_view (&fixture, "upstream-0");
      for (guint j = 0; j < fixture.view.members->len; j++)
        {
          oh_view_member_t *member = g_ptr_array_index (fixture.view.members, j);

          if (strcmp (member->name, "upstream-1") == 0)
            {
              member->busy = cases[i].busy;
              member->flows = cases[i].flows;
            }
        }
      for (int64_t ms = 0; ms < DRAIN_BOUND_MS; ms += STEP_MS)
        {
          fixture_advance (&fixture, STEP_MS);
          deliver_messages (&fixture);
        }
      for (unsigned j = 1; j < FIXTURE_AGENTS; j++)
        most = MAX (most, fixture.agents[j].core.flows.n_flows);
      /* Required balance: no peer gets over 10% more than an even share. */
      g_assert_cmpuint (most, <=, FLOWS / 2 * 11 / 10);
      fixture_finish (&fixture);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/handover/rate", test_rate);
  g_test_add_func ("/handover/stale-view", test_stale_view);
  return g_test_run ();
}
