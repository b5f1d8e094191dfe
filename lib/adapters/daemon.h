#pragma once

#include <stdbool.h>

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

/* Exits with OH_EXIT_SETTINGS on a mistake, and with 0 after --help or --version. */
void oh_daemon_parse_arguments (int argc, char **argv, const char *doc, oh_daemon_arguments_t *arguments);

/* Loads the settings and the master key, and checks what is common to all daemons. */
bool oh_daemon_load (const char *path, const oh_setting_t *table, size_t n_table, void *settings,
                     const oh_daemon_settings_t *common, oh_keyring_t *keyring, oh_log_level_t *level,
                     oh_error_t *error);
