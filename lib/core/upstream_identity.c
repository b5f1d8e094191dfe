#include "core/upstream_identity.h"

#include <glib.h>
#include <string.h>

#include "core/keyring.h"

void
oh_upstream_identity_init (oh_upstream_identity_t *identity, int64_t heartbeat_ms)
{
  *identity = (oh_upstream_identity_t){
    .state = OH_ANNOUNCED_LEFT,
    .service_id = oh_service_id (""),
    .silent_after_us = heartbeat_ms * 1000 * OH_UPSTREAM_MISSED_HEARTBEATS,
  };
}

static bool
is_new_incarnation (const oh_upstream_identity_t *identity, const oh_announcement_t *announcement)
{
  if (announcement->state == OH_ANNOUNCED_LEFT)
    return false;
  return identity->generation == 0 || announcement->started_ms > identity->started_ms
         || (announcement->started_ms == identity->started_ms
             && strcmp (announcement->id, identity->id) != 0);
}

oh_identity_change_t
oh_upstream_identity_update (oh_upstream_identity_t *identity, const oh_announcement_t *announcement,
                             int64_t now_us)
{
  const bool replaced = is_new_incarnation (identity, announcement);
  const oh_upstream_identity_t before = *identity;

  if (announcement->state == OH_ANNOUNCED_LEFT)
    {
      /* Such an announcement carries only the id. */
      if (identity->generation == 0 || strcmp (announcement->id, identity->id) != 0
          || identity->state == OH_ANNOUNCED_LEFT)
        return OH_IDENTITY_STALE;
      identity->state = OH_ANNOUNCED_LEFT;
      identity->last_heard_us = now_us;
      return OH_IDENTITY_CHANGED;
    }
  if (!replaced
      && (announcement->started_ms < identity->started_ms || announcement->sequence < identity->sequence))
    return OH_IDENTITY_STALE;
  /* An incarnation that has left does not return. A delayed announcement may carry its last sequence. */
  if (!replaced && identity->state == OH_ANNOUNCED_LEFT)
    return OH_IDENTITY_STALE;
  identity->generation += replaced;
  identity->started_ms = announcement->started_ms;
  identity->sequence = announcement->sequence;
  identity->state = announcement->state;
  identity->slots = announcement->slots;
  identity->warmup_ends_us = now_us + announcement->warmup_ms * 1000;
  identity->last_heard_us = now_us;
  g_strlcpy (identity->id, announcement->id, sizeof identity->id);
  g_strlcpy (identity->service, announcement->service, sizeof identity->service);
  identity->service_id = oh_service_id (identity->service);
  if (replaced)
    return OH_IDENTITY_REPLACED;
  if (before.state != identity->state || before.slots != identity->slots
      || before.service_id != identity->service_id)
    return OH_IDENTITY_CHANGED;
  return OH_IDENTITY_REFRESHED;
}

bool
oh_upstream_identity_accepts_flows (const oh_upstream_identity_t *identity, int64_t now_us)
{
  return identity->generation > 0 && identity->state == OH_ANNOUNCED_READY
         && !oh_upstream_identity_is_silent (identity, now_us);
}

bool
oh_upstream_identity_is_silent (const oh_upstream_identity_t *identity, int64_t now_us)
{
  return now_us - identity->last_heard_us > identity->silent_after_us;
}
