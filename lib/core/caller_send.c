#include "core/caller_send.h"

static void
send_packet (oh_caller_core_t *core, Oh__Packet *packet, oh_caller_sink_t *sink)
{
  uint8_t buffer[OH_PACKET_MAX_BYTES];
  Oh__Address address;
  Oh__Token token;
  size_t length;

  packet->flow.data = core->flow.bytes;
  packet->flow.len = OH_FLOW_ID_BYTES;
  packet->service = core->service;
  packet->ack_below = core->floor;
  if (packet->body_case != OH__PACKET__BODY_OPEN)
    {
      oh_token_to_wire (&core->token, &token, &address);
      packet->token = &token;
    }
  length = oh_packet_encode (packet, buffer, sizeof buffer);
  packet->token = NULL;
  g_assert (length > 0); /* every packet fits, since payloads are limited to OH_PAYLOAD_MAX_BYTES */
  sink->emit (sink, &(oh_caller_action_t){
                      .kind = OH_CALLER_ACTION_SEND,
                      .bytes = buffer,
                      .length = length,
                    });
}

static uint32_t
remaining_ms (int64_t deadline_us, int64_t now_us)
{
  if (deadline_us == 0)
    return 0;
  /* At least 1, since 0 on the wire means no deadline. */
  return deadline_us <= now_us + 1000 ? 1
                                      : (uint32_t)MIN ((deadline_us - now_us) / 1000, (int64_t)G_MAXUINT32);
}

void
oh_caller_send_open (oh_caller_core_t *core, oh_caller_sink_t *sink)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Open open = OH__OPEN__INIT;

  open.attempt = core->open_attempt;
  open.flow_generation = core->generation;
  packet.body_case = OH__PACKET__BODY_OPEN;
  packet.open = &open;
  send_packet (core, &packet, sink);
}

void
oh_caller_send_request (oh_caller_core_t *core, const oh_caller_entry_t *entry, int64_t now_us,
                        oh_caller_sink_t *sink)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Request request = OH__REQUEST__INIT;

  request.number = entry->number;
  request.attempt = entry->attempt;
  request.kind = entry->kind;
  request.priority = entry->priority;
  request.remaining_ms = remaining_ms (entry->deadline_us, now_us);
  request.resume_from = entry->answer.next;
  request.resume_digest = entry->answer.digest;
  request.resume_tag = entry->answer.tag;
  request.window = OH_ANSWER_WINDOW;
  request.payload.data = entry->payload->data;
  request.payload.len = entry->payload->len;
  packet.body_case = OH__PACKET__BODY_REQUEST;
  packet.request = &request;
  send_packet (core, &packet, sink);
}

void
oh_caller_send_cancel (oh_caller_core_t *core, uint32_t number, oh_caller_sink_t *sink)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Cancel cancel = OH__CANCEL__INIT;

  cancel.number = number;
  packet.body_case = OH__PACKET__BODY_CANCEL;
  packet.cancel = &cancel;
  send_packet (core, &packet, sink);
}

void
oh_caller_send_ack (oh_caller_core_t *core, uint32_t number, uint32_t attempt, uint64_t next,
                    oh_caller_sink_t *sink)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__ChunkAck ack = OH__CHUNK_ACK__INIT;

  ack.number = number;
  ack.attempt = attempt;
  ack.next = next;
  ack.window = OH_ANSWER_WINDOW;
  packet.body_case = OH__PACKET__BODY_CHUNK_ACK;
  packet.chunk_ack = &ack;
  send_packet (core, &packet, sink);
}

void
oh_caller_send_ping (oh_caller_core_t *core, oh_caller_sink_t *sink)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Ping ping = OH__PING__INIT;

  ping.sequence = ++core->ping_sequence;
  packet.body_case = OH__PACKET__BODY_PING;
  packet.ping = &ping;
  send_packet (core, &packet, sink);
}

void
oh_caller_send_close (oh_caller_core_t *core, oh_caller_sink_t *sink)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Close close = OH__CLOSE__INIT;

  packet.body_case = OH__PACKET__BODY_CLOSE;
  packet.close = &close;
  send_packet (core, &packet, sink);
}
