#define OH_LOG_MODULE "balancer"

#include <argp.h>
#include <glib-unix.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "adapters/admin.h"
#include "adapters/daemon.h"
#include "adapters/packet_loop.h"
#include "adapters/system_clock.h"
#include "adapters/system_random.h"
#include "adapters/view_client.h"
#include "adapters/zone_drain_log.h"
#include "base/log.h"

/*
 * Balancer daemon. A thread of its own runs the state machine of core/balancer_core.h and forwards datagrams
 * (see adapters/packet_loop.h). The main loop polls the control replicas and posts their views to that
 * thread.
 */

enum
{
  LEAVE_GRACE_MS = 1000, /* from SIGTERM to the exit; datagrams that the fabric still sends are forwarded */
};

const char *argp_program_version = "oriole-balancer 0.1.0";

typedef struct
{
  char *name;
  char *zone;
  oh_address_t listen; /* where the fabric sends the datagrams of callers */
  oh_address_t relay;  /* where agents send datagrams */
  oh_address_t admin;
  char *replicas; /* tcp://IPV4:PORT,... */
  char *key_file;
  char *log_level;
} settings_t;

static const oh_setting_t setting_table[] = {
  { "balancer", "name", OH_SETTING_STRING, offsetof (settings_t, name), true, NULL, 0, 0 },
  { "balancer", "zone", OH_SETTING_STRING, offsetof (settings_t, zone), true, NULL, 0, 0 },
  { "balancer", "listen", OH_SETTING_ADDRESS, offsetof (settings_t, listen), true, NULL, 0, 0 },
  { "balancer", "relay", OH_SETTING_ADDRESS, offsetof (settings_t, relay), true, NULL, 0, 0 },
  { "balancer", "admin", OH_SETTING_ADDRESS, offsetof (settings_t, admin), true, NULL, 0, 0 },
  { "control", "replicas", OH_SETTING_STRING, offsetof (settings_t, replicas), true, NULL, 0, 0 },
  { "keys", "file", OH_SETTING_STRING, offsetof (settings_t, key_file), true, NULL, 0, 0 },
  { "log", "level", OH_SETTING_STRING, offsetof (settings_t, log_level), false, "info", 0, 0 },
};

typedef struct
{
  settings_t settings;
  oh_keyring_t keyring; /* of the view client; the core has its own copy */
  oh_counters_t counters;
  oh_balancer_core_t core;
  oh_packet_loop_t packet_loop;
  oh_view_client_t *view_client;
  oh_zone_drain_log_t zone_drain_log;
  Oh__Address relay_address; /* content of the last poll */
  GMainLoop *loop;
  bool leaving; /* a stop signal was received */
  oh_daemon_program_t program;
} balancer_t;

static void
on_view (const oh_view_t *view, void *data)
{
  balancer_t *balancer = data;

  oh_zone_drain_log_update (&balancer->zone_drain_log, view);
  if (!balancer->leaving)
    oh_packet_loop_post_view (&balancer->packet_loop, oh_placement_view_new (view));
}

static void
fill_poll (Oh__Poll *poll, void *data)
{
  balancer_t *balancer = data;

  oh_address_to_wire (oh_packet_loop_relay_address (&balancer->packet_loop), &balancer->relay_address);
  poll->relay = &balancer->relay_address;
}

static gboolean
quit (gpointer data)
{
  g_main_loop_quit (((balancer_t *)data)->loop);
  return G_SOURCE_REMOVE;
}

static gboolean
on_stop_signal (gpointer data)
{
  balancer_t *balancer = data;

  if (balancer->leaving)
    return G_SOURCE_CONTINUE;
  balancer->leaving = true;
  oh_log_info ("leaving", "name=%s forward_ms=%d", balancer->settings.name, LEAVE_GRACE_MS);
  oh_view_client_stop (balancer->view_client);
  balancer->view_client = NULL;
  g_timeout_add (LEAVE_GRACE_MS, quit, balancer);
  return G_SOURCE_CONTINUE;
}

static bool
serve (balancer_t *balancer, oh_error_t *error)
{
  static const oh_view_client_callbacks_t callbacks = { .changed = on_view, .fill_poll = fill_poll };
  const settings_t *settings = &balancer->settings;
  oh_admin_t *admin = NULL;
  char listen_text[OH_ADDRESS_TEXT_BYTES];
  char relay_text[OH_ADDRESS_TEXT_BYTES];

  admin = oh_admin_start (settings->admin, &balancer->counters, error);
  if (admin == NULL)
    return false;
  oh_packet_loop_start (&balancer->packet_loop, &balancer->core);
  balancer->view_client
    = oh_view_client_start (NULL, settings->name, OH__NODE_ROLE__NODE_BALANCER, settings->zone,
                            settings->replicas, &balancer->keyring, &callbacks, balancer, error);
  if (balancer->view_client == NULL)
    {
      oh_admin_stop (admin);
      return false;
    }
  g_unix_signal_add (SIGTERM, on_stop_signal, balancer);
  g_unix_signal_add (SIGINT, on_stop_signal, balancer);
  oh_log_info ("started", "name=%s zone=%s listen=%s relay=%s", settings->name, settings->zone,
               oh_address_format (oh_packet_loop_listen_address (&balancer->packet_loop), listen_text),
               oh_address_format (oh_packet_loop_relay_address (&balancer->packet_loop), relay_text));
  g_main_loop_run (balancer->loop);
  oh_admin_stop (admin);
  return true;
}

static bool
run (void *data, oh_error_t *error)
{
  balancer_t *balancer = data;
  const settings_t *settings = &balancer->settings;
  bool ok;

  if (!oh_packet_loop_init (&balancer->packet_loop, settings->listen, settings->relay, oh_system_clock (),
                            error))
    return false;
  balancer->loop = g_main_loop_new (NULL, FALSE);
  oh_balancer_core_init (&balancer->core, settings->zone,
                         oh_packet_loop_relay_address (&balancer->packet_loop), &balancer->keyring,
                         oh_system_random (), balancer->program.level);
  oh_counters_init (&balancer->counters);
  oh_packet_loop_add_counters (&balancer->packet_loop, &balancer->counters);
  oh_balancer_core_add_counters (&balancer->core, &balancer->counters);
  ok = serve (balancer, error);
  oh_packet_loop_finish (&balancer->packet_loop);
  oh_balancer_core_finish (&balancer->core);
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
    .doc = "Forwards datagrams of callers to the agents that own their flows, and places new flows.",
    .table = setting_table,
    .n_table = G_N_ELEMENTS (setting_table),
    .settings = &balancer.settings,
    .common = { .key_file = &balancer.settings.key_file,
                .log_level = &balancer.settings.log_level,
                .replicas = &balancer.settings.replicas },
    .keyring = &balancer.keyring,
    .run = run,
  };

  return oh_daemon_main (argc, argv, &balancer.program, &balancer);
}
