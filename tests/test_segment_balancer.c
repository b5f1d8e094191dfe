#define OH_LOG_MODULE "test"

#include "core/segment_balancer.h"

#include <string.h>

#include "base/seeded_random.h"
#include "segment_fixture.h"

/* Each case is a list of steps that are played on a balancer with the agents of two services. */

enum
{
  KILN_AGENTS = 3,
  SCAN_AGENTS = 2,
  AGENTS = KILN_AGENTS + SCAN_AGENTS,
  STEPS_MAX = 24,
  ANY = -1,
};

#define SERVICES "[oriolehaven]\nname=test\n[service kiln-log]\n[service scan-serve]\n"
#define ROUTE "[route 198.18.0.1:8443]\nname=feed\nkind=repeatable\n"
#define OTHER "[route 198.18.0.2:8443]\nname=transfer\nkind=transfer\ntargets=scan-serve:1\n"

#define KILN "[route 198.18.0.3:8443]\nname=x\nkind=once\ntargets=kiln-log:1\n"

static const char split_text[] = SERVICES ROUTE "targets=kiln-log:1,scan-serve:0\n" OTHER;
static const char kiln_text[] = SERVICES ROUTE "targets=kiln-log:1\n" OTHER;
static const char scan_text[] = SERVICES ROUTE "targets=scan-serve:1\n" OTHER KILN;
static const char both_text[] = SERVICES ROUTE "targets=kiln-log:1,scan-serve:1000000\n" OTHER;
static const char no_route_text[]
  = SERVICES OTHER "[route 198.18.0.3:8443]\nname=x\nkind=once\ntargets=kiln-log:1\n";

typedef enum
{
  STEP_END,
  STEP_PEERS, /* from now on views list two other balancers of the zone */
  STEP_NO_PEERS,
  STEP_NO_UPSTREAM, /* from now on views list the last agent before its upstream has announced itself */
  STEP_PEER,        /* a: peer, b: kind; it sends about the flow, as owner the agent c */
  STEP_VIEW,        /* text, a: confirmed, b: complete, c: number of agents listed */
  STEP_CALLER,      /* a: flags, b: acknowledged (of a first segment: copies), c: length of data */
  STEP_ANSWER,      /* a: agent, b: kind, c: result; answers the last question that the agent got */
  STEP_ANSWER_LAST, /* as ANSWER, by the agent that got the last message */
  STEP_WANTED,      /* a: agent; it needs the segment to answer the last question */
  STEP_WAIT,        /* a: ms, with ticks on the way */
  STEP_PAUSE,       /* a: ms without any event, as for a process that was stopped */
  EXPECT_SENT,      /* a: kind, b: number since the last expectation of this sort */
  EXPECT_RESETS,    /* a: number since the last expectation of this sort */
  EXPECT_LAST,      /* a: agent that got the last message */
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
  oh_segment_balancer_sink_t sink; /* first member */
  oh_keyring_t keyring;
  oh_seeded_random_t random;
  oh_segment_balancer_t core;
  int64_t now_us;
  fixture_message_t sent[FIXTURE_SENT_MAX];
  unsigned n_sent;
  unsigned seen_sent; /* up to the last expectation */
  unsigned resets;
  unsigned seen_resets;
  uint32_t reset_sequence;
  uint64_t view_version;
  uint64_t sequence; /* of load reports */
  bool peers;        /* views list two other balancers */
  int durable;       /* index of the balancer that has a disk, 0 for this one; below 0: none has */
  unsigned stored;
  oh_address_t stored_owner;
  bool no_upstream; /* the last agent does not know its service */
} fixture_t;

static oh_address_t
agent_address (int agent)
{
  return (oh_address_t){ .ipv4 = 0x0a000001, .port = (uint16_t)(9000 + agent) };
}

static const char *
agent_service (int agent)
{
  return agent < KILN_AGENTS ? "kiln-log" : "scan-serve";
}

static void
on_send_agent (oh_segment_balancer_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length)
{
  fixture_t *fixture = (fixture_t *)sink;

  g_assert_cmpuint (fixture->n_sent, <, FIXTURE_SENT_MAX);
  fixture->sent[fixture->n_sent++] = fixture_decode (&fixture->keyring, to, bytes, length);
}

static void
on_send_caller (oh_segment_balancer_sink_t *sink, oh_address_t caller, const uint8_t *bytes, size_t length)
{
  fixture_t *fixture = (fixture_t *)sink;
  oh_segment_t segment;

  (void)caller;
  g_assert_true (
    oh_platform_segment_format ()->ops->decode (oh_platform_segment_format (), bytes, length, &segment));
  g_assert_true (segment.rst);
  fixture->resets++;
  fixture->reset_sequence = segment.sequence;
}

static void
on_store (oh_segment_balancer_sink_t *sink, const oh_flow_key_t *key, oh_address_t owner)
{
  fixture_t *fixture = (fixture_t *)sink;

  (void)key;
  fixture->stored++;
  fixture->stored_owner = owner;
}

static void
on_log (oh_segment_balancer_sink_t *sink, oh_log_level_t level, const char *event, const char *pairs)
{
}

static void
handle (fixture_t *fixture, oh_segment_balancer_event_t event)
{
  event.now_us = fixture->now_us;
  oh_segment_balancer_handle (&fixture->core, &event, &fixture->sink);
}

static void
setup (fixture_t *fixture)
{
  static const oh_segment_balancer_sink_ops_t ops = {
    .send_agent = on_send_agent,
    .send_caller = on_send_caller,
    .store = on_store,
    .log = on_log,
  };
  const oh_segment_balancer_config_t config = {
    .format = oh_platform_segment_format (),
    .zone = "a",
    .relay = { .ipv4 = 0x0a000002, .port = 7735 },
    .flow_timeout_ms = 60000,
    .max_flows = 100,
  };

  *fixture = (fixture_t){ .sink = { .ops = &ops }, .now_us = 10 * G_USEC_PER_SEC, .durable = -1 };
  fixture_keyring (&fixture->keyring);
  oh_seeded_random_init (&fixture->random, 1);
  oh_segment_balancer_init (&fixture->core, &config, &fixture->keyring, &fixture->random.base);
}

static void
teardown (fixture_t *fixture)
{
  oh_segment_balancer_finish (&fixture->core);
  oh_seeded_random_finish (&fixture->random);
  oh_keyring_finish (&fixture->keyring);
}

static void
fill_load (fixture_t *fixture, int agent, const char *name, Oh__Load *load, Oh__Address *address)
{
  oh__load__init (load);
  oh_address_to_wire (agent_address (agent), address);
  load->upstream = (char *)name;
  load->service = oh_service_id (agent_service (agent));
  load->incarnation = 1000 + (uint64_t)agent;
  load->sequence = ++fixture->sequence;
  load->slots = 4;
  load->queued = 1;
  load->max_flows = 100;
  load->agent = address;
}

static const char *
announced_service (const fixture_t *fixture, int agent)
{
  return fixture->no_upstream && agent == AGENTS - 1 ? "" : agent_service (agent);
}

static oh_address_t
peer_address (int peer)
{
  return (oh_address_t){ .ipv4 = 0x0a000010 + (uint32_t)peer, .port = 7735 };
}

/* This balancer and two others of its zone, and one of another zone. */
static void
add_peers (const fixture_t *fixture, Oh__View *message, Oh__BalancerEntry entries[4],
           Oh__BalancerEntry *pointers[4], Oh__Address addresses[4])
{
  static const char *const names[] = { "b0", "b1", "b2", "b3" };

  for (int i = 0; i < 4; i++)
    {
      const oh_address_t self = { .ipv4 = 0x0a000002, .port = 7735 };

      oh__balancer_entry__init (&entries[i]);
      oh_address_to_wire (i == 0 ? self : peer_address (i), &addresses[i]);
      entries[i].name = (char *)names[i];
      entries[i].zone = (char *)(i < 3 ? "a" : "b");
      entries[i].relay = &addresses[i];
      entries[i].durable = i == fixture->durable;
      pointers[i] = &entries[i];
    }
  message->balancers = pointers;
  message->n_balancers = 4;
}

static void
play_view (fixture_t *fixture, const step_t *step)
{
  oh_view_t view;
  Oh__View message = OH__VIEW__INIT;
  Oh__Member members[AGENTS];
  Oh__Member *pointers[AGENTS];
  Oh__Load loads[AGENTS];
  Oh__Address addresses[AGENTS];
  char names[AGENTS][16];
  Oh__BalancerEntry balancers[4];
  Oh__BalancerEntry *balancer_pointers[4];
  Oh__Address balancer_addresses[4];

  for (int i = 0; i < step->c; i++)
    {
      g_snprintf (names[i], sizeof names[i], "agent-%d", i);
      oh__member__init (&members[i]);
      fill_load (fixture, i, names[i], &loads[i], &addresses[i]);
      members[i].load = &loads[i];
      members[i].service_name = (char *)announced_service (fixture, i);
      loads[i].service = oh_service_id (members[i].service_name);
      members[i].zone = (char *)"a";
      pointers[i] = &members[i];
    }
  oh_view_init (&view);
  message.replica_epoch = 1;
  message.listed = step->b;
  message.snapshot = true;
  message.confirmed = step->a;
  message.version = ++fixture->view_version;
  message.has_text = true;
  message.text = (char *)step->text;
  message.key_generation = 1;
  message.members = pointers;
  message.n_members = (size_t)step->c;
  if (fixture->peers)
    add_peers (fixture, &message, balancers, balancer_pointers, balancer_addresses);
  oh_view_merge (&view, 0, &message);
  handle (fixture, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_VIEW, .view = &view });
  oh_view_finish (&view);
}

/* The agent's answer: bits of the flows that it holds, and of those whose segments it needs. */
static void
play_search_answer (fixture_t *fixture, int agent, uint32_t question, uint8_t *held, uint8_t *wanted,
                    size_t n_bytes)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  Oh__Address from;
  uint8_t buffer[OH_RELAY_MAX_BYTES];
  size_t length;

  oh_address_to_wire (agent_address (agent), &from);
  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_ANSWER;
  relay.search = question;
  relay.owner = &from;
  relay.held = (ProtobufCBinaryData){ .data = held, .len = n_bytes };
  relay.wanted = (ProtobufCBinaryData){ .data = wanted, .len = n_bytes };
  length = oh_segment_relay_encode (&relay, &fixture->keyring, buffer, sizeof buffer);
  handle (fixture, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_RELAY,
                                                  .datagram = { .bytes = buffer, .length = length } });
}

static uint32_t
last_question (const fixture_t *fixture)
{
  for (unsigned i = fixture->n_sent; i > 0; i--)
    if (fixture->sent[i - 1].kind == OH__SEGMENT_RELAY_KIND__SEGMENT_ASK)
      return fixture->sent[i - 1].search;
  return 0;
}

static void
play_peer (fixture_t *fixture, const step_t *step)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  Oh__Address addresses[4];
  uint8_t buffer[OH_RELAY_MAX_BYTES];
  size_t length;

  oh_address_to_wire (peer_address (step->a), &addresses[0]);
  oh_address_to_wire (fixture_address ("100.64.0.7:40001"), &addresses[1]);
  oh_address_to_wire (fixture_address ("198.18.0.1:8443"), &addresses[2]);
  oh_address_to_wire (agent_address (step->c), &addresses[3]);
  relay.kind = (Oh__SegmentRelayKind)step->b;
  relay.balancer = &addresses[0];
  relay.caller = &addresses[1];
  relay.route = &addresses[2];
  if (relay.kind == OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD)
    relay.owner = &addresses[3];
  length = oh_segment_relay_encode (&relay, &fixture->keyring, buffer, sizeof buffer);
  handle (fixture, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_RELAY,
                                                  .datagram = { .bytes = buffer, .length = length } });
}

static void
play_caller (fixture_t *fixture, const step_t *step)
{
  fixture_segment_t segment = fixture_segment (
    fixture_address ("100.64.0.7:40001"), fixture_address ("198.18.0.1:8443"), (unsigned)step->a,
    (step->a & FIXTURE_SYN) != 0 ? 7000 : 7001, (uint32_t)step->b, (unsigned)step->c);

  handle (fixture,
          (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_CALLER,
                                         .datagram = { .bytes = segment.bytes, .length = segment.length } });
}

static void
play_answer (fixture_t *fixture, const step_t *step, int agent)
{
  const oh_address_t from = agent_address (agent);
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  Oh__Load load;
  Oh__Address addresses[3];
  char name[16];
  uint8_t buffer[OH_RELAY_MAX_BYTES];
  fixture_segment_t segment = fixture_segment (
    fixture_address ("100.64.0.7:40001"), fixture_address ("198.18.0.1:8443"),
    step->b == OH__SEGMENT_RELAY_KIND__SEGMENT_REFUSED ? FIXTURE_SYN : FIXTURE_ACK, 7000, 0, 0);
  size_t length;

  g_snprintf (name, sizeof name, "agent-%d", agent);
  fill_load (fixture, agent, name, &load, &addresses[0]);
  oh_address_to_wire (fixture_address ("100.64.0.7:40001"), &addresses[1]);
  oh_address_to_wire (fixture_address ("198.18.0.1:8443"), &addresses[2]);
  relay.kind = (Oh__SegmentRelayKind)step->b;
  relay.refused = (Oh__Result)step->c;
  relay.load = &load;
  relay.caller = &addresses[1];
  relay.route = &addresses[2];
  for (unsigned i = 0; i < fixture->n_sent; i++)
    if (oh_address_equal (fixture->sent[i].to, from))
      relay.search = fixture->sent[i].search;
  if (relay.search == 0)
    relay.segment = (ProtobufCBinaryData){ .len = segment.length, .data = segment.bytes };
  length = oh_segment_relay_encode (&relay, &fixture->keyring, buffer, sizeof buffer);
  handle (fixture, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_RELAY,
                                                  .datagram = { .bytes = buffer, .length = length } });
}

static int
last_agent (const fixture_t *fixture)
{
  g_assert_cmpuint (fixture->n_sent, >, 0);
  return fixture->sent[fixture->n_sent - 1].to.port - 9000;
}

static unsigned
count_sent (fixture_t *fixture, int kind)
{
  unsigned count = 0;

  for (unsigned i = fixture->seen_sent; i < fixture->n_sent; i++)
    count += (int)fixture->sent[i].kind == kind;
  fixture->seen_sent = fixture->n_sent;
  return count;
}

static void
play (fixture_t *fixture, const step_t *step, const char *name, unsigned index)
{
  unsigned got = 0;

  switch (step->kind)
    {
    case STEP_END:
      return;
    case STEP_PEERS:
      fixture->peers = true;
      return;
    case STEP_NO_PEERS:
      fixture->peers = false;
      return;
    case STEP_NO_UPSTREAM:
      fixture->no_upstream = true;
      return;
    case STEP_PEER:
      play_peer (fixture, step);
      return;
    case STEP_VIEW:
      play_view (fixture, step);
      return;
    case STEP_CALLER:
      play_caller (fixture, step);
      return;
    case STEP_ANSWER:
      play_answer (fixture, step, step->a);
      return;
    case STEP_ANSWER_LAST:
      play_answer (fixture, step, last_agent (fixture));
      return;
    case STEP_WANTED:
      play_search_answer (fixture, step->a, last_question (fixture), &(uint8_t){ 0 }, &(uint8_t){ 1 }, 1);
      return;
    case STEP_WAIT:
      for (int ms = 0; ms < step->a; ms += OH_SEGMENT_TICK_MS)
        {
          fixture->now_us += (int64_t)MIN (OH_SEGMENT_TICK_MS, step->a - ms) * 1000;
          handle (fixture, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_TICK });
        }
      return;
    case STEP_PAUSE:
      fixture->now_us += (int64_t)step->a * 1000;
      return;
    case EXPECT_SENT:
      got = count_sent (fixture, step->a);
      if (got != (unsigned)step->b)
        g_error ("case %s, step %u: %u messages of kind %d, expected %d", name, index, got, step->a, step->b);
      return;
    case EXPECT_RESETS:
      got = fixture->resets - fixture->seen_resets;
      fixture->seen_resets = fixture->resets;
      if (got != (unsigned)step->a)
        g_error ("case %s, step %u: %u resets, expected %d", name, index, got, step->a);
      return;
    case EXPECT_LAST:
      if (last_agent (fixture) != step->a)
        g_error ("case %s, step %u: last message to agent %d, expected %d", name, index, last_agent (fixture),
                 step->a);
      return;
    }
}

#define OPEN OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN
#define DELIVER OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER
#define SEARCH OH__SEGMENT_RELAY_KIND__SEGMENT_SEARCH
#define ASK OH__SEGMENT_RELAY_KIND__SEGMENT_ASK
#define ACCEPTED OH__SEGMENT_RELAY_KIND__SEGMENT_ACCEPTED
#define REFUSED OH__SEGMENT_RELAY_KIND__SEGMENT_REFUSED
#define OWNED OH__SEGMENT_RELAY_KIND__SEGMENT_OWNED
#define ABSENT OH__SEGMENT_RELAY_KIND__SEGMENT_ABSENT
#define RECORD OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD
#define LOOKUP OH__SEGMENT_RELAY_KIND__SEGMENT_LOOKUP
#define UNKNOWN OH__SEGMENT_RELAY_KIND__SEGMENT_UNKNOWN
#define OVERLOADED OH__RESULT__RESULT_NOT_RUN_OVERLOADED
#define LEAVING OH__RESULT__RESULT_NOT_RUN_DRAINING

#define CONFIRMED_VIEW(text)                                                                                 \
  {                                                                                                          \
    STEP_VIEW, 1, 1, AGENTS, text                                                                            \
  }
#define FIRST                                                                                                \
  {                                                                                                          \
    STEP_CALLER, FIXTURE_SYN, 0, 0, NULL                                                                     \
  }
#define COPY(n)                                                                                              \
  {                                                                                                          \
    STEP_CALLER, FIXTURE_SYN, n, 0, NULL                                                                     \
  }
#define REQUEST                                                                                              \
  {                                                                                                          \
    STEP_CALLER, FIXTURE_ACK, 5, 20, NULL                                                                    \
  }
#define BY(agent, kind)                                                                                      \
  {                                                                                                          \
    STEP_ANSWER, agent, kind, 0, NULL                                                                        \
  }
#define BY_LAST(kind, result)                                                                                \
  {                                                                                                          \
    STEP_ANSWER_LAST, 0, kind, result, NULL                                                                  \
  }
#define WANTED_BY(agent)                                                                                     \
  {                                                                                                          \
    STEP_WANTED, agent, 0, 0, NULL                                                                           \
  }
#define PEERS                                                                                                \
  {                                                                                                          \
    STEP_PEERS, 0, 0, 0, NULL                                                                                \
  }
#define AGENT_WITHOUT_UPSTREAM                                                                               \
  {                                                                                                          \
    STEP_NO_UPSTREAM, 0, 0, 0, NULL                                                                          \
  }
#define NO_PEERS                                                                                             \
  {                                                                                                          \
    STEP_NO_PEERS, 0, 0, 0, NULL                                                                             \
  }
#define BY_PEER(peer, kind, agent)                                                                           \
  {                                                                                                          \
    STEP_PEER, peer, kind, agent, NULL                                                                       \
  }
#define WAIT(ms)                                                                                             \
  {                                                                                                          \
    STEP_WAIT, ms, 0, 0, NULL                                                                                \
  }
#define SENT(kind, n)                                                                                        \
  {                                                                                                          \
    EXPECT_SENT, kind, n, 0, NULL                                                                            \
  }
#define RESETS(n)                                                                                            \
  {                                                                                                          \
    EXPECT_RESETS, n, 0, 0, NULL                                                                             \
  }

static const struct
{
  const char *name; /* the failure that it guards against */
  step_t steps[STEPS_MAX];
} cases[] = {
  { "placed before a confirmed view",
    { { STEP_VIEW, 0, 1, AGENTS, kiln_text }, FIRST, SENT (OPEN, 0), RESETS (0) } },
  { "segments of an open flow go astray",
    { CONFIRMED_VIEW (kiln_text), FIRST, SENT (OPEN, 1), BY_LAST (ACCEPTED, 0), REQUEST,
      SENT (DELIVER, 1) } },
  { "no answer for a route that does not exist",
    { CONFIRMED_VIEW (no_route_text), FIRST, SENT (OPEN, 0), RESETS (1) } },
  { "a copy without a record is reset although the flow may be open",
    { CONFIRMED_VIEW (no_route_text), COPY (1), RESETS (0) } },
  { "refused flows are not offered to other agents",
    { CONFIRMED_VIEW (kiln_text), FIRST, BY_LAST (REFUSED, LEAVING), BY_LAST (REFUSED, LEAVING),
      SENT (OPEN, 3), RESETS (0), BY_LAST (REFUSED, LEAVING), RESETS (1) } },
  { "a flow is reset while an agent may still open it",
    { CONFIRMED_VIEW (kiln_text), FIRST, WAIT (200), COPY (1), SENT (OPEN, 2), BY_LAST (REFUSED, LEAVING),
      SENT (OPEN, 0), RESETS (0) } },
  { "a first segment that nobody answered is not offered again",
    { CONFIRMED_VIEW (kiln_text), FIRST, SENT (OPEN, 1), WAIT (200), COPY (1), SENT (OPEN, 1) } },
  { "an accepted flow is offered to a second agent",
    { CONFIRMED_VIEW (kiln_text), FIRST, BY_LAST (ACCEPTED, 0), WAIT (200), SENT (OPEN, 1), COPY (1),
      SENT (OPEN, 1), REQUEST, SENT (DELIVER, 1) } },
  { "both agents that may hold a flow do not get its next segment",
    { CONFIRMED_VIEW (kiln_text), FIRST, WAIT (200), COPY (1), SENT (OPEN, 2), REQUEST, SENT (DELIVER, 2),
      BY_LAST (OWNED, 0), REQUEST, SENT (DELIVER, 1) } },
  { "an overloaded service burns the caller's retries",
    { CONFIRMED_VIEW (kiln_text), FIRST, BY_LAST (REFUSED, OVERLOADED), BY_LAST (REFUSED, OVERLOADED),
      BY_LAST (REFUSED, OVERLOADED), SENT (OPEN, 3), RESETS (0), WAIT (200), COPY (1), SENT (OPEN, 1) } },
  { "a service without room keeps callers waiting after their last copy",
    { CONFIRMED_VIEW (kiln_text), FIRST, BY_LAST (REFUSED, OVERLOADED), BY_LAST (REFUSED, OVERLOADED),
      BY_LAST (REFUSED, OVERLOADED), WAIT (200), COPY (1), BY_LAST (REFUSED, OVERLOADED),
      BY_LAST (REFUSED, OVERLOADED), BY_LAST (REFUSED, OVERLOADED), WAIT (400), RESETS (0), COPY (2),
      BY_LAST (REFUSED, OVERLOADED), BY_LAST (REFUSED, OVERLOADED), BY_LAST (REFUSED, OVERLOADED),
      RESETS (1) } },
  { "a service without room takes none of the room of the route's other service (azf-bake hunt-2ee0-35)",
    { CONFIRMED_VIEW (both_text), FIRST, BY_LAST (REFUSED, OVERLOADED), BY_LAST (REFUSED, OVERLOADED),
      SENT (OPEN, 3), BY_LAST (ACCEPTED, 0), RESETS (0) } },
  { "a flow without a record is not searched",
    { CONFIRMED_VIEW (kiln_text),
      REQUEST,
      SENT (ASK, AGENTS),
      BY (1, OWNED),
      SENT (DELIVER, 1),
      REQUEST,
      SENT (DELIVER, 1),
      { EXPECT_LAST, 1, 0, 0, NULL } } },
  { "a flow that an earlier configuration led elsewhere is reset (azf-bake quiet-1: FLOW)",
    { CONFIRMED_VIEW (kiln_text),
      REQUEST,
      SENT (ASK, AGENTS),
      BY (0, ABSENT),
      BY (1, ABSENT),
      BY (2, ABSENT),
      RESETS (0),
      SENT (ASK, 0),
      BY (3, ABSENT),
      BY (4, OWNED),
      RESETS (0),
      SENT (DELIVER, 1),
      REQUEST,
      SENT (DELIVER, 1),
      { EXPECT_LAST, 4, 0, 0, NULL } } },
  { "a flow is reset because its route changed during the search (azf-bake hunt-2ee0-19: FLOW)",
    { CONFIRMED_VIEW (scan_text), WAIT (2000), REQUEST, SENT (ASK, AGENTS), CONFIRMED_VIEW (split_text),
      BY (3, ABSENT), BY (4, ABSENT), RESETS (0), SENT (ASK, 0), BY (1, OWNED), SENT (DELIVER, 1), REQUEST,
      SENT (DELIVER, 1) } },
  { "the caller of a flow that is nowhere waits for its deadline",
    { CONFIRMED_VIEW (split_text), WAIT (2000), REQUEST, SENT (ASK, AGENTS), BY (0, ABSENT), BY (1, ABSENT),
      BY (2, ABSENT), BY (3, ABSENT), RESETS (0), BY (4, ABSENT), RESETS (1) } },
  { "repeated answers of one agent count as those of all",
    { CONFIRMED_VIEW (split_text), WAIT (2000), REQUEST, BY (0, ABSENT), BY (0, ABSENT), BY (0, ABSENT),
      BY (0, ABSENT), BY (0, ABSENT), RESETS (0) } },
  { "a flow is reset although upstreams may not be listed yet",
    { { STEP_VIEW, 1, 0, AGENTS, split_text },
      REQUEST,
      BY (0, ABSENT),
      BY (1, ABSENT),
      BY (2, ABSENT),
      BY (3, ABSENT),
      BY (4, ABSENT),
      RESETS (0) } },
  { "a flow that is nowhere is searched again and again (azf-bake-grown trouble-2: links full of searches)",
    { { STEP_VIEW, 1, 0, AGENTS, split_text },
      WAIT (2000),
      REQUEST,
      SENT (ASK, AGENTS),
      BY (0, ABSENT),
      BY (1, ABSENT),
      BY (2, ABSENT),
      BY (3, ABSENT),
      BY (4, ABSENT),
      RESETS (0),
      WAIT (300),
      REQUEST,
      SENT (ASK, 0),
      WAIT (1000),
      REQUEST,
      SENT (ASK, AGENTS) } },
  { "callers of dead flows wait on although all agents are listed by now (scs-ops trouble-1: 1.4 s after "
    "power)",
    { { STEP_VIEW, 1, 0, KILN_AGENTS, split_text },
      REQUEST,
      SENT (ASK, KILN_AGENTS),
      BY (0, ABSENT),
      BY (1, ABSENT),
      BY (2, ABSENT),
      RESETS (0),
      { STEP_VIEW, 1, 1, AGENTS, split_text },
      RESETS (0),
      WAIT (OH_SEGMENT_TICK_MS),
      SENT (ASK, AGENTS),
      BY (0, ABSENT),
      BY (1, ABSENT),
      BY (2, ABSENT),
      BY (3, ABSENT),
      RESETS (0),
      BY (4, ABSENT),
      RESETS (1) } },
  { "a dead flow whose agents had all been asked is not reset when they turn out to be all",
    { { STEP_VIEW, 1, 0, AGENTS, split_text },
      REQUEST,
      BY (0, ABSENT),
      BY (1, ABSENT),
      BY (2, ABSENT),
      BY (3, ABSENT),
      BY (4, ABSENT),
      RESETS (0),
      { STEP_VIEW, 1, 1, AGENTS, split_text },
      RESETS (1),
      WAIT (100),
      { STEP_VIEW, 1, 1, AGENTS, split_text },
      RESETS (0) } },
  { "a flow that was found after all is reset when all agents are listed",
    { { STEP_VIEW, 1, 0, KILN_AGENTS, kiln_text },
      REQUEST,
      BY (0, ABSENT),
      BY (1, ABSENT),
      BY (2, ABSENT),
      FIRST,
      { STEP_VIEW, 1, 1, KILN_AGENTS, kiln_text },
      RESETS (0) } },
  { "an agent that restarted beside a live upstream is not asked (its announcement names no service yet)",
    { AGENT_WITHOUT_UPSTREAM, CONFIRMED_VIEW (kiln_text), REQUEST, SENT (ASK, AGENTS), BY (AGENTS - 1, OWNED),
      SENT (DELIVER, 1) } },
  { "what waited while the process was paused is reset",
    { CONFIRMED_VIEW (no_route_text), WAIT (2000), { STEP_PAUSE, 4000, 0, 0, NULL }, FIRST, RESETS (0) } },
  { "searches flood the agents",
    { CONFIRMED_VIEW (kiln_text), REQUEST, REQUEST, REQUEST, REQUEST, REQUEST, REQUEST,
      SENT (ASK, AGENTS) } },
  { "a restarted agent that lost the flow keeps getting its segments",
    { CONFIRMED_VIEW (kiln_text), FIRST, BY_LAST (ACCEPTED, 0), BY_LAST (OWNED, 0), REQUEST,
      SENT (DELIVER, 1), BY_LAST (ABSENT, 0), SENT (ASK, AGENTS) } },
  { "upstreams that have not announced themselves yet count as missing",
    { { STEP_VIEW, 1, 0, 0, kiln_text },
      FIRST,
      RESETS (0),
      WAIT (200),
      COPY (1),
      RESETS (0),
      WAIT (400),
      COPY (2),
      RESETS (1) } },
  { "other balancers do not learn the owner of a flow",
    { PEERS, CONFIRMED_VIEW (kiln_text), FIRST, BY_LAST (ACCEPTED, 0), SENT (OPEN, 1), REQUEST,
      SENT (RECORD, 2), REQUEST, SENT (RECORD, 0) } },
  { "a flow whose owner another balancer knows is searched (azf-bake-grown quiet-1: links full of searches)",
    { PEERS,
      CONFIRMED_VIEW (kiln_text),
      REQUEST,
      SENT (LOOKUP, 2),
      BY_PEER (1, RECORD, 2),
      SENT (DELIVER, 1),
      { EXPECT_LAST, 2, 0, 0, NULL },
      BY_PEER (2, UNKNOWN, 0),
      REQUEST,
      SENT (DELIVER, 1) } },
  { "a request of two segments loses the second one during the lookup (azf-bake quiet-1: late notes)",
    { PEERS, CONFIRMED_VIEW (kiln_text), REQUEST, REQUEST, SENT (LOOKUP, 2), BY_PEER (1, RECORD, 2),
      SENT (DELIVER, 2) } },
  { "a flow that no balancer knows is not searched",
    { PEERS, CONFIRMED_VIEW (kiln_text), REQUEST, SENT (LOOKUP, 2), BY_PEER (1, UNKNOWN, 0), SENT (ASK, 0),
      BY_PEER (2, UNKNOWN, 0), SENT (ASK, AGENTS) } },
  { "a balancer that does not answer keeps a flow from being searched",
    { PEERS, CONFIRMED_VIEW (kiln_text), REQUEST, SENT (LOOKUP, 2), BY_PEER (1, UNKNOWN, 0), WAIT (100),
      SENT (ASK, AGENTS) } },
  { "a lookup before the holders had announced themselves is the last one (azf-bake-grown trouble-3: 14 s of "
    "searches after all processes were killed)",
    { CONFIRMED_VIEW (kiln_text), REQUEST, SENT (ASK, AGENTS), PEERS, CONFIRMED_VIEW (kiln_text), WAIT (100),
      REQUEST, SENT (LOOKUP, 2), BY_PEER (1, RECORD, 2), SENT (DELIVER, 2), REQUEST, SENT (DELIVER, 1) } },
  { "an agent that needs the segment to tell does not get it",
    { CONFIRMED_VIEW (kiln_text),
      REQUEST,
      SENT (ASK, AGENTS),
      WANTED_BY (1),
      SENT (SEARCH, 1),
      { EXPECT_LAST, 1, 0, 0, NULL },
      BY (1, OWNED),
      SENT (DELIVER, 1) } },
  { "the directory is empty after its balancers were restarted (azf-bake-grown trouble-2: rolled fronts)",
    { PEERS, CONFIRMED_VIEW (kiln_text), FIRST, BY_LAST (ACCEPTED, 0), REQUEST, SENT (RECORD, 2), REQUEST,
      SENT (RECORD, 0), NO_PEERS, CONFIRMED_VIEW (kiln_text), PEERS, CONFIRMED_VIEW (kiln_text), REQUEST,
      SENT (RECORD, 2) } },
  { "a record that has become wrong is kept",
    { PEERS,
      CONFIRMED_VIEW (kiln_text),
      BY_PEER (1, RECORD, 2),
      REQUEST,
      SENT (DELIVER, 1),
      BY (2, ABSENT),
      SENT (ASK, AGENTS),
      BY (0, OWNED),
      SENT (DELIVER, 1),
      REQUEST,
      SENT (DELIVER, 1),
      { EXPECT_LAST, 0, 0, 0, NULL } } },
  { "a record replaces what the balancer saw itself",
    { PEERS,
      CONFIRMED_VIEW (kiln_text),
      REQUEST,
      BY_PEER (1, RECORD, 2),
      BY (0, OWNED),
      BY_PEER (1, RECORD, 1),
      REQUEST,
      { EXPECT_LAST, 0, 0, 0, NULL } } },
  { "a balancer does not answer the question of another one",
    { PEERS, CONFIRMED_VIEW (kiln_text), BY_PEER (1, LOOKUP, 0), SENT (UNKNOWN, 1), BY_PEER (2, RECORD, 1),
      BY_PEER (1, LOOKUP, 0), SENT (RECORD, 1) } },
  { "a service that has no upstream keeps its callers waiting",
    { { STEP_VIEW, 1, 1, 0, kiln_text }, WAIT (4000), FIRST, RESETS (1) } },
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

/* Guards against decoders of the balancer that crash on bad input or act on it. */
static void
test_malformed (void)
{
  static const struct
  {
    const char *name;
    size_t length;
    unsigned lying; /* length of the data that the header names */
  } shapes[] = {
    { "empty", 0, 0 },
    { "cut short", 31, 0 },
    { "length too great", 40, 20 },
    { "length too small", 60, 8 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (shapes); i++)
    for (int relay = 0; relay < 2; relay++)
      {
        const step_t view = CONFIRMED_VIEW (kiln_text);
        fixture_segment_t segment = fixture_segment (
          fixture_address ("100.64.0.7:40001"), fixture_address ("198.18.0.1:8443"), FIXTURE_ACK, 1, 1, 0);
        static fixture_t fixture;

        setup (&fixture);
        play_view (&fixture, &view);
        fixture_put (segment.bytes + 24, shapes[i].lying, 2);
        handle (&fixture, (oh_segment_balancer_event_t){
                            .kind = relay ? OH_SEGMENT_BALANCER_RELAY : OH_SEGMENT_BALANCER_CALLER,
                            .datagram = { .bytes = segment.bytes, .length = shapes[i].length } });
        g_assert_cmpuint (fixture.n_sent, ==, 0);
        g_assert_cmpuint (fixture.resets, ==, 0);
        teardown (&fixture);
      }
}

static oh_address_t
numbered_caller (unsigned i)
{
  return (oh_address_t){ .ipv4 = 0x64400001 + i, .port = 1000 };
}

static void
play_numbered_caller (fixture_t *fixture, unsigned i)
{
  fixture_segment_t segment
    = fixture_segment (numbered_caller (i), fixture_address ("198.18.0.1:8443"), FIXTURE_ACK, 1, 1, 20);

  handle (fixture,
          (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_CALLER,
                                         .datagram = { .bytes = segment.bytes, .length = segment.length } });
}

static void
play_tick (fixture_t *fixture)
{
  fixture->now_us += (int64_t)OH_SEGMENT_TICK_MS * 1000;
  handle (fixture, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_TICK });
}

/* Guards against searches that fill the link of a balancer that has lost its records: one question names many
 * flows, and its answers tell them apart (scs-ops-grown trouble-1: dead flows reset over 8 s). */
static void
test_search_many (void)
{
  enum
  {
    FLOWS = 20,
    HELD = 3,
    WANTED = 9,
    BYTES = (FLOWS + 7) / 8,
  };
  const step_t view = CONFIRMED_VIEW (kiln_text);
  uint8_t none[BYTES] = { 0 };
  uint8_t held[BYTES] = { 1 << HELD };
  uint8_t wanted[BYTES] = { 0, 1 << (WANTED - 8) };
  static fixture_t fixture;
  uint32_t question;

  setup (&fixture);
  play_view (&fixture, &view);
  fixture.core.search_budget = 10;
  for (unsigned i = 0; i < FLOWS; i++)
    play_numbered_caller (&fixture, i);
  g_assert_cmpuint (fixture.n_sent, ==, 0);
  play_tick (&fixture);
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS);
  for (unsigned i = 0; i < AGENTS; i++)
    g_assert_cmpuint (fixture.sent[i].n_flows, ==, FLOWS);
  question = fixture.sent[0].search;

  play_search_answer (&fixture, 0, question, none, none, BYTES - 1);  /* cut short */
  play_search_answer (&fixture, 0, question + 1, held, none, BYTES);  /* of no question */
  play_search_answer (&fixture, AGENTS, question, held, none, BYTES); /* of an agent that was not asked */
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS);
  for (int agent = 0; agent < AGENTS - 1; agent++)
    {
      play_search_answer (&fixture, agent, question, none, none, BYTES);
      play_search_answer (&fixture, agent, question, none, none, BYTES);
    }
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS);
  g_assert_cmpuint (fixture.resets, ==, 0);
  play_search_answer (&fixture, AGENTS - 1, question, held, wanted, BYTES);
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS + 2);
  g_assert_cmpint (fixture.sent[AGENTS].kind, ==, DELIVER);
  g_assert_true (oh_address_equal (fixture.sent[AGENTS].segment.from, numbered_caller (HELD)));
  g_assert_cmpint (fixture.sent[AGENTS + 1].kind, ==, SEARCH);
  g_assert_true (oh_address_equal (fixture.sent[AGENTS + 1].segment.from, numbered_caller (WANTED)));
  g_assert_cmpuint (fixture.resets, ==, FLOWS - 2);
  /* What agents want counts, too. */
  fixture.core.search_budget = 0;
  play_search_answer (&fixture, AGENTS - 1, question, none, wanted, BYTES);
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS + 2);
  teardown (&fixture);
}

/* Guards against searches beyond the budget, and against flows that are then never asked for. */
static void
test_search_budget (void)
{
  const unsigned per_tick = OH_SEGMENT_SEARCH_MESSAGES_PER_S * OH_SEGMENT_TICK_MS / 1000;
  const step_t view = CONFIRMED_VIEW (kiln_text);
  static fixture_t fixture;

  setup (&fixture);
  play_view (&fixture, &view);
  fixture.core.search_budget = -(int)per_tick;
  for (unsigned i = 0; i < 20; i++)
    play_numbered_caller (&fixture, i);
  play_tick (&fixture);
  g_assert_cmpuint (fixture.n_sent, ==, 0);
  play_tick (&fixture);
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS);
  g_assert_cmpuint (fixture.sent[0].n_flows, ==, 20);
  /* Without an answer each is asked for again with its caller's next segment, but not at once. */
  for (unsigned i = 0; i < 20; i++)
    play_numbered_caller (&fixture, i);
  play_tick (&fixture);
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS);
  for (unsigned i = 0; i < 20; i++)
    play_numbered_caller (&fixture, i);
  play_tick (&fixture);
  g_assert_cmpuint (fixture.n_sent, ==, 2 * AGENTS);
  teardown (&fixture);
}

static const step_t open_steps[] = {
  CONFIRMED_VIEW (kiln_text),
  FIRST,
  BY_LAST (ACCEPTED, 0),
  REQUEST,
};

static void
open_flow (fixture_t *fixture, int durable)
{
  setup (fixture);
  fixture->peers = true;
  fixture->durable = durable;
  for (size_t i = 0; i < G_N_ELEMENTS (open_steps); i++)
    play (fixture, &open_steps[i], "open a flow", (unsigned)i);
}

/* Guards against flows that nobody remembers after all processes were killed at once, though their upstreams
 * live (azf-bake-grown trouble-3: 14 s until all were found). */
static void
test_holders_with_disk (void)
{
  static fixture_t fixture;

  for (int durable = 0; durable < 4; durable++)
    {
      unsigned to_durable = 0;

      open_flow (&fixture, durable);
      for (unsigned i = 0; i < fixture.n_sent; i++)
        to_durable
          += fixture.sent[i].kind == RECORD && oh_address_equal (fixture.sent[i].to, peer_address (durable));
      /* The last one is of another availability zone. */
      g_assert_cmpuint (to_durable, ==, durable == 1 || durable == 2);
      if (durable == 0)
        g_assert_cmpuint (fixture.stored, ==, 1);
      teardown (&fixture);
    }
}

static void
test_restored (void)
{
  const step_t view = CONFIRMED_VIEW (kiln_text);
  const step_t request = REQUEST;
  const step_t lookup = BY_PEER (1, LOOKUP, 0);
  const step_t record = BY_PEER (1, RECORD, 2);
  const oh_flow_key_t key = {
    .caller = fixture_address ("100.64.0.7:40001"),
    .route = fixture_address ("198.18.0.1:8443"),
  };
  static fixture_t fixture;

  setup (&fixture);
  fixture.peers = true;
  fixture.durable = 0;
  oh_segment_balancer_restore (&fixture.core, &key, agent_address (0), fixture.now_us);
  oh_segment_balancer_restore (&fixture.core, &key, agent_address (1), fixture.now_us); /* the later record */
  play_view (&fixture, &view);
  play_peer (&fixture, &lookup);
  g_assert_cmpuint (fixture.n_sent, ==, 1);
  g_assert_cmpint (fixture.sent[0].kind, ==, RECORD);
  play_caller (&fixture, &request);
  g_assert_cmpint (fixture.sent[fixture.n_sent - 1].kind, ==, DELIVER);
  g_assert_true (oh_address_equal (fixture.sent[fixture.n_sent - 1].to, agent_address (1)));
  fixture.stored = 0;
  oh_segment_balancer_store_all (&fixture.core, &fixture.sink);
  g_assert_cmpuint (fixture.stored, ==, 1);
  g_assert_true (oh_address_equal (fixture.stored_owner, agent_address (1)));
  teardown (&fixture);

  /* What another balancer tells is stored; an old record does not replace what was learned since. */
  setup (&fixture);
  fixture.peers = true;
  play_view (&fixture, &view);
  play_peer (&fixture, &record);
  g_assert_cmpuint (fixture.stored, ==, 1);
  g_assert_true (oh_address_equal (fixture.stored_owner, agent_address (2)));
  teardown (&fixture);
  open_flow (&fixture, -1);
  oh_segment_balancer_restore (&fixture.core, &key, agent_address (4), fixture.now_us);
  play_caller (&fixture, &request);
  g_assert_false (oh_address_equal (fixture.sent[fixture.n_sent - 1].to, agent_address (4)));
  teardown (&fixture);
}

/* Guards against a table of flows that grows without bound. */
static void
test_bound (void)
{
  const step_t view = CONFIRMED_VIEW (kiln_text);
  static fixture_t fixture;

  setup (&fixture);
  play_view (&fixture, &view);
  for (unsigned i = 0; i < 250; i++)
    {
      const oh_address_t caller = { .ipv4 = 0x64400001 + i, .port = 1000 };
      fixture_segment_t segment
        = fixture_segment (caller, fixture_address ("198.18.0.1:8443"), FIXTURE_SYN, 1, 0, 0);

      handle (&fixture, (oh_segment_balancer_event_t){
                          .kind = OH_SEGMENT_BALANCER_CALLER,
                          .datagram = { .bytes = segment.bytes, .length = segment.length } });
    }
  g_assert_cmpuint (g_hash_table_size (fixture.core.flows), ==, 100);
  teardown (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/segment-balancer/cases", test_cases);
  g_test_add_func ("/segment-balancer/malformed", test_malformed);
  g_test_add_func ("/segment-balancer/search-many", test_search_many);
  g_test_add_func ("/segment-balancer/search-budget", test_search_budget);
  g_test_add_func ("/segment-balancer/holders-with-disk", test_holders_with_disk);
  g_test_add_func ("/segment-balancer/restored", test_restored);
  g_test_add_func ("/segment-balancer/bound", test_bound);
  return g_test_run ();
}
