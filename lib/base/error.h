#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * Errors with a domain, a code and a message. The caller allocates an oh_error_t and passes its address to a
 * function that can fail, which fills it on failure. The error owns no memory.
 */

typedef enum
{
  OH_ERROR_NONE,
  OH_ERROR_SETTINGS, /* settings files and the configuration text */
  OH_ERROR_DECODE,   /* datagrams, messages and stored records */
  OH_ERROR_AUTH,     /* MACs and keys */
  OH_ERROR_IO,       /* files and sockets */
  OH_ERROR_STORAGE,  /* durable state */
  OH_ERROR_STATE,    /* the operation is not possible in the current state */
} oh_error_domain_t;

typedef enum
{
  OH_ERROR_CODE_UNKNOWN_KEY = 1,
  OH_ERROR_CODE_MISSING_KEY,
  OH_ERROR_CODE_BAD_VALUE,
  OH_ERROR_CODE_DUPLICATE,
  OH_ERROR_CODE_CYCLE,
  OH_ERROR_CODE_TOO_LARGE,
  OH_ERROR_CODE_TRUNCATED,
  OH_ERROR_CODE_MALFORMED,
  OH_ERROR_CODE_BAD_MAC,
  OH_ERROR_CODE_UNKNOWN_GENERATION,
  OH_ERROR_CODE_SYSTEM, /* errno is part of the message */
  OH_ERROR_CODE_NO_SPACE,
  OH_ERROR_CODE_CORRUPT,
  OH_ERROR_CODE_CONFLICT,
  OH_ERROR_CODE_UNAVAILABLE,
  OH_ERROR_CODE_FULL,
} oh_error_code_t;

typedef struct
{
  oh_error_domain_t domain;
  oh_error_code_t code;
  char message[512];
} oh_error_t;

/* Fills *error, unless error is NULL. Always returns false, so that a failing function can return the call. A
 * message longer than the buffer is truncated. */
bool oh_error_set (oh_error_t *error, oh_error_domain_t domain, oh_error_code_t code, const char *format, ...)
  G_GNUC_PRINTF (4, 5);

/* Lower-case name for logs and messages, such as "settings". Returns a static string. */
const char *oh_error_domain_name (oh_error_domain_t domain);
