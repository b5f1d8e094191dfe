#include "core/membership.h"

#include <string.h>

#include "core/codec.h"

enum
{
  PAUSE_MIN_US = G_USEC_PER_SEC, /* between two calls of oh_membership_expire */
};

typedef struct
{
  Oh__NodeRole role;
  char *name;
  uint64_t sequence;
} removal_t;

static void
free_removal (gpointer data)
{
  removal_t *removal = data;

  g_free (removal->name);
  g_free (removal);
}

static void
free_node (gpointer data)
{
  oh_node_t *node = data;

  oh_list_remove (&node->by_change);
  oh_list_remove (&node->by_lease);
  g_free (node->name);
  g_free (node->zone);
  g_clear_pointer (&node->route, g_bytes_unref);
  if (node->member != NULL)
    oh__member__free_unpacked (node->member, NULL);
  g_free (node);
}

static Oh__Member *
copy_member (const Oh__Member *member)
{
  const size_t size = oh__member__get_packed_size (member);
  g_autofree uint8_t *bytes = g_malloc (size);

  oh__member__pack (member, bytes);
  return oh__member__unpack (NULL, size, bytes);
}

static bool
address_equal (const Oh__Address *a, const Oh__Address *b)
{
  return a->ipv4 == b->ipv4 && a->port == b->port;
}

static bool
text_valid (const char *text)
{
  return strlen (text) <= OH_NODE_TEXT_MAX_BYTES;
}

static bool
member_valid (const Oh__Member *member)
{
  oh_address_t address;

  return member != NULL && member->load != NULL && oh_address_from_wire (member->load->agent, &address)
         && text_valid (member->service_name) && text_valid (member->zone)
         && text_valid (member->peer_endpoint);
}

/* Other nodes get the entry as it is, so one that they cannot use is refused here. */
static bool
poll_valid (const Oh__Poll *poll)
{
  oh_address_t relay;

  if (poll->name[0] == '\0' || strlen (poll->name) > OH_NODE_NAME_MAX_BYTES || !text_valid (poll->zone))
    return false;
  switch (poll->role)
    {
    case OH__NODE_ROLE__NODE_BALANCER:
      return oh_address_from_wire (poll->relay, &relay);
    case OH__NODE_ROLE__NODE_AGENT:
      /* Leases are keyed by node name and removals name the upstream, so the two names must be equal. */
      return member_valid (poll->member) && strcmp (poll->member->load->upstream, poll->name) == 0;
    case _OH__NODE_ROLE_IS_INT_SIZE:
      break;
    }
  return false;
}

/* Compares what other nodes act on. Load figures are left out: agents report them to balancers directly. */
static bool
announcement_equal (const oh_node_t *node, const Oh__Poll *poll)
{
  const Oh__Member *a = node->member;
  const Oh__Member *b = poll->member;

  if (strcmp (node->zone, poll->zone) != 0)
    return false;
  if (node->role == OH__NODE_ROLE__NODE_BALANCER)
    return address_equal (&node->relay, poll->relay) && node->durable == poll->durable;
  return a->load->service == b->load->service && a->load->incarnation == b->load->incarnation
         && a->load->slots == b->load->slots && a->load->max_flows == b->load->max_flows
         && a->load->state == b->load->state && address_equal (a->load->agent, b->load->agent)
         && strcmp (a->service_name, b->service_name) == 0 && strcmp (a->zone, b->zone) == 0
         && strcmp (a->peer_endpoint, b->peer_endpoint) == 0;
}

static void
mark_changed (oh_membership_t *membership, oh_node_t *node)
{
  node->change_sequence = ++membership->sequence;
  oh_list_remove (&node->by_change);
  oh_list_append (&membership->by_change, &node->by_change);
}

static void
remove_node (oh_membership_t *membership, oh_node_t *node)
{
  removal_t *removal = g_new0 (removal_t, 1);

  removal->role = node->role;
  removal->name = g_strdup (node->name);
  removal->sequence = ++membership->sequence;
  g_queue_push_tail (&membership->removals, removal);
  if (membership->removals.length > OH_MEMBERSHIP_REMOVALS_MAX)
    {
      removal_t *oldest = g_queue_pop_head (&membership->removals);

      membership->oldest_delta_sequence = oldest->sequence;
      free_removal (oldest);
    }
  g_hash_table_remove (membership->nodes[node->role], removal->name);
}

static oh_node_t *
add_node (oh_membership_t *membership, const Oh__Poll *poll)
{
  oh_node_t *node = g_new0 (oh_node_t, 1);

  node->name = g_strdup (poll->name);
  node->role = poll->role;
  node->zone = g_strdup (poll->zone);
  oh_list_init (&node->by_change);
  oh_list_init (&node->by_lease);
  oh__address__init (&node->relay);
  g_hash_table_insert (membership->nodes[node->role], node->name, node);
  return node;
}

oh_list_cursor_t
oh_membership_cursor_of (const Oh__Poll *poll)
{
  return (oh_list_cursor_t){
    .increments = poll->increments,
    .epoch = poll->increments ? poll->list_epoch : poll->replica_epoch,
    .sequence = poll->increments ? poll->list_sequence : poll->sequence,
    .without_members = poll->without_members,
  };
}

/* What was sent on the same connection is on its way. Otherwise the poll tells where the node is. */
static void
store_cursor (oh_node_t *node, const Oh__Poll *poll, GBytes *route, int64_t now_us)
{
  const bool same_route = node->route != NULL && g_bytes_equal (node->route, route);
  const bool on_its_way
    = same_route && poll->increments && !poll->incomplete && now_us - node->sent_us < OH_MEMBERSHIP_RESEND_US;

  if (!same_route)
    node->text_sent_version = 0;
  if (!on_its_way)
    node->cursor = oh_membership_cursor_of (poll);
}

static void
store_announcement (oh_node_t *node, const Oh__Poll *poll, GBytes *route, int64_t now_us)
{
  store_cursor (node, poll, route, now_us);
  g_free (node->zone);
  node->zone = g_strdup (poll->zone);
  node->version_in_force = poll->version_in_force;
  node->without_text = poll->without_text;
  node->services_digest = poll->services_digest;
  g_bytes_ref (route);
  g_clear_pointer (&node->route, g_bytes_unref);
  node->route = route;
  if (node->role == OH__NODE_ROLE__NODE_BALANCER)
    {
      node->relay.ipv4 = poll->relay->ipv4;
      node->relay.port = poll->relay->port;
      node->durable = poll->durable;
      return;
    }
  if (node->member != NULL)
    oh__member__free_unpacked (node->member, NULL);
  node->member = copy_member (poll->member);
}

static void
renew_lease (oh_membership_t *membership, oh_node_t *node, int64_t now_us)
{
  node->expires_us = now_us + OH_LEASE_US;
  oh_list_remove (&node->by_lease);
  oh_list_append (&membership->by_lease, &node->by_lease);
}

static Oh__BalancerEntry *
make_balancer_entry (const oh_node_t *node)
{
  Oh__BalancerEntry *entry = g_new (Oh__BalancerEntry, 1);

  oh__balancer_entry__init (entry);
  entry->name = node->name;
  entry->zone = node->zone;
  entry->relay = (Oh__Address *)&node->relay;
  entry->version = node->version_in_force;
  entry->durable = node->durable;
  return entry;
}

/* members is NULL if the receiver needs none; so in add_removals. */
static void
add_entries (const oh_membership_t *membership, uint64_t after, GPtrArray *members, GPtrArray *balancers)
{
  for (const oh_list_t *link = membership->by_change.prev; link != &membership->by_change; link = link->prev)
    {
      const oh_node_t *node = oh_list_entry (link, oh_node_t, by_change);

      if (node->change_sequence <= after)
        break;
      if (node->role == OH__NODE_ROLE__NODE_BALANCER)
        g_ptr_array_add (balancers, make_balancer_entry (node));
      else if (members != NULL)
        g_ptr_array_add (members, node->member);
    }
}

static void
add_removals (const oh_membership_t *membership, uint64_t after, GPtrArray *members, GPtrArray *balancers)
{
  for (const GList *link = membership->removals.tail; link != NULL; link = link->prev)
    {
      const removal_t *removal = link->data;

      if (removal->sequence <= after)
        break;
      if (g_hash_table_contains (membership->nodes[removal->role], removal->name))
        continue;
      if (removal->role == OH__NODE_ROLE__NODE_BALANCER)
        g_ptr_array_add (balancers, removal->name);
      else if (members != NULL)
        g_ptr_array_add (members, removal->name);
    }
}

void
oh_membership_init (oh_membership_t *membership, uint64_t epoch, int64_t now_us)
{
  g_assert (epoch != 0);
  *membership = (oh_membership_t){
    .epoch = epoch,
    .started_us = now_us,
    .last_expire_us = now_us,
    .removals = G_QUEUE_INIT,
  };
  oh_list_init (&membership->by_change);
  oh_list_init (&membership->by_lease);
  for (unsigned i = 0; i < G_N_ELEMENTS (membership->nodes); i++)
    membership->nodes[i] = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_node);
}

void
oh_membership_finish (oh_membership_t *membership)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (membership->nodes); i++)
    g_clear_pointer (&membership->nodes[i], g_hash_table_unref);
  g_queue_clear_full (&membership->removals, free_removal);
}

bool
oh_membership_announce (oh_membership_t *membership, const Oh__Poll *poll, GBytes *route, int64_t now_us)
{
  oh_node_t *node;
  bool changed;

  if (!poll_valid (poll))
    return false;
  node = g_hash_table_lookup (membership->nodes[poll->role], poll->name);
  if (poll->leaving)
    {
      if (node != NULL && g_bytes_equal (node->route, route))
        remove_node (membership, node);
      return true;
    }
  if (node == NULL
      && g_hash_table_size (membership->nodes[0]) + g_hash_table_size (membership->nodes[1])
           >= OH_MEMBERSHIP_MAX_NODES)
    return false;
  changed = node == NULL || !announcement_equal (node, poll);
  if (node == NULL)
    node = add_node (membership, poll);
  store_announcement (node, poll, route, now_us);
  if (changed)
    mark_changed (membership, node);
  renew_lease (membership, node, now_us);
  return true;
}

void
oh_membership_expire (oh_membership_t *membership, int64_t now_us)
{
  const bool paused = now_us - membership->last_expire_us > PAUSE_MIN_US;

  membership->last_expire_us = now_us;
  oh_list_foreach_safe (&membership->by_lease, link, following)
    {
      oh_node_t *node = oh_list_entry (link, oh_node_t, by_lease);

      if (paused)
        node->expires_us = now_us + OH_LEASE_US;
      else if (node->expires_us <= now_us)
        remove_node (membership, node);
      else
        break;
    }
}

/* True if all changes after the cursor are kept. */
static bool
is_known (const oh_membership_t *membership, const oh_list_cursor_t *cursor)
{
  return cursor->epoch == membership->epoch && cursor->sequence <= membership->sequence
         && cursor->sequence >= membership->oldest_delta_sequence;
}

void
oh_membership_fill_view (const oh_membership_t *membership, const oh_list_cursor_t *cursor, int64_t now_us,
                         Oh__View *view)
{
  GPtrArray *members = g_ptr_array_new ();
  GPtrArray *balancers = g_ptr_array_new ();
  GPtrArray *removed_members = g_ptr_array_new ();
  GPtrArray *removed_balancers = g_ptr_array_new ();
  const bool starting = now_us - membership->started_us < OH_LEASE_US;
  const bool delta = is_known (membership, cursor) && (cursor->increments || !starting);
  const uint64_t after = delta ? cursor->sequence : 0;

  view->replica_epoch = starting ? 0 : membership->epoch;
  view->sequence = starting ? 0 : membership->sequence;
  view->snapshot = !delta && !starting;
  if (cursor->increments)
    {
      view->list_epoch = membership->epoch;
      view->list_sequence = membership->sequence;
      view->after = after;
    }
  add_entries (membership, after, cursor->without_members ? NULL : members, balancers);
  if (!view->snapshot)
    add_removals (membership, after, cursor->without_members ? NULL : removed_members, removed_balancers);
  view->n_members = members->len;
  view->n_balancers = balancers->len;
  view->n_removed_members = removed_members->len;
  view->n_removed_balancers = removed_balancers->len;
  view->members = (Oh__Member **)g_ptr_array_free (members, FALSE);
  view->balancers = (Oh__BalancerEntry **)g_ptr_array_free (balancers, FALSE);
  view->removed_members = (char **)g_ptr_array_free (removed_members, FALSE);
  view->removed_balancers = (char **)g_ptr_array_free (removed_balancers, FALSE);
}

bool
oh_membership_is_complete (const oh_membership_t *membership, int64_t now_us)
{
  return now_us - membership->started_us >= OH_MEMBERSHIP_DISCOVERY_US;
}

void
oh_membership_clear_view (Oh__View *view)
{
  for (size_t i = 0; i < view->n_balancers; i++)
    g_free (view->balancers[i]);
  g_clear_pointer (&view->members, g_free);
  g_clear_pointer (&view->balancers, g_free);
  g_clear_pointer (&view->removed_members, g_free);
  g_clear_pointer (&view->removed_balancers, g_free);
  view->n_members = 0;
  view->n_balancers = 0;
  view->n_removed_members = 0;
  view->n_removed_balancers = 0;
}

oh_node_t *
oh_membership_find (const oh_membership_t *membership, Oh__NodeRole role, const char *name)
{
  return g_hash_table_lookup (membership->nodes[role], name);
}
