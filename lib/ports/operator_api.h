#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* An interface through which operators publish configurations and read them back, provided by an adapter. */

/* A publication, decoded and translated. */
typedef struct
{
  uint64_t number;  /* version given by the operator; the highest takes effect */
  char *text;       /* the product's configuration text */
  GBytes *document; /* what the operator sent, returned to readers unchanged */
} oh_publication_t;

typedef enum
{
  OH_PUBLISH_ACCEPTED,    /* durable; also if a higher number is in effect */
  OH_PUBLISH_INVALID,     /* never to be accepted */
  OH_PUBLISH_REDIRECT,    /* another replica leads */
  OH_PUBLISH_UNAVAILABLE, /* the outcome is not known, or nothing leads; to be sent again */
} oh_publish_status_t;

typedef struct
{
  /* A publication arrived; answered by the adapter's answer function with the same request number. The
   * publication is borrowed. */
  void (*publish) (void *data, uint64_t request, const oh_publication_t *publication);

  /* The document in effect; NULL if this replica cannot prove that it is current or nothing is published. */
  GBytes *(*read) (void *data);
} oh_operator_api_callbacks_t;
