/*
 * Reads of the replicated state: what a replica may show, given what other replicas have applied and acknowledged. Three
 * voters, two terms. A step is atomic, as in agreement.pml, which covers conflicting logs: here a log is its length,
 * since only committed entries are shown.
 *
 * An entry is on the disk of a replica some steps after it was appended, or not at all while the disk hangs. A replica
 * applies what it knows to be committed and has synced. Any replica acknowledges to the operator what it has applied.
 *
 * Properties, as assertions:
 *   1. a leader that answers a read shows all that was acknowledged before its last contact with a quorum;
 *   2. a follower that answers a read shows all that was acknowledged before the contact that the leader's reply relies on;
 *   3. a new leader holds all that was acknowledged.
 *
 * Time is left out: "acknowledged before the contact" stands for the age that the implementation allows.
 *
 * Each of these defines removes a guard, so that an assertion must fail:
 *   NO_LEADER_APPLIED  a leader answers reads although it has not applied all that it has committed
 *   NO_COMMIT_REPLY    a leader replies to a follower with what it has applied, not with what it has committed
 *   NO_OWN_TERM        a leader answers before an entry of its own term is committed
 *   NO_QUORUM          a leader answers without a contact with a quorum
 *   NO_SYNC_RECOVERY   a restarted process counts as synced what the killed one had only written
 *
 * Runs of scripts/model. Those with READS=0 leave out the reads, and cover kills and power failures.
 *
 * run none LENGTH=2 READS=1 KILLS=1 POWER_LOSSES=0
 * run none LENGTH=2 READS=0 KILLS=2 POWER_LOSSES=1
 * run LEADER_APPLIED LENGTH=2 READS=1 KILLS=0 POWER_LOSSES=0
 * run COMMIT_REPLY LENGTH=2 READS=1 KILLS=0 POWER_LOSSES=0
 * run OWN_TERM LENGTH=2 READS=1 KILLS=0 POWER_LOSSES=0
 * run QUORUM LENGTH=2 READS=1 KILLS=0 POWER_LOSSES=0
 * run SYNC_RECOVERY LENGTH=2 READS=0 KILLS=1 POWER_LOSSES=1
 */

#ifndef LENGTH
#define LENGTH 3
#endif
#ifndef READS
#define READS 1
#endif
#ifndef KILLS
#define KILLS 1
#endif
#ifndef POWER_LOSSES
#define POWER_LOSSES 1
#endif

#define TERMS 2
#define MIN(a, b) (((a) < (b)) -> (a) : (b))

byte term[3] = 1;
bit leads[3];
byte term_start[3]; /* leader: length of its log when it was elected */
byte length[3];
byte synced[3];  /* entries that the replica takes for durable */
byte durable[3]; /* entries that a power failure leaves */
byte commit[3];
byte applied[3];
byte acknowledged; /* entries that some replica has acknowledged to the operator */

/* What was acknowledged at the last contact of a leader with a quorum, and at the contact behind the last reply to a follower. */
byte at_contact[3];
byte at_reply[3];
byte reply_index[3]; /* follower: index in that reply; 0: none */

byte kills;
byte power_losses;

#define HAS(s, t, k) (term[s] == (t) && synced[s] >= (k))
#define COUNT_HAS(t, k) (HAS (0, t, k) + HAS (1, t, k) + HAS (2, t, k))
#define IN_TERM(t) ((term[0] == (t)) + (term[1] == (t)) + (term[2] == (t)))

#ifdef NO_OWN_TERM
#define OWN_TERM_COMMITTED(s) true
#else
#define OWN_TERM_COMMITTED(s) (commit[s] > term_start[s])
#endif

#ifdef NO_LEADER_APPLIED
#define LEADER_CURRENT(s) (applied[s] > term_start[s])
#else
#define LEADER_CURRENT(s) (OWN_TERM_COMMITTED (s) && applied[s] == commit[s])
#endif

#ifdef NO_COMMIT_REPLY
#define REPLY_INDEX(s) applied[s]
#else
#define REPLY_INDEX(s) commit[s]
#endif

#ifdef NO_QUORUM
#define CONTACT(s) leads[s]
#else
#define CONTACT(s) (leads[s] && IN_TERM (term[s]) >= 2)
#endif

/* Votes of the replica itself and of v, whose log is no longer. */
#define CAN_LEAD(s, v) (term[s] < TERMS && term[v] < TERMS && length[s] >= length[v])

inline become_leader(s, v)
{
  assert (length[s] >= acknowledged);
  term[s]++;
  term[v] = term[s];
  leads[v] = 0;
  leads[s] = 1;
  term_start[s] = length[s];
  at_contact[s] = 0;
  reply_index[s] = 0;
  at_reply[s] = 0
}

/* Entries of an earlier term after the start of the leader's are replaced. */
inline replicate(s, f)
{
  if
  :: term[f] < term[s] ->
     term[f] = term[s];
     leads[f] = 0;
     synced[f] = MIN (synced[f], term_start[s]);
     durable[f] = MIN (durable[f], term_start[s])
  :: else
  fi;
  length[f] = length[s]
}

inline sync(s)
{
  synced[s] = length[s];
  durable[s] = length[s]
}

inline clear_memory(s)
{
  leads[s] = 0;
  commit[s] = 0;
  applied[s] = 0;
  at_contact[s] = 0;
  at_reply[s] = 0;
  reply_index[s] = 0
}

/* The next process reads what the killed one wrote, synced or not. */
inline kill(s)
{
  kills++;
  clear_memory(s);
#ifndef NO_SYNC_RECOVERY
  durable[s] = length[s];
#endif
  synced[s] = length[s]
}

inline lose_power(s)
{
  clear_memory(s);
  length[s] = durable[s];
  synced[s] = durable[s]
}

#define STEPS_WITH(s, f)                                                                                     \
  ::d_step { CAN_LEAD (s, f) -> become_leader(s, f) }                                                        \
  ::d_step { leads[s] && term[f] <= term[s] && (length[f] != length[s] || term[f] < term[s]) -> replicate(s, f) } \
  ::d_step { leads[s] && term[f] == term[s] && commit[f] < MIN (commit[s], length[f]) ->                     \
             commit[f] = MIN (commit[s], length[f]) }                                                        \
  ::d_step { READS && leads[s] && term[f] == term[s] && OWN_TERM_COMMITTED (s) && REPLY_INDEX (s) > 0 ->              \
             reply_index[f] = REPLY_INDEX (s); at_reply[f] = at_contact[s] }

#define STEPS(s, f, g)                                                                                       \
  ::d_step { leads[s] && length[s] < LENGTH -> length[s]++ }                                                 \
  ::d_step { synced[s] < length[s] -> sync(s) }                                                              \
  ::d_step { leads[s] && commit[s] < length[s] && commit[s] + 1 > term_start[s]                              \
             && COUNT_HAS (term[s], commit[s] + 1) >= 2 -> commit[s]++ }                                     \
  ::d_step { leads[s] && commit[s] <= term_start[s] && length[s] > term_start[s]                             \
             && COUNT_HAS (term[s], term_start[s] + 1) >= 2 -> commit[s] = term_start[s] + 1 }               \
  ::d_step { applied[s] < MIN (commit[s], synced[s]) -> applied[s] = MIN (commit[s], synced[s]) }            \
  ::d_step { acknowledged < applied[s] -> acknowledged = applied[s] }                                        \
  ::d_step { READS && CONTACT (s) && at_contact[s] != acknowledged -> at_contact[s] = acknowledged }                  \
  ::d_step { leads[s] && LEADER_CURRENT (s) -> assert (applied[s] >= at_contact[s]) }                        \
  ::d_step { !leads[s] && reply_index[s] > 0 && applied[s] >= reply_index[s] -> assert (applied[s] >= at_reply[s]) } \
  ::d_step { kills < KILLS -> kill(s) }                                                                      \
  STEPS_WITH (s, f)                                                                                          \
  STEPS_WITH (s, g)

active proctype cluster ()
{
  leads[0] = 1;
  do
  STEPS (0, 1, 2)
  STEPS (1, 0, 2)
  STEPS (2, 0, 1)
  ::d_step { power_losses < POWER_LOSSES -> power_losses++; lose_power(0); lose_power(1); lose_power(2) }
  od
}
