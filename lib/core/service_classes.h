#pragma once

#include <glib.h>
#include <stdbool.h>

#include "core/config_text.h"

/* Classes and latency objectives of the routes that lead to each service of a configuration. */

typedef struct
{
  unsigned highest; /* class of the routes that lead to the service: the lowest number */
  unsigned lowest;  /* the highest number */
  bool objective;   /* one of the routes has a latency objective */
} oh_service_class_t;

typedef struct
{
  GHashTable *services; /* oh_config_service_t, borrowed, to oh_service_class_t, owned */
} oh_service_classes_t;

/* The configuration must outlive the classes. */
void oh_service_classes_init (oh_service_classes_t *classes, const oh_config_t *config);
void oh_service_classes_finish (oh_service_classes_t *classes);

/* Returns NULL if no route sends new flows to the service. */
const oh_service_class_t *oh_service_classes_find (const oh_service_classes_t *classes,
                                                   const oh_config_service_t *service);

/* True if the operators ask for overload control of the service: by a latency objective, or by classes. */
bool oh_service_classes_managed (const oh_service_classes_t *classes, const oh_config_service_t *service);
