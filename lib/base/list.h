#pragma once

#include <stdbool.h>
#include <stddef.h>

/* Intrusive doubly linked list. The head is a link that is not part of an element. */

typedef struct oh_list oh_list_t;

struct oh_list
{
  oh_list_t *prev;
  oh_list_t *next;
};

/* The element of the given type whose member is the link. */
#define oh_list_entry(link, type, member) ((type *)((char *)(link)-offsetof (type, member)))

#define oh_list_foreach(head, link) for (oh_list_t *link = (head)->next; link != (head); link = link->next)

/* Allows the removal of the current element. */
#define oh_list_foreach_safe(head, link, following)                                                          \
  for (oh_list_t *link = (head)->next, *following = link->next; link != (head);                              \
       link = following, following = link->next)

static inline void
oh_list_init (oh_list_t *head)
{
  head->prev = head;
  head->next = head;
}

static inline bool
oh_list_is_empty (const oh_list_t *head)
{
  return head->next == head;
}

/* Inserts link before position; with the head as position it is appended. */
static inline void
oh_list_insert_before (oh_list_t *position, oh_list_t *link)
{
  link->prev = position->prev;
  link->next = position;
  position->prev->next = link;
  position->prev = link;
}

static inline void
oh_list_append (oh_list_t *head, oh_list_t *link)
{
  oh_list_insert_before (head, link);
}

/* Removes the link and leaves it as an empty list, so that a second removal does nothing. */
static inline void
oh_list_remove (oh_list_t *link)
{
  link->prev->next = link->next;
  link->next->prev = link->prev;
  oh_list_init (link);
}
