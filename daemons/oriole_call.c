#include <argp.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/caller_client.h"
#include "adapters/system_clock.h"
#include "adapters/system_random.h"
#include "core/caller_outcome.h"

#define OH_LOG_MODULE "call"
#include "base/log.h"

/* Command-line caller: sends one request, follows a feed or fetches a transfer, and writes the answer to
 * standard output. */

const char *argp_program_version = "oriole-call 0.1.0";

enum
{
  EXIT_RUNTIME = 1, /* the request ran and failed, or this program failed */
  EXIT_USAGE = 2,
  EXIT_NOT_RUN = 3,
  EXIT_UNKNOWN = 4,    /* the request may have run */
  OPTION_ONCE = 0x100, /* options without a short form: above all characters */
  OPTION_PRIORITY,
  OPTION_DEADLINE,
  OPTION_ITEMS,
  OPTION_CHECK,
};

typedef struct
{
  oh_address_t fabric;
  const char *service;
  const char *payload;
  Oh__RequestKind kind;
  unsigned priority;
  unsigned deadline_ms;
  uint64_t items; /* of a feed, after which the program ends; 0: no limit */
  bool has_command;
  bool once;
  bool check;
} arguments_t;

typedef struct
{
  const arguments_t *arguments;
  GMainLoop *loop;
  uint64_t n_items; /* items of a feed written so far */
  int status;       /* exit status; -1 while the outcome is open */
} call_t;

static bool
parse_command (const char *name, Oh__RequestKind *kind)
{
  if (strcmp (name, "request") == 0)
    *kind = OH__REQUEST_KIND__REQUEST_REPEATABLE;
  else if (strcmp (name, "feed") == 0)
    *kind = OH__REQUEST_KIND__REQUEST_FEED;
  else if (strcmp (name, "transfer") == 0)
    *kind = OH__REQUEST_KIND__REQUEST_TRANSFER;
  else
    return false;
  return true;
}

static uint64_t
parse_number (const char *option, const char *text, uint64_t maximum, struct argp_state *state)
{
  guint64 value;

  if (!g_ascii_string_to_unsigned (text, 10, 0, maximum, &value, NULL))
    argp_error (state, "%s \"%s\": expected an integer from 0 to %" G_GUINT64_FORMAT, option, text, maximum);
  return value;
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  arguments_t *arguments = state->input;

  switch (key)
    {
    case 'f':
      if (!oh_address_parse (text, &arguments->fabric))
        argp_error (state, "--fabric \"%s\": expected IPV4:PORT", text);
      return 0;
    case 's':
      arguments->service = text;
      return 0;
    case OPTION_ONCE:
      arguments->once = true;
      return 0;
    case OPTION_PRIORITY:
      arguments->priority = (unsigned)parse_number ("--priority", text, 2, state);
      return 0;
    case OPTION_DEADLINE:
      arguments->deadline_ms = (unsigned)parse_number ("--deadline-ms", text, G_MAXINT32, state);
      return 0;
    case OPTION_ITEMS:
      arguments->items = parse_number ("--items", text, G_MAXUINT32, state);
      return 0;
    case OPTION_CHECK:
      arguments->check = true;
      return 0;
    case ARGP_KEY_ARG:
      if (state->arg_num == 0)
        {
          if (!parse_command (text, &arguments->kind))
            argp_error (state, "command \"%s\": expected request, feed or transfer", text);
          arguments->has_command = true;
        }
      else if (state->arg_num == 1)
        arguments->payload = text;
      else
        argp_error (state, "unexpected argument \"%s\": expected a command and at most one payload", text);
      return 0;
    case ARGP_KEY_END:
      if (!arguments->has_command || arguments->service == NULL || arguments->fabric.port == 0)
        argp_error (state, "--fabric, --service and a command are required");
      if (strlen (arguments->payload) > OH_PAYLOAD_MAX_BYTES)
        argp_error (state, "payload of %zu bytes, expected at most %d", strlen (arguments->payload),
                    OH_PAYLOAD_MAX_BYTES);
      if (arguments->once && arguments->kind != OH__REQUEST_KIND__REQUEST_REPEATABLE)
        argp_error (state, "--once applies to the command request only");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
exit_status (oh_outcome_t outcome)
{
  switch (outcome)
    {
    case OH_OUTCOME_ANSWER:
      return EXIT_SUCCESS;
    case OH_OUTCOME_NOT_RUN:
      return EXIT_NOT_RUN;
    case OH_OUTCOME_UNKNOWN:
      return EXIT_UNKNOWN;
    case OH_OUTCOME_FAILED:
      break;
    }
  return EXIT_RUNTIME;
}

static void
close_with_status (call_t *call, oh_caller_flow_t *flow, int status)
{
  call->status = status;
  oh_caller_flow_close (flow);
}

static void
write_data (call_t *call, oh_caller_flow_t *flow, const oh_caller_action_t *action)
{
  fwrite (action->bytes, 1, action->length, stdout);
  if (call->arguments->kind != OH__REQUEST_KIND__REQUEST_FEED)
    return;
  putchar ('\n');
  fflush (stdout);
  if (++call->n_items == call->arguments->items)
    close_with_status (call, flow, EXIT_SUCCESS);
}

static void
report (oh_caller_flow_t *flow, const oh_caller_action_t *action, void *data)
{
  call_t *call = data;
  oh_outcome_t outcome;

  switch (action->kind)
    {
    case OH_CALLER_ACTION_DATA:
      write_data (call, flow, action);
      break;
    case OH_CALLER_ACTION_RESTART:
      oh_log_error ("entity_changed",
                    "detail=\"the entity changed; the output so far belongs to its old version\"");
      close_with_status (call, flow, EXIT_RUNTIME);
      break;
    case OH_CALLER_ACTION_DONE:
      outcome = oh_outcome_from_result (action->result);
      if (call->status >= 0)
        break;
      if (outcome != OH_OUTCOME_ANSWER)
        oh_log_error ("not_answered", "outcome=%s result=%s number=%u", oh_outcome_name (outcome),
                      oh_result_name (action->result), action->number);
      close_with_status (call, flow, exit_status (outcome));
      break;
    case OH_CALLER_ACTION_OPEN_FAILED:
    case OH_CALLER_ACTION_CLOSED:
      if (call->status < 0)
        call->status = EXIT_RUNTIME;
      g_main_loop_quit (call->loop);
      break;
    case OH_CALLER_ACTION_OPENED:
      oh_log_info ("opened", "generation=%u", action->generation);
      break;
    case OH_CALLER_ACTION_RENUMBERED:
    case OH_CALLER_ACTION_SEND:
    case OH_CALLER_ACTION_ARM_TIMER:
    case OH_CALLER_ACTION_REPLACE_PATH:
      break;
    }
}

static gboolean
handle_signal (gpointer data)
{
  oh_caller_flow_t *flow = data;

  oh_caller_flow_close (flow);
  return G_SOURCE_CONTINUE;
}

static int
run (const arguments_t *arguments)
{
  call_t call = { .arguments = arguments, .loop = g_main_loop_new (NULL, FALSE), .status = -1 };
  oh_clock_t *clock = oh_system_clock ();
  oh_caller_client_t *client = oh_caller_client_new (NULL, arguments->fabric, clock, oh_system_random ());
  oh_caller_request_t request = {
    .id = 1,
    .kind = arguments->once ? OH__REQUEST_KIND__REQUEST_ONCE : arguments->kind,
    .priority = arguments->priority,
    .payload = (const uint8_t *)arguments->payload,
    .payload_length = strlen (arguments->payload),
  };
  oh_error_t error;
  oh_caller_flow_t *flow = oh_caller_client_open_flow (client, arguments->service, report, &call, &error);

  if (flow == NULL)
    {
      oh_log_error ("open_failed", "reason=\"%s\"", error.message);
      call.status = EXIT_RUNTIME;
      goto cleanup;
    }
  if (arguments->deadline_ms > 0)
    request.deadline_us = oh_clock_now_us (clock) + (int64_t)arguments->deadline_ms * 1000;
  oh_caller_flow_request (flow, &request);
  g_unix_signal_add (SIGTERM, handle_signal, flow);
  g_unix_signal_add (SIGINT, handle_signal, flow);
  g_main_loop_run (call.loop);

cleanup:
  oh_caller_client_free (client);
  g_main_loop_unref (call.loop);
  return call.status;
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "fabric", 'f', "IPV4:PORT", 0, "Address of the fabric", 0 },
    { "service", 's', "NAME", 0, "Service to call", 0 },
    { "once", OPTION_ONCE, NULL, 0, "Never run the request twice", 0 },
    { "priority", OPTION_PRIORITY, "CLASS", 0, "0 command, 1 normal (default), 2 bulk", 0 },
    { "deadline-ms", OPTION_DEADLINE, "MS", 0, "Do not start the request after this time", 0 },
    { "items", OPTION_ITEMS, "N", 0, "End a feed after N items", 0 },
    { "check", OPTION_CHECK, NULL, 0, "Check the command line and exit", 0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .args_doc = "request|feed|transfer [PAYLOAD]",
    .doc = "Calls a service behind the load balancer and writes the answer to standard output.",
  };
  arguments_t arguments = { .payload = "", .priority = 1 };
  int status;

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  if (arguments.check)
    return EXIT_SUCCESS;
  oh_log_start (OH_LOG_WARNING, STDERR_FILENO);
  status = run (&arguments);
  oh_log_stop ();
  return status;
}
