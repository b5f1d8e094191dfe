#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "wire/packet.pb-c.h"

/*
 * State of the agent's upstream: the agent's own observation first, then what the endpoints report. An
 * endpoint can lower the offered slots, never raise them above the configured number.
 */

enum
{
  OH_HEALTH_WINDOW_S = 10,
  OH_HEALTH_MIN_RESULTS = 4, /* fewer results say too little about a failure rate */
};

typedef struct
{
  int64_t second;
  unsigned good;
  unsigned bad;
} oh_health_bucket_t;

typedef struct
{
  uint64_t service;
  unsigned slots;          /* configured */
  unsigned reported_slots; /* by the load endpoint; 0: not known */
  oh_health_bucket_t buckets[OH_HEALTH_WINDOW_S];
  bool known;   /* the health endpoint has answered */
  bool foreign; /* it belongs to another service */
  bool suspect;
  Oh__UpstreamState reported;
  uint64_t instance;
  int64_t answered_us;   /* last answer of the health endpoint */
  int64_t completed_us;  /* last finished request */
  int64_t warm_since_us; /* start of the slow start */
} oh_upstream_health_t;

void oh_upstream_health_init (oh_upstream_health_t *health, uint64_t service, unsigned slots);

/* Records a finished request; bad ones were refused or failed. */
void oh_upstream_health_record (oh_upstream_health_t *health, int64_t now_us, bool good);

void oh_upstream_health_answered (oh_upstream_health_t *health, int64_t now_us, uint64_t service,
                                  Oh__UpstreamState state, uint64_t instance);

/* oldest_us: start of the oldest request without an answer, 0 if none. Returns true if the state changed. */
bool oh_upstream_health_update (oh_upstream_health_t *health, int64_t now_us, int64_t oldest_us);

/* Slots that the agent offers; 0 while it is suspect, foreign or not known. */
unsigned oh_upstream_health_offered (const oh_upstream_health_t *health, int64_t now_us);

Oh__UpstreamState oh_upstream_health_state (const oh_upstream_health_t *health, int64_t now_us);
