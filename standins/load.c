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
 * Load for tests, with a ledger of everything that callers were told:
 *
 *   request FLOW NUMBER KIND OUTCOME RESULT CHECK STARTED_US FINISHED_US
 *       for every number; OUTCOME is answer, not_run, unknown, failed, continued (a stream that goes on under
 *       another number) or none (no word until the end); CHECK is ok, bad or none
 *   feed FLOW ITEMS GAPS DOUBLES BAD LONGEST_SILENCE_US STATE
 *       STATE is open (until the load ended it), ended or unopened
 *   flow FLOW SERVICE STATE RESULT GENERATION REOPENED MOVED PATHS
 *       STATE is open, closed, refused (never opened) or broken (lost after it was opened)
 */

const char *argp_program_version = "load 0.1.0";

enum
{
  EXIT_USAGE = 2,
  TICK_MS = 5,
  CLOSE_LIMIT_MS = 3000, /* longer than the client tries to close a flow */
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
  uint64_t flows;
  uint64_t feeds;
  uint64_t rate;       /* requests per second over all flows */
  uint64_t short_rate; /* new flows per second with one request each */
  uint64_t once;       /* percent of requests */
  uint64_t transfer;   /* percent of requests */
  uint64_t work_ms;    /* mean; uniform from half to one and a half */
  uint64_t bytes;
  uint64_t transfer_bytes;
  uint64_t feed_interval_ms;
  uint64_t duration_ms;
  uint64_t settle_ms; /* time for outstanding requests after the duration */
  uint64_t deadline_ms;
} arguments_t;

typedef struct
{
  const arguments_t *arguments;
  GMainLoop *loop;
  oh_client_t *client;
  oh_clock_t *clock;
  GRand *rand;
  FILE *ledger;
  GPtrArray *flows; /* of load_flow_t, all */
  GPtrArray *long_flows;
  uint64_t sequence;
  uint64_t outstanding;
  uint64_t requests_made;
  uint64_t short_made;
  int64_t started_us;
  bool ending;
  uint64_t n_closing; /* flows whose entries are written, not yet closed */
} load_t;

typedef struct
{
  load_t *load;
  oh_client_flow_t *flow;
  char id[OH_FLOW_ID_TEXT_BYTES];
  GHashTable *calls; /* by request id */
  bool opened;
  bool one_shot;
  bool over;
  bool written; /* the ledger has all its entries */
  const char *state;
  Oh__Result result;
} load_flow_t;

typedef struct
{
  load_flow_t *owner;
  Oh__RequestKind kind;
  uint64_t id;
  int64_t started_us;
  char payload[PAYLOAD_TEXT_BYTES];
  bool bad;
  uint64_t received; /* bytes of a transfer; items of a feed */
  uint64_t gaps;
  uint64_t doubles;
  uint64_t bad_items;
  int64_t last_item_us;
  int64_t longest_silence_us;
  bool ended;
} call_t;

static const char *
kind_name (Oh__RequestKind kind)
{
  static const char *const names[] = { "once", "repeatable", "transfer", "feed" };

  return names[kind];
}

static void
write_request (load_t *load, const call_t *call, uint32_t number, const char *outcome, Oh__Result result,
               const char *check)
{
  fprintf (load->ledger, "request %s %u %s %s %s %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT "\n",
           call->owner->id, number, kind_name (call->kind), outcome, oh_result_name (result), check,
           call->started_us, oh_clock_now_us (load->clock));
}

static void
check_single (call_t *call, const oh_caller_action_t *action)
{
  const char *service = call->owner->load->arguments->service;
  const size_t bytes = content_parameter (call->payload, strlen (call->payload), "bytes", 0);
  size_t length;
  g_autofree char *expected
    = content_answer (service, call->owner->id, call->payload, strlen (call->payload), bytes, &length);

  call->received = action->length;
  call->bad = length != action->length || memcmp (expected, action->bytes, length) != 0;
}

static void
check_transfer (call_t *call, const oh_caller_action_t *action)
{
  uint8_t expected[OH_CHUNK_MAX_BYTES];

  content_entity (call->owner->load->arguments->service, 1, call->received, expected, action->length);
  if (memcmp (expected, action->bytes, action->length) != 0)
    call->bad = true;
  call->received += action->length;
}

static void
note_silence (call_t *call, int64_t now_us)
{
  if (now_us - call->last_item_us > call->longest_silence_us)
    call->longest_silence_us = now_us - call->last_item_us;
  call->last_item_us = now_us;
}

static void
check_item (call_t *call, const oh_caller_action_t *action)
{
  const char *text = action->bytes;
  g_autofree char *expected
    = content_item (call->owner->load->arguments->service, call->owner->id, call->received);
  g_autofree char *item = g_strndup (text, action->length);

  note_silence (call, oh_clock_now_us (call->owner->load->clock));
  if (strcmp (item, expected) != 0)
    {
      const char *position = strstr (item, " item=");
      const uint64_t number = position != NULL ? g_ascii_strtoull (position + 6, NULL, 10) : 0;

      if (position != NULL && number > call->received)
        call->gaps++;
      else if (position != NULL && number < call->received)
        call->doubles++;
      else
        call->bad_items++;
      if (position != NULL && number > call->received)
        call->received = number;
    }
  call->received++;
}

static void
finish_call (call_t *call, const oh_caller_action_t *action)
{
  load_flow_t *owner = call->owner;
  const oh_outcome_t outcome = oh_outcome_from_result (action->result);
  const uint64_t transfer_bytes = owner->load->arguments->transfer_bytes;
  const char *check = "none";

  if (outcome == OH_OUTCOME_ANSWER && call->kind != OH__REQUEST_KIND__REQUEST_FEED)
    {
      if (call->kind == OH__REQUEST_KIND__REQUEST_TRANSFER && call->received != transfer_bytes)
        call->bad = true;
      check = call->bad ? "bad" : "ok";
    }
  write_request (owner->load, call, action->number, oh_outcome_name (outcome), action->result, check);
  if (call->kind == OH__REQUEST_KIND__REQUEST_FEED)
    {
      call->ended = !owner->load->ending; /* kept for its feed line */
      return;
    }
  owner->load->outstanding--;
  g_hash_table_remove (owner->calls, &call->id);
  if (owner->one_shot)
    oh_client_close (owner->flow);
}

static void
write_flow (load_t *load, load_flow_t *owner)
{
  const oh_caller_core_t *core = oh_client_flow_core (owner->flow);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      call_t *call = value;

      if (call->kind != OH__REQUEST_KIND__REQUEST_FEED)
        {
          write_request (load, call, oh_caller_core_request_number (core, call->id), "none",
                         OH__RESULT__RESULT_UNKNOWN, "none");
          continue;
        }
      if (!call->ended)
        note_silence (call, oh_clock_now_us (load->clock));
      fprintf (load->ledger,
               "feed %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
               " %" G_GINT64_FORMAT " %s\n",
               owner->id, call->received, call->gaps, call->doubles, call->bad_items,
               call->longest_silence_us,
               call->ended      ? "ended"
               : !owner->opened ? "unopened"
                                : "open");
    }
  fprintf (
    load->ledger, "flow %s %s %s %s %u %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT "\n",
    owner->id, load->arguments->service, owner->opened || owner->over ? owner->state : "refused",
    oh_result_name (owner->result), core->generation, core->n_reopened, core->n_moved, core->n_path_replaced);
}

/* The flow ended: its sockets are given back at once, because short flows are many. */
static void
finish_flow (load_flow_t *owner, const char *state, Oh__Result result)
{
  owner->over = true;
  owner->state = state;
  owner->result = result;
  write_flow (owner->load, owner);
  oh_client_flow_free (owner->flow);
  owner->flow = NULL;
}

static void
report (oh_client_flow_t *flow, const oh_caller_action_t *action, void *data)
{
  load_flow_t *owner = data;
  call_t *call = g_hash_table_lookup (owner->calls, &action->id);

  if (owner->written)
    {
      if (action->kind == OH_CALLER_ACTION_CLOSED && --owner->load->n_closing == 0)
        g_main_loop_quit (owner->load->loop);
      return;
    }
  switch (action->kind)
    {
    case OH_CALLER_ACTION_OPENED:
      owner->opened = true;
      break;
    case OH_CALLER_ACTION_DATA:
      g_assert (call != NULL);
      if (call->kind == OH__REQUEST_KIND__REQUEST_FEED)
        check_item (call, action);
      else if (call->kind == OH__REQUEST_KIND__REQUEST_TRANSFER)
        check_transfer (call, action);
      else
        check_single (call, action);
      break;
    case OH_CALLER_ACTION_RESTART:
      g_assert (call != NULL);
      call->received = 0;
      call->bad = false;
      break;
    case OH_CALLER_ACTION_RENUMBERED:
      g_assert (call != NULL);
      write_request (owner->load, call, action->number,
                     action->result == OH__RESULT__RESULT_NONE
                       ? "continued"
                       : oh_outcome_name (oh_outcome_from_result (action->result)),
                     action->result, "none");
      break;
    case OH_CALLER_ACTION_DONE:
      g_assert (call != NULL);
      finish_call (call, action);
      break;
    case OH_CALLER_ACTION_OPEN_FAILED:
      finish_flow (owner, owner->opened ? "broken" : "refused", action->result);
      break;
    case OH_CALLER_ACTION_CLOSED:
      finish_flow (owner, "closed", OH__RESULT__RESULT_NONE);
      break;
    case OH_CALLER_ACTION_SEND:
    case OH_CALLER_ACTION_ARM_TIMER:
    case OH_CALLER_ACTION_REPLACE_PATH:
      break;
    }
}

static load_flow_t *
open_flow (load_t *load, bool one_shot)
{
  load_flow_t *owner = g_new0 (load_flow_t, 1);
  oh_error_t error;

  owner->load = load;
  owner->one_shot = one_shot;
  owner->state = "open";
  owner->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  owner->flow = oh_client_open (load->client, load->arguments->service, report, owner, &error);
  if (owner->flow == NULL)
    {
      oh_log_error ("open_failed", "reason=\"%s\"", error.message);
      g_hash_table_unref (owner->calls);
      g_free (owner);
      return NULL;
    }
  oh_client_flow_format_id (owner->flow, owner->id);
  g_ptr_array_add (load->flows, owner);
  return owner;
}

static void
make_request (load_flow_t *owner, Oh__RequestKind kind)
{
  load_t *load = owner->load;
  const arguments_t *arguments = load->arguments;
  call_t *call = g_new0 (call_t, 1);
  const uint64_t work_ms
    = arguments->work_ms / 2 + (uint64_t)g_rand_int_range (load->rand, 0, (gint32)arguments->work_ms + 1);
  const int64_t now_us = oh_clock_now_us (load->clock);
  oh_caller_request_t request = { .kind = kind, .priority = 1 };

  load->sequence++;
  call->owner = owner;
  call->kind = kind;
  call->started_us = now_us;
  call->last_item_us = now_us;
  if (kind == OH__REQUEST_KIND__REQUEST_FEED)
    g_snprintf (call->payload, sizeof call->payload, "interval_ms=%" G_GUINT64_FORMAT,
                arguments->feed_interval_ms);
  else
    g_snprintf (call->payload, sizeof call->payload,
                "sequence=%" G_GUINT64_FORMAT " work_ms=%" G_GUINT64_FORMAT " bytes=%" G_GUINT64_FORMAT,
                load->sequence, work_ms,
                kind == OH__REQUEST_KIND__REQUEST_TRANSFER ? arguments->transfer_bytes : arguments->bytes);
  request.payload = (const uint8_t *)call->payload;
  request.payload_length = strlen (call->payload);
  if (arguments->deadline_ms > 0 && kind <= OH__REQUEST_KIND__REQUEST_REPEATABLE)
    request.deadline_us = now_us + (int64_t)arguments->deadline_ms * 1000;
  if (kind != OH__REQUEST_KIND__REQUEST_FEED)
    load->outstanding++;
  call->id = load->sequence;
  request.id = call->id;
  g_hash_table_insert (owner->calls, &call->id, call);
  oh_client_request (owner->flow, &request);
}

static Oh__RequestKind
choose_kind (const load_t *load)
{
  const uint64_t percent = (uint64_t)g_rand_int_range (load->rand, 0, 100);

  if (percent < load->arguments->once)
    return OH__REQUEST_KIND__REQUEST_ONCE;
  if (percent < load->arguments->once + load->arguments->transfer)
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
      load_flow_t *owner = g_ptr_array_index (
        load->long_flows, g_rand_int_range (load->rand, 0, (gint32)load->long_flows->len));

      if (!owner->over)
        make_request (owner, choose_kind (load));
    }
  for (; load->short_made < short_due; load->short_made++)
    {
      load_flow_t *owner = open_flow (load, true);

      if (owner != NULL)
        make_request (owner, choose_kind (load));
    }
}

static gboolean
handle_tick (gpointer data)
{
  load_t *load = data;
  const int64_t elapsed_us = oh_clock_now_us (load->clock) - load->started_us;
  const int64_t duration_us = (int64_t)load->arguments->duration_ms * 1000;

  if (elapsed_us < duration_us && !load->ending)
    {
      make_due_requests (load, elapsed_us);
      return G_SOURCE_CONTINUE;
    }
  load->ending = true;
  if (load->outstanding > 0 && elapsed_us < duration_us + (int64_t)load->arguments->settle_ms * 1000)
    return G_SOURCE_CONTINUE;
  g_main_loop_quit (load->loop);
  return G_SOURCE_REMOVE;
}

static gboolean
handle_close_limit (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

/* Writes the entries of all flows, then closes the flows, so that agents do not keep them. */
static void
close_flows (load_t *load)
{
  for (guint i = 0; i < load->flows->len; i++)
    {
      load_flow_t *owner = g_ptr_array_index (load->flows, i);

      if (owner->flow == NULL)
        continue;
      write_flow (load, owner);
      owner->written = true;
      load->n_closing++;
    }
  fflush (load->ledger);
  if (load->n_closing == 0)
    return;
  g_timeout_add (CLOSE_LIMIT_MS, handle_close_limit, load->loop);
  for (guint i = 0; i < load->flows->len; i++)
    {
      load_flow_t *owner = g_ptr_array_index (load->flows, i);

      if (owner->flow != NULL)
        oh_client_close (owner->flow);
    }
  if (load->n_closing > 0)
    g_main_loop_run (load->loop);
}

static void
free_flow (gpointer data)
{
  load_flow_t *owner = data;

  g_hash_table_unref (owner->calls);
  g_free (owner);
}

static gboolean
handle_signal (gpointer data)
{
  load_t *load = data;

  load->ending = true;
  return G_SOURCE_CONTINUE;
}

static int
run (const arguments_t *arguments)
{
  load_t load = {
    .arguments = arguments,
    .loop = g_main_loop_new (NULL, FALSE),
    .clock = oh_system_clock (),
    .rand = g_rand_new_with_seed ((guint32)arguments->seed),
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
  load.client = oh_client_new (NULL, arguments->fabric, load.clock, oh_system_random ());
  load.started_us = oh_clock_now_us (load.clock);
  for (uint64_t i = 0; i < arguments->flows; i++)
    {
      load_flow_t *owner = open_flow (&load, false);

      if (owner == NULL)
        goto cleanup;
      g_ptr_array_add (load.long_flows, owner);
      if (i < arguments->feeds)
        make_request (owner, OH__REQUEST_KIND__REQUEST_FEED);
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
  oh_client_free (load.client);
  g_ptr_array_unref (load.flows);
  g_ptr_array_unref (load.long_flows);
  g_rand_free (load.rand);
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
    { OPTION_ONCE, &arguments->once },
    { OPTION_TRANSFER, &arguments->transfer },
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
    { "ledger", 'o', "FILE", 0, "Ledger, overwritten", 0 },
    { "seed", 'S', "N", 0, "Seed of request kinds and work", 0 },
    { "flows", OPTION_FLOWS, "N", 0, "Flows that stay open", 0 },
    { "feeds", OPTION_FEEDS, "N", 0, "How many of them follow a feed", 0 },
    { "rate", OPTION_RATE, "N", 0, "Requests per second over these flows", 0 },
    { "short-rate", OPTION_SHORT_RATE, "N", 0, "New flows per second with one request each", 0 },
    { "once", OPTION_ONCE, "PERCENT", 0, "Requests that must not run twice", 0 },
    { "transfer", OPTION_TRANSFER, "PERCENT", 0, "Requests that are transfers", 0 },
    { "work-ms", OPTION_WORK_MS, "MS", 0, "Mean service time", 0 },
    { "bytes", OPTION_BYTES, "N", 0, "Size of single answers", 0 },
    { "transfer-bytes", OPTION_TRANSFER_BYTES, "N", 0, "Size of transfers", 0 },
    { "feed-interval-ms", OPTION_FEED_INTERVAL, "MS", 0, "Time between items", 0 },
    { "duration-ms", OPTION_DURATION, "MS", 0, "How long requests are made", 0 },
    { "settle-ms", OPTION_SETTLE, "MS", 0, "Limit of the wait for outcomes after that", 0 },
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
    .once = 50,
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
