#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/placement_view.h"
#include "ports/random.h"
#include "wire/packet.pb-c.h"

/*
 * The upstreams of each service as one balancer sees them, and the choice of an upstream for an Open. Views
 * add and remove rows; load reports refresh them. Only input whose seal was checked may reach this module.
 *
 * An Open counts as load of its upstream from its sending until the agent's answer, because the report that
 * comes with the answer already includes it. A report that leaves it out is false: such an upstream gets
 * Opens at a pace instead of by load.
 */

enum
{
  OH_PLACEMENT_TRIED_MAX = 3,        /* agents that one Open is offered to */
  OH_PLACEMENT_UNANSWERED_MAX = 256, /* Opens remembered for each upstream; more are sent but not counted */
  OH_PLACEMENT_SILENCE_MS = 300,     /* many times the 3 ms round trip, below the caller's retransmissions */
  OH_PLACEMENT_UNANSWERED_MS = 1000, /* although the agent is heard otherwise */
  OH_PLACEMENT_DOWN_MS = 1500,       /* one and a half heartbeats without any sign of the agent */
  OH_PLACEMENT_CONTRADICTIONS = 3, /* a repeated Open may be answered without a reservation, but not often */
  OH_PLACEMENT_SHARE_MS = 5000,
  OH_PLACEMENT_RESERVATION_MS = 2000, /* an agent's offer ends then, and so does an Open's share of load */
};

typedef struct
{
  uint64_t key; /* of the flow */
  int64_t sent_us;
} oh_unanswered_t;

typedef struct
{
  char name[OH_PLACEMENT_NAME_BYTES];
  char zone[OH_PLACEMENT_NAME_BYTES];
  uint64_t service;
  oh_address_t agent;
  uint64_t incarnation;
  uint64_t previous_incarnation; /* late reports of it are ignored; 0 if none */
  uint64_t sequence;
  unsigned slots;
  unsigned last_slots; /* last number above zero */
  unsigned busy;
  unsigned queued;
  unsigned flows;
  unsigned max_flows;
  Oh__UpstreamState state;
  bool drained;
  unsigned contradictions; /* answers in a row whose report leaves out the Open that they answer */
  double share;            /* Opens sent lately, each fading with OH_PLACEMENT_SHARE_MS */
  int64_t share_us;        /* when share was computed */
  bool unproven;           /* an Open ended without an answer; one at a time until an answer arrives */
  int64_t heard_us;        /* last report received directly */
  int64_t answered_us;     /* last answer to an Open */
  unsigned n_unanswered;
  oh_unanswered_t unanswered[OH_PLACEMENT_UNANSWERED_MAX]; /* oldest first */
  bool listed;                                             /* scratch of the view update */
} oh_upstream_t;

typedef enum
{
  OH_PLACEMENT_ONLY_CANDIDATE,
  OH_PLACEMENT_LEAST_LOAD,
  OH_PLACEMENT_FEWEST_FLOWS,
  OH_PLACEMENT_SAME_ZONE,
  OH_PLACEMENT_RANDOM_TIE,
  OH_PLACEMENT_PACED, /* its load is not known; it gets a part of the mean of the others */
  OH_PLACEMENT_NO_CONFIRMED_VIEW,
  OH_PLACEMENT_UNKNOWN_SERVICE,
  OH_PLACEMENT_DEPENDENCY_UNAVAILABLE,
  OH_PLACEMENT_NO_UPSTREAM,
  OH_PLACEMENT_TRIED_ALL,
} oh_placement_reason_t;

typedef struct
{
  oh_upstream_t *upstream; /* NULL if refused; valid until the next view update */
  oh_placement_reason_t reason;
  Oh__Result refused;       /* RESULT_NONE if an upstream was chosen */
  const char *service_name; /* "" if unknown */
  const char *blocked_by;   /* name of the unavailable dependency, or "" */
  unsigned upstreams;       /* of the service */
  unsigned candidates;      /* that could have been chosen */
  unsigned suspects;        /* by report or for want of answers */
  unsigned distrusted; /* candidates that get Opens by count: false reports, or suspects beyond the cap */
  unsigned excluded;   /* of the suspects */
  double load;         /* score of the chosen one: work per slot */
} oh_placement_decision_t;

typedef struct
{
  oh_random_t *random;
  char zone[OH_PLACEMENT_NAME_BYTES];
  oh_placement_view_t *view; /* NULL before the first */
  GHashTable *services;      /* service id to table of its upstreams, owned */
  GHashTable *upstreams;     /* name to oh_upstream_t, owned */
  GPtrArray *candidates;     /* scratch of a choice, as long as there are upstreams */
} oh_placement_t;

void oh_placement_init (oh_placement_t *placement, const char *zone, oh_random_t *random);
void oh_placement_finish (oh_placement_t *placement);

/* Takes ownership of the view. */
void oh_placement_update (oh_placement_t *placement, oh_placement_view_t *view, int64_t now_us);

/* Returns false if the report was ignored: unknown upstream, another service, out of order. */
bool oh_placement_report (oh_placement_t *placement, const Oh__Load *load, int64_t now_us);

/* Fills the decision; returns false if the Open is refused. Does not allocate. */
bool oh_placement_choose (oh_placement_t *placement, uint64_t service, const uint64_t *tried, size_t n_tried,
                          int64_t now_us, oh_placement_decision_t *decision);

/* Notes that an Open was sent to the upstream. */
void oh_placement_sent (oh_placement_t *placement, oh_upstream_t *upstream, uint64_t key, int64_t now_us);

/* Notes that the agent accepted or refused an Open; load is the report that came with the answer. */
void oh_placement_answered (oh_placement_t *placement, const Oh__Load *load, uint64_t key, bool accepted,
                            int64_t now_us);

/* Forgets Opens whose reservation has ended. */
void oh_placement_expire (oh_placement_t *placement, int64_t now_us);

/* NULL if no such upstream. */
oh_upstream_t *oh_placement_find (oh_placement_t *placement, const char *name);

const char *oh_placement_reason_name (oh_placement_reason_t reason);
