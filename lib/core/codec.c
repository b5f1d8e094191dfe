#include "core/codec.h"

#include <glib.h>
#include <string.h>

static void *
arena_alloc (void *data, size_t size)
{
  oh_arena_t *arena = data;
  const size_t rounded = (size + 15) & ~(size_t)15;
  void *block;

  if (rounded < size || rounded > OH_ARENA_BYTES - arena->used)
    return NULL;
  block = arena->bytes + arena->used;
  arena->used += rounded;
  return block;
}

/* The whole arena is reused by the next decoding. */
static void
arena_free (void *data, void *block)
{
  (void)data;
  (void)block;
}

static bool
payload_sizes_valid (const Oh__Packet *packet)
{
  if (packet->body_case == OH__PACKET__BODY_REQUEST)
    return packet->request->payload.len <= OH_PAYLOAD_MAX_BYTES;
  if (packet->body_case == OH__PACKET__BODY_CHUNK)
    return packet->chunk->data.len <= OH_CHUNK_MAX_BYTES;
  return packet->body_case != OH__PACKET__BODY__NOT_SET;
}

void
oh_arena_init (oh_arena_t *arena)
{
  arena->allocator
    = (ProtobufCAllocator){ .alloc = arena_alloc, .free = arena_free, .allocator_data = arena };
  arena->used = 0;
}

Oh__Packet *
oh_packet_decode (oh_arena_t *arena, const uint8_t *bytes, size_t length, oh_error_t *error)
{
  Oh__Packet *packet;

  if (length > OH_PACKET_MAX_BYTES)
    {
      oh_error_set (error, OH_ERROR_DECODE, OH_ERROR_CODE_TOO_LARGE,
                    "packet of %zu bytes, expected at most %d", length, OH_PACKET_MAX_BYTES);
      return NULL;
    }
  arena->used = 0;
  packet = oh__packet__unpack (&arena->allocator, length, bytes);
  if (packet == NULL || packet->flow.len != OH_FLOW_ID_BYTES || !payload_sizes_valid (packet))
    {
      oh_error_set (error, OH_ERROR_DECODE, OH_ERROR_CODE_MALFORMED, "packet of %zu bytes is malformed",
                    length);
      return NULL;
    }
  return packet;
}

Oh__Relay *
oh_relay_decode (oh_arena_t *arena, const oh_keyring_t *keyring, const uint8_t *bytes, size_t length,
                 oh_error_t *error)
{
  const uint8_t *body;
  size_t body_length;
  Oh__Relay *relay;

  if (!oh_unseal (keyring, OH_KEY_RELAY, bytes, length, &body, &body_length, error))
    return NULL;
  arena->used = 0;
  relay = oh__relay__unpack (&arena->allocator, body_length, body);
  if (relay == NULL || relay->packet.len > OH_PACKET_MAX_BYTES)
    {
      oh_error_set (error, OH_ERROR_DECODE, OH_ERROR_CODE_MALFORMED, "relay of %zu bytes is malformed",
                    length);
      return NULL;
    }
  return relay;
}

Oh__SegmentRelay *
oh_segment_relay_decode (oh_arena_t *arena, const oh_keyring_t *keyring, const uint8_t *bytes, size_t length,
                         oh_error_t *error)
{
  const uint8_t *body;
  size_t body_length;
  Oh__SegmentRelay *relay;

  if (!oh_unseal (keyring, OH_KEY_RELAY, bytes, length, &body, &body_length, error))
    return NULL;
  arena->used = 0;
  relay = oh__segment_relay__unpack (&arena->allocator, body_length, body);
  if (relay == NULL || relay->segment.len > OH_SEGMENT_MAX_BYTES)
    {
      oh_error_set (error, OH_ERROR_DECODE, OH_ERROR_CODE_MALFORMED,
                    "segment relay of %zu bytes is malformed", length);
      return NULL;
    }
  return relay;
}

size_t
oh_segment_relay_encode (const Oh__SegmentRelay *relay, const oh_keyring_t *keyring, uint8_t *buffer,
                         size_t capacity)
{
  const size_t size = oh__segment_relay__get_packed_size (relay);

  if (size + OH_SEAL_HEADER_BYTES > capacity)
    return 0;
  oh__segment_relay__pack (relay, buffer + OH_SEAL_HEADER_BYTES);
  oh_seal (keyring, OH_KEY_RELAY, buffer, size);
  return size + OH_SEAL_HEADER_BYTES;
}

size_t
oh_packet_encode (const Oh__Packet *packet, uint8_t *buffer, size_t capacity)
{
  const size_t size = oh__packet__get_packed_size (packet);

  if (size > capacity || size > OH_PACKET_MAX_BYTES)
    return 0;
  return oh__packet__pack (packet, buffer);
}

size_t
oh_relay_encode (const Oh__Relay *relay, const oh_keyring_t *keyring, uint8_t *buffer, size_t capacity)
{
  const size_t size = oh__relay__get_packed_size (relay);

  if (size + OH_SEAL_HEADER_BYTES > capacity)
    return 0;
  oh__relay__pack (relay, buffer + OH_SEAL_HEADER_BYTES);
  oh_seal (keyring, OH_KEY_RELAY, buffer, size);
  return size + OH_SEAL_HEADER_BYTES;
}

Oh__Control *
oh_control_decode (const oh_keyring_t *keyring, oh_key_purpose_t purpose, const uint8_t *bytes, size_t length,
                   oh_error_t *error)
{
  const uint8_t *body;
  size_t body_length;
  Oh__Control *message;

  if (!oh_unseal (keyring, purpose, bytes, length, &body, &body_length, error))
    return NULL;
  message = oh__control__unpack (NULL, body_length, body);
  if (message == NULL || message->body_case == OH__CONTROL__BODY__NOT_SET)
    {
      if (message != NULL)
        oh__control__free_unpacked (message, NULL);
      oh_error_set (error, OH_ERROR_DECODE, OH_ERROR_CODE_MALFORMED,
                    "control message of %zu bytes is malformed", length);
      return NULL;
    }
  return message;
}

uint8_t *
oh_control_encode (const Oh__Control *message, const oh_keyring_t *keyring, oh_key_purpose_t purpose,
                   size_t *length)
{
  const size_t size = oh__control__get_packed_size (message);
  uint8_t *buffer = g_malloc (size + OH_SEAL_HEADER_BYTES);

  oh__control__pack (message, buffer + OH_SEAL_HEADER_BYTES);
  oh_seal (keyring, purpose, buffer, size);
  *length = size + OH_SEAL_HEADER_BYTES;
  return buffer;
}

void
oh_flow_id_from_packet (const Oh__Packet *packet, oh_flow_id_t *flow)
{
  g_assert (packet->flow.len == OH_FLOW_ID_BYTES);
  memcpy (flow->bytes, packet->flow.data, OH_FLOW_ID_BYTES);
}

bool
oh_token_from_wire (const Oh__Token *wire, oh_token_t *token)
{
  if (wire == NULL || wire->mac.len != OH_MAC_BYTES || !oh_address_from_wire (wire->agent, &token->agent))
    return false;
  token->service = wire->service;
  token->incarnation = wire->incarnation;
  token->offer = wire->offer;
  token->flow_generation = wire->flow_generation;
  token->key_generation = wire->key_generation;
  memcpy (token->mac, wire->mac.data, OH_MAC_BYTES);
  return true;
}

void
oh_token_to_wire (const oh_token_t *token, Oh__Token *wire, Oh__Address *address)
{
  oh__token__init (wire);
  oh_address_to_wire (token->agent, address);
  wire->service = token->service;
  wire->agent = address;
  wire->incarnation = token->incarnation;
  wire->offer = token->offer;
  wire->flow_generation = token->flow_generation;
  wire->key_generation = token->key_generation;
  wire->mac.len = OH_MAC_BYTES;
  wire->mac.data = (uint8_t *)token->mac;
}

bool
oh_address_from_wire (const Oh__Address *wire, oh_address_t *address)
{
  if (wire == NULL || wire->port == 0 || wire->port > G_MAXUINT16)
    return false;
  address->ipv4 = wire->ipv4;
  address->port = (uint16_t)wire->port;
  return true;
}

void
oh_address_to_wire (oh_address_t address, Oh__Address *wire)
{
  oh__address__init (wire);
  wire->ipv4 = address.ipv4;
  wire->port = address.port;
}
