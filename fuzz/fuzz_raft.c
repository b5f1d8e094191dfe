#include "base/seeded_random.h"
#include "core/raft.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/*
 * Feeds arbitrary messages and events to the raft core, as from a faulty replica that has the cluster key.
 * The input is a byte that selects the start state, then steps: an operation byte and, for a message, two
 * bytes of length (little endian) and its bytes. Cluster and receiver of a message are set to values that the
 * core accepts.
 */

enum
{
  SELF = 11,
  CLUSTER = 77,
};

typedef struct
{
  oh_raft_sink_t sink; /* first member */
  oh_raft_t raft;
  int64_t now_us;
  oh_persist_request_t *request;
  uint64_t applied;
  uint64_t snapshot_wanted;
} core_t;

static void
on_send (oh_raft_sink_t *sink, const oh_raft_replica_t *to, const Oh__RaftMessage *message)
{
  const size_t length = oh__raft_message__get_packed_size (message);
  g_autofree uint8_t *bytes = g_malloc (length);

  oh__raft_message__pack (message, bytes);
}

static void
on_persist (oh_raft_sink_t *sink, oh_persist_request_t *request)
{
  core_t *core = (core_t *)sink;

  g_assert_null (core->request);
  core->request = request;
}

static void
on_apply (oh_raft_sink_t *sink, const oh_entry_t *entry)
{
  core_t *core = (core_t *)sink;

  g_assert_cmpuint (entry->index, ==, ++core->applied);
}

static void
on_install (oh_raft_sink_t *sink, const oh_snapshot_t *snapshot)
{
  core_t *core = (core_t *)sink;

  g_assert_cmpuint (snapshot->index, >, core->applied);
  core->applied = snapshot->index;
}

static void
on_take_snapshot (oh_raft_sink_t *sink, uint64_t index)
{
  ((core_t *)sink)->snapshot_wanted = index;
}

static void
on_arm_timer (oh_raft_sink_t *sink, int64_t due_us)
{
}

static void
on_changed (oh_raft_sink_t *sink)
{
}

static void
on_proposed (oh_raft_sink_t *sink, uint64_t tag, oh_raft_proposal_result_t result, uint64_t index,
             uint64_t term)
{
}

static void
on_log (oh_raft_sink_t *sink, const char *event, const char *pairs)
{
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

static void
handle (core_t *core, oh_raft_event_t event)
{
  event.now_us = core->now_us;
  oh_raft_handle (&core->raft, &event, &core->sink);
}

static void
answer_storage (core_t *core, oh_raft_event_kind_t kind)
{
  oh_persist_request_t *request = g_steal_pointer (&core->request);

  if (request == NULL)
    return;
  handle (core, (oh_raft_event_t){ .kind = kind, .persist = { .id = request->id, .full = true } });
  oh_persist_request_free (request);
}

/* voters: number of voters in the recovered replica set; 0: no cluster. */
static void
start (core_t *core, unsigned voters)
{
  g_autoptr (GPtrArray) replicas = oh_raft_replicas_new ();
  const oh_raft_replica_t initial[] = {
    { .name = "r0", .endpoint = "tcp://127.0.0.1:9000" },
    { .name = "r1", .endpoint = "tcp://127.0.0.1:9001" },
  };
  oh_recovered_state_t disk = {
    .name = g_strdup ("r0"),
    .id = SELF,
    .entries = g_ptr_array_new_with_free_func (oh_entry_free),
  };

  for (unsigned i = 0; i < voters; i++)
    {
      g_autofree char *name = g_strdup_printf ("r%u", i);

      oh_raft_replicas_add (replicas, oh_raft_replica_new (name, SELF + i, "tcp://127.0.0.1:9000",
                                                           OH__REPLICA_ROLE__REPLICA_VOTER));
    }
  g_autoptr (GBytes) set = oh_raft_replicas_encode (replicas);
  if (voters > 0)
    {
      disk.hard = (oh_hard_state_t){ .term = 1, .cluster = CLUSTER };
      g_ptr_array_add (disk.entries, oh_entry_new (1, 0, OH_ENTRY_REPLICAS, set));
      g_ptr_array_add (disk.entries, oh_entry_new (2, 1, OH_ENTRY_COMMAND, set));
    }
  handle (core, (oh_raft_event_t){ .kind = OH_RAFT_START,
                                   .start = {
                                     .recovered = &disk,
                                     .initial = initial,
                                     .n_initial = G_N_ELEMENTS (initial),
                                     .endpoint = "tcp://127.0.0.1:9000",
                                     .compact_entries = 4,
                                   } });
  oh_recovered_state_clear (&disk);
}

static void
receive (core_t *core, const uint8_t *bytes, size_t length)
{
  Oh__RaftMessage *message = oh__raft_message__unpack (NULL, length, bytes);

  if (message == NULL)
    return;
  message->to = SELF;
  message->cluster = message->body_case == OH__RAFT_MESSAGE__BODY_HELLO ? 0 : CLUSTER;
  handle (core, (oh_raft_event_t){ .kind = OH_RAFT_MESSAGE, .message = message });
  oh__raft_message__free_unpacked (message, NULL);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  oh_seeded_random_t random;
  core_t core = { .sink = { .ops = &sink_ops }, .now_us = 1000000 };
  g_autoptr (GBytes) command = g_bytes_new_static ("x", 1);

  if (size == 0)
    return 0;
  oh_seeded_random_init (&random, 1);
  oh_raft_init (&core.raft, &random.base);
  start (&core, data[0] % 4);
  data++;
  size--;
  while (size > 0)
    {
      const uint8_t operation = data[0] % 8;

      data++;
      size--;
      core.now_us += 1000;
      if (operation < 3 && size >= 2)
        {
          const size_t length = MIN ((size_t)(data[0] | data[1] << 8), size - 2);

          receive (&core, data + 2, length);
          data += 2 + length;
          size -= 2 + length;
        }
      else if (operation == 3)
        answer_storage (&core, OH_RAFT_STORAGE_FAILED);
      else if (operation == 4)
        handle (&core, (oh_raft_event_t){ .kind = OH_RAFT_PROPOSE, .propose = { .data = command } });
      else if (operation == 5)
        {
          core.now_us += OH_RAFT_ELECTION_MAX_US;
          handle (&core, (oh_raft_event_t){ .kind = OH_RAFT_TIMER });
        }
      else if (operation == 6 && core.snapshot_wanted == core.applied)
        handle (&core, (oh_raft_event_t){ .kind = OH_RAFT_SNAPSHOT_READY,
                                          .snapshot = { .index = core.snapshot_wanted, .data = command } });
      else
        answer_storage (&core, OH_RAFT_SYNCED);
    }
  g_clear_pointer (&core.request, oh_persist_request_free);
  oh_raft_finish (&core.raft);
  oh_seeded_random_finish (&random);
  return 0;
}
