#include <glib.h>

#include "core/replica_poll.h"

/* Tests of when a node without a confirmed view polls a control replica. */

enum
{
  MS = 1000,
  SECOND = G_USEC_PER_SEC,
  TICK_US = 50 * MS,
};

typedef struct
{
  const char *name;
  bool confirmed;
  size_t n_nodes;
  int64_t answer_us; /* delay of the answers; 0: none */
  unsigned first_second;
  unsigned first_minute;
} rate_case_t;

/* The regular polls of a node count as well: one a second. Beside them there are 10 fast polls, and 3 at
 * doubling intervals. */
static const rate_case_t rate_cases[] = {
  { "confirmed", true, 30, 2 * MS, 1, 60 },         { "small", false, 30, 2 * MS, 10, 60 + 13 },
  { "large", false, 300, 2 * MS, 2, 60 + 13 },      { "huge", false, 3700, 2 * MS, 1, 60 },
  { "slow-link", false, 30, 300 * MS, 4, 60 + 13 }, { "no-answer", false, 30, 0, 3, 60 + 13 },
};

typedef struct
{
  oh_replica_poll_t poll;
  int64_t now_us;
  int64_t answer_due_us; /* 0: no poll waits for its answer */
} node_t;

static unsigned
run_node (node_t *node, const rate_case_t *c, int64_t duration_us)
{
  const int64_t end_us = node->now_us + duration_us;
  unsigned sent = 0;

  for (; node->now_us < end_us; node->now_us += TICK_US)
    {
      if (node->answer_due_us != 0 && node->answer_due_us <= node->now_us)
        {
          oh_replica_poll_answered (&node->poll, node->now_us);
          node->answer_due_us = 0;
        }
      if (node->now_us % SECOND != 0
          && !oh_replica_poll_is_due (&node->poll, c->confirmed, c->n_nodes, node->now_us))
        continue;
      oh_replica_poll_sent (&node->poll, node->now_us);
      sent++;
      if (c->answer_us != 0 && node->answer_due_us == 0)
        node->answer_due_us = node->now_us + c->answer_us;
    }
  return sent;
}

/* Guards against nodes that fill the links of the replicas with polls: many that start at once, one behind a
 * slow link, one that no replica answers, and one that stays unconfirmed for long. */
static void
test_rate (gconstpointer data)
{
  const rate_case_t *c = data;
  node_t node = { .now_us = 10 * SECOND };
  const unsigned first = run_node (&node, c, SECOND);
  const unsigned rest = run_node (&node, c, 59 * SECOND);

  g_test_message ("%u polls in the first second, %u in the first minute", first, first + rest);
  g_assert_cmpuint (first, ==, c->first_second);
  g_assert_cmpuint (first + rest, <=, c->first_minute);
}

/* Guards against a node that learns late of a replica that comes back after all were away for long. */
static void
test_found_again (void)
{
  const rate_case_t silent = { .n_nodes = 30 };
  const rate_case_t answering = { .n_nodes = 30, .answer_us = 2 * MS };
  node_t node = { .now_us = 10 * SECOND };

  run_node (&node, &answering, 10 * SECOND);
  g_assert_cmpuint (run_node (&node, &answering, SECOND), ==, 1);
  run_node (&node, &silent, 10 * SECOND);
  g_assert_cmpuint (run_node (&node, &answering, SECOND), ==, 10);
}

typedef struct
{
  const char *name;
  bool view_confirmed;
  bool message_confirmed;
  size_t n_listed;
  size_t n_polled;
  oh_replica_list_use_t expected;
} list_case_t;

static const list_case_t list_cases[] = {
  { "confirmed", false, true, 3, 3, OH_REPLICA_LIST_IN_FORCE },
  { "confirmed-later", true, true, 3, 30, OH_REPLICA_LIST_IN_FORCE },
  { "empty", false, true, 0, 3, OH_REPLICA_LIST_IGNORED },
  { "unconfirmed", false, false, 3, 3, OH_REPLICA_LIST_ADDED },
  { "unconfirmed-later", true, false, 3, 3, OH_REPLICA_LIST_IGNORED },
  { "unconfirmed-many", false, false, 3, OH_REPLICA_POLL_LEARNED_MAX, OH_REPLICA_LIST_IGNORED },
};

/* Guards against nodes that follow an outdated list of replicas, and against those that ignore the only list
 * that there is. */
static void
test_list_use (gconstpointer data)
{
  const list_case_t *c = data;

  g_assert_cmpint (
    oh_replica_poll_list_use (c->view_confirmed, c->message_confirmed, c->n_listed, c->n_polled), ==,
    c->expected);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (rate_cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/replica-poll/rate/%s", rate_cases[i].name);

      g_test_add_data_func (path, &rate_cases[i], test_rate);
    }
  g_test_add_func ("/replica-poll/found-again", test_found_again);
  for (unsigned i = 0; i < G_N_ELEMENTS (list_cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/replica-poll/list-use/%s", list_cases[i].name);

      g_test_add_data_func (path, &list_cases[i], test_list_use);
    }
  return g_test_run ();
}
