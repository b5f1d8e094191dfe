#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Interface through which operators publish configurations, read back the one in effect, and drain
 * availability zones. An adapter implements it and calls the daemon through the callbacks below. */

/* A configuration sent by an operator, translated from the operator's document. */
typedef struct
{
  uint64_t number;  /* version number set by the operator; the highest takes effect */
  char *text;       /* configuration text */
  GBytes *document; /* as sent by the operator; returned to readers unchanged */
} oh_publication_t;

/* An order to drain an availability zone, or to end that. */
typedef struct
{
  const char *zone;
  bool drain;
} oh_zone_order_t;

typedef enum
{
  OH_PUBLISH_ACCEPTED,    /* durable, or superseded by a higher number in effect */
  OH_PUBLISH_INVALID,     /* malformed; sending it again fails, too */
  OH_PUBLISH_REDIRECT,    /* another replica is the leader */
  OH_PUBLISH_UNAVAILABLE, /* outcome unknown or no leader known; send it again */
  OH_PUBLISH_UNKNOWN,     /* names a zone that the deployment does not have */
} oh_publish_status_t;

typedef struct
{
  /* A publication arrived. The outcome is reported later through the adapter's answer function, with the same
   * request number. The publication is borrowed. */
  void (*publish) (void *data, uint64_t request, const oh_publication_t *publication);

  /* An order for a zone arrived. Otherwise as publish; the outcome is not OH_PUBLISH_INVALID. */
  void (*order_zone) (void *data, uint64_t request, const oh_zone_order_t *order);

  /* Returns a new reference to the document in effect, or NULL if nothing is published or this replica cannot
   * prove that it is up to date. */
  GBytes *(*read) (void *data);
} oh_operator_api_callbacks_t;
