#define OH_LOG_MODULE "flow_agent"
#include "base/log.h"

#include <argp.h>
#include <errno.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "adapters/admin.h"
#include "adapters/daemon.h"
#include "adapters/listener_watch.h"
#include "adapters/settings_watch.h"
#include "adapters/system_clock.h"
#include "adapters/system_random.h"
#include "adapters/udp.h"
#include "adapters/view_client.h"
#include "adapters/zone_drain_log.h"
#include "base/settings.h"
#include "core/load_reports.h"
#include "core/segment_agent.h"
#include "platform/heartbeat_http.h"
#include "platform/readiness_http.h"
#include "platform/segment_codec.h"

/*
 * Agent daemon for an upstream whose callers do not speak the caller protocol. Runs the state machine of
 * core/segment_agent.h in the GLib main loop, which owns all sockets and state.
 */

enum
{
  /* From the stop signal (the readiness check fails from then on) to the exit, if the upstream runs. */
  STOP_DELAY_MS = 200,
  /* In thousandths. */
  WARMUP_OVERSHOOT_MAX_MILLI = 1000 * 1000,
  WARMUP_SLACK_MAX_MILLI = 1000000 * 1000,
};

const char *argp_program_version = "oriole-flow-agent 0.1.0";

typedef struct
{
  char *name;
  char *zone;
  oh_address_t relay;         /* where balancers send datagrams */
  oh_address_t outbound;      /* local address of the socket to the upstream */
  oh_address_t upstream;      /* where the upstream receives segments */
  oh_address_t announcements; /* HTTP interface for the upstream's heartbeats */
  oh_address_t readiness;     /* HTTP readiness check; port 0: none */
  oh_address_t admin;         /* port 0: none */
  int64_t heartbeat_ms;       /* between the upstream's announcements */
  int64_t max_flows;
  int64_t flow_timeout_s;
  int64_t leave_ms; /* from the stop signal to the exit if the upstream has ended or said that it leaves */
  /* Margin of the limit of new flows while the upstream is warming, in thousandths; see segment_agent.h. */
  int64_t warmup_overshoot_milli;
  int64_t warmup_slack_milli;
  char *seeds;  /* IPV4:PORT,... of the VMs of control replicas */
  int64_t port; /* of the control replicas' endpoints */
  char *key_file;
  char *log_level;
} settings_t;

static const oh_setting_t setting_table[] = {
  { "agent", "name", OH_SETTING_STRING, offsetof (settings_t, name), true, NULL, 0, 0 },
  { "agent", "zone", OH_SETTING_STRING, offsetof (settings_t, zone), true, NULL, 0, 0 },
  { "agent", "relay", OH_SETTING_ADDRESS, offsetof (settings_t, relay), true, NULL, 0, 0 },
  { "agent", "outbound", OH_SETTING_ADDRESS, offsetof (settings_t, outbound), true, NULL, 0, 0 },
  { "agent", "upstream", OH_SETTING_ADDRESS, offsetof (settings_t, upstream), true, NULL, 0, 0 },
  { "agent", "announcements", OH_SETTING_ADDRESS, offsetof (settings_t, announcements), true, NULL, 0, 0 },
  { "agent", "readiness", OH_SETTING_ADDRESS, offsetof (settings_t, readiness), false, NULL, 0, 0 },
  { "agent", "admin", OH_SETTING_ADDRESS, offsetof (settings_t, admin), false, NULL, 0, 0 },
  { "agent", "heartbeat_ms", OH_SETTING_INTEGER, offsetof (settings_t, heartbeat_ms), false, "1000", 10,
    600000 },
  { "agent", "max_flows", OH_SETTING_INTEGER, offsetof (settings_t, max_flows), false, "2000", 1, 1000000 },
  { "agent", "flow_timeout_s", OH_SETTING_INTEGER, offsetof (settings_t, flow_timeout_s), false, "60", 1,
    86400 },
  { "agent", "leave_ms", OH_SETTING_INTEGER, offsetof (settings_t, leave_ms), false, "3000", 0, 3600000 },
  { "agent", "warmup_overshoot", OH_SETTING_DECIMAL, offsetof (settings_t, warmup_overshoot_milli), false,
    NULL, 0, WARMUP_OVERSHOOT_MAX_MILLI },
  { "agent", "warmup_slack", OH_SETTING_DECIMAL, offsetof (settings_t, warmup_slack_milli), false, NULL, 0,
    WARMUP_SLACK_MAX_MILLI },
  { "control", "seeds", OH_SETTING_STRING, offsetof (settings_t, seeds), true, NULL, 0, 0 },
  { "control", "port", OH_SETTING_INTEGER, offsetof (settings_t, port), true, NULL, 1, G_MAXUINT16 },
  { "keys", "file", OH_SETTING_STRING, offsetof (settings_t, key_file), true, NULL, 0, 0 },
  { "log", "level", OH_SETTING_STRING, offsetof (settings_t, log_level), false, "info", 0, 0 },
};

typedef struct
{
  oh_address_t relay;
  bool same_zone; /* as the agent */
} balancer_t;

typedef struct
{
  oh_segment_agent_sink_t sink; /* first member, cast back to agent_t */
  settings_t settings;
  oh_daemon_program_t program;
  oh_keyring_t keyring; /* of the view client; the core has its own copy */
  oh_counters_t counters;
  oh_segment_agent_t core;
  oh_view_client_t *view_client;
  oh_zone_drain_log_t zone_drain_log;
  oh_admin_t *admin;
  oh_readiness_http_t *readiness;
  oh_listener_watch_t *listener_watch; /* NULL if the listener of the upstream is not watched */
  oh_heartbeat_http_t *heartbeats;
  oh_settings_watch_t watch;
  GArray *balancers;     /* of balancer_t: where load reports go */
  unsigned n_remote;     /* of them in other zones */
  unsigned report_round; /* number of load reports so far */
  Oh__Member member;     /* member, load and load_address: contents of the last poll */
  Oh__Load load;
  Oh__Address load_address;
  int relay_fd;    /* -1 if not open */
  int outbound_fd; /* to the upstream; -1 if not open */
  bool leaving;    /* a stop signal was received */
  GMainLoop *loop;
} agent_t;

static int64_t
now_us (void)
{
  return oh_clock_now_us (oh_system_clock ());
}

static void
handle_event (agent_t *agent, oh_segment_agent_event_t event)
{
  event.now_us = now_us ();
  oh_segment_agent_handle (&agent->core, &event, &agent->sink);
}

/* Actions of the core. */

static void
send_upstream (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length)
{
  const agent_t *agent = (agent_t *)sink;

  oh_udp_send (agent->outbound_fd, agent->settings.upstream, bytes, length);
}

static void
send_caller (oh_segment_agent_sink_t *sink, oh_address_t caller, const uint8_t *bytes, size_t length)
{
  const agent_t *agent = (agent_t *)sink;
  /* Callers receive segments on the same port as agents. */
  const oh_address_t to = { .ipv4 = caller.ipv4, .port = agent->settings.relay.port };

  oh_udp_send (agent->relay_fd, to, bytes, length);
}

static void
send_balancer (oh_segment_agent_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length)
{
  oh_udp_send (((agent_t *)sink)->relay_fd, to, bytes, length);
}

static void
report (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length, bool to_all)
{
  agent_t *agent = (agent_t *)sink;

  for (guint i = 0; i < agent->balancers->len; i++)
    {
      const balancer_t *balancer = &g_array_index (agent->balancers, balancer_t, i);

      if (to_all || oh_load_report_due (balancer->same_zone, i, agent->n_remote, agent->report_round))
        oh_udp_send (agent->relay_fd, balancer->relay, bytes, length);
    }
  agent->report_round += !to_all;
}

static void
on_listener_gone (void *data)
{
  handle_event (data, (oh_segment_agent_event_t){ .kind = OH_SEGMENT_AGENT_LISTENER_GONE });
}

static void
watch_listener (oh_segment_agent_sink_t *sink, oh_listener_attention_t attention)
{
  agent_t *agent = (agent_t *)sink;

  if (attention == OH_LISTENER_IGNORED)
    {
      g_clear_pointer (&agent->listener_watch, oh_listener_watch_stop);
      return;
    }
  if (agent->listener_watch == NULL)
    agent->listener_watch = oh_listener_watch_start (agent->settings.upstream, on_listener_gone, agent);
  if (attention == OH_LISTENER_POLLED)
    oh_listener_watch_poll (agent->listener_watch);
}

static void
on_changed (oh_segment_agent_sink_t *sink)
{
  oh_view_client_poll_now (((agent_t *)sink)->view_client);
}

static void
write_log (oh_segment_agent_sink_t *sink, oh_log_level_t level, const char *event, const char *pairs)
{
  (void)sink;
  /* Rate-limited, since events occur for every flow and for every announcement that any program sends. */
  oh_log_limited (OH_LOG_MODULE, level, event, "%s", pairs);
}

/* Sources of events. */

static void
handle_relay_datagram (void *data, uint8_t *bytes, size_t length)
{
  handle_event (data, (oh_segment_agent_event_t){ .kind = OH_SEGMENT_AGENT_RELAY,
                                                  .datagram = { .bytes = bytes, .length = length } });
}

static gboolean
on_relay_datagram (gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  oh_udp_receive_batch (fd, handle_relay_datagram, data);
  return G_SOURCE_CONTINUE;
}

static void
handle_upstream_datagram (void *data, uint8_t *bytes, size_t length)
{
  handle_event (data, (oh_segment_agent_event_t){ .kind = OH_SEGMENT_AGENT_UPSTREAM,
                                                  .datagram = { .bytes = bytes, .length = length } });
}

static gboolean
on_upstream_datagram (gint fd, GIOCondition condition, gpointer data)
{
  if ((condition & G_IO_ERR) != 0 && oh_udp_take_refusals (fd) > 0)
    handle_event (data, (oh_segment_agent_event_t){ .kind = OH_SEGMENT_AGENT_REFUSED });
  oh_udp_receive_batch (fd, handle_upstream_datagram, data);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_tick (gpointer data)
{
  handle_event (data, (oh_segment_agent_event_t){ .kind = OH_SEGMENT_AGENT_TICK });
  return G_SOURCE_CONTINUE;
}

static oh_announcement_result_t
on_announcement (void *data, const oh_announcement_t *announcement)
{
  agent_t *agent = data;

  return oh_segment_agent_announce (&agent->core, announcement, now_us (), &agent->sink);
}

static void
on_view (const oh_view_t *view, void *data)
{
  agent_t *agent = data;

  g_array_set_size (agent->balancers, 0);
  agent->n_remote = 0;
  for (guint i = 0; i < view->balancers->len; i++)
    {
      const oh_view_balancer_t *listed = g_ptr_array_index (view->balancers, i);
      const balancer_t balancer = {
        .relay = listed->relay,
        .same_zone = g_strcmp0 (listed->zone, agent->settings.zone) == 0,
      };

      g_array_append_val (agent->balancers, balancer);
      agent->n_remote += !balancer.same_zone;
    }
  /* A replica that a partition has left behind may not know the newest services. */
  if (!view->confirmed)
    return;
  oh_segment_agent_set_services (&agent->core, &view->services, &agent->sink);
  oh_segment_agent_set_zone_drained (&agent->core, oh_view_is_zone_drained (view, agent->settings.zone));
  oh_zone_drain_log_update (&agent->zone_drain_log, view);
}

static void
fill_poll (Oh__Poll *poll, void *data)
{
  agent_t *agent = data;

  poll->without_text = true;
  poll->without_members = true;
  if (!oh_segment_agent_is_listed (&agent->core, now_us ()))
    return;
  oh__member__init (&agent->member);
  oh_segment_agent_get_load (&agent->core, now_us (), &agent->load, &agent->load_address);
  agent->member.load = &agent->load;
  agent->member.service_name = (char *)oh_segment_agent_service (&agent->core);
  agent->member.zone = agent->settings.zone;
  poll->member = &agent->member;
}

static bool
is_ready (void *data)
{
  return !((agent_t *)data)->leaving;
}

static gboolean
quit (gpointer data)
{
  g_main_loop_quit (((agent_t *)data)->loop);
  return G_SOURCE_REMOVE;
}

/* If the upstream has ended or is about to, the agent keeps running for leave_ms, to tell callers so.
 * Otherwise the agent is about to be restarted and exits soon, so that the upstream is without an agent as
 * briefly as possible. */
static gboolean
on_stop_signal (gpointer data)
{
  agent_t *agent = data;
  const bool leaves = oh_upstream_identity_has_left (&agent->core.identity);
  const bool ended = agent->core.upstream_ended;
  const int64_t delay_ms = leaves || ended ? agent->settings.leave_ms : STOP_DELAY_MS;

  if (agent->leaving)
    return G_SOURCE_CONTINUE;
  agent->leaving = true;
  oh_log_info ("leaving",
               "name=%s upstream_leaves=%d upstream_gone=%d generation=%u delay_ms=%" G_GINT64_FORMAT,
               agent->settings.name, leaves, ended, agent->core.identity.generation, delay_ms);
  g_timeout_add ((guint)delay_ms, quit, agent);
  return G_SOURCE_CONTINUE;
}

static void
on_settings_changed (void *data)
{
  agent_t *agent = data;
  settings_t changed = { 0 };

  oh_daemon_reload_seeds (&agent->program, &changed, &changed.seeds, &changed.port, agent->view_client);
}

/* Start and stop. */

static bool
open_sockets (agent_t *agent, oh_error_t *error)
{
  agent->relay_fd = oh_udp_open (agent->settings.relay, error);
  if (agent->relay_fd < 0)
    return false;
  agent->outbound_fd = oh_udp_open (agent->settings.outbound, error);
  if (agent->outbound_fd < 0)
    return false;
  g_unix_fd_add (agent->relay_fd, G_IO_IN, on_relay_datagram, agent);
  if (!oh_udp_report_refusals (agent->outbound_fd))
    oh_log_warning ("refusals_unsupported", "name=%s reason=\"%s\"", agent->settings.name,
                    g_strerror (errno));
  g_unix_fd_add (agent->outbound_fd, G_IO_IN | G_IO_ERR, on_upstream_datagram, agent);
  return true;
}

static bool
start (agent_t *agent, oh_error_t *error)
{
  static const oh_view_client_callbacks_t callbacks = { .changed = on_view, .fill_poll = fill_poll };
  const settings_t *settings = &agent->settings;
  g_autofree char *endpoints
    = oh_daemon_seed_endpoints (agent->program.settings_path, settings->seeds, settings->port, error);

  if (endpoints == NULL || !open_sockets (agent, error))
    return false;
  agent->view_client = oh_view_client_start (NULL, settings->name, OH__NODE_ROLE__NODE_AGENT, settings->zone,
                                             endpoints, &agent->keyring, &callbacks, agent, error);
  if (agent->view_client == NULL)
    return false;
  agent->heartbeats = oh_heartbeat_http_start (settings->announcements, on_announcement, agent, error);
  if (agent->heartbeats == NULL)
    return false;
  if (settings->admin.port != 0)
    {
      agent->admin = oh_admin_start (settings->admin, &agent->counters, error);
      if (agent->admin == NULL)
        return false;
    }
  if (settings->readiness.port != 0)
    {
      agent->readiness = oh_readiness_http_start (settings->readiness, is_ready, agent, error);
      if (agent->readiness == NULL)
        return false;
    }
  return true;
}

static void
stop (agent_t *agent)
{
  oh_heartbeat_http_stop (agent->heartbeats);
  /* Otherwise the agent stays listed until its lease ends: the upstream may still have flows, and no other
   * process can report that. */
  if (oh_segment_agent_is_done (&agent->core))
    oh_view_client_stop (agent->view_client);
  else
    oh_view_client_stop_without_leaving (agent->view_client);
  oh_listener_watch_stop (agent->listener_watch);
  oh_readiness_http_stop (agent->readiness);
  oh_admin_stop (agent->admin);
  if (agent->relay_fd >= 0)
    close (agent->relay_fd);
  if (agent->outbound_fd >= 0)
    close (agent->outbound_fd);
}

static bool
run (void *data, oh_error_t *error)
{
  agent_t *agent = data;
  static const oh_segment_agent_sink_ops_t ops = {
    .send_upstream = send_upstream,
    .send_caller = send_caller,
    .send_balancer = send_balancer,
    .report = report,
    .watch_listener = watch_listener,
    .changed = on_changed,
    .log = write_log,
  };
  const settings_t *settings = &agent->settings;
  const oh_segment_agent_config_t config = {
    .format = oh_platform_segment_format (),
    .name = settings->name,
    .zone = settings->zone,
    .incarnation = oh_random_u64 (oh_system_random ()),
    .relay = settings->relay,
    .upstream = settings->upstream,
    .heartbeat_ms = settings->heartbeat_ms,
    .flow_timeout_ms = settings->flow_timeout_s * 1000,
    .max_flows = (unsigned)settings->max_flows,
    .started_ms = g_get_real_time () / 1000,
    .started_us = now_us (),
    .warmup_overshoot_milli = settings->warmup_overshoot_milli,
    .warmup_slack_milli = settings->warmup_slack_milli,
  };
  bool ok;

  agent->sink.ops = &ops;
  agent->relay_fd = -1;
  agent->outbound_fd = -1;
  agent->balancers = g_array_new (FALSE, FALSE, sizeof (balancer_t));
  agent->loop = g_main_loop_new (NULL, FALSE);
  oh_segment_agent_init (&agent->core, &config, &agent->keyring);
  oh_counters_init (&agent->counters);
  oh_segment_agent_add_counters (&agent->core, &agent->counters);
  ok = start (agent, error);
  if (ok)
    {
      g_timeout_add (OH_SEGMENT_AGENT_TICK_MS, on_tick, agent);
      g_unix_signal_add (SIGTERM, on_stop_signal, agent);
      g_unix_signal_add (SIGINT, on_stop_signal, agent);
      oh_settings_watch_init (&agent->watch, agent->program.settings_path, on_settings_changed, agent);
      oh_log_info ("started", "name=%s zone=%s", settings->name, settings->zone);
      g_main_loop_run (agent->loop);
      oh_log_info ("stopped", "name=%s", settings->name);
      oh_settings_watch_finish (&agent->watch);
    }
  stop (agent);
  oh_segment_agent_finish (&agent->core);
  oh_zone_drain_log_finish (&agent->zone_drain_log);
  oh_counters_finish (&agent->counters);
  g_array_unref (agent->balancers);
  g_main_loop_unref (agent->loop);
  return ok;
}

int
main (int argc, char **argv)
{
  static agent_t agent;

  agent.program = (oh_daemon_program_t){
    .doc = "Forwards segments between balancers and one upstream, for callers without the caller library.",
    .table = setting_table,
    .n_table = G_N_ELEMENTS (setting_table),
    .settings = &agent.settings,
    .common = { .key_file = &agent.settings.key_file, .log_level = &agent.settings.log_level },
    .keyring = &agent.keyring,
    .run = run,
  };
  return oh_daemon_main (argc, argv, &agent.program, &agent);
}
