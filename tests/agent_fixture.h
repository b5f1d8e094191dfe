#pragma once

#include "base/seeded_random.h"
#include "core/agent_core.h"

/*
 * Agents with a virtual clock, fake upstreams that count runs, and a caller that sends individual packets.
 * The runs at all upstreams are counted together, as the guarantees hold across agents.
 */

enum
{
  FIXTURE_AGENTS = 3,
  FIXTURE_NUMBERS = 256, /* request numbers that a test may use */
};

typedef struct fixture fixture_t;

/* A request at a fake upstream. */
typedef struct
{
  uint64_t id;
  uint32_t number;
  Oh__RequestKind kind;
  bool resume;
  uint64_t resume_chunk;
  uint64_t last_event_id;
  bool open; /* neither finished nor abandoned */
  bool paused;
  bool cancel_requested;
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
  GPtrArray *peer_out;  /* of GBytes, packed FlowState, in the order of sending */
  GPtrArray *peer_to;   /* of char *, endpoint for each */
  GPtrArray *reply_out; /* of GBytes, packed FlowStateReply */
  bool exited;
  Oh__Load load;         /* last one sent; its pointers are NULL */
  unsigned reports;      /* load reports sent, which carry no packet */
  unsigned report_bytes; /* length of the last one, sealed */
} fake_agent_t;

struct fixture
{
  int64_t now_us;
  oh_keyring_t keyring;
  oh_view_t view;
  oh_flow_id_t flow;
  fake_agent_t agents[FIXTURE_AGENTS];
  uint32_t last_incarnation;
  unsigned slots;
  unsigned max_flows;
  uint32_t ack_below; /* floor that the caller's packets carry */

  unsigned runs[FIXTURE_NUMBERS]; /* requests started at the upstreams, by number */
  oh_token_t token;               /* that the caller uses */
  bool has_token;
  oh_token_t moved; /* from the last Moved packet */
  unsigned n_moved;
  unsigned n_packets;   /* received by the caller */
  uint64_t sent_digest; /* of all datagrams that the agents sent, in order */
  unsigned n_gone;
  unsigned n_pongs;
  unsigned n_chunks;
  unsigned n_close_replies;
  unsigned n_outcomes;
  Oh__Result open_refusal; /* of the last Open returned to the balancer; RESULT_NONE: not refused */
  Oh__Result outcome[FIXTURE_NUMBERS];
  uint32_t outcome_attempt[FIXTURE_NUMBERS];
  bool reported_not_run[FIXTURE_NUMBERS]; /* the caller was told that the request did not run */
  uint64_t next_chunk[FIXTURE_NUMBERS];   /* first sequence not yet received in order */
  uint64_t digest[FIXTURE_NUMBERS];       /* of the chunks received in order */
  bool complete[FIXTURE_NUMBERS];
  oh_address_t last_balancer;
  oh_token_t pong_token;
  bool pong_has_token;
};

/* Starts all agents, each with a ready upstream past its slow start. No view is sent to them. */
void fixture_init (fixture_t *fixture, unsigned slots, unsigned max_flows);
void fixture_finish (fixture_t *fixture);

/* Sends the agents a new view that lists the running ones; drained is the name of an upstream that an
 * operator drains, or NULL. */
void fixture_update_view (fixture_t *fixture, const char *drained);

/* The same, with the operators' drain of the zone of all agents. */
void fixture_update_view_with_zone (fixture_t *fixture, const char *drained, bool zone_drained);

/* Starts the agent with a new incarnation and empty state. */
void fixture_restart (fixture_t *fixture, unsigned agent);

/* Ends the agent without a drain, as a crash does. */
void fixture_kill (fixture_t *fixture, unsigned agent);

/* Advances the clock in steps of 10 ms and runs the agents' timers. The upstreams answer health polls. */
void fixture_advance (fixture_t *fixture, int64_t ms);

/* Health answer of the agent's upstream. */
void fixture_report_health (fixture_t *fixture, unsigned agent, const char *service, Oh__UpstreamState state,
                            uint64_t instance);

/* Encodes the caller's packet with its token. */
GBytes *fixture_packet (fixture_t *fixture, Oh__Packet *packet);
GBytes *fixture_request (fixture_t *fixture, uint32_t number, uint32_t attempt, Oh__RequestKind kind,
                         unsigned priority, uint32_t remaining_ms, uint64_t resume_from,
                         uint64_t resume_digest, uint64_t resume_tag);
GBytes *fixture_open_packet (fixture_t *fixture, uint32_t generation);

/* Delivers the packet to the agent through the balancer. The packet is not consumed. */
void fixture_deliver (fixture_t *fixture, unsigned agent, GBytes *packet);

/* Delivers the packet to the agent that the caller's token names, and frees it. */
void fixture_send (fixture_t *fixture, GBytes *packet);
void fixture_ping (fixture_t *fixture);
void fixture_cancel (fixture_t *fixture, uint32_t number);
void fixture_ack (fixture_t *fixture, uint32_t number, uint32_t attempt, uint64_t next);

/* Sends an Open to the agent and, unless it is refused, a ping with the token of the reply. */
void fixture_open (fixture_t *fixture, unsigned agent, uint32_t generation);

/* The request of this number at the upstream of any agent, or NULL; sets *agent to that agent. A request
 * whose cancellation was requested is found even after it has failed. */
fake_run_t *fixture_find_run (fixture_t *fixture, uint32_t number, fake_agent_t **agent);

/* Event of the upstream for the request of this number; event.id is set by the call. */
void fixture_upstream_event (fixture_t *fixture, uint32_t number, oh_upstream_event_t event);

/* The upstream answers the request with length zero bytes. */
void fixture_answer (fixture_t *fixture, uint32_t number, size_t length);

/* Delivers, or drops, the first pending flow state between agents; false if there is none. */
bool fixture_deliver_next_state (fixture_t *fixture, bool drop);

/* New reference to the first pending flow state, NULL if there is none; sets *target to the agent that it is
 * for. */
GBytes *fixture_peek_state (fixture_t *fixture, unsigned *target);
void fixture_deliver_state (fixture_t *fixture, unsigned target, GBytes *bytes);

/* Delivers, or drops, the first pending reply to a flow state; false if there is none. */
bool fixture_deliver_next_reply (fixture_t *fixture, bool drop);
