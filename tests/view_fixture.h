#pragma once

#include <glib.h>
#include <string.h>

#include "core/keyring.h"
#include "core/placement_view.h"

/* Placement views for balancer tests, built from a fixed configuration text and a table of upstreams. */

typedef struct
{
  const char *name; /* NULL terminates the table */
  const char *service;
  const char *zone;
  unsigned slots;
  unsigned busy;
  unsigned queued;
  unsigned flows;
  Oh__UpstreamState state;
  bool drained;
} fixture_upstream_t;

enum
{
  FIXTURE_MAX_FLOWS = 100,
  FIXTURE_PORT = 9000, /* of the first agent; each further one adds 1 */
};

#define READY OH__UPSTREAM_STATE__UPSTREAM_READY
#define SUSPECT OH__UPSTREAM_STATE__UPSTREAM_SUSPECT
#define DRAINING OH__UPSTREAM_STATE__UPSTREAM_DRAINING

static const char fixture_text[] = "[oriolehaven]\nname=foundation\n"
                                   "[service kiln-log]\naddress=127.0.0.1:7000\ndepends=\n"
                                   "[service scan-serve]\naddress=127.0.0.1:7001\ndepends=kiln-log\n"
                                   "[service plan-fetch]\naddress=127.0.0.1:7002\ndepends=\n";

/* Incarnation of the upstream at the index in the table. */
static inline uint64_t
fixture_incarnation (unsigned index)
{
  return 1000 + index;
}

/* Builds a view of version 1 with all load sequences 1. Free with oh_placement_view_free. */
static inline oh_placement_view_t *
fixture_view (const fixture_upstream_t *upstreams, bool confirmed)
{
  oh_view_member_t members[16] = { 0 };
  oh_view_t view = { .confirmed = confirmed, .version = 1, .key_generation = 1 };
  oh_error_t error = { .domain = OH_ERROR_NONE };
  oh_placement_view_t *copy;

  g_assert_true (oh_config_parse (&view.config, "test.ini", fixture_text, &error));
  view.members = g_ptr_array_new ();
  for (unsigned i = 0; upstreams[i].name != NULL; i++)
    {
      g_assert_cmpuint (i, <, G_N_ELEMENTS (members));
      members[i] = (oh_view_member_t){
        .name = (char *)upstreams[i].name,
        .service = oh_service_id (upstreams[i].service),
        .zone = (char *)upstreams[i].zone,
        .agent = { .ipv4 = 0x7f000001, .port = (uint16_t)(FIXTURE_PORT + i) },
        .incarnation = fixture_incarnation (i),
        .sequence = 1,
        .slots = upstreams[i].slots,
        .busy = upstreams[i].busy,
        .queued = upstreams[i].queued,
        .flows = upstreams[i].flows,
        .max_flows = FIXTURE_MAX_FLOWS,
        .state = upstreams[i].state,
        .drained = upstreams[i].drained,
      };
      g_ptr_array_add (view.members, &members[i]);
    }
  copy = oh_placement_view_new (&view);
  g_ptr_array_unref (view.members);
  oh_config_finish (&view.config);
  return copy;
}
