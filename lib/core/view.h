#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/config_text.h"
#include "wire/control.pb-c.h"

/*
 * A node's view of configuration and membership, merged from the replicas it polls. The configuration version
 * and the key generation only grow. A member or balancer is present while at least one replica lists it; of
 * two entries for one name the one of the later incarnation, or within it the later load report, is kept.
 */

typedef struct
{
  char *name;
  uint64_t service;
  char *zone;
  char *peer_endpoint;
  oh_address_t agent;
  uint64_t incarnation;
  uint64_t sequence; /* of the load report */
  unsigned slots;
  unsigned busy;
  unsigned queued;
  unsigned flows;
  unsigned max_flows;
  Oh__UpstreamState state;
  bool drained;       /* by an operator */
  uint32_t listed_by; /* bit per replica */
} oh_view_member_t;

typedef struct
{
  char *name;
  char *zone;
  oh_address_t relay;
  bool durable; /* has a disk */
  uint32_t listed_by;
} oh_view_balancer_t;

typedef struct
{
  bool confirmed; /* a quorum confirmed the version, or a later one, since this process started */
  bool complete;  /* a confirmed replica listed all live nodes, since this process started */
  uint64_t version;
  bool without_text;        /* the node has no use for the text; set by its owner */
  uint64_t offered_version; /* highest version of which a replica withheld the text */
  uint32_t key_generation;
  char *text;
  oh_config_t config;
  GPtrArray *members;   /* of oh_view_member_t *, owned, sorted by name */
  GPtrArray *balancers; /* of oh_view_balancer_t *, owned, sorted by name */
  GPtrArray *drained;   /* of char *, owned */
} oh_view_t;

void oh_view_init (oh_view_t *view);
void oh_view_finish (oh_view_t *view);

/* Merges a message of the replica with the given index (0..31). Returns true if the view changed. */
bool oh_view_merge (oh_view_t *view, unsigned replica, const Oh__View *message);

/* NULL if no such member. */
const oh_view_member_t *oh_view_find_member (const oh_view_t *view, const char *name);
