#pragma once

#include <stdbool.h>

#include "adapters/view_client.h"
#include "base/error.h"
#include "base/log.h"
#include "base/settings.h"
#include "core/keyring.h"

/* The command line and the settings that all daemons share. */

enum
{
  OH_EXIT_SETTINGS = 2, /* bad settings or command line */
};

typedef struct
{
  const char *settings_path;
  bool check; /* check the settings and exit */
} oh_daemon_arguments_t;

/* Where a daemon's settings struct keeps what every daemon has. */
typedef struct
{
  char **key_file;
  char **log_level;
  char **replicas; /* control replicas as "tcp://IPV4:PORT,...", or NULL if they are not checked here */
} oh_daemon_settings_t;

/* Endpoints "tcp://IPV4:PORT,..." of the VMs in a list of addresses "IPV4:PORT,...", whose ports are those of
 * another interface. NULL and error on a bad address. Free with g_free. */
char *oh_daemon_seed_endpoints (const char *path, const char *seeds, int64_t port, oh_error_t *error);

/* A daemon as oh_daemon_main runs it. */
typedef struct
{
  const char *doc; /* for --help */
  const oh_setting_t *table;
  size_t n_table;
  void *settings; /* filled by the table */
  oh_daemon_settings_t common;
  oh_keyring_t *keyring;
  bool (*run) (void *data, oh_error_t *error); /* returns true after a planned stop */
  const char *settings_path;                   /* set before run is called */
  oh_log_level_t level;                        /* the same */
} oh_daemon_program_t;

/* The whole life of a daemon: command line, settings, logging, run. Returns the exit status. */
int oh_daemon_main (int argc, char **argv, oh_daemon_program_t *program, void *data);

/* Takes over the seeds of settings that have changed. scratch is a second struct of settings; seeds and port
 * are in it. Mistakes are logged and alter nothing. */
void oh_daemon_reload_seeds (const oh_daemon_program_t *program, void *scratch, char **seeds,
                             const int64_t *port, oh_view_client_t *view_client);

/* Exits with OH_EXIT_SETTINGS on a mistake, and with 0 after --help or --version. */
void oh_daemon_parse_arguments (int argc, char **argv, const char *doc, oh_daemon_arguments_t *arguments);

/* Loads the settings and the master key, and checks what is common to all daemons. */
bool oh_daemon_load (const char *path, const oh_setting_t *table, size_t n_table, void *settings,
                     const oh_daemon_settings_t *common, oh_keyring_t *keyring, oh_log_level_t *level,
                     oh_error_t *error);
