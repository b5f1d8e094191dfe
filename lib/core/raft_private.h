#pragma once

#include <inttypes.h>

#include "core/raft.h"

/* Functions shared by the raft*.c files. */

/* raft.c */

/* Prefixes the pairs with the name, id and term of this replica. */
void oh_raft_log_line (oh_raft_t *raft, const char *event, const char *format, ...) G_GNUC_PRINTF (3, 4);

/* True if the replica is a voter of the latest set in the log. */
bool oh_raft_is_voter (const oh_raft_t *raft, uint64_t id);

/* NULL if absent. Borrowed; valid until the replica set changes. */
oh_raft_peer_t *oh_raft_find_peer (const oh_raft_t *raft, uint64_t id);

/* Fills in cluster, sender, receiver and term, and sends without waiting for a sync. */
void oh_raft_send (oh_raft_t *raft, const oh_raft_replica_t *to, uint64_t term, Oh__RaftMessage *message);

/* The sender as a replica to reply to; free with oh_raft_replica_free. */
oh_raft_replica_t *oh_raft_sender_new (const Oh__RaftMessage *message);

/* Takes ownership of the entry. */
void oh_raft_append_entry (oh_raft_t *raft, oh_entry_t *entry);

/* Removes the entries from index on, which must not be committed. */
void oh_raft_truncate (oh_raft_t *raft, uint64_t index);

/* Sets the replicas and peers from the latest set in the log. */
void oh_raft_load_replicas (oh_raft_t *raft);

/* Takes ownership of leader; NULL: not known. */
void oh_raft_set_leader (oh_raft_t *raft, oh_raft_replica_t *leader);

/* Applies what is committed and durable, and asks for a snapshot if one is due. */
void oh_raft_apply_committed (oh_raft_t *raft);

/* Makes this replica a follower in the cluster. */
void oh_raft_set_cluster (oh_raft_t *raft, uint64_t cluster);

/* raft_persist.c */

/* Last index of the log that is durable on this replica. */
uint64_t oh_raft_durable_index (const oh_raft_t *raft);

/* Sends as soon as all state changed so far is durable. Takes ownership of pending->to. */
void oh_raft_send_after_sync (oh_raft_t *raft, const oh_raft_pending_message_t *pending);

void oh_raft_pending_message_free (void *pending);

/* Issues a persist request for the changed state, unless one is outstanding or the retry delay of a full disk
 * is not over. */
void oh_raft_issue_persist (oh_raft_t *raft);
void oh_raft_on_synced (oh_raft_t *raft, uint64_t id);
void oh_raft_on_storage_failed (oh_raft_t *raft, uint64_t id, bool full);

/* raft_quorum.c */

/* True if the replica is a voter of the latest set or, unless that is known to be committed, of the one
 * before. */
bool oh_raft_counts_as_voter (const oh_raft_t *raft, uint64_t id);

/* True if the latest set has more voters than the one before, which had two. */
bool oh_raft_is_growth_of_two (const oh_raft_t *raft);

/* True while all decisions need a quorum of the set before the latest one, too. */
bool oh_raft_needs_previous_set (const oh_raft_t *raft);

/* The greatest value that a quorum of the voters has reached; 0 without voters. value returns that of the
 * voter with the given id. */
int64_t oh_raft_quorum_value (const oh_raft_t *raft, int64_t (*value) (const oh_raft_t *raft, uint64_t id));

/* Records that a replica of the set has lost its disk. Ignored for other ids. Returns true if that is new. */
bool oh_raft_add_lost_disk (oh_raft_t *raft, uint64_t id);

/* Forgets lost disks that are not in the set any more. */
void oh_raft_prune_lost_disks (oh_raft_t *raft);

/* raft_election.c */
void oh_raft_reset_election_timer (oh_raft_t *raft);

/* Follower in the given term, which is not older than the present one. */
void oh_raft_become_follower (oh_raft_t *raft, uint64_t term);

/* Starts an election if the election timer is due. */
void oh_raft_election_tick (oh_raft_t *raft);

/* Counts the votes again, since this replica's own vote may be durable now, or a voter's disk is known to be
 * lost. */
void oh_raft_recount_votes (oh_raft_t *raft);

/* True if there was contact with a leader so recently that votes for other candidates are refused. */
bool oh_raft_has_live_leader (const oh_raft_t *raft);
void oh_raft_on_vote_request (oh_raft_t *raft, const Oh__RaftMessage *message);
void oh_raft_on_vote_reply (oh_raft_t *raft, const Oh__RaftMessage *message);

/* raft_replication.c */
void oh_raft_become_leader (oh_raft_t *raft);

/* Sends heartbeats when due; steps down if no quorum was in contact for OH_RAFT_ELECTION_MAX_US. */
void oh_raft_leader_tick (oh_raft_t *raft);

/* Sends an append to each peer that owes no reply. */
void oh_raft_broadcast (oh_raft_t *raft);

/* Commits what a quorum holds, if it ends with an entry of this term. */
void oh_raft_advance_commit (oh_raft_t *raft);

/* Checks a reply to a request that the leader sent at sent_us and records the contact; steps down on a newer
 * term. Returns the replying peer, NULL if the reply is to be ignored. */
oh_raft_peer_t *oh_raft_accept_reply (oh_raft_t *raft, const Oh__RaftMessage *message, int64_t sent_us);

/* Follows the sender as the leader of its term, which is not older than the present one; false if this
 * replica itself leads that term. */
bool oh_raft_accept_leader (oh_raft_t *raft, const Oh__RaftMessage *message);

/* Leader: when a quorum of the voters, this replica included if it is one, was last in contact. */
int64_t oh_raft_quorum_contact_us (const oh_raft_t *raft, int64_t now_us);
void oh_raft_on_append_request (oh_raft_t *raft, const Oh__RaftMessage *message);
void oh_raft_on_append_reply (oh_raft_t *raft, const Oh__RaftMessage *message);

/* raft_snapshot.c */

/* Sends the chunk at peer->snapshot_offset. */
void oh_raft_send_snapshot (oh_raft_t *raft, const oh_raft_replica_t *to, oh_raft_peer_t *peer);
void oh_raft_on_snapshot_request (oh_raft_t *raft, const Oh__RaftMessage *message);
void oh_raft_on_snapshot_reply (oh_raft_t *raft, const Oh__RaftMessage *message);
void oh_raft_on_snapshot_ready (oh_raft_t *raft, uint64_t index, GBytes *data);

/* raft_membership.c */

/* Sends Hello messages if they are due. */
void oh_raft_hello_tick (oh_raft_t *raft);
void oh_raft_on_hello (oh_raft_t *raft, const Oh__RaftMessage *message);
void oh_raft_on_hello_reply (oh_raft_t *raft, const Oh__RaftMessage *message);
oh_raft_proposal_result_t oh_raft_add_replica (oh_raft_t *raft, const char *name, const char *endpoint);
oh_raft_proposal_result_t oh_raft_remove_replica (oh_raft_t *raft, const char *name);

/* OH_RAFT_PROPOSED if a membership change may be appended now, otherwise the reason. */
oh_raft_proposal_result_t oh_raft_check_change (const oh_raft_t *raft);

/* Appends a new set. Takes ownership of replicas. */
void oh_raft_append_replica_set (oh_raft_t *raft, GPtrArray *replicas);

/* Leader: true if the replica was in contact within OH_RAFT_CONFIRMED_US. */
bool oh_raft_in_contact (oh_raft_t *raft, uint64_t id);

/* Leader: time since the last contact with the replica. */
int64_t oh_raft_contact_age_us (oh_raft_t *raft, uint64_t id);

/* With target_voters: if this replica has no cluster and the sender does, adds the sender to known_replicas.
 */
void oh_raft_add_known_sender (oh_raft_t *raft, const Oh__RaftMessage *message);

/* Adds the seeds to known_replicas; in a full list each replaces another replica. */
void oh_raft_add_seeds (oh_raft_t *raft, const oh_raft_replica_t *seeds, size_t n_seeds);

/* Makes this replica the only voter of a new cluster. */
void oh_raft_bootstrap (oh_raft_t *raft);

/* Forms the cluster of the initial set once all of its replicas agree on their ids. */
void oh_raft_try_form_cluster (oh_raft_t *raft);

/* raft_voters.c */

/* Leader: appends at most one change of the set, if one is due: removes the voter that a caught-up learner of
 * its name replaces, promotes a caught-up learner, or demotes a lost voter. */
void oh_raft_adjust_voters (oh_raft_t *raft);

/* raft_zone_drain.c */

/* Computes the digest of the set and removes the records of replicas that are no longer in it. */
void oh_raft_update_zone_drain_set (oh_raft_t *raft);

/* Leader: records whether a replica reports that it understands drains of zones. */
void oh_raft_record_zone_drain (oh_raft_t *raft, uint64_t id, bool understood);

/* Leader: adds to a request which replicas of the set understand drains of zones. */
void oh_raft_fill_zone_drain (const oh_raft_t *raft, Oh__AppendRequest *request);

/* Follower: adopts the leader's record of the replicas, if the leader has the same set. */
void oh_raft_adopt_zone_drain (oh_raft_t *raft, const Oh__AppendRequest *request);
