#include "core/held_queue.h"

struct oh_held_route
{
  oh_held_queue_t *queue;
  oh_address_t address;
  unsigned class;
  int64_t allowance_us;
  unsigned blocked_round; /* 0: never */
  unsigned n_flows;
  oh_list_t flows[OH_HELD_TRANSMISSIONS]; /* the newest last */
  oh_list_t link;                         /* in queue->waiting */
};

static oh_held_route_t *
ensure_route (oh_held_queue_t *queue, oh_address_t address)
{
  oh_held_route_t *route = g_hash_table_lookup (queue->routes, &address);

  if (route != NULL)
    return route;
  route = g_new0 (oh_held_route_t, 1);
  route->queue = queue;
  route->address = address;
  for (unsigned i = 0; i < OH_HELD_TRANSMISSIONS; i++)
    oh_list_init (&route->flows[i]);
  oh_list_init (&route->link);
  g_hash_table_insert (queue->routes, &route->address, route);
  return route;
}

void
oh_held_queue_init (oh_held_queue_t *queue)
{
  *queue = (oh_held_queue_t){
    .routes = g_hash_table_new_full (oh_address_hash, oh_address_equal_keys, NULL, g_free),
  };
  oh_list_init (&queue->waiting);
}

void
oh_held_queue_finish (oh_held_queue_t *queue)
{
  g_assert (queue->n_flows == 0);
  g_hash_table_unref (queue->routes);
}

void
oh_held_queue_add (oh_held_queue_t *queue, oh_held_flow_t *flow, oh_address_t address, unsigned class,
                   int64_t allowance_us)
{
  oh_held_route_t *route = ensure_route (queue, address);
  oh_list_t *list = &route->flows[flow->transmission];
  oh_list_t *position = list;

  route->class = class;
  route->allowance_us = allowance_us;
  /* A new flow is the newest. One that was offered and refused passes those that came during its offer. */
  while (position->prev != list
         && oh_list_entry (position->prev, oh_held_flow_t, link)->started_us > flow->started_us)
    position = position->prev;
  oh_list_insert_before (position, &flow->link);
  flow->route = route;
  if (route->n_flows++ == 0)
    oh_list_append (&queue->waiting, &route->link);
  queue->n_flows++;
}

void
oh_held_queue_remove (oh_held_flow_t *flow)
{
  oh_held_route_t *route = flow->route;

  if (route == NULL)
    return;
  oh_list_remove (&flow->link);
  flow->route = NULL;
  route->queue->n_flows--;
  if (--route->n_flows == 0)
    oh_list_remove (&route->link);
}

static gboolean
has_no_flows (gpointer key, gpointer value, gpointer data)
{
  return ((const oh_held_route_t *)value)->n_flows == 0;
}

void
oh_held_queue_remove_unused_routes (oh_held_queue_t *queue)
{
  g_hash_table_foreach_remove (queue->routes, has_no_flows, NULL);
}

void
oh_held_queue_start_round (oh_held_queue_t *queue)
{
  queue->round++;
}

static bool
is_late (const oh_held_flow_t *flow, int64_t now_us)
{
  return now_us - flow->started_us > flow->route->allowance_us;
}

static bool
is_before (const oh_held_flow_t *a, const oh_held_flow_t *b, int64_t now_us)
{
  const bool a_late = is_late (a, now_us);
  const bool b_late = is_late (b, now_us);

  if (a->route->class != b->route->class)
    return a->route->class < b->route->class;
  if (a_late != b_late)
    return b_late;
  return a->started_us > b->started_us;
}

oh_held_flow_t *
oh_held_queue_next (const oh_held_queue_t *queue, int64_t now_us)
{
  oh_held_flow_t *best = NULL;

  oh_list_foreach (&queue->waiting, link)
    {
      const oh_held_route_t *route = oh_list_entry (link, oh_held_route_t, link);

      for (unsigned i = 0; i < OH_HELD_TRANSMISSIONS && route->blocked_round != queue->round; i++)
        {
          oh_held_flow_t *newest;

          if (oh_list_is_empty (&route->flows[i]))
            continue;
          newest = oh_list_entry (route->flows[i].prev, oh_held_flow_t, link);
          if (best == NULL || is_before (newest, best, now_us))
            best = newest;
        }
    }
  return best;
}

void
oh_held_queue_block (oh_held_queue_t *queue, const oh_held_flow_t *flow)
{
  flow->route->blocked_round = queue->round;
}

oh_held_flow_t *
oh_held_queue_find_older (const oh_held_queue_t *queue, int64_t before_us)
{
  oh_list_foreach (&queue->waiting, link)
    {
      const oh_held_route_t *route = oh_list_entry (link, oh_held_route_t, link);

      for (unsigned i = 0; i < OH_HELD_TRANSMISSIONS; i++)
        {
          oh_held_flow_t *oldest;

          if (oh_list_is_empty (&route->flows[i]))
            continue;
          oldest = oh_list_entry (route->flows[i].next, oh_held_flow_t, link);
          if (oldest->started_us < before_us)
            return oldest;
        }
    }
  return NULL;
}
