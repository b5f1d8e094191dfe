#include "core/service_set.h"

#include <xxhash.h>

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  const uint64_t x = *(const uint64_t *)a;
  const uint64_t y = *(const uint64_t *)b;

  return x < y ? -1 : x > y;
}

/* Equal services are sorted by their limits, so that the lowest one is found first. */
static gint
compare_warmups (gconstpointer a, gconstpointer b)
{
  const oh_service_warmup_t *x = a;
  const oh_service_warmup_t *y = b;

  if (x->service != y->service)
    return x->service < y->service ? -1 : 1;
  return x->milli_per_s < y->milli_per_s ? -1 : x->milli_per_s > y->milli_per_s;
}

void
oh_service_set_init (oh_service_set_t *set)
{
  *set = (oh_service_set_t){ 0 };
}

void
oh_service_set_finish (oh_service_set_t *set)
{
  g_clear_pointer (&set->ids, g_array_unref);
  g_clear_pointer (&set->warmups, g_array_unref);
}

void
oh_service_set_assign (oh_service_set_t *set, const uint64_t *ids, size_t n)
{
  g_clear_pointer (&set->warmups, g_array_unref);
  if (set->ids == NULL)
    set->ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_array_set_size (set->ids, 0);
  if (n > 0)
    g_array_append_vals (set->ids, ids, (guint)n);
  g_array_sort (set->ids, compare_ids);
  set->digest = MAX (XXH64 (set->ids->data, n * sizeof (uint64_t), 0), 1);
}

void
oh_service_set_assign_warmups (oh_service_set_t *set, const oh_service_warmup_t *warmups, size_t n)
{
  g_autoptr (GArray) limited = g_array_new (FALSE, FALSE, sizeof *warmups);

  for (size_t i = 0; i < n; i++)
    if (warmups[i].milli_per_s > 0)
      g_array_append_val (limited, warmups[i]);
  /* Without limits the digest is that of the previous release, so that its agents are not sent the services
   * again with each view. */
  if (limited->len == 0)
    return;
  g_array_sort (limited, compare_warmups);
  set->digest = MAX (XXH64 (limited->data, limited->len * sizeof *warmups, set->digest), 1);
  set->warmups = g_steal_pointer (&limited);
}

void
oh_service_set_copy (oh_service_set_t *set, const oh_service_set_t *from)
{
  oh_service_set_assign (set, (const uint64_t *)(const void *)from->ids->data, from->ids->len);
  if (from->warmups != NULL)
    oh_service_set_assign_warmups (set, (const oh_service_warmup_t *)(const void *)from->warmups->data,
                                   from->warmups->len);
}

void
oh_service_set_assign_config (oh_service_set_t *set, const oh_config_t *config)
{
  g_autoptr (GArray) ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_autoptr (GArray) warmups = g_array_new (FALSE, FALSE, sizeof (oh_service_warmup_t));

  for (guint i = 0; config->services != NULL && i < config->services->len; i++)
    {
      const oh_config_service_t *service = g_ptr_array_index (config->services, i);

      const oh_service_warmup_t warmup
        = { .service = service->id, .milli_per_s = service->warmup_milli_per_s };

      g_array_append_val (ids, service->id);
      g_array_append_val (warmups, warmup);
    }
  oh_service_set_assign (set, (const uint64_t *)(const void *)ids->data, ids->len);
  oh_service_set_assign_warmups (set, (const oh_service_warmup_t *)(const void *)warmups->data, warmups->len);
}

bool
oh_service_set_is_known (const oh_service_set_t *set)
{
  return set->ids != NULL;
}

bool
oh_service_set_contains (const oh_service_set_t *set, uint64_t service)
{
  return set->ids != NULL && g_array_binary_search (set->ids, &service, compare_ids, NULL);
}

uint32_t
oh_service_set_warmup (const oh_service_set_t *set, uint64_t service)
{
  for (guint i = 0; set->warmups != NULL && i < set->warmups->len; i++)
    {
      const oh_service_warmup_t *warmup = &g_array_index (set->warmups, oh_service_warmup_t, i);

      if (warmup->service == service)
        return (uint32_t)warmup->milli_per_s;
    }
  return 0;
}
