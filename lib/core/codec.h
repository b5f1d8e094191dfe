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
 * Encoding and decoding of datagrams, and conversions between wire and core types. Packets and relays are
 * decoded into an arena, without heap allocation; a decoded message is valid until the next decoding into the
 * same arena.
 */

enum
{
  OH_PACKET_MAX_BYTES = 1400,
  OH_RELAY_MAX_BYTES = 1700, /* a packet of the maximum size, addresses, a load report and the seal */
  OH_CHUNK_MAX_BYTES = 1024,
  OH_PAYLOAD_MAX_BYTES = 1024,
  OH_REQUEST_WINDOW = 64, /* request numbers of a flow in use at the same time */
  OH_ARENA_BYTES = 8192,  /* a relay of the maximum size with every submessage takes less than half */
};

/* Bump allocator for one decoded message. Must not be moved after oh_arena_init. */
typedef struct
{
  ProtobufCAllocator allocator;
  size_t used;
  _Alignas(16) uint8_t bytes[OH_ARENA_BYTES];
} oh_arena_t;

void oh_arena_init (oh_arena_t *arena);

/* Returns NULL and sets the error if the bytes are not a Packet with a body, a flow id of the right length
 * and payloads within their limits. */
Oh__Packet *oh_packet_decode (oh_arena_t *arena, const uint8_t *bytes, size_t length, oh_error_t *error);

/* Unseals and decodes. Returns NULL and sets the error if the seal or the message is not valid. The packet in
 * the relay is not decoded. */
Oh__Relay *oh_relay_decode (oh_arena_t *arena, const oh_keyring_t *keyring, const uint8_t *bytes,
                            size_t length, oh_error_t *error);

/* As oh_relay_decode, for relayed segments. */
Oh__SegmentRelay *oh_segment_relay_decode (oh_arena_t *arena, const oh_keyring_t *keyring,
                                           const uint8_t *bytes, size_t length, oh_error_t *error);

/* The encoders return the number of bytes written, 0 if the message does not fit. Relays are sealed. */
size_t oh_segment_relay_encode (const Oh__SegmentRelay *relay, const oh_keyring_t *keyring, uint8_t *buffer,
                                size_t capacity);
size_t oh_packet_encode (const Oh__Packet *packet, uint8_t *buffer, size_t capacity);
size_t oh_relay_encode (const Oh__Relay *relay, const oh_keyring_t *keyring, uint8_t *buffer,
                        size_t capacity);

/* Unseals and decodes on the heap. Returns NULL and sets the error if the seal or the message is not valid.
 * Free with oh__control__free_unpacked (message, NULL). */
Oh__Control *oh_control_decode (const oh_keyring_t *keyring, oh_key_purpose_t purpose, const uint8_t *bytes,
                                size_t length, oh_error_t *error);

/* Returns the sealed message; free with g_free. */
uint8_t *oh_control_encode (const Oh__Control *message, const oh_keyring_t *keyring, oh_key_purpose_t purpose,
                            size_t *length);

/* The packet must have passed oh_packet_decode, which checks the length of the id. */
void oh_flow_id_from_packet (const Oh__Packet *packet, oh_flow_id_t *flow);

/* Returns false if wire is NULL, has no valid address or a MAC of another length. Does not verify the MAC. */
bool oh_token_from_wire (const Oh__Token *wire, oh_token_t *token);

/* Fills wire and address. wire points to address and to token->mac, which must outlive it. */
void oh_token_to_wire (const oh_token_t *token, Oh__Token *wire, Oh__Address *address);

/* Returns false if wire is NULL or the port is not in 1 to 65535. */
bool oh_address_from_wire (const Oh__Address *wire, oh_address_t *address);
void oh_address_to_wire (oh_address_t address, Oh__Address *wire);
