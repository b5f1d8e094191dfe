#pragma once

#include <stdbool.h>

/* Limits retries to a tenth of the requests, plus a burst, so that retries cannot multiply an overload. */

typedef struct
{
  unsigned tenths; /* retries left, in tenths */
} oh_retry_budget_t;

enum
{
  OH_RETRY_BURST = 10, /* most retries that can be saved up */
};

/* Starts with a full burst. */
void oh_retry_budget_init (oh_retry_budget_t *budget);

/* Credits a tenth of a retry; called once per request. */
void oh_retry_budget_deposit (oh_retry_budget_t *budget);

/* Spends one retry. Returns false, and spends nothing, if less than a whole one is left. */
bool oh_retry_budget_withdraw (oh_retry_budget_t *budget);
