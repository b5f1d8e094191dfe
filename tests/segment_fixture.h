#pragma once

#include <glib.h>
#include <string.h>

#include "core/codec.h"
#include "core/segment.h"
#include "platform/segment_codec.h"

/* Builds segments in the platform's format, and records messages between balancers and agents. */

enum
{
  FIXTURE_HEADER_BYTES = 32,
  FIXTURE_DATA_MAX_BYTES = 64,
  FIXTURE_SENT_MAX = 512,
};

enum
{
  FIXTURE_SYN = 4,
  FIXTURE_ACK = 64,
  FIXTURE_FIN = 16,
  FIXTURE_RST = 1,
  FIXTURE_RETURNED = 8,
};

typedef struct
{
  uint8_t bytes[FIXTURE_HEADER_BYTES + FIXTURE_DATA_MAX_BYTES];
  size_t length;
} fixture_segment_t;

/* A sent message, decoded; strings are left out. */
typedef struct
{
  oh_address_t to;
  Oh__SegmentRelayKind kind;
  Oh__Result refused;
  uint64_t service;
  uint32_t search;
  bool yields;
  uint32_t target_ms;
  oh_segment_t segment; /* zero if the message carries none */
  size_t length;        /* of the carried segment */
  size_t n_flows;       /* that a query names */
  size_t n_held_bytes;  /* of an answer */
  uint8_t held;         /* bits of the first eight flows */
  uint8_t wanted;
} fixture_message_t;

/* Writes a big-endian number. */
static inline void
fixture_put (uint8_t *at, uint32_t value, unsigned bytes)
{
  for (unsigned i = 0; i < bytes; i++)
    at[i] = (uint8_t)(value >> (8 * (bytes - 1 - i)));
}

static inline fixture_segment_t
fixture_segment (oh_address_t from, oh_address_t to, unsigned flags, uint32_t sequence, uint32_t acknowledged,
                 unsigned length)
{
  fixture_segment_t segment = { .length = FIXTURE_HEADER_BYTES + length };

  fixture_put (segment.bytes, 0x51a7c0de, 4);
  fixture_put (segment.bytes + 4, to.ipv4, 4);
  fixture_put (segment.bytes + 8, from.port, 2);
  fixture_put (segment.bytes + 10, from.ipv4, 4);
  fixture_put (segment.bytes + 14, to.port, 2);
  fixture_put (segment.bytes + 16, sequence, 4);
  fixture_put (segment.bytes + 20, acknowledged, 4);
  fixture_put (segment.bytes + 24, length, 2);
  segment.bytes[26] = (uint8_t)flags;
  return segment;
}

static inline oh_address_t
fixture_address (const char *text)
{
  oh_address_t address;

  g_assert_true (oh_address_parse (text, &address));
  return address;
}

static inline void
fixture_keyring (oh_keyring_t *keyring)
{
  const uint8_t master[OH_MASTER_KEY_BYTES] = { 7 };

  oh_keyring_init (keyring, master);
}

/* Unseals a message and decodes it; fails the test if the seal or the message is not valid. */
static inline fixture_message_t
fixture_decode (const oh_keyring_t *keyring, oh_address_t to, const uint8_t *bytes, size_t length)
{
  static oh_arena_t arena;
  const oh_segment_format_t *format = oh_platform_segment_format ();
  fixture_message_t message = { .to = to };
  const Oh__SegmentRelay *relay;

  oh_arena_init (&arena);
  relay = oh_segment_relay_decode (&arena, keyring, bytes, length, NULL);
  g_assert_nonnull (relay);
  message.kind = relay->kind;
  message.refused = relay->refused;
  message.service = relay->service;
  message.search = relay->search;
  message.yields = relay->yields;
  message.target_ms = relay->target_ms;
  message.length = relay->segment.len;
  message.n_flows = relay->n_flows;
  message.n_held_bytes = relay->held.len;
  message.held = relay->held.len > 0 ? relay->held.data[0] : 0;
  message.wanted = relay->wanted.len > 0 ? relay->wanted.data[0] : 0;
  if (relay->segment.len > 0)
    g_assert_true (format->ops->decode (format, relay->segment.data, relay->segment.len, &message.segment));
  return message;
}
