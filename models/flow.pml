/*
 * Ownership of one flow: a caller, two agents, and a network that may deliver every packet late, several
 * times, or never. A packet once sent stays in the network for ever; receiving does not remove it. Gone is
 * not modelled as a packet: the caller may at any time find that no answer comes, which covers it.
 *
 * Properties, as assertions where the request, which must run at most once, starts or is refused:
 *   1. it runs at most once;
 *   2. it does not run after "not run" was said, and "not run" is not said after it ran;
 *   3. nothing runs under a generation whose state was handed over.
 *
 * scripts/model flow runs it as it stands, which must pass, and with each guard removed, which must give a
 * counterexample:
 *
 *   DEDUP        a copy of a request that has run is not queued again
 *   RECORD       a refusal is recorded before it is sent
 *   FREEZE       the agent runs nothing after it has sent the flow's state
 *   INCARNATION  packets for an earlier incarnation are not taken
 *   CLOSED       a closed flow is remembered, so that a late Open cannot bring it back
 *   TARGET       state that was sent to an earlier incarnation of the target is refused
 *   GENERATION   a target does not take the state of a generation that it has seen
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

#define INCARNATIONS 2 /* one restart, of either agent */
#define GENERATIONS  4 /* 1 to 3; 0 is unused */

/* Sets of packets are bit masks over tokens: agent, incarnation, generation. */
#define TOKEN(a, i, g) (((a) * INCARNATIONS + (i)) * GENERATIONS + (g))
#define IN(set, t)     (((set) >> (t)) & 1)
#define ADD(set, t)    set = set | (1 << (t))

/* State of the flow at an agent. */
#define ABSENT  0
#define OWNED   1
#define DORMANT 2
#define SENT    3
#define MOVED   4
#define CLOSED  5

/* State of the request. */
#define UNSEEN   0
#define QUEUED   1
#define RUNNING  2
#define ANSWERED 3
#define NOT_RUN  4

/* The network: packets sent. */
byte opens;         /* by generation */
int offers;         /* OpenReply with the token */
int requests;
int closes;
int moves;          /* Moved with the token */
int replies;        /* a peer took the state and returned the token */
int states;         /* of the flow, to the agent, incarnation and generation of the token */
byte state_entry[16];

/* The agents. */
byte incarnation[2];
byte flow[2];
byte generation[2];
byte sent_generation[2];
byte target_incarnation[2];
byte offer[2];      /* generation of the open offer, 0 if none */
byte entry[2];
bool restarted;

/* Observation. */
bool ran;
bool said_not_run;
byte handed_over;   /* by generation */

inline start (a)
{
  assert (!ran);
  assert (!said_not_run);
  assert (!IN (handed_over, generation[a]));
  ran = true;
  entry[a] = RUNNING
}

/* The refusal is recorded before it is sent. */
inline refuse (a)
{
#ifndef NO_RECORD
  entry[a] = NOT_RUN;
#endif
  assert (!ran);
  said_not_run = true
}

#define USED(t)   (IN (requests, t) || IN (closes, t))
#define TARGET(a) TOKEN (1 - a, target_incarnation[a], sent_generation[a])

#ifdef NO_FREEZE
#define TAKES(a) (flow[a] == OWNED || flow[a] == SENT)
#else
#define TAKES(a) (flow[a] == OWNED)
#endif

#ifdef NO_GENERATION
#define NEW(a, g) (flow[a] != SENT)
#else
#define NEW(a, g) (g > generation[a] && g > sent_generation[a])
#endif

#ifdef NO_CLOSED
#define FORGET(a) flow[a] = ABSENT; generation[a] = 0
#else
#define FORGET(a) flow[a] = CLOSED
#endif

#ifdef NO_DEDUP
#define MAY_QUEUE(a) (entry[a] == UNSEEN || entry[a] == ANSWERED)
#else
#define MAY_QUEUE(a) (entry[a] == UNSEEN)
#endif

/* What waits in the queue has not run; the caller sends it to the next owner. Each target gets a generation
 * of its own. */
inline send_state (a)
{
  if
  :: entry[a] == QUEUED -> entry[a] = UNSEEN
  :: else
  fi;
  if
  :: sent_generation[a] > generation[a] -> sent_generation[a]++
  :: else -> sent_generation[a] = generation[a] + 1
  fi;
  ADD (handed_over, generation[a]);
  target_incarnation[a] = incarnation[1 - a];
  ADD (states, TARGET (a));
  state_entry[TARGET (a)] = entry[a];
  flow[a] = SENT
}

/* Packets under the token of incarnation i and generation g. In this order: the caller uses an offer, so the
 * flow starts, or starts again; it uses the token of a handover; it uses a token after the move; a request is
 * queued, or refused because the queue is full; the flow is closed. */
#define PACKETS(i, g) \
  :: d_step { USED (TOKEN (a, i, g)) && offer[a] == g -> \
      entry[a] = UNSEEN; flow[a] = OWNED; generation[a] = g; sent_generation[a] = 0; offer[a] = 0 } \
  :: d_step { USED (TOKEN (a, i, g)) && flow[a] == DORMANT && generation[a] == g -> flow[a] = OWNED } \
  :: d_step { USED (TOKEN (a, i, g)) && flow[a] == MOVED && generation[a] >= g && !IN (moves, TARGET (a)) -> \
      ADD (moves, TARGET (a)) } \
  :: d_step { IN (requests, TOKEN (a, i, g)) && TAKES (a) && generation[a] == g && MAY_QUEUE (a) -> \
      entry[a] = QUEUED } \
  :: d_step { IN (requests, TOKEN (a, i, g)) && TAKES (a) && generation[a] == g && entry[a] == UNSEEN -> \
      refuse (a) } \
  :: d_step { IN (closes, TOKEN (a, i, g)) && TAKES (a) && generation[a] == g && entry[a] != RUNNING -> \
      entry[a] = UNSEEN; FORGET (a) }

/* An Open has no effect but an offer; that it ends unused only removes behaviour, so it is left out. The state
 * of a flow is taken under a generation that this agent has not seen, and nothing runs before the caller uses
 * the token. */
#define OPEN_AND_STATE(g) \
  :: d_step { IN (opens, g) && offer[a] < g && (flow[a] == ABSENT || (g > generation[a] && g > sent_generation[a])) -> \
      offer[a] = g; ADD (offers, TOKEN (a, incarnation[a], g)) } \
  STATE (incarnation[a], g)

#define STATE(i, g) \
  :: d_step { IN (states, TOKEN (a, i, g)) && NEW (a, g) -> \
      flow[a] = DORMANT; generation[a] = g; sent_generation[a] = 0; offer[a] = 0; \
      entry[a] = state_entry[TOKEN (a, i, g)]; ADD (replies, TOKEN (a, incarnation[a], g)) }

proctype agent (byte a)
{
end:
  do
  OPEN_AND_STATE (1)
  OPEN_AND_STATE (2)
  OPEN_AND_STATE (3)
#ifdef NO_TARGET
  STATE (0, 1)
  STATE (0, 2)
  STATE (0, 3)
#endif
#ifdef NO_INCARNATION
  PACKETS (0, 1)
  PACKETS (0, 2)
  PACKETS (0, 3)
  PACKETS (1, 1)
  PACKETS (1, 2)
  PACKETS (1, 3)
#else
  PACKETS (incarnation[a], 1)
  PACKETS (incarnation[a], 2)
  PACKETS (incarnation[a], 3)
#endif
  /* The queue and the upstream; a queued request is refused when its deadline passes or it is cancelled. */
  :: d_step { entry[a] == QUEUED && TAKES (a) -> start (a) }
  :: d_step { entry[a] == QUEUED && TAKES (a) -> refuse (a) }
  :: d_step { entry[a] == RUNNING -> entry[a] = ANSWERED }
  /* Handover at a request boundary; when the target has died, to it again. */
  :: d_step { (flow[a] == OWNED || flow[a] == DORMANT) && generation[a] < GENERATIONS - 1 && entry[a] != RUNNING ->
      send_state (a)
    }
  :: d_step { flow[a] == SENT && incarnation[1 - a] != target_incarnation[a] && sent_generation[a] < GENERATIONS - 1 && entry[a] != RUNNING ->
      send_state (a)
    }
  :: d_step { flow[a] == SENT && IN (replies, TARGET (a)) ->
      ADD (moves, TARGET (a));
      entry[a] = UNSEEN;
      flow[a] = MOVED
    }
  /* Restart without notice. */
  :: d_step { !restarted ->
      restarted = true;
      incarnation[a]++;
      flow[a] = ABSENT;
      generation[a] = 0;
      sent_generation[a] = 0;
      target_incarnation[a] = 0;
      offer[a] = 0;
      entry[a] = UNSEEN
    }
  od
}

/* The first token of the caller's generation wins; Moved counts only for a higher generation. */
#define ADOPT(i, a) \
  :: d_step { t == 0 && IN (offers, TOKEN (a, i, g)) -> t = TOKEN (a, i, g) } \
  :: d_step { t != 0 && g < 2 && IN (moves, TOKEN (a, i, 2)) -> t = TOKEN (a, i, 2); g = 2 } \
  :: d_step { t != 0 && g < 3 && IN (moves, TOKEN (a, i, 3)) -> t = TOKEN (a, i, 3); g = 3 }

proctype caller ()
{
  byte g = 1;        /* generation of the flow */
  byte t = 0;        /* token in use; 0: opening */
  bool sent = false; /* under the present generation or an earlier one */
  bool done = false; /* the request has an outcome and is not sent again */

  ADD (opens, 1);
end:
  do
  ADOPT (0, 0)
  ADOPT (1, 0)
  ADOPT (0, 1)
  ADOPT (1, 1)
  :: d_step { t != 0 && !done && !IN (requests, t) -> ADD (requests, t); sent = true }
  :: d_step { t != 0 -> ADD (closes, t) } -> break
  /* No answer on any path: a request that may have run ends as unknown and is not sent again. */
  :: d_step { t != 0 && g < GENERATIONS - 1 -> done = (done || sent); g++; t = 0; ADD (opens, g) }
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
