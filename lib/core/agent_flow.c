#define OH_LOG_MODULE "agent"
#include "core/agent_internal.h"

#include <string.h>

/* A packet received from a caller through a balancer. */
typedef struct
{
  oh_address_t caller;
  oh_address_t balancer;
  oh_flow_id_t id;
  oh_token_t token;
  const Oh__Packet *packet;
} inbound_t;

static void
raise_floor (oh_agent_core_t *core, oh_flow_t *flow, uint32_t floor)
{
  if (floor <= flow->floor)
    return;
  for (unsigned i = 0; i < OH_REQUEST_WINDOW; i++)
    if (flow->entries[i] != NULL && flow->entries[i]->number < floor)
      oh_agent_drop_entry (core, flow->entries[i]);
  flow->floor = floor;
}

static void
refuse_open (oh_agent_core_t *core, const Oh__Relay *relay, Oh__Result reason)
{
  /* The balancer keeps no state of the Open, so it gets the packet back to try another agent. */
  oh_address_t balancer;
  Oh__Relay returned = OH__RELAY__INIT;
  uint64_t tried[16];

  oh_counter_increment (&core->counters.opens_refused);
  oh_address_from_wire (relay->balancer, &balancer);
  for (size_t i = 0; i < relay->n_tried && i < G_N_ELEMENTS (tried) - 1; i++)
    if (relay->tried[i] != core->config.incarnation)
      tried[returned.n_tried++] = relay->tried[i];
  tried[returned.n_tried++] = core->config.incarnation;
  returned.tried = tried;
  returned.caller = relay->caller;
  returned.balancer = relay->balancer;
  returned.packet = relay->packet;
  returned.refused = reason;
  oh_agent_log (core, OH_LOG_INFO, "open_refused", "reason=%d flows=%u draining=%d", (int)reason,
                core->flows.n_flows, core->draining || core->zone_drained);
  oh_agent_send_relay (core, balancer, &returned);
}

static Oh__Result
open_refusal (const oh_agent_core_t *core, const oh_flow_t *flow)
{
  if (core->draining || core->zone_drained)
    return OH__RESULT__RESULT_NOT_RUN_DRAINING;
  if (!core->health.answered)
    return OH__RESULT__RESULT_NO_UPSTREAM;
  if (oh_agent_has_wrong_service (core))
    return OH__RESULT__RESULT_WRONG_SERVICE;
  if (flow == NULL
      && (core->flows.n_flows - core->flows.n_moved >= core->config.max_flows
          || core->flows.n_closed + core->flows.n_flows >= OH_FLOW_MAX_CLOSED))
    return OH__RESULT__RESULT_NOT_RUN_OVERLOADED;
  return OH__RESULT__RESULT_NONE;
}

static uint32_t
highest_generation (const oh_agent_core_t *core, const oh_flow_id_t *id, const oh_flow_t *flow)
{
  uint32_t generation = oh_flow_table_closed_generation (&core->flows, id);

  if (flow != NULL && flow->state != OH_FLOW_OFFERED)
    generation = MAX (generation, MAX (flow->generation, flow->sent_generation));
  return generation;
}

static void
handle_open (oh_agent_core_t *core, const Oh__Relay *relay, const inbound_t *in)
{
  const Oh__Open *open = in->packet->open;
  oh_flow_t *flow = oh_flow_table_find (&core->flows, &in->id);
  const bool owned_duplicate = flow != NULL && (flow->state == OH_FLOW_OWNED || flow->state == OH_FLOW_FROZEN)
                               && open->flow_generation == flow->generation;
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__OpenReply reply = OH__OPEN_REPLY__INIT;
  Oh__Token wire;
  Oh__Address address;
  oh_token_t token;

  oh_counter_increment (&core->counters.opens);
  if (in->packet->service != core->config.service)
    {
      refuse_open (core, relay, OH__RESULT__RESULT_WRONG_SERVICE);
      return;
    }
  if (!owned_duplicate)
    {
      const Oh__Result refusal = open_refusal (core, flow);

      if (open->flow_generation <= highest_generation (core, &in->id, flow)
          || (flow != NULL && open->flow_generation < flow->pending_generation))
        {
          oh_counter_increment (&core->counters.packets_stale);
          return;
        }
      if (refusal != OH__RESULT__RESULT_NONE)
        {
          refuse_open (core, relay, refusal);
          return;
        }
      if (flow == NULL)
        flow = oh_flow_table_add (&core->flows, &in->id, OH_FLOW_OFFERED);
      if (flow->pending_generation == 0)
        core->pending_offers++;
      if (flow->pending_generation != open->flow_generation)
        flow->pending_offer_id = ++core->last_offer_id;
      flow->pending_generation = open->flow_generation;
      flow->offer_expires_us = core->now_us + (int64_t)OH_AGENT_OFFER_MS * 1000;
      core->load_changed = true;
    }
  token = oh_agent_make_token (core, &in->id, open->flow_generation,
                               owned_duplicate ? flow->offer_id : flow->pending_offer_id);
  oh_token_to_wire (&token, &wire, &address);
  reply.token = &wire;
  reply.attempt = open->attempt;
  packet.body_case = OH__PACKET__BODY_OPEN_REPLY;
  packet.open_reply = &reply;
  oh_agent_reply_to (core, in->caller, in->balancer, &in->id, &packet);
}

static void
send_gone (oh_agent_core_t *core, const inbound_t *in)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Gone gone = OH__GONE__INIT;

  oh_counter_increment (&core->counters.gone);
  gone.incarnation = in->token.incarnation;
  packet.body_case = OH__PACKET__BODY_GONE;
  packet.gone = &gone;
  oh_agent_reply_to (core, in->caller, in->balancer, &in->id, &packet);
}

static void
send_close_reply (oh_agent_core_t *core, const inbound_t *in)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__CloseReply reply = OH__CLOSE_REPLY__INIT;

  packet.body_case = OH__PACKET__BODY_CLOSE_REPLY;
  packet.close_reply = &reply;
  oh_agent_reply_to (core, in->caller, in->balancer, &in->id, &packet);
}

static void
send_pong (oh_agent_core_t *core, const inbound_t *in)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Pong pong = OH__PONG__INIT;
  Oh__Token wire;
  Oh__Address address;
  oh_token_t token;

  pong.sequence = in->packet->ping->sequence;
  if (in->token.key_generation < core->keyring->generation)
    {
      token = oh_agent_make_token (core, &in->id, in->token.flow_generation, in->token.offer);
      oh_token_to_wire (&token, &wire, &address);
      pong.token = &wire;
    }
  packet.body_case = OH__PACKET__BODY_PONG;
  packet.pong = &pong;
  oh_agent_reply_to (core, in->caller, in->balancer, &in->id, &packet);
}

static void
clear_offer (oh_agent_core_t *core, oh_flow_t *flow)
{
  if (flow->pending_generation == 0)
    return;
  flow->pending_generation = 0;
  core->pending_offers--;
  core->load_changed = true;
}

/* The caller used an offered token: the flow is opened, or opened again under a higher generation. */
static void
accept_offer (oh_agent_core_t *core, oh_flow_t *flow, uint32_t generation)
{
  oh_agent_drop_entries (core, flow);
  clear_offer (core, flow);
  oh_flow_set_state (&core->flows, flow, OH_FLOW_OWNED);
  flow->generation = generation;
  flow->offer_id = flow->pending_offer_id;
  flow->sent_generation = 0;
  flow->source_incarnation = 0;
  flow->floor = 0;
  oh_agent_log (core, OH_LOG_INFO, "flow_opened", "flow=%016" G_GINT64_MODIFIER "x generation=%u",
                oh_agent_flow_log_id (flow), generation);
}

/* The caller used the token of a handover: streams continue from the positions in the flow state. */
static void
activate_flow (oh_agent_core_t *core, oh_flow_t *flow)
{
  oh_flow_set_state (&core->flows, flow, OH_FLOW_OWNED);
  for (unsigned i = 0; i < OH_REQUEST_WINDOW; i++)
    {
      oh_flow_entry_t *entry = flow->entries[i];

      if (entry == NULL)
        continue;
      if (entry->state == OH_FLOW_ENTRY_RESUMING)
        oh_agent_resume_stream (core, entry);
      else
        oh_agent_schedule_stream (core, entry);
    }
}

static void
close_flow (oh_agent_core_t *core, oh_flow_t *flow)
{
  const uint32_t generation = MAX (flow->generation, flow->sent_generation);

  oh_agent_log (core, OH_LOG_INFO, "flow_closed", "flow=%016" G_GINT64_MODIFIER "x generation=%u",
                oh_agent_flow_log_id (flow), generation);
  clear_offer (core, flow);
  oh_agent_drop_entries (core, flow);
  oh_flow_table_close (&core->flows, &flow->id, generation, core->now_us);
  oh_flow_table_remove (&core->flows, flow);
  core->load_changed = true;
}

static void
handle_ack (oh_agent_core_t *core, oh_flow_t *flow, const Oh__ChunkAck *ack)
{
  oh_flow_entry_t *entry;

  if (!oh_flow_in_window (flow, ack->number))
    return;
  entry = oh_flow_find_entry (flow, ack->number);
  if (entry == NULL || entry->attempt != ack->attempt
      || !oh_chunk_stream_ack (&entry->stream, ack->next, ack->window, core->now_us))
    {
      oh_counter_increment (&core->counters.packets_stale);
      return;
    }
  oh_agent_unpause_stream (core, entry);
  oh_agent_schedule_stream (core, entry);
}

/* Handles a packet whose token is the one that owns the flow at this agent. */
static void
handle_owned (oh_agent_core_t *core, oh_flow_t *flow, const inbound_t *in)
{
  const Oh__Packet *packet = in->packet;

  oh_flow_record_path (flow, in->caller, in->balancer, core->now_us);
  if (flow->state == OH_FLOW_SENT)
    {
      /* The flow's state has been sent to another agent, so a change here would be lost. */
      if (packet->body_case == OH__PACKET__BODY_PING)
        send_pong (core, in);
      return;
    }
  raise_floor (core, flow, packet->ack_below);
  if (flow->state == OH_FLOW_RECEIVED)
    activate_flow (core, flow);
  if (packet->body_case == OH__PACKET__BODY_REQUEST)
    oh_agent_handle_request (core, flow, packet->request);
  else if (packet->body_case == OH__PACKET__BODY_CHUNK_ACK)
    handle_ack (core, flow, packet->chunk_ack);
  else if (packet->body_case == OH__PACKET__BODY_CANCEL)
    oh_agent_handle_cancel (core, flow, packet->cancel->number);
  else if (packet->body_case == OH__PACKET__BODY_PING)
    send_pong (core, in);
  else if (packet->body_case == OH__PACKET__BODY_CLOSE)
    {
      close_flow (core, flow);
      send_close_reply (core, in);
    }
  else
    oh_counter_increment (&core->counters.packets_rejected);
}

static void
handle_with_token (oh_agent_core_t *core, const inbound_t *in)
{
  oh_flow_t *flow = oh_flow_table_find (&core->flows, &in->id);
  const uint32_t generation = in->token.flow_generation;

  if (in->token.incarnation != core->config.incarnation)
    {
      send_gone (core, in);
      return;
    }
  if (in->token.service != core->config.service
      || (in->packet->service != 0 && in->packet->service != core->config.service))
    {
      oh_counter_increment (&core->counters.packets_rejected);
      return;
    }
  if (flow == NULL)
    {
      if (in->packet->body_case == OH__PACKET__BODY_CLOSE
          && oh_flow_table_closed_generation (&core->flows, &in->id) >= generation)
        send_close_reply (core, in);
      else
        send_gone (core, in);
      return;
    }
  if (flow->pending_generation == generation && flow->pending_offer_id == in->token.offer
      && core->now_us < flow->offer_expires_us)
    {
      accept_offer (core, flow, generation);
      handle_owned (core, flow, in);
    }
  else if (flow->state == OH_FLOW_OFFERED || generation > flow->generation
           || (generation == flow->generation && in->token.offer != flow->offer_id))
    send_gone (core, in);
  else if (flow->state == OH_FLOW_MOVED)
    {
      oh_flow_record_path (flow, in->caller, in->balancer, core->now_us);
      oh_agent_send_moved (core, flow, &flow->moved_to);
    }
  else if (generation == flow->generation && in->token.offer == flow->offer_id)
    handle_owned (core, flow, in);
  else if (flow->source_incarnation != 0)
    {
      /* The flow was handed over to another agent and back, and the caller missed both Moved packets. */
      const oh_token_t token = oh_agent_make_token (core, &flow->id, flow->generation, flow->offer_id);

      oh_flow_record_path (flow, in->caller, in->balancer, core->now_us);
      oh_agent_send_moved (core, flow, &token);
    }
  else
    oh_counter_increment (&core->counters.packets_stale);
}

void
oh_agent_handle_relay (oh_agent_core_t *core, const uint8_t *bytes, size_t length)
{
  const Oh__Relay *relay = oh_relay_decode (&core->relay_arena, core->keyring, bytes, length, NULL);
  inbound_t in = { 0 };

  oh_counter_increment (&core->counters.packets);
  if (relay == NULL || !oh_address_from_wire (relay->caller, &in.caller)
      || !oh_address_from_wire (relay->balancer, &in.balancer))
    goto reject;
  in.packet = oh_packet_decode (&core->packet_arena, relay->packet.data, relay->packet.len, NULL);
  if (in.packet == NULL)
    goto reject;
  oh_flow_id_from_packet (in.packet, &in.id);
  if (in.packet->body_case == OH__PACKET__BODY_OPEN)
    {
      handle_open (core, relay, &in);
      return;
    }
  if (!oh_token_from_wire (in.packet->token, &in.token)
      || !oh_token_verify (core->keyring, &in.id, &in.token))
    goto reject;
  handle_with_token (core, &in);
  return;

reject:
  oh_counter_increment (&core->counters.packets_rejected);
}

void
oh_agent_drop_entries (oh_agent_core_t *core, oh_flow_t *flow)
{
  for (unsigned i = 0; i < OH_REQUEST_WINDOW; i++)
    if (flow->entries[i] != NULL)
      oh_agent_drop_entry (core, flow->entries[i]);
}

bool
oh_agent_has_running_request (const oh_flow_t *flow)
{
  for (unsigned i = 0; i < OH_REQUEST_WINDOW; i++)
    if (flow->entries[i] != NULL && flow->entries[i]->state == OH_FLOW_ENTRY_RUNNING
        && flow->entries[i]->kind != OH__REQUEST_KIND__REQUEST_TRANSFER
        && flow->entries[i]->kind != OH__REQUEST_KIND__REQUEST_FEED)
      return true;
  return false;
}

void
oh_agent_sweep_flows (oh_agent_core_t *core)
{
  oh_list_foreach_safe (&core->flows.flows, link, following)
    {
      oh_flow_t *flow = oh_list_entry (link, oh_flow_t, link);

      if (flow->pending_generation != 0 && core->now_us >= flow->offer_expires_us)
        clear_offer (core, flow);
      if (flow->state == OH_FLOW_OFFERED)
        {
          /* No packet used the token, so no record of the closed flow is needed. */
          if (flow->pending_generation == 0)
            oh_flow_table_remove (&core->flows, flow);
        }
      else if (core->now_us - MAX (flow->last_heard_us, flow->sent_us) > (int64_t)OH_AGENT_IDLE_MS * 1000
               && !oh_agent_has_running_request (flow))
        close_flow (core, flow);
    }
  oh_flow_table_expire (&core->flows, core->now_us);
}
