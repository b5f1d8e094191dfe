#include "core/config_text.h"

#include <string.h>

#include "base/decimal.h"
#include "core/keyring.h"

enum
{
  MAX_CLASS = 2,
  /* With 4 slots and 100 ms a request, the last of 256 queued requests waits over 6 s. */
  MAX_QUEUE_PER_SLOT = 64,
  DEFAULT_QUEUE_PER_SLOT = 8,
  MAX_WEIGHT = 1000000,
  MAX_TIMEOUT_MS = 24 * 60 * 60 * 1000,
  DEFAULT_TIMEOUT_MS = 10000,
};

static const char service_prefix[] = "service ";
static const char route_prefix[] = "route ";
static const char global_section[] = "oriolehaven";
static const char name_format[] = "1 to 63 of a-z, 0-9 and -, starting with a letter";
static const char address_format[] = "IPV4:PORT, or several separated by commas";
static const char targets_format[]
  = "SERVICE:WEIGHT, separated by commas, each service of this text once, at "
    "least one weight above 0";

typedef struct
{
  const char *file;
  const char *section;
  oh_error_t *error;
} location_t;

static bool
fail (const location_t *location, oh_error_code_t code, const char *key, const char *value,
      const char *expected)
{
  return oh_error_set (location->error, OH_ERROR_SETTINGS, code,
                       "%s: section [%s], key %s, value \"%.96s\": expected %s", location->file,
                       location->section, key, value, expected);
}

static bool
name_valid (const char *name)
{
  const size_t length = strlen (name);

  if (length == 0 || length > OH_CONFIG_NAME_MAX_BYTES || !g_ascii_islower (name[0]))
    return false;
  return strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789-") == length;
}

static void
free_service (gpointer data)
{
  oh_config_service_t *service = data;

  g_free (service->name);
  g_array_unref (service->addresses);
  g_ptr_array_unref (service->depends);
  g_free (service);
}

static void
free_route (gpointer data)
{
  oh_config_route_t *route = data;

  g_free (route->name);
  g_array_unref (route->targets);
  g_free (route);
}

/* Rejects repeated sections and keys, because GKeyFile silently merges sections and keeps the last of equal
 * keys. */
static bool
check_lines (const char *file, const char *text, oh_error_t *error)
{
  g_autoptr (GHashTable) sections = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GHashTable) keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_autofree char *section = g_strdup ("");
  location_t location = { .file = file, .section = section, .error = error };

  for (char **next = lines; *next != NULL; next++)
    {
      char *line = g_strstrip (*next);
      char *equals = strchr (line, '=');

      if (line[0] == '\0' || line[0] == '#')
        continue;
      if (line[0] == '[' && g_str_has_suffix (line, "]"))
        {
          g_free (section);
          section = g_strndup (line + 1, strlen (line) - 2);
          location.section = section;
          g_hash_table_remove_all (keys);
          if (!g_hash_table_add (sections, g_strdup (section)))
            return fail (&location, OH_ERROR_CODE_DUPLICATE, "-", line, "each section once");
          continue;
        }
      if (equals == NULL || equals == line)
        return fail (&location, OH_ERROR_CODE_MALFORMED, "-", line, "[section], key=value or # comment");
      *equals = '\0';
      if (!g_hash_table_add (keys, g_strdup (g_strchomp (line))))
        return fail (&location, OH_ERROR_CODE_DUPLICATE, line, equals + 1, "each key once in a section");
    }
  return true;
}

static bool
check_keys (const location_t *location, GKeyFile *file, const char *const *known)
{
  g_auto (GStrv) keys = g_key_file_get_keys (file, location->section, NULL, NULL);

  for (char **key = keys; key != NULL && *key != NULL; key++)
    if (!g_strv_contains (known, *key))
      {
        g_autofree char *value = g_key_file_get_value (file, location->section, *key, NULL);
        g_autofree char *names = g_strjoinv (", ", (char **)known);
        g_autofree char *expected = g_strdup_printf ("one of the keys %s", names);

        return fail (location, OH_ERROR_CODE_UNKNOWN_KEY, *key, value != NULL ? value : "", expected);
      }
  return true;
}

/* Returns the value without surrounding white space, or an empty string if the key is missing. */
static char *
get_value (const location_t *location, GKeyFile *file, const char *key)
{
  char *value = g_key_file_get_string (file, location->section, key, NULL);

  return value != NULL ? g_strstrip (value) : g_strdup ("");
}

static bool
parse_number (const location_t *location, GKeyFile *file, const char *key, unsigned minimum, unsigned maximum,
              unsigned *number)
{
  g_autofree char *value = get_value (location, file, key);
  g_autofree char *expected = g_strdup_printf ("an integer from %u to %u", minimum, maximum);
  guint64 parsed;

  if (!g_key_file_has_key (file, location->section, key, NULL))
    return true;
  if (!g_ascii_string_to_unsigned (value, 10, minimum, maximum, &parsed, NULL))
    return fail (location, OH_ERROR_CODE_BAD_VALUE, key, value, expected);
  *number = (unsigned)parsed;
  return true;
}

/* Reads warmup_per_s, a decimal number; a missing one leaves the service without a limit. */
static bool
parse_warmup (const location_t *location, GKeyFile *file, oh_config_service_t *service)
{
  static const char key[] = "warmup_per_s";
  g_autofree char *value = get_value (location, file, key);
  int64_t milli;
  unsigned places;

  if (!g_key_file_has_key (file, location->section, key, NULL))
    return true;
  if (!oh_decimal_parse (value, OH_CONFIG_WARMUP_MAX_MILLI_PER_S, &milli, &places)
      || places > OH_DECIMAL_PLACES)
    return fail (location, OH_ERROR_CODE_BAD_VALUE, key, value,
                 "a decimal number from 0 to 1000000 with at most three digits after the point");
  service->warmup_milli_per_s = (unsigned)milli;
  return true;
}

static bool
parse_addresses (const location_t *location, GKeyFile *file, const oh_config_t *config, GArray *addresses)
{
  g_autofree char *value = get_value (location, file, "address");
  g_auto (GStrv) items = g_strsplit (value, ",", -1);

  if (!g_key_file_has_key (file, location->section, "address", NULL))
    return true; /* check_reachable requires it of services that have no route */
  for (char **item = items; *item != NULL || item == items; item++)
    {
      oh_address_t address;

      if (*item == NULL || !oh_address_parse (g_strstrip (*item), &address))
        return fail (location, OH_ERROR_CODE_BAD_VALUE, "address", value, address_format);
      for (guint i = 0; i < addresses->len; i++)
        if (oh_address_equal (g_array_index (addresses, oh_address_t, i), address))
          return fail (location, OH_ERROR_CODE_DUPLICATE, "address", value, "each address once");
      for (guint i = 0; i < config->services->len; i++)
        {
          const oh_config_service_t *other = g_ptr_array_index (config->services, i);

          for (guint j = 0; j < other->addresses->len; j++)
            if (oh_address_equal (g_array_index (other->addresses, oh_address_t, j), address))
              return fail (location, OH_ERROR_CODE_DUPLICATE, "address", value,
                           "an address that no other service has");
        }
      g_array_append_val (addresses, address);
    }
  return true;
}

static bool
parse_service (const location_t *location, GKeyFile *file, oh_config_t *config)
{
  static const char *const known[]
    = { "address", "depends", "max_class", "queue_per_slot", "warmup_per_s", NULL };
  const char *name = location->section + strlen (service_prefix);
  oh_config_service_t *service;

  if (!name_valid (name))
    return fail (location, OH_ERROR_CODE_BAD_VALUE, "-", name, name_format);
  if (!check_keys (location, file, known))
    return false;
  if (oh_config_find (config, oh_service_id (name)) != NULL)
    return fail (location, OH_ERROR_CODE_DUPLICATE, "-", name,
                 "a name whose identifier no other service has");
  service = g_new0 (oh_config_service_t, 1);
  service->name = g_strdup (name);
  service->id = oh_service_id (name);
  service->addresses = g_array_new (FALSE, FALSE, sizeof (oh_address_t));
  service->depends = g_ptr_array_new ();
  service->queue_per_slot = DEFAULT_QUEUE_PER_SLOT;
  if (!parse_addresses (location, file, config, service->addresses)
      || !parse_number (location, file, "max_class", 0, MAX_CLASS, &service->max_class)
      || !parse_number (location, file, "queue_per_slot", 1, MAX_QUEUE_PER_SLOT, &service->queue_per_slot)
      || !parse_warmup (location, file, service))
    {
      free_service (service);
      return false;
    }
  g_ptr_array_add (config->services, service);
  return true;
}

/* All services must have been parsed. */
static bool
parse_depends (const location_t *location, GKeyFile *file, oh_config_t *config, oh_config_service_t *service)
{
  g_autofree char *value = get_value (location, file, "depends");
  g_auto (GStrv) items = g_strsplit (value, ",", -1);

  for (char **item = items; *item != NULL; item++)
    {
      const oh_config_service_t *other = oh_config_find (config, oh_service_id (g_strstrip (*item)));

      if (other == NULL)
        return fail (location, OH_ERROR_CODE_BAD_VALUE, "depends", value,
                     "names of services in this text, separated by commas");
      if (g_ptr_array_find (service->depends, other, NULL))
        return fail (location, OH_ERROR_CODE_DUPLICATE, "depends", value, "each service once");
      /* Each edge is added to an acyclic graph, so the search terminates. */
      if (oh_config_depends_on (other, service))
        return fail (location, OH_ERROR_CODE_CYCLE, "depends", value,
                     "services that do not depend on this one, directly or through others");
      g_ptr_array_add (service->depends, (gpointer)other);
    }
  return true;
}

static bool
parse_target (const location_t *location, oh_config_t *config, const char *value, char *item,
              oh_config_route_t *route)
{
  char *colon = strrchr (item, ':');
  oh_config_target_t target = { 0 };
  guint64 weight;

  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 0, MAX_WEIGHT, &weight, NULL))
    return fail (location, OH_ERROR_CODE_BAD_VALUE, "targets", value, targets_format);
  *colon = '\0';
  target.service = oh_config_find (config, oh_service_id (item));
  target.weight = (unsigned)weight;
  if (target.service == NULL)
    return fail (location, OH_ERROR_CODE_BAD_VALUE, "targets", value, targets_format);
  for (guint i = 0; i < route->targets->len; i++)
    if (g_array_index (route->targets, oh_config_target_t, i).service == target.service)
      return fail (location, OH_ERROR_CODE_DUPLICATE, "targets", value, targets_format);
  g_array_append_val (route->targets, target);
  return true;
}

static bool
parse_targets (const location_t *location, GKeyFile *file, oh_config_t *config, oh_config_route_t *route)
{
  g_autofree char *value = get_value (location, file, "targets");
  g_auto (GStrv) items = g_strsplit (value, ",", -1);
  guint64 total = 0;

  for (char **item = items; *item != NULL; item++)
    if (!parse_target (location, config, value, g_strstrip (*item), route))
      return false;
  for (guint i = 0; i < route->targets->len; i++)
    total += g_array_index (route->targets, oh_config_target_t, i).weight;
  return total > 0 || fail (location, OH_ERROR_CODE_BAD_VALUE, "targets", value, targets_format);
}

static bool
parse_kind (const location_t *location, GKeyFile *file, oh_route_kind_t *kind)
{
  static const char *const names[] = { "once", "repeatable", "transfer" }; /* by oh_route_kind_t */
  g_autofree char *value = get_value (location, file, "kind");

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (value, names[i]) == 0)
      {
        *kind = (oh_route_kind_t)i;
        return true;
      }
  return fail (location, OH_ERROR_CODE_BAD_VALUE, "kind", value, "once, repeatable or transfer");
}

static bool
parse_route (const location_t *location, GKeyFile *file, oh_config_t *config)
{
  static const char *const known[] = { "name", "kind", "class", "timeout_ms", "target_ms", "targets", NULL };
  const char *address = location->section + strlen (route_prefix);
  oh_config_route_t *route = g_new0 (oh_config_route_t, 1);

  route->targets = g_array_new (FALSE, FALSE, sizeof (oh_config_target_t));
  route->class = MAX_CLASS;
  route->timeout_ms = DEFAULT_TIMEOUT_MS;
  route->name = get_value (location, file, "name");
  /* The section name contains the address, so check_lines has rejected two routes with one address. */
  if (!oh_address_parse (address, &route->address))
    fail (location, OH_ERROR_CODE_BAD_VALUE, "-", address, "IPV4:PORT");
  else if (check_keys (location, file, known) && parse_kind (location, file, &route->kind)
           && parse_number (location, file, "class", 0, MAX_CLASS, &route->class)
           && parse_number (location, file, "timeout_ms", 1, MAX_TIMEOUT_MS, &route->timeout_ms)
           && parse_number (location, file, "target_ms", 0, MAX_TIMEOUT_MS, &route->target_ms)
           && parse_targets (location, file, config, route))
    {
      g_ptr_array_add (config->routes, route);
      return true;
    }
  free_route (route);
  return false;
}

/* All services must have been parsed. */
static bool
parse_routes (location_t *location, GKeyFile *file, oh_config_t *config)
{
  g_auto (GStrv) sections = g_key_file_get_groups (file, NULL);

  for (char **section = sections; *section != NULL; section++)
    {
      location->section = *section;
      if (g_str_has_prefix (*section, route_prefix) && !parse_route (location, file, config))
        return false;
    }
  return true;
}

static bool
has_route (const oh_config_t *config, const oh_config_service_t *service)
{
  for (guint i = 0; i < config->routes->len; i++)
    {
      const oh_config_route_t *route = g_ptr_array_index (config->routes, i);

      for (guint j = 0; j < route->targets->len; j++)
        if (g_array_index (route->targets, oh_config_target_t, j).service == service)
          return true;
    }
  return false;
}

/* Rejects services with neither an address nor a route, because no caller could reach them. */
static bool
check_reachable (location_t *location, const oh_config_t *config)
{
  for (guint i = 0; i < config->services->len; i++)
    {
      const oh_config_service_t *service = g_ptr_array_index (config->services, i);
      g_autofree char *section = g_strconcat (service_prefix, service->name, NULL);

      location->section = section;
      if (service->addresses->len == 0 && !has_route (config, service))
        return fail (location, OH_ERROR_CODE_MISSING_KEY, "address", "", address_format);
    }
  return true;
}

static bool
parse_sections (oh_config_t *config, GKeyFile *file, location_t *location)
{
  static const char *const known[] = { "name", NULL };
  g_auto (GStrv) sections = g_key_file_get_groups (file, NULL);

  location->section = global_section;
  config->name = get_value (location, file, "name");
  if (!g_key_file_has_key (file, global_section, "name", NULL))
    return fail (location, OH_ERROR_CODE_MISSING_KEY, "name", "", name_format);
  if (!name_valid (config->name))
    return fail (location, OH_ERROR_CODE_BAD_VALUE, "name", config->name, name_format);
  if (!check_keys (location, file, known))
    return false;
  for (char **section = sections; *section != NULL; section++)
    {
      location->section = *section;
      if (strcmp (*section, global_section) == 0 || g_str_has_prefix (*section, route_prefix))
        continue;
      if (!g_str_has_prefix (*section, service_prefix))
        return fail (location, OH_ERROR_CODE_UNKNOWN_KEY, "-", *section,
                     "[oriolehaven], [service NAME] or [route IPV4:PORT]");
      if (!parse_service (location, file, config))
        return false;
    }
  location->section = "service NAME";
  if (config->services->len == 0)
    return fail (location, OH_ERROR_CODE_MISSING_KEY, "-", "", "at least one section of this form");
  for (guint i = 0; i < config->services->len; i++)
    {
      oh_config_service_t *service = g_ptr_array_index (config->services, i);
      g_autofree char *section = g_strconcat (service_prefix, service->name, NULL);

      location->section = section;
      if (!parse_depends (location, file, config, service))
        return false;
    }
  return parse_routes (location, file, config) && check_reachable (location, config);
}

bool
oh_config_parse (oh_config_t *config, const char *file, const char *text, oh_error_t *error)
{
  g_autoptr (GKeyFile) key_file = g_key_file_new ();
  g_autoptr (GError) gerror = NULL;
  location_t location = { .file = file, .section = "-", .error = error };
  oh_config_t parsed = { 0 };

  *config = (oh_config_t){ 0 };
  parsed.services = g_ptr_array_new_with_free_func (free_service);
  parsed.routes = g_ptr_array_new_with_free_func (free_route);
  if (strlen (text) > OH_CONFIG_TEXT_MAX_BYTES)
    {
      fail (&location, OH_ERROR_CODE_TOO_LARGE, "-", "", "a text of at most 1 MiB");
      goto fail;
    }
  if (!g_utf8_validate (text, -1, NULL))
    {
      fail (&location, OH_ERROR_CODE_MALFORMED, "-", "", "a text in UTF-8");
      goto fail;
    }
  if (!check_lines (file, text, error))
    goto fail;
  if (!g_key_file_load_from_data (key_file, text, strlen (text), G_KEY_FILE_NONE, &gerror))
    {
      fail (&location, OH_ERROR_CODE_MALFORMED, "-", gerror->message, "an INI text");
      goto fail;
    }
  if (!parse_sections (&parsed, key_file, &location))
    goto fail;
  *config = parsed;
  return true;

fail:
  oh_config_finish (&parsed);
  return false;
}

void
oh_config_finish (oh_config_t *config)
{
  g_clear_pointer (&config->name, g_free);
  g_clear_pointer (&config->routes, g_ptr_array_unref);
  g_clear_pointer (&config->services, g_ptr_array_unref);
}

const oh_config_service_t *
oh_config_find (const oh_config_t *config, uint64_t service)
{
  for (guint i = 0; config->services != NULL && i < config->services->len; i++)
    {
      const oh_config_service_t *candidate = g_ptr_array_index (config->services, i);

      if (candidate->id == service)
        return candidate;
    }
  return NULL;
}

bool
oh_config_depends_on (const oh_config_service_t *service, const oh_config_service_t *other)
{
  /* Visit each service once: the number of paths can grow exponentially with the number of services. */
  g_autoptr (GHashTable) seen = g_hash_table_new (NULL, NULL);
  g_autoptr (GPtrArray) pending = g_ptr_array_new ();

  if (service == other)
    return true;
  g_ptr_array_add (pending, (gpointer)service);
  while (pending->len > 0)
    {
      const oh_config_service_t *next = g_ptr_array_steal_index_fast (pending, pending->len - 1);

      for (guint i = 0; i < next->depends->len; i++)
        {
          gpointer dependency = g_ptr_array_index (next->depends, i);

          if (dependency == other)
            return true;
          if (g_hash_table_add (seen, dependency))
            g_ptr_array_add (pending, dependency);
        }
    }
  return false;
}
