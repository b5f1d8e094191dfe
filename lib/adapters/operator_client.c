#include "adapters/operator_client.h"

#include <string.h>

#include "adapters/link.h"
#include "core/codec.h"

enum
{
  ANSWER_TIMEOUT_US = 300000, /* before the change is sent to the next replica; a late reply still counts */
  RETRY_INTERVAL_US = 100000, /* between attempts to send a message that has to be sent again */
  QUERY_INTERVAL_US = 200000, /* between status queries while no reply is acceptable */
};

typedef struct
{
  oh_operator_client_t *client;
  char *endpoint;
  oh_link_t *link;
  Oh__StatusReply *status;
  Oh__ChangeReply *change;
  bool resend; /* the message found no connection, or was sealed with an older key generation */
} replica_t;

struct oh_operator_client
{
  GMainContext *context;
  oh_keyring_t *keyring;
  GPtrArray *replicas; /* of replica_t *: the configured ones, then leaders that replies named */
  guint n_configured;
};

static void
clear_answers (replica_t *replica)
{
  if (replica->status != NULL)
    oh__status_reply__free_unpacked (replica->status, NULL);
  if (replica->change != NULL)
    oh__change_reply__free_unpacked (replica->change, NULL);
  replica->status = NULL;
  replica->change = NULL;
}

static void
free_replica (gpointer data)
{
  replica_t *replica = data;

  clear_answers (replica);
  oh_link_close (replica->link);
  g_free (replica->endpoint);
  g_free (replica);
}

static void
store_reply (replica_t *replica, Oh__Control *message)
{
  if (message->body_case == OH__CONTROL__BODY_CHANGE_REPLY)
    {
      clear_answers (replica);
      replica->change = message->change_reply;
      message->body_case = OH__CONTROL__BODY__NOT_SET;
    }
  /* A status reply without a replica name only conveys the key generation. */
  else if (message->body_case == OH__CONTROL__BODY_STATUS_REPLY && message->status_reply->replica[0] != '\0')
    {
      clear_answers (replica);
      replica->status = message->status_reply;
      message->body_case = OH__CONTROL__BODY__NOT_SET;
    }
  oh__control__free_unpacked (message, NULL);
}

static void
on_message (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length, void *data)
{
  replica_t *replica = data;
  oh_keyring_t *keyring = replica->client->keyring;
  Oh__Control *message;

  (void)link;
  (void)peer;
  if (oh_keyring_follow (keyring, OH_KEY_OPERATOR, bytes, length))
    for (guint i = 0; i < replica->client->replicas->len; i++)
      ((replica_t *)g_ptr_array_index (replica->client->replicas, i))->resend = true;
  message = oh_control_decode (keyring, OH_KEY_OPERATOR, bytes, length, NULL);
  if (message != NULL)
    store_reply (replica, message);
}

static replica_t *
add_replica (oh_operator_client_t *client, const char *endpoint, oh_error_t *error)
{
  replica_t *replica = g_new0 (replica_t, 1);

  replica->client = client;
  replica->endpoint = g_strdup (endpoint);
  replica->link = oh_link_connect_unqueued (client->context, endpoint, on_message, replica, error);
  if (replica->link == NULL)
    {
      free_replica (replica);
      return NULL;
    }
  g_ptr_array_add (client->replicas, replica);
  return replica;
}

static void
send_message (replica_t *replica, Oh__Control *message)
{
  size_t length;
  g_autofree uint8_t *bytes = NULL;

  message->sender = (char *)"operator";
  bytes = oh_control_encode (message, replica->client->keyring, OH_KEY_OPERATOR, &length);
  replica->resend = !oh_link_send (replica->link, NULL, bytes, length);
}

static gboolean
on_deadline (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

/* Runs the main context once: returns after a message was handled or at the deadline. */
static void
iterate_until (oh_operator_client_t *client, int64_t deadline_us)
{
  const int64_t now_us = g_get_monotonic_time ();
  bool due = false;
  GSource *source
    = g_timeout_source_new (deadline_us > now_us ? (guint)((deadline_us - now_us) / 1000) + 1 : 0);

  g_source_set_callback (source, on_deadline, &due, NULL);
  g_source_attach (source, client->context);
  g_main_context_iteration (client->context, TRUE);
  g_source_destroy (source);
  g_source_unref (source);
}

static void
send_status_query (replica_t *replica, bool want_text)
{
  Oh__Control message = OH__CONTROL__INIT;
  Oh__StatusQuery query = OH__STATUS_QUERY__INIT;

  query.want_text = want_text;
  message.body_case = OH__CONTROL__BODY_STATUS_QUERY;
  message.status_query = &query;
  send_message (replica, &message);
}

static replica_t *
find_or_add_replica (oh_operator_client_t *client, const char *endpoint)
{
  for (guint i = 0; i < client->replicas->len; i++)
    {
      replica_t *replica = g_ptr_array_index (client->replicas, i);

      if (strcmp (replica->endpoint, endpoint) == 0)
        return replica;
    }
  return add_replica (client, endpoint, NULL);
}

static bool
is_final (Oh__ChangeStatus status)
{
  return status == OH__CHANGE_STATUS__CHANGE_ACCEPTED || status == OH__CHANGE_STATUS__CHANGE_CONFLICT
         || status == OH__CHANGE_STATUS__CHANGE_INVALID;
}

/* Returns the replica's reply to the change, owned by the caller, or NULL if there is none. */
static Oh__ChangeReply *
steal_reply (replica_t *replica, const Oh__Change *change)
{
  const Oh__ChangeReply *reply = replica->change;

  if (reply == NULL || reply->id.len != change->id.len
      || memcmp (reply->id.data, change->id.data, reply->id.len) != 0)
    return NULL;
  return g_steal_pointer (&replica->change);
}

/*
 * Sends the change to one replica. Returns its reply, or a final reply of any replica that the change was
 * sent to before; NULL if there is none before the deadline.
 */
static Oh__ChangeReply *
request_change (replica_t *recipient, const Oh__Change *change, int64_t deadline_us)
{
  oh_operator_client_t *client = recipient->client;
  Oh__Control message = OH__CONTROL__INIT;

  message.body_case = OH__CONTROL__BODY_CHANGE;
  message.change = (Oh__Change *)change;
  send_message (recipient, &message);
  while (g_get_monotonic_time () < deadline_us)
    {
      for (guint i = 0; i < client->replicas->len; i++)
        {
          replica_t *replica = g_ptr_array_index (client->replicas, i);
          Oh__ChangeReply *reply = steal_reply (replica, change);

          if (reply != NULL && (replica == recipient || is_final (reply->status)))
            return reply;
          if (reply != NULL)
            oh__change_reply__free_unpacked (reply, NULL);
        }
      if (recipient->resend)
        send_message (recipient, &message);
      iterate_until (client, MIN (deadline_us, g_get_monotonic_time () + RETRY_INTERVAL_US));
    }
  return NULL;
}

/* Returns the leader that the reply names, or else the next configured replica. */
static replica_t *
choose_next_replica (oh_operator_client_t *client, const replica_t *recipient, const Oh__ChangeReply *reply,
                     guint *position)
{
  if (reply != NULL && reply->leader[0] != '\0' && strcmp (reply->leader, recipient->endpoint) != 0)
    {
      replica_t *leader = find_or_add_replica (client, reply->leader);

      if (leader != NULL)
        return leader;
    }
  *position = (*position + 1) % client->n_configured;
  return g_ptr_array_index (client->replicas, *position);
}

oh_operator_client_t *
oh_operator_client_open (const char *replicas, oh_keyring_t *keyring, oh_error_t *error)
{
  oh_operator_client_t *client = g_new0 (oh_operator_client_t, 1);
  g_auto (GStrv) endpoints = g_strsplit (replicas, ",", -1);

  client->context = g_main_context_new ();
  client->keyring = keyring;
  client->replicas = g_ptr_array_new_with_free_func (free_replica);
  for (char **endpoint = endpoints; *endpoint != NULL; endpoint++)
    if (add_replica (client, g_strstrip (*endpoint), error) == NULL)
      {
        oh_operator_client_close (client);
        return NULL;
      }
  client->n_configured = client->replicas->len;
  if (client->n_configured == 0)
    {
      oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_BAD_VALUE,
                    "replicas \"\": expected endpoints tcp://IPV4:PORT, separated by commas");
      oh_operator_client_close (client);
      return NULL;
    }
  return client;
}

void
oh_operator_client_close (oh_operator_client_t *client)
{
  if (client == NULL)
    return;
  g_ptr_array_unref (client->replicas);
  g_main_context_unref (client->context);
  g_free (client);
}

Oh__ChangeReply *
oh_operator_client_change (oh_operator_client_t *client, const Oh__Change *change, int timeout_ms,
                           oh_error_t *error)
{
  const int64_t deadline_us = g_get_monotonic_time () + timeout_ms * G_GINT64_CONSTANT (1000);
  guint position = 0;
  replica_t *replica = g_ptr_array_index (client->replicas, 0);

  oh_error_set (error, OH_ERROR_STATE, OH_ERROR_CODE_UNAVAILABLE, "no replica answered");
  for (guint i = 0; i < client->replicas->len; i++)
    clear_answers (g_ptr_array_index (client->replicas, i));
  while (g_get_monotonic_time () < deadline_us)
    {
      Oh__ChangeReply *reply
        = request_change (replica, change, MIN (deadline_us, g_get_monotonic_time () + ANSWER_TIMEOUT_US));
      replica_t *next;

      if (reply != NULL && is_final (reply->status))
        return reply;
      next = choose_next_replica (client, replica, reply, &position);
      if (reply != NULL)
        {
          oh_error_set (error, OH_ERROR_STATE, OH_ERROR_CODE_UNAVAILABLE, "%s: %s", replica->endpoint,
                        reply->detail);
          /* Prevents a busy loop when two replicas name each other as the leader. */
          g_usleep (RETRY_INTERVAL_US / 4);
          oh__change_reply__free_unpacked (reply, NULL);
        }
      replica = next;
    }
  return NULL;
}

Oh__StatusReply *
oh_operator_client_confirmed_status (oh_operator_client_t *client, bool want_text, int timeout_ms,
                                     oh_error_t *error)
{
  const int64_t start_us = g_get_monotonic_time ();
  const int64_t deadline_us = start_us + timeout_ms * G_GINT64_CONSTANT (1000);
  int64_t now_us;

  for (guint i = 0; i < client->replicas->len; i++)
    clear_answers (g_ptr_array_index (client->replicas, i));
  while ((now_us = g_get_monotonic_time ()) < deadline_us)
    {
      const int64_t next_query_us = MIN (deadline_us, now_us + QUERY_INTERVAL_US);

      for (guint i = 0; i < client->replicas->len; i++)
        send_status_query (g_ptr_array_index (client->replicas, i), want_text);
      while ((now_us = g_get_monotonic_time ()) < next_query_us)
        {
          for (guint i = 0; i < client->replicas->len; i++)
            {
              replica_t *replica = g_ptr_array_index (client->replicas, i);
              const Oh__StatusReply *status = replica->status;

              if (status != NULL && status->confirmed
                  && (status->leader || now_us - start_us > (deadline_us - start_us) / 2))
                return g_steal_pointer (&replica->status);
              if (replica->resend)
                send_status_query (replica, want_text);
            }
          iterate_until (client, MIN (next_query_us, now_us + RETRY_INTERVAL_US));
        }
    }
  oh_error_set (error, OH_ERROR_STATE, OH_ERROR_CODE_UNAVAILABLE,
                "no answer from a replica that leads or is in contact with the leader");
  return NULL;
}

GArray *
oh_operator_client_status (oh_operator_client_t *client, int timeout_ms)
{
  const int64_t deadline_us = g_get_monotonic_time () + timeout_ms * G_GINT64_CONSTANT (1000);
  GArray *result = g_array_new (FALSE, TRUE, sizeof (oh_replica_status_t));
  guint answered = 0;

  for (guint i = 0; i < client->n_configured; i++)
    {
      replica_t *replica = g_ptr_array_index (client->replicas, i);

      clear_answers (replica);
      send_status_query (replica, false);
    }
  while (answered < client->n_configured && g_get_monotonic_time () < deadline_us)
    {
      answered = 0;
      for (guint i = 0; i < client->n_configured; i++)
        {
          replica_t *replica = g_ptr_array_index (client->replicas, i);

          answered += replica->status != NULL;
          if (replica->resend)
            send_status_query (replica, false);
        }
      if (answered < client->n_configured)
        iterate_until (client, MIN (deadline_us, g_get_monotonic_time () + RETRY_INTERVAL_US));
    }
  for (guint i = 0; i < client->n_configured; i++)
    {
      const replica_t *replica = g_ptr_array_index (client->replicas, i);
      const oh_replica_status_t status = { .endpoint = replica->endpoint, .reply = replica->status };

      g_array_append_val (result, status);
    }
  return result;
}
