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
 * Balancer logic without I/O: forwards datagrams by route token without state for flows, offers Opens to
 * agents, and delivers what agents relay to callers. It answers nothing but Opens. Does not allocate except
 * when the view changes.
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
  OH_BALANCER_LEARN_BUDGET = 16, /* key derivations each timer period, about 0.1 ms of work */
  OH_BALANCER_LOG_BYTES = 400,
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

/* Pointers are valid during the call only. */
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
      const char *pairs;
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
  oh_counter_t placed;            /* offers to an agent, retries included */
  oh_counter_t open_retries;      /* offers after a refusal by an agent */
  oh_counter_t refused;           /* Opens refused by the balancer */
  oh_counter_t reports;           /* load reports taken */
  oh_counter_t reports_ignored;   /* unknown upstream, out of order or late */
  oh_counter_t dropped_malformed; /* from callers */
  oh_counter_t dropped_no_token;
  oh_counter_t dropped_forged_token;
  oh_counter_t dropped_wrong_service; /* token of another service than the packet */
  oh_counter_t dropped_direction;     /* body that only the other side sends */
  oh_counter_t dropped_bad_seal;      /* on the relay side */
  oh_counter_t dropped_bad_relay;
  oh_counter_t keys_learned; /* generations taken from tokens or seals */
} oh_balancer_counters_t;

typedef struct
{
  oh_address_t relay; /* where agents send to */
  oh_keyring_t keyring;
  oh_placement_t placement;
  oh_balancer_counters_t counters;
  unsigned learn_budget;    /* key derivations left in this period */
  oh_log_level_t log_level; /* no log actions beyond it */
  oh_arena_t arena;
  oh_arena_t inner_arena;
  uint8_t out[OH_RELAY_MAX_BYTES];
} oh_balancer_core_t;

/* Copies the keyring. */
void oh_balancer_core_init (oh_balancer_core_t *core, const char *zone, oh_address_t relay,
                            const oh_keyring_t *keyring, oh_random_t *random, oh_log_level_t log_level);
void oh_balancer_core_finish (oh_balancer_core_t *core);

void oh_balancer_core_add_counters (oh_balancer_core_t *core, oh_counters_t *counters);

void oh_balancer_core_handle (oh_balancer_core_t *core, const oh_balancer_event_t *event,
                              oh_balancer_sink_t *sink);
