#define OH_LOG_MODULE "test"
#include <glib.h>
#include <libsoup/soup.h>
#include <string.h>

#include "adapters/http_upstream.h"
#include "adapters/sse_parser.h"
#include "core/codec.h"

/* The adapter against a server in this process that answers as the payload of the request says. */

enum
{
  LARGE_BYTES = 8 << 20,
  LIMIT_MS = 10000,
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
  bool cancel_result;
  oh_cancel_result_t ran;
  bool health;
  bool load;
  oh_upstream_event_t last_health;
  oh_upstream_event_t last_load;
  char *headers;  /* of the last request, those of ours */
  unsigned posts; /* received by the server */
  char *deleted;
  size_t produced; /* bytes of the large answer that the server handed to libsoup */
  SoupServerMessage *large;
  bool pause_when_started;
} state_t;

static const char *
request_header (SoupServerMessage *message, const char *name)
{
  const char *value = soup_message_headers_get_one (soup_server_message_get_request_headers (message), name);

  return value != NULL ? value : "-";
}

static void
produce (state_t *state, SoupServerMessage *message)
{
  static const char block[64 * 1024];

  if (state->produced < LARGE_BYTES)
    {
      soup_message_body_append (soup_server_message_get_response_body (message), SOUP_MEMORY_STATIC, block,
                                sizeof block);
      state->produced += sizeof block;
    }
  else
    soup_message_body_complete (soup_server_message_get_response_body (message));
}

static void
on_wrote_chunk (SoupServerMessage *message, gpointer data)
{
  produce (data, message);
  soup_server_message_unpause (message);
}

static void
answer_post (state_t *state, SoupServerMessage *message)
{
  SoupMessageBody *request = soup_server_message_get_request_body (message);
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  g_autofree char *word = g_strndup (request->data, (gsize)request->length);
  const guint64 status = g_ascii_strtoull (word, NULL, 10);

  state->posts++;
  g_free (state->headers);
  state->headers
    = g_strjoin (" ", request_header (message, "Oriole-Service"), request_header (message, "Oriole-Flow"),
                 request_header (message, "Oriole-Request"), request_header (message, "Oriole-Kind"),
                 request_header (message, "Oriole-Priority"), request_header (message, "Oriole-Deadline-Ms"),
                 request_header (message, "Range"), request_header (message, "Last-Event-ID"), NULL);
  if (strcmp (word, "hang") == 0)
    {
      soup_server_message_pause (message);
      return;
    }
  if (strcmp (word, "close") == 0)
    {
      g_socket_shutdown (soup_server_message_get_socket (message), TRUE, TRUE, NULL);
      return;
    }
  soup_server_message_set_status (message, status >= 200 ? (guint)status : 200, NULL);
  soup_message_headers_append (headers, "ETag", "\"v1\"");
  if (strcmp (word, "feed") == 0)
    {
      static const char feed[] = ": hello\nid: 41\ndata: a\n\nid: 42\r\ndata: b\r\ndata: c\r\n\r\n";

      soup_server_message_set_response (message, "text/event-stream", SOUP_MEMORY_STATIC, feed,
                                        strlen (feed));
    }
  else if (strcmp (word, "large") == 0)
    {
      soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
      soup_message_body_set_accumulate (soup_server_message_get_response_body (message), FALSE);
      g_signal_connect (message, "wrote-chunk", G_CALLBACK (on_wrote_chunk), state);
      produce (state, message);
    }
  else
    soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_STATIC, "closed valve 7", 14);
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
            gpointer data)
{
  state_t *state = data;
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
      g_free (state->deleted);
      state->deleted = g_strdup (path);
      soup_message_headers_append (headers, "Oriole-Ran", "no");
    }
  else
    answer_post (state, message);
}

static void
on_event (const oh_upstream_event_t *event, void *data)
{
  state_t *state = data;

  switch (event->kind)
    {
    case OH_UPSTREAM_STARTED:
      state->started = true;
      state->partial = event->started.partial;
      state->tag = event->started.tag;
      if (state->pause_when_started)
        {
          oh_upstream_t *port = oh_http_upstream_port (state->upstream);

          port->ops->set_paused (port, event->id, true);
        }
      break;
    case OH_UPSTREAM_DATA:
      g_string_append_len (state->received, (const char *)event->data.bytes, (gssize)event->data.length);
      break;
    case OH_UPSTREAM_ITEM:
      g_string_append_printf (state->items, "%" G_GUINT64_FORMAT "=%.*s;", event->data.item,
                              (int)event->data.length, (const char *)event->data.bytes);
      break;
    case OH_UPSTREAM_END:
      state->ended = true;
      break;
    case OH_UPSTREAM_FAILED:
      state->failed = true;
      state->failure = event->failure;
      break;
    case OH_UPSTREAM_CANCEL_RESULT:
      state->cancel_result = true;
      state->ran = event->cancel_result;
      break;
    case OH_UPSTREAM_HEALTH:
      state->health = true;
      state->last_health = *event;
      break;
    case OH_UPSTREAM_LOAD:
      state->load = true;
      state->last_load = *event;
      break;
    }
}

static gboolean
fail_test (gpointer data)
{
  (void)data;
  g_error ("no event within %d ms", LIMIT_MS);
  return G_SOURCE_REMOVE;
}

static void
wait_for (const bool *condition)
{
  const guint timer = g_timeout_add (LIMIT_MS, fail_test, NULL);

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
  bool over = false;

  g_timeout_add (ms, set_flag, &over);
  wait_for (&over);
}

static void
set_up (state_t *state, gconstpointer data)
{
  GSList *uris;

  (void)data;
  state->received = g_string_new (NULL);
  state->items = g_string_new (NULL);
  state->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (state->server, NULL, on_request, state, NULL);
  g_assert_true (soup_server_listen_local (state->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (state->server);
  state->url = g_strdup_printf ("http://127.0.0.1:%d", g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  state->upstream = oh_http_upstream_start (state->url, "kiln-log", 16, on_event, state, NULL);
  g_assert_nonnull (state->upstream);
}

static void
tear_down (state_t *state, gconstpointer data)
{
  (void)data;
  oh_http_upstream_stop (state->upstream);
  if (state->server != NULL)
    {
      soup_server_disconnect (state->server);
      g_object_unref (state->server);
    }
  g_string_free (state->received, TRUE);
  g_string_free (state->items, TRUE);
  g_free (state->headers);
  g_free (state->deleted);
  g_free (state->url);
}

static uint64_t
send_request (state_t *state, const char *payload, Oh__RequestKind kind)
{
  oh_upstream_t *port = oh_http_upstream_port (state->upstream);
  const oh_upstream_request_t request = {
    .id = ++state->last_id,
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

/* Guards against a request that reaches the upstream without what the upstream checks. */
static void
test_request (state_t *state, gconstpointer data)
{
  (void)data;
  send_request (state, "ok", OH__REQUEST_KIND__REQUEST_ONCE);
  wait_for (&state->ended);
  g_assert_cmpstr (state->received->str, ==, "closed valve 7");
  g_assert_cmpstr (state->headers, ==, "kiln-log ab010000000000000000000000000000 9 once 2 1500 - -");
  g_assert_cmpuint (state->tag, ==, oh_service_id ("\"v1\""));
  state->ended = false;
  send_request (state, "206", OH__REQUEST_KIND__REQUEST_TRANSFER);
  wait_for (&state->ended);
  g_assert_true (state->partial);
  g_assert_nonnull (strstr (state->headers, " transfer 2 1500 bytes=3072- -"));
}

/* Guards against a status that is taken for another outcome. */
static void
test_failures (state_t *state, gconstpointer data)
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
      state->failed = false;
      send_request (state, cases[i].payload, OH__REQUEST_KIND__REQUEST_ONCE);
      wait_for (&state->failed);
      g_assert_cmpint (state->failure, ==, cases[i].failure);
      /* Each reached the upstream once; libsoup repeated none. */
      run_for (50);
      g_assert_cmpuint (state->posts, ==, i + 1);
    }
  soup_server_disconnect (state->server);
  g_clear_object (&state->server);
  state->failed = false;
  send_request (state, "ok", OH__REQUEST_KIND__REQUEST_ONCE);
  wait_for (&state->failed);
  g_assert_cmpint (state->failure, ==, OH_UPSTREAM_NOT_SENT);
}

static void
test_feed (state_t *state, gconstpointer data)
{
  (void)data;
  send_request (state, "feed", OH__REQUEST_KIND__REQUEST_FEED);
  wait_for (&state->ended);
  g_assert_cmpstr (state->items->str, ==, "41=a;42=b\nc;");
  g_assert_nonnull (strstr (state->headers, " - 40"));
}

/* Guards against memory that grows with a caller that does not read. */
static void
test_back_pressure (state_t *state, gconstpointer data)
{
  oh_upstream_t *port = oh_http_upstream_port (state->upstream);
  uint64_t id;

  (void)data;
  state->pause_when_started = true;
  id = send_request (state, "large", OH__REQUEST_KIND__REQUEST_REPEATABLE);
  wait_for (&state->started);
  run_for (500);
  g_assert_cmpuint (state->received->len, ==, 0);
  g_test_message ("produced %zu bytes while paused", state->produced);
  g_assert_cmpuint (state->produced, <, LARGE_BYTES);
  port->ops->set_paused (port, id, false);
  wait_for (&state->ended);
  g_assert_cmpuint (state->received->len, ==, LARGE_BYTES);
}

static void
test_cancel (state_t *state, gconstpointer data)
{
  oh_upstream_t *port = oh_http_upstream_port (state->upstream);
  const uint64_t id = send_request (state, "hang", OH__REQUEST_KIND__REQUEST_ONCE);

  (void)data;
  run_for (100);
  port->ops->cancel (port, id);
  wait_for (&state->cancel_result);
  g_assert_cmpint (state->ran, ==, OH_CANCEL_RESULT_NOT_RUN);
  g_assert_cmpstr (state->deleted, ==, "/request/ab010000000000000000000000000000/9");
  port->ops->abandon (port, id);
  run_for (100);
  g_assert_false (state->failed || state->ended);
}

static void
test_polls (state_t *state, gconstpointer data)
{
  (void)data;
  wait_for (&state->health);
  wait_for (&state->load);
  g_assert_true (state->last_health.health.answered);
  g_assert_cmpuint (state->last_health.health.service, ==, oh_service_id ("kiln-log"));
  g_assert_cmpint (state->last_health.health.state, ==, OH__UPSTREAM_STATE__UPSTREAM_WARMING);
  g_assert_cmpuint (state->last_load.load.slots, ==, 3);
  soup_server_disconnect (state->server);
  g_clear_object (&state->server);
  state->health = false;
  wait_for (&state->health);
  g_assert_false (state->last_health.health.answered);
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

/* Guards against a stream that makes the agent hold an endless line, or items it cannot number. */
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
add (const char *path, void (*test) (state_t *state, gconstpointer data))
{
  g_test_add (path, state_t, NULL, set_up, test, tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add ("/http-upstream/request", test_request);
  add ("/http-upstream/failures", test_failures);
  add ("/http-upstream/feed", test_feed);
  add ("/http-upstream/back-pressure", test_back_pressure);
  add ("/http-upstream/cancel", test_cancel);
  add ("/http-upstream/polls", test_polls);
  g_test_add_func ("/http-upstream/sse-bounds", test_sse_bounds);
  return g_test_run ();
}
