#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "core/entry_packer.h"
#include "core/raft_log.h"
#include "core/raft_replicas.h"
#include "ports/random.h"
#include "ports/storage.h"
#include "wire/raft.pb-c.h"

/*
 * The Raft consensus algorithm without I/O: oh_raft_handle takes one event and calls actions of a sink. It
 * uses pre-vote and check-quorum, syncs before each vote and before acknowledging entries, commits by
 * counting replicas only for entries of its own term, takes snapshots, and changes the membership one replica
 * at a time.
 *
 * A replica is identified by its id, not by its name: one that lost its disk comes back as another replica of
 * the same name. With an empty data folder a replica sends Hello to the initial set. Once all initial
 * replicas have an empty data folder and list the same ids, they form the cluster. If there is a cluster
 * already, its leader adds the new id as a learner, removes the old voter of the same name once the learner
 * has caught up, and then promotes the learner. A replica whose name is not in the replica set waits until an
 * operator adds it (OH_RAFT_ADD_REPLICA).
 *
 * With target_voters > 0 the leader manages the set itself: it adds every replica that sends Hello, as a
 * learner or observer, promotes a caught-up learner while there are too few voters, and replaces a voter that
 * has been out of contact for OH_RAFT_VOTER_TIMEOUT_US by a caught-up learner: the learner becomes a voter
 * first, then the lost voter becomes a learner. A voter that is being stopped (OH_RAFT_LEAVE) is replaced in
 * the same way at once, so that a machine that does not come back leaves no gap in the quorum. Such a cluster
 * is bootstrapped by one replica, on the first start of the deployment: by the first of the initial set if it
 * has a disk, otherwise by the first replica with a disk that sends it Hello. All others join. So that what
 * is committed survives the loss of as many disks as target_voters stand for, commands are refused until the
 * set has that many voters, for OH_RAFT_FULL_SET_WAIT_US at most, and for ever while it has no more voters
 * than disks may be lost.
 *
 * Of two voters, one is a quorum if the disk of the other is known to be lost (raft_quorum.c).
 *
 * An observer keeps nothing on disk and never votes; it receives the log, and is a new replica, with a new
 * id, after each start.
 *
 * At most one persist request is outstanding; state that changes meanwhile goes into the next one.
 */

enum
{
  OH_RAFT_ELECTION_MIN_US = 300000,
  OH_RAFT_ELECTION_MAX_US = 600000,
  /* Election timeout after a start, until a leader is known or this replica has begun an election. It is
   * shorter since all replicas may have stopped at once; the pre-vote protects a leader that is alive. */
  OH_RAFT_FIRST_ELECTION_MIN_US = 40000,
  OH_RAFT_FIRST_ELECTION_MAX_US = 120000,
  OH_RAFT_HEARTBEAT_US = 100000,
  OH_RAFT_CONFIRMED_US = 1000000,          /* greatest age of the quorum contact of a confirmed replica */
  OH_RAFT_COMMAND_MAX_BYTES = 2304 * 1024, /* a document and a text, each of its greatest size */
  /* From the start of a replica until it accepts commands with fewer voters than target_voters. Longer than a
     VM that comes back is away. */
  OH_RAFT_FULL_SET_WAIT_US = 8000000,
  OH_RAFT_VOTER_TIMEOUT_US = 3000000, /* out of contact for longer, a voter may be demoted */
  OH_RAFT_LEAVE_LIMIT_US = 2000000,   /* from OH_RAFT_LEAVE to the end of the process, at most */
  OH_RAFT_LEARNER_TIMEOUT_US
  = 60000000,                     /* a non-voter out of contact this long is removed if the set is full */
  OH_RAFT_COMPACT_ENTRIES = 1024, /* default number of applied entries between snapshots */
};

typedef enum
{
  OH_RAFT_UNFORMED, /* belongs to no cluster */
  OH_RAFT_FOLLOWER, /* also learners and observers */
  OH_RAFT_CANDIDATE,
  OH_RAFT_LEADER,
  OH_RAFT_FAILED, /* storage error; only a restart leaves this state */
} oh_raft_role_t;

typedef enum
{
  OH_RAFT_START,          /* first event */
  OH_RAFT_TIMER,          /* the armed timer is due; early and repeated events are harmless */
  OH_RAFT_MESSAGE,        /* a message from a replica, authenticated by the transport */
  OH_RAFT_PROPOSE,        /* a command; answered by the proposed action */
  OH_RAFT_ADD_REPLICA,    /* name and endpoint; answered by the proposed action */
  OH_RAFT_REMOVE_REPLICA, /* name; answered by the proposed action */
  OH_RAFT_SEEDS,          /* further replicas to send Hello to */
  OH_RAFT_LEAVE,          /* the process is being stopped; see oh_raft_may_stop */
  OH_RAFT_SYNCED,         /* the persist request with this id is durable */
  OH_RAFT_STORAGE_FAILED, /* the persist request with this id failed */
  OH_RAFT_SNAPSHOT_READY, /* result of take_snapshot */
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
      const oh_recovered_state_t *recovered;
      const oh_raft_replica_t *initial; /* names and endpoints, this replica included */
      size_t n_initial;
      const char *endpoint;     /* of this replica */
      bool join;                /* only join a cluster, never form one */
      unsigned compact_entries; /* applied entries between snapshots; 0 for the default */
      unsigned target_voters;   /* number of voters that the leader maintains; 0: operators change the set */
      bool observer;            /* keeps nothing on disk and never votes */
      bool may_bootstrap;       /* with target_voters: first start of the whole deployment */
    } start;
    const Oh__RaftMessage *message;
    struct
    {
      const oh_raft_replica_t *seeds; /* names and endpoints */
      size_t n_seeds;
    } seeds;
    struct
    {
      uint64_t tag; /* passed to the proposed action */
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
      bool full; /* STORAGE_FAILED: no space, a later request may succeed; false: final error */
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
  OH_RAFT_CHANGE_INVALID, /* not appended: invalid, unknown or duplicate name, last voter, set full,
                             command too large */
  OH_RAFT_NOT_READY,      /* not appended: try again when the set has enough voters, or for membership
                             changes, when an entry of the term is committed */
} oh_raft_proposal_result_t;

typedef struct oh_raft_sink oh_raft_sink_t;

/* Actions. None of them may call oh_raft_handle; arguments are borrowed unless stated otherwise. */
typedef struct
{
  /* Messages may be lost, delayed, duplicated and reordered. */
  void (*send) (oh_raft_sink_t *sink, const oh_raft_replica_t *to, const Oh__RaftMessage *message);

  /* The sink takes ownership of the request (oh_persist_request_free) and answers with OH_RAFT_SYNCED or
   * OH_RAFT_STORAGE_FAILED. */
  void (*persist) (oh_raft_sink_t *sink, oh_persist_request_t *request);

  /* Called for each committed entry in order of the index, including no-ops and replica sets. */
  void (*apply) (oh_raft_sink_t *sink, const oh_entry_t *entry);

  /* Replaces the applied state; the next entry applied is snapshot->index + 1. */
  void (*install) (oh_raft_sink_t *sink, const oh_snapshot_t *snapshot);

  /* Asks for the applied state as bytes, as it is after the entry at index. Answered by
   * OH_RAFT_SNAPSHOT_READY with the same index, at any later time. */
  void (*take_snapshot) (oh_raft_sink_t *sink, uint64_t index);

  /* Replaces the armed timer. */
  void (*arm_timer) (oh_raft_sink_t *sink, int64_t due_us);

  /* Role, leader, term, replica set or the result of oh_raft_confirmed changed, or a persist request failed.
   */
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

/* A message that is sent once the state that it acknowledges is durable. */
typedef struct
{
  uint64_t persist_id; /* persist request that must be synced first */
  uint64_t term; /* dropped if the term has changed: the state that it acknowledges may be overwritten */
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
  uint64_t next_index;  /* of the next entry to send */
  uint64_t match_index; /* last entry known to be durable there and to agree with the leader's log */
  uint64_t sent_commit; /* commit index in the last append request */
  /* When the last request that it replied to was sent; at first the start of the leadership. */
  int64_t contact_us;
  int64_t added_us;     /* when this replica learned that the other one is in the set */
  bool has_replied;     /* to this leader in this term */
  bool leaving;         /* it is being stopped, by its last reply */
  int64_t last_sent_us; /* stamp of the last request, heartbeats included; no two have the same */
  /* The outstanding request: entries, the first append of a term, or a chunk of a snapshot. There is one at a
   * time; meanwhile heartbeats carry no entries. */
  bool awaiting_reply;      /* there is one */
  int64_t sent_us;          /* its stamp */
  uint64_t request_end;     /* last index of the log that it covers */
  bool request_is_chunk;    /* of a snapshot */
  bool unpacks;             /* the peer understands compressed entries and snapshots */
  bool snapshot_received;   /* all of the snapshot has arrived, but is not durable there yet */
  bool vote_granted;        /* in this vote or pre-vote round */
  uint64_t snapshot_index;  /* of the snapshot being sent; 0: none */
  uint64_t snapshot_offset; /* of the next chunk, in bytes */
  bool snapshot_packed;     /* it is sent compressed */
} oh_raft_peer_t;

/* The fields are private to the raft files; use the functions below. */
typedef struct
{
  oh_random_t *random;
  oh_raft_sink_t *sink; /* valid while an event is handled */
  int64_t now_us;

  oh_raft_replica_t *self;
  /* Of oh_raft_replica_t *: the initial set, and replicas learned of later. An id of 0 is not known yet. */
  GPtrArray *known_replicas;
  GHashTable *agreeing_ids; /* ids of replicas whose last Hello listed the ids in known_replicas */
  /* Drawn anew when a known id changes. A Hello counts as agreement only if it echoes this nonce, so that one
   * of a replica that has lost its disk since does not count. */
  uint64_t hello_nonce;
  uint64_t last_nonces[OH_RAFT_REPLICAS_MAX]; /* of the last Hello of each of known_replicas */
  bool join;                                  /* this replica takes no part in forming a cluster */
  unsigned compact_entries;
  unsigned target_voters; /* 0: operators change the set */
  bool observer;
  bool may_bootstrap;    /* this replica may bootstrap the cluster, or appoint the one that does */
  bool first_seed;       /* this replica is the first of the initial set */
  uint64_t bootstrap_id; /* id of the replica that was appointed to bootstrap the cluster; 0: none */

  oh_raft_role_t role;
  bool leaving; /* OH_RAFT_LEAVE was received */
  oh_hard_state_t hard;
  oh_raft_log_t log;
  GPtrArray *replicas;          /* of oh_raft_replica_t *, the latest set in the log, committed or not */
  GArray *lost_ids;             /* of uint64_t: replicas of the set whose disks are known to be lost */
  uint64_t set_digest;          /* of replicas */
  GArray *zone_drain_ids;       /* of uint64_t: replicas of the set that understand drains of zones */
  uint64_t reply_nonce;         /* for HelloReply */
  uint64_t replicas_index;      /* of the entry or snapshot that holds it */
  GPtrArray *previous_replicas; /* the set before it; NULL if there is none in the log */
  uint64_t commit;              /* highest committed index known */
  uint64_t applied;             /* highest applied index */
  bool snapshot_requested;      /* take_snapshot is not answered yet */

  oh_raft_replica_t *leader; /* NULL if not known */
  bool first_election_done;  /* since the start, a leader was known or this replica began an election */
  int64_t leader_contact_us;
  int64_t confirmed_us;           /* follower: when the leader was last in contact with a quorum; 0: never */
  uint64_t confirmed_commit;      /* commit index of the leader at that contact */
  bool pre_vote;                  /* candidate: in the pre-vote round, not the vote */
  uint64_t own_vote_persist_id;   /* persist request that makes this replica's own vote durable */
  uint64_t term_start_index;      /* leader: index of the no-op that begins its term */
  GArray *peers;                  /* of oh_raft_peer_t */
  oh_entry_packer_t packer;       /* of entries for the peers */
  GBytes *packed_snapshot;        /* data of a snapshot, compressed; NULL until one is sent so */
  uint64_t packed_snapshot_index; /* index of that snapshot */
  bool broadcast_pending;         /* leader: send appends at the end of the event */
  bool adjust_voters_pending;     /* leader: call oh_raft_adjust_voters at the end of the event */
  int64_t election_due_us;
  int64_t votes_due_us; /* candidate: when the votes that are missing are requested again */
  int64_t heartbeat_due_us;
  int64_t hello_due_us;
  int64_t member_hello_due_us;
  int64_t started_us;

  oh_snapshot_t incoming_snapshot; /* snapshot being received */
  GByteArray *incoming_snapshot_data;
  uint64_t incoming_snapshot_length;
  uint64_t incoming_snapshot_digest;
  bool incoming_snapshot_packed;

  uint64_t persist_id; /* of the last persist request issued */
  bool persist_outstanding;
  uint64_t persist_from; /* first entry of the outstanding request, UINT64_MAX for none */
  uint64_t persist_term; /* term in the outstanding request */
  bool persist_snapshot; /* the outstanding request holds a snapshot */
  uint64_t synced_id;    /* of the last durable request */
  uint64_t durable_term;
  bool dirty_hard;     /* the hard state is not in a request yet */
  bool dirty_snapshot; /* the snapshot is not in a request yet */
  uint64_t dirty_from; /* first entry not yet in a request, UINT64_MAX for none */
  bool storage_full;   /* the last persist request failed */
  int64_t storage_retry_due_us;
  GQueue pending_messages; /* of oh_raft_pending_message_t * */

  int64_t armed_timer_us;
  bool report_change_pending; /* call the changed action at the end of the event */
} oh_raft_t;

/* random must outlive raft. The first event is OH_RAFT_START. */
void oh_raft_init (oh_raft_t *raft, oh_random_t *random);
void oh_raft_finish (oh_raft_t *raft);

/* Handles one event; the actions are called before it returns. sink is borrowed for the call. */
void oh_raft_handle (oh_raft_t *raft, const oh_raft_event_t *event, oh_raft_sink_t *sink);

oh_raft_role_t oh_raft_role (const oh_raft_t *raft);

/* Static string, as in log lines. */
const char *oh_raft_role_name (oh_raft_role_t role);

/* Replica id; 0 before OH_RAFT_START. */
uint64_t oh_raft_id (const oh_raft_t *raft);
uint64_t oh_raft_term (const oh_raft_t *raft);
uint64_t oh_raft_commit_index (const oh_raft_t *raft);
uint64_t oh_raft_applied_index (const oh_raft_t *raft);
uint64_t oh_raft_last_index (const oh_raft_t *raft);

/* After OH_RAFT_LEAVE: true if the quorum does not need this replica any more, or no other replica can take
 * its place. */
bool oh_raft_may_stop (const oh_raft_t *raft);

/* True from a failed persist request until the next one succeeds. */
bool oh_raft_storage_full (const oh_raft_t *raft);

/* NULL if no leader is known. Borrowed until the next event. */
const char *oh_raft_leader_name (const oh_raft_t *raft);
const char *oh_raft_leader_endpoint (const oh_raft_t *raft);

/* Latest replica set of the log, committed or not; of oh_raft_replica_t *. Borrowed until the next event. */
const GPtrArray *oh_raft_replicas (const oh_raft_t *raft);

/* Latest committed replica set, of oh_raft_replica_t *; free with g_ptr_array_unref. */
GPtrArray *oh_raft_committed_replicas (const oh_raft_t *raft);

/*
 * Leader only: the name of a replica of the set that is not known to understand drains of zones, NULL if all
 * do; see raft_zone_drain.c. Borrowed until the next event.
 */
const char *oh_raft_find_without_zone_drain (const oh_raft_t *raft);

/* Time since the contact with a quorum that oh_raft_confirmed relies on: the leader's own, otherwise the one
 * that the leader reported. INT64_MAX if there was none. */
int64_t oh_raft_quorum_age_us (const oh_raft_t *raft, int64_t now_us);

/*
 * Leader only: sets *index to the last committed index and returns true if no other replica can have
 * committed a later entry before the contact with a quorum, which is at most OH_RAFT_CONFIRMED_US old. A
 * replica that has applied the index is current as of that contact. The leader itself may not have: it
 * commits entries that the other voters have synced, and applies them only when its own disk has.
 */
bool oh_raft_read_index (const oh_raft_t *raft, int64_t now_us, uint64_t *index);

/*
 * True if the applied state was current within the last OH_RAFT_CONFIRMED_US: this replica is the leader and
 * has applied its read index, or it is a follower that has applied everything that a leader had committed at
 * such a contact with a quorum.
 */
bool oh_raft_confirmed (const oh_raft_t *raft, int64_t now_us);
