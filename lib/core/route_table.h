#pragma once

#include <glib.h>
#include <stdbool.h>

#include "core/config_text.h"
#include "core/segment.h"

/* The routes of one configuration, by address, in a form that a balancer can keep after the text is gone. */

typedef struct
{
  uint64_t service; /* oh_service_id */
  unsigned weight;
} oh_route_target_t;

typedef struct
{
  oh_address_t address;
  oh_route_kind_t kind;
  GArray *targets; /* of oh_route_target_t */
  unsigned total_weight;
} oh_route_t;

typedef struct
{
  GHashTable *routes; /* address to oh_route_t, owned */
} oh_route_table_t;

void oh_route_table_init (oh_route_table_t *table);
void oh_route_table_finish (oh_route_table_t *table);

/* Replaces the routes. */
void oh_route_table_load (oh_route_table_t *table, const oh_config_t *config);

/* NULL if no route leads there. */
const oh_route_t *oh_route_table_find (const oh_route_table_t *table, oh_address_t address);

/* The service that a flow goes to, by weight; every balancer chooses the same one for a flow. */
uint64_t oh_route_choose (const oh_route_t *route, const oh_flow_key_t *key);
