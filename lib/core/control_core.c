#include "core/control_core.h"

#include <string.h>

#include "core/control_core_private.h"
#include "core/control_views.h"

typedef enum
{
  PENDING_REPLICA_SET, /* the replica set entry is not committed yet */
  PENDING_QUEUED,      /* the replica set entry is committed; the command is proposed after the event */
  PENDING_COMMAND,     /* the command is not committed yet */
} pending_stage_t;

typedef struct
{
  uint64_t tag; /* of the Raft proposal */
  pending_stage_t stage;
  Oh__Change *change; /* owned */
  GBytes *route;      /* return path for the reply */
  uint64_t index;     /* of the log entry; 0: not appended yet */
  uint64_t term;
  const char *detail; /* static; replaces the detail of the result in the reply; may be NULL */
} pending_t;

static oh_control_core_t *
core_of (oh_raft_sink_t *sink)
{
  return (oh_control_core_t *)sink;
}

void
oh_control_log_event (const oh_control_core_t *core, const char *event, const char *format, ...)
{
  g_autofree char *details = NULL;
  g_autofree char *pairs = NULL;
  va_list args;

  va_start (args, format);
  details = g_strdup_vprintf (format, args);
  va_end (args);
  pairs = g_strdup_printf ("replica=%s %s", core->name, details);
  core->sink->ops->log (core->sink, event, pairs);
}

static void
fail (oh_control_core_t *core, const char *reason)
{
  if (core->has_failed)
    return;
  core->has_failed = true;
  core->sink->ops->failed (core->sink, reason);
}

static void
free_pending (gpointer data)
{
  pending_t *pending = data;

  oh__change__free_unpacked (pending->change, NULL);
  g_bytes_unref (pending->route);
  g_free (pending);
}

static GBytes *
encode_change (const Oh__Change *change)
{
  const size_t size = oh__change__get_packed_size (change);
  uint8_t *bytes = g_malloc (size);

  oh__change__pack (change, bytes);
  return g_bytes_new_take (bytes, size);
}

static Oh__Change *
copy_change (const Oh__Change *change)
{
  g_autoptr (GBytes) bytes = encode_change (change);
  gsize length;
  const uint8_t *data = g_bytes_get_data (bytes, &length);

  return oh__change__unpack (NULL, length, data);
}

/* Replies to operators. */

static void
send_change_reply (const oh_control_core_t *core, GBytes *route, Oh__ChangeReply *reply)
{
  Oh__Control message = OH__CONTROL__INIT;

  message.sender = core->name;
  message.body_case = OH__CONTROL__BODY_CHANGE_REPLY;
  message.change_reply = reply;
  core->sink->ops->reply (core->sink, route, OH_KEY_OPERATOR, &message);
}

static void
answer (const oh_control_core_t *core, GBytes *route, const Oh__Change *change, Oh__ChangeStatus status,
        const char *detail)
{
  Oh__ChangeReply reply = OH__CHANGE_REPLY__INIT;
  const char *leader = oh_raft_leader_endpoint (&core->raft);

  reply.id = change->id;
  reply.status = status;
  reply.version = core->state.version;
  reply.leader = (char *)(leader != NULL ? leader : "");
  reply.detail = (char *)detail;
  send_change_reply (core, route, &reply);
}

static void
answer_result (const oh_control_core_t *core, GBytes *route, const oh_change_result_t *result,
               const char *detail)
{
  Oh__ChangeReply reply = OH__CHANGE_REPLY__INIT;

  reply.id.data = (uint8_t *)result->id;
  reply.id.len = sizeof result->id;
  reply.status = result->status;
  reply.version = result->version;
  if (result->status == OH__CHANGE_STATUS__CHANGE_CONFLICT)
    {
      reply.winner_id.data = (uint8_t *)result->winner_id;
      reply.winner_id.len = sizeof result->winner_id;
      reply.winner_author = (char *)result->winner_author;
    }
  reply.detail = (char *)(detail != NULL ? detail : result->detail);
  send_change_reply (core, route, &reply);
}

static void
fail_pending (oh_control_core_t *core, pending_t *pending, Oh__ChangeStatus status, const char *detail)
{
  answer (core, pending->route, pending->change, status, detail);
  g_ptr_array_remove (core->pending, pending);
}

/* The next leader may still commit the entries, so the outcome is unknown. */
static void
fail_all_pending (oh_control_core_t *core)
{
  while (core->pending->len > 0)
    fail_pending (core, g_ptr_array_index (core->pending, core->pending->len - 1),
                  OH__CHANGE_STATUS__CHANGE_UNAVAILABLE,
                  "the replica lost the leadership; the outcome is not known");
}

static pending_t *
find_pending (const oh_control_core_t *core, uint64_t tag)
{
  for (guint i = 0; i < core->pending->len; i++)
    {
      pending_t *pending = g_ptr_array_index (core->pending, i);

      if (pending->tag == tag)
        return pending;
    }
  return NULL;
}

/* Messages to replicas. */

static void
send_to_replica (const oh_control_core_t *core, const char *endpoint, Oh__Control *message)
{
  message->sender = core->name;
  core->sink->ops->send_replica (core->sink, endpoint, message);
}

/* Confirmation by the leader. */

static void
query_leader (oh_control_core_t *core)
{
  Oh__Control message = OH__CONTROL__INIT;
  Oh__CurrentQuery query = OH__CURRENT_QUERY__INIT;
  const char *leader = oh_raft_leader_endpoint (&core->raft);

  if (oh_raft_role (&core->raft) == OH_RAFT_LEADER || leader == NULL)
    return;
  core->last_query_us = core->now_us;
  query.sent_us = core->now_us;
  message.body_case = OH__CONTROL__BODY_CURRENT_QUERY;
  message.current_query = &query;
  send_to_replica (core, leader, &message);
}

/*
 * Queries the leader if the last event made it known, or brought the first report of its contact with a
 * quorum: before that it does not reply.
 */
static void
query_new_leader (oh_control_core_t *core)
{
  const bool known
    = oh_raft_role (&core->raft) != OH_RAFT_LEADER && oh_raft_leader_endpoint (&core->raft) != NULL;
  const uint64_t term = known ? oh_raft_term (&core->raft) : 0;
  const bool confirmed = oh_raft_confirmed (&core->raft, core->now_us);
  const bool is_new = term != core->leader_term || (confirmed && !core->leader_confirmed);

  core->leader_term = term;
  core->leader_confirmed = confirmed;
  if (is_new && !oh_control_core_confirmed (core, core->now_us))
    query_leader (core);
}

/* Pushes the view to all nodes when this replica has become confirmed. */
static void
push_confirmation (oh_control_core_t *core)
{
  if (core->pushed_confirmed || !oh_control_core_confirmed (core, core->now_us))
    return;
  oh_control_log_event (core, "confirmed_changed", "confirmed=1 version=%" G_GUINT64_FORMAT,
                        core->state.version);
  oh_control_views_push (core);
}

/* Polls. */

static void
handle_poll (oh_control_core_t *core, GBytes *route, const Oh__Poll *poll)
{
  const uint64_t sequence = core->membership.sequence;

  if (!oh_membership_announce (&core->membership, poll, route, core->now_us))
    core->sink->ops->rejected (core->sink, poll->name, "the poll is malformed or the node limit is reached");
  if (core->membership.sequence != sequence)
    oh_control_log_event (core, poll->leaving ? "node_left" : "node_changed",
                          "node=%s role=%s version=%" G_GUINT64_FORMAT " sequence=%" G_GUINT64_FORMAT,
                          poll->name, poll->role == OH__NODE_ROLE__NODE_AGENT ? "agent" : "balancer",
                          poll->version_in_force, core->membership.sequence);
  if (core->now_us - core->last_query_us >= OH_CONTROL_POLL_QUERY_US
      && !oh_control_core_confirmed (core, core->now_us))
    query_leader (core);
  if (!poll->leaving)
    oh_control_views_answer (core, route, poll);
  else if (core->membership.sequence != sequence)
    oh_control_views_push_list (core); /* other nodes stop using it at once rather than after the next tick */
}

static Oh__Replica *
make_replica (const oh_raft_replica_t *replica)
{
  Oh__Replica *wire = g_new (Oh__Replica, 1);

  oh__replica__init (wire);
  wire->name = replica->name;
  wire->id = replica->id;
  wire->endpoint = replica->endpoint;
  wire->role = replica->role;
  return wire;
}

static void
handle_status_query (const oh_control_core_t *core, GBytes *route, const Oh__StatusQuery *query)
{
  /* Report committed roles only: operators wait until a repaired replica is a voter before they take down
   * another one, and an uncommitted promotion may still be lost. */
  g_autoptr (GPtrArray) set = oh_raft_committed_replicas (&core->raft);
  g_autoptr (GPtrArray) replicas = g_ptr_array_new_with_free_func (g_free);
  Oh__Control message = OH__CONTROL__INIT;
  Oh__StatusReply reply = OH__STATUS_REPLY__INIT;
  Oh__View view = OH__VIEW__INIT;
  const oh_list_cursor_t from_start = { 0 };

  oh_membership_fill_view (&core->membership, &from_start, core->now_us, &view);
  for (guint i = 0; i < set->len; i++)
    g_ptr_array_add (replicas, make_replica (g_ptr_array_index (set, i)));
  reply.replica = core->name;
  reply.leader = oh_raft_role (&core->raft) == OH_RAFT_LEADER;
  reply.confirmed = oh_control_core_confirmed (core, core->now_us);
  reply.term = oh_raft_term (&core->raft);
  reply.version = core->state.version;
  if (query->want_text)
    reply.text = core->state.text;
  reply.key_generation = core->state.key_generation;
  reply.n_drained = core->state.drained->len;
  reply.drained = (char **)core->state.drained->pdata;
  reply.n_drained_zones = core->state.drained_zones->len;
  reply.drained_zones = (char **)core->state.drained_zones->pdata;
  reply.n_balancers = view.n_balancers;
  reply.balancers = view.balancers;
  reply.n_members = view.n_members;
  reply.members = view.members;
  reply.n_replicas = replicas->len;
  reply.replicas = (Oh__Replica **)replicas->pdata;
  message.sender = core->name;
  message.body_case = OH__CONTROL__BODY_STATUS_REPLY;
  message.status_reply = &reply;
  core->sink->ops->reply (core->sink, route, OH_KEY_OPERATOR, &message);
  oh_membership_clear_view (&view);
}

/* Changes. */

static void
raft_handle (oh_control_core_t *core, const oh_raft_event_t *event)
{
  oh_raft_handle (&core->raft, event, &core->raft_sink);
}

static void
propose_command (oh_control_core_t *core, pending_t *pending)
{
  g_autoptr (GBytes) data = encode_change (pending->change);
  const oh_raft_event_t event = {
    .kind = OH_RAFT_PROPOSE,
    .now_us = core->now_us,
    .propose = { .tag = pending->tag, .data = data },
  };

  pending->stage = PENDING_COMMAND;
  pending->index = 0;
  raft_handle (core, &event);
}

static const oh_raft_replica_t *
find_replica (const oh_control_core_t *core, const char *name)
{
  const GPtrArray *set = oh_raft_replicas (&core->raft);

  for (guint i = 0; set != NULL && i < set->len; i++)
    {
      const oh_raft_replica_t *replica = g_ptr_array_index (set, i);

      if (strcmp (replica->name, name) == 0)
        return replica;
    }
  return NULL;
}

/*
 * A replica change takes two log entries: one that changes the replica set, then a command that records the
 * result. If the leader dies in between, the resent change finds the replica set already changed and only
 * records the result.
 */
static void
propose_replica_change (oh_control_core_t *core, pending_t *pending)
{
  const Oh__Change *change = pending->change;
  const bool add = change->kind == OH__CHANGE_KIND__CHANGE_ADD_REPLICA;
  const oh_raft_replica_t *present = find_replica (core, change->target);
  const oh_raft_event_t event = {
    .kind = add ? OH_RAFT_ADD_REPLICA : OH_RAFT_REMOVE_REPLICA,
    .now_us = core->now_us,
    .membership = { .tag = pending->tag, .name = change->target, .endpoint = change->endpoint },
  };

  if (add ? present != NULL && strcmp (present->endpoint, change->endpoint) == 0 : present == NULL)
    {
      pending->detail = add ? "already in the replica set" : "not in the replica set";
      propose_command (core, pending);
      return;
    }
  pending->stage = PENDING_REPLICA_SET;
  raft_handle (core, &event);
}

static bool
is_replica_change (const Oh__Change *change)
{
  return change->kind == OH__CHANGE_KIND__CHANGE_ADD_REPLICA
         || change->kind == OH__CHANGE_KIND__CHANGE_REMOVE_REPLICA;
}

/* If the change is a resend of a pending one, directs the reply to the route of the resend. */
static bool
attach_to_pending (oh_control_core_t *core, GBytes *route, const Oh__Change *change)
{
  g_autoptr (GBytes) bytes = encode_change (change);

  for (guint i = 0; i < core->pending->len; i++)
    {
      pending_t *pending = g_ptr_array_index (core->pending, i);
      g_autoptr (GBytes) other = encode_change (pending->change);

      if (!g_bytes_equal (bytes, other))
        continue;
      g_bytes_ref (route);
      g_bytes_unref (pending->route);
      pending->route = route;
      return true;
    }
  return false;
}

/* Refuses a change that a replica of an earlier release would apply as an invalid one. */
static bool
refuse_unknown_to_replica (oh_control_core_t *core, GBytes *route, const Oh__Change *change)
{
  const char *replica = oh_change_is_of_zone (change) ? oh_raft_find_without_zone_drain (&core->raft) : NULL;
  g_autofree char *detail = NULL;

  if (replica == NULL)
    return false;
  detail = g_strdup_printf ("replica %s has not reported that it understands drains of zones", replica);
  answer (core, route, change, OH__CHANGE_STATUS__CHANGE_UNAVAILABLE, detail);
  return true;
}

static void
handle_change (oh_control_core_t *core, GBytes *route, const Oh__Change *change)
{
  oh_change_result_t result;
  oh_error_t error;
  pending_t *pending;

  if (oh_control_state_find_result (&core->state, change, &result))
    {
      answer_result (core, route, &result, NULL);
      return;
    }
  if (!oh_change_check (change, &error))
    {
      answer (core, route, change, OH__CHANGE_STATUS__CHANGE_INVALID, error.message);
      return;
    }
  if (oh_raft_role (&core->raft) != OH_RAFT_LEADER)
    {
      answer (core, route, change, OH__CHANGE_STATUS__CHANGE_NOT_LEADER, "this replica does not lead");
      return;
    }
  if (refuse_unknown_to_replica (core, route, change) || attach_to_pending (core, route, change))
    return;
  if (core->pending->len >= OH_CONTROL_PENDING_MAX)
    {
      answer (core, route, change, OH__CHANGE_STATUS__CHANGE_UNAVAILABLE, "too many changes are waiting");
      return;
    }
  pending = g_new0 (pending_t, 1);
  pending->tag = ++core->next_tag;
  pending->change = copy_change (change);
  pending->route = g_bytes_ref (route);
  g_ptr_array_add (core->pending, pending);
  if (is_replica_change (change)
      && (change->base_version == 0 || change->base_version == core->state.version))
    {
      /* The base version has just been checked; versions made before the result is recorded do not matter. */
      pending->change->base_version = 0;
      propose_replica_change (core, pending);
    }
  else
    propose_command (core, pending);
}

/* Messages between replicas. */

static void
handle_raft_message (oh_control_core_t *core, const char *sender, const ProtobufCBinaryData *bytes)
{
  Oh__RaftMessage *message = oh__raft_message__unpack (NULL, bytes->len, bytes->data);
  const oh_raft_event_t event = { .kind = OH_RAFT_MESSAGE, .now_us = core->now_us, .message = message };

  if (message == NULL)
    {
      core->sink->ops->rejected (core->sink, sender, "the Raft message is malformed");
      return;
    }
  raft_handle (core, &event);
  oh__raft_message__free_unpacked (message, NULL);
}

static void
handle_current_query (const oh_control_core_t *core, GBytes *route, const Oh__CurrentQuery *query)
{
  Oh__Control message = OH__CONTROL__INIT;
  Oh__CurrentReply reply = OH__CURRENT_REPLY__INIT;

  if (!oh_raft_read_index (&core->raft, core->now_us + OH_CONTROL_CONFIRMATION_MAX_AGE_US, &reply.commit))
    return;
  reply.sent_us = query->sent_us;
  reply.term = oh_raft_term (&core->raft);
  reply.version = core->state.version;
  message.sender = core->name;
  message.body_case = OH__CONTROL__BODY_CURRENT_REPLY;
  message.current_reply = &reply;
  core->sink->ops->reply (core->sink, route, OH_KEY_CONTROL, &message);
}

static void
handle_current_reply (oh_control_core_t *core, const Oh__CurrentReply *reply)
{
  /* Leaders of earlier releases send no commit index. */
  if (reply->term != oh_raft_term (&core->raft) || reply->commit == 0 || reply->sent_us > core->now_us
      || reply->sent_us <= core->confirmation_query_us)
    return;
  core->confirmation_query_us = reply->sent_us;
  core->confirmation_index = reply->commit;
}

static void
handle_system_message (oh_control_core_t *core, GBytes *route, const Oh__Control *message)
{
  switch (message->body_case)
    {
    case OH__CONTROL__BODY_POLL:
      handle_poll (core, route, message->poll);
      return;
    case OH__CONTROL__BODY_RAFT:
      handle_raft_message (core, message->sender, &message->raft);
      return;
    case OH__CONTROL__BODY_CURRENT_QUERY:
      handle_current_query (core, route, message->current_query);
      return;
    case OH__CONTROL__BODY_CURRENT_REPLY:
      handle_current_reply (core, message->current_reply);
      return;
    case OH__CONTROL__BODY_VIEW:
    case OH__CONTROL__BODY_CHANGE:
    case OH__CONTROL__BODY_CHANGE_REPLY:
    case OH__CONTROL__BODY_STATUS_QUERY:
    case OH__CONTROL__BODY_STATUS_REPLY:
    case OH__CONTROL__BODY_FLOW_STATE:
    case OH__CONTROL__BODY_FLOW_STATE_REPLY:
    case OH__CONTROL__BODY__NOT_SET:
    case _OH__CONTROL__BODY__CASE_IS_INT_SIZE:
      break;
    }
  core->sink->ops->rejected (core->sink, message->sender,
                             "this type of message is not accepted from a node or replica");
}

static void
handle_operator_message (oh_control_core_t *core, GBytes *route, const Oh__Control *message)
{
  if (message->body_case == OH__CONTROL__BODY_CHANGE)
    handle_change (core, route, message->change);
  else if (message->body_case == OH__CONTROL__BODY_STATUS_QUERY)
    handle_status_query (core, route, message->status_query);
  else
    core->sink->ops->rejected (core->sink, message->sender,
                               "this type of message is not accepted from an operator");
}

/* Raft actions. */

static void
on_send (oh_raft_sink_t *sink, const oh_raft_replica_t *to, const Oh__RaftMessage *message)
{
  const size_t size = oh__raft_message__get_packed_size (message);
  g_autofree uint8_t *bytes = g_malloc (size);
  Oh__Control control = OH__CONTROL__INIT;

  oh__raft_message__pack (message, bytes);
  control.body_case = OH__CONTROL__BODY_RAFT;
  control.raft.data = bytes;
  control.raft.len = size;
  send_to_replica (core_of (sink), to->endpoint, &control);
}

static void
on_persist (oh_raft_sink_t *sink, oh_persist_request_t *request)
{
  oh_control_core_t *core = core_of (sink);

  core->sink->ops->persist (core->sink, request);
}

static void
complete_pending (oh_control_core_t *core, const oh_entry_t *entry, const oh_change_result_t *result)
{
  for (guint i = core->pending->len; i-- > 0;)
    {
      pending_t *pending = g_ptr_array_index (core->pending, i);

      if (pending->index != entry->index)
        continue;
      if (pending->term != entry->term)
        fail_pending (core, pending, OH__CHANGE_STATUS__CHANGE_UNAVAILABLE,
                      "another entry took the place of the change; send it again");
      else if (pending->stage == PENDING_REPLICA_SET)
        {
          pending->stage = PENDING_QUEUED;
          pending->index = 0;
        }
      else
        {
          answer_result (core, pending->route, result, pending->detail);
          g_ptr_array_remove_index (core->pending, i);
        }
    }
}

static void
refresh_committed_replicas (oh_control_core_t *core)
{
  g_ptr_array_unref (core->committed_replicas);
  core->committed_replicas = oh_raft_committed_replicas (&core->raft);
}

static void
on_apply (oh_raft_sink_t *sink, const oh_entry_t *entry)
{
  oh_control_core_t *core = core_of (sink);
  oh_change_result_t result = { 0 };

  if (entry->kind == OH_ENTRY_REPLICAS)
    refresh_committed_replicas (core);

  if (entry->kind == OH_ENTRY_COMMAND)
    {
      const uint32_t generation = core->state.key_generation;
      gsize length;
      const uint8_t *bytes = g_bytes_get_data (entry->data, &length);

      oh_control_state_apply (&core->state, bytes, length, &result);
      oh_control_log_event (core, "change_applied",
                            "index=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT " status=%d author=%s",
                            entry->index, core->state.version, (int)result.status, core->state.last_author);
      if (core->state.key_generation != generation)
        core->sink->ops->advance_keys (core->sink, core->state.key_generation);
    }
  complete_pending (core, entry, &result);
}

static void
on_install (oh_raft_sink_t *sink, const oh_snapshot_t *snapshot)
{
  oh_control_core_t *core = core_of (sink);
  oh_error_t error;
  gsize length;
  const uint8_t *bytes = g_bytes_get_data (snapshot->data, &length);

  if (!oh_control_state_load (&core->state, bytes, length, &error))
    {
      fail (core, error.message);
      return;
    }
  refresh_committed_replicas (core);
  core->sink->ops->advance_keys (core->sink, core->state.key_generation);
  oh_control_log_event (core, "snapshot_installed", "index=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT,
                        snapshot->index, core->state.version);
}

static void
on_take_snapshot (oh_raft_sink_t *sink, uint64_t index)
{
  oh_control_core_t *core = core_of (sink);
  size_t length;
  uint8_t *bytes = oh_control_state_save (&core->state, &length);

  g_clear_pointer (&core->snapshot, g_bytes_unref);
  core->snapshot = g_bytes_new_take (bytes, length);
  core->snapshot_index = index;
}

static void
on_arm_timer (oh_raft_sink_t *sink, int64_t due_us)
{
  oh_control_core_t *core = core_of (sink);

  core->sink->ops->arm_timer (core->sink, due_us);
}

static void
on_changed (oh_raft_sink_t *sink)
{
  oh_control_core_t *core = core_of (sink);
  const oh_raft_role_t role = oh_raft_role (&core->raft);
  const bool leader = role == OH_RAFT_LEADER;

  if (core->was_leader && !leader)
    fail_all_pending (core);
  core->was_leader = leader;
  if (role == OH_RAFT_FAILED)
    fail (core, "the storage failed");
}

static void
on_proposed (oh_raft_sink_t *sink, uint64_t tag, oh_raft_proposal_result_t result, uint64_t index,
             uint64_t term)
{
  oh_control_core_t *core = core_of (sink);
  pending_t *pending = find_pending (core, tag);

  if (pending == NULL)
    return;
  switch (result)
    {
    case OH_RAFT_PROPOSED:
      pending->index = index;
      pending->term = term;
      return;
    case OH_RAFT_NOT_LEADER:
      fail_pending (core, pending, OH__CHANGE_STATUS__CHANGE_NOT_LEADER, "this replica does not lead");
      return;
    case OH_RAFT_STORAGE_FULL:
      fail_pending (core, pending, OH__CHANGE_STATUS__CHANGE_UNAVAILABLE, "the disk of the leader is full");
      return;
    case OH_RAFT_CHANGE_PENDING:
      fail_pending (core, pending, OH__CHANGE_STATUS__CHANGE_UNAVAILABLE,
                    "another change of the replica set is under way");
      return;
    case OH_RAFT_CHANGE_INVALID:
      fail_pending (core, pending, OH__CHANGE_STATUS__CHANGE_INVALID,
                    "the replica set does not allow it: duplicate or unknown name, last voter or full set");
      return;
    case OH_RAFT_NOT_READY:
      fail_pending (core, pending, OH__CHANGE_STATUS__CHANGE_UNAVAILABLE, "the leader has just been elected");
      return;
    }
}

static void
on_log (oh_raft_sink_t *sink, const char *event, const char *pairs)
{
  oh_control_core_t *core = core_of (sink);

  core->sink->ops->log (core->sink, event, pairs);
}

/*
 * Passes one event to Raft that its actions asked for: actions may not call oh_raft_handle themselves.
 * Returns false if there is none.
 */
static bool
process_deferred (oh_control_core_t *core)
{
  if (core->snapshot != NULL)
    {
      g_autoptr (GBytes) data = g_steal_pointer (&core->snapshot);
      const oh_raft_event_t event = {
        .kind = OH_RAFT_SNAPSHOT_READY,
        .now_us = core->now_us,
        .snapshot = { .index = core->snapshot_index, .data = data },
      };

      raft_handle (core, &event);
      return true;
    }
  for (guint i = 0; i < core->pending->len; i++)
    {
      pending_t *pending = g_ptr_array_index (core->pending, i);

      if (pending->stage != PENDING_QUEUED)
        continue;
      propose_command (core, pending);
      return true;
    }
  return false;
}

static void
handle_start (oh_control_core_t *core, const oh_control_event_t *event)
{
  const oh_raft_event_t start = {
    .kind = OH_RAFT_START,
    .now_us = core->now_us,
    .start = {
      .recovered = event->start.recovered,
      .initial = event->start.initial,
      .n_initial = event->start.n_initial,
      .endpoint = event->start.endpoint,
      .join = event->start.join,
      .target_voters = event->start.target_voters,
      .observer = event->start.observer,
      .may_bootstrap = event->start.may_bootstrap,
      .compact_entries = event->start.compact_entries,
    },
  };

  raft_handle (core, &start);
}

static void
handle_tick (oh_control_core_t *core)
{
  const uint64_t sequence = core->membership.sequence;
  const bool complete = oh_membership_is_complete (&core->membership, core->now_us);
  bool confirmed;

  oh_membership_expire (&core->membership, core->now_us);
  if (core->membership.sequence != sequence)
    oh_control_log_event (core, "leases_ended", "count=%" G_GUINT64_FORMAT,
                          core->membership.sequence - sequence);
  query_leader (core);
  push_confirmation (core);
  confirmed = oh_control_core_confirmed (core, core->now_us);
  if (!confirmed && core->pushed_confirmed)
    oh_control_log_event (core, "confirmed_changed", "confirmed=0 version=%" G_GUINT64_FORMAT,
                          core->state.version);
  if (complete && !core->pushed_complete)
    oh_control_views_push (core);
  else if (core->membership.sequence != core->pushed_sequence)
    oh_control_views_push_list (core);
  core->pushed_complete = complete;
  core->pushed_confirmed = confirmed;
}

static void
handle_persist (oh_control_core_t *core, const oh_control_event_t *event)
{
  const oh_raft_event_t persisted = {
    .kind = event->kind == OH_CONTROL_SYNCED ? OH_RAFT_SYNCED : OH_RAFT_STORAGE_FAILED,
    .now_us = core->now_us,
    .persist = { .id = event->persist.id, .full = event->persist.full },
  };

  raft_handle (core, &persisted);
}

void
oh_control_core_init (oh_control_core_t *core, const char *name, uint64_t epoch, oh_random_t *random,
                      int64_t now_us)
{
  static const oh_raft_sink_ops_t ops = {
    .send = on_send,
    .persist = on_persist,
    .apply = on_apply,
    .install = on_install,
    .take_snapshot = on_take_snapshot,
    .arm_timer = on_arm_timer,
    .changed = on_changed,
    .proposed = on_proposed,
    .log = on_log,
  };

  *core = (oh_control_core_t){
    .raft_sink = { .ops = &ops },
    .name = g_strdup (name),
    .pending = g_ptr_array_new_with_free_func (free_pending),
    .confirmation_query_us = G_MININT64 / 2, /* none yet; subtracting it must not overflow */
    .last_query_us = G_MININT64 / 2,
    .committed_replicas = oh_raft_replicas_new (),
  };
  oh_raft_init (&core->raft, random);
  oh_control_state_init (&core->state);
  oh_membership_init (&core->membership, epoch, now_us);
}

void
oh_control_core_finish (oh_control_core_t *core)
{
  g_clear_pointer (&core->pending, g_ptr_array_unref);
  g_clear_pointer (&core->snapshot, g_bytes_unref);
  oh_service_set_finish (&core->services);
  g_clear_pointer (&core->warmups, g_ptr_array_unref);
  g_clear_pointer (&core->packed_text, g_bytes_unref);
  g_clear_pointer (&core->committed_replicas, g_ptr_array_unref);
  oh_raft_finish (&core->raft);
  g_clear_pointer (&core->name, g_free);
  oh_control_state_finish (&core->state);
  oh_membership_finish (&core->membership);
}

void
oh_control_core_handle (oh_control_core_t *core, const oh_control_event_t *event, oh_control_sink_t *sink)
{
  const oh_raft_event_t timer = { .kind = OH_RAFT_TIMER, .now_us = event->now_us };

  core->now_us = event->now_us;
  core->sink = sink;
  switch (event->kind)
    {
    case OH_CONTROL_START:
      handle_start (core, event);
      break;
    case OH_CONTROL_TICK:
      handle_tick (core);
      break;
    case OH_CONTROL_RAFT_TIMER:
      raft_handle (core, &timer);
      break;
    case OH_CONTROL_SYSTEM_MESSAGE:
      handle_system_message (core, event->message.route, event->message.message);
      break;
    case OH_CONTROL_OPERATOR_MESSAGE:
      handle_operator_message (core, event->message.route, event->message.message);
      break;
    case OH_CONTROL_SEEDS:
      raft_handle (core, &(oh_raft_event_t){
                           .kind = OH_RAFT_SEEDS,
                           .now_us = event->now_us,
                           .seeds = { .seeds = event->seeds.seeds, .n_seeds = event->seeds.n_seeds },
                         });
      break;
    case OH_CONTROL_LEAVE:
      raft_handle (core, &(oh_raft_event_t){ .kind = OH_RAFT_LEAVE, .now_us = event->now_us });
      break;
    case OH_CONTROL_SYNCED:
    case OH_CONTROL_STORAGE_FAILED:
      handle_persist (core, event);
      break;
    }
  while (process_deferred (core))
    ;
  query_new_leader (core);
  push_confirmation (core);
  if (core->state.version != core->pushed_version)
    oh_control_views_push (core);
  core->sink = NULL;
}

bool
oh_control_core_may_stop (const oh_control_core_t *core)
{
  return oh_raft_may_stop (&core->raft);
}

bool
oh_control_core_confirmed (const oh_control_core_t *core, int64_t now_us)
{
  if (!oh_raft_confirmed (&core->raft, now_us))
    return false;
  if (oh_raft_role (&core->raft) == OH_RAFT_LEADER)
    return true;
  return now_us - core->confirmation_query_us <= OH_CONTROL_CONFIRMATION_MAX_AGE_US
         && oh_raft_applied_index (&core->raft) >= core->confirmation_index;
}

oh_control_confirmation_t
oh_control_core_confirmation (const oh_control_core_t *core, int64_t now_us)
{
  const int64_t quorum_age_us = oh_raft_quorum_age_us (&core->raft, now_us);
  const bool queried = oh_raft_role (&core->raft) != OH_RAFT_LEADER && core->confirmation_query_us >= 0;

  return (oh_control_confirmation_t){
    .quorum_age_ms = quorum_age_us == INT64_MAX ? -1 : quorum_age_us / 1000,
    .leader_age_ms = queried ? (now_us - core->confirmation_query_us) / 1000 : -1,
  };
}
