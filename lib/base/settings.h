#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

/*
 * Settings files in INI format, read into a struct and validated against a table of settings. Sections and
 * keys that are not in the table are errors. The error for a setting names file, section, key, value and
 * expected form.
 */

typedef enum
{
  OH_SETTING_STRING,  /* char *, owned by the settings struct; freed by oh_settings_clear */
  OH_SETTING_INTEGER, /* int64_t in [minimum, maximum] */
  OH_SETTING_BOOLEAN, /* bool */
  OH_SETTING_ADDRESS, /* oh_address_t, written as IPV4:PORT */
  OH_SETTING_DECIMAL, /* int64_t in thousandths, in [minimum, maximum]; further digits are cut off */
} oh_setting_type_t;

/* IPv4 address and port, both in host byte order. */
typedef struct
{
  uint32_t ipv4;
  uint16_t port;
} oh_address_t;

/* One row of the table. */
typedef struct
{
  const char *section;
  const char *key;
  oh_setting_type_t type;
  size_t offset;             /* of the field in the settings struct */
  bool required;             /* a string must not be empty either */
  const char *default_value; /* as written in a file; NULL: the field is zero or NULL */
  int64_t minimum;           /* OH_SETTING_INTEGER, and OH_SETTING_DECIMAL in thousandths */
  int64_t maximum;           /* the same */
} oh_setting_t;

/* Reads the file at path into the settings struct. Previous values of the fields in the table are discarded
 * and not freed, so the struct may be uninitialised. On failure all these fields are zero. */
bool oh_settings_load (const char *path, const oh_setting_t *table, size_t n_table, void *settings,
                       oh_error_t *error);

/* Frees the strings and zeroes every field in the table. */
void oh_settings_clear (const oh_setting_t *table, size_t n_table, void *settings);

/* Parses IPV4:PORT, port 1 to 65535. Returns false and leaves *address unchanged if the text is malformed. */
bool oh_address_parse (const char *text, oh_address_t *address);

enum
{
  OH_ADDRESS_TEXT_BYTES = 24
};

/* Writes IPV4:PORT into text and returns it. */
const char *oh_address_format (oh_address_t address, char text[OH_ADDRESS_TEXT_BYTES]);

static inline bool
oh_address_equal (oh_address_t a, oh_address_t b)
{
  return a.ipv4 == b.ipv4 && a.port == b.port;
}

/* GHashFunc and GEqualFunc for hash tables whose keys point to an oh_address_t. */
unsigned oh_address_hash (const void *key);
int oh_address_equal_keys (const void *a, const void *b);
