#pragma once

#include "adapters/daemon.h"
#include "base/settings.h"
#include "core/raft_replicas.h"

/* Settings of a control replica, and the initial replicas that they name. */

typedef struct
{
  char *name;
  char *zone;
  char *listen;       /* tcp://IPV4:PORT */
  char *advertise;    /* endpoint at which others reach this replica; "": listen */
  char *data;         /* folder; "" for a replica without a disk */
  oh_address_t admin; /* port 0: none */
  char *replicas;     /* NAME=tcp://IPV4:PORT,... */
  char *seeds;        /* IPV4:PORT,... of the VMs of replicas; "": use replicas */
  int64_t port;       /* of the endpoints of seeds, whose own ports belong to another interface */
  bool join;          /* never form a cluster from an empty data folder */
  int64_t tolerate;   /* number of failed replicas to survive; used with seeds */
  int64_t compact_entries;
  char *zones;            /* availability zones of the deployment, separated by commas; "": not known */
  oh_address_t operators; /* HTTP interface for operators; port 0: none */
  char *key_file;
  char *log_level;
  GArray *initial_replicas; /* of oh_raft_replica_t; in the settings as replicas or seeds */
} oh_control_settings_t;

/* Loads the file, and the keyring and the log level that it names. Returns false and sets the error if
 * something is invalid; there is nothing to finish then. */
bool oh_control_settings_load (oh_control_settings_t *settings, const char *path, oh_keyring_t *keyring,
                               oh_log_level_t *log_level, oh_error_t *error);
void oh_control_settings_finish (oh_control_settings_t *settings);

/* Reads the seeds of the file again, and nothing else. Returns false and sets the error if the file or its
 * seeds are invalid; the settings are then unchanged. */
bool oh_control_settings_reload_seeds (oh_control_settings_t *settings, const char *path, oh_error_t *error);

/* True if the settings list the availability zone, or list none. */
bool oh_control_settings_has_zone (const oh_control_settings_t *settings, const char *zone);

/* Endpoint at which other processes reach this replica. */
const char *oh_control_settings_endpoint (const oh_control_settings_t *settings);
