#pragma once

#include "wire/packet.pb-c.h"

/* Classes of results as the program that made a request sees them, and the names used in logs and ledgers. */

typedef enum
{
  OH_OUTCOME_ANSWER,
  OH_OUTCOME_NOT_RUN, /* did not run, so it can be sent again without running twice */
  OH_OUTCOME_UNKNOWN, /* may have run */
  OH_OUTCOME_FAILED,  /* ran, and the upstream reported an error */
} oh_outcome_t;

oh_outcome_t oh_outcome_from_result (Oh__Result result);

/* Lower case with underscores, for instance "not_run". */
const char *oh_outcome_name (oh_outcome_t outcome);

/* As oh_outcome_name, for instance "not_run_overloaded". "unrecognised" if a later protocol version added the
 * result. */
const char *oh_result_name (Oh__Result result);
