#pragma once

#include "base/seeded_random.h"
#include "core/agent_core.h"

/*
 * Agents with a virtual clock, a fake upstream that counts runs, and a caller that sends single packets. All
 * agents share one upstream counter, as the guarantees hold across agents.
 */

enum
{
  FIXTURE_AGENTS = 3,
  FIXTURE_NUMBERS = 256,
};

typedef struct fixture fixture_t;

typedef struct
{
  uint64_t id;
  uint32_t number;
  Oh__RequestKind kind;
  bool resume;
  uint64_t resume_chunk;
  uint64_t last_event_id;
  bool open;
  bool paused;
  bool cancel_asked;
} fake_run_t;

typedef struct
{
  oh_agent_sink_t sink; /* first */
  fixture_t *fixture;
  unsigned index;
  char name[16];
  char endpoint[32];
  bool alive;
  oh_agent_core_t core;
  oh_seeded_random_t random;
  oh_counters_t counters;
  GArray *runs;         /* of fake_run_t */
  GPtrArray *peer_out;  /* of GBytes, packed FlowState, in the order sent */
  GPtrArray *peer_to;   /* of char *, endpoint for each */
  GPtrArray *reply_out; /* of GBytes, packed FlowStateReply */
  bool exited;
  Oh__Load load; /* last one reported; strings are not kept */
  unsigned reports;
  unsigned report_bytes; /* of the last one, sealed */
} fake_agent_t;

struct fixture
{
  int64_t now_us;
  oh_keyring_t keyring;
  oh_view_t view;
  oh_flow_id_t flow;
  fake_agent_t agents[FIXTURE_AGENTS];
  uint32_t incarnations; /* given out so far */
  unsigned slots;
  unsigned max_flows;
  uint32_t ack_below;

  unsigned runs[FIXTURE_NUMBERS]; /* requests started at the upstream, by number */
  oh_token_t token;               /* the caller's */
  bool has_token;
  oh_token_t moved; /* of the last Moved */
  unsigned n_moved;
  unsigned n_packets;   /* to the caller */
  uint64_t sent_digest; /* of all datagrams of the agents, in order */
  unsigned n_gone;
  unsigned n_pongs;
  unsigned n_chunks;
  unsigned n_close_replies;
  unsigned n_outcomes;
  Oh__Result refused_open; /* of the last echoed Open; RESULT_NONE: not refused */
  Oh__Result outcome[FIXTURE_NUMBERS];
  uint32_t outcome_attempt[FIXTURE_NUMBERS];
  bool not_run_said[FIXTURE_NUMBERS];
  uint64_t next_chunk[FIXTURE_NUMBERS]; /* in order, as a caller takes them */
  uint64_t digest[FIXTURE_NUMBERS];
  bool complete[FIXTURE_NUMBERS];
  oh_address_t last_balancer;
  oh_token_t pong_token;
  bool pong_has_token;
};

void fixture_init (fixture_t *fixture, unsigned slots, unsigned max_flows);
void fixture_finish (fixture_t *fixture);

/* Lists the living agents that are not marked as drained. */
void fixture_update_view (fixture_t *fixture, const char *drained);
void fixture_restart (fixture_t *fixture, unsigned agent);
void fixture_kill (fixture_t *fixture, unsigned agent);

/* Moves the clock in steps of 10 ms and runs the agents' timers; the upstreams answer their health polls. */
void fixture_wait (fixture_t *fixture, int64_t ms);
void fixture_health (fixture_t *fixture, unsigned agent, const char *service, Oh__UpstreamState state,
                     uint64_t instance);

/* Encodes the caller's packet with its token. */
GBytes *fixture_packet (fixture_t *fixture, Oh__Packet *packet);
GBytes *fixture_request (fixture_t *fixture, uint32_t number, uint32_t attempt, Oh__RequestKind kind,
                         unsigned priority, uint32_t remaining_ms, uint64_t resume_from,
                         uint64_t resume_digest, uint64_t resume_tag);
GBytes *fixture_open_packet (fixture_t *fixture, uint32_t generation);
void fixture_deliver (fixture_t *fixture, unsigned agent, GBytes *packet);

/* Sends to the agent that the caller's token names. */
void fixture_send (fixture_t *fixture, GBytes *packet);
void fixture_ping (fixture_t *fixture);
void fixture_cancel (fixture_t *fixture, uint32_t number);
void fixture_ack (fixture_t *fixture, uint32_t number, uint32_t attempt, uint64_t next);

/* Open, reply and first ping at the agent. */
void fixture_open (fixture_t *fixture, unsigned agent, uint32_t generation);

/* The open run of the number at any agent, or NULL. */
fake_run_t *fixture_run (fixture_t *fixture, uint32_t number, fake_agent_t **agent);
void fixture_upstream (fixture_t *fixture, uint32_t number, oh_upstream_event_t event);
void fixture_answer (fixture_t *fixture, uint32_t number, size_t length);

/* Delivers the first waiting flow state or reply between agents; false if none. */
bool fixture_pass_state (fixture_t *fixture, bool lose);
/* Copy of the first waiting flow state and the agent that it is for. */
GBytes *fixture_peek_state (fixture_t *fixture, unsigned *target);
void fixture_deliver_state (fixture_t *fixture, unsigned target, GBytes *bytes);
bool fixture_pass_reply (fixture_t *fixture, bool lose);
