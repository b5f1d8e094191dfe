#include "core/position_waiters.h"

static void
drop_first (oh_position_waiter_ring_t *ring)
{
  ring->first = (ring->first + 1) % OH_POSITION_WAITERS_MAX;
  ring->n--;
}

static void
expire (oh_position_waiter_ring_t *ring, int64_t now_us)
{
  const int64_t before_us = now_us - (int64_t)OH_POSITION_WAITER_TIMEOUT_MS * 1000;

  while (ring->n > 0 && ring->entries[ring->first].refused_us < before_us)
    drop_first (ring);
}

static oh_position_waiter_t *
find (oh_position_waiter_ring_t *ring, oh_address_t balancer)
{
  for (unsigned i = 0; i < ring->n; i++)
    {
      oh_position_waiter_t *waiter = &ring->entries[(ring->first + i) % OH_POSITION_WAITERS_MAX];

      if (oh_address_equal (waiter->balancer, balancer))
        return waiter;
    }
  return NULL;
}

void
oh_position_waiters_init (oh_position_waiters_t *waiters)
{
  *waiters = (oh_position_waiters_t){ 0 };
}

void
oh_position_waiters_add (oh_position_waiters_t *waiters, oh_address_t balancer, bool yields, int64_t now_us)
{
  oh_position_waiter_ring_t *ring = &waiters->rings[yields];
  oh_position_waiter_t *waiter;

  expire (ring, now_us);
  waiter = find (ring, balancer);
  if (waiter != NULL)
    waiter->refused_us = now_us; /* it keeps its place */
  if (waiter != NULL || ring->n == OH_POSITION_WAITERS_MAX)
    return;
  ring->entries[(ring->first + ring->n) % OH_POSITION_WAITERS_MAX]
    = (oh_position_waiter_t){ .balancer = balancer, .refused_us = now_us };
  ring->n++;
}

void
oh_position_waiters_offered (oh_position_waiters_t *waiters)
{
  if (waiters->n_offers_expected > 0)
    waiters->n_offers_expected--;
}

bool
oh_position_waiters_take (oh_position_waiters_t *waiters, unsigned n_free, unsigned n_reserved,
                          int64_t now_us, oh_address_t *balancer)
{
  if (now_us - waiters->notified_us > (int64_t)OH_POSITION_OFFER_TIMEOUT_MS * 1000)
    waiters->n_offers_expected = 0;
  for (int yields = false; yields <= true; yields++)
    {
      oh_position_waiter_ring_t *ring = &waiters->rings[yields];
      const unsigned n_taken = waiters->n_offers_expected + (yields ? n_reserved : 0);

      expire (ring, now_us);
      if (ring->n == 0 || n_free <= n_taken)
        continue;
      *balancer = ring->entries[ring->first].balancer;
      drop_first (ring);
      waiters->n_offers_expected++;
      waiters->notified_us = now_us;
      return true;
    }
  return false;
}
