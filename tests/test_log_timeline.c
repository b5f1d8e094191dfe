#include <glib.h>

#include "core/log_timeline.h"

static const char *const log_lines[] = {
  "front-plv-a-1 time=10.000500 level=info module=flow_balancer event=flow_placed caller=100.64.0.7:1029 "
  "route=198.18.0.1:8443 upstream=side-plv-a-1 version=7",
  "side-plv-a-1 time=10.001500 level=info module=flow_agent event=first_refused caller=100.64.0.7:1029 "
  "route=198.18.0.1:8443 result=1",
  "front-plv-a-1 time=10.002500 level=info module=flow_balancer event=offer_refused caller=100.64.0.7:1029 "
  "route=198.18.0.1:8443 upstream=side-plv-a-1",
  "front-plv-a-1 time=10.000600 level=info module=flow_balancer event=flow_placed caller=100.64.0.7:10290 "
  "route=198.18.0.1:8443 upstream=side-plv-a-1 version=7",
  "front-plv-a-1 time=9.000000 level=info module=view_client event=version_in_effect version=7 confirmed=1",
  "front-plv-a-1 time=9.100000 level=info module=control event=publication_received request=4 number=70",
  "no time key caller=100.64.0.7:1029",
};

/* Guards against a timeline that lacks a line, contains one of another flow, or is out of order. */
static void
test_timelines (void)
{
  static const struct
  {
    oh_timeline_kind_t kind;
    const char *value;
    const char *expected;
  } cases[] = {
    { OH_TIMELINE_FLOW, "100.64.0.7:1029",
      "+ 0.000000 s  front-plv-a-1  level=info module=flow_balancer event=flow_placed caller=100.64.0.7:1029 "
      "route=198.18.0.1:8443 upstream=side-plv-a-1 version=7\n"
      "+ 0.001000 s  side-plv-a-1  level=info module=flow_agent event=first_refused caller=100.64.0.7:1029 "
      "route=198.18.0.1:8443 result=1\n"
      "+ 0.002000 s  front-plv-a-1  level=info module=flow_balancer event=offer_refused "
      "caller=100.64.0.7:1029 "
      "route=198.18.0.1:8443 upstream=side-plv-a-1\n" },
    { OH_TIMELINE_VERSION, "70",
      "+ 0.000000 s  front-plv-a-1  level=info module=control event=publication_received request=4 "
      "number=70\n" },
    { OH_TIMELINE_FLOW, "100.64.0.7:102", "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (unsigned reversed = 0; reversed < 2; reversed++)
      {
        oh_log_timeline_t timeline;
        g_autofree char *text = NULL;

        oh_log_timeline_init (&timeline, cases[i].kind, cases[i].value);
        for (size_t j = 0; j < G_N_ELEMENTS (log_lines); j++)
          oh_log_timeline_add (&timeline, log_lines[reversed ? G_N_ELEMENTS (log_lines) - 1 - j : j]);
        text = oh_log_timeline_format (&timeline);
        g_assert_cmpstr (text, ==, cases[i].expected);
        oh_log_timeline_finish (&timeline);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log-timeline/timelines", test_timelines);
  return g_test_run ();
}
