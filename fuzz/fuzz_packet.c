#include "core/codec.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Decodes the input as a caller's datagram and encodes the packet again. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static oh_arena_t arena;
  uint8_t buffer[8 * OH_PACKET_MAX_BYTES];
  oh_flow_id_t flow;
  Oh__Packet *packet;

  oh_arena_init (&arena);
  packet = oh_packet_decode (&arena, data, size, NULL);
  if (packet == NULL)
    return 0;
  oh_flow_id_from_packet (packet, &flow);
  oh_packet_encode (packet, buffer, sizeof buffer);
  return 0;
}
