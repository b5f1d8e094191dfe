#include <glib.h>
#include <string.h>

#include "base/seeded_random.h"
#include "core/codec.h"
#include "core/control_core.h"
#include "core/list_reader.h"
#include "core/replica_poll.h"
#include "core/view.h"

/* Tests of the views that a control replica sends to many nodes: one replica, and the part of a node that
 * reads its views. A control replica without a leader answers polls all the same. */

enum
{
  BALANCERS = 96,
  AGENTS = 204,
  NODES = BALANCERS + AGENTS,
  MS = 1000,
  SECOND = G_USEC_PER_SEC,
  TICK_US = OH_CONTROL_TICK_US,
  POLL_US = SECOND,
  START_US = 300 * MS, /* within which all nodes start */
  /* Encoded entries of the names and zones used here, with their field headers. */
  MEMBER_BYTES = 110,
  BALANCER_BYTES = 45,
  VIEW_BYTES = 160, /* of a view without entries */
};

typedef struct
{
  char name[32];
  char route[32];
  bool agent;
  bool increments; /* false: of an earlier release */
  bool away;       /* does not poll */
  Oh__Address address;
  Oh__Load load;
  Oh__Member member;
  oh_list_reader_t reader;
  oh_view_t view;
  int64_t poll_due_us;
  oh_replica_poll_t poll;
  uint64_t bytes;           /* of the views that it was sent */
  unsigned n_service_views; /* of them those with services */
} node_t;

typedef struct
{
  oh_control_sink_t sink; /* first member */
  oh_control_core_t core;
  oh_recovered_state_t recovered;
  oh_seeded_random_t random;
  int64_t now_us;
  uint64_t epoch;
  unsigned loss_percent;
  bool fast_polls; /* as of nodes without a confirmed view, which they never get here */
  unsigned polls;
  node_t nodes[NODES];
} fleet_t;

static fleet_t *
fleet_of (oh_control_sink_t *sink)
{
  return (fleet_t *)sink;
}

static node_t *
find_node (fleet_t *fleet, GBytes *route)
{
  for (unsigned i = 0; i < NODES; i++)
    if (strcmp (fleet->nodes[i].route, g_bytes_get_data (route, NULL)) == 0)
      return &fleet->nodes[i];
  return NULL;
}

static void
on_reply (oh_control_sink_t *sink, GBytes *route, oh_key_purpose_t purpose, const Oh__Control *message)
{
  fleet_t *fleet = fleet_of (sink);
  node_t *node = find_node (fleet, route);

  if (node == NULL || message->body_case != OH__CONTROL__BODY_VIEW)
    return;
  node->bytes += oh__control__get_packed_size (message);
  node->n_service_views += message->view->has_services;
  if (node->away || oh_random_below (&fleet->random.base, 100) < fleet->loss_percent)
    return;
  oh_replica_poll_answered (&node->poll, fleet->now_us);
  if (oh_list_reader_accept (&node->reader, message->view))
    oh_view_merge (&node->view, 0, message->view);
  else
    node->poll_due_us = MIN (node->poll_due_us, fleet->now_us + 50 * MS);
}

static void
on_send_replica (oh_control_sink_t *sink, const char *endpoint, const Oh__Control *message)
{
}

static void
on_persist (oh_control_sink_t *sink, oh_persist_request_t *request)
{
  oh_persist_request_free (request);
}

static void
on_arm_timer (oh_control_sink_t *sink, int64_t due_us)
{
}

static void
on_advance_keys (oh_control_sink_t *sink, uint32_t generation)
{
}

static void
on_rejected (oh_control_sink_t *sink, const char *sender, const char *reason)
{
  g_error ("message of %s rejected: %s", sender, reason);
}

static void
on_log (oh_control_sink_t *sink, const char *event, const char *pairs)
{
}

static void
on_failed (oh_control_sink_t *sink, const char *reason)
{
  g_error ("replica failed: %s", reason);
}

static void
start_replica (fleet_t *fleet)
{
  static const oh_control_sink_ops_t ops = {
    .reply = on_reply,
    .send_replica = on_send_replica,
    .persist = on_persist,
    .arm_timer = on_arm_timer,
    .advance_keys = on_advance_keys,
    .rejected = on_rejected,
    .log = on_log,
    .failed = on_failed,
  };
  oh_control_event_t start = { .kind = OH_CONTROL_START, .now_us = fleet->now_us };

  fleet->sink.ops = &ops;
  fleet->recovered = (oh_recovered_state_t){
    .name = g_strdup ("c"),
    .id = 1,
    .entries = g_ptr_array_new_with_free_func (oh_entry_free),
  };
  oh_control_core_init (&fleet->core, "c", ++fleet->epoch, &fleet->random.base, fleet->now_us);
  start.start.recovered = &fleet->recovered;
  start.start.endpoint = "tcp://c";
  start.start.join = true;
  oh_control_core_handle (&fleet->core, &start, &fleet->sink);
}

static void
stop_replica (fleet_t *fleet)
{
  oh_control_core_finish (&fleet->core);
  oh_recovered_state_clear (&fleet->recovered);
}

/* A new connection: the replica gets the polls on another route. */
static void
connect_node (fleet_t *fleet, node_t *node)
{
  g_snprintf (node->route, sizeof node->route, "%s/%08x", node->name,
              (unsigned)oh_random_below (&fleet->random.base, G_MAXUINT32));
}

static void
restart_replica (fleet_t *fleet)
{
  stop_replica (fleet);
  start_replica (fleet);
  for (unsigned i = 0; i < NODES; i++)
    connect_node (fleet, &fleet->nodes[i]);
}

static void
poll_replica (fleet_t *fleet, node_t *node)
{
  Oh__Control message = OH__CONTROL__INIT;
  Oh__Poll poll = OH__POLL__INIT;
  g_autoptr (GBytes) route = g_bytes_new (node->route, sizeof node->route);
  oh_control_event_t event = {
    .kind = OH_CONTROL_SYSTEM_MESSAGE,
    .now_us = fleet->now_us,
    .message = { .route = route, .message = &message },
  };

  node->poll_due_us = fleet->now_us + POLL_US;
  oh_replica_poll_sent (&node->poll, fleet->now_us);
  fleet->polls++;
  oh_list_reader_fill_poll (&node->reader, &poll);
  poll.increments = node->increments;
  poll.name = node->name;
  poll.zone = (char *)"plv-a";
  poll.version_in_force = node->view.version;
  poll.role = node->agent ? OH__NODE_ROLE__NODE_AGENT : OH__NODE_ROLE__NODE_BALANCER;
  poll.without_text = node->agent;
  poll.without_members = node->agent;
  poll.services_digest = node->view.services.digest;
  if (node->agent)
    poll.member = &node->member;
  else
    poll.relay = &node->address;
  message.sender = node->name;
  message.body_case = OH__CONTROL__BODY_POLL;
  message.poll = &poll;
  oh_control_core_handle (&fleet->core, &event, &fleet->sink);
}

static void
init_node (fleet_t *fleet, unsigned i)
{
  node_t *node = &fleet->nodes[i];

  node->agent = i >= BALANCERS;
  node->increments = true;
  g_snprintf (node->name, sizeof node->name, "%s-plv-a-%u", node->agent ? "side" : "front", i);
  connect_node (fleet, node);
  oh_view_init (&node->view);
  node->poll_due_us = fleet->now_us + (int64_t)oh_random_below (&fleet->random.base, START_US);
  oh__load__init (&node->load);
  oh__member__init (&node->member);
  oh_address_to_wire ((oh_address_t){ .ipv4 = 0x0a000000 + i, .port = 8172 }, &node->address);
  node->load.upstream = node->name;
  node->load.service = oh_service_id ("kiln-log");
  node->load.incarnation = oh_random_u64 (&fleet->random.base);
  node->load.slots = 2;
  node->load.max_flows = 2000;
  node->load.agent = &node->address;
  node->member.load = &node->load;
  node->member.service_name = (char *)"kiln-log";
  node->member.zone = (char *)"plv-a";
}

static fleet_t *
fleet_new (uint32_t seed)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);

  fleet->now_us = 10 * SECOND;
  oh_seeded_random_init (&fleet->random, seed);
  for (unsigned i = 0; i < NODES; i++)
    init_node (fleet, i);
  start_replica (fleet);
  return fleet;
}

static void
fleet_free (fleet_t *fleet)
{
  stop_replica (fleet);
  for (unsigned i = 0; i < NODES; i++)
    oh_view_finish (&fleet->nodes[i].view);
  oh_seeded_random_finish (&fleet->random);
  g_free (fleet);
}

static bool
is_poll_due (const fleet_t *fleet, const node_t *node)
{
  if (node->away)
    return false;
  return node->poll_due_us <= fleet->now_us
         || (fleet->fast_polls && node->poll.sent_us != 0
             && oh_replica_poll_is_due (&node->poll, node->view.confirmed,
                                        node->view.members->len + node->view.balancers->len, fleet->now_us));
}

static void
run_for (fleet_t *fleet, int64_t duration_us)
{
  for (int64_t end_us = fleet->now_us + duration_us; fleet->now_us < end_us;)
    {
      oh_control_event_t tick = { .kind = OH_CONTROL_TICK };

      fleet->now_us += 10 * MS;
      for (unsigned i = 0; i < NODES; i++)
        if (is_poll_due (fleet, &fleet->nodes[i]))
          poll_replica (fleet, &fleet->nodes[i]);
      tick.now_us = fleet->now_us;
      if (fleet->now_us % TICK_US == 0)
        oh_control_core_handle (&fleet->core, &tick, &fleet->sink);
    }
}

/* Every node lists the nodes that poll, and no others. Agents of this release list no upstreams. */
static void
check_lists (const fleet_t *fleet)
{
  unsigned balancers = 0;
  unsigned agents = 0;

  for (unsigned i = 0; i < NODES; i++)
    {
      balancers += !fleet->nodes[i].agent && !fleet->nodes[i].away;
      agents += fleet->nodes[i].agent && !fleet->nodes[i].away;
    }
  for (unsigned i = 0; i < NODES; i++)
    {
      const node_t *node = &fleet->nodes[i];

      if (node->away)
        continue;
      g_assert_cmpuint (node->view.balancers->len, ==, balancers);
      g_assert_cmpuint (node->view.members->len, ==, node->agent ? 0 : agents);
    }
}

static uint64_t
take_bytes (fleet_t *fleet)
{
  uint64_t bytes = 0;

  for (unsigned i = 0; i < NODES; i++)
    {
      bytes += fleet->nodes[i].bytes;
      fleet->nodes[i].bytes = 0;
    }
  return bytes;
}

/* Guards against a mass start whose bytes grow with each announcement: the whole list for each node at each
 * tick and each poll. Each node needs each entry once. */
static void
test_mass_start (void)
{
  const uint64_t lists = (uint64_t)BALANCERS * (AGENTS * MEMBER_BYTES + BALANCERS * BALANCER_BYTES)
                         + (uint64_t)AGENTS * BALANCERS * BALANCER_BYTES;
  fleet_t *fleet = fleet_new (1);
  uint64_t bytes;

  run_for (fleet, 6 * SECOND);
  check_lists (fleet);
  bytes = take_bytes (fleet);
  g_test_message ("start: %" G_GUINT64_FORMAT " bytes, lists %" G_GUINT64_FORMAT, bytes, lists);
  /* Ten views for each node while the others start, then one a second. */
  g_assert_cmpuint (bytes, <=, lists + (uint64_t)NODES * VIEW_BYTES * (10 + 6));
  run_for (fleet, 10 * SECOND);
  bytes = take_bytes (fleet);
  g_test_message ("calm: %" G_GUINT64_FORMAT " bytes in 10 s", bytes);
  g_assert_cmpuint (bytes, <=, (uint64_t)NODES * VIEW_BYTES * 11);
  fleet_free (fleet);
}

/* Guards against nodes that flood a replica while there is no confirmed view: with polls, or with lists that
 * are sent again for each of them. */
static void
test_unconfirmed_start (void)
{
  const uint64_t lists = (uint64_t)BALANCERS * (AGENTS * MEMBER_BYTES + BALANCERS * BALANCER_BYTES)
                         + (uint64_t)AGENTS * BALANCERS * BALANCER_BYTES;
  fleet_t *fleet = fleet_new (4);

  fleet->fast_polls = true;
  run_for (fleet, 6 * SECOND);
  check_lists (fleet);
  g_test_message ("%u polls in 6 s", fleet->polls);
  g_assert_cmpuint (fleet->polls, <=, NODES * (6 + 13));
  g_assert_cmpuint (take_bytes (fleet), <=, lists + (uint64_t)NODES * VIEW_BYTES * (10 + 6 + 13));
  fleet->polls = 0;
  run_for (fleet, 10 * SECOND);
  g_assert_cmpuint (fleet->polls, <=, NODES * 11);
  g_assert_cmpuint (take_bytes (fleet), <=, (uint64_t)NODES * VIEW_BYTES * 11);
  fleet_free (fleet);
}

/* Guards against a restarted replica that sends every list again, and against entries of its former run that
 * stay listed for ever. */
static void
test_replica_restarted (void)
{
  fleet_t *fleet = fleet_new (2);

  run_for (fleet, 6 * SECOND);
  check_lists (fleet);
  for (unsigned i = 0; i < NODES; i += 10)
    fleet->nodes[i].away = true;
  restart_replica (fleet);
  run_for (fleet, 2 * SECOND);
  /* Nodes that have not polled the replica yet stay listed: they may not have had time to. */
  g_assert_cmpuint (fleet->nodes[1].view.members->len, ==, AGENTS);
  run_for (fleet, 4 * SECOND);
  check_lists (fleet);
  fleet_free (fleet);
}

/* Guards against changes that a node misses for ever: views that are lost, a connection that is replaced, a
 * node that comes back after a pause, one that was restarted. */
static void
test_lost_views (void)
{
  for (uint32_t seed = 10; seed < 16; seed++)
    {
      fleet_t *fleet = fleet_new (seed);

      fleet->loss_percent = 20;
      run_for (fleet, 3 * SECOND);
      for (unsigned round = 0; round < 6; round++)
        {
          node_t *node = &fleet->nodes[oh_random_below (&fleet->random.base, NODES)];
          node_t *other = &fleet->nodes[oh_random_below (&fleet->random.base, NODES)];

          node->away = !node->away;
          connect_node (fleet, other);
          other->load.state = OH__UPSTREAM_STATE__UPSTREAM_DRAINING;
          run_for (fleet, 500 * MS);
        }
      if (seed % 2 == 0)
        restart_replica (fleet);
      fleet->loss_percent = 0;
      run_for (fleet, 8 * SECOND);
      check_lists (fleet);
      fleet_free (fleet);
    }
}

/* Guards against nodes of the former release that lose entries, or keep former ones, when the replica is of
 * this release. */
static void
test_former_nodes (void)
{
  fleet_t *fleet = fleet_new (3);

  for (unsigned i = 0; i < BALANCERS; i += 2)
    fleet->nodes[i].increments = false;
  run_for (fleet, 6 * SECOND);
  check_lists (fleet);
  for (unsigned i = 0; i < NODES; i += 10)
    fleet->nodes[i].away = true;
  restart_replica (fleet);
  run_for (fleet, 8 * SECOND);
  check_lists (fleet);
  fleet_free (fleet);
}

static void
set_text (fleet_t *fleet, const char *text)
{
  g_free (fleet->core.state.text);
  fleet->core.state.text = g_strdup (text);
  fleet->core.state.version++;
  fleet->core.state.text_version = fleet->core.state.version;
}

/* Guards against agents that keep to a limit of warming upstreams that was changed or removed, and against
 * services that are sent again with each view. */
static void
test_warmups (void)
{
  static const struct
  {
    const char *key;
    uint32_t milli_per_s;
  } steps[] = {
    { "", 0 },
    { "warmup_per_s=12.5\n", 12500 },
    { "warmup_per_s=12.500\n", 12500 },
    { "warmup_per_s=7\n", 7000 },
    { "warmup_per_s=0\n", 0 },
  };
  const uint64_t kiln = oh_service_id ("kiln-log");
  fleet_t *fleet = fleet_new (4);
  const node_t *agent = &fleet->nodes[BALANCERS];

  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      g_autofree char *text
        = g_strdup_printf ("[oriolehaven]\nname=foundation\n[service kiln-log]\naddress=127.0.0.1:7000\n%s"
                           "[service other]\naddress=127.0.0.1:7001\n",
                           steps[i].key);
      unsigned n_service_views;

      set_text (fleet, text);
      run_for (fleet, 3 * SECOND);
      n_service_views = agent->n_service_views;
      run_for (fleet, 3 * SECOND);
      g_assert_cmpuint (oh_service_set_warmup (&agent->view.services, kiln), ==, steps[i].milli_per_s);
      g_assert_cmpuint (oh_service_set_warmup (&agent->view.services, oh_service_id ("other")), ==, 0);
      g_assert_true (oh_service_set_contains (&agent->view.services, kiln));
      g_assert_cmpuint (agent->n_service_views, ==, n_service_views);
    }
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-views/mass-start", test_mass_start);
  g_test_add_func ("/control-views/unconfirmed-start", test_unconfirmed_start);
  g_test_add_func ("/control-views/replica-restarted", test_replica_restarted);
  g_test_add_func ("/control-views/lost-views", test_lost_views);
  g_test_add_func ("/control-views/former-nodes", test_former_nodes);
  g_test_add_func ("/control-views/warmups", test_warmups);
  return g_test_run ();
}
