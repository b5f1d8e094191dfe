#include "core/caller_outcome.h"

oh_outcome_t
oh_outcome_from_result (Oh__Result result)
{
  switch (result)
    {
    case OH__RESULT__RESULT_NONE:
      return OH_OUTCOME_ANSWER;
    case OH__RESULT__RESULT_NOT_RUN_OVERLOADED:
    case OH__RESULT__RESULT_NOT_RUN_DEADLINE:
    case OH__RESULT__RESULT_NOT_RUN_CANCELLED:
    case OH__RESULT__RESULT_NOT_RUN_DRAINING:
    case OH__RESULT__RESULT_NOT_RUN_UPSTREAM:
    case OH__RESULT__RESULT_RESUME_MISMATCH:
    case OH__RESULT__RESULT_DEPENDENCY_UNAVAILABLE:
    case OH__RESULT__RESULT_NO_UPSTREAM:
    case OH__RESULT__RESULT_NO_CONFIRMED_VIEW:
    case OH__RESULT__RESULT_WRONG_SERVICE:
      return OH_OUTCOME_NOT_RUN;
    case OH__RESULT__RESULT_FAILED:
      return OH_OUTCOME_FAILED;
    case OH__RESULT__RESULT_UNKNOWN:
    case _OH__RESULT_IS_INT_SIZE:
      break;
    }
  /* A result added by a later protocol version does not tell whether the request ran. */
  return OH_OUTCOME_UNKNOWN;
}

const char *
oh_outcome_name (oh_outcome_t outcome)
{
  static const char *const names[] = {
    [OH_OUTCOME_ANSWER] = "answer",
    [OH_OUTCOME_NOT_RUN] = "not_run",
    [OH_OUTCOME_UNKNOWN] = "unknown",
    [OH_OUTCOME_FAILED] = "failed",
  };

  return names[outcome];
}

const char *
oh_result_name (Oh__Result result)
{
  static const char *const names[] = {
    [OH__RESULT__RESULT_NONE] = "none",
    [OH__RESULT__RESULT_NOT_RUN_OVERLOADED] = "not_run_overloaded",
    [OH__RESULT__RESULT_NOT_RUN_DEADLINE] = "not_run_deadline",
    [OH__RESULT__RESULT_NOT_RUN_CANCELLED] = "not_run_cancelled",
    [OH__RESULT__RESULT_NOT_RUN_DRAINING] = "not_run_draining",
    [OH__RESULT__RESULT_NOT_RUN_UPSTREAM] = "not_run_upstream",
    [OH__RESULT__RESULT_UNKNOWN] = "unknown",
    [OH__RESULT__RESULT_FAILED] = "failed",
    [OH__RESULT__RESULT_RESUME_MISMATCH] = "resume_mismatch",
    [OH__RESULT__RESULT_DEPENDENCY_UNAVAILABLE] = "dependency_unavailable",
    [OH__RESULT__RESULT_NO_UPSTREAM] = "no_upstream",
    [OH__RESULT__RESULT_NO_CONFIRMED_VIEW] = "no_confirmed_view",
    [OH__RESULT__RESULT_WRONG_SERVICE] = "wrong_service",
  };

  return (unsigned)result < sizeof names / sizeof names[0] ? names[result] : "unrecognised";
}
