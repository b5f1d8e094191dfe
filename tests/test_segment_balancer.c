#define OH_LOG_MODULE "test"

#include "core/segment_balancer.h"

#include <string.h>

#include "base/seeded_random.h"
#include "segment_fixture.h"

/* Each case is a list of steps that are run on a balancer with the agents of two services. */

enum
{
  KILN_AGENTS = 3,
  SCAN_AGENTS = 2,
  AGENTS = KILN_AGENTS + SCAN_AGENTS,
  STEPS_MAX = 48,
  ANY = -1,
  DENIED = 1, /* in place of the result of an ABSENT: the upstream has said that it does not have the flow */
};

#define SERVICES "[oriolehaven]\nname=test\n[service kiln-log]\n[service scan-serve]\n"
#define FEED_ROUTE "[route 198.18.0.1:8443]\nname=feed\nkind=repeatable\n"
#define TRANSFER_ROUTE "[route 198.18.0.2:8443]\nname=transfer\nkind=transfer\ntargets=scan-serve:1\n"

#define KILN_ROUTE "[route 198.18.0.3:8443]\nname=x\nkind=once\ntargets=kiln-log:1\n"

static const char split_text[] = SERVICES FEED_ROUTE "targets=kiln-log:1,scan-serve:0\n" TRANSFER_ROUTE;
static const char kiln_text[] = SERVICES FEED_ROUTE "targets=kiln-log:1\n" TRANSFER_ROUTE;
static const char scan_text[] = SERVICES FEED_ROUTE "targets=scan-serve:1\n" TRANSFER_ROUTE KILN_ROUTE;
static const char both_text[] = SERVICES FEED_ROUTE "targets=kiln-log:1,scan-serve:1000000\n" TRANSFER_ROUTE;
static const char timely_text[] = SERVICES FEED_ROUTE "target_ms=400\ntargets=kiln-log:1\n" TRANSFER_ROUTE;
static const char spare_text[]
  = SERVICES FEED_ROUTE "target_ms=400\ntargets=kiln-log:1,scan-serve:1000000\n" TRANSFER_ROUTE;
static const char classes_text[]
  = SERVICES FEED_ROUTE "class=2\ntarget_ms=400\ntargets=kiln-log:1\n" TRANSFER_ROUTE
                        "[route 198.18.0.3:8443]\nname=x\nkind=once\nclass=1\ntargets=kiln-log:1\n";
static const char no_route_text[]
  = SERVICES TRANSFER_ROUTE "[route 198.18.0.3:8443]\nname=x\nkind=once\ntargets=kiln-log:1\n";

typedef enum
{
  STEP_END,
  STEP_LIST_PEERS, /* later views list two other balancers of the zone */
  STEP_UNLIST_PEERS,
  STEP_DRAIN_ZONE,           /* a: later views list the zone of the first a agents as drained */
  STEP_UNANNOUNCED_UPSTREAM, /* later views list the last agent without a service: its upstream has not
                                announced itself */
  STEP_PEER_MESSAGE,         /* a: peer, b: kind, c: agent named as owner; a message about the flow */
  STEP_VIEW,          /* text: configuration; a: confirmed, b: all agents listed, c: number of agents */
  STEP_CALLER,        /* a: flags, b: acknowledged (of a SYN: earlier transmissions), c: length of data */
  STEP_AGENT_MESSAGE, /* a: agent, b: kind, c: result; answers the last query that the agent got */
  STEP_LAST_AGENT_MESSAGE, /* the same, from the agent that got the last message; text: not NULL if it refuses
                              the first transmission of the SYN instead of the last */
  STEP_WANTED,             /* a: agent; it needs a segment to answer the last query; b: to compare it only */
  STEP_RESTART_LAST_AGENT, /* the agent that got the last message is restarted */
  STEP_WAIT,               /* a: ms, with ticks meanwhile */
  STEP_WAIT_HELD,          /* a: ms; the same, and with the events while flows wait for a position */
  STEP_LIMIT,              /* a, b: limit and reserved part, c: service time in ms, in later load reports */
  EXPECT_OPEN,             /* a: yields, b: objective in ms, of the last message */
  STEP_PAUSE,              /* a: ms without an event, as while a process is stopped */
  EXPECT_SENT,             /* a: kind, b: messages of it since the last such check */
  EXPECT_RESETS,           /* a: resets since the last such check */
  EXPECT_LAST_AGENT,       /* a: agent that got the last message */
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
  unsigned n_checked; /* messages before the last check */
  unsigned resets;
  unsigned n_checked_resets;
  uint32_t reset_sequence;
  uint64_t view_version;
  uint64_t sequence; /* of load reports */
  bool peers;        /* views list two other balancers */
  int durable;       /* index of the balancer with a disk: 0 is this one, below 0 none */
  unsigned stored;
  oh_address_t stored_owner;
  int restarted; /* agent that is another process now, and has heard of no upstream yet; -1: none */
  int n_drained; /* the first agents, which are in a drained zone */
  bool unannounced_upstream; /* views list the last agent without a service */
  step_t limit;              /* the last STEP_LIMIT */
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

  *fixture
    = (fixture_t){ .sink = { .ops = &ops }, .now_us = 10 * G_USEC_PER_SEC, .durable = -1, .restarted = -1 };
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
  load->incarnation = 1000 + (uint64_t)agent + (fixture->restarted == agent ? 100 : 0);
  if (fixture->restarted == agent)
    load->state = OH__UPSTREAM_STATE__UPSTREAM_DRAINING;
  load->sequence = ++fixture->sequence;
  load->slots = 4;
  load->queued = 1;
  load->limit = (uint32_t)fixture->limit.a;
  load->reserved = (uint32_t)fixture->limit.b;
  load->service_us = (uint32_t)fixture->limit.c * 1000;
  load->max_flows = 100;
  load->agent = address;
}

static const char *
announced_service (const fixture_t *fixture, int agent)
{
  return fixture->unannounced_upstream && agent == AGENTS - 1 ? "" : agent_service (agent);
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
handle_view (fixture_t *fixture, const step_t *step)
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
  char *drained_zones[] = { (char *)"drained" };

  for (int i = 0; i < step->c; i++)
    {
      g_snprintf (names[i], sizeof names[i], "agent-%d", i);
      oh__member__init (&members[i]);
      fill_load (fixture, i, names[i], &loads[i], &addresses[i]);
      members[i].load = &loads[i];
      members[i].service_name = (char *)announced_service (fixture, i);
      loads[i].service = oh_service_id (members[i].service_name);
      members[i].zone = (char *)(i < fixture->n_drained ? "drained" : "a");
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
  message.drained_zones = drained_zones;
  message.n_drained_zones = fixture->n_drained > 0;
  if (fixture->peers)
    add_peers (fixture, &message, balancers, balancer_pointers, balancer_addresses);
  oh_view_merge (&view, 0, &message);
  handle (fixture, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_VIEW, .view = &view });
  oh_view_finish (&view);
}

/* Answers a query for an agent: bits of the flows that it owns, and of those for which it needs a segment. */
static void
handle_query_answer (fixture_t *fixture, int agent, uint32_t query, uint8_t *held, uint8_t *wanted,
                     size_t n_bytes)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  Oh__Address from;
  uint8_t buffer[OH_RELAY_MAX_BYTES];
  size_t length;

  oh_address_to_wire (agent_address (agent), &from);
  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_ANSWER;
  relay.search = query;
  relay.owner = &from;
  relay.held = (ProtobufCBinaryData){ .data = held, .len = n_bytes };
  relay.wanted = (ProtobufCBinaryData){ .data = wanted, .len = n_bytes };
  length = oh_segment_relay_encode (&relay, &fixture->keyring, buffer, sizeof buffer);
  handle (fixture, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_RELAY,
                                                  .datagram = { .bytes = buffer, .length = length } });
}

static uint32_t
last_query (const fixture_t *fixture)
{
  for (unsigned i = fixture->n_sent; i > 0; i--)
    if (fixture->sent[i - 1].kind == OH__SEGMENT_RELAY_KIND__SEGMENT_ASK)
      return fixture->sent[i - 1].search;
  return 0;
}

static void
handle_peer_message (fixture_t *fixture, const step_t *step)
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
handle_caller (fixture_t *fixture, const step_t *step)
{
  fixture_segment_t segment = fixture_segment (
    fixture_address ("100.64.0.7:40001"), fixture_address ("198.18.0.1:8443"), (unsigned)step->a,
    (step->a & FIXTURE_SYN) != 0 ? 7000 : 7001, (uint32_t)step->b, (unsigned)step->c);

  handle (fixture,
          (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_CALLER,
                                         .datagram = { .bytes = segment.bytes, .length = segment.length } });
}

static void
handle_agent_message (fixture_t *fixture, const step_t *step, int agent)
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
  uint32_t transmission = 0;
  size_t length;

  g_snprintf (name, sizeof name, "agent-%d", agent);
  fill_load (fixture, agent, name, &load, &addresses[0]);
  oh_address_to_wire (fixture_address ("100.64.0.7:40001"), &addresses[1]);
  oh_address_to_wire (fixture_address ("198.18.0.1:8443"), &addresses[2]);
  relay.kind = (Oh__SegmentRelayKind)step->b;
  relay.denied = step->b == OH__SEGMENT_RELAY_KIND__SEGMENT_ABSENT && step->c == DENIED;
  relay.refused = relay.denied ? OH__RESULT__RESULT_NONE : (Oh__Result)step->c;
  relay.load = &load;
  relay.caller = &addresses[1];
  relay.route = &addresses[2];
  for (unsigned i = 0; i < fixture->n_sent; i++)
    if (oh_address_equal (fixture->sent[i].to, from))
      {
        relay.search = fixture->sent[i].search;
        if (fixture->sent[i].kind == OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN)
          transmission = fixture->sent[i].segment.acknowledged;
      }
  /* An agent returns the transmission of the SYN that it refuses: the last one, unless the case says
   * otherwise. */
  if (step->b == OH__SEGMENT_RELAY_KIND__SEGMENT_REFUSED && step->text == NULL)
    fixture_put (segment.bytes + 20, transmission, 4);
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

  for (unsigned i = fixture->n_checked; i < fixture->n_sent; i++)
    count += (int)fixture->sent[i].kind == kind;
  fixture->n_checked = fixture->n_sent;
  return count;
}

static void
run_step (fixture_t *fixture, const step_t *step, const char *name, unsigned index)
{
  unsigned count = 0;

  switch (step->kind)
    {
    case STEP_END:
      return;
    case STEP_LIST_PEERS:
      fixture->peers = true;
      return;
    case STEP_DRAIN_ZONE:
      fixture->n_drained = step->a;
      return;
    case STEP_UNLIST_PEERS:
      fixture->peers = false;
      return;
    case STEP_UNANNOUNCED_UPSTREAM:
      fixture->unannounced_upstream = true;
      return;
    case STEP_PEER_MESSAGE:
      handle_peer_message (fixture, step);
      return;
    case STEP_VIEW:
      handle_view (fixture, step);
      return;
    case STEP_CALLER:
      handle_caller (fixture, step);
      return;
    case STEP_AGENT_MESSAGE:
      handle_agent_message (fixture, step, step->a);
      return;
    case STEP_RESTART_LAST_AGENT:
      fixture->restarted = last_agent (fixture);
      return;
    case STEP_LAST_AGENT_MESSAGE:
      handle_agent_message (fixture, step, last_agent (fixture));
      return;
    case STEP_WANTED:
      handle_query_answer (fixture, step->a, last_query (fixture), &(uint8_t){ (uint8_t)step->b },
                           &(uint8_t){ 1 }, 1);
      return;
    case STEP_WAIT:
      for (int ms = 0; ms < step->a; ms += OH_SEGMENT_TICK_MS)
        {
          fixture->now_us += (int64_t)MIN (OH_SEGMENT_TICK_MS, step->a - ms) * 1000;
          handle (fixture, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_TICK });
        }
      return;
    case STEP_WAIT_HELD:
      for (int ms = 0; ms < step->a; ms += OH_SEGMENT_HELD_INTERVAL_MS)
        {
          fixture->now_us += (int64_t)OH_SEGMENT_HELD_INTERVAL_MS * 1000;
          handle (fixture, (oh_segment_balancer_event_t){ .kind = fixture->now_us % (100 * 1000) == 0
                                                                    ? OH_SEGMENT_BALANCER_TICK
                                                                    : OH_SEGMENT_BALANCER_HELD });
        }
      return;
    case STEP_LIMIT:
      fixture->limit = *step;
      return;
    case EXPECT_OPEN:
      g_assert_cmpuint (fixture->n_sent, >, 0);
      if (fixture->sent[fixture->n_sent - 1].yields != (step->a != 0)
          || fixture->sent[fixture->n_sent - 1].target_ms != (uint32_t)step->b)
        g_error ("case '%s', step %u: the last offer has other terms", name, index);
      return;
    case STEP_PAUSE:
      fixture->now_us += (int64_t)step->a * 1000;
      return;
    case EXPECT_SENT:
      count = count_sent (fixture, step->a);
      if (count != (unsigned)step->b)
        g_error ("case '%s', step %u: %u messages of kind %d, expected %d", name, index, count, step->a,
                 step->b);
      return;
    case EXPECT_RESETS:
      count = fixture->resets - fixture->n_checked_resets;
      fixture->n_checked_resets = fixture->resets;
      if (count != (unsigned)step->a)
        g_error ("case '%s', step %u: %u resets, expected %d", name, index, count, step->a);
      return;
    case EXPECT_LAST_AGENT:
      if (last_agent (fixture) != step->a)
        g_error ("case '%s', step %u: last message to agent %d, expected %d", name, index,
                 last_agent (fixture), step->a);
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
#define DRAINING OH__RESULT__RESULT_NOT_RUN_DRAINING
#define UNANSWERED OH__RESULT__RESULT_NOT_RUN_UPSTREAM

#define CONFIRMED_VIEW(text)                                                                                 \
  {                                                                                                          \
    STEP_VIEW, 1, 1, AGENTS, text                                                                            \
  }
#define SYN                                                                                                  \
  {                                                                                                          \
    STEP_CALLER, FIXTURE_SYN, 0, 0, NULL                                                                     \
  }
#define RETRANSMITTED_SYN(n)                                                                                 \
  {                                                                                                          \
    STEP_CALLER, FIXTURE_SYN, n, 0, NULL                                                                     \
  }
#define REQUEST                                                                                              \
  {                                                                                                          \
    STEP_CALLER, FIXTURE_ACK, 5, 20, NULL                                                                    \
  }
#define FROM_AGENT(agent, kind)                                                                              \
  {                                                                                                          \
    STEP_AGENT_MESSAGE, agent, kind, 0, NULL                                                                 \
  }
#define FROM_LAST_AGENT(kind, result)                                                                        \
  {                                                                                                          \
    STEP_LAST_AGENT_MESSAGE, 0, kind, result, NULL                                                           \
  }
#define OPENING_AT(agent)                                                                                    \
  {                                                                                                          \
    STEP_WANTED, agent, 1, 0, NULL                                                                           \
  }
#define WANTED_BY(agent)                                                                                     \
  {                                                                                                          \
    STEP_WANTED, agent, 0, 0, NULL                                                                           \
  }
#define RESTART_LAST_AGENT                                                                                   \
  {                                                                                                          \
    STEP_RESTART_LAST_AGENT, 0, 0, 0, NULL                                                                   \
  }
#define LIST_PEERS                                                                                           \
  {                                                                                                          \
    STEP_LIST_PEERS, 0, 0, 0, NULL                                                                           \
  }
#define UNANNOUNCED_UPSTREAM                                                                                 \
  {                                                                                                          \
    STEP_UNANNOUNCED_UPSTREAM, 0, 0, 0, NULL                                                                 \
  }
#define DRAIN_ZONE(agents)                                                                                   \
  {                                                                                                          \
    STEP_DRAIN_ZONE, agents, 0, 0, NULL                                                                      \
  }
#define UNLIST_PEERS                                                                                         \
  {                                                                                                          \
    STEP_UNLIST_PEERS, 0, 0, 0, NULL                                                                         \
  }
#define FROM_PEER(peer, kind, agent)                                                                         \
  {                                                                                                          \
    STEP_PEER_MESSAGE, peer, kind, agent, NULL                                                               \
  }
#define ALL_REFUSE                                                                                           \
  FROM_LAST_AGENT (REFUSED, OVERLOADED), FROM_LAST_AGENT (REFUSED, OVERLOADED),                              \
    FROM_LAST_AGENT (REFUSED, OVERLOADED)

#define LIMIT(limit, reserved, service_ms)                                                                   \
  {                                                                                                          \
    STEP_LIMIT, limit, reserved, service_ms, NULL                                                            \
  }
#define WAIT_HELD(ms)                                                                                        \
  {                                                                                                          \
    STEP_WAIT_HELD, ms, 0, 0, NULL                                                                           \
  }
#define TERMS(yields, target_ms)                                                                             \
  {                                                                                                          \
    EXPECT_OPEN, yields, target_ms, 0, NULL                                                                  \
  }
#define HELD_100 FROM_LAST_AGENT (REFUSED, OVERLOADED), WAIT_HELD (100)
#define FULL_AGENTS(text, service_ms)                                                                        \
  LIMIT (1, 0, service_ms), CONFIRMED_VIEW (text), WAIT (4000), SYN, SENT (OPEN, 1),                         \
    FROM_LAST_AGENT (REFUSED, OVERLOADED)

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
  { "a flow is placed before a confirmed view",
    { { STEP_VIEW, 0, 1, AGENTS, kiln_text }, SYN, SENT (OPEN, 0), RESETS (0) } },
  { "a flow is offered to an agent of a drained zone",
    { DRAIN_ZONE (2),
      CONFIRMED_VIEW (kiln_text),
      SYN,
      SENT (OPEN, 1),
      { EXPECT_LAST_AGENT, 2, 0, 0, NULL },
      FROM_LAST_AGENT (REFUSED, DRAINING),
      SENT (OPEN, 0),
      RESETS (1) } },
  { "the caller waits although all upstreams of the service are in drained zones",
    { DRAIN_ZONE (KILN_AGENTS), CONFIRMED_VIEW (kiln_text), WAIT (4000), SYN, SENT (OPEN, 0), RESETS (1) } },
  { "a caller waits for the time of a start although all upstreams are in drained zones",
    { DRAIN_ZONE (KILN_AGENTS), CONFIRMED_VIEW (kiln_text), SYN, SENT (OPEN, 0), RESETS (1) } },
  { "a flow is lost that was open before its zone was drained",
    { CONFIRMED_VIEW (kiln_text), SYN, FROM_LAST_AGENT (ACCEPTED, 0), FROM_LAST_AGENT (OWNED, 0),
      DRAIN_ZONE (KILN_AGENTS), CONFIRMED_VIEW (kiln_text), SENT (OPEN, 1), REQUEST, SENT (DELIVER, 1),
      RESETS (0) } },
  { "an upstream gets no flows after its zone is no longer drained",
    { DRAIN_ZONE (KILN_AGENTS), CONFIRMED_VIEW (kiln_text), DRAIN_ZONE (0), CONFIRMED_VIEW (kiln_text), SYN,
      SENT (OPEN, 1) } },
  { "segments of an open flow are not forwarded to its owner",
    { CONFIRMED_VIEW (kiln_text), SYN, SENT (OPEN, 1), FROM_LAST_AGENT (ACCEPTED, 0), REQUEST,
      SENT (DELIVER, 1) } },
  { "a flow to a route that does not exist is not reset",
    { CONFIRMED_VIEW (no_route_text), SYN, SENT (OPEN, 0), RESETS (1) } },
  { "a retransmitted SYN without a record is reset although the flow may be open",
    { CONFIRMED_VIEW (no_route_text), RETRANSMITTED_SYN (1), RESETS (0) } },
  { "a refused flow is not offered to other agents",
    { CONFIRMED_VIEW (kiln_text), SYN, FROM_LAST_AGENT (REFUSED, DRAINING),
      FROM_LAST_AGENT (REFUSED, DRAINING), SENT (OPEN, 3), RESETS (0), FROM_LAST_AGENT (REFUSED, DRAINING),
      RESETS (1) } },
  { "a flow is reset while an agent may still open it",
    { CONFIRMED_VIEW (kiln_text), SYN, WAIT (200), RETRANSMITTED_SYN (1), SENT (OPEN, 2),
      FROM_LAST_AGENT (REFUSED, DRAINING), SENT (OPEN, 0), RESETS (0) } },
  { "a flow is reset although an upstream that got its SYN may still answer",
    { CONFIRMED_VIEW (kiln_text), WAIT (4000), SYN, FROM_LAST_AGENT (REFUSED, UNANSWERED),
      FROM_LAST_AGENT (REFUSED, DRAINING), FROM_LAST_AGENT (REFUSED, DRAINING), RESETS (0) } },
  { "a flow is reset although its caller has opened it, by a late answer to its SYN",
    { CONFIRMED_VIEW (kiln_text), WAIT (4000), SYN, FROM_LAST_AGENT (REFUSED, DRAINING),
      FROM_LAST_AGENT (REFUSED, DRAINING), REQUEST, FROM_LAST_AGENT (REFUSED, DRAINING), RESETS (0) } },
  { "a flow is reset although an upstream has answered its SYN, as the agent there was restarted",
    { CONFIRMED_VIEW (kiln_text), WAIT (4000), SYN, FROM_LAST_AGENT (ACCEPTED, 0), WAIT (200),
      RESTART_LAST_AGENT, RETRANSMITTED_SYN (1), FROM_LAST_AGENT (REFUSED, DRAINING),
      FROM_LAST_AGENT (REFUSED, DRAINING), FROM_LAST_AGENT (REFUSED, DRAINING), RESETS (0) } },
  { "a flow is reset although an agent may have delivered its SYN before it was restarted",
    { { STEP_VIEW, 1, 1, 1, kiln_text },
      WAIT (4000),
      SYN,
      WAIT (200),
      RESTART_LAST_AGENT,
      RETRANSMITTED_SYN (1),
      SENT (OPEN, 2),
      FROM_LAST_AGENT (REFUSED, DRAINING),
      RESETS (0) } },
  { "a flow is reset that a retransmission of its SYN may have opened through another balancer",
    { CONFIRMED_VIEW (kiln_text), WAIT (4000), SYN, FROM_LAST_AGENT (REFUSED, DRAINING),
      FROM_LAST_AGENT (REFUSED, DRAINING), WAIT (200), FROM_LAST_AGENT (REFUSED, DRAINING), RESETS (0) } },
  { "the caller of a flow that no agent takes waits, although each transmission of its SYN came here",
    { CONFIRMED_VIEW (kiln_text), WAIT (4000), SYN, FROM_LAST_AGENT (REFUSED, DRAINING),
      FROM_LAST_AGENT (REFUSED, DRAINING), WAIT (200), RETRANSMITTED_SYN (1),
      FROM_LAST_AGENT (REFUSED, DRAINING), RESETS (1) } },
  { "a retransmitted SYN that queued up while the process was paused opens its flow a second time",
    { CONFIRMED_VIEW (kiln_text),
      WAIT (2000),
      { STEP_PAUSE, 2000, 0, 0, NULL },
      RETRANSMITTED_SYN (1),
      SENT (OPEN, 0),
      REQUEST,
      SENT (ASK, AGENTS) } },
  { "an unanswered SYN is not offered again",
    { CONFIRMED_VIEW (kiln_text), SYN, SENT (OPEN, 1), WAIT (200), RETRANSMITTED_SYN (1), SENT (OPEN, 1) } },
  { "a retransmitted SYN opens a flow over a route that has been dropped",
    { CONFIRMED_VIEW (kiln_text), SYN, SENT (OPEN, 1), WAIT (200), CONFIRMED_VIEW (no_route_text),
      RETRANSMITTED_SYN (1), SENT (OPEN, 0), RESETS (0) } },
  { "a retransmitted SYN opens a flow at the service that its route led to before",
    { CONFIRMED_VIEW (kiln_text),
      SYN,
      SENT (OPEN, 1),
      WAIT (200),
      { STEP_VIEW, 1, 1, KILN_AGENTS, scan_text },
      RETRANSMITTED_SYN (1),
      SENT (OPEN, 0),
      RESETS (0) } },
  { "a flow is reset that an agent may accept by a later transmission of its SYN than the one that it "
    "refused",
    { { STEP_VIEW, 1, 1, 1, kiln_text },
      WAIT (4000),
      SYN,
      WAIT (200),
      RETRANSMITTED_SYN (1),
      SENT (OPEN, 2),
      { STEP_LAST_AGENT_MESSAGE, 0, REFUSED, DRAINING, "first" },
      RESETS (0),
      FROM_LAST_AGENT (REFUSED, DRAINING),
      RESETS (1) } },
  { "a SYN is not sent again to the agent that has accepted it, after its route has changed",
    { CONFIRMED_VIEW (kiln_text), SYN, FROM_LAST_AGENT (ACCEPTED, 0), WAIT (200), SENT (OPEN, 1),
      CONFIRMED_VIEW (scan_text), RETRANSMITTED_SYN (1), SENT (OPEN, 1) } },
  { "an accepted flow is offered to a second agent",
    { CONFIRMED_VIEW (kiln_text), SYN, FROM_LAST_AGENT (ACCEPTED, 0), WAIT (200), SENT (OPEN, 1),
      RETRANSMITTED_SYN (1), SENT (OPEN, 1), REQUEST, SENT (DELIVER, 1) } },
  { "of two agents that may own a flow, one does not get its next segment",
    { CONFIRMED_VIEW (kiln_text), SYN, WAIT (200), RETRANSMITTED_SYN (1), SENT (OPEN, 2), REQUEST,
      SENT (DELIVER, 2), FROM_LAST_AGENT (OWNED, 0), REQUEST, SENT (DELIVER, 1) } },
  { "the caller of an overloaded service is reset, or waits for the retransmission of its SYN",
    { CONFIRMED_VIEW (kiln_text), SYN, ALL_REFUSE, SENT (OPEN, 3), RESETS (0), WAIT (100), SENT (OPEN, 1),
      FROM_LAST_AGENT (ACCEPTED, 0), WAIT (100), SENT (OPEN, 0), RETRANSMITTED_SYN (1), SENT (OPEN, 1),
      RESETS (0) } },
  { "a service without capacity keeps callers waiting after their last retransmission",
    { CONFIRMED_VIEW (kiln_text), SYN, ALL_REFUSE, WAIT (100), ALL_REFUSE, WAIT (100), ALL_REFUSE,
      RETRANSMITTED_SYN (1), ALL_REFUSE, WAIT (100), ALL_REFUSE, SENT (OPEN, 15), WAIT (300), RESETS (0) } },
  { "a flow that is held is refused at its last retransmission only after further offers",
    { CONFIRMED_VIEW (kiln_text), SYN, ALL_REFUSE, WAIT (100), ALL_REFUSE, RETRANSMITTED_SYN (2), ALL_REFUSE,
      SENT (OPEN, 9), WAIT (100), SENT (OPEN, 0) } },
  { "a flow is held although its route is gone",
    { CONFIRMED_VIEW (kiln_text), SYN, ALL_REFUSE, SENT (OPEN, 3), RESETS (0), CONFIRMED_VIEW (no_route_text),
      WAIT (100), SENT (OPEN, 0), RESETS (1) } },
  { "a flow is offered again although its caller has given up",
    { CONFIRMED_VIEW (kiln_text),
      SYN,
      ALL_REFUSE,
      SENT (OPEN, 3),
      { STEP_PAUSE, 1200, 0, 0, NULL },
      WAIT (300),
      SENT (OPEN, 0) } },
  { "a flow is offered again although an upstream may have it",
    { CONFIRMED_VIEW (kiln_text), SYN, FROM_LAST_AGENT (REFUSED, OVERLOADED),
      FROM_LAST_AGENT (REFUSED, UNANSWERED), FROM_LAST_AGENT (REFUSED, OVERLOADED), SENT (OPEN, 3),
      WAIT (300), SENT (OPEN, 0) } },
  { "a service without capacity does not use the capacity of the route's other service",
    { CONFIRMED_VIEW (both_text), SYN, FROM_LAST_AGENT (REFUSED, OVERLOADED),
      FROM_LAST_AGENT (REFUSED, OVERLOADED), SENT (OPEN, 3), FROM_LAST_AGENT (ACCEPTED, 0), RESETS (0) } },
  { "an agent is not told the objective of a flow, or that it yields to those of a higher class",
    { CONFIRMED_VIEW (classes_text), SYN, SENT (OPEN, 1), TERMS (1, 400) } },
  { "a flow yields although no other class leads to its service",
    { CONFIRMED_VIEW (timely_text), SYN, SENT (OPEN, 1), TERMS (0, 400) } },
  { "the offers of a route without objective and classes are not those of the release before",
    { CONFIRMED_VIEW (kiln_text), SYN, SENT (OPEN, 1), TERMS (0, 0) } },
  { "a flow that has waited longer than its objective does not yield to timely ones",
    { FULL_AGENTS (timely_text, 0), WAIT_HELD (410), TERMS (0, 400), WAIT_HELD (100),
      FROM_LAST_AGENT (REFUSED, OVERLOADED), WAIT_HELD (100), TERMS (1, 400) } },
  { "a full agent is offered a flow again right after it refused",
    { FULL_AGENTS (timely_text, 0), WAIT_HELD (10), SENT (OPEN, 1), FROM_LAST_AGENT (REFUSED, OVERLOADED),
      WAIT_HELD (10), SENT (OPEN, 1), FROM_LAST_AGENT (REFUSED, OVERLOADED), WAIT_HELD (60), SENT (OPEN, 0),
      WAIT_HELD (20), SENT (OPEN, 1) } },
  { "a held flow waits longer than until a position may be free by the agent's service time",
    { FULL_AGENTS (timely_text, 80), WAIT_HELD (10), FROM_LAST_AGENT (REFUSED, OVERLOADED), WAIT_HELD (10),
      FROM_LAST_AGENT (REFUSED, OVERLOADED), SENT (OPEN, 2), WAIT_HELD (20), SENT (OPEN, 1) } },
  { "a held flow waits for a tick although an agent has reported a position",
    { FULL_AGENTS (timely_text, 0),
      SENT (OPEN, 0),
      LIMIT (4, 0, 0),
      FROM_AGENT (1, OH__SEGMENT_RELAY_KIND__SEGMENT_LOAD),
      SENT (OPEN, 1),
      { EXPECT_LAST_AGENT, 1, 0, 0, NULL } } },
  { "the caller of a held flow that cannot open any more waits, or is reset while its flow may open",
    { LIMIT (1, 0, 0),
      { STEP_VIEW, 1, 1, 1, timely_text },
      WAIT (4000),
      SYN,
      HELD_100,
      HELD_100,
      RETRANSMITTED_SYN (1),
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      RETRANSMITTED_SYN (2),
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      SENT (OPEN, 16),
      FROM_LAST_AGENT (REFUSED, OVERLOADED),
      RESETS (0),
      WAIT_HELD (10),
      RESETS (1),
      WAIT_HELD (200),
      SENT (OPEN, 0) } },
  { "a held flow is reset although a retransmission of its SYN may have opened it through another balancer",
    { LIMIT (1, 0, 0),
      { STEP_VIEW, 1, 1, 1, timely_text },
      WAIT (4000),
      SYN,
      HELD_100,
      HELD_100,
      RETRANSMITTED_SYN (1),
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      HELD_100,
      SENT (OPEN, 15),
      FROM_LAST_AGENT (REFUSED, OVERLOADED),
      WAIT_HELD (200),
      RESETS (0),
      SENT (OPEN, 0) } },
  { "a flow is offered again although an agent that refused it has accepted a copy of its SYN",
    { LIMIT (1, 0, 0),
      { STEP_VIEW, 1, 1, 1, timely_text },
      WAIT (4000),
      SYN,
      SENT (OPEN, 1),
      FROM_LAST_AGENT (REFUSED, OVERLOADED),
      FROM_LAST_AGENT (ACCEPTED, 0),
      WAIT_HELD (200),
      SENT (OPEN, 0) } },
  { "a flow whose first service has no agent is reset although one of its second may have a position",
    { LIMIT (1, 0, 0),
      { STEP_VIEW, 1, 1, 1, spare_text },
      WAIT (4000),
      SYN,
      SENT (OPEN, 1),
      FROM_LAST_AGENT (REFUSED, OVERLOADED),
      RESETS (0),
      WAIT_HELD (100),
      SENT (OPEN, 1) } },
  { "a flow that came before its service had agents waits for a tick",
    { LIMIT (4, 0, 0),
      { STEP_VIEW, 1, 1, 0, timely_text },
      SYN,
      SENT (OPEN, 0),
      RESETS (0),
      CONFIRMED_VIEW (timely_text),
      SENT (OPEN, 1) } },
  { "a flow of a service without agents waits although the balancer has not just started",
    { LIMIT (4, 0, 0), { STEP_VIEW, 1, 1, 0, timely_text }, WAIT (4000), SYN, RESETS (1) } },
  { "agents without limits are not served as before because the route has an objective",
    { CONFIRMED_VIEW (timely_text), SYN, ALL_REFUSE, SENT (OPEN, 3), RESETS (0), WAIT_HELD (90),
      SENT (OPEN, 0), WAIT_HELD (10), SENT (OPEN, 1), FROM_LAST_AGENT (ACCEPTED, 0), WAIT (100),
      SENT (OPEN, 0), RESETS (0) } },
  { "a flow without a record is not searched",
    { CONFIRMED_VIEW (kiln_text),
      REQUEST,
      SENT (ASK, AGENTS),
      FROM_AGENT (1, OWNED),
      SENT (DELIVER, 1),
      REQUEST,
      SENT (DELIVER, 1),
      { EXPECT_LAST_AGENT, 1, 0, 0, NULL } } },
  { "a flow that an earlier configuration placed at another service is reset",
    { CONFIRMED_VIEW (kiln_text),
      REQUEST,
      SENT (ASK, AGENTS),
      FROM_AGENT (0, ABSENT),
      FROM_AGENT (1, ABSENT),
      FROM_AGENT (2, ABSENT),
      RESETS (0),
      SENT (ASK, 0),
      FROM_AGENT (3, ABSENT),
      FROM_AGENT (4, OWNED),
      RESETS (0),
      SENT (DELIVER, 1),
      REQUEST,
      SENT (DELIVER, 1),
      { EXPECT_LAST_AGENT, 4, 0, 0, NULL } } },
  { "a flow is reset because its route changed during the search",
    { CONFIRMED_VIEW (scan_text), WAIT (2000), REQUEST, SENT (ASK, AGENTS), CONFIRMED_VIEW (split_text),
      FROM_AGENT (3, ABSENT), FROM_AGENT (4, ABSENT), RESETS (0), SENT (ASK, 0), FROM_AGENT (1, OWNED),
      SENT (DELIVER, 1), REQUEST, SENT (DELIVER, 1) } },
  { "an open flow is reset because all listed agents report it absent, although its owner is not listed",
    { CONFIRMED_VIEW (split_text), WAIT (2000), REQUEST, SENT (ASK, AGENTS), FROM_AGENT (0, ABSENT),
      FROM_AGENT (1, ABSENT), FROM_AGENT (2, ABSENT), FROM_AGENT (3, ABSENT), FROM_AGENT (4, ABSENT),
      WAIT (1000), REQUEST, SENT (ASK, AGENTS), FROM_AGENT (0, ABSENT), FROM_AGENT (1, ABSENT),
      FROM_AGENT (2, ABSENT), FROM_AGENT (3, ABSENT), FROM_AGENT (4, ABSENT), RESETS (0) } },
  { "the caller of a flow that its owner's upstream does not have any more waits for its deadline",
    { CONFIRMED_VIEW (kiln_text), SYN, FROM_LAST_AGENT (ACCEPTED, 0), FROM_LAST_AGENT (OWNED, 0), REQUEST,
      FROM_LAST_AGENT (ABSENT, DENIED), RESETS (1), SENT (ASK, 0) } },
  { "the caller of a flow that another balancer knew, and that its upstream lost, waits for its deadline",
    { LIST_PEERS,
      CONFIRMED_VIEW (kiln_text),
      REQUEST,
      FROM_PEER (1, RECORD, 2),
      { STEP_AGENT_MESSAGE, 2, ABSENT, DENIED, NULL },
      RESETS (1),
      SENT (ASK, 0) } },
  { "an open flow is reset because an upstream that it was only offered to does not have it",
    { CONFIRMED_VIEW (kiln_text), SYN, FROM_LAST_AGENT (ACCEPTED, 0), REQUEST,
      FROM_LAST_AGENT (ABSENT, DENIED), RESETS (0), SENT (ASK, AGENTS) } },
  { "repeated answers of one agent count as answers of all",
    { CONFIRMED_VIEW (split_text), WAIT (2000), REQUEST, FROM_AGENT (0, ABSENT), FROM_AGENT (0, ABSENT),
      FROM_AGENT (0, ABSENT), FROM_AGENT (0, ABSENT), FROM_AGENT (0, ABSENT), RESETS (0) } },
  { "a flow is reset although upstreams may not be listed yet",
    { { STEP_VIEW, 1, 0, AGENTS, split_text },
      REQUEST,
      FROM_AGENT (0, ABSENT),
      FROM_AGENT (1, ABSENT),
      FROM_AGENT (2, ABSENT),
      FROM_AGENT (3, ABSENT),
      FROM_AGENT (4, ABSENT),
      RESETS (0) } },
  { "a flow that no agent owns is searched with each of its segments, which fills the links",
    { { STEP_VIEW, 1, 0, AGENTS, split_text },
      WAIT (2000),
      REQUEST,
      SENT (ASK, AGENTS),
      FROM_AGENT (0, ABSENT),
      FROM_AGENT (1, ABSENT),
      FROM_AGENT (2, ABSENT),
      FROM_AGENT (3, ABSENT),
      FROM_AGENT (4, ABSENT),
      RESETS (0),
      WAIT (300),
      REQUEST,
      SENT (ASK, 0),
      WAIT (1000),
      REQUEST,
      SENT (ASK, AGENTS) } },
  { "a flow is not searched among all agents once they are listed, or is reset as none of them has it",
    { { STEP_VIEW, 1, 0, KILN_AGENTS, split_text },
      REQUEST,
      SENT (ASK, KILN_AGENTS),
      FROM_AGENT (0, ABSENT),
      FROM_AGENT (1, ABSENT),
      FROM_AGENT (2, ABSENT),
      RESETS (0),
      { STEP_VIEW, 1, 1, AGENTS, split_text },
      RESETS (0),
      WAIT (OH_SEGMENT_TICK_MS),
      SENT (ASK, AGENTS),
      FROM_AGENT (0, ABSENT),
      FROM_AGENT (1, ABSENT),
      FROM_AGENT (2, ABSENT),
      FROM_AGENT (3, ABSENT),
      FROM_AGENT (4, ABSENT),
      RESETS (0) } },
  { "a flow that all agents reported absent waits for its next search when the view says that these are all",
    { { STEP_VIEW, 1, 0, AGENTS, split_text },
      REQUEST,
      FROM_AGENT (0, ABSENT),
      FROM_AGENT (1, ABSENT),
      FROM_AGENT (2, ABSENT),
      FROM_AGENT (3, ABSENT),
      FROM_AGENT (4, ABSENT),
      RESETS (0),
      SENT (ASK, AGENTS),
      { STEP_VIEW, 1, 1, AGENTS, split_text },
      WAIT (100),
      SENT (ASK, AGENTS),
      { STEP_VIEW, 1, 1, AGENTS, split_text },
      WAIT (100),
      SENT (ASK, 0),
      RESETS (0) } },
  { "a flow that has opened meanwhile is reset when all agents are listed",
    { { STEP_VIEW, 1, 0, KILN_AGENTS, kiln_text },
      REQUEST,
      FROM_AGENT (0, ABSENT),
      FROM_AGENT (1, ABSENT),
      FROM_AGENT (2, ABSENT),
      SYN,
      { STEP_VIEW, 1, 1, KILN_AGENTS, kiln_text },
      RESETS (0) } },
  { "a restarted agent is not queried (it is listed without a service until its upstream announces itself)",
    { UNANNOUNCED_UPSTREAM, CONFIRMED_VIEW (kiln_text), REQUEST, SENT (ASK, AGENTS),
      FROM_AGENT (AGENTS - 1, OWNED), SENT (DELIVER, 1) } },
  { "a SYN that queued up while the process was paused is reset",
    { CONFIRMED_VIEW (no_route_text), WAIT (2000), { STEP_PAUSE, 4000, 0, 0, NULL }, SYN, RESETS (0) } },
  { "each segment of a searched flow sends another query",
    { CONFIRMED_VIEW (kiln_text), REQUEST, REQUEST, REQUEST, REQUEST, REQUEST, REQUEST,
      SENT (ASK, AGENTS) } },
  { "a restarted agent that lost the flow keeps getting its segments",
    { CONFIRMED_VIEW (kiln_text), SYN, FROM_LAST_AGENT (ACCEPTED, 0), FROM_LAST_AGENT (OWNED, 0), REQUEST,
      SENT (DELIVER, 1), FROM_LAST_AGENT (ABSENT, 0), SENT (ASK, AGENTS) } },
  { "a flow is reset at the start, before upstreams have announced themselves",
    { { STEP_VIEW, 1, 0, 0, kiln_text },
      SYN,
      RESETS (0),
      WAIT (200),
      RETRANSMITTED_SYN (1),
      RESETS (0),
      WAIT (400),
      RETRANSMITTED_SYN (2),
      RESETS (1) } },
  { "the owner of a flow is not published, or more than once",
    { LIST_PEERS, CONFIRMED_VIEW (kiln_text), SYN, FROM_LAST_AGENT (ACCEPTED, 0), SENT (OPEN, 1), REQUEST,
      SENT (RECORD, 0), FROM_LAST_AGENT (OWNED, 0), SENT (RECORD, 2), REQUEST, SENT (RECORD, 0) } },
  { "a flow whose owner another balancer knows is searched, which fills the links",
    { LIST_PEERS,
      CONFIRMED_VIEW (kiln_text),
      REQUEST,
      SENT (LOOKUP, 2),
      FROM_PEER (1, RECORD, 2),
      SENT (DELIVER, 1),
      { EXPECT_LAST_AGENT, 2, 0, 0, NULL },
      FROM_PEER (2, UNKNOWN, 0),
      REQUEST,
      SENT (DELIVER, 1) } },
  { "a request of two segments loses the second one during the lookup, which delays it",
    { LIST_PEERS, CONFIRMED_VIEW (kiln_text), REQUEST, REQUEST, SENT (LOOKUP, 2), FROM_PEER (1, RECORD, 2),
      SENT (DELIVER, 2) } },
  { "a flow that no balancer knows is not searched",
    { LIST_PEERS, CONFIRMED_VIEW (kiln_text), REQUEST, SENT (LOOKUP, 2), FROM_PEER (1, UNKNOWN, 0),
      SENT (ASK, 0), FROM_PEER (2, UNKNOWN, 0), SENT (LOOKUP, 1), SENT (ASK, 0), FROM_PEER (3, UNKNOWN, 0),
      SENT (ASK, AGENTS) } },
  { "a flow whose caller moved to another availability zone is searched at every agent",
    { LIST_PEERS,
      CONFIRMED_VIEW (kiln_text),
      REQUEST,
      FROM_PEER (1, UNKNOWN, 0),
      FROM_PEER (2, UNKNOWN, 0),
      SENT (LOOKUP, 3),
      FROM_PEER (3, RECORD, 2),
      SENT (DELIVER, 1),
      { EXPECT_LAST_AGENT, 2, 0, 0, NULL },
      REQUEST,
      SENT (RECORD, 2) } },
  { "a balancer that does not answer keeps a flow from being searched",
    { LIST_PEERS, CONFIRMED_VIEW (kiln_text), REQUEST, SENT (LOOKUP, 2), FROM_PEER (1, UNKNOWN, 0),
      WAIT (100), SENT (LOOKUP, 1), SENT (ASK, 0), WAIT (100), SENT (ASK, AGENTS) } },
  { "a lookup before the directory nodes are listed is not repeated (14 s of searches after all processes "
    "were killed)",
    { CONFIRMED_VIEW (kiln_text), REQUEST, SENT (ASK, AGENTS), LIST_PEERS, CONFIRMED_VIEW (kiln_text),
      WAIT (100), REQUEST, SENT (LOOKUP, 2), FROM_PEER (1, RECORD, 2), SENT (DELIVER, 2), REQUEST,
      SENT (DELIVER, 1) } },
  { "an agent that needs a segment to answer a query does not get it",
    { CONFIRMED_VIEW (kiln_text),
      REQUEST,
      SENT (ASK, AGENTS),
      WANTED_BY (1),
      FROM_AGENT (0, ABSENT),
      FROM_AGENT (2, ABSENT),
      FROM_AGENT (3, ABSENT),
      FROM_AGENT (4, ABSENT),
      SENT (SEARCH, 1),
      { EXPECT_LAST_AGENT, 1, 0, 0, NULL },
      FROM_AGENT (1, OWNED),
      SENT (DELIVER, 1) } },
  { "segments of an open flow reach several upstreams without it, as every restarted agent probes its own",
    { CONFIRMED_VIEW (kiln_text), REQUEST, SENT (ASK, AGENTS), WANTED_BY (0), WANTED_BY (1), WANTED_BY (1),
      FROM_AGENT (2, ABSENT), FROM_AGENT (3, ABSENT), FROM_AGENT (4, ABSENT), SENT (SEARCH, 0), RESETS (0),
      WAIT (1000), REQUEST, SENT (ASK, AGENTS) } },
  { "an agent probes its upstream for a flow before others have said that they own it",
    { CONFIRMED_VIEW (kiln_text), REQUEST, SENT (ASK, AGENTS), WANTED_BY (0), FROM_AGENT (2, ABSENT),
      FROM_AGENT (3, ABSENT), FROM_AGENT (4, ABSENT), SENT (SEARCH, 0), FROM_AGENT (1, OWNED),
      SENT (DELIVER, 1) } },
  { "the upstream of the only agent that cannot tell is probed again after it has returned the segment",
    { CONFIRMED_VIEW (kiln_text), REQUEST, SENT (ASK, AGENTS), WANTED_BY (0), FROM_AGENT (1, ABSENT),
      FROM_AGENT (2, ABSENT), FROM_AGENT (3, ABSENT), FROM_AGENT (4, ABSENT), SENT (SEARCH, 1),
      FROM_AGENT (0, ABSENT), RESETS (0), WAIT (300), REQUEST, SENT (ASK, 0) } },
  { "an agent that can compare a segment with its record gets it only after the other agents have answered",
    { CONFIRMED_VIEW (kiln_text), REQUEST, SENT (ASK, AGENTS), WANTED_BY (0), OPENING_AT (1),
      SENT (SEARCH, 1) } },
  { "owners are not published again after the directory nodes were restarted one after another",
    { LIST_PEERS, CONFIRMED_VIEW (kiln_text), SYN, FROM_LAST_AGENT (ACCEPTED, 0), REQUEST,
      FROM_LAST_AGENT (OWNED, 0), SENT (RECORD, 2), REQUEST, SENT (RECORD, 0), UNLIST_PEERS,
      CONFIRMED_VIEW (kiln_text), LIST_PEERS, CONFIRMED_VIEW (kiln_text), REQUEST, SENT (RECORD, 2) } },
  { "an outdated record is kept",
    { LIST_PEERS,
      CONFIRMED_VIEW (kiln_text),
      FROM_PEER (1, RECORD, 2),
      REQUEST,
      SENT (DELIVER, 1),
      FROM_AGENT (2, ABSENT),
      SENT (ASK, AGENTS),
      FROM_AGENT (0, OWNED),
      SENT (DELIVER, 1),
      REQUEST,
      SENT (DELIVER, 1),
      { EXPECT_LAST_AGENT, 0, 0, 0, NULL } } },
  { "a directory node keeps the owner of an earlier flow with the same addresses",
    { LIST_PEERS,
      CONFIRMED_VIEW (kiln_text),
      FROM_PEER (1, RECORD, 2),
      FROM_PEER (2, RECORD, 1),
      REQUEST,
      SENT (DELIVER, 1),
      { EXPECT_LAST_AGENT, 1, 0, 0, NULL } } },
  { "a record replaces what the balancer learned itself",
    { LIST_PEERS,
      CONFIRMED_VIEW (kiln_text),
      REQUEST,
      FROM_PEER (1, RECORD, 2),
      FROM_AGENT (0, OWNED),
      FROM_PEER (1, RECORD, 1),
      REQUEST,
      { EXPECT_LAST_AGENT, 0, 0, 0, NULL } } },
  { "a balancer does not answer the lookup of another one",
    { LIST_PEERS, CONFIRMED_VIEW (kiln_text), FROM_PEER (1, LOOKUP, 0), SENT (UNKNOWN, 1),
      FROM_PEER (2, RECORD, 1), FROM_PEER (1, LOOKUP, 0), SENT (RECORD, 1) } },
  { "the caller of a service without an upstream is not reset",
    { { STEP_VIEW, 1, 1, 0, kiln_text }, WAIT (4000), SYN, RESETS (1) } },
};

static void
test_cases (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      static fixture_t fixture;

      setup (&fixture);
      for (unsigned j = 0; j < STEPS_MAX && cases[i].steps[j].kind != STEP_END; j++)
        run_step (&fixture, &cases[i].steps[j], cases[i].name, j);
      teardown (&fixture);
    }
}

/* Guards against malformed datagrams that crash the balancer or have an effect. */
static void
test_malformed (void)
{
  static const struct
  {
    const char *name;
    size_t length;
    unsigned header_length; /* data length in the header */
  } shapes[] = {
    { "empty", 0, 0 },
    { "truncated", 31, 0 },
    { "length field too great", 40, 20 },
    { "length field too small", 60, 8 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (shapes); i++)
    for (int relay = 0; relay < 2; relay++)
      {
        const step_t view = CONFIRMED_VIEW (kiln_text);
        fixture_segment_t segment = fixture_segment (
          fixture_address ("100.64.0.7:40001"), fixture_address ("198.18.0.1:8443"), FIXTURE_ACK, 1, 1, 0);
        static fixture_t fixture;

        setup (&fixture);
        handle_view (&fixture, &view);
        fixture_put (segment.bytes + 24, shapes[i].header_length, 2);
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
handle_numbered_caller (fixture_t *fixture, unsigned i, bool syn)
{
  fixture_segment_t segment = fixture_segment (numbered_caller (i), fixture_address ("198.18.0.1:8443"),
                                               syn ? FIXTURE_SYN : FIXTURE_ACK, 1, syn ? 0 : 1, syn ? 0 : 20);

  handle (fixture,
          (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_CALLER,
                                         .datagram = { .bytes = segment.bytes, .length = segment.length } });
}

static void
handle_tick (fixture_t *fixture)
{
  fixture->now_us += (int64_t)OH_SEGMENT_TICK_MS * 1000;
  handle (fixture, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_TICK });
}

/* True if every agent of its query has reported the flow absent. */
static bool
is_known_absent (const fixture_t *fixture, unsigned caller)
{
  const oh_flow_key_t key
    = { .caller = numbered_caller (caller), .route = fixture_address ("198.18.0.1:8443") };
  const oh_balancer_flow_t *flow = g_hash_table_lookup (fixture->core.flows, &key);

  g_assert_nonnull (flow);
  return flow->all_absent_us != 0;
}

/* Guards against searches that fill the link of a balancer that has lost its records, which took 8 s. One
 * query names many flows, and its answers tell them apart. */
static void
test_query_many_flows (void)
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
  uint32_t query;

  setup (&fixture);
  handle_view (&fixture, &view);
  fixture.core.search_budget = 10;
  for (unsigned i = 0; i < FLOWS; i++)
    handle_numbered_caller (&fixture, i, false);
  g_assert_cmpuint (fixture.n_sent, ==, 0);
  handle_tick (&fixture);
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS);
  for (unsigned i = 0; i < AGENTS; i++)
    g_assert_cmpuint (fixture.sent[i].n_flows, ==, FLOWS);
  query = fixture.sent[0].search;

  handle_query_answer (&fixture, 0, query, none, none, BYTES - 1);  /* truncated */
  handle_query_answer (&fixture, 0, query + 1, held, none, BYTES);  /* of an unknown query */
  handle_query_answer (&fixture, AGENTS, query, held, none, BYTES); /* of an agent that was not queried */
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS);
  for (int agent = 0; agent < AGENTS - 1; agent++)
    {
      handle_query_answer (&fixture, agent, query, none, none, BYTES);
      handle_query_answer (&fixture, agent, query, none, none, BYTES);
    }
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS);
  g_assert_cmpuint (fixture.resets, ==, 0);
  handle_query_answer (&fixture, AGENTS - 1, query, held, wanted, BYTES);
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS + 2);
  g_assert_cmpint (fixture.sent[AGENTS].kind, ==, DELIVER);
  g_assert_true (oh_address_equal (fixture.sent[AGENTS].segment.from, numbered_caller (HELD)));
  g_assert_cmpint (fixture.sent[AGENTS + 1].kind, ==, SEARCH);
  g_assert_true (oh_address_equal (fixture.sent[AGENTS + 1].segment.from, numbered_caller (WANTED)));
  for (unsigned i = 0; i < FLOWS; i++)
    g_assert_true (is_known_absent (&fixture, i) == (i != HELD && i != WANTED));
  g_assert_cmpuint (fixture.resets, ==, 0); /* the agent that owns a flow may not be listed */
  /* Segments that agents want are subject to the budget, too. */
  fixture.core.search_budget = 0;
  handle_query_answer (&fixture, AGENTS - 1, query, none, wanted, BYTES);
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS + 2);
  teardown (&fixture);
}

/* Guards against searches beyond the budget, and against flows that are never queried after it ran out. */
static void
test_search_budget (void)
{
  const unsigned per_tick = OH_SEGMENT_SEARCH_MESSAGES_PER_S * OH_SEGMENT_TICK_MS / 1000;
  const step_t view = CONFIRMED_VIEW (kiln_text);
  static fixture_t fixture;

  setup (&fixture);
  handle_view (&fixture, &view);
  fixture.core.search_budget = -(int)per_tick;
  for (unsigned i = 0; i < 20; i++)
    handle_numbered_caller (&fixture, i, false);
  handle_tick (&fixture);
  g_assert_cmpuint (fixture.n_sent, ==, 0);
  handle_tick (&fixture);
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS);
  g_assert_cmpuint (fixture.sent[0].n_flows, ==, 20);
  /* Without an answer each flow is queried again with its caller's next segment, but not at once. */
  for (unsigned i = 0; i < 20; i++)
    handle_numbered_caller (&fixture, i, false);
  handle_tick (&fixture);
  g_assert_cmpuint (fixture.n_sent, ==, AGENTS);
  for (unsigned i = 0; i < 20; i++)
    handle_numbered_caller (&fixture, i, false);
  handle_tick (&fixture);
  g_assert_cmpuint (fixture.n_sent, ==, 2 * AGENTS);
  teardown (&fixture);
}

static const step_t open_steps[] = {
  CONFIRMED_VIEW (kiln_text), SYN, FROM_LAST_AGENT (ACCEPTED, 0), REQUEST, FROM_LAST_AGENT (OWNED, 0),
};

static void
open_flow (fixture_t *fixture, int durable)
{
  setup (fixture);
  fixture->peers = true;
  fixture->durable = durable;
  for (size_t i = 0; i < G_N_ELEMENTS (open_steps); i++)
    run_step (fixture, &open_steps[i], "open a flow", (unsigned)i);
}

/* Guards against loss of all records when all processes are killed at once while the upstreams survive: it
 * took 14 s to find all flows again. Balancers with a disk are preferred as directory nodes. */
static void
test_directory_nodes_with_disk (void)
{
  static fixture_t fixture;

  for (int durable = 0; durable < 4; durable++)
    {
      unsigned to_durable = 0;

      open_flow (&fixture, durable);
      for (unsigned i = 0; i < fixture.n_sent; i++)
        to_durable
          += fixture.sent[i].kind == RECORD && oh_address_equal (fixture.sent[i].to, peer_address (durable));
      /* The last balancer is in another availability zone. */
      g_assert_cmpuint (to_durable, ==, durable == 1 || durable == 2);
      if (durable == 0)
        g_assert_cmpuint (fixture.stored, ==, 1);
      teardown (&fixture);
    }
}

/* Guards against a balancer that does not answer lookups from restored records, or does not store owners. */
static void
test_restore (void)
{
  const step_t view = CONFIRMED_VIEW (kiln_text);
  const step_t request = REQUEST;
  const step_t lookup = FROM_PEER (1, LOOKUP, 0);
  const step_t record = FROM_PEER (1, RECORD, 2);
  const oh_flow_key_t key = {
    .caller = fixture_address ("100.64.0.7:40001"),
    .route = fixture_address ("198.18.0.1:8443"),
  };
  static fixture_t fixture;

  setup (&fixture);
  fixture.peers = true;
  fixture.durable = 0;
  oh_segment_balancer_restore (&fixture.core, &key, agent_address (0), fixture.now_us);
  oh_segment_balancer_restore (&fixture.core, &key, agent_address (1),
                               fixture.now_us); /* the later record counts */
  handle_view (&fixture, &view);
  handle_peer_message (&fixture, &lookup);
  g_assert_cmpuint (fixture.n_sent, ==, 1);
  g_assert_cmpint (fixture.sent[0].kind, ==, RECORD);
  handle_caller (&fixture, &request);
  g_assert_cmpint (fixture.sent[fixture.n_sent - 1].kind, ==, DELIVER);
  g_assert_true (oh_address_equal (fixture.sent[fixture.n_sent - 1].to, agent_address (1)));
  fixture.stored = 0;
  oh_segment_balancer_store_all (&fixture.core, &fixture.sink);
  g_assert_cmpuint (fixture.stored, ==, 1);
  g_assert_true (oh_address_equal (fixture.stored_owner, agent_address (1)));
  teardown (&fixture);

  /* The record of another balancer is stored; a restored one does not replace what was learned since. */
  setup (&fixture);
  fixture.peers = true;
  handle_view (&fixture, &view);
  handle_peer_message (&fixture, &record);
  g_assert_cmpuint (fixture.stored, ==, 1);
  g_assert_true (oh_address_equal (fixture.stored_owner, agent_address (2)));
  teardown (&fixture);
  open_flow (&fixture, -1);
  oh_segment_balancer_restore (&fixture.core, &key, agent_address (4), fixture.now_us);
  handle_caller (&fixture, &request);
  g_assert_false (oh_address_equal (fixture.sent[fixture.n_sent - 1].to, agent_address (4)));
  teardown (&fixture);
}

/* Guards against thousands of offers to agents that are known to be full, and against a flow of a lower
 * class, a late one or an older one that is offered before another. */
static void
test_held_order (void)
{
  static const struct
  {
    unsigned class;
    int target_ms; /* 0: none */
    int age_ms;
    unsigned transmission;
  } flows[] = {
    { 1, 400, 10, 0 },  { 1, 400, 300, 1 }, { 1, 0, 350, 0 },   { 1, 400, 500, 0 },
    { 1, 400, 600, 2 }, { 2, 500, 5, 0 },   { 2, 500, 490, 0 }, { 2, 500, 501, 1 },
  };
  const step_t view = CONFIRMED_VIEW (timely_text);
  const int64_t now_us = 10 * G_USEC_PER_SEC;
  oh_held_flow_t held[G_N_ELEMENTS (flows)] = { 0 };
  static fixture_t fixture;
  oh_held_queue_t queue;

  oh_held_queue_init (&queue);
  for (size_t i = G_N_ELEMENTS (flows); i > 0; i--)
    {
      const oh_address_t route = { .ipv4 = 1 + (uint32_t)flows[i - 1].target_ms, .port = 1 };

      held[i - 1].started_us = now_us - (int64_t)flows[i - 1].age_ms * 1000;
      held[i - 1].transmission = flows[i - 1].transmission;
      oh_held_queue_add (&queue, &held[i - 1], route, flows[i - 1].class,
                         flows[i - 1].target_ms > 0 ? (int64_t)flows[i - 1].target_ms * 1000 : INT64_MAX);
    }
  g_assert_true (oh_held_queue_find_older (&queue, now_us - 600 * 1000) == NULL);
  g_assert_true (oh_held_queue_find_older (&queue, now_us - 599 * 1000) == &held[4]);
  for (size_t i = 0; i < G_N_ELEMENTS (flows); i++)
    {
      oh_held_queue_start_round (&queue);
      g_assert_true (oh_held_queue_next (&queue, now_us) == &held[i]);
      oh_held_queue_block (&queue, &held[i]);
      g_assert_true (oh_held_queue_next (&queue, now_us) != &held[i]);
      oh_held_queue_remove (&held[i]);
    }
  oh_held_queue_finish (&queue);

  setup (&fixture);
  fixture.limit = (step_t)LIMIT (1, 0, 0);
  handle_view (&fixture, &view);
  for (unsigned i = 0; i < 90; i++)
    handle_numbered_caller (&fixture, i, true);
  g_assert_cmpuint (fixture.n_sent, ==, KILN_AGENTS);
  g_assert_cmpuint (fixture.core.waiting.n_flows, ==, 90 - KILN_AGENTS);
  teardown (&fixture);
}

/* Guards against a table of flow records that grows beyond max_flows. */
static void
test_record_limit (void)
{
  const step_t view = CONFIRMED_VIEW (kiln_text);
  static fixture_t fixture;

  setup (&fixture);
  handle_view (&fixture, &view);
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
  g_test_add_func ("/segment-balancer/query-many-flows", test_query_many_flows);
  g_test_add_func ("/segment-balancer/search-budget", test_search_budget);
  g_test_add_func ("/segment-balancer/directory-nodes-with-disk", test_directory_nodes_with_disk);
  g_test_add_func ("/segment-balancer/restore", test_restore);
  g_test_add_func ("/segment-balancer/record-limit", test_record_limit);
  g_test_add_func ("/segment-balancer/held-order", test_held_order);
  return g_test_run ();
}
