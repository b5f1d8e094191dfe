#define OH_LOG_MODULE "balancer"
#include "core/balancer_core.h"

#include <stdarg.h>
#include <string.h>

/* An Open that is being placed or refused; exists only while one datagram is handled. */
typedef struct
{
  oh_address_t caller;
  const Oh__Packet *packet;
  const uint8_t *bytes; /* the encoded packet */
  size_t length;
  oh_flow_id_t flow;
  uint64_t tried[OH_PLACEMENT_TRIED_MAX]; /* incarnations of the agents that refused it */
  size_t n_tried;
  Oh__Result refused; /* reason of the last agent, or RESULT_NONE */
} open_t;

enum
{
  FLOW_TEXT_BYTES = 2 * OH_FLOW_ID_BYTES + 1,
};

static uint64_t
flow_key (const oh_flow_id_t *flow)
{
  uint64_t key;

  /* Callers generate the id at random, so its first bytes identify the flow well enough. */
  memcpy (&key, flow->bytes, sizeof key);
  return key;
}

static const char *
format_flow (const oh_flow_id_t *flow, char text[FLOW_TEXT_BYTES])
{
  static const char digits[] = "0123456789abcdef";

  for (size_t i = 0; i < OH_FLOW_ID_BYTES; i++)
    {
      text[2 * i] = digits[flow->bytes[i] >> 4];
      text[2 * i + 1] = digits[flow->bytes[i] & 0xf];
    }
  text[FLOW_TEXT_BYTES - 1] = '\0';
  return text;
}

static void
send_bytes (oh_balancer_sink_t *sink, oh_balancer_action_kind_t kind, oh_address_t to, const uint8_t *bytes,
            size_t length)
{
  const oh_balancer_action_t action
    = { .kind = kind, .send = { .to = to, .bytes = bytes, .length = length } };

  sink->emit (sink, &action);
}

G_GNUC_PRINTF (5, 6)
static void
emit_log (oh_balancer_core_t *core, oh_balancer_sink_t *sink, oh_log_level_t level, const char *event,
          const char *format, ...)
{
  char pairs[OH_BALANCER_LOG_BYTES];
  va_list args;

  va_start (args, format);
  g_vsnprintf (pairs, sizeof pairs, format, args);
  va_end (args);

  const oh_balancer_action_t action
    = { .kind = OH_BALANCER_LOG, .log = { .level = level, .event = event, .pairs = pairs } };

  sink->emit (sink, &action);
}

/*
 * Returns true if the generation is unknown and may be derived now, and counts the derivation. A process that
 * has just started, or is cut off from control, does not know the current key generation. It takes it over
 * from a token or seal whose MAC proves that it was made with the master key. Deriving keys costs several
 * times as much as handling a packet, so the number of derivations that forged generations can cause in a
 * timer period is limited.
 */
static bool
take_key_derivation (oh_balancer_core_t *core, uint32_t generation)
{
  if (generation <= core->keyring.generation + 1 || core->key_derivations_left == 0)
    return false;
  core->key_derivations_left--;
  return true;
}

static bool
verify_token (oh_balancer_core_t *core, const oh_flow_id_t *flow, const oh_token_t *token)
{
  oh_keyring_t later;
  bool valid;

  if (!take_key_derivation (core, token->key_generation))
    return oh_token_verify (&core->keyring, flow, token);
  later = core->keyring;
  oh_keyring_advance (&later, token->key_generation);
  valid = oh_token_verify (&later, flow, token);
  if (valid)
    {
      core->keyring = later;
      oh_counter_increment (&core->counters.key_generations_learned);
    }
  oh_keyring_finish (&later);
  return valid;
}

static Oh__Relay *
decode_relay (oh_balancer_core_t *core, const uint8_t *bytes, size_t length, oh_error_t *error)
{
  Oh__Relay *relay = oh_relay_decode (&core->arena, &core->keyring, bytes, length, error);
  uint32_t generation;

  if (relay != NULL || error->code != OH_ERROR_CODE_UNKNOWN_GENERATION)
    return relay;
  memcpy (&generation, bytes + OH_MAC_BYTES, sizeof generation);
  if (!take_key_derivation (core, GUINT32_FROM_LE (generation))
      || !oh_keyring_follow (&core->keyring, OH_KEY_RELAY, bytes, length))
    return NULL;
  oh_counter_increment (&core->counters.key_generations_learned);
  return oh_relay_decode (&core->arena, &core->keyring, bytes, length, error);
}

static void
send_relay (oh_balancer_core_t *core, oh_balancer_sink_t *sink, oh_address_t agent, oh_address_t caller,
            const uint8_t *bytes, size_t length, const open_t *open)
{
  Oh__Relay relay = OH__RELAY__INIT;
  Oh__Address caller_wire;
  Oh__Address balancer_wire;
  size_t written;

  oh_address_to_wire (caller, &caller_wire);
  oh_address_to_wire (core->relay, &balancer_wire);
  relay.caller = &caller_wire;
  relay.balancer = &balancer_wire;
  relay.packet.data = (uint8_t *)bytes;
  relay.packet.len = length;
  if (open != NULL)
    {
      relay.tried = (uint64_t *)open->tried;
      relay.n_tried = open->n_tried;
    }
  written = oh_relay_encode (&relay, &core->keyring, core->out, sizeof core->out);
  g_assert (written > 0);
  send_bytes (sink, OH_BALANCER_SEND_AGENT, agent, core->out, written);
}

/* 0 before the first view. */
static uint64_t
view_version (const oh_balancer_core_t *core)
{
  return core->placement.view != NULL ? core->placement.view->version : 0;
}

static void
refuse_open (oh_balancer_core_t *core, const open_t *open, const oh_placement_decision_t *decision,
             oh_balancer_sink_t *sink)
{
  /* An agent's reason for its refusal tells the caller more than the lack of another upstream. */
  const Oh__Result result
    = decision->reason == OH_PLACEMENT_TRIED_ALL && open->refused != OH__RESULT__RESULT_NONE
        ? open->refused
        : decision->refused;
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__OpenReply reply = OH__OPEN_REPLY__INIT;
  char flow_text[FLOW_TEXT_BYTES];
  char caller_text[OH_ADDRESS_TEXT_BYTES];
  size_t length;

  packet.flow.data = (uint8_t *)open->flow.bytes;
  packet.flow.len = OH_FLOW_ID_BYTES;
  packet.service = open->packet->service;
  packet.body_case = OH__PACKET__BODY_OPEN_REPLY;
  packet.open_reply = &reply;
  reply.refused = result;
  reply.attempt = open->packet->open->attempt;
  length = oh_packet_encode (&packet, core->out, sizeof core->out);
  send_bytes (sink, OH_BALANCER_SEND_CALLER, open->caller, core->out, length);
  oh_counter_increment (&core->counters.refused);
  if (core->log_level >= OH_LOG_INFO)
    emit_log (core, sink, OH_LOG_INFO, "open_refused",
              "flow=%s service=%s service_id=%016" G_GINT64_MODIFIER "x caller=%s reason=%s dependency=%s "
              "result=%d tried=%zu upstreams=%u suspects=%u excluded=%u version=%" G_GUINT64_FORMAT,
              format_flow (&open->flow, flow_text), decision->service_name, open->packet->service,
              oh_address_format (open->caller, caller_text), oh_placement_reason_name (decision->reason),
              decision->unavailable_dependency, (int)result, open->n_tried, decision->upstreams,
              decision->suspects, decision->excluded, view_version (core));
}

static void
place_open (oh_balancer_core_t *core, const open_t *open, int64_t now_us, oh_balancer_sink_t *sink)
{
  oh_placement_decision_t decision;
  char flow_text[FLOW_TEXT_BYTES];
  char caller_text[OH_ADDRESS_TEXT_BYTES];

  if (!oh_placement_choose (&core->placement, open->packet->service, open->tried, open->n_tried, now_us,
                            &decision))
    {
      refuse_open (core, open, &decision, sink);
      return;
    }
  oh_placement_open_sent (&core->placement, decision.upstream, flow_key (&open->flow), now_us);
  send_relay (core, sink, decision.upstream->agent, open->caller, open->bytes, open->length, open);
  oh_counter_increment (&core->counters.placed);
  if (core->log_level >= OH_LOG_INFO)
    emit_log (core, sink, OH_LOG_INFO, "open_placed",
              "flow=%s service=%s caller=%s upstream=%s reason=%s load=%.3f flows=%u unanswered=%u tried=%zu "
              "upstreams=%u candidates=%u suspects=%u excluded=%u distrusted=%u version=%" G_GUINT64_FORMAT,
              format_flow (&open->flow, flow_text), decision.service_name,
              oh_address_format (open->caller, caller_text), decision.upstream->name,
              oh_placement_reason_name (decision.reason), decision.load, decision.upstream->flows,
              decision.upstream->n_unanswered, open->n_tried, decision.upstreams, decision.candidates,
              decision.suspects, decision.excluded, decision.distrusted, view_version (core));
}

static void
forward_by_token (oh_balancer_core_t *core, oh_address_t from, const Oh__Packet *packet, const uint8_t *bytes,
                  size_t length, oh_balancer_sink_t *sink)
{
  oh_flow_id_t flow;
  oh_token_t token;

  if (!oh_token_from_wire (packet->token, &token))
    {
      oh_counter_increment (&core->counters.dropped_no_token);
      return;
    }
  if (token.service != packet->service)
    {
      oh_counter_increment (&core->counters.dropped_wrong_service);
      return;
    }
  oh_flow_id_from_packet (packet, &flow);
  if (!verify_token (core, &flow, &token))
    {
      oh_counter_increment (&core->counters.dropped_forged_token);
      return;
    }
  send_relay (core, sink, token.agent, from, bytes, length, NULL);
  oh_counter_increment (&core->counters.forwarded);
  if (core->log_level >= OH_LOG_DEBUG)
    {
      char flow_text[FLOW_TEXT_BYTES];
      char agent_text[OH_ADDRESS_TEXT_BYTES];

      emit_log (core, sink, OH_LOG_DEBUG, "forwarded", "flow=%s agent=%s body=%d bytes=%zu",
                format_flow (&flow, flow_text), oh_address_format (token.agent, agent_text),
                (int)packet->body_case, length);
    }
}

static bool
is_from_agent (const Oh__Packet *packet)
{
  switch (packet->body_case)
    {
    case OH__PACKET__BODY_OPEN_REPLY:
    case OH__PACKET__BODY_CHUNK:
    case OH__PACKET__BODY_OUTCOME:
    case OH__PACKET__BODY_PONG:
    case OH__PACKET__BODY_MOVED:
    case OH__PACKET__BODY_GONE:
    case OH__PACKET__BODY_CLOSE_REPLY:
      return true;
    case OH__PACKET__BODY__NOT_SET:
    case OH__PACKET__BODY_OPEN:
    case OH__PACKET__BODY_REQUEST:
    case OH__PACKET__BODY_CHUNK_ACK:
    case OH__PACKET__BODY_CANCEL:
    case OH__PACKET__BODY_PING:
    case OH__PACKET__BODY_CLOSE:
    case _OH__PACKET__BODY__CASE_IS_INT_SIZE:
      break;
    }
  return false;
}

static void
handle_caller_packet (oh_balancer_core_t *core, const oh_balancer_event_t *event, oh_balancer_sink_t *sink)
{
  const uint8_t *bytes = event->datagram.bytes;
  const size_t length = event->datagram.length;
  const Oh__Packet *packet = oh_packet_decode (&core->arena, bytes, length, NULL);

  if (packet == NULL)
    {
      oh_counter_increment (&core->counters.dropped_malformed);
      return;
    }
  if (is_from_agent (packet))
    {
      oh_counter_increment (&core->counters.dropped_direction);
      return;
    }
  if (packet->body_case == OH__PACKET__BODY_OPEN && packet->open->flow_generation == 0)
    {
      /* Agents do not answer such an Open, so it would make them suspects. */
      oh_counter_increment (&core->counters.dropped_malformed);
      return;
    }
  if (packet->body_case == OH__PACKET__BODY_OPEN)
    {
      open_t open = { .caller = event->datagram.from, .packet = packet, .bytes = bytes, .length = length };

      oh_flow_id_from_packet (packet, &open.flow);
      oh_counter_increment (&core->counters.opens);
      place_open (core, &open, event->now_us, sink);
      return;
    }
  forward_by_token (core, event->datagram.from, packet, bytes, length, sink);
}

/* Handles an Open that an agent refused and sent back: offers it to the next agent, or refuses it to the
 * caller. */
static void
retry_open (oh_balancer_core_t *core, const Oh__Relay *relay, const Oh__Packet *packet, oh_address_t caller,
            int64_t now_us, oh_balancer_sink_t *sink)
{
  open_t open = {
    .caller = caller,
    .packet = packet,
    .bytes = relay->packet.data,
    .length = relay->packet.len,
    .n_tried = MIN (relay->n_tried, (size_t)OH_PLACEMENT_TRIED_MAX),
    .refused = relay->refused,
  };
  bool listed = relay->load == NULL;

  oh_flow_id_from_packet (packet, &open.flow);
  for (size_t i = 0; i < open.n_tried; i++)
    {
      open.tried[i] = relay->tried[i];
      if (!listed && open.tried[i] == relay->load->incarnation)
        listed = true;
    }
  if (!listed && open.n_tried < OH_PLACEMENT_TRIED_MAX)
    open.tried[open.n_tried++] = relay->load->incarnation;
  if (open.n_tried == 0)
    {
      /* Without the refusing agent's incarnation the Open could be offered to it again and again. */
      oh_counter_increment (&core->counters.dropped_bad_relay);
      return;
    }
  oh_counter_increment (&core->counters.open_retries);
  place_open (core, &open, now_us, sink);
}

static void
handle_relay (oh_balancer_core_t *core, const oh_balancer_event_t *event, oh_balancer_sink_t *sink)
{
  oh_error_t error = { .domain = OH_ERROR_NONE };
  const Oh__Relay *relay = decode_relay (core, event->datagram.bytes, event->datagram.length, &error);
  const Oh__Packet *packet;
  oh_address_t caller;
  oh_flow_id_t flow;
  bool refused;

  if (relay == NULL)
    {
      oh_counter_increment (error.domain == OH_ERROR_AUTH ? &core->counters.dropped_bad_seal
                                                          : &core->counters.dropped_bad_relay);
      return;
    }
  if (relay->load != NULL)
    oh_counter_increment (oh_placement_apply_load (&core->placement, relay->load, event->now_us)
                            ? &core->counters.reports
                            : &core->counters.reports_ignored);
  if (relay->packet.len == 0 && relay->load != NULL)
    return;
  packet = oh_packet_decode (&core->inner_arena, relay->packet.data, relay->packet.len, NULL);
  if (packet == NULL || !oh_address_from_wire (relay->caller, &caller))
    {
      oh_counter_increment (&core->counters.dropped_bad_relay);
      return;
    }
  refused = relay->refused != OH__RESULT__RESULT_NONE && packet->body_case == OH__PACKET__BODY_OPEN;
  if (!refused && !is_from_agent (packet))
    {
      oh_counter_increment (&core->counters.dropped_direction);
      return;
    }
  if (relay->load != NULL && (refused || packet->body_case == OH__PACKET__BODY_OPEN_REPLY))
    {
      oh_flow_id_from_packet (packet, &flow);
      oh_placement_open_answered (&core->placement, relay->load, flow_key (&flow),
                                  !refused && packet->open_reply->token != NULL, event->now_us);
    }
  if (refused)
    {
      retry_open (core, relay, packet, caller, event->now_us, sink);
      return;
    }
  send_bytes (sink, OH_BALANCER_SEND_CALLER, caller, relay->packet.data, relay->packet.len);
  oh_counter_increment (&core->counters.delivered);
}

static void
handle_view (oh_balancer_core_t *core, const oh_balancer_event_t *event, oh_balancer_sink_t *sink)
{
  oh_placement_view_t *view = event->view;

  oh_keyring_advance (&core->keyring, view->key_generation);
  if (core->log_level >= OH_LOG_INFO
      && (core->placement.view == NULL || core->placement.view->version != view->version
          || core->placement.view->confirmed != view->confirmed
          || core->placement.view->members->len != view->members->len))
    emit_log (core, sink, OH_LOG_INFO, "view_changed",
              "version=%" G_GUINT64_FORMAT " confirmed=%d key_generation=%u services=%u upstreams=%u "
              "balancers=%u",
              view->version, view->confirmed, view->key_generation, view->services->len, view->members->len,
              view->n_balancers);
  oh_placement_set_view (&core->placement, view, event->now_us);
}

void
oh_balancer_core_init (oh_balancer_core_t *core, const char *zone, oh_address_t relay,
                       const oh_keyring_t *keyring, oh_random_t *random, oh_log_level_t log_level)
{
  memset (core, 0, sizeof *core);
  core->relay = relay;
  core->keyring = *keyring;
  core->log_level = log_level;
  core->key_derivations_left = OH_BALANCER_KEY_DERIVATIONS_MAX;
  oh_placement_init (&core->placement, zone, random);
  oh_arena_init (&core->arena);
  oh_arena_init (&core->inner_arena);
}

void
oh_balancer_core_finish (oh_balancer_core_t *core)
{
  oh_placement_finish (&core->placement);
  oh_keyring_finish (&core->keyring);
}

void
oh_balancer_core_add_counters (oh_balancer_core_t *core, oh_counters_t *counters)
{
  oh_balancer_counters_t *own = &core->counters;

  oh_counters_add (counters, &own->forwarded, "forwarded_total");
  oh_counters_add (counters, &own->delivered, "delivered_total");
  oh_counters_add (counters, &own->opens, "opens_total");
  oh_counters_add (counters, &own->placed, "opens_placed_total");
  oh_counters_add (counters, &own->open_retries, "open_retries_total");
  oh_counters_add (counters, &own->refused, "opens_refused_total");
  oh_counters_add (counters, &own->reports, "load_reports_total");
  oh_counters_add (counters, &own->reports_ignored, "load_reports_ignored_total");
  oh_counters_add (counters, &own->dropped_malformed, "dropped_malformed_total");
  oh_counters_add (counters, &own->dropped_no_token, "dropped_no_token_total");
  oh_counters_add (counters, &own->dropped_forged_token, "dropped_forged_token_total");
  oh_counters_add (counters, &own->dropped_wrong_service, "dropped_wrong_service_total");
  oh_counters_add (counters, &own->dropped_direction, "dropped_direction_total");
  oh_counters_add (counters, &own->dropped_bad_seal, "dropped_bad_seal_total");
  oh_counters_add (counters, &own->dropped_bad_relay, "dropped_bad_relay_total");
  oh_counters_add (counters, &own->key_generations_learned, "key_generations_learned_total");
}

void
oh_balancer_core_handle (oh_balancer_core_t *core, const oh_balancer_event_t *event, oh_balancer_sink_t *sink)
{
  switch (event->kind)
    {
    case OH_BALANCER_CALLER_PACKET:
      handle_caller_packet (core, event, sink);
      break;
    case OH_BALANCER_RELAY:
      handle_relay (core, event, sink);
      break;
    case OH_BALANCER_VIEW:
      handle_view (core, event, sink);
      break;
    case OH_BALANCER_TIMER:
      core->key_derivations_left = OH_BALANCER_KEY_DERIVATIONS_MAX;
      oh_placement_expire_opens (&core->placement, event->now_us);
      break;
    }
}
