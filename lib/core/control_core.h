#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/control_state.h"
#include "core/keyring.h"
#include "core/membership.h"
#include "core/raft.h"
#include "ports/random.h"

/*
 * Decisions of one control replica: answers polls and operators, drives Raft, pushes views. One event in,
 * actions to a sink.
 *
 * A view is marked confirmed while this replica leads with a quorum, or while it has proof that it is
 * current: the leader's answer to a query that this replica sent less than OH_CONTROL_PROOF_US ago, whose
 * version it has applied. The age of an answer counts from the query on this replica's own clock, so that
 * messages that waited while the process was stopped or the path was cut prove nothing.
 */

enum
{
  OH_CONTROL_TICK_US = 100000,
  /* The leader answers only if it heard a quorum within OH_RAFT_CONFIRMED_US less this time, so that the
   * two ages add up to OH_RAFT_CONFIRMED_US. */
  OH_CONTROL_PROOF_US = 500000,
  OH_CONTROL_PENDING_MAX = 256, /* changes that wait for their commit */
};

typedef enum
{
  OH_CONTROL_START,          /* first event */
  OH_CONTROL_TICK,           /* every OH_CONTROL_TICK_US */
  OH_CONTROL_RAFT_TIMER,     /* the armed timer is due */
  OH_CONTROL_SYSTEM_MESSAGE, /* from a node or a replica, authenticated */
  OH_CONTROL_OPERATOR_MESSAGE,
  OH_CONTROL_SEEDS, /* the settings name other replicas */
  OH_CONTROL_SYNCED,
  OH_CONTROL_STORAGE_FAILED,
} oh_control_event_kind_t;

/* Everything an event refers to is borrowed for the call. */
typedef struct
{
  oh_control_event_kind_t kind;
  int64_t now_us;
  union
  {
    struct
    {
      const oh_recovered_t *recovered;
      const oh_raft_replica_t *initial; /* this replica included */
      size_t n_initial;
      const char *endpoint;
      bool join;
      unsigned voters;          /* that the leader keeps up; 0: operators change the set */
      bool observer;            /* nothing is on disk */
      bool may_found;           /* with voters: first start of the whole deployment */
      unsigned compact_entries; /* 0 for the default */
    } start;
    struct
    {
      const oh_raft_replica_t *seeds;
      size_t n_seeds;
    } seeds;
    struct
    {
      GBytes *route; /* where the answer goes */
      const Oh__Control *message;
    } message;
    struct
    {
      uint64_t id;
      bool full;
    } persist;
  };
} oh_control_event_t;

typedef struct oh_control_sink oh_control_sink_t;

/* What an action refers to is borrowed unless stated. None of them may call oh_control_core_handle. */
typedef struct
{
  /* purpose is OH_KEY_CONTROL or OH_KEY_OPERATOR. */
  void (*reply) (oh_control_sink_t *sink, GBytes *route, oh_key_purpose_t purpose,
                 const Oh__Control *message);
  void (*send_replica) (oh_control_sink_t *sink, const char *endpoint, const Oh__Control *message);

  /* The sink owns the request and answers with SYNCED or STORAGE_FAILED. */
  void (*persist) (oh_control_sink_t *sink, oh_persist_t *request);
  void (*arm_timer) (oh_control_sink_t *sink, int64_t due_us);
  void (*advance_keys) (oh_control_sink_t *sink, uint32_t generation);

  /* The message of this sender is malformed or not allowed on its key. */
  void (*rejected) (oh_control_sink_t *sink, const char *sender, const char *reason);
  void (*log) (oh_control_sink_t *sink, const char *event, const char *pairs);

  /* The replica cannot go on; the process has to end. */
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
  GPtrArray *pending;            /* changes whose outcome is not known yet, owned */
  GBytes *snapshot;              /* taken, to be handed to Raft */
  uint64_t snapshot_index;
  GBytes *packed_text; /* of packed_version; NULL before the first view with a text */
  uint64_t packed_version;
  uint64_t next_tag;
  int64_t proof_us; /* when the query was sent that the leader answered last */
  uint64_t proof_version;
  uint64_t pushed_version;
  uint64_t pushed_sequence;
  bool pushed_confirmed;
  bool pushed_listed;
  bool was_leader;
  bool has_failed;
  int64_t now_us;          /* of the event being handled */
  oh_control_sink_t *sink; /* of the event being handled */
} oh_control_core_t;

/* epoch of the membership: random, not 0. The random source must outlive the core. */
void oh_control_core_init (oh_control_core_t *core, const char *name, uint64_t epoch, oh_random_t *random,
                           int64_t now_us);
void oh_control_core_finish (oh_control_core_t *core);
void oh_control_core_handle (oh_control_core_t *core, const oh_control_event_t *event,
                             oh_control_sink_t *sink);

bool oh_control_core_confirmed (const oh_control_core_t *core, int64_t now_us);
