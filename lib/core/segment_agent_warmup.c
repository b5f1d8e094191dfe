#include "core/segment_agent_private.h"

/* Time after the start of this process in which its predecessor may have delivered SYNs: it ended before this
 * process bound its socket, shortly after the start. */
#define PREDECESSOR_MS 100

/* True if the settings ask for limits. */
static bool
is_requested (const oh_segment_agent_config_t *config)
{
  return config->warmup_overshoot_milli > 0 || config->warmup_slack_milli > 0;
}

void
oh_agent_warmup_init (oh_segment_agent_t *agent)
{
  const oh_segment_agent_config_t *config = &agent->config;
  const oh_warmup_margin_t margin = {
    .overshoot_milli = config->warmup_overshoot_milli > 0 ? config->warmup_overshoot_milli : 1000,
    /* With a margin of 0, a rate below one flow per second would let in none. */
    .slack_milli = is_requested (config) ? config->warmup_slack_milli : 1000,
  };

  oh_warmup_limit_init (&agent->warmup_limit, &margin,
                        config->started_us + OH_WARMUP_SPAN_US + (int64_t)PREDECESSOR_MS * 1000);
}

/* True if the present incarnation of the upstream started after this process, so that no predecessor of it
 * has delivered SYNs there. A start in the future tells nothing: the time of day was set back. */
static bool
started_after_agent (const oh_segment_agent_t *agent)
{
  const int64_t now_ms = agent->config.started_ms + (agent->now_us - agent->config.started_us) / 1000;

  return agent->identity.started_ms > agent->config.started_ms + PREDECESSOR_MS
         && agent->identity.started_ms <= now_ms + OH_SEGMENT_CLOCK_TOLERANCE_MS;
}

/* The rate of the upstream's service. An agent that does not know the services yet limits a warming upstream
 * only if its settings ask for limits. */
static oh_warmup_rate_t
rate_of_service (const oh_segment_agent_t *agent)
{
  const uint32_t milli_per_s = oh_service_set_warmup (&agent->services, agent->identity.service_id);
  const bool known = oh_service_set_is_known (&agent->services);

  return (oh_warmup_rate_t){
    .limited = known ? milli_per_s > 0 : is_requested (&agent->config),
    .milli_per_s = milli_per_s,
  };
}

/* The rate in effect now. */
static oh_warmup_rate_t
current_rate (const oh_segment_agent_t *agent)
{
  oh_warmup_rate_t rate = agent->warmup_rate;

  rate.limited = rate.limited && agent->now_us < agent->identity.warmup_ends_us;
  return rate;
}

void
oh_agent_warmup_update (oh_segment_agent_t *agent, bool replaced)
{
  const oh_warmup_rate_t rate = rate_of_service (agent);
  char pairs[OH_SEGMENT_AGENT_LOG_BYTES];

  if (replaced && started_after_agent (agent))
    oh_warmup_limit_clear_full (&agent->warmup_limit);
  if (rate.limited == agent->warmup_rate.limited && rate.milli_per_s == agent->warmup_rate.milli_per_s)
    return;
  agent->warmup_rate = rate;
  g_snprintf (pairs, sizeof pairs,
              "service=%s limited=%d milli_per_s=%u flows_per_s_max=%" G_GUINT64_FORMAT " generation=%u",
              agent->identity.service, rate.limited, rate.milli_per_s,
              oh_warmup_limit_flows (&agent->warmup_limit, rate), agent->identity.generation);
  agent->sink->ops->log (agent->sink, OH_LOG_INFO, "warmup_limit", pairs);
}

bool
oh_agent_warmup_has_room (const oh_segment_agent_t *agent)
{
  return oh_warmup_limit_admits (&agent->warmup_limit, current_rate (agent), agent->now_us);
}

bool
oh_agent_warmup_admits (oh_segment_agent_t *agent)
{
  if (oh_agent_warmup_has_room (agent))
    return true;
  oh_counter_increment (&agent->counters.limited);
  return false;
}

bool
oh_agent_warmup_admits_again (oh_segment_agent_t *agent)
{
  if (oh_warmup_limit_admits_again (&agent->warmup_limit, current_rate (agent), agent->now_us))
    return true;
  oh_counter_increment (&agent->counters.limited);
  return false;
}

void
oh_agent_warmup_deliver_syn (oh_segment_agent_t *agent, const uint8_t *bytes, size_t length)
{
  oh_warmup_limit_count (&agent->warmup_limit, agent->warmup_rate, agent->now_us);
  oh_segment_agent_deliver (agent, bytes, length);
}

void
oh_agent_warmup_fill_load (const oh_segment_agent_t *agent, Oh__Load *load)
{
  if (oh_agent_warmup_has_room (agent))
    return;
  /* A limit of 0 would mean that it is not reported. */
  if (load->busy + load->queued == 0)
    load->queued = 1;
  load->limit = load->busy + load->queued;
  load->reserved = 0;
}
