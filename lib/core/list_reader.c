#include "core/list_reader.h"

#include <glib.h>

void
oh_list_reader_fill_poll (const oh_list_reader_t *reader, Oh__Poll *poll)
{
  poll->replica_epoch = reader->epoch;
  poll->sequence = reader->sequence;
  poll->increments = true;
  poll->list_epoch = reader->list_epoch;
  poll->list_sequence = reader->list_sequence;
  poll->incomplete = reader->incomplete;
}

/* A view of an earlier release is a snapshot, a change of the reader's snapshot, or, with replica_epoch 0, an
 * addition that leaves the position as it is. */
static bool
accept_without_increments (oh_list_reader_t *reader, const Oh__View *message)
{
  if (message->replica_epoch == 0)
    return true;
  if (message->snapshot || message->replica_epoch == reader->epoch)
    {
      reader->epoch = message->replica_epoch;
      reader->sequence = message->snapshot ? message->sequence : MAX (reader->sequence, message->sequence);
      return true;
    }
  reader->epoch = 0;
  reader->sequence = 0;
  return false;
}

bool
oh_list_reader_accept (oh_list_reader_t *reader, const Oh__View *message)
{
  const bool same_list = message->list_epoch == reader->list_epoch;

  if (message->list_epoch == 0)
    return accept_without_increments (reader, message);
  if (message->after > 0 && (!same_list || message->after > reader->list_sequence))
    {
      reader->incomplete = true;
      return false;
    }
  reader->incomplete = false;
  reader->list_sequence
    = same_list ? MAX (reader->list_sequence, message->list_sequence) : message->list_sequence;
  reader->list_epoch = message->list_epoch;
  if (message->replica_epoch != 0)
    {
      reader->epoch = message->replica_epoch;
      reader->sequence = message->sequence;
    }
  return true;
}

void
oh_list_reader_reset (oh_list_reader_t *reader)
{
  *reader = (oh_list_reader_t){ .incomplete = true };
}
