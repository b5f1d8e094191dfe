#include <glib.h>
#include <string.h>

#include "core/codec.h"

static const uint8_t master[OH_MASTER_KEY_BYTES] = { 1, 2, 3 };
static const oh_flow_id_t flow = { { 9, 8, 7 } };

static oh_token_t
sample_token (const oh_keyring_t *keyring)
{
  oh_token_t token = {
    .service = oh_service_id ("meter-stream"),
    .agent = { .ipv4 = 0x7f000001, .port = 9000 },
    .incarnation = 42,
    .flow_generation = 1,
  };

  oh_token_sign (keyring, &flow, &token);
  return token;
}

/* Guards against accepting a forged token, one for another service or one replayed in another flow. */
static void
test_token_forgery (void)
{
  oh_keyring_t keyring;
  oh_token_t forged[7];
  oh_flow_id_t other_flow = flow;

  oh_keyring_init (&keyring, master);
  const oh_token_t token = sample_token (&keyring);

  g_assert_true (oh_token_verify (&keyring, &flow, &token));
  for (size_t i = 0; i < G_N_ELEMENTS (forged); i++)
    forged[i] = token;
  forged[0].service = oh_service_id ("plan-fetch");
  forged[1].agent.port++;
  forged[2].incarnation++;
  forged[3].flow_generation++;
  forged[4].key_generation++;
  forged[5].mac[15] ^= 1;
  forged[6].offer++;
  for (size_t i = 0; i < G_N_ELEMENTS (forged); i++)
    g_assert_false (oh_token_verify (&keyring, &flow, &forged[i]));
  other_flow.bytes[0]++;
  g_assert_false (oh_token_verify (&keyring, &other_flow, &token));
  oh_keyring_finish (&keyring);
}

/* Guards against a key rotation that invalidates tokens in use, and against keys that never expire. */
static void
test_key_rotation (void)
{
  oh_keyring_t keyring;

  oh_keyring_init (&keyring, master);
  const oh_token_t token = sample_token (&keyring);
  oh_keyring_advance (&keyring, 2);
  g_assert_true (oh_token_verify (&keyring, &flow, &token));
  oh_keyring_advance (&keyring, 3);
  g_assert_false (oh_token_verify (&keyring, &flow, &token));
  oh_keyring_advance (&keyring, 2);
  g_assert_cmpuint (keyring.generation, ==, 3);
  oh_keyring_finish (&keyring);
}

static size_t
sample_relay (const oh_keyring_t *keyring, uint8_t *buffer)
{
  Oh__Relay relay = OH__RELAY__INIT;
  Oh__Address caller;
  uint8_t packet[] = { 1, 2, 3 };

  oh_address_to_wire ((oh_address_t){ .ipv4 = 1, .port = 2 }, &caller);
  relay.caller = &caller;
  relay.packet.data = packet;
  relay.packet.len = sizeof packet;
  return oh_relay_encode (&relay, keyring, buffer, OH_RELAY_MAX_BYTES);
}

/* Guards against accepting a modified or truncated message between the system's processes. */
static void
test_seal (void)
{
  oh_keyring_t keyring;
  oh_arena_t arena;
  uint8_t buffer[OH_RELAY_MAX_BYTES];

  oh_keyring_init (&keyring, master);
  oh_arena_init (&arena);
  const size_t length = sample_relay (&keyring, buffer);

  g_assert_nonnull (oh_relay_decode (&arena, &keyring, buffer, length, NULL));
  for (size_t i = 0; i < length; i++)
    {
      buffer[i] ^= 0x10;
      g_assert_null (oh_relay_decode (&arena, &keyring, buffer, length, NULL));
      buffer[i] ^= 0x10;
      g_assert_null (oh_relay_decode (&arena, &keyring, buffer, i, NULL));
    }
  oh_keyring_finish (&keyring);
}

/* Guards against a process that can never rejoin after several rotations, and against following a forged key
 * generation. */
static void
test_keyring_follow (void)
{
  oh_keyring_t current;
  oh_keyring_t outdated;
  oh_keyring_t other_system;
  const uint8_t other_master[OH_MASTER_KEY_BYTES] = { 4 };
  uint8_t buffer[OH_RELAY_MAX_BYTES];

  oh_keyring_init (&current, master);
  oh_keyring_init (&outdated, master);
  oh_keyring_init (&other_system, other_master);
  oh_keyring_advance (&current, 9);
  const size_t length = sample_relay (&current, buffer);

  g_assert_false (oh_keyring_follow (&other_system, OH_KEY_RELAY, buffer, length));
  g_assert_cmpuint (other_system.generation, ==, 1);
  g_assert_false (oh_keyring_follow (&outdated, OH_KEY_CONTROL, buffer, length));
  g_assert_false (oh_keyring_follow (&outdated, OH_KEY_RELAY, buffer, OH_SEAL_HEADER_BYTES - 1));
  g_assert_cmpuint (outdated.generation, ==, 1);
  g_assert_true (oh_keyring_follow (&outdated, OH_KEY_RELAY, buffer, length));
  g_assert_cmpuint (outdated.generation, ==, 9);
  g_assert_false (oh_keyring_follow (&current, OH_KEY_RELAY, buffer, length));
}

/* Guards against a decoder that accepts a packet without a body or with a wrong flow id length or too large a
 * payload. */
static void
test_packet_bounds (void)
{
  static const struct
  {
    size_t flow_length;
    size_t payload_length;
    bool body;
    bool valid;
  } cases[] = {
    { 16, 0, true, true },     { 16, 1024, true, true }, { 15, 0, true, false },
    { 16, 1025, true, false }, { 16, 0, false, false },  { 0, 0, true, false },
  };
  uint8_t payload[1100] = { 0 };
  uint8_t buffer[2048];
  oh_arena_t arena;

  oh_arena_init (&arena);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Oh__Packet packet = OH__PACKET__INIT;
      Oh__Request request = OH__REQUEST__INIT;

      packet.flow.data = (uint8_t *)flow.bytes;
      packet.flow.len = cases[i].flow_length;
      request.payload.data = payload;
      request.payload.len = cases[i].payload_length;
      if (cases[i].body)
        {
          packet.body_case = OH__PACKET__BODY_REQUEST;
          packet.request = &request;
        }
      const size_t length = oh_packet_encode (&packet, buffer, sizeof buffer);
      g_assert_cmpint (oh_packet_decode (&arena, buffer, length, NULL) != NULL, ==, cases[i].valid);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/codec/token-forgery", test_token_forgery);
  g_test_add_func ("/codec/key-rotation", test_key_rotation);
  g_test_add_func ("/codec/seal", test_seal);
  g_test_add_func ("/codec/keyring-follow", test_keyring_follow);
  g_test_add_func ("/codec/packet-bounds", test_packet_bounds);
  return g_test_run ();
}
