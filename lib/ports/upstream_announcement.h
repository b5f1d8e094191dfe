#pragma once

#include <stdbool.h>
#include <stdint.h>

/* What an upstream says of itself, decoded by an adapter. Strings are borrowed. With OH_ANNOUNCED_LEFT only
 * the id is set. */

typedef enum
{
  OH_ANNOUNCED_READY,
  OH_ANNOUNCED_DRAINING,
  OH_ANNOUNCED_LEFT, /* it has stopped serving and is about to exit */
} oh_announced_state_t;

typedef struct
{
  const char *id;      /* names one start of the upstream, though a restart may keep it */
  const char *service; /* "" if not said */
  oh_announced_state_t state;
  unsigned slots;     /* requests that it runs at once */
  int64_t warmup_ms;  /* for how much longer it is slow after its start */
  int64_t started_ms; /* time of day of its start; higher is later */
  uint64_t sequence;  /* grows with each announcement of one start; 0 if not said */
} oh_announcement_t;
