/*
 * Ownership of one flow with one request: a caller, two agents, and a network that may deliver every packet
 * late, several times, or never. A packet once sent stays in the network for ever; receiving does not remove it.
 * Gone is not modelled as a packet: the caller may at any time find that no answer comes, which covers it.
 *
 * Properties, as assertions where the request starts or is refused:
 *   1. it runs at most once;
 *   2. it does not run after the answer "not run" was sent, and that answer is not sent after it ran;
 *   3. it does not run under a generation whose state was handed over.
 *
 * "scripts/model flow" checks the model with all guards, which must pass, and with each guard removed, which
 * must give a counterexample:
 *
 *   DEDUP        a duplicate of a request that has been answered is not queued
 *   RECORD       a refusal is recorded before it is sent
 *   FREEZE       an agent accepts and runs nothing after it has sent the flow's state
 *   INCARNATION  an agent ignores packets for its earlier incarnation
 *   CLOSED       an agent remembers a closed flow, so that a late Open does not reopen it
 *   TARGET       a target refuses state that was sent to its earlier incarnation
 *   GENERATION   a target refuses the state of a generation that it has seen
 *
 * run none
 * run DEDUP
 * run RECORD
 * run FREEZE
 * run INCARNATION
 * run CLOSED
 * run TARGET
 * run GENERATION
 */

#define INCARNATIONS 2 /* per agent; one agent restarts, once */
#define GENERATIONS  4 /* 1 to 3; 0 is unused */

/* A token names an agent, its incarnation and a generation of the flow. Sets of packets are bit masks over tokens. */
#define TOKEN(a, i, g) (((a) * INCARNATIONS + (i)) * GENERATIONS + (g))
#define IN(set, t)     (((set) >> (t)) & 1)
#define ADD(set, t)    set = set | (1 << (t))

/* State of the flow at an agent. */
#define ABSENT   0
#define OWNED    1
#define RECEIVED 2 /* handed over by the peer; owned once the caller uses the token */
#define SENT     3 /* state sent to the peer, whose reply is awaited */
#define MOVED    4 /* the peer has taken over the flow */
#define CLOSED   5

/* State of the request at an agent. */
#define UNSEEN   0
#define QUEUED   1
#define RUNNING  2
#define ANSWERED 3
#define NOT_RUN  4

/* The network: sets of the packets sent so far, by token, but opens by generation. */
byte opens;
int offers;         /* OpenReply that carries the token */
int requests;
int closes;
int moved_messages; /* Moved that carries the token */
int state_replies;  /* the peer took over the flow and returned the token */
int state_messages; /* state of the flow, sent to the agent that the token names */
byte sent_request_state[16]; /* state of the request in the state message for a token */

/* The agents. */
byte incarnation[2];
byte flow_state[2];
byte generation[2];
byte sent_generation[2];    /* under which the state was last sent to the peer */
byte target_incarnation[2]; /* of the peer when the state was last sent */
byte offer[2];              /* generation of the open offer, 0 if none */
byte request_state[2];
bool restarted;

/* What happened so far, for the assertions. */
bool ran;
bool said_not_run;
byte handed_over; /* set of generations */

inline start_request (a)
{
  assert (!ran);
  assert (!said_not_run);
  assert (!IN (handed_over, generation[a]));
  ran = true;
  request_state[a] = RUNNING
}

/* The refusal is recorded before it is sent. */
inline refuse_request (a)
{
#ifndef NO_RECORD
  request_state[a] = NOT_RUN;
#endif
  assert (!ran);
  said_not_run = true
}

#define TOKEN_USED(t)   (IN (requests, t) || IN (closes, t))
#define TARGET_TOKEN(a) TOKEN (1 - a, target_incarnation[a], sent_generation[a])

#ifdef NO_FREEZE
#define ACCEPTS_REQUESTS(a) (flow_state[a] == OWNED || flow_state[a] == SENT)
#else
#define ACCEPTS_REQUESTS(a) (flow_state[a] == OWNED)
#endif

#ifdef NO_GENERATION
#define ACCEPTS_STATE(a, g) (flow_state[a] != SENT)
#else
#define ACCEPTS_STATE(a, g) (g > generation[a] && g > sent_generation[a])
#endif

#ifdef NO_CLOSED
#define CLOSE_FLOW(a) flow_state[a] = ABSENT; generation[a] = 0
#else
#define CLOSE_FLOW(a) flow_state[a] = CLOSED
#endif

#ifdef NO_DEDUP
#define MAY_QUEUE(a) (request_state[a] == UNSEEN || request_state[a] == ANSWERED)
#else
#define MAY_QUEUE(a) (request_state[a] == UNSEEN)
#endif

/* Sends the state of the flow to the peer. A queued request has not run, so it is dropped, and the caller sends it
 * to the next owner. Each attempt uses a new generation. */
inline send_state (a)
{
  if
  :: request_state[a] == QUEUED -> request_state[a] = UNSEEN
  :: else
  fi;
  if
  :: sent_generation[a] > generation[a] -> sent_generation[a]++
  :: else -> sent_generation[a] = generation[a] + 1
  fi;
  ADD (handed_over, generation[a]);
  target_incarnation[a] = incarnation[1 - a];
  ADD (state_messages, TARGET_TOKEN (a));
  sent_request_state[TARGET_TOKEN (a)] = request_state[a];
  flow_state[a] = SENT
}

/* Packets under the token of incarnation i and generation g. In this order:
 * - the caller uses an offer, so that the flow opens or reopens;
 * - the caller uses the token of a handover;
 * - the caller uses a token after the flow has moved, and is sent Moved;
 * - a request is queued;
 * - a request is refused because the queue is full;
 * - the flow is closed. */
#define RECEIVE_PACKETS(i, g) \
  :: d_step { TOKEN_USED (TOKEN (a, i, g)) && offer[a] == g -> \
      request_state[a] = UNSEEN; flow_state[a] = OWNED; generation[a] = g; sent_generation[a] = 0; offer[a] = 0 } \
  :: d_step { TOKEN_USED (TOKEN (a, i, g)) && flow_state[a] == RECEIVED && generation[a] == g -> \
      flow_state[a] = OWNED } \
  :: d_step { TOKEN_USED (TOKEN (a, i, g)) && flow_state[a] == MOVED && generation[a] >= g \
      && !IN (moved_messages, TARGET_TOKEN (a)) -> \
      ADD (moved_messages, TARGET_TOKEN (a)) } \
  :: d_step { IN (requests, TOKEN (a, i, g)) && ACCEPTS_REQUESTS (a) && generation[a] == g && MAY_QUEUE (a) -> \
      request_state[a] = QUEUED } \
  :: d_step { IN (requests, TOKEN (a, i, g)) && ACCEPTS_REQUESTS (a) && generation[a] == g \
      && request_state[a] == UNSEEN -> \
      refuse_request (a) } \
  :: d_step { IN (closes, TOKEN (a, i, g)) && ACCEPTS_REQUESTS (a) && generation[a] == g \
      && request_state[a] != RUNNING -> \
      request_state[a] = UNSEEN; CLOSE_FLOW (a) }

/* An Open has no effect but an offer. The expiry of an unused offer would only remove behaviour, so it is not
 * modelled. An agent accepts the state of a flow under a generation that it has not seen, and runs nothing before
 * the caller uses the token. */
#define RECEIVE_OPEN_AND_STATE(g) \
  :: d_step { IN (opens, g) && offer[a] < g \
      && (flow_state[a] == ABSENT || (g > generation[a] && g > sent_generation[a])) -> \
      offer[a] = g; ADD (offers, TOKEN (a, incarnation[a], g)) } \
  RECEIVE_STATE (incarnation[a], g)

#define RECEIVE_STATE(i, g) \
  :: d_step { IN (state_messages, TOKEN (a, i, g)) && ACCEPTS_STATE (a, g) -> \
      flow_state[a] = RECEIVED; generation[a] = g; sent_generation[a] = 0; offer[a] = 0; \
      request_state[a] = sent_request_state[TOKEN (a, i, g)]; ADD (state_replies, TOKEN (a, incarnation[a], g)) }

proctype agent (byte a)
{
end:
  do
  RECEIVE_OPEN_AND_STATE (1)
  RECEIVE_OPEN_AND_STATE (2)
  RECEIVE_OPEN_AND_STATE (3)
#ifdef NO_TARGET
  RECEIVE_STATE (0, 1)
  RECEIVE_STATE (0, 2)
  RECEIVE_STATE (0, 3)
#endif
#ifdef NO_INCARNATION
  RECEIVE_PACKETS (0, 1)
  RECEIVE_PACKETS (0, 2)
  RECEIVE_PACKETS (0, 3)
  RECEIVE_PACKETS (1, 1)
  RECEIVE_PACKETS (1, 2)
  RECEIVE_PACKETS (1, 3)
#else
  RECEIVE_PACKETS (incarnation[a], 1)
  RECEIVE_PACKETS (incarnation[a], 2)
  RECEIVE_PACKETS (incarnation[a], 3)
#endif
  /* The queue and the upstream. A queued request is refused when its deadline passes or when it is cancelled. */
  :: d_step { request_state[a] == QUEUED && ACCEPTS_REQUESTS (a) -> start_request (a) }
  :: d_step { request_state[a] == QUEUED && ACCEPTS_REQUESTS (a) -> refuse_request (a) }
  :: d_step { request_state[a] == RUNNING -> request_state[a] = ANSWERED }
  /* Handover while no request runs. The state is sent again when the target has restarted. */
  :: d_step { (flow_state[a] == OWNED || flow_state[a] == RECEIVED) && generation[a] < GENERATIONS - 1 &&
      request_state[a] != RUNNING ->
      send_state (a)
    }
  :: d_step { flow_state[a] == SENT && incarnation[1 - a] != target_incarnation[a] &&
      sent_generation[a] < GENERATIONS - 1 && request_state[a] != RUNNING ->
      send_state (a)
    }
  :: d_step { flow_state[a] == SENT && IN (state_replies, TARGET_TOKEN (a)) ->
      ADD (moved_messages, TARGET_TOKEN (a));
      request_state[a] = UNSEEN;
      flow_state[a] = MOVED
    }
  /* A crash and a restart: all state is lost. */
  :: d_step { !restarted ->
      restarted = true;
      incarnation[a]++;
      flow_state[a] = ABSENT;
      generation[a] = 0;
      sent_generation[a] = 0;
      target_incarnation[a] = 0;
      offer[a] = 0;
      request_state[a] = UNSEEN
    }
  od
}

/* An opening caller takes the first offer of its generation. Moved counts only for a higher generation. */
#define ADOPT(i, a) \
  :: d_step { token == 0 && IN (offers, TOKEN (a, i, caller_generation)) -> \
      token = TOKEN (a, i, caller_generation) } \
  :: d_step { token != 0 && caller_generation < 2 && IN (moved_messages, TOKEN (a, i, 2)) -> \
      token = TOKEN (a, i, 2); caller_generation = 2 } \
  :: d_step { token != 0 && caller_generation < 3 && IN (moved_messages, TOKEN (a, i, 3)) -> \
      token = TOKEN (a, i, 3); caller_generation = 3 }

proctype caller ()
{
  byte caller_generation = 1; /* of the flow */
  byte token = 0;             /* in use; 0 while opening */
  bool request_sent = false;  /* under the current generation or an earlier one */
  bool ended = false;         /* the request has an outcome and is not sent again */

  ADD (opens, 1);
end:
  do
  ADOPT (0, 0)
  ADOPT (1, 0)
  ADOPT (0, 1)
  ADOPT (1, 1)
  :: d_step { token != 0 && !ended && !IN (requests, token) -> ADD (requests, token); request_sent = true }
  :: d_step { token != 0 -> ADD (closes, token) } -> break
  /* No answer on any path: a request that may have run ends as unknown and is not sent again. */
  :: d_step { token != 0 && caller_generation < GENERATIONS - 1 ->
      ended = (ended || request_sent);
      caller_generation++;
      token = 0;
      ADD (opens, caller_generation)
    }
  od
}

init
{
  atomic {
    run agent (0);
    run agent (1);
    run caller ()
  }
}
