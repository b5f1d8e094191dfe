#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/config_text.h"

/*
 * The services that a configuration names, as sorted oh_service_id values, and their limits of new flows
 * while an upstream is warming. Agents get it from the control replicas in place of the configuration text,
 * to refuse announcements of services that do not exist and to keep to the limits.
 */

typedef struct
{
  uint64_t service;
  uint64_t milli_per_s; /* new flows per 1,000 s, above 0 */
} oh_service_warmup_t;

typedef struct
{
  GArray *ids; /* of uint64_t, ascending; NULL before the first oh_service_set_assign */
  /* Of oh_service_warmup_t, by service, for services with a limit only; NULL if there are none. */
  GArray *warmups;
  uint64_t digest; /* of ids and warmups; 0 before the first oh_service_set_assign */
} oh_service_set_t;

void oh_service_set_init (oh_service_set_t *set);
void oh_service_set_finish (oh_service_set_t *set);

/* Replaces the contents by n ids, in any order, without limits. */
void oh_service_set_assign (oh_service_set_t *set, const uint64_t *ids, size_t n);

/* Sets the limits, in any order, after oh_service_set_assign; those of 0 are left out. */
void oh_service_set_assign_warmups (oh_service_set_t *set, const oh_service_warmup_t *warmups, size_t n);

/* Replaces the contents by those of another set, which must be known (oh_service_set_is_known). */
void oh_service_set_copy (oh_service_set_t *set, const oh_service_set_t *from);

/* Replaces the contents by the services of the configuration. */
void oh_service_set_assign_config (oh_service_set_t *set, const oh_config_t *config);

/* True once the set was assigned, even if it is empty. */
bool oh_service_set_is_known (const oh_service_set_t *set);

/* False if the set is not known. */
bool oh_service_set_contains (const oh_service_set_t *set, uint64_t service);

/* Returns the limit of the service in new flows per 1,000 s, 0 if it has none. */
uint32_t oh_service_set_warmup (const oh_service_set_t *set, uint64_t service);
