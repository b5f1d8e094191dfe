#include <argp.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "adapters/link.h"
#include "core/codec.h"

/*
 * Load generator for scripts/measure-capacity, which measures the cost per node of a control replica for
 * docs/CAPACITY.md. Simulates agents that poll one control replica once a second, each over its own
 * connection. Prints the number of views received and exits. Views with epoch 0, which the replica sends in
 * the first lease duration after its start, are not counted.
 */

typedef struct
{
  oh_link_t *link;
  oh_keyring_t *keyring;
  uint64_t *n_replies;
  uint64_t epoch;
  uint64_t sequence;
  uint32_t index;
} node_t;

typedef struct
{
  const char *endpoint;
  const char *key_file;
  unsigned nodes;
  unsigned seconds;
} options_t;

static void
handle_message (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length, void *data)
{
  node_t *node = data;
  Oh__Control *message = oh_control_decode (node->keyring, OH_KEY_CONTROL, bytes, length, NULL);

  if (message == NULL)
    return;
  if (message->body_case == OH__CONTROL__BODY_VIEW && message->view->replica_epoch != 0)
    {
      node->epoch = message->view->replica_epoch;
      node->sequence = message->view->sequence;
      ++*node->n_replies;
    }
  oh__control__free_unpacked (message, NULL);
}

static gboolean
poll_replica (gpointer data)
{
  node_t *node = data;
  char name[32];
  char service[32];
  char endpoint[40];
  Oh__Address agent;
  Oh__Load load = OH__LOAD__INIT;
  Oh__Member member = OH__MEMBER__INIT;
  Oh__Poll poll = OH__POLL__INIT;
  Oh__Control message = OH__CONTROL__INIT;
  g_autofree uint8_t *bytes = NULL;
  size_t length;

  g_snprintf (service, sizeof service, "service-%05u", node->index / 3);
  g_snprintf (name, sizeof name, "service-%05u-%u", node->index / 3, node->index % 3);
  g_snprintf (endpoint, sizeof endpoint, "tcp://10.0.%u.%u:7301", node->index >> 8, node->index & 0xff);
  oh_address_to_wire ((oh_address_t){ .ipv4 = 0x0a000000 + node->index, .port = 7300 }, &agent);
  load.upstream = name;
  load.service = oh_service_id (service);
  load.incarnation = node->index + 1;
  load.sequence = 1;
  load.slots = 4;
  load.max_flows = 2000;
  load.agent = &agent;
  member.load = &load;
  member.service_name = service;
  member.zone = (char *)"plv-a";
  member.peer_endpoint = endpoint;
  poll.name = name;
  poll.role = OH__NODE_ROLE__NODE_AGENT;
  poll.zone = (char *)"plv-a";
  poll.replica_epoch = node->epoch;
  poll.sequence = node->sequence;
  poll.member = &member;
  message.sender = name;
  message.body_case = OH__CONTROL__BODY_POLL;
  message.poll = &poll;
  bytes = oh_control_encode (&message, node->keyring, OH_KEY_CONTROL, &length);
  oh_link_send (node->link, NULL, bytes, length);
  return G_SOURCE_CONTINUE;
}

static gboolean
quit (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  options_t *options = state->input;

  switch (key)
    {
    case 'e':
      options->endpoint = argument;
      return 0;
    case 'k':
      options->key_file = argument;
      return 0;
    case 'n':
      options->nodes = (unsigned)strtoul (argument, NULL, 10);
      return 0;
    case 's':
      options->seconds = (unsigned)strtoul (argument, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option entries[] = {
    { "endpoint", 'e', "ENDPOINT", 0, "Control replica", 0 },
    { "keys", 'k', "FILE", 0, "Master key file", 0 },
    { "nodes", 'n', "N", 0, "Number of nodes", 0 },
    { "seconds", 's', "S", 0, "Time to run", 0 },
    { 0 },
  };
  static const struct argp argp = { .options = entries, .parser = parse_option };
  options_t options = { .nodes = 100, .seconds = 10 };
  oh_error_t error = { 0 };
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autofree node_t *nodes = NULL;
  uint64_t n_replies = 0;
  oh_keyring_t keyring;

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  if (options.endpoint == NULL || options.key_file == NULL || options.nodes == 0
      || !oh_keyring_load (&keyring, options.key_file, &error))
    {
      fprintf (stderr, "capacity_nodes: %s\n", error.code != 0 ? error.message : "see --help");
      return 2;
    }
  nodes = g_new0 (node_t, options.nodes);
  for (unsigned i = 0; i < options.nodes; i++)
    {
      nodes[i] = (node_t){ .keyring = &keyring, .n_replies = &n_replies, .index = i };
      nodes[i].link = oh_link_connect (NULL, options.endpoint, handle_message, &nodes[i], &error);
      if (nodes[i].link == NULL)
        {
          fprintf (stderr, "capacity_nodes: %s\n", error.message);
          return 1;
        }
      g_timeout_add (1000, poll_replica, &nodes[i]);
    }
  g_timeout_add_seconds (options.seconds, quit, loop);
  g_main_loop_run (loop);
  printf ("replies=%" G_GUINT64_FORMAT "\n", n_replies);
  for (unsigned i = 0; i < options.nodes; i++)
    oh_link_close (nodes[i].link);
  oh_keyring_finish (&keyring);
  return 0;
}
