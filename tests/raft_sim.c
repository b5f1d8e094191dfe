#include "raft_sim.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

enum
{
  PROPOSAL_TAG = 7,
};

typedef struct
{
  int64_t due_us;
  unsigned from;
  unsigned to;
  size_t length;
  uint8_t *bytes;
} message_t;

static void
message_free (void *pointer)
{
  message_t *message = pointer;

  g_free (message->bytes);
  g_free (message);
}

static uint64_t
random_below (sim_t *sim, uint64_t bound)
{
  return oh_random_below (&sim->random.base, bound);
}

static void check_leader (sim_t *sim, sim_node_t *node);

static void
handle (sim_node_t *node, oh_raft_event_t event)
{
  event.now_us = node->sim->now_us;
  oh_raft_handle (&node->raft, &event, &node->sink);
  if (node->snapshot_wanted)
    {
      const uint64_t state[2] = { node->applied, node->digest };
      const size_t length = sizeof state + node->sim->snapshot_bytes;
      uint8_t *bytes = g_malloc (length);

      /* The padding differs from chunk to chunk. */
      for (size_t i = 0; i < length; i++)
        bytes[i] = node->sim->compressible ? (uint8_t)(i / 1000) : (uint8_t)(XXH64 (&i, sizeof i, 0));
      memcpy (bytes, state, sizeof state);
      g_autoptr (GBytes) data = g_bytes_new_take (bytes, length);

      node->snapshot_wanted = false;
      handle (node, (oh_raft_event_t){ .kind = OH_RAFT_SNAPSHOT_READY,
                                       .snapshot = { .index = node->applied, .data = data } });
    }
}

sim_seeds_t
sim_read_seeds (uint32_t first, uint32_t count)
{
  const char *first_text = g_getenv ("OH_RAFT_SEED");
  const char *count_text = g_getenv ("OH_RAFT_SEEDS");

  if (first_text != NULL)
    first = (uint32_t)g_ascii_strtoull (first_text, NULL, 10);
  if (count_text != NULL)
    count = (uint32_t)g_ascii_strtoull (count_text, NULL, 10);
  return (sim_seeds_t){ .first = first, .end = first + count };
}

/* Sink. */

static size_t
entry_bytes (const Oh__RaftMessage *wire)
{
  size_t bytes = 0;

  if (wire->body_case == OH__RAFT_MESSAGE__BODY_SNAPSHOT_REQUEST)
    return wire->snapshot_request->data.len;
  if (wire->body_case != OH__RAFT_MESSAGE__BODY_APPEND_REQUEST)
    return 0;
  for (size_t i = 0; i < wire->append_request->n_entries; i++)
    bytes += wire->append_request->entries[i]->data.len + wire->append_request->entries[i]->packed_data.len;
  return bytes;
}

/* Queues a message on the replica's link, if that has a bandwidth. */
static void
queue_on_link (sim_node_t *to, message_t *message)
{
  to->queued_bytes += message->length;
  to->queued_peak = MAX (to->queued_peak, to->queued_bytes);
  if (to->link_bytes_per_s == 0)
    return;
  to->link_free_us
    = MAX (to->link_free_us, to->sim->now_us) + (int64_t)message->length * SIM_S / to->link_bytes_per_s;
  message->due_us = to->link_free_us + 100;
  to->link_delay_us = MAX (to->link_delay_us, message->due_us - to->sim->now_us);
}

static void
on_send (oh_raft_sink_t *sink, const oh_raft_replica_t *to, const Oh__RaftMessage *wire)
{
  sim_node_t *node = (sim_node_t *)sink;
  sim_t *sim = node->sim;
  const unsigned copies = 1 + (random_below (sim, 100) < sim->duplicate_percent);

  if (node->former_release && wire->body_case == OH__RAFT_MESSAGE__BODY_APPEND_REPLY)
    {
      wire->append_reply->unpacks = false;
      wire->append_reply->drains_zones = false;
    }
  for (unsigned slot = 0; slot < SIM_NODES_MAX; slot++)
    for (unsigned i = 0; g_str_equal (sim->nodes[slot].endpoint, to->endpoint) && i < copies; i++)
      {
        message_t *message;

        sim->nodes[slot].entry_bytes += entry_bytes (wire);
        if (random_below (sim, 100) < sim->loss_percent)
          continue;
        message = g_new0 (message_t, 1);
        message->due_us = sim->now_us + 100 + (int64_t)random_below (sim, (uint64_t)sim->delay_us);
        message->from = node->slot;
        message->to = slot;
        message->length = oh__raft_message__get_packed_size (wire);
        message->bytes = g_malloc (message->length);
        oh__raft_message__pack (wire, message->bytes);
        queue_on_link (&sim->nodes[slot], message);
        g_ptr_array_add (sim->messages, message);
      }
}

static void
on_persist (oh_raft_sink_t *sink, oh_persist_request_t *request)
{
  sim_node_t *node = (sim_node_t *)sink;

  /* The core has at most one request outstanding. */
  g_assert_null (node->request);
  node->request = request;
  node->request_due_us
    = node->sim->now_us + (node->sync_us > 0 ? node->sync_us : 100 + (int64_t)random_below (node->sim, 5000));
}

static void
on_apply (oh_raft_sink_t *sink, const oh_entry_t *entry)
{
  sim_node_t *node = (sim_node_t *)sink;
  sim_t *sim = node->sim;
  size_t length;
  const void *data = g_bytes_get_data (entry->data, &length);

  g_assert_cmpuint (entry->index, ==, node->applied + 1);
  node->applied = entry->index;
  node->digest = XXH64 (data, length, node->digest + entry->term);
  if (entry->index <= sim->terms->len)
    {
      g_assert_cmpuint (g_array_index (sim->terms, uint64_t, entry->index - 1), ==, entry->term);
      g_assert_cmpuint (g_array_index (sim->digests, uint64_t, entry->index - 1), ==, node->digest);
      return;
    }
  g_assert_cmpuint (entry->index, ==, sim->terms->len + 1);
  g_array_append_val (sim->applied_us, sim->now_us);
  g_array_append_val (sim->terms, entry->term);
  g_array_append_val (sim->digests, node->digest);
}

static void
on_install (oh_raft_sink_t *sink, const oh_snapshot_t *snapshot)
{
  sim_node_t *node = (sim_node_t *)sink;
  uint64_t state[2];

  g_assert_cmpuint (g_bytes_get_size (snapshot->data), >=, sizeof state);
  memcpy (state, g_bytes_get_data (snapshot->data, NULL), sizeof state);
  g_assert_cmpuint (state[0], ==, snapshot->index);
  g_assert_cmpuint (snapshot->index, >, node->applied);
  g_assert_cmpuint (snapshot->index, <=, node->sim->terms->len);
  g_assert_cmpuint (g_array_index (node->sim->digests, uint64_t, snapshot->index - 1), ==, state[1]);
  node->applied = snapshot->index;
  node->digest = state[1];
  node->snapshots_installed++;
}

static void
on_take_snapshot (oh_raft_sink_t *sink, uint64_t index)
{
  sim_node_t *node = (sim_node_t *)sink;

  g_assert_cmpuint (index, ==, node->applied);
  node->snapshot_wanted = true;
  node->snapshots_taken++;
}

static void
on_arm_timer (oh_raft_sink_t *sink, int64_t due_us)
{
  ((sim_node_t *)sink)->timer_us = due_us;
}

static void
on_changed (oh_raft_sink_t *sink)
{
  sim_node_t *node = (sim_node_t *)sink;

  node->changes++;
  check_leader (node->sim, node);
}

static void
on_proposed (oh_raft_sink_t *sink, uint64_t tag, oh_raft_proposal_result_t result, uint64_t index,
             uint64_t term)
{
  sim_node_t *node = (sim_node_t *)sink;

  g_assert_cmpuint (tag, ==, PROPOSAL_TAG);
  node->proposal = result;
  node->proposal_index = index;
  node->proposal_term = term;
}

static void
on_log (oh_raft_sink_t *sink, const char *event, const char *pairs)
{
  if (g_test_verbose ())
    g_test_message ("%" PRId64 " %s %s", ((sim_node_t *)sink)->sim->now_us / SIM_MS, event, pairs);
}

static const oh_raft_sink_ops_t sink_ops = {
  .send = on_send,
  .persist = on_persist,
  .apply = on_apply,
  .install = on_install,
  .take_snapshot = on_take_snapshot,
  .arm_timer = on_arm_timer,
  .changed = on_changed,
  .proposed = on_proposed,
  .log = on_log,
};

/* Invariants. */

static void
check_leader (sim_t *sim, sim_node_t *node)
{
  uint64_t term = oh_raft_term (&node->raft);
  const uint64_t id = oh_raft_id (&node->raft);
  const uint64_t *known = g_hash_table_lookup (sim->leaders, &term);

  if (oh_raft_role (&node->raft) != OH_RAFT_LEADER)
    return;
  if (known != NULL)
    {
      g_assert_cmpuint (*known, ==, id);
      return;
    }
  g_hash_table_insert (sim->leaders, g_memdup2 (&term, sizeof term), g_memdup2 (&id, sizeof id));
  for (uint64_t i = node->raft.log.snapshot.index + 1; i <= sim->terms->len; i++)
    {
      uint64_t own = UINT64_MAX;

      g_assert_true (oh_raft_log_term (&node->raft.log, i, &own));
      g_assert_cmpuint (own, ==, g_array_index (sim->terms, uint64_t, i - 1));
    }
}

/* A confirmed replica holds what any replica had applied OH_RAFT_CONFIRMED_US ago, plus the delay of the
 * leader's message. */
static void
check_confirmed (sim_t *sim)
{
  for (unsigned i = 0; i < SIM_NODES_MAX; i++)
    {
      const sim_node_t *node = &sim->nodes[i];
      const int64_t age_us = OH_RAFT_CONFIRMED_US + sim->delay_us + SIM_MS + node->link_delay_us;
      uint64_t required = sim->applied_us->len;

      if (!node->alive)
        continue;
      while (required > 0 && sim->now_us - g_array_index (sim->applied_us, int64_t, required - 1) <= age_us)
        required--;
      if (node->applied < required && oh_raft_confirmed (&node->raft, sim->now_us))
        g_error ("seed %u, at %" PRId64 " us: %s is confirmed at %" PRIu64 ", but %" PRIu64 " was applied",
                 sim->seed, sim->now_us, node->name, node->applied, required);
    }
}

void
sim_check_logs (sim_t *sim)
{
  for (unsigned a = 0; a < SIM_NODES_MAX; a++)
    for (unsigned b = a + 1; b < SIM_NODES_MAX; b++)
      {
        const oh_raft_log_t *left = &sim->nodes[a].raft.log;
        const oh_raft_log_t *right = &sim->nodes[b].raft.log;
        bool same = false;

        if (!sim->nodes[a].alive || !sim->nodes[b].alive)
          continue;
        /* All entries up to the last one with equal index and term must be equal. */
        for (uint64_t i = MIN (oh_raft_log_last_index (left), oh_raft_log_last_index (right)); i > 0; i--)
          {
            const oh_entry_t *x = oh_raft_log_get (left, i);
            const oh_entry_t *y = oh_raft_log_get (right, i);

            if (x == NULL || y == NULL)
              break;
            same = same || x->term == y->term;
            if (same)
              g_assert_true (x->term == y->term && x->kind == y->kind && g_bytes_equal (x->data, y->data));
          }
      }
}

/* Disk. */

static void
write_disk (sim_node_t *node, const oh_persist_request_t *request)
{
  oh_recovered_state_t *disk = &node->disk;

  disk->hard = request->hard;
  if (request->snapshot.index > 0)
    {
      unsigned covered = 0;

      while (covered < disk->entries->len
             && ((oh_entry_t *)disk->entries->pdata[covered])->index <= request->snapshot.index)
        covered++;
      if (covered > 0)
        g_ptr_array_remove_range (disk->entries, 0, covered);
      oh_snapshot_clear (&disk->snapshot);
      oh_snapshot_copy (&disk->snapshot, &request->snapshot);
    }
  while (request->truncate_from > 0 && disk->entries->len > 0
         && ((oh_entry_t *)disk->entries->pdata[disk->entries->len - 1])->index >= request->truncate_from)
    g_ptr_array_set_size (disk->entries, (int)disk->entries->len - 1);
  for (unsigned i = 0; i < request->entries->len; i++)
    {
      const oh_entry_t *entry = request->entries->pdata[i];

      g_assert_cmpuint (entry->index, ==, disk->snapshot.index + disk->entries->len + 1);
      g_ptr_array_add (disk->entries, oh_entry_new (entry->index, entry->term, entry->kind, entry->data));
    }
}

static void
finish_request (sim_node_t *node)
{
  oh_persist_request_t *request = g_steal_pointer (&node->request);
  oh_raft_event_t event = { .kind = OH_RAFT_SYNCED, .persist = { .id = request->id } };

  if (node->disk_full)
    {
      event.kind = OH_RAFT_STORAGE_FAILED;
      event.persist.full = true;
    }
  else
    write_disk (node, request);
  oh_persist_request_free (request);
  handle (node, event);
}

/* Start and stop. */

void
sim_start (sim_t *sim, unsigned slot)
{
  sim_node_t *node = &sim->nodes[slot];
  oh_raft_replica_t initial[SIM_NODES_MAX];

  g_assert_false (node->alive);
  for (unsigned i = 0; i < sim->n_initial; i++)
    initial[i] = (oh_raft_replica_t){ .name = sim->nodes[i].name, .endpoint = sim->nodes[i].endpoint };
  if (node->disk.id == 0)
    {
      node->disk.name = g_strdup (node->name);
      node->disk.id = 1 + random_below (sim, INT64_MAX);
      node->disk.entries = g_ptr_array_new_with_free_func (oh_entry_free);
    }
  node->alive = true;
  node->applied = 0;
  node->digest = 0;
  node->timer_us = INT64_MAX;
  oh_raft_init (&node->raft, &sim->random.base);
  handle (node, (oh_raft_event_t){ .kind = OH_RAFT_START,
                                   .start = {
                                     .recovered = &node->disk,
                                     .initial = initial,
                                     .n_initial = sim->n_initial,
                                     .endpoint = node->endpoint,
                                     .join = node->join,
                                     .compact_entries = sim->compact_entries,
                                     .target_voters = sim->target_voters,
                                     .observer = node->observer,
                                     .may_bootstrap = !node->started,
                                   } });
  node->started = true;
}

void
sim_crash (sim_t *sim, unsigned slot)
{
  sim_node_t *node = &sim->nodes[slot];

  if (!node->alive)
    return;
  node->alive = false;
  if (node->request != NULL)
    {
      if (!node->disk_full && random_below (sim, 2) == 0)
        write_disk (node, node->request);
      oh_persist_request_free (g_steal_pointer (&node->request));
    }
  oh_raft_finish (&node->raft);
  if (node->observer)
    {
      oh_recovered_state_clear (&node->disk);
      node->disk = (oh_recovered_state_t){ 0 };
    }
}

void
sim_lose_disk (sim_t *sim, unsigned slot)
{
  sim_crash (sim, slot);
  oh_recovered_state_clear (&sim->nodes[slot].disk);
  sim->nodes[slot].disk = (oh_recovered_state_t){ 0 };
}

void
sim_stop (sim_t *sim, unsigned slot)
{
  sim_node_t *node = &sim->nodes[slot];
  const int64_t end_us = sim->now_us + OH_RAFT_LEAVE_LIMIT_US;

  handle (node, (oh_raft_event_t){ .kind = OH_RAFT_LEAVE });
  while (sim->now_us < end_us && !oh_raft_may_stop (&node->raft))
    sim_run (sim, SIM_MS);
  sim_crash (sim, slot);
}

static void
set_address (sim_node_t *node)
{
  const unsigned number = node->slot + SIM_NODES_MAX * node->machines;

  g_free (node->name);
  g_free (node->endpoint);
  node->name = g_strdup_printf ("r%u", number);
  node->endpoint = g_strdup_printf ("tcp://127.0.0.1:%u", 9000 + number);
}

void
sim_renew_machine (sim_t *sim, unsigned slot)
{
  sim_node_t *node = &sim->nodes[slot];

  sim_lose_disk (sim, slot);
  node->machines++;
  node->join = true;
  node->isolated = false;
  set_address (node);
}

void
sim_init (sim_t *sim, uint32_t seed, unsigned n_initial)
{
  sim_init_voters (sim, seed, n_initial, 0);
}

void
sim_init_voters (sim_t *sim, uint32_t seed, unsigned n_initial, unsigned target_voters)
{
  *sim = (sim_t){
    .seed = seed,
    .target_voters = target_voters,
    .now_us = SIM_S,
    .n_initial = n_initial,
    .delay_us = 2 * SIM_MS,
    .messages = g_ptr_array_new_with_free_func (message_free),
    .terms = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
    .digests = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
    .applied_us = g_array_new (FALSE, FALSE, sizeof (int64_t)),
    .leaders = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free),
  };
  oh_seeded_random_init (&sim->random, seed);
  for (unsigned i = 0; i < SIM_NODES_MAX; i++)
    {
      sim->nodes[i] = (sim_node_t){
        .sink = { .ops = &sink_ops },
        .sim = sim,
        .slot = i,
        .join = i >= n_initial,
      };
      set_address (&sim->nodes[i]);
    }
  for (unsigned i = 0; i < n_initial && target_voters == 0; i++)
    sim_start (sim, i);
}

void
sim_finish (sim_t *sim)
{
  for (unsigned i = 0; i < SIM_NODES_MAX; i++)
    {
      sim_lose_disk (sim, i);
      g_free (sim->nodes[i].name);
      g_free (sim->nodes[i].endpoint);
    }
  g_ptr_array_unref (sim->messages);
  g_array_unref (sim->terms);
  g_array_unref (sim->digests);
  g_array_unref (sim->applied_us);
  g_hash_table_unref (sim->leaders);
  oh_seeded_random_finish (&sim->random);
}

/* Records the time since the last append request. */
static void
observe_heartbeat (sim_node_t *node)
{
  if (node->heartbeat_us != 0)
    node->heartbeat_gap_us = MAX (node->heartbeat_gap_us, node->sim->now_us - node->heartbeat_us);
  node->heartbeat_us = node->sim->now_us;
}

static void
deliver (sim_t *sim, message_t *message)
{
  sim_node_t *to = &sim->nodes[message->to];
  Oh__RaftMessage *wire;

  to->queued_bytes -= message->length;
  if (!to->alive || to->isolated || sim->nodes[message->from].isolated)
    return;
  wire = oh__raft_message__unpack (NULL, message->length, message->bytes);
  g_assert_nonnull (wire);
  if (wire->body_case == OH__RAFT_MESSAGE__BODY_APPEND_REQUEST)
    observe_heartbeat (to);
  handle (to, (oh_raft_event_t){ .kind = OH_RAFT_MESSAGE, .message = wire });
  oh__raft_message__free_unpacked (wire, NULL);
}

/* Handles the next event up to end_us; false if there is none. */
static bool
step (sim_t *sim, int64_t end_us)
{
  int64_t due_us = end_us;
  int message = -1;
  sim_node_t *sync = NULL;
  sim_node_t *timer = NULL;

  for (unsigned i = 0; i < sim->messages->len; i++)
    if (((message_t *)sim->messages->pdata[i])->due_us <= due_us)
      {
        due_us = ((message_t *)sim->messages->pdata[i])->due_us;
        message = (int)i;
      }
  for (unsigned i = 0; i < SIM_NODES_MAX; i++)
    {
      sim_node_t *node = &sim->nodes[i];

      if (node->alive && node->request != NULL && node->request_due_us <= due_us)
        {
          due_us = node->request_due_us;
          sync = node;
          timer = NULL;
        }
      if (node->alive && node->timer_us <= due_us)
        {
          due_us = node->timer_us;
          timer = node;
          sync = NULL;
        }
    }
  sim->now_us = MAX (sim->now_us, due_us);
  check_confirmed (sim);
  if (timer != NULL)
    {
      timer->timer_us = INT64_MAX;
      handle (timer, (oh_raft_event_t){ .kind = OH_RAFT_TIMER });
    }
  else if (sync != NULL)
    finish_request (sync);
  else if (message >= 0)
    {
      message_t *taken = g_ptr_array_steal_index_fast (sim->messages, (unsigned)message);

      deliver (sim, taken);
      message_free (taken);
    }
  else
    return false;
  return true;
}

void
sim_run (sim_t *sim, int64_t duration_us)
{
  const int64_t end_us = sim->now_us + duration_us;

  while (step (sim, end_us))
    ;
  sim->now_us = end_us;
}

sim_node_t *
sim_leader (sim_t *sim)
{
  sim_node_t *leader = NULL;

  for (unsigned i = 0; i < SIM_NODES_MAX; i++)
    {
      sim_node_t *node = &sim->nodes[i];

      if (node->alive && !node->isolated && oh_raft_role (&node->raft) == OH_RAFT_LEADER
          && (leader == NULL || oh_raft_term (&node->raft) > oh_raft_term (&leader->raft)))
        leader = node;
    }
  return leader;
}

static void G_GNUC_NORETURN
fail_timeout (sim_t *sim, const char *what)
{
  for (unsigned i = 0; i < SIM_NODES_MAX; i++)
    if (sim->nodes[i].alive)
      g_printerr ("%s role=%s term=%" PRIu64 " commit=%" PRIu64 " last=%" PRIu64 " replicas=%u\n",
                  sim->nodes[i].name, oh_raft_role_name (oh_raft_role (&sim->nodes[i].raft)),
                  oh_raft_term (&sim->nodes[i].raft), oh_raft_commit_index (&sim->nodes[i].raft),
                  oh_raft_last_index (&sim->nodes[i].raft), oh_raft_replicas (&sim->nodes[i].raft)->len);
  g_error ("seed %u, at %" PRId64 " us: no %s within the limit", sim->seed, sim->now_us, what);
}

sim_node_t *
sim_wait_leader (sim_t *sim, int64_t limit_us)
{
  const int64_t end_us = sim->now_us + limit_us;

  while (sim->now_us < end_us)
    {
      sim_node_t *leader = sim_leader (sim);

      if (leader != NULL && oh_raft_confirmed (&leader->raft, sim->now_us))
        return leader;
      sim_run (sim, 10 * SIM_MS);
    }
  fail_timeout (sim, "leader");
}

static void
fill_random (sim_t *sim, uint8_t *bytes, size_t length)
{
  for (size_t i = 0; i < length; i++)
    bytes[i] = (uint8_t)random_below (sim, 256);
}

oh_raft_proposal_result_t
sim_propose (sim_t *sim, sim_node_t *node)
{
  const uint64_t command = ++sim->next_command;
  const size_t length = MAX (sizeof command, sim->command_bytes);
  uint8_t *bytes = g_malloc0 (length);
  g_autoptr (GBytes) data = g_bytes_new_take (bytes, length);

  if (!sim->compressible)
    fill_random (sim, bytes, length);
  memcpy (bytes, &command, sizeof command);
  handle (node,
          (oh_raft_event_t){ .kind = OH_RAFT_PROPOSE, .propose = { .tag = PROPOSAL_TAG, .data = data } });
  return node->proposal;
}

oh_raft_proposal_result_t
sim_change (sim_t *sim, sim_node_t *node, oh_raft_event_kind_t kind, unsigned slot)
{
  handle (node, (oh_raft_event_t){ .kind = kind,
                                   .membership = {
                                     .tag = PROPOSAL_TAG,
                                     .name = sim->nodes[slot].name,
                                     .endpoint = sim->nodes[slot].endpoint,
                                   } });
  return node->proposal;
}

uint64_t
sim_commit (sim_t *sim, int64_t limit_us)
{
  const int64_t end_us = sim->now_us + limit_us;

  while (sim->now_us < end_us)
    {
      sim_node_t *leader = sim_leader (sim);
      uint64_t index;
      uint64_t term;

      if (leader == NULL || sim_propose (sim, leader) != OH_RAFT_PROPOSED)
        {
          sim_run (sim, 10 * SIM_MS);
          continue;
        }
      index = leader->proposal_index;
      term = leader->proposal_term;
      while (sim->now_us < end_us && leader->alive && oh_raft_role (&leader->raft) == OH_RAFT_LEADER)
        {
          if (sim->terms->len >= index && g_array_index (sim->terms, uint64_t, index - 1) == term)
            return index;
          sim_run (sim, 5 * SIM_MS);
        }
    }
  fail_timeout (sim, "commit");
}

void
sim_wait_applied (sim_t *sim, unsigned slot, uint64_t index, int64_t limit_us)
{
  const int64_t end_us = sim->now_us + limit_us;

  while (sim->nodes[slot].applied < index)
    {
      if (sim->now_us >= end_us)
        fail_timeout (sim, "applied entry");
      sim_run (sim, 10 * SIM_MS);
    }
}

/* True if the replica is in the set of the leader. A replica that was removed while it was isolated does not
 * know that, so sim_wait_role leaves it out. */
static bool
is_member (sim_t *sim, uint64_t id)
{
  const sim_node_t *leader = sim_leader (sim);

  return leader != NULL && oh_raft_replicas_find (oh_raft_replicas (&leader->raft), id) != NULL;
}

void
sim_wait_role (sim_t *sim, unsigned slot, int role, int64_t limit_us)
{
  const int64_t end_us = sim->now_us + limit_us;

  for (;;)
    {
      bool agreed = sim_leader (sim) != NULL;

      for (unsigned i = 0; i < SIM_NODES_MAX; i++)
        {
          const oh_raft_replica_t *replica;

          if (!sim->nodes[i].alive || sim->nodes[i].isolated || !is_member (sim, sim->nodes[i].disk.id))
            continue;
          replica = oh_raft_replicas_find (oh_raft_replicas (&sim->nodes[i].raft), sim->nodes[slot].disk.id);
          agreed = agreed && (replica != NULL ? (int)replica->role : -1) == role;
        }
      if (agreed)
        return;
      if (sim->now_us >= end_us)
        fail_timeout (sim, "agreed role");
      sim_run (sim, 10 * SIM_MS);
    }
}
