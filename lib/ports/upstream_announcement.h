#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Announcement that an upstream sends of its own state, decoded by an adapter. Strings are borrowed. With
 * OH_ANNOUNCED_LEFT only the id is set. */

typedef enum
{
  OH_ANNOUNCED_READY,
  OH_ANNOUNCED_DRAINING, /* takes no new flows */
  OH_ANNOUNCED_LEFT,     /* has stopped serving and is about to exit */
} oh_announced_state_t;

typedef struct
{
  const char *id;      /* instance id; a restart may keep it, and then has a later started_ms */
  const char *service; /* "" if not given */
  oh_announced_state_t state;
  unsigned slots;     /* requests that the upstream runs at the same time, at most */
  int64_t warmup_ms;  /* remaining time for which it is slow after its start */
  int64_t started_ms; /* wall-clock time of its start; a later start has a higher value */
  uint64_t sequence;  /* increases with each announcement of an incarnation; 0 if not given */
} oh_announcement_t;
