#include "core/placement_view.h"

#include "core/service_classes.h"

static void
clear_service (gpointer element)
{
  g_array_unref (((oh_placement_service_t *)element)->depends);
}

static GArray *
collect_dependencies (const oh_config_t *config, const oh_config_service_t *service)
{
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (guint i = 0; i < config->services->len; i++)
    {
      const oh_config_service_t *other = g_ptr_array_index (config->services, i);

      if (other != service && oh_config_depends_on (service, other))
        g_array_append_val (ids, other->id);
    }
  return ids;
}

static void
copy_services (const oh_config_t *config, GArray *services)
{
  oh_service_classes_t classes;

  oh_service_classes_init (&classes, config);
  for (guint i = 0; config->services != NULL && i < config->services->len; i++)
    {
      const oh_config_service_t *from = g_ptr_array_index (config->services, i);
      oh_placement_service_t service = {
        .id = from->id,
        .depends = collect_dependencies (config, from),
        .managed = oh_service_classes_managed (&classes, from),
      };

      g_strlcpy (service.name, from->name, sizeof service.name);
      g_array_append_val (services, service);
    }
  oh_service_classes_finish (&classes);
}

static void
copy_members (const oh_view_t *view, GArray *members)
{
  for (guint i = 0; view->members != NULL && i < view->members->len; i++)
    {
      const oh_view_member_t *from = g_ptr_array_index (view->members, i);
      oh_placement_member_t member = {
        .service = from->service,
        .agent = from->agent,
        .incarnation = from->incarnation,
        .sequence = from->sequence,
        .slots = from->slots,
        .busy = from->busy,
        .queued = from->queued,
        .flows = from->flows,
        .max_flows = from->max_flows,
        .limit = from->limit,
        .reserved = from->reserved,
        .service_us = from->service_us,
        .state = from->state,
        .drained = from->drained,
      };

      g_strlcpy (member.name, from->name, sizeof member.name);
      g_strlcpy (member.zone, from->zone != NULL ? from->zone : "", sizeof member.zone);
      g_array_append_val (members, member);
    }
}

static unsigned
count_zones (const oh_view_t *view)
{
  g_autoptr (GHashTable) zones = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; view->balancers != NULL && i < view->balancers->len; i++)
    {
      const oh_view_balancer_t *balancer = g_ptr_array_index (view->balancers, i);

      g_hash_table_add (zones, balancer->zone != NULL ? balancer->zone : "");
    }
  return g_hash_table_size (zones);
}

oh_placement_view_t *
oh_placement_view_new (const oh_view_t *view)
{
  oh_placement_view_t *copy = g_new0 (oh_placement_view_t, 1);

  copy->confirmed = view->confirmed;
  copy->version = view->version;
  copy->key_generation = view->key_generation;
  copy->n_balancers = view->balancers != NULL ? view->balancers->len : 0;
  copy->n_zones = count_zones (view);
  copy->services = g_array_new (FALSE, FALSE, sizeof (oh_placement_service_t));
  g_array_set_clear_func (copy->services, clear_service);
  copy->members = g_array_new (FALSE, FALSE, sizeof (oh_placement_member_t));
  copy_services (&view->config, copy->services);
  copy_members (view, copy->members);
  return copy;
}

void
oh_placement_view_free (oh_placement_view_t *view)
{
  if (view == NULL)
    return;
  g_array_unref (view->services);
  g_array_unref (view->members);
  g_free (view);
}
