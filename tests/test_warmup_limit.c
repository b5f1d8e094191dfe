#define OH_LOG_MODULE "test"

#include <string.h>

#include "base/seeded_random.h"
#include "core/segment_agent.h"
#include "core/warmup_limit.h"
#include "segment_fixture.h"

/* Tests of the limit of new flows while an upstream is warming: the module alone, and in an agent. */

enum
{
  MS = 1000,
  SECOND = G_USEC_PER_SEC,
  START_US = 100 * SECOND,
  DAY_MS = 1000000, /* time of day at START_US */
  ARRIVALS_MAX = 65536,
  SEEDS = 20,
  SLOTS = 1000, /* so that only the limit of warming upstreams applies */
};

/* The most arrivals in a span of one second, both ends included. times are in ascending order. */
static unsigned
most_in_span (const int64_t *times, unsigned n)
{
  unsigned most = 0;
  unsigned first = 0;

  for (unsigned i = 0; i < n; i++)
    {
      while (times[i] - times[first] > SECOND)
        first++;
      most = MAX (most, i - first + 1);
    }
  return most;
}

/* Guards against more flows than the hard limit in any span, and against a mean rate that uses the overshoot
 * or stays below the target while flows wait. */
static void
test_offered_load (void)
{
  static const struct
  {
    const char *name;
    oh_warmup_margin_t margin;
    uint32_t milli_per_s;
    unsigned hard_limit;
    unsigned seconds;
    unsigned expected; /* flows in that time, apart from one burst */
  } cases[] = {
    { "rate 20", { 1500, 5000 }, 20000, 35, 10, 200 },
    { "rate 2.5", { 1500, 5000 }, 2500, 8, 10, 25 },
    { "one flow in 10 s", { 1500, 5000 }, 100, 5, 40, 4 },
    { "no margin", { 1000, 0 }, 20000, 20, 10, 200 },
    { "no setting", { 1000, 1000 }, 500, 1, 20, 10 },
    { "no flow possible", { 1000, 0 }, 500, 0, 10, 0 },
    { "rate 1,000", { 1500, 5000 }, 1000000, 1505, 3, 3000 },
    { "rate not known", { 1500, 5000 }, 0, 5, 10, 50 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      static int64_t times[ARRIVALS_MAX];
      const oh_warmup_rate_t rate = { .limited = true, .milli_per_s = cases[i].milli_per_s };
      const unsigned burst = MAX ((cases[i].hard_limit - cases[i].milli_per_s / 1000) / 2, 1);
      oh_warmup_limit_t limit;
      unsigned n = 0;

      oh_warmup_limit_init (&limit, &cases[i].margin, 0);
      for (int64_t now_us = START_US; now_us < START_US + cases[i].seconds * SECOND; now_us += 500)
        if (oh_warmup_limit_admits (&limit, rate, now_us))
          {
            g_assert_cmpuint (n, <, ARRIVALS_MAX);
            times[n++] = now_us;
            oh_warmup_limit_count (&limit, rate, now_us);
          }
      if (g_test_verbose ())
        g_test_message ("%s: %u flows, most in a span %u", cases[i].name, n, most_in_span (times, n));
      g_assert_cmpuint (oh_warmup_limit_flows (&limit, rate), ==, cases[i].hard_limit);
      g_assert_cmpuint (most_in_span (times, n), <=, cases[i].hard_limit);
      g_assert_cmpuint (n, <=, cases[i].expected + burst);
      /* With no margin the resolution of the window costs a hundredth of the rate. */
      g_assert_cmpuint (n, >=, cases[i].expected * 98 / 100);
    }
}

typedef struct
{
  oh_segment_agent_sink_t sink; /* first member */
  oh_seeded_random_t random;
  oh_keyring_t keyring;
  oh_segment_agent_t core;
  oh_service_set_t services;
  int64_t now_us;
  bool reports_room; /* in the last message to a balancer */
  Oh__Result refused;
  unsigned n_delivered; /* SYNs */
  int64_t delivered_us[ARRIVALS_MAX];
} agent_fixture_t;

static const oh_address_t balancer_address = { .ipv4 = 0x0a000002, .port = 7735 };
static const oh_address_t upstream_address = { .ipv4 = 0x0a000003, .port = 8080 };
static const oh_address_t route_address = { .ipv4 = 0xc6120001, .port = 8443 };

static void
on_send_upstream (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length)
{
  agent_fixture_t *fixture = (agent_fixture_t *)sink;

  g_assert_cmpuint (fixture->n_delivered, <, ARRIVALS_MAX);
  fixture->delivered_us[fixture->n_delivered++] = fixture->now_us;
}

static void
on_send_caller (oh_segment_agent_sink_t *sink, oh_address_t caller, const uint8_t *bytes, size_t length)
{
}

static void
on_send_balancer (oh_segment_agent_sink_t *sink, oh_address_t to, const uint8_t *bytes, size_t length)
{
  agent_fixture_t *fixture = (agent_fixture_t *)sink;
  static oh_arena_t arena;
  const Oh__SegmentRelay *relay;

  oh_arena_init (&arena);
  relay = oh_segment_relay_decode (&arena, &fixture->keyring, bytes, length, NULL);
  g_assert_nonnull (relay);
  g_assert_nonnull (relay->load);
  fixture->refused = relay->refused;
  fixture->reports_room
    = relay->load->limit == 0 || relay->load->limit > relay->load->busy + relay->load->queued;
}

static void
on_report (oh_segment_agent_sink_t *sink, const uint8_t *bytes, size_t length, bool to_all)
{
}

static void
on_watch_listener (oh_segment_agent_sink_t *sink, oh_listener_attention_t attention)
{
}

static void
on_changed (oh_segment_agent_sink_t *sink)
{
}

static void
on_log (oh_segment_agent_sink_t *sink, oh_log_level_t level, const char *event, const char *pairs)
{
}

static int64_t
time_of_day_ms (const agent_fixture_t *fixture)
{
  return DAY_MS + (fixture->now_us - START_US) / MS;
}

/* Starts a process. overshoot_milli and slack_milli are its settings. */
static void
start_agent (agent_fixture_t *fixture, int64_t overshoot_milli, int64_t slack_milli)
{
  const oh_segment_agent_config_t config = {
    .format = oh_platform_segment_format (),
    .name = "kiln-log-3",
    .zone = "plv-a",
    .incarnation = 42,
    .relay = { .ipv4 = 0x0a000001, .port = 7735 },
    .upstream = upstream_address,
    .heartbeat_ms = 1000,
    .flow_timeout_ms = 3600 * 1000,
    .max_flows = ARRIVALS_MAX,
    .started_ms = time_of_day_ms (fixture),
    .started_us = fixture->now_us,
    .warmup_overshoot_milli = overshoot_milli,
    .warmup_slack_milli = slack_milli,
  };

  oh_segment_agent_init (&fixture->core, &config, &fixture->keyring);
}

static void
fixture_init (agent_fixture_t *fixture, uint32_t seed)
{
  static const oh_segment_agent_sink_ops_t ops = {
    .send_upstream = on_send_upstream,
    .send_caller = on_send_caller,
    .send_balancer = on_send_balancer,
    .report = on_report,
    .watch_listener = on_watch_listener,
    .changed = on_changed,
    .log = on_log,
  };

  memset (fixture, 0, sizeof *fixture);
  fixture->sink.ops = &ops;
  fixture->now_us = START_US;
  oh_seeded_random_init (&fixture->random, seed);
  fixture_keyring (&fixture->keyring);
  oh_service_set_init (&fixture->services);
}

static void
fixture_finish (agent_fixture_t *fixture)
{
  oh_segment_agent_finish (&fixture->core);
  oh_service_set_finish (&fixture->services);
  oh_keyring_finish (&fixture->keyring);
  oh_seeded_random_finish (&fixture->random);
}

static void
set_rate (agent_fixture_t *fixture, uint32_t milli_per_s)
{
  const uint64_t id = oh_service_id ("kiln-log");
  const oh_service_warmup_t warmup = { .service = id, .milli_per_s = milli_per_s };

  oh_service_set_assign (&fixture->services, &id, 1);
  oh_service_set_assign_warmups (&fixture->services, &warmup, 1);
  oh_segment_agent_set_services (&fixture->core, &fixture->services, &fixture->sink);
}

static void
announce (agent_fixture_t *fixture, int64_t started_ms, int64_t warmup_ms)
{
  const oh_announcement_t announcement = {
    .id = "kiln-log-3",
    .service = "kiln-log",
    .address = upstream_address,
    .state = OH_ANNOUNCED_READY,
    .slots = SLOTS,
    .started_ms = started_ms,
    .sequence = (uint64_t)(fixture->now_us / MS),
    .warmup_ms = warmup_ms,
  };

  g_assert_cmpint (oh_segment_agent_announce (&fixture->core, &announcement, fixture->now_us, &fixture->sink),
                   ==, OH_ANNOUNCEMENT_TAKEN);
}

/* Offers the SYN of a caller to the agent. Returns true if it was delivered. */
static bool
offer (agent_fixture_t *fixture, unsigned caller)
{
  const oh_address_t from
    = { .ipv4 = 0x64400001 + caller / 60000, .port = (uint16_t)(1024 + caller % 60000) };
  const unsigned before = fixture->n_delivered;
  fixture_segment_t syn = fixture_segment (from, route_address, FIXTURE_SYN, 7, 0, 0);
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  oh_segment_agent_event_t event = { .kind = OH_SEGMENT_AGENT_RELAY, .now_us = fixture->now_us };
  uint8_t bytes[OH_RELAY_MAX_BYTES];
  Oh__Address balancer;

  oh_address_to_wire (balancer_address, &balancer);
  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_OPEN;
  relay.service = oh_service_id ("kiln-log");
  relay.balancer = &balancer;
  relay.segment = (ProtobufCBinaryData){ .data = syn.bytes, .len = syn.length };
  event.datagram.bytes = bytes;
  event.datagram.length = oh_segment_relay_encode (&relay, &fixture->keyring, bytes, sizeof bytes);
  oh_segment_agent_handle (&fixture->core, &event, &fixture->sink);
  return fixture->n_delivered > before;
}

static void
return_syn (agent_fixture_t *fixture, unsigned caller)
{
  const oh_address_t from
    = { .ipv4 = 0x64400001 + caller / 60000, .port = (uint16_t)(1024 + caller % 60000) };
  fixture_segment_t syn = fixture_segment (from, route_address, FIXTURE_SYN | FIXTURE_RETURNED, 7, 0, 0);
  const oh_segment_agent_event_t event = {
    .kind = OH_SEGMENT_AGENT_UPSTREAM,
    .now_us = fixture->now_us,
    .datagram = { .bytes = syn.bytes, .length = syn.length },
  };

  oh_segment_agent_handle (&fixture->core, &event, &fixture->sink);
}

/* What happens at random times to one upstream that never stops warming. */
static void
run_random_event (agent_fixture_t *fixture, int64_t *upstream_started_ms, unsigned *next_caller)
{
  const unsigned kind = (unsigned)oh_random_below (&fixture->random.base, 2000);

  if (kind == 0) /* a restart of the agent, which hears of the running upstream and the services later */
    {
      oh_segment_agent_finish (&fixture->core);
      start_agent (fixture, 1500, 5000);
      fixture->now_us += (int64_t)oh_random_below (&fixture->random.base, 300 * MS);
      announce (fixture, *upstream_started_ms, 60000);
      if (oh_random_below (&fixture->random.base, 2) == 0)
        set_rate (fixture, 20000);
    }
  else if (kind == 1) /* another upstream */
    {
      *upstream_started_ms = time_of_day_ms (fixture);
      announce (fixture, *upstream_started_ms, 60000);
    }
  else if (kind < 6) /* a view with the services */
    set_rate (fixture, 20000);
  else if (kind < 300) /* an earlier flow: its SYN is repeated, or its upstream returns it */
    {
      const unsigned caller = *next_caller - 1 - (unsigned)oh_random_below (&fixture->random.base, 20);

      if (kind < 200)
        offer (fixture, caller);
      else
        return_syn (fixture, caller);
    }
  else
    offer (fixture, (*next_caller)++);
}

/* Guards against more SYNs at the upstream than the hard limit in any span of one second, through restarts of
 * the agent, replaced upstreams, repeated and returned SYNs, and bursts. */
static void
test_random_arrivals (void)
{
  agent_fixture_t *fixture = g_new (agent_fixture_t, 1);

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      int64_t upstream_started_ms;
      unsigned next_caller = 100;

      fixture_init (fixture, seed);
      start_agent (fixture, 1500, 5000);
      upstream_started_ms = time_of_day_ms (fixture) + 1;
      set_rate (fixture, 20000);
      announce (fixture, upstream_started_ms, 60000);
      for (unsigned i = 0; i < 20000; i++)
        {
          /* Bursts, a steady load of several times the rate, and pauses. */
          const uint64_t wait = oh_random_below (&fixture->random.base, 1000);

          fixture->now_us += (int64_t)(wait < 500 ? wait / 100 : wait == 999 ? 1500 * MS : wait * 10);
          if (fixture->now_us - START_US > 55 * SECOND)
            break;
          run_random_event (fixture, &upstream_started_ms, &next_caller);
        }
      if (g_test_verbose ())
        g_test_message ("seed %u: %u SYNs, most in a span %u", seed, fixture->n_delivered,
                        most_in_span (fixture->delivered_us, fixture->n_delivered));
      g_assert_cmpuint (fixture->n_delivered, >, 100);
      g_assert_cmpuint (most_in_span (fixture->delivered_us, fixture->n_delivered), <=, 35);
      fixture_finish (fixture);
    }
  g_free (fixture);
}

/* Offers a new flow each millisecond and returns how many were delivered. */
static unsigned
offer_for (agent_fixture_t *fixture, int64_t duration_ms)
{
  static unsigned next_caller = 1000;
  const unsigned before = fixture->n_delivered;

  for (int64_t i = 0; i < duration_ms; i++, fixture->now_us += MS)
    offer (fixture, next_caller++);
  return fixture->n_delivered - before;
}

/* Guards against a limit where none was asked for, one that goes on after the warm-up, or a start in which an
 * agent does not keep to it. */
static void
test_starts (void)
{
  static const struct
  {
    const char *name;
    int64_t overshoot_milli;
    int64_t slack_milli;
    int64_t upstream_age_ms; /* at the start of the agent; below 0: started later */
    int64_t warmup_ms;
    bool known; /* the agent knows the services */
    uint32_t milli_per_s;
    unsigned least; /* flows delivered of 500 in the first half second */
    unsigned most;
  } cases[] = {
    { "no limit", 1500, 5000, -200, 60000, true, 0, 500, 500 },
    { "warm upstream", 1500, 5000, 30000, 0, true, 20000, 500, 500 },
    { "end of the warm-up", 1500, 5000, -200, 250, true, 20000, 250, 280 },
    { "new upstream", 1500, 5000, -200, 60000, true, 20000, 10, 18 },
    { "settings absent", 0, 0, -200, 60000, true, 20000, 10, 11 },
    { "agent restarted beside a warming upstream", 1500, 5000, 300, 60000, true, 20000, 0, 0 },
    { "services not known", 1500, 5000, -200, 60000, false, 0, 5, 5 },
    { "services not known, settings absent", 0, 0, -200, 60000, false, 0, 500, 500 },
  };
  agent_fixture_t *fixture = g_new (agent_fixture_t, 1);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      unsigned n;

      fixture_init (fixture, 1);
      start_agent (fixture, cases[i].overshoot_milli, cases[i].slack_milli);
      if (cases[i].known)
        set_rate (fixture, cases[i].milli_per_s);
      fixture->now_us += MAX (-cases[i].upstream_age_ms, 0) * MS;
      announce (fixture, DAY_MS - cases[i].upstream_age_ms, cases[i].warmup_ms);
      n = offer_for (fixture, 500);
      if (n < cases[i].least || n > cases[i].most)
        g_error ("%s: %u flows", cases[i].name, n);
      fixture_finish (fixture);
    }
  g_free (fixture);
}

/* Guards against an upstream that gets the flows of two spans at once: it was replaced, which the agent does
 * not know before the announcement, or its service gets a limit while it is warming. */
static void
test_late_limit (void)
{
  agent_fixture_t *fixture = g_new (agent_fixture_t, 1);

  fixture_init (fixture, 1);
  start_agent (fixture, 1500, 5000);
  set_rate (fixture, 20000);
  fixture->now_us += 2 * SECOND; /* after the time for which the agent counts the span as full */
  announce (fixture, DAY_MS - 30000, 0);
  g_assert_cmpuint (offer_for (fixture, 100), ==, 100);
  announce (fixture, time_of_day_ms (fixture), 60000);
  g_assert_cmpuint (offer_for (fixture, 900), ==, 0);
  g_assert_cmpuint (offer_for (fixture, 1000), <=, 35);
  set_rate (fixture, 0);
  g_assert_cmpuint (offer_for (fixture, 100), ==, 100);
  set_rate (fixture, 20000);
  g_assert_cmpuint (offer_for (fixture, 900), ==, 0);
  fixture_finish (fixture);
  g_free (fixture);
}

/* Guards against a refused flow whose balancer does not learn of the reason and goes on to offer flows,
 * against the loss of a flow that the upstream may have, and against returned SYNs that are not counted. */
static void
test_refusals (void)
{
  agent_fixture_t *fixture = g_new (agent_fixture_t, 1);
  unsigned delivered = 0;

  fixture_init (fixture, 1);
  start_agent (fixture, 1000, 0); /* hard limit 2 */
  set_rate (fixture, 2000);
  fixture->now_us += 2 * SECOND;
  announce (fixture, time_of_day_ms (fixture), 60000);
  g_assert_true (offer (fixture, 1));
  return_syn (fixture, 1);
  g_assert_false (fixture->reports_room);
  fixture->now_us += 500 * MS;
  g_assert_true (offer (fixture, 2));
  fixture->refused = OH__RESULT__RESULT_NONE;
  g_assert_false (offer (fixture, 2)); /* not refused: the upstream may open it */
  g_assert_cmpint (fixture->refused, ==, OH__RESULT__RESULT_NONE);
  g_assert_false (offer (fixture, 3));
  g_assert_cmpint (fixture->refused, ==, OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
  g_assert_false (fixture->reports_room);
  fixture->now_us += 520 * MS;
  g_assert_true (offer (fixture, 2));
  fixture->now_us += 10 * SECOND;
  announce (fixture, fixture->core.identity.started_ms, 60000);
  for (unsigned caller = 10; caller < 20; caller++)
    delivered += offer (fixture, caller);
  g_assert_cmpuint (delivered, ==, 1); /* the bucket holds one flow */
  fixture_finish (fixture);
  g_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/warmup-limit/offered-load", test_offered_load);
  g_test_add_func ("/warmup-limit/random-arrivals", test_random_arrivals);
  g_test_add_func ("/warmup-limit/starts", test_starts);
  g_test_add_func ("/warmup-limit/late-limit", test_late_limit);
  g_test_add_func ("/warmup-limit/refusals", test_refusals);
  return g_test_run ();
}
