#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "wire/control.pb-c.h"

/*
 * Soft state of one control replica: the nodes with a valid lease, which each poll of a node renews. Each
 * change has a sequence number. A reader with a cursor (epoch, sequence) gets the changes after it, or a
 * snapshot if the epoch differs or the removals since then are no longer kept. A difference in load figures
 * alone is not a change: agents report load to balancers directly.
 */

enum
{
  OH_LEASE_US = 3 * G_USEC_PER_SEC,
  /* Time after the start of a replica in which every live node that can reach it has polled it: nodes that
   * start at the same time are up within half a second and poll at once, and a lost connection is retried
   * within 150 ms. */
  OH_MEMBERSHIP_DISCOVERY_US = 1000 * 1000,
  OH_MEMBERSHIP_REMOVALS_MAX = 1024, /* removals kept for incremental views */
  /* A view that a node has not received by then is sent again. Connections do not lose messages while they
   * last, but drop them when a queue is full. */
  OH_MEMBERSHIP_RESEND_US = 2 * G_USEC_PER_SEC,
  OH_MEMBERSHIP_MAX_NODES = 65536,
  OH_NODE_NAME_MAX_BYTES = 63,
  OH_NODE_TEXT_MAX_BYTES = 255, /* zone, service name or endpoint */
};

/* What a node has received of the list of one replica. */
typedef struct
{
  bool increments; /* the node understands views that begin after any sequence number of a list */
  /* The end of the list that the node has received. For a node without increments, of the last snapshot and
   * the views after it. */
  uint64_t epoch;
  uint64_t sequence;
  bool without_members; /* the node needs no upstreams */
} oh_list_cursor_t;

typedef struct
{
  char *name;
  Oh__NodeRole role;
  char *zone;
  uint64_t version_in_force;  /* configuration version that the node uses */
  GBytes *route;              /* return path for messages to the node; opaque here */
  oh_list_cursor_t cursor;    /* what the node has been sent, as far as is known */
  int64_t sent_us;            /* when the cursor was last advanced by a view */
  bool without_text;          /* the node does not need the configuration text */
  uint64_t text_sent_version; /* of the last text sent on this route; 0: none */
  int64_t text_sent_us;
  uint64_t services_digest; /* agents only: of the services in their view; 0: none are known */
  Oh__Member *member;       /* agents only; owned */
  Oh__Address relay;        /* balancers only */
  bool durable;             /* balancers only: has a disk */
  int64_t expires_us;
  uint64_t change_sequence; /* of the last change to this node */
  oh_list_t by_change;
  oh_list_t by_lease;
} oh_node_t;

typedef struct
{
  uint64_t epoch;    /* not 0 */
  uint64_t sequence; /* of the last change */
  int64_t started_us;
  int64_t last_expire_us;         /* last call of oh_membership_expire */
  GHashTable *nodes[2];           /* by role: name to oh_node_t, owned */
  oh_list_t by_change;            /* least recently changed first */
  oh_list_t by_lease;             /* first to expire first */
  GQueue removals;                /* of removal_t *, owned, oldest first */
  uint64_t oldest_delta_sequence; /* lowest cursor for which all later removals are kept */
} oh_membership_t;

void oh_membership_init (oh_membership_t *membership, uint64_t epoch, int64_t now_us);
void oh_membership_finish (oh_membership_t *membership);

/*
 * Renews the lease of the polling node, or ends it if the poll is marked as leaving. Increments the sequence
 * if other nodes need to know of the change. Returns false if the poll is malformed or a new node exceeds
 * OH_MEMBERSHIP_MAX_NODES. A leaving poll is ignored unless it arrives on the route of the last poll, so that
 * a delayed one from an earlier process does not end the lease of its successor.
 */
bool oh_membership_announce (oh_membership_t *membership, const Oh__Poll *poll, GBytes *route,
                             int64_t now_us);

/*
 * Removes nodes whose lease has expired; to be called several times a second. If more than a second has
 * passed since the last call, this process was stopped and may have unread polls, so all leases are renewed
 * instead.
 */
void oh_membership_expire (oh_membership_t *membership, int64_t now_us);

/* What the node has received, by its poll. */
oh_list_cursor_t oh_membership_cursor_of (const Oh__Poll *poll);

/*
 * Sets epoch, sequence, snapshot, members and balancers of the view to the changes after the cursor. In the
 * first lease duration after the start, nodes may not have polled this replica yet. Until then the view has
 * replica_epoch 0: the receiver adds the entries to its own list and removes only nodes removed since the
 * start. Without increments it holds all known nodes and the receiver keeps its cursor. The entries belong to
 * the membership; free the arrays with oh_membership_clear_view before the next call that modifies the
 * membership.
 */
void oh_membership_fill_view (const oh_membership_t *membership, const oh_list_cursor_t *cursor,
                              int64_t now_us, Oh__View *view);
void oh_membership_clear_view (Oh__View *view);

/* True once every live node that can reach the replica has had time to poll it. */
bool oh_membership_is_complete (const oh_membership_t *membership, int64_t now_us);

/* NULL if the node has no lease. */
oh_node_t *oh_membership_find (const oh_membership_t *membership, Oh__NodeRole role, const char *name);
