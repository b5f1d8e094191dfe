#include <argp.h>
#include <libsoup/soup.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/operator_client.h"
#include "adapters/system_random.h"
#include "base/settings.h"
#include "core/config_text.h"
#include "core/control_state.h"
#include "core/log_timeline.h"
#include "core/stop_order.h"

/* Command-line tool for operators. */

enum
{
  EXIT_DONE = 0,
  EXIT_FAILED = 1,
  EXIT_USAGE = 2,
  EXIT_CONFLICT = 3, /* another change took effect first */
  EXIT_INVALID_TEXT = 4,
  EXIT_UNKNOWN = 5, /* no answer: the outcome is not known */
  MAX_ARGUMENTS = 2,
  DEFAULT_TIMEOUT_MS = 15000,
  STATUS_TIMEOUT_MS = 1500,
  DIFF_MAX_CELLS = 16 << 20, /* if the table of lengths would be larger, every line counts as changed */
};

typedef struct
{
  const char *settings_path;
  const char *id;      /* hexadecimal; NULL for a new one */
  const char *base;    /* version number; NULL for the version in effect */
  const char *timeout; /* ms; NULL for the default */
  bool force;
  const char *command;
  const char *arguments[MAX_ARGUMENTS];
  unsigned n_arguments;
} arguments_t;

typedef struct
{
  char *replicas;
  char *key_file;
} settings_t;

static const oh_setting_t setting_table[] = {
  { "control", "replicas", OH_SETTING_STRING, offsetof (settings_t, replicas), true, NULL, 0, 0 },
  { "keys", "file", OH_SETTING_STRING, offsetof (settings_t, key_file), true, NULL, 0, 0 },
};

typedef struct
{
  const arguments_t *arguments;
  oh_operator_client_t *client; /* NULL for commands that need no replica */
  int timeout_ms;
} session_t;

typedef struct
{
  const char *name;
  unsigned n_arguments;
  bool needs_client;
  int (*run) (session_t *session);
} command_t;

const char *argp_program_version = "oriolectl " OH_VERSION;

static const char doc[]
  = "Operate oriolehaven.\v"
    "Commands:\n"
    "  check TEXT                   check a configuration text\n"
    "  diff TEXT                    compare the text in effect with the file\n"
    "  apply TEXT                   apply the text\n"
    "  status                       show replicas, balancers and upstreams\n"
    "  drain UPSTREAM               stop new work on an upstream\n"
    "  undrain UPSTREAM             resume new work on an upstream\n"
    "  drain-zone ZONE              stop new flows to the upstreams of an availability zone\n"
    "  undrain-zone ZONE            resume them\n"
    "  rotate-keys                  move to the next key generation\n"
    "  add-replica NAME ENDPOINT    add a control replica\n"
    "  remove-replica NAME          remove a control replica\n"
    "  counters IPV4:PORT           print the counters of a process\n"
    "  explain flow IPV4:PORT       print the timeline of a caller's flow from log lines on standard input\n"
    "  explain version NUMBER       print the timeline of a configuration version, likewise\n"
    "Exit status: 0 done, 1 failed, 2 usage or settings, 3 conflict, 4 invalid text, 5 no "
    "answer: the outcome is unknown, repeat the command with the printed --id.";

static error_t
parse_argument (int key, char *value, struct argp_state *state)
{
  arguments_t *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->settings_path = value;
      return 0;
    case 'i':
      arguments->id = value;
      return 0;
    case 'b':
      arguments->base = value;
      return 0;
    case 't':
      arguments->timeout = value;
      return 0;
    case 'f':
      arguments->force = true;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->command == NULL)
        arguments->command = value;
      else if (arguments->n_arguments < MAX_ARGUMENTS)
        arguments->arguments[arguments->n_arguments++] = value;
      else
        argp_error (state, "too many arguments");
      return 0;
    case ARGP_KEY_END:
      if (arguments->command == NULL)
        argp_error (state, "a command is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
report (const oh_error_t *error, int status)
{
  g_printerr ("oriolectl: %s\n", error->message);
  return status;
}

static bool
read_text (const char *path, char **text, oh_error_t *error)
{
  g_autoptr (GError) gerror = NULL;
  gsize length;

  if (!g_file_get_contents (path, text, &length, &gerror))
    return oh_error_set (error, OH_ERROR_IO, OH_ERROR_CODE_SYSTEM, "%s", gerror->message);
  if (strlen (*text) != length)
    return oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_MALFORMED,
                         "%s: expected text without NUL bytes", path);
  return true;
}

/* Reads and checks a configuration text. Returns EXIT_DONE, or another exit status after printing the error.
 * Free *text with g_free in both cases. */
static int
load_text (const char *path, char **text)
{
  oh_error_t error;
  oh_config_t config;

  if (!read_text (path, text, &error))
    return report (&error, error.domain == OH_ERROR_IO ? EXIT_FAILED : EXIT_INVALID_TEXT);
  if (!oh_config_parse (&config, path, *text, &error))
    return report (&error, EXIT_INVALID_TEXT);
  oh_config_finish (&config);
  return EXIT_DONE;
}

/* Parses the id, or draws a random one if hex is NULL. Returns false if it is malformed. */
static bool
init_change_id (const char *hex, uint8_t id[OH_CHANGE_ID_BYTES])
{
  size_t length;

  if (hex == NULL)
    {
      oh_random_fill (oh_system_random (), id, OH_CHANGE_ID_BYTES);
      return true;
    }
  return sodium_hex2bin (id, OH_CHANGE_ID_BYTES, hex, strlen (hex), NULL, &length, NULL) == 0
         && length == OH_CHANGE_ID_BYTES;
}

enum
{
  ID_TEXT_BYTES = 2 * OH_CHANGE_ID_BYTES + 1
};

/* Formats the id as hexadecimal digits into text, which it returns; "" if the id has another length. */
static const char *
format_id (const ProtobufCBinaryData *id, char text[ID_TEXT_BYTES])
{
  text[0] = '\0';
  if (id->len == OH_CHANGE_ID_BYTES)
    sodium_bin2hex (text, ID_TEXT_BYTES, id->data, id->len);
  return text;
}

static int
print_reply (const Oh__ChangeReply *reply, Oh__ChangeKind kind)
{
  char winner[ID_TEXT_BYTES];

  switch (reply->status)
    {
    case OH__CHANGE_STATUS__CHANGE_ACCEPTED:
      g_print ("status=accepted version=%" G_GUINT64_FORMAT "%s%s\n", reply->version,
               reply->detail[0] != '\0' ? " detail=" : "", reply->detail);
      return EXIT_DONE;
    case OH__CHANGE_STATUS__CHANGE_CONFLICT:
      g_print ("status=conflict version=%" G_GUINT64_FORMAT " winner_id=%s winner_author=%s\n",
               reply->version, format_id (&reply->winner_id, winner), reply->winner_author);
      return EXIT_CONFLICT;
    case OH__CHANGE_STATUS__CHANGE_INVALID:
      g_print ("status=invalid detail=%s\n", reply->detail);
      return kind == OH__CHANGE_KIND__CHANGE_APPLY ? EXIT_INVALID_TEXT : EXIT_FAILED;
    case OH__CHANGE_STATUS__CHANGE_NOT_LEADER:
    case OH__CHANGE_STATUS__CHANGE_UNAVAILABLE:
    case _OH__CHANGE_STATUS_IS_INT_SIZE:
      break; /* not returned by oh_operator_client_change */
    }
  return EXIT_FAILED;
}

/* Sets *base to the version that --base names, or else to the version in effect. */
static bool
choose_base (session_t *session, uint64_t *base, oh_error_t *error)
{
  Oh__StatusReply *status;

  if (session->arguments->base != NULL)
    {
      if (g_ascii_string_to_unsigned (session->arguments->base, 10, 0, G_MAXINT64, base, NULL))
        return true;
      return oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_BAD_VALUE,
                           "--base \"%s\": expected a version number", session->arguments->base);
    }
  status = oh_operator_client_confirmed_status (session->client, false, session->timeout_ms, error);
  if (status == NULL)
    return false;
  *base = status->version;
  oh__status_reply__free_unpacked (status, NULL);
  return true;
}

/* Sets id and author, which are valid during the call, and sends the change. Returns the exit status. */
static int
complete_and_send_change (session_t *session, Oh__Change *change, uint8_t id[OH_CHANGE_ID_BYTES])
{
  g_autofree char *author = g_strdup_printf ("%.24s@%.36s", g_get_user_name (), g_get_host_name ());
  char hex[ID_TEXT_BYTES];
  oh_error_t error;
  Oh__ChangeReply *reply;
  int status;

  if (!init_change_id (session->arguments->id, id))
    {
      g_printerr ("oriolectl: --id \"%s\": expected %d hexadecimal digits\n", session->arguments->id,
                  2 * OH_CHANGE_ID_BYTES);
      return EXIT_USAGE;
    }
  change->id.data = id;
  change->id.len = OH_CHANGE_ID_BYTES;
  change->author = author;
  format_id (&change->id, hex);
  g_print ("id=%s\n", hex);
  fflush (stdout);
  reply = oh_operator_client_change (session->client, change, session->timeout_ms, &error);
  if (reply == NULL)
    {
      g_printerr ("oriolectl: the outcome is unknown (%s); repeat the command with --id %s\n", error.message,
                  hex);
      return EXIT_UNKNOWN;
    }
  status = print_reply (reply, change->kind);
  oh__change_reply__free_unpacked (reply, NULL);
  return status;
}

static int
send_change (session_t *session, const Oh__Change *change)
{
  Oh__Change copy = *change;
  uint8_t id[OH_CHANGE_ID_BYTES];

  return complete_and_send_change (session, &copy, id);
}

/* Commands. */

static int
run_check (session_t *session)
{
  g_autofree char *text = NULL;

  return load_text (session->arguments->arguments[0], &text);
}

static int
run_apply (session_t *session)
{
  g_autofree char *text = NULL;
  Oh__Change change = OH__CHANGE__INIT;
  oh_error_t error;
  const int status = load_text (session->arguments->arguments[0], &text);

  if (status != EXIT_DONE)
    return status;
  change.kind = OH__CHANGE_KIND__CHANGE_APPLY;
  change.text = text;
  if (!choose_base (session, &change.base_version, &error))
    return report (&error, error.domain == OH_ERROR_SETTINGS ? EXIT_USAGE : EXIT_UNKNOWN);
  g_print ("base=%" G_GUINT64_FORMAT "\n", change.base_version);
  return send_change (session, &change);
}

static int
run_rotate_keys (session_t *session)
{
  Oh__Change change = OH__CHANGE__INIT;
  oh_error_t error;

  change.kind = OH__CHANGE_KIND__CHANGE_ROTATE_KEYS;
  if (!choose_base (session, &change.base_version, &error))
    return report (&error, error.domain == OH_ERROR_SETTINGS ? EXIT_USAGE : EXIT_UNKNOWN);
  return send_change (session, &change);
}

/* Sends a change whose first argument names an upstream, a replica or an availability zone. */
static int
run_target_change (session_t *session, Oh__ChangeKind kind)
{
  Oh__Change change = OH__CHANGE__INIT;

  change.kind = kind;
  change.target = (char *)session->arguments->arguments[0];
  if (kind == OH__CHANGE_KIND__CHANGE_ADD_REPLICA)
    change.endpoint = (char *)session->arguments->arguments[1];
  return send_change (session, &change);
}

/* Fails if the upstream is the last of its service that accepts work, while a service that depends on it
 * still accepts work; see core/stop_order.h. */
static int
check_stop_order (session_t *session, const char *upstream)
{
  oh_error_t error;
  oh_config_t config;
  const char *dependant;
  Oh__StatusReply *status
    = oh_operator_client_confirmed_status (session->client, true, session->timeout_ms, &error);
  int result = EXIT_DONE;

  if (status == NULL)
    return report (&error, EXIT_UNKNOWN);
  /* There is no text before the first change. */
  if (status->text[0] != '\0' && oh_config_parse (&config, "text in effect", status->text, &error))
    {
      if (!oh_stop_order_allows (&config, status, upstream, &dependant))
        {
          g_printerr (
            "oriolectl: %s is the last upstream of its service that accepts work, and service %s depends "
            "on that service: drain the upstreams of the dependent service first, or use --force\n",
            upstream, dependant);
          result = EXIT_FAILED;
        }
      oh_config_finish (&config);
    }
  oh__status_reply__free_unpacked (status, NULL);
  return result;
}

static int
run_drain (session_t *session)
{
  /* With --id the change is sent again and may have been accepted already, so it is not checked. */
  if (!session->arguments->force && session->arguments->id == NULL)
    {
      const int status = check_stop_order (session, session->arguments->arguments[0]);

      if (status != EXIT_DONE)
        return status;
    }
  return run_target_change (session, OH__CHANGE_KIND__CHANGE_DRAIN);
}

static int
run_undrain (session_t *session)
{
  return run_target_change (session, OH__CHANGE_KIND__CHANGE_UNDRAIN);
}

static int
run_drain_zone (session_t *session)
{
  return run_target_change (session, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE);
}

static int
run_undrain_zone (session_t *session)
{
  return run_target_change (session, OH__CHANGE_KIND__CHANGE_UNDRAIN_ZONE);
}

static int
run_add_replica (session_t *session)
{
  return run_target_change (session, OH__CHANGE_KIND__CHANGE_ADD_REPLICA);
}

static int
run_remove_replica (session_t *session)
{
  return run_target_change (session, OH__CHANGE_KIND__CHANGE_REMOVE_REPLICA);
}

/* Lengths of longest common subsequences: element i * (n_b + 1) + j is the one of the lines of a from i on
 * and those of b from j on. Free with g_free. */
static uint16_t *
compute_lcs_lengths (char **a, size_t n_a, char **b, size_t n_b)
{
  uint16_t *lengths = g_new0 (uint16_t, (n_a + 1) * (n_b + 1));

  for (size_t i = n_a; i-- > 0;)
    for (size_t j = n_b; j-- > 0;)
      {
        const uint16_t down = lengths[(i + 1) * (n_b + 1) + j];
        const uint16_t right = lengths[i * (n_b + 1) + j + 1];

        lengths[i * (n_b + 1) + j]
          = strcmp (a[i], b[j]) == 0 ? lengths[(i + 1) * (n_b + 1) + j + 1] + 1 : MAX (down, right);
      }
  return lengths;
}

static void
print_diff (const char *old, const char *new)
{
  g_auto (GStrv) a = g_strsplit (old, "\n", -1);
  g_auto (GStrv) b = g_strsplit (new, "\n", -1);
  const size_t n_a = g_strv_length (a);
  const size_t n_b = g_strv_length (b);
  const bool compare = (n_a + 1) * (n_b + 1) <= DIFF_MAX_CELLS && MIN (n_a, n_b) <= G_MAXUINT16;
  uint16_t *lengths = compare ? compute_lcs_lengths (a, n_a, b, n_b) : NULL;
  size_t i = 0;
  size_t j = 0;

  while (i < n_a || j < n_b)
    {
      if (compare && i < n_a && j < n_b && strcmp (a[i], b[j]) == 0)
        {
          i++;
          j++;
        }
      else if (i < n_a
               && (j == n_b || !compare
                   || lengths[(i + 1) * (n_b + 1) + j] >= lengths[i * (n_b + 1) + j + 1]))
        g_print ("-%s\n", a[i++]);
      else
        g_print ("+%s\n", b[j++]);
    }
  g_free (lengths);
}

static int
run_diff (session_t *session)
{
  g_autofree char *text = NULL;
  oh_error_t error;
  Oh__StatusReply *status;
  const int loaded = load_text (session->arguments->arguments[0], &text);

  if (loaded != EXIT_DONE)
    return loaded;
  status = oh_operator_client_confirmed_status (session->client, true, session->timeout_ms, &error);
  if (status == NULL)
    return report (&error, EXIT_UNKNOWN);
  g_print ("version=%" G_GUINT64_FORMAT " replica=%s\n", status->version, status->replica);
  if (strcmp (status->text, text) != 0)
    print_diff (status->text, text);
  oh__status_reply__free_unpacked (status, NULL);
  return EXIT_DONE;
}

static const char *
state_name (Oh__UpstreamState state)
{
  switch (state)
    {
    case OH__UPSTREAM_STATE__UPSTREAM_READY:
      return "ready";
    case OH__UPSTREAM_STATE__UPSTREAM_WARMING:
      return "warming";
    case OH__UPSTREAM_STATE__UPSTREAM_SUSPECT:
      return "suspect";
    case OH__UPSTREAM_STATE__UPSTREAM_DRAINING:
      return "draining";
    case _OH__UPSTREAM_STATE_IS_INT_SIZE:
      break;
    }
  return "unknown";
}

static const char *
role_name (Oh__ReplicaRole role)
{
  switch (role)
    {
    case OH__REPLICA_ROLE__REPLICA_VOTER:
      return "voter";
    case OH__REPLICA_ROLE__REPLICA_LEARNER:
      return "learner";
    case OH__REPLICA_ROLE__REPLICA_AWAITED:
      return "awaited";
    case OH__REPLICA_ROLE__REPLICA_OBSERVER:
      return "observer";
    case _OH__REPLICA_ROLE_IS_INT_SIZE:
      break;
    }
  return "unknown";
}

static bool
is_drained (const Oh__StatusReply *status, const Oh__Member *member)
{
  for (size_t i = 0; i < status->n_drained; i++)
    if (strcmp (status->drained[i], member->load->upstream) == 0)
      return true;
  for (size_t i = 0; i < status->n_drained_zones; i++)
    if (strcmp (status->drained_zones[i], member->zone) == 0)
      return true;
  return false;
}

static void
print_nodes (const Oh__StatusReply *status)
{
  for (size_t i = 0; i < status->n_replicas; i++)
    g_print ("member=%s role=%s endpoint=%s id=%016" G_GINT64_MODIFIER "x\n", status->replicas[i]->name,
             role_name (status->replicas[i]->role), status->replicas[i]->endpoint, status->replicas[i]->id);
  for (size_t i = 0; i < status->n_balancers; i++)
    g_print ("balancer=%s zone=%s version=%" G_GUINT64_FORMAT "\n", status->balancers[i]->name,
             status->balancers[i]->zone, status->balancers[i]->version);
  for (size_t i = 0; i < status->n_members; i++)
    {
      const Oh__Member *member = status->members[i];

      if (member->load == NULL)
        continue;
      g_print ("upstream=%s service=%s zone=%s state=%s drained=%d slots=%u busy=%u queued=%u flows=%u\n",
               member->load->upstream, member->service_name, member->zone, state_name (member->load->state),
               is_drained (status, member), member->load->slots, member->load->busy, member->load->queued,
               member->load->flows);
    }
  for (size_t i = 0; i < status->n_drained; i++)
    g_print ("drained=%s\n", status->drained[i]);
  for (size_t i = 0; i < status->n_drained_zones; i++)
    g_print ("drained_zone=%s\n", status->drained_zones[i]);
}

static int
run_status (session_t *session)
{
  g_autoptr (GArray) replicas = oh_operator_client_status (session->client, STATUS_TIMEOUT_MS);
  const Oh__StatusReply *best = NULL;

  for (guint i = 0; i < replicas->len; i++)
    {
      const oh_replica_status_t *entry = &g_array_index (replicas, oh_replica_status_t, i);
      const Oh__StatusReply *reply = entry->reply;

      if (reply == NULL)
        {
          g_print ("replica=? endpoint=%s answer=none\n", entry->endpoint);
          continue;
        }
      g_print ("replica=%s endpoint=%s leader=%d confirmed=%d term=%" G_GUINT64_FORMAT
               " version=%" G_GUINT64_FORMAT " key_generation=%u\n",
               reply->replica, entry->endpoint, reply->leader, reply->confirmed, reply->term, reply->version,
               reply->key_generation);
      /* Prefers confirmed replicas, and among them the leader, whose list of replicas is the most recent. */
      if (best == NULL || (reply->confirmed && (!best->confirmed || reply->leader)))
        best = reply;
    }
  if (best == NULL)
    return EXIT_UNKNOWN;
  print_nodes (best);
  return EXIT_DONE;
}

static int
run_counters (session_t *session)
{
  g_autofree char *uri = g_strdup_printf ("http://%s/counters", session->arguments->arguments[0]);
  g_autoptr (SoupSession) soup = soup_session_new_with_options ("timeout", 5, NULL);
  g_autoptr (SoupMessage) message = NULL;
  g_autoptr (GBytes) body = NULL;
  g_autoptr (GError) gerror = NULL;
  oh_address_t address;
  gsize length;
  const char *text;

  if (!oh_address_parse (session->arguments->arguments[0], &address))
    {
      g_printerr ("oriolectl: address \"%s\": expected IPV4:PORT\n", session->arguments->arguments[0]);
      return EXIT_USAGE;
    }
  message = soup_message_new ("GET", uri);
  body = soup_session_send_and_read (soup, message, NULL, &gerror);
  if (body == NULL)
    {
      g_printerr ("oriolectl: %s: %s\n", uri, gerror->message);
      return EXIT_FAILED;
    }
  if (soup_message_get_status (message) != SOUP_STATUS_OK)
    {
      g_printerr ("oriolectl: %s: HTTP status %u\n", uri, soup_message_get_status (message));
      return EXIT_FAILED;
    }
  text = g_bytes_get_data (body, &length);
  fwrite (text, 1, length, stdout);
  return EXIT_DONE;
}

/* Reads log lines of any number of processes from standard input and prints the timeline of one flow or
 * version. */
static int
run_explain (session_t *session)
{
  const char *kind = session->arguments->arguments[0];
  const char *value = session->arguments->arguments[1];
  g_autofree char *text = NULL;
  oh_log_timeline_t timeline;
  char *line = NULL;
  size_t capacity = 0;

  if (strcmp (kind, "flow") != 0 && strcmp (kind, "version") != 0)
    {
      g_printerr ("oriolectl: explain \"%s\": expected flow IPV4:PORT or version NUMBER\n", kind);
      return EXIT_USAGE;
    }
  oh_log_timeline_init (&timeline, strcmp (kind, "flow") == 0 ? OH_TIMELINE_FLOW : OH_TIMELINE_VERSION,
                        value);
  while (getline (&line, &capacity, stdin) >= 0)
    oh_log_timeline_add (&timeline, line);
  free (line);
  text = oh_log_timeline_format (&timeline);
  fputs (text, stdout);
  oh_log_timeline_finish (&timeline);
  if (text[0] != '\0')
    return EXIT_SUCCESS;
  g_printerr ("oriolectl: no log line belongs to %s %s\n", kind, value);
  return EXIT_FAILED;
}

static const command_t commands[] = {
  { "check", 1, false, run_check },
  { "diff", 1, true, run_diff },
  { "apply", 1, true, run_apply },
  { "status", 0, true, run_status },
  { "drain", 1, true, run_drain },
  { "undrain", 1, true, run_undrain },
  { "drain-zone", 1, true, run_drain_zone },
  { "undrain-zone", 1, true, run_undrain_zone },
  { "rotate-keys", 0, true, run_rotate_keys },
  { "add-replica", 2, true, run_add_replica },
  { "remove-replica", 1, true, run_remove_replica },
  { "counters", 1, false, run_counters },
  { "explain", 2, false, run_explain },
};

static const command_t *
find_command (const arguments_t *arguments)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, arguments->command) == 0
        && commands[i].n_arguments == arguments->n_arguments)
      return &commands[i];
  return NULL;
}

/* Loads the settings, opens the client and runs the command with it. Returns the exit status. */
static int
run_with_client (const command_t *command, session_t *session)
{
  settings_t settings = { 0 };
  oh_keyring_t keyring = { 0 };
  oh_error_t error;
  int status = EXIT_USAGE;

  if (session->arguments->settings_path == NULL)
    {
      g_printerr ("oriolectl: --settings is missing\n");
      return EXIT_USAGE;
    }
  if (!oh_settings_load (session->arguments->settings_path, setting_table, G_N_ELEMENTS (setting_table),
                         &settings, &error)
      || !oh_keyring_load (&keyring, settings.key_file, &error))
    {
      report (&error, EXIT_USAGE);
      goto out;
    }
  session->client = oh_operator_client_open (settings.replicas, &keyring, &error);
  if (session->client == NULL)
    {
      report (&error, EXIT_USAGE);
      goto out;
    }
  status = command->run (session);
  oh_operator_client_close (session->client);

out:
  oh_keyring_finish (&keyring);
  oh_settings_clear (setting_table, G_N_ELEMENTS (setting_table), &settings);
  return status;
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "settings", 's', "FILE", 0, "Read the replicas and the key file from FILE", 0 },
    { "id", 'i', "HEX", 0, "Send the change again with this id", 0 },
    { "base", 'b', "VERSION", 0, "Version that the change was made from (default: the one in effect)", 0 },
    { "force", 'f', NULL, 0, "Drain even if services that depend on this one still accept work", 0 },
    { "timeout-ms", 't', "MS", 0, "Give up after this time (default: 15000)", 0 },
    { 0 },
  };
  static const struct argp argp = { options, parse_argument, "COMMAND [ARGUMENT...]", doc, NULL, NULL, NULL };
  arguments_t arguments = { 0 };
  session_t session = { .arguments = &arguments, .timeout_ms = DEFAULT_TIMEOUT_MS };
  const command_t *command;
  guint64 timeout_ms;

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  command = find_command (&arguments);
  if (command == NULL)
    {
      g_printerr ("oriolectl: unknown command \"%s\" with %u arguments; see --help\n", arguments.command,
                  arguments.n_arguments);
      return EXIT_USAGE;
    }
  if (arguments.timeout != NULL)
    {
      if (!g_ascii_string_to_unsigned (arguments.timeout, 10, 100, 600000, &timeout_ms, NULL))
        {
          g_printerr ("oriolectl: --timeout-ms \"%s\": expected an integer from 100 to 600000\n",
                      arguments.timeout);
          return EXIT_USAGE;
        }
      session.timeout_ms = (int)timeout_ms;
    }
  return command->needs_client ? run_with_client (command, &session) : command->run (&session);
}
