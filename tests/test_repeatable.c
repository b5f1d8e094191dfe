#include <glib.h>
#include <xxhash.h>

#include "agent_fixture.h"
#include "core/caller_core.h"

/* Guards against cores whose output depends on anything but their input and random seed. */

typedef struct
{
  oh_caller_sink_t sink;
  uint64_t digest; /* of all datagrams sent, in order */
  int64_t due_us;
} caller_recorder_t;

static void
record_caller (oh_caller_sink_t *sink, const oh_caller_action_t *action)
{
  caller_recorder_t *recorder = (caller_recorder_t *)sink;

  if (action->kind == OH_CALLER_ACTION_SEND)
    recorder->digest = XXH64 (action->bytes, action->length, recorder->digest);
  if (action->kind == OH_CALLER_ACTION_ARM_TIMER)
    recorder->due_us = action->due_us;
}

static uint64_t
run_caller (uint32_t seed)
{
  caller_recorder_t recorder = { .sink = { .emit = record_caller } };
  oh_caller_core_t core;
  oh_retry_budget_t budget;
  oh_seeded_random_t random;

  oh_seeded_random_init (&random, seed);
  oh_retry_budget_init (&budget);
  oh_caller_core_init (&core, 1, &random.base, &budget);
  oh_caller_core_handle (&core, &(oh_caller_event_t){ .kind = OH_CALLER_EVENT_OPEN }, &recorder.sink);
  for (unsigned i = 0; i < 50 && core.state != OH_CALLER_CLOSED; i++)
    oh_caller_core_handle (&core,
                           &(oh_caller_event_t){ .kind = OH_CALLER_EVENT_TIMER, .now_us = recorder.due_us },
                           &recorder.sink);
  oh_caller_core_finish (&core);
  oh_seeded_random_finish (&random);
  return recorder.digest;
}

static void
test_caller (void)
{
  g_assert_cmpuint (run_caller (1), ==, run_caller (1));
  g_assert_cmpuint (run_caller (1), !=, run_caller (2));
}

static uint64_t
run_agent (size_t answer_length)
{
  fixture_t fixture;
  uint64_t digest;

  fixture_init (&fixture, 4, 10);
  fixture_update_view (&fixture, NULL);
  fixture_open (&fixture, 0, 1);
  fixture_send (&fixture,
                fixture_request (&fixture, 1, 1, OH__REQUEST_KIND__REQUEST_REPEATABLE, 1, 0, 0, 0, 0));
  fixture_answer (&fixture, 1, answer_length);
  fixture_advance (&fixture, 5000); /* retransmissions with jitter */
  digest = fixture.sent_digest;
  fixture_finish (&fixture);
  return digest;
}

static void
test_agent (void)
{
  g_assert_cmpuint (run_agent (3000), ==, run_agent (3000));
  g_assert_cmpuint (run_agent (3000), !=, run_agent (2000));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/repeatable/caller", test_caller);
  g_test_add_func ("/repeatable/agent", test_agent);
  return g_test_run ();
}
