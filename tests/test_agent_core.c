#define OH_LOG_MODULE "test"
#include <glib.h>
#include <string.h>

#include "agent_fixture.h"

#define ONCE OH__REQUEST_KIND__REQUEST_ONCE
#define REPEATABLE OH__REQUEST_KIND__REQUEST_REPEATABLE
#define TRANSFER OH__REQUEST_KIND__REQUEST_TRANSFER
#define FEED OH__REQUEST_KIND__REQUEST_FEED

/*
 * A script is a list of steps for the request number 1, which may not be repeated:
 *
 *   open=G, offer=G, reopen=G@A   open the flow as generation G; without using the token; at agent A
 *   req, copy, copyto=A, copyopen send the request; deliver the first request or Open again, at agent 0 or A
 *   cancel, ran=no|yes|?          cancel; what the upstream says about the cancellation
 *   began, answer, shed, foreign, late, error, break, notsent
 *                                 what the upstream does with the request
 *   busy, full, free              occupy the slots, or also the queue, with requests 10 and up; end them all
 *   floor=N, close, ping, wait=MS
 *   restart, restart=A, kill=A, drain, drain=A, undrain, upstream-drains=A
 *   state, lose-state, keep-state, late-state, reply, lose-reply, moved
 *                                 messages between agents; moved adopts the token of the last Moved
 *   runs=N, out=RESULT, got=N, generation=N
 *                                 checks: runs of request 1, its last outcome, chunks taken, token
 *   silent, gone, told-moved, closed, no-state
 *                                 checks: what the last step caused
 */
typedef struct
{
  const char *name;
  const char *steps;
} script_t;

static const struct
{
  const char *name;
  Oh__Result result;
} result_names[] = {
  { "overloaded", OH__RESULT__RESULT_NOT_RUN_OVERLOADED },
  { "deadline", OH__RESULT__RESULT_NOT_RUN_DEADLINE },
  { "cancelled", OH__RESULT__RESULT_NOT_RUN_CANCELLED },
  { "upstream", OH__RESULT__RESULT_NOT_RUN_UPSTREAM },
  { "unknown", OH__RESULT__RESULT_UNKNOWN },
  { "failed", OH__RESULT__RESULT_FAILED },
  { "wrong", OH__RESULT__RESULT_WRONG_SERVICE },
  { "none", OH__RESULT__RESULT_NONE },
};

static Oh__Result
parse_result (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (result_names); i++)
    if (strcmp (result_names[i].name, name) == 0)
      return result_names[i].result;
  g_assert_not_reached ();
}

typedef struct
{
  fixture_t fixture;
  GBytes *open;
  GBytes *request;
  GBytes *state; /* copy of a flow state, for late delivery */
  unsigned state_target;
  unsigned packets;
  unsigned gone;
  unsigned moved;
  unsigned closed;
} script_run_t;

static void
fail_request (fixture_t *fixture, oh_upstream_failure_t failure)
{
  fixture_upstream (fixture, 1, (oh_upstream_event_t){ .kind = OH_UPSTREAM_FAILED, .failure = failure });
}

/* With 2 slots and a queue of 16. */
static void
fill (fixture_t *fixture, uint32_t requests)
{
  for (uint32_t number = 10; number < 10 + requests; number++)
    fixture_send (fixture, fixture_request (fixture, number, 1, ONCE, 0, 0, 0, 0, 0));
}

static void
free_slots (fixture_t *fixture)
{
  fake_agent_t *agent;

  for (uint32_t number = 10; number < 10 + 2 + 16; number++)
    if (fixture_run (fixture, number, &agent) != NULL)
      fixture_answer (fixture, number, 10);
}

static void
report_cancel (fixture_t *fixture, const char *word)
{
  const oh_ran_t ran = word[0] == 'n' ? OH_RAN_NO : word[0] == 'y' ? OH_RAN_YES : OH_RAN_UNKNOWN;

  fixture_upstream (fixture, 1, (oh_upstream_event_t){ .kind = OH_UPSTREAM_CANCEL_RESULT, .ran = ran });
}

static void
close_flow (fixture_t *fixture)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Close close = OH__CLOSE__INIT;

  packet.body_case = OH__PACKET__BODY_CLOSE;
  packet.close = &close;
  fixture_send (fixture, fixture_packet (fixture, &packet));
}

/* Steps without a value. Returns false if the name is none of them. */
static bool
run_action (script_run_t *run, const char *step)
{
  static const struct
  {
    const char *name;
    oh_upstream_failure_t failure;
  } failures[] = {
    { "shed", OH_UPSTREAM_SHED },     { "foreign", OH_UPSTREAM_WRONG_SERVICE },
    { "late", OH_UPSTREAM_DEADLINE }, { "error", OH_UPSTREAM_ERROR },
    { "break", OH_UPSTREAM_BROKEN },  { "notsent", OH_UPSTREAM_NOT_SENT },
  };
  fixture_t *fixture = &run->fixture;

  for (size_t i = 0; i < G_N_ELEMENTS (failures); i++)
    if (strcmp (failures[i].name, step) == 0)
      {
        fail_request (fixture, failures[i].failure);
        return true;
      }
  if (strcmp (step, "req") == 0)
    {
      GBytes *request = fixture_request (fixture, 1, 1, ONCE, 1, 0, 0, 0, 0);

      if (run->request == NULL)
        run->request = g_bytes_ref (request);
      fixture_send (fixture, request);
    }
  else if (strcmp (step, "copy") == 0)
    fixture_deliver (fixture, 0, run->request);
  else if (strcmp (step, "copyopen") == 0)
    fixture_deliver (fixture, 0, run->open);
  else if (strcmp (step, "cancel") == 0)
    fixture_cancel (fixture, 1);
  else if (strcmp (step, "answer") == 0)
    fixture_answer (fixture, 1, 1500);
  else if (strcmp (step, "full") == 0)
    fill (fixture, 18);
  else if (strcmp (step, "busy") == 0)
    fill (fixture, 2);
  else if (strcmp (step, "free") == 0)
    free_slots (fixture);
  else if (strcmp (step, "close") == 0)
    close_flow (fixture);
  else if (strcmp (step, "ping") == 0)
    fixture_ping (fixture);
  else if (strcmp (step, "drain") == 0)
    {
      fixture_update_view (fixture, "upstream-0");
      fixture_wait (fixture, 60);
    }
  else if (strcmp (step, "keep-state") == 0)
    {
      g_clear_pointer (&run->state, g_bytes_unref);
      run->state = fixture_peek_state (fixture, &run->state_target);
    }
  else if (strcmp (step, "late-state") == 0)
    fixture_deliver_state (fixture, run->state_target, run->state);
  else if (strcmp (step, "began") == 0)
    fixture_upstream (fixture, 1, (oh_upstream_event_t){ .kind = OH_UPSTREAM_STARTED });
  else if (strcmp (step, "undrain") == 0)
    fixture_update_view (fixture, NULL);
  else if (strcmp (step, "restart") == 0)
    fixture_restart (fixture, 0);
  else if (strcmp (step, "state") == 0 || strcmp (step, "lose-state") == 0)
    g_assert_true (fixture_pass_state (fixture, step[0] == 'l'));
  else if (strcmp (step, "reply") == 0 || strcmp (step, "lose-reply") == 0)
    g_assert_true (fixture_pass_reply (fixture, step[0] == 'l'));
  else if (strcmp (step, "moved") == 0)
    {
      g_assert_cmpuint (fixture->moved.flow_generation, >, fixture->token.flow_generation);
      fixture->token = fixture->moved;
    }
  else
    return false;
  return true;
}

static bool
run_check (script_run_t *run, const char *step)
{
  const fixture_t *fixture = &run->fixture;

  if (strcmp (step, "silent") == 0)
    g_assert_cmpuint (fixture->n_packets, ==, run->packets);
  else if (strcmp (step, "gone") == 0)
    g_assert_cmpuint (fixture->n_gone, >, run->gone);
  else if (strcmp (step, "told-moved") == 0)
    g_assert_cmpuint (fixture->n_moved, >, run->moved);
  else if (strcmp (step, "closed") == 0)
    g_assert_cmpuint (fixture->n_close_replies, >, run->closed);
  else if (strcmp (step, "no-state") == 0)
    for (unsigned i = 0; i < FIXTURE_AGENTS; i++)
      g_assert_cmpuint (fixture->agents[i].peer_out->len, ==, 0);
  else
    return false;
  return true;
}

static void
run_valued (script_run_t *run, const char *step, const char *value)
{
  fixture_t *fixture = &run->fixture;
  const unsigned number = (unsigned)g_ascii_strtoull (value, NULL, 10);

  if (g_str_has_prefix (step, "open="))
    {
      g_clear_pointer (&run->open, g_bytes_unref);
      run->open = fixture_open_packet (fixture, number);
      fixture_open (fixture, 0, number);
    }
  else if (g_str_has_prefix (step, "reopen="))
    fixture_open (fixture, (unsigned)g_ascii_strtoull (strchr (value, '@') + 1, NULL, 10), number);
  else if (g_str_has_prefix (step, "offer="))
    {
      g_autoptr (GBytes) open = fixture_open_packet (fixture, number);

      fixture_deliver (fixture, 0, open);
    }
  else if (g_str_has_prefix (step, "drain="))
    {
      g_autofree char *name = g_strdup_printf ("upstream-%u", number);

      fixture_update_view (fixture, name);
      fixture_wait (fixture, 60);
    }
  else if (g_str_has_prefix (step, "restart="))
    {
      fixture_restart (fixture, number);
      fixture_update_view (fixture, "upstream-0");
    }
  else if (g_str_has_prefix (step, "upstream-drains="))
    fixture_health (fixture, number, "meter-stream", OH__UPSTREAM_STATE__UPSTREAM_DRAINING, 1);
  else if (g_str_has_prefix (step, "generation="))
    g_assert_cmpuint (fixture->token.flow_generation, ==, number);
  else if (g_str_has_prefix (step, "copyto="))
    fixture_deliver (fixture, number, run->request);
  else if (g_str_has_prefix (step, "ran="))
    report_cancel (fixture, value);
  else if (g_str_has_prefix (step, "floor="))
    fixture->ack_below = number;
  else if (g_str_has_prefix (step, "wait="))
    fixture_wait (fixture, number);
  else if (g_str_has_prefix (step, "kill="))
    {
      fixture_kill (fixture, number);
      fixture_update_view (fixture, "upstream-0");
    }
  else if (g_str_has_prefix (step, "runs="))
    g_assert_cmpuint (fixture->runs[1], ==, number);
  else if (g_str_has_prefix (step, "got="))
    g_assert_cmpuint (fixture->next_chunk[1], ==, number);
  else if (g_str_has_prefix (step, "out="))
    g_assert_cmpint (fixture->outcome[1], ==, parse_result (value));
  else
    g_error ("unknown step %s", step);
}

static void
run_script (gconstpointer data)
{
  const script_t *script = data;
  g_auto (GStrv) steps = g_strsplit (script->steps, " ", -1);
  script_run_t run = { 0 };

  fixture_init (&run.fixture, 2, 100);
  fixture_update_view (&run.fixture, NULL);
  for (char **step = steps; *step != NULL; step++)
    {
      const char *value = strchr (*step, '=');

      g_test_message ("%s", *step);
      if (run_check (&run, *step))
        continue;
      run.packets = run.fixture.n_packets;
      run.gone = run.fixture.n_gone;
      run.moved = run.fixture.n_moved;
      run.closed = run.fixture.n_close_replies;
      if (!run_action (&run, *step))
        run_valued (&run, *step, value + 1);
      /* The fixture asserts at each start that "not run" was not said before. */
      g_assert_cmpuint (run.fixture.runs[1], <=, 1);
      g_assert_false (run.fixture.not_run_said[1] && run.fixture.runs[1] > 0
                      && run.fixture.outcome[1] == OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
    }
  fixture_finish (&run.fixture);
  g_clear_pointer (&run.open, g_bytes_unref);
  g_clear_pointer (&run.request, g_bytes_unref);
  g_clear_pointer (&run.state, g_bytes_unref);
}

static const script_t scripts[] = {
  /* Copies of the request at every stage. */
  { "copy-while-queued", "open=1 busy req copy runs=0 silent free "
                         "runs=1 answer got=2 copy runs=1" },
  { "copy-while-running", "open=1 req copy copy runs=1 answer got=2" },
  { "copy-after-answer", "open=1 req answer got=2 copy runs=1" },
  { "copy-below-floor", "open=1 req answer floor=2 ping copy runs=1 silent" },
  { "copy-after-refusal", "open=1 full req out=overloaded runs=0 free "
                          "copy runs=0 out=overloaded" },
  { "copy-after-shed", "open=1 req shed out=upstream copy out=upstream runs=1" },
  { "copy-after-close", "open=1 req answer close closed copy gone runs=1" },
  /* An Open and a request that were both delayed past the close must not run the request again. */
  { "open-copy-after-close", "open=1 req answer close copyopen silent copy gone runs=1" },
  { "open-copy-while-owned", "open=1 req copyopen copy runs=1 answer got=2" },
  { "close-copy", "open=1 close closed close closed" },
  /* Unused offers end after 2 s. */
  { "offer-ended", "wait=20 offer=1 wait=2010 ping gone req gone runs=0" },
  { "offer-used-late", "offer=1 wait=1900 req runs=1" },
  /* Cancellation. */
  { "cancel-first", "open=1 cancel out=cancelled req out=cancelled runs=0 copy runs=0 out=cancelled" },
  { "cancel-queued", "open=1 busy req cancel out=cancelled free runs=0 "
                     "copy runs=0 out=cancelled" },
  { "cancel-running-not-run", "open=1 req cancel runs=1 ran=no out=cancelled copy out=cancelled runs=1" },
  { "cancel-running-ran", "open=1 req cancel ran=yes answer got=2 out=none" },
  { "cancel-running-unknown", "open=1 req cancel ran=? out=unknown copy out=unknown runs=1" },
  { "cancel-failed-then-not-run", "open=1 req cancel error ran=no out=cancelled" },
  { "cancel-failed-then-ran", "open=1 req cancel break ran=yes out=unknown" },
  { "cancel-answer-began", "open=1 req began cancel ran=no answer got=2 out=none" },
  { "cancel-after-answer", "open=1 req answer cancel got=2 out=none" },
  /* What the upstream does. */
  { "upstream-sheds", "open=1 req shed out=upstream" },
  { "upstream-not-reached", "open=1 req notsent out=upstream" },
  { "upstream-error", "open=1 req error out=failed copy out=failed runs=1" },
  { "upstream-breaks", "open=1 req break out=unknown copy out=unknown runs=1" },
  { "upstream-late", "open=1 req late out=deadline copy runs=1" },
  { "upstream-foreign", "open=1 req foreign out=wrong copy out=wrong runs=1" },
  /* Restart: the new incarnation knows nothing and runs nothing of the old one. */
  { "restart-running", "open=1 req restart copy gone runs=1" },
  { "restart-before-request", "open=1 restart req gone runs=0" },
  { "restart-open-copy", "open=1 req restart copyopen copy gone runs=1" },
  { "reopen-same-agent", "open=1 req reopen=2@0 copy silent runs=1" },
  { "reopen-other-agent", "open=1 req break reopen=2@1 copyto=0 runs=1 copyto=1 gone runs=1" },
  /* Handover. */
  { "handover", "open=1 req answer drain state reply told-moved moved ping copyto=0 told-moved copyto=1 gone "
                "runs=1 req runs=1 got=2" },
  { "handover-refusal", "open=1 full req out=overloaded free drain state "
                        "reply moved req out=overloaded runs=0" },
  { "handover-cancel", "open=1 cancel drain state reply moved req out=cancelled runs=0" },
  { "handover-waits-for-running",
    "open=1 req drain no-state wait=1000 no-state answer wait=60 state reply moved "
    "req runs=1 got=2" },
  { "handover-frozen", "open=1 busy drain req silent runs=0 free wait=60 state "
                       "req silent runs=0 reply moved req runs=1 answer got=2" },
  { "handover-queued", "open=1 busy req drain silent free runs=0 wait=60 state "
                       "reply moved req runs=1 copyto=0 told-moved runs=1" },
  { "handover-reply-lost",
    "open=1 drain state lose-reply req silent runs=0 wait=600 state reply moved req runs=1 "
    "copyto=0 told-moved runs=1" },
  { "handover-state-lost",
    "open=1 drain lose-state req silent runs=0 wait=600 state reply moved req runs=1" },
  { "handover-target-killed",
    "open=1 drain lose-state kill=1 wait=100 state reply told-moved moved req runs=1" },
  { "handover-target-killed-after-state",
    "open=1 drain state lose-reply kill=1 wait=100 state reply moved req runs=1 answer got=2" },
  { "handover-source-killed", "open=1 req answer drain state kill=0 reopen=3@2 copyto=1 gone runs=1" },
  { "handover-undrained", "open=1 busy drain undrain req runs=0 free "
                          "runs=1" },
  { "handover-sent-stays-sent",
    "open=1 drain state lose-reply undrain req silent runs=0 copy silent runs=0" },
  { "handover-cancel-after-state", "open=1 drain state cancel silent out=none reply moved req runs=1" },
  { "handover-close-after-state", "open=1 drain state close silent reply told-moved moved close closed" },
  { "handover-target-generation",
    "open=1 drain state lose-reply kill=1 wait=100 state reply moved generation=3" },
  { "handover-target-restarted",
    "open=1 drain lose-state restart=1 wait=100 state reply told-moved moved req runs=1" },
  { "handover-floor", "open=1 req answer floor=2 ping drain state reply floor=0 moved req runs=1 silent" },
  { "handover-late-state",
    "open=1 drain keep-state state reply moved req answer runs=1 drain=1 state reply moved ping "
    "undrain late-state copyto=1 told-moved runs=1" },
  { "handover-late-state-closed",
    "open=1 drain keep-state state reply moved req answer close closed late-state copyto=1 "
    "gone runs=1" },
  { "handover-late-state-owned",
    "open=1 drain keep-state state reply moved req answer late-state lose-reply copyto=1 "
    "runs=1" },
  { "handover-late-state-restarted",
    "open=1 drain keep-state state reply moved req answer runs=1 restart=1 late-state drain=1 no-state" },
  { "handover-target-refuses", "open=1 drain keep-state lose-state upstream-drains=1 late-state reply "
                               "wait=600 state reply moved generation=3 req "
                               "runs=1" },
  /* Copies that arrive after the record of the closed flow was forgotten. */
  { "closed-long-ago", "open=1 req answer floor=2 close closed wait=130000 copyopen copy gone runs=1" },
  { "handover-back", "open=1 req answer drain state reply moved ping undrain copyto=0 told-moved runs=1" },
};

/* Opens are refused at once while draining, and echoed with the reason. */
static void
test_open_refused (void)
{
  fixture_t fixture;
  g_autoptr (GBytes) open = NULL;

  fixture_init (&fixture, 4, 2);
  fixture_update_view (&fixture, NULL);
  open = fixture_open_packet (&fixture, 1);
  fixture_update_view (&fixture, "upstream-0");
  fixture_deliver (&fixture, 0, open);
  g_assert_cmpint (fixture.refused_open, ==, OH__RESULT__RESULT_NOT_RUN_DRAINING);
  g_assert_false (fixture.has_token);

  fixture_health (&fixture, 1, "meter-stream", OH__UPSTREAM_STATE__UPSTREAM_DRAINING, 1);
  fixture.refused_open = OH__RESULT__RESULT_NONE;
  fixture_deliver (&fixture, 1, open);
  g_assert_cmpint (fixture.refused_open, ==, OH__RESULT__RESULT_NOT_RUN_DRAINING);

  /* Another service answers on the upstream's address. */
  fixture_health (&fixture, 2, "plan-fetch", OH__UPSTREAM_STATE__UPSTREAM_READY, 1);
  fixture_deliver (&fixture, 2, open);
  g_assert_cmpint (fixture.refused_open, ==, OH__RESULT__RESULT_WRONG_SERVICE);
  g_assert_false (fixture.has_token);
  fixture_finish (&fixture);
}

/* Guards against work for an upstream whose service has not been checked. */
static void
test_unknown_upstream (void)
{
  fixture_t fixture;
  g_autoptr (GBytes) open = NULL;

  fixture_init (&fixture, 4, 2);
  fixture_update_view (&fixture, NULL);
  fixture.agents[0].core.health.known = false;
  open = fixture_open_packet (&fixture, 1);
  fixture_deliver (&fixture, 0, open);
  g_assert_cmpint (fixture.refused_open, ==, OH__RESULT__RESULT_NO_UPSTREAM);
  g_assert_cmpuint (fixture.agents[0].load.slots, ==, 0);
  fixture_finish (&fixture);
}

/* Guards against a table that grows without bound, and against an unused offer that holds its place. */
static void
test_flow_limit (void)
{
  fixture_t fixture;

  fixture_init (&fixture, 4, 3);
  fixture_update_view (&fixture, NULL);
  for (unsigned i = 0; i < 5; i++)
    {
      fixture.flow.bytes[0] = (uint8_t)i;
      fixture.refused_open = OH__RESULT__RESULT_NONE;
      g_autoptr (GBytes) open = fixture_open_packet (&fixture, 1);
      fixture_deliver (&fixture, 0, open);
      g_assert_cmpint (fixture.refused_open, ==,
                       i < 3 ? OH__RESULT__RESULT_NONE : OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
    }
  g_assert_cmpuint (fixture.agents[0].load.queued, ==, 3);
  fixture_wait (&fixture, 2300);
  fixture.refused_open = OH__RESULT__RESULT_NONE;
  fixture_open (&fixture, 0, 1);
  g_assert_cmpint (fixture.refused_open, ==, OH__RESULT__RESULT_NONE);
  fixture_finish (&fixture);
}

/* Guards against a window that forgets a number, and against numbers that run without protection. */
static void
test_window (void)
{
  fixture_t fixture;

  fixture_init (&fixture, 4, 10);
  fixture_update_view (&fixture, NULL);
  fixture_open (&fixture, 0, 1);
  for (uint32_t number = 0; number < 2 * OH_REQUEST_WINDOW; number++)
    {
      fixture_send (&fixture, fixture_request (&fixture, number, 1, ONCE, 0, 0, 0, 0, 0));
      if (number < OH_REQUEST_WINDOW && fixture.runs[number] > 0)
        fixture_answer (&fixture, number, 3);
    }
  for (uint32_t number = 0; number < 2 * OH_REQUEST_WINDOW; number++)
    g_assert_cmpuint (fixture.runs[number], ==, number < OH_REQUEST_WINDOW ? 1 : 0);
  /* Copies of every one, after the window was full. */
  for (uint32_t number = 0; number < OH_REQUEST_WINDOW; number++)
    fixture_send (&fixture, fixture_request (&fixture, number, 1, ONCE, 0, 0, 0, 0, 0));
  for (uint32_t number = 0; number < OH_REQUEST_WINDOW; number++)
    g_assert_cmpuint (fixture.runs[number], ==, 1);
  /* A late packet with an old floor lowers nothing. */
  fixture.ack_below = 40;
  fixture_ping (&fixture);
  fixture.ack_below = 0;
  fixture_send (&fixture, fixture_request (&fixture, 39, 1, ONCE, 0, 0, 0, 0, 0));
  g_assert_cmpuint (fixture.runs[39], ==, 1);
  fixture_finish (&fixture);
}

/* Guards against a request that runs after its deadline. */
static void
test_deadline (void)
{
  fixture_t fixture;

  fixture_init (&fixture, 1, 10);
  fixture_update_view (&fixture, NULL);
  fixture_open (&fixture, 0, 1);
  fixture_send (&fixture, fixture_request (&fixture, 1, 1, ONCE, 0, 0, 0, 0, 0));
  fixture_send (&fixture, fixture_request (&fixture, 2, 1, ONCE, 0, 100, 0, 0, 0));
  fixture_wait (&fixture, 150);
  g_assert_cmpint (fixture.outcome[2], ==, OH__RESULT__RESULT_NOT_RUN_DEADLINE);
  fixture_answer (&fixture, 1, 1);
  fixture_wait (&fixture, 50);
  g_assert_cmpuint (fixture.runs[2], ==, 0);
  fixture_send (&fixture, fixture_request (&fixture, 2, 1, ONCE, 0, 100, 0, 0, 0));
  g_assert_cmpuint (fixture.runs[2], ==, 0);
  fixture_finish (&fixture);
}

/* Guards against a valve command that is refused or waits while bulk requests hold the queue and the slots.
 */
static void
test_priority (void)
{
  fixture_t fixture;

  fixture_init (&fixture, 4, 10);
  fixture_update_view (&fixture, NULL);
  fixture_open (&fixture, 0, 1);
  for (uint32_t number = 1; number <= 40; number++)
    fixture_send (&fixture, fixture_request (&fixture, number, 1, REPEATABLE, 2, 0, 0, 0, 0));
  /* One slot in four is reserved, and the queue holds 8 for each of 4 slots. */
  g_assert_cmpuint (fixture.agents[0].core.busy, ==, 3);
  g_assert_cmpuint (fixture.agents[0].core.queue.length, ==, 32);
  g_assert_cmpint (fixture.outcome[40], ==, OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
  fixture_send (&fixture, fixture_request (&fixture, 50, 1, ONCE, 0, 0, 0, 0, 0));
  g_assert_cmpuint (fixture.runs[50], ==, 1);
  fixture_send (&fixture, fixture_request (&fixture, 51, 1, ONCE, 0, 0, 0, 0, 0));
  g_assert_cmpuint (fixture.runs[51], ==, 0);
  g_assert_cmpint (fixture.outcome[51], ==, OH__RESULT__RESULT_NONE);
  fixture_answer (&fixture, 1, 1);
  g_assert_cmpuint (fixture.runs[51], ==, 1);
  fixture_finish (&fixture);
}

/* Guards against answers that reach the wrong request, and against chunks lost on the way. */
static void
test_crossed_answers (void)
{
  fixture_t fixture;

  fixture_init (&fixture, 4, 10);
  fixture_update_view (&fixture, NULL);
  fixture_open (&fixture, 0, 1);
  for (uint32_t number = 1; number <= 3; number++)
    fixture_send (&fixture, fixture_request (&fixture, number, 1, REPEATABLE, 0, 0, 0, 0, 0));
  for (uint32_t number = 3; number >= 1; number--)
    fixture_upstream (&fixture, number, (oh_upstream_event_t){ .kind = OH_UPSTREAM_STARTED });
  for (unsigned part = 0; part < 6; part++)
    for (uint32_t number = 3; number >= 1; number--)
      {
        uint8_t bytes[700];

        memset (bytes, (int)number, sizeof bytes);
        fixture_upstream (&fixture, number,
                          (oh_upstream_event_t){ .kind = OH_UPSTREAM_DATA,
                                                 .data = { .bytes = bytes, .length = sizeof bytes } });
      }
  for (uint32_t number = 3; number >= 1; number--)
    {
      uint8_t expected[4200];
      uint64_t digest = 0;

      fixture_upstream (&fixture, number, (oh_upstream_event_t){ .kind = OH_UPSTREAM_END });
      memset (expected, (int)number, sizeof expected);
      for (size_t at = 0; at < sizeof expected; at += OH_CHUNK_MAX_BYTES)
        digest = oh_chunk_digest (digest, expected + at, MIN (OH_CHUNK_MAX_BYTES, sizeof expected - at));
      g_assert_cmpuint (fixture.next_chunk[number], ==, 5);
      g_assert_true (fixture.complete[number]);
      g_assert_cmpuint (fixture.digest[number], ==, digest);
    }
  fixture_finish (&fixture);
}

static void
send_items (fixture_t *fixture, uint32_t number, uint64_t first, uint64_t end)
{
  for (uint64_t item = first; item < end; item++)
    {
      char text[32];

      g_snprintf (text, sizeof text, "item %" G_GUINT64_FORMAT, item);
      fixture_upstream (
        fixture, number,
        (oh_upstream_event_t){ .kind = OH_UPSTREAM_ITEM,
                               .data
                               = { .bytes = (const uint8_t *)text, .length = strlen (text), .item = item } });
    }
}

/* Guards against a feed that loses an item: retransmission, a lost upstream connection, handover, a gap. */
static void
test_feed (void)
{
  fixture_t fixture;
  fake_agent_t *agent;

  fixture_init (&fixture, 2, 10);
  fixture_update_view (&fixture, NULL);
  fixture_open (&fixture, 0, 1);
  fixture_send (&fixture, fixture_request (&fixture, 1, 1, FEED, 1, 0, 0, 0, 0));
  g_assert_cmpuint (fixture.agents[0].core.busy, ==, 0);
  fixture_upstream (&fixture, 1, (oh_upstream_event_t){ .kind = OH_UPSTREAM_STARTED });
  send_items (&fixture, 1, 500, 510);
  g_assert_cmpuint (fixture.next_chunk[1], ==, 10);
  fixture_ack (&fixture, 1, 1, 4);
  /* The caller lost chunks 4 to 9. */
  fixture.next_chunk[1] = 4;
  fixture.digest[1] = 0;
  oh_list_foreach (&fixture.agents[0].core.flows.flows, link)
    fixture.digest[1] = oh_flow_find_entry (oh_list_entry (link, oh_flow_t, link), 1)->stream.acked_digest;
  fixture_wait (&fixture, 400);
  g_assert_cmpuint (fixture.next_chunk[1], ==, 10);
  fixture_ack (&fixture, 1, 1, 10);

  fixture_upstream (&fixture, 1,
                    (oh_upstream_event_t){ .kind = OH_UPSTREAM_FAILED, .failure = OH_UPSTREAM_BROKEN });
  fixture_wait (&fixture, 400);
  fake_run_t *run = fixture_run (&fixture, 1, &agent);
  g_assert_nonnull (run);
  g_assert_true (run->resume);
  g_assert_cmpuint (run->last_event_id, ==, 509);
  send_items (&fixture, 1, 508, 512);
  g_assert_cmpuint (fixture.next_chunk[1], ==, 12);

  fixture_update_view (&fixture, "upstream-0");
  fixture_wait (&fixture, 60);
  g_assert_null (fixture_run (&fixture, 1, &agent));
  g_assert_true (fixture_pass_state (&fixture, false));
  g_assert_null (fixture_run (&fixture, 1, &agent)); /* nothing runs before the caller uses the token */
  g_assert_true (fixture_pass_reply (&fixture, false));
  fixture.token = fixture.moved;
  fixture_ping (&fixture);
  run = fixture_run (&fixture, 1, &agent);
  g_assert_nonnull (run);
  g_assert_cmpuint (agent->index, !=, 0);
  g_assert_cmpuint (run->last_event_id, ==, 509); /* items 510 and 511 were not acknowledged */
  send_items (&fixture, 1, 510, 515);
  g_assert_cmpuint (fixture.next_chunk[1], ==, 15);

  send_items (&fixture, 1, 516, 517);
  g_assert_cmpint (fixture.outcome[1], ==, OH__RESULT__RESULT_RESUME_MISMATCH);
  fixture_finish (&fixture);
}

/* Guards against transfers that starve, memory that grows with a slow caller, and a changed entity. */
static void
test_transfer (void)
{
  fixture_t fixture;
  fake_agent_t *agent;
  static const uint8_t bytes[70 * 1024];
  uint64_t digest = 0;

  fixture_init (&fixture, 4, 10);
  fixture_update_view (&fixture, NULL);
  fixture_open (&fixture, 0, 1);
  for (uint64_t i = 0; i < 3; i++)
    digest = oh_chunk_digest (digest, bytes, OH_CHUNK_MAX_BYTES);
  for (uint32_t number = 1; number <= 2; number++)
    {
      fixture_send (&fixture, fixture_request (&fixture, number, 1, TRANSFER, 2, 0, 3, digest, 77));
      fixture.next_chunk[number] = 3;
      fixture.digest[number] = digest;
      g_assert_cmpuint (fixture_run (&fixture, number, &agent)->resume_chunk, ==, 3);
      fixture_upstream (
        &fixture, number,
        (oh_upstream_event_t){ .kind = OH_UPSTREAM_STARTED, .started = { .tag = 77, .partial = true } });
      fixture_upstream (&fixture, number,
                        (oh_upstream_event_t){ .kind = OH_UPSTREAM_DATA,
                                               .data = { .bytes = bytes, .length = sizeof bytes } });
    }
  /* The window of each is full, and reading has stopped. */
  g_assert_cmpuint (fixture.next_chunk[1], ==, 3 + 16);
  g_assert_cmpuint (fixture.next_chunk[2], ==, 3 + 16);
  g_assert_true (fixture_run (&fixture, 1, &agent)->paused);
  for (uint64_t next = 19; next <= 51; next += 16)
    fixture_ack (&fixture, 1, 1, next);
  g_assert_false (fixture_run (&fixture, 1, &agent)->paused);
  g_assert_true (fixture_run (&fixture, 2, &agent)->paused);

  /* The upstream has another version of the entity, or starts again at the beginning. */
  for (uint32_t number = 4; number <= 5; number++)
    {
      fixture_send (&fixture, fixture_request (&fixture, number, 1, TRANSFER, 0, 0, 3, digest, 77));
      fixture_upstream (&fixture, number,
                        (oh_upstream_event_t){
                          .kind = OH_UPSTREAM_STARTED,
                          .started = { .tag = number == 4 ? 78 : 77, .partial = number == 4 },
                        });
      g_assert_cmpint (fixture.outcome[number], ==, OH__RESULT__RESULT_RESUME_MISMATCH);
      g_assert_null (fixture_run (&fixture, number, &agent));
    }
  fixture_finish (&fixture);
}

/* Guards against a key rotation that breaks a flow. */
static void
test_token_refresh (void)
{
  fixture_t fixture;

  fixture_init (&fixture, 4, 10);
  fixture_update_view (&fixture, NULL);
  fixture_open (&fixture, 0, 1);
  g_assert_false (fixture.pong_has_token);
  oh_keyring_advance (&fixture.keyring, 2);
  fixture_ping (&fixture);
  g_assert_true (fixture.pong_has_token);
  g_assert_cmpuint (fixture.pong_token.key_generation, ==, 2);
  g_assert_cmpuint (fixture.pong_token.flow_generation, ==, 1);
  fixture.token = fixture.pong_token;
  oh_keyring_advance (&fixture.keyring, 3);
  fixture.n_pongs = 0;
  fixture_ping (&fixture);
  g_assert_cmpuint (fixture.n_pongs, ==, 1);
  fixture_finish (&fixture);
}

/* Guards against packets under a forged token, or of another service, reaching the upstream. */
static void
test_foreign_token (void)
{
  fixture_t fixture;

  fixture_init (&fixture, 4, 10);
  fixture_update_view (&fixture, NULL);
  fixture_open (&fixture, 0, 1);
  const oh_token_t good = fixture.token;

  for (unsigned i = 0; i < 3; i++)
    {
      fixture.token = good;
      if (i == 0)
        fixture.token.mac[3] ^= 1;
      else if (i == 1)
        fixture.token.flow_generation++;
      else
        {
          fixture.token.service = oh_service_id ("plan-fetch");
          oh_token_sign (&fixture.keyring, &fixture.flow, &fixture.token);
        }
      fixture_send (&fixture, fixture_request (&fixture, 1, 1, ONCE, 0, 0, 0, 0, 0));
      g_assert_cmpuint (fixture.runs[1], ==, 0);
    }
  g_assert_cmpuint (oh_counter_get (&fixture.agents[0].core.counters.packets_rejected), ==, 3);
  fixture_finish (&fixture);
}

/* A planned stop: with a peer all flows move and the agent exits; without one it serves until its limit. */
static void
test_stop (void)
{
  static const bool peers[] = { true, false };

  for (size_t i = 0; i < G_N_ELEMENTS (peers); i++)
    {
      fixture_t fixture;
      oh_agent_event_t stop = { .kind = OH_AGENT_EVENT_STOP };

      fixture_init (&fixture, 4, 10);
      if (!peers[i])
        {
          fixture_kill (&fixture, 1);
          fixture_kill (&fixture, 2);
        }
      fixture_update_view (&fixture, NULL);
      fixture_open (&fixture, 0, 1);
      stop.now_us = fixture.now_us;
      oh_agent_core_handle (&fixture.agents[0].core, &stop, &fixture.agents[0].sink);
      fixture_wait (&fixture, 100);
      if (peers[i])
        {
          g_assert_true (fixture_pass_state (&fixture, false));
          g_assert_true (fixture_pass_reply (&fixture, false));
          g_assert_cmpuint (fixture.n_moved, >=, 1);
          fixture_wait (&fixture, 2000);
          fixture_ping (&fixture); /* the caller still uses the old token */
          fixture_wait (&fixture, 2000);
          g_assert_false (fixture.agents[0].exited);
          fixture_wait (&fixture, 1500);
          g_assert_true (fixture.agents[0].exited);
        }
      else
        {
          fixture_send (&fixture, fixture_request (&fixture, 1, 1, ONCE, 0, 0, 0, 0, 0));
          g_assert_cmpuint (fixture.runs[1], ==, 1);
          fixture_wait (&fixture, 29000);
          g_assert_false (fixture.agents[0].exited);
          fixture_wait (&fixture, 1200);
          g_assert_true (fixture.agents[0].exited);
        }
      fixture_finish (&fixture);
    }
}

/* Guards against flows that all go to one peer, or to one that cannot take them. */
static void
test_handover_target (void)
{
  fixture_t fixture;
  unsigned states = 0;

  fixture_init (&fixture, 4, 10);
  fixture_health (&fixture, 2, "meter-stream", OH__UPSTREAM_STATE__UPSTREAM_DRAINING, 1);
  fixture_update_view (&fixture, NULL);
  for (unsigned i = 0; i < 6; i++)
    {
      fixture.flow.bytes[0] = (uint8_t)i;
      fixture_open (&fixture, 0, 1);
    }
  fixture_update_view (&fixture, "upstream-0");
  fixture_wait (&fixture, 60);
  while (fixture_pass_state (&fixture, false))
    states++;
  g_assert_cmpuint (states, ==, 6);
  g_assert_cmpuint (fixture.agents[1].core.flows.n_flows, ==, 6);
  g_assert_cmpuint (fixture.agents[2].core.flows.n_flows, ==, 0);
  fixture_finish (&fixture);

  fixture_init (&fixture, 4, 10);
  fixture_update_view (&fixture, NULL);
  for (unsigned i = 0; i < 6; i++)
    {
      fixture.flow.bytes[0] = (uint8_t)i;
      fixture_open (&fixture, 0, 1);
    }
  fixture_update_view (&fixture, "upstream-0");
  fixture_wait (&fixture, 60);
  while (fixture_pass_state (&fixture, false))
    ;
  g_assert_cmpuint (fixture.agents[1].core.flows.n_flows, ==, 3);
  g_assert_cmpuint (fixture.agents[2].core.flows.n_flows, ==, 3);
  fixture_finish (&fixture);
}

/* Guards against load reports that use up the control traffic of a balancer, 8 KB/s, at the size of a user.
 */
static void
test_report_rate (void)
{
  enum
  {
    MEMBERS = 11,
    SECONDS = 10,
    BUDGET_BYTES_PER_S = 8000,
    UDP_IP_BYTES = 28,
  };
  fixture_t fixture;
  oh_view_member_t other = { .name = (char *)"other" };
  unsigned bytes;

  fixture_init (&fixture, 4, 10);
  fixture_update_view (&fixture, NULL);
  for (unsigned i = FIXTURE_AGENTS; i < MEMBERS; i++)
    g_ptr_array_add (fixture.view.members, &other);
  fixture.agents[0].reports = 0;
  for (unsigned ms = 0; ms < SECONDS * 1000; ms += 10)
    {
      fixture.agents[0].core.report_changed = true;
      fixture_wait (&fixture, 10);
    }
  bytes = fixture.agents[0].reports * (fixture.agents[0].report_bytes + UDP_IP_BYTES);
  g_assert_cmpuint (bytes, >, 0);
  g_assert_cmpuint (bytes * MEMBERS / SECONDS, <=, BUDGET_BYTES_PER_S);
  while (fixture.view.members->len > FIXTURE_AGENTS)
    g_ptr_array_steal_index (fixture.view.members, FIXTURE_AGENTS);
  fixture_finish (&fixture);
}

/* Guards against replies that all go to a balancer that has died. */
static void
test_return_path (void)
{
  oh_flow_t flow = { 0 };
  const oh_address_t caller = { .ipv4 = 1, .port = 1 };

  for (uint16_t port = 1; port <= 5; port++)
    oh_flow_heard (&flow, caller, (oh_address_t){ .ipv4 = 9, .port = port }, port);
  g_assert_cmpuint (flow.n_balancers, ==, 3);
  g_assert_cmpuint (flow.balancers[0].port, ==, 5);
  g_assert_cmpuint (flow.balancers[2].port, ==, 3);
  oh_flow_heard (&flow, caller, (oh_address_t){ .ipv4 = 9, .port = 4 }, 6);
  g_assert_cmpuint (flow.balancers[0].port, ==, 4);
  g_assert_cmpuint (flow.balancers[1].port, ==, 5);
  g_assert_cmpuint (flow.balancers[2].port, ==, 3);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      g_autofree char *path = g_strdup_printf ("/agent/at-most-once/%s", scripts[i].name);

      g_test_add_data_func (path, &scripts[i], run_script);
    }
  g_test_add_func ("/agent/open-refused", test_open_refused);
  g_test_add_func ("/agent/unknown-upstream", test_unknown_upstream);
  g_test_add_func ("/agent/flow-limit", test_flow_limit);
  g_test_add_func ("/agent/window", test_window);
  g_test_add_func ("/agent/deadline", test_deadline);
  g_test_add_func ("/agent/priority", test_priority);
  g_test_add_func ("/agent/crossed-answers", test_crossed_answers);
  g_test_add_func ("/agent/feed", test_feed);
  g_test_add_func ("/agent/transfer", test_transfer);
  g_test_add_func ("/agent/token-refresh", test_token_refresh);
  g_test_add_func ("/agent/foreign-token", test_foreign_token);
  g_test_add_func ("/agent/stop", test_stop);
  g_test_add_func ("/agent/handover-target", test_handover_target);
  g_test_add_func ("/agent/report-rate", test_report_rate);
  g_test_add_func ("/agent/return-path", test_return_path);
  return g_test_run ();
}
