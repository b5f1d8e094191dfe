#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/seeded_random.h"
#include "core/caller_core.h"
#include "core/caller_outcome.h"

enum
{
  SECOND_US = 1000 * 1000,
};

/* A flow with a virtual clock. Each packet that it sends and each action that it reports is recorded as one
 * line of text. */
typedef struct
{
  oh_caller_sink_t sink;
  oh_caller_core_t core;
  oh_seeded_random_t random;
  oh_retry_budget_t budget;
  int64_t now_us;
  int64_t due_us;
  GPtrArray *lines;
} fixture_t;

static char *
describe_packet (const uint8_t *bytes, size_t length)
{
  g_autofree oh_arena_t *arena = g_new (oh_arena_t, 1);
  const Oh__Packet *packet;

  oh_arena_init (arena);
  packet = oh_packet_decode (arena, bytes, length, NULL);
  g_assert_nonnull (packet);
  switch (packet->body_case)
    {
    case OH__PACKET__BODY_OPEN:
      return g_strdup_printf ("open generation=%u attempt=%u", packet->open->flow_generation,
                              packet->open->attempt);
    case OH__PACKET__BODY_REQUEST:
      return g_strdup_printf ("request number=%u attempt=%u from=%u agent=%u below=%u",
                              packet->request->number, packet->request->attempt,
                              (unsigned)packet->request->resume_from, packet->token->agent->port,
                              packet->ack_below);
    case OH__PACKET__BODY_CHUNK_ACK:
      return g_strdup_printf ("ack number=%u next=%u", packet->chunk_ack->number,
                              (unsigned)packet->chunk_ack->next);
    case OH__PACKET__BODY_CANCEL:
      return g_strdup_printf ("cancel number=%u", packet->cancel->number);
    case OH__PACKET__BODY_PING:
      return g_strdup ("ping");
    case OH__PACKET__BODY_CLOSE:
      return g_strdup ("close");
    default:
      g_assert_not_reached ();
    }
}

static void
record (oh_caller_sink_t *sink, const oh_caller_action_t *action)
{
  fixture_t *fixture = (fixture_t *)sink;
  char *line = NULL;

  switch (action->kind)
    {
    case OH_CALLER_ACTION_SEND:
      line = describe_packet (action->bytes, action->length);
      break;
    case OH_CALLER_ACTION_ARM_TIMER:
      fixture->due_us = action->due_us;
      return;
    case OH_CALLER_ACTION_REPLACE_PATH:
      line = g_strdup ("replace-path");
      break;
    case OH_CALLER_ACTION_OPENED:
      line = g_strdup_printf ("opened generation=%u", action->generation);
      break;
    case OH_CALLER_ACTION_DATA:
      line = g_strdup_printf ("data id=%u %.*s", (unsigned)action->id, (int)action->length,
                              (const char *)action->bytes);
      break;
    case OH_CALLER_ACTION_RESTART:
      line = g_strdup_printf ("restart id=%u", (unsigned)action->id);
      break;
    case OH_CALLER_ACTION_RENUMBERED:
      line = g_strdup_printf ("renumbered id=%u number=%u %s", (unsigned)action->id, action->number,
                              oh_result_name (action->result));
      break;
    case OH_CALLER_ACTION_DONE:
      line = g_strdup_printf ("done id=%u number=%u %s", (unsigned)action->id, action->number,
                              oh_result_name (action->result));
      break;
    case OH_CALLER_ACTION_OPEN_FAILED:
      line = g_strdup_printf ("open-failed %s", oh_result_name (action->result));
      break;
    case OH_CALLER_ACTION_CLOSED:
      line = g_strdup ("closed");
      break;
    }
  g_ptr_array_add (fixture->lines, line);
}

static void
handle (fixture_t *fixture, oh_caller_event_t event)
{
  event.now_us = fixture->now_us;
  oh_caller_core_handle (&fixture->core, &event, &fixture->sink);
}

/* Runs timers until the given virtual duration has passed. */
static void
advance (fixture_t *fixture, int64_t duration_us)
{
  const int64_t end_us = fixture->now_us + duration_us;

  while (fixture->due_us != 0 && fixture->due_us <= end_us)
    {
      fixture->now_us = MAX (fixture->now_us, fixture->due_us);
      fixture->due_us = 0;
      handle (fixture, (oh_caller_event_t){ .kind = OH_CALLER_EVENT_TIMER });
    }
  fixture->now_us = end_us;
}

static unsigned
count (const fixture_t *fixture, const char *prefix)
{
  unsigned n = 0;

  for (guint i = 0; i < fixture->lines->len; i++)
    n += g_str_has_prefix (g_ptr_array_index (fixture->lines, i), prefix) ? 1 : 0;
  return n;
}

static void
assert_count (const fixture_t *fixture, const char *prefix, unsigned expected)
{
  const unsigned n = count (fixture, prefix);

  if (n == expected)
    return;
  for (guint i = 0; i < fixture->lines->len; i++)
    g_printerr ("%s\n", (const char *)g_ptr_array_index (fixture->lines, i));
  g_error ("%u lines start with \"%s\", expected %u", n, prefix, expected);
}

static void
clear (fixture_t *fixture)
{
  g_ptr_array_set_size (fixture->lines, 0);
}

static void
receive_of_service (fixture_t *fixture, Oh__Packet *packet, uint64_t service)
{
  packet->flow.data = fixture->core.flow.bytes;
  packet->flow.len = OH_FLOW_ID_BYTES;
  packet->service = service;
  handle (fixture, (oh_caller_event_t){ .kind = OH_CALLER_EVENT_PACKET, .packet = packet });
}

static void
receive (fixture_t *fixture, Oh__Packet *packet)
{
  receive_of_service (fixture, packet, fixture->core.service);
}

/* agent is the port and the incarnation of the agent. */
static void
receive_token (fixture_t *fixture, bool moved, unsigned agent, unsigned generation)
{
  static uint8_t mac[OH_MAC_BYTES];
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__OpenReply reply = OH__OPEN_REPLY__INIT;
  Oh__Moved move = OH__MOVED__INIT;
  Oh__Address address = OH__ADDRESS__INIT;
  Oh__Token token = OH__TOKEN__INIT;

  address.port = agent;
  token.agent = &address;
  token.service = fixture->core.service;
  token.incarnation = agent;
  token.flow_generation = generation;
  token.mac.data = mac;
  token.mac.len = sizeof mac;
  reply.token = &token;
  move.token = &token;
  packet.body_case = moved ? OH__PACKET__BODY_MOVED : OH__PACKET__BODY_OPEN_REPLY;
  if (moved)
    packet.moved = &move;
  else
    packet.open_reply = &reply;
  receive (fixture, &packet);
}

static void
receive_refusal (fixture_t *fixture, Oh__Result result, unsigned attempt)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__OpenReply reply = OH__OPEN_REPLY__INIT;

  reply.refused = result;
  reply.attempt = attempt;
  packet.body_case = OH__PACKET__BODY_OPEN_REPLY;
  packet.open_reply = &reply;
  receive (fixture, &packet);
}

/* The chunk with sequence n contains the letter 'a' + n % 26. */
static void
receive_chunk (fixture_t *fixture, unsigned number, unsigned attempt, unsigned sequence, bool last)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Chunk chunk = OH__CHUNK__INIT;
  uint64_t digest = 0;
  uint8_t letter = 0;

  for (unsigned i = 0; i <= sequence; i++)
    {
      letter = (uint8_t)('a' + i % 26);
      digest = oh_chunk_digest (digest, &letter, 1);
    }
  chunk.number = number;
  chunk.attempt = attempt;
  chunk.sequence = sequence;
  chunk.data.data = &letter;
  chunk.data.len = 1;
  chunk.digest = digest;
  chunk.last = last;
  chunk.total_length = last ? sequence + 1 : 0;
  packet.body_case = OH__PACKET__BODY_CHUNK;
  packet.chunk = &chunk;
  receive (fixture, &packet);
}

static void
receive_outcome (fixture_t *fixture, unsigned number, unsigned attempt, Oh__Result result)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Outcome outcome = OH__OUTCOME__INIT;

  outcome.number = number;
  outcome.attempt = attempt;
  outcome.result = result;
  packet.body_case = OH__PACKET__BODY_OUTCOME;
  packet.outcome = &outcome;
  receive (fixture, &packet);
}

static void
receive_gone_of_service (fixture_t *fixture, unsigned agent, uint64_t service)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Gone gone = OH__GONE__INIT;

  gone.incarnation = agent;
  packet.body_case = OH__PACKET__BODY_GONE;
  packet.gone = &gone;
  receive_of_service (fixture, &packet, service);
}

static void
receive_gone (fixture_t *fixture, unsigned agent)
{
  receive_gone_of_service (fixture, agent, fixture->core.service);
}

static void
receive_pong (fixture_t *fixture)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Pong pong = OH__PONG__INIT;

  pong.sequence = fixture->core.ping_sequence;
  packet.body_case = OH__PACKET__BODY_PONG;
  packet.pong = &pong;
  receive (fixture, &packet);
}

static void
request (fixture_t *fixture, unsigned id, Oh__RequestKind kind, int64_t deadline_us)
{
  handle (fixture, (oh_caller_event_t){
                     .kind = OH_CALLER_EVENT_REQUEST,
                     .request = { .id = id, .kind = kind, .priority = 1, .deadline_us = deadline_us },
                   });
}

static void
cancel (fixture_t *fixture, unsigned id)
{
  handle (fixture, (oh_caller_event_t){ .kind = OH_CALLER_EVENT_CANCEL, .cancel_id = id });
}

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  fixture->sink.emit = record;
  fixture->now_us = SECOND_US;
  fixture->lines = g_ptr_array_new_with_free_func (g_free);
  oh_seeded_random_init (&fixture->random, 1);
  oh_retry_budget_init (&fixture->budget);
  oh_caller_core_init (&fixture->core, 42, &fixture->random.base, &fixture->budget);
  handle (fixture, (oh_caller_event_t){ .kind = OH_CALLER_EVENT_OPEN });
}

/* As set_up, with the flow open at agent 1. */
static void
set_up_open (fixture_t *fixture, gconstpointer data)
{
  set_up (fixture, data);
  receive_token (fixture, false, 1, 1);
  clear (fixture);
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  oh_caller_core_finish (&fixture->core);
  oh_seeded_random_finish (&fixture->random);
  g_ptr_array_unref (fixture->lines);
}

/* Guards against a flow with two owners when retransmissions of an Open reach several agents. */
static void
test_first_token_wins (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  advance (fixture, SECOND_US);
  g_assert_cmpuint (count (fixture, "open generation=1 attempt=1"), >=, 2);
  assert_count (fixture, "request", 0);
  receive_token (fixture, false, 3, 2); /* of another generation */
  assert_count (fixture, "opened", 0);
  receive_token (fixture, false, 1, 1);
  receive_token (fixture, false, 2, 1);
  assert_count (fixture, "opened", 1);
  assert_count (fixture, "request number=1 attempt=1 from=0 agent=1", 1);
  advance (fixture, SECOND_US);
  assert_count (fixture, "request number=1 attempt=1 from=0 agent=2", 0);
}

/* Guards against refusals of an earlier attempt counting for the current one, and against an opening that
 * never ends. */
static void
test_open_refusals (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  receive_refusal (fixture, OH__RESULT__RESULT_NO_CONFIRMED_VIEW, 1);
  receive_refusal (fixture, OH__RESULT__RESULT_NO_UPSTREAM, 1);
  g_assert_cmpuint (fixture->core.open_attempt, ==, 2);
  advance (fixture, 11 * SECOND_US);
  assert_count (fixture, "done id=1 number=0 no_confirmed_view", 1);
  assert_count (fixture, "open-failed no_confirmed_view", 1);
}

/* Guards against waiting for a service whose dependency is unavailable instead of reporting it at once. */
static void
test_dependency_refusal (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  receive_refusal (fixture, OH__RESULT__RESULT_DEPENDENCY_UNAVAILABLE, 1);
  assert_count (fixture, "done id=1 number=0 dependency_unavailable", 1);
}

/* Guards against a request that is not retransmitted, and against accepting chunks of other requests and
 * attempts. */
static void
test_answer (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  advance (fixture, SECOND_US);
  g_assert_cmpuint (count (fixture, "request number=1"), >=, 2);
  receive_chunk (fixture, 9, 1, 0, true);
  receive_chunk (fixture, 1, 2, 0, true);
  receive_chunk (fixture, 1, 1, 1, true);
  assert_count (fixture, "data", 0);
  receive_chunk (fixture, 1, 1, 0, false);
  receive_chunk (fixture, 1, 1, 0, false);
  receive_chunk (fixture, 1, 1, 1, true);
  assert_count (fixture, "data id=1 ab", 1);
  assert_count (fixture, "done id=1 number=1 none", 1);
  clear (fixture);
  request (fixture, 2, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  assert_count (fixture, "request number=2 attempt=1 from=0 agent=1 below=2", 1);
}

/* Guards against a second run of a request whose owner is gone, and against losing a repeatable one. */
static void
test_gone (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  request (fixture, 2, OH__REQUEST_KIND__REQUEST_REPEATABLE, 0);
  request (fixture, 3, OH__REQUEST_KIND__REQUEST_FEED, 0);
  receive_chunk (fixture, 3, 1, 0, false);
  receive_chunk (fixture, 3, 1, 2, false);
  clear (fixture);
  receive_gone (fixture, 7); /* another incarnation */
  assert_count (fixture, "done", 0);
  receive_gone (fixture, 1);
  assert_count (fixture, "done id=1 number=1 unknown", 1);
  assert_count (fixture, "done", 1);
  assert_count (fixture, "open generation=2", 1);
  request (fixture, 4, OH__REQUEST_KIND__REQUEST_ONCE,
           0); /* not sent before, so it may go to the new owner */
  receive_token (fixture, false, 2, 2);
  assert_count (fixture, "request number=1", 0);
  assert_count (fixture, "request number=2 attempt=2 from=0 agent=2", 1);
  assert_count (fixture, "request number=3 attempt=2 from=1 agent=2", 1);
  assert_count (fixture, "request number=4 attempt=1 from=0 agent=2", 1);
  receive_chunk (fixture, 2, 1, 0, true); /* late, of the first attempt */
  assert_count (fixture, "done", 1);
  receive_chunk (fixture, 3, 2, 1, false);
  assert_count (fixture, "data id=3 b", 1);
  assert_count (fixture, "data id=3 c", 0); /* buffered in the first attempt, which has ended */
  receive_chunk (fixture, 3, 2, 2, false);
  assert_count (fixture, "data id=3 c", 1);
}

/* Guards against waiting for the path checks (4.9 s without an answer, as in test_path) when an agent of
 * another service runs at the owner's address. */
static void
test_gone_of_other_service (fixture_t *fixture, gconstpointer data)
{
  receive_gone_of_service (fixture, 7, 43);
  assert_count (fixture, "open", 0);
  receive_gone_of_service (fixture, 1, 43);
  assert_count (fixture, "open generation=2", 1);
}

/* Guards against reporting "not run" for a request that an earlier owner may still run. In scripts/prove
 * --fault frozen-agent --seed 1, a frozen agent ran a repeatable request after it was continued, although the
 * second owner's refusal had been reported. */
static void
test_refused_by_second_owner (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_REPEATABLE, 0);
  receive_gone (fixture, 1);
  receive_token (fixture, false, 2, 2);
  receive_outcome (fixture, 1, 2, OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
  assert_count (fixture, "renumbered id=1 number=1 unknown", 1);
  advance (fixture, SECOND_US / 5);
  receive_outcome (fixture, 2, 1, OH__RESULT__RESULT_NOT_RUN_DEADLINE);
  assert_count (fixture, "done id=1 number=2 unknown", 1);
}

/* Guards against following a late Moved back to an earlier owner, and against requests lost in a handover. */
static void
test_moved (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  receive_token (fixture, true, 2, 2);
  assert_count (fixture, "request number=1 attempt=1 from=0 agent=2", 1);
  receive_token (fixture, true, 1, 1);
  receive_token (fixture, true, 3, 2);
  assert_count (fixture, "opened", 1);
  receive_gone (fixture, 1); /* the old owner has exited */
  assert_count (fixture, "done", 0);
  receive_chunk (fixture, 1, 1, 0, true);
  assert_count (fixture, "done id=1 number=1 none", 1);
}

enum
{
  PATH_LIMIT_US = 1900 * 1000, /* a ping after 1 s, two more after 0.3 s each, then 0.3 s for the last one */
};

/* Guards against keeping a black-holed path, and against waiting forever for a lost owner. */
static void
test_path (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  advance (fixture, PATH_LIMIT_US - 1);
  assert_count (fixture, "ping", 3);
  assert_count (fixture, "replace-path", 0);
  advance (fixture, 1);
  assert_count (fixture, "replace-path", 1);
  assert_count (fixture, "open", 0);
  receive_pong (fixture);
  advance (fixture, PATH_LIMIT_US);
  assert_count (fixture, "replace-path", 2);
  advance (fixture, 3 * SECOND_US);
  assert_count (fixture, "open generation=2 attempt=1", 1);
  assert_count (fixture, "done id=1 number=1 unknown", 1);
  receive_token (fixture, false, 1, 2); /* the same agent may own the flow again */
  request (fixture, 2, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  assert_count (fixture, "request number=2 attempt=1 from=0 agent=1 below=2", 1);
}

/* Guards against chunks of a feed counting as proof that the path to its owner works. In scripts/prove
 * --fault black-holed-path, such a path was replaced only after 10 s, when the feed's window was full. */
static void
test_one_way_path (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_FEED, 0);
  for (unsigned i = 0; i < 41; i++)
    {
      receive_chunk (fixture, 1, 1, i, false);
      advance (fixture, SECOND_US / 10);
    }
  assert_count (fixture, "data", 41);
  assert_count (fixture, "replace-path", 1);
}

/* Guards against sending a request that must not run twice while the path is suspect: if the owner is lost,
 * the request ends as unknown. */
static void
test_suspect_path (fixture_t *fixture, gconstpointer data)
{
  advance (fixture, 5 * SECOND_US / 2);
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  request (fixture, 2, OH__REQUEST_KIND__REQUEST_REPEATABLE, 0);
  request (fixture, 3, OH__REQUEST_KIND__REQUEST_ONCE, fixture->now_us + SECOND_US);
  assert_count (fixture, "request", 1);
  receive_pong (fixture);
  assert_count (fixture, "request", 3);
  advance (fixture, 4 * SECOND_US);
  request (fixture, 4, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  request (fixture, 5, OH__REQUEST_KIND__REQUEST_ONCE, fixture->now_us + SECOND_US);
  advance (fixture, 3 * SECOND_US);
  assert_count (fixture, "done id=1 number=2 unknown", 1);
  assert_count (fixture, "done id=4", 0);
  assert_count (fixture, "done id=5 number=0 not_run_deadline", 1);
  receive_token (fixture, false, 2, 2);
  assert_count (fixture, "request number=4 attempt=1 from=0 agent=2", 1);
}

/* Guards against an idle flow that sends no pings, which would let its return path expire, and against late
 * pongs counting as proof that the path works. */
static void
test_idle_pings (fixture_t *fixture, gconstpointer data)
{
  for (unsigned i = 0; i < 20; i++)
    {
      advance (fixture, SECOND_US);
      receive_pong (fixture);
    }
  assert_count (fixture, "ping", 20);
  for (unsigned i = 0; i < 4; i++)
    {
      Oh__Packet packet = OH__PACKET__INIT;
      Oh__Pong pong = OH__PONG__INIT;

      advance (fixture, SECOND_US);
      pong.sequence = 20;
      packet.body_case = OH__PACKET__BODY_PONG;
      packet.pong = &pong;
      receive (fixture, &packet);
    }
  assert_count (fixture, "replace-path", 1);
}

/* Guards against retries that multiply an overload, and against retrying a request that must not run twice
 * but may have run. */
static void
test_retries (fixture_t *fixture, gconstpointer data)
{
  static const struct
  {
    Oh__RequestKind kind;
    Oh__Result result;
    bool retried;
  } cases[] = {
    { OH__REQUEST_KIND__REQUEST_ONCE, OH__RESULT__RESULT_NOT_RUN_OVERLOADED, true },
    { OH__REQUEST_KIND__REQUEST_ONCE, OH__RESULT__RESULT_NOT_RUN_DEADLINE, false },
    { OH__REQUEST_KIND__REQUEST_ONCE, OH__RESULT__RESULT_UNKNOWN, false },
    { OH__REQUEST_KIND__REQUEST_ONCE, OH__RESULT__RESULT_FAILED, false },
    { OH__REQUEST_KIND__REQUEST_REPEATABLE, OH__RESULT__RESULT_FAILED, true },
    { OH__REQUEST_KIND__REQUEST_REPEATABLE, OH__RESULT__RESULT_UNKNOWN, true },
    { OH__REQUEST_KIND__REQUEST_ONCE, OH__RESULT__RESULT_WRONG_SERVICE, false },
  };
  unsigned refused;

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const uint32_t number = fixture->core.next_number;
      g_autofree char *resent = g_strdup_printf ("request number=%u attempt=1", number + 1);

      clear (fixture);
      request (fixture, i, cases[i].kind, 0);
      receive_outcome (fixture, number, 1, cases[i].result);
      assert_count (fixture, "done", cases[i].retried ? 0 : 1);
      advance (fixture, SECOND_US / 5);
      assert_count (fixture, resent, cases[i].retried ? 1 : 0);
      if (cases[i].retried)
        receive_chunk (fixture, number + 1, 1, 0, true);
      assert_count (fixture, "done", 1);
    }

  clear (fixture);
  for (refused = 0; refused < 100; refused++)
    {
      request (fixture, 100 + refused, OH__REQUEST_KIND__REQUEST_ONCE, 0);
      while (count (fixture, "done") == refused)
        {
          advance (fixture, SECOND_US / 10);
          for (uint32_t n = fixture->core.floor; n < fixture->core.next_number; n++)
            receive_outcome (fixture, n, 1, OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
        }
    }
  g_assert_cmpuint (count (fixture, "renumbered"), <=, OH_RETRY_BURST + refused / 10);
}

/* Guards against a request that runs after its cancellation was reported as not run. */
static void
test_cancel (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  cancel (fixture, 1);
  assert_count (fixture, "done", 0);
  clear (fixture);
  advance (fixture, SECOND_US / 2);
  assert_count (fixture, "request", 0);
  g_assert_cmpuint (count (fixture, "cancel number=1"), >=, 1);
  receive_outcome (fixture, 1, 1, OH__RESULT__RESULT_NOT_RUN_CANCELLED);
  assert_count (fixture, "done id=1 number=1 not_run_cancelled", 1);
  request (fixture, 2, OH__REQUEST_KIND__REQUEST_FEED, 0);
  cancel (fixture, 2);
  assert_count (fixture, "cancel number=2", 1);
  assert_count (fixture, "done id=2", 1);
}

/* Guards against waiting forever for a request whose deadline has passed. */
static void
test_deadline (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_ONCE, fixture->now_us + SECOND_US);
  for (unsigned i = 0; i < 5; i++)
    {
      advance (fixture, SECOND_US);
      receive_pong (fixture);
    }
  g_assert_cmpuint (count (fixture, "cancel number=1"), >=, 1);
  assert_count (fixture, "done", 0);
  advance (fixture, SECOND_US);
  assert_count (fixture, "done id=1 number=1 unknown", 1);
}

/* Guards against using request numbers beyond the window. */
static void
test_window (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 0, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  for (unsigned i = 1; i < 70; i++)
    request (fixture, i, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  assert_count (fixture, "request number=64 ", 1);
  assert_count (fixture, "request number=65 ", 0);
  receive_chunk (fixture, 2, 1, 0, true);
  assert_count (fixture, "request number=65 ", 0);
  receive_chunk (fixture, 1, 1, 0, true);
  assert_count (fixture, "request number=65 attempt=1 from=0 agent=1 below=3", 1);
  assert_count (fixture, "request number=66 ", 1);
  assert_count (fixture, "request number=67 ", 0);
}

/* Guards against a long feed that keeps the window from advancing. */
static void
test_window_feed (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1000, OH__REQUEST_KIND__REQUEST_FEED, 0);
  receive_chunk (fixture, 1, 1, 0, false);
  for (unsigned number = 2; number <= OH_REQUEST_WINDOW; number++)
    {
      request (fixture, number, OH__REQUEST_KIND__REQUEST_ONCE, 0);
      receive_chunk (fixture, number, 1, 0, true);
    }
  clear (fixture);
  request (fixture, 99, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  assert_count (fixture, "cancel number=1", 1);
  assert_count (fixture, "request number=65 attempt=1 from=1", 1);
  assert_count (fixture, "request number=66 attempt=1 from=0", 1);
  receive_chunk (fixture, 65, 1, 1, false);
  assert_count (fixture, "data id=1000 b", 1);
}

/* Guards against mixing data of two versions of an entity in one transfer. */
static void
test_entity_change (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_TRANSFER, 0);
  receive_chunk (fixture, 1, 1, 0, false);
  receive_outcome (fixture, 1, 1, OH__RESULT__RESULT_RESUME_MISMATCH);
  assert_count (fixture, "restart id=1", 1);
  advance (fixture, SECOND_US / 5);
  assert_count (fixture, "request number=2 attempt=1 from=0", 1);
}

/* Guards against a Close that is lost, which would leave the flow on the agent, and against waiting forever
 * for a dead agent to answer it. */
static void
test_close (fixture_t *fixture, gconstpointer data)
{
  request (fixture, 1, OH__REQUEST_KIND__REQUEST_ONCE, 0);
  handle (fixture, (oh_caller_event_t){ .kind = OH_CALLER_EVENT_CLOSE });
  assert_count (fixture, "done id=1 number=1 unknown", 1);
  assert_count (fixture, "close", 1);
  advance (fixture, 2 * SECOND_US);
  g_assert_cmpuint (count (fixture, "close"), >=, 3);
  assert_count (fixture, "closed", 1);
}

static void
receive_random (fixture_t *fixture)
{
  GRand *rand = fixture->random.rand;
  const uint32_t floor = fixture->core.floor;
  const unsigned number = floor + (unsigned)g_rand_int_range (rand, 0, 8);
  const unsigned attempt = (unsigned)g_rand_int_range (rand, 1, 4);
  const unsigned agent = (unsigned)g_rand_int_range (rand, 1, 4);

  switch (g_rand_int_range (rand, 0, 8))
    {
    case 0:
      receive_token (fixture, false, agent, fixture->core.generation);
      break;
    case 1:
      receive_token (fixture, true, agent,
                     fixture->core.generation + (unsigned)g_rand_int_range (rand, 0, 2));
      break;
    case 2:
      receive_gone (fixture, agent);
      break;
    case 3:
      receive_pong (fixture);
      break;
    case 4:
      receive_outcome (fixture, number, attempt, (Oh__Result)g_rand_int_range (rand, 0, 14));
      break;
    default:
      receive_chunk (fixture, number, attempt, (unsigned)g_rand_int_range (rand, 0, 4),
                     g_rand_int_range (rand, 0, 4) == 0);
      break;
    }
}

/* Guards against a sequence of packets, in any order and at any time, that ends a request twice or never, or
 * that uses numbers beyond the window. */
static void
test_random_packets (fixture_t *fixture, gconstpointer data)
{
  enum
  {
    N_STEPS = 30000,
    MAX_OPEN = 100,
  };
  GRand *rand = fixture->random.rand;
  g_autoptr (GHashTable) ended = g_hash_table_new (NULL, NULL);
  unsigned n_requests = 0;
  unsigned n_done = 0;

  for (unsigned step = 0; step < N_STEPS || n_done < n_requests; step++)
    {
      const int choice = g_rand_int_range (rand, 0, 10);

      if (step < N_STEPS && choice == 0 && n_requests - n_done < MAX_OPEN)
        request (fixture, ++n_requests, (Oh__RequestKind)g_rand_int_range (rand, 0, 4),
                 g_rand_int_range (rand, 0, 2) * (fixture->now_us + SECOND_US));
      else if (choice == 1 && n_requests > 0)
        cancel (fixture, (unsigned)g_rand_int_range (rand, 0, (gint32)n_requests) + 1);
      else if (choice == 2)
        advance (fixture, g_rand_int_range (rand, 0, SECOND_US));
      else
        receive_random (fixture);

      g_assert_cmpuint (fixture->core.next_number - fixture->core.floor, <=, OH_REQUEST_WINDOW);
      g_assert_cmpint (fixture->core.state, !=, OH_CALLER_CLOSED);
      for (guint i = 0; i < fixture->lines->len; i++)
        {
          unsigned id;

          if (sscanf (g_ptr_array_index (fixture->lines, i), "done id=%u", &id) != 1)
            continue;
          g_assert_true (g_hash_table_add (ended, GUINT_TO_POINTER (id)));
          n_done++;
        }
      clear (fixture);
      g_assert_cmpuint (step, <, 100 * N_STEPS);
    }
  g_assert_cmpuint (n_requests, >, 1000);
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    bool open;
    void (*run) (fixture_t *fixture, gconstpointer data);
  } tests[] = {
    { "first-token-wins", false, test_first_token_wins },
    { "open-refusals", false, test_open_refusals },
    { "dependency-refusal", false, test_dependency_refusal },
    { "answer", true, test_answer },
    { "gone", true, test_gone },
    { "gone-of-other-service", true, test_gone_of_other_service },
    { "refused-by-second-owner", true, test_refused_by_second_owner },
    { "moved", true, test_moved },
    { "path", true, test_path },
    { "one-way-path", true, test_one_way_path },
    { "suspect-path", true, test_suspect_path },
    { "idle-pings", true, test_idle_pings },
    { "retries", true, test_retries },
    { "cancel", true, test_cancel },
    { "deadline", true, test_deadline },
    { "window", true, test_window },
    { "window-feed", true, test_window_feed },
    { "entity-change", true, test_entity_change },
    { "close", true, test_close },
    { "random-packets", true, test_random_packets },
  };

  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    {
      g_autofree char *path = g_strdup_printf ("/caller/%s", tests[i].name);

      g_test_add (path, fixture_t, NULL, tests[i].open ? set_up_open : set_up, tests[i].run, tear_down);
    }
  return g_test_run ();
}
