#include "core/segment_directory.h"

#include <xxhash.h>

#include "core/segment_flows.h"
#include "core/segment_search.h"

typedef struct
{
  oh_segment_peer_t peer;
  uint64_t rank; /* rendezvous hash of the flow and the balancer */
} candidate_t;

static uint64_t
directory_rank (uint64_t digest, oh_address_t balancer)
{
  const uint64_t words[] = { digest, (uint64_t)balancer.ipv4 << 16 | balancer.port };

  return XXH64 (words, sizeof words, 0);
}

/* Prefers balancers with a disk: if all processes are killed at once, the flows at the upstreams survive and
 * only records on disk help to find them. */
static bool
is_better (const candidate_t *a, const candidate_t *b)
{
  if (a->peer.durable != b->peer.durable)
    return a->peer.durable;
  return a->rank > b->rank;
}

/* Selects the balancers of the availability zone with the highest ranks, those with a disk first. Every
 * balancer selects the same ones. Returns their number. */
static unsigned
select_directory_nodes (const oh_segment_balancer_t *balancer, uint64_t zone, const oh_flow_key_t *key,
                        oh_address_t nodes[OH_SEGMENT_DIRECTORY_NODES])
{
  const GArray *peers = zone == balancer->zone ? balancer->peers : balancer->remote_peers;
  const uint64_t digest = oh_flow_key_digest (key);
  candidate_t best[OH_SEGMENT_DIRECTORY_NODES];
  unsigned n = 0;

  for (guint i = 0; i < peers->len; i++)
    {
      candidate_t candidate = { .peer = g_array_index (peers, oh_segment_peer_t, i) };

      if (candidate.peer.zone != zone)
        continue;
      candidate.rank = directory_rank (digest, candidate.peer.relay);
      for (unsigned j = 0; j < n; j++)
        if (is_better (&candidate, &best[j]))
          {
            const candidate_t lower = best[j];

            best[j] = candidate;
            candidate = lower;
          }
      if (n < OH_SEGMENT_DIRECTORY_NODES)
        best[n++] = candidate;
    }
  for (unsigned i = 0; i < n; i++)
    nodes[i] = best[i].peer.relay;
  return n;
}

static void
send_peer (oh_segment_balancer_t *balancer, oh_address_t to, Oh__SegmentRelayKind kind,
           const oh_flow_key_t *key, const oh_address_t *owner)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  Oh__Address addresses[4];
  size_t size;

  oh_address_to_wire (balancer->relay, &addresses[0]);
  oh_address_to_wire (key->caller, &addresses[1]);
  oh_address_to_wire (key->route, &addresses[2]);
  relay.kind = kind;
  relay.balancer = &addresses[0];
  relay.caller = &addresses[1];
  relay.route = &addresses[2];
  if (owner != NULL)
    {
      oh_address_to_wire (*owner, &addresses[3]);
      relay.owner = &addresses[3];
    }
  size = oh_segment_relay_encode (&relay, &balancer->keyring, balancer->out, sizeof balancer->out);
  if (size > 0)
    balancer->sink->ops->send_agent (balancer->sink, to, balancer->out, size);
}

static void
store (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  flow->stored = true;
  balancer->sink->ops->store (balancer->sink, &flow->key, flow->owner);
}

void
oh_segment_directory_publish (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  oh_address_t nodes[OH_SEGMENT_DIRECTORY_NODES];
  unsigned n;

  if (flow->published || !flow->owned)
    return;
  flow->published = true;
  n = select_directory_nodes (balancer, balancer->zone, &flow->key, nodes);
  for (unsigned i = 0; i < n; i++)
    {
      if (oh_address_equal (nodes[i], balancer->relay))
        {
          store (balancer, flow);
          continue;
        }
      oh_counter_increment (&balancer->counters.records);
      send_peer (balancer, nodes[i], OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD, &flow->key, &flow->owner);
    }
}

static void
send_zone_lookups (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, uint64_t zone)
{
  oh_address_t nodes[OH_SEGMENT_DIRECTORY_NODES];
  const unsigned n = select_directory_nodes (balancer, zone, &flow->key, nodes);

  for (unsigned i = 0; i < n; i++)
    {
      if (oh_address_equal (nodes[i], balancer->relay))
        continue;
      flow->pending_lookups++;
      send_peer (balancer, nodes[i], OH__SEGMENT_RELAY_KIND__SEGMENT_LOOKUP, &flow->key, NULL);
    }
}

/* Writes the other availability zones that have balancers. Returns their number. */
static unsigned
list_remote_zones (const oh_segment_balancer_t *balancer, uint64_t zones[OH_SEGMENT_LOOKUP_ZONES_MAX])
{
  unsigned n = 0;

  for (guint i = 0; i < balancer->remote_peers->len && n < OH_SEGMENT_LOOKUP_ZONES_MAX; i++)
    {
      const uint64_t zone = g_array_index (balancer->remote_peers, oh_segment_peer_t, i).zone;
      unsigned known = 0;

      while (known < n && zones[known] != zone)
        known++;
      if (known == n)
        zones[n++] = zone;
    }
  return n;
}

/* Asks directory nodes for the owner, those of this availability zone or those of the others. Returns false
 * if there are none besides this balancer. */
static bool
send_lookups (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, bool remote)
{
  uint64_t zones[OH_SEGMENT_LOOKUP_ZONES_MAX] = { balancer->zone };
  const unsigned n = remote ? list_remote_zones (balancer, zones) : 1;

  flow->pending_lookups = 0;
  flow->lookup_us = balancer->now_us;
  flow->remote_lookup = remote;
  for (unsigned i = 0; i < n; i++)
    send_zone_lookups (balancer, flow, zones[i]);
  if (flow->pending_lookups == 0)
    return false;
  oh_counter_increment (&balancer->counters.lookups);
  oh_list_remove (&flow->lookup_link);
  oh_list_append (&balancer->lookups, &flow->lookup_link);
  return true;
}

void
oh_segment_directory_handle_record (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                                    const Oh__SegmentRelay *relay)
{
  oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, key);
  oh_address_t owner;

  if (!oh_address_from_wire (relay->owner, &owner))
    return;
  if (flow == NULL)
    flow = oh_balancer_flow_add (balancer, key);
  else if ((flow->owned && !flow->from_peer) || oh_balancer_flow_has_open_offer (flow))
    return; /* what this balancer learned itself takes precedence */
  else if (flow->owned && oh_address_equal (flow->owner, owner))
    return;
  flow->owned = true;
  flow->from_peer = true;
  flow->owner = owner;
  /* The directory nodes of another availability zone are not those of this one. */
  flow->published = !flow->remote_lookup;
  store (balancer, flow);
}

void
oh_segment_directory_handle_lookup (oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                                    const Oh__SegmentRelay *relay)
{
  const oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, key);
  oh_address_t requester;

  if (!oh_address_from_wire (relay->balancer, &requester))
    return;
  if (flow == NULL || !flow->owned)
    send_peer (balancer, requester, OH__SEGMENT_RELAY_KIND__SEGMENT_UNKNOWN, key, NULL);
  else
    send_peer (balancer, requester, OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD, key, &flow->owner);
}

void
oh_segment_directory_end_lookup (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  flow->pending_lookups = 0;
  oh_list_remove (&flow->lookup_link);
  if (!flow->owned)
    {
      if (flow->remote_lookup || !send_lookups (balancer, flow, true))
        oh_segment_search_start (balancer, flow);
      return;
    }
  oh_counter_increment (&balancer->counters.lookups_found);
  oh_balancer_flow_deliver_pending (balancer, flow);
}

/* Directory nodes that have stopped do not answer. */
void
oh_segment_directory_expire_lookups (oh_segment_balancer_t *balancer)
{
  oh_list_foreach_safe (&balancer->lookups, link, following)
    {
      oh_balancer_flow_t *flow = oh_list_entry (link, oh_balancer_flow_t, lookup_link);

      if (balancer->now_us - flow->lookup_us < (int64_t)OH_SEGMENT_LOOKUP_TIMEOUT_MS * 1000)
        return;
      oh_segment_directory_end_lookup (balancer, flow);
    }
}

void
oh_segment_directory_handle_unknown (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  if (flow == NULL || flow->pending_lookups == 0 || --flow->pending_lookups > 0)
    return;
  oh_segment_directory_end_lookup (balancer, flow);
}

void
oh_segment_directory_find_owner (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow,
                                 const uint8_t *bytes, size_t length)
{
  oh_balancer_flow_queue_segment (balancer, flow, bytes, length);
  if (flow->pending_lookups > 0)
    return;
  if (flow->lookup_us == 0 && (send_lookups (balancer, flow, false) || send_lookups (balancer, flow, true)))
    return;
  oh_segment_search_start (balancer, flow);
}

void
oh_segment_directory_forget_lookups (oh_segment_balancer_t *balancer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, balancer->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      oh_balancer_flow_t *flow = value;

      if (flow->pending_lookups == 0)
        flow->lookup_us = 0;
    }
}

void
oh_segment_directory_invalidate (oh_segment_balancer_t *balancer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, balancer->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((oh_balancer_flow_t *)value)->published = false;
  oh_segment_directory_forget_lookups (balancer);
}
