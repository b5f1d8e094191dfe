#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/settings.h"

/*
 * Order in which flows that wait for a position are offered: by class; within a class those that can still be
 * answered within their objective first; then the newest. With the oldest first, every flow of an overload
 * would wait until it is late.
 *
 * The flows of a route wait in lists by the number of the SYN's transmission that arrived first. Each list is
 * in the order of the callers' first transmissions, so its newest flow is also the first to be offered, and
 * late flows are at the other end. oh_held_queue_next looks only at the last flow of each list.
 */

enum
{
  OH_HELD_TRANSMISSIONS = 3, /* of a SYN */
};

typedef struct oh_held_route oh_held_route_t;

/* A waiting flow; embedded in its record. */
typedef struct
{
  oh_held_route_t *route; /* NULL: the flow does not wait */
  int64_t started_us;     /* when the caller sent its first SYN */
  unsigned transmission;  /* that arrived first, below OH_HELD_TRANSMISSIONS */
  oh_list_t link;
} oh_held_flow_t;

typedef struct
{
  GHashTable *routes; /* address to oh_held_route_t, owned; one for each route that a flow has waited for */
  oh_list_t waiting;  /* of oh_held_route_t that have flows */
  unsigned n_flows;
  unsigned round; /* number of the current round, see oh_held_queue_start_round */
} oh_held_queue_t;

void oh_held_queue_init (oh_held_queue_t *queue);

/* No flow may wait any more. */
void oh_held_queue_finish (oh_held_queue_t *queue);

/* Adds a flow that does not wait. It can be answered in time until allowance_us after started_us. class and
 * allowance_us replace those of the route's other flows. */
void oh_held_queue_add (oh_held_queue_t *queue, oh_held_flow_t *flow, oh_address_t route, unsigned class,
                        int64_t allowance_us);

/* Has no effect on a flow that does not wait. */
void oh_held_queue_remove (oh_held_flow_t *flow);

/* Frees what is kept for routes without flows; called when the routes have changed. */
void oh_held_queue_remove_unused_routes (oh_held_queue_t *queue);

/* Unblocks all routes. */
void oh_held_queue_start_round (oh_held_queue_t *queue);

/* Returns the flow to offer next, or NULL if there is none on a route that is not blocked. */
oh_held_flow_t *oh_held_queue_next (const oh_held_queue_t *queue, int64_t now_us);

/* No flow of this flow's route is returned again in this round. */
void oh_held_queue_block (oh_held_queue_t *queue, const oh_held_flow_t *flow);

/* Returns a flow that started before the time, or NULL. */
oh_held_flow_t *oh_held_queue_find_older (const oh_held_queue_t *queue, int64_t before_us);
