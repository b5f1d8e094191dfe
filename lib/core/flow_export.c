#include "core/flow_export.h"

#include <string.h>

static void
copy_bytes (ProtobufCBinaryData *to, const void *bytes, size_t length)
{
  to->data = length > 0 ? g_memdup2 (bytes, length) : NULL;
  to->len = length;
}

static Oh__Address *
export_address (oh_address_t address)
{
  Oh__Address *wire = g_new0 (Oh__Address, 1);

  oh_address_to_wire (address, wire);
  return wire;
}

static Oh__Chunk *
export_chunk (const oh_flow_entry_t *entry, const oh_chunk_t *chunk)
{
  Oh__Chunk *wire = g_new0 (Oh__Chunk, 1);

  oh__chunk__init (wire);
  wire->number = entry->number;
  wire->attempt = entry->attempt;
  wire->sequence = chunk->sequence;
  copy_bytes (&wire->data, chunk->data, chunk->length);
  wire->digest = chunk->digest;
  wire->last = chunk->last;
  wire->total_length = chunk->last ? entry->stream.total_length : 0;
  return wire;
}

static Oh__EntryState *
export_entry (const oh_flow_entry_t *entry)
{
  Oh__EntryState *wire = g_new0 (Oh__EntryState, 1);

  g_assert (entry->run == 0 && entry->state != OH_FLOW_ENTRY_QUEUED && entry->state != OH_FLOW_ENTRY_RUNNING);
  oh__entry_state__init (wire);
  wire->number = entry->number;
  wire->attempt = entry->attempt;
  wire->kind = entry->kind;
  wire->result = entry->result;
  wire->priority = entry->queue_item.priority_class;
  wire->window = (uint32_t)entry->stream.window;
  wire->tag = entry->stream.tag;
  wire->next_sequence = entry->stream.first_unacked;
  wire->digest = entry->stream.acked_digest;
  wire->open_stream = entry->state == OH_FLOW_ENTRY_RESUMING;
  if (wire->open_stream)
    copy_bytes (&wire->payload, entry->payload, entry->payload_length);
  if (entry->state == OH_FLOW_ENTRY_ANSWERED && entry->stream.n_chunks > 0)
    {
      wire->chunks = g_new0 (Oh__Chunk *, entry->stream.n_chunks);
      oh_list_foreach (&entry->stream.chunks, link)
        wire->chunks[wire->n_chunks++] = export_chunk (entry, oh_list_entry (link, oh_chunk_t, link));
    }
  return wire;
}

static bool
entry_valid (const Oh__FlowState *state, size_t index)
{
  const Oh__EntryState *entry = state->entries[index];

  if (entry->number < state->floor || entry->number - state->floor >= OH_REQUEST_WINDOW
      || entry->payload.len > OH_PAYLOAD_MAX_BYTES || entry->priority >= OH_QUEUE_CLASSES
      || (unsigned)entry->kind > OH__REQUEST_KIND__REQUEST_FEED)
    return false;
  /* Unary requests are never handed over while they run. */
  if (entry->open_stream && entry->kind != OH__REQUEST_KIND__REQUEST_TRANSFER
      && entry->kind != OH__REQUEST_KIND__REQUEST_FEED)
    return false;
  for (size_t i = 0; i < index; i++)
    if (state->entries[i]->number == entry->number)
      return false;
  for (size_t i = 0; i < entry->n_chunks; i++)
    if (entry->chunks[i]->data.len > OH_CHUNK_MAX_BYTES
        || entry->chunks[i]->sequence != entry->next_sequence + i
        || entry->chunks[i]->last != (i + 1 == entry->n_chunks))
      return false;
  return true;
}

static void
import_entry (oh_flow_t *flow, const Oh__EntryState *wire)
{
  oh_flow_entry_t *entry = oh_flow_add_entry (flow, wire->number);

  entry->attempt = wire->attempt;
  entry->kind = wire->kind;
  entry->queue_item.priority_class = wire->priority;
  entry->queue_item.deadline_us = INT64_MAX;
  entry->result = wire->result;
  oh_chunk_stream_init (&entry->stream, wire->next_sequence, wire->digest, wire->tag, wire->window);
  if (wire->open_stream)
    {
      entry->state = OH_FLOW_ENTRY_RESUMING;
      entry->payload = g_memdup2 (wire->payload.data, wire->payload.len);
      entry->payload_length = wire->payload.len;
      entry->tag_known = wire->next_sequence > 0 || wire->tag != 0;
      return;
    }
  if (wire->result != OH__RESULT__RESULT_NONE)
    {
      entry->state = wire->result == OH__RESULT__RESULT_NOT_RUN_CANCELLED ? OH_FLOW_ENTRY_CANCELLED
                     : wire->result == OH__RESULT__RESULT_UNKNOWN || wire->result == OH__RESULT__RESULT_FAILED
                       ? OH_FLOW_ENTRY_FAILED
                       : OH_FLOW_ENTRY_REFUSED;
      return;
    }
  entry->state = OH_FLOW_ENTRY_ANSWERED;
  for (size_t i = 0; i < wire->n_chunks; i++)
    oh_chunk_stream_import (&entry->stream, wire->chunks[i]);
  entry->stream.finished = true;
}

Oh__FlowState *
oh_flow_export (const oh_flow_t *flow, uint64_t service, uint32_t generation, uint64_t incarnation,
                uint64_t target_incarnation)
{
  Oh__FlowState *state = g_new0 (Oh__FlowState, 1);

  oh__flow_state__init (state);
  copy_bytes (&state->flow, flow->id.bytes, sizeof flow->id.bytes);
  state->service = service;
  state->generation = generation;
  state->floor = flow->floor;
  state->source_incarnation = incarnation;
  state->target_incarnation = target_incarnation;
  state->entries = g_new0 (Oh__EntryState *, OH_REQUEST_WINDOW);
  for (unsigned i = 0; i < OH_REQUEST_WINDOW; i++)
    if (flow->entries[i] != NULL)
      state->entries[state->n_entries++] = export_entry (flow->entries[i]);
  state->caller = export_address (flow->caller);
  state->balancers = g_new0 (Oh__Address *, OH_FLOW_BALANCERS);
  for (unsigned i = 0; i < flow->n_balancers; i++)
    state->balancers[state->n_balancers++] = export_address (flow->balancers[i]);
  return state;
}

bool
oh_flow_import (oh_flow_t *flow, const Oh__FlowState *state, int64_t now_us, oh_error_t *error)
{
  oh_address_t caller = { 0 };

  for (size_t i = 0; i < state->n_entries; i++)
    if (!entry_valid (state, i))
      return oh_error_set (error, OH_ERROR_DECODE, OH_ERROR_CODE_MALFORMED,
                           "flow state: entry %zu is malformed or duplicated", i);
  flow->floor = state->floor;
  for (size_t i = 0; i < state->n_entries; i++)
    import_entry (flow, state->entries[i]);
  oh_address_from_wire (state->caller, &caller);
  flow->caller = caller;
  flow->n_balancers = 0;
  flow->next_balancer = 0;
  for (size_t i = 0; i < state->n_balancers && flow->n_balancers < OH_FLOW_BALANCERS; i++)
    if (oh_address_from_wire (state->balancers[i], &flow->balancers[flow->n_balancers]))
      flow->n_balancers++;
  flow->last_heard_us = now_us;
  return true;
}
