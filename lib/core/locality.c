#include "core/locality.h"

#include <string.h>

/* Flows leave a zone whose work per slot exceeds HOME_FACTOR times the mean of the service by
 * HOME_WORK_EXTRA, and an upstream at home whose flows per slot exceed HOME_FACTOR times the mean by
 * HOME_FLOWS_EXTRA. */
#define HOME_FACTOR 1.25
#define HOME_WORK_EXTRA 0.15

enum
{
  HOME_FLOWS_EXTRA = 2,  /* small numbers vary */
  SAMPLES_PER_SHARE = 4, /* upstreams considered for each one that falls to a balancer */
  SAMPLES_MIN = 2,
};

static void
swap (oh_placement_upstream_t **upstreams, unsigned a, unsigned b)
{
  oh_placement_upstream_t *former = upstreams[a];

  upstreams[a] = upstreams[b];
  upstreams[b] = former;
}

static bool
is_home (const oh_placement_upstream_t *upstream, const char *zone)
{
  return strcmp (upstream->zone, zone) == 0;
}

/* True if this flow leaves the zone since that is busier than the others: the more, the more flows do. */
static bool
spills_over (oh_placement_upstream_t *const *upstreams, unsigned n, const char *zone, oh_random_t *random)
{
  double work = 0;
  double home_work = 0;
  double limit;
  unsigned n_home = 0;

  for (unsigned i = 0; i < n; i++)
    {
      work += oh_placement_work_per_slot (upstreams[i]);
      if (!is_home (upstreams[i], zone))
        continue;
      home_work += oh_placement_work_per_slot (upstreams[i]);
      n_home++;
    }
  if (n_home == 0)
    return true;
  home_work /= n_home;
  limit = work / n * HOME_FACTOR + HOME_WORK_EXTRA;
  return home_work > limit && (double)oh_random_below (random, 1000) >= 1000 * limit / home_work;
}

/* Moves the upstreams of the zone that have room to the front and returns their number. */
static unsigned
select_home (oh_placement_upstream_t **upstreams, unsigned n, const char *zone, oh_random_t *random)
{
  double flows = 0;
  unsigned n_home = 0;

  if (spills_over (upstreams, n, zone, random))
    return 0;
  for (unsigned i = 0; i < n; i++)
    flows += oh_placement_flows_per_slot (upstreams[i]) / n;
  for (unsigned i = 0; i < n; i++)
    if (is_home (upstreams[i], zone) && oh_placement_work_per_slot (upstreams[i]) < 1
        && oh_placement_flows_per_slot (upstreams[i]) <= flows * HOME_FACTOR + HOME_FLOWS_EXTRA)
      swap (upstreams, i, n_home++);
  return n_home;
}

/* Moves a random sample to the front and returns its size. */
static unsigned
sample (oh_placement_upstream_t **upstreams, unsigned n, unsigned n_sharing, oh_random_t *random)
{
  const unsigned share = n_sharing > 0 ? (SAMPLES_PER_SHARE * n + n_sharing - 1) / n_sharing : n;
  const unsigned size = MIN (MAX (share, SAMPLES_MIN), n);

  for (unsigned i = 0; i < size && size < n; i++)
    swap (upstreams, i, i + (unsigned)oh_random_below (random, n - i));
  return size;
}

unsigned
oh_locality_select (oh_placement_upstream_t **upstreams, unsigned n, const char *zone, unsigned n_balancers,
                    unsigned n_zones, oh_random_t *random)
{
  const unsigned n_home = select_home (upstreams, n, zone, random);

  if (n_home > 0)
    return sample (upstreams, n_home, n_zones > 0 ? (n_balancers + n_zones - 1) / n_zones : 0, random);
  return sample (upstreams, n, n_balancers, random);
}
