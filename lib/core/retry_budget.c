#include "core/retry_budget.h"

enum
{
  TENTHS_PER_RETRY = 10,
};

void
oh_retry_budget_init (oh_retry_budget_t *budget)
{
  budget->tenths = OH_RETRY_BURST * TENTHS_PER_RETRY;
}

void
oh_retry_budget_deposit (oh_retry_budget_t *budget)
{
  if (budget->tenths < OH_RETRY_BURST * TENTHS_PER_RETRY)
    budget->tenths++;
}

bool
oh_retry_budget_withdraw (oh_retry_budget_t *budget)
{
  if (budget->tenths < TENTHS_PER_RETRY)
    return false;
  budget->tenths -= TENTHS_PER_RETRY;
  return true;
}
