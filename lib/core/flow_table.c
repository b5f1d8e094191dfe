#include "core/flow_table.h"

#include <string.h>

static guint
hash_id (gconstpointer key)
{
  const oh_flow_id_t *id = key;
  guint hash;

  /* Flow ids are random bytes. */
  memcpy (&hash, id->bytes, sizeof hash);
  return hash;
}

static gboolean
equal_ids (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (oh_flow_id_t)) == 0;
}

static void
remove_closed (oh_flow_table_t *table, oh_closed_flow_t *closed)
{
  g_hash_table_remove (table->closed_by_id, &closed->id);
  oh_list_remove (&closed->link);
  table->n_closed--;
  g_free (closed);
}

void
oh_flow_table_init (oh_flow_table_t *table)
{
  *table = (oh_flow_table_t){
    .by_id = g_hash_table_new (hash_id, equal_ids),
    .closed_by_id = g_hash_table_new (hash_id, equal_ids),
  };
  oh_list_init (&table->flows);
  oh_list_init (&table->closed);
}

void
oh_flow_table_finish (oh_flow_table_t *table)
{
  g_assert (oh_list_is_empty (&table->flows));
  oh_list_foreach_safe (&table->closed, link, following)
    remove_closed (table, oh_list_entry (link, oh_closed_flow_t, link));
  g_hash_table_destroy (table->by_id);
  g_hash_table_destroy (table->closed_by_id);
}

oh_flow_t *
oh_flow_table_find (const oh_flow_table_t *table, const oh_flow_id_t *id)
{
  return g_hash_table_lookup (table->by_id, id);
}

oh_flow_t *
oh_flow_table_add (oh_flow_table_t *table, const oh_flow_id_t *id, oh_flow_state_t state)
{
  oh_flow_t *flow = g_new0 (oh_flow_t, 1);

  g_assert (oh_flow_table_find (table, id) == NULL);
  g_assert (state != OH_FLOW_MOVED);
  flow->id = *id;
  flow->state = state;
  g_hash_table_insert (table->by_id, &flow->id, flow);
  oh_list_append (&table->flows, &flow->link);
  table->n_flows++;
  return flow;
}

void
oh_flow_table_remove (oh_flow_table_t *table, oh_flow_t *flow)
{
  for (unsigned i = 0; i < OH_REQUEST_WINDOW; i++)
    g_assert (flow->entries[i] == NULL);
  if (flow->state == OH_FLOW_MOVED)
    table->n_moved--;
  g_hash_table_remove (table->by_id, &flow->id);
  oh_list_remove (&flow->link);
  table->n_flows--;
  g_free (flow->target);
  g_free (flow);
}

void
oh_flow_set_state (oh_flow_table_t *table, oh_flow_t *flow, oh_flow_state_t state)
{
  if (flow->state == OH_FLOW_MOVED)
    table->n_moved--;
  flow->state = state;
  if (state == OH_FLOW_MOVED)
    table->n_moved++;
}

void
oh_flow_table_close (oh_flow_table_t *table, const oh_flow_id_t *id, uint32_t generation, int64_t now_us)
{
  oh_closed_flow_t *closed = g_hash_table_lookup (table->closed_by_id, id);

  if (closed == NULL)
    {
      closed = g_new0 (oh_closed_flow_t, 1);
      closed->id = *id;
      g_hash_table_insert (table->closed_by_id, &closed->id, closed);
      table->n_closed++;
    }
  else
    oh_list_remove (&closed->link);
  closed->generation = MAX (closed->generation, generation);
  closed->expires_us = now_us + (int64_t)OH_FLOW_CLOSED_KEEP_MS * 1000;
  oh_list_append (&table->closed, &closed->link);
}

uint32_t
oh_flow_table_closed_generation (const oh_flow_table_t *table, const oh_flow_id_t *id)
{
  const oh_closed_flow_t *closed = g_hash_table_lookup (table->closed_by_id, id);

  return closed != NULL ? closed->generation : 0;
}

void
oh_flow_table_expire (oh_flow_table_t *table, int64_t now_us)
{
  oh_list_foreach_safe (&table->closed, link, following)
    {
      oh_closed_flow_t *closed = oh_list_entry (link, oh_closed_flow_t, link);

      if (closed->expires_us > now_us)
        return;
      remove_closed (table, closed);
    }
}

bool
oh_flow_in_window (const oh_flow_t *flow, uint32_t number)
{
  return number >= flow->floor && number - flow->floor < OH_REQUEST_WINDOW;
}

oh_flow_entry_t *
oh_flow_find_entry (const oh_flow_t *flow, uint32_t number)
{
  oh_flow_entry_t *entry = flow->entries[number % OH_REQUEST_WINDOW];

  g_assert (entry == NULL || entry->number == number);
  return entry;
}

oh_flow_entry_t *
oh_flow_add_entry (oh_flow_t *flow, uint32_t number)
{
  oh_flow_entry_t *entry = g_new0 (oh_flow_entry_t, 1);

  g_assert (oh_flow_in_window (flow, number) && flow->entries[number % OH_REQUEST_WINDOW] == NULL);
  entry->flow = flow;
  entry->number = number;
  oh_list_init (&entry->queue_item.link);
  oh_list_init (&entry->ready_link);
  oh_list_init (&entry->timer_link);
  oh_chunk_stream_init (&entry->stream, 0, 0, 0, 1);
  entry->retry_interval_ms = OH_STREAM_BACKOFF_MIN_MS;
  flow->entries[number % OH_REQUEST_WINDOW] = entry;
  return entry;
}

void
oh_flow_remove_entry (oh_flow_t *flow, oh_flow_entry_t *entry)
{
  g_assert (entry->run == 0 && entry->state != OH_FLOW_ENTRY_QUEUED);
  flow->entries[entry->number % OH_REQUEST_WINDOW] = NULL;
  oh_list_remove (&entry->ready_link);
  oh_list_remove (&entry->timer_link);
  oh_chunk_stream_finish (&entry->stream);
  g_free (entry->payload);
  g_free (entry);
}

void
oh_flow_record_path (oh_flow_t *flow, oh_address_t caller, oh_address_t balancer, int64_t now_us)
{
  unsigned i = 0;

  flow->caller = caller;
  flow->last_heard_us = now_us;
  flow->next_balancer = 0;
  while (i < flow->n_balancers && !oh_address_equal (flow->balancers[i], balancer))
    i++;
  if (i == flow->n_balancers)
    {
      if (flow->n_balancers < OH_FLOW_BALANCERS)
        flow->n_balancers++;
      i = flow->n_balancers - 1;
    }
  memmove (flow->balancers + 1, flow->balancers, i * sizeof flow->balancers[0]);
  flow->balancers[0] = balancer;
}
