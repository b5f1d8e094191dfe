#define OH_LOG_MODULE "test"
#include "agent_fixture.h"

#include <string.h>

#define SERVICE "meter-stream"

static const oh_address_t caller_address = { .ipv4 = 0x7f000001, .port = 5000 };
static const oh_address_t balancer_address = { .ipv4 = 0x7f000001, .port = 6000 };

static bool
is_not_run (Oh__Result result)
{
  return (result >= OH__RESULT__RESULT_NOT_RUN_OVERLOADED && result <= OH__RESULT__RESULT_NOT_RUN_UPSTREAM)
         || result == OH__RESULT__RESULT_WRONG_SERVICE;
}

static void
receive_chunk (fixture_t *fixture, const Oh__Chunk *chunk)
{
  const uint32_t number = chunk->number;

  fixture->n_chunks++;
  g_assert_cmpuint (chunk->data.len, <=, OH_CHUNK_MAX_BYTES);
  if (chunk->sequence != fixture->next_chunk[number])
    return;
  g_assert_cmpuint (oh_chunk_digest (fixture->digest[number], chunk->data.data, chunk->data.len), ==,
                    chunk->digest);
  fixture->next_chunk[number]++;
  fixture->digest[number] = chunk->digest;
  fixture->complete[number] = chunk->last;
}

static void
receive_packet (fixture_t *fixture, const Oh__Packet *packet)
{
  fixture->n_packets++;
  switch (packet->body_case)
    {
    case OH__PACKET__BODY_OPEN_REPLY:
      g_assert_true (oh_token_from_wire (packet->open_reply->token, &fixture->token));
      fixture->has_token = true;
      break;
    case OH__PACKET__BODY_CHUNK:
      receive_chunk (fixture, packet->chunk);
      break;
    case OH__PACKET__BODY_OUTCOME:
      fixture->n_outcomes++;
      fixture->outcome[packet->outcome->number] = packet->outcome->result;
      fixture->outcome_attempt[packet->outcome->number] = packet->outcome->attempt;
      if (is_not_run (packet->outcome->result))
        fixture->reported_not_run[packet->outcome->number] = true;
      break;
    case OH__PACKET__BODY_PONG:
      fixture->n_pongs++;
      fixture->pong_has_token = packet->pong->token != NULL;
      if (fixture->pong_has_token)
        g_assert_true (oh_token_from_wire (packet->pong->token, &fixture->pong_token));
      break;
    case OH__PACKET__BODY_MOVED:
      fixture->n_moved++;
      g_assert_true (oh_token_from_wire (packet->moved->token, &fixture->moved));
      break;
    case OH__PACKET__BODY_GONE:
      fixture->n_gone++;
      break;
    case OH__PACKET__BODY_CLOSE_REPLY:
      fixture->n_close_replies++;
      break;
    default:
      g_assert_not_reached ();
    }
}

static void
receive_relay (fake_agent_t *agent, const oh_agent_action_t *action)
{
  fixture_t *fixture = agent->fixture;
  static oh_arena_t relay_arena;
  static oh_arena_t packet_arena;
  Oh__Relay *relay;
  Oh__Packet *packet;

  oh_arena_init (&relay_arena);
  oh_arena_init (&packet_arena);
  fixture->sent_digest = oh_chunk_digest (fixture->sent_digest, action->send.bytes, action->send.length);
  relay = oh_relay_decode (&relay_arena, &fixture->keyring, action->send.bytes, action->send.length, NULL);
  g_assert_nonnull (relay);
  g_assert_nonnull (relay->load);
  g_assert_cmpuint (relay->load->sequence, >, agent->load.sequence);
  agent->load = *relay->load;
  agent->load.upstream = NULL;
  agent->load.agent = NULL;
  if (relay->packet.len == 0)
    {
      agent->reports++;
      agent->report_bytes = (unsigned)action->send.length;
      return;
    }
  packet = oh_packet_decode (&packet_arena, relay->packet.data, relay->packet.len, NULL);
  g_assert_nonnull (packet);
  fixture->last_balancer = action->send.to;
  if (packet->body_case == OH__PACKET__BODY_OPEN)
    {
      g_assert_cmpuint (relay->n_tried, >=, 1);
      g_assert_cmpuint (relay->tried[relay->n_tried - 1], ==, agent->core.config.incarnation);
      fixture->open_refusal = relay->refused;
      return;
    }
  receive_packet (fixture, packet);
}

static fake_run_t *
find_run (fake_agent_t *agent, uint64_t id)
{
  for (guint i = 0; i < agent->runs->len; i++)
    if (g_array_index (agent->runs, fake_run_t, i).id == id)
      return &g_array_index (agent->runs, fake_run_t, i);
  g_assert_not_reached ();
}

static void
start_run (fake_agent_t *agent, const oh_upstream_request_t *request)
{
  const fake_run_t run = {
    .id = request->id,
    .number = request->number,
    .kind = request->kind,
    .resume = request->resume,
    .resume_chunk = request->resume_chunk,
    .last_event_id = request->last_event_id,
    .open = true,
  };

  /* A request that was reported as not run must not be started later. */
  g_assert_false (agent->fixture->reported_not_run[request->number]);
  agent->fixture->runs[request->number]++;
  g_array_append_val (agent->runs, run);
}

static void
handle_action (oh_agent_sink_t *sink, const oh_agent_action_t *action)
{
  fake_agent_t *agent = (fake_agent_t *)sink;
  uint8_t *packed;
  size_t length;

  switch (action->kind)
    {
    case OH_AGENT_ACTION_SEND:
      receive_relay (agent, action);
      break;
    case OH_AGENT_ACTION_START:
      start_run (agent, action->start);
      break;
    case OH_AGENT_ACTION_CANCEL:
      find_run (agent, action->request.id)->cancel_requested = true;
      break;
    case OH_AGENT_ACTION_ABANDON:
      find_run (agent, action->request.id)->open = false;
      break;
    case OH_AGENT_ACTION_SET_PAUSED:
      find_run (agent, action->request.id)->paused = action->request.paused;
      break;
    case OH_AGENT_ACTION_SEND_PEER:
      length = oh__flow_state__get_packed_size (action->peer.state);
      packed = g_malloc (length);
      oh__flow_state__pack (action->peer.state, packed);
      g_ptr_array_add (agent->peer_out, g_bytes_new_take (packed, length));
      g_ptr_array_add (agent->peer_to, g_strdup (action->peer.endpoint));
      break;
    case OH_AGENT_ACTION_REPLY_PEER:
      length = oh__flow_state_reply__get_packed_size (action->reply.reply);
      packed = g_malloc (length);
      oh__flow_state_reply__pack (action->reply.reply, packed);
      g_ptr_array_add (agent->reply_out, g_bytes_new_take (packed, length));
      break;
    case OH_AGENT_ACTION_EXIT:
      agent->exited = true;
      break;
    case OH_AGENT_ACTION_ARM_TIMER:
    case OH_AGENT_ACTION_LOG:
      break;
    }
}

static void
dispatch (fake_agent_t *agent, oh_agent_event_t event)
{
  event.now_us = agent->fixture->now_us;
  if (agent->alive)
    oh_agent_core_handle (&agent->core, &event, &agent->sink);
}

static void
start_agent (fixture_t *fixture, unsigned index)
{
  fake_agent_t *agent = &fixture->agents[index];
  const oh_agent_config_t config = {
    .name = agent->name,
    .service_name = SERVICE,
    .zone = "a",
    .service = oh_service_id (SERVICE),
    .incarnation = ++fixture->last_incarnation,
    .relay = { .ipv4 = 0x7f000001, .port = (uint16_t)(7000 + index) },
    .slots = fixture->slots,
    .max_flows = fixture->max_flows,
    .drain_limit_ms = 30000,
  };

  oh_counters_init (&agent->counters);
  oh_agent_core_init (&agent->core, &config, &fixture->keyring, &agent->random.base, &agent->counters);
  agent->alive = true;
  agent->exited = false;
  agent->load.sequence = 0;
  fixture_report_health (fixture, index, SERVICE, OH__UPSTREAM_STATE__UPSTREAM_READY, 1);
  /* Skips the slow start. */
  agent->core.health.slow_start_us -= (int64_t)60 * G_USEC_PER_SEC;
}

static void
stop_agent (fake_agent_t *agent)
{
  for (guint i = 0; i < agent->runs->len; i++)
    g_array_index (agent->runs, fake_run_t, i).open = false;
  oh_agent_core_finish (&agent->core);
  oh_counters_finish (&agent->counters);
  agent->alive = false;
}

void
fixture_init (fixture_t *fixture, unsigned slots, unsigned max_flows)
{
  static const uint8_t master[OH_MASTER_KEY_BYTES] = { 7 };

  *fixture = (fixture_t){ .now_us = (int64_t)1000 * G_USEC_PER_SEC, .slots = slots, .max_flows = max_flows };
  fixture->flow.bytes[3] = 9;
  oh_keyring_init (&fixture->keyring, master);
  oh_view_init (&fixture->view);
  for (unsigned i = 0; i < FIXTURE_AGENTS; i++)
    {
      fake_agent_t *agent = &fixture->agents[i];

      agent->sink.emit = handle_action;
      agent->fixture = fixture;
      agent->index = i;
      g_snprintf (agent->name, sizeof agent->name, "upstream-%u", i);
      g_snprintf (agent->endpoint, sizeof agent->endpoint, "tcp://127.0.0.1:%u", 8000 + i);
      agent->runs = g_array_new (FALSE, FALSE, sizeof (fake_run_t));
      agent->peer_out = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
      agent->peer_to = g_ptr_array_new_with_free_func (g_free);
      agent->reply_out = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
      oh_seeded_random_init (&agent->random, i + 1);
      start_agent (fixture, i);
    }
}

void
fixture_finish (fixture_t *fixture)
{
  for (unsigned i = 0; i < FIXTURE_AGENTS; i++)
    {
      fake_agent_t *agent = &fixture->agents[i];

      if (agent->alive)
        stop_agent (agent);
      g_array_unref (agent->runs);
      g_ptr_array_unref (agent->peer_out);
      g_ptr_array_unref (agent->peer_to);
      g_ptr_array_unref (agent->reply_out);
      oh_seeded_random_finish (&agent->random);
    }
  oh_view_finish (&fixture->view);
  oh_keyring_finish (&fixture->keyring);
}

void
fixture_update_view (fixture_t *fixture, const char *drained)
{
  fixture_update_view_with_zone (fixture, drained, false);
}

void
fixture_update_view_with_zone (fixture_t *fixture, const char *drained, bool zone_drained)
{
  Oh__View message = OH__VIEW__INIT;
  Oh__Member members[FIXTURE_AGENTS];
  Oh__Member *list[FIXTURE_AGENTS];
  Oh__Load loads[FIXTURE_AGENTS];
  Oh__Address addresses[FIXTURE_AGENTS];
  Oh__BalancerEntry balancer = OH__BALANCER_ENTRY__INIT;
  Oh__BalancerEntry *balancers[] = { &balancer };
  Oh__Address relay;
  char *names[] = { (char *)drained };
  char *zones[] = { (char *)"a" };
  static uint64_t sequence;

  message.replica_epoch = 1;
  message.sequence = ++sequence;
  message.snapshot = true;
  message.confirmed = true;
  message.version = 1;
  message.key_generation = fixture->keyring.generation;
  message.drained = names;
  message.n_drained = drained != NULL ? 1 : 0;
  message.drained_zones = zones;
  message.n_drained_zones = zone_drained;
  message.members = list;
  for (unsigned i = 0; i < FIXTURE_AGENTS; i++)
    if (fixture->agents[i].alive)
      {
        oh__member__init (&members[i]);
        oh_agent_core_load (&fixture->agents[i].core, fixture->now_us, &loads[i], &addresses[i]);
        members[i].load = &loads[i];
        members[i].service_name = (char *)SERVICE;
        members[i].zone = (char *)"a";
        members[i].peer_endpoint = fixture->agents[i].endpoint;
        list[message.n_members++] = &members[i];
      }
  oh_address_to_wire (balancer_address, &relay);
  balancer.name = (char *)"balancer-0";
  balancer.zone = (char *)"a";
  balancer.relay = &relay;
  message.balancers = balancers;
  message.n_balancers = 1;
  oh_view_finish (&fixture->view);
  oh_view_init (&fixture->view);
  oh_view_merge (&fixture->view, 0, &message);
  for (unsigned i = 0; i < FIXTURE_AGENTS; i++)
    dispatch (&fixture->agents[i], (oh_agent_event_t){ .kind = OH_AGENT_EVENT_VIEW, .view = &fixture->view });
}

void
fixture_kill (fixture_t *fixture, unsigned agent)
{
  stop_agent (&fixture->agents[agent]);
}

void
fixture_restart (fixture_t *fixture, unsigned agent)
{
  if (fixture->agents[agent].alive)
    stop_agent (&fixture->agents[agent]);
  start_agent (fixture, agent);
}

void
fixture_report_health (fixture_t *fixture, unsigned agent, const char *service, Oh__UpstreamState state,
                       uint64_t instance)
{
  const oh_upstream_event_t event = {
    .kind = OH_UPSTREAM_HEALTH,
    .health = { .answered = true, .service = oh_service_id (service), .state = state, .instance = instance },
  };

  dispatch (&fixture->agents[agent],
            (oh_agent_event_t){ .kind = OH_AGENT_EVENT_UPSTREAM, .upstream = &event });
}

void
fixture_advance (fixture_t *fixture, int64_t ms)
{
  for (int64_t end_us = fixture->now_us + ms * 1000; fixture->now_us < end_us;)
    {
      fixture->now_us += 10000;
      for (unsigned i = 0; i < FIXTURE_AGENTS; i++)
        {
          oh_upstream_health_t *health = &fixture->agents[i].core.health;

          /* The health endpoint answers as before. */
          health->last_answer_us = fixture->now_us;
          dispatch (&fixture->agents[i], (oh_agent_event_t){ .kind = OH_AGENT_EVENT_TIMER });
        }
    }
}

GBytes *
fixture_packet (fixture_t *fixture, Oh__Packet *packet)
{
  uint8_t buffer[OH_PACKET_MAX_BYTES];
  Oh__Token wire;
  Oh__Address address;

  packet->flow.data = fixture->flow.bytes;
  packet->flow.len = sizeof fixture->flow.bytes;
  packet->service = oh_service_id (SERVICE);
  packet->ack_below = fixture->ack_below;
  if (packet->body_case != OH__PACKET__BODY_OPEN)
    {
      g_assert_true (fixture->has_token);
      oh_token_to_wire (&fixture->token, &wire, &address);
      packet->token = &wire;
    }
  const size_t length = oh_packet_encode (packet, buffer, sizeof buffer);
  packet->token = NULL;
  g_assert_cmpuint (length, >, 0);
  return g_bytes_new (buffer, length);
}

GBytes *
fixture_request (fixture_t *fixture, uint32_t number, uint32_t attempt, Oh__RequestKind kind,
                 unsigned priority, uint32_t remaining_ms, uint64_t resume_from, uint64_t resume_digest,
                 uint64_t resume_tag)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Request request = OH__REQUEST__INIT;

  request.number = number;
  request.attempt = attempt;
  request.kind = kind;
  request.priority = priority;
  request.remaining_ms = remaining_ms;
  request.resume_from = resume_from;
  request.resume_digest = resume_digest;
  request.resume_tag = resume_tag;
  request.window = 16;
  request.payload.data = (uint8_t *)"valve";
  request.payload.len = 5;
  packet.body_case = OH__PACKET__BODY_REQUEST;
  packet.request = &request;
  return fixture_packet (fixture, &packet);
}

GBytes *
fixture_open_packet (fixture_t *fixture, uint32_t generation)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Open open = OH__OPEN__INIT;

  open.attempt = 1;
  open.flow_generation = generation;
  packet.body_case = OH__PACKET__BODY_OPEN;
  packet.open = &open;
  return fixture_packet (fixture, &packet);
}

void
fixture_deliver (fixture_t *fixture, unsigned agent, GBytes *packet)
{
  uint8_t buffer[OH_RELAY_MAX_BYTES];
  Oh__Relay relay = OH__RELAY__INIT;
  Oh__Address caller;
  Oh__Address balancer;
  gsize packet_length;

  relay.packet.data = (uint8_t *)g_bytes_get_data (packet, &packet_length);
  relay.packet.len = packet_length;
  oh_address_to_wire (caller_address, &caller);
  oh_address_to_wire (balancer_address, &balancer);
  relay.caller = &caller;
  relay.balancer = &balancer;
  const size_t length = oh_relay_encode (&relay, &fixture->keyring, buffer, sizeof buffer);
  dispatch (&fixture->agents[agent], (oh_agent_event_t){
                                       .kind = OH_AGENT_EVENT_RELAY,
                                       .relay = { .bytes = buffer, .length = length },
                                     });
}

void
fixture_send (fixture_t *fixture, GBytes *packet)
{
  g_autoptr (GBytes) owned = packet;

  fixture_deliver (fixture, fixture->token.agent.port - 7000U, owned);
}

void
fixture_ping (fixture_t *fixture)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Ping ping = OH__PING__INIT;

  packet.body_case = OH__PACKET__BODY_PING;
  packet.ping = &ping;
  fixture_send (fixture, fixture_packet (fixture, &packet));
}

void
fixture_cancel (fixture_t *fixture, uint32_t number)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__Cancel cancel = OH__CANCEL__INIT;

  cancel.number = number;
  packet.body_case = OH__PACKET__BODY_CANCEL;
  packet.cancel = &cancel;
  fixture_send (fixture, fixture_packet (fixture, &packet));
}

void
fixture_ack (fixture_t *fixture, uint32_t number, uint32_t attempt, uint64_t next)
{
  Oh__Packet packet = OH__PACKET__INIT;
  Oh__ChunkAck ack = OH__CHUNK_ACK__INIT;

  ack.number = number;
  ack.attempt = attempt;
  ack.next = next;
  ack.window = 16;
  packet.body_case = OH__PACKET__BODY_CHUNK_ACK;
  packet.chunk_ack = &ack;
  fixture_send (fixture, fixture_packet (fixture, &packet));
}

void
fixture_open (fixture_t *fixture, unsigned agent, uint32_t generation)
{
  g_autoptr (GBytes) packet = fixture_open_packet (fixture, generation);

  fixture_deliver (fixture, agent, packet);
  if (fixture->has_token)
    fixture_ping (fixture);
}

fake_run_t *
fixture_find_run (fixture_t *fixture, uint32_t number, fake_agent_t **agent)
{
  for (unsigned i = 0; i < FIXTURE_AGENTS; i++)
    for (guint j = 0; j < fixture->agents[i].runs->len; j++)
      {
        fake_run_t *run = &g_array_index (fixture->agents[i].runs, fake_run_t, j);

        /* A run that failed can still get the result of its cancellation. */
        if ((run->open || run->cancel_requested) && run->number == number)
          {
            *agent = &fixture->agents[i];
            return run;
          }
      }
  return NULL;
}

void
fixture_upstream_event (fixture_t *fixture, uint32_t number, oh_upstream_event_t event)
{
  fake_agent_t *agent;
  fake_run_t *run = fixture_find_run (fixture, number, &agent);

  g_assert_nonnull (run);
  event.id = run->id;
  if (event.kind == OH_UPSTREAM_END || event.kind == OH_UPSTREAM_FAILED)
    run->open = false;
  dispatch (agent, (oh_agent_event_t){ .kind = OH_AGENT_EVENT_UPSTREAM, .upstream = &event });
}

void
fixture_answer (fixture_t *fixture, uint32_t number, size_t length)
{
  static const uint8_t bytes[4096];

  g_assert_cmpuint (length, <=, sizeof bytes);
  fixture_upstream_event (fixture, number, (oh_upstream_event_t){ .kind = OH_UPSTREAM_STARTED });
  fixture_upstream_event (
    fixture, number,
    (oh_upstream_event_t){ .kind = OH_UPSTREAM_DATA, .data = { .bytes = bytes, .length = length } });
  fixture_upstream_event (fixture, number, (oh_upstream_event_t){ .kind = OH_UPSTREAM_END });
}

GBytes *
fixture_peek_state (fixture_t *fixture, unsigned *target)
{
  for (unsigned i = 0; i < FIXTURE_AGENTS; i++)
    if (fixture->agents[i].peer_out->len > 0)
      for (unsigned j = 0; j < FIXTURE_AGENTS; j++)
        if (strcmp (fixture->agents[j].endpoint, g_ptr_array_index (fixture->agents[i].peer_to, 0)) == 0)
          {
            *target = j;
            return g_bytes_ref (g_ptr_array_index (fixture->agents[i].peer_out, 0));
          }
  return NULL;
}

void
fixture_deliver_state (fixture_t *fixture, unsigned target, GBytes *bytes)
{
  gsize length;
  const uint8_t *data = g_bytes_get_data (bytes, &length);
  Oh__FlowState *state = oh__flow_state__unpack (NULL, length, data);

  dispatch (&fixture->agents[target],
            (oh_agent_event_t){ .kind = OH_AGENT_EVENT_PEER_REQUEST, .peer_request = { .state = state } });
  oh__flow_state__free_unpacked (state, NULL);
}

bool
fixture_deliver_next_state (fixture_t *fixture, bool drop)
{
  unsigned target;
  g_autoptr (GBytes) bytes = fixture_peek_state (fixture, &target);

  if (bytes == NULL)
    return false;
  for (unsigned i = 0; i < FIXTURE_AGENTS; i++)
    if (fixture->agents[i].peer_out->len > 0)
      {
        g_ptr_array_remove_index (fixture->agents[i].peer_out, 0);
        g_ptr_array_remove_index (fixture->agents[i].peer_to, 0);
        break;
      }
  if (!drop)
    fixture_deliver_state (fixture, target, bytes);
  return true;
}

bool
fixture_deliver_next_reply (fixture_t *fixture, bool drop)
{
  for (unsigned i = 0; i < FIXTURE_AGENTS; i++)
    {
      fake_agent_t *agent = &fixture->agents[i];

      if (agent->reply_out->len == 0)
        continue;

      g_autoptr (GBytes) bytes = g_bytes_ref (g_ptr_array_index (agent->reply_out, 0));
      gsize length;
      const uint8_t *data = g_bytes_get_data (bytes, &length);
      Oh__FlowStateReply *reply = oh__flow_state_reply__unpack (NULL, length, data);

      g_ptr_array_remove_index (agent->reply_out, 0);
      /* Only the agent that sent the state has the flow in the state SENT. */
      for (unsigned j = 0; j < FIXTURE_AGENTS && !drop; j++)
        if (j != i)
          dispatch (&fixture->agents[j],
                    (oh_agent_event_t){ .kind = OH_AGENT_EVENT_PEER_REPLY, .peer_reply = reply });
      oh__flow_state_reply__free_unpacked (reply, NULL);
      return true;
    }
  return false;
}
