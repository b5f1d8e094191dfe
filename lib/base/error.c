#include "base/error.h"

#include <stdarg.h>

bool
oh_error_set (oh_error_t *error, oh_error_domain_t domain, oh_error_code_t code, const char *format, ...)
{
  va_list args;

  if (error == NULL)
    return false;
  error->domain = domain;
  error->code = code;
  va_start (args, format);
  g_vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return false;
}

const char *
oh_error_domain_name (oh_error_domain_t domain)
{
  switch (domain)
    {
    case OH_ERROR_NONE:
      return "none";
    case OH_ERROR_SETTINGS:
      return "settings";
    case OH_ERROR_DECODE:
      return "decode";
    case OH_ERROR_AUTH:
      return "auth";
    case OH_ERROR_IO:
      return "io";
    case OH_ERROR_STORAGE:
      return "storage";
    case OH_ERROR_STATE:
      return "state";
    }
  return "unknown";
}
