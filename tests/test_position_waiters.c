#define OH_LOG_MODULE "test"

#include "core/position_waiters.h"

#include <glib.h>

enum
{
  STEPS_MAX = 12,
  NONE = -1,
};

typedef enum
{
  STEP_END,
  STEP_REFUSE,  /* a: balancer, b: whether its flow yields */
  STEP_OFFERED, /* an offer arrives */
  STEP_WAIT,    /* a: ms */
  EXPECT_TAKEN, /* a: balancer that is notified, or NONE; b: free positions, c: reserved ones */
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  int a;
  int b;
  int c;
} step_t;

static const struct
{
  const char *guards;
  step_t steps[STEPS_MAX];
} cases[] = {
  { "a balancer that was refused is not told of a free position, or told twice",
    { { STEP_REFUSE, 1, 0, 0 },
      { STEP_REFUSE, 1, 0, 0 },
      { EXPECT_TAKEN, NONE, 0, 0 },
      { EXPECT_TAKEN, 1, 1, 0 },
      { EXPECT_TAKEN, NONE, 4, 0 } } },
  { "all balancers are notified of the same position",
    { { STEP_REFUSE, 1, 0, 0 },
      { STEP_REFUSE, 2, 0, 0 },
      { EXPECT_TAKEN, 1, 1, 0 },
      { EXPECT_TAKEN, NONE, 1, 0 },
      { STEP_OFFERED, 0, 0, 0 },
      { EXPECT_TAKEN, 2, 1, 0 } } },
  { "a position stays taken by a notified balancer that sends no offer",
    { { STEP_REFUSE, 1, 0, 0 },
      { STEP_REFUSE, 2, 0, 0 },
      { EXPECT_TAKEN, 1, 1, 0 },
      { STEP_WAIT, OH_POSITION_OFFER_TIMEOUT_MS + 1, 0, 0 },
      { EXPECT_TAKEN, 2, 1, 0 } } },
  { "a reserved position is offered to a flow that yields, or the others wait behind it",
    { { STEP_REFUSE, 1, 1, 0 },
      { EXPECT_TAKEN, NONE, 2, 2 },
      { STEP_REFUSE, 2, 0, 0 },
      { EXPECT_TAKEN, 2, 2, 2 },
      { STEP_OFFERED, 0, 0, 0 },
      { EXPECT_TAKEN, 1, 3, 2 } } },
  { "a balancer is told long after its flow has gone",
    { { STEP_REFUSE, 1, 0, 0 },
      { STEP_WAIT, OH_POSITION_WAITER_TIMEOUT_MS + 1, 0, 0 },
      { EXPECT_TAKEN, NONE, 1, 0 } } },
};

static oh_address_t
balancer_address (int balancer)
{
  return (oh_address_t){ .ipv4 = 0x0a000000U + (uint32_t)balancer, .port = 7735 };
}

static void
test_cases (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      oh_position_waiters_t waiters;
      int64_t now_us = G_USEC_PER_SEC;

      g_test_message ("%s", cases[i].guards);
      oh_position_waiters_init (&waiters);
      for (const step_t *step = cases[i].steps; step->kind != STEP_END; step++)
        {
          oh_address_t balancer = { 0 };
          bool taken;

          switch (step->kind)
            {
            case STEP_END:
              break;
            case STEP_REFUSE:
              oh_position_waiters_add (&waiters, balancer_address (step->a), step->b != 0, now_us);
              break;
            case STEP_OFFERED:
              oh_position_waiters_offered (&waiters);
              break;
            case STEP_WAIT:
              now_us += (int64_t)step->a * 1000;
              break;
            case EXPECT_TAKEN:
              taken = oh_position_waiters_take (&waiters, (unsigned)step->b, (unsigned)step->c, now_us,
                                                &balancer);
              g_assert_cmpint (taken, ==, step->a != NONE);
              if (taken)
                g_assert_true (oh_address_equal (balancer, balancer_address (step->a)));
              break;
            }
        }
    }
}

static void
test_bounded (void)
{
  oh_position_waiters_t waiters;
  oh_address_t balancer;
  unsigned n = 0;

  oh_position_waiters_init (&waiters);
  for (int i = 0; i < OH_POSITION_WAITERS_MAX * 2; i++)
    oh_position_waiters_add (&waiters, balancer_address (i), false, 0);
  while (oh_position_waiters_take (&waiters, 1000, 0, 0, &balancer))
    g_assert_true (oh_address_equal (balancer, balancer_address ((int)n++)));
  g_assert_cmpuint (n, ==, OH_POSITION_WAITERS_MAX);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/position-waiters/cases", test_cases);
  g_test_add_func ("/position-waiters/bounded", test_bounded);
  return g_test_run ();
}
