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
  bool outranked; /* another route with a higher class, that is a lower number, leads to the service */
} oh_route_target_t;

typedef struct
{
  oh_address_t address;
  oh_route_kind_t kind;
  unsigned class;        /* 0 is the highest */
  unsigned target_ms;    /* latency objective; 0: none */
  bool managed;          /* one of its services is, see placement_view.h */
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

/* Returns the target of a flow, by weight. It depends on the flow key alone, so that every balancer chooses
 * the same one. Valid until the next load. */
const oh_route_target_t *oh_route_choose_target (const oh_route_t *route, const oh_flow_key_t *key);

/* Returns the id of the target's service. */
uint64_t oh_route_choose (const oh_route_t *route, const oh_flow_key_t *key);
