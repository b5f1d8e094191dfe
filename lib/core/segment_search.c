#include "core/segment_search.h"

#include <string.h>
#include <xxhash.h>

#include "core/segment_directory.h"
#include "core/segment_flows.h"

enum
{
  BITS_PER_WORD = 64,
};

/* What searches may send, so that they leave most of a thin link to the flows that have an owner. */
static void
refill_budget (oh_segment_balancer_t *balancer)
{
  const int refill = OH_SEGMENT_SEARCH_MESSAGES_PER_S * OH_SEGMENT_TICK_MS / 1000;

  balancer->search_budget = MIN (balancer->search_budget + refill, OH_SEGMENT_SEARCH_MESSAGES_PER_S);
}

static uint64_t
digest_agents (const oh_segment_balancer_t *balancer)
{
  uint64_t digest = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, balancer->placement.upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const oh_address_t agent = ((const oh_upstream_t *)value)->agent;
      const uint64_t word = (uint64_t)agent.ipv4 << 16 | agent.port;

      digest ^= XXH64 (&word, sizeof word, 0);
    }
  return digest;
}

/* Questions. */

static oh_segment_question_t *
new_question (oh_segment_balancer_t *balancer)
{
  oh_segment_question_t *question;

  balancer->n_questions++;
  balancer->n_questions += balancer->n_questions == 0; /* 0 names no question */
  question = &balancer->questions[balancer->n_questions % OH_SEGMENT_QUESTIONS];
  oh_segment_question_clear (question);
  question->number = balancer->n_questions;
  question->agents = g_array_new (FALSE, FALSE, sizeof (oh_address_t));
  question->agents_digest = digest_agents (balancer);
  question->flows = g_array_new (FALSE, FALSE, sizeof (oh_flow_key_t));
  return question;
}

/* NULL if the question is not remembered any more. */
static oh_segment_question_t *
find_question (oh_segment_balancer_t *balancer, uint32_t number)
{
  oh_segment_question_t *question = &balancer->questions[number % OH_SEGMENT_QUESTIONS];

  return number != 0 && question->number == number ? question : NULL;
}

static bool
find_agent (const oh_segment_question_t *question, oh_address_t agent, unsigned *index)
{
  for (guint i = 0; i < question->agents->len; i++)
    if (oh_address_equal (g_array_index (question->agents, oh_address_t, i), agent))
      {
        *index = i;
        return true;
      }
  return false;
}

/* Moves flows that are still searched from the list to the question. */
static void
take_flows (oh_segment_balancer_t *balancer, oh_segment_question_t *question)
{
  guint taken = 0;

  while (taken < balancer->unasked->len && question->flows->len < OH_SEGMENT_QUESTION_FLOWS)
    {
      const oh_flow_key_t key = g_array_index (balancer->unasked, oh_flow_key_t, taken++);
      oh_balancer_flow_t *flow = g_hash_table_lookup (balancer->flows, &key);

      if (flow == NULL || !flow->unasked)
        continue;
      flow->unasked = false;
      flow->question = question->number;
      flow->asked_us = balancer->now_us;
      flow->n_absent = 0;
      memset (flow->absent, 0, sizeof flow->absent);
      g_array_append_val (question->flows, key);
    }
  g_array_remove_range (balancer->unasked, 0, taken);
}

static void
ask_agents (oh_segment_balancer_t *balancer, oh_segment_question_t *question)
{
  uint64_t digests[OH_SEGMENT_QUESTION_FLOWS];
  Oh__SegmentRelay relay = OH__SEGMENT_RELAY__INIT;
  Oh__Address self;
  GHashTableIter iter;
  gpointer value;
  char pairs[OH_SEGMENT_LOG_BYTES];
  size_t size;

  for (guint i = 0; i < question->flows->len; i++)
    digests[i] = oh_flow_key_digest (&g_array_index (question->flows, oh_flow_key_t, i));
  oh_address_to_wire (balancer->relay, &self);
  relay.kind = OH__SEGMENT_RELAY_KIND__SEGMENT_ASK;
  relay.balancer = &self;
  relay.search = question->number;
  relay.flows = digests;
  relay.n_flows = question->flows->len;
  size = oh_segment_relay_encode (&relay, &balancer->keyring, balancer->out, sizeof balancer->out);
  g_assert (size > 0);
  g_hash_table_iter_init (&iter, balancer->placement.upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const oh_address_t agent = ((const oh_upstream_t *)value)->agent;

      g_array_append_val (question->agents, agent);
      balancer->search_budget--;
      oh_counter_increment (&balancer->counters.search_messages);
      balancer->sink->ops->send_agent (balancer->sink, agent, balancer->out, size);
    }
  g_snprintf (pairs, sizeof pairs, "question=%u flows=%u agents=%u budget=%d listed=%d", question->number,
              question->flows->len, question->agents->len, balancer->search_budget, balancer->listed);
  balancer->sink->ops->log (balancer->sink, OH_LOG_INFO, "flows_asked", pairs);
}

static void
send_questions (oh_segment_balancer_t *balancer)
{
  while (balancer->unasked->len > 0 && balancer->search_budget > 0)
    {
      oh_segment_question_t *question = new_question (balancer);

      take_flows (balancer, question);
      if (question->flows->len > 0)
        ask_agents (balancer, question);
    }
}

void
oh_segment_question_clear (oh_segment_question_t *question)
{
  question->number = 0;
  g_clear_pointer (&question->agents, g_array_unref);
  g_clear_pointer (&question->flows, g_array_unref);
}

/* Flows. */

static void
add_unasked (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  flow->unasked = true;
  g_array_append_val (balancer->unasked, flow->key);
  oh_counter_increment (&balancer->counters.searched);
}

void
oh_segment_search_start (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow)
{
  const int64_t asked_ms = (balancer->now_us - flow->asked_us) / 1000;
  const int64_t absent_ms = (balancer->now_us - flow->absent_us) / 1000;

  if (oh_route_table_find (&balancer->routes, flow->key.route) == NULL)
    {
      oh_counter_increment (&balancer->counters.dropped_no_route);
      g_clear_pointer (&flow->waiting, g_ptr_array_unref);
      return;
    }
  if (flow->unasked || (flow->question != 0 && asked_ms < OH_SEGMENT_ASK_AGAIN_MS))
    return;
  /* Found nowhere a moment ago; the flow would be found nowhere again. */
  if (flow->absent_us != 0 && absent_ms < OH_SEGMENT_SEARCH_AGAIN_MS)
    return;
  flow->absent_us = 0;
  add_unasked (balancer, flow);
  /* Otherwise it is asked for with others in the next tick. */
  if (balancer->search_budget > OH_SEGMENT_SEARCH_MESSAGES_PER_S / 2)
    send_questions (balancer);
}

/* Every agent that was asked has said that it does not hold the flow. */
static void
end_absent_flow (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow,
                 const oh_segment_question_t *question)
{
  const guint asked = question->agents->len;
  const bool certain
    = balancer->listed && asked <= OH_SEGMENT_ASKED_MAX && oh_segment_balancer_is_fresh (balancer);

  if (question->agents_digest != digest_agents (balancer))
    {
      add_unasked (balancer, flow);
      return;
    }
  oh_balancer_flow_log (balancer, OH_LOG_INFO, "flow_absent", &flow->key, "asked=%u listed=%d result=%s",
                        asked, balancer->listed, certain ? "reset" : "dropped");
  flow->absent_us = certain ? 0 : balancer->now_us;
  if (!certain)
    return;
  g_clear_pointer (&flow->waiting, g_ptr_array_unref);
  oh_counter_increment (&balancer->counters.resets_absent);
  oh_segment_send_reset (balancer, &flow->key, flow->last_acknowledged);
}

static void
mark_absent (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, const oh_segment_question_t *question,
             unsigned index)
{
  const uint64_t bit = (uint64_t)1 << (index % BITS_PER_WORD);

  if (index >= OH_SEGMENT_ASKED_MAX || (flow->absent[index / BITS_PER_WORD] & bit) != 0)
    return;
  flow->absent[index / BITS_PER_WORD] |= bit;
  flow->n_absent++;
  if (flow->n_absent == question->agents->len)
    end_absent_flow (balancer, flow, question);
}

/* The agent cannot tell without a segment of the flow. */
static void
send_wanted (oh_segment_balancer_t *balancer, const oh_balancer_flow_t *flow, oh_address_t agent)
{
  gsize length;
  const uint8_t *bytes;

  if (flow->waiting == NULL || balancer->search_budget <= 0)
    return; /* the next segment asks again */
  balancer->search_budget--;
  oh_counter_increment (&balancer->counters.search_messages);
  bytes = g_bytes_get_data (g_ptr_array_index (flow->waiting, flow->waiting->len - 1), &length);
  oh_segment_send_question (balancer, agent, OH__SEGMENT_RELAY_KIND__SEGMENT_SEARCH, 0, flow->question, bytes,
                            length);
}

void
oh_segment_search_owned (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, oh_address_t agent)
{
  char owner[OH_ADDRESS_TEXT_BYTES];

  if (flow->owned && oh_address_equal (flow->owner, agent))
    return;
  if (!oh_balancer_flow_has_open_offer (flow))
    oh_counter_increment (&balancer->counters.found);
  oh_balancer_flow_log (balancer, OH_LOG_INFO, "flow_found", &flow->key,
                        "owner=%s question=%u waiting=%u before=%d", oh_address_format (agent, owner),
                        flow->question, flow->waiting != NULL ? flow->waiting->len : 0, flow->owned);
  flow->owned = true;
  flow->owner = agent;
  flow->unasked = false;
  flow->lookups = 0;
  oh_list_remove (&flow->by_lookup);
  oh_balancer_flow_deliver_waiting (balancer, flow);
  oh_segment_directory_tell (balancer, flow);
}

static bool
is_searched (const oh_balancer_flow_t *flow, uint32_t question)
{
  return flow != NULL && flow->question == question && !flow->owned
         && !oh_balancer_flow_has_open_offer (flow);
}

void
oh_segment_search_absent (oh_segment_balancer_t *balancer, oh_balancer_flow_t *flow, uint32_t number,
                          oh_address_t agent)
{
  const oh_segment_question_t *question = find_question (balancer, number);
  unsigned index;

  if (question != NULL && is_searched (flow, number) && find_agent (question, agent, &index))
    mark_absent (balancer, flow, question, index);
}

static bool
bit_is_set (const ProtobufCBinaryData *bits, guint index)
{
  return (bits->data[index / 8] & 1 << index % 8) != 0;
}

void
oh_segment_search_answer (oh_segment_balancer_t *balancer, const Oh__SegmentRelay *relay, oh_address_t agent)
{
  const oh_segment_question_t *question = find_question (balancer, relay->search);
  unsigned index;
  size_t bytes;

  if (question == NULL || !find_agent (question, agent, &index))
    return;
  bytes = (question->flows->len + 7) / 8;
  if (relay->held.len != bytes || relay->wanted.len != bytes)
    {
      oh_counter_increment (&balancer->counters.dropped_malformed);
      return;
    }
  for (guint i = 0; i < question->flows->len; i++)
    {
      oh_balancer_flow_t *flow
        = g_hash_table_lookup (balancer->flows, &g_array_index (question->flows, oh_flow_key_t, i));

      if (!is_searched (flow, relay->search))
        continue;
      if (bit_is_set (&relay->held, i))
        oh_segment_search_owned (balancer, flow, agent);
      else if (bit_is_set (&relay->wanted, i))
        send_wanted (balancer, flow, agent);
      else
        mark_absent (balancer, flow, question, index);
    }
}

void
oh_segment_search_resume (oh_segment_balancer_t *balancer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, balancer->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      oh_balancer_flow_t *flow = value;
      const oh_segment_question_t *question = find_question (balancer, flow->question);

      if (flow->absent_us == 0 || flow->unasked || !is_searched (flow, flow->question))
        continue;
      flow->absent_us = 0;
      if (question != NULL)
        end_absent_flow (balancer, flow, question);
      else
        add_unasked (balancer, flow);
    }
}

void
oh_segment_search_tick (oh_segment_balancer_t *balancer)
{
  refill_budget (balancer);
  send_questions (balancer);
}
