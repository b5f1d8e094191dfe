#define OH_LOG_MODULE "test"

#include "core/segment_agent.h"

#include <string.h>

#include "segment_fixture.h"

/* Each case is a list of steps that are played on an agent beside an upstream of 2 slots. */

enum
{
  STEPS_MAX = 24,
  SLOTS = 2,
  ASKED = 3, /* flows that a question names */
  QUESTION = 77,
  START_US = 10 * G_USEC_PER_SEC,
  HEARTBEAT_MS = 1000,
  AGENT_STARTED_MS = 10000, /* time of day; the upstreams of the cases start at 1, 2, ... but for one */
  ANSWER_SEQUENCE = 5000,   /* of the upstream's answer to a first segment */
};

typedef enum
{
  STEP_END,
  STEP_ANNOUNCE,    /* text: service; a: state, b: start, c: sequence */
  STEP_OPEN,        /* text: service; a: caller; the first segment of a flow */
  STEP_DELIVER,     /* a: caller, b: acknowledged, c: length of data */
  STEP_SEARCH,      /* as DELIVER */
  STEP_ASK,         /* a question about the flows of the first ASKED callers */
  STEP_ANSWERS,     /* a: caller; the upstream answers the first segment */
  STEP_DATA,        /* a: caller, b: flags, c: length; the upstream sends */
  STEP_RETURN,      /* a: caller, b: flags; the upstream gives a segment back */
  STEP_WAIT,        /* a: ms, with ticks on the way */
  EXPECT_DELIVERED, /* a: segments that the upstream got since the last expectation of this sort */
  EXPECT_CALLERS,   /* a: segments to callers, b: of them resets */
  EXPECT_ANSWER,    /* a: kind, b: number, c: result of the last; messages to balancers */
  EXPECT_HELD,      /* a: bits of the flows that are held, b: of those that are wanted, in one answer */
  EXPECT_WAITING,   /* a: requests without an answer */
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  int a;
  int b;
  int c;
  const char *text;
} step_t;

typedef struct
{
  oh_segment_agent_sink_t sink; /* first member */
  oh_keyring_t keyring;
  oh_segment_agent_t core;
  int64_t now_us;
  unsigned delivered;
  unsigned callers;
  unsigned resets;
  bool delivered_returned; /* the upstream got a segment with its own mark */
  fixture_message_t sent[FIXTURE_SENT_MAX];
  unsigned n_sent;
  unsigned seen_sent;
} fixture_t;

static const oh_address_t balancer_address = { .ipv4 = 0x0a000002, .port = 7735 };
static const oh_address_t route_address = { .ipv4 = 0xc6120001, .port = 8443 };

static oh_address_t
caller_address (int caller)
{
  return (oh_address_t){ .ipv4 = 0x64400001 + (uint32_t)caller, .port = 40000 };
}

static void
on_send_upstream (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length)
{
  fixture_t *fixture = (fixture_t *)sink;

  fixture->delivered++;
  fixture->delivered_returned |= (bytes[26] & FIXTURE_RETURNED) != 0;
}

static void
on_send_caller (oh_segment_agent_sink_t *sink, oh_address_t caller, const uint8_t *bytes, size_t length)
{
  fixture_t *fixture = (fixture_t *)sink;

  fixture->callers++;
  fixture->resets += (bytes[26] & FIXTURE_RST) != 0 && bytes[0] == 0;
}

static void
on_send_balancer (oh_segment_agent_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length)
{
  fixture_t *fixture = (fixture_t *)sink;

  g_assert_cmpuint (fixture->n_sent, <, FIXTURE_SENT_MAX);
  fixture->sent[fixture->n_sent++] = fixture_decode (&fixture->keyring, to, bytes, length);
}

static void
on_report (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length)
{
}

static void
on_changed (oh_segment_agent_sink_t *sink)
{
}

static void
on_log (oh_segment_agent_sink_t *sink, oh_log_level_t level, const char *event, const char *pairs)
{
}

static void
handle (fixture_t *fixture, oh_segment_agent_event_t event)
{
  event.now_us = fixture->now_us;
  oh_segment_agent_handle (&fixture->core, &event, &fixture->sink);
}

static void
setup (fixture_t *fixture)
{
  static const oh_segment_agent_sink_ops_t ops = {
    .send_upstream = on_send_upstream,
    .send_caller = on_send_caller,
    .send_balancer = on_send_balancer,
    .report = on_report,
    .changed = on_changed,
    .log = on_log,
  };
  const oh_segment_agent_config_t config = {
    .format = oh_platform_segment_format (),
    .name = "agent-0",
    .zone = "a",
    .incarnation = 1000,
    .relay = { .ipv4 = 0x0a000003, .port = 8172 },
    .heartbeat_ms = HEARTBEAT_MS,
    .flow_timeout_ms = 60000,
    .max_flows = 20,
    .started_ms = AGENT_STARTED_MS,
    .started_us = START_US,
  };

  *fixture = (fixture_t){ .sink = { .ops = &ops }, .now_us = START_US };
  fixture_keyring (&fixture->keyring);
  oh_segment_agent_init (&fixture->core, &config, &fixture->keyring);
}

static void
teardown (fixture_t *fixture)
{
  g_assert_false (fixture->delivered_returned);
  oh_segment_agent_finish (&fixture->core);
  oh_keyring_finish (&fixture->keyring);
}

static void
play_announce (fixture_t *fixture, const step_t *step)
{
  g_autofree char *id = g_strdup_printf ("i-%d", step->b);
  const oh_announcement_t announcement = {
    .id = id,
    .service = step->text != NULL ? step->text : "",
    .state = (oh_announced_state_t)step->a,
    .slots = SLOTS,
    .started_ms = step->b,
    .sequence = (uint64_t)step->c,
  };

  handle (fixture,
          (oh_segment_agent_event_t){ .kind = OH_SEGMENT_AGENT_ANNOUNCED, .announcement = &announcement });
}

static void
play_relay (fixture_t *fixture, Oh__SegmentRelayKind kind, const char *service, fixture_segment_t segment)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  Oh__Address balancer;
  uint64_t flows[ASKED];
  uint8_t buffer[OH_RELAY_MAX_BYTES];
  size_t length;

  oh_address_to_wire (balancer_address, &balancer);
  relay.kind = kind;
  relay.balancer = &balancer;
  relay.service = service != NULL ? oh_service_id (service) : 0;
  relay.search = kind == OH__SEGMENT_RELAY_KIND__SEGMENT_SEARCH ? QUESTION : 0;
  if (kind == OH__SEGMENT_RELAY_KIND__SEGMENT_ASK)
    {
      for (int i = 0; i < ASKED; i++)
        flows[i]
          = oh_flow_key_digest (&(oh_flow_key_t){ .caller = caller_address (i), .route = route_address });
      relay.flows = flows;
      relay.n_flows = ASKED;
      relay.search = QUESTION;
    }
  relay.segment = (ProtobufCBinaryData){ .len = segment.length, .data = segment.bytes };
  length = oh_segment_relay_encode (&relay, &fixture->keyring, buffer, sizeof buffer);
  handle (fixture, (oh_segment_agent_event_t){ .kind = OH_SEGMENT_AGENT_RELAY,
                                               .datagram = { .bytes = buffer, .length = length } });
}

static void
play_upstream (fixture_t *fixture, fixture_segment_t segment)
{
  handle (fixture,
          (oh_segment_agent_event_t){ .kind = OH_SEGMENT_AGENT_UPSTREAM,
                                      .datagram = { .bytes = segment.bytes, .length = segment.length } });
}

static fixture_segment_t
from_caller (const step_t *step, unsigned flags)
{
  return fixture_segment (caller_address (step->a), route_address, flags,
                          (flags & FIXTURE_SYN) != 0 ? 7000 : 7001, (uint32_t)step->b, (unsigned)step->c);
}

static void
expect_answer (fixture_t *fixture, const step_t *step, const char *name, unsigned index)
{
  unsigned count = 0;
  Oh__Result refused = OH__RESULT__RESULT_NONE;

  for (unsigned i = fixture->seen_sent; i < fixture->n_sent; i++)
    if ((int)fixture->sent[i].kind == step->a)
      {
        count++;
        refused = fixture->sent[i].refused;
      }
  fixture->seen_sent = fixture->n_sent;
  if (count != (unsigned)step->b || (count > 0 && (int)refused != step->c))
    g_error ("case %s, step %u: %u answers of kind %d with result %d", name, index, count, step->a,
             (int)refused);
}

static void
expect_held (fixture_t *fixture, const step_t *step, const char *name, unsigned index)
{
  const fixture_message_t *answer = &fixture->sent[fixture->n_sent - 1];

  if (fixture->n_sent != fixture->seen_sent + 1 || answer->kind != OH__SEGMENT_RELAY_KIND__SEGMENT_ANSWER
      || answer->search != QUESTION || answer->n_held_bytes != 1)
    g_error ("case %s, step %u: expected one answer to the question", name, index);
  fixture->seen_sent = fixture->n_sent;
  if (answer->held != step->a || answer->wanted != step->b)
    g_error ("case %s, step %u: held %x, wanted %x, expected %x and %x", name, index, answer->held,
             answer->wanted, (unsigned)step->a, (unsigned)step->b);
}

static void
expect (unsigned *count, int expected, const char *what, const char *name, unsigned index)
{
  if (*count != (unsigned)expected)
    g_error ("case %s, step %u: %u %s, expected %d", name, index, *count, what, expected);
  *count = 0;
}

static void
play (fixture_t *fixture, const step_t *step, const char *name, unsigned index)
{
  unsigned waiting;

  switch (step->kind)
    {
    case STEP_END:
      return;
    case STEP_ANNOUNCE:
      play_announce (fixture, step);
      return;
    case STEP_OPEN:
      play_relay (fixture, OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN, step->text, from_caller (step, FIXTURE_SYN));
      return;
    case STEP_DELIVER:
      play_relay (fixture, OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER, NULL, from_caller (step, FIXTURE_ACK));
      return;
    case STEP_SEARCH:
      play_relay (fixture, OH__SEGMENT_RELAY_KIND__SEGMENT_SEARCH, NULL, from_caller (step, FIXTURE_ACK));
      return;
    case STEP_ASK:
      play_relay (fixture, OH__SEGMENT_RELAY_KIND__SEGMENT_ASK, NULL, (fixture_segment_t){ .length = 0 });
      return;
    case STEP_ANSWERS:
      play_upstream (fixture, fixture_segment (route_address, caller_address (step->a),
                                               FIXTURE_SYN | FIXTURE_ACK, ANSWER_SEQUENCE, 7001, 0));
      return;
    case STEP_DATA:
      play_upstream (fixture, fixture_segment (route_address, caller_address (step->a), (unsigned)step->b,
                                               ANSWER_SEQUENCE + 1, 7002, (unsigned)step->c));
      return;
    case STEP_RETURN:
      play_upstream (fixture, fixture_segment (caller_address (step->a), route_address,
                                               (unsigned)step->b | FIXTURE_RETURNED, 7000, 0, 0));
      return;
    case STEP_WAIT:
      for (int ms = 0; ms < step->a; ms += OH_SEGMENT_AGENT_TICK_MS)
        {
          fixture->now_us += (int64_t)MIN (OH_SEGMENT_AGENT_TICK_MS, step->a - ms) * 1000;
          handle (fixture, (oh_segment_agent_event_t){ .kind = OH_SEGMENT_AGENT_TICK });
        }
      return;
    case EXPECT_DELIVERED:
      expect (&fixture->delivered, step->a, "segments delivered", name, index);
      return;
    case EXPECT_CALLERS:
      expect (&fixture->callers, step->a, "segments to callers", name, index);
      expect (&fixture->resets, step->b, "resets", name, index);
      return;
    case EXPECT_ANSWER:
      expect_answer (fixture, step, name, index);
      return;
    case EXPECT_HELD:
      expect_held (fixture, step, name, index);
      return;
    case EXPECT_WAITING:
      waiting = fixture->core.n_awaiting_response;
      expect (&waiting, step->a, "requests waiting", name, index);
      return;
    }
}

#define ACCEPTED OH__SEGMENT_RELAY_KIND__SEGMENT_ACCEPTED
#define REFUSED OH__SEGMENT_RELAY_KIND__SEGMENT_REFUSED
#define OWNED OH__SEGMENT_RELAY_KIND__SEGMENT_OWNED
#define ABSENT OH__SEGMENT_RELAY_KIND__SEGMENT_ABSENT
#define HELD(held, wanted)                                                                                   \
  {                                                                                                          \
    EXPECT_HELD, held, wanted, 0, NULL                                                                       \
  }
#define ASKS                                                                                                 \
  {                                                                                                          \
    STEP_ASK, 0, 0, 0, NULL                                                                                  \
  }
#define OVERLOADED OH__RESULT__RESULT_NOT_RUN_OVERLOADED
#define LEAVING OH__RESULT__RESULT_NOT_RUN_DRAINING
#define UNANSWERED OH__RESULT__RESULT_NOT_RUN_UPSTREAM
#define NOWHERE OH__RESULT__RESULT_NO_UPSTREAM
#define WRONG OH__RESULT__RESULT_WRONG_SERVICE

#define READY(start, sequence)                                                                               \
  {                                                                                                          \
    STEP_ANNOUNCE, OH_ANNOUNCED_READY, start, sequence, "kiln-log"                                           \
  }
#define DRAINS(start, sequence)                                                                              \
  {                                                                                                          \
    STEP_ANNOUNCE, OH_ANNOUNCED_DRAINING, start, sequence, "kiln-log"                                        \
  }
#define LEAVES(start)                                                                                        \
  {                                                                                                          \
    STEP_ANNOUNCE, OH_ANNOUNCED_LEFT, start, 0, NULL                                                         \
  }
#define OPENS(caller)                                                                                        \
  {                                                                                                          \
    STEP_OPEN, caller, 0, 0, "kiln-log"                                                                      \
  }
#define SAYS(caller)                                                                                         \
  {                                                                                                          \
    STEP_DELIVER, caller, ANSWER_SEQUENCE + 1, 20, NULL                                                      \
  }
#define SEARCHES(caller)                                                                                     \
  {                                                                                                          \
    STEP_SEARCH, caller, ANSWER_SEQUENCE + 1, 20, NULL                                                       \
  }
#define ANSWERS(caller)                                                                                      \
  {                                                                                                          \
    STEP_ANSWERS, caller, 0, 0, NULL                                                                         \
  }
#define SENDS(caller)                                                                                        \
  {                                                                                                          \
    STEP_DATA, caller, FIXTURE_ACK, 30, NULL                                                                 \
  }
#define RETURNS(caller, flags)                                                                               \
  {                                                                                                          \
    STEP_RETURN, caller, flags, 0, NULL                                                                      \
  }
#define WAIT(ms)                                                                                             \
  {                                                                                                          \
    STEP_WAIT, ms, 0, 0, NULL                                                                                \
  }
#define DELIVERED(n)                                                                                         \
  {                                                                                                          \
    EXPECT_DELIVERED, n, 0, 0, NULL                                                                          \
  }
#define CALLERS(n, resets)                                                                                   \
  {                                                                                                          \
    EXPECT_CALLERS, n, resets, 0, NULL                                                                       \
  }
#define ANSWER(kind, n, result)                                                                              \
  {                                                                                                          \
    EXPECT_ANSWER, kind, n, result, NULL                                                                     \
  }
#define WAITING(n)                                                                                           \
  {                                                                                                          \
    EXPECT_WAITING, n, 0, 0, NULL                                                                            \
  }

static const struct
{
  const char *name; /* the failure that it guards against */
  step_t steps[STEPS_MAX];
} cases[] = {
  { "a flow is not followed from its opening to its answer",
    { READY (1, 1), OPENS (0), DELIVERED (1), ANSWERS (0), CALLERS (1, 0), ANSWER (ACCEPTED, 1, 0), SAYS (0),
      DELIVERED (1), WAITING (1), SENDS (0), CALLERS (1, 0), WAITING (0) } },
  { "a flow reaches an upstream that nobody has announced",
    { OPENS (0), DELIVERED (0), ANSWER (REFUSED, 1, NOWHERE) } },
  { "a flow reaches an upstream of another service",
    { READY (1, 1), { STEP_OPEN, 0, 0, 0, "scan-serve" }, DELIVERED (0), ANSWER (REFUSED, 1, WRONG) } },
  { "a leaving upstream gets a new flow",
    { READY (1, 1), DRAINS (1, 2), OPENS (0), DELIVERED (0), ANSWER (REFUSED, 1, LEAVING) } },
  { "a late announcement makes a leaving upstream ready",
    { READY (1, 1), DRAINS (1, 4), READY (1, 3), OPENS (0), DELIVERED (0), ANSWER (REFUSED, 1, LEAVING) } },
  { "a late announcement of a former start replaces the present one",
    { READY (5, 1), READY (4, 9), OPENS (0), DELIVERED (1), DRAINS (4, 10), OPENS (1), DELIVERED (1) } },
  { "an upstream that has stopped its announcements gets new flows",
    { READY (1, 1), WAIT (3500), OPENS (0), DELIVERED (0), ANSWER (REFUSED, 1, NOWHERE) } },
  { "a returned first segment is not offered to others",
    { READY (1, 1), OPENS (0), RETURNS (0, FIXTURE_SYN), ANSWER (REFUSED, 1, OVERLOADED) } },
  { "an unanswered first segment is not offered to others",
    { READY (1, 1), OPENS (0), WAIT (150), ANSWER (REFUSED, 1, UNANSWERED), DELIVERED (1) } },
  { "a late answer does not open the flow",
    { READY (1, 1), OPENS (0), WAIT (150), ANSWERS (0), CALLERS (1, 0), SAYS (0), DELIVERED (2) } },
  { "a flow that the caller opened elsewhere is delivered",
    { READY (1, 1),
      OPENS (0),
      ANSWERS (0),
      DELIVERED (1),
      { STEP_DELIVER, 0, 9999, 20, NULL },
      DELIVERED (0),
      ANSWER (ABSENT, 1, 0) } },
  { "too many requests are admitted",
    { READY (1, 1), OPENS (0), OPENS (1), OPENS (2), OPENS (3), OPENS (4), OPENS (5), DELIVERED (6),
      OPENS (6), DELIVERED (0), ANSWER (REFUSED, 1, OVERLOADED) } },
  { "flows without a request take the room of others for ever",
    { READY (1, 1), OPENS (0), OPENS (1), OPENS (2), OPENS (3), OPENS (4), OPENS (5), WAIT (500), OPENS (6),
      DELIVERED (7) } },
  { "a searched flow that is not here is delivered",
    { READY (1, 1), SEARCHES (0), DELIVERED (0), ANSWER (ABSENT, 1, 0) } },
  { "a search without the segment is not answered, or delivers something",
    { READY (1, 1), ASKS, HELD (0, 0), OPENS (0), ANSWERS (0), ANSWER (ACCEPTED, 1, 0), ASKS, HELD (0, 1),
      SAYS (0), ASKS, HELD (1, 0), DELIVERED (2) } },
  { "a question about several flows mixes them up",
    { READY (1, 1), OPENS (2), ANSWERS (2), ANSWER (ACCEPTED, 1, 0), OPENS (1), ANSWERS (1),
      ANSWER (ACCEPTED, 1, 0), SAYS (1), ASKS, HELD (2, 4), DELIVERED (3) } },
  { "an agent that is not told of its upstream yet denies flows that it may hold",
    { ASKS, HELD (0, 7), SEARCHES (0), DELIVERED (1), ANSWER (ABSENT, 0, 0), RETURNS (0, FIXTURE_ACK),
      ANSWER (ABSENT, 1, 0), ASKS, HELD (0, 6) } },
  { "after a loss of power every flow is tried at the upstream, though none can be there (azf-bake-grown "
    "trouble-2)",
    { READY (AGENT_STARTED_MS - 60, 3), ASKS, HELD (0, 0), SEARCHES (0), DELIVERED (0),
      ANSWER (ABSENT, 1, 0) } },
  { "a restarted agent denies a flow that it could not know, or an absent one for ever",
    { READY (1, 7), ASKS, HELD (0, 7), SEARCHES (0), RETURNS (0, FIXTURE_ACK), ANSWER (ABSENT, 1, 0), ASKS,
      HELD (0, 6) } },
  { "the owner of a searched flow keeps silent",
    { READY (1, 1), OPENS (0), ANSWERS (0), SAYS (0), DELIVERED (2), SEARCHES (0), DELIVERED (1),
      ANSWER (OWNED, 1, 0) } },
  { "the reset of an upstream that was only tried reaches the caller of a flow that lives elsewhere "
    "(azf-bake-grown trouble-3: FLOW)",
    { READY (1, 7),
      SEARCHES (0),
      DELIVERED (1),
      { STEP_DATA, 0, FIXTURE_RST, 0, NULL },
      CALLERS (0, 0),
      ANSWER (ABSENT, 1, 0),
      { STEP_DATA, 0, FIXTURE_RST, 0, NULL },
      CALLERS (0, 0),
      ASKS,
      HELD (0, 6) } },
  { "the reset of an upstream that holds the flow does not reach its caller",
    { READY (1, 7),
      SEARCHES (0),
      SENDS (0),
      CALLERS (1, 0),
      { STEP_DATA, 0, FIXTURE_RST, 0, NULL },
      CALLERS (1, 0) } },
  { "an agent that was restarted denies the flows of its upstream",
    { READY (1, 7), SEARCHES (0), DELIVERED (1), ANSWER (ABSENT, 0, 0), SENDS (0), ANSWER (OWNED, 1, 0),
      SAYS (0), DELIVERED (1) } },
  { "an agent that was restarted tries a flow again and again that its upstream does not hold",
    { READY (1, 7), SEARCHES (0), DELIVERED (1), RETURNS (0, FIXTURE_ACK), ANSWER (ABSENT, 1, 0),
      SEARCHES (0), DELIVERED (0), ANSWER (ABSENT, 1, 0) } },
  { "the caller of a flow whose upstream was replaced waits for its deadline",
    { READY (1, 1), OPENS (0), ANSWERS (0), SAYS (0), DELIVERED (2), CALLERS (1, 0), READY (2, 1),
      CALLERS (1, 1), SAYS (0), DELIVERED (0), CALLERS (1, 1) } },
  { "a caller that has nothing to send is not told that its upstream was replaced",
    { READY (1, 1), OPENS (0), ANSWERS (0), SAYS (0), CALLERS (1, 0), READY (2, 1), CALLERS (1, 1) } },
  { "a caller that has nothing to send is not told that its upstream has left",
    { READY (1, 1), OPENS (0), ANSWERS (0), SAYS (0), CALLERS (1, 0), LEAVES (1), CALLERS (0, 0), WAIT (600),
      CALLERS (1, 1), WAIT (600), CALLERS (0, 0) } },
  { "a flow is reset while its leaving upstream may still answer",
    { READY (1, 1), OPENS (0), ANSWERS (0), SAYS (0), CALLERS (1, 0), LEAVES (1), SAYS (0), CALLERS (0, 0),
      DELIVERED (3) } },
  { "the caller of a flow whose upstream has left waits for its deadline",
    { READY (1, 1), OPENS (0), ANSWERS (0), SAYS (0), CALLERS (1, 0), LEAVES (1), WAIT (600), CALLERS (1, 1),
      SAYS (0), CALLERS (1, 1) } },
  { "the caller of a flow that its upstream has lost waits for its deadline",
    { READY (1, 1), OPENS (0), ANSWERS (0), SAYS (0), CALLERS (1, 0), RETURNS (0, FIXTURE_ACK),
      CALLERS (1, 1) } },
  { "a copy of a first segment opens a second flow",
    { READY (1, 1), OPENS (0), ANSWERS (0), SAYS (0), DELIVERED (2), OPENS (0), DELIVERED (0) } },
  { "requests that are never answered count for ever",
    { READY (1, 1), OPENS (0), ANSWERS (0), SAYS (0), WAITING (1), WAIT (11000), WAITING (0) } },
};

static void
test_cases (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      static fixture_t fixture;

      setup (&fixture);
      for (unsigned j = 0; j < STEPS_MAX && cases[i].steps[j].kind != STEP_END; j++)
        play (&fixture, &cases[i].steps[j], cases[i].name, j);
      teardown (&fixture);
    }
}

/* Guards against records that outlive their bound. */
static void
test_bound (void)
{
  static fixture_t fixture;
  const step_t ready = READY (1, 7);

  setup (&fixture);
  play_announce (&fixture, &ready);
  for (int i = 0; i < 200; i++)
    {
      const step_t search = SEARCHES (i);

      play_relay (&fixture, OH__SEGMENT_RELAY_KIND__SEGMENT_SEARCH, NULL, from_caller (&search, FIXTURE_ACK));
    }
  g_assert_cmpuint (g_hash_table_size (fixture.core.flows), ==, 40);
  teardown (&fixture);
}

/* Guards against flows of a live upstream that are reset because its agent was restarted and is not listed
 * until the upstream's next announcement, and against an agent that stays listed although its upstream is
 * gone. */
static void
test_listed (void)
{
  const int64_t wait_us = (int64_t)HEARTBEAT_MS * 1000 * OH_SEGMENT_UNANNOUNCED_HEARTBEATS;
  const oh_announcement_t announcement
    = { .id = "i-1", .service = "kiln-log", .slots = SLOTS, .started_ms = 1, .sequence = 1 };
  fixture_t fixture;
  Oh__Load load;
  Oh__Address relay;

  setup (&fixture);
  g_assert_true (oh_segment_agent_is_listed (&fixture.core, START_US));
  g_assert_cmpstr (oh_segment_agent_service (&fixture.core), ==, "");
  oh_segment_agent_get_load (&fixture.core, START_US, &load, &relay);
  g_assert_cmpuint (load.service, ==, oh_service_id (""));
  g_assert_cmpuint (load.slots, ==, 0);
  g_assert_true (oh_segment_agent_is_listed (&fixture.core, START_US + wait_us));
  g_assert_false (oh_segment_agent_is_listed (&fixture.core, START_US + wait_us + 1));
  handle (&fixture,
          (oh_segment_agent_event_t){ .kind = OH_SEGMENT_AGENT_ANNOUNCED, .announcement = &announcement });
  g_assert_true (oh_segment_agent_is_listed (&fixture.core, START_US + 10 * wait_us));
  g_assert_cmpstr (oh_segment_agent_service (&fixture.core), ==, "kiln-log");
  teardown (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/segment-agent/cases", test_cases);
  g_test_add_func ("/segment-agent/bound", test_bound);
  g_test_add_func ("/segment-agent/listed", test_listed);
  return g_test_run ();
}
