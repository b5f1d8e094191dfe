#include <glib.h>
#include <string.h>

#include "core/keyring.h"
#include "core/stop_order.h"

/* plan-fetch depends on meter-stream through gateway. */
static const char text[] = "[oriolehaven]\nname=shire\n"
                           "[service meter-stream]\naddress=127.0.0.1:7000\n"
                           "[service gateway]\naddress=127.0.0.1:7001\ndepends=meter-stream\n"
                           "[service plan-fetch]\naddress=127.0.0.1:7002\ndepends=gateway\n";

static const char *const upstreams[][2] = {
  { "meter-1", "meter-stream" },
  { "meter-2", "meter-stream" },
  { "plan-1", "plan-fetch" },
};

/* Guards against a drain that stops a dependency of a service that still accepts work, and against refusing
 * other drains. */
static void
test_stop_order (void)
{
  static const struct
  {
    const char *drained[3]; /* by operators */
    const char *draining;   /* reports UPSTREAM_DRAINING */
    const char *upstream;
    const char *dependant; /* NULL: the drain is allowed */
    const char *zone;      /* drained by operators; upstream i is in zone i */
  } cases[] = {
    { { NULL }, NULL, "meter-1", NULL, NULL },
    { { "meter-2" }, NULL, "meter-1", "plan-fetch", NULL },
    { { NULL }, "meter-2", "meter-1", "plan-fetch", NULL },
    { { "meter-2", "plan-1" }, NULL, "meter-1", NULL, NULL },
    { { "meter-2" }, NULL, "plan-1", NULL, NULL },
    { { "meter-2" }, NULL, "not-announced", NULL, NULL },
    { { NULL }, NULL, "meter-1", "plan-fetch", "zone-1" },
    { { NULL }, NULL, "meter-1", NULL, "zone-0" },
    { { "meter-2" }, NULL, "meter-1", NULL, "zone-2" },
  };
  oh_config_t config;

  g_assert_true (oh_config_parse (&config, "services.ini", text, NULL));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Oh__StatusReply status = OH__STATUS_REPLY__INIT;
      Oh__Member members[G_N_ELEMENTS (upstreams)];
      Oh__Load loads[G_N_ELEMENTS (upstreams)];
      Oh__Member *list[G_N_ELEMENTS (upstreams)];
      char zones[G_N_ELEMENTS (upstreams)][8];
      const char *dependant = NULL;

      for (size_t j = 0; j < G_N_ELEMENTS (upstreams); j++)
        {
          oh__member__init (&members[j]);
          oh__load__init (&loads[j]);
          loads[j].upstream = (char *)upstreams[j][0];
          loads[j].service = oh_service_id (upstreams[j][1]);
          if (g_strcmp0 (cases[i].draining, upstreams[j][0]) == 0)
            loads[j].state = OH__UPSTREAM_STATE__UPSTREAM_DRAINING;
          members[j].load = &loads[j];
          g_snprintf (zones[j], sizeof zones[j], "zone-%zu", j);
          members[j].zone = zones[j];
          list[j] = &members[j];
        }
      status.n_members = G_N_ELEMENTS (upstreams);
      status.members = list;
      while (status.n_drained < 3 && cases[i].drained[status.n_drained] != NULL)
        status.n_drained++;
      status.drained = (char **)cases[i].drained;
      status.n_drained_zones = cases[i].zone != NULL;
      status.drained_zones = (char **)&cases[i].zone;
      g_assert_cmpint (oh_stop_order_allows (&config, &status, cases[i].upstream, &dependant), ==,
                       cases[i].dependant == NULL);
      g_assert_cmpstr (dependant, ==, cases[i].dependant);
    }
  oh_config_finish (&config);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/stop-order/table", test_stop_order);
  return g_test_run ();
}
