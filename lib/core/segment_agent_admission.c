#include "core/segment_agent_private.h"

/* A limit that differs from the last logged one by this factor is logged. */
#define LOGGED_FACTOR 1.5

bool
oh_segment_agent_is_warming (const oh_segment_agent_t *agent)
{
  return agent->now_us < agent->identity.warmup_ends_us;
}

oh_admission_work_t
oh_segment_agent_work (const oh_segment_agent_t *agent)
{
  return (oh_admission_work_t){
    .slots = agent->identity.slots,
    .warming = oh_segment_agent_is_warming (agent),
    .n_requests = agent->n_awaiting_response,
    .n_expected = agent->n_awaiting_request,
  };
}

void
oh_segment_agent_expire_expected (oh_segment_agent_t *agent)
{
  const int64_t wait_us = agent->admission.target_ms > 0 ? oh_request_wait_us (&agent->request_wait)
                                                         : (int64_t)OH_SEGMENT_FIRST_REQUEST_MS * 1000;
  const int64_t limit_us = agent->now_us - wait_us;

  while (!oh_list_is_empty (&agent->awaiting_request))
    {
      oh_agent_flow_t *flow
        = oh_list_entry (agent->awaiting_request.next, oh_agent_flow_t, awaiting_request_link);

      if (flow->opened_us > limit_us)
        break;
      oh_agent_flow_end_awaiting_request (agent, flow);
    }
}

bool
oh_segment_agent_admits (oh_segment_agent_t *agent, uint32_t target_ms, bool yields)
{
  oh_admission_work_t work;
  oh_admission_result_t result;

  oh_admission_note_target (&agent->admission, target_ms, agent->now_us);
  oh_segment_agent_expire_expected (agent);
  work = oh_segment_agent_work (agent);
  result = oh_admission_decide (&agent->admission, &work, target_ms, yields);
  if (result == OH_ADMISSION_ADMITTED)
    work.n_expected++;
  else if (result == OH_ADMISSION_RESERVED)
    oh_counter_increment (&agent->counters.yielded);
  oh_admission_note_decision (&agent->admission, &work, result, agent->now_us);
  return result == OH_ADMISSION_ADMITTED;
}

void
oh_segment_agent_add_waiter (oh_segment_agent_t *agent, const Oh__SegmentRelay *open, oh_address_t balancer)
{
  if (open->target_ms > 0)
    oh_position_waiters_add (&agent->position_waiters, balancer, open->yields, agent->now_us);
}

static bool
accepts_flows (const oh_segment_agent_t *agent)
{
  return oh_upstream_identity_accepts_flows (&agent->identity, agent->now_us) && !agent->upstream_ended
         && !agent->zone_drained && agent->n_open + agent->n_opening < agent->config.max_flows
         && oh_agent_warmup_has_room (agent);
}

void
oh_segment_agent_notify_waiters (oh_segment_agent_t *agent)
{
  const oh_admission_work_t work = oh_segment_agent_work (agent);
  const oh_admission_report_t report = oh_admission_report (&agent->admission, &work);
  const unsigned taken = report.taken + agent->n_awaiting_request;
  oh_address_t balancer;

  if (!accepts_flows (agent))
    return;
  while (taken < report.limit
         && oh_position_waiters_take (&agent->position_waiters, report.limit - taken, report.reserved,
                                      agent->now_us, &balancer))
    {
      oh_counter_increment (&agent->counters.positions_reported);
      oh_segment_agent_send_load (agent, balancer);
    }
}

void
oh_segment_agent_note_request (oh_segment_agent_t *agent)
{
  const oh_admission_work_t work = oh_segment_agent_work (agent);

  oh_admission_note_decision (&agent->admission, &work, OH_ADMISSION_ADMITTED, agent->now_us);
}

void
oh_segment_agent_restart_pace (oh_segment_agent_t *agent)
{
  oh_admission_restart (&agent->admission, agent->identity.slots, agent->now_us);
}

static void
mark_lost_requests (oh_segment_agent_t *agent)
{
  while (!oh_list_is_empty (&agent->unanswered))
    {
      oh_agent_flow_t *flow = oh_list_entry (agent->unanswered.next, oh_agent_flow_t, unanswered_link);

      if (!oh_pace_is_lost (&agent->admission.pace, flow->request_us, agent->now_us))
        return;
      oh_agent_flow_mark_request_lost (agent, flow);
    }
}

static bool
differs_much (unsigned a, unsigned b)
{
  return MAX (a, b) >= LOGGED_FACTOR * MIN (a, b) && a != b;
}

static void
log_limit (oh_segment_agent_t *agent, const oh_admission_report_t *report)
{
  const oh_pace_t *pace = &agent->admission.pace;
  char pairs[OH_SEGMENT_AGENT_LOG_BYTES];

  if (!differs_much (report->limit, agent->logged_limit)
      || agent->now_us - agent->limit_logged_us < (int64_t)OH_SEGMENT_LIMIT_LOG_INTERVAL_MS * 1000)
    return;
  g_snprintf (pairs, sizeof pairs,
              "limit=%u former=%u reserved=%u slots=%u service_us=%u target_ms=%u warming=%d taken=%u"
              " expected=%u decreases=%" G_GUINT64_FORMAT " lost=%" G_GUINT64_FORMAT,
              report->limit, agent->logged_limit, report->reserved, agent->identity.slots, report->service_us,
              agent->admission.target_ms, oh_segment_agent_is_warming (agent), report->taken,
              agent->n_awaiting_request, pace->n_decreases, pace->n_lost_total);
  agent->sink->ops->log (agent->sink, OH_LOG_INFO, "request_limit_changed", pairs);
  agent->logged_limit = report->limit;
  agent->limit_logged_us = agent->now_us;
}

void
oh_segment_agent_update_pace (oh_segment_agent_t *agent)
{
  oh_admission_work_t work;
  oh_admission_report_t report;

  oh_pace_advance (&agent->admission.pace, agent->now_us);
  mark_lost_requests (agent);
  work = oh_segment_agent_work (agent);
  report = oh_admission_report (&agent->admission, &work);
  log_limit (agent, &report);
  oh_counter_set (&agent->counters.limit, report.limit);
  oh_counter_set (&agent->counters.reserved, report.reserved);
  oh_counter_set (&agent->counters.service_us, report.service_us);
  oh_counter_set (&agent->counters.limit_decreases, agent->admission.pace.n_decreases);
}
