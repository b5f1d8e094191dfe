#pragma once

#include <glib.h>
#include <stdbool.h>

#include "core/view.h"

/* Immutable copy of the parts of a view that placement needs. One thread builds it and hands it to another.
 */

enum
{
  OH_PLACEMENT_NAME_BYTES = OH_CONFIG_NAME_MAX_BYTES + 1,
};

typedef struct
{
  uint64_t id;
  char name[OH_PLACEMENT_NAME_BYTES];
  GArray *depends; /* of uint64_t, service ids, direct and transitive, without the service itself */
  bool managed;    /* a route to it has a latency objective, or its routes differ in class */
} oh_placement_service_t;

typedef struct
{
  char name[OH_PLACEMENT_NAME_BYTES];
  char zone[OH_PLACEMENT_NAME_BYTES];
  uint64_t service;
  oh_address_t agent;
  uint64_t incarnation;
  uint64_t sequence; /* of the load report */
  unsigned slots;
  unsigned busy;
  unsigned queued;
  unsigned flows;
  unsigned max_flows;
  unsigned limit;      /* as in Load; 0: not reported */
  unsigned reserved;   /* part of the limit */
  unsigned service_us; /* 0: not known */
  Oh__UpstreamState state;
  bool drained; /* by an operator */
} oh_placement_member_t;

typedef struct
{
  bool confirmed; /* a quorum confirmed the version, or a later one, since this process started */
  uint64_t version;
  uint32_t key_generation;
  unsigned n_balancers; /* listed in the view */
  unsigned n_zones;     /* of these balancers */
  GArray *services;     /* of oh_placement_service_t */
  GArray *members;      /* of oh_placement_member_t, sorted by name */
} oh_placement_view_t;

/* Keeps no reference to the view. Free with oh_placement_view_free. */
oh_placement_view_t *oh_placement_view_new (const oh_view_t *view);

/* view may be NULL. */
void oh_placement_view_free (oh_placement_view_t *view);
