#include "core/segment_balancer.h"

#include <stdarg.h>
#include <string.h>
#include <xxhash.h>

static void G_GNUC_PRINTF (5, 6)
  log_flow (const oh_segment_balancer_t *balancer, oh_log_level_t level, const char *event,
            const oh_flow_key_t *key, const char *format, ...)
{
  char caller[OH_ADDRESS_TEXT_BYTES];
  char route[OH_ADDRESS_TEXT_BYTES];
  char pairs[OH_SEGMENT_LOG_BYTES];
  int length;
  va_list args;

  if (!oh_log_enabled (level))
    return;
  length = g_snprintf (pairs, sizeof pairs, "caller=%s route=%s ", oh_address_format (key->caller, caller),
                       oh_address_format (key->route, route));
  va_start (args, format);
  g_vsnprintf (pairs + length, sizeof pairs - (size_t)length, format, args);
  va_end (args);
  balancer->sink->ops->log (balancer->sink, level, event, pairs);
}

/* Records. */

static void
end_search (oh_balancer_flow_t *flow)
{
  g_clear_pointer (&flow->searched, g_bytes_unref);
  g_clear_pointer (&flow->asked, g_array_unref);
}

static void
free_flow (gpointer data)
{
  oh_balancer_flow_t *flow = data;

  oh_list_remove (&flow->by_use);
  oh_list_remove (&flow->by_lookup);
  end_search (flow);
  g_clear_pointer (&flow->waiting, g_ptr_array_unref);
  g_free (flow);
}

static void
use_flow (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  flow->used_us = balancer->now_us;
  oh_list_remove (&flow->by_use);
  oh_list_append (&balancer->by_use, &flow->by_use);
}

static void
forget_oldest (oh_segment_balancer_t *balancer)
{
  oh_balancer_flow_t *oldest = oh_list_entry (balancer->by_use.next, oh_balancer_flow_t, by_use);

  g_hash_table_remove (balancer->flows, &oldest->key);
}

static oh_balancer_flow_t *
add_flow (oh_segment_balancer_t *balancer, const oh_flow_key_t *key)
{
  oh_balancer_flow_t *flow = g_new0 (oh_balancer_flow_t, 1);

  if (g_hash_table_size (balancer->flows) >= balancer->max_flows)
    forget_oldest (balancer);
  flow->key = *key;
  flow->opened_us = balancer->now_us;
  oh_list_init (&flow->by_use);
  oh_list_init (&flow->by_lookup);
  g_hash_table_replace (balancer->flows, &flow->key, flow);
  use_flow (balancer, flow);
  return flow;
}

static void
expire_flows (oh_segment_balancer_t *balancer)
{
  while (!oh_list_is_empty (&balancer->by_use))
    {
      const oh_balancer_flow_t *oldest = oh_list_entry (balancer->by_use.next, oh_balancer_flow_t, by_use);
      const int64_t limit_us
        = oldest->closed ? (int64_t)OH_SEGMENT_CLOSED_MS * 1000 : balancer->flow_timeout_us;

      if (balancer->now_us - oldest->used_us < limit_us)
        break;
      forget_oldest (balancer);
    }
  oh_counter_set (&balancer->counters.flows, g_hash_table_size (balancer->flows));
}

/* Messages. */

/* search is the number of the question in a SEARCH, otherwise 0. */
static void
send_question (oh_segment_balancer_t *balancer, oh_address_t agent, Oh__SegmentRelayKind kind,
               uint64_t service, uint32_t search, const uint8_t *bytes, size_t length)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  Oh__Address self;
  size_t size;

  oh_address_to_wire (balancer->relay, &self);
  relay.kind = kind;
  relay.balancer = &self;
  relay.service = service;
  relay.search = search;
  relay.segment.data = (uint8_t *)bytes;
  relay.segment.len = length;
  size = oh_segment_relay_encode (&relay, &balancer->keyring, balancer->out, sizeof balancer->out);
  if (size > 0)
    balancer->sink->ops->send_agent (balancer->sink, agent, balancer->out, size);
}

static void
send_relay (oh_segment_balancer_t *balancer, oh_address_t agent, Oh__SegmentRelayKind kind, uint64_t service,
            const uint8_t *bytes, size_t length)
{
  send_question (balancer, agent, kind, service, 0, bytes, length);
}

static void
send_reset (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, uint32_t sequence)
{
  uint8_t buffer[OH_SEGMENT_RESET_MAX_BYTES];
  const size_t length = balancer->format->ops->make_reset (balancer->format, key, sequence, buffer);

  balancer->sink->ops->send_caller (balancer->sink, key->caller, buffer, length);
}

/* What waited while the process was paused may describe a flow that has opened elsewhere since. */
static bool
is_fresh (const oh_segment_balancer_t *balancer)
{
  return balancer->now_us - balancer->lagged_us >= (int64_t)OH_SEGMENT_OPENING_MS * 1000;
}

/* Placement. */

static bool
has_open_offer (const oh_balancer_flow_t *flow)
{
  for (unsigned i = 0; i < flow->n_offers; i++)
    if (flow->offers[i].state != OH_OFFER_REFUSED)
      return true;
  return false;
}

/*
 * Tries the service that the flow's hash selects, then the other targets of the route: an upstream that has
 * room serves the caller better than the exact share of a service that has none.
 */
static bool
choose_upstream (oh_segment_balancer_t *balancer, const oh_route_t *route, const oh_balancer_flow_t *flow,
                 uint64_t *service, oh_placement_decision_t *decision)
{
  uint64_t tried[OH_SEGMENT_OFFERS_MAX];
  const uint64_t first = oh_route_choose (route, &flow->key);
  oh_placement_decision_t other;

  for (unsigned i = 0; i < flow->n_offers; i++)
    tried[i] = flow->offers[i].incarnation;
  *service = first;
  if (oh_placement_choose (&balancer->placement, first, tried, flow->n_offers, balancer->now_us, decision))
    return true;
  for (guint i = 0; i < route->targets->len; i++)
    {
      const oh_route_target_t *target = &g_array_index (route->targets, oh_route_target_t, i);

      if (target->weight == 0 || target->service == first
          || !oh_placement_choose (&balancer->placement, target->service, tried, flow->n_offers,
                                   balancer->now_us, &other))
        continue;
      *service = target->service;
      *decision = other;
      return true;
    }
  return false;
}

/* True if the flow may find room by the time that the caller sends the next copy of its first segment. */
static bool
may_find_room (const oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow,
               oh_placement_reason_t reason)
{
  const bool starting = balancer->now_us - balancer->confirmed_us < (int64_t)OH_SEGMENT_LISTING_MS * 1000;

  if (flow->copies >= OH_SEGMENT_COPIES)
    return false;
  return flow->overloaded || (starting && reason == OH_PLACEMENT_NO_UPSTREAM);
}

/* The callers of flows that nobody took are told at once, unless room is likely to be found for the next
 * copy.
 */
static void
refuse_flow (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, oh_placement_reason_t reason)
{
  /* An earlier copy may have opened the flow through another balancer. */
  const bool known_unopened = flow->first_copy && !flow->owned && !has_open_offer (flow)
                              && balancer->now_us - flow->opened_us < (int64_t)OH_SEGMENT_OPENING_MS * 1000
                              && is_fresh (balancer);
  const bool hold = may_find_room (balancer, flow, reason);

  log_flow (balancer, OH_LOG_INFO, "flow_refused", &flow->key,
            "reason=%s offers=%u copies=%u overloaded=%d result=%s", oh_placement_reason_name (reason),
            flow->n_offers, flow->copies, flow->overloaded,
            hold             ? "held"
            : known_unopened ? "reset"
                             : "dropped");
  if (hold)
    {
      oh_counter_increment (&balancer->counters.held);
      flow->n_offers = 0;
      return;
    }
  if (!known_unopened)
    return;
  oh_counter_increment (&balancer->counters.resets_refused);
  send_reset (balancer, &flow->key, 0);
}

static void
place_flow (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes, size_t length)
{
  const oh_route_t *route = oh_route_table_find (&balancer->routes, flow->key.route);
  oh_placement_decision_t decision;
  uint64_t service;
  oh_offer_t *offer;

  if (route == NULL)
    {
      refuse_flow (balancer, flow, OH_PLACEMENT_UNKNOWN_SERVICE);
      return;
    }
  if (!choose_upstream (balancer, route, flow, &service, &decision))
    {
      if (!has_open_offer (flow))
        refuse_flow (balancer, flow, decision.reason);
      return;
    }
  offer = &flow->offers[flow->n_offers++];
  *offer = (oh_offer_t){
    .agent = decision.upstream->agent,
    .incarnation = decision.upstream->incarnation,
    .service = service,
    .sent_us = balancer->now_us,
  };
  oh_counter_increment (&balancer->counters.placed);
  if (flow->n_offers > 1)
    oh_counter_increment (&balancer->counters.placed_again);
  oh_placement_sent (&balancer->placement, decision.upstream, oh_flow_key_digest (&flow->key),
                     balancer->now_us);
  log_flow (balancer, OH_LOG_INFO, "flow_placed", &flow->key,
            "service=%s upstream=%s reason=%s candidates=%u load=%.2f offer=%u version=%" G_GUINT64_FORMAT,
            decision.service_name, decision.upstream->name, oh_placement_reason_name (decision.reason),
            decision.candidates, decision.load, flow->n_offers, balancer->routes_version);
  send_relay (balancer, offer->agent, OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN, service, bytes, length);
}

static void
repeat_offer (oh_segment_balancer_t *balancer, const oh_offer_t *offer, const uint8_t *bytes, size_t length)
{
  send_relay (balancer, offer->agent, OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN, offer->service, bytes, length);
}

/* A further copy of a first segment that was placed here. */
static void
repeat_first (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes, size_t length)
{
  const unsigned offers = flow->n_offers;

  flow->copies++;
  if (flow->owned || balancer->now_us - flow->opened_us > (int64_t)OH_SEGMENT_OPENING_MS * 1000)
    {
      oh_counter_increment (&balancer->counters.dropped_late);
      return;
    }
  for (unsigned i = 0; i < flow->n_offers; i++)
    if (flow->offers[i].state == OH_OFFER_ACCEPTED)
      {
        repeat_offer (balancer, &flow->offers[i], bytes, length);
        return;
      }
  if (flow->n_offers < OH_SEGMENT_OFFERS_MAX)
    place_flow (balancer, flow, bytes, length);
  for (unsigned i = 0; i < offers && flow->n_offers == offers; i++)
    if (flow->offers[i].state == OH_OFFER_SENT)
      repeat_offer (balancer, &flow->offers[i], bytes, length);
}

static void
handle_first (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, const oh_segment_t *segment,
              const uint8_t *bytes, size_t length)
{
  oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, key);

  if (flow != NULL && flow->first_seen && flow->first_sequence == segment->sequence)
    {
      use_flow (balancer, flow);
      repeat_first (balancer, flow, bytes, length);
      return;
    }
  if (!oh_segment_balancer_ready (balancer))
    {
      oh_counter_increment (&balancer->counters.dropped_no_view);
      return;
    }
  if (oh_route_table_find (&balancer->routes, key->route) == NULL)
    {
      oh_counter_increment (&balancer->counters.resets_no_route);
      log_flow (balancer, OH_LOG_INFO, "flow_refused", key, "reason=no-route version=%" G_GUINT64_FORMAT,
                balancer->routes_version);
      if (segment->acknowledged == 0 && is_fresh (balancer))
        send_reset (balancer, key, 0);
      return;
    }
  flow = add_flow (balancer, key);
  flow->first_seen = true;
  flow->first_sequence = segment->sequence;
  flow->first_copy = segment->acknowledged == 0;
  flow->copies = segment->acknowledged;
  place_flow (balancer, flow, bytes, length);
}

/* Segments in the middle of a flow. */

/* Most agents know without the segment whether they hold its flow; the others ask for it. */
static void
ask (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const oh_upstream_t *upstream)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  Oh__Address addresses[3];
  size_t size;

  oh_address_to_wire (balancer->relay, &addresses[0]);
  oh_address_to_wire (flow->key.caller, &addresses[1]);
  oh_address_to_wire (flow->key.route, &addresses[2]);
  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_ASK;
  relay.search = (uint32_t)flow->question << 16 | (flow->asked->len & 0xffff);
  relay.balancer = &addresses[0];
  relay.caller = &addresses[1];
  relay.route = &addresses[2];
  g_array_append_val (flow->asked, upstream->agent);
  balancer->search_budget--;
  oh_counter_increment (&balancer->counters.search_messages);
  size = oh_segment_relay_encode (&relay, &balancer->keyring, balancer->out, sizeof balancer->out);
  if (size > 0)
    balancer->sink->ops->send_agent (balancer->sink, upstream->agent, balancer->out, size);
}

static bool
leads_to (const oh_route_t *route, uint64_t service)
{
  for (guint i = 0; i < route->targets->len; i++)
    if (g_array_index (route->targets, oh_route_target_t, i).service == service)
      return true;
  return false;
}

static bool
may_search (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  if (balancer->now_us - flow->search_period_us >= (int64_t)OH_SEGMENT_SEARCH_PERIOD_MS * 1000)
    {
      flow->search_period_us = balancer->now_us;
      flow->searches = 0;
    }
  if (flow->searches++ >= OH_SEGMENT_SEARCHES_MAX)
    return false;
  /* Found nowhere a moment ago; the flow would be found nowhere again. */
  if (flow->absent_us != 0 && balancer->now_us - flow->absent_us < (int64_t)OH_SEGMENT_SEARCH_AGAIN_MS * 1000)
    return false;
  return balancer->search_budget > 0;
}

/* What searches may send, so that they leave most of a thin link to the flows that have an owner. */
static void
refill_search_budget (oh_segment_balancer_t *balancer)
{
  const int refill = OH_SEGMENT_SEARCH_MESSAGES_PER_S * OH_SEGMENT_TICK_MS / 1000;

  balancer->search_budget = MIN (balancer->search_budget + refill, OH_SEGMENT_SEARCH_MESSAGES_PER_S);
}

static bool
was_asked (const oh_balancer_flow_t *flow, oh_address_t agent)
{
  for (guint i = 0; i < flow->asked->len; i++)
    if (oh_address_equal (g_array_index (flow->asked, oh_address_t, i), agent))
      return true;
  return false;
}

/* Returns true if there were agents that have not been asked yet. */
static bool
search_others (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  const guint asked = flow->asked->len;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, balancer->placement.upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!was_asked (flow, ((const oh_upstream_t *)value)->agent))
      ask (balancer, flow, value);
  return flow->asked->len > asked;
}

/*
 * Sends the segment to every agent of the route's services. An earlier configuration may have led the flow to
 * another service; the agents of those are asked when these have answered.
 */
static void
search (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes, size_t length)
{
  const oh_route_t *route = oh_route_table_find (&balancer->routes, flow->key.route);
  GHashTableIter iter;
  gpointer value;

  if (route == NULL)
    {
      oh_counter_increment (&balancer->counters.dropped_no_route);
      return;
    }
  if (!may_search (balancer, flow))
    {
      oh_counter_increment (&balancer->counters.dropped_searches);
      return;
    }
  oh_counter_increment (&balancer->counters.searched);
  end_search (flow);
  flow->question++;
  flow->question += flow->question == 0; /* 0 names no question */
  flow->n_absent = 0;
  memset (flow->absent, 0, sizeof flow->absent);
  flow->asked = g_array_new (FALSE, FALSE, sizeof (oh_address_t));
  flow->searched = g_bytes_new (bytes, length);
  g_hash_table_iter_init (&iter, balancer->placement.upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (leads_to (route, ((const oh_upstream_t *)value)->service))
      ask (balancer, flow, value);
  if (flow->asked->len == 0)
    search_others (balancer, flow);
  log_flow (balancer, OH_LOG_DEBUG, "flow_searched", &flow->key, "question=%u asked=%u", flow->question,
            flow->asked->len);
}

/* Every agent that could own the flow has said that it does not. */
static void
end_absent_flow (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  const bool certain = balancer->listed && flow->asked->len <= OH_SEGMENT_ASKED_MAX && is_fresh (balancer);

  log_flow (balancer, OH_LOG_INFO, "flow_absent", &flow->key, "asked=%u listed=%d result=%s",
            flow->asked->len, balancer->listed, certain ? "reset" : "dropped");
  flow->absent_us = certain ? 0 : balancer->now_us;
  if (!certain)
    return;
  oh_counter_increment (&balancer->counters.resets_absent);
  send_reset (balancer, &flow->key, flow->last_acknowledged);
}

/* An agent that cannot tell without the segment gets it. */
static void
on_wanted (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, uint32_t question, oh_address_t agent)
{
  gsize length;
  const uint8_t *bytes;

  if (flow == NULL || flow->searched == NULL || question >> 16 != flow->question)
    return;
  bytes = g_bytes_get_data (flow->searched, &length);
  send_question (balancer, agent, OH__SEGMENT_RELAY_KIND__SEGMENT_SEARCH, 0, question, bytes, length);
}

static void
on_search_answer (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, uint32_t answered)
{
  const unsigned index = answered & 0xffff;
  const uint64_t bit = (uint64_t)1 << (index % 64);

  if (flow == NULL || flow->asked == NULL || flow->owned || has_open_offer (flow)
      || answered >> 16 != flow->question || index >= flow->asked->len || index >= OH_SEGMENT_ASKED_MAX
      || (flow->absent[index / 64] & bit) != 0)
    return;
  flow->absent[index / 64] |= bit;
  flow->n_absent++;
  if (flow->n_absent == flow->asked->len && !search_others (balancer, flow))
    end_absent_flow (balancer, flow);
}

/* The directory. */

static uint64_t
holder_rank (uint64_t digest, oh_address_t balancer)
{
  const uint64_t words[] = { digest, (uint64_t)balancer.ipv4 << 16 | balancer.port };

  return XXH64 (words, sizeof words, 0);
}

/* The balancers that are told the owner of a flow: those of the highest ranks. Every balancer of the
 * availability zone selects the same ones. Returns their number. */
static unsigned
select_holders (const oh_segment_balancer_t *balancer, const oh_flow_key_t *key,
                oh_address_t holders[OH_SEGMENT_HOLDERS])
{
  const uint64_t digest = oh_flow_key_digest (key);
  uint64_t ranks[OH_SEGMENT_HOLDERS];
  unsigned n = 0;

  for (guint i = 0; i < balancer->peers->len; i++)
    {
      oh_address_t peer = g_array_index (balancer->peers, oh_address_t, i);
      uint64_t rank = holder_rank (digest, peer);

      for (unsigned j = 0; j < n; j++)
        if (rank > ranks[j])
          {
            const oh_address_t lower = holders[j];
            const uint64_t lower_rank = ranks[j];

            holders[j] = peer;
            ranks[j] = rank;
            peer = lower;
            rank = lower_rank;
          }
      if (n < OH_SEGMENT_HOLDERS)
        {
          holders[n] = peer;
          ranks[n++] = rank;
        }
    }
  return n;
}

/* The agent that holds the flow, as far as this balancer knows. */
static bool
known_owner (const oh_balancer_flow_t *flow, oh_address_t *owner)
{
  unsigned open = 0;

  if (flow->owned)
    {
      *owner = flow->owner;
      return true;
    }
  for (unsigned i = 0; i < flow->n_offers; i++)
    if (flow->offers[i].state != OH_OFFER_REFUSED)
      {
        *owner = flow->offers[i].agent;
        open++;
      }
  return open == 1;
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

/* Tells the holders the owner of a flow that has just opened. */
static void
record_owner (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  oh_address_t holders[OH_SEGMENT_HOLDERS];
  oh_address_t owner;
  unsigned n;

  if (flow->recorded || !known_owner (flow, &owner))
    return;
  flow->recorded = true;
  n = select_holders (balancer, &flow->key, holders);
  for (unsigned i = 0; i < n; i++)
    {
      if (oh_address_equal (holders[i], balancer->relay))
        continue;
      oh_counter_increment (&balancer->counters.records);
      send_peer (balancer, holders[i], OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD, &flow->key, &owner);
    }
}

/* Asks the holders for the owner; the segment waits for their answers. Returns false if there is nobody to
 * ask.
 */
static bool
look_up (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes, size_t length)
{
  oh_address_t holders[OH_SEGMENT_HOLDERS];
  const unsigned n = select_holders (balancer, &flow->key, holders);

  flow->lookups = 0;
  flow->lookup_us = balancer->now_us;
  for (unsigned i = 0; i < n; i++)
    {
      if (oh_address_equal (holders[i], balancer->relay))
        continue;
      flow->lookups++;
      send_peer (balancer, holders[i], OH__SEGMENT_RELAY_KIND__SEGMENT_LOOKUP, &flow->key, NULL);
    }
  if (flow->lookups == 0)
    return false;
  oh_counter_increment (&balancer->counters.lookups);
  oh_list_remove (&flow->by_lookup);
  oh_list_append (&balancer->lookups, &flow->by_lookup);
  flow->waiting = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_ptr_array_add (flow->waiting, g_bytes_new (bytes, length));
  return true;
}

static void
on_record (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, const Oh__SegmentRelay *relay)
{
  oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, key);
  oh_address_t owner;

  if (!oh_address_from_wire (relay->owner, &owner))
    return;
  if (flow == NULL)
    flow = add_flow (balancer, key);
  else if (flow->owned || has_open_offer (flow))
    return; /* what this balancer saw itself counts */
  flow->owned = true;
  flow->owner = owner;
  flow->recorded = true;
}

/* Another balancer asks for the owner of a flow. */
static void
on_lookup (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, const Oh__SegmentRelay *relay)
{
  const oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, key);
  oh_address_t asker;
  oh_address_t owner;

  if (!oh_address_from_wire (relay->balancer, &asker))
    return;
  if (flow == NULL || !known_owner (flow, &owner))
    send_peer (balancer, asker, OH__SEGMENT_RELAY_KIND__SEGMENT_UNKNOWN, key, NULL);
  else
    send_peer (balancer, asker, OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD, key, &owner);
}

/* Sends the segments that wait for their owner. */
static void
end_lookup (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  g_autoptr (GPtrArray) waiting = g_steal_pointer (&flow->waiting);

  flow->lookups = 0;
  oh_list_remove (&flow->by_lookup);
  if (waiting == NULL)
    return;
  if (flow->owned)
    oh_counter_increment (&balancer->counters.looked_up);
  for (guint i = 0; i < waiting->len; i++)
    {
      gsize length;
      const uint8_t *bytes = g_bytes_get_data (g_ptr_array_index (waiting, i), &length);

      if (flow->owned)
        send_relay (balancer, flow->owner, OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER, 0, bytes, length);
      else
        search (balancer, flow, bytes, length);
    }
}

/* Balancers that were asked and are gone do not answer. */
static void
expire_lookups (oh_segment_balancer_t *balancer)
{
  oh_list_foreach_safe (&balancer->lookups, link, following)
    {
      oh_balancer_flow_t *flow = oh_list_entry (link, oh_balancer_flow_t, by_lookup);

      if (balancer->now_us - flow->lookup_us < (int64_t)OH_SEGMENT_LOOKUP_MS * 1000)
        return;
      end_lookup (balancer, flow);
    }
}

static void
on_unknown (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  if (flow == NULL || flow->lookups == 0 || --flow->lookups > 0)
    return;
  end_lookup (balancer, flow);
}

static void
find_owner (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes, size_t length)
{
  if (flow->waiting == NULL && flow->lookup_us == 0 && look_up (balancer, flow, bytes, length))
    return;
  if (flow->waiting == NULL)
    {
      search (balancer, flow, bytes, length);
      return;
    }
  if (flow->waiting->len < OH_SEGMENT_WAITING_MAX)
    g_ptr_array_add (flow->waiting, g_bytes_new (bytes, length));
  else
    oh_counter_increment (&balancer->counters.dropped_searches); /* the caller sends it again */
}

static void
handle_later (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, const oh_segment_t *segment,
              const uint8_t *bytes, size_t length)
{
  oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, key);

  if (flow == NULL)
    flow = add_flow (balancer, key);
  else
    use_flow (balancer, flow);
  flow->closed |= segment->fin || segment->rst;
  flow->last_acknowledged = segment->acknowledged;
  if (flow->owned)
    {
      record_owner (balancer, flow);
      oh_counter_increment (&balancer->counters.forwarded);
      send_relay (balancer, flow->owner, OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER, 0, bytes, length);
      return;
    }
  if (!has_open_offer (flow))
    {
      find_owner (balancer, flow, bytes, length);
      return;
    }
  record_owner (balancer, flow);
  oh_counter_increment (&balancer->counters.forwarded);
  for (unsigned i = 0; i < flow->n_offers; i++)
    if (flow->offers[i].state != OH_OFFER_REFUSED)
      send_relay (balancer, flow->offers[i].agent, OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER, 0, bytes, length);
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
    handle_first (balancer, &key, &segment, bytes, length);
  else if (segment.syn)
    oh_counter_increment (&balancer->counters.dropped_malformed); /* only upstreams answer a first segment */
  else
    handle_later (balancer, &key, &segment, bytes, length);
}

/* Answers of agents. */

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
  oh_placement_answered (&balancer->placement, load, oh_flow_key_digest (&flow->key), true, balancer->now_us);
  if (offer != NULL)
    offer->state = OH_OFFER_ACCEPTED;
}

static void
on_refused (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const Oh__SegmentRelay *relay,
            oh_address_t agent)
{
  oh_offer_t *offer = find_offer (flow, agent);

  if (offer == NULL || offer->state == OH_OFFER_REFUSED)
    return;
  oh_counter_increment (&balancer->counters.refused_by_agent);
  oh_placement_answered (&balancer->placement, relay->load, oh_flow_key_digest (&flow->key), false,
                         balancer->now_us);
  offer->state = OH_OFFER_REFUSED;
  flow->overloaded = relay->refused == OH__RESULT__RESULT_NOT_RUN_OVERLOADED;
  log_flow (balancer, OH_LOG_INFO, "offer_refused", &flow->key, "upstream=%s result=%d",
            relay->load->upstream, (int)relay->refused);
  if (!has_open_offer (flow) && !flow->owned)
    place_flow (balancer, flow, relay->segment.data, relay->segment.len);
}

/* The segment whose owner was searched goes to it; an agent that wanted it gets it twice, which its upstream
 * takes as a retransmission. */
static void
deliver_searched (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  gsize length;
  const uint8_t *bytes;

  if (flow->searched != NULL)
    {
      bytes = g_bytes_get_data (flow->searched, &length);
      send_relay (balancer, flow->owner, OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER, 0, bytes, length);
    }
  end_search (flow);
}

static void
on_owned (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, oh_address_t agent)
{
  if (flow == NULL || (flow->owned && oh_address_equal (flow->owner, agent)))
    return;
  if (!has_open_offer (flow))
    oh_counter_increment (&balancer->counters.found);
  flow->owned = true;
  flow->owner = agent;
  deliver_searched (balancer, flow);
  end_lookup (balancer, flow);
  record_owner (balancer, flow);
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
      on_search_answer (balancer, flow, relay->search);
      return;
    }
  if (offer != NULL)
    offer->state = OH_OFFER_REFUSED;
  if (flow->owned && oh_address_equal (flow->owner, agent))
    flow->owned = flow->recorded = false;
  if (!flow->owned && !has_open_offer (flow))
    search (balancer, flow, relay->segment.data, relay->segment.len);
}

static bool
relay_key (const oh_segment_balancer_t *balancer, const Oh__SegmentRelay *relay, oh_flow_key_t *key)
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

/* Returns true if the message came from another balancer. */
static bool
handle_peer (oh_segment_balancer_t *balancer, const Oh__SegmentRelay *relay)
{
  oh_balancer_flow_t *flow;
  oh_flow_key_t key;

  if (relay->kind != OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD
      && relay->kind != OH__SEGMENT_RELAY_KIND__SEGMENT_LOOKUP
      && relay->kind != OH__SEGMENT_RELAY_KIND__SEGMENT_UNKNOWN)
    return false;
  if (relay->caller == NULL || relay->route == NULL || !relay_key (balancer, relay, &key))
    {
      oh_counter_increment (&balancer->counters.dropped_malformed);
      return true;
    }
  if (relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_LOOKUP)
    {
      on_lookup (balancer, &key, relay);
      return true;
    }
  if (relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD)
    on_record (balancer, &key, relay);
  flow = g_hash_table_lookup (balancer->flows, &key);
  if (relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_UNKNOWN)
    on_unknown (balancer, flow);
  else if (flow != NULL && flow->waiting != NULL && flow->owned)
    end_lookup (balancer, flow);
  return true;
}

static void
handle_relay (oh_segment_balancer_t *balancer, const uint8_t *bytes, size_t length)
{
  const Oh__SegmentRelay *relay
    = oh_segment_relay_decode (&balancer->arena, &balancer->keyring, bytes, length, NULL);
  oh_address_t agent;
  oh_flow_key_t key;
  oh_balancer_flow_t *flow;

  if (relay != NULL && handle_peer (balancer, relay))
    return;
  if (relay == NULL || relay->load == NULL || !oh_address_from_wire (relay->load->agent, &agent))
    {
      oh_counter_increment (&balancer->counters.dropped_bad_seal);
      return;
    }
  oh_placement_report (&balancer->placement, relay->load, balancer->now_us);
  if (relay->kind == OH__SEGMENT_RELAY_KIND__SEGMENT_LOAD || !relay_key (balancer, relay, &key))
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
      on_owned (balancer, flow, agent);
      return;
    case OH__SEGMENT_RELAY_KIND__SEGMENT_ABSENT:
      on_absent (balancer, flow, relay, agent);
      return;
    case OH__SEGMENT_RELAY_KIND__SEGMENT_WANTED:
      on_wanted (balancer, flow, relay->search, agent);
      return;
    case OH__SEGMENT_RELAY_KIND__SEGMENT_LOAD:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_SEARCH:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_RECORD:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_LOOKUP:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_UNKNOWN:
    case OH__SEGMENT_RELAY_KIND__SEGMENT_ASK:
    case _OH__SEGMENT_RELAY_KIND_IS_INT_SIZE:
      return;
    }
}

static bool
same_addresses (const GArray *a, const GArray *b)
{
  return a->len == b->len && memcmp (a->data, b->data, a->len * sizeof (oh_address_t)) == 0;
}

/* Other balancers hold the directory now, or have lost it: the owner of each flow is told again with the
 * flow's next segment. */
static void
forget_records (oh_segment_balancer_t *balancer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, balancer->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((oh_balancer_flow_t *)value)->recorded = false;
}

static void
handle_view (oh_segment_balancer_t *balancer, const oh_view_t *view)
{
  g_autoptr (GArray) before = balancer->peers;

  if (view->confirmed && view->version > balancer->routes_version)
    {
      if (balancer->routes_version == 0)
        balancer->confirmed_us = balancer->now_us;
      balancer->routes_version = view->version;
      oh_counter_set (&balancer->counters.view_version, view->version);
      oh_route_table_load (&balancer->routes, &view->config);
    }
  balancer->listed = view->complete;
  balancer->peers = g_array_new (FALSE, FALSE, sizeof (oh_address_t));
  for (guint i = 0; i < view->balancers->len; i++)
    {
      const oh_view_balancer_t *peer = g_ptr_array_index (view->balancers, i);

      if (g_strcmp0 (peer->zone, balancer->placement.zone) == 0)
        g_array_append_val (balancer->peers, peer->relay);
    }
  if (!same_addresses (before, balancer->peers))
    forget_records (balancer);
  oh_keyring_advance (&balancer->keyring, view->key_generation);
  oh_placement_update (&balancer->placement, oh_placement_view_new (view), balancer->now_us);
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
    .peers = g_array_new (FALSE, FALSE, sizeof (oh_address_t)),
    .flows = g_hash_table_new_full (oh_flow_key_hash, oh_flow_key_equal, NULL, free_flow),
    .lagged_us = G_MININT64 / 2,
    .search_budget = OH_SEGMENT_SEARCH_MESSAGES_PER_S,
  };
  oh_list_init (&balancer->by_use);
  oh_list_init (&balancer->lookups);
  oh_placement_init (&balancer->placement, config->zone, random);
  oh_route_table_init (&balancer->routes);
  oh_arena_init (&balancer->arena);
}

void
oh_segment_balancer_finish (oh_segment_balancer_t *balancer)
{
  g_hash_table_unref (balancer->flows);
  g_array_unref (balancer->peers);
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
    { &own->search_messages, "search_messages_total", "Messages sent to agents to find owners" },
    { &own->found, "flows_found_total", "Flows whose owner answered a search" },
    { &own->placed, "flows_placed_total", "Offers of flows to agents" },
    { &own->placed_again, "flows_placed_again_total", "Offers after a refusal or a repetition" },
    { &own->accepted, "offers_accepted_total", "Offers that an upstream answered" },
    { &own->refused_by_agent, "offers_refused_total", "Offers that an agent refused" },
    { &own->records, "flow_records_sent_total", "Owners of flows told to other balancers" },
    { &own->lookups, "flow_lookups_total", "Segments sent to other balancers for want of a record" },
    { &own->looked_up, "flow_lookups_found_total", "Flows whose owner another balancer knew" },
    { &own->resets_absent, "resets_absent_total", "Resets of flows that no upstream holds" },
    { &own->held, "flows_held_total", "First segments that wait for the next copy, for want of room" },
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

bool
oh_segment_balancer_ready (const oh_segment_balancer_t *balancer)
{
  return balancer->routes_version > 0;
}

void
oh_segment_balancer_handle (oh_segment_balancer_t *balancer, const oh_segment_balancer_event_t *event,
                            oh_segment_balancer_sink_t *sink)
{
  balancer->now_us = event->now_us;
  balancer->sink = sink;
  /* Ticks come more often than this, so that a longer silence is a pause of the process. */
  if (balancer->handled_us != 0 && event->now_us - balancer->handled_us >= (int64_t)OH_SEGMENT_LAG_MS * 1000)
    balancer->lagged_us = event->now_us;
  balancer->handled_us = event->now_us;
  switch (event->kind)
    {
    case OH_SEGMENT_BALANCER_CALLER:
      handle_caller (balancer, event->datagram.bytes, event->datagram.length);
      break;
    case OH_SEGMENT_BALANCER_RELAY:
      handle_relay (balancer, event->datagram.bytes, event->datagram.length);
      break;
    case OH_SEGMENT_BALANCER_VIEW:
      handle_view (balancer, event->view);
      break;
    case OH_SEGMENT_BALANCER_TICK:
      oh_placement_expire (&balancer->placement, event->now_us);
      expire_lookups (balancer);
      refill_search_budget (balancer);
      expire_flows (balancer);
      break;
    }
  balancer->sink = NULL;
}
