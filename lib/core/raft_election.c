#include "core/raft_private.h"

enum
{
  VOTES_INTERVAL_US = 100000, /* between requests for the same vote */
  /* The same for the first pre-vote after a start, when connections are still being made: they take up to 50
   * ms if the other replica starts later. */
  FIRST_VOTES_INTERVAL_US = 20000,
  FIRST_VOTES_US = 500000, /* after the start */
};

static void
set_term (oh_raft_t *raft, uint64_t term, uint64_t voted_for)
{
  raft->hard.term = term;
  raft->hard.voted_for = voted_for;
  raft->dirty_hard = true;
}

static void
clear_votes (oh_raft_t *raft)
{
  for (unsigned i = 0; i < raft->peers->len; i++)
    g_array_index (raft->peers, oh_raft_peer_t, i).vote_granted = false;
}

static bool
has_granted_vote (const oh_raft_t *raft, uint64_t id)
{
  const oh_raft_peer_t *peer = oh_raft_find_peer (raft, id);

  return peer != NULL && peer->vote_granted;
}

/* A voter that starts cut off from the others goes on at the ordinary rate. */
static bool
is_first_election (const oh_raft_t *raft)
{
  return !raft->first_election_done && raft->now_us - raft->started_us < FIRST_VOTES_US;
}

/* Requests votes from the voters that have not granted theirs in this round. */
static void
request_votes (oh_raft_t *raft)
{
  raft->votes_due_us
    = raft->now_us + (is_first_election (raft) ? FIRST_VOTES_INTERVAL_US : VOTES_INTERVAL_US);
  for (unsigned i = 0; i < raft->replicas->len; i++)
    {
      const oh_raft_replica_t *replica = raft->replicas->pdata[i];
      Oh__VoteRequest request = OH__VOTE_REQUEST__INIT;

      if (!oh_raft_counts_as_voter (raft, replica->id) || replica->id == raft->self->id
          || has_granted_vote (raft, replica->id))
        continue;
      request.pre = raft->pre_vote;
      request.last_index = oh_raft_log_last_index (&raft->log);
      request.last_term = oh_raft_log_last_term (&raft->log);
      if (raft->pre_vote)
        {
          Oh__RaftMessage message = OH__RAFT_MESSAGE__INIT;

          message.body_case = OH__RAFT_MESSAGE__BODY_VOTE_REQUEST;
          message.vote_request = &request;
          oh_raft_send (raft, replica, raft->hard.term + 1, &message);
        }
      else
        oh_raft_send_after_sync (
          raft, &(oh_raft_pending_message_t){
                  .to = oh_raft_replica_new (replica->name, replica->id, replica->endpoint, replica->role),
                  .kind = OH__RAFT_MESSAGE__BODY_VOTE_REQUEST,
                  .vote_request = request,
                });
    }
}

static void
start_election (oh_raft_t *raft)
{
  raft->pre_vote = false;
  raft->first_election_done = true;
  set_term (raft, raft->hard.term + 1, raft->self->id);
  raft->own_vote_persist_id = raft->persist_id + 1;
  clear_votes (raft);
  oh_raft_reset_election_timer (raft);
  oh_raft_log_line (raft, "raft-candidate", "last=%" PRIu64, oh_raft_log_last_index (&raft->log));
  request_votes (raft);
}

/* 1 if the voter granted its vote in this round. */
static int64_t
granted_vote (const oh_raft_t *raft, uint64_t id)
{
  /* This replica's own vote counts once it is durable: after a crash it must not vote again in the term. */
  if (id == raft->self->id)
    return raft->pre_vote || raft->own_vote_persist_id <= raft->synced_id;
  return has_granted_vote (raft, id);
}

static void
count_votes (oh_raft_t *raft)
{
  if (oh_raft_quorum_value (raft, granted_vote) == 0)
    return;
  if (raft->pre_vote)
    start_election (raft);
  else
    oh_raft_become_leader (raft);
}

static void
start_pre_vote (oh_raft_t *raft)
{
  raft->role = OH_RAFT_CANDIDATE;
  raft->pre_vote = true;
  oh_raft_set_leader (raft, NULL);
  clear_votes (raft);
  oh_raft_reset_election_timer (raft);
  request_votes (raft);
  count_votes (raft);
}

/* Number of voters before this replica in the order of the set, which all replicas share, and of all voters.
 */
static void
find_rank (const oh_raft_t *raft, unsigned *rank, unsigned *voters)
{
  *rank = 0;
  *voters = 0;
  for (unsigned i = 0; i < raft->replicas->len; i++)
    {
      const oh_raft_replica_t *replica = raft->replicas->pdata[i];

      if (replica->id == raft->self->id)
        *rank = *voters;
      *voters += replica->role == OH__REPLICA_ROLE__REPLICA_VOTER;
    }
}

/*
 * The range is divided into one part per voter. The first timeout of a voter is random in the first half of
 * the part of its rank. With timeouts from the whole range, all three voters sometimes became candidates
 * together after a restart of all replicas, and none won.
 */
static int64_t
first_election_timeout_us (const oh_raft_t *raft)
{
  const int64_t range_us = OH_RAFT_FIRST_ELECTION_MAX_US - OH_RAFT_FIRST_ELECTION_MIN_US;
  unsigned rank;
  unsigned voters;
  int64_t part_us;

  find_rank (raft, &rank, &voters);
  part_us = range_us / MAX (voters, 1);
  return OH_RAFT_FIRST_ELECTION_MIN_US + rank * part_us
         + (int64_t)oh_random_below (raft->random, (uint64_t)part_us / 2 + 1);
}

void
oh_raft_reset_election_timer (oh_raft_t *raft)
{
  const int64_t range_us = OH_RAFT_ELECTION_MAX_US - OH_RAFT_ELECTION_MIN_US;

  if (!raft->first_election_done && oh_raft_is_voter (raft, raft->self->id))
    raft->election_due_us = raft->now_us + first_election_timeout_us (raft);
  else
    raft->election_due_us = raft->now_us + OH_RAFT_ELECTION_MIN_US
                            + (int64_t)oh_random_below (raft->random, (uint64_t)range_us + 1);
}

void
oh_raft_become_follower (oh_raft_t *raft, uint64_t term)
{
  if (raft->role == OH_RAFT_LEADER)
    oh_raft_log_line (raft, "raft-step-down", "new_term=%" PRIu64, term);
  if (raft->role == OH_RAFT_LEADER || raft->role == OH_RAFT_CANDIDATE)
    oh_raft_reset_election_timer (raft);
  if (term > raft->hard.term)
    {
      set_term (raft, term, 0);
      oh_raft_set_leader (raft, NULL);
    }
  else if (raft->role == OH_RAFT_LEADER)
    oh_raft_set_leader (raft, NULL);
  if (raft->role != OH_RAFT_FAILED)
    raft->role = OH_RAFT_FOLLOWER;
}

void
oh_raft_election_tick (oh_raft_t *raft)
{
  if (raft->now_us < raft->election_due_us)
    {
      /* The requests or the replies may have been lost, for instance before the connections were made. */
      if (raft->role == OH_RAFT_CANDIDATE && raft->now_us >= raft->votes_due_us)
        request_votes (raft);
      return;
    }
  oh_raft_set_leader (raft, NULL);
  /* Also a former voter whose removal is not known to be committed: its log may be the only one complete
   * enough to win an election. */
  if (oh_raft_counts_as_voter (raft, raft->self->id) && !raft->storage_full)
    start_pre_vote (raft);
  else
    oh_raft_reset_election_timer (raft);
}

void
oh_raft_recount_votes (oh_raft_t *raft)
{
  if (raft->role == OH_RAFT_CANDIDATE)
    count_votes (raft);
}

bool
oh_raft_has_live_leader (const oh_raft_t *raft)
{
  if (raft->role == OH_RAFT_LEADER)
    return true;
  return raft->leader != NULL && raft->now_us - raft->leader_contact_us < OH_RAFT_ELECTION_MIN_US;
}

static bool
log_is_up_to_date (const oh_raft_t *raft, const Oh__VoteRequest *request)
{
  const uint64_t last_term = oh_raft_log_last_term (&raft->log);

  if (request->last_term != last_term)
    return request->last_term > last_term;
  return request->last_index >= oh_raft_log_last_index (&raft->log);
}

static void
reply_pre_vote (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  Oh__RaftMessage reply_message = OH__RAFT_MESSAGE__INIT;
  Oh__VoteReply reply = OH__VOTE_REPLY__INIT;
  oh_raft_replica_t *to = oh_raft_sender_new (message);

  reply.pre = true;
  reply.granted = message->term > raft->hard.term && !oh_raft_has_live_leader (raft) && !raft->storage_full
                  && log_is_up_to_date (raft, message->vote_request);
  reply_message.body_case = OH__RAFT_MESSAGE__BODY_VOTE_REPLY;
  reply_message.vote_reply = &reply;
  oh_raft_send (raft, to, reply.granted ? message->term : raft->hard.term, &reply_message);
  oh_raft_replica_free (to);
}

void
oh_raft_on_vote_request (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const Oh__VoteRequest *request = message->vote_request;
  Oh__VoteReply reply = OH__VOTE_REPLY__INIT;

  if (request->pre)
    {
      reply_pre_vote (raft, message);
      return;
    }
  /* While it has contact with a leader, a replica ignores candidates; removed replicas may be among them. */
  if (message->term > raft->hard.term && oh_raft_has_live_leader (raft))
    return;
  if (message->term > raft->hard.term)
    oh_raft_become_follower (raft, message->term);
  reply.granted = message->term == raft->hard.term && !raft->storage_full
                  && (raft->hard.voted_for == 0 || raft->hard.voted_for == message->from)
                  && log_is_up_to_date (raft, request);
  if (reply.granted)
    {
      if (raft->role == OH_RAFT_CANDIDATE && raft->pre_vote)
        raft->role = OH_RAFT_FOLLOWER;
      if (raft->hard.voted_for == 0)
        set_term (raft, message->term, message->from);
      oh_raft_reset_election_timer (raft);
    }
  oh_raft_send_after_sync (raft, &(oh_raft_pending_message_t){
                                   .to = oh_raft_sender_new (message),
                                   .kind = OH__RAFT_MESSAGE__BODY_VOTE_REPLY,
                                   .vote_reply = reply,
                                 });
}

void
oh_raft_on_vote_reply (oh_raft_t *raft, const Oh__RaftMessage *message)
{
  const Oh__VoteReply *reply = message->vote_reply;
  const uint64_t expected = raft->pre_vote ? raft->hard.term + 1 : raft->hard.term;
  oh_raft_peer_t *peer = oh_raft_find_peer (raft, message->from);

  if (message->term > raft->hard.term && !(reply->pre && reply->granted))
    {
      oh_raft_become_follower (raft, message->term);
      return;
    }
  if (raft->role != OH_RAFT_CANDIDATE || reply->pre != raft->pre_vote || message->term != expected)
    return;
  if (!reply->granted || peer == NULL)
    return;
  peer->vote_granted = true;
  count_votes (raft);
}
