#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/seeded_random.h"
#include "core/request_queue.h"

/*
 * Queueing delay of commands (priority class 0) that compete with readings (class 1) for the 4 slots of an
 * upstream, in virtual time. The same arrivals are run under three policies: the priority classes of the
 * request queue, first in first out, and plain earliest deadline first. The latter two use the same queue
 * with a single class, and first in first out leaves out the deadlines.
 *
 * Readings arrive at 1.2 times the capacity, so slots and queue are always full. The bound of a command's
 * delay is the delay under earliest deadline first, the baseline that the request queue must not exceed. The
 * share of readings served in time may fall by the reserved slot, one in four.
 */

enum
{
  SLOTS = 4,
  QUEUE_LIMIT = 8 * SLOTS,
  SERVICE_MEAN_US = 20000,
  READING_DEADLINE_US = 1000000,
  COMMAND_DEADLINE_US = 2000000,
  COMMANDS_PER_S = 5,
  READINGS_PER_S = 12 * SLOTS * 5, /* 1.2 * SLOTS / SERVICE_MEAN_US */
  COMMANDS = 50000,
};

typedef enum
{
  POLICY_CLASSES,
  POLICY_FIFO,
  POLICY_EDF,
  N_POLICIES,
} policy_t;

typedef struct
{
  oh_queue_item_t item;
  bool command;
  int64_t arrival_us;
  int64_t deadline_us;
} job_t;

typedef struct
{
  int64_t end_us[SLOTS];   /* INT64_MAX: free */
  bool lower_class[SLOTS]; /* occupied by a job of a class other than 0 */
  unsigned busy;
  unsigned busy_lower_classes;
} slots_t;

typedef struct
{
  GArray *delays; /* of double, ms from arrival to start, of commands */
  unsigned commands_refused;
  unsigned readings;
  unsigned readings_in_time; /* started before their deadline */
} outcome_t;

static int64_t
exponential (oh_random_t *random, double mean_us)
{
  const double uniform = (double)(oh_random_u64 (random) >> 11) * 0x1p-53;

  return (int64_t)(-log1p (-uniform) * mean_us) + 1;
}

/* Sets the class and the deadline by which the queue orders the job. */
static void
apply_policy (policy_t policy, job_t *job)
{
  job->item.priority_class = policy == POLICY_CLASSES ? (job->command ? 0 : 1) : 0;
  job->item.deadline_us = policy == POLICY_FIFO ? INT64_MAX : job->deadline_us;
}

static void
refuse_job (outcome_t *outcome, job_t *job)
{
  if (job->command)
    outcome->commands_refused++;
  g_free (job);
}

/* Occupies a free slot, of which there must be one, and frees the job. */
static void
start_job (slots_t *slots, outcome_t *outcome, job_t *job, int64_t now_us, oh_random_t *random)
{
  unsigned slot = 0;

  while (slots->end_us[slot] != INT64_MAX)
    slot++;
  slots->end_us[slot] = now_us + exponential (random, SERVICE_MEAN_US);
  slots->lower_class[slot] = job->item.priority_class > 0;
  slots->busy++;
  slots->busy_lower_classes += slots->lower_class[slot];
  if (job->command)
    {
      const double delay_ms = (double)(now_us - job->arrival_us) / 1000;

      g_array_append_val (outcome->delays, delay_ms);
    }
  else
    outcome->readings_in_time += now_us <= job->deadline_us;
  g_free (job);
}

/* Refuses expired requests, then fills free slots, in the same order as the agent. */
static void
fill_slots (oh_request_queue_t *queue, slots_t *slots, outcome_t *outcome, int64_t now_us,
            oh_random_t *random)
{
  oh_queue_item_t *item;

  while ((item = oh_request_queue_expired (queue, now_us)) != NULL)
    {
      oh_request_queue_remove (queue, item);
      refuse_job (outcome, oh_list_entry (&item->link, job_t, item.link));
    }
  while ((item = oh_request_queue_pop (queue, SLOTS, slots->busy, slots->busy_lower_classes)) != NULL)
    start_job (slots, outcome, oh_list_entry (&item->link, job_t, item.link), now_us, random);
}

static void
admit_job (oh_request_queue_t *queue, outcome_t *outcome, job_t *job)
{
  if (queue->length >= QUEUE_LIMIT)
    {
      oh_queue_item_t *victim = oh_request_queue_find_victim (queue, job->item.priority_class);

      if (victim == NULL)
        {
          refuse_job (outcome, job);
          return;
        }
      oh_request_queue_remove (queue, victim);
      refuse_job (outcome, oh_list_entry (&victim->link, job_t, item.link));
    }
  oh_request_queue_push (queue, &job->item);
}

/* Returns the slot that becomes free first; its end is INT64_MAX if all slots are free. */
static unsigned
next_slot_to_finish (const slots_t *slots)
{
  unsigned first = 0;

  for (unsigned i = 1; i < SLOTS; i++)
    if (slots->end_us[i] < slots->end_us[first])
      first = i;
  return first;
}

static void
simulate (policy_t policy, outcome_t *outcome)
{
  oh_seeded_random_t arrivals;
  oh_seeded_random_t service_times;
  oh_request_queue_t queue;
  slots_t slots = { .busy = 0 };
  unsigned commands = 0;
  int64_t command_us;
  int64_t reading_us;

  oh_seeded_random_init (&arrivals, 1);
  oh_seeded_random_init (&service_times, 2);
  oh_request_queue_init (&queue);
  for (unsigned i = 0; i < SLOTS; i++)
    slots.end_us[i] = INT64_MAX;
  command_us = exponential (&arrivals.base, 1e6 / COMMANDS_PER_S);
  reading_us = exponential (&arrivals.base, 1e6 / READINGS_PER_S);
  while (commands < COMMANDS)
    {
      const unsigned slot = next_slot_to_finish (&slots);
      const int64_t arrival_us = MIN (command_us, reading_us);
      const int64_t now_us = MIN (arrival_us, slots.end_us[slot]);

      if (slots.end_us[slot] <= arrival_us)
        {
          slots.end_us[slot] = INT64_MAX;
          slots.busy--;
          slots.busy_lower_classes -= slots.lower_class[slot];
        }
      else
        {
          job_t *job = g_new0 (job_t, 1);

          job->command = command_us <= reading_us;
          job->arrival_us = now_us;
          job->deadline_us = now_us + (job->command ? COMMAND_DEADLINE_US : READING_DEADLINE_US);
          if (job->command)
            {
              commands++;
              command_us += exponential (&arrivals.base, 1e6 / COMMANDS_PER_S);
            }
          else
            {
              outcome->readings++;
              reading_us += exponential (&arrivals.base, 1e6 / READINGS_PER_S);
            }
          apply_policy (policy, job);
          admit_job (&queue, outcome, job);
        }
      fill_slots (&queue, &slots, outcome, now_us, &service_times.base);
    }
  for (unsigned i = 0; i < OH_QUEUE_CLASSES; i++)
    oh_list_foreach_safe (&queue.classes[i], link, following)
      g_free (oh_list_entry (link, job_t, item.link));
  oh_seeded_random_finish (&arrivals);
  oh_seeded_random_finish (&service_times);
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  const double x = *(const double *)a;
  const double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
percentile (const outcome_t *outcome, double fraction)
{
  const GArray *delays = outcome->delays;

  return g_array_index (delays, double, (guint)((delays->len - 1) * fraction));
}

/* Returns false if the value is above (or, where more is better, below) the bound. */
static bool
print_measure (const char *name, const char *unit, double value, double edf, double fifo, double bound,
               bool more_is_better)
{
  const bool pass = more_is_better ? value >= bound : value <= bound;

  printf ("measure=%s value=%.3f unit=%s baseline=%.3f fifo=%.3f limit=%.3f bound=%.3f verdict=%s\n", name,
          value, unit, edf, fifo, more_is_better ? 1.0 : 0.0, bound, pass ? "pass" : "FAIL");
  return pass;
}

int
main (void)
{
  static const struct
  {
    const char *name;
    double fraction;
  } percentiles[]
    = { { "command_delay_p50", 0.5 }, { "command_delay_p99", 0.99 }, { "command_delay_p999", 0.999 } };
  outcome_t outcomes[N_POLICIES] = { 0 };
  double refused[N_POLICIES];
  double in_time[N_POLICIES];
  bool pass = true;

  for (policy_t policy = POLICY_CLASSES; policy < N_POLICIES; policy++)
    {
      outcome_t *outcome = &outcomes[policy];

      outcome->delays = g_array_new (FALSE, FALSE, sizeof (double));
      simulate (policy, outcome);
      g_array_sort (outcome->delays, compare_doubles);
      refused[policy] = (double)outcome->commands_refused / COMMANDS;
      in_time[policy] = (double)outcome->readings_in_time / outcome->readings;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (percentiles); i++)
    {
      const double edf = percentile (&outcomes[POLICY_EDF], percentiles[i].fraction);

      pass &= print_measure (percentiles[i].name, "ms",
                             percentile (&outcomes[POLICY_CLASSES], percentiles[i].fraction), edf,
                             percentile (&outcomes[POLICY_FIFO], percentiles[i].fraction), edf, false);
    }
  pass &= print_measure ("command_refused", "share", refused[POLICY_CLASSES], refused[POLICY_EDF],
                         refused[POLICY_FIFO], refused[POLICY_EDF], false);
  /* One slot in four is reserved for commands, so readings keep three quarters of the capacity. */
  pass &= print_measure ("readings_in_time", "share", in_time[POLICY_CLASSES], in_time[POLICY_EDF],
                         in_time[POLICY_FIFO], 0.75 * in_time[POLICY_EDF], true);
  for (policy_t policy = POLICY_CLASSES; policy < N_POLICIES; policy++)
    g_array_unref (outcomes[policy].delays);
  return pass ? 0 : 1;
}
