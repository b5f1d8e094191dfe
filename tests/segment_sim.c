#include "segment_sim.h"

#include <string.h>

enum
{
  RESPONSE_BYTES = 20,
  REQUEST_BYTES = 20,
  DEADLINE_MS = 4000,
  RETRANSMISSIONS_MAX = 6,
  MISROUTED_SEGMENTS = 3,
  MISROUTED_WINDOW_US = 2 * SIM_S,
};

static const char config_text[]
  = "[oriolehaven]\nname=test\n[service kiln-log]\n[route 198.18.0.1:8443]\nname=feed\nkind=repeatable\n"
    "targets=kiln-log:1\n";

/* Events. */

typedef void (*event_fn) (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length);

typedef struct
{
  int64_t due_us;
  uint64_t order;
  event_fn run;
  unsigned index;
  unsigned number; /* of the process, attempt or request that it belongs to */
  size_t length;
  uint8_t bytes[];
} sim_event_t;

static int
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const sim_event_t *left = a;
  const sim_event_t *right = b;

  if (left->due_us != right->due_us)
    return left->due_us < right->due_us ? -1 : 1;
  return left->order < right->order ? -1 : 1;
}

static void
schedule_bytes (segment_sim_t *sim, int64_t delay_us, event_fn run, unsigned index, unsigned number,
                const uint8_t *bytes, size_t length)
{
  sim_event_t *event = g_malloc (sizeof *event + length);

  event->due_us = sim->now_us + delay_us;
  event->order = sim->n_events++;
  event->run = run;
  event->index = index;
  event->number = number;
  event->length = length;
  if (length > 0)
    memcpy (event->bytes, bytes, length);
  g_queue_insert_sorted (&sim->events, event, compare_events, NULL);
}

static void
schedule (segment_sim_t *sim, int64_t delay_us, event_fn run, unsigned index, unsigned number)
{
  schedule_bytes (sim, delay_us, run, index, number, NULL, 0);
}

static double
random_share (segment_sim_t *sim)
{
  return g_rand_double (sim->random.rand);
}

static int64_t
random_between (segment_sim_t *sim, int64_t low, int64_t high)
{
  return low + (int64_t)(random_share (sim) * (double)(high - low));
}

static unsigned
random_index (segment_sim_t *sim, unsigned n)
{
  return (unsigned)g_rand_int_range (sim->random.rand, 0, (gint32)n);
}

/* Sends a message over the network, which may lose it. */
static void
transmit (segment_sim_t *sim, event_fn run, unsigned index, const uint8_t *bytes, size_t length)
{
  const bool slow = random_share (sim) < 0.01;

  if (random_share (sim) < sim->loss)
    return;
  schedule_bytes (sim, random_between (sim, 300, slow ? 200 * SIM_MS : 2 * SIM_MS), run, index, 0, bytes,
                  length);
}

/* Addresses. */

static oh_address_t
balancer_address (unsigned index)
{
  return (oh_address_t){ .ipv4 = 0x0a000001 + index, .port = 7735 };
}

static oh_address_t
agent_address (unsigned index)
{
  return (oh_address_t){ .ipv4 = 0x0a010001 + index, .port = 8172 };
}

static oh_address_t
upstream_address (unsigned index)
{
  return (oh_address_t){ .ipv4 = 0x0a010001 + index, .port = 8080 };
}

/* The rule. */

static sim_caller_t *
find_caller (segment_sim_t *sim, const oh_flow_key_t *key)
{
  for (unsigned i = 0; i < SIM_CALLERS; i++)
    if (sim->callers[i].state != SIM_CALLER_IDLE && oh_flow_key_equal (&sim->callers[i].key, key))
      return &sim->callers[i];
  return NULL;
}

static bool
is_open (const sim_caller_t *caller)
{
  return caller->owner != NULL && caller->owner->incarnation == caller->owner_incarnation;
}

static void
check_reset (sim_caller_t *caller)
{
  if (is_open (caller))
    g_error (
      "seed %u, %.3f s: reset of an open flow of caller %u at upstream %u (incarnation %u, agent process %u)",
      caller->sim->seed, (double)caller->sim->now_us / SIM_S, caller->index, caller->owner->index,
      caller->owner_incarnation, caller->owner->process);
  caller->sim->resets++;
}

/* Checks the segments that reached other upstreams since the last one at the flow's own. To be called at each
 * segment of the flow at an upstream, and at its end. */
static void
check_misrouted (const sim_caller_t *caller)
{
  const segment_sim_t *sim = caller->sim;
  const GArray *foreign = caller->foreign;

  if (!is_open (caller) || sim->now_us - caller->own_us < MISROUTED_WINDOW_US)
    return;
  for (guint i = 0; i + MISROUTED_SEGMENTS <= foreign->len; i++)
    if (g_array_index (foreign, int64_t, i + MISROUTED_SEGMENTS - 1) - g_array_index (foreign, int64_t, i)
        <= MISROUTED_WINDOW_US)
      g_error (
        "seed %u, %.3f s: %d segments of an open flow of caller %u at other upstreams than %u within 2 s",
        sim->seed, (double)sim->now_us / SIM_S, MISROUTED_SEGMENTS, caller->index, caller->owner->index);
}

static void
note_foreign_segment (segment_sim_t *sim, const oh_flow_key_t *key)
{
  sim_caller_t *caller = find_caller (sim, key);

  if (caller == NULL || !is_open (caller))
    return;
  g_array_append_val (caller->foreign, sim->now_us);
  check_misrouted (caller);
}

static void
note_own_segment (segment_sim_t *sim, const oh_flow_key_t *key)
{
  sim_caller_t *caller = find_caller (sim, key);

  if (caller == NULL)
    return;
  check_misrouted (caller);
  g_array_set_size (caller->foreign, 0);
  caller->own_us = sim->now_us;
}

/* Callers. */

static void start_flow (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length);
static void receive_at_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                                 size_t length);

/* The router sends the segments of a flow to one balancer of the caller's zone. */
static void
send_from_caller (sim_caller_t *caller, unsigned flags, uint32_t sequence, uint32_t acknowledged,
                  unsigned length)
{
  segment_sim_t *sim = caller->sim;
  const fixture_segment_t segment
    = fixture_segment (caller->key.caller, caller->key.route, flags, sequence, acknowledged, length);
  const unsigned first = (unsigned)(oh_flow_key_digest (&caller->key) % (SIM_BALANCERS / SIM_ZONES));

  for (unsigned i = 0; i < SIM_BALANCERS / SIM_ZONES; i++)
    {
      const unsigned index = caller->zone + SIM_ZONES * ((first + i) % (SIM_BALANCERS / SIM_ZONES));

      if (!sim->balancers[index].alive && i + 1 < SIM_BALANCERS / SIM_ZONES)
        continue;
      transmit (sim, receive_at_balancer, index, segment.bytes, segment.length);
      return;
    }
}

static void
end_flow (sim_caller_t *caller)
{
  check_misrouted (caller);
  caller->state = SIM_CALLER_IDLE;
  caller->owner = NULL;
  caller->attempt++;
  schedule (caller->sim, random_between (caller->sim, 10 * SIM_MS, 500 * SIM_MS), start_flow, caller->index,
            caller->attempt);
}

static void
give_up (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_caller_t *caller = &sim->callers[index];

  if (caller->attempt != number || caller->state != SIM_CALLER_OPENING)
    return;
  sim->timed_out++;
  end_flow (caller);
}

static void
retransmit_syn (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_caller_t *caller = &sim->callers[index];

  if (caller->attempt == number && caller->state == SIM_CALLER_OPENING)
    send_from_caller (caller, FIXTURE_SYN, caller->sequence, bytes[0], 0);
}

static void
start_flow (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  static const int64_t syn_ms[] = { 0, 200, 600 };
  sim_caller_t *caller = &sim->callers[index];

  if (caller->attempt != number)
    return;
  caller->state = SIM_CALLER_OPENING;
  caller->key = (oh_flow_key_t){
    .caller = { .ipv4 = 0x64400001 + index, .port = (uint16_t)(1024 + caller->attempt) },
    .route = fixture_address ("198.18.0.1:8443"),
  };
  caller->sequence = g_rand_int (sim->random.rand);
  caller->requests_left = 1 + random_index (sim, 8);
  caller->waiting = false;
  g_array_set_size (caller->foreign, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (syn_ms); i++)
    schedule_bytes (sim, syn_ms[i] * SIM_MS, retransmit_syn, index, number, &(uint8_t){ (uint8_t)i }, 1);
  schedule (sim, 1400 * SIM_MS, give_up, index, number);
}

static void
transmit_request (sim_caller_t *caller)
{
  send_from_caller (caller, FIXTURE_ACK, caller->sequence + 1, caller->acknowledged, REQUEST_BYTES);
}

static void
retransmit_request (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_caller_t *caller = &sim->callers[index];

  if (caller->state == SIM_CALLER_OPEN && caller->waiting && caller->request == number)
    transmit_request (caller);
}

static void
miss_deadline (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_caller_t *caller = &sim->callers[index];

  if (caller->state != SIM_CALLER_OPEN || !caller->waiting || caller->request != number)
    return;
  sim->timed_out++;
  end_flow (caller);
}

static void
send_request (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_caller_t *caller = &sim->callers[index];
  int64_t delay_ms = 200;
  int64_t at_ms = 0;

  if (caller->attempt != number || caller->state != SIM_CALLER_OPEN)
    return;
  caller->waiting = true;
  caller->request++;
  transmit_request (caller);
  for (unsigned i = 0; i < RETRANSMISSIONS_MAX; i++)
    {
      at_ms += delay_ms;
      delay_ms = MIN (delay_ms * 2, 1600);
      schedule (sim, at_ms * SIM_MS, retransmit_request, index, caller->request);
    }
  schedule (sim, (int64_t)DEADLINE_MS * SIM_MS, miss_deadline, index, caller->request);
}

static void
handle_response (sim_caller_t *caller)
{
  static const int64_t pauses_ms[] = { 50, 50, 500, 2200, 5000 };
  segment_sim_t *sim = caller->sim;

  caller->waiting = false;
  caller->request++;
  sim->answered++;
  if (--caller->requests_left > 0)
    {
      schedule (sim, pauses_ms[random_index (sim, G_N_ELEMENTS (pauses_ms))] * SIM_MS, send_request,
                caller->index, caller->attempt);
      return;
    }
  send_from_caller (caller, FIXTURE_ACK | FIXTURE_FIN, caller->sequence + 1 + REQUEST_BYTES,
                    caller->acknowledged, 0);
  end_flow (caller);
}

static void
receive_at_caller (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  const oh_segment_format_t *format = oh_platform_segment_format ();
  sim_caller_t *caller = &sim->callers[index];
  oh_segment_t segment;
  oh_flow_key_t key;

  g_assert_true (format->ops->decode (format, bytes, length, &segment));
  key = (oh_flow_key_t){ .caller = segment.to, .route = segment.from };
  if (caller->state == SIM_CALLER_IDLE || !oh_flow_key_equal (&caller->key, &key))
    return;
  if (segment.rst)
    {
      if (bytes[0] == 0)
        check_reset (caller);
      end_flow (caller);
      return;
    }
  if (segment.syn && caller->state == SIM_CALLER_OPENING)
    {
      caller->state = SIM_CALLER_OPEN;
      caller->acknowledged = segment.sequence + 1;
      send_request (sim, index, caller->attempt, NULL, 0);
    }
  else if (segment.length > 0 && caller->waiting)
    handle_response (caller);
}

/* Upstreams. */

static void receive_from_upstream (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                                   size_t length);

static void
send_from_upstream (sim_node_t *node, const fixture_segment_t *segment, int64_t delay_us)
{
  schedule_bytes (node->sim, delay_us, receive_from_upstream, node->index, node->process, segment->bytes,
                  segment->length);
}

static void
respond (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_node_t *node = &sim->nodes[index];
  fixture_segment_t segment = { .length = length };

  if (node->incarnation != number)
    return;
  memcpy (segment.bytes, bytes, length);
  send_from_upstream (node, &segment, 100);
}

static void
return_segment (sim_node_t *node, const uint8_t *bytes, size_t length)
{
  fixture_segment_t segment = { .length = length };

  memcpy (segment.bytes, bytes, length);
  segment.bytes[26] |= FIXTURE_RETURNED;
  send_from_upstream (node, &segment, 100);
}

static void
handle_upstream_syn (sim_node_t *node, const oh_flow_key_t *key, const oh_segment_t *syn)
{
  segment_sim_t *sim = node->sim;
  sim_flow_t *flow = g_hash_table_lookup (node->flows, key);
  fixture_segment_t answer;

  if (flow == NULL || flow->caller_sequence != syn->sequence)
    {
      flow = g_new0 (sim_flow_t, 1);
      flow->key = *key;
      flow->caller_sequence = syn->sequence;
      flow->sequence = g_rand_int (sim->random.rand);
      g_hash_table_replace (node->flows, &flow->key, flow);
    }
  answer = fixture_segment (key->route, key->caller, FIXTURE_SYN | FIXTURE_ACK, flow->sequence,
                            syn->sequence + 1, 0);
  /* Some answers come after the agent has given up on them. */
  send_from_upstream (node, &answer,
                      random_share (sim) < 0.03 ? random_between (sim, 50 * SIM_MS, 300 * SIM_MS) : 500);
}

static void
open_flow (sim_node_t *node, const oh_flow_key_t *key)
{
  sim_caller_t *caller = find_caller (node->sim, key);

  if (caller == NULL)
    return;
  caller->owner = node;
  caller->owner_incarnation = node->incarnation;
  caller->own_us = node->sim->now_us;
}

static void receive_refusal (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                             size_t length);
static void receive_later (segment_sim_t *sim, int64_t until_us, event_fn run, unsigned index,
                           unsigned number, const uint8_t *bytes, size_t length);

static void
receive_at_upstream (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  const oh_segment_format_t *format = oh_platform_segment_format ();
  sim_node_t *node = &sim->nodes[index];
  oh_segment_t segment;
  oh_flow_key_t key;
  sim_flow_t *flow;
  fixture_segment_t answer;

  if (!node->running)
    {
      if (sim->refusals)
        schedule (sim, 100, receive_refusal, index, node->process);
      return;
    }
  if (node->paused_until_us > sim->now_us)
    {
      receive_later (sim, node->paused_until_us, receive_at_upstream, index, number, bytes, length);
      return;
    }
  g_assert_true (format->ops->decode (format, bytes, length, &segment));
  key = (oh_flow_key_t){ .caller = segment.from, .route = segment.to };
  if (segment.syn)
    {
      handle_upstream_syn (node, &key, &segment);
      return;
    }
  flow = g_hash_table_lookup (node->flows, &key);
  if (flow == NULL || (!flow->open && segment.acknowledged != flow->sequence + 1))
    {
      note_foreign_segment (sim, &key);
      return_segment (node, bytes, length);
      return;
    }
  if (!flow->open)
    open_flow (node, &key);
  flow->open = true;
  note_own_segment (sim, &key);
  if (segment.fin || segment.rst)
    flow->ended = true;
  if (segment.length == 0 || flow->ended)
    return;
  answer = fixture_segment (key.route, key.caller, FIXTURE_ACK, flow->sequence + 1,
                            segment.sequence + segment.length, RESPONSE_BYTES);
  schedule_bytes (sim, random_between (sim, 5 * SIM_MS, 80 * SIM_MS), respond, index, node->incarnation,
                  answer.bytes, answer.length);
}

/* Agents. */

static void
receive_later (segment_sim_t *sim, int64_t until_us, event_fn run, unsigned index, unsigned number,
               const uint8_t *bytes, size_t length)
{
  schedule_bytes (sim, until_us - sim->now_us, run, index, number, bytes, length);
}

static void
handle_agent_event (sim_node_t *node, oh_segment_agent_event_kind_t kind, uint8_t *bytes, size_t length)
{
  const oh_segment_agent_event_t event = {
    .kind = kind,
    .now_us = node->sim->now_us,
    .datagram = { .bytes = bytes, .length = length },
  };

  oh_segment_agent_handle (&node->core, &event, &node->sink);
}

static void
receive_at_agent (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_node_t *node = &sim->nodes[index];

  if (!node->alive)
    return;
  if (node->frozen_until_us > sim->now_us)
    receive_later (sim, node->frozen_until_us, receive_at_agent, index, number, bytes, length);
  else
    handle_agent_event (node, OH_SEGMENT_AGENT_RELAY, bytes, length);
}

/* Datagrams of the upstream that wait in the socket of a process end with it. */
static void
receive_from_upstream (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_node_t *node = &sim->nodes[index];

  if (!node->alive || node->process != number)
    return;
  if (node->frozen_until_us > sim->now_us)
    receive_later (sim, node->frozen_until_us, receive_from_upstream, index, number, bytes, length);
  else
    handle_agent_event (node, OH_SEGMENT_AGENT_UPSTREAM, bytes, length);
}

static void
receive_refusal (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_node_t *node = &sim->nodes[index];

  (void)bytes;
  (void)length;
  if (!node->alive || node->process != number)
    return;
  if (node->frozen_until_us > sim->now_us)
    receive_later (sim, node->frozen_until_us, receive_refusal, index, number, NULL, 0);
  else
    handle_agent_event (node, OH_SEGMENT_AGENT_REFUSED, NULL, 0);
}

static void
tick_agent (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_node_t *node = &sim->nodes[index];

  if (!node->alive || node->process != number)
    return;
  if (node->frozen_until_us <= sim->now_us)
    {
      handle_agent_event (node, OH_SEGMENT_AGENT_TICK, NULL, 0);
      node->polled_us = sim->now_us;
    }
  schedule (sim, (int64_t)OH_SEGMENT_AGENT_TICK_MS * SIM_MS, tick_agent, index, number);
}

static void
announce (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_node_t *node = &sim->nodes[index];
  g_autofree char *id = NULL;
  oh_announcement_t announcement;

  if (node->incarnation != number || node->deregistered)
    return;
  if (node->paused_until_us > sim->now_us)
    {
      receive_later (sim, node->paused_until_us, announce, index, number, NULL, 0);
      return;
    }
  id = g_strdup_printf ("i-%u-%u", index, node->incarnation);
  announcement = (oh_announcement_t){
    .id = id,
    .service = "kiln-log",
    .address = upstream_address (index),
    .state = node->draining ? OH_ANNOUNCED_DRAINING : OH_ANNOUNCED_READY,
    .slots = 4,
    .started_ms = node->started_us / SIM_MS,
    .sequence = ++node->sequence,
  };
  if (node->alive && node->frozen_until_us <= sim->now_us)
    oh_segment_agent_announce (&node->core, &announcement, sim->now_us, &node->sink);
  schedule (sim, (int64_t)SIM_HEARTBEAT_MS * SIM_MS, announce, index, number);
}

static void
start_upstream (sim_node_t *node)
{
  segment_sim_t *sim = node->sim;

  g_hash_table_remove_all (node->flows);
  node->incarnation++;
  node->running = true;
  node->draining = node->deregistered = false;
  node->paused_until_us = 0;
  node->started_us = sim->now_us;
  node->sequence = 0;
  /* The first announcement may be held up. */
  schedule (sim, random_share (sim) < 0.5 ? SIM_MS : random_between (sim, 0, 1500 * SIM_MS), announce,
            node->index, node->incarnation);
}

static void
on_send_upstream (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length)
{
  const sim_node_t *node = (sim_node_t *)sink;

  schedule_bytes (node->sim, 100, receive_at_upstream, node->index, 0, bytes, length);
}

static void
on_agent_send_caller (oh_segment_agent_sink_t *sink, oh_address_t caller, const uint8_t *bytes, size_t length)
{
  transmit (((sim_node_t *)sink)->sim, receive_at_caller, caller.ipv4 - 0x64400001, bytes, length);
}

static void receive_relay_at_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                                       size_t length);

static void
on_send_balancer (oh_segment_agent_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length)
{
  transmit (((sim_node_t *)sink)->sim, receive_relay_at_balancer, to.ipv4 - balancer_address (0).ipv4, bytes,
            length);
}

static void
on_report (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length)
{
  for (unsigned i = 0; i < SIM_BALANCERS; i++)
    transmit (((sim_node_t *)sink)->sim, receive_relay_at_balancer, i, bytes, length);
}

static void
on_watch_listener (oh_segment_agent_sink_t *sink, bool watch)
{
  ((sim_node_t *)sink)->watched = watch;
}

static void
on_changed (oh_segment_agent_sink_t *sink)
{
  ((sim_node_t *)sink)->polled_us = ((sim_node_t *)sink)->sim->now_us;
}

static void
on_agent_log (oh_segment_agent_sink_t *sink, oh_log_level_t level, const char *event, const char *pairs)
{
  const sim_node_t *node = (sim_node_t *)sink;

  g_debug ("%.6f agent-%u event=%s %s", (double)node->sim->now_us / SIM_S, node->index, event, pairs);
}

static void
start_agent (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  static const oh_segment_agent_sink_ops_t ops = {
    .send_upstream = on_send_upstream,
    .send_caller = on_agent_send_caller,
    .send_balancer = on_send_balancer,
    .report = on_report,
    .watch_listener = on_watch_listener,
    .changed = on_changed,
    .log = on_agent_log,
  };
  sim_node_t *node = &sim->nodes[index];
  const oh_segment_agent_config_t config = {
    .format = oh_platform_segment_format (),
    .name = node->name,
    .zone = "a",
    .incarnation = g_rand_int (sim->random.rand),
    .relay = agent_address (index),
    .upstream = upstream_address (index),
    .heartbeat_ms = SIM_HEARTBEAT_MS,
    .flow_timeout_ms = 60000,
    .max_flows = 100,
    .started_ms = sim->now_us / SIM_MS,
    .started_us = sim->now_us,
  };

  if (node->alive)
    return;
  node->alive = true;
  node->process++;
  node->frozen_until_us = 0;
  node->watched = false;
  node->sink.ops = &ops;
  oh_segment_agent_init (&node->core, &config, &sim->keyring);
  tick_agent (sim, index, node->process, NULL, 0);
}

static void
end_agent (sim_node_t *node)
{
  if (!node->alive)
    return;
  node->alive = false;
  oh_segment_agent_finish (&node->core);
}

/* Balancers. */

static void
handle_balancer_event (sim_balancer_t *balancer, oh_segment_balancer_event_t event)
{
  event.now_us = balancer->sim->now_us;
  oh_segment_balancer_handle (&balancer->core, &event, &balancer->sink);
}

static void
receive_at_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_balancer_t *balancer = &sim->balancers[index];

  if (!balancer->alive)
    return;
  if (balancer->frozen_until_us > sim->now_us)
    receive_later (sim, balancer->frozen_until_us, receive_at_balancer, index, number, bytes, length);
  else
    handle_balancer_event (balancer,
                           (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_CALLER,
                                                          .datagram = { .bytes = bytes, .length = length } });
}

static void
receive_relay_at_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_balancer_t *balancer;

  if (index >= SIM_BALANCERS)
    return;
  balancer = &sim->balancers[index];
  if (!balancer->alive)
    return;
  if (balancer->frozen_until_us > sim->now_us)
    receive_later (sim, balancer->frozen_until_us, receive_relay_at_balancer, index, number, bytes, length);
  else
    handle_balancer_event (balancer,
                           (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_RELAY,
                                                          .datagram = { .bytes = bytes, .length = length } });
}

static void
on_send_agent (oh_segment_balancer_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length)
{
  segment_sim_t *sim = ((sim_balancer_t *)sink)->sim;

  if (to.port == agent_address (0).port)
    transmit (sim, receive_at_agent, to.ipv4 - agent_address (0).ipv4, bytes, length);
  else
    transmit (sim, receive_relay_at_balancer, to.ipv4 - balancer_address (0).ipv4, bytes, length);
}

static void
on_balancer_send_caller (oh_segment_balancer_sink_t *sink, oh_address_t caller, const uint8_t *bytes,
                         size_t length)
{
  transmit (((sim_balancer_t *)sink)->sim, receive_at_caller, caller.ipv4 - 0x64400001, bytes, length);
}

static void
on_store (oh_segment_balancer_sink_t *sink, const oh_flow_key_t *key, oh_address_t owner)
{
}

static void
on_balancer_log (oh_segment_balancer_sink_t *sink, oh_log_level_t level, const char *event, const char *pairs)
{
  const sim_balancer_t *balancer = (sim_balancer_t *)sink;

  g_debug ("%.6f balancer-%u event=%s %s", (double)balancer->sim->now_us / SIM_S, balancer->index, event,
           pairs);
}

/* Lists the agents whose lease has not ended, and all balancers. */
static void
update_view (sim_balancer_t *balancer)
{
  segment_sim_t *sim = balancer->sim;
  Oh__View message = OH__VIEW__INIT;
  Oh__Member members[SIM_UPSTREAMS];
  Oh__Member *member_pointers[SIM_UPSTREAMS];
  Oh__Load loads[SIM_UPSTREAMS];
  Oh__Address addresses[SIM_UPSTREAMS + SIM_BALANCERS];
  Oh__BalancerEntry entries[SIM_BALANCERS];
  Oh__BalancerEntry *entry_pointers[SIM_BALANCERS];
  char names[SIM_BALANCERS][16];

  for (unsigned i = 0; i < SIM_UPSTREAMS; i++)
    {
      sim_node_t *node = &sim->nodes[i];
      const size_t n = message.n_members;

      if (sim->now_us - node->polled_us > SIM_LEASE_US || !node->alive
          || !oh_segment_agent_is_listed (&node->core, sim->now_us))
        continue;
      oh__member__init (&members[n]);
      oh_segment_agent_get_load (&node->core, sim->now_us, &loads[n], &addresses[n]);
      members[n].load = &loads[n];
      members[n].service_name = (char *)oh_segment_agent_service (&node->core);
      members[n].zone = (char *)"a";
      member_pointers[message.n_members++] = &members[n];
    }
  for (unsigned i = 0; i < SIM_BALANCERS; i++)
    {
      oh__balancer_entry__init (&entries[i]);
      g_snprintf (names[i], sizeof names[i], "b%u", i);
      oh_address_to_wire (balancer_address (i), &addresses[SIM_UPSTREAMS + i]);
      entries[i].name = names[i];
      entries[i].zone = (char *)(i % SIM_ZONES == 0 ? "a" : "b");
      entries[i].relay = &addresses[SIM_UPSTREAMS + i];
      entry_pointers[i] = &entries[i];
    }
  message.replica_epoch = 1;
  message.sequence = ++balancer->view_sequence;
  message.listed = true;
  message.snapshot = true;
  message.confirmed = true;
  message.version = 1;
  message.has_text = true;
  message.text = (char *)config_text;
  message.key_generation = 1;
  message.members = member_pointers;
  message.balancers = entry_pointers;
  message.n_balancers = SIM_BALANCERS;
  oh_view_merge (&balancer->view, 0, &message);
  handle_balancer_event (
    balancer, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_VIEW, .view = &balancer->view });
}

static void
tick_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_balancer_t *balancer = &sim->balancers[index];

  if (!balancer->alive || balancer->process != number)
    return;
  if (balancer->frozen_until_us <= sim->now_us)
    {
      handle_balancer_event (balancer, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_TICK });
      update_view (balancer);
    }
  schedule (sim, (int64_t)OH_SEGMENT_TICK_MS * SIM_MS, tick_balancer, index, number);
}

static void
start_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  static const oh_segment_balancer_sink_ops_t ops = {
    .send_agent = on_send_agent,
    .send_caller = on_balancer_send_caller,
    .store = on_store,
    .log = on_balancer_log,
  };
  sim_balancer_t *balancer = &sim->balancers[index];
  const oh_segment_balancer_config_t config = {
    .format = oh_platform_segment_format (),
    .zone = index % SIM_ZONES == 0 ? "a" : "b",
    .relay = balancer_address (index),
    .flow_timeout_ms = 60000,
    .max_flows = 1000,
  };

  if (balancer->alive)
    return;
  balancer->alive = true;
  balancer->process++;
  balancer->frozen_until_us = 0;
  balancer->sink.ops = &ops;
  oh_view_init (&balancer->view);
  oh_segment_balancer_init (&balancer->core, &config, &sim->keyring, &sim->random.base);
  tick_balancer (sim, index, balancer->process, NULL, 0);
}

static void
end_balancer (sim_balancer_t *balancer)
{
  if (!balancer->alive)
    return;
  balancer->alive = false;
  oh_segment_balancer_finish (&balancer->core);
  oh_view_finish (&balancer->view);
}

/* Faults. */

static void
restart_agent (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  end_agent (&sim->nodes[index]);
  schedule (sim,
            random_share (sim) < 0.8 ? random_between (sim, 20 * SIM_MS, 500 * SIM_MS)
                                     : random_between (sim, 3 * SIM_S, 8 * SIM_S),
            start_agent, index, 0);
}

static void
restart_agents_in_turn (segment_sim_t *sim)
{
  const int64_t gap_us = random_between (sim, 0, 800 * SIM_MS);
  const unsigned first = random_index (sim, SIM_UPSTREAMS);

  for (unsigned i = 0; i < SIM_UPSTREAMS - 2; i++)
    schedule (sim, gap_us * i, restart_agent, (first + i) % SIM_UPSTREAMS, 0);
}

/* A new start of the upstream; its agent is restarted in its first heartbeat intervals. */
static void
replace_upstream (segment_sim_t *sim)
{
  sim_node_t *node = &sim->nodes[random_index (sim, SIM_UPSTREAMS)];

  if (!node->running)
    return;
  start_upstream (node);
  if (random_share (sim) < 0.7)
    schedule (sim, random_between (sim, 0, 2500 * SIM_MS), restart_agent, node->index, 0);
}

static void
move_callers (segment_sim_t *sim)
{
  for (unsigned i = 0; i < SIM_CALLERS; i++)
    if (random_share (sim) < 0.5)
      sim->callers[i].zone = random_index (sim, SIM_ZONES);
}

static void
restart_balancer (segment_sim_t *sim)
{
  const unsigned index = random_index (sim, SIM_BALANCERS);

  end_balancer (&sim->balancers[index]);
  schedule (sim, random_between (sim, 20 * SIM_MS, 2 * SIM_S), start_balancer, index, 0);
}

static void
freeze (segment_sim_t *sim)
{
  const int64_t until_us = sim->now_us + random_between (sim, 200 * SIM_MS, 6 * SIM_S);

  if (random_share (sim) < 0.6)
    sim->nodes[random_index (sim, SIM_UPSTREAMS)].frozen_until_us = until_us;
  else
    sim->balancers[random_index (sim, SIM_BALANCERS)].frozen_until_us = until_us;
}

/* Upstreams that leave. */

/* A copy of an announcement that an incarnation had sent. */
typedef struct
{
  char id[32];
  int64_t started_us;
  uint64_t sequence;
} sim_announcement_t;

static void
announce_late (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_node_t *node = &sim->nodes[index];
  sim_announcement_t copy;
  oh_announcement_t announcement;

  (void)number;
  g_assert_cmpuint (length, ==, sizeof copy);
  memcpy (&copy, bytes, sizeof copy);
  announcement = (oh_announcement_t){
    .id = copy.id,
    .service = "kiln-log",
    .address = upstream_address (index),
    .slots = 4,
    .started_ms = copy.started_us / SIM_MS,
    .sequence = copy.sequence,
  };
  if (node->alive && node->frozen_until_us <= sim->now_us)
    oh_segment_agent_announce (&node->core, &announcement, sim->now_us, &node->sink);
}

static void
start_successor (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_node_t *node = &sim->nodes[index];
  sim_announcement_t former = { .started_us = node->started_us, .sequence = node->sequence };

  (void)bytes;
  (void)length;
  if (node->incarnation != number)
    return;
  g_snprintf (former.id, sizeof former.id, "i-%u-%u", index, node->incarnation - 1);
  start_upstream (node);
  if (random_share (sim) < 0.2)
    node->started_us -= 60 * (int64_t)SIM_S;
  if (random_share (sim) < 0.4)
    schedule_bytes (sim, random_between (sim, 0, 5 * SIM_S), announce_late, index, 0, (uint8_t *)&former,
                    sizeof former);
}

static void
listener_gone (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_node_t *node = &sim->nodes[index];

  (void)bytes;
  (void)length;
  if (!node->alive || !node->watched || node->incarnation != number)
    return;
  if (node->frozen_until_us > sim->now_us)
    receive_later (sim, node->frozen_until_us, listener_gone, index, number, NULL, 0);
  else
    handle_agent_event (node, OH_SEGMENT_AGENT_LISTENER_GONE, NULL, 0);
}

static void
end_upstream (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_node_t *node = &sim->nodes[index];

  (void)bytes;
  (void)length;
  if (node->incarnation != number)
    return;
  node->running = false;
  node->incarnation++;
  g_hash_table_remove_all (node->flows);
  schedule (sim, random_between (sim, 10 * SIM_MS, 200 * SIM_MS), listener_gone, index, node->incarnation);
  schedule (sim, random_between (sim, 20 * SIM_MS, 3 * SIM_S), start_successor, index, node->incarnation);
}

static void
deregister (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_node_t *node = &sim->nodes[index];
  g_autofree char *id = NULL;
  oh_announcement_t announcement;

  (void)bytes;
  (void)length;
  if (node->incarnation != number)
    return;
  id = g_strdup_printf ("i-%u-%u", index, node->incarnation);
  announcement = (oh_announcement_t){
    .id = id, .service = "", .state = OH_ANNOUNCED_LEFT, .started_ms = OH_ANNOUNCED_START_UNKNOWN
  };
  if (node->alive && node->frozen_until_us <= sim->now_us)
    oh_segment_agent_announce (&node->core, &announcement, sim->now_us, &node->sink);
  node->deregistered = true;
  schedule (sim, random_share (sim) < 0.3 ? SIM_MS : random_between (sim, 0, 6 * SIM_S), end_upstream, index,
            number);
}

static void
leave_upstream (segment_sim_t *sim)
{
  sim_node_t *node = &sim->nodes[random_index (sim, SIM_UPSTREAMS)];
  const int64_t drain_us = random_between (sim, 1500 * SIM_MS, 6 * SIM_S);

  if (!node->running || node->draining)
    return;
  node->draining = true;
  schedule (sim, drain_us, deregister, node->index, node->incarnation);
  if (random_share (sim) < 0.5)
    schedule (sim, drain_us + random_between (sim, -SIM_S, 4 * SIM_S), restart_agent, node->index, 0);
}

static void
disturb_upstream (segment_sim_t *sim)
{
  sim_node_t *node = &sim->nodes[random_index (sim, SIM_UPSTREAMS)];

  switch (random_index (sim, 4))
    {
    case 0:
      end_upstream (sim, node->index, node->running ? node->incarnation : 0, NULL, 0); /* a crash */
      break;
    case 1:
      node->paused_until_us = sim->now_us + random_between (sim, 200 * SIM_MS, 5 * SIM_S);
      break;
    default:
      leave_upstream (sim);
      break;
    }
}

static void
cause_fault (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  if (!sim->faults)
    return;
  if (sim->leaving && random_share (sim) < 0.4)
    {
      disturb_upstream (sim);
      schedule (sim, random_between (sim, 50 * SIM_MS, 3 * SIM_S), cause_fault, 0, 0);
      return;
    }
  switch (random_index (sim, 9))
    {
    case 0:
    case 1:
      restart_agents_in_turn (sim);
      break;
    case 2:
      restart_agent (sim, random_index (sim, SIM_UPSTREAMS), 0, NULL, 0);
      break;
    case 3:
    case 4:
      replace_upstream (sim);
      break;
    case 5:
      restart_balancer (sim);
      break;
    case 6:
      freeze (sim);
      break;
    default:
      move_callers (sim);
      break;
    }
  schedule (sim, random_between (sim, 50 * SIM_MS, 3 * SIM_S), cause_fault, 0, 0);
}

/* The simulation. */

void
segment_sim_init (segment_sim_t *sim, uint32_t seed, bool leaving)
{
  *sim = (segment_sim_t){
    .seed = seed,
    .now_us = 1000 * (int64_t)SIM_S,
    .events = G_QUEUE_INIT,
    .faults = true,
    .leaving = leaving,
    .refusals = seed % 2 == 0,
  };
  oh_seeded_random_init (&sim->random, seed);
  fixture_keyring (&sim->keyring);
  sim->loss = random_share (sim) < 0.5 ? 0 : 0.01;
  for (unsigned i = 0; i < SIM_UPSTREAMS; i++)
    {
      sim_node_t *node = &sim->nodes[i];

      node->sim = sim;
      node->index = i;
      g_snprintf (node->name, sizeof node->name, "agent-%u", i);
      node->flows = g_hash_table_new_full (oh_flow_key_hash, oh_flow_key_equal, NULL, g_free);
      start_agent (sim, i, 0, NULL, 0);
      start_upstream (node);
    }
  for (unsigned i = 0; i < SIM_BALANCERS; i++)
    {
      sim->balancers[i].sim = sim;
      sim->balancers[i].index = i;
      start_balancer (sim, i, 0, NULL, 0);
    }
  for (unsigned i = 0; i < SIM_CALLERS; i++)
    {
      sim_caller_t *caller = &sim->callers[i];

      caller->sim = sim;
      caller->index = i;
      caller->zone = i % SIM_ZONES;
      caller->foreign = g_array_new (FALSE, FALSE, sizeof (int64_t));
      schedule (sim, 3 * (int64_t)SIM_S + i * 10 * SIM_MS, start_flow, i, 0);
    }
  schedule (sim, 4 * (int64_t)SIM_S, cause_fault, 0, 0);
}

void
segment_sim_finish (segment_sim_t *sim)
{
  g_queue_clear_full (&sim->events, g_free);
  for (unsigned i = 0; i < SIM_UPSTREAMS; i++)
    {
      end_agent (&sim->nodes[i]);
      g_hash_table_unref (sim->nodes[i].flows);
    }
  for (unsigned i = 0; i < SIM_BALANCERS; i++)
    end_balancer (&sim->balancers[i]);
  for (unsigned i = 0; i < SIM_CALLERS; i++)
    g_array_unref (sim->callers[i].foreign);
  oh_keyring_finish (&sim->keyring);
  oh_seeded_random_finish (&sim->random);
}

void
segment_sim_run (segment_sim_t *sim, int64_t duration_us)
{
  const int64_t end_us = sim->now_us + duration_us;

  while (!g_queue_is_empty (&sim->events)
         && ((const sim_event_t *)g_queue_peek_head (&sim->events))->due_us <= end_us)
    {
      g_autofree sim_event_t *event = g_queue_pop_head (&sim->events);

      sim->now_us = MAX (sim->now_us, event->due_us);
      event->run (sim, event->index, event->number, event->bytes, event->length);
    }
  sim->now_us = end_us;
}
