#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decides when a node without a confirmed view polls a control replica, and which replicas it learns from a
 * view. The regular polls of all replicas, once a second, are not decided here; they continue beside these.
 *
 * A node polls each replica every OH_REPLICA_POLL_FAST_US, OH_REPLICA_POLL_FAST_COUNT times, and then at
 * doubling intervals up to OH_REPLICA_POLL_SLOW_US, so that a node that stays unconfirmed soon costs no more
 * than a confirmed one. A poll without an answer delays the next one, so that a node has little on its way
 * over a slow link. The interval grows with the number of nodes, as their polls add up at a replica.
 */

enum
{
  OH_REPLICA_POLL_FAST_US = 100000,
  OH_REPLICA_POLL_SLOW_US = 1000000, /* interval of the regular polls */
  OH_REPLICA_POLL_FAST_COUNT = 10,
  /* For each listed node. At most 500 polls a second reach a replica: with their answers, of 220 bytes
   * together, less than half of 2 Mbit/s. */
  OH_REPLICA_POLL_US_PER_NODE = 2000,
  /* Until a poll without an answer is followed by another. 300 nodes that start at once then have 0.4 s to
   * share a link of 2 Mbit/s. */
  OH_REPLICA_POLL_UNANSWERED_US = 400000,
  /* A replica without an answer for this long has been restarted, or was out of reach, when it answers. */
  OH_REPLICA_POLL_SILENT_US = 3000000,
  /* Replicas that a node polls at most, to learn others from an unconfirmed view. Leaves room for those of a
   * confirmed view. */
  OH_REPLICA_POLL_LEARNED_MAX = 16,
};

typedef struct
{
  int64_t sent_us;     /* when the last poll was sent; 0: none yet */
  int64_t answered_us; /* when the last view arrived; 0: none yet */
  bool answered;       /* since the last poll */
  unsigned n_sent;     /* polls since the replica was found or found again */
} oh_replica_poll_t;

/* How the list of replicas in a view is used. */
typedef enum
{
  OH_REPLICA_LIST_IGNORED,
  OH_REPLICA_LIST_ADDED,    /* poll these replicas, too */
  OH_REPLICA_LIST_IN_FORCE, /* these are the voters; others need not be polled */
} oh_replica_list_use_t;

/* A poll was sent to the replica, for whatever reason. */
void oh_replica_poll_sent (oh_replica_poll_t *poll, int64_t now_us);

/* A view of the replica arrived. */
void oh_replica_poll_answered (oh_replica_poll_t *poll, int64_t now_us);

/* True if the replica should be polled now, ahead of its regular poll. n_nodes: nodes in the view. */
bool oh_replica_poll_is_due (const oh_replica_poll_t *poll, bool view_confirmed, size_t n_nodes,
                             int64_t now_us);

/*
 * view_confirmed: the node has a confirmed view. From then on, lists in unconfirmed views are ignored: a
 * replica that is cut off from the others may list an earlier set for as long as it is.
 */
oh_replica_list_use_t oh_replica_poll_list_use (bool view_confirmed, bool message_confirmed, size_t n_listed,
                                                size_t n_polled);
