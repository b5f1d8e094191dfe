#pragma once

#include "wire/packet.pb-c.h"

/* What the program that made a request is told, and the names used in logs and ledgers. */

typedef enum
{
  OH_OUTCOME_ANSWER,
  OH_OUTCOME_NOT_RUN,
  OH_OUTCOME_UNKNOWN,
  OH_OUTCOME_FAILED,
} oh_outcome_t;

oh_outcome_t oh_outcome_of_result (Oh__Result result);
const char *oh_outcome_name (oh_outcome_t outcome);

/* Lower case with underscores, for instance "not_run_overloaded". */
const char *oh_result_name (Oh__Result result);
