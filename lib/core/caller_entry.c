#include "core/caller_entry.h"

static oh_caller_entry_t **
window_slot (const oh_caller_core_t *core, uint32_t number)
{
  return (oh_caller_entry_t **)&core->window[number % OH_REQUEST_WINDOW];
}

oh_caller_entry_t *
oh_caller_entry_new (const oh_caller_request_t *request)
{
  oh_caller_entry_t *entry = g_new0 (oh_caller_entry_t, 1);

  oh_list_init (&entry->link);
  entry->id = request->id;
  entry->kind = request->kind;
  entry->priority = request->priority;
  entry->deadline_us = request->deadline_us;
  entry->payload = g_byte_array_new ();
  if (request->payload_length > 0)
    g_byte_array_append (entry->payload, request->payload, request->payload_length);
  oh_answer_init (&entry->answer);
  if (!oh_caller_entry_is_stream (entry))
    entry->body = g_byte_array_new ();
  return entry;
}

void
oh_caller_entry_free (oh_caller_entry_t *entry)
{
  oh_list_remove (&entry->link);
  oh_answer_finish (&entry->answer);
  g_clear_pointer (&entry->payload, g_byte_array_unref);
  g_clear_pointer (&entry->body, g_byte_array_unref);
  g_free (entry);
}

void
oh_caller_entry_queue (oh_caller_core_t *core, oh_caller_entry_t *entry)
{
  oh_list_t *position = core->pending.next;

  while (position != &core->pending
         && oh_list_entry (position, oh_caller_entry_t, link)->priority <= entry->priority)
    position = position->next;
  oh_list_insert_before (position, &entry->link);
}

bool
oh_caller_window_has_room (const oh_caller_core_t *core)
{
  return core->next_number - core->floor < OH_REQUEST_WINDOW;
}

void
oh_caller_entry_assign_number (oh_caller_core_t *core, oh_caller_entry_t *entry)
{
  g_assert (oh_caller_window_has_room (core));
  oh_list_remove (&entry->link);
  entry->number = core->next_number++;
  entry->attempt = 1;
  *window_slot (core, entry->number) = entry;
}

void
oh_caller_entry_release_number (oh_caller_core_t *core, oh_caller_entry_t *entry)
{
  oh_caller_entry_t *placeholder = g_new0 (oh_caller_entry_t, 1);

  oh_list_init (&placeholder->link);
  placeholder->kind = entry->kind;
  placeholder->number = entry->number;
  placeholder->attempt = entry->attempt;
  placeholder->finished = true;
  *window_slot (core, entry->number) = placeholder;
  entry->number = 0;
  entry->attempt = 0;
  entry->send_us = 0;
  entry->ack_us = 0;
  entry->unacknowledged = 0;
  oh_caller_window_raise_floor (core);
}

void
oh_caller_window_raise_floor (oh_caller_core_t *core)
{
  while (core->floor < core->next_number && (*window_slot (core, core->floor))->finished)
    {
      oh_caller_entry_t **slot = window_slot (core, core->floor++);

      oh_caller_entry_free (*slot);
      *slot = NULL;
    }
}

oh_caller_entry_t *
oh_caller_window_find (const oh_caller_core_t *core, uint32_t number)
{
  if (number < core->floor || number >= core->next_number)
    return NULL;
  return *window_slot (core, number);
}

oh_caller_entry_t *
oh_caller_entry_find_by_id (const oh_caller_core_t *core, uint64_t id)
{
  for (uint32_t number = core->floor; number < core->next_number; number++)
    {
      oh_caller_entry_t *entry = *window_slot (core, number);

      if (!entry->finished && entry->id == id)
        return entry;
    }
  oh_list_foreach (&core->pending, link)
    if (oh_list_entry (link, oh_caller_entry_t, link)->id == id)
      return oh_list_entry (link, oh_caller_entry_t, link);
  return NULL;
}
