#include "segment_sim_private.h"

#include <string.h>

enum
{
  REQUEST_BYTES = 20,
  DEADLINE_MS = 4000,
  RETRANSMISSIONS_MAX = 6,
  MISROUTED_SEGMENTS = 3,
  MISROUTED_WINDOW_US = 2 * SIM_S,
};

/* The rule. */

sim_caller_t *
sim_find_caller (segment_sim_t *sim, const oh_flow_key_t *key)
{
  for (unsigned i = 0; i < SIM_CALLERS; i++)
    if (sim->callers[i].state != SIM_CALLER_IDLE && oh_flow_key_equal (&sim->callers[i].key, key))
      return &sim->callers[i];
  return NULL;
}

static bool
is_open (const sim_caller_t *caller)
{
  return caller->owner != NULL && caller->owner->incarnation == caller->owner_incarnation;
}

static void
check_reset (sim_caller_t *caller)
{
  if (is_open (caller))
    g_error (
      "seed %u, %.3f s: reset of an open flow of caller %u at upstream %u (incarnation %u, agent process %u)",
      caller->sim->seed, (double)caller->sim->now_us / SIM_S, caller->index, caller->owner->index,
      caller->owner_incarnation, caller->owner->process);
  caller->sim->resets++;
}

/* Checks the segments that reached other upstreams since the last one at the flow's own. To be called at each
 * segment of the flow at an upstream, and at its end. */
static void
check_misrouted (const sim_caller_t *caller)
{
  const segment_sim_t *sim = caller->sim;
  const GArray *foreign = caller->foreign;

  if (!is_open (caller) || sim->now_us - caller->own_us < MISROUTED_WINDOW_US)
    return;
  for (guint i = 0; i + MISROUTED_SEGMENTS <= foreign->len; i++)
    if (g_array_index (foreign, int64_t, i + MISROUTED_SEGMENTS - 1) - g_array_index (foreign, int64_t, i)
        <= MISROUTED_WINDOW_US)
      g_error (
        "seed %u, %.3f s: %d segments of an open flow of caller %u at other upstreams than %u within 2 s",
        sim->seed, (double)sim->now_us / SIM_S, MISROUTED_SEGMENTS, caller->index, caller->owner->index);
}

void
sim_note_foreign_segment (segment_sim_t *sim, const oh_flow_key_t *key)
{
  sim_caller_t *caller = sim_find_caller (sim, key);

  if (caller == NULL || !is_open (caller))
    return;
  g_array_append_val (caller->foreign, sim->now_us);
  check_misrouted (caller);
}

void
sim_note_own_segment (segment_sim_t *sim, const oh_flow_key_t *key)
{
  sim_caller_t *caller = sim_find_caller (sim, key);

  if (caller == NULL)
    return;
  check_misrouted (caller);
  g_array_set_size (caller->foreign, 0);
  caller->own_us = sim->now_us;
}

/* Callers. */

/* The router sends the segments of a flow to one balancer of the caller's zone. */
static void
send_from_caller (sim_caller_t *caller, unsigned flags, uint32_t sequence, uint32_t acknowledged,
                  unsigned length)
{
  segment_sim_t *sim = caller->sim;
  const fixture_segment_t segment
    = fixture_segment (caller->key.caller, caller->key.route, flags, sequence, acknowledged, length);
  const unsigned first = (unsigned)(oh_flow_key_digest (&caller->key) % (SIM_BALANCERS / SIM_ZONES));

  for (unsigned i = 0; i < SIM_BALANCERS / SIM_ZONES; i++)
    {
      const unsigned index = caller->zone + SIM_ZONES * ((first + i) % (SIM_BALANCERS / SIM_ZONES));

      if (!sim->balancers[index].alive && i + 1 < SIM_BALANCERS / SIM_ZONES)
        continue;
      sim_transmit (sim, sim_receive_at_balancer, index, segment.bytes, segment.length);
      return;
    }
}

static void
end_flow (sim_caller_t *caller)
{
  check_misrouted (caller);
  caller->state = SIM_CALLER_IDLE;
  caller->owner = NULL;
  caller->attempt++;
  sim_schedule (caller->sim, sim_random_between (caller->sim, 10 * SIM_MS, 500 * SIM_MS), sim_start_flow,
                caller->index, caller->attempt);
}

static void
give_up (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_caller_t *caller = &sim->callers[index];

  if (caller->attempt != number || caller->state != SIM_CALLER_OPENING)
    return;
  sim->timed_out++;
  end_flow (caller);
}

static void
retransmit_syn (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_caller_t *caller = &sim->callers[index];

  if (caller->attempt == number && caller->state == SIM_CALLER_OPENING)
    send_from_caller (caller, FIXTURE_SYN, caller->sequence, bytes[0], 0);
}

void
sim_start_flow (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  static const int64_t syn_ms[] = { 0, 200, 600 };
  sim_caller_t *caller = &sim->callers[index];

  if (caller->attempt != number)
    return;
  caller->state = SIM_CALLER_OPENING;
  caller->key = (oh_flow_key_t){
    .caller = { .ipv4 = 0x64400001 + index, .port = (uint16_t)(1024 + caller->attempt) },
    .route = fixture_address ("198.18.0.1:8443"),
  };
  caller->sequence = g_rand_int (sim->random.rand);
  caller->requests_left = 1 + sim_random_index (sim, 8);
  caller->waiting = false;
  g_array_set_size (caller->foreign, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (syn_ms); i++)
    sim_schedule_bytes (sim, syn_ms[i] * SIM_MS, retransmit_syn, index, number, &(uint8_t){ (uint8_t)i }, 1);
  sim_schedule (sim, 1400 * SIM_MS, give_up, index, number);
}

static void
transmit_request (sim_caller_t *caller)
{
  send_from_caller (caller, FIXTURE_ACK, caller->sequence + 1, caller->acknowledged, REQUEST_BYTES);
}

static void
retransmit_request (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_caller_t *caller = &sim->callers[index];

  if (caller->state == SIM_CALLER_OPEN && caller->waiting && caller->request == number)
    transmit_request (caller);
}

static void
miss_deadline (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_caller_t *caller = &sim->callers[index];

  if (caller->state != SIM_CALLER_OPEN || !caller->waiting || caller->request != number)
    return;
  sim->timed_out++;
  end_flow (caller);
}

static void
send_request (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  sim_caller_t *caller = &sim->callers[index];
  int64_t delay_ms = 200;
  int64_t at_ms = 0;

  if (caller->attempt != number || caller->state != SIM_CALLER_OPEN)
    return;
  caller->waiting = true;
  caller->request++;
  transmit_request (caller);
  for (unsigned i = 0; i < RETRANSMISSIONS_MAX; i++)
    {
      at_ms += delay_ms;
      delay_ms = MIN (delay_ms * 2, 1600);
      sim_schedule (sim, at_ms * SIM_MS, retransmit_request, index, caller->request);
    }
  sim_schedule (sim, (int64_t)DEADLINE_MS * SIM_MS, miss_deadline, index, caller->request);
}

static void
handle_response (sim_caller_t *caller)
{
  static const int64_t pauses_ms[] = { 50, 50, 500, 2200, 5000 };
  segment_sim_t *sim = caller->sim;

  caller->waiting = false;
  caller->request++;
  sim->answered++;
  if (--caller->requests_left > 0)
    {
      sim_schedule (sim, pauses_ms[sim_random_index (sim, G_N_ELEMENTS (pauses_ms))] * SIM_MS, send_request,
                    caller->index, caller->attempt);
      return;
    }
  send_from_caller (caller, FIXTURE_ACK | FIXTURE_FIN, caller->sequence + 1 + REQUEST_BYTES,
                    caller->acknowledged, 0);
  end_flow (caller);
}

void
sim_receive_at_caller (segment_sim_t *sim, unsigned index, unsigned number, uint8_t *bytes, size_t length)
{
  const oh_segment_format_t *format = oh_platform_segment_format ();
  sim_caller_t *caller = &sim->callers[index];
  oh_segment_t segment;
  oh_flow_key_t key;

  g_assert_true (format->ops->decode (format, bytes, length, &segment));
  key = (oh_flow_key_t){ .caller = segment.to, .route = segment.from };
  if (caller->state == SIM_CALLER_IDLE || !oh_flow_key_equal (&caller->key, &key))
    return;
  if (segment.rst)
    {
      if (bytes[0] == 0)
        check_reset (caller);
      end_flow (caller);
      return;
    }
  if (segment.syn && caller->state == SIM_CALLER_OPENING)
    {
      caller->state = SIM_CALLER_OPEN;
      caller->acknowledged = segment.sequence + 1;
      send_request (sim, index, caller->attempt, NULL, 0);
    }
  else if (segment.length > 0 && caller->waiting)
    handle_response (caller);
}
