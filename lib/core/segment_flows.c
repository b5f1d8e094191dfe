#include "core/segment_flows.h"

#include <stdarg.h>

#include "core/segment_held.h"

void
oh_balancer_flow_log (const oh_segment_balancer_t *balancer, oh_log_level_t level, const char *event,
                      const oh_flow_key_t *key, const char *format, ...)
{
  char pairs[OH_SEGMENT_LOG_BYTES];
  va_list arguments;

  if (!oh_log_enabled (level))
    return;
  va_start (arguments, format);
  balancer->sink->ops->log (balancer->sink, level, event,
                            oh_flow_key_pairs (key, pairs, sizeof pairs, format, arguments));
  va_end (arguments);
}

void
oh_balancer_flow_free (gpointer data)
{
  oh_balancer_flow_t *flow = data;

  oh_list_remove (&flow->lru_link);
  oh_list_remove (&flow->lookup_link);
  oh_segment_end_hold (flow);
  g_clear_pointer (&flow->pending, g_ptr_array_unref);
  g_free (flow);
}

void
oh_balancer_flow_touch (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  flow->used_us = balancer->now_us;
  oh_list_remove (&flow->lru_link);
  oh_list_append (&balancer->lru, &flow->lru_link);
}

static void
evict_oldest (oh_segment_balancer_t *balancer)
{
  oh_balancer_flow_t *oldest = oh_list_entry (balancer->lru.next, oh_balancer_flow_t, lru_link);

  g_hash_table_remove (balancer->flows, &oldest->key);
}

oh_balancer_flow_t *
oh_balancer_flow_add (oh_segment_balancer_t *balancer, const oh_flow_key_t *key)
{
  oh_balancer_flow_t *flow = g_new0 (oh_balancer_flow_t, 1);

  if (g_hash_table_size (balancer->flows) >= balancer->max_flows)
    evict_oldest (balancer);
  flow->key = *key;
  flow->opened_us = balancer->now_us;
  oh_list_init (&flow->lru_link);
  oh_list_init (&flow->lookup_link);
  oh_list_init (&flow->held_link);
  oh_list_init (&flow->waiting.link);
  g_hash_table_replace (balancer->flows, &flow->key, flow);
  oh_balancer_flow_touch (balancer, flow);
  return flow;
}

void
oh_balancer_flow_expire (oh_segment_balancer_t *balancer)
{
  while (!oh_list_is_empty (&balancer->lru))
    {
      const oh_balancer_flow_t *oldest = oh_list_entry (balancer->lru.next, oh_balancer_flow_t, lru_link);
      const int64_t limit_us
        = oldest->closed ? (int64_t)OH_SEGMENT_CLOSED_RETENTION_MS * 1000 : balancer->flow_timeout_us;

      if (balancer->now_us - oldest->used_us < limit_us)
        break;
      evict_oldest (balancer);
    }
  oh_counter_set (&balancer->counters.flows, g_hash_table_size (balancer->flows));
}

bool
oh_balancer_flow_has_open_offer (const oh_balancer_flow_t *flow)
{
  for (unsigned i = 0; i < flow->n_offers; i++)
    if (flow->offers[i].state != OH_OFFER_REFUSED)
      return true;
  return false;
}

static void
send_segment (oh_segment_balancer_t *balancer, oh_address_t agent, Oh__SegmentRelay *relay,
              const uint8_t *bytes, size_t length)
{
  Oh__Address self;
  size_t size;

  oh_address_to_wire (balancer->relay, &self);
  relay->balancer = &self;
  relay->segment.data = (uint8_t *)bytes;
  relay->segment.len = length;
  size = oh_segment_relay_encode (relay, &balancer->keyring, balancer->out, sizeof balancer->out);
  if (size > 0)
    balancer->sink->ops->send_agent (balancer->sink, agent, balancer->out, size);
  relay->balancer = NULL;
}

void
oh_segment_send_query_relay (oh_segment_balancer_t *balancer, oh_address_t agent, Oh__SegmentRelayKind kind,
                             uint64_t service, uint32_t query, const uint8_t *bytes, size_t length)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;

  relay.kind = kind;
  relay.service = service;
  relay.search = query;
  send_segment (balancer, agent, &relay, bytes, length);
}

void
oh_segment_send_offered (oh_segment_balancer_t *balancer, oh_address_t agent, const uint8_t *bytes,
                         size_t length)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;

  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER;
  relay.offered = true;
  send_segment (balancer, agent, &relay, bytes, length);
}

void
oh_segment_send_open (oh_segment_balancer_t *balancer, const oh_offer_t *offer, unsigned target_ms,
                      const uint8_t *bytes, size_t length)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;

  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN;
  relay.service = offer->service;
  relay.yields = offer->yields;
  relay.target_ms = target_ms;
  send_segment (balancer, offer->agent, &relay, bytes, length);
}

void
oh_segment_send_relay (oh_segment_balancer_t *balancer, oh_address_t agent, Oh__SegmentRelayKind kind,
                       uint64_t service, const uint8_t *bytes, size_t length)
{
  oh_segment_send_query_relay (balancer, agent, kind, service, 0, bytes, length);
}

unsigned
oh_segment_transmission (const oh_segment_balancer_t *balancer, const uint8_t *syn, size_t length)
{
  oh_segment_t segment;

  return balancer->format->ops->decode (balancer->format, syn, length, &segment) ? segment.acknowledged : 0;
}

void
oh_segment_send_reset (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, uint32_t sequence)
{
  uint8_t buffer[OH_SEGMENT_RESET_MAX_BYTES];
  const size_t length = balancer->format->ops->make_reset (balancer->format, key, sequence, buffer);

  balancer->sink->ops->send_caller (balancer->sink, key->caller, buffer, length);
}

bool
oh_segment_balancer_caught_up (const oh_segment_balancer_t *balancer)
{
  return balancer->now_us - balancer->resumed_us >= (int64_t)OH_SEGMENT_OPEN_TIMEOUT_MS * 1000;
}

void
oh_balancer_flow_queue_segment (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow,
                                const uint8_t *bytes, size_t length)
{
  if (flow->pending == NULL)
    flow->pending = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  if (flow->pending->len < OH_SEGMENT_PENDING_MAX)
    g_ptr_array_add (flow->pending, g_bytes_new (bytes, length));
  else
    oh_counter_increment (&balancer->counters.dropped_searches); /* the caller retransmits it */
}

void
oh_balancer_flow_deliver_pending (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  g_autoptr (GPtrArray) pending = g_steal_pointer (&flow->pending);

  for (guint i = 0; pending != NULL && i < pending->len; i++)
    {
      gsize length;
      const uint8_t *bytes = g_bytes_get_data (g_ptr_array_index (pending, i), &length);

      oh_segment_send_relay (balancer, flow->owner, OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER, 0, bytes,
                             length);
    }
}
