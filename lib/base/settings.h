#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

/*
 * INI settings checked against a table. Every error names file, section, key, value and the expected form;
 * sections and keys that the table does not list are errors.
 */

typedef enum
{
  OH_SETTING_STRING,  /* char *, owned by the settings struct; free with oh_settings_clear */
  OH_SETTING_INTEGER, /* int64_t in [minimum, maximum] */
  OH_SETTING_BOOLEAN, /* bool */
  OH_SETTING_ADDRESS, /* oh_address_t, written as IPV4:PORT */
} oh_setting_type_t;

/* IPv4 address and port, both in host byte order. */
typedef struct
{
  uint32_t ipv4;
  uint16_t port;
} oh_address_t;

typedef struct
{
  const char *section;
  const char *key;
  oh_setting_type_t type;
  size_t offset; /* of the field in the settings struct */
  bool required;
  const char *default_value; /* in the file's notation; NULL for zero */
  int64_t minimum;
  int64_t maximum;
} oh_setting_t;

/* Reads path into the struct at settings. On failure the struct is left cleared. */
bool oh_settings_load (const char *path, const oh_setting_t *table, size_t n_table, void *settings,
                       oh_error_t *error);

/* Frees strings and zeroes every field that the table lists. */
void oh_settings_clear (const oh_setting_t *table, size_t n_table, void *settings);

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
