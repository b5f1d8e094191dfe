#include "segment_sim_private.h"

#include <string.h>

static const char config_text[]
  = "[oriolehaven]\nname=test\n[service kiln-log]\n[route 198.18.0.1:8443]\nname=feed\nkind=repeatable\n"
    "targets=kiln-log:1\n";
/* Balancers. */

static void
handle_balancer_event (sim_balancer_t *balancer, oh_segment_balancer_event_t event)
{
  event.now_us = balancer->sim->now_us;
  oh_segment_balancer_handle (&balancer->core, &event, &balancer->sink);
}

void
sim_receive_at_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_balancer_t *balancer = &sim->balancers[index];

  if (!balancer->alive)
    return;
  if (balancer->frozen_until_us > sim->now_us)
    sim_receive_later (sim, balancer->frozen_until_us, sim_receive_at_balancer, index, number, bytes, length);
  else
    handle_balancer_event (balancer,
                           (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_CALLER,
                                                          .datagram = { .bytes = bytes, .length = length } });
}

void
sim_receive_relay_at_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes,
                               size_t length)
{
  sim_balancer_t *balancer;

  if (index >= SIM_BALANCERS)
    return;
  balancer = &sim->balancers[index];
  if (!balancer->alive)
    return;
  if (balancer->frozen_until_us > sim->now_us)
    sim_receive_later (sim, balancer->frozen_until_us, sim_receive_relay_at_balancer, index, number, bytes,
                       length);
  else
    handle_balancer_event (balancer,
                           (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_RELAY,
                                                          .datagram = { .bytes = bytes, .length = length } });
}

static void
on_send_agent (oh_segment_balancer_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length)
{
  segment_sim_t *sim = ((sim_balancer_t *)sink)->sim;

  if (to.port == sim_agent_address (0).port)
    sim_transmit (sim, sim_receive_at_agent, to.ipv4 - sim_agent_address (0).ipv4, bytes, length);
  else
    sim_transmit (sim, sim_receive_relay_at_balancer, to.ipv4 - sim_balancer_address (0).ipv4, bytes, length);
}

static void
on_balancer_send_caller (oh_segment_balancer_sink_t *sink, oh_address_t caller, const uint8_t *bytes,
                         size_t length)
{
  sim_transmit (((sim_balancer_t *)sink)->sim, sim_receive_at_caller, caller.ipv4 - 0x64400001, bytes,
                length);
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
      oh_address_to_wire (sim_balancer_address (i), &addresses[SIM_UPSTREAMS + i]);
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
  sim_schedule (sim, (int64_t)OH_SEGMENT_TICK_MS * SIM_MS, tick_balancer, index, number);
}

void
sim_start_balancer (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
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
    .relay = sim_balancer_address (index),
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

void
sim_end_balancer (sim_balancer_t *balancer)
{
  if (!balancer->alive)
    return;
  balancer->alive = false;
  oh_segment_balancer_finish (&balancer->core);
  oh_view_finish (&balancer->view);
}
