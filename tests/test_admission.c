#include "core/admission.h"

#include <glib.h>

enum
{
  SLOTS = 2,
  START_US = 10 * G_USEC_PER_SEC,
  TARGET_MS = 400,
};

/* Answers requests in time while the limit is in use, until it is the greatest one. */
static void
grow_limit (oh_admission_t *admission, int64_t now_us)
{
  oh_admission_note_target (admission, TARGET_MS, now_us);
  for (unsigned i = 0; i < 12; i++)
    {
      oh_pace_begin (&admission->pace, now_us);
      oh_pace_note_work (&admission->pace, 6, false, now_us);
      oh_pace_end (&admission->pace, OH_PACE_ANSWERED, now_us, false, now_us);
    }
}

#define ADMITTED OH_ADMISSION_ADMITTED
#define FULL OH_ADMISSION_FULL
#define RESERVED OH_ADMISSION_RESERVED

static const struct
{
  const char *name; /* the failure that it guards against */
  uint32_t target_ms;
  bool yields;
  bool grown; /* the limit is 6 instead of 3 */
  unsigned slots;
  bool warming;
  unsigned n_requests;
  unsigned n_expected;
  oh_admission_result_t result;
} decisions[] = {
  { "without an objective, fewer than 3 requests per slot are admitted", 0, false, false, 2, false, 2, 3,
    ADMITTED },
  { "without an objective, more than 3 requests per slot are admitted", 0, false, true, 2, false, 3, 3,
    FULL },
  { "without an objective, fewer than 2 requests per slot are admitted while warming", 0, false, false, 2,
    true, 3, 0, ADMITTED },
  { "without an objective, more than 2 requests per slot are admitted while warming", 0, false, true, 2, true,
    2, 2, FULL },
  { "without an objective, positions are reserved", 0, true, false, 2, false, 5, 0, ADMITTED },
  { "the limit of a start is not one per slot plus one", TARGET_MS, false, false, 2, false, 2, 0, ADMITTED },
  { "the limit of a start is exceeded", TARGET_MS, false, false, 2, false, 2, 1, FULL },
  { "the limit does not grow to 3 per slot", TARGET_MS, false, true, 2, false, 3, 2, ADMITTED },
  { "the limit grows beyond 3 per slot", TARGET_MS, false, true, 2, false, 6, 0, FULL },
  { "a warming upstream gets more than 2 requests per slot", TARGET_MS, false, true, 2, true, 4, 0, FULL },
  { "flows that yield do not get the positions that are not reserved", TARGET_MS, true, true, 2, false, 3, 0,
    ADMITTED },
  { "flows that yield get reserved positions", TARGET_MS, true, true, 2, false, 4, 0, RESERVED },
  { "other flows do not get reserved positions", TARGET_MS, false, true, 2, false, 5, 0, ADMITTED },
  { "flows that yield get less than one position per slot", TARGET_MS, true, false, 2, false, 1, 0,
    ADMITTED },
  { "nothing is reserved of a limit of one per slot plus one", TARGET_MS, true, false, 2, false, 2, 0,
    RESERVED },
  { "an upstream without slots gets flows", TARGET_MS, false, false, 0, false, 0, 0, FULL },
};

static void
test_decisions (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (decisions); i++)
    {
      const oh_admission_work_t work = {
        .slots = decisions[i].slots,
        .warming = decisions[i].warming,
        .n_requests = decisions[i].n_requests,
        .n_expected = decisions[i].n_expected,
      };
      oh_admission_t admission;

      g_test_message ("%s", decisions[i].name);
      oh_admission_init (&admission);
      oh_admission_restart (&admission, decisions[i].slots, START_US);
      if (decisions[i].grown)
        grow_limit (&admission, START_US);
      for (unsigned j = 0; j < decisions[i].n_requests; j++)
        oh_pace_begin (&admission.pace, START_US);
      oh_admission_note_target (&admission, decisions[i].target_ms, START_US);
      g_assert_cmpint (oh_admission_decide (&admission, &work, decisions[i].target_ms, decisions[i].yields),
                       ==, decisions[i].result);
    }
}

/* Guards against an idle upstream that refuses all yielding flows for ever: after a hang, lost requests and
 * unanswered SYNs take all positions but the reserved one. */
static void
test_yielding_after_losses (void)
{
  static const struct
  {
    unsigned n_lost;
    unsigned n_unanswered_syns;
  } cases[] = { { 6, 0 }, { 0, 6 }, { 2, 0 }, { 3, 3 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const oh_admission_work_t work = { .slots = SLOTS };
      oh_admission_t admission;

      oh_admission_init (&admission);
      oh_admission_restart (&admission, SLOTS, START_US);
      oh_admission_note_target (&admission, TARGET_MS, START_US);
      for (unsigned j = 0; j < cases[i].n_lost; j++)
        {
          oh_pace_begin (&admission.pace, START_US);
          oh_pace_mark_lost (&admission.pace, START_US, START_US);
        }
      for (unsigned j = 0; j < cases[i].n_unanswered_syns; j++)
        oh_pace_syn_unanswered (&admission.pace, START_US, START_US);
      g_assert_cmpint (oh_admission_decide (&admission, &work, TARGET_MS, true), ==, OH_ADMISSION_ADMITTED);
      g_assert_cmpuint (oh_admission_report (&admission, &work).reserved, ==, 0);
    }
}

static const struct
{
  const char *name; /* the failure that it guards against */
  struct
  {
    int64_t at_ms;
    uint32_t target_ms;
  } flows[3];
  uint32_t objective_ms;
} objectives[] = {
  { "the objective is not the smallest one", { { 0, 800 }, { 1, 200 }, { 2, 400 } }, 200 },
  { "a flow without an objective hides those of others", { { 0, 800 }, { 1, 0 }, { 2, 0 } }, 800 },
  { "an objective ends after less than a window", { { 0, 200 }, { 4999, 800 }, { 9998, 800 } }, 200 },
  { "an objective that no flow names any more stays", { { 0, 200 }, { 5000, 800 }, { 10000, 800 } }, 800 },
  { "an objective outlives a time without flows that have it",
    { { 0, 200 }, { 10000, 0 }, { 10001, 0 } },
    0 },
};

static void
test_objectives (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (objectives); i++)
    {
      oh_admission_t admission;

      g_test_message ("%s", objectives[i].name);
      oh_admission_init (&admission);
      oh_admission_restart (&admission, SLOTS, START_US);
      for (unsigned j = 0; j < 3; j++)
        oh_admission_note_target (&admission, objectives[i].flows[j].target_ms,
                                  START_US + objectives[i].flows[j].at_ms * 1000);
      g_assert_cmpuint (admission.target_ms, ==, objectives[i].objective_ms);
      g_assert_cmpint (admission.pace.target_us, ==, (int64_t)objectives[i].objective_ms * 1000);
    }
}

static const struct
{
  const char *name; /* the failure that it guards against */
  uint32_t target_ms;
  bool grown;
  unsigned slots;
  bool warming;
  unsigned limit;
  unsigned reserved;
} reports[] = {
  { "a limit is reported although no flow had an objective", 0, false, 2, false, 0, 0 },
  { "the limit of a start is not reported", TARGET_MS, false, 2, false, 3, 1 },
  { "the grown limit is not reported, or not one position per slot is reserved", TARGET_MS, true, 2, false, 6,
    2 },
  { "a warming upstream reports more than it admits", TARGET_MS, true, 2, true, 4, 2 },
  { "an upstream of one slot reserves its only position", TARGET_MS, false, 1, false, 2, 1 },
};

static void
test_reports (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (reports); i++)
    {
      const oh_admission_work_t work = { .slots = reports[i].slots, .warming = reports[i].warming };
      oh_admission_report_t report;
      oh_admission_t admission;

      g_test_message ("%s", reports[i].name);
      oh_admission_init (&admission);
      oh_admission_restart (&admission, reports[i].slots, START_US);
      if (reports[i].grown)
        grow_limit (&admission, START_US);
      oh_admission_note_target (&admission, reports[i].target_ms, START_US);
      report = oh_admission_report (&admission, &work);
      g_assert_cmpuint (report.limit, ==, reports[i].limit);
      g_assert_cmpuint (report.reserved, ==, reports[i].reserved);
      g_assert_cmpuint (report.service_us, ==, 0);
    }
}

/* Guards against a reservation where the limit leaves no more than one position per slot. */
static void
test_smallest_limit (void)
{
  const oh_admission_work_t work = { .slots = SLOTS };
  oh_admission_t admission;

  oh_admission_init (&admission);
  oh_admission_restart (&admission, SLOTS, START_US);
  oh_admission_note_target (&admission, TARGET_MS, START_US);
  oh_pace_syn_refused (&admission.pace, START_US, START_US + 1);
  g_assert_cmpuint (oh_admission_report (&admission, &work).limit, ==, SLOTS);
  g_assert_cmpuint (oh_admission_report (&admission, &work).reserved, ==, 0);
  g_assert_cmpint (oh_admission_decide (&admission, &work, TARGET_MS, true), ==, ADMITTED);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/admission/decisions", test_decisions);
  g_test_add_func ("/admission/objectives", test_objectives);
  g_test_add_func ("/admission/reports", test_reports);
  g_test_add_func ("/admission/smallest-limit", test_smallest_limit);
  g_test_add_func ("/admission/yielding-after-losses", test_yielding_after_losses);
  return g_test_run ();
}
