#include "base/settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "base/decimal.h"

static const char *
expected_form (const oh_setting_t *setting, char *text, size_t length)
{
  switch (setting->type)
    {
    case OH_SETTING_STRING:
      return "text";
    case OH_SETTING_INTEGER:
      g_snprintf (text, length, "an integer from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, setting->minimum,
                  setting->maximum);
      return text;
    case OH_SETTING_BOOLEAN:
      return "true or false";
    case OH_SETTING_ADDRESS:
      return "IPV4:PORT";
    case OH_SETTING_DECIMAL:
      g_snprintf (text, length,
                  "a decimal number from %" G_GINT64_FORMAT ".%03d to %" G_GINT64_FORMAT ".%03d",
                  setting->minimum / 1000, (int)(setting->minimum % 1000), setting->maximum / 1000,
                  (int)(setting->maximum % 1000));
      return text;
    }
  return "";
}

static bool
store_value (const oh_setting_t *setting, const char *value, void *settings)
{
  void *field = (char *)settings + setting->offset;
  gint64 number;

  switch (setting->type)
    {
    case OH_SETTING_STRING:
      if (value[0] == '\0' && setting->required)
        return false;
      *(char **)field = g_strdup (value);
      return true;
    case OH_SETTING_INTEGER:
      if (!g_ascii_string_to_signed (value, 10, setting->minimum, setting->maximum, &number, NULL))
        return false;
      *(int64_t *)field = number;
      return true;
    case OH_SETTING_BOOLEAN:
      if (strcmp (value, "true") != 0 && strcmp (value, "false") != 0)
        return false;
      *(bool *)field = strcmp (value, "true") == 0;
      return true;
    case OH_SETTING_ADDRESS:
      return oh_address_parse (value, field);
    case OH_SETTING_DECIMAL:
      if (!oh_decimal_parse (value, setting->maximum, &number, NULL) || number < setting->minimum)
        return false;
      *(int64_t *)field = number;
      return true;
    }
  return false;
}

static bool
reject_unknown_keys (GKeyFile *file, const char *path, const oh_setting_t *table, size_t n_table,
                     oh_error_t *error)
{
  g_auto (GStrv) sections = g_key_file_get_groups (file, NULL);

  for (char **section = sections; *section != NULL; section++)
    {
      g_auto (GStrv) keys = g_key_file_get_keys (file, *section, NULL, NULL);

      for (char **key = keys; key != NULL && *key != NULL; key++)
        {
          size_t i = 0;

          while (i < n_table
                 && (strcmp (table[i].section, *section) != 0 || strcmp (table[i].key, *key) != 0))
            i++;
          if (i == n_table)
            {
              g_autofree char *value = g_key_file_get_value (file, *section, *key, NULL);

              return oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_UNKNOWN_KEY,
                                   "%s: section [%s], key %s, value \"%s\": unknown key", path, *section,
                                   *key, value);
            }
        }
    }
  return true;
}

static bool
read_setting (GKeyFile *file, const char *path, const oh_setting_t *setting, void *settings,
              oh_error_t *error)
{
  g_autofree char *value = g_key_file_get_string (file, setting->section, setting->key, NULL);
  char form[96];

  if (value == NULL && setting->required)
    return oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_MISSING_KEY,
                         "%s: section [%s], key %s: missing, expected %s", path, setting->section,
                         setting->key, expected_form (setting, form, sizeof form));
  if (value == NULL)
    value = g_strdup (setting->default_value);
  if (value == NULL || store_value (setting, value, settings))
    return true;
  return oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_BAD_VALUE,
                       "%s: section [%s], key %s, value \"%s\": expected %s", path, setting->section,
                       setting->key, value, expected_form (setting, form, sizeof form));
}

bool
oh_settings_load (const char *path, const oh_setting_t *table, size_t n_table, void *settings,
                  oh_error_t *error)
{
  g_autoptr (GKeyFile) file = g_key_file_new ();
  g_autoptr (GError) gerror = NULL;

  for (size_t i = 0; i < n_table; i++)
    if (table[i].type == OH_SETTING_STRING)
      *(char **)((char *)settings + table[i].offset) = NULL;
  oh_settings_clear (table, n_table, settings);
  if (!g_key_file_load_from_file (file, path, G_KEY_FILE_NONE, &gerror))
    return oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_MALFORMED, "%s: %s", path, gerror->message);
  if (!reject_unknown_keys (file, path, table, n_table, error))
    return false;
  for (size_t i = 0; i < n_table; i++)
    if (!read_setting (file, path, &table[i], settings, error))
      {
        oh_settings_clear (table, n_table, settings);
        return false;
      }
  return true;
}

void
oh_settings_clear (const oh_setting_t *table, size_t n_table, void *settings)
{
  for (size_t i = 0; i < n_table; i++)
    {
      void *field = (char *)settings + table[i].offset;

      switch (table[i].type)
        {
        case OH_SETTING_STRING:
          g_clear_pointer ((char **)field, g_free);
          break;
        case OH_SETTING_INTEGER:
        case OH_SETTING_DECIMAL:
          *(int64_t *)field = 0;
          break;
        case OH_SETTING_BOOLEAN:
          *(bool *)field = false;
          break;
        case OH_SETTING_ADDRESS:
          *(oh_address_t *)field = (oh_address_t){ 0 };
          break;
        }
    }
}

bool
oh_address_parse (const char *text, oh_address_t *address)
{
  const char *colon = strrchr (text, ':');
  char host[INET_ADDRSTRLEN];
  struct in_addr parsed;
  guint64 port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return false;
  g_strlcpy (host, text, (gsize)(colon - text) + 1);
  if (inet_pton (AF_INET, host, &parsed) != 1)
    return false;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 1, G_MAXUINT16, &port, NULL))
    return false;
  address->ipv4 = ntohl (parsed.s_addr);
  address->port = (uint16_t)port;
  return true;
}

const char *
oh_address_format (oh_address_t address, char text[OH_ADDRESS_TEXT_BYTES])
{
  g_snprintf (text, OH_ADDRESS_TEXT_BYTES, "%u.%u.%u.%u:%u", address.ipv4 >> 24, (address.ipv4 >> 16) & 0xff,
              (address.ipv4 >> 8) & 0xff, address.ipv4 & 0xff, address.port);
  return text;
}

unsigned
oh_address_hash (const void *key)
{
  const oh_address_t *address = key;

  return address->ipv4 * 31 + address->port;
}

int
oh_address_equal_keys (const void *a, const void *b)
{
  return oh_address_equal (*(const oh_address_t *)a, *(const oh_address_t *)b);
}
