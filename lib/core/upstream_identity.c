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
    .silence_us = heartbeat_ms * 1000 * OH_UPSTREAM_SILENT_BEATS,
  };
}

static bool
is_new_start (const oh_upstream_identity_t *identity, const oh_announcement_t *announcement)
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
  const bool replaced = is_new_start (identity, announcement);
  const oh_upstream_identity_t before = *identity;

  if (announcement->state == OH_ANNOUNCED_LEFT)
    {
      /* It says nothing but its id. */
      if (identity->generation == 0 || strcmp (announcement->id, identity->id) != 0
          || identity->state == OH_ANNOUNCED_LEFT)
        return OH_IDENTITY_STALE;
      identity->state = OH_ANNOUNCED_LEFT;
      identity->heard_us = now_us;
      return OH_IDENTITY_CHANGED;
    }
  if (!replaced
      && (announcement->started_ms < identity->started_ms || announcement->sequence < identity->sequence))
    return OH_IDENTITY_STALE;
  /* A start that has left does not come back; a late announcement of it has the sequence it had. */
  if (!replaced && identity->state == OH_ANNOUNCED_LEFT)
    return OH_IDENTITY_STALE;
  identity->generation += replaced;
  identity->started_ms = announcement->started_ms;
  identity->sequence = announcement->sequence;
  identity->state = announcement->state;
  identity->slots = announcement->slots;
  identity->warm_us = now_us + announcement->warmup_ms * 1000;
  identity->heard_us = now_us;
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
oh_upstream_identity_accepts (const oh_upstream_identity_t *identity, int64_t now_us)
{
  return identity->generation > 0 && identity->state == OH_ANNOUNCED_READY
         && !oh_upstream_identity_silent (identity, now_us);
}

bool
oh_upstream_identity_silent (const oh_upstream_identity_t *identity, int64_t now_us)
{
  return now_us - identity->heard_us > identity->silence_us;
}
