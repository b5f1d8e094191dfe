#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/control_state.h"
#include "core/keyring.h"
#include "core/membership.h"
#include "core/raft.h"
#include "core/service_set.h"
#include "ports/random.h"

/*
 * Protocol logic of one control replica, without I/O: handles one event at a time and reports actions to a
 * sink. It replies to polls from nodes and to requests from operators, drives Raft, and pushes views.
 *
 * A view is marked confirmed while this replica leads with a quorum and has applied all that it has
 * committed, or while a reply from the leader shows that this replica is up to date: the query was sent at
 * most OH_CONTROL_CONFIRMATION_MAX_AGE_US ago, and the commit index in the reply has been applied here. The
 * age is measured from the sending of the query on this replica's own clock, so a message delayed while the
 * process was stopped or the path was cut confirms nothing.
 *
 * A follower queries the leader at each tick. While it is not confirmed, it also does so at once when it
 * learns of the leader, when the leader first reports contact with a quorum, and when a node polls it. Views
 * are pushed as soon as the replica becomes confirmed.
 */

enum
{
  OH_CONTROL_TICK_US = 100000,
  /* A leader replies only if it was in contact with a quorum within OH_RAFT_CONFIRMED_US minus this time, so
   * that the two ages add up to at most OH_RAFT_CONFIRMED_US. */
  OH_CONTROL_CONFIRMATION_MAX_AGE_US = 500000,
  /* Least time since the last query to the leader at which a poll of a node causes another one. */
  OH_CONTROL_POLL_QUERY_US = 20000,
  OH_CONTROL_PENDING_MAX = 256, /* uncommitted changes */
};

typedef enum
{
  OH_CONTROL_START,            /* first event */
  OH_CONTROL_TICK,             /* every OH_CONTROL_TICK_US */
  OH_CONTROL_RAFT_TIMER,       /* the armed timer is due */
  OH_CONTROL_SYSTEM_MESSAGE,   /* from a node or a replica, authenticated with OH_KEY_CONTROL */
  OH_CONTROL_OPERATOR_MESSAGE, /* from an operator, or a publication */
  OH_CONTROL_SEEDS,            /* the settings were reloaded and name seed replicas */
  OH_CONTROL_LEAVE,            /* the process is being stopped; see oh_control_core_may_stop */
  OH_CONTROL_SYNCED,           /* the persist request is durable */
  OH_CONTROL_STORAGE_FAILED,   /* the persist request failed */
} oh_control_event_kind_t;

/* Pointers in an event are borrowed for the duration of the call. */
typedef struct
{
  oh_control_event_kind_t kind;
  int64_t now_us;
  union
  {
    struct
    {
      const oh_recovered_state_t *recovered;
      const oh_raft_replica_t *initial; /* initial replica set, including this replica */
      size_t n_initial;
      const char *endpoint;     /* of this replica */
      bool join;                /* only join a cluster, never form one */
      unsigned target_voters;   /* number of voters that the leader maintains; 0: operators change the set */
      bool observer;            /* keeps nothing on disk and never votes */
      bool may_bootstrap;       /* with target_voters: first start of the whole deployment */
      unsigned compact_entries; /* applied entries between snapshots; 0 for the default */
    } start;
    struct
    {
      const oh_raft_replica_t *seeds;
      size_t n_seeds;
    } seeds;
    struct
    {
      GBytes *route; /* return path for the reply, opaque here */
      const Oh__Control *message;
    } message;
    struct
    {
      uint64_t id; /* of the persist request */
      bool full;   /* STORAGE_FAILED: no space left; any other error is final */
    } persist;
  };
} oh_control_event_t;

typedef struct oh_control_sink oh_control_sink_t;

/* Arguments are borrowed unless stated otherwise. No action may call oh_control_core_handle. */
typedef struct
{
  /* Seals the message with the key of the purpose, OH_KEY_CONTROL or OH_KEY_OPERATOR. */
  void (*reply) (oh_control_sink_t *sink, GBytes *route, oh_key_purpose_t purpose,
                 const Oh__Control *message);
  void (*send_replica) (oh_control_sink_t *sink, const char *endpoint, const Oh__Control *message);

  /* Takes ownership of the request; completes it with OH_CONTROL_SYNCED or OH_CONTROL_STORAGE_FAILED. */
  void (*persist) (oh_control_sink_t *sink, oh_persist_request_t *request);

  /* Replaces the armed timer; when it is due, the sink sends OH_CONTROL_RAFT_TIMER. */
  void (*arm_timer) (oh_control_sink_t *sink, int64_t due_us);

  /* The key generation of the replicated state is now this one. */
  void (*advance_keys) (oh_control_sink_t *sink, uint32_t generation);

  /* A message of the sender is malformed, its type is not allowed with the key that sealed it, or it is a
   * poll of a node beyond OH_MEMBERSHIP_MAX_NODES. */
  void (*rejected) (oh_control_sink_t *sink, const char *sender, const char *reason);

  /* pairs holds key=value pairs separated by spaces. */
  void (*log) (oh_control_sink_t *sink, const char *event, const char *pairs);

  /* Unrecoverable error; the process has to exit. */
  void (*failed) (oh_control_sink_t *sink, const char *reason);
} oh_control_sink_ops_t;

struct oh_control_sink
{
  const oh_control_sink_ops_t *ops;
};

typedef struct
{
  oh_raft_sink_t raft_sink; /* first member */
  char *name;
  oh_raft_t raft;
  oh_control_state_t state;
  oh_membership_t membership;
  GPtrArray *committed_replicas; /* of oh_raft_replica_t *, owned */
  GPtrArray *pending;            /* of pending_t *, owned: changes without an outcome yet */
  GBytes *snapshot;              /* snapshot to pass to Raft after the event; NULL if none */
  uint64_t snapshot_index;
  GBytes *packed_text; /* compressed text of packed_version; NULL until first needed */
  uint64_t packed_version;
  oh_service_set_t services; /* of the text of services_version */
  uint64_t services_version;
  GPtrArray *warmups; /* of Oh__ServiceWarmup *, owned: the limits of services, for views */
  uint64_t next_tag;
  int64_t confirmation_query_us; /* when the last query that the leader replied to was sent */
  uint64_t confirmation_index;   /* commit index in the leader's reply to it */
  int64_t last_query_us;         /* when the leader was last queried */
  uint64_t leader_term;          /* of the known leader, another replica, after the last event; 0: none */
  bool leader_confirmed;         /* oh_raft_confirmed after the last event */

  /* State covered by the last views; a difference causes the next push. */
  uint64_t pushed_version;
  uint64_t pushed_sequence;
  bool pushed_confirmed;
  bool pushed_complete;

  bool was_leader;
  bool has_failed;
  int64_t now_us;          /* time of the current event */
  oh_control_sink_t *sink; /* set while an event is handled */
} oh_control_core_t;

/* epoch identifies this run of the membership: random, not 0. The random source must outlive the core. */
void oh_control_core_init (oh_control_core_t *core, const char *name, uint64_t epoch, oh_random_t *random,
                           int64_t now_us);
void oh_control_core_finish (oh_control_core_t *core);
void oh_control_core_handle (oh_control_core_t *core, const oh_control_event_t *event,
                             oh_control_sink_t *sink);

/* After OH_CONTROL_LEAVE: true once another replica has taken the place of this one, or none can. */
bool oh_control_core_may_stop (const oh_control_core_t *core);

/* True if views sent at now_us are marked confirmed. */
bool oh_control_core_confirmed (const oh_control_core_t *core, int64_t now_us);

/* What oh_control_core_confirmed decides by, for logs; -1: never, or not needed in the replica's role. */
typedef struct
{
  int64_t quorum_age_ms; /* since the leader's contact with a quorum */
  int64_t leader_age_ms; /* since the query that the leader last replied to was sent */
} oh_control_confirmation_t;

oh_control_confirmation_t oh_control_core_confirmation (const oh_control_core_t *core, int64_t now_us);
