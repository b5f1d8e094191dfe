#define OH_LOG_MODULE "http_upstream"
#include "adapters/http_upstream.h"

#include <libsoup/soup.h>
#include <string.h>

#include "adapters/sse_parser.h"
#include "base/log.h"
#include "core/codec.h"

enum
{
  READ_BUFFER_BYTES = 16 * 1024, /* also the most that a paused answer can still deliver */
  POLL_INTERVAL_MS = 1000,
  POLL_TIMEOUT_S = 1,
  CANCEL_TIMEOUT_S = 2,
  POLL_CONNECTIONS = 4,
};

struct oh_http_upstream
{
  oh_upstream_t base;
  SoupSession *requests;
  SoupSession *polls; /* health and load; separate, so that requests cannot delay them */
  SoupSession *cancels;
  char *url;
  char *service;
  oh_http_upstream_handler_t handler;
  void *data;
  GHashTable *calls;     /* id -> call_t */
  GCancellable *stopped; /* cancelled when the adapter stops */
  guint timer;
  bool health_pending; /* a poll is in progress */
  bool load_pending;
};

/* An HTTP request to the upstream, until its last event or until it is abandoned. */
typedef struct
{
  uint64_t id;
  oh_http_upstream_t *upstream;
  char *resource_url; /* for the cancellation */
  bool feed;
  SoupMessage *message;
  GInputStream *body;
  GCancellable *cancellable;
  unsigned status; /* of the first response; 0: none yet */
  bool sent;       /* libsoup began to write the request */
  bool paused;
  bool pending;        /* an asynchronous operation refers to the call */
  bool ended;          /* no event may follow */
  oh_sse_parser_t sse; /* feeds */
  uint8_t buffer[READ_BUFFER_BYTES];
} call_t;

typedef struct
{
  oh_http_upstream_t *upstream;
  uint64_t id;
  SoupMessage *message;
} cancel_t;

static void read_more (call_t *call);

static guint
hash_id (gconstpointer key)
{
  return (guint) * (const uint64_t *)key;
}

static gboolean
equal_ids (gconstpointer a, gconstpointer b)
{
  return *(const uint64_t *)a == *(const uint64_t *)b;
}

static const char *
kind_name (Oh__RequestKind kind)
{
  switch (kind)
    {
    case OH__REQUEST_KIND__REQUEST_ONCE:
      return "once";
    case OH__REQUEST_KIND__REQUEST_REPEATABLE:
      return "repeatable";
    case OH__REQUEST_KIND__REQUEST_TRANSFER:
      return "transfer";
    case OH__REQUEST_KIND__REQUEST_FEED:
      return "feed";
    case _OH__REQUEST_KIND_IS_INT_SIZE:
      break;
    }
  return "once";
}

static void
free_call (call_t *call)
{
  g_clear_object (&call->body);
  g_signal_handlers_disconnect_by_data (call->message, call);
  g_clear_object (&call->message);
  g_clear_object (&call->cancellable);
  oh_sse_parser_finish (&call->sse);
  g_free (call->resource_url);
  g_free (call);
}

/* Ends the call: its operations emit no more events. The caller or the pending operation frees the memory. */
static void
end_call (call_t *call)
{
  g_assert (!call->ended);
  call->ended = true;
  g_hash_table_remove (call->upstream->calls, &call->id);
  g_cancellable_cancel (call->cancellable);
}

/* For callers outside the call's own operations. A pending operation frees the memory when it completes. */
static void
end_and_free_call (call_t *call)
{
  end_call (call);
  if (!call->pending)
    free_call (call);
}

static void
emit (const call_t *call, oh_upstream_event_t event)
{
  event.id = call->id;
  call->upstream->handler (&event, call->upstream->data);
}

static void
fail_call (call_t *call, oh_upstream_failure_t failure)
{
  oh_http_upstream_t *upstream = call->upstream;
  const oh_upstream_event_t event = { .kind = OH_UPSTREAM_FAILED, .id = call->id, .failure = failure };

  end_call (call);
  upstream->handler (&event, upstream->data);
}

static oh_upstream_failure_t
failure_of_status (unsigned status)
{
  switch (status)
    {
    case SOUP_STATUS_SERVICE_UNAVAILABLE:
      return OH_UPSTREAM_SHED;
    case SOUP_STATUS_MISDIRECTED_REQUEST:
      return OH_UPSTREAM_WRONG_SERVICE;
    case SOUP_STATUS_GATEWAY_TIMEOUT:
      return OH_UPSTREAM_DEADLINE;
    default:
      return OH_UPSTREAM_ERROR;
    }
}

static bool
deliver_item (uint64_t id, const char *bytes, size_t length, void *data)
{
  call_t *call = data;

  emit (call, (oh_upstream_event_t){
                .kind = OH_UPSTREAM_ITEM,
                .data = { .bytes = (const uint8_t *)bytes, .length = length, .item = id },
              });
  return !call->ended;
}

static void
deliver_bytes (call_t *call, size_t length)
{
  if (!call->feed)
    {
      emit (call, (oh_upstream_event_t){
                    .kind = OH_UPSTREAM_DATA,
                    .data = { .bytes = call->buffer, .length = length },
                  });
      return;
    }
  if (!oh_sse_parser_feed (&call->sse, (const char *)call->buffer, length, deliver_item, call)
      && !call->ended)
    fail_call (call, OH_UPSTREAM_ERROR);
}

/*
 * Concludes an operation: frees the call if it has ended, or else reads on. pending stays set until here, so
 * that the event handler can end the call without freeing it while the operation's callback uses it.
 */
static void
finish_operation (call_t *call)
{
  call->pending = false;
  if (call->ended)
    free_call (call);
  else
    read_more (call);
}

static void
on_read (GObject *source, GAsyncResult *result, gpointer data)
{
  call_t *call = data;
  const gssize length = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);

  if (!call->ended && length > 0)
    deliver_bytes (call, (size_t)length);
  else if (!call->ended && length < 0)
    fail_call (call, OH_UPSTREAM_CONNECTION_LOST);
  else if (!call->ended)
    {
      oh_http_upstream_t *upstream = call->upstream;
      const oh_upstream_event_t event = { .kind = OH_UPSTREAM_END, .id = call->id };

      end_call (call);
      upstream->handler (&event, upstream->data);
    }
  finish_operation (call);
}

static void
read_more (call_t *call)
{
  if (call->paused || call->pending || call->body == NULL)
    return;
  call->pending = true;
  g_input_stream_read_async (call->body, call->buffer, sizeof call->buffer, G_PRIORITY_DEFAULT,
                             call->cancellable, on_read, call);
}

/* Returns 0 if the response has no entity tag. */
static uint64_t
entity_tag_hash (SoupMessage *message)
{
  const char *text = soup_message_headers_get_one (soup_message_get_response_headers (message), "ETag");

  return text != NULL ? oh_service_id (text) : 0;
}

static void
on_response (GObject *source, GAsyncResult *result, gpointer data)
{
  call_t *call = data;
  const bool success = call->status == SOUP_STATUS_OK || call->status == SOUP_STATUS_PARTIAL_CONTENT;

  call->body = soup_session_send_finish (SOUP_SESSION (source), result, NULL);
  if (call->ended)
    ;
  else if (call->status != 0 && !success)
    fail_call (call, failure_of_status (call->status));
  else if (call->body == NULL)
    fail_call (call, call->sent ? OH_UPSTREAM_CONNECTION_LOST : OH_UPSTREAM_NOT_SENT);
  else
    emit (call, (oh_upstream_event_t){
                  .kind = OH_UPSTREAM_STARTED,
                  .started = { .tag = entity_tag_hash (call->message),
                               .partial = call->status == SOUP_STATUS_PARTIAL_CONTENT },
                });
  finish_operation (call);
}

static void
on_starting (SoupMessage *message, gpointer data)
{
  (void)message;
  ((call_t *)data)->sent = true;
}

static void
on_headers (SoupMessage *message, gpointer data)
{
  call_t *call = data;

  if (call->status == 0)
    call->status = soup_message_get_status (message);
}

/*
 * libsoup is about to send the request again, for instance after status 421. That is prevented, as a request
 * must reach the upstream at most once.
 */
static void
on_restarted (SoupMessage *message, gpointer data)
{
  (void)message;
  g_cancellable_cancel (((call_t *)data)->cancellable);
}

static void
set_headers (SoupMessage *message, const char *service, const char *flow,
             const oh_upstream_request_t *request)
{
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);
  char number[24];

  soup_message_headers_append (headers, "Oriole-Service", service);
  soup_message_headers_append (headers, "Oriole-Flow", flow);
  g_snprintf (number, sizeof number, "%u", request->number);
  soup_message_headers_append (headers, "Oriole-Request", number);
  soup_message_headers_append (headers, "Oriole-Kind", kind_name (request->kind));
  g_snprintf (number, sizeof number, "%u", request->priority);
  soup_message_headers_append (headers, "Oriole-Priority", number);
  if (request->remaining_ms > 0)
    {
      g_snprintf (number, sizeof number, "%" G_GINT64_FORMAT, request->remaining_ms);
      soup_message_headers_append (headers, "Oriole-Deadline-Ms", number);
    }
  if (request->resume && request->kind == OH__REQUEST_KIND__REQUEST_FEED)
    {
      g_snprintf (number, sizeof number, "%" G_GUINT64_FORMAT, request->last_event_id);
      soup_message_headers_append (headers, "Last-Event-ID", number);
    }
  else if (request->resume)
    {
      g_autofree char *range
        = g_strdup_printf ("bytes=%" G_GUINT64_FORMAT "-", request->resume_chunk * OH_CHUNK_MAX_BYTES);

      soup_message_headers_append (headers, "Range", range);
    }
}

static void
start_call (oh_upstream_t *base, const oh_upstream_request_t *request)
{
  oh_http_upstream_t *upstream = (oh_http_upstream_t *)base;
  call_t *call = g_new0 (call_t, 1);
  char flow[2 * OH_FLOW_ID_BYTES + 1];
  g_autofree char *url = g_strdup_printf ("%s/request", upstream->url);
  g_autoptr (GBytes) payload = g_bytes_new (request->payload, request->payload_length);

  for (unsigned i = 0; i < OH_FLOW_ID_BYTES; i++)
    g_snprintf (flow + 2 * (size_t)i, 3, "%02x", request->flow.bytes[i]);
  call->id = request->id;
  call->upstream = upstream;
  call->feed = request->kind == OH__REQUEST_KIND__REQUEST_FEED;
  call->resource_url = g_strdup_printf ("%s/request/%s/%u", upstream->url, flow, request->number);
  call->message = soup_message_new ("POST", url);
  call->cancellable = g_cancellable_new ();
  oh_sse_parser_init (&call->sse);
  /* A request must reach the upstream at most once, so libsoup must have no reason to send it again: it
   * follows no redirects, and uses a new connection, since the upstream could close a reused one at that
   * moment. */
  soup_message_add_flags (call->message, SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_NEW_CONNECTION);
  soup_message_set_request_body_from_bytes (call->message, "application/octet-stream", payload);
  set_headers (call->message, upstream->service, flow, request);
  g_signal_connect (call->message, "starting", G_CALLBACK (on_starting), call);
  g_signal_connect (call->message, "got-headers", G_CALLBACK (on_headers), call);
  g_signal_connect (call->message, "restarted", G_CALLBACK (on_restarted), call);
  g_hash_table_insert (upstream->calls, &call->id, call);
  call->pending = true;
  soup_session_send_async (upstream->requests, call->message, G_PRIORITY_DEFAULT, call->cancellable,
                           on_response, call);
}

static void
on_cancelled (GObject *source, GAsyncResult *result, gpointer data)
{
  cancel_t *cancel = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  const char *ran = NULL;

  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    goto done;
  if (body != NULL && soup_message_get_status (cancel->message) == SOUP_STATUS_OK)
    ran = soup_message_headers_get_one (soup_message_get_response_headers (cancel->message), "Oriole-Ran");
  cancel->upstream->handler (
    &(oh_upstream_event_t){
      .kind = OH_UPSTREAM_CANCEL_RESULT,
      .id = cancel->id,
      .cancel_result = g_strcmp0 (ran, "no") == 0    ? OH_CANCEL_RESULT_NOT_RUN
                       : g_strcmp0 (ran, "yes") == 0 ? OH_CANCEL_RESULT_RUN
                                                     : OH_CANCEL_RESULT_UNKNOWN,
    },
    cancel->upstream->data);

done:
  g_object_unref (cancel->message);
  g_free (cancel);
}

static void
cancel_call (oh_upstream_t *base, uint64_t id)
{
  oh_http_upstream_t *upstream = (oh_http_upstream_t *)base;
  const call_t *call = g_hash_table_lookup (upstream->calls, &id);
  cancel_t *cancel;

  if (call == NULL)
    return;
  cancel = g_new0 (cancel_t, 1);
  cancel->upstream = upstream;
  cancel->id = id;
  cancel->message = soup_message_new ("DELETE", call->resource_url);
  soup_message_headers_append (soup_message_get_request_headers (cancel->message), "Oriole-Service",
                               upstream->service);
  soup_session_send_and_read_async (upstream->cancels, cancel->message, G_PRIORITY_DEFAULT, upstream->stopped,
                                    on_cancelled, cancel);
}

static void
abandon_call (oh_upstream_t *base, uint64_t id)
{
  call_t *call = g_hash_table_lookup (((oh_http_upstream_t *)base)->calls, &id);

  if (call != NULL)
    end_and_free_call (call);
}

static void
set_call_paused (oh_upstream_t *base, uint64_t id, bool paused)
{
  call_t *call = g_hash_table_lookup (((oh_http_upstream_t *)base)->calls, &id);

  if (call == NULL)
    return;
  call->paused = paused;
  if (!paused)
    read_more (call);
}

/* A missing or unknown state counts as ready. */
static Oh__UpstreamState
parse_state (const char *text)
{
  if (g_strcmp0 (text, "draining") == 0)
    return OH__UPSTREAM_STATE__UPSTREAM_DRAINING;
  if (g_strcmp0 (text, "warming") == 0)
    return OH__UPSTREAM_STATE__UPSTREAM_WARMING;
  return OH__UPSTREAM_STATE__UPSTREAM_READY;
}

static void
on_health (GObject *source, GAsyncResult *result, gpointer data)
{
  oh_http_upstream_t *upstream = data;
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  SoupMessageHeaders *headers = soup_message_get_response_headers (message);
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  const char *service;
  const char *instance;

  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    return;
  upstream->health_pending = false;
  service = soup_message_headers_get_one (headers, "Oriole-Service");
  instance = soup_message_headers_get_one (headers, "Oriole-Instance");
  if (body == NULL || soup_message_get_status (message) != SOUP_STATUS_OK || service == NULL)
    {
      oh_log_debug ("health_unanswered", "upstream=%s", upstream->url);
      upstream->handler (&(oh_upstream_event_t){ .kind = OH_UPSTREAM_HEALTH }, upstream->data);
      return;
    }
  upstream->handler (
    &(oh_upstream_event_t){
      .kind = OH_UPSTREAM_HEALTH,
      .health = { .answered = true,
                  .service = oh_service_id (service),
                  .state = parse_state (soup_message_headers_get_one (headers, "Oriole-State")),
                  .instance = instance != NULL ? oh_service_id (instance) : 0 },
    },
    upstream->data);
}

/* Returns 0 if the header is missing or no number up to 65,535. */
static unsigned
header_number (SoupMessageHeaders *headers, const char *name)
{
  const char *text = soup_message_headers_get_one (headers, name);
  guint64 number = 0;

  if (text != NULL)
    g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT16, &number, NULL);
  return (unsigned)number;
}

static void
on_load (GObject *source, GAsyncResult *result, gpointer data)
{
  oh_http_upstream_t *upstream = data;
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  SoupMessageHeaders *headers = soup_message_get_response_headers (message);
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);

  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    return;
  upstream->load_pending = false;
  if (body == NULL || soup_message_get_status (message) != SOUP_STATUS_OK)
    return;
  upstream->handler (
    &(oh_upstream_event_t){
      .kind = OH_UPSTREAM_LOAD,
      .load
      = { .slots = header_number (headers, "Oriole-Slots"), .busy = header_number (headers, "Oriole-Busy") },
    },
    upstream->data);
}

static void
poll_endpoint (oh_http_upstream_t *upstream, const char *path, GAsyncReadyCallback callback)
{
  g_autofree char *url = g_strdup_printf ("%s%s", upstream->url, path);
  g_autoptr (SoupMessage) message = soup_message_new ("GET", url);

  soup_session_send_and_read_async (upstream->polls, message, G_PRIORITY_DEFAULT, upstream->stopped, callback,
                                    upstream);
}

static gboolean
on_poll (gpointer data)
{
  oh_http_upstream_t *upstream = data;

  if (!upstream->health_pending)
    {
      upstream->health_pending = true;
      poll_endpoint (upstream, "/health", on_health);
    }
  if (!upstream->load_pending)
    {
      upstream->load_pending = true;
      poll_endpoint (upstream, "/load", on_load);
    }
  return G_SOURCE_CONTINUE;
}

static SoupSession *
new_session (unsigned connections, unsigned timeout_s)
{
  SoupSession *session = soup_session_new_with_options ("max-conns", connections, "max-conns-per-host",
                                                        connections, "timeout", timeout_s, NULL);

  /* Content is not decoded, since chunks and their digests cover the bytes as the upstream sent them. */
  soup_session_remove_feature_by_type (session, SOUP_TYPE_CONTENT_DECODER);
  return session;
}

oh_http_upstream_t *
oh_http_upstream_start (const char *url, const char *service, unsigned connections,
                        oh_http_upstream_handler_t handler, void *data, oh_error_t *error)
{
  static const oh_upstream_ops_t ops = {
    .start = start_call,
    .cancel = cancel_call,
    .abandon = abandon_call,
    .set_paused = set_call_paused,
  };
  oh_address_t address;
  oh_http_upstream_t *upstream;

  if (!g_str_has_prefix (url, "http://") || !oh_address_parse (url + strlen ("http://"), &address))
    {
      oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_BAD_VALUE,
                    "upstream \"%s\": expected http://IPV4:PORT", url);
      return NULL;
    }
  upstream = g_new0 (oh_http_upstream_t, 1);
  upstream->base.ops = &ops;
  upstream->url = g_strdup (url);
  upstream->service = g_strdup (service);
  upstream->handler = handler;
  upstream->data = data;
  upstream->calls = g_hash_table_new (hash_id, equal_ids);
  upstream->stopped = g_cancellable_new ();
  upstream->requests = new_session (connections, 0);
  upstream->polls = new_session (POLL_CONNECTIONS, POLL_TIMEOUT_S);
  upstream->cancels = new_session (connections, CANCEL_TIMEOUT_S);
  upstream->timer = g_timeout_add (POLL_INTERVAL_MS, on_poll, upstream);
  on_poll (upstream);
  return upstream;
}

void
oh_http_upstream_stop (oh_http_upstream_t *upstream)
{
  GHashTableIter iter;
  gpointer call;

  if (upstream == NULL)
    return;
  g_source_remove (upstream->timer);
  g_cancellable_cancel (upstream->stopped);
  for (g_hash_table_iter_init (&iter, upstream->calls); g_hash_table_iter_next (&iter, NULL, &call);
       g_hash_table_iter_init (&iter, upstream->calls))
    end_and_free_call (call);
  /* The callbacks of cancelled operations must run before the sessions are freed. */
  soup_session_abort (upstream->requests);
  soup_session_abort (upstream->polls);
  soup_session_abort (upstream->cancels);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_object_unref (upstream->requests);
  g_object_unref (upstream->polls);
  g_object_unref (upstream->cancels);
  g_object_unref (upstream->stopped);
  g_hash_table_destroy (upstream->calls);
  g_free (upstream->url);
  g_free (upstream->service);
  g_free (upstream);
}

oh_upstream_t *
oh_http_upstream_port (oh_http_upstream_t *upstream)
{
  return &upstream->base;
}
