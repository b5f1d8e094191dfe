#pragma once

#include <glib.h>
#include <stdint.h>

#include "core/view.h"
#include "ports/random.h"

/*
 * Selects the peer that takes over a flow. A view is not updated when only load changes, so its load figures
 * are only a starting point: replies to flow states bring newer ones, and flows in transit are added to them.
 */

typedef struct
{
  uint64_t service;
  uint64_t incarnation; /* of this agent, which is never a target */
  oh_random_t *random;  /* breaks ties; borrowed */
  GHashTable *peers;    /* incarnation -> last known load, owned */
} oh_handover_targets_t;

void oh_handover_targets_init (oh_handover_targets_t *targets, uint64_t service, uint64_t incarnation,
                               oh_random_t *random);
void oh_handover_targets_finish (oh_handover_targets_t *targets);

/* Records that a peer replied to a flow state. load may be NULL; it is ignored if older than the known one.
 */
void oh_handover_targets_replied (oh_handover_targets_t *targets, uint64_t incarnation, const Oh__Load *load,
                                  int64_t now_us);

/*
 * Chooses the peer with the least work per slot, then the fewest flows per slot; NULL if none can take a
 * flow. A peer whose load is outdated comes first, for one flow, as its reply brings the current load. avoid
 * is the name of a peer that refused, or NULL. work_per_flow is the work, in slots, that a flow adds. The
 * result belongs to the view.
 */
const oh_view_member_t *oh_handover_targets_choose (oh_handover_targets_t *targets, const oh_view_t *view,
                                                    const char *avoid, double work_per_flow, int64_t now_us);

/* Records that a flow was sent to the peer. */
void oh_handover_targets_sent (oh_handover_targets_t *targets, const oh_view_member_t *member);
