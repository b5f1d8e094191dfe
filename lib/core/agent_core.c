#define OH_LOG_MODULE "agent"
#include "core/agent_core.h"

#include <stdarg.h>
#include <string.h>

#include "core/agent_internal.h"

enum
{
  SWEEP_MS = 250, /* expired offers are cleared at most this much late */
  DRAIN_TICK_MS = 50,
  SEND_CONTINUE_US = 1000,   /* delay before chunks beyond the limit for one event are sent */
  REPORT_BYTES = 120,        /* 83 bytes for a report with a long name, plus UDP and IP headers */
  REPORT_BYTES_PER_S = 5000, /* of the 8 KB/s of control traffic allowed per node; views take the rest */
};

static guint
hash_run (gconstpointer key)
{
  return (guint) * (const uint64_t *)key;
}

static gboolean
equal_runs (gconstpointer a, gconstpointer b)
{
  return *(const uint64_t *)a == *(const uint64_t *)b;
}

/* Interval of load reports while the load changes. It keeps load reports within REPORT_BYTES_PER_S at each
 * node: a balancer receives them from every member, an agent sends them to every balancer. */
static int64_t
min_report_interval_ms (const oh_agent_core_t *core)
{
  const int64_t nodes = MAX (core->view->members->len, core->view->balancers->len);
  const int64_t interval_ms = nodes * REPORT_BYTES * 1000 / REPORT_BYTES_PER_S;

  return CLAMP (interval_ms, OH_AGENT_REPORT_MIN_MS, OH_AGENT_REPORT_MS);
}

/* There must be a view. */
static int64_t
report_due_us (const oh_agent_core_t *core)
{
  const int64_t interval_ms = core->load_changed ? min_report_interval_ms (core) : OH_AGENT_REPORT_MS;

  return core->last_report_us + interval_ms * 1000;
}

static void
send_reports (oh_agent_core_t *core)
{
  if (core->view == NULL || core->now_us < report_due_us (core))
    return;
  core->last_report_us = core->now_us;
  core->load_changed = false;
  for (guint i = 0; i < core->view->balancers->len; i++)
    {
      const oh_view_balancer_t *balancer = g_ptr_array_index (core->view->balancers, i);
      Oh__Relay relay = OH__RELAY__INIT;

      oh_agent_send_relay (core, balancer->relay, &relay);
    }
}

static void
arm_timer (oh_agent_core_t *core)
{
  const int64_t tick_us = (int64_t)OH_AGENT_TICK_MS * 1000;
  int64_t due_us = core->next_sweep_us;

  if (core->view != NULL)
    due_us = MIN (due_us, report_due_us (core));
  if (!oh_list_is_empty (&core->timers) || core->queue.length > 0)
    due_us = MIN (due_us, (core->now_us / tick_us + 1) * tick_us);
  if (core->draining)
    due_us = MIN (due_us, core->now_us + (int64_t)DRAIN_TICK_MS * 1000);
  if (!oh_list_is_empty (&core->ready))
    due_us = MIN (due_us, core->now_us + SEND_CONTINUE_US);
  if (due_us == core->armed_us)
    return;
  core->armed_us = due_us;
  oh_agent_emit (core, &(oh_agent_action_t){ .kind = OH_AGENT_ACTION_ARM_TIMER, .due_us = due_us });
}

static void
run_timers (oh_agent_core_t *core)
{
  core->armed_us = 0;
  oh_agent_run_timers (core);
  if (core->now_us >= core->next_sweep_us)
    {
      core->next_sweep_us = core->now_us + (int64_t)SWEEP_MS * 1000;
      oh_agent_sweep_flows (core);
    }
  oh_agent_run_drain (core);
}

static void
update_health (oh_agent_core_t *core)
{
  if (!oh_upstream_health_update (&core->health, core->now_us, oh_agent_oldest_unanswered_us (core)))
    return;
  core->load_changed = true;
  oh_agent_log (core, OH_LOG_WARNING, "upstream_health", "upstream=%s suspect=%d", core->config.name,
                core->health.suspect);
}

void
oh_agent_log (oh_agent_core_t *core, oh_log_level_t level, const char *event, const char *format, ...)
{
  char pairs[400];
  va_list args;

  if (!oh_log_enabled (level))
    return;
  va_start (args, format);
  g_vsnprintf (pairs, sizeof pairs, format, args);
  va_end (args);
  oh_agent_emit (core, &(oh_agent_action_t){ .kind = OH_AGENT_ACTION_LOG,
                                             .log = { .level = level, .event = event, .pairs = pairs } });
}

void
oh_agent_emit (oh_agent_core_t *core, const oh_agent_action_t *action)
{
  core->sink->emit (core->sink, action);
}

uint64_t
oh_agent_flow_log_id (const oh_flow_t *flow)
{
  uint64_t head;

  memcpy (&head, flow->id.bytes, sizeof head);
  return GUINT64_FROM_BE (head);
}

void
oh_agent_core_init (oh_agent_core_t *core, const oh_agent_config_t *config, const oh_keyring_t *keyring,
                    oh_random_t *random, oh_counters_t *counters)
{
  memset (core, 0, sizeof *core);
  core->config = *config;
  core->keyring = keyring;
  core->random = random;
  oh_flow_table_init (&core->flows);
  oh_request_queue_init (&core->queue);
  oh_upstream_health_init (&core->health, config->service, config->slots);
  core->runs = g_hash_table_new (hash_run, equal_runs);
  oh_handover_targets_init (&core->targets, config->service, config->incarnation, random);
  oh_list_init (&core->run_list);
  oh_list_init (&core->ready);
  oh_list_init (&core->timers);
  oh_arena_init (&core->relay_arena);
  oh_arena_init (&core->packet_arena);

  oh_counters_add (counters, &core->counters.packets, "packets");
  oh_counters_add (counters, &core->counters.packets_rejected, "packets_rejected");
  oh_counters_add (counters, &core->counters.packets_stale, "packets_stale");
  oh_counters_add (counters, &core->counters.duplicates, "request_copies");
  oh_counters_add (counters, &core->counters.gone, "gone_sent");
  oh_counters_add (counters, &core->counters.opens, "opens");
  oh_counters_add (counters, &core->counters.opens_refused, "opens_refused");
  oh_counters_add (counters, &core->counters.requests_run, "requests_run");
  oh_counters_add (counters, &core->counters.requests_refused, "requests_refused");
  oh_counters_add (counters, &core->counters.requests_unknown, "requests_unknown");
  oh_counters_add (counters, &core->counters.chunks_sent, "chunks_sent");
  oh_counters_add (counters, &core->counters.chunks_retransmitted, "chunk_retransmissions");
  oh_counters_add (counters, &core->counters.slots_offered, "slots_offered");
  oh_counters_add (counters, &core->counters.slots_busy, "slots_busy");
  oh_counters_add (counters, &core->counters.queued, "requests_queued");
  oh_counters_add (counters, &core->counters.flows, "flows");
  oh_counters_add (counters, &core->counters.flows_moved, "flows_moved");
  oh_counters_add (counters, &core->counters.flows_received, "flows_received");
}

void
oh_agent_core_finish (oh_agent_core_t *core)
{
  oh_list_foreach_safe (&core->run_list, link, following)
    {
      oh_run_t *run = oh_list_entry (link, oh_run_t, link);

      if (run->entry != NULL)
        run->entry->run = 0;
      g_free (run);
    }
  oh_list_foreach_safe (&core->flows.flows, link, following)
    {
      oh_flow_t *flow = oh_list_entry (link, oh_flow_t, link);

      for (unsigned i = 0; i < OH_REQUEST_WINDOW; i++)
        if (flow->entries[i] != NULL)
          {
            if (flow->entries[i]->state == OH_FLOW_ENTRY_QUEUED)
              oh_request_queue_remove (&core->queue, &flow->entries[i]->queue_item);
            flow->entries[i]->state = OH_FLOW_ENTRY_FAILED;
            oh_flow_remove_entry (flow, flow->entries[i]);
          }
      oh_flow_table_remove (&core->flows, flow);
    }
  g_hash_table_destroy (core->runs);
  oh_handover_targets_finish (&core->targets);
  oh_flow_table_finish (&core->flows);
}

void
oh_agent_core_handle (oh_agent_core_t *core, const oh_agent_event_t *event, oh_agent_sink_t *sink)
{
  core->sink = sink;
  core->now_us = event->now_us;
  switch (event->kind)
    {
    case OH_AGENT_EVENT_RELAY:
      oh_agent_handle_relay (core, event->relay.bytes, event->relay.length);
      break;
    case OH_AGENT_EVENT_TIMER:
      run_timers (core);
      break;
    case OH_AGENT_EVENT_UPSTREAM:
      oh_agent_handle_upstream (core, event->upstream);
      break;
    case OH_AGENT_EVENT_VIEW:
      core->view = event->view;
      break;
    case OH_AGENT_EVENT_PEER_REQUEST:
      oh_agent_handle_flow_state (core, event->peer_request.peer, event->peer_request.state);
      break;
    case OH_AGENT_EVENT_PEER_REPLY:
      oh_agent_handle_flow_state_reply (core, event->peer_reply);
      break;
    case OH_AGENT_EVENT_STOP:
      if (!core->stopping)
        core->stop_us = event->now_us;
      core->stopping = true;
      break;
    }
  oh_agent_update_drain (core);
  update_health (core);
  oh_agent_run_queue (core);
  oh_agent_send_chunks (core);
  send_reports (core);
  oh_counter_set (&core->counters.slots_offered,
                  oh_upstream_health_offered_slots (&core->health, core->now_us));
  oh_counter_set (&core->counters.slots_busy, core->busy);
  oh_counter_set (&core->counters.queued, core->queue.length);
  oh_counter_set (&core->counters.flows, core->flows.n_flows - core->flows.n_moved);
  arm_timer (core);
  core->sink = NULL;
}

void
oh_agent_core_load (const oh_agent_core_t *core, int64_t now_us, Oh__Load *load, Oh__Address *agent)
{
  oh__load__init (load);
  oh_address_to_wire (core->config.relay, agent);
  load->upstream = (char *)core->config.name;
  load->service = core->config.service;
  load->incarnation = core->config.incarnation;
  load->sequence = core->report_sequence;
  load->slots = oh_upstream_health_offered_slots (&core->health, now_us);
  load->busy = core->busy;
  load->queued = core->queue.length + core->pending_offers;
  load->flows = core->flows.n_flows - core->flows.n_moved;
  load->max_flows = core->config.max_flows;
  load->state = core->draining || core->zone_drained ? OH__UPSTREAM_STATE__UPSTREAM_DRAINING
                                                     : oh_upstream_health_state (&core->health, now_us);
  load->agent = agent;
}
