#include "core/segment_balancer.h"

#include <string.h>
#include <xxhash.h>

#include "core/segment_directory.h"
#include "core/segment_flows.h"
#include "core/segment_held.h"
#include "core/segment_overload.h"
#include "core/segment_placing.h"
#include "core/segment_search.h"

static void
handle_non_syn (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, const oh_segment_t *segment,
                const uint8_t *bytes, size_t length)
{
  oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, key);

  if (flow == NULL)
    flow = oh_balancer_flow_add (balancer, key);
  else
    oh_balancer_flow_touch (balancer, flow);
  flow->closed |= segment->fin || segment->rst;
  flow->may_be_open = true;
  flow->last_acknowledged = segment->acknowledged;
  if (flow->owned)
    {
      oh_segment_directory_publish (balancer, flow);
      oh_counter_increment (&balancer->counters.forwarded);
      oh_segment_send_relay (balancer, flow->owner, OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER, 0, bytes,
                             length);
      return;
    }
  if (!oh_balancer_flow_has_open_offer (flow))
    {
      oh_segment_directory_find_owner (balancer, flow, bytes, length);
      return;
    }
  oh_counter_increment (&balancer->counters.forwarded);
  for (unsigned i = 0; i < flow->n_offers; i++)
    if (flow->offers[i].state != OH_OFFER_REFUSED)
      oh_segment_send_offered (balancer, flow->offers[i].agent, bytes, length);
}

static void
handle_caller (oh_segment_balancer_t *balancer, const uint8_t *bytes, size_t length)
{
  oh_segment_t segment;
  oh_flow_key_t key;

  oh_counter_increment (&balancer->counters.segments);
  if (!balancer->format->ops->decode (balancer->format, bytes, length, &segment) || segment.returned)
    {
      oh_counter_increment (&balancer->counters.dropped_malformed);
      return;
    }
  key = (oh_flow_key_t){ .caller = segment.from, .route = segment.to };
  if (segment.syn && !segment.ack)
    oh_segment_place_syn (balancer, &key, &segment, bytes, length);
  else if (segment.syn)
    oh_counter_increment (&balancer->counters.dropped_malformed); /* only upstreams send a SYN-ACK */
  else
    handle_non_syn (balancer, &key, &segment, bytes, length);
}

/* Messages from agents and other balancers. */

static oh_offer_t *
find_offer (oh_balancer_flow_t *flow, oh_address_t agent)
{
  for (unsigned i = 0; flow != NULL && i < flow->n_offers; i++)
    if (oh_address_equal (flow->offers[i].agent, agent))
      return &flow->offers[i];
  return NULL;
}

static void
on_accepted (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const Oh__Load *load,
             oh_address_t agent)
{
  oh_offer_t *offer = find_offer (flow, agent);

  if (flow == NULL)
    return;
  oh_counter_increment (&balancer->counters.accepted);
  if (offer != NULL && offer->state == OH_OFFER_SENT)
    oh_histogram_observe (&balancer->offer_seconds, balancer->now_us - offer->sent_us);
  oh_placement_open_answered (&balancer->placement, load, oh_flow_key_digest (&flow->key), true,
                              balancer->now_us);
  if (offer == NULL)
    {
      flow->may_be_open = true; /* a copy of an offer that was refused */
      return;
    }
  if (offer->speculative && offer->state == OH_OFFER_SENT)
    balancer->speculative_budget++;
  offer->state = OH_OFFER_ACCEPTED;
  oh_segment_end_hold (flow);
}

/* An agent with limits has refused the flow for overload, and nobody else may have it. */
static void
wait_for_position (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const Oh__SegmentRelay *relay)
{
  if (oh_segment_wait (balancer, flow, relay->segment.data, relay->segment.len))
    flow->n_offers = 0; /* the agent may have a position later */
  else
    oh_segment_place (balancer, flow, relay->segment.data, relay->segment.len);
}

/* True if the agent refused an earlier transmission of the SYN than the last one that was sent to it. It may
 * accept that one a moment later, and the flow must not be reset until then. A SYN that the upstream did not
 * answer is returned as it came first. */
static bool
is_outdated_refusal (const oh_segment_balancer_t *balancer, const oh_offer_t *offer,
                     const Oh__SegmentRelay *relay)
{
  return relay->refused != OH__RESULT__RESULT_NOT_RUN_UPSTREAM
         && oh_segment_transmission (balancer, relay->segment.data, relay->segment.len) < offer->transmission;
}

static void
on_refused (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const Oh__SegmentRelay *relay,
            oh_address_t agent)
{
  oh_offer_t *offer = find_offer (flow, agent);
  bool restarted;
  bool full;

  if (offer == NULL || offer->state == OH_OFFER_REFUSED || is_outdated_refusal (balancer, offer, relay))
    return;
  oh_counter_increment (&balancer->counters.refused_by_agent);
  oh_placement_open_answered (&balancer->placement, relay->load, oh_flow_key_digest (&flow->key), false,
                              balancer->now_us);
  /* An agent that was restarted does not know that it has delivered an earlier transmission of the SYN. */
  restarted = relay->load->incarnation != offer->incarnation;
  flow->may_be_open
    |= relay->refused == OH__RESULT__RESULT_NOT_RUN_UPSTREAM || (offer->repeated && restarted);
  offer->state = OH_OFFER_REFUSED;
  flow->overloaded = relay->refused == OH__RESULT__RESULT_NOT_RUN_OVERLOADED;
  full = flow->overloaded && relay->load->limit > 0 && oh_segment_is_managed (balancer, flow);
  if (full)
    oh_placement_overloaded (&balancer->placement, relay->load, offer->yields, balancer->now_us);
  oh_balancer_flow_log (balancer, OH_LOG_INFO, "offer_refused", &flow->key, "upstream=%s result=%d",
                        relay->load->upstream, (int)relay->refused);
  if (oh_balancer_flow_has_open_offer (flow) || flow->owned)
    return;
  if (full)
    wait_for_position (balancer, flow, relay);
  else
    oh_segment_place (balancer, flow, relay->segment.data, relay->segment.len);
}

/* The upstream that had the flow does not have it any more: a response will never come. */
static void
reset_ended_flow (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  char owner[OH_ADDRESS_TEXT_BYTES];

  oh_balancer_flow_log (
    balancer, OH_LOG_INFO, "flow_reset", &flow->key, "owner=%s from_peer=%d age_ms=%" G_GINT64_FORMAT,
    oh_address_format (flow->owner, owner), flow->from_peer, (balancer->now_us - flow->opened_us) / 1000);
  oh_counter_increment (&balancer->counters.resets_absent);
  flow->closed = true;
  oh_segment_send_reset (balancer, &flow->key, flow->last_acknowledged);
}

static void
on_absent (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const Oh__SegmentRelay *relay,
           oh_address_t agent)
{
  oh_offer_t *offer = find_offer (flow, agent);

  if (flow == NULL)
    return;
  if (relay->search != 0)
    {
      oh_segment_search_handle_absent (balancer, flow, relay->search, agent);
      return;
    }
  if (offer != NULL)
    offer->state = OH_OFFER_REFUSED;
  if (flow->owned && oh_address_equal (flow->owner, agent))
    {
      if (relay->denied)
        {
          reset_ended_flow (balancer, flow);
          return;
        }
      flow->owned = flow->published = false;
    }
  if (flow->owned || oh_balancer_flow_has_open_offer (flow))
    return;
  flow->query = 0;
  if (relay->segment.len > 0)
    oh_balancer_flow_queue_segment (balancer, flow, relay->segment.data, relay->segment.len);
  oh_segment_search_start (balancer, flow);
}

static bool
relay_flow_key (const oh_segment_balancer_t *balancer, const Oh__SegmentRelay *relay, oh_flow_key_t *key)
{
  oh_segment_t segment;

  if (relay->caller != NULL && relay->route != NULL)
    return oh_address_from_wire (relay->caller, &key->caller)
           && oh_address_from_wire (relay->route, &key->route);
  if (!balancer->format->ops->decode (balancer->format, relay->segment.data, relay->segment.len, &segment))
    return false;
  *key = (oh_flow_key_t){ .caller = segment.from, .route = segment.to };
  return true;
}

/* Handles a message between balancers. Returns false if it is of another kind. */
static bool
handle_peer (oh_segment_balancer_t *balancer, const Oh__SegmentRelay *relay)
{
  oh_balancer_flow_t *flow;
  oh_flow_key_t key;

  if (relay->kind != OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD
      && relay->kind != OH__SEGMENT_RELAY_KIND__SEGMENT_LOOKUP
      && relay->kind != OH__SEGMENT_RELAY_KIND__SEGMENT_UNKNOWN)
    return false;
  if (relay->caller == NULL || relay->route == NULL || !relay_flow_key (balancer, relay, &key))
    {
      oh_counter_increment (&balancer->counters.dropped_malformed);
      return true;
    }
  if (relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_LOOKUP)
    {
      oh_segment_directory_handle_lookup (balancer, &key, relay);
      return true;
    }
  if (relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD)
    oh_segment_directory_handle_record (balancer, &key, relay);
  flow = g_hash_table_lookup (balancer->flows, &key);
  if (relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_UNKNOWN)
    oh_segment_directory_handle_unknown (balancer, flow);
  else if (flow != NULL && flow->pending != NULL && flow->owned)
    oh_segment_directory_end_lookup (balancer, flow);
  return true;
}

static void
handle_relay (oh_segment_balancer_t *balancer, const Oh__SegmentRelay *relay)
{
  oh_address_t agent;
  oh_flow_key_t key;
  oh_balancer_flow_t *flow;

  if (relay != NULL && relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_ANSWER)
    {
      if (oh_address_from_wire (relay->owner, &agent))
        oh_segment_search_handle_answer (balancer, relay, agent);
      else
        oh_counter_increment (&balancer->counters.dropped_malformed);
      return;
    }
  if (relay != NULL && handle_peer (balancer, relay))
    return;
  if (relay == NULL || relay->load == NULL || !oh_address_from_wire (relay->load->agent, &agent))
    {
      oh_counter_increment (&balancer->counters.dropped_bad_seal);
      return;
    }
  oh_placement_apply_load (&balancer->placement, relay->load, balancer->now_us);
  if (relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_LOAD || !relay_flow_key (balancer, relay, &key))
    return;
  flow = g_hash_table_lookup (balancer->flows, &key);
  switch (relay->kind)
    {
    case OH__SEGMENT_RELAY_KIND__SEGMENT_ACCEPTED:
      on_accepted (balancer, flow, relay->load, agent);
      return;
    case OH__SEGMENT_RELAY_KIND__SEGMENT_REFUSED:
      on_refused (balancer, flow, relay, agent);
      return;
    case OH__SEGMENT_RELAY_KIND__SEGMENT_OWNED:
      if (flow != NULL)
        oh_segment_search_handle_owned (balancer, flow, agent);
      return;
    case OH__SEGMENT_RELAY_KIND__SEGMENT_ABSENT:
      on_absent (balancer, flow, relay, agent);
      return;
    case OH__SEGMENT_RELAY_KIND__SEGMENT_LOAD:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_SEARCH:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_LOOKUP:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_UNKNOWN:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_ASK:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_ANSWER:
    case _OH__SEGMENT_RELAY_KIND_IS_INT_SIZE:
      return;
    }
}

static bool
same_peers (const GArray *a, const GArray *b)
{
  if (a->len != b->len)
    return false;
  for (guint i = 0; i < a->len; i++)
    {
      const oh_segment_peer_t *left = &g_array_index (a, oh_segment_peer_t, i);
      const oh_segment_peer_t *right = &g_array_index (b, oh_segment_peer_t, i);

      if (!oh_address_equal (left->relay, right->relay) || left->durable != right->durable
          || left->zone != right->zone)
        return false;
    }
  return true;
}

static uint64_t
hash_zone (const char *zone)
{
  return zone != NULL ? XXH64 (zone, strlen (zone), 0) : 0;
}

static void
handle_view (oh_segment_balancer_t *balancer, const oh_view_t *view)
{
  g_autoptr (GArray) before = balancer->peers;
  g_autoptr (GArray) remote_before = balancer->remote_peers;
  const bool newly_complete = view->complete && !balancer->all_listed;

  if (view->confirmed && view->version > balancer->routes_version)
    {
      if (balancer->routes_version == 0)
        balancer->confirmed_us = balancer->now_us;
      balancer->routes_version = view->version;
      oh_counter_set (&balancer->counters.view_version, view->version);
      oh_route_table_load (&balancer->routes, &view->config);
      oh_held_queue_remove_unused_routes (&balancer->waiting);
    }
  balancer->all_listed = view->complete;
  balancer->peers = g_array_new (FALSE, FALSE, sizeof (oh_segment_peer_t));
  balancer->remote_peers = g_array_new (FALSE, FALSE, sizeof (oh_segment_peer_t));
  for (guint i = 0; i < view->balancers->len; i++)
    {
      const oh_view_balancer_t *listed = g_ptr_array_index (view->balancers, i);
      const oh_segment_peer_t peer = {
        .relay = listed->relay,
        .durable = listed->durable,
        .zone = hash_zone (listed->zone),
      };

      g_array_append_val (peer.zone == balancer->zone ? balancer->peers : balancer->remote_peers, peer);
    }
  if (!same_peers (before, balancer->peers))
    oh_segment_directory_invalidate (balancer);
  else if (!same_peers (remote_before, balancer->remote_peers))
    oh_segment_directory_forget_lookups (balancer);
  oh_keyring_advance (&balancer->keyring, view->key_generation);
  oh_placement_set_view (&balancer->placement, oh_placement_view_new (view), balancer->now_us);
  if (newly_complete)
    oh_segment_search_resume (balancer);
}

void
oh_segment_balancer_init (oh_segment_balancer_t *balancer, const oh_segment_balancer_config_t *config,
                          const oh_keyring_t *keyring, oh_random_t *random)
{
  *balancer = (oh_segment_balancer_t){
    .format = config->format,
    .relay = config->relay,
    .keyring = *keyring,
    .flow_timeout_us = config->flow_timeout_ms * 1000,
    .max_flows = config->max_flows,
    .zone = hash_zone (config->zone),
    .peers = g_array_new (FALSE, FALSE, sizeof (oh_segment_peer_t)),
    .remote_peers = g_array_new (FALSE, FALSE, sizeof (oh_segment_peer_t)),
    .flows = g_hash_table_new_full (oh_flow_key_hash, oh_flow_key_equal, NULL, oh_balancer_flow_free),
    .resumed_us = G_MININT64 / 2,
    .search_budget = OH_SEGMENT_SEARCH_MESSAGES_PER_S,
    .speculative_budget = OH_SEGMENT_SPECULATIVE_MIN,
    .query_queue = g_array_new (FALSE, FALSE, sizeof (oh_flow_key_t)),
  };
  oh_list_init (&balancer->lru);
  oh_list_init (&balancer->lookups);
  oh_list_init (&balancer->held);
  oh_held_queue_init (&balancer->waiting);
  oh_placement_init (&balancer->placement, config->zone, random);
  oh_route_table_init (&balancer->routes);
  oh_arena_init (&balancer->arena);
}

void
oh_segment_balancer_finish (oh_segment_balancer_t *balancer)
{
  g_hash_table_unref (balancer->flows);
  oh_held_queue_finish (&balancer->waiting);
  g_array_unref (balancer->peers);
  g_array_unref (balancer->remote_peers);
  g_array_unref (balancer->query_queue);
  for (size_t i = 0; i < G_N_ELEMENTS (balancer->queries); i++)
    oh_segment_query_clear (&balancer->queries[i]);
  oh_route_table_finish (&balancer->routes);
  oh_placement_finish (&balancer->placement);
  oh_keyring_finish (&balancer->keyring);
}

void
oh_segment_balancer_add_counters (oh_segment_balancer_t *balancer, oh_counters_t *counters)
{
  oh_segment_balancer_counters_t *own = &balancer->counters;
  const struct
  {
    oh_counter_t *counter;
    const char *name;
    const char *help;
  } table[] = {
    { &own->segments, "segments_total", "Segments received from callers" },
    { &own->forwarded, "segments_forwarded_total",
      "Segments sent to an agent that was offered the flow or owns it" },
    { &own->searched, "segments_searched_total", "Segments whose owner was not known" },
    { &own->search_messages, "search_messages_total",
      "Questions sent to agents to find owners, each about one flow or more" },
    { &own->found, "flows_found_total", "Flows whose owner answered a search" },
    { &own->placed, "flows_placed_total", "Offers of flows to agents" },
    { &own->placed_again, "flows_placed_again_total", "Offers after a refusal or a repetition" },
    { &own->accepted, "offers_accepted_total", "Offers that an upstream answered" },
    { &own->refused_by_agent, "offers_refused_total", "Offers that an agent refused" },
    { &own->records, "flow_records_sent_total", "Owners of flows told to other balancers" },
    { &own->lookups, "flow_lookups_total", "Segments sent to other balancers for want of a record" },
    { &own->lookups_found, "flow_lookups_found_total", "Flows whose owner another balancer knew" },
    { &own->resets_absent, "resets_absent_total", "Resets of flows that no upstream holds" },
    { &own->held, "flows_held_total", "Refusals of flows that are kept and offered again, for want of room" },
    { &own->speculative_offers, "offers_guessed_total",
      "Offers to agents that were not known to have a position" },
    { &own->resets_expired, "resets_expired_total", "Flows that waited until their callers gave up" },
    { &own->flows_waiting, "flows_waiting", "Flows that wait for a position at an agent" },
    { &own->resets_no_route, "resets_no_route_total", "Flows refused because no route leads there" },
    { &own->resets_refused, "resets_refused_total", "Flows refused because no upstream takes them" },
    { &own->dropped_malformed, "dropped_malformed_total", "Datagrams of callers that are no segments" },
    { &own->dropped_bad_seal, "dropped_bad_seal_total", "Datagrams of agents without a valid seal" },
    { &own->dropped_no_view, "dropped_no_view_total", "First segments before the first confirmed view" },
    { &own->dropped_no_route, "dropped_no_route_total", "Later segments whose route is gone" },
    { &own->dropped_searches, "dropped_searches_total", "Segments beyond the bound of searches of a flow" },
    { &own->dropped_late, "dropped_late_total", "First segments of flows that are open or given up" },
    { &own->flows, "flows", "Flow records" },
    { &own->view_version, "view_version", "Configuration version in effect" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    oh_counters_add_with_help (counters, table[i].counter, table[i].name, table[i].help);
  oh_counters_add_histogram (counters, &own->offer_latency, &balancer->offer_seconds, "offer_seconds",
                             "Time from the offer of a flow to the upstream's answer");
}

void
oh_segment_balancer_restore (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, oh_address_t owner,
                             int64_t now_us)
{
  oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, key);

  balancer->now_us = now_us;
  if (flow == NULL)
    flow = oh_balancer_flow_add (balancer, key);
  else if (!flow->stored)
    return; /* what this process learned itself is newer */
  flow->owned = true;
  flow->from_peer = true;
  flow->owner = owner;
  flow->stored = true;
}

void
oh_segment_balancer_store_all (oh_segment_balancer_t *balancer, oh_segment_balancer_sink_t *sink)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, balancer->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const oh_balancer_flow_t *flow = value;

      if (flow->stored && flow->owned)
        sink->ops->store (sink, &flow->key, flow->owner);
    }
}

bool
oh_segment_balancer_waits (const oh_segment_balancer_t *balancer)
{
  return balancer->waiting.n_flows > 0;
}

bool
oh_segment_balancer_ready (const oh_segment_balancer_t *balancer)
{
  return balancer->routes_version > 0;
}

void
oh_segment_balancer_handle (oh_segment_balancer_t *balancer, const oh_segment_balancer_event_t *event,
                            oh_segment_balancer_sink_t *sink)
{
  const Oh__SegmentRelay *relay;

  balancer->now_us = event->now_us;
  balancer->sink = sink;
  /* Ticks come more often than this, so a longer gap is a pause of the process. */
  if (balancer->last_event_us != 0
      && event->now_us - balancer->last_event_us >= (int64_t)OH_SEGMENT_PAUSE_MS * 1000)
    balancer->resumed_us = event->now_us;
  balancer->last_event_us = event->now_us;
  switch (event->kind)
    {
    case OH_SEGMENT_BALANCER_CALLER:
      handle_caller (balancer, event->datagram.bytes, event->datagram.length);
      break;
    case OH_SEGMENT_BALANCER_RELAY:
      relay = oh_segment_relay_decode (&balancer->arena, &balancer->keyring, event->datagram.bytes,
                                       event->datagram.length, NULL);
      handle_relay (balancer, relay);
      if (relay != NULL && relay->load != NULL
          && oh_placement_has_position (&balancer->placement, relay->load, balancer->now_us))
        oh_segment_offer_waiting (balancer);
      break;
    case OH_SEGMENT_BALANCER_VIEW:
      handle_view (balancer, event->view);
      oh_segment_offer_waiting (balancer);
      break;
    case OH_SEGMENT_BALANCER_TICK:
      oh_placement_expire_opens (&balancer->placement, event->now_us);
      oh_segment_directory_expire_lookups (balancer);
      oh_segment_search_tick (balancer);
      oh_segment_offer_held (balancer);
      oh_segment_overload_tick (balancer);
      oh_balancer_flow_expire (balancer);
      break;
    case OH_SEGMENT_BALANCER_HELD:
      oh_segment_offer_waiting (balancer);
      break;
    }
  balancer->sink = NULL;
}
