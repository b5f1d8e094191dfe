#include "core/upstream_identity.h"

#include <glib.h>
#include <string.h>

#include "core/keyring.h"

void
oh_upstream_identity_init (oh_upstream_identity_t *identity, oh_address_t address,
                           const oh_service_set_t *services, int64_t heartbeat_ms)
{
  *identity = (oh_upstream_identity_t){
    .address = address,
    .services = services,
    .state = OH_ANNOUNCED_LEFT,
    .service_id = oh_service_id (""),
    .silent_after_us = heartbeat_ms * 1000 * OH_UPSTREAM_MISSED_HEARTBEATS,
  };
}

/* Checks an announcement that the upstream leaves. It may be a late one of an earlier incarnation with the
 * same id.
 */
static oh_announcement_result_t
check_leaving (const oh_upstream_identity_t *identity, const oh_announcement_t *announcement)
{
  if (identity->generation == 0 || identity->state == OH_ANNOUNCED_LEFT
      || strcmp (announcement->id, identity->id) != 0)
    return OH_ANNOUNCEMENT_STALE;
  if (announcement->started_ms == OH_ANNOUNCED_START_UNKNOWN)
    return identity->state == OH_ANNOUNCED_DRAINING ? OH_ANNOUNCEMENT_TAKEN
                                                    : OH_ANNOUNCEMENT_AMBIGUOUS_LEAVING;
  return announcement->started_ms == identity->started_ms ? OH_ANNOUNCEMENT_TAKEN : OH_ANNOUNCEMENT_STALE;
}

/* Checks an announcement of the incarnation that is known already. */
static oh_announcement_result_t
check_same_start (const oh_upstream_identity_t *identity, const oh_announcement_t *announcement)
{
  if (strcmp (announcement->id, identity->id) != 0)
    return OH_ANNOUNCEMENT_OTHER_ID;
  if (strcmp (announcement->service, identity->service) != 0)
    return OH_ANNOUNCEMENT_OTHER_SERVICE;
  /* An incarnation that has left does not return. A delayed announcement may carry its last sequence. */
  if (identity->state == OH_ANNOUNCED_LEFT || announcement->sequence < identity->sequence)
    return OH_ANNOUNCEMENT_STALE;
  return OH_ANNOUNCEMENT_TAKEN;
}

/* Checks an announcement that would begin a new incarnation. The present service may go on without a route
 * for a while.
 */
static oh_announcement_result_t
check_new_start (const oh_upstream_identity_t *identity, const oh_announcement_t *announcement)
{
  const bool same_service
    = identity->generation > 0 && strcmp (announcement->service, identity->service) == 0;

  if (!same_service && identity->services != NULL && oh_service_set_is_known (identity->services)
      && !oh_service_set_contains (identity->services, oh_service_id (announcement->service)))
    return OH_ANNOUNCEMENT_UNKNOWN_SERVICE;
  return OH_ANNOUNCEMENT_TAKEN;
}

static bool
is_incarnation (const oh_incarnation_t *incarnation, const oh_announcement_t *announcement)
{
  return incarnation->started_ms == announcement->started_ms
         && strcmp (incarnation->id, announcement->id) == 0;
}

static bool
was_replaced (const oh_upstream_identity_t *identity, const oh_announcement_t *announcement)
{
  for (unsigned i = 0; i < MIN (identity->n_former, OH_UPSTREAM_FORMER_MAX); i++)
    if (is_incarnation (&identity->former[i], announcement))
      return true;
  return false;
}

/* Counts the announcement for the claim of its incarnation. Returns true if the claim holds. */
static bool
update_claim (oh_upstream_identity_t *identity, const oh_announcement_t *announcement, int64_t now_us)
{
  oh_incarnation_claim_t *claim = &identity->claim;
  const int64_t interval_us = identity->silent_after_us / OH_UPSTREAM_MISSED_HEARTBEATS;

  if (claim->n == 0 || !is_incarnation (&claim->incarnation, announcement))
    {
      *claim = (oh_incarnation_claim_t){ .sequence = announcement->sequence, .heard_us = now_us, .n = 1 };
      g_strlcpy (claim->incarnation.id, announcement->id, sizeof claim->incarnation.id);
      claim->incarnation.started_ms = announcement->started_ms;
      return false;
    }
  if (announcement->sequence <= claim->sequence)
    return false;
  claim->sequence = announcement->sequence;
  if (now_us - claim->heard_us < interval_us / 2)
    return false;
  claim->heard_us = now_us;
  claim->n++;
  return claim->n >= OH_UPSTREAM_CLAIM_ANNOUNCEMENTS && oh_upstream_identity_is_silent (identity, now_us);
}

/* Sets *replaces if the announcement, if it is taken, begins an incarnation. */
static oh_announcement_result_t
check (oh_upstream_identity_t *identity, const oh_announcement_t *announcement, int64_t now_us,
       bool *replaces)
{
  *replaces = false;
  if (announcement->state == OH_ANNOUNCED_LEFT)
    return check_leaving (identity, announcement);
  if (!oh_address_equal (announcement->address, identity->address))
    return OH_ANNOUNCEMENT_OTHER_ADDRESS;
  if (identity->generation > 0 && announcement->started_ms == identity->started_ms)
    return check_same_start (identity, announcement);
  if (identity->generation > 0
      && (announcement->started_ms < identity->started_ms || was_replaced (identity, announcement))
      && !update_claim (identity, announcement, now_us))
    return OH_ANNOUNCEMENT_STALE;
  *replaces = true;
  return check_new_start (identity, announcement);
}

static void
remember_former (oh_upstream_identity_t *identity)
{
  oh_incarnation_t *former = &identity->former[identity->n_former % OH_UPSTREAM_FORMER_MAX];

  g_strlcpy (former->id, identity->id, sizeof former->id);
  former->started_ms = identity->started_ms;
  identity->n_former++;
}

static void
start_incarnation (oh_upstream_identity_t *identity, const oh_announcement_t *announcement)
{
  if (identity->generation > 0)
    remember_former (identity);
  identity->generation++;
  identity->started_ms = announcement->started_ms;
  g_strlcpy (identity->id, announcement->id, sizeof identity->id);
  g_strlcpy (identity->service, announcement->service, sizeof identity->service);
  identity->service_id = oh_service_id (identity->service);
  identity->service_checked = identity->services != NULL && oh_service_set_is_known (identity->services);
}

static oh_identity_change_t
apply (oh_upstream_identity_t *identity, const oh_announcement_t *announcement, bool replaces, int64_t now_us)
{
  const oh_announced_state_t state = identity->state;
  const unsigned slots = identity->slots;

  identity->claim.n = 0;
  identity->state = announcement->state;
  identity->last_heard_us = now_us;
  if (announcement->state == OH_ANNOUNCED_LEFT)
    return OH_IDENTITY_CHANGED;
  if (replaces)
    start_incarnation (identity, announcement);
  identity->sequence = announcement->sequence;
  identity->slots = announcement->slots;
  identity->warmup_ends_us = now_us + announcement->warmup_ms * 1000;
  if (replaces)
    return OH_IDENTITY_REPLACED;
  return state != identity->state || slots != identity->slots ? OH_IDENTITY_CHANGED : OH_IDENTITY_REFRESHED;
}

oh_announcement_result_t
oh_upstream_identity_update (oh_upstream_identity_t *identity, const oh_announcement_t *announcement,
                             int64_t now_us, oh_identity_change_t *change)
{
  bool replaces;
  const oh_announcement_result_t result = check (identity, announcement, now_us, &replaces);
  const oh_identity_change_t made = result == OH_ANNOUNCEMENT_TAKEN
                                      ? apply (identity, announcement, replaces, now_us)
                                      : OH_IDENTITY_UNCHANGED;

  if (change != NULL)
    *change = made;
  return result;
}

bool
oh_upstream_identity_check_service (oh_upstream_identity_t *identity)
{
  const oh_upstream_identity_t before = *identity;

  if (identity->generation == 0 || identity->service_checked || identity->services == NULL
      || !oh_service_set_is_known (identity->services))
    return true;
  identity->service_checked = true;
  if (oh_service_set_contains (identity->services, identity->service_id))
    return true;
  *identity = (oh_upstream_identity_t){
    .address = before.address,
    .services = before.services,
    .state = OH_ANNOUNCED_LEFT,
    .service_id = oh_service_id (""),
    .silent_after_us = before.silent_after_us,
  };
  return false;
}

bool
oh_announcement_refused (oh_announcement_result_t result)
{
  return result != OH_ANNOUNCEMENT_TAKEN && result != OH_ANNOUNCEMENT_STALE;
}

const char *
oh_announcement_result_name (oh_announcement_result_t result)
{
  switch (result)
    {
    case OH_ANNOUNCEMENT_TAKEN:
      return "taken";
    case OH_ANNOUNCEMENT_STALE:
      return "stale";
    case OH_ANNOUNCEMENT_OTHER_ADDRESS:
      return "other-address";
    case OH_ANNOUNCEMENT_UNKNOWN_SERVICE:
      return "unknown-service";
    case OH_ANNOUNCEMENT_OTHER_SERVICE:
      return "other-service";
    case OH_ANNOUNCEMENT_OTHER_ID:
      return "other-id";
    case OH_ANNOUNCEMENT_AMBIGUOUS_LEAVING:
      return "ambiguous-leaving";
    }
  g_assert_not_reached ();
}

bool
oh_upstream_identity_has_left (const oh_upstream_identity_t *identity)
{
  return identity->generation > 0 && identity->state == OH_ANNOUNCED_LEFT;
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
