#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "ports/upstream_announcement.h"

/*
 * Which start of the upstream beside an agent is the present one, and in what state. Announcements may come
 * late, twice, or from a start that is over.
 */

enum
{
  OH_UPSTREAM_ID_BYTES = 64,
  OH_UPSTREAM_SILENT_BEATS = 3, /* announcements missed in a row that mark an upstream as silent */
};

typedef struct
{
  char id[OH_UPSTREAM_ID_BYTES];
  char service[OH_UPSTREAM_ID_BYTES];
  uint64_t service_id;
  unsigned generation; /* grows with each start of the upstream; 0 before the first announcement */
  int64_t started_ms;
  uint64_t sequence;
  oh_announced_state_t state;
  unsigned slots;
  int64_t warm_us; /* when the warm-up ends */
  int64_t heard_us;
  int64_t silence_us; /* age of the last announcement beyond which the upstream is silent */
} oh_upstream_identity_t;

typedef enum
{
  OH_IDENTITY_STALE,     /* of an earlier start, or older than what is known */
  OH_IDENTITY_REFRESHED, /* nothing changed but the age */
  OH_IDENTITY_CHANGED,   /* state, slots or service changed */
  OH_IDENTITY_REPLACED,  /* a new start: whatever the former one held is gone */
} oh_identity_change_t;

/* heartbeat_ms: time between announcements. */
void oh_upstream_identity_init (oh_upstream_identity_t *identity, int64_t heartbeat_ms);

oh_identity_change_t oh_upstream_identity_update (oh_upstream_identity_t *identity,
                                                  const oh_announcement_t *announcement, int64_t now_us);

/* True if the upstream can take new flows. */
bool oh_upstream_identity_accepts (const oh_upstream_identity_t *identity, int64_t now_us);

bool oh_upstream_identity_silent (const oh_upstream_identity_t *identity, int64_t now_us);
