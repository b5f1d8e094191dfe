#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"

/*
 * Bounded queue of waiting requests, ordered by class, then deadline, then arrival. One slot in four is
 * reserved for class 0 when there are at least four slots.
 */

enum
{
  OH_QUEUE_CLASSES = 3,
  OH_QUEUE_SLOTS_PER_RESERVED = 4,
};

typedef struct
{
  oh_list_t link;
  unsigned class_;
  int64_t deadline_us; /* INT64_MAX: none */
} oh_queue_item_t;

typedef struct
{
  oh_list_t classes[OH_QUEUE_CLASSES];
  unsigned length;
} oh_request_queue_t;

void oh_request_queue_init (oh_request_queue_t *queue);

void oh_request_queue_push (oh_request_queue_t *queue, oh_queue_item_t *item);
void oh_request_queue_remove (oh_request_queue_t *queue, oh_queue_item_t *item);

/*
 * Next item that may start, removed from the queue; NULL if none. busy counts the occupied slots,
 * busy_other those occupied by classes other than 0.
 */
oh_queue_item_t *oh_request_queue_pop (oh_request_queue_t *queue, unsigned slots, unsigned busy,
                                       unsigned busy_other);

/* The last item of the lowest class below class_, which a full queue gives up for a request of class_; NULL
 * if every item is of that class or a higher one. */
oh_queue_item_t *oh_request_queue_least (const oh_request_queue_t *queue, unsigned class_);

/* Any item whose deadline is at or before now, or NULL. It stays in the queue. */
oh_queue_item_t *oh_request_queue_expired (const oh_request_queue_t *queue, int64_t now_us);
