#include "core/segment_agent_private.h"

/* Fraction of its slots that a warming upstream offers while its service time is not reported. */
#define WARMING_SHARE 0.6

static unsigned
offered_slots (const oh_segment_agent_t *agent, const oh_admission_report_t *report)
{
  const oh_upstream_identity_t *identity = &agent->identity;

  if (!oh_upstream_identity_accepts_flows (identity, agent->now_us) || agent->upstream_ended)
    return 0;
  if (oh_segment_agent_is_warming (agent) && report->service_us == 0)
    return MAX (1u, (unsigned)(identity->slots * WARMING_SHARE));
  return MAX (1u, identity->slots);
}

static Oh__UpstreamState
upstream_state (const oh_segment_agent_t *agent)
{
  const oh_upstream_identity_t *identity = &agent->identity;

  if (identity->state != OH_ANNOUNCED_READY)
    return OH__UPSTREAM_STATE__UPSTREAM_DRAINING;
  if (!oh_upstream_identity_accepts_flows (identity, agent->now_us) || agent->upstream_ended
      || agent->unanswered_syns >= OH_SEGMENT_SUSPECT_SYNS)
    return OH__UPSTREAM_STATE__UPSTREAM_SUSPECT;
  if (oh_segment_agent_is_warming (agent))
    return OH__UPSTREAM_STATE__UPSTREAM_WARMING;
  return OH__UPSTREAM_STATE__UPSTREAM_READY;
}

void
oh_segment_agent_get_load (oh_segment_agent_t *agent, int64_t now_us, Oh__Load *load, Oh__Address *relay)
{
  oh_admission_work_t work;
  oh_admission_report_t report;

  agent->now_us = MAX (agent->now_us, now_us);
  work = oh_segment_agent_work (agent);
  report = oh_admission_report (&agent->admission, &work);
  oh__load__init (load);
  oh_address_to_wire (agent->config.relay, relay);
  load->upstream = (char *)agent->config.name;
  load->service = agent->identity.service_id;
  /* A restart of the upstream is a new incarnation, too. */
  load->incarnation = agent->config.incarnation + agent->identity.generation;
  load->sequence = ++agent->report_sequence;
  load->slots = offered_slots (agent, &report);
  load->busy = MIN (report.taken, agent->identity.slots);
  /* A flow that has just opened is expected to bring a request. */
  load->queued = report.taken - load->busy + agent->n_awaiting_request;
  load->limit = report.limit;
  load->reserved = report.reserved;
  load->service_us = report.service_us;
  load->flows = agent->n_open + agent->n_opening;
  load->max_flows = agent->config.max_flows;
  load->state = upstream_state (agent);
  load->agent = relay;
  oh_agent_warmup_fill_load (agent, load);
}

static size_t
encode (oh_segment_agent_t *agent, Oh__SegmentRelay *relay)
{
  Oh__Load load;
  Oh__Address self;
  size_t size;

  oh_segment_agent_get_load (agent, agent->now_us, &load, &self);
  relay->load = &load;
  size = oh_segment_relay_encode (relay, &agent->keyring, agent->out, sizeof agent->out);
  relay->load = NULL;
  return size;
}

void
oh_segment_agent_report_load (oh_segment_agent_t *agent, bool to_all)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  size_t size;

  if (agent->identity.generation == 0)
    return;
  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_LOAD;
  size = encode (agent, &relay);
  agent->reported_us = agent->now_us;
  if (size > 0)
    agent->sink->ops->report (agent->sink, agent->out, size, to_all);
}

void
oh_segment_agent_send_load (oh_segment_agent_t *agent, oh_address_t balancer)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  size_t size;

  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_LOAD;
  size = encode (agent, &relay);
  if (size > 0 && balancer.port != 0)
    agent->sink->ops->send_balancer (agent->sink, balancer, agent->out, size);
}

/* Reports the state of a flow to a balancer. bytes is the segment to return, if any. */
static void
send_answer (oh_segment_agent_t *agent, oh_address_t balancer, Oh__SegmentRelay *relay,
             const oh_flow_key_t *key, const uint8_t *bytes, size_t length)
{
  Oh__Address caller;
  Oh__Address route;
  size_t size;

  oh_address_to_wire (key->caller, &caller);
  oh_address_to_wire (key->route, &route);
  relay->caller = &caller;
  relay->route = &route;
  relay->segment.data = (uint8_t *)bytes;
  relay->segment.len = length;
  size = encode (agent, relay);
  if (size > 0 && balancer.port != 0)
    agent->sink->ops->send_balancer (agent->sink, balancer, agent->out, size);
  relay->caller = NULL;
  relay->route = NULL;
}

void
oh_segment_agent_answer (oh_segment_agent_t *agent, oh_address_t balancer, Oh__SegmentRelayKind kind,
                         Oh__Result refused, const oh_flow_key_t *key, const uint8_t *bytes, size_t length)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;

  relay.kind = kind;
  relay.refused = refused;
  send_answer (agent, balancer, &relay, key, bytes, length);
}

void
oh_segment_agent_deliver (oh_segment_agent_t *agent, const uint8_t *bytes, size_t length)
{
  oh_counter_increment (&agent->counters.delivered);
  agent->sink->ops->send_upstream (agent->sink, bytes, length);
}

void
oh_segment_agent_refuse_syn (oh_segment_agent_t *agent, oh_address_t balancer, const oh_flow_key_t *key,
                             Oh__Result result, const uint8_t *bytes, size_t length)
{
  oh_counter_increment (&agent->counters.refused);
  oh_agent_flow_log (agent, OH_LOG_INFO, "first_refused", key, "result=%d state=%d generation=%u open=%u",
                     (int)result, (int)agent->identity.state, agent->identity.generation, agent->n_open);
  oh_segment_agent_answer (agent, balancer, OH__SEGMENT_RELAY_KIND__SEGMENT_REFUSED, result, key, bytes,
                           length);
}

/* -1 if it has not happened yet. */
static int64_t
age_ms (const oh_segment_agent_t *agent, int64_t since_us)
{
  return since_us > 0 ? (agent->now_us - since_us) / 1000 : -1;
}

void
oh_segment_agent_reset_flow (oh_segment_agent_t *agent, oh_agent_flow_t *flow, const char *reason)
{
  uint8_t buffer[OH_SEGMENT_RESET_MAX_BYTES];
  const size_t length = agent->config.format->ops->make_reset (agent->config.format, &flow->key,
                                                               flow->caller_acknowledged, buffer);

  oh_counter_increment (&agent->counters.resets);
  oh_agent_flow_log (agent, OH_LOG_INFO, "flow_reset", &flow->key,
                     "reason=%s generation=%u now=%u state=%d announced_age_ms=%" G_GINT64_FORMAT
                     " sent_age_ms=%" G_GINT64_FORMAT " flow_age_ms=%" G_GINT64_FORMAT,
                     reason, flow->generation, agent->identity.generation, (int)agent->identity.state,
                     age_ms (agent, agent->identity.last_heard_us), age_ms (agent, agent->upstream_sent_us),
                     age_ms (agent, flow->opened_us));
  agent->sink->ops->send_caller (agent->sink, flow->key.caller, buffer, length);
}

void
oh_segment_agent_answer_absent (oh_segment_agent_t *agent, const oh_flow_key_t *key, oh_address_t balancer,
                                uint32_t query, oh_absent_reason_t reason, const uint8_t *bytes,
                                size_t length)
{
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;

  oh_counter_increment (&agent->counters.absent);
  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_ABSENT;
  relay.search = query;
  relay.denied = reason == OH_ABSENT_DENIED;
  send_answer (agent, balancer, &relay, key, query == 0 ? bytes : NULL, query == 0 ? length : 0);
}
