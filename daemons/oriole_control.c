#define OH_LOG_MODULE "control"
#include "base/log.h"

#include <argp.h>
#include <glib-unix.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "adapters/admin.h"
#include "adapters/daemon.h"
#include "adapters/file_storage.h"
#include "adapters/link.h"
#include "adapters/memory_storage.h"
#include "adapters/settings_watch.h"
#include "adapters/storage_worker.h"
#include "adapters/system_clock.h"
#include "adapters/system_random.h"
#include "core/codec.h"
#include "core/control_core.h"
#include "daemons/control_settings.h"
#include "platform/change_outcome.h"
#include "platform/operator_http.h"

/*
 * Control replica daemon: Raft, membership leases and distribution of views. Runs the state machine of
 * core/control_core.h in the GLib main loop, which owns all state but the storage worker's.
 */

/* A request of an operator over HTTP that has no outcome yet. */
typedef struct
{
  int64_t arrived_us;
  char *zone; /* of an order; NULL: a publication */
} request_t;

typedef struct
{
  oh_control_sink_t sink; /* first member, cast back to control_t */
  oh_control_settings_t settings;
  oh_log_level_t log_level;
  oh_keyring_t keyring;
  oh_control_core_t core;
  oh_link_t *server;
  GHashTable *replica_links; /* endpoint -> oh_link_t *, to other replicas */
  oh_storage_worker_t *storage_worker;
  oh_operator_http_t *operator_http; /* NULL if the settings give no address for it */
  oh_settings_watch_t watch;
  const char *settings_path;
  GSource *raft_timer;
  GMainLoop *loop;
  bool stopping; /* a stop signal was received */
  int status;    /* exit status */
  oh_counters_t counters;
  oh_counter_t messages_received;
  oh_counter_t messages_rejected;
  oh_counter_t received_bytes;
  oh_counter_t sent_bytes;
  oh_counter_t polls;
  oh_counter_t changes;
  oh_counter_t is_leader;
  oh_counter_t is_confirmed;
  oh_counter_t term;
  oh_counter_t version;
  oh_counter_t drained_zones;
  oh_counter_t applied_index;
  oh_counter_t commit_index;
  oh_counter_t nodes;
  oh_counter_t publish_latency; /* registers publish_seconds */
  oh_counter_t persist_latency; /* registers persist_seconds */
  oh_histogram_t publish_seconds;
  oh_histogram_t persist_seconds;
  GHashTable *requests;       /* of operators over HTTP: number -> request_t, both owned */
  int64_t persist_started_us; /* when the outstanding persist request was made */
} control_t;

enum
{
  STORAGE_RETRY_US = 500000,
};

const char *argp_program_version = "oriole-control " OH_VERSION;

/* Actions of the core. */

static control_t *
control_of (oh_control_sink_t *sink)
{
  return (control_t *)sink;
}

static void
send_sealed (control_t *control, oh_link_t *link, GBytes *route, oh_key_purpose_t purpose,
             const Oh__Control *message)
{
  size_t length;
  g_autofree uint8_t *bytes = oh_control_encode (message, &control->keyring, purpose, &length);

  if (oh_link_send (link, route, bytes, length))
    oh_counter_add (&control->sent_bytes, length);
}

/*
 * The core handles requests from the operators' HTTP interface like changes that operators send over ZeroMQ.
 * Their route consists of a prefix, with which no route of a ZeroMQ peer begins, and the request number.
 */

static const char request_route_prefix[] = "publication";

static GBytes *
make_request_route (uint64_t request)
{
  uint8_t route[sizeof request_route_prefix + sizeof request];

  memcpy (route, request_route_prefix, sizeof request_route_prefix);
  memcpy (route + sizeof request_route_prefix, &request, sizeof request);
  return g_bytes_new (route, sizeof route);
}

static bool
is_request_route (GBytes *route, uint64_t *request)
{
  gsize length;
  const uint8_t *bytes = g_bytes_get_data (route, &length);

  if (length != sizeof request_route_prefix + sizeof *request
      || memcmp (bytes, request_route_prefix, sizeof request_route_prefix) != 0)
    return false;
  memcpy (request, bytes + sizeof request_route_prefix, sizeof *request);
  return true;
}

static void
free_request (gpointer data)
{
  request_t *request = data;

  g_free (request->zone);
  g_free (request);
}

static void
add_request (control_t *control, uint64_t number, const char *zone)
{
  request_t *request = g_new (request_t, 1);

  *request = (request_t){ .arrived_us = oh_clock_now_us (oh_system_clock ()), .zone = g_strdup (zone) };
  g_hash_table_insert (control->requests, g_memdup2 (&number, sizeof number), request);
}

static void
answer_publication (control_t *control, uint64_t number, const request_t *request,
                    const Oh__ChangeReply *reply)
{
  oh_address_t leader;
  const oh_publish_status_t status = oh_publication_outcome (reply, &leader);

  oh_log_info ("publication_answered",
               "request=%" G_GUINT64_FORMAT " status=%d version=%" G_GUINT64_FORMAT
               " role=%s applied=%" G_GUINT64_FORMAT " commit=%" G_GUINT64_FORMAT " detail=\"%s\"",
               number, (int)status, reply->version, oh_raft_role_name (oh_raft_role (&control->core.raft)),
               oh_raft_applied_index (&control->core.raft), oh_raft_commit_index (&control->core.raft),
               reply->detail);
  oh_operator_http_answer (control->operator_http, number, status, leader.ipv4, reply->detail);
  oh_histogram_observe (&control->publish_seconds,
                        oh_clock_now_us (oh_system_clock ()) - request->arrived_us);
}

static void
answer_zone_order (control_t *control, uint64_t number, const request_t *request,
                   const Oh__ChangeReply *reply)
{
  oh_address_t leader;
  const oh_publish_status_t status = oh_zone_order_outcome (reply, &leader);

  oh_log_info ("zone_order_answered",
               "request=%" G_GUINT64_FORMAT " zone=%s status=%d version=%" G_GUINT64_FORMAT
               " role=%s age_ms=%" G_GINT64_FORMAT " detail=\"%s\"",
               number, request->zone, (int)status, reply->version,
               oh_raft_role_name (oh_raft_role (&control->core.raft)),
               (oh_clock_now_us (oh_system_clock ()) - request->arrived_us) / 1000, reply->detail);
  oh_operator_http_answer (control->operator_http, number, status, leader.ipv4, reply->detail);
}

static void
answer_request (control_t *control, uint64_t number, const Oh__ChangeReply *reply)
{
  const request_t *request = g_hash_table_lookup (control->requests, &number);

  if (request == NULL)
    return;
  if (request->zone != NULL)
    answer_zone_order (control, number, request, reply);
  else
    answer_publication (control, number, request, reply);
  g_hash_table_remove (control->requests, &number);
}

static void
on_reply (oh_control_sink_t *sink, GBytes *route, oh_key_purpose_t purpose, const Oh__Control *message)
{
  control_t *control = control_of (sink);
  uint64_t request;

  if (is_request_route (route, &request))
    {
      if (message->body_case == OH__CONTROL__BODY_CHANGE_REPLY)
        answer_request (control, request, message->change_reply);
      return;
    }
  send_sealed (control, control->server, route, purpose, message);
}

static void
handle_event (control_t *control, oh_control_event_t *event)
{
  event->now_us = oh_clock_now_us (oh_system_clock ());
  oh_control_core_handle (&control->core, event, &control->sink);
  if (control->stopping && oh_control_core_may_stop (&control->core))
    g_main_loop_quit (control->loop);
}

/* Handles the reply of another replica to a query, which arrives on the link that the query was sent on. */
static void
on_replica_message (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length, void *data)
{
  control_t *control = data;
  Oh__Control *message = oh_control_decode (&control->keyring, OH_KEY_CONTROL, bytes, length, NULL);

  (void)link;
  (void)peer;
  oh_counter_increment (&control->messages_received);
  oh_counter_add (&control->received_bytes, length);
  if (message != NULL && message->body_case == OH__CONTROL__BODY_CURRENT_REPLY)
    {
      oh_control_event_t event = { .kind = OH_CONTROL_SYSTEM_MESSAGE, .message = { .message = message } };

      handle_event (control, &event);
    }
  else
    oh_counter_increment (&control->messages_rejected);
  if (message != NULL)
    oh__control__free_unpacked (message, NULL);
}

static void
on_send_replica (oh_control_sink_t *sink, const char *endpoint, const Oh__Control *message)
{
  control_t *control = control_of (sink);
  oh_link_t *link = g_hash_table_lookup (control->replica_links, endpoint);
  oh_error_t error;

  if (strcmp (endpoint, oh_control_settings_endpoint (&control->settings)) == 0)
    return;
  if (link == NULL)
    {
      link = oh_link_connect_unqueued (NULL, endpoint, on_replica_message, control, &error);
      if (link == NULL)
        {
          oh_log_warning ("replica_unreachable", "endpoint=%s reason=\"%s\"", endpoint, error.message);
          return;
        }
      g_hash_table_insert (control->replica_links, g_strdup (endpoint), link);
    }
  send_sealed (control, link, NULL, OH_KEY_CONTROL, message);
}

static void
on_persist (oh_control_sink_t *sink, oh_persist_request_t *request)
{
  control_of (sink)->persist_started_us = oh_clock_now_us (oh_system_clock ());
  oh_storage_worker_persist (control_of (sink)->storage_worker, request);
}

static void
on_arm_timer (oh_control_sink_t *sink, int64_t due_us)
{
  g_source_set_ready_time (control_of (sink)->raft_timer, oh_system_clock_ready_time (due_us));
}

static void
on_advance_keys (oh_control_sink_t *sink, uint32_t generation)
{
  oh_keyring_advance (&control_of (sink)->keyring, generation);
}

static void
on_rejected (oh_control_sink_t *sink, const char *sender, const char *reason)
{
  oh_counter_increment (&control_of (sink)->messages_rejected);
  oh_log_warning ("message_rejected", "sender=\"%.64s\" reason=\"%s\"", sender, reason);
}

static void
on_log (oh_control_sink_t *sink, const char *event, const char *pairs)
{
  (void)sink;
  oh_log_info (event, "%s", pairs);
}

static void
on_failed (oh_control_sink_t *sink, const char *reason)
{
  control_t *control = control_of (sink);

  oh_log_error ("replica_failed", "replica=%s reason=\"%s\"", control->settings.name, reason);
  control->status = EXIT_FAILURE;
  g_main_loop_quit (control->loop);
}

/* Messages. */

static void
dispatch_message (control_t *control, GBytes *peer, oh_control_event_kind_t kind, Oh__Control *message)
{
  oh_control_event_t event = { .kind = kind, .message = { .route = peer, .message = message } };

  if (message->body_case == OH__CONTROL__BODY_POLL)
    oh_counter_increment (&control->polls);
  if (message->body_case == OH__CONTROL__BODY_CHANGE)
    oh_counter_increment (&control->changes);
  handle_event (control, &event);
  oh__control__free_unpacked (message, NULL);
}

static bool
decode_and_dispatch (control_t *control, GBytes *peer, const uint8_t *bytes, size_t length)
{
  Oh__Control *message = oh_control_decode (&control->keyring, OH_KEY_CONTROL, bytes, length, NULL);

  if (message != NULL)
    {
      dispatch_message (control, peer, OH_CONTROL_SYSTEM_MESSAGE, message);
      return true;
    }
  message = oh_control_decode (&control->keyring, OH_KEY_OPERATOR, bytes, length, NULL);
  if (message == NULL)
    return false;
  dispatch_message (control, peer, OH_CONTROL_OPERATOR_MESSAGE, message);
  return true;
}

/*
 * A process that has just started, or missed key rotations, seals its messages with a generation that is no
 * longer accepted. Replies with a message that has no content but the current generation; the process follows
 * the generation in the seal and sends its message again. Returns false if the seal is not valid, or is not
 * of an older generation.
 */
static bool
reply_with_current_generation (control_t *control, GBytes *peer, const uint8_t *bytes, size_t length)
{
  Oh__Control hint = OH__CONTROL__INIT;
  Oh__View view = OH__VIEW__INIT;
  Oh__StatusReply status = OH__STATUS_REPLY__INIT;
  const uint8_t *body;
  size_t body_length;
  oh_keyring_t older_keyring;
  bool replied = true;

  if (!oh_keyring_init_for_message (&control->keyring, bytes, length, &older_keyring))
    return false;
  hint.sender = control->settings.name;
  if (older_keyring.generation >= control->keyring.generation)
    replied = false;
  else if (oh_unseal (&older_keyring, OH_KEY_CONTROL, bytes, length, &body, &body_length, NULL))
    {
      view.key_generation = control->keyring.generation;
      hint.body_case = OH__CONTROL__BODY_VIEW;
      hint.view = &view;
      send_sealed (control, control->server, peer, OH_KEY_CONTROL, &hint);
    }
  else if (oh_unseal (&older_keyring, OH_KEY_OPERATOR, bytes, length, &body, &body_length, NULL))
    {
      status.key_generation = control->keyring.generation;
      hint.body_case = OH__CONTROL__BODY_STATUS_REPLY;
      hint.status_reply = &status;
      send_sealed (control, control->server, peer, OH_KEY_OPERATOR, &hint);
    }
  else
    replied = false;
  oh_keyring_finish (&older_keyring);
  return replied;
}

static void
on_message (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length, void *data)
{
  control_t *control = data;

  (void)link;
  oh_counter_increment (&control->messages_received);
  oh_counter_add (&control->received_bytes, length);
  if (decode_and_dispatch (control, peer, bytes, length))
    return;
  if (oh_keyring_follow (&control->keyring, OH_KEY_CONTROL, bytes, length)
      || oh_keyring_follow (&control->keyring, OH_KEY_OPERATOR, bytes, length))
    {
      oh_log_info ("key_generation_followed", "generation=%u", control->keyring.generation);
      if (decode_and_dispatch (control, peer, bytes, length))
        return;
    }
  if (reply_with_current_generation (control, peer, bytes, length))
    return;
  oh_counter_increment (&control->messages_rejected);
  oh_log_debug ("message_rejected", "length=%zu reason=\"seal\"", length);
}

/* The operators' HTTP interface. */

/* Passes the change of a request to the core. */
static void
handle_request (control_t *control, uint64_t request, Oh__Change *change)
{
  g_autoptr (GBytes) route = make_request_route (request);
  Oh__Control message = OH__CONTROL__INIT;
  oh_control_event_t event = {
    .kind = OH_CONTROL_OPERATOR_MESSAGE,
    .message = { .route = route, .message = &message },
  };

  change->author = (char *)"operator";
  message.sender = (char *)"operator";
  message.body_case = OH__CONTROL__BODY_CHANGE;
  message.change = change;
  oh_counter_increment (&control->changes);
  handle_event (control, &event);
}

static void
on_publish (void *data, uint64_t request, const oh_publication_t *publication)
{
  control_t *control = data;
  Oh__Change change = OH__CHANGE__INIT;
  uint8_t id[OH_CHANGE_ID_BYTES];

  add_request (control, request, NULL);
  /* The id is derived from the publication, so that a retry gets the result of the first attempt. */
  oh_change_id_of_publication (publication->number, publication->document, id);
  change.id.data = id;
  change.id.len = sizeof id;
  change.kind = OH__CHANGE_KIND__CHANGE_PUBLISH;
  change.text = publication->text;
  change.number = publication->number;
  change.document.data = (uint8_t *)g_bytes_get_data (publication->document, &change.document.len);
  oh_log_info ("publication_received", "request=%" G_GUINT64_FORMAT " number=%" G_GUINT64_FORMAT " bytes=%zu",
               request, publication->number, change.document.len);
  handle_request (control, request, &change);
}

static void
on_zone_order (void *data, uint64_t request, const oh_zone_order_t *order)
{
  control_t *control = data;
  Oh__Change change = OH__CHANGE__INIT;
  uint8_t id[OH_CHANGE_ID_BYTES];

  oh_log_info ("zone_order_received", "request=%" G_GUINT64_FORMAT " zone=%s drain=%d", request, order->zone,
               order->drain);
  if (!oh_control_settings_has_zone (&control->settings, order->zone))
    {
      oh_log_warning ("zone_order_unknown", "request=%" G_GUINT64_FORMAT " zone=%s zones=%s", request,
                      order->zone, control->settings.zones);
      oh_operator_http_answer (control->operator_http, request, OH_PUBLISH_UNKNOWN, 0,
                               "the deployment does not have this zone");
      return;
    }
  add_request (control, request, order->zone);
  /* Orders have no identity, so that each copy is a change of its own. */
  oh_random_fill (oh_system_random (), id, sizeof id);
  change.id.data = id;
  change.id.len = sizeof id;
  change.kind = order->drain ? OH__CHANGE_KIND__CHANGE_DRAIN_ZONE : OH__CHANGE_KIND__CHANGE_UNDRAIN_ZONE;
  change.target = (char *)order->zone;
  handle_request (control, request, &change);
}

/* Logs the outcome of a read with everything that decided it. reason is NULL for a read that is answered. */
static void
log_read (const oh_control_core_t *core, int64_t now_us, const char *reason)
{
  const oh_control_confirmation_t based_on = oh_control_core_confirmation (core, now_us);
  g_autofree char *pairs = NULL;

  if (!oh_log_enabled (OH_LOG_INFO))
    return;
  pairs = g_strdup_printf (
    "number=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT " role=%s term=%" G_GUINT64_FORMAT
    " applied=%" G_GUINT64_FORMAT " commit=%" G_GUINT64_FORMAT " quorum_age_ms=%" G_GINT64_FORMAT
    " leader_age_ms=%" G_GINT64_FORMAT,
    core->state.published_number, core->state.version, oh_raft_role_name (oh_raft_role (&core->raft)),
    oh_raft_term (&core->raft), oh_raft_applied_index (&core->raft), oh_raft_commit_index (&core->raft),
    based_on.quorum_age_ms, based_on.leader_age_ms);
  if (reason == NULL)
    oh_log_limited (OH_LOG_MODULE, OH_LOG_INFO, "read_answered", "%s", pairs);
  else
    oh_log_limited (OH_LOG_MODULE, OH_LOG_INFO, "read_refused", "reason=%s %s", reason, pairs);
}

static GBytes *
on_read (void *data)
{
  const control_t *control = data;
  const int64_t now_us = oh_clock_now_us (oh_system_clock ());
  const char *reason = NULL;

  if (!oh_control_core_confirmed (&control->core, now_us))
    reason = "not-current";
  else if (control->core.state.document == NULL)
    reason = "no-document";
  log_read (&control->core, now_us, reason);
  return reason == NULL ? g_bytes_ref (control->core.state.document) : NULL;
}

static bool
start_operator_http (control_t *control, oh_error_t *error)
{
  static const oh_operator_api_callbacks_t callbacks = {
    .publish = on_publish,
    .order_zone = on_zone_order,
    .read = on_read,
  };

  if (control->settings.operators.port == 0)
    return true;
  control->operator_http = oh_operator_http_start (control->settings.operators, &callbacks, control, error);
  return control->operator_http != NULL;
}

static void
on_persisted (uint64_t id, const oh_error_t *error, void *data)
{
  control_t *control = data;
  oh_control_event_t event = { .kind = error == NULL ? OH_CONTROL_SYNCED : OH_CONTROL_STORAGE_FAILED };

  oh_histogram_observe (&control->persist_seconds,
                        oh_clock_now_us (oh_system_clock ()) - control->persist_started_us);
  event.persist.id = id;
  event.persist.full = error != NULL && error->code == OH_ERROR_CODE_NO_SPACE;
  if (error != NULL)
    oh_log_error ("persist_failed", "replica=%s reason=\"%s\"", control->settings.name, error->message);
  handle_event (control, &event);
}

static gboolean
on_tick (gpointer data)
{
  control_t *control = data;
  const oh_control_core_t *core = &control->core;
  oh_control_event_t event = { .kind = OH_CONTROL_TICK };

  handle_event (control, &event);
  oh_counter_set (&control->is_leader, oh_raft_role (&core->raft) == OH_RAFT_LEADER);
  oh_counter_set (&control->is_confirmed, oh_control_core_confirmed (core, event.now_us));
  oh_counter_set (&control->term, oh_raft_term (&core->raft));
  oh_counter_set (&control->version, core->state.version);
  oh_counter_set (&control->drained_zones, core->state.drained_zones->len);
  oh_counter_set (&control->applied_index, oh_raft_applied_index (&core->raft));
  oh_counter_set (&control->commit_index, oh_raft_commit_index (&core->raft));
  oh_counter_set (&control->nodes, g_hash_table_size (core->membership.nodes[0])
                                     + g_hash_table_size (core->membership.nodes[1]));
  return G_SOURCE_CONTINUE;
}

static gboolean
dispatch_raft_timer (GSource *source, GSourceFunc callback, gpointer data)
{
  g_source_set_ready_time (source, -1);
  return callback (data);
}

static gboolean
on_raft_timer (gpointer data)
{
  oh_control_event_t event = { .kind = OH_CONTROL_RAFT_TIMER };

  handle_event (data, &event);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_stop_limit (gpointer data)
{
  control_t *control = data;

  oh_log_warning ("stopped_as_voter", "replica=%s", control->settings.name);
  g_main_loop_quit (control->loop);
  return G_SOURCE_REMOVE;
}

/* The machine may be removed for good: before the process ends, a learner takes its place as a voter, if
 * there is one. */
static gboolean
on_stop_signal (gpointer data)
{
  control_t *control = data;
  oh_control_event_t event = { .kind = OH_CONTROL_LEAVE };

  if (control->stopping)
    return G_SOURCE_CONTINUE;
  oh_log_info ("stopping", "replica=%s role=%s", control->settings.name,
               oh_raft_role_name (oh_raft_role (&control->core.raft)));
  control->stopping = true;
  g_timeout_add (OH_RAFT_LEAVE_LIMIT_US / 1000, on_stop_limit, control);
  handle_event (control, &event);
  return G_SOURCE_CONTINUE;
}

static void
register_counters (control_t *control)
{
  const struct
  {
    oh_counter_t *counter;
    const char *name;
  } table[] = {
    { &control->messages_received, "messages_received" },
    { &control->messages_rejected, "messages_rejected" },
    { &control->received_bytes, "received_bytes" },
    { &control->sent_bytes, "sent_bytes" },
    { &control->polls, "polls" },
    { &control->changes, "changes" },
    { &control->is_leader, "leader" },
    { &control->is_confirmed, "confirmed" },
    { &control->term, "term" },
    { &control->version, "version" },
    { &control->drained_zones, "drained_zones" },
    { &control->applied_index, "applied_index" },
    { &control->commit_index, "commit_index" },
    { &control->nodes, "nodes" },
  };

  oh_counters_init (&control->counters);
  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    oh_counters_add (&control->counters, table[i].counter, table[i].name);
  oh_counters_add_histogram (&control->counters, &control->publish_latency, &control->publish_seconds,
                             "publish_seconds", "Time from a publication to its answer");
  oh_counters_add_histogram (&control->counters, &control->persist_latency, &control->persist_seconds,
                             "persist_seconds", "Time that the disk takes to sync a write of the log");
}

static void
on_settings_changed (void *data)
{
  control_t *control = data;
  oh_control_event_t event = { .kind = OH_CONTROL_SEEDS };
  oh_error_t error;

  if (!oh_control_settings_reload_seeds (&control->settings, control->settings_path, &error))
    {
      oh_log_error ("settings_rejected", "reason=\"%s\"", error.message);
      return;
    }
  if (control->settings.seeds[0] != '\0')
    {
      event.seeds.seeds = (const oh_raft_replica_t *)(gpointer)control->settings.initial_replicas->data;
      event.seeds.n_seeds = control->settings.initial_replicas->len;
      handle_event (control, &event);
    }
  oh_log_info ("reloaded", "seeds=%s", control->settings.seeds);
}

static void
start_timers (control_t *control)
{
  static GSourceFuncs raft_timer_funcs = { .dispatch = dispatch_raft_timer };

  control->raft_timer = g_source_new (&raft_timer_funcs, sizeof (GSource));
  g_source_set_callback (control->raft_timer, on_raft_timer, control, NULL);
  g_source_attach (control->raft_timer, NULL);
  g_timeout_add (OH_CONTROL_TICK_US / 1000, on_tick, control);
  g_unix_signal_add (SIGTERM, on_stop_signal, control);
  g_unix_signal_add (SIGINT, on_stop_signal, control);
}

/* Opens the data folder. A full disk is waited for: a restarted process would find it full as well. */
static oh_storage_t *
open_storage (const control_t *control, oh_recovered_state_t *recovered, oh_error_t *error)
{
  const oh_control_settings_t *settings = &control->settings;

  for (;;)
    {
      oh_storage_t *storage
        = oh_file_storage_open (settings->data, settings->name, oh_system_random (), recovered, error);

      if (storage != NULL || error->code != OH_ERROR_CODE_NO_SPACE)
        return storage;
      oh_log_warning ("storage_full_at_start", "replica=%s reason=\"%s\"", settings->name, error->message);
      g_usleep (STORAGE_RETRY_US);
    }
}

static bool
run (control_t *control, oh_error_t *error)
{
  const bool observer = control->settings.data[0] == '\0';
  oh_memory_storage_t memory_storage;
  oh_storage_t *storage = NULL;
  oh_recovered_state_t recovered = { 0 };
  oh_control_event_t start_event = { .kind = OH_CONTROL_START };
  oh_admin_t *admin = NULL;
  bool ok = false;

  if (observer)
    oh_memory_storage_init (&memory_storage, control->settings.name, oh_system_random (), &recovered);
  else
    storage = open_storage (control, &recovered, error);
  if (!observer && storage == NULL)
    goto out;
  control->storage_worker
    = oh_storage_worker_start (NULL, observer ? &memory_storage.storage : storage, on_persisted, control);
  control->server = oh_link_serve (NULL, control->settings.listen, on_message, control, error);
  if (control->server == NULL)
    goto out;
  if (control->settings.admin.port != 0)
    {
      admin = oh_admin_start (control->settings.admin, &control->counters, error);
      if (admin == NULL)
        goto out;
    }
  if (!start_operator_http (control, error))
    goto out;
  start_timers (control);
  oh_settings_watch_init (&control->watch, control->settings_path, on_settings_changed, control);
  start_event.start.recovered = &recovered;
  start_event.start.initial = (const oh_raft_replica_t *)(gpointer)control->settings.initial_replicas->data;
  start_event.start.n_initial = control->settings.initial_replicas->len;
  start_event.start.endpoint = oh_control_settings_endpoint (&control->settings);
  start_event.start.join = control->settings.join;
  if (control->settings.seeds[0] != '\0')
    start_event.start.target_voters = (unsigned)control->settings.tolerate * 2 + 1;
  start_event.start.observer = observer;
  start_event.start.may_bootstrap = !control->settings.join;
  start_event.start.compact_entries = (unsigned)control->settings.compact_entries;
  oh_log_info ("started", "replica=%s zone=%s listen=%s", control->settings.name, control->settings.zone,
               control->settings.listen);
  handle_event (control, &start_event);
  if (!control->core.has_failed)
    g_main_loop_run (control->loop);
  oh_settings_watch_finish (&control->watch);
  ok = true;

out:
  oh_storage_worker_stop (control->storage_worker);
  if (storage != NULL)
    oh_file_storage_close (storage);
  oh_operator_http_stop (control->operator_http);
  oh_admin_stop (admin);
  oh_link_close (control->server);
  g_hash_table_remove_all (control->replica_links);
  oh_recovered_state_clear (&recovered);
  return ok;
}

static void
close_link (gpointer link)
{
  oh_link_close (link);
}

int
main (int argc, char **argv)
{
  static const oh_control_sink_ops_t ops = {
    .reply = on_reply,
    .send_replica = on_send_replica,
    .persist = on_persist,
    .arm_timer = on_arm_timer,
    .advance_keys = on_advance_keys,
    .rejected = on_rejected,
    .log = on_log,
    .failed = on_failed,
  };
  oh_daemon_arguments_t arguments = { 0 };
  static control_t control;
  oh_error_t error;

  oh_daemon_parse_arguments (argc, argv, "Control replica of oriolehaven.", &arguments);
  control.sink.ops = &ops;
  control.settings_path = arguments.settings_path;
  if (!oh_control_settings_load (&control.settings, arguments.settings_path, &control.keyring,
                                 &control.log_level, &error))
    {
      g_printerr ("oriole-control: %s\n", error.message);
      return OH_EXIT_SETTINGS;
    }
  if (arguments.check)
    return EXIT_SUCCESS;
  oh_log_start (control.log_level, STDOUT_FILENO);
  register_counters (&control);
  control.requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_request);
  control.replica_links = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, close_link);
  control.loop = g_main_loop_new (NULL, FALSE);
  oh_control_core_init (&control.core, control.settings.name, oh_random_u64 (oh_system_random ()) | 1,
                        oh_system_random (), oh_clock_now_us (oh_system_clock ()));
  if (!run (&control, &error))
    {
      oh_log_error ("start_failed", "reason=\"%s\"", error.message);
      control.status = EXIT_FAILURE;
    }
  oh_log_info ("stopped", "replica=%s status=%d", control.settings.name, control.status);
  oh_control_core_finish (&control.core);
  g_hash_table_unref (control.requests);
  g_hash_table_unref (control.replica_links);
  g_main_loop_unref (control.loop);
  oh_keyring_finish (&control.keyring);
  oh_control_settings_finish (&control.settings);
  oh_log_stop ();
  return control.status;
}
