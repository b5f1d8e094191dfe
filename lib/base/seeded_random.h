#pragma once

#include <glib.h>

#include "ports/random.h"

/* Deterministic random source for tests and simulations: the same seed gives the same bytes. */

typedef struct
{
  oh_random_t base;
  GRand *rand;
} oh_seeded_random_t;

void oh_seeded_random_init (oh_seeded_random_t *random, uint32_t seed);
void oh_seeded_random_finish (oh_seeded_random_t *random);
