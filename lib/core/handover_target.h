#pragma once

#include <glib.h>
#include <stdint.h>

#include "core/view.h"
#include "ports/random.h"

/*
 * The choice of the peer that takes over a flow. Views do not follow load figures, so the figures of the view
 * are a start only: replies to flow states bring newer ones, and flows in transit are added.
 */

typedef struct
{
  uint64_t service;
  uint64_t incarnation; /* of this agent, which is never a target */
  oh_random_t *random;  /* decides between equals */
  GHashTable *peers;    /* incarnation -> figures, owned */
} oh_handover_targets_t;

void oh_handover_targets_init (oh_handover_targets_t *targets, uint64_t service, uint64_t incarnation,
                               oh_random_t *random);
void oh_handover_targets_finish (oh_handover_targets_t *targets);

/* A peer replied to a flow state, with its figures or NULL; older figures than those known are ignored. */
void oh_handover_targets_replied (oh_handover_targets_t *targets, uint64_t incarnation, const Oh__Load *load,
                                  int64_t now_us);

/*
 * The peer with the least work per slot, then the fewest flows per slot; NULL if none can take a flow. avoid
 * names a peer that refused, or is NULL. work_per_flow is the work, in slots, that a flow brings along.
 */
const oh_view_member_t *oh_handover_targets_choose (oh_handover_targets_t *targets, const oh_view_t *view,
                                                    const char *avoid, double work_per_flow, int64_t now_us);

/* A flow was sent to the peer. */
void oh_handover_targets_sent (oh_handover_targets_t *targets, const oh_view_member_t *member);
