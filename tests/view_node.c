#include <argp.h>
#include <glib-unix.h>
#include <stdio.h>
#include <string.h>

#include "adapters/view_client.h"
#include "core/codec.h"

/* Node for process tests: polls the control replicas and prints a line for each change of its view. */

typedef struct
{
  const char *name;
  const char *key_file;
  const char *replicas;
  bool agent;
  oh_view_client_t *client;
  Oh__Address address;
  Oh__Load load;
  Oh__Member member;
} node_t;

static error_t
parse_argument (int key, char *value, struct argp_state *state)
{
  node_t *node = state->input;

  switch (key)
    {
    case 'n':
      node->name = value;
      return 0;
    case 'k':
      node->key_file = value;
      return 0;
    case 'r':
      node->replicas = value;
      return 0;
    case 'a':
      node->agent = true;
      return 0;
    case ARGP_KEY_END:
      if (node->name == NULL || node->key_file == NULL || node->replicas == NULL)
        argp_error (state, "--name, --key-file and --replicas are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
on_changed (const oh_view_t *view, void *data)
{
  g_autoptr (GString) members = g_string_new ("");

  (void)data;
  for (guint i = 0; i < view->members->len; i++)
    {
      const oh_view_member_t *member = g_ptr_array_index (view->members, i);

      g_string_append_printf (members, "%s%s%s", i > 0 ? "," : "", member->name,
                              member->drained ? ":drained" : "");
    }
  printf ("version=%" G_GUINT64_FORMAT " confirmed=%d generation=%u services=%u balancers=%u members=%s\n",
          view->version, view->confirmed, view->key_generation,
          view->config.services != NULL ? view->config.services->len : 0, view->balancers->len, members->str);
  fflush (stdout);
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
on_stop_signal (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_CONTINUE;
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "name", 'n', "NAME", 0, "Name of the node", 0 },
    { "key-file", 'k', "FILE", 0, "Master key", 0 },
    { "replicas", 'r', "LIST", 0, "Endpoints of the control replicas", 0 },
    { "agent", 'a', NULL, 0, "Announce an upstream instead of a balancer", 0 },
    { 0 },
  };
  static const struct argp argp = { options, parse_argument, NULL, "Node for tests.", NULL, NULL, NULL };
  static const oh_view_client_callbacks_t callbacks = { .changed = on_changed, .fill_poll = fill_poll };
  node_t node = { 0 };
  oh_keyring_t keyring;
  oh_error_t error;
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);

  argp_parse (&argp, argc, argv, 0, NULL, &node);
  oh__load__init (&node.load);
  oh__member__init (&node.member);
  oh_address_to_wire ((oh_address_t){ .ipv4 = 0x7f000001, .port = 9 }, &node.address);
  node.load.upstream = (char *)node.name;
  node.load.service = oh_service_id ("kiln-log");
  node.load.incarnation = g_random_int ();
  node.load.agent = &node.address;
  node.member.load = &node.load;
  node.member.service_name = (char *)"kiln-log";
  node.member.zone = (char *)"plv-a";
  if (!oh_keyring_load (&keyring, node.key_file, &error))
    {
      g_printerr ("%s\n", error.message);
      return 2;
    }
  node.client = oh_view_client_start (NULL, node.name,
                                      node.agent ? OH__NODE_ROLE__NODE_AGENT : OH__NODE_ROLE__NODE_BALANCER,
                                      "plv-a", node.replicas, &keyring, &callbacks, &node, &error);
  if (node.client == NULL)
    {
      g_printerr ("%s\n", error.message);
      return 1;
    }
  g_unix_signal_add (SIGTERM, on_stop_signal, loop);
  g_main_loop_run (loop);
  oh_view_client_stop (node.client);
  return 0;
}
