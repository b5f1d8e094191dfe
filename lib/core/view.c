#include "core/view.h"

#include <string.h>

#include "base/compression.h"
#include "core/codec.h"

enum
{
  /* Replaced incarnations kept for each member: a partitioned replica may still list them. */
  RETIRED_INCARNATIONS_MAX = 4,
};

/* The public struct is the first member, so that view->members can hold pointers to records. */
typedef struct
{
  oh_view_member_t member;
  /* Entry from each replica; NULL if it does not list the member. */
  oh_view_member_t *listed[OH_VIEW_REPLICAS_MAX];
  uint64_t retired[RETIRED_INCARNATIONS_MAX]; /* replaced incarnations, a ring buffer */
  unsigned n_retired;                         /* total, may exceed the size of the ring buffer */
} member_record_t;

static void
clear_member (oh_view_member_t *member)
{
  g_clear_pointer (&member->name, g_free);
  g_clear_pointer (&member->zone, g_free);
  g_clear_pointer (&member->peer_endpoint, g_free);
}

static void
free_member (oh_view_member_t *member)
{
  if (member == NULL)
    return;
  clear_member (member);
  g_free (member);
}

static void
free_record (gpointer data)
{
  member_record_t *record = data;

  clear_member (&record->member);
  for (unsigned i = 0; i < OH_VIEW_REPLICAS_MAX; i++)
    free_member (record->listed[i]);
  g_free (record);
}

static void
free_balancer (gpointer data)
{
  oh_view_balancer_t *balancer = data;

  g_free (balancer->name);
  g_free (balancer->zone);
  g_free (balancer);
}

static oh_view_member_t *
member_from_wire (const Oh__Member *wire)
{
  oh_view_member_t *member;
  oh_address_t agent;

  if (wire->load == NULL || wire->load->upstream[0] == '\0')
    return NULL;
  if (!oh_address_from_wire (wire->load->agent, &agent)
      || wire->load->service != oh_service_id (wire->service_name))
    return NULL;
  member = g_new0 (oh_view_member_t, 1);
  member->name = g_strdup (wire->load->upstream);
  member->service = wire->load->service;
  member->zone = g_strdup (wire->zone);
  member->peer_endpoint = g_strdup (wire->peer_endpoint);
  member->agent = agent;
  member->incarnation = wire->load->incarnation;
  member->sequence = wire->load->sequence;
  member->slots = wire->load->slots;
  member->busy = wire->load->busy;
  member->queued = wire->load->queued;
  member->flows = wire->load->flows;
  member->max_flows = wire->load->max_flows;
  member->limit = wire->load->limit;
  member->reserved = wire->load->reserved;
  member->service_us = wire->load->service_us;
  member->state = wire->load->state;
  return member;
}

static bool
member_equal (const oh_view_member_t *a, const oh_view_member_t *b)
{
  return g_strcmp0 (a->zone, b->zone) == 0 && g_strcmp0 (a->peer_endpoint, b->peer_endpoint) == 0
         && oh_address_equal (a->agent, b->agent) && a->service == b->service
         && a->incarnation == b->incarnation && a->sequence == b->sequence && a->slots == b->slots
         && a->busy == b->busy && a->queued == b->queued && a->flows == b->flows
         && a->max_flows == b->max_flows && a->limit == b->limit && a->reserved == b->reserved
         && a->service_us == b->service_us && a->state == b->state;
}

/* The name is the first field of both structs, so that one search serves members and balancers. */
static const char *
name_at (const GPtrArray *array, guint i)
{
  return *(char **)g_ptr_array_index (array, i);
}

G_STATIC_ASSERT (offsetof (oh_view_member_t, name) == 0);
G_STATIC_ASSERT (offsetof (oh_view_balancer_t, name) == 0);

/* Binary search; position is where the name is, or where it has to be inserted. */
static bool
find_position (const GPtrArray *array, const char *name, guint *position)
{
  guint low = 0;
  guint high = array->len;

  while (low < high)
    {
      const guint middle = low + (high - low) / 2;
      const int order = strcmp (name_at (array, middle), name);

      if (order == 0)
        {
          *position = middle;
          return true;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *position = low;
  return false;
}

static bool
is_retired (const member_record_t *record, uint64_t incarnation)
{
  for (unsigned i = 0; i < MIN (record->n_retired, RETIRED_INCARNATIONS_MAX); i++)
    if (record->retired[i] == incarnation)
      return true;
  return false;
}

static void
retire (member_record_t *record, uint64_t incarnation)
{
  if (!is_retired (record, incarnation))
    record->retired[record->n_retired++ % RETIRED_INCARNATIONS_MAX] = incarnation;
}

static unsigned
count_listings (const member_record_t *record, uint64_t incarnation)
{
  unsigned count = 0;

  for (unsigned i = 0; i < OH_VIEW_REPLICAS_MAX; i++)
    count += record->listed[i] != NULL && record->listed[i]->incarnation == incarnation;
  return count;
}

/*
 * Incarnations are random numbers, so their values do not tell which is later. An incarnation is known to be
 * the earlier one once some replica has replaced it by another. Until then, the one listed by more replicas
 * takes precedence, and in a tie the one currently used.
 */
static bool
is_better (const member_record_t *record, const oh_view_member_t *candidate, const oh_view_member_t *best)
{
  if (best == NULL)
    return true;
  if (candidate->incarnation == best->incarnation)
    return candidate->sequence > best->sequence;

  const bool candidate_retired = is_retired (record, candidate->incarnation);
  const bool best_retired = is_retired (record, best->incarnation);
  const unsigned candidate_count = count_listings (record, candidate->incarnation);
  const unsigned best_count = count_listings (record, best->incarnation);

  if (candidate_retired != best_retired)
    return best_retired;
  if (candidate_count != best_count)
    return candidate_count > best_count;
  return candidate->incarnation == record->member.incarnation;
}

static bool
contains (const GPtrArray *names, const char *name)
{
  return g_ptr_array_find_with_equal_func ((GPtrArray *)names, name, g_str_equal, NULL);
}

static bool
is_drained (const oh_view_t *view, const oh_view_member_t *member)
{
  return contains (view->drained, member->name) || oh_view_is_zone_drained (view, member->zone);
}

/* Selects the entry to use among those of the replicas. Returns true if the member changed. */
static bool
select_entry (const oh_view_t *view, member_record_t *record)
{
  const oh_view_member_t *best = NULL;
  oh_view_member_t chosen;

  record->member.listed_by = 0;
  for (unsigned i = 0; i < OH_VIEW_REPLICAS_MAX; i++)
    if (record->listed[i] != NULL)
      {
        record->member.listed_by |= 1U << i;
        if (is_better (record, record->listed[i], best))
          best = record->listed[i];
      }
  if (best == NULL || member_equal (best, &record->member))
    return false;
  chosen = *best;
  chosen.name = g_strdup (best->name);
  chosen.zone = g_strdup (best->zone);
  chosen.peer_endpoint = g_strdup (best->peer_endpoint);
  chosen.drained = is_drained (view, best);
  chosen.listed_by = record->member.listed_by;
  clear_member (&record->member);
  record->member = chosen;
  return true;
}

static bool
add_member_listing (oh_view_t *view, unsigned replica, uint64_t list_epoch, const Oh__Member *wire)
{
  oh_view_member_t *entry = member_from_wire (wire);
  member_record_t *record;
  guint position;
  bool added;

  if (entry == NULL)
    return false;
  entry->list_epoch = list_epoch;
  added = !find_position (view->members, entry->name, &position);
  if (added)
    {
      record = g_new0 (member_record_t, 1);
      record->member.name = g_strdup (entry->name);
      g_ptr_array_insert (view->members, (gint)position, record);
    }
  record = g_ptr_array_index (view->members, position);
  if (record->listed[replica] != NULL && record->listed[replica]->incarnation != entry->incarnation)
    retire (record, record->listed[replica]->incarnation);
  free_member (record->listed[replica]);
  record->listed[replica] = entry;
  return select_entry (view, record) || added;
}

static bool
remove_member_listing (oh_view_t *view, unsigned replica, guint position)
{
  member_record_t *record = g_ptr_array_index (view->members, position);

  if (record->listed[replica] == NULL)
    return false;
  g_clear_pointer (&record->listed[replica], free_member);

  const bool changed = select_entry (view, record);

  if (record->member.listed_by != 0)
    return changed;
  g_ptr_array_remove_index (view->members, position);
  return true;
}

static bool
add_balancer_listing (oh_view_t *view, unsigned replica, uint64_t list_epoch, const Oh__BalancerEntry *wire)
{
  oh_view_balancer_t *balancer;
  oh_address_t relay;
  guint position;
  bool changed = false;

  if (wire->name[0] == '\0' || !oh_address_from_wire (wire->relay, &relay))
    return false;
  if (!find_position (view->balancers, wire->name, &position))
    {
      balancer = g_new0 (oh_view_balancer_t, 1);
      balancer->name = g_strdup (wire->name);
      g_ptr_array_insert (view->balancers, (gint)position, balancer);
      changed = true;
    }
  balancer = g_ptr_array_index (view->balancers, position);
  if (!oh_address_equal (balancer->relay, relay) || g_strcmp0 (balancer->zone, wire->zone) != 0
      || balancer->durable != wire->durable)
    {
      balancer->relay = relay;
      balancer->durable = wire->durable;
      g_free (balancer->zone);
      balancer->zone = g_strdup (wire->zone);
      changed = true;
    }
  balancer->listed_by |= 1U << replica;
  balancer->list_epochs[replica] = list_epoch;
  return changed;
}

static bool
remove_balancer_listing (oh_view_t *view, unsigned replica, guint position)
{
  oh_view_balancer_t *balancer = g_ptr_array_index (view->balancers, position);

  balancer->listed_by &= ~(1U << replica);
  if (balancer->listed_by != 0)
    return false;
  g_ptr_array_remove_index (view->balancers, position);
  return true;
}

/* Removes the replica's listings that its snapshot does not contain. Returns true if the view changed. */
static bool
remove_unlisted (oh_view_t *view, unsigned replica, const Oh__View *message)
{
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);
  bool changed = false;

  for (size_t i = 0; i < message->n_members; i++)
    if (message->members[i]->load != NULL)
      g_hash_table_add (names, message->members[i]->load->upstream);
  for (guint i = view->members->len; i-- > 0;)
    if (!g_hash_table_contains (names, name_at (view->members, i)))
      changed |= remove_member_listing (view, replica, i);
  g_hash_table_remove_all (names);
  for (size_t i = 0; i < message->n_balancers; i++)
    g_hash_table_add (names, message->balancers[i]->name);
  for (guint i = view->balancers->len; i-- > 0;)
    if (!g_hash_table_contains (names, name_at (view->balancers, i)))
      changed |= remove_balancer_listing (view, replica, i);
  return changed;
}

/*
 * A replica that was restarted first sends additions only, as nodes may not have polled it yet. Its first
 * view with a replica_epoch ends that: entries from its former list that were not listed again are removed.
 */
static bool
remove_former_list (oh_view_t *view, unsigned replica, const Oh__View *message)
{
  bool changed = false;

  if (message->replica_epoch == 0 || message->list_epoch == 0
      || view->list_epochs[replica] == message->list_epoch)
    return false;
  view->list_epochs[replica] = message->list_epoch;
  for (guint i = view->members->len; i-- > 0;)
    {
      const member_record_t *record = g_ptr_array_index (view->members, i);

      if (record->listed[replica] != NULL && record->listed[replica]->list_epoch != message->list_epoch)
        changed |= remove_member_listing (view, replica, i);
    }
  for (guint i = view->balancers->len; i-- > 0;)
    {
      const oh_view_balancer_t *balancer = g_ptr_array_index (view->balancers, i);

      if ((balancer->listed_by & 1U << replica) != 0 && balancer->list_epochs[replica] != message->list_epoch)
        changed |= remove_balancer_listing (view, replica, i);
    }
  return changed;
}

static bool
apply_membership (oh_view_t *view, unsigned replica, const Oh__View *message)
{
  bool changed = message->snapshot && remove_unlisted (view, replica, message);
  guint position;

  for (size_t i = 0; i < message->n_removed_members; i++)
    if (find_position (view->members, message->removed_members[i], &position))
      changed |= remove_member_listing (view, replica, position);
  for (size_t i = 0; i < message->n_removed_balancers; i++)
    if (find_position (view->balancers, message->removed_balancers[i], &position))
      changed |= remove_balancer_listing (view, replica, position);
  for (size_t i = 0; i < message->n_members; i++)
    changed |= add_member_listing (view, replica, message->list_epoch, message->members[i]);
  for (size_t i = 0; i < message->n_balancers; i++)
    changed |= add_balancer_listing (view, replica, message->list_epoch, message->balancers[i]);
  return remove_former_list (view, replica, message) || changed;
}

static void
replace_names (GPtrArray *names, char **replacements, size_t n)
{
  g_ptr_array_set_size (names, 0);
  for (size_t i = 0; i < n; i++)
    g_ptr_array_add (names, g_strdup (replacements[i]));
}

static void
set_drained (oh_view_t *view, const Oh__View *message)
{
  replace_names (view->drained, message->drained, message->n_drained);
  replace_names (view->drained_zones, message->drained_zones, message->n_drained_zones);
  for (guint i = 0; i < view->members->len; i++)
    {
      oh_view_member_t *member = g_ptr_array_index (view->members, i);

      member->drained = is_drained (view, member);
    }
}

/* Returns false and leaves the view unchanged if the text is malformed. */
static bool
replace_text (oh_view_t *view, const Oh__View *message)
{
  const ProtobufCBinaryData *packed = &message->packed_text;
  g_autofree char *text = packed->len > 0
                            ? oh_decompress_text (packed->data, packed->len, OH_CONFIG_TEXT_MAX_BYTES)
                            : g_strdup (message->text);
  oh_config_t config = { 0 };

  if (text == NULL || (text[0] != '\0' && !oh_config_parse (&config, "view", text, NULL)))
    return false;
  oh_config_finish (&view->config);
  view->config = config;
  g_free (view->text);
  view->text = g_steal_pointer (&text);
  return true;
}

/* A message without a text means that the text is unchanged since the version in the node's last poll, or,
 * with text_withheld, that the poll asked for no text. */
static bool
apply_version (oh_view_t *view, const Oh__View *message)
{
  if (message->version <= view->version)
    return false;
  if (message->text_withheld && !view->without_text)
    {
      view->withheld_version = MAX (view->withheld_version, message->version);
      return false;
    }
  if (message->has_text && !replace_text (view, message))
    return false;
  view->version = message->version;
  set_drained (view, message);
  return true;
}

static void
assign_warmups (oh_service_set_t *services, const Oh__View *message)
{
  g_autoptr (GArray) warmups = g_array_new (FALSE, FALSE, sizeof (oh_service_warmup_t));

  for (size_t i = 0; i < message->n_warmups; i++)
    {
      const oh_service_warmup_t warmup = {
        .service = message->warmups[i]->service,
        .milli_per_s = message->warmups[i]->milli_per_s,
      };

      g_array_append_val (warmups, warmup);
    }
  oh_service_set_assign_warmups (services, (const oh_service_warmup_t *)(const void *)warmups->data,
                                 warmups->len);
}

/* Returns true if the services or their limits changed. Those of an earlier version are ignored. */
static bool
apply_services (oh_view_t *view, const Oh__View *message)
{
  const uint64_t digest = view->services.digest;

  if (!message->has_services || message->version < view->version)
    return false;
  oh_service_set_assign (&view->services, message->services, message->n_services);
  assign_warmups (&view->services, message);
  return view->services.digest != digest;
}

void
oh_view_init (oh_view_t *view)
{
  *view = (oh_view_t){
    .key_generation = 1,
    .text = g_strdup (""),
    .members = g_ptr_array_new_with_free_func (free_record),
    .balancers = g_ptr_array_new_with_free_func (free_balancer),
    .drained = g_ptr_array_new_with_free_func (g_free),
    .drained_zones = g_ptr_array_new_with_free_func (g_free),
  };
}

void
oh_view_finish (oh_view_t *view)
{
  g_clear_pointer (&view->text, g_free);
  oh_config_finish (&view->config);
  oh_service_set_finish (&view->services);
  g_clear_pointer (&view->members, g_ptr_array_unref);
  g_clear_pointer (&view->balancers, g_ptr_array_unref);
  g_clear_pointer (&view->drained, g_ptr_array_unref);
  g_clear_pointer (&view->drained_zones, g_ptr_array_unref);
}

bool
oh_view_merge (oh_view_t *view, unsigned replica, const Oh__View *message)
{
  bool changed;

  g_assert (replica < OH_VIEW_REPLICAS_MAX);
  changed = apply_version (view, message);
  changed |= apply_services (view, message);
  if (message->key_generation > view->key_generation)
    {
      view->key_generation = message->key_generation;
      changed = true;
    }
  if (message->confirmed && !view->confirmed && message->version == view->version)
    {
      view->confirmed = true;
      changed = true;
    }
  if (message->confirmed && message->listed && !view->complete)
    {
      view->complete = true;
      changed = true;
    }
  return apply_membership (view, replica, message) || changed;
}

bool
oh_view_is_zone_drained (const oh_view_t *view, const char *zone)
{
  return zone != NULL && contains (view->drained_zones, zone);
}

const oh_view_member_t *
oh_view_find_member (const oh_view_t *view, const char *name)
{
  guint position;

  return find_position (view->members, name, &position) ? g_ptr_array_index (view->members, position) : NULL;
}
