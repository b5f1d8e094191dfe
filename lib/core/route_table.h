#pragma once

#include <glib.h>
#include <stdbool.h>

#include "core/config_text.h"
#include "core/segment.h"

/* The routes of one configuration by address, copied so that they outlive the parsed configuration. */

typedef struct
{
  uint64_t service; /* id, see oh_service_id */
  unsigned weight;
} oh_route_target_t;

typedef struct
{
  oh_address_t address;
  oh_route_kind_t kind;
  GArray *targets;       /* of oh_route_target_t */
  unsigned total_weight; /* above 0; the parser of the configuration checks it */
} oh_route_t;

typedef struct
{
  GHashTable *routes; /* address to oh_route_t, owned */
} oh_route_table_t;

void oh_route_table_init (oh_route_table_t *table);
void oh_route_table_finish (oh_route_table_t *table);

/* Replaces the routes by copies of those in the configuration. */
void oh_route_table_load (oh_route_table_t *table, const oh_config_t *config);

/* Returns NULL if no route has the address. Valid until the next load. */
const oh_route_t *oh_route_table_find (const oh_route_table_t *table, oh_address_t address);

/* Returns the id of the service for a flow, by weight. It depends on the flow key alone, so that every
 * balancer chooses the same one. */
uint64_t oh_route_choose (const oh_route_t *route, const oh_flow_key_t *key);
