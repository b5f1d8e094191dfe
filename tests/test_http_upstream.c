#define OH_LOG_MODULE "test"
#include <glib.h>
#include <libsoup/soup.h>
#include <string.h>

#include "adapters/http_upstream.h"
#include "adapters/sse_parser.h"
#include "core/codec.h"

/*
 * Runs the adapter against an HTTP server in this process. The payload of each request selects the server's
 * response.
 */

enum
{
  LARGE_BYTES = 8 << 20,
  TIMEOUT_MS = 10000,
};

typedef struct
{
  SoupServer *server;
  char *url;
  oh_http_upstream_t *upstream;
  uint64_t last_id;
  GString *received;
  GString *items;
  bool started;
  bool partial;
  uint64_t tag;
  bool ended;
  bool failed;
  oh_upstream_failure_t failure;
  bool cancel_answered;
  oh_cancel_result_t cancel_result;
  bool health;
  bool load;
  oh_upstream_event_t last_health;
  oh_upstream_event_t last_load;
  char *headers;         /* values of the adapter's headers in the last POST, "-" for absent ones */
  unsigned n_posts;      /* received by the server */
  char *deleted_path;    /* of the last DELETE */
  size_t produced_bytes; /* of the large response, handed to libsoup */
  SoupServerMessage *large;
  bool pause_when_started;
} fixture_t;

static const char *
request_header (SoupServerMessage *message, const char *name)
{
  const char *value = soup_message_headers_get_one (soup_server_message_get_request_headers (message), name);

  return value != NULL ? value : "-";
}

/* Appends the next block of the large response, or completes it. */
static void
append_block (fixture_t *fixture, SoupServerMessage *message)
{
  static const char block[64 * 1024];

  if (fixture->produced_bytes < LARGE_BYTES)
    {
      soup_message_body_append (soup_server_message_get_response_body (message), SOUP_MEMORY_STATIC, block,
                                sizeof block);
      fixture->produced_bytes += sizeof block;
    }
  else
    soup_message_body_complete (soup_server_message_get_response_body (message));
}

static void
on_wrote_chunk (SoupServerMessage *message, gpointer data)
{
  append_block (data, message);
  soup_server_message_unpause (message);
}

static void
handle_post (fixture_t *fixture, SoupServerMessage *message)
{
  SoupMessageBody *request = soup_server_message_get_request_body (message);
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  g_autofree char *payload = g_strndup (request->data, (gsize)request->length);
  const guint64 status = g_ascii_strtoull (payload, NULL, 10);

  fixture->n_posts++;
  g_free (fixture->headers);
  fixture->headers
    = g_strjoin (" ", request_header (message, "Oriole-Service"), request_header (message, "Oriole-Flow"),
                 request_header (message, "Oriole-Request"), request_header (message, "Oriole-Kind"),
                 request_header (message, "Oriole-Priority"), request_header (message, "Oriole-Deadline-Ms"),
                 request_header (message, "Range"), request_header (message, "Last-Event-ID"), NULL);
  if (strcmp (payload, "hang") == 0)
    {
      soup_server_message_pause (message);
      return;
    }
  if (strcmp (payload, "close") == 0)
    {
      g_socket_shutdown (soup_server_message_get_socket (message), TRUE, TRUE, NULL);
      return;
    }
  soup_server_message_set_status (message, status >= 200 ? (guint)status : 200, NULL);
  soup_message_headers_append (headers, "ETag", "\"v1\"");
  if (strcmp (payload, "feed") == 0)
    {
      static const char feed[] = ": hello\nid: 41\ndata: a\n\nid: 42\r\ndata: b\r\ndata: c\r\n\r\n";

      soup_server_message_set_response (message, "text/event-stream", SOUP_MEMORY_STATIC, feed,
                                        strlen (feed));
    }
  else if (strcmp (payload, "large") == 0)
    {
      soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
      soup_message_body_set_accumulate (soup_server_message_get_response_body (message), FALSE);
      g_signal_connect (message, "wrote-chunk", G_CALLBACK (on_wrote_chunk), fixture);
      append_block (fixture, message);
    }
  else
    soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_STATIC, "closed valve 7", 14);
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
            gpointer data)
{
  fixture_t *fixture = data;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);

  (void)server;
  (void)query;
  soup_server_message_set_status (message, 200, NULL);
  if (strcmp (path, "/health") == 0)
    {
      soup_message_headers_append (headers, "Oriole-Service", "kiln-log");
      soup_message_headers_append (headers, "Oriole-State", "warming");
      soup_message_headers_append (headers, "Oriole-Instance", "i7");
    }
  else if (strcmp (path, "/load") == 0)
    {
      soup_message_headers_append (headers, "Oriole-Slots", "3");
      soup_message_headers_append (headers, "Oriole-Busy", "2");
    }
  else if (strcmp (soup_server_message_get_method (message), "DELETE") == 0)
    {
      g_free (fixture->deleted_path);
      fixture->deleted_path = g_strdup (path);
      soup_message_headers_append (headers, "Oriole-Ran", "no");
    }
  else
    handle_post (fixture, message);
}

static void
on_event (const oh_upstream_event_t *event, void *data)
{
  fixture_t *fixture = data;

  switch (event->kind)
    {
    case OH_UPSTREAM_STARTED:
      fixture->started = true;
      fixture->partial = event->started.partial;
      fixture->tag = event->started.tag;
      if (fixture->pause_when_started)
        {
          oh_upstream_t *port = oh_http_upstream_port (fixture->upstream);

          port->ops->set_paused (port, event->id, true);
        }
      break;
    case OH_UPSTREAM_DATA:
      g_string_append_len (fixture->received, (const char *)event->data.bytes, (gssize)event->data.length);
      break;
    case OH_UPSTREAM_ITEM:
      g_string_append_printf (fixture->items, "%" G_GUINT64_FORMAT "=%.*s;", event->data.item,
                              (int)event->data.length, (const char *)event->data.bytes);
      break;
    case OH_UPSTREAM_END:
      fixture->ended = true;
      break;
    case OH_UPSTREAM_FAILED:
      fixture->failed = true;
      fixture->failure = event->failure;
      break;
    case OH_UPSTREAM_CANCEL_RESULT:
      fixture->cancel_answered = true;
      fixture->cancel_result = event->cancel_result;
      break;
    case OH_UPSTREAM_HEALTH:
      fixture->health = true;
      fixture->last_health = *event;
      break;
    case OH_UPSTREAM_LOAD:
      fixture->load = true;
      fixture->last_load = *event;
      break;
    }
}

static gboolean
on_timeout (gpointer data)
{
  (void)data;
  g_error ("condition not met within %d ms", TIMEOUT_MS);
  return G_SOURCE_REMOVE;
}

static void
wait_for (const bool *condition)
{
  const guint timer = g_timeout_add (TIMEOUT_MS, on_timeout, NULL);

  while (!*condition)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (timer);
}

static gboolean
set_flag (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

static void
run_for (unsigned ms)
{
  bool elapsed = false;

  g_timeout_add (ms, set_flag, &elapsed);
  wait_for (&elapsed);
}

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  GSList *uris;

  (void)data;
  fixture->received = g_string_new (NULL);
  fixture->items = g_string_new (NULL);
  fixture->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (fixture->server, NULL, on_request, fixture, NULL);
  g_assert_true (soup_server_listen_local (fixture->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (fixture->server);
  fixture->url = g_strdup_printf ("http://127.0.0.1:%d", g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  fixture->upstream = oh_http_upstream_start (fixture->url, "kiln-log", 16, on_event, fixture, NULL);
  g_assert_nonnull (fixture->upstream);
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  oh_http_upstream_stop (fixture->upstream);
  if (fixture->server != NULL)
    {
      soup_server_disconnect (fixture->server);
      g_object_unref (fixture->server);
    }
  g_string_free (fixture->received, TRUE);
  g_string_free (fixture->items, TRUE);
  g_free (fixture->headers);
  g_free (fixture->deleted_path);
  g_free (fixture->url);
}

static uint64_t
send_request (fixture_t *fixture, const char *payload, Oh__RequestKind kind)
{
  oh_upstream_t *port = oh_http_upstream_port (fixture->upstream);
  const oh_upstream_request_t request = {
    .id = ++fixture->last_id,
    .flow = { { 0xab, 1 } },
    .number = 9,
    .kind = kind,
    .priority = 2,
    .remaining_ms = 1500,
    .resume = kind == OH__REQUEST_KIND__REQUEST_TRANSFER || kind == OH__REQUEST_KIND__REQUEST_FEED,
    .resume_chunk = 3,
    .last_event_id = 40,
    .payload = (const uint8_t *)payload,
    .payload_length = strlen (payload),
  };

  port->ops->start (port, &request);
  return request.id;
}

/* Guards against a request sent without the headers that the upstream checks or resumes by. */
static void
test_request (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  send_request (fixture, "ok", OH__REQUEST_KIND__REQUEST_ONCE);
  wait_for (&fixture->ended);
  g_assert_cmpstr (fixture->received->str, ==, "closed valve 7");
  g_assert_cmpstr (fixture->headers, ==, "kiln-log ab010000000000000000000000000000 9 once 2 1500 - -");
  g_assert_cmpuint (fixture->tag, ==, oh_service_id ("\"v1\""));
  fixture->ended = false;
  send_request (fixture, "206", OH__REQUEST_KIND__REQUEST_TRANSFER);
  wait_for (&fixture->ended);
  g_assert_true (fixture->partial);
  g_assert_nonnull (strstr (fixture->headers, " transfer 2 1500 bytes=3072- -"));
}

/* Guards against an HTTP status mapped to the wrong outcome, and requests that libsoup sends again. */
static void
test_failures (fixture_t *fixture, gconstpointer data)
{
  static const struct
  {
    const char *payload;
    oh_upstream_failure_t failure;
  } cases[] = {
    { "503", OH_UPSTREAM_SHED },
    { "421", OH_UPSTREAM_WRONG_SERVICE },
    { "504", OH_UPSTREAM_DEADLINE },
    { "500", OH_UPSTREAM_ERROR },
    { "400", OH_UPSTREAM_ERROR },
    { "302", OH_UPSTREAM_ERROR },
    { "close", OH_UPSTREAM_CONNECTION_LOST },
  };

  (void)data;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%s", cases[i].payload);
      fixture->failed = false;
      send_request (fixture, cases[i].payload, OH__REQUEST_KIND__REQUEST_ONCE);
      wait_for (&fixture->failed);
      g_assert_cmpint (fixture->failure, ==, cases[i].failure);
      /* Each request reached the upstream once; libsoup sent none again. */
      run_for (50);
      g_assert_cmpuint (fixture->n_posts, ==, i + 1);
    }
  soup_server_disconnect (fixture->server);
  g_clear_object (&fixture->server);
  fixture->failed = false;
  send_request (fixture, "ok", OH__REQUEST_KIND__REQUEST_ONCE);
  wait_for (&fixture->failed);
  g_assert_cmpint (fixture->failure, ==, OH_UPSTREAM_NOT_SENT);
}

/* Guards against feed items with wrong bounds or numbers, and a resumption without Last-Event-ID. */
static void
test_feed (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  send_request (fixture, "feed", OH__REQUEST_KIND__REQUEST_FEED);
  wait_for (&fixture->ended);
  g_assert_cmpstr (fixture->items->str, ==, "41=a;42=b\nc;");
  g_assert_nonnull (strstr (fixture->headers, " - 40"));
}

/* Guards against memory that grows without bound while a caller does not read the response. */
static void
test_back_pressure (fixture_t *fixture, gconstpointer data)
{
  oh_upstream_t *port = oh_http_upstream_port (fixture->upstream);
  uint64_t id;

  (void)data;
  fixture->pause_when_started = true;
  id = send_request (fixture, "large", OH__REQUEST_KIND__REQUEST_REPEATABLE);
  wait_for (&fixture->started);
  run_for (500);
  g_assert_cmpuint (fixture->received->len, ==, 0);
  g_test_message ("produced %zu bytes while paused", fixture->produced_bytes);
  g_assert_cmpuint (fixture->produced_bytes, <, LARGE_BYTES);
  port->ops->set_paused (port, id, false);
  wait_for (&fixture->ended);
  g_assert_cmpuint (fixture->received->len, ==, LARGE_BYTES);
}

/* Guards against a cancellation without a result, and events for an abandoned request. */
static void
test_cancel (fixture_t *fixture, gconstpointer data)
{
  oh_upstream_t *port = oh_http_upstream_port (fixture->upstream);
  const uint64_t id = send_request (fixture, "hang", OH__REQUEST_KIND__REQUEST_ONCE);

  (void)data;
  run_for (100);
  port->ops->cancel (port, id);
  wait_for (&fixture->cancel_answered);
  g_assert_cmpint (fixture->cancel_result, ==, OH_CANCEL_RESULT_NOT_RUN);
  g_assert_cmpstr (fixture->deleted_path, ==, "/request/ab010000000000000000000000000000/9");
  port->ops->abandon (port, id);
  run_for (100);
  g_assert_false (fixture->failed || fixture->ended);
}

/* Guards against health and load polls with wrong results, and an upstream that stops unnoticed. */
static void
test_polls (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  wait_for (&fixture->health);
  wait_for (&fixture->load);
  g_assert_true (fixture->last_health.health.answered);
  g_assert_cmpuint (fixture->last_health.health.service, ==, oh_service_id ("kiln-log"));
  g_assert_cmpint (fixture->last_health.health.state, ==, OH__UPSTREAM_STATE__UPSTREAM_WARMING);
  g_assert_cmpuint (fixture->last_load.load.slots, ==, 3);
  soup_server_disconnect (fixture->server);
  g_clear_object (&fixture->server);
  fixture->health = false;
  wait_for (&fixture->health);
  g_assert_false (fixture->last_health.health.answered);
}

static bool
count_item (uint64_t id, const char *bytes, size_t length, void *data)
{
  (void)id;
  (void)bytes;
  (void)length;
  ++*(unsigned *)data;
  return true;
}

/*
 * Guards against streams that exhaust the agent's memory with an endless line or item, and items without a
 * valid id.
 */
static void
test_sse_bounds (void)
{
  static const struct
  {
    const char *text;
    unsigned repeat; /* of the text */
    bool valid;
    unsigned items;
  } cases[] = {
    { "id: 1\ndata: x\n\n", 3, true, 3 },
    { "data: x\n\n", 1, false, 0 },
    { "id: x\ndata: y\n\n", 1, false, 0 },
    { "id: -1\ndata: y\n\n", 1, false, 0 },
    { "\n\n\n", 5, true, 0 },
    { "data: abcdefghij\n", 500, false, 0 },
    { "abcdefghij", 500, false, 0 },
    { ":\n", 5000, true, 0 },
    { "event: a\nretry: 5\n\n", 1, true, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      oh_sse_parser_t parser;
      unsigned items = 0;
      bool valid = true;

      oh_sse_parser_init (&parser);
      for (unsigned j = 0; j < cases[i].repeat && valid; j++)
        for (size_t at = 0; cases[i].text[at] != '\0' && valid; at++)
          valid = oh_sse_parser_feed (&parser, cases[i].text + at, 1, count_item, &items);
      g_assert_cmpint (valid, ==, cases[i].valid);
      g_assert_cmpuint (items, ==, cases[i].items);
      oh_sse_parser_finish (&parser);
    }
}

static void
add_test (const char *path, void (*test) (fixture_t *fixture, gconstpointer data))
{
  g_test_add (path, fixture_t, NULL, set_up, test, tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_test ("/http-upstream/request", test_request);
  add_test ("/http-upstream/failures", test_failures);
  add_test ("/http-upstream/feed", test_feed);
  add_test ("/http-upstream/back-pressure", test_back_pressure);
  add_test ("/http-upstream/cancel", test_cancel);
  add_test ("/http-upstream/polls", test_polls);
  g_test_add_func ("/http-upstream/sse-bounds", test_sse_bounds);
  return g_test_run ();
}
