#include <glib.h>
#include <string.h>

#include "base/seeded_random.h"
#include "core/codec.h"
#include "core/control_core.h"

/* Tests of the control core: three voters, and an observer in some tests, on a simulated clock and network.
 */

enum
{
  VOTERS = 3,
  REPLICAS = 4, /* the last is an observer, which is not started in every test */
  STEP_US = 10000,
  SECOND = G_USEC_PER_SEC,
};

#define TEXT "[oriolehaven]\nname=a\n[service kiln-log]\naddress=127.0.0.1:7000\n"

typedef struct
{
  char route[16]; /* endpoint of the sender */
  GBytes *bytes;
} message_t;

typedef struct
{
  oh_control_sink_t sink; /* first member */
  oh_control_core_t core;
  oh_seeded_random_t random;
  oh_recovered_state_t recovered;
  char name[2];
  char endpoint[16];
  bool stopped;         /* handles no events; messages queue up */
  bool inbound_dropped; /* messages to it are dropped */
  bool disk_stalled;    /* persist requests stay outstanding */
  bool former_release;  /* does not say that it understands drains of zones */
  GQueue inbox;         /* of message_t * */
  GQueue synced;        /* ids of outstanding persist requests, as pointers */
  int64_t timer_us;
  uint64_t view_version; /* of the last view sent */
  bool view_confirmed;
  uint64_t highest_number; /* published number that it has shown */
  Oh__ChangeStatus status; /* of the last change reply */
  uint64_t status_version;
  unsigned n_replies;
  unsigned n_queries; /* to the leader */
} replica_t;

typedef struct
{
  replica_t replicas[REPLICAS];
  unsigned n_replicas;         /* that were started */
  bool replies_without_commit; /* leaders reply like those of earlier releases */
  GArray *accepted_us;         /* when each published number, from 1, was first accepted */
  int64_t now_us;
} cluster_t;

static cluster_t cluster;

static replica_t *
replica_of (oh_control_sink_t *sink)
{
  return (replica_t *)sink;
}

static void
enqueue_message (const replica_t *from, const char *endpoint, const Oh__Control *message)
{
  for (unsigned i = 0; i < REPLICAS; i++)
    {
      replica_t *to = &cluster.replicas[i];
      message_t *queued;
      uint8_t *bytes;
      size_t length;

      if (strcmp (to->endpoint, endpoint) != 0 || to->inbound_dropped)
        continue;
      length = oh__control__get_packed_size (message);
      bytes = g_malloc (length);
      oh__control__pack (message, bytes);
      queued = g_new0 (message_t, 1);
      g_strlcpy (queued->route, from->endpoint, sizeof queued->route);
      queued->bytes = g_bytes_new_take (bytes, length);
      g_queue_push_tail (&to->inbox, queued);
    }
}

/* The id of a publication of these tests is its number. */
static void
record_accepted (const Oh__ChangeReply *reply)
{
  uint64_t number;

  if (cluster.accepted_us == NULL || reply->status != OH__CHANGE_STATUS__CHANGE_ACCEPTED)
    return;
  memcpy (&number, reply->id.data, sizeof number);
  if (number == cluster.accepted_us->len + 1)
    g_array_append_val (cluster.accepted_us, cluster.now_us);
}

static void
on_reply (oh_control_sink_t *sink, GBytes *route, oh_key_purpose_t purpose, const Oh__Control *message)
{
  replica_t *replica = replica_of (sink);

  if (message->body_case == OH__CONTROL__BODY_VIEW)
    {
      g_assert_cmpint (purpose, ==, OH_KEY_CONTROL);
      replica->view_version = message->view->version;
      replica->view_confirmed = message->view->confirmed;
    }
  else if (message->body_case == OH__CONTROL__BODY_CHANGE_REPLY)
    {
      g_assert_cmpint (purpose, ==, OH_KEY_OPERATOR);
      replica->status = message->change_reply->status;
      replica->status_version = message->change_reply->version;
      replica->n_replies++;
      record_accepted (message->change_reply);
    }
  else
    {
      if (cluster.replies_without_commit && message->body_case == OH__CONTROL__BODY_CURRENT_REPLY)
        message->current_reply->commit = 0;
      enqueue_message (replica, g_bytes_get_data (route, NULL), message);
    }
}

/* Sends the message as a replica of the former release would: without the fields that it does not know. */
static void
enqueue_without_zone_drain (const replica_t *from, const char *endpoint, const Oh__Control *message)
{
  Oh__RaftMessage *raft = oh__raft_message__unpack (NULL, message->raft.len, message->raft.data);
  g_autofree uint8_t *bytes = g_malloc (message->raft.len);
  Oh__Control altered = *message;

  if (raft->body_case == OH__RAFT_MESSAGE__BODY_APPEND_REPLY)
    raft->append_reply->drains_zones = false;
  if (raft->body_case == OH__RAFT_MESSAGE__BODY_APPEND_REQUEST)
    raft->append_request->set_digest = raft->append_request->drains_zones = 0;
  altered.raft.len = oh__raft_message__pack (raft, bytes);
  altered.raft.data = bytes;
  enqueue_message (from, endpoint, &altered);
  oh__raft_message__free_unpacked (raft, NULL);
}

static void
on_send_replica (oh_control_sink_t *sink, const char *endpoint, const Oh__Control *message)
{
  replica_t *replica = replica_of (sink);

  replica->n_queries += message->body_case == OH__CONTROL__BODY_CURRENT_QUERY;
  if (replica->former_release && message->body_case == OH__CONTROL__BODY_RAFT)
    enqueue_without_zone_drain (replica, endpoint, message);
  else
    enqueue_message (replica, endpoint, message);
}

static void
on_persist (oh_control_sink_t *sink, oh_persist_request_t *request)
{
  g_queue_push_tail (&replica_of (sink)->synced, GSIZE_TO_POINTER (request->id));
  oh_persist_request_free (request);
}

static void
on_arm_timer (oh_control_sink_t *sink, int64_t due_us)
{
  replica_of (sink)->timer_us = due_us;
}

static void
on_advance_keys (oh_control_sink_t *sink, uint32_t generation)
{
  (void)sink;
  (void)generation;
}

static void
on_rejected (oh_control_sink_t *sink, const char *sender, const char *reason)
{
  (void)sink;
  g_error ("message of %s rejected: %s", sender, reason);
}

static void
on_log (oh_control_sink_t *sink, const char *event, const char *pairs)
{
  (void)sink;
  g_test_message ("%.3f %s %s", (double)cluster.now_us / SECOND, event, pairs);
}

static void
on_failed (oh_control_sink_t *sink, const char *reason)
{
  g_error ("replica %s failed: %s", replica_of (sink)->name, reason);
}

static void
handle (replica_t *replica, oh_control_event_t *event)
{
  event->now_us = cluster.now_us;
  oh_control_core_handle (&replica->core, event, &replica->sink);
}

static void
deliver (replica_t *replica, const char *route, const Oh__Control *message, oh_control_event_kind_t kind)
{
  g_autoptr (GBytes) bytes = g_bytes_new (route, strlen (route) + 1);
  oh_control_event_t event = { .kind = kind, .message = { .route = bytes, .message = message } };

  handle (replica, &event);
}

static void
free_message (gpointer data)
{
  message_t *queued = data;

  g_bytes_unref (queued->bytes);
  g_free (queued);
}

/* Handles the oldest queued message; returns false if there is none. */
static bool
handle_next_message (replica_t *replica)
{
  message_t *queued = g_queue_pop_head (&replica->inbox);
  gsize length;
  const uint8_t *bytes;
  Oh__Control *message;

  if (queued == NULL)
    return false;
  bytes = g_bytes_get_data (queued->bytes, &length);
  message = oh__control__unpack (NULL, length, bytes);
  deliver (replica, queued->route, message, OH_CONTROL_SYSTEM_MESSAGE);
  oh__control__free_unpacked (message, NULL);
  free_message (queued);
  return true;
}

static void
step_replica (replica_t *replica)
{
  oh_control_event_t tick = { .kind = OH_CONTROL_TICK };
  oh_control_event_t timer = { .kind = OH_CONTROL_RAFT_TIMER };

  while (handle_next_message (replica))
    ;
  while (!replica->disk_stalled && !g_queue_is_empty (&replica->synced))
    {
      oh_control_event_t synced = { .kind = OH_CONTROL_SYNCED };

      synced.persist.id = GPOINTER_TO_SIZE (g_queue_pop_head (&replica->synced));
      handle (replica, &synced);
    }
  if (replica->timer_us <= cluster.now_us)
    {
      replica->timer_us = G_MAXINT64;
      handle (replica, &timer);
    }
  if (cluster.now_us % OH_CONTROL_TICK_US == 0)
    handle (replica, &tick);
}

static void
run_for (int64_t duration_us)
{
  for (int64_t end_us = cluster.now_us + duration_us; cluster.now_us < end_us;)
    {
      cluster.now_us += STEP_US;
      for (unsigned i = 0; i < cluster.n_replicas; i++)
        if (!cluster.replicas[i].stopped)
          step_replica (&cluster.replicas[i]);
    }
}

static replica_t *
find_leader (void)
{
  for (unsigned i = 0; i < 500; i++)
    {
      for (unsigned j = 0; j < VOTERS; j++)
        {
          replica_t *replica = &cluster.replicas[j];

          if (!replica->stopped && !replica->inbound_dropped
              && oh_raft_role (&replica->core.raft) == OH_RAFT_LEADER
              && oh_control_core_confirmed (&replica->core, cluster.now_us))
            return replica;
        }
      run_for (STEP_US);
    }
  g_error ("no leader within 5 s");
}

static replica_t *
find_follower (void)
{
  const replica_t *leader = find_leader ();

  return &cluster.replicas[leader == &cluster.replicas[0] ? 1 : 0];
}

static void
poll_view (replica_t *replica)
{
  Oh__Control message = OH__CONTROL__INIT;
  Oh__Poll poll = OH__POLL__INIT;
  Oh__Address relay;

  oh_address_to_wire ((oh_address_t){ .ipv4 = 1, .port = 1 }, &relay);
  poll.name = (char *)"lb-1";
  poll.relay = &relay;
  message.body_case = OH__CONTROL__BODY_POLL;
  message.poll = &poll;
  deliver (replica, "node", &message, OH_CONTROL_SYSTEM_MESSAGE);
}

static void
send_apply (replica_t *replica, uint8_t id, uint64_t base)
{
  Oh__Control message = OH__CONTROL__INIT;
  Oh__Change change = OH__CHANGE__INIT;
  uint8_t bytes[OH_CHANGE_ID_BYTES] = { id };

  change.id.data = bytes;
  change.id.len = sizeof bytes;
  change.base_version = base;
  change.text = (char *)TEXT;
  message.body_case = OH__CONTROL__BODY_CHANGE;
  message.change = &change;
  deliver (replica, "operator", &message, OH_CONTROL_OPERATOR_MESSAGE);
}

static void
init_replica (replica_t *replica, unsigned number)
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

  replica->sink.ops = &ops;
  replica->timer_us = G_MAXINT64;
  replica->name[0] = (char)('a' + number);
  g_snprintf (replica->endpoint, sizeof replica->endpoint, "tcp://%s", replica->name);
  oh_seeded_random_init (&replica->random, 11 + number);
  replica->recovered.name = g_strdup (replica->name);
  replica->recovered.id = 100 + number;
  replica->recovered.entries = g_ptr_array_new ();
  oh_control_core_init (&replica->core, replica->name, 1 + number, &replica->random.base, cluster.now_us);
}

/* Starts the voters as a fixed set, or with_observer as a set that the leader maintains, with an observer. */
static void
start_cluster_with (bool with_observer)
{
  oh_raft_replica_t initial[VOTERS] = { 0 };

  cluster = (cluster_t){ .n_replicas = with_observer ? REPLICAS : VOTERS, .now_us = SECOND };
  for (unsigned i = 0; i < cluster.n_replicas; i++)
    init_replica (&cluster.replicas[i], i);
  for (unsigned i = 0; i < VOTERS; i++)
    {
      initial[i].name = cluster.replicas[i].name;
      initial[i].endpoint = cluster.replicas[i].endpoint;
    }
  for (unsigned i = 0; i < cluster.n_replicas; i++)
    {
      replica_t *replica = &cluster.replicas[i];
      oh_control_event_t start = { .kind = OH_CONTROL_START };

      start.start.recovered = &replica->recovered;
      start.start.initial = initial;
      start.start.n_initial = VOTERS;
      start.start.endpoint = replica->endpoint;
      if (with_observer)
        {
          start.start.target_voters = VOTERS;
          start.start.may_bootstrap = true;
          start.start.observer = i >= VOTERS;
        }
      handle (replica, &start);
    }
  find_leader ();
  run_for (SECOND);
}

static void
start_cluster (void)
{
  start_cluster_with (false);
}

static void
stop_cluster (void)
{
  for (unsigned i = 0; i < cluster.n_replicas; i++)
    {
      replica_t *replica = &cluster.replicas[i];

      oh_control_core_finish (&replica->core);
      oh_seeded_random_finish (&replica->random);
      oh_recovered_state_clear (&replica->recovered);
      g_queue_clear_full (&replica->inbox, free_message);
      g_queue_clear (&replica->synced);
    }
}

/* Guards against a change that is reported as accepted before a quorum has stored it. */
static void
test_answer_after_commit (void)
{
  replica_t *leader;

  start_cluster ();
  leader = find_leader ();
  for (unsigned i = 0; i < VOTERS; i++)
    cluster.replicas[i].stopped = &cluster.replicas[i] != leader;
  send_apply (leader, 1, 0);
  run_for (SECOND / 5);
  g_assert_cmpuint (leader->n_replies, ==, 0);
  g_assert_cmpuint (leader->core.state.version, ==, 0);
  for (unsigned i = 0; i < VOTERS; i++)
    cluster.replicas[i].stopped = false;
  run_for (SECOND / 5);
  g_assert_cmpuint (leader->n_replies, ==, 1);
  g_assert_cmpint (leader->status, ==, OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  send_apply (find_follower (), 2, 1);
  g_assert_cmpint (find_follower ()->status, ==, OH__CHANGE_STATUS__CHANGE_NOT_LEADER);
  stop_cluster ();
}

/* Guards against a leader that receives nothing from the other replicas and never replies to a change, or
 * reports the change as accepted. */
static void
test_unreachable_leader (void)
{
  replica_t *old_leader;
  replica_t *leader;

  start_cluster ();
  old_leader = find_leader ();
  old_leader->inbound_dropped = true;
  send_apply (old_leader, 1, 0);
  run_for (2 * SECOND);
  g_assert_cmpuint (old_leader->n_replies, ==, 1);
  g_assert_cmpint (old_leader->status, ==, OH__CHANGE_STATUS__CHANGE_UNAVAILABLE);
  poll_view (old_leader);
  g_assert_false (old_leader->view_confirmed);
  leader = find_leader ();
  g_assert_true (leader != old_leader);

  /* The resent change has a single result, whether or not the old leader's entry was committed. */
  send_apply (leader, 1, 0);
  run_for (SECOND / 2);
  g_assert_cmpint (leader->status, ==, OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  g_assert_cmpuint (leader->status_version, ==, 1);
  old_leader->inbound_dropped = false;
  run_for (2 * SECOND);
  g_assert_cmpuint (old_leader->core.state.version, ==, 1);
  send_apply (old_leader, 1, 0);
  g_assert_cmpint (old_leader->status, ==, OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  g_assert_cmpuint (old_leader->status_version, ==, 1);
  stop_cluster ();
}

/* Guards against a replica that confirms an outdated version after a stop because it takes append requests
 * queued in the meantime as recent contact with the leader. */
static void
test_stale_heartbeats (void)
{
  replica_t *follower;
  replica_t *leader;

  start_cluster ();
  leader = find_leader ();
  follower = find_follower ();
  poll_view (follower);
  g_assert_true (follower->view_confirmed);
  follower->stopped = true;
  run_for (2 * SECOND);
  follower->inbound_dropped = true;
  send_apply (leader, 1, 0);
  run_for (SECOND);
  g_assert_cmpint (leader->status, ==, OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  g_assert_cmpuint (g_queue_get_length (&follower->inbox), >, 10);
  do
    {
      poll_view (follower);
      g_assert_cmpuint (follower->view_version, ==, 0);
      g_assert_false (follower->view_confirmed);
    }
  while (handle_next_message (follower));
  follower->stopped = false;
  follower->inbound_dropped = false;
  run_for (2 * SECOND);
  poll_view (follower);
  g_assert_cmpuint (follower->view_version, ==, 1);
  g_assert_true (follower->view_confirmed);
  stop_cluster ();
}

/* Lets the leader's disk hang, makes a change, and has the follower accept the resent one. */
static void
change_behind_stalled_leader (replica_t *leader, replica_t *follower)
{
  leader->disk_stalled = true;
  send_apply (leader, 1, 0);
  run_for (SECOND / 2);
  g_assert_cmpuint (leader->n_replies, ==, 0);
  send_apply (follower, 1, 0);
  g_assert_cmpint (follower->status, ==, OH__CHANGE_STATUS__CHANGE_ACCEPTED);
}

/* Guards against a leader whose disk hangs and that confirms a version older than an accepted one: the other
 * voters have committed the change, and a follower has answered the resent one. */
static void
test_stalled_leader_unconfirmed (void)
{
  replica_t *leader;
  replica_t *follower;

  start_cluster ();
  leader = find_leader ();
  follower = find_follower ();
  change_behind_stalled_leader (leader, follower);
  for (unsigned i = 0; i < 5; i++)
    {
      poll_view (leader);
      g_assert_cmpuint (leader->view_version, ==, 0);
      g_assert_false (leader->view_confirmed);
      run_for (SECOND);
    }
  /* The replicas that have the change are confirmed by the leader's contact with a quorum all the while. */
  poll_view (follower);
  g_assert_cmpuint (follower->view_version, ==, 1);
  g_assert_true (follower->view_confirmed);
  leader->disk_stalled = false;
  run_for (SECOND);
  poll_view (leader);
  g_assert_cmpuint (leader->view_version, ==, 1);
  g_assert_true (leader->view_confirmed);
  stop_cluster ();
}

/* Guards against an observer that confirms an outdated version because the leader, whose disk hangs, replies
 * with the version that it has applied instead of what it has committed. */
static void
test_stalled_leader_observer (void)
{
  replica_t *observer = &cluster.replicas[VOTERS];
  oh_control_event_t tick = { .kind = OH_CONTROL_TICK };
  replica_t *leader;
  replica_t *follower;

  start_cluster_with (true);
  run_for (2 * SECOND);
  leader = find_leader ();
  follower = find_follower ();
  poll_view (observer);
  g_assert_true (observer->view_confirmed);

  /* Append requests from before the change queue up; later ones are lost. */
  observer->stopped = true;
  run_for (SECOND / 2);
  observer->inbound_dropped = true;
  change_behind_stalled_leader (leader, follower);

  observer->inbound_dropped = false;
  handle (observer, &tick);
  while (handle_next_message (leader))
    ;
  while (handle_next_message (observer))
    {
      poll_view (observer);
      g_assert_true (observer->view_version == 1 || !observer->view_confirmed);
    }
  stop_cluster ();
}

/* Guards against a follower that is confirmed by the reply of a leader of an earlier release, which holds no
 * commit index. */
static void
test_reply_without_commit (void)
{
  replica_t *leader;
  replica_t *follower;

  start_cluster ();
  leader = find_leader ();
  follower = find_follower ();
  poll_view (follower);
  g_assert_true (follower->view_confirmed);
  cluster.replies_without_commit = true;
  run_for (2 * SECOND);
  poll_view (follower);
  g_assert_false (follower->view_confirmed);
  poll_view (leader);
  g_assert_true (leader->view_confirmed);
  stop_cluster ();
}

/* Guards against a follower in contact with its leader that becomes confirmed, or tells its nodes, only at
 * its next tick. */
static void
test_confirmed_at_once (void)
{
  for (unsigned offset = 0; offset < OH_CONTROL_TICK_US / STEP_US; offset++)
    {
      replica_t *follower;

      start_cluster ();
      follower = find_follower ();
      poll_view (follower);
      follower->inbound_dropped = true;
      run_for (2 * SECOND + (int64_t)offset * STEP_US);
      poll_view (follower);
      g_assert_false (follower->view_confirmed);
      follower->inbound_dropped = false;
      while (!oh_raft_confirmed (&follower->core.raft, cluster.now_us))
        run_for (STEP_US);
      /* The query and its reply take a step each. */
      run_for (2 * STEP_US);
      g_assert_true (follower->view_confirmed);
      stop_cluster ();
    }
}

/* Guards against a follower that polls lead to flood its leader with queries, and one that they do not lead
 * to query it. */
static void
test_queries_bounded (void)
{
  const unsigned most = SECOND / OH_CONTROL_POLL_QUERY_US + SECOND / OH_CONTROL_TICK_US;
  replica_t *follower;
  unsigned before;

  start_cluster ();
  follower = find_follower ();
  before = follower->n_queries;
  for (unsigned i = 0; i < SECOND / STEP_US; i++)
    {
      poll_view (follower);
      run_for (STEP_US);
    }
  /* Confirmed: at ticks only. */
  g_assert_cmpuint (follower->n_queries - before, <=, SECOND / OH_CONTROL_TICK_US);
  cluster.replies_without_commit = true;
  run_for (SECOND);
  before = follower->n_queries;
  for (unsigned i = 0; i < SECOND / STEP_US; i++)
    {
      for (unsigned j = 0; j < 3; j++)
        poll_view (follower);
      run_for (STEP_US);
    }
  g_assert_cmpuint (follower->n_queries - before, <=, most);
  g_assert_cmpuint (follower->n_queries - before, >=, most / 2);
  stop_cluster ();
}

static void
send_publish (replica_t *replica, uint64_t number)
{
  Oh__Control message = OH__CONTROL__INIT;
  Oh__Change change = OH__CHANGE__INIT;
  uint8_t id[OH_CHANGE_ID_BYTES] = { 0 };

  memcpy (id, &number, sizeof number);
  change.id.data = id;
  change.id.len = sizeof id;
  change.kind = OH__CHANGE_KIND__CHANGE_PUBLISH;
  change.number = number;
  change.text = (char *)TEXT;
  message.body_case = OH__CONTROL__BODY_CHANGE;
  message.change = &change;
  deliver (replica, "operator", &message, OH_CONTROL_OPERATOR_MESSAGE);
}

/* Sends an order for a zone with an id of its own. */
static void
send_zone_order (replica_t *replica, Oh__ChangeKind kind)
{
  static uint8_t last_id = 100;
  Oh__Control message = OH__CONTROL__INIT;
  Oh__Change change = OH__CHANGE__INIT;
  uint8_t id[OH_CHANGE_ID_BYTES] = { ++last_id };

  change.id.data = id;
  change.id.len = sizeof id;
  change.kind = kind;
  change.target = (char *)"plv-b";
  message.body_case = OH__CONTROL__BODY_CHANGE;
  message.change = &change;
  deliver (replica, "operator", &message, OH_CONTROL_OPERATOR_MESSAGE);
}

/* Returns the status of the reply, which has to come within 200 ms. */
static Oh__ChangeStatus
order_zone (replica_t *replica, Oh__ChangeKind kind)
{
  const unsigned n_replies = replica->n_replies;

  send_zone_order (replica, kind);
  run_for (SECOND / 5);
  g_assert_cmpuint (replica->n_replies, ==, n_replies + 1);
  return replica->status;
}

static void
check_drained (const replica_t *replica, bool drained, uint64_t version)
{
  g_assert_cmpuint (replica->core.state.drained_zones->len, ==, drained);
  g_assert_cmpuint (replica->core.state.version, ==, version);
}

/* Guards against an order that replicas apply differently, since one of them is of the former release, and
 * against one that stays refused once that one has been upgraded. */
static void
test_zone_former_replica (void)
{
  replica_t *leader;
  replica_t *former;

  start_cluster ();
  leader = find_leader ();
  former = find_follower ();
  former->former_release = true;
  run_for (SECOND);
  g_assert_cmpint (order_zone (leader, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_UNAVAILABLE);
  for (unsigned i = 0; i < VOTERS; i++)
    check_drained (&cluster.replicas[i], false, 0);
  g_assert_cmpint (order_zone (former, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_NOT_LEADER);
  former->former_release = false;
  run_for (SECOND);
  g_assert_cmpint (order_zone (leader, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  g_assert_cmpint (order_zone (leader, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  run_for (SECOND);
  for (unsigned i = 0; i < VOTERS; i++)
    check_drained (&cluster.replicas[i], true, 1);
  stop_cluster ();
}

/* Guards against an order that is lost with its leader, and against orders that a new leader refuses because
 * the former one has stopped and cannot say what it understands. */
static void
test_zone_leader_stopped (void)
{
  replica_t *former;
  replica_t *leader;

  start_cluster ();
  former = find_leader ();
  g_assert_cmpint (order_zone (former, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  former->stopped = true;
  run_for (2 * SECOND);
  leader = find_leader ();
  g_assert_true (leader != former);
  check_drained (leader, true, 1);
  g_assert_cmpint (order_zone (leader, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  g_assert_cmpint (order_zone (leader, OH__CHANGE_KIND__CHANGE_UNDRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  former->stopped = false;
  run_for (2 * SECOND);
  for (unsigned i = 0; i < VOTERS; i++)
    check_drained (&cluster.replicas[i], false, 2);
  stop_cluster ();
}

/* Guards against an order that a leader accepts although it does not know what a stopped replica understands:
 * that one became a member of the former release, and stopped before the leader was elected. */
static void
test_zone_unknown_replica (void)
{
  replica_t *former;
  replica_t *leader;

  start_cluster ();
  former = find_leader ();
  former->former_release = true;
  run_for (SECOND);
  for (unsigned i = 0; i < VOTERS; i++)
    g_array_set_size (cluster.replicas[i].core.raft.zone_drain_ids, 0);
  former->stopped = true;
  run_for (2 * SECOND);
  leader = find_leader ();
  g_assert_cmpint (order_zone (leader, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_UNAVAILABLE);
  run_for (10 * SECOND); /* a voter is waited for however long it takes */
  g_assert_cmpint (order_zone (leader, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_UNAVAILABLE);
  check_drained (leader, false, 0);
  stop_cluster ();
}

/* Guards against a non-voter that is gone for good, of which a leader knows nothing, and that keeps zones
 * from being drained forever; and against one that has stopped for a moment and is not waited for. */
static void
test_zone_lost_observer (void)
{
  replica_t *observer = &cluster.replicas[VOTERS];
  replica_t *leader;

  start_cluster_with (true);
  run_for (2 * SECOND);
  leader = find_leader ();
  observer->former_release = true;
  run_for (SECOND);
  observer->stopped = true;
  run_for (SECOND);
  g_assert_cmpint (order_zone (leader, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_UNAVAILABLE);
  run_for (3 * SECOND);
  g_assert_cmpint (order_zone (leader, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  stop_cluster ();
}

/* Guards against an order that is accepted, or left without an answer, without a leader or a quorum. */
static void
test_zone_no_leader (void)
{
  replica_t *leader;
  replica_t *follower;

  start_cluster ();
  leader = find_leader ();
  follower = find_follower ();
  for (unsigned i = 0; i < VOTERS; i++)
    cluster.replicas[i].stopped = &cluster.replicas[i] != leader;
  g_assert_cmpuint (leader->n_replies, ==, 0);
  send_zone_order (leader, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE);
  run_for (2 * SECOND);
  g_assert_cmpuint (leader->n_replies, ==, 1);
  g_assert_cmpint (leader->status, ==, OH__CHANGE_STATUS__CHANGE_UNAVAILABLE);
  g_assert_cmpint (order_zone (leader, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_NOT_LEADER);
  leader->stopped = true;
  follower->stopped = false;
  run_for (2 * SECOND);
  g_assert_cmpint (order_zone (follower, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE), ==,
                   OH__CHANGE_STATUS__CHANGE_NOT_LEADER);
  check_drained (follower, false, 0);
  stop_cluster ();
}

/* Fails if a replica shows an older number than before, or is confirmed with an older one than was accepted
 * OH_RAFT_CONFIRMED_US ago. */
static void
check_confirmed (uint32_t seed)
{
  uint64_t required = cluster.accepted_us->len;

  while (required > 0
         && cluster.now_us - g_array_index (cluster.accepted_us, int64_t, required - 1)
              <= OH_RAFT_CONFIRMED_US)
    required--;
  for (unsigned i = 0; i < cluster.n_replicas; i++)
    {
      replica_t *replica = &cluster.replicas[i];
      const uint64_t number = replica->core.state.published_number;

      g_assert_cmpuint (number, >=, replica->highest_number);
      replica->highest_number = number;
      if (!replica->stopped && number < required
          && oh_control_core_confirmed (&replica->core, cluster.now_us))
        g_error ("seed %u, at %.2f s: replica %s is confirmed with number %u, but %u was accepted", seed,
                 (double)cluster.now_us / SECOND, replica->name, (unsigned)number, (unsigned)required);
    }
}

/* Switches one fault of one replica on or off. */
static void
toggle_fault (oh_seeded_random_t *random)
{
  replica_t *replica = &cluster.replicas[oh_random_below (&random->base, cluster.n_replicas)];

  switch (oh_random_below (&random->base, 3))
    {
    case 0:
      replica->stopped = !replica->stopped;
      break;
    case 1:
      replica->inbound_dropped = !replica->inbound_dropped;
      break;
    default:
      replica->disk_stalled = !replica->disk_stalled;
      break;
    }
}

static void
clear_faults (void)
{
  for (unsigned i = 0; i < cluster.n_replicas; i++)
    {
      cluster.replicas[i].stopped = false;
      cluster.replicas[i].inbound_dropped = false;
      cluster.replicas[i].disk_stalled = false;
    }
}

/* Guards against a replica that is confirmed with an older configuration than an accepted one, under frozen
 * processes, one-way cuts and disks that hang, overlapping in any way, while the operator sends each change
 * again until some replica accepts it. */
static void
test_confirmed_under_faults (void)
{
  enum
  {
    ROUNDS = 300, /* of 100 ms */
  };
  const char *count = g_getenv ("OH_CONTROL_SEEDS");
  const uint32_t seeds = count != NULL ? (uint32_t)g_ascii_strtoull (count, NULL, 10) : 150;
  uint64_t accepted = 0;

  for (uint32_t seed = 0; seed < seeds; seed++)
    {
      oh_seeded_random_t random;

      oh_seeded_random_init (&random, seed);
      start_cluster_with (true);
      cluster.accepted_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
      for (unsigned round = 0; round < ROUNDS; round++)
        {
          replica_t *replica = &cluster.replicas[oh_random_below (&random.base, cluster.n_replicas)];

          if (oh_random_below (&random.base, 8) == 0)
            toggle_fault (&random);
          if (oh_random_below (&random.base, 40) == 0)
            clear_faults ();
          check_confirmed (seed);
          if (!replica->stopped)
            send_publish (replica, cluster.accepted_us->len + 1);
          for (unsigned i = 0; i < 10; i++)
            {
              run_for (STEP_US);
              check_confirmed (seed);
            }
        }
      accepted += cluster.accepted_us->len;
      g_array_unref (cluster.accepted_us);
      stop_cluster ();
      oh_seeded_random_finish (&random);
    }
  /* Otherwise the faults have kept the cluster from doing anything. */
  g_assert_cmpuint (accepted, >, (uint64_t)20 * seeds);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-core/answer-after-commit", test_answer_after_commit);
  g_test_add_func ("/control-core/unreachable-leader", test_unreachable_leader);
  g_test_add_func ("/control-core/stale-heartbeats", test_stale_heartbeats);
  g_test_add_func ("/control-core/stalled-leader-unconfirmed", test_stalled_leader_unconfirmed);
  g_test_add_func ("/control-core/stalled-leader-observer", test_stalled_leader_observer);
  g_test_add_func ("/control-core/reply-without-commit", test_reply_without_commit);
  g_test_add_func ("/control-core/zone-former-replica", test_zone_former_replica);
  g_test_add_func ("/control-core/zone-leader-stopped", test_zone_leader_stopped);
  g_test_add_func ("/control-core/zone-unknown-replica", test_zone_unknown_replica);
  g_test_add_func ("/control-core/zone-lost-observer", test_zone_lost_observer);
  g_test_add_func ("/control-core/zone-no-leader", test_zone_no_leader);
  g_test_add_func ("/control-core/confirmed-at-once", test_confirmed_at_once);
  g_test_add_func ("/control-core/queries-bounded", test_queries_bounded);
  g_test_add_func ("/control-core/confirmed-under-faults", test_confirmed_under_faults);
  return g_test_run ();
}
