#define OH_LOG_MODULE "agent"
#include "base/log.h"

#include <argp.h>
#include <glib-unix.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "adapters/admin.h"
#include "adapters/daemon.h"
#include "adapters/http_upstream.h"
#include "adapters/link.h"
#include "adapters/system_clock.h"
#include "adapters/system_random.h"
#include "adapters/udp.h"
#include "adapters/view_client.h"
#include "adapters/zone_drain_log.h"
#include "base/settings.h"
#include "core/agent_core.h"

/*
 * Agent daemon. Runs the state machine of core/agent_core.h in the GLib main loop: passes datagrams, messages
 * of other agents, views and responses of the upstream to it as events, and performs its actions.
 */

enum
{
  EXIT_RUNTIME = 1,
  BATCH_DATAGRAMS = 64,   /* received per dispatch, so that other sources of the main loop are not starved */
  SPARE_CONNECTIONS = 64, /* to the upstream, beyond one per slot and one per flow; feeds hold no slot */
};

typedef struct
{
  char *name;
  char *service;
  char *zone;
  oh_address_t relay; /* where balancers send datagrams */
  char *peer;         /* endpoint for other agents */
  oh_address_t admin;
  char *upstream; /* http://IPV4:PORT */
  int64_t slots;
  int64_t max_flows;
  int64_t drain_limit_ms;
  char *replicas; /* tcp://IPV4:PORT,... */
  char *key_file;
  char *log_level;
} settings_t;

#define FIELD(name) offsetof (settings_t, name)

static const oh_setting_t setting_table[] = {
  { "agent", "name", OH_SETTING_STRING, FIELD (name), true, NULL, 0, 0 },
  { "agent", "service", OH_SETTING_STRING, FIELD (service), true, NULL, 0, 0 },
  { "agent", "zone", OH_SETTING_STRING, FIELD (zone), true, NULL, 0, 0 },
  { "agent", "relay", OH_SETTING_ADDRESS, FIELD (relay), true, NULL, 0, 0 },
  { "agent", "peer", OH_SETTING_STRING, FIELD (peer), true, NULL, 0, 0 },
  { "agent", "admin", OH_SETTING_ADDRESS, FIELD (admin), true, NULL, 0, 0 },
  { "agent", "upstream", OH_SETTING_STRING, FIELD (upstream), true, NULL, 0, 0 },
  { "agent", "slots", OH_SETTING_INTEGER, FIELD (slots), false, "4", 1, 1024 },
  { "agent", "max_flows", OH_SETTING_INTEGER, FIELD (max_flows), false, "2000", 1, 100000 },
  { "agent", "drain_limit_ms", OH_SETTING_INTEGER, FIELD (drain_limit_ms), false, "30000", 0, 86400000 },
  { "control", "replicas", OH_SETTING_STRING, FIELD (replicas), true, NULL, 0, 0 },
  { "keys", "file", OH_SETTING_STRING, FIELD (key_file), true, NULL, 0, 0 },
  { "log", "level", OH_SETTING_STRING, FIELD (log_level), false, "info", 0, 0 },
};

typedef struct
{
  oh_agent_sink_t sink; /* first member, cast back to agent_t */
  settings_t settings;
  oh_keyring_t keyring;
  oh_counters_t counters;
  oh_counter_t peer_rejected;
  oh_agent_core_t core;
  GMainLoop *loop;
  int relay_fd; /* -1 if not open */
  GSource *timer;
  oh_http_upstream_t *upstream;
  oh_view_client_t *view_client;
  oh_zone_drain_log_t zone_drain_log;
  oh_link_t *peer_server;
  GHashTable *peer_clients; /* endpoint -> oh_link_t */
  oh_admin_t *admin;
  Oh__Member member; /* member, load and load_address: contents of the last poll */
  Oh__Load load;
  Oh__Address load_address;
  bool stopped; /* set before the adapters are closed, whose last events are ignored */
} agent_t;

const char *argp_program_version = "oriole-agent 0.1.0";

static int64_t
now_us (void)
{
  return oh_clock_now_us (oh_system_clock ());
}

static void
handle_event (agent_t *agent, oh_agent_event_t event)
{
  if (agent->stopped)
    return;
  event.now_us = now_us ();
  oh_agent_core_handle (&agent->core, &event, &agent->sink);
}

static void
receive_from_peer (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length, void *data)
{
  agent_t *agent = data;
  oh_error_t error;
  Oh__Control *message = oh_control_decode (&agent->keyring, OH_KEY_CONTROL, bytes, length, &error);

  (void)link;
  if (message == NULL)
    {
      oh_counter_increment (&agent->peer_rejected);
      oh_log_warning ("peer_message_rejected", "reason=\"%s\"", error.message);
      return;
    }
  if (message->body_case == OH__CONTROL__BODY_FLOW_STATE && peer != NULL)
    handle_event (agent, (oh_agent_event_t){
                           .kind = OH_AGENT_EVENT_PEER_REQUEST,
                           .peer_request = { .peer = peer, .state = message->flow_state },
                         });
  else if (message->body_case == OH__CONTROL__BODY_FLOW_STATE_REPLY && peer == NULL)
    handle_event (agent, (oh_agent_event_t){ .kind = OH_AGENT_EVENT_PEER_REPLY,
                                             .peer_reply = message->flow_state_reply });
  else
    oh_counter_increment (&agent->peer_rejected);
  oh__control__free_unpacked (message, NULL);
}

static void
send_control (agent_t *agent, oh_link_t *link, GBytes *peer, Oh__Control *message)
{
  g_autofree uint8_t *bytes = NULL;
  size_t length;

  message->sender = agent->settings.name;
  bytes = oh_control_encode (message, &agent->keyring, OH_KEY_CONTROL, &length);
  if (!oh_link_send (link, peer, bytes, length))
    oh_log_warning ("peer_message_dropped", "bytes=%zu", length);
}

static void
send_to_peer (agent_t *agent, const char *endpoint, const Oh__FlowState *state)
{
  oh_link_t *link = g_hash_table_lookup (agent->peer_clients, endpoint);
  Oh__Control message = OH__CONTROL__INIT;
  oh_error_t error;

  if (link == NULL)
    {
      link = oh_link_connect (NULL, endpoint, receive_from_peer, agent, &error);
      if (link == NULL)
        {
          oh_log_warning ("peer_unusable", "endpoint=%s reason=\"%s\"", endpoint, error.message);
          return;
        }
      g_hash_table_insert (agent->peer_clients, g_strdup (endpoint), link);
    }
  message.body_case = OH__CONTROL__BODY_FLOW_STATE;
  message.flow_state = (Oh__FlowState *)state;
  send_control (agent, link, NULL, &message);
}

static void
reply_to_peer (agent_t *agent, GBytes *peer, const Oh__FlowStateReply *reply)
{
  Oh__Control message = OH__CONTROL__INIT;

  message.body_case = OH__CONTROL__BODY_FLOW_STATE_REPLY;
  message.flow_state_reply = (Oh__FlowStateReply *)reply;
  send_control (agent, agent->peer_server, peer, &message);
}

static void
perform_action (oh_agent_sink_t *sink, const oh_agent_action_t *action)
{
  agent_t *agent = (agent_t *)sink;
  oh_upstream_t *upstream = oh_http_upstream_port (agent->upstream);

  switch (action->kind)
    {
    case OH_AGENT_ACTION_SEND:
      oh_udp_send (agent->relay_fd, action->send.to, action->send.bytes, action->send.length);
      break;
    case OH_AGENT_ACTION_ARM_TIMER:
      g_source_set_ready_time (agent->timer, action->due_us);
      break;
    case OH_AGENT_ACTION_START:
      upstream->ops->start (upstream, action->start);
      break;
    case OH_AGENT_ACTION_CANCEL:
      upstream->ops->cancel (upstream, action->request.id);
      break;
    case OH_AGENT_ACTION_ABANDON:
      upstream->ops->abandon (upstream, action->request.id);
      break;
    case OH_AGENT_ACTION_SET_PAUSED:
      upstream->ops->set_paused (upstream, action->request.id, action->request.paused);
      break;
    case OH_AGENT_ACTION_SEND_PEER:
      send_to_peer (agent, action->peer.endpoint, action->peer.state);
      break;
    case OH_AGENT_ACTION_REPLY_PEER:
      reply_to_peer (agent, action->reply.peer, action->reply.reply);
      break;
    case OH_AGENT_ACTION_LOG:
      oh_log_event (OH_LOG_MODULE, action->log.level, action->log.event, "%s", action->log.pairs);
      break;
    case OH_AGENT_ACTION_EXIT:
      g_main_loop_quit (agent->loop);
      break;
    }
}

static void
on_upstream_event (const oh_upstream_event_t *event, void *data)
{
  handle_event (data, (oh_agent_event_t){ .kind = OH_AGENT_EVENT_UPSTREAM, .upstream = event });
}

static void
on_view (const oh_view_t *view, void *data)
{
  oh_zone_drain_log_update (&((agent_t *)data)->zone_drain_log, view);
  handle_event (data, (oh_agent_event_t){ .kind = OH_AGENT_EVENT_VIEW, .view = view });
}

static void
fill_poll (Oh__Poll *poll, void *data)
{
  agent_t *agent = data;

  oh__member__init (&agent->member);
  agent->core.report_sequence++;
  oh_agent_core_load (&agent->core, now_us (), &agent->load, &agent->load_address);
  agent->member.load = &agent->load;
  agent->member.service_name = agent->settings.service;
  agent->member.zone = agent->settings.zone;
  agent->member.peer_endpoint = agent->settings.peer;
  poll->member = &agent->member;
}

static gboolean
on_relay_datagram (gint fd, GIOCondition condition, gpointer data)
{
  agent_t *agent = data;
  uint8_t buffer[OH_RELAY_MAX_BYTES];

  (void)condition;
  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    {
      const ssize_t length = oh_udp_receive (fd, NULL, buffer, sizeof buffer);

      if (length < 0)
        break;
      /* MSG_TRUNC reports the full length of a datagram that did not fit. */
      if ((size_t)length <= sizeof buffer)
        handle_event (agent, (oh_agent_event_t){ .kind = OH_AGENT_EVENT_RELAY,
                                                 .relay = { .bytes = buffer, .length = (size_t)length } });
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
on_timer (gpointer data)
{
  agent_t *agent = data;

  g_source_set_ready_time (agent->timer, -1);
  handle_event (agent, (oh_agent_event_t){ .kind = OH_AGENT_EVENT_TIMER });
  return G_SOURCE_CONTINUE;
}

static gboolean
on_stop_signal (gpointer data)
{
  agent_t *agent = data;

  handle_event (agent, (oh_agent_event_t){ .kind = OH_AGENT_EVENT_STOP });
  oh_view_client_poll_now (agent->view_client);
  return G_SOURCE_CONTINUE;
}

static gboolean
dispatch_timer (GSource *source, GSourceFunc callback, gpointer data)
{
  (void)source;
  return callback (data);
}

static void
init_core (agent_t *agent)
{
  const settings_t *settings = &agent->settings;
  const oh_agent_config_t config = {
    .name = settings->name,
    .zone = settings->zone,
    .service_name = settings->service,
    .service = oh_service_id (settings->service),
    .incarnation = oh_random_u64 (oh_system_random ()),
    .relay = settings->relay,
    .slots = (unsigned)settings->slots,
    .max_flows = (unsigned)settings->max_flows,
    .drain_limit_ms = settings->drain_limit_ms,
  };

  oh_counters_init (&agent->counters);
  oh_counters_add (&agent->counters, &agent->peer_rejected, "peer_messages_rejected");
  oh_agent_core_init (&agent->core, &config, &agent->keyring, oh_system_random (), &agent->counters);
  oh_log_info (
    "started", "upstream=%s service=%s zone=%s incarnation=%016" G_GINT64_MODIFIER "x slots=%u max_flows=%u",
    config.name, config.service_name, settings->zone, config.incarnation, config.slots, config.max_flows);
}

static bool
start (agent_t *agent, oh_error_t *error)
{
  static GSourceFuncs timer_funcs = { .dispatch = dispatch_timer };
  static const oh_view_client_callbacks_t callbacks = { .changed = on_view, .fill_poll = fill_poll };
  const settings_t *settings = &agent->settings;

  agent->timer = g_source_new (&timer_funcs, sizeof (GSource));
  g_source_set_callback (agent->timer, on_timer, agent, NULL);
  g_source_attach (agent->timer, NULL);
  g_source_set_ready_time (agent->timer, 0);
  agent->relay_fd = oh_udp_open (settings->relay, error);
  if (agent->relay_fd < 0)
    return false;
  g_unix_fd_add (agent->relay_fd, G_IO_IN, on_relay_datagram, agent);
  agent->upstream = oh_http_upstream_start (
    settings->upstream, settings->service,
    (unsigned)(settings->slots + settings->max_flows) + SPARE_CONNECTIONS, on_upstream_event, agent, error);
  if (agent->upstream == NULL)
    return false;
  agent->peer_server = oh_link_serve (NULL, settings->peer, receive_from_peer, agent, error);
  if (agent->peer_server == NULL)
    return false;
  agent->admin = oh_admin_start (settings->admin, &agent->counters, error);
  if (agent->admin == NULL)
    return false;
  agent->view_client = oh_view_client_start (NULL, settings->name, OH__NODE_ROLE__NODE_AGENT, settings->zone,
                                             settings->replicas, &agent->keyring, &callbacks, agent, error);
  return agent->view_client != NULL;
}

static void
stop (agent_t *agent)
{
  agent->stopped = true;
  oh_view_client_stop (agent->view_client);
  oh_admin_stop (agent->admin);
  oh_link_close (agent->peer_server);
  g_hash_table_destroy (agent->peer_clients);
  oh_http_upstream_stop (agent->upstream);
  if (agent->relay_fd >= 0)
    close (agent->relay_fd);
  g_source_destroy (agent->timer);
  g_source_unref (agent->timer);
}

static int
run (agent_t *agent)
{
  oh_error_t error = { .domain = OH_ERROR_NONE };
  bool started;

  agent->sink.emit = perform_action;
  agent->relay_fd = -1;
  agent->loop = g_main_loop_new (NULL, FALSE);
  agent->peer_clients
    = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)oh_link_close);
  init_core (agent);
  started = start (agent, &error);
  if (started)
    {
      g_unix_signal_add (SIGTERM, on_stop_signal, agent);
      g_unix_signal_add (SIGINT, on_stop_signal, agent);
      g_main_loop_run (agent->loop);
      oh_log_info ("stopped", "upstream=%s", agent->settings.name);
    }
  else
    oh_log_error ("start_failed", "reason=\"%s\"", error.message);
  stop (agent);
  oh_agent_core_finish (&agent->core);
  oh_zone_drain_log_finish (&agent->zone_drain_log);
  oh_counters_finish (&agent->counters);
  g_main_loop_unref (agent->loop);
  return started ? 0 : EXIT_RUNTIME;
}

int
main (int argc, char **argv)
{
  static agent_t agent;
  const oh_daemon_settings_t common = {
    .key_file = &agent.settings.key_file,
    .log_level = &agent.settings.log_level,
    .replicas = &agent.settings.replicas,
  };
  oh_daemon_arguments_t arguments = { 0 };
  oh_error_t error = { .domain = OH_ERROR_NONE };
  oh_log_level_t level;
  int status = EXIT_SUCCESS;

  oh_daemon_parse_arguments (
    argc, argv, "Owns the flows of one upstream and runs their requests at most once.", &arguments);
  if (!oh_daemon_load (arguments.settings_path, setting_table, G_N_ELEMENTS (setting_table), &agent.settings,
                       &common, &agent.keyring, &level, &error))
    {
      g_printerr ("oriole-agent: %s\n", error.message);
      status = OH_EXIT_SETTINGS;
    }
  else if (!arguments.check)
    {
      oh_log_start (level, STDOUT_FILENO);
      status = run (&agent);
      oh_log_stop ();
    }
  oh_keyring_finish (&agent.keyring);
  oh_settings_clear (setting_table, G_N_ELEMENTS (setting_table), &agent.settings);
  return status;
}
