#include <argp.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/settings.h"
#include "content.h"

#define OH_LOG_MODULE "upstream"
#include "base/log.h"

/*
 * An upstream for tests. It serves the HTTP interface that oriole-agent uses, with slots, a service time, a
 * cold start and faults. "POST /mode" changes its behaviour; the body is KEY=NUMBER words with the keys of
 * mode_keys. Each run of a request is recorded in the ledger, its start before the run begins:
 *
 *   up INSTANCE SERVICE SLOTS TIME_US
 *       the process has started
 *   start INSTANCE SERVICE SLOTS FLOW NUMBER KIND TIME_US
 *   finish INSTANCE SERVICE SLOTS FLOW NUMBER KIND TIME_US
 */

const char *argp_program_version = "standin-upstream 0.1.0";

enum
{
  EXIT_USAGE = 2,
  TRANSFER_BLOCK_BYTES = 64 * 1024,
  COLD_FACTOR = 5, /* multiplies the service time while the upstream is cold */
};

typedef struct
{
  uint64_t slots;
  uint64_t service_ms;       /* of a request whose payload has no work_ms */
  uint64_t cold_ms;          /* time after the start during which the upstream is cold */
  uint64_t feed_interval_ms; /* of a feed whose payload has no interval_ms */
  uint64_t shed;             /* 1: every request is refused with 503 */
  uint64_t drain;            /* 1: the state is draining, and new requests are refused */
  uint64_t fail;             /* 1: every request starts and fails at once */
  uint64_t hang;             /* 1: requests start and get no answer */
  uint64_t health_state;     /* reported state; 0: the true one, 1: always ready, 2: always draining */
  uint64_t health_lag_ms;    /* the reported load and state are up to this old */
  uint64_t false_busy;       /* one more than the number of busy slots to report; 0: the true number */
  uint64_t version;          /* of the entity that transfers download */
} modes_t;

typedef struct
{
  const char *key;
  size_t offset;
} mode_key_t;

static const mode_key_t mode_keys[] = {
  { "slots", offsetof (modes_t, slots) },
  { "service_ms", offsetof (modes_t, service_ms) },
  { "cold_ms", offsetof (modes_t, cold_ms) },
  { "feed_interval_ms", offsetof (modes_t, feed_interval_ms) },
  { "shed", offsetof (modes_t, shed) },
  { "drain", offsetof (modes_t, drain) },
  { "fail", offsetof (modes_t, fail) },
  { "hang", offsetof (modes_t, hang) },
  { "health_state", offsetof (modes_t, health_state) },
  { "health_lag_ms", offsetof (modes_t, health_lag_ms) },
  { "false_busy", offsetof (modes_t, false_busy) },
  { "version", offsetof (modes_t, version) },
};

typedef struct
{
  SoupServer *server;
  GMainLoop *loop;
  oh_address_t listen;
  const char *service;
  const char *instance;
  const char *ledger_path;
  int ledger;
  modes_t modes;
  int64_t started_us;
  unsigned busy;          /* slots in use */
  unsigned reported_busy; /* as of reported_us, like reported_draining */
  bool reported_draining;
  int64_t reported_us;
  GHashTable *active_runs;    /* "FLOW/NUMBER" to run_t; the latest run of a number */
  GHashTable *started_keys;   /* "FLOW/NUMBER" of all runs, active and finished */
  GHashTable *cancelled_keys; /* "FLOW/NUMBER" of requests that were cancelled before they arrived */
} upstream_t;

/* A run of a request, from its arrival to the end of its response or connection. */
typedef struct
{
  upstream_t *upstream;
  SoupServerMessage *message;
  char *key;
  char *flow;
  char *number;
  char *kind;
  char *payload;
  size_t payload_length;
  bool uses_slot;    /* all but feeds */
  bool answered;     /* a single answer was sent, or the request was cancelled */
  guint timer;       /* GLib source; 0: none */
  uint64_t position; /* feed: next item; transfer: next byte */
  uint64_t size;     /* transfer */
  uint64_t version;  /* transfer */
} run_t;

static bool
is_cold (const upstream_t *upstream)
{
  return g_get_monotonic_time () - upstream->started_us < (int64_t)upstream->modes.cold_ms * 1000;
}

static void
write_ledger (upstream_t *upstream, const char *line)
{
  /* A single write in append mode, so that a line is complete even if the process is killed. */
  if (write (upstream->ledger, line, strlen (line)) != (ssize_t)strlen (line))
    oh_log_error ("ledger_write_failed", "path=%s", upstream->ledger_path);
}

static void
record_run (upstream_t *upstream, const char *event, const run_t *run)
{
  g_autofree char *line = g_strdup_printf (
    "%s %s %s %" G_GUINT64_FORMAT " %s %s %s %" G_GINT64_FORMAT "\n", event, upstream->instance,
    upstream->service, upstream->modes.slots, run->flow, run->number, run->kind, g_get_monotonic_time ());

  write_ledger (upstream, line);
}

static void
run_free (run_t *run)
{
  upstream_t *upstream = run->upstream;

  g_clear_handle_id (&run->timer, g_source_remove);
  if (run->uses_slot)
    upstream->busy--;
  record_run (upstream, "finish", run);
  if (g_hash_table_lookup (upstream->active_runs, run->key) == run)
    g_hash_table_remove (upstream->active_runs, run->key);
  g_free (run->key);
  g_free (run->flow);
  g_free (run->number);
  g_free (run->kind);
  g_free (run->payload);
  g_free (run);
}

/* The response was written, or its connection ended. */
static void
handle_message_finished (SoupServerMessage *message, gpointer data)
{
  (void)message;
  run_free (data);
}

static void
resume_response (run_t *run)
{
  soup_server_message_unpause (run->message);
}

static void
answer_single (run_t *run)
{
  const size_t bytes = content_parameter (run->payload, run->payload_length, "bytes", 0);
  size_t length;
  char *text
    = content_answer (run->upstream->service, run->flow, run->payload, run->payload_length, bytes, &length);

  run->answered = true;
  soup_server_message_set_status (run->message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (run->message, "application/octet-stream", SOUP_MEMORY_TAKE, text, length);
  resume_response (run);
}

static gboolean
handle_work_done (gpointer data)
{
  run_t *run = data;

  if (run->upstream->modes.hang != 0)
    return G_SOURCE_CONTINUE;
  run->timer = 0;
  answer_single (run);
  return G_SOURCE_REMOVE;
}

/* Appends the next block of a transfer. Called at its start and each time that a block was written. */
static void
write_block (SoupServerMessage *message, gpointer data)
{
  run_t *run = data;
  SoupMessageBody *body = soup_server_message_get_response_body (message);
  const size_t length = MIN (run->size - run->position, (uint64_t)TRANSFER_BLOCK_BYTES);
  uint8_t *block;

  if (run->upstream->modes.hang != 0)
    return;
  if (length == 0)
    {
      soup_message_body_complete (body);
      resume_response (run);
      return;
    }
  block = g_malloc (length);
  content_entity (run->upstream->service, run->version, run->position, block, length);
  run->position += length;
  soup_message_body_append_take (body, block, length);
  resume_response (run);
}

static void
start_transfer (run_t *run)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (run->message);
  const char *range
    = soup_message_headers_get_one (soup_server_message_get_request_headers (run->message), "Range");
  g_autofree char *etag = NULL;

  run->version = run->upstream->modes.version;
  run->size = content_parameter (run->payload, run->payload_length, "bytes", 4 << 20);
  if (range != NULL && g_str_has_prefix (range, "bytes="))
    run->position = MIN (g_ascii_strtoull (range + strlen ("bytes="), NULL, 10), run->size);
  etag = g_strdup_printf ("\"v%" G_GUINT64_FORMAT "\"", run->version);
  soup_message_headers_replace (headers, "ETag", etag);
  if (range != NULL && run->position < run->size)
    soup_message_headers_set_content_range (headers, (goffset)run->position, (goffset)run->size - 1,
                                            (goffset)run->size);
  soup_message_headers_set_content_length (headers, (goffset)(run->size - run->position));
  soup_message_body_set_accumulate (soup_server_message_get_response_body (run->message), FALSE);
  soup_server_message_set_status (run->message, range == NULL ? SOUP_STATUS_OK : SOUP_STATUS_PARTIAL_CONTENT,
                                  NULL);
  g_signal_connect (run->message, "wrote-chunk", G_CALLBACK (write_block), run);
  write_block (run->message, run);
}

static gboolean
write_item (gpointer data)
{
  run_t *run = data;
  g_autofree char *item = NULL;
  g_autofree char *text = NULL;

  if (run->upstream->modes.hang != 0)
    return G_SOURCE_CONTINUE;
  item = content_item (run->upstream->service, run->flow, run->position);
  text = g_strdup_printf ("id: %" G_GUINT64_FORMAT "\ndata: %s\n\n", run->position, item);
  run->position++;
  soup_message_body_append (soup_server_message_get_response_body (run->message), SOUP_MEMORY_COPY, text,
                            strlen (text));
  resume_response (run);
  return G_SOURCE_CONTINUE;
}

static void
start_feed (run_t *run)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (run->message);
  const char *last
    = soup_message_headers_get_one (soup_server_message_get_request_headers (run->message), "Last-Event-ID");
  const uint64_t interval_ms = content_parameter (run->payload, run->payload_length, "interval_ms",
                                                  run->upstream->modes.feed_interval_ms);

  if (last != NULL)
    run->position = g_ascii_strtoull (last, NULL, 10) + 1;
  soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_set_content_type (headers, "text/event-stream", NULL);
  soup_message_body_set_accumulate (soup_server_message_get_response_body (run->message), FALSE);
  soup_server_message_set_status (run->message, SOUP_STATUS_OK, NULL);
  run->timer = g_timeout_add (MAX (interval_ms, 1), write_item, run);
  write_item (run);
}

static void
respond (SoupServerMessage *message, unsigned status)
{
  soup_server_message_set_status (message, status, NULL);
}

static bool
is_cancelled (const upstream_t *upstream, SoupMessageHeaders *headers)
{
  const char *flow = soup_message_headers_get_one (headers, "Oriole-Flow");
  const char *number = soup_message_headers_get_one (headers, "Oriole-Request");
  g_autofree char *key = g_strdup_printf ("%s/%s", flow != NULL ? flow : "-", number != NULL ? number : "0");

  return g_hash_table_contains (upstream->cancelled_keys, key);
}

/* Returns the HTTP status of a request that is refused, or 0 for one that is to run. */
static unsigned
check_request (upstream_t *upstream, SoupMessageHeaders *headers, bool uses_slot)
{
  const char *service = soup_message_headers_get_one (headers, "Oriole-Service");
  const char *deadline = soup_message_headers_get_one (headers, "Oriole-Deadline-Ms");

  if (service == NULL || strcmp (service, upstream->service) != 0)
    return SOUP_STATUS_MISDIRECTED_REQUEST;
  if (is_cancelled (upstream, headers))
    return SOUP_STATUS_SERVICE_UNAVAILABLE;
  if (deadline != NULL && g_ascii_strtoll (deadline, NULL, 10) <= 0)
    return SOUP_STATUS_GATEWAY_TIMEOUT;
  if (upstream->modes.shed != 0 || upstream->modes.drain != 0
      || (uses_slot && upstream->busy >= upstream->modes.slots))
    return SOUP_STATUS_SERVICE_UNAVAILABLE;
  return 0;
}

static run_t *
run_new (upstream_t *upstream, SoupServerMessage *message, bool uses_slot)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
  const char *flow = soup_message_headers_get_one (headers, "Oriole-Flow");
  const char *number = soup_message_headers_get_one (headers, "Oriole-Request");
  const char *kind = soup_message_headers_get_one (headers, "Oriole-Kind");
  run_t *run = g_new0 (run_t, 1);

  run->upstream = upstream;
  run->message = message;
  run->flow = g_strdup (flow != NULL ? flow : "-");
  run->number = g_strdup (number != NULL ? number : "0");
  run->kind = g_strdup (kind != NULL ? kind : "-");
  run->key = g_strdup_printf ("%s/%s", run->flow, run->number);
  run->payload_length = g_bytes_get_size (bytes);
  run->payload = g_strndup (g_bytes_get_data (bytes, NULL), run->payload_length);
  run->uses_slot = uses_slot;
  if (uses_slot)
    upstream->busy++;
  record_run (upstream, "start", run);
  g_hash_table_replace (upstream->active_runs, run->key, run);
  g_hash_table_add (upstream->started_keys, g_strdup (run->key));
  g_signal_connect (message, "finished", G_CALLBACK (handle_message_finished), run);
  return run;
}

static void
handle_request (upstream_t *upstream, SoupServerMessage *message)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  const char *kind = soup_message_headers_get_one (headers, "Oriole-Kind");
  const bool feed = kind != NULL && strcmp (kind, "feed") == 0;
  const unsigned status = check_request (upstream, headers, !feed);
  uint64_t service_ms;
  run_t *run;

  if (status != 0)
    {
      respond (message, status);
      return;
    }
  run = run_new (upstream, message, !feed);
  if (upstream->modes.fail != 0)
    {
      respond (message, SOUP_STATUS_INTERNAL_SERVER_ERROR);
      return;
    }
  soup_server_message_pause (message);
  if (feed)
    start_feed (run);
  else if (kind != NULL && strcmp (kind, "transfer") == 0)
    start_transfer (run);
  else
    {
      service_ms
        = content_parameter (run->payload, run->payload_length, "work_ms", upstream->modes.service_ms);
      if (is_cold (upstream))
        service_ms *= COLD_FACTOR;
      run->timer = g_timeout_add (MAX (service_ms, 1), handle_work_done, run);
    }
}

static void
handle_cancel (upstream_t *upstream, SoupServerMessage *message, const char *key)
{
  run_t *run = g_hash_table_lookup (upstream->active_runs, key);
  const bool ran = g_hash_table_contains (upstream->started_keys, key);

  /* "no" guarantees that the request does not run. It may still arrive on another connection, so its key is
   * kept and it is refused then. */
  if (!ran)
    g_hash_table_add (upstream->cancelled_keys, g_strdup (key));
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Oriole-Ran",
                                ran ? "yes" : "no");
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  if (run == NULL || run->answered)
    return;
  g_clear_handle_id (&run->timer, g_source_remove);
  if (strcmp (run->kind, "feed") == 0)
    soup_message_body_complete (soup_server_message_get_response_body (run->message));
  else if (strcmp (run->kind, "transfer") == 0)
    return; /* ends when the agent closes the connection */
  else
    respond (run->message, SOUP_STATUS_INTERNAL_SERVER_ERROR);
  run->answered = true;
  resume_response (run);
}

static void
handle_request_path (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
                     gpointer data)
{
  static const char prefix[] = "/request/";
  const char *method = soup_server_message_get_method (message);

  (void)server;
  (void)query;
  if (strcmp (method, "POST") == 0 && strcmp (path, "/request") == 0)
    handle_request (data, message);
  else if (strcmp (method, "DELETE") == 0 && g_str_has_prefix (path, prefix))
    handle_cancel (data, message, path + sizeof prefix - 1);
  else
    respond (message, SOUP_STATUS_METHOD_NOT_ALLOWED);
}

/* Updates the values that /health and /load report, unless the last update is younger than health_lag_ms. */
static void
update_report (upstream_t *upstream)
{
  const int64_t now_us = g_get_monotonic_time ();

  if (now_us - upstream->reported_us < (int64_t)upstream->modes.health_lag_ms * 1000)
    return;
  upstream->reported_us = now_us;
  upstream->reported_busy = upstream->busy;
  upstream->reported_draining = upstream->modes.drain != 0;
}

static void
handle_health (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
               gpointer data)
{
  upstream_t *upstream = data;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  const char *state = "ready";

  (void)server;
  (void)path;
  (void)query;
  update_report (upstream);
  if (upstream->modes.health_state == 2 || (upstream->modes.health_state == 0 && upstream->reported_draining))
    state = "draining";
  else if (upstream->modes.health_state == 0 && is_cold (upstream))
    state = "warming";
  soup_message_headers_replace (headers, "Oriole-Service", upstream->service);
  soup_message_headers_replace (headers, "Oriole-State", state);
  soup_message_headers_replace (headers, "Oriole-Instance", upstream->instance);
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
}

static void
handle_load (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
             gpointer data)
{
  upstream_t *upstream = data;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  g_autofree char *slots = g_strdup_printf ("%" G_GUINT64_FORMAT, upstream->modes.slots);
  g_autofree char *busy = NULL;

  (void)server;
  (void)path;
  (void)query;
  update_report (upstream);
  busy = g_strdup_printf ("%" G_GUINT64_FORMAT, upstream->modes.false_busy != 0
                                                  ? upstream->modes.false_busy - 1
                                                  : (uint64_t)upstream->reported_busy);
  soup_message_headers_replace (headers, "Oriole-Slots", slots);
  soup_message_headers_replace (headers, "Oriole-Busy", busy);
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
}

static void
handle_mode (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
             gpointer data)
{
  upstream_t *upstream = data;
  g_autoptr (GBytes) bytes = soup_message_body_flatten (soup_server_message_get_request_body (message));
  gsize length;
  const char *text = g_bytes_get_data (bytes, &length);

  (void)server;
  (void)path;
  (void)query;
  for (size_t i = 0; text != NULL && i < G_N_ELEMENTS (mode_keys); i++)
    {
      uint64_t *mode = (uint64_t *)((char *)&upstream->modes + mode_keys[i].offset);

      *mode = content_parameter (text, length, mode_keys[i].key, *mode);
    }
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  upstream_t *upstream = state->input;

  switch (key)
    {
    case 'l':
      if (!oh_address_parse (text, &upstream->listen))
        argp_error (state, "--listen \"%s\": expected IPV4:PORT", text);
      return 0;
    case 's':
      upstream->service = text;
      return 0;
    case 'i':
      upstream->instance = text;
      return 0;
    case 'o':
      upstream->ledger_path = text;
      return 0;
    case 'm':
      for (size_t i = 0; i < G_N_ELEMENTS (mode_keys); i++)
        {
          uint64_t *mode = (uint64_t *)((char *)&upstream->modes + mode_keys[i].offset);

          *mode = content_parameter (text, strlen (text), mode_keys[i].key, *mode);
        }
      return 0;
    case ARGP_KEY_END:
      if (upstream->listen.port == 0 || upstream->service == NULL || upstream->instance == NULL
          || upstream->ledger_path == NULL)
        argp_error (state, "--listen, --service, --instance and --ledger are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static gboolean
handle_signal (gpointer data)
{
  g_main_loop_quit (((upstream_t *)data)->loop);
  return G_SOURCE_REMOVE;
}

/* Returns false after it has logged why. */
static bool
start_server (upstream_t *upstream)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) address = NULL;
  char text[OH_ADDRESS_TEXT_BYTES];
  g_autofree char *host = g_strdup (oh_address_format (upstream->listen, text));

  *strchr (host, ':') = '\0';
  address = g_inet_socket_address_new_from_string (host, upstream->listen.port);
  upstream->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (upstream->server, "/request", handle_request_path, upstream, NULL);
  soup_server_add_handler (upstream->server, "/health", handle_health, upstream, NULL);
  soup_server_add_handler (upstream->server, "/load", handle_load, upstream, NULL);
  soup_server_add_handler (upstream->server, "/mode", handle_mode, upstream, NULL);
  if (soup_server_listen (upstream->server, address, 0, &error))
    return true;
  oh_log_error ("listen_failed", "address=%s reason=\"%s\"", text, error->message);
  return false;
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "listen", 'l', "IPV4:PORT", 0, "HTTP address", 0 },
    { "service", 's', "NAME", 0, "Service of the upstream", 0 },
    { "instance", 'i', "NAME", 0, "Name in the ledger and the health response", 0 },
    { "ledger", 'o', "FILE", 0, "Ledger file; appended to", 0 },
    { "modes", 'm', "WORDS", 0, "KEY=NUMBER words, as in the body of POST /mode", 0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "An upstream for tests, with faults that can be switched on.",
  };
  upstream_t upstream = {
    .modes = { .slots = 4, .service_ms = 10, .feed_interval_ms = 100, .version = 1 },
    .started_us = g_get_monotonic_time (),
    .ledger = -1,
  };
  g_autofree char *line = NULL;
  int status = EXIT_FAILURE;

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &upstream);
  oh_log_start (OH_LOG_INFO, STDERR_FILENO);
  upstream.loop = g_main_loop_new (NULL, FALSE);
  upstream.active_runs = g_hash_table_new (g_str_hash, g_str_equal);
  upstream.started_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  upstream.cancelled_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  upstream.ledger = open (upstream.ledger_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (upstream.ledger < 0)
    {
      oh_log_error ("ledger_open_failed", "path=%s", upstream.ledger_path);
      goto cleanup;
    }
  if (!start_server (&upstream))
    goto cleanup;
  line = g_strdup_printf ("up %s %s %" G_GUINT64_FORMAT " %" G_GINT64_FORMAT "\n", upstream.instance,
                          upstream.service, upstream.modes.slots, upstream.started_us);
  write_ledger (&upstream, line);
  g_unix_signal_add (SIGTERM, handle_signal, &upstream);
  g_unix_signal_add (SIGINT, handle_signal, &upstream);
  g_main_loop_run (upstream.loop);
  status = EXIT_SUCCESS;

cleanup:
  if (upstream.server != NULL)
    soup_server_disconnect (upstream.server);
  g_clear_object (&upstream.server);
  if (upstream.ledger >= 0)
    close (upstream.ledger);
  g_hash_table_unref (upstream.active_runs);
  g_hash_table_unref (upstream.started_keys);
  g_hash_table_unref (upstream.cancelled_keys);
  g_main_loop_unref (upstream.loop);
  oh_log_stop ();
  return status;
}
