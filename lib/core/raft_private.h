#pragma once

#include <inttypes.h>

#include "core/raft.h"

/* Functions that the raft files share. */

/* raft.c */
void oh_raft_log_line (oh_raft_t *raft, const char *event, const char *format, ...) G_GNUC_PRINTF (3, 4);
bool oh_raft_is_voter (const oh_raft_t *raft, uint64_t id);
oh_raft_peer_t *oh_raft_find_peer (oh_raft_t *raft, uint64_t id);

/* Sends now. Fills in cluster, sender, receiver and term. */
void oh_raft_send (oh_raft_t *raft, const oh_raft_replica_t *to, uint64_t term, Oh__RaftMessage *message);

/* Replica to answer to; free with oh_raft_replica_free. */
oh_raft_replica_t *oh_raft_sender_new (const Oh__RaftMessage *message);

void oh_raft_append_entry (oh_raft_t *raft, oh_entry_t *entry);
void oh_raft_truncate (oh_raft_t *raft, uint64_t index);

/* Takes the latest replica set from the log. */
void oh_raft_load_replicas (oh_raft_t *raft);

void oh_raft_set_leader (oh_raft_t *raft, oh_raft_replica_t *leader);
void oh_raft_apply_committed (oh_raft_t *raft);
void oh_raft_set_cluster (oh_raft_t *raft, uint64_t cluster);

/* raft_persist.c */

/* Last index that is durable here. */
uint64_t oh_raft_durable_index (const oh_raft_t *raft);

/* Sends once everything changed so far is durable; now, if it is already. Takes over pending->to. */
void oh_raft_send_after_sync (oh_raft_t *raft, const oh_raft_pending_message_t *pending);

void oh_raft_pending_message_free (void *pending);

/* Issues a request for what has changed, unless one is outstanding. */
void oh_raft_issue_persist (oh_raft_t *raft);
void oh_raft_on_synced (oh_raft_t *raft, uint64_t id);
void oh_raft_on_storage_failed (oh_raft_t *raft, uint64_t id, bool full);

/* raft_election.c */
void oh_raft_reset_election_timer (oh_raft_t *raft);
void oh_raft_become_follower (oh_raft_t *raft, uint64_t term);
void oh_raft_election_tick (oh_raft_t *raft);
void oh_raft_election_synced (oh_raft_t *raft);

/* True if a leader was heard from so recently that votes for others are refused. */
bool oh_raft_has_live_leader (const oh_raft_t *raft);
void oh_raft_on_vote_request (oh_raft_t *raft, const Oh__RaftMessage *message);
void oh_raft_on_vote_reply (oh_raft_t *raft, const Oh__RaftMessage *message);

/* raft_replication.c */
void oh_raft_become_leader (oh_raft_t *raft);
void oh_raft_leader_tick (oh_raft_t *raft);
void oh_raft_broadcast (oh_raft_t *raft);
void oh_raft_advance_commit (oh_raft_t *raft);

/* The peer that answers the leader; NULL if the answer is to be ignored. Notes the contact and newer terms.
 */
oh_raft_peer_t *oh_raft_accept_reply (oh_raft_t *raft, const Oh__RaftMessage *message, int64_t sent_us);

/* Follows the sender, whose term is not older; false if this replica leads the same term. */
bool oh_raft_accept_leader (oh_raft_t *raft, const Oh__RaftMessage *message);

/* Leader: when a quorum was last in contact. */
int64_t oh_raft_quorum_contact_us (const oh_raft_t *raft, int64_t now_us);
void oh_raft_on_append_request (oh_raft_t *raft, const Oh__RaftMessage *message);
void oh_raft_on_append_reply (oh_raft_t *raft, const Oh__RaftMessage *message);

/* raft_snapshot.c */
void oh_raft_send_snapshot (oh_raft_t *raft, const oh_raft_replica_t *to, oh_raft_peer_t *peer);
void oh_raft_on_snapshot_request (oh_raft_t *raft, const Oh__RaftMessage *message);
void oh_raft_on_snapshot_reply (oh_raft_t *raft, const Oh__RaftMessage *message);
void oh_raft_on_snapshot_ready (oh_raft_t *raft, uint64_t index, GBytes *data);

/* raft_membership.c */
void oh_raft_hello_tick (oh_raft_t *raft);
void oh_raft_on_hello (oh_raft_t *raft, const Oh__RaftMessage *message);
void oh_raft_on_hello_reply (oh_raft_t *raft, const Oh__RaftMessage *message);
oh_raft_proposal_result_t oh_raft_add_replica (oh_raft_t *raft, const char *name, const char *endpoint);
oh_raft_proposal_result_t oh_raft_remove_replica (oh_raft_t *raft, const char *name);

/* Leader: takes the next step for learners that have caught up. */
void oh_raft_adjust_voters (oh_raft_t *raft);

/* An unformed cluster of one replica, and one whose Hello messages agree, is formed here. */
/* A replica without a cluster learns of one from any message of a member. */
void oh_raft_add_known_sender (oh_raft_t *raft, const Oh__RaftMessage *message);
void oh_raft_add_seeds (oh_raft_t *raft, const oh_raft_replica_t *seeds, size_t n_seeds);

/* Makes this replica the only voter of a new cluster. */
void oh_raft_bootstrap (oh_raft_t *raft);
void oh_raft_try_form_cluster (oh_raft_t *raft);
