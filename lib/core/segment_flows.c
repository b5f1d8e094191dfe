#include "core/segment_flows.h"

#include <stdarg.h>

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

  oh_list_remove (&flow->by_use);
  oh_list_remove (&flow->by_lookup);
  g_clear_pointer (&flow->waiting, g_ptr_array_unref);
  g_free (flow);
}

void
oh_balancer_flow_use (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
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

oh_balancer_flow_t *
oh_balancer_flow_add (oh_segment_balancer_t *balancer, const oh_flow_key_t *key)
{
  oh_balancer_flow_t *flow = g_new0 (oh_balancer_flow_t, 1);

  if (g_hash_table_size (balancer->flows) >= balancer->max_flows)
    forget_oldest (balancer);
  flow->key = *key;
  flow->opened_us = balancer->now_us;
  oh_list_init (&flow->by_use);
  oh_list_init (&flow->by_lookup);
  g_hash_table_replace (balancer->flows, &flow->key, flow);
  oh_balancer_flow_use (balancer, flow);
  return flow;
}

void
oh_balancer_flow_expire (oh_segment_balancer_t *balancer)
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

bool
oh_balancer_flow_has_open_offer (const oh_balancer_flow_t *flow)
{
  for (unsigned i = 0; i < flow->n_offers; i++)
    if (flow->offers[i].state != OH_OFFER_REFUSED)
      return true;
  return false;
}

/* The agent that holds the flow, as far as this balancer knows. */
bool
oh_balancer_flow_owner (const oh_balancer_flow_t *flow, oh_address_t *owner)
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

/* search is the number of the question in a SEARCH, otherwise 0. */
void
oh_segment_send_question (oh_segment_balancer_t *balancer, oh_address_t agent, Oh__SegmentRelayKind kind,
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

void
oh_segment_send_relay (oh_segment_balancer_t *balancer, oh_address_t agent, Oh__SegmentRelayKind kind,
                       uint64_t service, const uint8_t *bytes, size_t length)
{
  oh_segment_send_question (balancer, agent, kind, service, 0, bytes, length);
}

void
oh_segment_send_reset (oh_segment_balancer_t *balancer, const oh_flow_key_t *key, uint32_t sequence)
{
  uint8_t buffer[OH_SEGMENT_RESET_MAX_BYTES];
  const size_t length = balancer->format->ops->make_reset (balancer->format, key, sequence, buffer);

  balancer->sink->ops->send_caller (balancer->sink, key->caller, buffer, length);
}

bool
oh_segment_balancer_is_fresh (const oh_segment_balancer_t *balancer)
{
  return balancer->now_us - balancer->lagged_us >= (int64_t)OH_SEGMENT_OPENING_MS * 1000;
}

void
oh_balancer_flow_keep (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const uint8_t *bytes,
                       size_t length)
{
  if (flow->waiting == NULL)
    flow->waiting = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  if (flow->waiting->len < OH_SEGMENT_WAITING_MAX)
    g_ptr_array_add (flow->waiting, g_bytes_new (bytes, length));
  else
    oh_counter_increment (&balancer->counters.dropped_searches); /* the caller sends it again */
}

void
oh_balancer_flow_deliver_waiting (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  g_autoptr (GPtrArray) waiting = g_steal_pointer (&flow->waiting);

  for (guint i = 0; waiting != NULL && i < waiting->len; i++)
    {
      gsize length;
      const uint8_t *bytes = g_bytes_get_data (g_ptr_array_index (waiting, i), &length);

      oh_segment_send_relay (balancer, flow->owner, OH__SEGMENT_RELAY_KIND__SEGMENT_DELIVER, 0, bytes,
                             length);
    }
}
