#include "core/request_queue.h"

#include <glib.h>

static oh_queue_item_t *
item_of (oh_list_t *link)
{
  return oh_list_entry (link, oh_queue_item_t, link);
}

void
oh_request_queue_init (oh_request_queue_t *queue)
{
  for (unsigned i = 0; i < OH_QUEUE_CLASSES; i++)
    oh_list_init (&queue->classes[i]);
  queue->length = 0;
}

void
oh_request_queue_push (oh_request_queue_t *queue, oh_queue_item_t *item)
{
  oh_list_t *head;
  oh_list_t *position;

  g_assert (item->priority_class < OH_QUEUE_CLASSES);
  head = &queue->classes[item->priority_class];
  position = head;
  /* Searches from the tail, as later requests mostly have later deadlines. Equal deadlines keep the order of
   * arrival. */
  while (position->prev != head && item_of (position->prev)->deadline_us > item->deadline_us)
    position = position->prev;
  oh_list_insert_before (position, &item->link);
  queue->length++;
}

void
oh_request_queue_remove (oh_request_queue_t *queue, oh_queue_item_t *item)
{
  oh_list_remove (&item->link);
  queue->length--;
}

oh_queue_item_t *
oh_request_queue_pop (oh_request_queue_t *queue, unsigned slots, unsigned busy, unsigned busy_lower_classes)
{
  const unsigned reserved = slots / OH_QUEUE_SLOTS_PER_RESERVED;

  if (busy >= slots)
    return NULL;
  for (unsigned i = 0; i < OH_QUEUE_CLASSES; i++)
    {
      if (i > 0 && busy_lower_classes >= slots - reserved)
        return NULL;
      if (!oh_list_is_empty (&queue->classes[i]))
        {
          oh_queue_item_t *item = item_of (queue->classes[i].next);

          oh_request_queue_remove (queue, item);
          return item;
        }
    }
  return NULL;
}

oh_queue_item_t *
oh_request_queue_find_victim (const oh_request_queue_t *queue, unsigned priority_class)
{
  for (unsigned i = OH_QUEUE_CLASSES - 1; i > priority_class; i--)
    if (!oh_list_is_empty (&queue->classes[i]))
      return item_of (queue->classes[i].prev);
  return NULL;
}

oh_queue_item_t *
oh_request_queue_expired (const oh_request_queue_t *queue, int64_t now_us)
{
  /* Each list is sorted by deadline, so only its first item is checked. */
  for (unsigned i = 0; i < OH_QUEUE_CLASSES; i++)
    if (!oh_list_is_empty (&queue->classes[i]) && item_of (queue->classes[i].next)->deadline_us <= now_us)
      return item_of (queue->classes[i].next);
  return NULL;
}
