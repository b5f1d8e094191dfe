#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"

/* Announcement that an upstream sends of its own state, decoded by an adapter. Strings are borrowed. */

typedef enum
{
  OH_ANNOUNCED_READY,
  OH_ANNOUNCED_DRAINING, /* takes no new flows */
  OH_ANNOUNCED_LEFT,     /* has stopped serving and is about to exit; has an id and a start time only */
} oh_announced_state_t;

enum
{
  OH_ANNOUNCEMENT_ID_MAX_BYTES = 63,
  OH_ANNOUNCED_START_UNKNOWN = -1, /* started_ms of an announcement that does not tell it */
};

typedef struct
{
  const char *id;       /* instance id; a restart may keep it, and then has a later started_ms */
  const char *service;  /* "" with OH_ANNOUNCED_LEFT */
  oh_address_t address; /* where the upstream receives segments */
  oh_announced_state_t state;
  unsigned slots;     /* requests that the upstream runs at the same time, at most */
  int64_t warmup_ms;  /* remaining time for which it is slow after its start */
  int64_t started_ms; /* wall-clock time of its start; a later start has a higher value. May be
                         OH_ANNOUNCED_START_UNKNOWN with OH_ANNOUNCED_LEFT */
  uint64_t sequence;  /* increases with each announcement of an incarnation */
} oh_announcement_t;

/* What became of an announcement that was decoded. */
typedef enum
{
  OH_ANNOUNCEMENT_TAKEN,
  OH_ANNOUNCEMENT_STALE,           /* late: of an incarnation that has ended, or older than the last one */
  OH_ANNOUNCEMENT_OTHER_ADDRESS,   /* refused: of an upstream at another address */
  OH_ANNOUNCEMENT_UNKNOWN_SERVICE, /* refused: a new start of a service that the configuration does not have
                                    */
  OH_ANNOUNCEMENT_OTHER_SERVICE,   /* refused: an incarnation does not change its service */
  OH_ANNOUNCEMENT_OTHER_ID, /* refused: started in the same millisecond as an upstream with another id */
  OH_ANNOUNCEMENT_AMBIGUOUS_LEAVING /* refused: without a start time, and the upstream has not been draining
                                     */
} oh_announcement_result_t;

/* True unless the announcement was taken or stale. */
bool oh_announcement_refused (oh_announcement_result_t result);

/* Static string for logs and replies, such as "other-address". */
const char *oh_announcement_result_name (oh_announcement_result_t result);
