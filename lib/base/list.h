#pragma once

#include <stdbool.h>
#include <stddef.h>

/*
 * Intrusive doubly linked circular list. An element embeds an oh_list_t as its link; the list head is an
 * oh_list_t of its own, outside any element. Elements are not owned by the list.
 */

typedef struct oh_list oh_list_t;

struct oh_list
{
  oh_list_t *prev;
  oh_list_t *next;
};

/* Pointer to the element of the given type that embeds the link as member. */
#define oh_list_entry(link, type, member) ((type *)((char *)(link)-offsetof (type, member)))

#define oh_list_foreach(head, link) for (oh_list_t *link = (head)->next; link != (head); link = link->next)

/* Like oh_list_foreach; the loop body may remove the current link. following is declared by the macro. */
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

/* Inserts link before position. If position is the head, this appends. */
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

/* Removes the link and reinitialises it, so that removing it again has no effect. */
static inline void
oh_list_remove (oh_list_t *link)
{
  link->prev->next = link->next;
  link->next->prev = link->prev;
  oh_list_init (link);
}
