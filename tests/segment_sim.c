#include "segment_sim_private.h"

#include <string.h>

/* Events. */

typedef struct
{
  int64_t due_us;
  uint64_t order;
  sim_event_fn_t run;
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

void
sim_schedule_bytes (segment_sim_t *sim, int64_t delay_us, sim_event_fn_t run, unsigned index, unsigned number,
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

void
sim_schedule (segment_sim_t *sim, int64_t delay_us, sim_event_fn_t run, unsigned index, unsigned number)
{
  sim_schedule_bytes (sim, delay_us, run, index, number, NULL, 0);
}

double
sim_random_share (segment_sim_t *sim)
{
  return g_rand_double (sim->random.rand);
}

int64_t
sim_random_between (segment_sim_t *sim, int64_t low, int64_t high)
{
  return low + (int64_t)(sim_random_share (sim) * (double)(high - low));
}

unsigned
sim_random_index (segment_sim_t *sim, unsigned n)
{
  return (unsigned)g_rand_int_range (sim->random.rand, 0, (gint32)n);
}

/* Sends a message over the network, which may lose it. */
void
sim_transmit (segment_sim_t *sim, sim_event_fn_t run, unsigned index, const uint8_t *bytes, size_t length)
{
  const bool slow = sim_random_share (sim) < 0.01;

  if (sim_random_share (sim) < sim->loss)
    return;
  sim_schedule_bytes (sim, sim_random_between (sim, 300, slow ? 200 * SIM_MS : 2 * SIM_MS), run, index, 0,
                      bytes, length);
}

/* Addresses. */

oh_address_t
sim_balancer_address (unsigned index)
{
  return (oh_address_t){ .ipv4 = 0x0a000001 + index, .port = 7735 };
}

oh_address_t
sim_agent_address (unsigned index)
{
  return (oh_address_t){ .ipv4 = 0x0a010001 + index, .port = 8172 };
}

oh_address_t
sim_upstream_address (unsigned index)
{
  return (oh_address_t){ .ipv4 = 0x0a010001 + index, .port = 8080 };
}

/* Faults. */

void
sim_restart_agent (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_end_agent (&sim->nodes[index]);
  sim_schedule (sim,
                sim_random_share (sim) < 0.8 ? sim_random_between (sim, 20 * SIM_MS, 500 * SIM_MS)
                                             : sim_random_between (sim, 3 * SIM_S, 8 * SIM_S),
                sim_start_agent, index, 0);
}

static void
restart_agents_in_turn (segment_sim_t *sim)
{
  const int64_t gap_us = sim_random_between (sim, 0, 800 * SIM_MS);
  const unsigned first = sim_random_index (sim, SIM_UPSTREAMS);

  for (unsigned i = 0; i < SIM_UPSTREAMS - 2; i++)
    sim_schedule (sim, gap_us * i, sim_restart_agent, (first + i) % SIM_UPSTREAMS, 0);
}

/* A new start of the upstream; its agent is restarted in its first heartbeat intervals. */
static void
replace_upstream (segment_sim_t *sim)
{
  sim_node_t *node = &sim->nodes[sim_random_index (sim, SIM_UPSTREAMS)];

  if (!node->running)
    return;
  sim_start_upstream (node);
  if (sim_random_share (sim) < 0.7)
    sim_schedule (sim, sim_random_between (sim, 0, 2500 * SIM_MS), sim_restart_agent, node->index, 0);
}

static void
move_callers (segment_sim_t *sim)
{
  for (unsigned i = 0; i < SIM_CALLERS; i++)
    if (sim_random_share (sim) < 0.5)
      sim->callers[i].zone = sim_random_index (sim, SIM_ZONES);
}

static void
restart_balancer (segment_sim_t *sim)
{
  const unsigned index = sim_random_index (sim, SIM_BALANCERS);

  sim_end_balancer (&sim->balancers[index]);
  sim_schedule (sim, sim_random_between (sim, 20 * SIM_MS, 2 * SIM_S), sim_start_balancer, index, 0);
}

static void
freeze (segment_sim_t *sim)
{
  const int64_t until_us = sim->now_us + sim_random_between (sim, 200 * SIM_MS, 6 * SIM_S);

  if (sim_random_share (sim) < 0.6)
    sim->nodes[sim_random_index (sim, SIM_UPSTREAMS)].frozen_until_us = until_us;
  else
    sim->balancers[sim_random_index (sim, SIM_BALANCERS)].frozen_until_us = until_us;
}

static void
cause_fault (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  if (!sim->faults)
    return;
  if (sim->leaving && sim_random_share (sim) < 0.4)
    {
      sim_disturb_upstream (sim);
      sim_schedule (sim, sim_random_between (sim, 50 * SIM_MS, 3 * SIM_S), cause_fault, 0, 0);
      return;
    }
  switch (sim_random_index (sim, 9))
    {
    case 0:
    case 1:
      restart_agents_in_turn (sim);
      break;
    case 2:
      sim_restart_agent (sim, sim_random_index (sim, SIM_UPSTREAMS), 0, NULL, 0);
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
  sim_schedule (sim, sim_random_between (sim, 50 * SIM_MS, 3 * SIM_S), cause_fault, 0, 0);
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
  sim->loss = sim_random_share (sim) < 0.5 ? 0 : 0.01;
  for (unsigned i = 0; i < SIM_UPSTREAMS; i++)
    {
      sim_node_t *node = &sim->nodes[i];

      node->sim = sim;
      node->index = i;
      g_snprintf (node->name, sizeof node->name, "agent-%u", i);
      node->flows = g_hash_table_new_full (oh_flow_key_hash, oh_flow_key_equal, NULL, g_free);
      sim_start_agent (sim, i, 0, NULL, 0);
      sim_start_upstream (node);
    }
  for (unsigned i = 0; i < SIM_BALANCERS; i++)
    {
      sim->balancers[i].sim = sim;
      sim->balancers[i].index = i;
      sim_start_balancer (sim, i, 0, NULL, 0);
    }
  for (unsigned i = 0; i < SIM_CALLERS; i++)
    {
      sim_caller_t *caller = &sim->callers[i];

      caller->sim = sim;
      caller->index = i;
      caller->zone = i % SIM_ZONES;
      caller->foreign = g_array_new (FALSE, FALSE, sizeof (int64_t));
      sim_schedule (sim, 3 * (int64_t)SIM_S + i * 10 * SIM_MS, sim_start_flow, i, 0);
    }
  sim_schedule (sim, 4 * (int64_t)SIM_S, cause_fault, 0, 0);
}

void
segment_sim_finish (segment_sim_t *sim)
{
  g_queue_clear_full (&sim->events, g_free);
  for (unsigned i = 0; i < SIM_UPSTREAMS; i++)
    {
      sim_end_agent (&sim->nodes[i]);
      g_hash_table_unref (sim->nodes[i].flows);
    }
  for (unsigned i = 0; i < SIM_BALANCERS; i++)
    sim_end_balancer (&sim->balancers[i]);
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
