#pragma once

#include <stdbool.h>
#include <stdint.h>

/*
 * Decimal numbers in settings and configuration texts, as integers in thousandths: digits, optionally
 * followed by a point and more digits. There is no sign, exponent or white space.
 */

enum
{
  OH_DECIMAL_PLACES = 3, /* of a thousandth */
};

/* Reads a number from 0 to maximum_milli; digits beyond the third place are cut off. places is set to the
 * number of digits after the point and may be NULL. On failure neither is changed. */
bool oh_decimal_parse (const char *text, int64_t maximum_milli, int64_t *milli, unsigned *places);
