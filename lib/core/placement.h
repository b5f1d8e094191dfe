#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/placement_view.h"
#include "ports/random.h"
#include "wire/packet.pb-c.h"

/*
 * The upstreams of each service as one balancer sees them, and the choice of an upstream for an Open. Views
 * add and remove upstreams; load reports update them. Views and reports must come from messages whose seal
 * was verified.
 *
 * An Open counts as load of its upstream from the time it is sent until the agent answers, because the load
 * report that comes with the answer includes it. A report that shows no work right after the agent accepted
 * an Open is false. An upstream that sends several of them in a row gets Opens at a limited rate, whatever
 * load it reports.
 *
 * Services that the configuration manages (placement_view.h) are also placed by positions and by pace, as far
 * as their agents report them. A position is a request that the agent admits beyond those that it has. An
 * agent that has none, as far as is known, is chosen only if no other agent has one, and not again right
 * after it refused for overload or accepted an Open with its last position: only when a position may have
 * become free.
 */

enum
{
  OH_PLACEMENT_TRIED_MAX = 3, /* agents that one Open is offered to, one after another */

  /* Opens tracked for each upstream; more are sent but not counted as load. */
  OH_PLACEMENT_UNANSWERED_MAX = 256,

  /*
   * An upstream is a suspect if no report arrived since an Open of this age. Many times the 3 ms round trip,
   * and below the caller's retransmission interval.
   */
  OH_PLACEMENT_SILENCE_TIMEOUT_MS = 300,

  /* The same for an Open without an answer, although load reports still arrive. */
  OH_PLACEMENT_ANSWER_TIMEOUT_MS = 1000,

  /* A silent upstream counts as down after one and a half heartbeat intervals. */
  OH_PLACEMENT_DOWN_TIMEOUT_MS = 1500,

  /* False reports in a row after which an upstream is distrusted. More than one, because a retransmitted Open
   * may, rarely, be answered without a reservation. */
  OH_PLACEMENT_FALSE_REPORTS_LIMIT = 3,

  OH_PLACEMENT_RECENT_OPENS_DECAY_MS = 5000, /* time constant of recent_opens */

  /* An agent's reservation for an Open ends then, so an unanswered Open stops counting as load. */
  OH_PLACEMENT_RESERVATION_MS = 2000,

  /* Bounds of the wait until a full agent may have a position again; the longest if its service time is not
   * known. The shortest is the time of an offer and its refusal. */
  OH_PLACEMENT_FULL_MIN_MS = 5,
  OH_PLACEMENT_FULL_MAX_MS = 100,
};

/* An Open that was sent to an agent and has no answer yet. */
typedef struct
{
  uint64_t key; /* of the flow */
  int64_t sent_us;
} oh_unanswered_open_t;

/* One upstream, as known from views, load reports and the Opens sent to it. */
typedef struct
{
  char name[OH_PLACEMENT_NAME_BYTES];
  char zone[OH_PLACEMENT_NAME_BYTES];
  uint64_t service;
  oh_address_t agent;
  uint64_t incarnation;
  uint64_t previous_incarnation; /* late reports of it are ignored; 0 if none */
  uint64_t sequence;             /* of the newest load report of this incarnation */
  unsigned slots;
  unsigned last_slots; /* last slot count above zero, used while slots is 0 */
  unsigned busy;
  unsigned queued;
  unsigned flows;
  unsigned max_flows;
  unsigned limit;      /* requests that the agent admits at the same time; 0: not reported */
  unsigned reserved;   /* part of the limit that flows which yield do not get */
  unsigned service_us; /* mean time that the upstream works on a request; 0: not known */
  double pace;         /* of a slot, relative to the median of the service; 0: not known */
  bool outlier; /* it answers so much faster than the others that it probably fails its requests at once */
  int64_t full_us[2]; /* when the agent was last full, for flows that yield [1] or not [0]; 0: it is not */
  Oh__UpstreamState state;
  bool drained;            /* by an operator */
  unsigned false_reports;  /* accepted Opens in a row whose load report shows no work */
  double recent_opens;     /* count of Opens sent, decaying exponentially */
  int64_t recent_opens_us; /* when recent_opens was last computed */
  bool probing;            /* an Open expired unanswered; one at a time is sent until an answer arrives */
  int64_t last_report_us;  /* last report received from the agent itself, not in a view */
  int64_t last_answer_us;  /* last answer to an Open */
  unsigned n_unanswered;
  oh_unanswered_open_t unanswered[OH_PLACEMENT_UNANSWERED_MAX]; /* oldest first */
  bool listed; /* by the new view; used only while it is being applied */
} oh_placement_upstream_t;

typedef enum
{
  OH_PLACEMENT_ONLY_CANDIDATE,
  OH_PLACEMENT_LEAST_LOAD,
  OH_PLACEMENT_FEWEST_FLOWS,
  OH_PLACEMENT_SAME_ZONE,
  OH_PLACEMENT_RANDOM_TIE,
  OH_PLACEMENT_PACED, /* distrusted, so its Opens are limited to a fraction of the mean of the trusted ones */
  OH_PLACEMENT_NO_CONFIRMED_VIEW,
  OH_PLACEMENT_UNKNOWN_SERVICE,
  OH_PLACEMENT_DEPENDENCY_UNAVAILABLE,
  OH_PLACEMENT_NO_UPSTREAM,
  OH_PLACEMENT_ALL_DRAINED, /* operators have drained every listed upstream */
  OH_PLACEMENT_TRIED_ALL,
  OH_PLACEMENT_NO_POSITION, /* agents that would be chosen are full */
} oh_placement_reason_t;

/* What is known of the positions at an agent. */
typedef enum
{
  OH_POSITION_TAKEN,
  OH_POSITION_POSSIBLE, /* it may have become free since the last report */
  OH_POSITION_FREE,     /* or the agent reports no limit */
} oh_position_t;

/* An Open to place. */
typedef struct
{
  uint64_t service;
  const uint64_t *tried; /* incarnations of the agents that refused it */
  size_t n_tried;
  bool yields;            /* leaves the reserved part of the limits to other flows */
  oh_position_t position; /* the least that is accepted */
} oh_placement_request_t;

typedef struct
{
  oh_placement_upstream_t *upstream; /* NULL if refused; valid until the next view update */
  oh_placement_reason_t reason;
  Oh__Result refused;                 /* RESULT_NONE if an upstream was chosen */
  const char *service_name;           /* "" if unknown */
  const char *unavailable_dependency; /* name of the service, or "" */
  unsigned upstreams;                 /* of the service */
  unsigned candidates;                /* not draining, excluded, full or tried before */
  unsigned considered;                /* of the candidates, see locality.h */
  unsigned full;                      /* upstreams that were left out for want of a position */
  unsigned suspects;                  /* by their own report or because Opens are unanswered */
  unsigned distrusted;    /* candidates limited by rate: false reports, or suspects not excluded */
  unsigned excluded;      /* suspects that get no Opens; at most a third of the upstreams that do not drain */
  double load;            /* of the chosen upstream: work per capacity, unanswered Opens included */
  oh_position_t position; /* at the chosen upstream */
} oh_placement_decision_t;

typedef struct
{
  oh_random_t *random; /* not owned */
  char zone[OH_PLACEMENT_NAME_BYTES];
  oh_placement_view_t *view; /* owned; NULL before the first */
  GHashTable *services;      /* service id to its configuration and upstreams, owned */
  GHashTable *upstreams;     /* name to oh_placement_upstream_t, owned */
  GPtrArray *candidates;     /* scratch space of oh_placement_choose, one slot for each upstream */
} oh_placement_t;

/* zone is that of the balancer; upstreams in it are preferred, see locality.h. */
void oh_placement_init (oh_placement_t *placement, const char *zone, oh_random_t *random);
void oh_placement_finish (oh_placement_t *placement);

/* Applies a view and takes ownership of it. Upstreams that it does not list are freed. */
void oh_placement_set_view (oh_placement_t *placement, oh_placement_view_t *view, int64_t now_us);

/* Applies a load report that an agent sent. Returns false if it was ignored: unknown upstream, another
 * service, or not newer than the last one. */
bool oh_placement_apply_load (oh_placement_t *placement, const Oh__Load *load, int64_t now_us);

/*
 * Chooses an upstream of the service for an Open. tried holds the incarnations of the agents that refused it.
 * Fills the decision; returns false if the Open is refused. Does not allocate.
 */
bool oh_placement_choose (oh_placement_t *placement, uint64_t service, const uint64_t *tried, size_t n_tried,
                          int64_t now_us, oh_placement_decision_t *decision);

/* As oh_placement_choose, by free positions. */
bool oh_placement_choose_position (oh_placement_t *placement, const oh_placement_request_t *request,
                                   int64_t now_us, oh_placement_decision_t *decision);

/* Records that the agent refused an Open for overload. Its load report must have been applied before. */
void oh_placement_overloaded (oh_placement_t *placement, const Oh__Load *load, bool yields, int64_t now_us);

/* True if the agent of the report is known to have a position for a flow that does not yield. */
bool oh_placement_has_position (oh_placement_t *placement, const Oh__Load *load, int64_t now_us);

/* Mean time that an upstream of the service works on a request, as of the last choice; 0 if not known. */
unsigned oh_placement_service_us (const oh_placement_t *placement, uint64_t service);

/* Upstreams of the view for each of its balancers, at least 1. */
unsigned oh_placement_upstream_share (const oh_placement_t *placement);

/* Records that an Open was sent to the upstream; key identifies its flow. */
void oh_placement_open_sent (oh_placement_t *placement, oh_placement_upstream_t *upstream, uint64_t key,
                             int64_t now_us);

/* Records that the agent accepted or refused an Open. load is the report that came with the answer; it must
 * be applied separately. */
void oh_placement_open_answered (oh_placement_t *placement, const Oh__Load *load, uint64_t key, bool accepted,
                                 int64_t now_us);

/* Removes unanswered Opens that are older than OH_PLACEMENT_RESERVATION_MS. */
void oh_placement_expire_opens (oh_placement_t *placement, int64_t now_us);

/* Returns NULL if there is no such upstream. Valid until the next view update. */
oh_placement_upstream_t *oh_placement_find_upstream (oh_placement_t *placement, const char *name);

/* Work, and flows, by the last report, unanswered Opens included, per slot of mean pace. */
double oh_placement_work_per_slot (const oh_placement_upstream_t *upstream);
double oh_placement_flows_per_slot (const oh_placement_upstream_t *upstream);

/* Returns the name for log lines, a static string. */
const char *oh_placement_reason_name (oh_placement_reason_t reason);
