#include "daemons/control_settings.h"

#include <string.h>

#include "core/control_state.h"

static const oh_setting_t setting_table[] = {
  { "control", "name", OH_SETTING_STRING, offsetof (oh_control_settings_t, name), true, NULL, 0, 0 },
  { "control", "zone", OH_SETTING_STRING, offsetof (oh_control_settings_t, zone), false, "", 0, 0 },
  { "control", "listen", OH_SETTING_STRING, offsetof (oh_control_settings_t, listen), true, NULL, 0, 0 },
  { "control", "advertise", OH_SETTING_STRING, offsetof (oh_control_settings_t, advertise), false, "", 0, 0 },
  { "control", "data", OH_SETTING_STRING, offsetof (oh_control_settings_t, data), false, "", 0, 0 },
  { "control", "admin", OH_SETTING_ADDRESS, offsetof (oh_control_settings_t, admin), false, NULL, 0, 0 },
  { "control", "replicas", OH_SETTING_STRING, offsetof (oh_control_settings_t, replicas), false, "", 0, 0 },
  { "control", "seeds", OH_SETTING_STRING, offsetof (oh_control_settings_t, seeds), false, "", 0, 0 },
  { "control", "port", OH_SETTING_INTEGER, offsetof (oh_control_settings_t, port), false, "0", 0,
    G_MAXUINT16 },
  { "control", "tolerate", OH_SETTING_INTEGER, offsetof (oh_control_settings_t, tolerate), false, "0", 0, 7 },
  { "control", "compact_entries", OH_SETTING_INTEGER, offsetof (oh_control_settings_t, compact_entries),
    false, "0", 0, 1000000 },
  { "control", "operators", OH_SETTING_ADDRESS, offsetof (oh_control_settings_t, operators), false, NULL, 0,
    0 },
  { "control", "zones", OH_SETTING_STRING, offsetof (oh_control_settings_t, zones), false, "", 0, 0 },
  { "control", "join", OH_SETTING_BOOLEAN, offsetof (oh_control_settings_t, join), false, "false", 0, 0 },
  { "keys", "file", OH_SETTING_STRING, offsetof (oh_control_settings_t, key_file), true, NULL, 0, 0 },
  { "log", "level", OH_SETTING_STRING, offsetof (oh_control_settings_t, log_level), false, "info", 0, 0 },
};

const char *
oh_control_settings_endpoint (const oh_control_settings_t *settings)
{
  return settings->advertise[0] != '\0' ? settings->advertise : settings->listen;
}

static bool
set_settings_error (const char *path, const char *key, const char *value, const char *expected,
                    oh_error_t *error)
{
  return oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_BAD_VALUE,
                       "%s: section [control], key %s, value \"%s\": expected %s", path, key, value,
                       expected);
}

static bool
endpoint_valid (const char *endpoint)
{
  oh_address_t address;

  return g_str_has_prefix (endpoint, "tcp://") && oh_address_parse (endpoint + strlen ("tcp://"), &address);
}

static void
clear_replica (gpointer data)
{
  oh_raft_replica_t *replica = data;

  g_free (replica->name);
  g_free (replica->endpoint);
}

/* Name of a replica that is known by its endpoint only: the address without scheme and port. */
static char *
seed_replica_name (const char *endpoint)
{
  const char *address = endpoint + strlen ("tcp://");

  return g_strndup (address, strcspn (address, ":"));
}

static bool
parse_replicas (oh_control_settings_t *settings, const char *path, oh_error_t *error)
{
  static const char expected_format[] = "NAME=tcp://IPV4:PORT, separated by commas, with unique names";
  g_auto (GStrv) items = g_strsplit (settings->replicas, ",", -1);
  bool has_self = false;

  for (char **item = items; *item != NULL; item++)
    {
      char *equals = strchr (g_strstrip (*item), '=');
      oh_raft_replica_t replica = { 0 };

      if (equals == NULL || equals == *item || !endpoint_valid (equals + 1)
          || settings->initial_replicas->len == OH_RAFT_REPLICAS_MAX)
        return set_settings_error (path, "replicas", settings->replicas, expected_format, error);
      *equals = '\0';
      for (guint i = 0; i < settings->initial_replicas->len; i++)
        if (strcmp (g_array_index (settings->initial_replicas, oh_raft_replica_t, i).name, *item) == 0)
          return set_settings_error (path, "replicas", settings->replicas, expected_format, error);
      replica.name = g_strdup (*item);
      replica.endpoint = g_strdup (equals + 1);
      has_self |= strcmp (replica.name, settings->name) == 0
                  && strcmp (replica.endpoint, oh_control_settings_endpoint (settings)) == 0;
      g_array_append_val (settings->initial_replicas, replica);
    }
  if (!has_self && !settings->join)
    return set_settings_error (
      path, "replicas", settings->replicas,
      "an entry with this replica's name and its advertise or listen endpoint, or join=true", error);
  return true;
}

/* Sets the initial replicas from the addresses of their VMs. Seeds have no names, so that each replica is
 * named after its address. */
static bool
set_seeds (oh_control_settings_t *settings, const char *path, const char *seeds, oh_error_t *error)
{
  g_autofree char *endpoints = oh_daemon_seed_endpoints (path, seeds, settings->port, error);
  g_auto (GStrv) items = NULL;

  if (endpoints == NULL)
    return false;
  g_array_set_size (settings->initial_replicas, 0);
  items = g_strsplit (endpoints, ",", -1);
  for (char **item = items; *item != NULL && settings->initial_replicas->len < OH_RAFT_REPLICAS_MAX; item++)
    {
      const oh_raft_replica_t replica = { .name = seed_replica_name (*item), .endpoint = g_strdup (*item) };

      g_array_append_val (settings->initial_replicas, replica);
    }
  return true;
}

static bool
check_zones (const oh_control_settings_t *settings, const char *path, oh_error_t *error)
{
  g_auto (GStrv) zones = g_strsplit (settings->zones, ",", -1);
  bool ok = g_strv_length (zones) <= OH_DRAINED_ZONES_MAX;

  for (char **zone = zones; *zone != NULL; zone++)
    ok = ok && (g_strstrip (*zone)[0] == '\0' || oh_change_target_valid (*zone));
  return ok
         || set_settings_error (path, "zones", settings->zones,
                                "at most 64 names of letters, digits, -, _ or ., separated by commas", error);
}

static bool
check_settings (oh_control_settings_t *settings, const char *path, oh_error_t *error)
{
  if (!endpoint_valid (settings->listen))
    return set_settings_error (path, "listen", settings->listen, "tcp://IPV4:PORT", error);
  if (settings->advertise[0] != '\0' && !endpoint_valid (settings->advertise))
    return set_settings_error (path, "advertise", settings->advertise, "tcp://IPV4:PORT", error);
  if (!check_zones (settings, path, error))
    return false;
  if (settings->seeds[0] != '\0')
    return set_seeds (settings, path, settings->seeds, error);
  if (settings->data[0] == '\0')
    return set_settings_error (path, "data", "", "a folder, or seeds for a replica without a disk", error);
  return parse_replicas (settings, path, error);
}

bool
oh_control_settings_has_zone (const oh_control_settings_t *settings, const char *zone)
{
  g_auto (GStrv) zones = g_strsplit (settings->zones, ",", -1);
  bool any_listed = false;

  for (char **listed = zones; *listed != NULL; listed++)
    {
      if (strcmp (g_strstrip (*listed), zone) == 0)
        return true;
      any_listed |= (*listed)[0] != '\0';
    }
  return !any_listed;
}

bool
oh_control_settings_load (oh_control_settings_t *settings, const char *path, oh_keyring_t *keyring,
                          oh_log_level_t *log_level, oh_error_t *error)
{
  const oh_daemon_settings_t common = { .key_file = &settings->key_file, .log_level = &settings->log_level };

  *settings = (oh_control_settings_t){ 0 };
  if (!oh_daemon_load (path, setting_table, G_N_ELEMENTS (setting_table), settings, &common, keyring,
                       log_level, error))
    return false;
  settings->initial_replicas = g_array_new (FALSE, FALSE, sizeof (oh_raft_replica_t));
  g_array_set_clear_func (settings->initial_replicas, clear_replica);
  if (check_settings (settings, path, error))
    return true;
  oh_control_settings_finish (settings);
  oh_keyring_finish (keyring);
  return false;
}

void
oh_control_settings_finish (oh_control_settings_t *settings)
{
  g_clear_pointer (&settings->initial_replicas, g_array_unref);
  oh_settings_clear (setting_table, G_N_ELEMENTS (setting_table), settings);
}

bool
oh_control_settings_reload_seeds (oh_control_settings_t *settings, const char *path, oh_error_t *error)
{
  oh_control_settings_t changed;
  bool ok;

  if (!oh_settings_load (path, setting_table, G_N_ELEMENTS (setting_table), &changed, error))
    return false;
  ok = changed.seeds[0] == '\0' || set_seeds (settings, path, changed.seeds, error);
  if (ok)
    {
      g_free (settings->seeds);
      settings->seeds = g_steal_pointer (&changed.seeds);
    }
  oh_settings_clear (setting_table, G_N_ELEMENTS (setting_table), &changed);
  return ok;
}
