#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"

/*
 * Balancers whose offers an agent has refused because it had no free position. Responses of the upstream go
 * directly to the callers, so a balancer does not see when a position becomes free. Speculative offers are
 * refused while the upstream is full and leave it idle between them when it is not. The agent therefore
 * notifies one balancer for each free position, the one that has waited longest first. In an overload, for
 * instance after many processes have restarted, flows wait at all balancers, and upstreams stay in use.
 *
 * A position counts as taken from the notification until the offer arrives, or for
 * OH_POSITION_OFFER_TIMEOUT_MS. No I/O; times are passed in.
 */

enum
{
  OH_POSITION_WAITERS_MAX = 64,
  /* By then the refused flow has been placed elsewhere, or its caller has given up. */
  OH_POSITION_WAITER_TIMEOUT_MS = 500,
  /* From a notification to the offer: several round trips between availability zones. */
  OH_POSITION_OFFER_TIMEOUT_MS = 10,
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
  unsigned n_offers_expected;         /* from notified balancers */
  int64_t notified_us;                /* when a balancer was last notified */
} oh_position_waiters_t;

void oh_position_waiters_init (oh_position_waiters_t *waiters);

/* An offer of the balancer was refused. A balancer waits at most once in each ring. If the ring is full, it
 * is not added. */
void oh_position_waiters_add (oh_position_waiters_t *waiters, oh_address_t balancer, bool yields,
                              int64_t now_us);

/* An offer has arrived, possibly from a notified balancer. */
void oh_position_waiters_offered (oh_position_waiters_t *waiters);

/* Removes the next balancer to notify, and counts its offer as expected. n_free: free positions; n_reserved:
 * the part of them that is not available to flows that yield. Returns false if no balancer waits for a
 * position that is free. */
bool oh_position_waiters_take (oh_position_waiters_t *waiters, unsigned n_free, unsigned n_reserved,
                               int64_t now_us, oh_address_t *balancer);
