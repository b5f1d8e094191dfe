#include <argp.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "adapters/caller_client.h"
#include "adapters/system_clock.h"
#include "adapters/system_random.h"
#include "content.h"
#include "core/caller_outcome.h"

#define OH_LOG_MODULE "load"
#include "base/log.h"

/*
 * Load generator for tests. It opens flows to a service, makes requests on them, checks the answers and
 * writes a ledger of everything that the callers were told:
 *
 *   request FLOW NUMBER KIND OUTCOME RESULT CHECK STARTED_US FINISHED_US
 *       one line for each number. OUTCOME is answer, not_run, unknown, failed, continued (a transfer or feed
 *       that was resumed under another number) or none (no outcome before the end of the load). CHECK of the
 *       answer is ok, bad or none.
 *   feed FLOW ITEMS GAPS DUPLICATES BAD LONGEST_SILENCE_US STATE
 *       STATE is open (until the end of the load), ended (before that) or unopened.
 *   flow FLOW SERVICE STATE RESULT GENERATION REOPENED MOVED PATHS
 *       STATE is open, closed, refused (never opened) or broken (lost after it was opened). REOPENED, MOVED
 *       and PATHS count how often the flow was reopened, was moved to another agent and replaced its path.
 */

const char *argp_program_version = "load 0.1.0";

enum
{
  EXIT_USAGE = 2,
  TICK_MS = 5,
  CLOSE_TIMEOUT_MS = 3000, /* longer than the client retransmits Close */
  ENTITY_VERSION = 1, /* the one that upstreams serve at first; a transfer of another one counts as bad */
  PAYLOAD_TEXT_BYTES = 128,
  OPTION_FLOWS = 0x100,
  OPTION_FEEDS,
  OPTION_RATE,
  OPTION_SHORT_RATE,
  OPTION_ONCE,
  OPTION_TRANSFER,
  OPTION_WORK_MS,
  OPTION_BYTES,
  OPTION_TRANSFER_BYTES,
  OPTION_FEED_INTERVAL,
  OPTION_DURATION,
  OPTION_SETTLE,
  OPTION_DEADLINE,
};

typedef struct
{
  oh_address_t fabric;
  const char *service;
  const char *ledger_path;
  uint64_t seed;
  uint64_t flows;            /* long flows, which stay open until the end */
  uint64_t feeds;            /* how many of the long flows follow a feed */
  uint64_t rate;             /* requests per second over all long flows */
  uint64_t short_rate;       /* new flows per second with one request each */
  uint64_t once_percent;     /* share of requests of the kind "once" */
  uint64_t transfer_percent; /* share of requests that are transfers; the others are repeatable */
  uint64_t work_ms;          /* mean service time; uniform from half to one and a half of it */
  uint64_t bytes;            /* least size of the answer to a single request */
  uint64_t transfer_bytes;
  uint64_t feed_interval_ms;
  uint64_t duration_ms;
  uint64_t settle_ms;   /* limit of the wait for outstanding requests after the duration */
  uint64_t deadline_ms; /* of single requests; 0: none */
} arguments_t;

typedef struct
{
  const arguments_t *arguments;
  GMainLoop *loop;
  oh_caller_client_t *client;
  oh_clock_t *clock;
  GRand *random;
  FILE *ledger;
  GPtrArray *flows;      /* of load_flow_t, all; owned */
  GPtrArray *long_flows; /* those of them that stay open */
  uint64_t last_id;      /* of a request */
  uint64_t outstanding;  /* requests without an outcome, except feeds */
  uint64_t requests_made;
  uint64_t short_flows_made;
  int64_t started_us;
  bool stopping;      /* no new requests; a feed that ends now counts as open */
  uint64_t n_closing; /* flows that are being closed after the ledger was written */
} load_t;

typedef struct
{
  load_t *load;
  oh_caller_flow_t *client_flow; /* NULL once the flow is finished */
  char id[OH_FLOW_ID_TEXT_BYTES];
  GHashTable *requests; /* request id to load_request_t; owned */
  bool opened;
  bool single_request; /* closed after its only request */
  bool finished;       /* closed, refused or broken */
  bool ledger_written; /* the ledger has all entries of the flow */
  const char *state;   /* as in the ledger */
  Oh__Result result;
} load_flow_t;

/* A request without an outcome, or a feed, which is kept for its ledger entry. */
typedef struct
{
  load_flow_t *flow;
  Oh__RequestKind kind;
  uint64_t id;
  int64_t started_us;
  char payload[PAYLOAD_TEXT_BYTES];
  bool bad;          /* the answer differs from the expected content */
  uint64_t received; /* bytes, or of a feed the number of the next item */
  uint64_t n_gaps;
  uint64_t n_duplicate_items;
  uint64_t n_bad_items;
  int64_t last_item_us;
  int64_t longest_silence_us;
  bool feed_ended; /* before the end of the load */
} load_request_t;

static const char *
kind_name (Oh__RequestKind kind)
{
  static const char *const names[] = { "once", "repeatable", "transfer", "feed" };

  return names[kind];
}

static void
write_request (load_t *load, const load_request_t *request, uint32_t number, const char *outcome,
               Oh__Result result, const char *check)
{
  fprintf (load->ledger, "request %s %u %s %s %s %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT "\n",
           request->flow->id, number, kind_name (request->kind), outcome, oh_result_name (result), check,
           request->started_us, oh_clock_now_us (load->clock));
}

static void
check_single (load_request_t *request, const oh_caller_action_t *action)
{
  const char *service = request->flow->load->arguments->service;
  const size_t bytes = content_parameter (request->payload, strlen (request->payload), "bytes", 0);
  size_t length;
  g_autofree char *expected = content_answer (service, request->flow->id, request->payload,
                                              strlen (request->payload), bytes, &length);

  request->received = action->length;
  request->bad = length != action->length || memcmp (expected, action->bytes, length) != 0;
}

static void
check_transfer (load_request_t *request, const oh_caller_action_t *action)
{
  uint8_t expected[OH_CHUNK_MAX_BYTES];

  content_entity (request->flow->load->arguments->service, ENTITY_VERSION, request->received, expected,
                  action->length);
  if (memcmp (expected, action->bytes, action->length) != 0)
    request->bad = true;
  request->received += action->length;
}

static void
update_silence (load_request_t *request, int64_t now_us)
{
  if (now_us - request->last_item_us > request->longest_silence_us)
    request->longest_silence_us = now_us - request->last_item_us;
  request->last_item_us = now_us;
}

static void
check_item (load_request_t *request, const oh_caller_action_t *action)
{
  const char *text = action->bytes;
  g_autofree char *expected
    = content_item (request->flow->load->arguments->service, request->flow->id, request->received);
  g_autofree char *item = g_strndup (text, action->length);

  update_silence (request, oh_clock_now_us (request->flow->load->clock));
  if (strcmp (item, expected) != 0)
    {
      const char *position = strstr (item, " item=");
      const uint64_t number = position != NULL ? g_ascii_strtoull (position + 6, NULL, 10) : 0;

      if (position != NULL && number > request->received)
        request->n_gaps++;
      else if (position != NULL && number < request->received)
        request->n_duplicate_items++;
      else
        request->n_bad_items++;
      if (position != NULL && number > request->received)
        request->received = number;
    }
  request->received++;
}

static void
finish_request (load_request_t *request, const oh_caller_action_t *action)
{
  load_flow_t *flow = request->flow;
  const oh_outcome_t outcome = oh_outcome_from_result (action->result);
  const uint64_t transfer_bytes = flow->load->arguments->transfer_bytes;
  const char *check = "none";

  if (outcome == OH_OUTCOME_ANSWER && request->kind != OH__REQUEST_KIND__REQUEST_FEED)
    {
      if (request->kind == OH__REQUEST_KIND__REQUEST_TRANSFER && request->received != transfer_bytes)
        request->bad = true;
      check = request->bad ? "bad" : "ok";
    }
  write_request (flow->load, request, action->number, oh_outcome_name (outcome), action->result, check);
  if (request->kind == OH__REQUEST_KIND__REQUEST_FEED)
    {
      request->feed_ended = !flow->load->stopping;
      return;
    }
  flow->load->outstanding--;
  g_hash_table_remove (flow->requests, &request->id);
  if (flow->single_request)
    oh_caller_flow_close (flow->client_flow);
}

/* Writes the ledger entries of the flow, of its feeds and of its requests without an outcome. */
static void
write_flow (load_t *load, load_flow_t *flow)
{
  const oh_caller_core_t *core = oh_caller_flow_core (flow->client_flow);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, flow->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      load_request_t *request = value;

      if (request->kind != OH__REQUEST_KIND__REQUEST_FEED)
        {
          write_request (load, request, oh_caller_core_request_number (core, request->id), "none",
                         OH__RESULT__RESULT_UNKNOWN, "none");
          continue;
        }
      if (!request->feed_ended)
        update_silence (request, oh_clock_now_us (load->clock));
      fprintf (load->ledger,
               "feed %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
               " %" G_GINT64_FORMAT " %s\n",
               flow->id, request->received, request->n_gaps, request->n_duplicate_items, request->n_bad_items,
               request->longest_silence_us,
               request->feed_ended ? "ended"
               : !flow->opened     ? "unopened"
                                   : "open");
    }
  fprintf (
    load->ledger, "flow %s %s %s %s %u %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT "\n",
    flow->id, load->arguments->service, flow->opened || flow->finished ? flow->state : "refused",
    oh_result_name (flow->result), core->generation, core->n_reopened, core->n_moved, core->n_path_replaced);
}

/* Writes the entries of a flow that ended and frees its client flow at once, since many short flows would
 * otherwise exhaust the sockets. */
static void
finish_flow (load_flow_t *flow, const char *state, Oh__Result result)
{
  flow->finished = true;
  flow->state = state;
  flow->result = result;
  write_flow (flow->load, flow);
  oh_caller_flow_free (flow->client_flow);
  flow->client_flow = NULL;
}

static void
handle_action (oh_caller_flow_t *client_flow, const oh_caller_action_t *action, void *data)
{
  load_flow_t *flow = data;
  load_request_t *request = g_hash_table_lookup (flow->requests, &action->id);

  if (flow->ledger_written)
    {
      if (action->kind == OH_CALLER_ACTION_CLOSED && --flow->load->n_closing == 0)
        g_main_loop_quit (flow->load->loop);
      return;
    }
  switch (action->kind)
    {
    case OH_CALLER_ACTION_OPENED:
      flow->opened = true;
      break;
    case OH_CALLER_ACTION_DATA:
      g_assert (request != NULL);
      if (request->kind == OH__REQUEST_KIND__REQUEST_FEED)
        check_item (request, action);
      else if (request->kind == OH__REQUEST_KIND__REQUEST_TRANSFER)
        check_transfer (request, action);
      else
        check_single (request, action);
      break;
    case OH_CALLER_ACTION_RESTART:
      g_assert (request != NULL);
      request->received = 0;
      request->bad = false;
      break;
    case OH_CALLER_ACTION_RENUMBERED:
      g_assert (request != NULL);
      write_request (flow->load, request, action->number,
                     action->result == OH__RESULT__RESULT_NONE
                       ? "continued"
                       : oh_outcome_name (oh_outcome_from_result (action->result)),
                     action->result, "none");
      break;
    case OH_CALLER_ACTION_DONE:
      g_assert (request != NULL);
      finish_request (request, action);
      break;
    case OH_CALLER_ACTION_OPEN_FAILED:
      finish_flow (flow, flow->opened ? "broken" : "refused", action->result);
      break;
    case OH_CALLER_ACTION_CLOSED:
      finish_flow (flow, "closed", OH__RESULT__RESULT_NONE);
      break;
    case OH_CALLER_ACTION_SEND:
    case OH_CALLER_ACTION_ARM_TIMER:
    case OH_CALLER_ACTION_REPLACE_PATH:
      break;
    }
}

static load_flow_t *
open_flow (load_t *load, bool single_request)
{
  load_flow_t *flow = g_new0 (load_flow_t, 1);
  oh_error_t error;

  flow->load = load;
  flow->single_request = single_request;
  flow->state = "open";
  flow->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  flow->client_flow
    = oh_caller_client_open_flow (load->client, load->arguments->service, handle_action, flow, &error);
  if (flow->client_flow == NULL)
    {
      oh_log_error ("open_failed", "reason=\"%s\"", error.message);
      g_hash_table_unref (flow->requests);
      g_free (flow);
      return NULL;
    }
  oh_caller_flow_format_id (flow->client_flow, flow->id);
  g_ptr_array_add (load->flows, flow);
  return flow;
}

static void
make_request (load_flow_t *flow, Oh__RequestKind kind)
{
  load_t *load = flow->load;
  const arguments_t *arguments = load->arguments;
  load_request_t *request = g_new0 (load_request_t, 1);
  const uint64_t work_ms
    = arguments->work_ms / 2 + (uint64_t)g_rand_int_range (load->random, 0, (gint32)arguments->work_ms + 1);
  const int64_t now_us = oh_clock_now_us (load->clock);
  oh_caller_request_t client_request = { .kind = kind, .priority = 1 };

  load->last_id++;
  request->flow = flow;
  request->kind = kind;
  request->started_us = now_us;
  request->last_item_us = now_us;
  if (kind == OH__REQUEST_KIND__REQUEST_FEED)
    g_snprintf (request->payload, sizeof request->payload, "interval_ms=%" G_GUINT64_FORMAT,
                arguments->feed_interval_ms);
  else
    g_snprintf (request->payload, sizeof request->payload,
                "sequence=%" G_GUINT64_FORMAT " work_ms=%" G_GUINT64_FORMAT " bytes=%" G_GUINT64_FORMAT,
                load->last_id, work_ms,
                kind == OH__REQUEST_KIND__REQUEST_TRANSFER ? arguments->transfer_bytes : arguments->bytes);
  client_request.payload = (const uint8_t *)request->payload;
  client_request.payload_length = strlen (request->payload);
  if (arguments->deadline_ms > 0 && kind <= OH__REQUEST_KIND__REQUEST_REPEATABLE)
    client_request.deadline_us = now_us + (int64_t)arguments->deadline_ms * 1000;
  if (kind != OH__REQUEST_KIND__REQUEST_FEED)
    load->outstanding++;
  request->id = load->last_id;
  client_request.id = request->id;
  g_hash_table_insert (flow->requests, &request->id, request);
  oh_caller_flow_request (flow->client_flow, &client_request);
}

static Oh__RequestKind
choose_kind (const load_t *load)
{
  const uint64_t percent = (uint64_t)g_rand_int_range (load->random, 0, 100);

  if (percent < load->arguments->once_percent)
    return OH__REQUEST_KIND__REQUEST_ONCE;
  if (percent < load->arguments->once_percent + load->arguments->transfer_percent)
    return OH__REQUEST_KIND__REQUEST_TRANSFER;
  return OH__REQUEST_KIND__REQUEST_REPEATABLE;
}

static void
make_due_requests (load_t *load, int64_t elapsed_us)
{
  const uint64_t requests_due = load->arguments->rate * (uint64_t)elapsed_us / 1000000;
  const uint64_t short_due = load->arguments->short_rate * (uint64_t)elapsed_us / 1000000;

  for (; load->requests_made < requests_due && load->long_flows->len > 0; load->requests_made++)
    {
      load_flow_t *flow = g_ptr_array_index (
        load->long_flows, g_rand_int_range (load->random, 0, (gint32)load->long_flows->len));

      if (!flow->finished)
        make_request (flow, choose_kind (load));
    }
  for (; load->short_flows_made < short_due; load->short_flows_made++)
    {
      load_flow_t *flow = open_flow (load, true);

      if (flow != NULL)
        make_request (flow, choose_kind (load));
    }
}

static gboolean
handle_tick (gpointer data)
{
  load_t *load = data;
  const int64_t elapsed_us = oh_clock_now_us (load->clock) - load->started_us;
  const int64_t duration_us = (int64_t)load->arguments->duration_ms * 1000;

  if (elapsed_us < duration_us && !load->stopping)
    {
      make_due_requests (load, elapsed_us);
      return G_SOURCE_CONTINUE;
    }
  load->stopping = true;
  if (load->outstanding > 0 && elapsed_us < duration_us + (int64_t)load->arguments->settle_ms * 1000)
    return G_SOURCE_CONTINUE;
  g_main_loop_quit (load->loop);
  return G_SOURCE_REMOVE;
}

static gboolean
handle_close_timeout (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

/* Writes the entries of all flows, then closes the flows, so that agents do not keep them until their
 * timeout. */
static void
close_flows (load_t *load)
{
  for (guint i = 0; i < load->flows->len; i++)
    {
      load_flow_t *flow = g_ptr_array_index (load->flows, i);

      if (flow->client_flow == NULL)
        continue;
      write_flow (load, flow);
      flow->ledger_written = true;
      load->n_closing++;
    }
  fflush (load->ledger);
  if (load->n_closing == 0)
    return;
  g_timeout_add (CLOSE_TIMEOUT_MS, handle_close_timeout, load->loop);
  for (guint i = 0; i < load->flows->len; i++)
    {
      load_flow_t *flow = g_ptr_array_index (load->flows, i);

      if (flow->client_flow != NULL)
        oh_caller_flow_close (flow->client_flow);
    }
  if (load->n_closing > 0)
    g_main_loop_run (load->loop);
}

static void
free_flow (gpointer data)
{
  load_flow_t *flow = data;

  g_hash_table_unref (flow->requests);
  g_free (flow);
}

static gboolean
handle_signal (gpointer data)
{
  load_t *load = data;

  load->stopping = true;
  return G_SOURCE_CONTINUE;
}

static int
run (const arguments_t *arguments)
{
  load_t load = {
    .arguments = arguments,
    .loop = g_main_loop_new (NULL, FALSE),
    .clock = oh_system_clock (),
    .random = g_rand_new_with_seed ((guint32)arguments->seed),
    .flows = g_ptr_array_new_with_free_func (free_flow),
    .long_flows = g_ptr_array_new (),
    .ledger = fopen (arguments->ledger_path, "we"),
  };
  int status = EXIT_FAILURE;

  if (load.ledger == NULL)
    {
      oh_log_error ("ledger_open_failed", "path=%s", arguments->ledger_path);
      goto cleanup;
    }
  load.client = oh_caller_client_new (NULL, arguments->fabric, load.clock, oh_system_random ());
  load.started_us = oh_clock_now_us (load.clock);
  for (uint64_t i = 0; i < arguments->flows; i++)
    {
      load_flow_t *flow = open_flow (&load, false);

      if (flow == NULL)
        goto cleanup;
      g_ptr_array_add (load.long_flows, flow);
      if (i < arguments->feeds)
        make_request (flow, OH__REQUEST_KIND__REQUEST_FEED);
    }
  g_timeout_add (TICK_MS, handle_tick, &load);
  g_unix_signal_add (SIGTERM, handle_signal, &load);
  g_unix_signal_add (SIGINT, handle_signal, &load);
  g_main_loop_run (load.loop);
  status = EXIT_SUCCESS;

cleanup:
  if (load.ledger != NULL)
    {
      close_flows (&load);
      fclose (load.ledger);
    }
  oh_caller_client_free (load.client);
  g_ptr_array_unref (load.flows);
  g_ptr_array_unref (load.long_flows);
  g_rand_free (load.random);
  g_main_loop_unref (load.loop);
  return status;
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  arguments_t *arguments = state->input;
  const struct
  {
    int key;
    uint64_t *value;
  } numbers[] = {
    { 'S', &arguments->seed },
    { OPTION_FLOWS, &arguments->flows },
    { OPTION_FEEDS, &arguments->feeds },
    { OPTION_RATE, &arguments->rate },
    { OPTION_SHORT_RATE, &arguments->short_rate },
    { OPTION_ONCE, &arguments->once_percent },
    { OPTION_TRANSFER, &arguments->transfer_percent },
    { OPTION_WORK_MS, &arguments->work_ms },
    { OPTION_BYTES, &arguments->bytes },
    { OPTION_TRANSFER_BYTES, &arguments->transfer_bytes },
    { OPTION_FEED_INTERVAL, &arguments->feed_interval_ms },
    { OPTION_DURATION, &arguments->duration_ms },
    { OPTION_SETTLE, &arguments->settle_ms },
    { OPTION_DEADLINE, &arguments->deadline_ms },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    if (numbers[i].key == key)
      {
        if (!g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT32, numbers[i].value, NULL))
          argp_error (state, "\"%s\": expected an integer from 0 to %d", text, G_MAXINT32);
        return 0;
      }
  switch (key)
    {
    case 'f':
      if (!oh_address_parse (text, &arguments->fabric))
        argp_error (state, "--fabric \"%s\": expected IPV4:PORT", text);
      return 0;
    case 's':
      arguments->service = text;
      return 0;
    case 'o':
      arguments->ledger_path = text;
      return 0;
    case ARGP_KEY_END:
      if (arguments->fabric.port == 0 || arguments->service == NULL || arguments->ledger_path == NULL)
        argp_error (state, "--fabric, --service and --ledger are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "fabric", 'f', "IPV4:PORT", 0, "Address of the fabric", 0 },
    { "service", 's', "NAME", 0, "Service to call", 0 },
    { "ledger", 'o', "FILE", 0, "Ledger file; overwritten", 0 },
    { "seed", 'S', "N", 0, "Seed of request kinds and work", 0 },
    { "flows", OPTION_FLOWS, "N", 0, "Flows that stay open", 0 },
    { "feeds", OPTION_FEEDS, "N", 0, "How many of them follow a feed", 0 },
    { "rate", OPTION_RATE, "N", 0, "Requests per second over these flows", 0 },
    { "short-rate", OPTION_SHORT_RATE, "N", 0, "New flows per second with one request each", 0 },
    { "once", OPTION_ONCE, "PERCENT", 0, "Share of requests that must not run twice", 0 },
    { "transfer", OPTION_TRANSFER, "PERCENT", 0, "Share of requests that are transfers", 0 },
    { "work-ms", OPTION_WORK_MS, "MS", 0, "Mean service time", 0 },
    { "bytes", OPTION_BYTES, "N", 0, "Least size of the answers to single requests", 0 },
    { "transfer-bytes", OPTION_TRANSFER_BYTES, "N", 0, "Size of transfers", 0 },
    { "feed-interval-ms", OPTION_FEED_INTERVAL, "MS", 0, "Time between the items of a feed", 0 },
    { "duration-ms", OPTION_DURATION, "MS", 0, "Time during which requests are made", 0 },
    { "settle-ms", OPTION_SETTLE, "MS", 0, "Limit of the wait for outstanding requests after that", 0 },
    { "deadline-ms", OPTION_DEADLINE, "MS", 0, "Deadline of single requests; 0: none", 0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Calls a service and records in a ledger what the callers were told.",
  };
  arguments_t arguments = {
    .flows = 20,
    .feeds = 5,
    .rate = 50,
    .once_percent = 50,
    .work_ms = 10,
    .bytes = 200,
    .transfer_bytes = 1 << 20,
    .feed_interval_ms = 100,
    .duration_ms = 5000,
    .settle_ms = 15000,
  };
  struct rlimit files;
  int status;

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  getrlimit (RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit (RLIMIT_NOFILE, &files);
  oh_log_start (OH_LOG_WARNING, STDERR_FILENO);
  status = run (&arguments);
  oh_log_stop ();
  return status;
}
