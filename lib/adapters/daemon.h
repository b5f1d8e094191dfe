#pragma once

#include <stdbool.h>

#include "adapters/view_client.h"
#include "base/error.h"
#include "base/log.h"
#include "base/settings.h"
#include "core/keyring.h"

/* Start-up that all daemons share: the command line, the common settings, logging and the exit status. */

enum
{
  OH_EXIT_SETTINGS = 2, /* exit status: invalid settings or command line */
};

typedef struct
{
  const char *settings_path;
  bool check; /* check the settings and exit */
} oh_daemon_arguments_t;

/* Pointers into a daemon's settings struct, to the settings that every daemon has. */
typedef struct
{
  char **key_file;
  char **log_level;
  char **replicas; /* control.replicas, checked to be "tcp://IPV4:PORT,..."; NULL: no such check */
} oh_daemon_settings_t;

/*
 * Converts the value of control.seeds, "IPV4:PORT,...", to the endpoints "tcp://IPV4:PORT,..." of the control
 * replicas on the same VMs. Each endpoint gets the given port: the ports in seeds belong to another interface
 * of those VMs. path is the settings file that the error names. Returns NULL and sets the error on an invalid
 * address. Free with g_free.
 */
char *oh_daemon_seed_endpoints (const char *path, const char *seeds, int64_t port, oh_error_t *error);

/* Description of a daemon for oh_daemon_main. */
typedef struct
{
  const char *doc; /* description in the output of --help */
  const oh_setting_t *table;
  size_t n_table;
  void *settings; /* struct that the table describes */
  oh_daemon_settings_t common;
  oh_keyring_t *keyring;
  bool (*run) (void *data, oh_error_t *error); /* returns true after a regular stop */
  const char *settings_path;                   /* set by oh_daemon_main before run */
  oh_log_level_t level;                        /* set by oh_daemon_main before run */
} oh_daemon_program_t;

/* Main function of a daemon: parses the command line, loads the settings and the master key, starts logging,
 * calls program->run with data and cleans up. With --check it ends after the settings. Returns the exit
 * status. */
int oh_daemon_main (int argc, char **argv, oh_daemon_program_t *program, void *data);

/*
 * Reads the settings file again and gives its seeds to view_client. scratch is a second, zeroed struct of the
 * daemon's settings, which is cleared on return; seeds and port point to fields of it. Invalid settings are
 * logged and the replicas in use stay.
 */
void oh_daemon_reload_seeds (const oh_daemon_program_t *program, void *scratch, char **seeds,
                             const int64_t *port, oh_view_client_t *view_client);

/* Exits with OH_EXIT_SETTINGS if the command line is invalid, and with 0 after --help or --version. */
void oh_daemon_parse_arguments (int argc, char **argv, const char *doc, oh_daemon_arguments_t *arguments);

/* Initialises libsodium, loads the settings and the master key, checks the common settings and sets *level.
 * Returns false and sets the error on failure. */
bool oh_daemon_load (const char *path, const oh_setting_t *table, size_t n_table, void *settings,
                     const oh_daemon_settings_t *common, oh_keyring_t *keyring, oh_log_level_t *level,
                     oh_error_t *error);
