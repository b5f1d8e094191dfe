#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "wire/control.pb-c.h"

/*
 * Soft state of one control replica: which nodes announced themselves within their lease. Each change has a
 * sequence number; a cursor (epoch, sequence) gives the changes after it, or a snapshot if the epoch is
 * another one or the removals since then are no longer known. Load figures alone are no change: agents report
 * them to balancers directly.
 */

enum
{
  OH_LEASE_US = 3 * G_USEC_PER_SEC,
  /* After its start a replica has heard every live node that can reach it by then: nodes that start with it
   * are up within half a second, announce themselves at once, and try a lost connection again within 150 ms.
   */
  OH_LISTING_US = 1000 * 1000,
  OH_MEMBERSHIP_REMOVALS = 1024, /* removals kept for deltas */
  OH_MEMBERSHIP_MAX_NODES = 65536,
  OH_NODE_NAME_MAX_BYTES = 63,
};

typedef struct
{
  char *name;
  Oh__NodeRole role;
  char *zone;
  uint64_t version_in_force;
  GBytes *route;  /* where the owner reaches the node; opaque here */
  uint64_t epoch; /* cursor in the last poll */
  uint64_t sequence;
  bool without_text;  /* has no use for the operators' text */
  Oh__Member *member; /* agents; owned */
  Oh__Address relay;  /* balancers */
  bool durable;       /* the same: has a disk */
  int64_t expires_us;
  uint64_t changed; /* sequence of the last change */
  oh_list_t by_change;
  oh_list_t by_lease;
} oh_node_t;

typedef struct
{
  uint64_t epoch; /* not 0 */
  uint64_t sequence;
  int64_t started_us;
  int64_t expired_us;    /* last call of oh_membership_expire */
  GHashTable *nodes[2];  /* by role: name to oh_node_t, owned */
  oh_list_t by_change;   /* least recently changed first */
  oh_list_t by_lease;    /* first to expire first */
  GQueue removals;       /* oldest first */
  uint64_t oldest_delta; /* lowest sequence from which a delta is possible */
} oh_membership_t;

void oh_membership_init (oh_membership_t *membership, uint64_t epoch, int64_t now_us);
void oh_membership_finish (oh_membership_t *membership);

/*
 * Renews or ends the lease of the node. Returns false if the poll is malformed. The sequence grows if other
 * nodes have to learn something. A leaving poll counts only on the route of the last announcement, so that a
 * late one of an earlier process does not end the lease of its successor.
 */
bool oh_membership_announce (oh_membership_t *membership, const Oh__Poll *poll, GBytes *route,
                             int64_t now_us);

/*
 * Removes nodes whose lease has ended; called several times a second. After a pause of over a second the
 * process itself was stopped and may have polls waiting, so all leases start anew.
 */
void oh_membership_expire (oh_membership_t *membership, int64_t now_us);

/*
 * Sets epoch, sequence, snapshot, members and balancers of the view to what changed after the cursor. For one
 * lease after the start nodes may not have announced themselves yet: until then what is known is given with
 * epoch 0: it adds to what the node has, removes only nodes that left since, and moves no cursor. The entries
 * belong to the membership; free the arrays with oh_membership_clear_view before the next call that alters
 * it.
 */
void oh_membership_fill_view (const oh_membership_t *membership, uint64_t epoch, uint64_t sequence,
                              int64_t now_us, Oh__View *view);
/* True if every live node that can reach the replica had the time to announce itself. */
bool oh_membership_is_listed (const oh_membership_t *membership, int64_t now_us);
void oh_membership_clear_view (Oh__View *view);

/* NULL if the node has no lease. */
const oh_node_t *oh_membership_find (const oh_membership_t *membership, Oh__NodeRole role, const char *name);
