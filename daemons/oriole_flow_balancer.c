#define OH_LOG_MODULE "flow_balancer"
#include "base/log.h"

#include <argp.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "adapters/admin.h"
#include "adapters/daemon.h"
#include "adapters/flow_journal.h"
#include "adapters/settings_watch.h"
#include "adapters/system_clock.h"
#include "adapters/system_random.h"
#include "adapters/udp.h"
#include "adapters/view_client.h"
#include "adapters/zone_drain_log.h"
#include "base/settings.h"
#include "core/segment_balancer.h"
#include "platform/readiness_http.h"
#include "platform/segment_codec.h"

/*
 * Balancer daemon for flows whose callers and upstreams do not speak the caller protocol. Runs the state
 * machine of core/segment_balancer.h in the GLib main loop, which owns both sockets and all state.
 */

const char *argp_program_version = "oriole-flow-balancer 0.1.0";

typedef struct
{
  char *name;
  char *zone;
  oh_address_t listen;    /* where the fabric sends the segments of callers */
  oh_address_t relay;     /* where agents and other balancers send datagrams */
  oh_address_t readiness; /* HTTP readiness check; port 0: none */
  oh_address_t admin;     /* port 0: none */
  int64_t max_flows;
  int64_t flow_timeout_s;
  char *data;       /* folder of the flow journal; "" without a disk */
  int64_t leave_ms; /* from the stop signal to the exit */
  char *seeds;      /* IPV4:PORT,... of the VMs of control replicas */
  int64_t port;     /* of the control replicas' endpoints */
  char *key_file;
  char *log_level;
} settings_t;

static const oh_setting_t setting_table[] = {
  { "balancer", "name", OH_SETTING_STRING, offsetof (settings_t, name), true, NULL, 0, 0 },
  { "balancer", "zone", OH_SETTING_STRING, offsetof (settings_t, zone), true, NULL, 0, 0 },
  { "balancer", "listen", OH_SETTING_ADDRESS, offsetof (settings_t, listen), true, NULL, 0, 0 },
  { "balancer", "relay", OH_SETTING_ADDRESS, offsetof (settings_t, relay), true, NULL, 0, 0 },
  { "balancer", "readiness", OH_SETTING_ADDRESS, offsetof (settings_t, readiness), false, NULL, 0, 0 },
  { "balancer", "admin", OH_SETTING_ADDRESS, offsetof (settings_t, admin), false, NULL, 0, 0 },
  { "balancer", "max_flows", OH_SETTING_INTEGER, offsetof (settings_t, max_flows), false, "100000", 1,
    10000000 },
  { "balancer", "flow_timeout_s", OH_SETTING_INTEGER, offsetof (settings_t, flow_timeout_s), false, "60", 1,
    86400 },
  { "balancer", "data", OH_SETTING_STRING, offsetof (settings_t, data), false, "", 0, 0 },
  { "balancer", "leave_ms", OH_SETTING_INTEGER, offsetof (settings_t, leave_ms), false, "2500", 0, 3600000 },
  { "control", "seeds", OH_SETTING_STRING, offsetof (settings_t, seeds), true, NULL, 0, 0 },
  { "control", "port", OH_SETTING_INTEGER, offsetof (settings_t, port), true, NULL, 1, G_MAXUINT16 },
  { "keys", "file", OH_SETTING_STRING, offsetof (settings_t, key_file), true, NULL, 0, 0 },
  { "log", "level", OH_SETTING_STRING, offsetof (settings_t, log_level), false, "info", 0, 0 },
};

typedef struct
{
  oh_segment_balancer_sink_t sink; /* first member, cast back to balancer_t */
  settings_t settings;
  oh_daemon_program_t program;
  oh_keyring_t keyring; /* of the view client; the core has its own copy */
  oh_counters_t counters;
  oh_segment_balancer_t core;
  oh_flow_journal_t journal;
  oh_view_client_t *view_client;
  oh_zone_drain_log_t zone_drain_log;
  oh_admin_t *admin;
  oh_readiness_http_t *readiness;
  oh_settings_watch_t watch;
  Oh__Address relay_address; /* content of the last poll */
  int listen_fd;             /* -1 if not open */
  int relay_fd;              /* -1 if not open */
  bool leaving;              /* a stop signal was received */
  guint held_timer;          /* source of OH_SEGMENT_BALANCER_HELD; 0: none */
  GMainLoop *loop;
} balancer_t;

static gboolean on_held_timer (gpointer data);

static void
handle_event (balancer_t *balancer, oh_segment_balancer_event_t event)
{
  event.now_us = oh_clock_now_us (oh_system_clock ());
  oh_segment_balancer_handle (&balancer->core, &event, &balancer->sink);
  if (balancer->held_timer == 0 && oh_segment_balancer_waits (&balancer->core))
    balancer->held_timer = g_timeout_add (OH_SEGMENT_HELD_INTERVAL_MS, on_held_timer, balancer);
}

static gboolean
on_held_timer (gpointer data)
{
  balancer_t *balancer = data;

  handle_event (balancer, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_HELD });
  if (oh_segment_balancer_waits (&balancer->core))
    return G_SOURCE_CONTINUE;
  balancer->held_timer = 0;
  return G_SOURCE_REMOVE;
}

/* Actions of the core. */

static void
send_agent (oh_segment_balancer_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length)
{
  oh_udp_send (((balancer_t *)sink)->relay_fd, to, bytes, length);
}

static void
send_caller (oh_segment_balancer_sink_t *sink, oh_address_t caller, const uint8_t *bytes, size_t length)
{
  const balancer_t *balancer = (balancer_t *)sink;
  /* Callers receive segments on the same port as balancers. */
  const oh_address_t to = { .ipv4 = caller.ipv4, .port = balancer->settings.listen.port };

  oh_udp_send (balancer->listen_fd, to, bytes, length);
}

static void
store (oh_segment_balancer_sink_t *sink, const oh_flow_key_t *key, oh_address_t owner)
{
  oh_flow_journal_add (&((balancer_t *)sink)->journal, key, owner);
}

static void
write_log (oh_segment_balancer_sink_t *sink, oh_log_level_t level, const char *event, const char *pairs)
{
  (void)sink;
  /* Events below the level of warnings occur for every flow, so they are rate-limited. */
  if (level <= OH_LOG_WARNING)
    oh_log_event (OH_LOG_MODULE, level, event, "%s", pairs);
  else
    oh_log_limited (OH_LOG_MODULE, level, event, "%s", pairs);
}

/* Sources of events. */

static void
handle_caller_datagram (void *data, uint8_t *bytes, size_t length)
{
  handle_event (data, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_CALLER,
                                                     .datagram = { .bytes = bytes, .length = length } });
}

static gboolean
on_caller_datagram (gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  oh_udp_receive_batch (fd, handle_caller_datagram, data);
  return G_SOURCE_CONTINUE;
}

static void
handle_relay_datagram (void *data, uint8_t *bytes, size_t length)
{
  handle_event (data, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_RELAY,
                                                     .datagram = { .bytes = bytes, .length = length } });
}

static gboolean
on_relay_datagram (gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  oh_udp_receive_batch (fd, handle_relay_datagram, data);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_tick (gpointer data)
{
  balancer_t *balancer = data;

  handle_event (balancer, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_TICK });
  if (oh_flow_journal_flush (&balancer->journal))
    oh_segment_balancer_store_all (&balancer->core, &balancer->sink);
  return G_SOURCE_CONTINUE;
}

static void
on_restored (void *data, const oh_flow_key_t *key, oh_address_t owner)
{
  oh_segment_balancer_restore (&((balancer_t *)data)->core, key, owner, oh_clock_now_us (oh_system_clock ()));
}

static void
on_view (const oh_view_t *view, void *data)
{
  oh_zone_drain_log_update (&((balancer_t *)data)->zone_drain_log, view);
  handle_event (data, (oh_segment_balancer_event_t){ .kind = OH_SEGMENT_BALANCER_VIEW, .view = view });
}

static void
fill_poll (Oh__Poll *poll, void *data)
{
  balancer_t *balancer = data;

  oh_address_to_wire (balancer->settings.relay, &balancer->relay_address);
  poll->relay = &balancer->relay_address;
  poll->durable = balancer->settings.data[0] != '\0';
}

static bool
is_ready (void *data)
{
  const balancer_t *balancer = data;

  return !balancer->leaving && oh_segment_balancer_ready (&balancer->core);
}

static gboolean
quit (gpointer data)
{
  g_main_loop_quit (((balancer_t *)data)->loop);
  return G_SOURCE_REMOVE;
}

/* The readiness check fails from now on. Until the fabric notices, it still sends segments here, which are
 * forwarded. */
static gboolean
on_stop_signal (gpointer data)
{
  balancer_t *balancer = data;

  if (balancer->leaving)
    return G_SOURCE_CONTINUE;
  balancer->leaving = true;
  oh_log_info ("leaving", "name=%s forward_ms=%" G_GINT64_FORMAT, balancer->settings.name,
               balancer->settings.leave_ms);
  g_timeout_add ((guint)balancer->settings.leave_ms, quit, balancer);
  return G_SOURCE_CONTINUE;
}

static void
on_settings_changed (void *data)
{
  balancer_t *balancer = data;
  settings_t changed = { 0 };

  oh_daemon_reload_seeds (&balancer->program, &changed, &changed.seeds, &changed.port, balancer->view_client);
}

/* Start and stop. */

static bool
open_sockets (balancer_t *balancer, oh_error_t *error)
{
  balancer->listen_fd = oh_udp_open (balancer->settings.listen, error);
  if (balancer->listen_fd < 0)
    return false;
  balancer->relay_fd = oh_udp_open (balancer->settings.relay, error);
  if (balancer->relay_fd < 0)
    return false;
  g_unix_fd_add (balancer->listen_fd, G_IO_IN, on_caller_datagram, balancer);
  g_unix_fd_add (balancer->relay_fd, G_IO_IN, on_relay_datagram, balancer);
  return true;
}

static bool
start (balancer_t *balancer, oh_error_t *error)
{
  static const oh_view_client_callbacks_t callbacks = { .changed = on_view, .fill_poll = fill_poll };
  const settings_t *settings = &balancer->settings;
  g_autofree char *endpoints
    = oh_daemon_seed_endpoints (balancer->program.settings_path, settings->seeds, settings->port, error);

  if (endpoints == NULL || !open_sockets (balancer, error))
    return false;
  if (settings->admin.port != 0)
    {
      balancer->admin = oh_admin_start (settings->admin, &balancer->counters, error);
      if (balancer->admin == NULL)
        return false;
    }
  if (settings->readiness.port != 0)
    {
      balancer->readiness = oh_readiness_http_start (settings->readiness, is_ready, balancer, error);
      if (balancer->readiness == NULL)
        return false;
    }
  balancer->view_client
    = oh_view_client_start (NULL, settings->name, OH__NODE_ROLE__NODE_BALANCER, settings->zone, endpoints,
                            &balancer->keyring, &callbacks, balancer, error);
  return balancer->view_client != NULL;
}

static void
stop (balancer_t *balancer)
{
  oh_view_client_stop (balancer->view_client);
  oh_readiness_http_stop (balancer->readiness);
  oh_admin_stop (balancer->admin);
  if (balancer->listen_fd >= 0)
    close (balancer->listen_fd);
  if (balancer->relay_fd >= 0)
    close (balancer->relay_fd);
}

static bool
run (void *data, oh_error_t *error)
{
  balancer_t *balancer = data;
  static const oh_segment_balancer_sink_ops_t ops = {
    .send_agent = send_agent,
    .send_caller = send_caller,
    .store = store,
    .log = write_log,
  };
  const settings_t *settings = &balancer->settings;
  const oh_segment_balancer_config_t config = {
    .format = oh_platform_segment_format (),
    .zone = settings->zone,
    .relay = settings->relay,
    .flow_timeout_ms = settings->flow_timeout_s * 1000,
    .max_flows = (unsigned)settings->max_flows,
  };
  bool ok;

  balancer->sink.ops = &ops;
  balancer->listen_fd = -1;
  balancer->relay_fd = -1;
  balancer->loop = g_main_loop_new (NULL, FALSE);
  oh_segment_balancer_init (&balancer->core, &config, &balancer->keyring, oh_system_random ());
  oh_counters_init (&balancer->counters);
  oh_segment_balancer_add_counters (&balancer->core, &balancer->counters);
  oh_flow_journal_init (&balancer->journal, settings->data, on_restored, balancer);
  oh_flow_journal_add_counters (&balancer->journal, &balancer->counters);
  ok = start (balancer, error);
  if (ok)
    {
      g_timeout_add (OH_SEGMENT_TICK_MS, on_tick, balancer);
      g_unix_signal_add (SIGTERM, on_stop_signal, balancer);
      g_unix_signal_add (SIGINT, on_stop_signal, balancer);
      oh_settings_watch_init (&balancer->watch, balancer->program.settings_path, on_settings_changed,
                              balancer);
      oh_log_info ("started", "name=%s zone=%s", settings->name, settings->zone);
      g_main_loop_run (balancer->loop);
      oh_log_info ("stopped", "name=%s", settings->name);
      oh_settings_watch_finish (&balancer->watch);
    }
  stop (balancer);
  oh_flow_journal_finish (&balancer->journal);
  oh_segment_balancer_finish (&balancer->core);
  oh_zone_drain_log_finish (&balancer->zone_drain_log);
  oh_counters_finish (&balancer->counters);
  g_main_loop_unref (balancer->loop);
  return ok;
}

int
main (int argc, char **argv)
{
  static balancer_t balancer;

  balancer.program = (oh_daemon_program_t){
    .doc = "Places and forwards flows of callers without the caller library.",
    .table = setting_table,
    .n_table = G_N_ELEMENTS (setting_table),
    .settings = &balancer.settings,
    .common = { .key_file = &balancer.settings.key_file, .log_level = &balancer.settings.log_level },
    .keyring = &balancer.keyring,
    .run = run,
  };
  return oh_daemon_main (argc, argv, &balancer.program, &balancer);
}
