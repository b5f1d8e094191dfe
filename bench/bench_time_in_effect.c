#include <glib.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "adapters/operator_client.h"
#include "adapters/system_random.h"
#include "adapters/view_client.h"
#include "core/codec.h"

/*
 * Time from the acceptance of a configuration change until the last node has it in effect, and control
 * traffic per idle node. Of the three control processes, the first leader is killed before the changes are
 * made. Nodes are view clients in this process; every third one polls as an agent, the others as balancers.
 */

enum
{
  REPLICAS = 3,
  NODES = 30,
  CHANGES = 200,
  IDLE_S = 10,
  EFFECT_LIMIT_MS = 4000,
  TRAFFIC_LIMIT_BYTES = 8 * 1024, /* per node and second */
};

typedef struct
{
  char name[32];
  bool agent;
  oh_keyring_t keyring;
  oh_view_client_t *client;
  Oh__Address address;
  Oh__Load load;
  Oh__Member member;
  uint64_t version;
} node_t;

typedef struct
{
  GSubprocess *process;
  oh_address_t listen;
  oh_address_t admin;
  char *folder;
  char *settings_path;
} replica_t;

typedef struct
{
  char *folder;
  char *key_path;
  char *endpoints;
  replica_t replicas[REPLICAS];
  node_t nodes[NODES];
  GMainLoop *loop;
  GMutex mutex;                      /* protects in_effect_us and n_in_effect */
  int64_t in_effect_us[CHANGES + 2]; /* by version: time at which the last node received it */
  unsigned n_in_effect[CHANGES + 2]; /* by version: number of nodes that received it */
  int64_t sent_us[CHANGES + 2];
  int64_t accepted_us[CHANGES + 2];
  bool failed;
} bench_t;

static bench_t bench;

/* Returns a loopback address with a free TCP port, which the system picks from the ephemeral range. */
static oh_address_t
find_free_address (void)
{
  g_autoptr (GSocket) socket
    = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GInetAddress) loopback = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (loopback, 0);
  g_autoptr (GSocketAddress) bound = NULL;

  g_assert_true (g_socket_bind (socket, any, FALSE, NULL));
  bound = g_socket_get_local_address (socket, NULL);
  return (oh_address_t){ .ipv4 = 0x7f000001,
                         .port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound)) };
}

static char *
program_path (void)
{
  g_autofree char *self = g_file_read_link ("/proc/self/exe", NULL);
  g_autofree char *folder = g_path_get_dirname (self);

  return g_build_filename (folder, "..", "daemons", "oriole-control", NULL);
}

static void
write_settings (void)
{
  g_autoptr (GString) replica_list = g_string_new ("");
  g_autoptr (GString) endpoints = g_string_new ("");
  uint8_t key[OH_MASTER_KEY_BYTES];
  g_autoptr (GString) hex = g_string_new ("");

  oh_random_fill (oh_system_random (), key, sizeof key);
  for (size_t i = 0; i < sizeof key; i++)
    g_string_append_printf (hex, "%02x", key[i]);
  bench.key_path = g_build_filename (bench.folder, "master.key", NULL);
  g_assert_true (g_file_set_contents (bench.key_path, hex->str, -1, NULL));
  for (unsigned i = 0; i < REPLICAS; i++)
    {
      char text[OH_ADDRESS_TEXT_BYTES];

      bench.replicas[i].listen = find_free_address ();
      bench.replicas[i].admin = find_free_address ();
      oh_address_format (bench.replicas[i].listen, text);
      g_string_append_printf (replica_list, "%sr%u=tcp://%s", i > 0 ? "," : "", i, text);
      g_string_append_printf (endpoints, "%stcp://%s", i > 0 ? "," : "", text);
    }
  bench.endpoints = g_strdup (endpoints->str);
  for (unsigned i = 0; i < REPLICAS; i++)
    {
      replica_t *replica = &bench.replicas[i];
      char listen[OH_ADDRESS_TEXT_BYTES];
      char admin[OH_ADDRESS_TEXT_BYTES];
      g_autofree char *settings = NULL;

      replica->folder = g_strdup_printf ("%s/data-%u", bench.folder, i);
      replica->settings_path = g_strdup_printf ("%s/r%u.ini", bench.folder, i);
      settings = g_strdup_printf (
        "[control]\nname=r%u\nlisten=tcp://%s\nadmin=%s\ndata=%s\nreplicas=%s\n[keys]\nfile=%s\n", i,
        oh_address_format (replica->listen, listen), oh_address_format (replica->admin, admin),
        replica->folder, replica_list->str, bench.key_path);
      g_assert_true (g_file_set_contents (replica->settings_path, settings, -1, NULL));
    }
}

static void
start_replicas (void)
{
  g_autofree char *program = program_path ();

  for (unsigned i = 0; i < REPLICAS; i++)
    bench.replicas[i].process = g_subprocess_new (G_SUBPROCESS_FLAGS_STDERR_SILENCE, NULL, program,
                                                  "--settings", bench.replicas[i].settings_path, NULL);
}

/* Returns a value from the counters page of the replica; 0 if it is absent or the replica does not answer. */
static uint64_t
read_counter (const replica_t *replica, const char *name)
{
  char address[OH_ADDRESS_TEXT_BYTES];
  g_autofree char *uri = g_strdup_printf ("http://%s/counters", oh_address_format (replica->admin, address));
  g_autoptr (SoupSession) session = soup_session_new_with_options ("timeout", 2, NULL);
  g_autoptr (SoupMessage) message = soup_message_new ("GET", uri);
  g_autoptr (GBytes) body = soup_session_send_and_read (session, message, NULL, NULL);
  g_autofree char *prefix = g_strdup_printf ("\n%s ", name);
  g_autofree char *text = NULL;
  const char *found;

  if (body == NULL)
    return 0;
  text
    = g_strdup_printf ("\n%.*s", (int)g_bytes_get_size (body), (const char *)g_bytes_get_data (body, NULL));
  found = strstr (text, prefix);
  return found != NULL ? g_ascii_strtoull (found + strlen (prefix), NULL, 10) : 0;
}

static uint64_t
read_control_bytes (void)
{
  uint64_t bytes = 0;

  for (unsigned i = 0; i < REPLICAS; i++)
    bytes += read_counter (&bench.replicas[i], "sent_bytes")
             + read_counter (&bench.replicas[i], "received_bytes");
  return bytes;
}

/* Returns the average traffic of all replicas over IDLE_S. */
static double
measure_control_bytes_per_second (void)
{
  const uint64_t before = read_control_bytes ();
  const int64_t start_us = g_get_monotonic_time ();

  g_usleep (IDLE_S * G_USEC_PER_SEC);
  return (double)(read_control_bytes () - before) * G_USEC_PER_SEC
         / (double)(g_get_monotonic_time () - start_us);
}

static void
on_changed (const oh_view_t *view, void *data)
{
  node_t *node = data;
  const int64_t now_us = g_get_monotonic_time ();

  if (view->version <= node->version)
    return;
  g_mutex_lock (&bench.mutex);
  for (uint64_t version = node->version + 1; version <= MIN (view->version, CHANGES + 1); version++)
    {
      bench.in_effect_us[version] = now_us;
      bench.n_in_effect[version]++;
    }
  node->version = view->version;
  g_mutex_unlock (&bench.mutex);
}

static void
fill_poll (Oh__Poll *poll, void *data)
{
  node_t *node = data;

  if (node->agent)
    poll->member = &node->member;
  else
    poll->relay = &node->address;
}

static gboolean
start_nodes (gpointer data)
{
  static const oh_view_client_callbacks_t callbacks = { .changed = on_changed, .fill_poll = fill_poll };

  (void)data;
  for (unsigned i = 0; i < NODES; i++)
    {
      node_t *node = &bench.nodes[i];

      g_snprintf (node->name, sizeof node->name, "node-%u", i);
      node->agent = i % 3 == 0;
      g_assert_true (oh_keyring_load (&node->keyring, bench.key_path, NULL));
      oh_address_to_wire ((oh_address_t){ .ipv4 = 0x7f000001, .port = 9 }, &node->address);
      oh__load__init (&node->load);
      oh__member__init (&node->member);
      node->load.upstream = node->name;
      node->load.service = oh_service_id ("kiln-log");
      node->load.incarnation = i + 1;
      node->load.agent = &node->address;
      node->member.load = &node->load;
      node->member.service_name = (char *)"kiln-log";
      node->member.zone = (char *)"plv-a";
      node->member.peer_endpoint = (char *)"tcp://127.0.0.1:9000";
      node->client = oh_view_client_start (
        NULL, node->name, node->agent ? OH__NODE_ROLE__NODE_AGENT : OH__NODE_ROLE__NODE_BALANCER, "plv-a",
        bench.endpoints, &node->keyring, &callbacks, node, NULL);
      g_assert_nonnull (node->client);
    }
  return G_SOURCE_REMOVE;
}

/* Waits until every replica reports that it is confirmed; returns false after 20 s. */
static bool
wait_confirmed (void)
{
  const int64_t until_us = g_get_monotonic_time () + 20 * G_USEC_PER_SEC;

  for (unsigned i = 0; i < REPLICAS; i++)
    while (read_counter (&bench.replicas[i], "confirmed") == 0)
      {
        if (g_get_monotonic_time () > until_us)
          return false;
        g_usleep (50000);
      }
  return true;
}

static void
kill_leader (void)
{
  for (unsigned i = 0; i < REPLICAS; i++)
    if (read_counter (&bench.replicas[i], "leader") != 0)
      {
        g_subprocess_force_exit (bench.replicas[i].process);
        g_subprocess_wait (bench.replicas[i].process, NULL, NULL);
        return;
      }
}

static bool
apply_change (oh_operator_client_t *client, uint64_t base_version)
{
  Oh__Change change = OH__CHANGE__INIT;
  uint8_t id[16];
  g_autofree char *text
    = g_strdup_printf ("[oriolehaven]\nname=foundation\n[service kiln-log]\naddress=127.0.0.1:7000\n"
                       "queue_per_slot=%u\n",
                       (unsigned)(1 + base_version % 60));
  Oh__ChangeReply *reply;
  bool ok;

  oh_random_fill (oh_system_random (), id, sizeof id);
  change.id.data = id;
  change.id.len = sizeof id;
  change.base_version = base_version;
  change.text = text;
  bench.sent_us[base_version + 1] = g_get_monotonic_time ();
  reply = oh_operator_client_change (client, &change, 20000, NULL);
  bench.accepted_us[base_version + 1] = g_get_monotonic_time ();
  ok = reply != NULL && reply->status == OH__CHANGE_STATUS__CHANGE_ACCEPTED
       && reply->version == base_version + 1;
  if (reply != NULL)
    oh__change_reply__free_unpacked (reply, NULL);
  return ok;
}

/* Waits until every node has the version; false after 10 s. */
static bool
wait_in_effect (uint64_t version)
{
  const int64_t until_us = g_get_monotonic_time () + 10 * G_USEC_PER_SEC;

  while (g_get_monotonic_time () < until_us)
    {
      g_mutex_lock (&bench.mutex);
      const bool done = bench.n_in_effect[version] == NODES;
      g_mutex_unlock (&bench.mutex);

      if (done)
        return true;
      g_usleep (1000);
    }
  return false;
}

static int
compare_doubles (const void *a, const void *b)
{
  const double x = *(const double *)a;
  const double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
print_measure (const char *name, double value, const char *unit, double limit)
{
  const bool ok = !bench.failed && value < limit;

  printf ("measure=%s value=%.1f unit=%s baseline=%.0f limit=%.0f bound=%.0f verdict=%s\n", name, value, unit,
          limit, limit, limit, ok ? "pass" : "fail");
  bench.failed |= !ok;
}

static void
print_times (void)
{
  double from_acceptance[CHANGES];
  double from_sending[CHANGES];

  for (unsigned i = 0; i < CHANGES; i++)
    {
      const int64_t effect_us = bench.in_effect_us[i + 1];

      from_acceptance[i] = (double)MAX (effect_us - bench.accepted_us[i + 1], 0) / 1000;
      from_sending[i] = (double)(effect_us - bench.sent_us[i + 1]) / 1000;
    }
  qsort (from_acceptance, CHANGES, sizeof from_acceptance[0], compare_doubles);
  qsort (from_sending, CHANGES, sizeof from_sending[0], compare_doubles);
  print_measure ("in_effect_p50", from_acceptance[CHANGES / 2], "ms", EFFECT_LIMIT_MS);
  print_measure ("in_effect_worst", from_acceptance[CHANGES - 1], "ms", EFFECT_LIMIT_MS);
  print_measure ("in_effect_from_sending_p50", from_sending[CHANGES / 2], "ms", EFFECT_LIMIT_MS);
  print_measure ("in_effect_from_sending_worst", from_sending[CHANGES - 1], "ms", EFFECT_LIMIT_MS);
}

static void
measure (void)
{
  oh_keyring_t keyring;
  oh_operator_client_t *client;
  double without_nodes;
  double with_nodes;

  g_assert_true (oh_keyring_load (&keyring, bench.key_path, NULL));
  if (!wait_confirmed ())
    {
      fprintf (stderr, "the control processes did not form a cluster within 20 s\n");
      bench.failed = true;
      return;
    }
  without_nodes = measure_control_bytes_per_second ();
  g_idle_add (start_nodes, NULL);
  g_usleep (4 * G_USEC_PER_SEC); /* past the first lease duration, in which views list all nodes */
  with_nodes = measure_control_bytes_per_second ();
  print_measure ("control_bytes_per_node", (with_nodes - without_nodes) / NODES, "bytes/s",
                 TRAFFIC_LIMIT_BYTES);
  client = oh_operator_client_open (bench.endpoints, &keyring, NULL);
  kill_leader ();
  for (unsigned i = 0; i < CHANGES && !bench.failed; i++)
    bench.failed = !apply_change (client, i) || !wait_in_effect (i + 1);
  oh_operator_client_close (client);
  print_times ();
}

static gpointer
run_operator (gpointer data)
{
  (void)data;
  measure ();
  g_main_loop_quit (bench.loop);
  return NULL;
}

static void
remove_folder (const char *path)
{
  g_autoptr (GDir) dir = g_dir_open (path, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *child = g_build_filename (path, name, NULL);

      if (g_file_test (child, G_FILE_TEST_IS_DIR))
        remove_folder (child);
      else
        g_unlink (child);
    }
  g_rmdir (path);
}

int
main (void)
{
  GThread *thread;

  setlinebuf (stdout);
  bench.folder = g_dir_make_tmp ("oh-bench-XXXXXX", NULL);
  bench.loop = g_main_loop_new (NULL, FALSE);
  g_mutex_init (&bench.mutex);
  write_settings ();
  start_replicas ();
  thread = g_thread_new ("operator", run_operator, NULL);
  g_main_loop_run (bench.loop);
  g_thread_join (thread);
  for (unsigned i = 0; i < NODES; i++)
    oh_view_client_stop (bench.nodes[i].client);
  for (unsigned i = 0; i < REPLICAS; i++)
    {
      g_subprocess_send_signal (bench.replicas[i].process, SIGTERM);
      g_subprocess_wait (bench.replicas[i].process, NULL, NULL);
      g_object_unref (bench.replicas[i].process);
      g_free (bench.replicas[i].folder);
      g_free (bench.replicas[i].settings_path);
    }
  remove_folder (bench.folder);
  g_free (bench.folder);
  g_free (bench.key_path);
  g_free (bench.endpoints);
  g_main_loop_unref (bench.loop);
  return bench.failed ? 1 : 0;
}
