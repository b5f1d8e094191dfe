/*
 * Agreement of three control replicas: elections, replication, crashes, lost disks and changes of the voters.
 * Each step is atomic and reads the state of two replicas; a message that is lost is a step that is not taken.
 * A vote or an acknowledgement counts whenever its receiver takes the next step, also after the sender has
 * crashed, lost its disk or moved to a later term.
 *
 * Properties: at an index no two different entries are committed, and a leader of a later term than the one that
 * committed an entry holds it.
 *
 * A replica has a slot (0..2) and an id: the slot, or slot + 3 after it lost its disk. Sets of voters are sets of
 * ids. At most LOSSES disks are lost, each only while the committed set has all its disks, which is what three
 * replicas tolerate.
 *
 * Guards that the defines remove:
 *   NO_SYNC_VOTE    a crash forgets the vote of the present term
 *   NO_SYNC_APPEND  a crash forgets the last entry, acknowledged or not
 *   NO_LOG_CHECK    votes for candidates with older logs
 *   NO_OWN_TERM     entries of older terms are committed by counting
 *   NO_NEW_ID       a replica that lost its disk returns with its old id
 *   NO_ONE_CHANGE   a second change of the voters before the first is committed
 *
 * Runs of scripts/model: elections with crashes; a lost disk and its repair; a second disk lost after the repair.
 *
 * run none TERMS=3 LENGTH=3 LOSSES=1 CHANGES=2 CRASHES=0
 * run none TERMS=4 LENGTH=2 LOSSES=0 CHANGES=0 CRASHES=1
 * run none TERMS=2 LENGTH=3 LOSSES=2 CHANGES=2 CRASHES=0
 * run SYNC_VOTE TERMS=4 LENGTH=2 LOSSES=0 CHANGES=0 CRASHES=1
 * run SYNC_APPEND TERMS=4 LENGTH=2 LOSSES=0 CHANGES=0 CRASHES=1
 * run LOG_CHECK TERMS=4 LENGTH=2 LOSSES=0 CHANGES=0 CRASHES=1
 * run OWN_TERM TERMS=4 LENGTH=2 LOSSES=0 CHANGES=0 CRASHES=1
 * run NEW_ID TERMS=2 LENGTH=3 LOSSES=2 CHANGES=2 CRASHES=0
 * run ONE_CHANGE TERMS=2 LENGTH=3 LOSSES=2 CHANGES=2 CRASHES=0
 */

#ifndef TERMS
#define TERMS 3
#endif
#ifndef LENGTH
#define LENGTH 3
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef CHANGES
#define CHANGES 2
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define ID(s) ((s) + 3 * fresh[s])
#define BIT(s) (1 << ID (s))
#define COUNT(m)                                                                                             \
  (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1) + (((m) >> 4) & 1) + (((m) >> 5) & 1))
#define QUORUM(m, voters) (2 * COUNT ((m) & (voters)) > COUNT (voters))

/* An entry holds its term, the slot of its leader, and the new set of voters or 0. */
#define ENTRY(t, s, voters) ((t) | ((s) << 3) | ((voters) << 5))
#define TERM(e) ((e) & 7)
#define VOTERS(e) ((e) >> 5)
#define LOG(s, k) log[(s) * LENGTH + (k)]
#define ACKS(s, k) acks[(s) * LENGTH + (k)]

/* The latest set in a log. */
#define SET1(s) ((length[s] > 0 && VOTERS (LOG (s, 0)) != 0) -> VOTERS (LOG (s, 0)) : 7)
#if LENGTH > 1
#define SET2(s) ((length[s] > 1 && VOTERS (LOG (s, 1)) != 0) -> VOTERS (LOG (s, 1)) : SET1 (s))
#else
#define SET2(s) SET1 (s)
#endif
#if LENGTH > 2
#define SET(s) ((length[s] > 2 && VOTERS (LOG (s, 2)) != 0) -> VOTERS (LOG (s, 2)) : SET2 (s))
#else
#define SET(s) SET2 (s)
#endif

#define LAST_TERM(s) (length[s] == 0 -> 0 : TERM (LOG (s, length[s] - 1)))

#ifdef NO_LOG_CHECK
#define CURRENT(c, v) true
#else
#define CURRENT(c, v)                                                                                        \
  (LAST_TERM (c) > LAST_TERM (v) || (LAST_TERM (c) == LAST_TERM (v) && length[c] >= length[v]))
#endif

byte term[3];
byte vote[3];   /* id + 1 of the candidate, 0 for none */
byte role[3];
byte votes[3];  /* candidate: ids that granted */
byte length[3];
short log[9];
byte acks[9];   /* leader: ids that hold the entry */
byte commit[3]; /* leader: entries committed in its term */
bit fresh[3];   /* lost its disk once */
byte losses;
byte crashes;
byte changes;

/* Committed entries, and the term that committed them first. */
short done[3];
byte done_term[3];
byte committed_set = 7;

byte i, j, set; /* scratch, 0 between steps */

/* Drops the volatile state. */
inline forget(s)
{
  votes[s] = 0;
  commit[s] = 0;
  i = 0;
  do
  :: i < LENGTH -> ACKS (s, i) = 0; i++
  :: else -> break
  od;
  i = 0
}

inline step_down(s, t)
{
  if
  :: term[s] < t -> term[s] = t; vote[s] = 0
  :: else
  fi;
  role[s] = FOLLOWER;
  forget(s)
}

inline campaign(s)
{
  forget(s);
  term[s] = term[s] + 1;
  vote[s] = ID (s) + 1;
  role[s] = CANDIDATE;
  votes[s] = BIT (s)
}

/* The slots are alike at the start, so the first candidate may be taken to be slot 0. */
#define CAN_CAMPAIGN(s)                                                                                      \
  (role[s] != LEADER && term[s] < TERMS && (SET (s) & BIT (s)) != 0                                          \
   && (s == 0 || term[0] + term[1] + term[2] > 0))

#define CAN_VOTE(c, v)                                                                                       \
  (role[c] == CANDIDATE && term[v] <= term[c] && (votes[c] & BIT (v)) == 0 && (SET (c) & BIT (v)) != 0       \
   && (term[v] < term[c] || vote[v] == 0 || vote[v] == ID (c) + 1) && CURRENT (c, v))

inline grant(c, v)
{
  if
  :: term[v] < term[c] -> step_down(v, term[c])
  :: else
  fi;
  vote[v] = ID (c) + 1;
  votes[c] = votes[c] | BIT (v)
}

inline lead(s)
{
  forget(s);
  role[s] = LEADER;
  do
  :: i < LENGTH ->
     assert (done[i] == 0 || done_term[i] >= term[s] || (i < length[s] && LOG (s, i) == done[i]));
     i++
  :: else -> break
  od;
  i = 0
}

inline append(s, voters)
{
  LOG (s, length[s]) = ENTRY (term[s], s, voters);
  length[s] = length[s] + 1
}

inline change(s)
{
  append(s, set);
  set = 0;
  changes++
}

/* The follower's log agrees with the leader's up to n entries; a conflict removes what follows it. */
inline replicate(s, f, n)
{
  step_down(f, term[s]);
  do
  :: i < n ->
     if
     :: i < length[f] && LOG (f, i) == LOG (s, i) -> skip
     :: i < length[f] && LOG (f, i) != LOG (s, i) ->
        j = i;
        do
        :: j < length[f] -> LOG (f, j) = 0; j++
        :: else -> break
        od;
        j = 0;
        length[f] = i + 1;
        LOG (f, i) = LOG (s, i)
     :: else -> length[f] = i + 1; LOG (f, i) = LOG (s, i)
     fi;
     ACKS (s, i) = ACKS (s, i) | BIT (f);
     i++
  :: else -> break
  od;
  i = 0
}

#define CAN_REPLICATE(s, f, n)                                                                               \
  (role[s] == LEADER && term[f] <= term[s] && length[s] >= n && (ACKS (s, n - 1) & BIT (f)) == 0)

#ifdef NO_OWN_TERM
#define OWN(s, n) true
#else
#define OWN(s, n) (TERM (LOG (s, n - 1)) == term[s])
#endif

#define CAN_COMMIT(s, n)                                                                                     \
  (role[s] == LEADER && commit[s] < n && length[s] >= n && OWN (s, n)                                        \
   && QUORUM (ACKS (s, n - 1) | BIT (s), SET (s)))

inline note_commit(s, n)
{
  commit[s] = n;
  do
  :: i < n ->
     if
     :: done[i] == 0 ->
        done[i] = LOG (s, i);
        done_term[i] = term[s];
        if
        :: VOTERS (done[i]) != 0 -> committed_set = VOTERS (done[i])
        :: else
        fi
     :: else -> assert (done[i] == LOG (s, i))
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

/* True if no entry after the committed ones changes the voters. */
#define SETTLED(s)                                                                                           \
  ((commit[s] > 0 || length[s] < 1 || VOTERS (LOG (s, 0)) == 0)                                              \
   && (commit[s] > 1 || length[s] < 2 || VOTERS (LOG (s, 1)) == 0))

#ifdef NO_ONE_CHANGE
#define MAY_CHANGE(s) (role[s] == LEADER && length[s] < LENGTH && changes < CHANGES)
#else
#define MAY_CHANGE(s)                                                                                        \
  (role[s] == LEADER && length[s] < LENGTH && changes < CHANGES && commit[s] > 0 && SETTLED (s))
#endif

/* Removes an id of a slot other than the leader's. */
#define CAN_REMOVE(s, id) (MAY_CHANGE (s) && (SET (s) & (1 << (id))) != 0 && COUNT (SET (s)) > 1)

/* Adds a replica that holds what is committed. */
#define CAN_ADD(s, f)                                                                                        \
  (MAY_CHANGE (s) && (SET (s) & BIT (f)) == 0 && commit[s] > 0 && (ACKS (s, commit[s] - 1) & BIT (f)) != 0)

inline crash(s)
{
  crashes++;
  step_down(s, 0);
#ifdef NO_SYNC_VOTE
  vote[s] = 0;
#endif
#ifdef NO_SYNC_APPEND
  if
  :: length[s] > 0 -> length[s] = length[s] - 1; LOG (s, length[s]) = 0
  :: else
  fi;
#endif
}

#define INTACT                                                                                               \
  (((committed_set & ~(BIT (0) | BIT (1) | BIT (2))) & 63) == 0 && COUNT (committed_set) == 3)

inline lose(s)
{
  losses++;
  step_down(s, 0);
  term[s] = 0;
  vote[s] = 0;
  length[s] = 0;
  do
  :: i < LENGTH -> LOG (s, i) = 0; i++
  :: else -> break
  od;
  i = 0;
#ifndef NO_NEW_ID
  fresh[s] = 1;
#endif
}

#define OTHER_STEPS(s, f)                                                                                    \
  ::d_step { CAN_VOTE (s, f)->grant(s, f) }                                                                 \
  ::d_step { CAN_REPLICATE (s, f, 1)->replicate(s, f, 1) }                                                  \
  ::d_step { LENGTH > 1 && CAN_REPLICATE (s, f, 2)->replicate(s, f, 2) }                                    \
  ::d_step { LENGTH > 2 && CAN_REPLICATE (s, f, 3)->replicate(s, f, 3) }                                    \
  ::d_step { CAN_REMOVE (s, f)->set = SET (s) & ~(1 << (f)); change(s) }                               \
  ::d_step { CAN_ADD (s, f)->set = SET (s) | BIT (f); change(s) }

#define STEPS(s, f, g)                                                                                       \
  ::d_step { CAN_CAMPAIGN (s)->campaign(s) }                \
  ::d_step { role[s] == CANDIDATE && QUORUM (votes[s], SET (s))->lead(s) }                                  \
  ::d_step { role[s] == LEADER && length[s] < LENGTH->append(s, 0) }                                        \
  ::d_step { CAN_COMMIT (s, 1)->note_commit(s, 1) }                                                         \
  ::d_step { LENGTH > 1 && CAN_COMMIT (s, 2)->note_commit(s, 2) }                                           \
  ::d_step { LENGTH > 2 && CAN_COMMIT (s, 3)->note_commit(s, 3) }                                           \
  ::d_step { crashes < CRASHES->crash(s) }                                                                  \
  ::d_step { losses < LOSSES && !fresh[s] && INTACT->lose(s) }                                              \
  OTHER_STEPS (s, f)                                                                                         \
  OTHER_STEPS (s, g)

active proctype cluster ()
{
  do
  STEPS (0, 1, 2)
  STEPS (1, 0, 2)
  STEPS (2, 0, 1)
  od
}
