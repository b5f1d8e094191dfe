#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/config_text.h"
#include "core/service_set.h"
#include "ports/upstream_announcement.h"

/*
 * Current incarnation of an agent's upstream and its state, tracked from the upstream's announcements. These
 * may be delayed, duplicated, or from an incarnation that has ended.
 */

enum
{
  OH_UPSTREAM_ID_BYTES = OH_ANNOUNCEMENT_ID_MAX_BYTES + 1,
  OH_UPSTREAM_SERVICE_BYTES = OH_CONFIG_NAME_MAX_BYTES + 1,
  OH_UPSTREAM_MISSED_HEARTBEATS = 3, /* in a row, until the upstream is silent */
  OH_UPSTREAM_FORMER_MAX = 8,        /* former incarnations that are remembered */
  /* Announcements that an incarnation with an earlier start needs to replace a silent one. */
  OH_UPSTREAM_CLAIM_ANNOUNCEMENTS = 3,
};

/* Names an incarnation. */
typedef struct
{
  char id[OH_UPSTREAM_ID_BYTES];
  int64_t started_ms;
} oh_incarnation_t;

/*
 * An incarnation that announces itself although it started before the present one, or was replaced: late
 * announcements, or those of an upstream that started after the time of day was set back. Late ones come once
 * or together; an upstream that runs announces itself in intervals, and the present one is silent then.
 */
typedef struct
{
  oh_incarnation_t incarnation;
  uint64_t sequence; /* of its last announcement */
  int64_t heard_us;  /* when the last one came that counts */
  unsigned n;        /* announcements that came in intervals; 0: there is no claim */
} oh_incarnation_claim_t;

typedef struct
{
  const oh_service_set_t *services; /* of the configuration; may be NULL */
  bool service_checked;             /* the services were known when the incarnation was taken, or since */
  oh_address_t address;             /* of the agent's upstream; announcements of others are refused */
  char id[OH_UPSTREAM_ID_BYTES];    /* with started_ms, names the incarnation */
  char service[OH_UPSTREAM_SERVICE_BYTES];
  uint64_t service_id;
  unsigned generation; /* incremented with each incarnation; 0 before the first announcement */
  int64_t started_ms;  /* wall-clock time; higher is later */
  uint64_t sequence;   /* of the last announcement */
  oh_announced_state_t state;
  unsigned slots;
  int64_t warmup_ends_us;  /* end of the warm-up that the upstream announced */
  int64_t last_heard_us;   /* last announcement that was not stale */
  int64_t silent_after_us; /* age of the last announcement beyond which the upstream is silent */
  oh_incarnation_t former[OH_UPSTREAM_FORMER_MAX]; /* as a ring; n_former were added */
  unsigned n_former;
  oh_incarnation_claim_t claim;
} oh_upstream_identity_t;

typedef enum
{
  OH_IDENTITY_UNCHANGED, /* the announcement was stale or refused */
  OH_IDENTITY_REFRESHED, /* only times and sequence changed */
  OH_IDENTITY_CHANGED,   /* state or slots changed */
  OH_IDENTITY_REPLACED,  /* a new incarnation: all state of the former one is lost */
} oh_identity_change_t;

/* address: where the agent's upstream receives segments; services: those of the configuration, must outlive
 * the identity, may be NULL or not known yet; heartbeat_ms: interval of announcements. */
void oh_upstream_identity_init (oh_upstream_identity_t *identity, oh_address_t address,
                                const oh_service_set_t *services, int64_t heartbeat_ms);

/* Applies an announcement received at now_us, unless it is stale or refused. *change may be NULL. */
oh_announcement_result_t oh_upstream_identity_update (oh_upstream_identity_t *identity,
                                                      const oh_announcement_t *announcement, int64_t now_us,
                                                      oh_identity_change_t *change);

/* To be called when the services are known: checks the service of an incarnation that was taken before. If
 * the configuration does not have it, forgets the incarnation, so that the upstream's own is taken, and
 * returns false. */
bool oh_upstream_identity_check_service (oh_upstream_identity_t *identity);

/* True if the upstream has announced that it leaves. False before its first announcement: it may be running.
 */
bool oh_upstream_identity_has_left (const oh_upstream_identity_t *identity);

/* True if the upstream is ready and not silent, so that it can take new flows. */
bool oh_upstream_identity_accepts_flows (const oh_upstream_identity_t *identity, int64_t now_us);

/* True if the last announcement is older than OH_UPSTREAM_MISSED_HEARTBEATS intervals. */
bool oh_upstream_identity_is_silent (const oh_upstream_identity_t *identity, int64_t now_us);
