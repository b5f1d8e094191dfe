#include "core/route_table.h"

#include "core/service_classes.h"

static void
free_route (gpointer data)
{
  oh_route_t *route = data;

  g_array_unref (route->targets);
  g_free (route);
}

void
oh_route_table_init (oh_route_table_t *table)
{
  table->routes = g_hash_table_new_full (oh_address_hash, oh_address_equal_keys, NULL, free_route);
}

void
oh_route_table_finish (oh_route_table_t *table)
{
  g_clear_pointer (&table->routes, g_hash_table_unref);
}

void
oh_route_table_load (oh_route_table_t *table, const oh_config_t *config)
{
  oh_service_classes_t classes;

  oh_service_classes_init (&classes, config);
  g_hash_table_remove_all (table->routes);
  for (guint i = 0; config->routes != NULL && i < config->routes->len; i++)
    {
      const oh_config_route_t *from = g_ptr_array_index (config->routes, i);
      oh_route_t *route = g_new0 (oh_route_t, 1);

      route->address = from->address;
      route->kind = from->kind;
      route->class = from->class;
      route->target_ms = from->target_ms;
      route->targets = g_array_new (FALSE, FALSE, sizeof (oh_route_target_t));
      for (guint j = 0; j < from->targets->len; j++)
        {
          const oh_config_target_t *target = &g_array_index (from->targets, oh_config_target_t, j);
          const oh_route_target_t copy = {
            .service = target->service->id,
            .weight = target->weight,
            .outranked = target->weight > 0
                         && oh_service_classes_find (&classes, target->service)->highest < from->class,
          };

          g_array_append_val (route->targets, copy);
          route->total_weight += target->weight;
          route->managed |= oh_service_classes_managed (&classes, target->service);
        }
      g_hash_table_replace (table->routes, &route->address, route);
    }
  oh_service_classes_finish (&classes);
}

const oh_route_t *
oh_route_table_find (const oh_route_table_t *table, oh_address_t address)
{
  return g_hash_table_lookup (table->routes, &address);
}

const oh_route_target_t *
oh_route_choose_target (const oh_route_t *route, const oh_flow_key_t *key)
{
  uint64_t remainder = oh_flow_key_digest (key) % route->total_weight;
  guint i = 0;

  while (remainder >= g_array_index (route->targets, oh_route_target_t, i).weight)
    {
      remainder -= g_array_index (route->targets, oh_route_target_t, i).weight;
      i++;
    }
  return &g_array_index (route->targets, oh_route_target_t, i);
}

uint64_t
oh_route_choose (const oh_route_t *route, const oh_flow_key_t *key)
{
  return oh_route_choose_target (route, key)->service;
}
