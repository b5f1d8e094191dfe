#define OH_LOG_MODULE "daemon"
#include "base/log.h"

#include "adapters/daemon.h"

#include <argp.h>
#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  oh_daemon_arguments_t *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->settings_path = value;
      return 0;
    case 'c':
      arguments->check = true;
      return 0;
    case ARGP_KEY_ARG:
      argp_error (state, "unexpected argument \"%s\"", value);
      return 0;
    case ARGP_KEY_END:
      if (arguments->settings_path == NULL)
        argp_error (state, "--settings FILE is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Checks the value of control.replicas; path is the settings file that the error names. */
static bool
check_replicas (const char *path, const char *replicas, oh_error_t *error)
{
  static const char scheme[] = "tcp://";
  g_auto (GStrv) endpoints = g_strsplit (replicas, ",", -1);

  for (char **endpoint = endpoints; *endpoint != NULL; endpoint++)
    {
      oh_address_t address;

      if (!g_str_has_prefix (*endpoint, scheme) || !oh_address_parse (*endpoint + strlen (scheme), &address))
        return oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_BAD_VALUE,
                             "%s: section [control], key replicas, value \"%s\": expected "
                             "tcp://IPV4:PORT,...",
                             path, replicas);
    }
  return true;
}

char *
oh_daemon_seed_endpoints (const char *path, const char *seeds, int64_t port, oh_error_t *error)
{
  g_auto (GStrv) addresses = g_strsplit (seeds, ",", -1);
  g_autoptr (GString) endpoints = g_string_new (NULL);

  for (char **item = addresses; *item != NULL; item++)
    {
      oh_address_t address;
      char text[OH_ADDRESS_TEXT_BYTES];

      if (!oh_address_parse (g_strstrip (*item), &address))
        {
          oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_BAD_VALUE,
                        "%s: section [control], key seeds, value \"%s\": expected IPV4:PORT,...", path,
                        seeds);
          return NULL;
        }
      address.port = (uint16_t)port;
      g_string_append_printf (endpoints, "%stcp://%s", endpoints->len > 0 ? "," : "",
                              oh_address_format (address, text));
    }
  return g_string_free (g_steal_pointer (&endpoints), FALSE);
}

void
oh_daemon_parse_arguments (int argc, char **argv, const char *doc, oh_daemon_arguments_t *arguments)
{
  static const struct argp_option options[] = {
    { "settings", 's', "FILE", 0, "Read the settings from FILE", 0 },
    { "check", 'c', NULL, 0, "Check the settings and exit", 0 },
    { 0 },
  };
  const struct argp argp = { .options = options, .parser = parse_option, .doc = doc };

  argp_err_exit_status = OH_EXIT_SETTINGS;
  argp_parse (&argp, argc, argv, 0, NULL, arguments);
}

bool
oh_daemon_load (const char *path, const oh_setting_t *table, size_t n_table, void *settings,
                const oh_daemon_settings_t *common, oh_keyring_t *keyring, oh_log_level_t *level,
                oh_error_t *error)
{
  if (sodium_init () < 0)
    return oh_error_set (error, OH_ERROR_IO, OH_ERROR_CODE_SYSTEM, "libsodium cannot be initialised");
  if (!oh_settings_load (path, table, n_table, settings, error))
    return false;
  if (!oh_log_level_parse (*common->log_level, level))
    return oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_BAD_VALUE,
                         "%s: section [log], key level, value \"%s\": expected error, warning, info or debug",
                         path, *common->log_level);
  if (common->replicas != NULL && !check_replicas (path, *common->replicas, error))
    return false;
  return oh_keyring_load (keyring, *common->key_file, error);
}

int
oh_daemon_main (int argc, char **argv, oh_daemon_program_t *program, void *data)
{
  oh_daemon_arguments_t arguments = { 0 };
  oh_error_t error = { .domain = OH_ERROR_NONE };
  int status = EXIT_SUCCESS;

  oh_daemon_parse_arguments (argc, argv, program->doc, &arguments);
  program->settings_path = arguments.settings_path;
  if (!oh_daemon_load (arguments.settings_path, program->table, program->n_table, program->settings,
                       &program->common, program->keyring, &program->level, &error))
    {
      fprintf (stderr, "%s: %s\n", program_invocation_short_name, error.message);
      status = OH_EXIT_SETTINGS;
    }
  else if (!arguments.check)
    {
      oh_log_start (program->level, STDOUT_FILENO);
      if (!program->run (data, &error))
        {
          oh_log_error ("start_failed", "domain=%s code=%d reason=\"%s\"",
                        oh_error_domain_name (error.domain), (int)error.code, error.message);
          status = EXIT_FAILURE;
        }
      oh_log_stop ();
    }
  oh_keyring_finish (program->keyring);
  oh_settings_clear (program->table, program->n_table, program->settings);
  return status;
}

void
oh_daemon_reload_seeds (const oh_daemon_program_t *program, void *scratch, char **seeds, const int64_t *port,
                        oh_view_client_t *view_client)
{
  oh_error_t error;
  g_autofree char *endpoints = NULL;

  if (!oh_settings_load (program->settings_path, program->table, program->n_table, scratch, &error))
    {
      oh_log_error ("settings_rejected", "reason=\"%s\"", error.message);
      return;
    }
  endpoints = oh_daemon_seed_endpoints (program->settings_path, *seeds, *port, &error);
  if (endpoints == NULL || !oh_view_client_set_replicas (view_client, endpoints, &error))
    oh_log_error ("settings_rejected", "reason=\"%s\"", error.message);
  else
    oh_log_info ("reloaded", "seeds=%s", *seeds);
  oh_settings_clear (program->table, program->n_table, scratch);
}
