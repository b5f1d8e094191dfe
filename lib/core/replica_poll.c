#include "core/replica_poll.h"

#include <glib.h>

void
oh_replica_poll_sent (oh_replica_poll_t *poll, int64_t now_us)
{
  poll->sent_us = now_us;
  poll->answered = false;
  poll->n_sent++;
}

void
oh_replica_poll_answered (oh_replica_poll_t *poll, int64_t now_us)
{
  if (poll->answered_us == 0 || now_us - poll->answered_us > OH_REPLICA_POLL_SILENT_US)
    poll->n_sent = 0;
  poll->answered = true;
  poll->answered_us = now_us;
}

static int64_t
poll_interval_us (const oh_replica_poll_t *poll, size_t n_nodes)
{
  int64_t interval_us
    = MAX ((int64_t)OH_REPLICA_POLL_FAST_US, (int64_t)n_nodes * OH_REPLICA_POLL_US_PER_NODE);

  if (!poll->answered)
    interval_us = MAX (interval_us, (int64_t)OH_REPLICA_POLL_UNANSWERED_US);
  for (unsigned i = OH_REPLICA_POLL_FAST_COUNT; i < poll->n_sent && interval_us < OH_REPLICA_POLL_SLOW_US;
       i++)
    interval_us *= 2;
  return interval_us;
}

bool
oh_replica_poll_is_due (const oh_replica_poll_t *poll, bool view_confirmed, size_t n_nodes, int64_t now_us)
{
  int64_t interval_us;

  if (view_confirmed)
    return false;
  interval_us = poll_interval_us (poll, n_nodes);
  return interval_us < OH_REPLICA_POLL_SLOW_US && now_us - poll->sent_us >= interval_us;
}

oh_replica_list_use_t
oh_replica_poll_list_use (bool view_confirmed, bool message_confirmed, size_t n_listed, size_t n_polled)
{
  if (n_listed == 0)
    return OH_REPLICA_LIST_IGNORED;
  if (message_confirmed)
    return OH_REPLICA_LIST_IN_FORCE;
  if (view_confirmed || n_polled >= OH_REPLICA_POLL_LEARNED_MAX)
    return OH_REPLICA_LIST_IGNORED;
  return OH_REPLICA_LIST_ADDED;
}
