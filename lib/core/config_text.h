#pragma once

#include <glib.h>
#include <stdbool.h>

#include "base/error.h"
#include "base/settings.h"

/*
 * The operators' text: services, what each depends on, and the routes that lead to them, in INI. The whole
 * text is accepted or rejected; an error names file, section, key, value and the expected form.
 */

enum
{
  OH_CONFIG_TEXT_MAX_BYTES = 1024 * 1024,
  OH_CONFIG_NAME_MAX_BYTES = 63,
};

typedef struct
{
  char *name;
  uint64_t id;             /* oh_service_id of the name */
  GArray *addresses;       /* of oh_address_t; may be empty if a route leads to the service */
  GPtrArray *depends;      /* of oh_config_service_t *, borrowed, direct dependencies */
  unsigned max_class;      /* lowest priority number that callers may use: 0 command, 1 normal, 2 bulk */
  unsigned queue_per_slot; /* waiting requests for each slot of an upstream */
} oh_config_service_t;

typedef enum
{
  OH_ROUTE_ONCE,       /* its requests must not run twice */
  OH_ROUTE_REPEATABLE, /* its requests may be sent again after a failure */
  OH_ROUTE_TRANSFER,   /* long answers, repeatable */
} oh_route_kind_t;

typedef struct
{
  const oh_config_service_t *service; /* borrowed */
  unsigned weight;                    /* share of new flows, relative to the other targets */
} oh_config_target_t;

/* Where new flows of callers that do not use the caller library go. */
typedef struct
{
  char *name;
  oh_address_t address;
  oh_route_kind_t kind;
  unsigned class;      /* 0 command, 1 normal, 2 bulk */
  unsigned timeout_ms; /* of a request */
  unsigned target_ms;  /* latency objective, 0: none */
  GArray *targets;     /* of oh_config_target_t, at least one with a weight above 0 */
} oh_config_route_t;

typedef struct
{
  char *name;
  GPtrArray *services; /* of oh_config_service_t *, owned, in the order of the text */
  GPtrArray *routes;   /* of oh_config_route_t *, owned, in the order of the text */
} oh_config_t;

/* file is the name used in errors. On failure the config is left empty. */
bool oh_config_parse (oh_config_t *config, const char *file, const char *text, oh_error_t *error);
void oh_config_finish (oh_config_t *config);

/* NULL if no such service. */
const oh_config_service_t *oh_config_find (const oh_config_t *config, uint64_t service);

/* True if service is other, or depends on it, directly or through others. */
bool oh_config_depends_on (const oh_config_service_t *service, const oh_config_service_t *other);
