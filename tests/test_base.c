#define OH_LOG_MODULE "test"
#include "base/log.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "base/counters.h"
#include "base/decimal.h"
#include "base/list.h"
#include "base/seeded_random.h"
#include "base/settings.h"

typedef struct
{
  char *name;
  int64_t slots;
  oh_address_t listen;
  bool enabled;
  int64_t ratio_milli;
} sample_settings_t;

static const oh_setting_t sample_table[] = {
  { "agent", "name", OH_SETTING_STRING, offsetof (sample_settings_t, name), true, NULL, 0, 0 },
  { "agent", "slots", OH_SETTING_INTEGER, offsetof (sample_settings_t, slots), false, "4", 1, 64 },
  { "agent", "listen", OH_SETTING_ADDRESS, offsetof (sample_settings_t, listen), false, NULL, 0, 0 },
  { "agent", "enabled", OH_SETTING_BOOLEAN, offsetof (sample_settings_t, enabled), false, "false", 0, 0 },
  { "agent", "ratio", OH_SETTING_DECIMAL, offsetof (sample_settings_t, ratio_milli), false, "1.5", 500,
    9000 },
};

/* A mistake in a settings file must be rejected, with a message that names the section, key and value. */
static void
test_settings (void)
{
  static const struct
  {
    const char *text;
    oh_error_code_t code;            /* 0: accepted */
    const char *message_contains[4]; /* NULL-terminated if shorter */
  } cases[] = {
    { "[agent]\nname=a\nslots=8\nlisten=127.0.0.1:70\n", 0, { NULL } },
    { "[agent]\nslots=8\n", OH_ERROR_CODE_MISSING_KEY, { "[agent]", "name" } },
    { "[agent]\nname=a\nslot=8\n", OH_ERROR_CODE_UNKNOWN_KEY, { "[agent]", "slot", "8" } },
    { "[agent]\nname=a\nslots=65\n", OH_ERROR_CODE_BAD_VALUE, { "slots", "65", "1 to 64" } },
    { "[agent]\nname=a\nlisten=127.0.0.1\n",
      OH_ERROR_CODE_BAD_VALUE,
      { "listen", "127.0.0.1", "IPV4:PORT" } },
    { "[agent]\nname=a\nlisten=127.0.0.1:0\n", OH_ERROR_CODE_BAD_VALUE, { "listen" } },
    { "[agent]\nname=a\nenabled=yes\n", OH_ERROR_CODE_BAD_VALUE, { "enabled", "yes" } },
    { "[agent]\nname=a\nratio=0.499\n", OH_ERROR_CODE_BAD_VALUE, { "ratio", "0.499", "0.500 to 9.000" } },
    { "[agent]\nname=a\nratio=9.001\n", OH_ERROR_CODE_BAD_VALUE, { "ratio", "9.001" } },
    { "[agent]\nname=a\nratio=1,5\n", OH_ERROR_CODE_BAD_VALUE, { "ratio", "1,5" } },
    { "[agent\n", OH_ERROR_CODE_MALFORMED, { NULL } },
  };
  g_autofree char *path = g_strdup_printf ("%s/oh-settings-%d.ini", g_get_tmp_dir (), (int)g_random_int ());

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      sample_settings_t settings = { 0 };
      oh_error_t error = { 0 };

      g_assert_true (g_file_set_contents (path, cases[i].text, -1, NULL));
      const bool ok = oh_settings_load (path, sample_table, G_N_ELEMENTS (sample_table), &settings, &error);
      g_assert_cmpint (ok, ==, cases[i].code == 0);
      g_assert_cmpint (error.code, ==, cases[i].code);
      for (size_t j = 0; j < 4 && cases[i].message_contains[j] != NULL; j++)
        g_assert_nonnull (strstr (error.message, cases[i].message_contains[j]));
      oh_settings_clear (sample_table, G_N_ELEMENTS (sample_table), &settings);
    }
  g_unlink (path);
}

/* A limit that is read from a decimal number must not be above that number, and not be another one. */
static void
test_decimals (void)
{
  static const struct
  {
    const char *text;
    int64_t milli; /* -1: refused */
    unsigned places;
  } cases[] = {
    { "0", 0, 0 },      { "5", 5000, 0 },     { "1.5", 1500, 1 },
    { "5.0", 5000, 1 }, { "0.001", 1, 3 },    { "1.9999", 1999, 4 },
    { "9", 9000, 0 },   { "9.000", 9000, 3 }, { "9.0001", 9000, 4 },
    { "9.001", -1, 0 }, { "10", -1, 0 },      { "", -1, 0 },
    { ".5", -1, 0 },    { "5.", -1, 0 },      { "-1", -1, 0 },
    { "+1", -1, 0 },    { "1e0", -1, 0 },     { " 1", -1, 0 },
    { "1 ", -1, 0 },    { "1.5.0", -1, 0 },   { "99999999999999999999999", -1, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t milli = -1;
      unsigned places = 0;

      g_assert_cmpint (oh_decimal_parse (cases[i].text, 9000, &milli, &places), ==, cases[i].milli >= 0);
      g_assert_cmpint (milli, ==, cases[i].milli);
      g_assert_cmpuint (places, ==, cases[i].places);
    }
}

/* A removed link must not be reachable any more, and removing it twice must be harmless. */
static void
test_list (void)
{
  oh_list_t head;
  oh_list_t links[3];
  unsigned count = 0;

  oh_list_init (&head);
  for (size_t i = 0; i < 3; i++)
    oh_list_append (&head, &links[i]);
  oh_list_remove (&links[1]);
  oh_list_remove (&links[1]);
  oh_list_foreach (&head, link)
    count++;
  g_assert_cmpuint (count, ==, 2);
  oh_list_foreach_safe (&head, link, following)
    oh_list_remove (link);
  g_assert_true (oh_list_is_empty (&head));
}

/* The same seed must give the same values, so that a failed test run can be repeated. */
static void
test_seeded_random (void)
{
  oh_seeded_random_t a;
  oh_seeded_random_t b;

  oh_seeded_random_init (&a, 7);
  oh_seeded_random_init (&b, 7);
  for (unsigned i = 0; i < 10; i++)
    g_assert_cmpuint (oh_random_u64 (&a.base), ==, oh_random_u64 (&b.base));
  oh_seeded_random_finish (&a);
  oh_seeded_random_finish (&b);
}

static void
test_counters (void)
{
  oh_counters_t counters;
  oh_counter_t packets;
  g_autofree char *text = NULL;

  oh_counters_init (&counters);
  oh_counters_add (&counters, &packets, "packets");
  oh_counter_add (&packets, 3);
  oh_counter_increment (&packets);
  text = oh_counters_format (&counters);
  g_assert_cmpstr (text, ==, "packets 4\n");
  oh_counters_finish (&counters);
}

/* Metrics must follow the Prometheus text format, or collectors cannot read them. */
static void
test_metrics (void)
{
  static const char expected[] = "# HELP oriolehaven_packets_total Packets received\n"
                                 "# TYPE oriolehaven_packets_total counter\n"
                                 "oriolehaven_packets_total 4\n"
                                 "# HELP oriolehaven_flows flows\n"
                                 "# TYPE oriolehaven_flows gauge\n"
                                 "oriolehaven_flows 2\n"
                                 "# HELP oriolehaven_wait_seconds Waits\n"
                                 "# TYPE oriolehaven_wait_seconds histogram\n"
                                 "oriolehaven_wait_seconds_bucket{le=\"0.0001\"} 1\n";
  oh_counters_t counters;
  oh_counter_t packets;
  oh_counter_t flows;
  oh_counter_t latency;
  oh_histogram_t wait;
  g_autofree char *text = NULL;

  oh_counters_init (&counters);
  oh_counters_add_with_help (&counters, &packets, "packets_total", "Packets received");
  oh_counters_add (&counters, &flows, "flows");
  oh_counters_add_histogram (&counters, &latency, &wait, "wait_seconds", "Waits");
  oh_counter_add (&packets, 4);
  oh_counter_set (&flows, 2);
  oh_histogram_observe (&wait, 50);
  oh_histogram_observe (&wait, 3000);
  oh_histogram_observe (&wait, INT64_MAX / 2);
  text = oh_counters_format_prometheus (&counters);
  g_assert_true (g_str_has_prefix (text, expected));
  g_assert_nonnull (strstr (text, "oriolehaven_wait_seconds_bucket{le=\"0.005\"} 2\n"));
  g_assert_nonnull (strstr (text, "oriolehaven_wait_seconds_bucket{le=\"+Inf\"} 3\n"));
  g_assert_nonnull (strstr (text, "oriolehaven_wait_seconds_count 3\n"));
  oh_counters_finish (&counters);
}

static char *
read_all (int fd)
{
  GString *text = g_string_new (NULL);
  char buffer[4096];
  ssize_t length;

  while ((length = read (fd, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, length);
  return g_string_free (text, FALSE);
}

static unsigned
count_occurrences (const char *text, const char *pattern)
{
  unsigned count = 0;

  for (const char *match = strstr (text, pattern); match != NULL; match = strstr (match + 1, pattern))
    count++;
  return count;
}

/* A frequent event must be logged at a limited rate, the number of suppressed lines must be logged, and other
 * events must not be affected. */
static void
test_log_limit (void)
{
  int pipe_fds[2];
  g_autofree char *text = NULL;

  g_assert_cmpint (pipe (pipe_fds), ==, 0);
  oh_log_start (OH_LOG_INFO, pipe_fds[1]);
  for (unsigned i = 0; i < 500; i++)
    oh_log_limited ("test", OH_LOG_INFO, "frequent", "i=%u", i);
  g_usleep (30000); /* refills three tokens */
  oh_log_limited ("test", OH_LOG_INFO, "frequent", "i=last");
  oh_log_event ("test", OH_LOG_INFO, "rare", "i=0");
  oh_log_stop ();
  close (pipe_fds[1]);
  text = read_all (pipe_fds[0]);
  close (pipe_fds[0]);
  g_assert_cmpuint (count_occurrences (text, "event=frequent"), >=, 200);
  g_assert_cmpuint (count_occurrences (text, "event=frequent"), <, 300);
  g_assert_cmpuint (count_occurrences (text, "event=lines_suppressed of=frequent count="), >=, 1);
  g_assert_cmpuint (count_occurrences (text, "event=rare"), ==, 1);
}

/* A process must not block or die if the reader of its log stalls or closes the pipe. */
static void
test_log_unread (void)
{
  for (unsigned reader_closed = 0; reader_closed < 2; reader_closed++)
    {
      const int64_t started_us = g_get_monotonic_time ();
      int pipe_fds[2];

      g_assert_cmpint (pipe (pipe_fds), ==, 0);
      oh_log_start (OH_LOG_INFO, pipe_fds[1]);
      if (reader_closed)
        close (pipe_fds[0]);
      for (unsigned i = 0; i < 20000; i++)
        oh_log_event ("test", OH_LOG_INFO, "event", "i=%u padding=0123456789012345678901234567890123456789",
                      i);
      g_assert_cmpint (g_get_monotonic_time () - started_us, <, 2 * G_USEC_PER_SEC);
      oh_log_stop ();
      g_assert_cmpint (g_get_monotonic_time () - started_us, <, 4 * G_USEC_PER_SEC);
      g_assert_cmpuint (oh_log_dropped (), >, 0);
      if (!reader_closed)
        close (pipe_fds[0]);
      close (pipe_fds[1]);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/base/settings", test_settings);
  g_test_add_func ("/base/decimals", test_decimals);
  g_test_add_func ("/base/list", test_list);
  g_test_add_func ("/base/seeded-random", test_seeded_random);
  g_test_add_func ("/base/counters", test_counters);
  g_test_add_func ("/base/metrics", test_metrics);
  g_test_add_func ("/base/log-limit", test_log_limit);
  g_test_add_func ("/base/log-unread", test_log_unread);
  return g_test_run ();
}
