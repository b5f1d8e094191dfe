#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "core/raft_log.h"
#include "core/raft_replicas.h"
#include "ports/random.h"
#include "ports/storage.h"
#include "wire/raft.pb-c.h"

/*
 * Raft without I/O: one event in, actions to a sink. Pre-vote, check-quorum, sync before each vote and append
 * answer, commit of own-term entries only, snapshots, and membership changes of one replica at a time.
 *
 * A replica is identified by its id, not by its name: one that lost its disk is another replica with the same
 * name. With an empty data folder it sends Hello to the initial set. When all initial replicas are in that
 * state and know the same ids, they form the cluster. Otherwise the leader adds the new id as a learner,
 * removes the old id of the same name once the learner has caught up, and then promotes the learner. A name
 * that is not in the replica set waits until an operator adds it (OH_RAFT_ADD_REPLICA).
 *
 * With a number of voters given at the start, the leader manages the set itself: it takes any replica that
 * asks as a learner, promotes one that has caught up while voters are missing, and demotes a voter that has
 * been out of contact for OH_RAFT_VOTER_TIMEOUT_US when a learner can take its place. Such a cluster has one
 * founder: the first of the initial set if it has a disk, otherwise the first replica with a disk that asks
 * it, on the first start of the deployment. All others join. Commands wait until the voters are complete, but
 * no longer than OH_RAFT_SECOND_VOTER_WAIT_US.
 *
 * An observer keeps nothing on disk and never votes; it receives the log, and is another replica after each
 * start.
 *
 * At most one persist request is outstanding; what changes meanwhile goes into the next one.
 */

enum
{
  OH_RAFT_ELECTION_MIN_US = 300000,
  OH_RAFT_ELECTION_MAX_US = 600000,
  /* Until a replica knows a leader after its start: all may have stopped at once, and the pre-vote protects a
   * leader that lives. */
  OH_RAFT_FIRST_ELECTION_MIN_US = 40000,
  OH_RAFT_FIRST_ELECTION_MAX_US = 120000,
  OH_RAFT_HEARTBEAT_US = 100000,
  OH_RAFT_CONFIRMED_US = 1000000,          /* age of quorum contact up to which a replica is confirmed */
  OH_RAFT_COMMAND_MAX_BYTES = 2304 * 1024, /* a document and a text of the greatest size */
  OH_RAFT_SECOND_VOTER_WAIT_US = 5000000,
  OH_RAFT_VOTER_TIMEOUT_US = 3000000,
  OH_RAFT_LEARNER_TIMEOUT_US = 60000000, /* a learner out of contact for this time makes room for others */
  OH_RAFT_COMPACT_ENTRIES = 1024,        /* default number of applied entries between snapshots */
};

typedef enum
{
  OH_RAFT_UNFORMED, /* belongs to no cluster yet */
  OH_RAFT_FOLLOWER, /* learners too */
  OH_RAFT_CANDIDATE,
  OH_RAFT_LEADER,
  OH_RAFT_FAILED, /* storage error; only a restart leaves this state */
} oh_raft_role_t;

typedef enum
{
  OH_RAFT_START,          /* first event */
  OH_RAFT_TIMER,          /* the armed timer is due; early and repeated ones are harmless */
  OH_RAFT_MESSAGE,        /* a message from a replica, authenticated by the transport */
  OH_RAFT_PROPOSE,        /* a command; answered by the proposed action */
  OH_RAFT_ADD_REPLICA,    /* name and endpoint; answered by the proposed action */
  OH_RAFT_REMOVE_REPLICA, /* name; answered by the proposed action */
  OH_RAFT_SEEDS,          /* other replicas to ask for the cluster, or to tell about it */
  OH_RAFT_SYNCED,         /* the persist request with this id is durable */
  OH_RAFT_STORAGE_FAILED, /* the persist request with this id failed */
  OH_RAFT_SNAPSHOT_READY, /* answer to take_snapshot */
} oh_raft_event_kind_t;

/* Everything an event refers to is borrowed for the call. */
typedef struct
{
  oh_raft_event_kind_t kind;
  int64_t now_us;
  union
  {
    struct
    {
      const oh_recovered_t *recovered;
      const oh_raft_replica_t *initial; /* names and endpoints, this replica included */
      size_t n_initial;
      const char *endpoint;     /* of this replica */
      bool join;                /* never form a cluster from an empty data folder */
      unsigned compact_entries; /* applied entries between snapshots; 0 for the default */
      unsigned target_voters;   /* that the leader keeps up by itself; 0: operators change the set */
      bool observer;            /* nothing is on disk */
      bool may_bootstrap;       /* with voters: first start of the whole deployment */
    } start;
    const Oh__RaftMessage *message;
    struct
    {
      const oh_raft_replica_t *seeds; /* names and endpoints */
      size_t n_seeds;
    } seeds;
    struct
    {
      uint64_t tag; /* returned in the proposed action */
      GBytes *data;
    } propose;
    struct
    {
      uint64_t tag;
      const char *name;
      const char *endpoint;
    } membership;
    struct
    {
      uint64_t id;
      bool full; /* STORAGE_FAILED: OH_ERROR_CODE_NO_SPACE; otherwise the error is final */
    } persist;
    struct
    {
      uint64_t index;
      GBytes *data;
    } snapshot;
  };
} oh_raft_event_t;

typedef enum
{
  OH_RAFT_PROPOSED,       /* appended at index; committed if an entry with this index and term is applied */
  OH_RAFT_NOT_LEADER,     /* not appended: send it to the leader */
  OH_RAFT_STORAGE_FULL,   /* not appended */
  OH_RAFT_CHANGE_PENDING, /* not appended: another membership change is under way */
  OH_RAFT_CHANGE_INVALID, /* not appended: unknown or duplicate name, last voter, too large, set full */
  OH_RAFT_NOT_READY,      /* not appended: try again; membership: no entry of the term is committed yet */
} oh_raft_proposal_result_t;

typedef struct oh_raft_sink oh_raft_sink_t;

/* Actions. None of them may call oh_raft_handle; what they refer to is borrowed unless stated. */
typedef struct
{
  /* May be lost, delayed, duplicated and reordered. */
  void (*send) (oh_raft_sink_t *sink, const oh_raft_replica_t *to, const Oh__RaftMessage *message);

  /* The sink owns the request (oh_persist_free) and answers with SYNCED or STORAGE_FAILED. */
  void (*persist) (oh_raft_sink_t *sink, oh_persist_t *request);

  /* Called in order of the index, for each committed entry, no-ops and replica sets too. */
  void (*apply) (oh_raft_sink_t *sink, const oh_entry_t *entry);

  /* Replaces the applied state; the next entry applied is snapshot->index + 1. */
  void (*install) (oh_raft_sink_t *sink, const oh_snapshot_t *snapshot);

  /* Asks for the applied state as bytes, which is the state after the entry at index. Answered by
   * SNAPSHOT_READY with the same index, at any later time. */
  void (*take_snapshot) (oh_raft_sink_t *sink, uint64_t index);

  /* Replaces the armed timer. */
  void (*arm_timer) (oh_raft_sink_t *sink, int64_t due_us);

  /* Role, leader, term, replica set or quorum contact changed. */
  void (*changed) (oh_raft_sink_t *sink);

  void (*proposed) (oh_raft_sink_t *sink, uint64_t tag, oh_raft_proposal_result_t result, uint64_t index,
                    uint64_t term);

  /* One log line in the form of base/log.h: event name and key=value pairs. */
  void (*log) (oh_raft_sink_t *sink, const char *event, const char *pairs);
} oh_raft_sink_ops_t;

struct oh_raft_sink
{
  const oh_raft_sink_ops_t *ops;
};

/* A message that waits until what it promises is durable. */
typedef struct
{
  uint64_t persist_id;
  uint64_t term; /* dropped if the term has changed: the state that it describes may be overwritten */
  oh_raft_replica_t *to;
  Oh__RaftMessage__BodyCase kind;
  union
  {
    Oh__VoteRequest vote_request;
    Oh__VoteReply vote_reply;
    Oh__AppendReply append_reply;
    Oh__SnapshotReply snapshot_reply;
  };
} oh_raft_pending_message_t;

/* What a leader or candidate knows about another replica. */
typedef struct
{
  uint64_t id;
  uint64_t next_index;
  uint64_t match_index;
  int64_t
    contact_us; /* when the last message that it answered was sent; at first the start of the leadership */
  bool has_replied; /* under this leadership */
  int64_t sent_us;
  bool awaiting_reply; /* an append or a snapshot chunk is not answered yet */
  bool vote_granted;
  uint64_t snapshot_index; /* snapshot being sent */
  uint64_t snapshot_offset;
} oh_raft_peer_t;

/* The fields are private to the raft files; use the functions below. */
typedef struct
{
  oh_random_t *random;
  oh_raft_sink_t *sink; /* valid while an event is handled */
  int64_t now_us;

  oh_raft_replica_t *self;
  GPtrArray *known_replicas; /* of oh_raft_replica_t *; ids are filled in as they become known */
  GHashTable *agreeing_ids;  /* ids whose last Hello listed the same ids as initial does */
  uint64_t
    hello_nonce; /* a Hello agrees only if it answers this, so that one of a lost replica does not count */
  uint64_t last_nonces[OH_RAFT_REPLICAS_MAX]; /* last nonce of each of initial */
  bool join;
  unsigned compact_entries;
  unsigned target_voters; /* 0: operators change the set */
  bool observer;
  bool may_bootstrap;
  bool first_seed;         /* this replica is the first of the initial set as it was given */
  uint64_t bootstrap_id;   /* id of the replica that was told to found the cluster; 0: none */
  int64_t leader_since_us; /* when the present leadership began */

  oh_raft_role_t role;
  oh_hard_state_t hard;
  oh_raft_log_t log;
  GPtrArray *replicas;     /* of oh_raft_replica_t *, the latest set in the log */
  uint64_t replicas_index; /* of the entry that holds it */
  uint64_t commit;
  uint64_t applied;
  bool snapshot_requested;

  oh_raft_replica_t *leader; /* NULL if not known */
  bool first_election_done;  /* since the start a leader was known, or a vote was begun */
  int64_t leader_contact_us;
  int64_t confirmed_us; /* follower: when the leader last had a quorum, 0 for never */
  uint64_t confirmed_commit;
  bool pre_vote;                /* candidate: in the pre-vote round */
  uint64_t own_vote_persist_id; /* persist request that makes the own vote durable */
  uint64_t term_start_index;    /* leader: index of its no-op */
  GArray *peers;                /* of oh_raft_peer_t */
  bool broadcast_pending;       /* leader: send appends at the end of the event */
  bool adjust_voters_pending;   /* leader: take the next step of a repair at the end of the event */
  int64_t election_due_us;
  int64_t heartbeat_due_us;
  int64_t hello_due_us;
  int64_t member_hello_due_us;
  int64_t started_us;

  oh_snapshot_t incoming_snapshot; /* snapshot being received */
  GByteArray *incoming_snapshot_data;
  uint64_t incoming_snapshot_length;
  uint64_t incoming_snapshot_digest;

  uint64_t persist_id; /* of the last request issued */
  bool persist_outstanding;
  uint64_t persist_from; /* first entry of the outstanding request, UINT64_MAX for none */
  uint64_t persist_term;
  bool persist_snapshot;
  uint64_t synced_id;
  uint64_t durable_term;
  bool dirty_hard;
  bool dirty_snapshot;
  uint64_t dirty_from; /* first entry not yet in a request, UINT64_MAX for none */
  bool storage_full;
  int64_t storage_retry_due_us;
  GQueue pending_messages; /* of oh_raft_pending_message_t * */

  int64_t armed_timer_us;
  bool report_change_pending;
} oh_raft_t;

/* The random source must outlive the core. */
void oh_raft_init (oh_raft_t *raft, oh_random_t *random);
void oh_raft_finish (oh_raft_t *raft);

void oh_raft_handle (oh_raft_t *raft, const oh_raft_event_t *event, oh_raft_sink_t *sink);

oh_raft_role_t oh_raft_role (const oh_raft_t *raft);
const char *oh_raft_role_name (oh_raft_role_t role);
uint64_t oh_raft_id (const oh_raft_t *raft);
uint64_t oh_raft_term (const oh_raft_t *raft);
uint64_t oh_raft_commit_index (const oh_raft_t *raft);
uint64_t oh_raft_applied_index (const oh_raft_t *raft);
uint64_t oh_raft_last_index (const oh_raft_t *raft);
bool oh_raft_storage_full (const oh_raft_t *raft);

/* NULL if not known. */
const char *oh_raft_leader_name (const oh_raft_t *raft);
const char *oh_raft_leader_endpoint (const oh_raft_t *raft);

/* Latest replica set of the log, committed or not; of oh_raft_replica_t *. */
const GPtrArray *oh_raft_replicas (const oh_raft_t *raft);

/* Latest committed replica set, of oh_raft_replica_t *; free with g_ptr_array_unref. */
GPtrArray *oh_raft_committed_replicas (const oh_raft_t *raft);

/*
 * True if the applied state was current within the last second: this replica leads, has committed an entry of
 * its term and a quorum was in contact within OH_RAFT_CONFIRMED_US, or it has applied everything that such a
 * leader had committed when it last heard from it within that time.
 */
bool oh_raft_confirmed (const oh_raft_t *raft, int64_t now_us);
