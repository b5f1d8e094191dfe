#pragma once

#include "core/placement.h"

/*
 * Narrows down the upstreams that a balancer chooses from, for two patterns of large fleets.
 *
 * Flows that leave their zone without need cost latency and traffic between zones. A flow stays at home while
 * its zone has an upstream with room: a slot that is free by the balancer's knowledge, and not many more
 * flows than the mean of the service, so that a zone with few upstreams does not collect flows while the
 * others have slots to spare. Otherwise all zones are considered alike.
 *
 * Many balancers that choose the best upstream by the same old reports all choose the same one. Therefore
 * each considers a random sample only: four times its share of the upstreams, at least two. A single
 * balancer considers all.
 */

/*
 * Moves the upstreams to choose from to the front and returns their number, at least 1 (n > 0). zone is that
 * of the balancer; n_balancers and n_zones count the balancers of the view and their zones, 0 if not known.
 */
unsigned oh_locality_select (oh_placement_upstream_t **upstreams, unsigned n, const char *zone,
                             unsigned n_balancers, unsigned n_zones, oh_random_t *random);
