#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"
#include "core/keyring.h"
#include "core/segment.h"
#include "wire/control.pb-c.h"
#include "wire/packet.pb-c.h"

/*
 * Decoding of datagrams without heap allocation, and conversions between wire and core types. A decoded
 * message lives in the arena until the arena decodes the next message.
 */

enum
{
  OH_PACKET_MAX_BYTES = 1400,
  OH_RELAY_MAX_BYTES = 1700, /* a packet of the greatest size, addresses, a load report and the seal */
  OH_CHUNK_MAX_BYTES = 1024,
  OH_PAYLOAD_MAX_BYTES = 1024,
  OH_REQUEST_WINDOW = 64, /* open request numbers of a flow */
  OH_ARENA_BYTES = 8192,  /* a relay of the greatest size with every submessage takes less than half */
};

typedef struct
{
  ProtobufCAllocator allocator;
  size_t used;
  _Alignas(16) uint8_t bytes[OH_ARENA_BYTES];
} oh_arena_t;

void oh_arena_init (oh_arena_t *arena);

/* Returns NULL and sets the error if the bytes are no valid Packet: sizes, flow id length, body present. */
Oh__Packet *oh_packet_decode (oh_arena_t *arena, const uint8_t *bytes, size_t length, oh_error_t *error);

/* Unseals and decodes. */
Oh__Relay *oh_relay_decode (oh_arena_t *arena, const oh_keyring_t *keyring, const uint8_t *bytes,
                            size_t length, oh_error_t *error);

/* As oh_relay_decode, for relayed segments. */
Oh__SegmentRelay *oh_segment_relay_decode (oh_arena_t *arena, const oh_keyring_t *keyring,
                                           const uint8_t *bytes, size_t length, oh_error_t *error);
size_t oh_segment_relay_encode (const Oh__SegmentRelay *relay, const oh_keyring_t *keyring, uint8_t *buffer,
                                size_t capacity);

/* Both return the number of bytes written, 0 if the message does not fit. */
size_t oh_packet_encode (const Oh__Packet *packet, uint8_t *buffer, size_t capacity);
size_t oh_relay_encode (const Oh__Relay *relay, const oh_keyring_t *keyring, uint8_t *buffer,
                        size_t capacity);

/* Heap allocated; NULL and error on bad input. Free with oh__control__free_unpacked (message, NULL). */
Oh__Control *oh_control_decode (const oh_keyring_t *keyring, oh_key_purpose_t purpose, const uint8_t *bytes,
                                size_t length, oh_error_t *error);

/* Sealed bytes, free with g_free. */
uint8_t *oh_control_encode (const Oh__Control *message, const oh_keyring_t *keyring, oh_key_purpose_t purpose,
                            size_t *length);

void oh_flow_id_get (const Oh__Packet *packet, oh_flow_id_t *flow);

/* False if the wire token has no address or a MAC of another length. */
bool oh_token_from_wire (const Oh__Token *wire, oh_token_t *token);

/* Fills wire and address; wire refers to address and to token->mac, which must outlive it. */
void oh_token_to_wire (const oh_token_t *token, Oh__Token *wire, Oh__Address *address);

bool oh_address_from_wire (const Oh__Address *wire, oh_address_t *address);
void oh_address_to_wire (oh_address_t address, Oh__Address *wire);
