#define OH_LOG_MODULE "test"

#include "core/request_wait.h"

#include <glib.h>

enum
{
  REQUESTS = 40,
};

/* Each case observes the two times by turns. */
static const struct
{
  const char *guards;
  int64_t first_ms;
  int64_t second_ms;
  int64_t least_ms; /* bounds of the wait that follows */
  int64_t most_ms;
} cases[] = {
  { "callers that answer at once hold a position for long when they have gone", 3, 3, 20, 20 },
  { "requests that come regularly are not expected any more before they come", 60, 60, 60, 70 },
  { "a caller that is slower than others counts as gone", 5, 80, 80, 260 },
  { "a time beyond the greatest wait makes the wait longer than that", 5000, 5000, 300, 300 },
};

static void
test_cases (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      oh_request_wait_t wait;

      g_test_message ("%s", cases[i].guards);
      oh_request_wait_init (&wait);
      g_assert_cmpint (oh_request_wait_us (&wait), ==, (int64_t)OH_REQUEST_WAIT_INITIAL_MS * 1000);
      for (unsigned n = 0; n < REQUESTS; n++)
        oh_request_wait_observe (&wait, (n % 2 == 0 ? cases[i].first_ms : cases[i].second_ms) * 1000);
      g_assert_cmpint (oh_request_wait_us (&wait), >=, cases[i].least_ms * 1000);
      g_assert_cmpint (oh_request_wait_us (&wait), <=, cases[i].most_ms * 1000);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/request-wait/cases", test_cases);
  return g_test_run ();
}
