#define OH_LOG_MODULE "test"
#include <glib.h>
#include <string.h>

#include "agent_fixture.h"

#define ONCE OH__REQUEST_KIND__REQUEST_ONCE
#define REPEATABLE OH__REQUEST_KIND__REQUEST_REPEATABLE
#define TRANSFER OH__REQUEST_KIND__REQUEST_TRANSFER
#define FEED OH__REQUEST_KIND__REQUEST_FEED

/*
 * A script is a list of steps, all for request number 1 of kind ONCE:
 *
 *   open=G, offer=G, reopen=G@A   open the flow as generation G; send only the Open; open it at agent A
 *   request                       send the request
 *   duplicate, duplicate-to=A     deliver the first request packet again, to agent 0 or A
 *   duplicate-open                deliver the Open again, to agent 0
 *   cancel, ran=no|yes|unknown    cancel; the upstream reports whether the request ran
 *   answer-starts, answer, shed, wrong-service, deadline, error, disconnect, not-sent
 *                                 what the upstream does with the request
 *   busy, full, free              occupy the slots, or also the queue, with requests 10 and up; answer those
 *   floor=N                       the caller's packets carry the floor N from now on
 *   close, ping, wait=MS          send a Close or a ping; advance the clock
 *   restart, restart=A, kill=A    restart or kill agent 0 or A
 *   drain, drain=A, undrain       an operator drains the upstream of agent 0 or A; no longer drains any
 *   upstream-drains=A             the upstream of agent A reports that it drains
 *   state, drop-state             deliver or drop the pending flow state
 *   save-state, saved-state       save a copy of the pending flow state; deliver the saved copy
 *   reply, drop-reply             deliver or drop the pending reply to a flow state
 *   use-moved                     the caller adopts the token of the last Moved
 *   runs=N, outcome=RESULT, chunks=N, generation=N
 *                                 checks: runs of request 1, its last outcome, chunks received, generation of
 *                                 the caller's token
 *   no-packet, gone, moved, closed, no-state
 *                                 checks: what the agents sent in the last step
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
  { "wrong-service", OH__RESULT__RESULT_WRONG_SERVICE },
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
  GBytes *open;    /* the last Open */
  GBytes *request; /* the first request */
  GBytes *state;   /* saved flow state */
  unsigned state_target;
  unsigned packets; /* this and the next three: counts of the fixture before the last step */
  unsigned gone;
  unsigned moved;
  unsigned closed;
} script_run_t;

static void
fail_request (fixture_t *fixture, oh_upstream_failure_t failure)
{
  fixture_upstream_event (fixture, 1,
                          (oh_upstream_event_t){ .kind = OH_UPSTREAM_FAILED, .failure = failure });
}

/* Sends requests that fill the 2 slots and, with 18 requests, also the queue of 16. */
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
    if (fixture_find_run (fixture, number, &agent) != NULL)
      fixture_answer (fixture, number, 10);
}

static void
report_cancel (fixture_t *fixture, const char *ran_name)
{
  const oh_cancel_result_t ran = ran_name[0] == 'n'   ? OH_CANCEL_RESULT_NOT_RUN
                                 : ran_name[0] == 'y' ? OH_CANCEL_RESULT_RUN
                                                      : OH_CANCEL_RESULT_UNKNOWN;

  fixture_upstream_event (fixture, 1,
                          (oh_upstream_event_t){ .kind = OH_UPSTREAM_CANCEL_RESULT, .cancel_result = ran });
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

/* Runs a step without a value. Returns false if step is not the name of one. */
static bool
run_action (script_run_t *run, const char *step)
{
  static const struct
  {
    const char *name;
    oh_upstream_failure_t failure;
  } failures[] = {
    { "shed", OH_UPSTREAM_SHED },
    { "wrong-service", OH_UPSTREAM_WRONG_SERVICE },
    { "deadline", OH_UPSTREAM_DEADLINE },
    { "error", OH_UPSTREAM_ERROR },
    { "disconnect", OH_UPSTREAM_CONNECTION_LOST },
    { "not-sent", OH_UPSTREAM_NOT_SENT },
  };
  fixture_t *fixture = &run->fixture;

  for (size_t i = 0; i < G_N_ELEMENTS (failures); i++)
    if (strcmp (failures[i].name, step) == 0)
      {
        fail_request (fixture, failures[i].failure);
        return true;
      }
  if (strcmp (step, "request") == 0)
    {
      GBytes *request = fixture_request (fixture, 1, 1, ONCE, 1, 0, 0, 0, 0);

      if (run->request == NULL)
        run->request = g_bytes_ref (request);
      fixture_send (fixture, request);
    }
  else if (strcmp (step, "duplicate") == 0)
    fixture_deliver (fixture, 0, run->request);
  else if (strcmp (step, "duplicate-open") == 0)
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
      fixture_advance (fixture, 60);
    }
  else if (strcmp (step, "save-state") == 0)
    {
      g_clear_pointer (&run->state, g_bytes_unref);
      run->state = fixture_peek_state (fixture, &run->state_target);
    }
  else if (strcmp (step, "saved-state") == 0)
    fixture_deliver_state (fixture, run->state_target, run->state);
  else if (strcmp (step, "answer-starts") == 0)
    fixture_upstream_event (fixture, 1, (oh_upstream_event_t){ .kind = OH_UPSTREAM_STARTED });
  else if (strcmp (step, "undrain") == 0)
    fixture_update_view (fixture, NULL);
  else if (strcmp (step, "restart") == 0)
    fixture_restart (fixture, 0);
  else if (strcmp (step, "state") == 0 || strcmp (step, "drop-state") == 0)
    g_assert_true (fixture_deliver_next_state (fixture, step[0] == 'd'));
  else if (strcmp (step, "reply") == 0 || strcmp (step, "drop-reply") == 0)
    g_assert_true (fixture_deliver_next_reply (fixture, step[0] == 'd'));
  else if (strcmp (step, "use-moved") == 0)
    {
      g_assert_cmpuint (fixture->moved.flow_generation, >, fixture->token.flow_generation);
      fixture->token = fixture->moved;
    }
  else
    return false;
  return true;
}

/* Like run_action, for checks of what the last step caused. */
static bool
run_check (script_run_t *run, const char *step)
{
  const fixture_t *fixture = &run->fixture;

  if (strcmp (step, "no-packet") == 0)
    g_assert_cmpuint (fixture->n_packets, ==, run->packets);
  else if (strcmp (step, "gone") == 0)
    g_assert_cmpuint (fixture->n_gone, >, run->gone);
  else if (strcmp (step, "moved") == 0)
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
      fixture_advance (fixture, 60);
    }
  else if (g_str_has_prefix (step, "restart="))
    {
      fixture_restart (fixture, number);
      fixture_update_view (fixture, "upstream-0");
    }
  else if (g_str_has_prefix (step, "upstream-drains="))
    fixture_report_health (fixture, number, "meter-stream", OH__UPSTREAM_STATE__UPSTREAM_DRAINING, 1);
  else if (g_str_has_prefix (step, "generation="))
    g_assert_cmpuint (fixture->token.flow_generation, ==, number);
  else if (g_str_has_prefix (step, "duplicate-to="))
    fixture_deliver (fixture, number, run->request);
  else if (g_str_has_prefix (step, "ran="))
    report_cancel (fixture, value);
  else if (g_str_has_prefix (step, "floor="))
    fixture->ack_below = number;
  else if (g_str_has_prefix (step, "wait="))
    fixture_advance (fixture, number);
  else if (g_str_has_prefix (step, "kill="))
    {
      fixture_kill (fixture, number);
      fixture_update_view (fixture, "upstream-0");
    }
  else if (g_str_has_prefix (step, "runs="))
    g_assert_cmpuint (fixture->runs[1], ==, number);
  else if (g_str_has_prefix (step, "chunks="))
    g_assert_cmpuint (fixture->next_chunk[1], ==, number);
  else if (g_str_has_prefix (step, "outcome="))
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
      /* The fixture checks at each start of a request that it was not reported as not run. */
      g_assert_cmpuint (run.fixture.runs[1], <=, 1);
      g_assert_false (run.fixture.reported_not_run[1] && run.fixture.runs[1] > 0
                      && run.fixture.outcome[1] == OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
    }
  fixture_finish (&run.fixture);
  g_clear_pointer (&run.open, g_bytes_unref);
  g_clear_pointer (&run.request, g_bytes_unref);
  g_clear_pointer (&run.state, g_bytes_unref);
}

static const script_t scripts[] = {
  /* A duplicate of the request at every stage. */
  { "duplicate-while-queued",
    "open=1 busy request duplicate runs=0 no-packet free runs=1 answer chunks=2 duplicate runs=1" },
  { "duplicate-while-running", "open=1 request duplicate duplicate runs=1 answer chunks=2" },
  { "duplicate-after-answer", "open=1 request answer chunks=2 duplicate runs=1" },
  { "duplicate-below-floor", "open=1 request answer floor=2 ping duplicate runs=1 no-packet" },
  { "duplicate-after-refusal",
    "open=1 full request outcome=overloaded runs=0 free duplicate runs=0 outcome=overloaded" },
  { "duplicate-after-shed", "open=1 request shed outcome=upstream duplicate outcome=upstream runs=1" },
  { "duplicate-after-close", "open=1 request answer close closed duplicate gone runs=1" },
  /* An Open and a request that both arrive after the close must not run the request again. */
  { "duplicate-open-after-close",
    "open=1 request answer close duplicate-open no-packet duplicate gone runs=1" },
  { "duplicate-open-while-owned", "open=1 request duplicate-open duplicate runs=1 answer chunks=2" },
  { "duplicate-close", "open=1 close closed close closed" },
  /* Unused offers expire after 2 s. */
  { "offer-expired", "wait=20 offer=1 wait=2010 ping gone request gone runs=0" },
  { "offer-used-before-expiry", "offer=1 wait=1900 request runs=1" },
  /* Cancellation. */
  { "cancel-before-request",
    "open=1 cancel outcome=cancelled request outcome=cancelled runs=0 duplicate runs=0 outcome=cancelled" },
  { "cancel-queued",
    "open=1 busy request cancel outcome=cancelled free runs=0 duplicate runs=0 outcome=cancelled" },
  { "cancel-running-not-run",
    "open=1 request cancel runs=1 ran=no outcome=cancelled duplicate outcome=cancelled runs=1" },
  { "cancel-running-ran", "open=1 request cancel ran=yes answer chunks=2 outcome=none" },
  { "cancel-running-unknown",
    "open=1 request cancel ran=unknown outcome=unknown duplicate outcome=unknown runs=1" },
  { "cancel-failed-then-not-run", "open=1 request cancel error ran=no outcome=cancelled" },
  { "cancel-failed-then-ran", "open=1 request cancel disconnect ran=yes outcome=unknown" },
  { "cancel-after-answer-started",
    "open=1 request answer-starts cancel ran=no answer chunks=2 outcome=none" },
  { "cancel-after-answer", "open=1 request answer cancel chunks=2 outcome=none" },
  /* Failures at the upstream. */
  { "upstream-sheds", "open=1 request shed outcome=upstream" },
  { "upstream-not-reached", "open=1 request not-sent outcome=upstream" },
  { "upstream-error", "open=1 request error outcome=failed duplicate outcome=failed runs=1" },
  { "upstream-disconnects", "open=1 request disconnect outcome=unknown duplicate outcome=unknown runs=1" },
  { "upstream-deadline", "open=1 request deadline outcome=deadline duplicate runs=1" },
  { "upstream-wrong-service",
    "open=1 request wrong-service outcome=wrong-service duplicate outcome=wrong-service runs=1" },
  /* Restart: the new incarnation has no state of the old one and runs none of its requests. */
  { "restart-running", "open=1 request restart duplicate gone runs=1" },
  { "restart-before-request", "open=1 restart request gone runs=0" },
  { "restart-duplicate-open", "open=1 request restart duplicate-open duplicate gone runs=1" },
  { "reopen-same-agent", "open=1 request reopen=2@0 duplicate no-packet runs=1" },
  { "reopen-other-agent",
    "open=1 request disconnect reopen=2@1 duplicate-to=0 runs=1 duplicate-to=1 gone runs=1" },
  /* Handover. */
  { "handover",
    "open=1 request answer drain state reply moved use-moved ping duplicate-to=0 moved duplicate-to=1 "
    "gone runs=1 request runs=1 chunks=2" },
  { "handover-refused-request",
    "open=1 full request outcome=overloaded free drain state reply use-moved request outcome=overloaded "
    "runs=0" },
  { "handover-cancelled-request",
    "open=1 cancel drain state reply use-moved request outcome=cancelled runs=0" },
  { "handover-waits-for-running",
    "open=1 request drain no-state wait=1000 no-state answer wait=60 state reply use-moved request runs=1 "
    "chunks=2" },
  { "handover-frozen",
    "open=1 busy drain request no-packet runs=0 free wait=60 state request no-packet runs=0 reply "
    "use-moved request runs=1 answer chunks=2" },
  { "handover-queued",
    "open=1 busy request drain no-packet free runs=0 wait=60 state reply use-moved request runs=1 "
    "duplicate-to=0 moved runs=1" },
  { "handover-reply-lost",
    "open=1 drain state drop-reply request no-packet runs=0 wait=600 state reply use-moved request runs=1 "
    "duplicate-to=0 moved runs=1" },
  { "handover-state-lost",
    "open=1 drain drop-state request no-packet runs=0 wait=600 state reply use-moved request runs=1" },
  { "handover-target-killed",
    "open=1 drain drop-state kill=1 wait=100 state reply moved use-moved request runs=1" },
  { "handover-target-killed-after-state",
    "open=1 drain state drop-reply kill=1 wait=100 state reply use-moved request runs=1 answer chunks=2" },
  { "handover-source-killed",
    "open=1 request answer drain state kill=0 reopen=3@2 duplicate-to=1 gone runs=1" },
  { "handover-undrained-before-state", "open=1 busy drain undrain request runs=0 free runs=1" },
  { "handover-undrained-after-state",
    "open=1 drain state drop-reply undrain request no-packet runs=0 duplicate no-packet runs=0" },
  { "handover-cancel-after-state",
    "open=1 drain state cancel no-packet outcome=none reply use-moved request runs=1" },
  { "handover-close-after-state", "open=1 drain state close no-packet reply moved use-moved close closed" },
  { "handover-target-generation",
    "open=1 drain state drop-reply kill=1 wait=100 state reply use-moved generation=3" },
  { "handover-target-restarted",
    "open=1 drain drop-state restart=1 wait=100 state reply moved use-moved request runs=1" },
  { "handover-floor",
    "open=1 request answer floor=2 ping drain state reply floor=0 use-moved request runs=1 no-packet" },
  { "handover-delayed-state",
    "open=1 drain save-state state reply use-moved request answer runs=1 drain=1 state reply use-moved "
    "ping undrain saved-state duplicate-to=1 moved runs=1" },
  { "handover-delayed-state-closed",
    "open=1 drain save-state state reply use-moved request answer close closed saved-state duplicate-to=1 "
    "gone runs=1" },
  { "handover-delayed-state-owned",
    "open=1 drain save-state state reply use-moved request answer saved-state drop-reply duplicate-to=1 "
    "runs=1" },
  { "handover-delayed-state-restarted",
    "open=1 drain save-state state reply use-moved request answer runs=1 restart=1 saved-state drain=1 "
    "no-state" },
  { "handover-target-refuses",
    "open=1 drain save-state drop-state upstream-drains=1 saved-state reply wait=600 state reply "
    "use-moved generation=3 request runs=1" },
  /* Duplicates that arrive after the record of the closed flow has expired. */
  { "duplicate-after-closed-record-expired",
    "open=1 request answer floor=2 close closed wait=130000 duplicate-open duplicate gone runs=1" },
  { "handover-back",
    "open=1 request answer drain state reply use-moved ping undrain duplicate-to=0 moved runs=1" },
};

/* Guards against an Open that is accepted, or dropped without a reason, while the upstream drains or belongs
 * to another service. */
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
  g_assert_cmpint (fixture.open_refusal, ==, OH__RESULT__RESULT_NOT_RUN_DRAINING);
  g_assert_false (fixture.has_token);

  fixture_report_health (&fixture, 1, "meter-stream", OH__UPSTREAM_STATE__UPSTREAM_DRAINING, 1);
  fixture.open_refusal = OH__RESULT__RESULT_NONE;
  fixture_deliver (&fixture, 1, open);
  g_assert_cmpint (fixture.open_refusal, ==, OH__RESULT__RESULT_NOT_RUN_DRAINING);

  /* Another service answers at the upstream's address. */
  fixture_report_health (&fixture, 2, "plan-fetch", OH__UPSTREAM_STATE__UPSTREAM_READY, 1);
  fixture_deliver (&fixture, 2, open);
  g_assert_cmpint (fixture.open_refusal, ==, OH__RESULT__RESULT_WRONG_SERVICE);
  g_assert_false (fixture.has_token);
  fixture_finish (&fixture);
}

/* Guards against an Open that is accepted in a drained zone, an open flow that ends or moves because of the
 * order, and Opens that are refused after its end. */
static void
test_zone_drained (void)
{
  fixture_t fixture;
  g_autoptr (GBytes) open = NULL;
  fake_agent_t *agent;
  Oh__Load load;
  Oh__Address address;

  fixture_init (&fixture, 4, 2);
  fixture_update_view (&fixture, NULL);
  fixture_open (&fixture, 0, 1);
  fixture_update_view_with_zone (&fixture, NULL, true);
  open = fixture_open_packet (&fixture, 1);
  fixture_deliver (&fixture, 1, open);
  g_assert_cmpint (fixture.open_refusal, ==, OH__RESULT__RESULT_NOT_RUN_DRAINING);
  oh_agent_core_load (&fixture.agents[1].core, fixture.now_us, &load, &address);
  g_assert_cmpint (load.state, ==, OH__UPSTREAM_STATE__UPSTREAM_DRAINING);

  fixture_advance (&fixture, 1000);
  g_assert_false (fixture_deliver_next_state (&fixture, false));
  fixture_send (&fixture, fixture_request (&fixture, 1, 1, OH__REQUEST_KIND__REQUEST_ONCE, 1, 5000, 0, 0, 0));
  g_assert_nonnull (fixture_find_run (&fixture, 1, &agent));

  fixture_update_view (&fixture, NULL);
  fixture.open_refusal = OH__RESULT__RESULT_NONE;
  fixture_deliver (&fixture, 1, open);
  g_assert_cmpint (fixture.open_refusal, ==, OH__RESULT__RESULT_NONE);
  fixture_finish (&fixture);
}

/* Guards against accepting flows for an upstream whose service has not been checked. */
static void
test_unknown_upstream (void)
{
  fixture_t fixture;
  g_autoptr (GBytes) open = NULL;

  fixture_init (&fixture, 4, 2);
  fixture_update_view (&fixture, NULL);
  fixture.agents[0].core.health.answered = false;
  open = fixture_open_packet (&fixture, 1);
  fixture_deliver (&fixture, 0, open);
  g_assert_cmpint (fixture.open_refusal, ==, OH__RESULT__RESULT_NO_UPSTREAM);
  g_assert_cmpuint (fixture.agents[0].load.slots, ==, 0);
  fixture_finish (&fixture);
}

/* Guards against a flow table that grows without bound, and against an unused offer that keeps its place. */
static void
test_flow_limit (void)
{
  fixture_t fixture;

  fixture_init (&fixture, 4, 3);
  fixture_update_view (&fixture, NULL);
  for (unsigned i = 0; i < 5; i++)
    {
      fixture.flow.bytes[0] = (uint8_t)i;
      fixture.open_refusal = OH__RESULT__RESULT_NONE;
      g_autoptr (GBytes) open = fixture_open_packet (&fixture, 1);
      fixture_deliver (&fixture, 0, open);
      g_assert_cmpint (fixture.open_refusal, ==,
                       i < 3 ? OH__RESULT__RESULT_NONE : OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
    }
  g_assert_cmpuint (fixture.agents[0].load.queued, ==, 3);
  fixture_advance (&fixture, 2300);
  fixture.open_refusal = OH__RESULT__RESULT_NONE;
  fixture_open (&fixture, 0, 1);
  g_assert_cmpint (fixture.open_refusal, ==, OH__RESULT__RESULT_NONE);
  fixture_finish (&fixture);
}

/* Guards against forgetting a number within the window, and against running numbers outside of it, for which
 * duplicates could not be detected. */
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
  /* Duplicates of all of them while the window is full. */
  for (uint32_t number = 0; number < OH_REQUEST_WINDOW; number++)
    fixture_send (&fixture, fixture_request (&fixture, number, 1, ONCE, 0, 0, 0, 0, 0));
  for (uint32_t number = 0; number < OH_REQUEST_WINDOW; number++)
    g_assert_cmpuint (fixture.runs[number], ==, 1);
  /* A delayed packet with an old floor does not lower the floor. */
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
  fixture_advance (&fixture, 150);
  g_assert_cmpint (fixture.outcome[2], ==, OH__RESULT__RESULT_NOT_RUN_DEADLINE);
  fixture_answer (&fixture, 1, 1);
  fixture_advance (&fixture, 50);
  g_assert_cmpuint (fixture.runs[2], ==, 0);
  fixture_send (&fixture, fixture_request (&fixture, 2, 1, ONCE, 0, 100, 0, 0, 0));
  g_assert_cmpuint (fixture.runs[2], ==, 0);
  fixture_finish (&fixture);
}

/* Guards against a request of class 0 (a valve command) that is refused, or waits, because requests of lower
 * classes occupy the queue and the slots. */
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

/* Guards against data that ends up in the answer to another request, and against lost chunks, when several
 * answers are sent at once. */
static void
test_interleaved_answers (void)
{
  fixture_t fixture;

  fixture_init (&fixture, 4, 10);
  fixture_update_view (&fixture, NULL);
  fixture_open (&fixture, 0, 1);
  for (uint32_t number = 1; number <= 3; number++)
    fixture_send (&fixture, fixture_request (&fixture, number, 1, REPEATABLE, 0, 0, 0, 0, 0));
  for (uint32_t number = 3; number >= 1; number--)
    fixture_upstream_event (&fixture, number, (oh_upstream_event_t){ .kind = OH_UPSTREAM_STARTED });
  for (unsigned part = 0; part < 6; part++)
    for (uint32_t number = 3; number >= 1; number--)
      {
        uint8_t bytes[700];

        memset (bytes, (int)number, sizeof bytes);
        fixture_upstream_event (&fixture, number,
                                (oh_upstream_event_t){ .kind = OH_UPSTREAM_DATA,
                                                       .data = { .bytes = bytes, .length = sizeof bytes } });
      }
  for (uint32_t number = 3; number >= 1; number--)
    {
      uint8_t expected[4200];
      uint64_t digest = 0;

      fixture_upstream_event (&fixture, number, (oh_upstream_event_t){ .kind = OH_UPSTREAM_END });
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
      fixture_upstream_event (
        fixture, number,
        (oh_upstream_event_t){ .kind = OH_UPSTREAM_ITEM,
                               .data
                               = { .bytes = (const uint8_t *)text, .length = strlen (text), .item = item } });
    }
}

/* Guards against a feed that loses an item in a retransmission, with the upstream connection, in a handover,
 * or to a gap in the upstream's items. */
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
  fixture_upstream_event (&fixture, 1, (oh_upstream_event_t){ .kind = OH_UPSTREAM_STARTED });
  send_items (&fixture, 1, 500, 510);
  g_assert_cmpuint (fixture.next_chunk[1], ==, 10);
  fixture_ack (&fixture, 1, 1, 4);
  /* The caller lost chunks 4 to 9. */
  fixture.next_chunk[1] = 4;
  fixture.digest[1] = 0;
  oh_list_foreach (&fixture.agents[0].core.flows.flows, link)
    fixture.digest[1] = oh_flow_find_entry (oh_list_entry (link, oh_flow_t, link), 1)->stream.acked_digest;
  fixture_advance (&fixture, 400);
  g_assert_cmpuint (fixture.next_chunk[1], ==, 10);
  fixture_ack (&fixture, 1, 1, 10);

  fixture_upstream_event (
    &fixture, 1, (oh_upstream_event_t){ .kind = OH_UPSTREAM_FAILED, .failure = OH_UPSTREAM_CONNECTION_LOST });
  fixture_advance (&fixture, 400);
  fake_run_t *run = fixture_find_run (&fixture, 1, &agent);
  g_assert_nonnull (run);
  g_assert_true (run->resume);
  g_assert_cmpuint (run->last_event_id, ==, 509);
  send_items (&fixture, 1, 508, 512);
  g_assert_cmpuint (fixture.next_chunk[1], ==, 12);

  fixture_update_view (&fixture, "upstream-0");
  fixture_advance (&fixture, 60);
  g_assert_null (fixture_find_run (&fixture, 1, &agent));
  g_assert_true (fixture_deliver_next_state (&fixture, false));
  g_assert_null (fixture_find_run (&fixture, 1, &agent)); /* nothing runs before the caller uses the token */
  g_assert_true (fixture_deliver_next_reply (&fixture, false));
  fixture.token = fixture.moved;
  fixture_ping (&fixture);
  run = fixture_find_run (&fixture, 1, &agent);
  g_assert_nonnull (run);
  g_assert_cmpuint (agent->index, !=, 0);
  g_assert_cmpuint (run->last_event_id, ==, 509); /* items 510 and 511 were not acknowledged */
  send_items (&fixture, 1, 510, 515);
  g_assert_cmpuint (fixture.next_chunk[1], ==, 15);

  send_items (&fixture, 1, 516, 517);
  g_assert_cmpint (fixture.outcome[1], ==, OH__RESULT__RESULT_RESUME_MISMATCH);
  fixture_finish (&fixture);
}

/* Guards against a transfer that starves another, against buffering without bound for a slow caller, and
 * against resuming a transfer of an entity that has changed. */
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
      g_assert_cmpuint (fixture_find_run (&fixture, number, &agent)->resume_chunk, ==, 3);
      fixture_upstream_event (
        &fixture, number,
        (oh_upstream_event_t){ .kind = OH_UPSTREAM_STARTED, .started = { .tag = 77, .partial = true } });
      fixture_upstream_event (&fixture, number,
                              (oh_upstream_event_t){ .kind = OH_UPSTREAM_DATA,
                                                     .data = { .bytes = bytes, .length = sizeof bytes } });
    }
  /* The window of each is full, and reading from the upstream is paused. */
  g_assert_cmpuint (fixture.next_chunk[1], ==, 3 + 16);
  g_assert_cmpuint (fixture.next_chunk[2], ==, 3 + 16);
  g_assert_true (fixture_find_run (&fixture, 1, &agent)->paused);
  for (uint64_t next = 19; next <= 51; next += 16)
    fixture_ack (&fixture, 1, 1, next);
  g_assert_false (fixture_find_run (&fixture, 1, &agent)->paused);
  g_assert_true (fixture_find_run (&fixture, 2, &agent)->paused);

  /* The upstream has another version of the entity, or its answer starts at the beginning. */
  for (uint32_t number = 4; number <= 5; number++)
    {
      fixture_send (&fixture, fixture_request (&fixture, number, 1, TRANSFER, 0, 0, 3, digest, 77));
      fixture_upstream_event (&fixture, number,
                              (oh_upstream_event_t){
                                .kind = OH_UPSTREAM_STARTED,
                                .started = { .tag = number == 4 ? 78 : 77, .partial = number == 4 },
                              });
      g_assert_cmpint (fixture.outcome[number], ==, OH__RESULT__RESULT_RESUME_MISMATCH);
      g_assert_null (fixture_find_run (&fixture, number, &agent));
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

/* Guards against running requests that carry a forged token or the token of another service. */
static void
test_invalid_token (void)
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

/* Guards against a planned stop that loses flows or does not end: with a peer the agent hands over its flows
 * and exits, without one it serves until the drain limit. */
static void
test_stop (void)
{
  static const bool has_peers[] = { true, false };

  for (size_t i = 0; i < G_N_ELEMENTS (has_peers); i++)
    {
      fixture_t fixture;
      oh_agent_event_t stop = { .kind = OH_AGENT_EVENT_STOP };

      fixture_init (&fixture, 4, 10);
      if (!has_peers[i])
        {
          fixture_kill (&fixture, 1);
          fixture_kill (&fixture, 2);
        }
      fixture_update_view (&fixture, NULL);
      fixture_open (&fixture, 0, 1);
      stop.now_us = fixture.now_us;
      oh_agent_core_handle (&fixture.agents[0].core, &stop, &fixture.agents[0].sink);
      fixture_advance (&fixture, 100);
      if (has_peers[i])
        {
          g_assert_true (fixture_deliver_next_state (&fixture, false));
          g_assert_true (fixture_deliver_next_reply (&fixture, false));
          g_assert_cmpuint (fixture.n_moved, >=, 1);
          fixture_advance (&fixture, 2000);
          fixture_ping (&fixture); /* the caller still uses the old token */
          fixture_advance (&fixture, 2000);
          g_assert_false (fixture.agents[0].exited);
          fixture_advance (&fixture, 1500);
          g_assert_true (fixture.agents[0].exited);
        }
      else
        {
          fixture_send (&fixture, fixture_request (&fixture, 1, 1, ONCE, 0, 0, 0, 0, 0));
          g_assert_cmpuint (fixture.runs[1], ==, 1);
          fixture_advance (&fixture, 29000);
          g_assert_false (fixture.agents[0].exited);
          fixture_advance (&fixture, 1200);
          g_assert_true (fixture.agents[0].exited);
        }
      fixture_finish (&fixture);
    }
}

/* Guards against handing over all flows to one of several peers, or any to a peer that drains. */
static void
test_handover_target (void)
{
  fixture_t fixture;
  unsigned states = 0;

  fixture_init (&fixture, 4, 10);
  fixture_report_health (&fixture, 2, "meter-stream", OH__UPSTREAM_STATE__UPSTREAM_DRAINING, 1);
  fixture_update_view (&fixture, NULL);
  for (unsigned i = 0; i < 6; i++)
    {
      fixture.flow.bytes[0] = (uint8_t)i;
      fixture_open (&fixture, 0, 1);
    }
  fixture_update_view (&fixture, "upstream-0");
  fixture_advance (&fixture, 60);
  while (fixture_deliver_next_state (&fixture, false))
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
  fixture_advance (&fixture, 60);
  while (fixture_deliver_next_state (&fixture, false))
    ;
  g_assert_cmpuint (fixture.agents[1].core.flows.n_flows, ==, 3);
  g_assert_cmpuint (fixture.agents[2].core.flows.n_flows, ==, 3);
  fixture_finish (&fixture);
}

/* Guards against load reports that exceed the control traffic allowed per balancer, 8 KB/s, in an
 * installation of realistic size. */
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
      fixture.agents[0].core.load_changed = true;
      fixture_advance (&fixture, 10);
    }
  bytes = fixture.agents[0].reports * (fixture.agents[0].report_bytes + UDP_IP_BYTES);
  g_assert_cmpuint (bytes, >, 0);
  g_assert_cmpuint (bytes * MEMBERS / SECONDS, <=, BUDGET_BYTES_PER_S);
  while (fixture.view.members->len > FIXTURE_AGENTS)
    g_ptr_array_steal_index (fixture.view.members, FIXTURE_AGENTS);
  fixture_finish (&fixture);
}

/* Guards against a return path that leads only through a failed balancer. */
static void
test_return_path (void)
{
  oh_flow_t flow = { 0 };
  const oh_address_t caller = { .ipv4 = 1, .port = 1 };

  for (uint16_t port = 1; port <= 5; port++)
    oh_flow_record_path (&flow, caller, (oh_address_t){ .ipv4 = 9, .port = port }, port);
  g_assert_cmpuint (flow.n_balancers, ==, 3);
  g_assert_cmpuint (flow.balancers[0].port, ==, 5);
  g_assert_cmpuint (flow.balancers[2].port, ==, 3);
  oh_flow_record_path (&flow, caller, (oh_address_t){ .ipv4 = 9, .port = 4 }, 6);
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
  g_test_add_func ("/agent/zone-drained", test_zone_drained);
  g_test_add_func ("/agent/unknown-upstream", test_unknown_upstream);
  g_test_add_func ("/agent/flow-limit", test_flow_limit);
  g_test_add_func ("/agent/window", test_window);
  g_test_add_func ("/agent/deadline", test_deadline);
  g_test_add_func ("/agent/priority", test_priority);
  g_test_add_func ("/agent/interleaved-answers", test_interleaved_answers);
  g_test_add_func ("/agent/feed", test_feed);
  g_test_add_func ("/agent/transfer", test_transfer);
  g_test_add_func ("/agent/token-refresh", test_token_refresh);
  g_test_add_func ("/agent/invalid-token", test_invalid_token);
  g_test_add_func ("/agent/stop", test_stop);
  g_test_add_func ("/agent/handover-target", test_handover_target);
  g_test_add_func ("/agent/report-rate", test_report_rate);
  g_test_add_func ("/agent/return-path", test_return_path);
  return g_test_run ();
}
