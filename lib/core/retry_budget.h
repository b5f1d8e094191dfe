#pragma once

#include <stdbool.h>

/* Limits retries to a tenth of the requests, with a burst, so that retries cannot multiply an overload. */

typedef struct
{
  unsigned tenths; /* tenths of a retry that may still be made */
} oh_retry_budget_t;

enum
{
  OH_RETRY_BURST = 10,
};

/* Starts with the whole burst. */
void oh_retry_budget_init (oh_retry_budget_t *budget);

/* A first attempt was made. */
void oh_retry_budget_deposit (oh_retry_budget_t *budget);

/* Takes one retry; false if none is left. */
bool oh_retry_budget_withdraw (oh_retry_budget_t *budget);
