#include "core/service_classes.h"

static void
add_route (oh_service_classes_t *classes, const oh_config_route_t *route, const oh_config_service_t *service)
{
  oh_service_class_t *found = g_hash_table_lookup (classes->services, service);

  if (found == NULL)
    {
      found = g_new0 (oh_service_class_t, 1);
      found->highest = found->lowest = route->class;
      g_hash_table_insert (classes->services, (gpointer)service, found);
    }
  found->highest = MIN (found->highest, route->class);
  found->lowest = MAX (found->lowest, route->class);
  found->objective |= route->target_ms > 0;
}

void
oh_service_classes_init (oh_service_classes_t *classes, const oh_config_t *config)
{
  classes->services = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (guint i = 0; config->routes != NULL && i < config->routes->len; i++)
    {
      const oh_config_route_t *route = g_ptr_array_index (config->routes, i);

      for (guint j = 0; j < route->targets->len; j++)
        {
          const oh_config_target_t *target = &g_array_index (route->targets, oh_config_target_t, j);

          if (target->weight > 0)
            add_route (classes, route, target->service);
        }
    }
}

void
oh_service_classes_finish (oh_service_classes_t *classes)
{
  g_hash_table_unref (classes->services);
}

const oh_service_class_t *
oh_service_classes_find (const oh_service_classes_t *classes, const oh_config_service_t *service)
{
  return g_hash_table_lookup (classes->services, service);
}

bool
oh_service_classes_managed (const oh_service_classes_t *classes, const oh_config_service_t *service)
{
  const oh_service_class_t *found = oh_service_classes_find (classes, service);

  return found != NULL && (found->objective || found->highest != found->lowest);
}
