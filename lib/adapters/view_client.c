#define OH_LOG_MODULE "view_client"
#include "base/log.h"

#include "adapters/view_client.h"

#include <string.h>

#include "adapters/system_clock.h"
#include "core/codec.h"
#include "core/list_reader.h"
#include "core/replica_poll.h"

enum
{
  TICK_MS = 50,    /* interval at which polls ahead of the regular ones are sent */
  POLL_TICKS = 20, /* between regular polls */
  /* A member's lease: what a silent replica listed is older than that. */
  REPLICA_TIMEOUT_US = 3 * G_USEC_PER_SEC,
  /* For the text of a version that other replicas have. A text of 50 KB takes 200 ms at 2 Mbit/s. */
  TEXT_TIMEOUT_MS = 500,
  MIN_LISTED_REPLICAS = 2, /* responsive voters needed before other replicas are dropped */
  LEAVE_FLUSH_MS = 20,     /* for the I/O thread to send the last poll; closing discards what is unsent */
};

typedef struct
{
  oh_view_client_t *client;
  unsigned index; /* in the merged view */
  char *endpoint;
  oh_link_t *link;
  oh_list_reader_t reader;     /* of the list that this replica sends */
  oh_replica_poll_t poll;      /* polls until the view is confirmed */
  int64_t last_view_us;        /* last view; 0: none, or the replica was found silent */
  int64_t responsive_since_us; /* start of the current period without a gap above REPLICA_TIMEOUT_US */
  bool poll_unsent;            /* poll at the next tick: new replica, or no connection for the last poll */
  uint64_t withheld_version;   /* the last version whose text it withheld */
  bool listed;                 /* in the replica set of the last confirmed view */
} replica_t;

struct oh_view_client
{
  GMainContext *context;
  char *configured; /* endpoints of the settings, separated by commas */
  char *name;
  Oh__NodeRole role;
  char *zone;
  oh_keyring_t *keyring;
  oh_view_client_callbacks_t callbacks;
  void *data;
  oh_view_t view;
  GPtrArray *replicas;           /* of replica_t * */
  replica_t *text_source;        /* the replica that sends the text; NULL before the first answer */
  int64_t text_missing_since_us; /* since when a version without its text is known; 0: none */
  GSource *timer;
  unsigned ticks;
  int64_t started_us;
};

static void
free_replica (gpointer data)
{
  replica_t *replica = data;

  oh_link_close (replica->link);
  g_free (replica->endpoint);
  g_free (replica);
}

static void handle_message (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length, void *data);

static void
send_poll (replica_t *replica, const Oh__Poll *poll)
{
  oh_view_client_t *client = replica->client;
  Oh__Control message = OH__CONTROL__INIT;
  Oh__Poll replica_poll = *poll;
  g_autofree uint8_t *bytes = NULL;
  size_t length;

  oh_list_reader_fill_poll (&replica->reader, &replica_poll);
  replica_poll.without_text = poll->without_text || replica != client->text_source;
  message.sender = client->name;
  message.body_case = OH__CONTROL__BODY_POLL;
  message.poll = &replica_poll;
  bytes = oh_control_encode (&message, client->keyring, OH_KEY_CONTROL, &length);
  replica->poll_unsent = !oh_link_send (replica->link, NULL, bytes, length);
  if (!replica->poll_unsent)
    oh_replica_poll_sent (&replica->poll, oh_clock_now_us (oh_system_clock ()));
}

/* Ahead of its regular poll: the last one found no connection, or the node waits for a confirmed view. */
static bool
is_poll_due (const replica_t *replica)
{
  const oh_view_t *view = &replica->client->view;
  /* Rounds to the nearest tick. */
  const int64_t now_us = oh_clock_now_us (oh_system_clock ()) + (int64_t)TICK_MS * 1000 / 2;

  return replica->poll_unsent
         || oh_replica_poll_is_due (&replica->poll, view->confirmed,
                                    view->members->len + view->balancers->len, now_us);
}

static void
send_some_polls (oh_view_client_t *client, bool leaving, bool only_due)
{
  Oh__Poll poll = OH__POLL__INIT;

  poll.name = client->name;
  poll.role = client->role;
  poll.zone = client->zone;
  poll.version_in_force = client->view.version;
  poll.services_digest = client->view.services.digest;
  poll.leaving = leaving;
  if (client->callbacks.fill_poll != NULL)
    client->callbacks.fill_poll (&poll, client->data);
  client->view.without_text = poll.without_text;
  for (guint i = 0; i < client->replicas->len; i++)
    {
      replica_t *replica = g_ptr_array_index (client->replicas, i);

      if (!only_due || is_poll_due (replica))
        send_poll (replica, &poll);
    }
}

static void
send_polls (oh_view_client_t *client, bool leaving)
{
  send_some_polls (client, leaving, false);
}

static replica_t *
find_replica (const oh_view_client_t *client, const char *endpoint)
{
  for (guint i = 0; i < client->replicas->len; i++)
    {
      replica_t *replica = g_ptr_array_index (client->replicas, i);

      if (strcmp (replica->endpoint, endpoint) == 0)
        return replica;
    }
  return NULL;
}

static bool
index_in_use (const oh_view_client_t *client, unsigned index)
{
  for (guint i = 0; i < client->replicas->len; i++)
    if (((replica_t *)g_ptr_array_index (client->replicas, i))->index == index)
      return true;
  return false;
}

/*
 * Connects to a new replica. Returns NULL and sets the error if there are too many or the endpoint is
 * invalid.
 */
static replica_t *
add_replica (oh_view_client_t *client, const char *endpoint, oh_error_t *error)
{
  replica_t *replica;
  unsigned index = 0;

  while (index < OH_VIEW_REPLICAS_MAX && index_in_use (client, index))
    index++;
  if (index == OH_VIEW_REPLICAS_MAX)
    {
      oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_TOO_LARGE,
                    "replica \"%s\": expected at most %d replicas", endpoint, OH_VIEW_REPLICAS_MAX);
      return NULL;
    }
  replica = g_new0 (replica_t, 1);
  replica->client = client;
  replica->index = index;
  replica->endpoint = g_strdup (endpoint);
  replica->link = oh_link_connect_unqueued (client->context, endpoint, handle_message, replica, error);
  if (replica->link == NULL)
    {
      free_replica (replica);
      return NULL;
    }
  g_ptr_array_add (client->replicas, replica);
  return replica;
}

/*
 * Adds the replicas that a view lists and that are new, and marks those that a confirmed view lists.
 * adjust_polled_replicas drops the others.
 */
static void
update_listed_replicas (oh_view_client_t *client, const Oh__View *message)
{
  const oh_replica_list_use_t use = oh_replica_poll_list_use (client->view.confirmed, message->confirmed,
                                                              message->n_replicas, client->replicas->len);

  if (use == OH_REPLICA_LIST_IGNORED)
    return;
  for (guint i = 0; i < client->replicas->len && use == OH_REPLICA_LIST_IN_FORCE; i++)
    ((replica_t *)g_ptr_array_index (client->replicas, i))->listed = false;
  for (size_t i = 0; i < message->n_replicas; i++)
    {
      replica_t *replica = find_replica (client, message->replicas[i]);
      oh_error_t error;

      if (replica == NULL)
        {
          replica = add_replica (client, message->replicas[i], &error);
          if (replica == NULL)
            {
              oh_log_warning ("replica_unusable", "reason=\"%s\"", error.message);
              continue;
            }
          oh_log_info ("replica_learned", "replica=%s confirmed=%d", replica->endpoint, message->confirmed);
          replica->poll_unsent = true;
        }
      replica->listed |= use == OH_REPLICA_LIST_IN_FORCE;
    }
}

static void
merge_view (replica_t *replica, const Oh__View *message)
{
  oh_view_client_t *client = replica->client;
  const uint64_t version = client->view.version;
  const bool confirmed = client->view.confirmed;

  if (!oh_view_merge (&client->view, replica->index, message))
    return;
  oh_keyring_advance (client->keyring, client->view.key_generation);
  if (client->view.version != version)
    {
      oh_log_info ("version_in_effect", "version=%" G_GUINT64_FORMAT " confirmed=%d replica=%s",
                   client->view.version, client->view.confirmed, replica->endpoint);
      send_polls (client, false); /* replicas report the version in effect at each node */
    }
  if (client->view.confirmed && !confirmed)
    oh_log_info ("view_confirmed",
                 "version=%" G_GUINT64_FORMAT " replica=%s replicas=%u after_ms=%" G_GINT64_FORMAT,
                 client->view.version, replica->endpoint, client->replicas->len,
                 (oh_clock_now_us (oh_system_clock ()) - client->started_us) / 1000);
  if (client->callbacks.changed != NULL)
    client->callbacks.changed (&client->view, client->data);
}

static void
poll_for_lost_view (replica_t *replica, const Oh__View *message)
{
  oh_log_info ("view_lost", "replica=%s received=%" G_GUINT64_FORMAT " after=%" G_GUINT64_FORMAT,
               replica->endpoint, replica->reader.list_sequence, message->after);
  replica->poll_unsent = true;
}

static void
set_text_source (oh_view_client_t *client, replica_t *replica)
{
  client->text_source = replica;
  client->text_missing_since_us = 0;
  send_polls (client, false);
}

static void
handle_message (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length, void *data)
{
  replica_t *replica = data;
  oh_view_client_t *client = replica->client;
  oh_error_t error;
  Oh__Control *message = oh_control_decode (client->keyring, OH_KEY_CONTROL, bytes, length, &error);

  (void)link;
  (void)peer;
  if (message == NULL && oh_keyring_follow (client->keyring, OH_KEY_CONTROL, bytes, length))
    {
      oh_log_info ("key_generation_followed", "generation=%u replica=%s", client->keyring->generation,
                   replica->endpoint);
      message = oh_control_decode (client->keyring, OH_KEY_CONTROL, bytes, length, &error);
      send_polls (client, false);
    }
  if (message == NULL)
    {
      oh_log_warning ("message_rejected", "replica=%s reason=\"%s\"", replica->endpoint, error.message);
      return;
    }
  if (message->body_case == OH__CONTROL__BODY_VIEW)
    {
      const int64_t now_us = oh_clock_now_us (oh_system_clock ());

      if (replica->last_view_us == 0 || now_us - replica->last_view_us > REPLICA_TIMEOUT_US)
        replica->responsive_since_us = now_us;
      replica->last_view_us = now_us;
      oh_replica_poll_answered (&replica->poll, now_us);
      if (message->view->text_withheld)
        replica->withheld_version = message->view->version;
      update_listed_replicas (client, message->view);
      if (client->text_source == NULL || (!client->text_source->listed && replica->listed))
        set_text_source (client, replica);
      if (oh_list_reader_accept (&replica->reader, message->view))
        merge_view (replica, message->view);
      else
        poll_for_lost_view (replica, message->view);
    }
  oh__control__free_unpacked (message, NULL);
}

static bool
another_replica_is_stable (const oh_view_client_t *client, const replica_t *silent, int64_t now_us)
{
  for (guint i = 0; i < client->replicas->len; i++)
    {
      const replica_t *replica = g_ptr_array_index (client->replicas, i);

      if (replica != silent && replica->last_view_us != 0
          && now_us - replica->last_view_us <= REPLICA_TIMEOUT_US
          && now_us - replica->responsive_since_us > REPLICA_TIMEOUT_US)
        return true;
    }
  return false;
}

/*
 * Removes the entries that silent replicas listed: a member that fails after such a replica would otherwise
 * stay listed by it for ever. The entries stay until another replica has been responsive for longer than
 * REPLICA_TIMEOUT_US, so that a node that no replica answers keeps its view.
 */
static void
discard_silent_replica_entries (oh_view_client_t *client)
{
  const int64_t now_us = oh_clock_now_us (oh_system_clock ());

  for (guint i = 0; i < client->replicas->len; i++)
    {
      replica_t *replica = g_ptr_array_index (client->replicas, i);
      Oh__View empty = OH__VIEW__INIT;

      if (replica->last_view_us == 0 || now_us - replica->last_view_us <= REPLICA_TIMEOUT_US
          || !another_replica_is_stable (client, replica, now_us))
        continue;
      oh_log_warning ("replica_silent", "replica=%s", replica->endpoint);
      if (client->text_source == replica)
        client->text_source = NULL;
      replica->last_view_us = 0;
      oh_list_reader_reset (&replica->reader);
      empty.snapshot = true;
      merge_view (replica, &empty);
    }
}

/* Adds the replicas of the settings, endpoints separated by commas, that are not polled yet. */
static bool
add_configured_replicas (oh_view_client_t *client, const char *replicas, oh_error_t *error)
{
  g_auto (GStrv) endpoints = g_strsplit (replicas, ",", -1);

  for (char **endpoint = endpoints; *endpoint != NULL; endpoint++)
    {
      replica_t *replica = find_replica (client, g_strstrip (*endpoint));

      if (replica == NULL)
        replica = add_replica (client, *endpoint, error);
      if (replica == NULL)
        return false;
    }
  if (client->replicas->len == 0)
    return oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_BAD_VALUE,
                         "replicas \"\": expected endpoints tcp://IPV4:PORT, separated by commas");
  return true;
}

static unsigned
count_responsive_replicas (const oh_view_client_t *client, bool listed_only)
{
  const int64_t now_us = oh_clock_now_us (oh_system_clock ());
  unsigned count = 0;

  for (guint i = 0; i < client->replicas->len; i++)
    {
      const replica_t *replica = g_ptr_array_index (client->replicas, i);

      count += replica->last_view_us != 0 && now_us - replica->last_view_us <= REPLICA_TIMEOUT_US
               && (replica->listed || !listed_only);
    }
  return count;
}

/*
 * Nodes poll the voters. Other replicas, such as the seeds in the settings, only serve to find the voters:
 * they are dropped once enough voters answer, except for the text source. The configured ones are added again
 * when no replica answers.
 */
static void
adjust_polled_replicas (oh_view_client_t *client)
{
  oh_error_t error;

  if (count_responsive_replicas (client, false) == 0)
    {
      if (!add_configured_replicas (client, client->configured, &error))
        oh_log_warning ("replica_unusable", "reason=\"%s\"", error.message);
      return;
    }
  if (count_responsive_replicas (client, true) < MIN_LISTED_REPLICAS)
    return;
  for (guint i = client->replicas->len; i > 0; i--)
    {
      replica_t *replica = g_ptr_array_index (client->replicas, i - 1);
      Oh__View empty = OH__VIEW__INIT;

      if (replica->listed || replica == client->text_source)
        continue;
      oh_log_info ("replica_dropped", "replica=%s", replica->endpoint);
      empty.snapshot = true;
      merge_view (replica, &empty);
      g_ptr_array_remove_index (client->replicas, i - 1);
    }
}

/* Selects another text source if the current one has been behind other replicas for TEXT_TIMEOUT_MS. */
static void
replace_stale_text_source (oh_view_client_t *client)
{
  const int64_t now_us = oh_clock_now_us (oh_system_clock ());

  if (client->view.without_text || client->view.withheld_version <= client->view.version)
    {
      client->text_missing_since_us = 0;
      return;
    }
  if (client->text_missing_since_us == 0)
    client->text_missing_since_us = now_us;
  if (now_us - client->text_missing_since_us < (int64_t)TEXT_TIMEOUT_MS * 1000)
    return;
  for (guint i = 0; i < client->replicas->len; i++)
    {
      replica_t *replica = g_ptr_array_index (client->replicas, i);

      if (replica == client->text_source || replica->withheld_version <= client->view.version)
        continue;
      oh_log_info ("text_source_changed", "replica=%s version=%" G_GUINT64_FORMAT, replica->endpoint,
                   replica->withheld_version);
      set_text_source (client, replica);
      return;
    }
}

static gboolean
on_timer (gpointer data)
{
  oh_view_client_t *client = data;

  client->ticks++;
  replace_stale_text_source (client);
  if (client->ticks % POLL_TICKS == 0)
    {
      discard_silent_replica_entries (client);
      adjust_polled_replicas (client);
    }
  send_some_polls (client, false, client->ticks % POLL_TICKS != 0);
  return G_SOURCE_CONTINUE;
}

static void
free_client (oh_view_client_t *client)
{
  if (client->timer != NULL)
    {
      g_source_destroy (client->timer);
      g_source_unref (client->timer);
    }
  g_ptr_array_unref (client->replicas);
  oh_view_finish (&client->view);
  g_free (client->configured);
  g_free (client->name);
  g_free (client->zone);
  g_free (client);
}

oh_view_client_t *
oh_view_client_start (GMainContext *context, const char *name, Oh__NodeRole role, const char *zone,
                      const char *replicas, oh_keyring_t *keyring,
                      const oh_view_client_callbacks_t *callbacks, void *data, oh_error_t *error)
{
  oh_view_client_t *client = g_new0 (oh_view_client_t, 1);

  client->context = context;
  client->configured = g_strdup (replicas);
  client->name = g_strdup (name);
  client->role = role;
  client->zone = g_strdup (zone != NULL ? zone : "");
  client->keyring = keyring;
  client->callbacks = *callbacks;
  client->data = data;
  client->started_us = oh_clock_now_us (oh_system_clock ());
  client->replicas = g_ptr_array_new_with_free_func (free_replica);
  oh_view_init (&client->view);
  if (!add_configured_replicas (client, replicas, error))
    {
      free_client (client);
      return NULL;
    }
  client->timer = g_timeout_source_new (TICK_MS);
  g_source_set_callback (client->timer, on_timer, client, NULL);
  g_source_attach (client->timer, context);
  send_polls (client, false);
  return client;
}

bool
oh_view_client_set_replicas (oh_view_client_t *client, const char *replicas, oh_error_t *error)
{
  g_free (client->configured);
  client->configured = g_strdup (replicas);
  return count_responsive_replicas (client, true) >= MIN_LISTED_REPLICAS
         || add_configured_replicas (client, replicas, error);
}

void
oh_view_client_poll_now (oh_view_client_t *client)
{
  send_polls (client, false);
}

void
oh_view_client_stop (oh_view_client_t *client)
{
  if (client == NULL)
    return;
  send_polls (client, true);
  g_usleep (LEAVE_FLUSH_MS * 1000);
  free_client (client);
}

void
oh_view_client_stop_without_leaving (oh_view_client_t *client)
{
  if (client != NULL)
    free_client (client);
}
