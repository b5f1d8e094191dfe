/*
 * What an acknowledged change survives while the leader changes the voters: first start, a disk that is lost and its machine
 * that joins again, a planned replacement, and a removal without notice. It complements agreement.pml, in which disks are
 * lost only while the voters are three replicas with their disks. A change of the voters is one step here, as agreement.pml
 * checks how the replicas agree on it.
 *
 * The deployment tolerates one lost disk at a time. Machines that are down with their disks only suspend the service,
 * however many they are. A lost disk counts until its machine, or the successor of a removed one, has been there for the
 * repair time, within which the leader makes the changes that it can make: a machine settles only while none is due. A
 * machine that is stopped for good does not count if its successor has settled before.
 *
 * Property, as an assertion: once a change is acknowledged, more than half of the voters have their disks, or one of two if the
 * machine of the other comes back without its disk, so that a leader that holds the change can be elected once all machines
 * are back.
 *
 * Each of these defines removes a guard, so that the assertion must fail:
 *   NO_SECOND_VOTER   changes are acknowledged by the only voter of the first start
 *   NO_ONE_OF_TWO     of two voters, one is no quorum although the disk of the other is lost
 *   NO_HANDOVER       a machine that is stopped for good ends although it is a voter and a learner could take its place
 *   NO_PROMOTE_FIRST  a lost voter is demoted before the learner that takes its place is promoted
 *
 * Not covered: a machine that is stopped for good while no quorum is up ends as a voter, after a limited time; and one that is
 * removed without notice before the first start has made three voters.
 *
 * run none LOSSES=2 DOWNS=2
 * run SECOND_VOTER LOSSES=1 DOWNS=0
 * run ONE_OF_TWO LOSSES=1 DOWNS=0
 * run HANDOVER LOSSES=1 DOWNS=0
 * run PROMOTE_FIRST LOSSES=1 DOWNS=1
 */

#ifndef LOSSES
#define LOSSES 1 /* disks lost, removals without notice included */
#endif
#ifndef DOWNS
#define DOWNS 1 /* times that a machine goes down with its disk */
#endif

#define MACHINES 5 /* three of the first start, then two successors */
#define TARGET 3   /* voters */

#define ABSENT 0 /* not there yet, or removed for good */
#define DOWN 1   /* down or out of contact */
#define UP 2

byte state[MACHINES];
bit voter[MACHINES];     /* with its present disk, or the disk that it had when it was removed */
bit former[MACHINES];    /* a lost disk of the machine is still that of a voter */
bit disk_lost[MACHINES]; /* counts as a lost disk */
bit leaving[MACHINES];   /* is being stopped for good */
bit acknowledged;
bit full_set;            /* there have been TARGET voters */
byte added = TARGET;     /* machines so far; the next one has this number */
byte losses;
byte downs;

#define SUM(x) (x[0] + x[1] + x[2] + x[3] + x[4])
#define VOTERS (SUM (voter) + SUM (former))
#define VOTES(m) (voter[m] && state[m] == UP)
#define VOTES_UP (VOTES (0) + VOTES (1) + VOTES (2) + VOTES (3) + VOTES (4))
#define KEEPS(m) (voter[m] && state[m] != ABSENT)
#define DISKS (KEEPS (0) + KEEPS (1) + KEEPS (2) + KEEPS (3) + KEEPS (4))
#define QUORUM_UP (2 * VOTES_UP > VOTERS || (VOTERS == 2 && VOTES_UP == 1 && SUM (former) == 1))

/* A voter that another replica should replace. */
#define LOST(m) (voter[m] && (state[m] != UP || leaving[m]))
#define ANY_LOST (SUM (former) > 0 || LOST (0) || LOST (1) || LOST (2) || LOST (3) || LOST (4))
/* A learner that holds the whole log. */
#define SPARE(m) (state[m] == UP && !voter[m] && !leaving[m])
#define FREE(m) (SPARE (m) && !former[m])
#define ANY_SPARE (SPARE (0) || SPARE (1) || SPARE (2) || SPARE (3) || SPARE (4))

#ifdef NO_PROMOTE_FIRST
#define CAN_PROMOTE(m) (FREE (m) && VOTERS < TARGET)
#define CAN_DEMOTE(m) (LOST (m) && (VOTERS > TARGET || (VOTERS == TARGET && ANY_SPARE)))
#else
#define CAN_PROMOTE(m) (FREE (m) && (VOTERS < TARGET || (VOTERS == TARGET && ANY_LOST)))
#define CAN_DEMOTE(m) (LOST (m) && VOTERS > TARGET)
#endif
/* The former replica of a machine whose new one has joined is removed, and the new one is promoted after that. */
#define CAN_DROP_FORMER(m) (former[m] && (VOTERS > TARGET || (SPARE (m) && VOTERS > 1)))

#define DUE(m) (CAN_PROMOTE (m) || CAN_DEMOTE (m) || CAN_DROP_FORMER (m))
#define CHANGE_DUE (QUORUM_UP && (DUE (0) || DUE (1) || DUE (2) || DUE (3) || DUE (4)))

#ifdef NO_SECOND_VOTER
#define MAY_ACKNOWLEDGE QUORUM_UP
#else
#define MAY_ACKNOWLEDGE (QUORUM_UP && VOTERS >= 2)
#endif

#ifdef NO_ONE_OF_TWO
#define RECOVERABLE (2 * DISKS > VOTERS)
#else
#define RECOVERABLE (2 * DISKS > VOTERS || (VOTERS == 2 && DISKS == 1 && SUM (former) == 1))
#endif

#ifdef NO_HANDOVER
#define MAY_END(m) leaving[m]
#else
#define MAY_END(m) (leaving[m] && !voter[m])
#endif

inline check ()
{
  assert (!acknowledged || RECOVERABLE)
}

inline lose_disk (m)
{
  losses++;
  state[m] = DOWN;
  disk_lost[m] = 1;
  if
  :: voter[m] -> voter[m] = 0; former[m] = 1
  :: else
  fi;
  check ()
}

/* The disk counts until the successor, which comes later, has settled. */
inline remove_without_notice (m)
{
  losses++;
  state[m] = ABSENT;
  disk_lost[m] = 1;
  check ()
}

inline add_machine ()
{
  state[added] = UP;
  disk_lost[added] = SUM (disk_lost) > 0;
  added++
}

/* With the successor of a removed machine, that machine ceases to count, too. */
inline settle (m)
{
  disk_lost[0] = disk_lost[0] && state[0] != ABSENT;
  disk_lost[1] = disk_lost[1] && state[1] != ABSENT;
  disk_lost[2] = disk_lost[2] && state[2] != ABSENT;
  disk_lost[3] = disk_lost[3] && state[3] != ABSENT;
  disk_lost[4] = disk_lost[4] && state[4] != ABSENT;
  disk_lost[m] = 0
}

#define NONE_COUNTS (SUM (disk_lost) == 0)
/* A successor that has settled and is no voter yet. */
#define SUCCESSOR_READY ((SPARE (3) && !disk_lost[3]) || (SPARE (4) && !disk_lost[4]))
#define NONE_LEAVING (SUM (leaving) == 0)

#define STEPS(m)                                                                                             \
  ::d_step { QUORUM_UP && CAN_PROMOTE (m) -> voter[m] = 1; full_set = full_set || VOTERS >= TARGET; check () } \
  ::d_step { QUORUM_UP && CAN_DEMOTE (m) -> voter[m] = 0; check () }                                         \
  ::d_step { QUORUM_UP && CAN_DROP_FORMER (m) -> former[m] = 0; check () }                                   \
  ::d_step { state[m] == UP && downs < DOWNS && !leaving[m] -> state[m] = DOWN; downs++ }                    \
  ::d_step { state[m] == DOWN -> state[m] = UP }                                                             \
  ::d_step { state[m] != ABSENT && NONE_COUNTS && losses < LOSSES && !leaving[m] -> lose_disk (m) }          \
  ::d_step { state[m] == UP && NONE_COUNTS && losses < LOSSES && added < MACHINES && NONE_LEAVING && full_set \
             -> remove_without_notice (m) }                                                                  \
  ::d_step { state[m] == UP && disk_lost[m] && QUORUM_UP && !CHANGE_DUE -> settle (m) }                      \
  ::d_step { state[m] == UP && NONE_COUNTS && NONE_LEAVING && m < 3 && SUCCESSOR_READY -> leaving[m] = 1 }   \
  ::d_step { state[m] == UP && MAY_END (m) -> state[m] = ABSENT; leaving[m] = 0; check () }

active proctype deployment ()
{
  d_step {
    state[0] = UP;
    state[1] = UP;
    state[2] = UP;
    voter[0] = 1
  }
  do
  ::d_step { !acknowledged && MAY_ACKNOWLEDGE -> acknowledged = 1; check () }
  ::d_step { added < MACHINES && full_set -> add_machine () }
  STEPS (0)
  STEPS (1)
  STEPS (2)
  STEPS (3)
  STEPS (4)
  od
}
