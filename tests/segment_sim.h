#pragma once

#include <glib.h>

#include "base/seeded_random.h"
#include "core/segment_agent.h"
#include "core/segment_balancer.h"
#include "segment_fixture.h"

/*
 * Simulation of segment balancers and agents in one process, with a virtual clock, upstreams and callers, and
 * a network that delays and loses messages. Callers keep flows open with pauses between their requests, and
 * move between the availability zones. Agents and balancers are ended, restarted and frozen, upstreams
 * replaced. If the simulation has leaving upstreams, some also drain, send a deregister call and live on for
 * seconds, are paused, start with a clock that was set back, and their last announcement comes late.
 *
 * It checks the rule for open flows from what callers and upstreams get: no reset of a flow whose upstream
 * has it, and never three of its segments at other upstreams and none at its own within two seconds.
 */

enum
{
  SIM_ZONES = 2,
  SIM_BALANCERS = 4,
  SIM_UPSTREAMS = 8,
  SIM_CALLERS = 24,
  SIM_MS = 1000, /* in microseconds, as all times of the simulation */
  SIM_S = 1000000,
  SIM_HEARTBEAT_MS = 1200,
  SIM_LEASE_US = 3 * SIM_S,
};

typedef struct segment_sim segment_sim_t;

/* What an upstream knows of a flow. */
typedef struct
{
  oh_flow_key_t key;
  uint32_t caller_sequence; /* of the SYN */
  uint32_t sequence;        /* of the SYN-ACK */
  bool open;
  bool ended;
  int64_t own_us; /* last segment that reached this upstream */
} sim_flow_t;

typedef struct
{
  oh_segment_agent_sink_t sink; /* first member */
  segment_sim_t *sim;
  unsigned index;
  char name[16];
  bool alive;
  unsigned process; /* number of the process; messages and timers of earlier ones are void */
  int64_t frozen_until_us;
  int64_t polled_us; /* last poll of the control replicas; its lease ends SIM_LEASE_US later */
  oh_segment_agent_t core;
  /* The upstream beside it. */
  GHashTable *flows; /* of sim_flow_t, owned */
  unsigned incarnation;
  int64_t started_us;
  uint64_t sequence; /* of its announcements */
  bool running;
  bool draining;
  bool deregistered; /* announces itself no more */
  int64_t paused_until_us;
  bool watched; /* the agent polls its listener */
} sim_node_t;

typedef struct
{
  oh_segment_balancer_sink_t sink; /* first member */
  segment_sim_t *sim;
  unsigned index;
  bool alive;
  unsigned process;
  int64_t frozen_until_us;
  oh_segment_balancer_t core;
  oh_view_t view;
  uint64_t view_sequence;
} sim_balancer_t;

typedef enum
{
  SIM_CALLER_IDLE,
  SIM_CALLER_OPENING,
  SIM_CALLER_OPEN,
} sim_caller_state_t;

typedef struct
{
  segment_sim_t *sim;
  unsigned index;
  unsigned zone;
  sim_caller_state_t state;
  oh_flow_key_t key;
  unsigned attempt;      /* number of the flow; timers of earlier ones are void */
  uint32_t sequence;     /* of the SYN */
  uint32_t acknowledged; /* next byte expected from the upstream */
  unsigned requests_left;
  unsigned request;  /* number of the outstanding one; its timers are void after its response */
  bool waiting;      /* for a response */
  GArray *foreign;   /* of int64_t: times of segments at other upstreams */
  sim_node_t *owner; /* upstream that has the flow; NULL before it opens */
  unsigned owner_incarnation;
  int64_t own_us; /* last segment at the owner */
} sim_caller_t;

struct segment_sim
{
  uint32_t seed;
  oh_seeded_random_t random;
  oh_keyring_t keyring;
  int64_t now_us;
  GQueue events; /* of sim_event_t, by due time */
  uint64_t n_events;
  sim_balancer_t balancers[SIM_BALANCERS];
  sim_node_t nodes[SIM_UPSTREAMS];
  sim_caller_t callers[SIM_CALLERS];
  bool faults;       /* false: no new ones */
  bool leaving;      /* upstreams leave, and do more as above */
  bool refusals;     /* datagrams to an upstream that has ended are reported as refused; otherwise only its
                        listener     tells of its end */
  double loss;       /* share of the messages that are lost */
  unsigned answered; /* requests */
  unsigned resets;   /* of flows that their upstream does not have */
  unsigned timed_out;
};

void segment_sim_init (segment_sim_t *sim, uint32_t seed, bool leaving);
void segment_sim_finish (segment_sim_t *sim);

/* Runs for the time. Fails the test if the rule is broken. */
void segment_sim_run (segment_sim_t *sim, int64_t duration_us);
