#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/log.h"
#include "core/codec.h"
#include "core/keyring.h"
#include "core/placement.h"

/*
 * Balancer logic without I/O: forwards datagrams by route token and keeps no state for flows, offers Opens to
 * agents, and delivers to callers what agents relay. It replies only to Opens; invalid datagrams are dropped
 * and counted. Allocates memory only when the view changes.
 */

typedef enum
{
  OH_BALANCER_CALLER_PACKET,
  OH_BALANCER_RELAY,
  OH_BALANCER_VIEW,
  OH_BALANCER_TIMER, /* every OH_BALANCER_TIMER_MS */
} oh_balancer_event_kind_t;

enum
{
  OH_BALANCER_TIMER_MS = 100,
  OH_BALANCER_KEY_DERIVATIONS_MAX = 16, /* in each timer period; takes about 0.1 ms */
  OH_BALANCER_LOG_BYTES = 400,          /* key=value text of a log line; what exceeds it is cut off */
};

typedef struct
{
  oh_balancer_event_kind_t kind;
  int64_t now_us;
  union
  {
    struct
    {
      oh_address_t from;
      const uint8_t *bytes;
      size_t length;
    } datagram;                /* CALLER_PACKET, RELAY */
    oh_placement_view_t *view; /* VIEW; the core takes ownership */
  };
} oh_balancer_event_t;

typedef enum
{
  OH_BALANCER_SEND_CALLER,
  OH_BALANCER_SEND_AGENT,
  OH_BALANCER_LOG,
} oh_balancer_action_kind_t;

/* Pointers are valid only during the call of emit. */
typedef struct
{
  oh_balancer_action_kind_t kind;
  union
  {
    struct
    {
      oh_address_t to;
      const uint8_t *bytes;
      size_t length;
    } send;
    struct
    {
      oh_log_level_t level;
      const char *event;
      const char *pairs; /* key=value text */
    } log;
  };
} oh_balancer_action_t;

typedef struct oh_balancer_sink oh_balancer_sink_t;

struct oh_balancer_sink
{
  void (*emit) (oh_balancer_sink_t *sink, const oh_balancer_action_t *action);
};

typedef struct
{
  oh_counter_t forwarded;         /* caller to agent by token */
  oh_counter_t delivered;         /* agent to caller */
  oh_counter_t opens;             /* received from callers */
  oh_counter_t placed;            /* Opens offered to an agent, retries included */
  oh_counter_t open_retries;      /* Opens that an agent refused and sent back */
  oh_counter_t refused;           /* Opens refused by the balancer */
  oh_counter_t reports;           /* load reports applied */
  oh_counter_t reports_ignored;   /* unknown upstream, out of order or late */
  oh_counter_t dropped_malformed; /* from callers: no valid packet, or an Open without flow generation */
  oh_counter_t dropped_no_token;
  oh_counter_t dropped_forged_token;    /* MAC does not match */
  oh_counter_t dropped_wrong_service;   /* token and packet name different services */
  oh_counter_t dropped_direction;       /* agent's message from a caller or the reverse */
  oh_counter_t dropped_bad_seal;        /* relay datagram without a valid seal */
  oh_counter_t dropped_bad_relay;       /* relay datagram malformed otherwise */
  oh_counter_t key_generations_learned; /* from tokens or seals with a valid MAC */
} oh_balancer_counters_t;

typedef struct
{
  oh_address_t relay; /* address that agents send to */
  oh_keyring_t keyring;
  oh_placement_t placement;
  oh_balancer_counters_t counters;
  unsigned key_derivations_left;   /* in this timer period */
  oh_log_level_t log_level;        /* most verbose level that is emitted */
  oh_arena_t arena;                /* the received datagram */
  oh_arena_t inner_arena;          /* the packet inside a relay */
  uint8_t out[OH_RELAY_MAX_BYTES]; /* the datagram that is being sent */
} oh_balancer_core_t;

/* Copies the keyring. random must outlive the core. */
void oh_balancer_core_init (oh_balancer_core_t *core, const char *zone, oh_address_t relay,
                            const oh_keyring_t *keyring, oh_random_t *random, oh_log_level_t log_level);
void oh_balancer_core_finish (oh_balancer_core_t *core);

/* Registers the metrics; the core must outlive counters. */
void oh_balancer_core_add_counters (oh_balancer_core_t *core, oh_counters_t *counters);

/* Processes one event; the resulting actions go to sink before the call returns. */
void oh_balancer_core_handle (oh_balancer_core_t *core, const oh_balancer_event_t *event,
                              oh_balancer_sink_t *sink);
