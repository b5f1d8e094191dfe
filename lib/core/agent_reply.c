#define OH_LOG_MODULE "agent"
#include "core/agent_internal.h"

enum
{
  SEND_BUDGET_CHUNKS = 64, /* per event, so that other events are not delayed */
  MAX_OUTCOME_RETRIES = 5,
};

static oh_address_t
return_balancer (const oh_flow_t *flow)
{
  return flow->balancers[flow->next_balancer];
}

static void
send_chunk (oh_agent_core_t *core, oh_flow_entry_t *entry, const oh_chunk_t *chunk)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Chunk wire = OH__CHUNK__INIT;

  wire.number = entry->number;
  wire.attempt = entry->attempt;
  wire.sequence = chunk->sequence;
  wire.data.data = (uint8_t *)chunk->data;
  wire.data.len = chunk->length;
  wire.digest = chunk->digest;
  wire.tag = entry->stream.tag;
  wire.last = chunk->last;
  wire.total_length = chunk->last ? entry->stream.total_length : 0;
  packet.body_case = OH__PACKET__BODY_CHUNK;
  packet.chunk = &wire;
  oh_agent_reply (core, entry->flow, &packet);
  oh_counter_increment (&core->counters.chunks_sent);
}

void
oh_agent_send_relay (oh_agent_core_t *core, oh_address_t balancer, Oh__Relay *relay)
{
  uint8_t buffer[OH_RELAY_MAX_BYTES];
  Oh__Load load;
  Oh__Address agent;
  size_t length;

  oh_agent_core_load (core, core->now_us, &load, &agent);
  load.sequence = ++core->report_sequence;
  relay->load = &load;
  length = oh_relay_encode (relay, core->keyring, buffer, sizeof buffer);
  relay->load = NULL;
  g_assert (length > 0);
  oh_agent_emit (core, &(oh_agent_action_t){
                         .kind = OH_AGENT_ACTION_SEND,
                         .send = { .to = balancer, .bytes = buffer, .length = length },
                       });
}

void
oh_agent_reply_to (oh_agent_core_t *core, oh_address_t caller, oh_address_t balancer,
                   const oh_flow_id_t *flow, Oh__Packet *packet)
{
  uint8_t buffer[OH_PACKET_MAX_BYTES];
  Oh__Relay relay = OH__RELAY__INIT;
  Oh__Address wire_caller;

  packet->flow.data = (uint8_t *)flow->bytes;
  packet->flow.len = sizeof flow->bytes;
  packet->service = core->config.service;
  relay.packet.len = oh_packet_encode (packet, buffer, sizeof buffer);
  g_assert (relay.packet.len > 0);
  relay.packet.data = buffer;
  oh_address_to_wire (caller, &wire_caller);
  relay.caller = &wire_caller;
  oh_agent_send_relay (core, balancer, &relay);
}

void
oh_agent_reply (oh_agent_core_t *core, oh_flow_t *flow, Oh__Packet *packet)
{
  if (flow->n_balancers > 0)
    oh_agent_reply_to (core, flow->caller, return_balancer (flow), &flow->id, packet);
}

void
oh_agent_send_outcome (oh_agent_core_t *core, oh_flow_entry_t *entry)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Outcome outcome = OH__OUTCOME__INIT;

  outcome.number = entry->number;
  outcome.attempt = entry->attempt;
  outcome.result = entry->result;
  packet.body_case = OH__PACKET__BODY_OUTCOME;
  packet.outcome = &outcome;
  oh_agent_reply (core, entry->flow, &packet);
  if (entry->outcome_retries < MAX_OUTCOME_RETRIES)
    {
      entry->outcome_retries++;
      entry->retry_us = core->now_us + oh_stream_backoff_us (&entry->retry_interval_ms, core->random);
      oh_list_remove (&entry->timer_link);
      oh_list_append (&core->timers, &entry->timer_link);
    }
}

void
oh_agent_send_moved (oh_agent_core_t *core, oh_flow_t *flow, const oh_token_t *token)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Moved moved = OH__MOVED__INIT;
  Oh__Token wire;
  Oh__Address address;

  oh_token_to_wire (token, &wire, &address);
  moved.token = &wire;
  packet.body_case = OH__PACKET__BODY_MOVED;
  packet.moved = &moved;
  oh_agent_reply (core, flow, &packet);
}

oh_token_t
oh_agent_make_token (const oh_agent_core_t *core, const oh_flow_id_t *flow, uint32_t generation,
                     uint64_t offer_id)
{
  oh_token_t token = {
    .service = core->config.service,
    .agent = core->config.relay,
    .incarnation = core->config.incarnation,
    .offer = offer_id,
    .flow_generation = generation,
  };

  oh_token_sign (core->keyring, flow, &token);
  return token;
}

void
oh_agent_schedule_stream (oh_agent_core_t *core, oh_flow_entry_t *entry)
{
  const bool may_send = entry->flow->state == OH_FLOW_OWNED || entry->flow->state == OH_FLOW_FROZEN;

  if (may_send && oh_list_is_empty (&entry->ready_link) && oh_chunk_stream_peek (&entry->stream) != NULL)
    oh_list_append (&core->ready, &entry->ready_link);
}

void
oh_agent_send_chunks (oh_agent_core_t *core)
{
  unsigned budget = SEND_BUDGET_CHUNKS;

  while (budget > 0 && !oh_list_is_empty (&core->ready))
    {
      oh_flow_entry_t *entry = oh_list_entry (core->ready.next, oh_flow_entry_t, ready_link);
      oh_chunk_stream_t *stream = &entry->stream;
      const oh_chunk_t *chunk;

      stream->deficit_bytes += OH_STREAM_QUANTUM_BYTES;
      while ((chunk = oh_chunk_stream_peek (stream)) != NULL && budget > 0
             && chunk->length <= stream->deficit_bytes)
        {
          send_chunk (core, entry, chunk);
          stream->deficit_bytes -= chunk->length;
          oh_chunk_stream_mark_sent (stream, core->now_us, core->random);
          budget--;
        }
      oh_list_remove (&entry->ready_link);
      if (chunk != NULL)
        oh_list_append (&core->ready, &entry->ready_link);
      else
        stream->deficit_bytes = 0;
      if (oh_list_is_empty (&entry->timer_link))
        oh_list_append (&core->timers, &entry->timer_link);
    }
}

void
oh_agent_run_timers (oh_agent_core_t *core)
{
  oh_list_foreach_safe (&core->timers, link, following)
    {
      oh_flow_entry_t *entry = oh_list_entry (link, oh_flow_entry_t, timer_link);
      oh_flow_t *flow = entry->flow;

      if (oh_chunk_stream_check_retransmit (&entry->stream, core->now_us))
        {
          flow->next_balancer = flow->n_balancers > 0 ? (flow->next_balancer + 1) % flow->n_balancers : 0;
          oh_counter_increment (&core->counters.chunks_retransmitted);
          oh_agent_schedule_stream (core, entry);
        }
      if (entry->retry_us != 0 && core->now_us >= entry->retry_us)
        {
          entry->retry_us = 0;
          if (entry->state == OH_FLOW_ENTRY_RESUMING)
            oh_agent_resume_stream (core, entry);
          else if (flow->state == OH_FLOW_OWNED || flow->state == OH_FLOW_FROZEN)
            {
              flow->next_balancer = flow->n_balancers > 0 ? (flow->next_balancer + 1) % flow->n_balancers : 0;
              oh_agent_send_outcome (core, entry);
            }
        }
      if (entry->stream.retransmit_us == 0 && entry->retry_us == 0)
        oh_list_remove (&entry->timer_link);
    }
}
