#pragma once

#include <glib.h>
#include <stdbool.h>

#include "base/error.h"
#include "base/settings.h"

/*
 * Parser of the operators' configuration text in INI format: services, their dependencies, and the routes
 * that lead to them. A text with any error is rejected as a whole; the error names file, section, key, value
 * and the expected format.
 */

enum
{
  OH_CONFIG_TEXT_MAX_BYTES = 1024 * 1024,
  OH_CONFIG_NAME_MAX_BYTES = 63,
  OH_CONFIG_WARMUP_MAX_MILLI_PER_S = 1000000 * 1000,
};

typedef struct
{
  char *name;
  uint64_t id;             /* oh_service_id of the name */
  GArray *addresses;       /* of oh_address_t; may be empty if a route leads to the service */
  GPtrArray *depends;      /* direct dependencies, of oh_config_service_t *, borrowed */
  unsigned max_class;      /* lowest priority number that callers may use: 0 command, 1 normal, 2 bulk */
  unsigned queue_per_slot; /* maximum number of queued requests for each slot of an upstream */
  /* New flows per 1,000 s that an upstream can take while it is warming; 0: no limit. */
  unsigned warmup_milli_per_s;
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

/* Target services of new flows from callers that do not use the caller library. */
typedef struct
{
  char *name; /* empty if the text gives none */
  oh_address_t address;
  oh_route_kind_t kind;
  unsigned class;      /* 0 command, 1 normal, 2 bulk */
  unsigned timeout_ms; /* for a request */
  unsigned target_ms;  /* latency objective; 0: none */
  GArray *targets;     /* of oh_config_target_t, at least one with a weight above 0 */
} oh_config_route_t;

typedef struct
{
  char *name;          /* in section [oriolehaven] */
  GPtrArray *services; /* of oh_config_service_t *, owned, in the order of the text */
  GPtrArray *routes;   /* of oh_config_route_t *, owned, in the order of the text */
} oh_config_t;

/* file is the name used in errors. On failure the config is left empty and need not be finished. */
bool oh_config_parse (oh_config_t *config, const char *file, const char *text, oh_error_t *error);
void oh_config_finish (oh_config_t *config);

/* service is an oh_service_id. Returns NULL if there is no such service. */
const oh_config_service_t *oh_config_find (const oh_config_t *config, uint64_t service);

/* True if service equals other, or depends on it directly or transitively. */
bool oh_config_depends_on (const oh_config_service_t *service, const oh_config_service_t *other);
