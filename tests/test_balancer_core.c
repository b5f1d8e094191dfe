#define OH_LOG_MODULE "test"

#include <glib.h>
#include <string.h>

#include "base/seeded_random.h"
#include "core/balancer_core.h"
#include "view_fixture.h"

static const uint8_t master[OH_MASTER_KEY_BYTES] = { 1, 2, 3 };
static const oh_flow_id_t flow = { { 9, 8, 7 } };
static const oh_address_t caller = { .ipv4 = 0x7f000001, .port = 4000 };
static const oh_address_t relay_address = { .ipv4 = 0x7f000001, .port = 5000 };

static const fixture_upstream_t default_upstreams[] = {
  { "p1", "plan-fetch", "a", 4, 0, 0, 0, READY, false },
  { "p2", "plan-fetch", "a", 4, 1, 0, 0, READY, false },
  { "s1", "scan-serve", "a", 4, 0, 0, 0, READY, false },
  { NULL },
};

/* Counts what the core emits and keeps the last datagram. */
typedef struct
{
  oh_balancer_sink_t sink;
  unsigned to_callers;
  unsigned to_agents;
  unsigned logs;
  oh_address_t to;
  uint8_t bytes[OH_RELAY_MAX_BYTES];
  size_t length;
} recorder_t;

typedef struct
{
  oh_keyring_t keyring;
  oh_seeded_random_t random;
  oh_balancer_core_t core;
  recorder_t recorder;
  oh_arena_t arena;
  oh_arena_t inner_arena;
} fixture_t;

static void
record_action (oh_balancer_sink_t *sink, const oh_balancer_action_t *action)
{
  recorder_t *recorder = (recorder_t *)sink;

  if (action->kind == OH_BALANCER_LOG)
    {
      recorder->logs++;
      return;
    }
  if (action->kind == OH_BALANCER_SEND_CALLER)
    recorder->to_callers++;
  else
    recorder->to_agents++;
  recorder->to = action->send.to;
  recorder->length = action->send.length;
  memcpy (recorder->bytes, action->send.bytes, action->send.length);
}

static void
fixture_init (fixture_t *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  oh_keyring_init (&fixture->keyring, master);
  oh_seeded_random_init (&fixture->random, 1);
  oh_balancer_core_init (&fixture->core, "a", relay_address, &fixture->keyring, &fixture->random.base,
                         OH_LOG_INFO);
  oh_arena_init (&fixture->arena);
  oh_arena_init (&fixture->inner_arena);
  fixture->recorder.sink.emit = record_action;
}

static void
fixture_finish (fixture_t *fixture)
{
  oh_balancer_core_finish (&fixture->core);
  oh_seeded_random_finish (&fixture->random);
  oh_keyring_finish (&fixture->keyring);
}

static void
send_view (fixture_t *fixture, const fixture_upstream_t *upstreams, bool confirmed)
{
  const oh_balancer_event_t event = { .kind = OH_BALANCER_VIEW, .view = fixture_view (upstreams, confirmed) };

  oh_balancer_core_handle (&fixture->core, &event, &fixture->recorder.sink);
}

static void
send_datagram (fixture_t *fixture, oh_balancer_event_kind_t kind, const uint8_t *bytes, size_t length)
{
  const oh_balancer_event_t event
    = { .kind = kind, .now_us = 1000, .datagram = { .from = caller, .bytes = bytes, .length = length } };

  fixture->recorder.to_callers = 0;
  fixture->recorder.to_agents = 0;
  fixture->recorder.logs = 0;
  oh_balancer_core_handle (&fixture->core, &event, &fixture->recorder.sink);
}

static size_t
encode_open_generation (const char *service, uint32_t generation, uint8_t *buffer)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Open open = OH__OPEN__INIT;

  packet.flow.data = (uint8_t *)flow.bytes;
  packet.flow.len = OH_FLOW_ID_BYTES;
  packet.service = oh_service_id (service);
  packet.body_case = OH__PACKET__BODY_OPEN;
  packet.open = &open;
  open.attempt = 3;
  open.flow_generation = generation;
  return oh_packet_encode (&packet, buffer, OH_PACKET_MAX_BYTES);
}

static size_t
encode_open (const char *service, uint8_t *buffer)
{
  return encode_open_generation (service, 1, buffer);
}

/* A packet with an empty body: a Request, Ping or Chunk, else an OpenReply. token may be NULL. */
static size_t
encode_packet (Oh__Packet__BodyCase body, const char *service, const oh_token_t *token, uint8_t *buffer)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Request request = OH__REQUEST__INIT;
  Oh__Ping ping = OH__PING__INIT;
  Oh__Chunk chunk = OH__CHUNK__INIT;
  Oh__OpenReply open_reply = OH__OPEN_REPLY__INIT;
  Oh__Token wire;
  Oh__Address address;

  packet.flow.data = (uint8_t *)flow.bytes;
  packet.flow.len = OH_FLOW_ID_BYTES;
  packet.service = oh_service_id (service);
  if (token != NULL)
    {
      oh_token_to_wire (token, &wire, &address);
      packet.token = &wire;
    }
  packet.body_case = body;
  if (body == OH__PACKET__BODY_REQUEST)
    packet.request = &request;
  else if (body == OH__PACKET__BODY_PING)
    packet.ping = &ping;
  else if (body == OH__PACKET__BODY_CHUNK)
    packet.chunk = &chunk;
  else
    packet.open_reply = &open_reply;
  return oh_packet_encode (&packet, buffer, OH_PACKET_MAX_BYTES);
}

static oh_token_t
make_token (const oh_keyring_t *keyring)
{
  oh_token_t token = {
    .service = oh_service_id ("plan-fetch"),
    .agent = { .ipv4 = 0x7f000001, .port = 9500 },
    .incarnation = 42,
    .flow_generation = 1,
  };

  oh_token_sign (keyring, &flow, &token);
  return token;
}

/* A relay from the agent of default_upstreams[index], with a load report. */
static size_t
encode_relay (const fixture_t *fixture, unsigned index, const uint8_t *packet, size_t packet_length,
              Oh__Result refused, const uint64_t *tried, size_t n_tried, uint8_t *buffer)
{
  Oh__Relay relay = OH__RELAY__INIT;
  Oh__Load load = OH__LOAD__INIT;
  Oh__Address address;

  oh_address_to_wire (caller, &address);
  relay.caller = &address;
  relay.packet.data = (uint8_t *)packet;
  relay.packet.len = packet_length;
  relay.refused = refused;
  relay.tried = (uint64_t *)tried;
  relay.n_tried = n_tried;
  load.upstream = (char *)default_upstreams[index].name;
  load.service = oh_service_id (default_upstreams[index].service);
  load.incarnation = fixture_incarnation (index);
  load.sequence = 2;
  load.slots = 4;
  load.max_flows = FIXTURE_MAX_FLOWS;
  relay.load = &load;
  return oh_relay_encode (&relay, &fixture->keyring, buffer, OH_RELAY_MAX_BYTES);
}

static Oh__Result
decode_refusal (fixture_t *fixture)
{
  const Oh__Packet *packet
    = oh_packet_decode (&fixture->arena, fixture->recorder.bytes, fixture->recorder.length, NULL);

  g_assert_nonnull (packet);
  g_assert_cmpint (packet->body_case, ==, OH__PACKET__BODY_OPEN_REPLY);
  g_assert_null (packet->open_reply->token);
  g_assert_cmpuint (packet->open_reply->attempt, ==, 3);
  return packet->open_reply->refused;
}

/* Guards against forwarding of datagrams with a forged token, a token of another service or a body for the
 * wrong direction, and against a reply to anything but an Open. */
static void
test_forwarding (void)
{
  typedef enum
  {
    VALID,
    NONE,
    BAD_MAC,
    OTHER_AGENT,
    OTHER_SERVICE_SIGNED,
    OTHER_GENERATION,
  } token_kind_t;

  static const struct
  {
    Oh__Packet__BodyCase body;
    const char *service;
    token_kind_t token;
    size_t counter; /* offset of the counter that increments */
  } cases[] = {
    { OH__PACKET__BODY_REQUEST, "plan-fetch", VALID, offsetof (oh_balancer_counters_t, forwarded) },
    { OH__PACKET__BODY_PING, "plan-fetch", VALID, offsetof (oh_balancer_counters_t, forwarded) },
    { OH__PACKET__BODY_REQUEST, "plan-fetch", NONE, offsetof (oh_balancer_counters_t, dropped_no_token) },
    { OH__PACKET__BODY_REQUEST, "plan-fetch", BAD_MAC,
      offsetof (oh_balancer_counters_t, dropped_forged_token) },
    { OH__PACKET__BODY_REQUEST, "plan-fetch", OTHER_AGENT,
      offsetof (oh_balancer_counters_t, dropped_forged_token) },
    { OH__PACKET__BODY_REQUEST, "scan-serve", VALID,
      offsetof (oh_balancer_counters_t, dropped_wrong_service) },
    { OH__PACKET__BODY_REQUEST, "scan-serve", OTHER_SERVICE_SIGNED,
      offsetof (oh_balancer_counters_t, dropped_forged_token) },
    { OH__PACKET__BODY_REQUEST, "plan-fetch", OTHER_GENERATION,
      offsetof (oh_balancer_counters_t, dropped_forged_token) },
    { OH__PACKET__BODY_CHUNK, "plan-fetch", VALID, offsetof (oh_balancer_counters_t, dropped_direction) },
    { OH__PACKET__BODY_OPEN_REPLY, "plan-fetch", VALID,
      offsetof (oh_balancer_counters_t, dropped_direction) },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      uint8_t buffer[OH_PACKET_MAX_BYTES];
      oh_token_t token;

      g_test_message ("case %zu", i);
      fixture_init (&fixture);
      send_view (&fixture, default_upstreams, true);
      token = make_token (&fixture.keyring);
      if (cases[i].token == BAD_MAC)
        token.mac[3] ^= 1;
      else if (cases[i].token == OTHER_AGENT)
        token.agent.port++;
      else if (cases[i].token == OTHER_SERVICE_SIGNED)
        token.service = oh_service_id ("scan-serve");
      else if (cases[i].token == OTHER_GENERATION)
        token.key_generation = 9;

      const size_t length
        = encode_packet (cases[i].body, cases[i].service, cases[i].token == NONE ? NULL : &token, buffer);
      const bool forwarded = cases[i].counter == offsetof (oh_balancer_counters_t, forwarded);

      send_datagram (&fixture, OH_BALANCER_CALLER_PACKET, buffer, length);
      g_assert_cmpuint (fixture.recorder.to_agents, ==, forwarded ? 1 : 0);
      g_assert_cmpuint (fixture.recorder.to_callers, ==, 0);
      g_assert_cmpuint (oh_counter_get ((oh_counter_t *)((char *)&fixture.core.counters + cases[i].counter)),
                        ==, 1);
      if (forwarded)
        {
          const Oh__Relay *relay = oh_relay_decode (&fixture.arena, &fixture.keyring, fixture.recorder.bytes,
                                                    fixture.recorder.length, NULL);

          g_assert_true (oh_address_equal (fixture.recorder.to, token.agent));
          g_assert_cmpmem (relay->packet.data, relay->packet.len, buffer, length);
          g_assert_cmpuint (relay->caller->port, ==, caller.port);
          g_assert_cmpuint (relay->balancer->port, ==, relay_address.port);
        }
      fixture_finish (&fixture);
    }
}

/* Guards against a crash on, and a reply to, truncated or corrupted datagrams. */
static void
test_malformed (void)
{
  fixture_t fixture;
  uint8_t buffer[OH_RELAY_MAX_BYTES];
  uint8_t inner[OH_PACKET_MAX_BYTES];
  oh_token_t token;
  size_t length;

  fixture_init (&fixture);
  send_view (&fixture, default_upstreams, true);
  token = make_token (&fixture.keyring);
  length = encode_packet (OH__PACKET__BODY_REQUEST, "plan-fetch", &token, buffer);
  for (size_t i = 0; i < length; i++)
    {
      send_datagram (&fixture, OH_BALANCER_CALLER_PACKET, buffer, i);
      g_assert_cmpuint (fixture.recorder.to_agents + fixture.recorder.to_callers, ==, 0);
    }
  /* Agents do not answer an Open without flow generation, so a caller could make them suspects. */
  send_datagram (&fixture, OH_BALANCER_CALLER_PACKET, buffer,
                 encode_open_generation ("plan-fetch", 0, buffer));
  g_assert_cmpuint (fixture.recorder.to_agents + fixture.recorder.to_callers, ==, 0);
  length = encode_packet (OH__PACKET__BODY_OPEN_REPLY, "plan-fetch", NULL, inner);
  length = encode_relay (&fixture, 0, inner, length, OH__RESULT__RESULT_NONE, NULL, 0, buffer);
  for (size_t i = 0; i < length; i++)
    {
      buffer[i] ^= 0x20;
      send_datagram (&fixture, OH_BALANCER_RELAY, buffer, length);
      g_assert_cmpuint (fixture.recorder.to_agents + fixture.recorder.to_callers, ==, 0);
      buffer[i] ^= 0x20;
    }
  send_datagram (&fixture, OH_BALANCER_RELAY, buffer, length);
  g_assert_cmpuint (fixture.recorder.to_callers, ==, 1);
  fixture_finish (&fixture);
}

/* Guards against Opens placed with a stale view or none, and against existing flows that stop without one. */
static void
test_without_view (void)
{
  static const struct
  {
    bool view;
    uint32_t key_generation; /* of the token; unknown to a balancer that has just started */
  } cases[] = { { false, 1 }, { false, 2 }, { false, 30 }, { true, 1 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      uint8_t buffer[OH_PACKET_MAX_BYTES];
      oh_keyring_t current;
      oh_token_t token;
      size_t length;

      fixture_init (&fixture);
      if (cases[i].view)
        send_view (&fixture, default_upstreams, false);
      oh_keyring_init (&current, master);
      oh_keyring_advance (&current, cases[i].key_generation);
      token = make_token (&current);
      length = encode_packet (OH__PACKET__BODY_REQUEST, "plan-fetch", &token, buffer);
      send_datagram (&fixture, OH_BALANCER_CALLER_PACKET, buffer, length);
      g_assert_cmpuint (fixture.recorder.to_agents, ==, 1);
      g_assert_nonnull (
        oh_relay_decode (&fixture.arena, &current, fixture.recorder.bytes, fixture.recorder.length, NULL));

      length = encode_open ("plan-fetch", buffer);
      send_datagram (&fixture, OH_BALANCER_CALLER_PACKET, buffer, length);
      g_assert_cmpuint (fixture.recorder.to_agents, ==, 0);
      g_assert_cmpuint (fixture.recorder.to_callers, ==, 1);
      g_assert_cmpint (decode_refusal (&fixture), ==, OH__RESULT__RESULT_NO_CONFIRMED_VIEW);
      oh_keyring_finish (&current);
      fixture_finish (&fixture);
    }
}

/* Guards against forged key generations that make the balancer spend its time on deriving keys, and against a
 * limit that is not lifted in the next timer period. */
static void
test_key_derivation_limit (void)
{
  fixture_t fixture;
  uint8_t buffer[OH_PACKET_MAX_BYTES];
  const oh_balancer_event_t timer = { .kind = OH_BALANCER_TIMER, .now_us = 2000 };
  oh_keyring_t current;
  oh_token_t token;
  size_t length;

  fixture_init (&fixture);
  oh_keyring_init (&current, master);
  oh_keyring_advance (&current, 50);
  token = make_token (&current);
  token.mac[0] ^= 1;
  length = encode_packet (OH__PACKET__BODY_REQUEST, "plan-fetch", &token, buffer);
  for (unsigned i = 0; i < OH_BALANCER_KEY_DERIVATIONS_MAX; i++)
    send_datagram (&fixture, OH_BALANCER_CALLER_PACKET, buffer, length);
  token.mac[0] ^= 1;
  length = encode_packet (OH__PACKET__BODY_REQUEST, "plan-fetch", &token, buffer);
  send_datagram (&fixture, OH_BALANCER_CALLER_PACKET, buffer, length);
  g_assert_cmpuint (fixture.recorder.to_agents, ==, 0);
  oh_balancer_core_handle (&fixture.core, &timer, &fixture.recorder.sink);
  send_datagram (&fixture, OH_BALANCER_CALLER_PACKET, buffer, length);
  g_assert_cmpuint (fixture.recorder.to_agents, ==, 1);
  oh_keyring_finish (&current);
  fixture_finish (&fixture);
}

/* Guards against refusals without their reason, and against Opens placed although they cannot succeed. */
static void
test_open (void)
{
  static const struct
  {
    const char *service;
    Oh__Result refused; /* NONE: placed */
  } cases[] = {
    { "plan-fetch", OH__RESULT__RESULT_NONE },
    { "scan-serve", OH__RESULT__RESULT_DEPENDENCY_UNAVAILABLE },
    { "kiln-log", OH__RESULT__RESULT_NO_UPSTREAM },
    { "unnamed", OH__RESULT__RESULT_WRONG_SERVICE },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      uint8_t buffer[OH_PACKET_MAX_BYTES];

      fixture_init (&fixture);
      send_view (&fixture, default_upstreams, true);
      send_datagram (&fixture, OH_BALANCER_CALLER_PACKET, buffer, encode_open (cases[i].service, buffer));
      g_assert_cmpuint (fixture.recorder.logs, ==, 1);
      if (cases[i].refused == OH__RESULT__RESULT_NONE)
        {
          g_assert_cmpuint (fixture.recorder.to_agents, ==, 1);
          g_assert_cmpuint (fixture.recorder.to.port, ==, FIXTURE_PORT);
        }
      else
        {
          g_assert_cmpuint (fixture.recorder.to_callers, ==, 1);
          g_assert_cmpint (decode_refusal (&fixture), ==, cases[i].refused);
          g_assert_true (oh_address_equal (fixture.recorder.to, caller));
        }
      fixture_finish (&fixture);
    }
}

/* Guards against an Open that is offered again to an agent that refused it, or passed on for ever. */
static void
test_refused_open (void)
{
  static const struct
  {
    unsigned index; /* of the refusing upstream */
    uint64_t tried[3];
    size_t n_tried;
    uint16_t next_port; /* 0: refused to the caller with the agent's reason */
    size_t next_tried;
  } cases[] = {
    { 0, { 0 }, 0, FIXTURE_PORT + 1, 1 }, /* the agent did not add itself */
    { 0, { 1000 }, 1, FIXTURE_PORT + 1, 1 },
    { 1, { 1000, 1001 }, 2, 0, 0 },
    { 1, { 7, 8, 1001 }, 3, 0, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      uint8_t open[OH_PACKET_MAX_BYTES];
      uint8_t buffer[OH_RELAY_MAX_BYTES];
      size_t length;

      g_test_message ("case %zu", i);
      fixture_init (&fixture);
      send_view (&fixture, default_upstreams, true);
      length = encode_open ("plan-fetch", open);
      length = encode_relay (&fixture, cases[i].index, open, length, OH__RESULT__RESULT_NOT_RUN_OVERLOADED,
                             cases[i].tried, cases[i].n_tried, buffer);
      send_datagram (&fixture, OH_BALANCER_RELAY, buffer, length);
      if (cases[i].next_port != 0)
        {
          const Oh__Relay *relay = oh_relay_decode (&fixture.arena, &fixture.keyring, fixture.recorder.bytes,
                                                    fixture.recorder.length, NULL);

          g_assert_cmpuint (fixture.recorder.to_agents, ==, 1);
          g_assert_cmpuint (fixture.recorder.to.port, ==, cases[i].next_port);
          g_assert_cmpuint (relay->n_tried, ==, cases[i].next_tried);
          g_assert_cmpuint (relay->caller->port, ==, caller.port);
        }
      else
        {
          g_assert_cmpuint (fixture.recorder.to_callers, ==, 1);
          g_assert_cmpint (decode_refusal (&fixture), ==, OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
        }
      fixture_finish (&fixture);
    }
}

/* Guards against replies delivered to another caller, callers' messages sent back to callers, and lost load
 * reports. */
static void
test_relay (void)
{
  static const struct
  {
    Oh__Packet__BodyCase body; /* NOT_SET: a load report alone */
    unsigned to_callers;
    uint64_t dropped_direction;
  } cases[] = {
    { OH__PACKET__BODY_CHUNK, 1, 0 },
    { OH__PACKET__BODY_OPEN_REPLY, 1, 0 },
    { OH__PACKET__BODY_REQUEST, 0, 1 },
    { OH__PACKET__BODY__NOT_SET, 0, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      uint8_t packet[OH_PACKET_MAX_BYTES];
      uint8_t buffer[OH_RELAY_MAX_BYTES];
      size_t packet_length = 0;
      size_t length;

      g_test_message ("case %zu", i);
      fixture_init (&fixture);
      send_view (&fixture, default_upstreams, true);
      send_datagram (&fixture, OH_BALANCER_CALLER_PACKET, packet, encode_open ("plan-fetch", packet));
      g_assert_cmpuint (oh_placement_find_upstream (&fixture.core.placement, "p1")->n_unanswered, ==, 1);
      if (cases[i].body != OH__PACKET__BODY__NOT_SET)
        packet_length = encode_packet (cases[i].body, "plan-fetch", NULL, packet);
      length = encode_relay (&fixture, 0, packet, packet_length, OH__RESULT__RESULT_NONE, NULL, 0, buffer);
      send_datagram (&fixture, OH_BALANCER_RELAY, buffer, length);
      g_assert_cmpuint (fixture.recorder.to_agents, ==, 0);
      g_assert_cmpuint (fixture.recorder.to_callers, ==, cases[i].to_callers);
      g_assert_cmpuint (oh_counter_get (&fixture.core.counters.dropped_direction), ==,
                        cases[i].dropped_direction);
      g_assert_cmpuint (oh_counter_get (&fixture.core.counters.reports), ==, 1);
      g_assert_cmpuint (oh_placement_find_upstream (&fixture.core.placement, "p1")->n_unanswered, ==,
                        cases[i].body == OH__PACKET__BODY_OPEN_REPLY ? 0 : 1);
      if (cases[i].to_callers > 0)
        {
          g_assert_true (oh_address_equal (fixture.recorder.to, caller));
          g_assert_cmpmem (fixture.recorder.bytes, fixture.recorder.length, packet, packet_length);
        }
      fixture_finish (&fixture);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/balancer-core/forwarding", test_forwarding);
  g_test_add_func ("/balancer-core/malformed", test_malformed);
  g_test_add_func ("/balancer-core/without-view", test_without_view);
  g_test_add_func ("/balancer-core/key-derivation-limit", test_key_derivation_limit);
  g_test_add_func ("/balancer-core/open", test_open);
  g_test_add_func ("/balancer-core/refused-open", test_refused_open);
  g_test_add_func ("/balancer-core/relay", test_relay);
  return g_test_run ();
}
