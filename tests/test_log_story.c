#include <glib.h>

#include "core/log_story.h"

static const char *const recorded[] = {
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
  "no time at all caller=100.64.0.7:1029",
};

/* Guards against a story that lacks a line, has one of another flow, or is out of order. */
static void
test_stories (void)
{
  static const struct
  {
    oh_story_kind_t kind;
    const char *value;
    const char *story;
  } cases[] = {
    { OH_STORY_FLOW, "100.64.0.7:1029",
      "+ 0.000000 s  front-plv-a-1  level=info module=flow_balancer event=flow_placed caller=100.64.0.7:1029 "
      "route=198.18.0.1:8443 upstream=side-plv-a-1 version=7\n"
      "+ 0.001000 s  side-plv-a-1  level=info module=flow_agent event=first_refused caller=100.64.0.7:1029 "
      "route=198.18.0.1:8443 result=1\n"
      "+ 0.002000 s  front-plv-a-1  level=info module=flow_balancer event=offer_refused "
      "caller=100.64.0.7:1029 "
      "route=198.18.0.1:8443 upstream=side-plv-a-1\n" },
    { OH_STORY_VERSION, "70",
      "+ 0.000000 s  front-plv-a-1  level=info module=control event=publication_received request=4 "
      "number=70\n" },
    { OH_STORY_FLOW, "100.64.0.7:102", "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (unsigned reversed = 0; reversed < 2; reversed++)
      {
        oh_log_story_t story;
        g_autofree char *text = NULL;

        oh_log_story_init (&story, cases[i].kind, cases[i].value);
        for (size_t j = 0; j < G_N_ELEMENTS (recorded); j++)
          oh_log_story_add (&story, recorded[reversed ? G_N_ELEMENTS (recorded) - 1 - j : j]);
        text = oh_log_story_format (&story);
        g_assert_cmpstr (text, ==, cases[i].story);
        oh_log_story_finish (&story);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log-story/stories", test_stories);
  return g_test_run ();
}
