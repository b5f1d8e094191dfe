#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"

/*
 * Balancers whose offers an agent has refused for want of a position. Responses of the upstream go directly
 * to the callers, so that a balancer does not see when a position becomes free; offers at a guess are refused
 * while the upstream is full, and come late when it is not. So the agent tells the balancer that has waited
 * for longest, one for each free position. This answers an overload, as after a mass loss, in which flows
 * wait at all balancers and upstreams must not be idle meanwhile.
 *
 * A position stays promised for a short time, as the offer is on its way. No I/O; times are passed in.
 */

enum
{
  OH_POSITION_WAITERS_MAX = 64,
  OH_POSITION_WAITER_TIMEOUT_MS
  = 500,                       /* the refused flow has been placed elsewhere, or its caller has gone */
  OH_POSITION_PROMISE_MS = 10, /* several round trips between availability zones */
};

typedef struct
{
  oh_address_t balancer;
  int64_t refused_us;
} oh_position_waiter_t;

/* First in, first out. */
typedef struct
{
  oh_position_waiter_t entries[OH_POSITION_WAITERS_MAX];
  unsigned first;
  unsigned n;
} oh_position_waiter_ring_t;

typedef struct
{
  oh_position_waiter_ring_t rings[2]; /* for flows that do not yield [0], and that do [1] */
  unsigned n_promised;
  int64_t promised_us; /* when the last position was */
} oh_position_waiters_t;

void oh_position_waiters_init (oh_position_waiters_t *waiters);

/* An offer of the balancer was refused. A balancer waits once in each ring; the newest does not fit in a full
 * one. */
void oh_position_waiters_add (oh_position_waiters_t *waiters, oh_address_t balancer, bool yields,
                              int64_t now_us);

/* An offer has come, for which a position may have been promised. */
void oh_position_waiters_offered (oh_position_waiters_t *waiters);

/* Takes the next balancer to tell. n_free: positions that are free, n_reserved: those of them that flows that
 * yield do not get. Returns false if there is no position for the balancers that wait. */
bool oh_position_waiters_take (oh_position_waiters_t *waiters, unsigned n_free, unsigned n_reserved,
                               int64_t now_us, oh_address_t *balancer);
