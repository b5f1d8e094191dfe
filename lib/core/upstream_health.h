#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "wire/packet.pb-c.h"

/*
 * Health of the agent's upstream. The agent's own observations take precedence over what the upstream's
 * endpoints report, except that a reported drain always counts. A reported number of slots can lower the
 * offered slots, but never raise them above the configured number.
 */

enum
{
  OH_HEALTH_WINDOW_S = 10,   /* period over which the failure rate is measured */
  OH_HEALTH_MIN_RESULTS = 4, /* the failure rate of fewer results is not significant */
};

/* Results of the requests that finished within one second. */
typedef struct
{
  int64_t second; /* of the time passed as now_us */
  unsigned succeeded;
  unsigned failed;
} oh_health_bucket_t;

typedef struct
{
  uint64_t service;
  unsigned slots;          /* configured */
  unsigned reported_slots; /* by the load endpoint; 0: none reported */
  oh_health_bucket_t buckets[OH_HEALTH_WINDOW_S];
  bool answered;      /* the health endpoint has answered at least once */
  bool wrong_service; /* the health endpoint or a failed request named another service */
  bool suspect;       /* failing, unreachable or hanging */
  Oh__UpstreamState reported_state;
  uint64_t instance;      /* reported; changes when the upstream restarts */
  int64_t last_answer_us; /* last answer of the health endpoint */
  int64_t completed_us;   /* end of the last finished request */
  int64_t slow_start_us;  /* when the slow start began */
} oh_upstream_health_t;

void oh_upstream_health_init (oh_upstream_health_t *health, uint64_t service, unsigned slots);

/* Records a finished request; succeeded is false if the upstream refused it or failed. */
void oh_upstream_health_record (oh_upstream_health_t *health, int64_t now_us, bool succeeded);

/* Records an answer of the health endpoint. The first one, and one of another instance than before, begins a
 * slow start. */
void oh_upstream_health_answered (oh_upstream_health_t *health, int64_t now_us, uint64_t service,
                                  Oh__UpstreamState state, uint64_t instance);

/* Updates suspect and returns true if it changed. oldest_unanswered_us is the start time of the oldest
 * request whose answer has not begun, 0 if there is none. Recovery begins a slow start. */
bool oh_upstream_health_update (oh_upstream_health_t *health, int64_t now_us, int64_t oldest_unanswered_us);

/* Slots that the agent offers, one more each second of the slow start; 0 while the upstream is suspect, of
 * the wrong service, or has never answered. */
unsigned oh_upstream_health_offered_slots (const oh_upstream_health_t *health, int64_t now_us);

/* State for load reports. */
Oh__UpstreamState oh_upstream_health_state (const oh_upstream_health_t *health, int64_t now_us);
