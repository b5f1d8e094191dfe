#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"

/*
 * Queue of requests that wait for a slot, ordered by priority class (0 is the highest), then deadline, then
 * arrival. One slot in four is reserved for class 0 if there are at least four slots. The user of the queue
 * bounds its length.
 */

enum
{
  OH_QUEUE_CLASSES = 3,
  OH_QUEUE_SLOTS_PER_RESERVED = 4,
};

/* Embedded in the queued object. */
typedef struct
{
  oh_list_t link;
  unsigned priority_class;
  int64_t deadline_us; /* INT64_MAX: none */
} oh_queue_item_t;

typedef struct
{
  oh_list_t classes[OH_QUEUE_CLASSES];
  unsigned length;
} oh_request_queue_t;

void oh_request_queue_init (oh_request_queue_t *queue);

/* The queue does not own its items, which must stay valid while they are queued. */
void oh_request_queue_push (oh_request_queue_t *queue, oh_queue_item_t *item);
void oh_request_queue_remove (oh_request_queue_t *queue, oh_queue_item_t *item);

/*
 * Removes and returns the next item that may start; NULL if there is none. slots is the number of slots, busy
 * how many are occupied, busy_lower_classes how many of these by classes other than 0.
 */
oh_queue_item_t *oh_request_queue_pop (oh_request_queue_t *queue, unsigned slots, unsigned busy,
                                       unsigned busy_lower_classes);

/* The item to evict from a full queue in favour of a request of priority_class: the last one of the lowest
 * class, if that is lower than priority_class, or NULL. It stays in the queue. */
oh_queue_item_t *oh_request_queue_find_victim (const oh_request_queue_t *queue, unsigned priority_class);

/* An item whose deadline is at or before now_us, or NULL. It stays in the queue. */
oh_queue_item_t *oh_request_queue_expired (const oh_request_queue_t *queue, int64_t now_us);
