#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/config_text.h"
#include "core/service_set.h"
#include "wire/control.pb-c.h"

/*
 * A node's view of the configuration and the membership, merged from the control replicas that it polls. The
 * configuration version and the key generation never decrease. A member or balancer is present while at least
 * one replica lists it. Among entries for the same member, the later incarnation takes precedence, and within
 * an incarnation the later load report.
 */

enum
{
  OH_VIEW_REPLICAS_MAX = 32, /* bits of listed_by */
};

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
  unsigned limit;      /* requests that the agent admits at the same time; 0: not reported */
  unsigned reserved;   /* part of the limit that flows which yield do not get */
  unsigned service_us; /* mean time that the upstream works on a request; 0: not known */
  Oh__UpstreamState state;
  bool drained;        /* by an operator, alone or with its availability zone */
  uint32_t listed_by;  /* one bit per replica */
  uint64_t list_epoch; /* of the replica's list that the entry came with; 0: from an earlier release */
} oh_view_member_t;

typedef struct
{
  char *name;
  char *zone;
  oh_address_t relay;
  bool durable; /* has a disk */
  uint32_t listed_by;
  uint64_t list_epochs[OH_VIEW_REPLICAS_MAX]; /* for each replica, as list_epoch of a member */
} oh_view_balancer_t;

typedef struct
{
  bool confirmed; /* a quorum confirmed this version or an earlier one, since this process started */
  bool complete;  /* a confirmed replica listed all live nodes, since this process started */
  uint64_t version;
  bool without_text;         /* the node does not need the text; set by the owner of the view */
  uint64_t withheld_version; /* highest version whose text a replica withheld */
  uint32_t key_generation;
  char *text; /* configuration text of the version; empty if none */
  oh_config_t config;
  oh_service_set_t services;                  /* agents without the text: the services of the version */
  GPtrArray *members;                         /* of oh_view_member_t *, owned, sorted by name */
  GPtrArray *balancers;                       /* of oh_view_balancer_t *, owned, sorted by name */
  GPtrArray *drained;                         /* of char *, owned: names of drained upstreams */
  GPtrArray *drained_zones;                   /* the same of availability zones */
  uint64_t list_epochs[OH_VIEW_REPLICAS_MAX]; /* of each replica's list, once that was complete */
} oh_view_t;

void oh_view_init (oh_view_t *view);
void oh_view_finish (oh_view_t *view);

/* Merges a message from the replica with the given index, 0 to 31. Returns true if the view changed. */
bool oh_view_merge (oh_view_t *view, unsigned replica, const Oh__View *message);

/* True if the operators have drained the availability zone. */
bool oh_view_is_zone_drained (const oh_view_t *view, const char *zone);

/* Returns NULL if there is no such member. */
const oh_view_member_t *oh_view_find_member (const oh_view_t *view, const char *name);
