#include "core/stop_order.h"

#include <string.h>

static bool
accepts_work (const Oh__StatusReply *status, const Oh__Member *member)
{
  if (member->load == NULL || member->load->state == OH__UPSTREAM_STATE__UPSTREAM_DRAINING)
    return false;
  for (size_t i = 0; i < status->n_drained; i++)
    if (strcmp (status->drained[i], member->load->upstream) == 0)
      return false;
  for (size_t i = 0; i < status->n_drained_zones; i++)
    if (strcmp (status->drained_zones[i], member->zone) == 0)
      return false;
  return true;
}

/* excluded is the name of an upstream to leave out, or NULL. */
static bool
service_accepts_work (const Oh__StatusReply *status, uint64_t service, const char *excluded)
{
  for (size_t i = 0; i < status->n_members; i++)
    {
      const Oh__Member *member = status->members[i];

      if (accepts_work (status, member) && member->load->service == service
          && g_strcmp0 (member->load->upstream, excluded) != 0)
        return true;
    }
  return false;
}

static const Oh__Load *
find_load (const Oh__StatusReply *status, const char *upstream)
{
  for (size_t i = 0; i < status->n_members; i++)
    {
      const Oh__Load *load = status->members[i]->load;

      if (load != NULL && strcmp (load->upstream, upstream) == 0)
        return load;
    }
  return NULL;
}

bool
oh_stop_order_allows (const oh_config_t *config, const Oh__StatusReply *status, const char *upstream,
                      const char **dependant)
{
  const Oh__Load *load = find_load (status, upstream);
  const oh_config_service_t *service = load != NULL ? oh_config_find (config, load->service) : NULL;

  if (service == NULL || service_accepts_work (status, service->id, upstream))
    return true;
  for (guint i = 0; i < config->services->len; i++)
    {
      const oh_config_service_t *other = g_ptr_array_index (config->services, i);

      if (other == service || !oh_config_depends_on (other, service)
          || !service_accepts_work (status, other->id, NULL))
        continue;
      *dependant = other->name;
      return false;
    }
  return true;
}
