/*
 * Consensus of three control replicas (Raft): elections, replication, crashes, lost disks and changes of the
 * voters. Messages are not modelled: a step is atomic and reads the state of at most two replicas, so a lost
 * message is a step that is not taken. A vote or an acknowledgement counts whenever its receiver takes the next
 * step, also after the sender has crashed, lost its disk or moved to a later term.
 *
 * Properties, as assertions:
 *   1. no two different entries are committed at one index;
 *   2. the leader of a term holds every entry that was committed in an earlier term.
 *
 * A replica has a slot (0..2) and an id: the slot, or slot + 3 after it lost its disk. Sets of voters are bit
 * masks of ids. At most LOSSES disks are lost, each only while at least half of the committed voters keep theirs (more than
 * half of an odd number). One of two voters is a quorum if the disk of the other is known to be lost
 * (lib/core/raft_quorum.c).
 *
 * Each of these defines removes a guard, so that an assertion must fail:
 *   NO_SYNC_VOTE    a crash loses the vote of the current term
 *   NO_SYNC_APPEND  a crash loses the last entry, acknowledged or not
 *   NO_LOG_CHECK    a replica votes for a candidate whose log is older than its own
 *   NO_OWN_TERM     a leader commits entries of earlier terms by counting their acknowledgements
 *   NO_NEW_ID       a replica that lost its disk returns with its old id
 *   NO_ONE_CHANGE   the voters may change again before the previous change is committed
 *   NO_KEEP_VOTERS  a voter that has its disk may be removed from three voters or two
 *   NO_BOTH_SETS    an uncommitted change of two voters needs no quorum of these two
 *
 * Runs of scripts/model. Those of guard "none" cover, in this order, a lost disk and its repair, elections with a
 * crash, and a second disk lost after the repair of the first.
 *
 * run none TERMS=3 LENGTH=3 LOSSES=1 CHANGES=2 CRASHES=0
 * run none TERMS=3 LENGTH=3 LOSSES=2 CHANGES=1 CRASHES=0
 * run none TERMS=4 LENGTH=2 LOSSES=0 CHANGES=0 CRASHES=1
 * run none TERMS=2 LENGTH=3 LOSSES=2 CHANGES=2 CRASHES=0
 * run SYNC_VOTE TERMS=4 LENGTH=2 LOSSES=0 CHANGES=0 CRASHES=1
 * run SYNC_APPEND TERMS=4 LENGTH=2 LOSSES=0 CHANGES=0 CRASHES=1
 * run LOG_CHECK TERMS=4 LENGTH=2 LOSSES=0 CHANGES=0 CRASHES=1
 * run OWN_TERM TERMS=4 LENGTH=2 LOSSES=0 CHANGES=0 CRASHES=1
 * run NEW_ID TERMS=2 LENGTH=3 LOSSES=2 CHANGES=2 CRASHES=0
 * run KEEP_VOTERS TERMS=2 LENGTH=3 LOSSES=1 CHANGES=1 CRASHES=0
 * run BOTH_SETS TERMS=2 LENGTH=3 LOSSES=2 CHANGES=2 CRASHES=0
 * run ONE_CHANGE TERMS=2 LENGTH=3 LOSSES=2 CHANGES=3 CRASHES=0
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

#define ID(s) ((s) + 3 * has_new_id[s])
#define BIT(s) (1 << ID (s))
#define COUNT(m)                                                                                             \
  (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1) + (((m) >> 4) & 1) + (((m) >> 5) & 1))
#define LOST_IDS (has_new_id[0] | (has_new_id[1] << 1) | (has_new_id[2] << 2))
#define MAJORITY(m, voters) (2 * COUNT ((m) & (voters)) > COUNT (voters))
#define ONE_OF_TWO(m, voters)                                                                                \
  (COUNT (voters) == 2 && ((m) & (voters)) != 0 && ((voters) & ~((m) | LOST_IDS)) == 0)
#define QUORUM_OF(m, voters) (MAJORITY (m, voters) || ONE_OF_TWO (m, voters))

/* An entry holds its term, the slot of its leader, and the new set of voters or 0. */
#define ENTRY(t, s, voters) ((t) | ((s) << 3) | ((voters) << 5))
#define TERM(e) ((e) & 7)
#define VOTERS(e) ((e) >> 5)
#define LOG(s, k) log[(s) * LENGTH + (k)]
#define ACKS(s, k) acks[(s) * LENGTH + (k)]

/* The latest set of voters in the first entry, in the first two entries and in the whole log. A log without one means
 * the three original ids (7). */
#define LATEST_VOTERS_1(s) ((length[s] > 0 && VOTERS (LOG (s, 0)) != 0) -> VOTERS (LOG (s, 0)) : 7)
#if LENGTH > 1
#define LATEST_VOTERS_2(s) ((length[s] > 1 && VOTERS (LOG (s, 1)) != 0) -> VOTERS (LOG (s, 1)) : LATEST_VOTERS_1 (s))
#else
#define LATEST_VOTERS_2(s) LATEST_VOTERS_1 (s)
#endif
#if LENGTH > 2
#define LATEST_VOTERS(s) ((length[s] > 2 && VOTERS (LOG (s, 2)) != 0) -> VOTERS (LOG (s, 2)) : LATEST_VOTERS_2 (s))
#else
#define LATEST_VOTERS(s) LATEST_VOTERS_2 (s)
#endif

/* The set before the latest one, and whether the entry of the latest one is committed. */
#define IS_CHANGE(s, k) (length[s] > (k) && VOTERS (LOG (s, k)) != 0)
#if LENGTH > 2
#define PREVIOUS_VOTERS(s)                                                                                   \
  (IS_CHANGE (s, 2) -> LATEST_VOTERS_2 (s) : (IS_CHANGE (s, 1) -> LATEST_VOTERS_1 (s) : 7))
#define LATEST_IS_COMMITTED(s)                                                                               \
  (IS_CHANGE (s, 2) -> committed[2] == LOG (s, 2)                                                            \
   : (IS_CHANGE (s, 1) -> committed[1] == LOG (s, 1) : (!IS_CHANGE (s, 0) || committed[0] == LOG (s, 0))))
#else
#define PREVIOUS_VOTERS(s) (IS_CHANGE (s, 1) -> LATEST_VOTERS_1 (s) : 7)
#define LATEST_IS_COMMITTED(s)                                                                               \
  (IS_CHANGE (s, 1) -> committed[1] == LOG (s, 1) : (!IS_CHANGE (s, 0) || committed[0] == LOG (s, 0)))
#endif

/* True if the ids are a quorum of the replica's latest set and, unless that is committed, of two voters before it. */
#ifdef NO_BOTH_SETS
#define QUORUM(m, s) QUORUM_OF (m, LATEST_VOTERS (s))
#else
#define QUORUM(m, s)                                                                                         \
  (QUORUM_OF (m, LATEST_VOTERS (s))                                                                          \
   && (LATEST_IS_COMMITTED (s) || COUNT (PREVIOUS_VOTERS (s)) != 2 || COUNT (LATEST_VOTERS (s)) < 2           \
       || QUORUM_OF (m, PREVIOUS_VOTERS (s))))
#endif

#define LAST_TERM(s) (length[s] == 0 -> 0 : TERM (LOG (s, length[s] - 1)))

#ifdef NO_LOG_CHECK
#define LOG_UP_TO_DATE(c, v) true
#else
#define LOG_UP_TO_DATE(c, v)                                                                                 \
  (LAST_TERM (c) > LAST_TERM (v) || (LAST_TERM (c) == LAST_TERM (v) && length[c] >= length[v]))
#endif

byte term[3];
byte vote[3];       /* id + 1 of the candidate, 0 for none */
byte role[3];
byte granted_by[3]; /* candidate: ids of the replicas that voted for it */
byte length[3];
short log[9];
byte acks[9];       /* leader: ids of the replicas that acknowledged the entry */
byte commit[3];     /* leader: number of entries that it knows to be committed */
bit has_new_id[3];  /* the replica lost its disk and returned with a new id */
byte losses;
byte crashes;
byte changes;

/* Committed entries by index, 0 for none, and the term in which each was first committed. */
short committed[3];
byte committed_term[3];
byte committed_voters = 7;

byte i, j, new_voters; /* temporary variables, 0 between steps so that they add no states */

/* Clears what a replica keeps only in memory: votes and acknowledgements received, and the commit index. */
inline clear_volatile_state(s)
{
  granted_by[s] = 0;
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
  clear_volatile_state(s)
}

inline campaign(s)
{
  clear_volatile_state(s);
  term[s] = term[s] + 1;
  vote[s] = ID (s) + 1;
  role[s] = CANDIDATE;
  granted_by[s] = BIT (s)
}

/* The slots are symmetric at the start, so only slot 0 may be the first candidate: this leaves out only symmetric
 * behaviour. */
#define CAN_CAMPAIGN(s)                                                                                      \
  (role[s] != LEADER && term[s] < TERMS && (LATEST_VOTERS (s) & BIT (s)) != 0                                \
   && (s == 0 || term[0] + term[1] + term[2] > 0))

#define CAN_VOTE(c, v)                                                                                       \
  (role[c] == CANDIDATE && term[v] <= term[c] && (granted_by[c] & BIT (v)) == 0                        \
   && ((LATEST_VOTERS (c) | PREVIOUS_VOTERS (c)) & BIT (v)) != 0                                             \
   && (term[v] < term[c] || vote[v] == 0 || vote[v] == ID (c) + 1) && LOG_UP_TO_DATE (c, v))

inline grant_vote(c, v)
{
  if
  :: term[v] < term[c] -> step_down(v, term[c])
  :: else
  fi;
  vote[v] = ID (c) + 1;
  granted_by[c] = granted_by[c] | BIT (v)
}

/* Asserts that the log holds what was committed in earlier terms. */
inline become_leader(s)
{
  clear_volatile_state(s);
  role[s] = LEADER;
  do
  :: i < LENGTH ->
     assert (committed[i] == 0 || committed_term[i] >= term[s] || (i < length[s] && LOG (s, i) == committed[i]));
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

inline change_voters(s)
{
  append(s, new_voters);
  new_voters = 0;
  changes++
}

/* Makes the first n entries of the follower's log equal to the leader's. The first conflicting entry is replaced,
 * and all entries after it are removed. */
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
#define IN_OWN_TERM(s, n) true
#else
#define IN_OWN_TERM(s, n) (TERM (LOG (s, n - 1)) == term[s])
#endif

#define CAN_COMMIT(s, n)                                                                                     \
  (role[s] == LEADER && commit[s] < n && length[s] >= n && IN_OWN_TERM (s, n)                                \
   && QUORUM (ACKS (s, n - 1) | BIT (s), s))

/* Commits the first n entries, and asserts that no other entry was committed at their indexes. */
inline commit_entries(s, n)
{
  commit[s] = n;
  do
  :: i < n ->
     if
     :: committed[i] == 0 ->
        committed[i] = LOG (s, i);
        committed_term[i] = term[s];
        if
        :: VOTERS (committed[i]) != 0 -> committed_voters = VOTERS (committed[i])
        :: else
        fi
     :: else -> assert (committed[i] == LOG (s, i))
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

/* True if the log holds no uncommitted change of the voters. */
#define CHANGES_COMMITTED(s)                                                                                 \
  ((commit[s] > 0 || length[s] < 1 || VOTERS (LOG (s, 0)) == 0)                                              \
   && (commit[s] > 1 || length[s] < 2 || VOTERS (LOG (s, 1)) == 0))

/* A leader changes the voters only after it has committed an entry of its own term and all earlier changes. */
#ifdef NO_ONE_CHANGE
#define CAN_CHANGE(s) (role[s] == LEADER && length[s] < LENGTH && changes < CHANGES)
#else
#define CAN_CHANGE(s)                                                                                        \
  (role[s] == LEADER && length[s] < LENGTH && changes < CHANGES && commit[s] > 0 && CHANGES_COMMITTED (s))
#endif

/* The leader may remove the original id of another slot, unless that leaves no voter. From three voters or two it removes only
 * one whose disk is lost: one of the others may become a quorum, which a removed one that can still vote does not know. */
#ifdef NO_KEEP_VOTERS
#define MAY_SHRINK(s, id) true
#else
#define MAY_SHRINK(s, id) (has_new_id[id] || COUNT (LATEST_VOTERS (s)) > 3)
#endif
#define CAN_REMOVE(s, id)                                                                                    \
  (CAN_CHANGE (s) && (LATEST_VOTERS (s) & (1 << (id))) != 0 && COUNT (LATEST_VOTERS (s)) > 1 && MAY_SHRINK (s, id))

/* The leader may add a replica that has acknowledged all committed entries. */
#define CAN_ADD(s, f)                                                                                        \
  (CAN_CHANGE (s) && (LATEST_VOTERS (s) & BIT (f)) == 0 && commit[s] > 0 && (ACKS (s, commit[s] - 1) & BIT (f)) != 0)

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

/* True if enough of the committed voters keep their disks when the slot loses its own. */
#define MAY_LOSE_DISK(s) (2 * COUNT (committed_voters & ~(LOST_IDS | (1 << (s)))) >= COUNT (committed_voters))

inline lose_disk(s)
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
  has_new_id[s] = 1;
#endif
}

#define STEPS_WITH(s, f)                                                                                     \
  ::d_step { CAN_VOTE (s, f) -> grant_vote(s, f) }                                                           \
  ::d_step { CAN_REPLICATE (s, f, 1) -> replicate(s, f, 1) }                                                 \
  ::d_step { LENGTH > 1 && CAN_REPLICATE (s, f, 2) -> replicate(s, f, 2) }                                   \
  ::d_step { LENGTH > 2 && CAN_REPLICATE (s, f, 3) -> replicate(s, f, 3) }                                   \
  ::d_step { CAN_REMOVE (s, f) -> new_voters = LATEST_VOTERS (s) & ~(1 << (f)); change_voters(s) }           \
  ::d_step { CAN_ADD (s, f) -> new_voters = LATEST_VOTERS (s) | BIT (f); change_voters(s) }

#define STEPS(s, f, g)                                                                                       \
  ::d_step { CAN_CAMPAIGN (s) -> campaign(s) }                                                               \
  ::d_step { role[s] == CANDIDATE && QUORUM (granted_by[s], s) -> become_leader(s) }         \
  ::d_step { role[s] == LEADER && length[s] < LENGTH -> append(s, 0) }                                       \
  ::d_step { CAN_COMMIT (s, 1) -> commit_entries(s, 1) }                                                     \
  ::d_step { LENGTH > 1 && CAN_COMMIT (s, 2) -> commit_entries(s, 2) }                                       \
  ::d_step { LENGTH > 2 && CAN_COMMIT (s, 3) -> commit_entries(s, 3) }                                       \
  ::d_step { crashes < CRASHES -> crash(s) }                                                                 \
  ::d_step { losses < LOSSES && !has_new_id[s] && MAY_LOSE_DISK (s) -> lose_disk(s) }                    \
  STEPS_WITH (s, f)                                                                                          \
  STEPS_WITH (s, g)

active proctype cluster ()
{
  do
  STEPS (0, 1, 2)
  STEPS (1, 0, 2)
  STEPS (2, 0, 1)
  od
}
