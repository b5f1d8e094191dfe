#include "segment_sim_private.h"

#include <string.h>

enum
{
  RESPONSE_BYTES = 20,
};

/* Upstreams. */

static void
send_from_upstream (sim_node_t *node, const fixture_segment_t *segment, int64_t delay_us)
{
  sim_schedule_bytes (node->sim, delay_us, sim_receive_from_upstream, node->index, node->process,
                      segment->bytes, segment->length);
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
  send_from_upstream (
    node, &answer, sim_random_share (sim) < 0.03 ? sim_random_between (sim, 50 * SIM_MS, 300 * SIM_MS) : 500);
}

static void
open_flow (sim_node_t *node, const oh_flow_key_t *key)
{
  sim_caller_t *caller = sim_find_caller (node->sim, key);

  if (caller == NULL)
    return;
  caller->owner = node;
  caller->owner_incarnation = node->incarnation;
  caller->own_us = node->sim->now_us;
}

void
sim_receive_at_upstream (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
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
        sim_schedule (sim, 100, sim_receive_refusal, index, node->process);
      return;
    }
  if (node->paused_until_us > sim->now_us)
    {
      sim_receive_later (sim, node->paused_until_us, sim_receive_at_upstream, index, number, bytes, length);
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
      sim_note_foreign_segment (sim, &key);
      return_segment (node, bytes, length);
      return;
    }
  if (!flow->open)
    open_flow (node, &key);
  flow->open = true;
  sim_note_own_segment (sim, &key);
  if (segment.fin || segment.rst)
    flow->ended = true;
  if (segment.length == 0 || flow->ended)
    return;
  answer = fixture_segment (key.route, key.caller, FIXTURE_ACK, flow->sequence + 1,
                            segment.sequence + segment.length, RESPONSE_BYTES);
  sim_schedule_bytes (sim, sim_random_between (sim, 5 * SIM_MS, 80 * SIM_MS), respond, index,
                      node->incarnation, answer.bytes, answer.length);
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
      sim_receive_later (sim, node->paused_until_us, announce, index, number, NULL, 0);
      return;
    }
  id = g_strdup_printf ("i-%u-%u", index, node->incarnation);
  announcement = (oh_announcement_t){
    .id = id,
    .service = "kiln-log",
    .address = sim_upstream_address (index),
    .state = node->draining ? OH_ANNOUNCED_DRAINING : OH_ANNOUNCED_READY,
    .slots = 4,
    .started_ms = node->started_us / SIM_MS,
    .sequence = ++node->sequence,
  };
  if (node->alive && node->frozen_until_us <= sim->now_us)
    oh_segment_agent_announce (&node->core, &announcement, sim->now_us, &node->sink);
  sim_schedule (sim, (int64_t)SIM_HEARTBEAT_MS * SIM_MS, announce, index, number);
}

void
sim_start_upstream (sim_node_t *node)
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
  sim_schedule (sim, sim_random_share (sim) < 0.5 ? SIM_MS : sim_random_between (sim, 0, 1500 * SIM_MS),
                announce, node->index, node->incarnation);
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
    .address = sim_upstream_address (index),
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
  sim_start_upstream (node);
  if (sim_random_share (sim) < 0.2)
    node->started_us -= 60 * (int64_t)SIM_S;
  if (sim_random_share (sim) < 0.4)
    sim_schedule_bytes (sim, sim_random_between (sim, 0, 5 * SIM_S), announce_late, index, 0,
                        (uint8_t *)&former, sizeof former);
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
    sim_receive_later (sim, node->frozen_until_us, listener_gone, index, number, NULL, 0);
  else
    sim_handle_agent_event (node, OH_SEGMENT_AGENT_LISTENER_GONE, NULL, 0);
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
  sim_schedule (sim, sim_random_between (sim, 10 * SIM_MS, 200 * SIM_MS), listener_gone, index,
                node->incarnation);
  sim_schedule (sim, sim_random_between (sim, 20 * SIM_MS, 3 * SIM_S), start_successor, index,
                node->incarnation);
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
  sim_schedule (sim, sim_random_share (sim) < 0.3 ? SIM_MS : sim_random_between (sim, 0, 6 * SIM_S),
                end_upstream, index, number);
}

static void
leave_upstream (segment_sim_t *sim)
{
  sim_node_t *node = &sim->nodes[sim_random_index (sim, SIM_UPSTREAMS)];
  const int64_t drain_us = sim_random_between (sim, 1500 * SIM_MS, 6 * SIM_S);

  if (!node->running || node->draining)
    return;
  node->draining = true;
  sim_schedule (sim, drain_us, deregister, node->index, node->incarnation);
  if (sim_random_share (sim) < 0.5)
    sim_schedule (sim, drain_us + sim_random_between (sim, -SIM_S, 4 * SIM_S), sim_restart_agent, node->index,
                  0);
}

void
sim_disturb_upstream (segment_sim_t *sim)
{
  sim_node_t *node = &sim->nodes[sim_random_index (sim, SIM_UPSTREAMS)];

  switch (sim_random_index (sim, 4))
    {
    case 0:
      end_upstream (sim, node->index, node->running ? node->incarnation : 0, NULL, 0); /* a crash */
      break;
    case 1:
      node->paused_until_us = sim->now_us + sim_random_between (sim, 200 * SIM_MS, 5 * SIM_S);
      break;
    default:
      leave_upstream (sim);
      break;
    }
}
