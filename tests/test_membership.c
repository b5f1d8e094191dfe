#include <glib.h>

#include "core/membership.h"

enum
{
  SECOND = G_USEC_PER_SEC,
  EPOCH = 77,
};

typedef struct
{
  Oh__Poll poll;
  Oh__Member member;
  Oh__Load load;
  Oh__Address address;
} announcement_t;

static const Oh__Poll *
agent_poll (announcement_t *a, const char *name, uint64_t incarnation)
{
  *a = (announcement_t){
    .poll = OH__POLL__INIT, .member = OH__MEMBER__INIT, .load = OH__LOAD__INIT, .address = OH__ADDRESS__INIT
  };
  a->address.port = 1;
  a->load.upstream = (char *)name;
  a->load.incarnation = incarnation;
  a->load.agent = &a->address;
  a->member.load = &a->load;
  a->poll.name = (char *)name;
  a->poll.role = OH__NODE_ROLE__NODE_AGENT;
  a->poll.member = &a->member;
  return &a->poll;
}

static const Oh__Poll *
balancer_poll (announcement_t *a, const char *name)
{
  *a = (announcement_t){ .poll = OH__POLL__INIT, .address = OH__ADDRESS__INIT };
  a->address.port = 1;
  a->poll.name = (char *)name;
  a->poll.role = OH__NODE_ROLE__NODE_BALANCER;
  a->poll.relay = &a->address;
  return &a->poll;
}

/* Compares the numbers of members, balancers and removals after the cursor. */
static void
check_view (const oh_membership_t *membership, uint64_t epoch, uint64_t sequence, int64_t now_us,
            bool snapshot, unsigned members, unsigned balancers, unsigned removed)
{
  Oh__View view = OH__VIEW__INIT;

  oh_membership_fill_view (membership, epoch, sequence, now_us, &view);
  g_assert_cmpint (view.snapshot, ==, snapshot);
  g_assert_cmpuint (view.n_members, ==, members);
  g_assert_cmpuint (view.n_balancers, ==, balancers);
  g_assert_cmpuint (view.n_removed_members + view.n_removed_balancers, ==, removed);
  oh_membership_clear_view (&view);
}

/* Guards against leases that end early, or that outlive a node which is gone or leaves. */
static void
test_leases (void)
{
  g_autoptr (GBytes) route = g_bytes_new_static ("r1", 2);
  g_autoptr (GBytes) other_route = g_bytes_new_static ("r2", 2);
  oh_membership_t membership;
  announcement_t a;
  int64_t now_us = 10 * SECOND;

  oh_membership_init (&membership, EPOCH, 0);
  oh_membership_expire (&membership, now_us);
  g_assert_true (oh_membership_announce (&membership, agent_poll (&a, "kiln-1", 1), route, now_us));
  g_assert_true (oh_membership_announce (&membership, balancer_poll (&a, "lb-1"), route, now_us + SECOND));
  for (; now_us < 13 * SECOND; now_us += SECOND / 10)
    {
      oh_membership_expire (&membership, now_us);
      g_assert_nonnull (oh_membership_find (&membership, OH__NODE_ROLE__NODE_AGENT, "kiln-1"));
    }
  oh_membership_expire (&membership, now_us);
  g_assert_null (oh_membership_find (&membership, OH__NODE_ROLE__NODE_AGENT, "kiln-1"));
  g_assert_nonnull (oh_membership_find (&membership, OH__NODE_ROLE__NODE_BALANCER, "lb-1"));

  balancer_poll (&a, "lb-1");
  a.poll.leaving = true;
  g_assert_true (oh_membership_announce (&membership, &a.poll, other_route, now_us));
  g_assert_nonnull (oh_membership_find (&membership, OH__NODE_ROLE__NODE_BALANCER, "lb-1"));
  g_assert_true (oh_membership_announce (&membership, &a.poll, route, now_us));
  g_assert_null (oh_membership_find (&membership, OH__NODE_ROLE__NODE_BALANCER, "lb-1"));
  oh_membership_finish (&membership);
}

/* Guards against a replica that was stopped for a while and then removes every node at once. */
static void
test_pause (void)
{
  g_autoptr (GBytes) route = g_bytes_new_static ("r1", 2);
  oh_membership_t membership;
  announcement_t a;

  oh_membership_init (&membership, EPOCH, 0);
  g_assert_true (oh_membership_announce (&membership, agent_poll (&a, "kiln-1", 1), route, 0));
  oh_membership_expire (&membership, 60 * SECOND);
  g_assert_nonnull (oh_membership_find (&membership, OH__NODE_ROLE__NODE_AGENT, "kiln-1"));
  for (int64_t now_us = 60 * SECOND; now_us <= 63 * SECOND; now_us += SECOND / 2)
    oh_membership_expire (&membership, now_us);
  g_assert_null (oh_membership_find (&membership, OH__NODE_ROLE__NODE_AGENT, "kiln-1"));
  oh_membership_finish (&membership);
}

/* Guards against deltas that miss a change, and against a delta across a gap. */
static void
test_deltas (void)
{
  g_autoptr (GBytes) route = g_bytes_new_static ("r1", 2);
  const int64_t now_us = 10 * SECOND;
  oh_membership_t membership;
  announcement_t a;

  oh_membership_init (&membership, EPOCH, 0);
  g_assert_true (oh_membership_announce (&membership, agent_poll (&a, "kiln-1", 1), route, now_us));
  g_assert_true (oh_membership_announce (&membership, agent_poll (&a, "kiln-2", 1), route, now_us));
  g_assert_true (oh_membership_announce (&membership, balancer_poll (&a, "lb-1"), route, now_us));
  g_assert_cmpuint (membership.sequence, ==, 3);
  check_view (&membership, 0, 0, now_us, true, 2, 1, 0);
  check_view (&membership, EPOCH, 0, now_us, false, 2, 1, 0);
  check_view (&membership, EPOCH, 2, now_us, false, 0, 1, 0);
  check_view (&membership, EPOCH, 3, now_us, false, 0, 0, 0);
  check_view (&membership, EPOCH, 4, now_us, true, 2, 1, 0);
  check_view (&membership, EPOCH + 1, 3, now_us, true, 2, 1, 0);

  /* Load alone is no change, a new incarnation is one. */
  agent_poll (&a, "kiln-1", 1);
  a.load.busy = 3;
  g_assert_true (oh_membership_announce (&membership, &a.poll, route, now_us));
  g_assert_cmpuint (membership.sequence, ==, 3);
  g_assert_true (oh_membership_announce (&membership, agent_poll (&a, "kiln-1", 2), route, now_us));
  check_view (&membership, EPOCH, 3, now_us, false, 1, 0, 0);

  agent_poll (&a, "kiln-2", 1);
  a.poll.leaving = true;
  g_assert_true (oh_membership_announce (&membership, &a.poll, route, now_us));
  check_view (&membership, EPOCH, 4, now_us, false, 0, 0, 1);
  check_view (&membership, EPOCH, 0, now_us, false, 1, 1, 1);
  g_assert_true (oh_membership_announce (&membership, agent_poll (&a, "kiln-2", 5), route, now_us));
  check_view (&membership, EPOCH, 4, now_us, false, 1, 0, 0);

  /* Beyond the kept removals only a snapshot is complete. */
  const uint64_t before = membership.sequence;

  for (unsigned i = 0; i <= OH_MEMBERSHIP_REMOVALS; i++)
    {
      agent_poll (&a, "kiln-3", i + 1);
      g_assert_true (oh_membership_announce (&membership, &a.poll, route, now_us));
      a.poll.leaving = true;
      g_assert_true (oh_membership_announce (&membership, &a.poll, route, now_us));
    }
  check_view (&membership, EPOCH, before, now_us, true, 2, 1, 0);
  check_view (&membership, EPOCH, before + 2, now_us, false, 0, 0, OH_MEMBERSHIP_REMOVALS);
  oh_membership_finish (&membership);
}

/* Guards against a restarted replica whose empty list removes members that live. */
static void
test_start (void)
{
  g_autoptr (GBytes) route = g_bytes_new_static ("r1", 2);
  oh_membership_t membership;
  announcement_t a;
  Oh__View view = OH__VIEW__INIT;

  oh_membership_init (&membership, EPOCH, 0);
  g_assert_true (oh_membership_announce (&membership, agent_poll (&a, "kiln-1", 1), route, SECOND));
  check_view (&membership, 5, 5, SECOND, false, 1, 0, 0);
  oh_membership_fill_view (&membership, 5, 5, 2 * SECOND, &view);
  g_assert_cmpuint (view.replica_epoch, ==, 0);
  oh_membership_clear_view (&view);
  g_assert_true (oh_membership_announce (&membership, agent_poll (&a, "kiln-2", 1), route, 2 * SECOND));
  a.poll.leaving = true;
  g_assert_true (oh_membership_announce (&membership, &a.poll, route, 2 * SECOND));
  check_view (&membership, 5, 5, 2 * SECOND, false, 1, 0, 1);
  check_view (&membership, 5, 5, 3 * SECOND, true, 1, 0, 0);
  oh_membership_finish (&membership);
}

/* Guards against a replica that claims to list every node before they could announce themselves. */
static void
test_listed (void)
{
  oh_membership_t membership;

  oh_membership_init (&membership, EPOCH, SECOND);
  g_assert_false (oh_membership_is_listed (&membership, SECOND));
  g_assert_false (oh_membership_is_listed (&membership, SECOND + OH_LISTING_US - 1));
  g_assert_true (oh_membership_is_listed (&membership, SECOND + OH_LISTING_US));
  oh_membership_finish (&membership);
}

/* Guards against malformed announcements that are stored or crash. */
static void
test_malformed (void)
{
  g_autoptr (GBytes) route = g_bytes_new_static ("r1", 2);
  g_autofree char *long_name = g_strnfill (OH_NODE_NAME_MAX_BYTES + 1, 'a');
  oh_membership_t membership;
  announcement_t a;

  oh_membership_init (&membership, EPOCH, 0);
  g_assert_false (oh_membership_announce (&membership, agent_poll (&a, "", 1), route, 0));
  g_assert_false (oh_membership_announce (&membership, agent_poll (&a, long_name, 1), route, 0));
  agent_poll (&a, "kiln-1", 1);
  a.poll.member = NULL;
  g_assert_false (oh_membership_announce (&membership, &a.poll, route, 0));
  agent_poll (&a, "kiln-1", 1);
  a.member.load = NULL;
  g_assert_false (oh_membership_announce (&membership, &a.poll, route, 0));
  agent_poll (&a, "kiln-1", 1);
  a.load.upstream = (char *)"kiln-2";
  g_assert_false (oh_membership_announce (&membership, &a.poll, route, 0));
  agent_poll (&a, "kiln-1", 1);
  a.load.agent = NULL;
  g_assert_false (oh_membership_announce (&membership, &a.poll, route, 0));
  balancer_poll (&a, "lb-1");
  a.poll.relay = NULL;
  g_assert_false (oh_membership_announce (&membership, &a.poll, route, 0));
  balancer_poll (&a, "lb-1");
  a.poll.role = (Oh__NodeRole)7;
  g_assert_false (oh_membership_announce (&membership, &a.poll, route, 0));
  g_assert_cmpuint (membership.sequence, ==, 0);
  oh_membership_finish (&membership);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/membership/leases", test_leases);
  g_test_add_func ("/membership/pause", test_pause);
  g_test_add_func ("/membership/deltas", test_deltas);
  g_test_add_func ("/membership/start", test_start);
  g_test_add_func ("/membership/listed", test_listed);
  g_test_add_func ("/membership/malformed", test_malformed);
  return g_test_run ();
}
