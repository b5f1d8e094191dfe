#include <glib.h>
#include <string.h>

#include "base/seeded_random.h"
#include "core/codec.h"
#include "core/control_core.h"
#include "core/list_reader.h"
#include "core/replica_poll.h"
#include "core/view.h"

/*
 * Tests of the time from the restart of all processes to the first confirmed view at each node, on a
 * simulated clock and network: three voters, an observer, and nodes whose settings name the observer and the
 * first voter. As with the links of the daemons, a message to a replica is dropped while there is no
 * connection, and the first message starts to connect.
 */

enum
{
  VOTERS = 3,
  REPLICAS = 4, /* the last is an observer */
  NODES = 12,
  ACTORS = REPLICAS + NODES,
  MS = 1000,
  SECOND = G_USEC_PER_SEC,
  STEP_US = 500,
  START_US = 20 * MS,     /* within which all processes start */
  DELAY_US = 2 * MS,      /* greatest delay of a message */
  CONNECT_US = 3 * MS,    /* for an accepted connection */
  RECONNECT_US = 50 * MS, /* as lib/adapters/link.c */
  NODE_TICK_US = 50 * MS, /* as lib/adapters/view_client.c */
  NODE_POLL_US = SECOND,  /* likewise */
  SEEDS = 200,
  PERCENT = 100,
};

typedef struct
{
  int64_t due_us;
  unsigned from;
  unsigned to;
  bool to_node;
  GBytes *bytes;
} message_t;

typedef struct
{
  oh_control_sink_t sink; /* first member */
  unsigned number;
  oh_control_core_t core;
  oh_recovered_state_t disk;
  oh_persist_request_t *request; /* outstanding; NULL: none */
  int64_t request_due_us;
  int64_t timer_us;
  int64_t tick_us;
  int64_t start_us; /* when it starts, or has started */
  bool alive;
} replica_t;

typedef struct
{
  unsigned number;
  oh_view_t view;
  bool polled[REPLICAS];
  bool poll_unsent[REPLICAS];
  oh_replica_poll_t polls[REPLICAS];
  oh_list_reader_t readers[REPLICAS];
  int64_t start_us;
  int64_t tick_us;
  unsigned ticks;
  int64_t confirmed_us; /* 0: no confirmed view yet */
} node_t;

typedef struct
{
  oh_seeded_random_t random;
  int64_t now_us;
  int64_t sync_us;    /* greatest time that a sync takes */
  bool observer_only; /* the settings of the nodes name the observer only */
  replica_t replicas[REPLICAS];
  node_t nodes[NODES];
  int64_t connected_us[ACTORS][REPLICAS]; /* 0: no link yet */
  GPtrArray *messages;                    /* of message_t * */
  unsigned polls;
  uint64_t view_bytes;
} world_t;

static const int64_t NEVER_US = G_MAXINT64;
static world_t world;
static const char *const names[REPLICAS] = { "a", "b", "c", "o" };
static const char *const endpoints[REPLICAS] = { "tcp://a", "tcp://b", "tcp://c", "tcp://o" };

static int64_t
random_up_to (int64_t limit_us)
{
  return 1 + (int64_t)oh_random_below (&world.random.base, (uint64_t)limit_us);
}

static void
free_message (gpointer data)
{
  message_t *message = data;

  g_bytes_unref (message->bytes);
  g_free (message);
}

static unsigned
find_endpoint (const char *endpoint)
{
  for (unsigned i = 0; i < REPLICAS; i++)
    if (strcmp (endpoints[i], endpoint) == 0)
      return i;
  g_error ("unknown endpoint %s", endpoint);
}

static void
queue_message (unsigned from, unsigned to, bool to_node, const Oh__Control *message)
{
  const size_t length = oh__control__get_packed_size (message);
  uint8_t *bytes = g_malloc (length);
  message_t *queued = g_new0 (message_t, 1);

  oh__control__pack (message, bytes);
  *queued = (message_t){
    .due_us = world.now_us + random_up_to (DELAY_US),
    .from = from,
    .to = to,
    .to_node = to_node,
    .bytes = g_bytes_new_take (bytes, length),
  };
  g_ptr_array_add (world.messages, queued);
}

/* When a connection that the actor begins now is ready. A refused one is tried again. */
static int64_t
connect_time_us (const replica_t *to)
{
  int64_t attempt_us = world.now_us;

  if (to->start_us == NEVER_US)
    return NEVER_US;

  for (int64_t interval_us = RECONNECT_US; attempt_us < to->start_us; interval_us = 2 * RECONNECT_US)
    attempt_us += interval_us;
  return attempt_us + CONNECT_US;
}

/* Sends a message over the actor's link to the replica; false if it was dropped. */
static bool
send_over_link (unsigned actor, unsigned to, const Oh__Control *message)
{
  int64_t *connected_us = &world.connected_us[actor][to];

  if (*connected_us == 0)
    *connected_us = connect_time_us (&world.replicas[to]);
  if (*connected_us > world.now_us)
    return false;
  queue_message (actor, to, false, message);
  return true;
}

/* Actions of a replica. */

static replica_t *
replica_of (oh_control_sink_t *sink)
{
  return (replica_t *)sink;
}

static void
on_reply (oh_control_sink_t *sink, GBytes *route, oh_key_purpose_t purpose, const Oh__Control *message)
{
  unsigned actor;

  memcpy (&actor, g_bytes_get_data (route, NULL), sizeof actor);
  if (message->body_case == OH__CONTROL__BODY_VIEW)
    world.view_bytes += oh__control__get_packed_size (message);
  queue_message (replica_of (sink)->number, actor < REPLICAS ? actor : actor - REPLICAS, actor >= REPLICAS,
                 message);
}

static void
on_send_replica (oh_control_sink_t *sink, const char *endpoint, const Oh__Control *message)
{
  send_over_link (replica_of (sink)->number, find_endpoint (endpoint), message);
}

static void
on_persist (oh_control_sink_t *sink, oh_persist_request_t *request)
{
  replica_t *replica = replica_of (sink);

  g_assert_null (replica->request);
  replica->request = request;
  replica->request_due_us
    = world.now_us + (replica->number < VOTERS ? random_up_to (world.sync_us) : STEP_US);
}

static void
on_arm_timer (oh_control_sink_t *sink, int64_t due_us)
{
  replica_of (sink)->timer_us = due_us;
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
  if (g_test_verbose ())
    g_test_message ("%.4f %s %s", (double)world.now_us / SECOND, event, pairs);
}

static void
on_failed (oh_control_sink_t *sink, const char *reason)
{
  g_error ("replica failed: %s", reason);
}

static void
handle (replica_t *replica, oh_control_event_t event)
{
  event.now_us = world.now_us;
  oh_control_core_handle (&replica->core, &event, &replica->sink);
}

/* Replicas. */

static void
write_disk (oh_recovered_state_t *disk, const oh_persist_request_t *request)
{
  disk->hard = request->hard;
  g_assert_cmpuint (request->snapshot.index, ==, 0);
  while (request->truncate_from > 0 && disk->entries->len > 0
         && ((oh_entry_t *)g_ptr_array_index (disk->entries, disk->entries->len - 1))->index
              >= request->truncate_from)
    g_ptr_array_set_size (disk->entries, (int)disk->entries->len - 1);
  for (guint i = 0; i < request->entries->len; i++)
    {
      const oh_entry_t *entry = g_ptr_array_index (request->entries, i);

      g_ptr_array_add (disk->entries, oh_entry_new (entry->index, entry->term, entry->kind, entry->data));
    }
}

static void
start_replica (replica_t *replica)
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
  const bool observer = replica->number >= VOTERS;
  const bool first_start = replica->disk.entries == NULL;
  oh_raft_replica_t initial[VOTERS] = { 0 };
  oh_control_event_t start = { .kind = OH_CONTROL_START };

  replica->sink.ops = &ops;
  if (observer || first_start)
    {
      oh_recovered_state_clear (&replica->disk);
      replica->disk = (oh_recovered_state_t){
        .name = g_strdup (names[replica->number]),
        .id = oh_random_u64 (&world.random.base),
        .entries = g_ptr_array_new_with_free_func (oh_entry_free),
      };
    }
  for (unsigned i = 0; i < VOTERS; i++)
    initial[i] = (oh_raft_replica_t){ .name = (char *)names[i], .endpoint = (char *)endpoints[i] };
  replica->alive = true;
  replica->timer_us = G_MAXINT64;
  replica->tick_us = world.now_us + OH_CONTROL_TICK_US;
  oh_control_core_init (&replica->core, names[replica->number], oh_random_u64 (&world.random.base),
                        &world.random.base, world.now_us);
  start.start.recovered = &replica->disk;
  start.start.initial = initial;
  start.start.n_initial = VOTERS;
  start.start.endpoint = endpoints[replica->number];
  start.start.target_voters = VOTERS;
  start.start.may_bootstrap = first_start;
  start.start.observer = observer;
  handle (replica, start);
}

static void
stop_replica (replica_t *replica)
{
  if (!replica->alive)
    return;
  replica->alive = false;
  g_clear_pointer (&replica->request, oh_persist_request_free);
  oh_control_core_finish (&replica->core);
}

static void
step_replica (replica_t *replica)
{
  if (!replica->alive && replica->start_us <= world.now_us)
    start_replica (replica);
  if (!replica->alive)
    return;
  if (replica->request != NULL && replica->request_due_us <= world.now_us)
    {
      oh_persist_request_t *request = g_steal_pointer (&replica->request);
      const oh_control_event_t synced = { .kind = OH_CONTROL_SYNCED, .persist = { .id = request->id } };

      write_disk (&replica->disk, request);
      oh_persist_request_free (request);
      handle (replica, synced);
    }
  if (replica->timer_us <= world.now_us)
    {
      replica->timer_us = G_MAXINT64;
      handle (replica, (oh_control_event_t){ .kind = OH_CONTROL_RAFT_TIMER });
    }
  if (replica->tick_us <= world.now_us)
    {
      replica->tick_us += OH_CONTROL_TICK_US;
      handle (replica, (oh_control_event_t){ .kind = OH_CONTROL_TICK });
    }
}

/* Nodes: what lib/adapters/view_client.c does with the decisions of core/replica_poll.h. */

static void
poll_replica (node_t *node, unsigned to)
{
  Oh__Control message = OH__CONTROL__INIT;
  Oh__Poll poll = OH__POLL__INIT;
  Oh__Address relay;
  char name[16];

  g_snprintf (name, sizeof name, "lb-%u", node->number);
  oh_address_to_wire ((oh_address_t){ .ipv4 = 1 + node->number, .port = 1 }, &relay);
  oh_list_reader_fill_poll (&node->readers[to], &poll);
  poll.name = name;
  poll.zone = (char *)"plv-a";
  poll.relay = &relay;
  poll.version_in_force = node->view.version;
  message.sender = name;
  message.body_case = OH__CONTROL__BODY_POLL;
  message.poll = &poll;
  node->poll_unsent[to] = !send_over_link (REPLICAS + node->number, to, &message);
  if (node->poll_unsent[to])
    return;
  oh_replica_poll_sent (&node->polls[to], world.now_us);
  world.polls++;
}

static void
poll_replicas (node_t *node, bool only_due)
{
  const size_t n_nodes = node->view.members->len + node->view.balancers->len;

  for (unsigned i = 0; i < REPLICAS; i++)
    if (node->polled[i]
        && (!only_due || node->poll_unsent[i]
            || oh_replica_poll_is_due (&node->polls[i], node->view.confirmed, n_nodes,
                                       world.now_us + NODE_TICK_US / 2)))
      poll_replica (node, i);
}

static void
step_node (node_t *node)
{
  if (world.now_us < node->start_us || world.now_us < node->tick_us)
    return;
  if (node->ticks == 0)
    node->tick_us = node->start_us;
  node->tick_us += NODE_TICK_US;
  poll_replicas (node, node->ticks++ % (NODE_POLL_US / NODE_TICK_US) != 0);
}

static void
learn_replicas (node_t *node, const Oh__View *view)
{
  if (oh_replica_poll_list_use (node->view.confirmed, view->confirmed, view->n_replicas, REPLICAS)
      == OH_REPLICA_LIST_IGNORED)
    return;
  for (size_t i = 0; i < view->n_replicas; i++)
    {
      const unsigned number = find_endpoint (view->replicas[i]);
      int64_t *connected_us = &world.connected_us[REPLICAS + node->number][number];

      if (*connected_us == 0)
        *connected_us = connect_time_us (&world.replicas[number]);
      node->poll_unsent[number] |= !node->polled[number];
      node->polled[number] = true;
    }
}

static void
receive_view (node_t *node, unsigned from, const Oh__View *view)
{
  const uint64_t version = node->view.version;

  oh_replica_poll_answered (&node->polls[from], world.now_us);
  learn_replicas (node, view);
  if (!oh_list_reader_accept (&node->readers[from], view))
    {
      node->poll_unsent[from] = true;
      return;
    }
  oh_view_merge (&node->view, from, view);
  if (node->view.version != version)
    poll_replicas (node, false);
  if (node->view.confirmed && node->confirmed_us == 0)
    node->confirmed_us = world.now_us;
}

/* World. */

static void
deliver (const message_t *queued)
{
  gsize length;
  const uint8_t *bytes = g_bytes_get_data (queued->bytes, &length);
  Oh__Control *message = oh__control__unpack (NULL, length, bytes);

  if (queued->to_node)
    receive_view (&world.nodes[queued->to], queued->from, message->view);
  else if (world.replicas[queued->to].alive)
    {
      g_autoptr (GBytes) route = g_bytes_new (&queued->from, sizeof queued->from);

      handle (&world.replicas[queued->to],
              (oh_control_event_t){ .kind = OH_CONTROL_SYSTEM_MESSAGE,
                                    .message = { .route = route, .message = message } });
    }
  oh__control__free_unpacked (message, NULL);
}

static void
deliver_messages (void)
{
  for (guint i = 0; i < world.messages->len;)
    {
      message_t *queued = g_ptr_array_index (world.messages, i);

      if (queued->due_us > world.now_us)
        {
          i++;
          continue;
        }
      g_ptr_array_steal_index (world.messages, i);
      deliver (queued);
      free_message (queued);
    }
}

static void
step_world (void)
{
  world.now_us += STEP_US;
  deliver_messages ();
  for (unsigned i = 0; i < REPLICAS; i++)
    step_replica (&world.replicas[i]);
  for (unsigned i = 0; i < NODES; i++)
    step_node (&world.nodes[i]);
}

static void
start_node (node_t *node, unsigned number)
{
  *node = (node_t){ .number = number, .start_us = world.now_us + random_up_to (START_US) };
  oh_view_init (&node->view);
  node->polled[0] = !world.observer_only;
  node->polled[VOTERS] = true;
}

/* Starts all processes, the replicas with what is on their disks. */
static void
start_world (void)
{
  for (unsigned i = 0; i < REPLICAS; i++)
    {
      world.replicas[i].number = i;
      world.replicas[i].start_us = world.now_us + random_up_to (START_US);
    }
  for (unsigned i = 0; i < NODES; i++)
    start_node (&world.nodes[i], i);
}

static void
stop_world (void)
{
  for (unsigned i = 0; i < REPLICAS; i++)
    stop_replica (&world.replicas[i]);
  for (unsigned i = 0; i < NODES; i++)
    oh_view_finish (&world.nodes[i].view);
  g_ptr_array_set_size (world.messages, 0);
  memset (world.connected_us, 0, sizeof world.connected_us);
  world.polls = 0;
  world.view_bytes = 0;
}

/* Time from now until each node has a confirmed view; fails after 5 s. */
static void
run_until_confirmed (GArray *times_us)
{
  const int64_t start_us = world.now_us;
  unsigned confirmed = 0;

  while (confirmed < NODES)
    {
      step_world ();
      g_assert_cmpint (world.now_us - start_us, <, 5 * SECOND);
      confirmed = 0;
      for (unsigned i = 0; i < NODES; i++)
        confirmed += world.nodes[i].confirmed_us != 0;
    }
  for (unsigned i = 0; i < NODES; i++)
    {
      const int64_t time_us = world.nodes[i].confirmed_us - start_us;

      g_array_append_val (times_us, time_us);
    }
}

static void
run_for (int64_t duration_us)
{
  for (int64_t end_us = world.now_us + duration_us; world.now_us < end_us;)
    step_world ();
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  const int64_t left = *(const int64_t *)a;
  const int64_t right = *(const int64_t *)b;

  return (left > right) - (left < right);
}

static int64_t
percentile_ms (const GArray *sorted_us, unsigned percent)
{
  return g_array_index (sorted_us, int64_t, (sorted_us->len - 1) * percent / PERCENT) / MS;
}

/* Sorts the times. */
static void
report_times (GArray *times_us, const char *name)
{
  g_array_sort (times_us, compare_times);
  g_test_message ("%s after ms: median %d, 90%% %d, 99%% %d, last %d", name,
                  (int)percentile_ms (times_us, 50), (int)percentile_ms (times_us, 90),
                  (int)percentile_ms (times_us, 99), (int)percentile_ms (times_us, PERCENT));
}

static bool
has_leader (void)
{
  for (unsigned i = 0; i < VOTERS; i++)
    if (world.replicas[i].alive && oh_raft_role (&world.replicas[i].core.raft) == OH_RAFT_LEADER)
      return true;
  return false;
}

/* Starts all processes for the first time, until the voters are voters, and stops them. */
static void
init_world (uint32_t seed, int64_t sync_us)
{
  world = (world_t){ .now_us = SECOND, .sync_us = sync_us };
  world.messages = g_ptr_array_new_with_free_func (free_message);
  oh_seeded_random_init (&world.random, seed);
  start_world ();
  run_for (4 * SECOND);
  stop_world ();
}

static void
finish_world (void)
{
  stop_world ();
  g_ptr_array_unref (world.messages);
  for (unsigned i = 0; i < REPLICAS; i++)
    oh_recovered_state_clear (&world.replicas[i].disk);
  oh_seeded_random_finish (&world.random);
}

typedef struct
{
  const char *name;
  int64_t sync_us;
  bool observer_only;
  int64_t median_max_ms;
  int64_t last_max_ms; /* 99th percentile */
} restart_case_t;

/*
 * The bounds: start, first election timeout, the middle of three or the longest, two syncs of the vote and
 * one of the first entry, six messages, and up to a tick of the node.
 */
static const restart_case_t restart_cases[] = {
  { "fast-disks", 5 * MS, false, 150, 220 },
  { "slow-disks", 30 * MS, false, 180, 290 },
  { "observer-only", 5 * MS, true, 150, 240 },
};

/* Guards against a control plane that leads again, but tells the nodes later than needed. */
static void
test_restart (gconstpointer data)
{
  const restart_case_t *c = data;
  const char *count = g_getenv ("OH_RECOVERY_SEEDS");
  const uint32_t seeds = count != NULL ? (uint32_t)g_ascii_strtoull (count, NULL, 10) : SEEDS;
  g_autoptr (GArray) times_us = g_array_new (FALSE, FALSE, sizeof (int64_t));

  for (uint32_t seed = 0; seed < seeds; seed++)
    {
      init_world (seed, c->sync_us);
      world.observer_only = c->observer_only;
      start_world ();
      run_until_confirmed (times_us);
      finish_world ();
    }
  report_times (times_us, "confirmed view");
  g_assert_cmpint (percentile_ms (times_us, 50), <=, c->median_max_ms);
  g_assert_cmpint (percentile_ms (times_us, 99), <=, c->last_max_ms);
}

/* Guards against a first election that none of the voters wins, so that the next one follows an ordinary
 * timeout later; with all voters, and without each of them. */
static void
test_first_election (void)
{
  const int64_t limit_us = START_US + OH_RAFT_FIRST_ELECTION_MAX_US + 2 * 20 * MS + 4 * DELAY_US;
  g_autoptr (GArray) times_us = g_array_new (FALSE, FALSE, sizeof (int64_t));

  for (uint32_t seed = 0; seed < 5 * SEEDS; seed++)
    {
      const unsigned lost = seed % (VOTERS + 1);
      int64_t time_us;

      init_world (seed, 20 * MS);
      start_world ();
      time_us = -world.now_us;
      if (lost < VOTERS)
        world.replicas[lost].start_us = NEVER_US;
      while (!has_leader ())
        step_world ();
      time_us += world.now_us;
      g_array_append_val (times_us, time_us);
      finish_world ();
    }
  report_times (times_us, "leader");
  g_assert_cmpint (percentile_ms (times_us, 99), <=, limit_us / MS);
}

/* Guards against nodes that do not learn of the other voters from a replica that is not confirmed, and
 * against one that is confirmed, or counts its former set as confirmed, while it is alone. */
static void
test_alone (void)
{
  init_world (1, 5 * MS);
  start_world ();
  for (unsigned i = 1; i < REPLICAS; i++)
    world.replicas[i].start_us = NEVER_US;
  run_for (SECOND);
  for (unsigned i = 0; i < NODES; i++)
    {
      g_assert_false (world.nodes[i].view.confirmed);
      g_assert_true (world.nodes[i].polled[1] && world.nodes[i].polled[2]);
    }
  finish_world ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (restart_cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/recovery/restart/%s", restart_cases[i].name);

      g_test_add_data_func (path, &restart_cases[i], test_restart);
    }
  g_test_add_func ("/recovery/first-election", test_first_election);
  g_test_add_func ("/recovery/alone", test_alone);
  return g_test_run ();
}
