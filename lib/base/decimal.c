#include "base/decimal.h"

#include <glib.h>

bool
oh_decimal_parse (const char *text, int64_t maximum_milli, int64_t *milli, unsigned *places)
{
  int64_t value = 0;
  unsigned n_places = 0;
  const char *at = text;

  g_assert (maximum_milli <= G_MAXINT64 / 1000 - 1);
  if (!g_ascii_isdigit (*at))
    return false;
  for (; g_ascii_isdigit (*at); at++)
    {
      value = value * 10 + g_ascii_digit_value (*at);
      if (value > maximum_milli)
        return false;
    }
  if (*at == '.' && !g_ascii_isdigit (*++at))
    return false;
  for (; g_ascii_isdigit (*at); at++, n_places++)
    if (n_places < OH_DECIMAL_PLACES)
      value = value * 10 + g_ascii_digit_value (*at);
  for (unsigned i = n_places; i < OH_DECIMAL_PLACES; i++)
    value *= 10;
  if (*at != '\0' || value > maximum_milli)
    return false;
  *milli = value;
  if (places != NULL)
    *places = n_places;
  return true;
}
