#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/keyring.h"
#include "wire/packet.pb-c.h"

/*
 * Requests to the upstream that an agent serves. Every call is asynchronous: results arrive later as events,
 * never from within the call. After OH_UPSTREAM_END, OH_UPSTREAM_FAILED or abandon no further event carries
 * the id, except one OH_UPSTREAM_CANCEL_RESULT for a cancel that is still open.
 */

typedef struct
{
  uint64_t id; /* chosen by the caller, never reused */
  oh_flow_id_t flow;
  uint32_t number;
  Oh__RequestKind kind;
  unsigned priority;
  int64_t remaining_ms; /* 0: no deadline */
  bool resume;
  uint64_t resume_chunk;  /* transfers: first chunk wanted */
  uint64_t last_event_id; /* feeds: last item received */
  const uint8_t *payload; /* valid during the call */
  size_t payload_length;
} oh_upstream_request_t;

typedef enum
{
  OH_UPSTREAM_STARTED, /* the response headers arrived */
  OH_UPSTREAM_DATA,
  OH_UPSTREAM_ITEM, /* feeds */
  OH_UPSTREAM_END,
  OH_UPSTREAM_FAILED,
  OH_UPSTREAM_CANCEL_RESULT,
  OH_UPSTREAM_HEALTH, /* poll result */
  OH_UPSTREAM_LOAD,   /* poll result */
} oh_upstream_event_kind_t;

typedef enum
{
  OH_UPSTREAM_SHED,          /* not run */
  OH_UPSTREAM_WRONG_SERVICE, /* not run */
  OH_UPSTREAM_DEADLINE,      /* not run */
  OH_UPSTREAM_NOT_SENT,      /* no connection could be made, so not run */
  OH_UPSTREAM_ERROR,         /* ran and failed */
  OH_UPSTREAM_BROKEN,        /* the connection was lost: it may have run */
} oh_upstream_failure_t;

typedef enum
{
  OH_RAN_UNKNOWN,
  OH_RAN_NO,
  OH_RAN_YES,
} oh_ran_t;

typedef struct
{
  oh_upstream_event_kind_t kind;
  uint64_t id; /* 0 for poll results */
  union
  {
    struct
    {
      uint64_t tag;
      bool partial; /* the answer starts at the chunk asked for */
    } started;
    struct
    {
      const uint8_t *bytes;
      size_t length;
      uint64_t item; /* OH_UPSTREAM_ITEM: its id */
    } data;
    oh_upstream_failure_t failure;
    oh_ran_t ran;
    struct
    {
      bool answered;
      uint64_t service;
      Oh__UpstreamState state;
      uint64_t instance;
    } health;
    struct
    {
      unsigned slots;
      unsigned busy;
    } load;
  };
} oh_upstream_event_t;

typedef struct oh_upstream oh_upstream_t;

typedef struct
{
  void (*start) (oh_upstream_t *upstream, const oh_upstream_request_t *request);

  /* Asks the upstream to cancel; its word arrives as OH_UPSTREAM_CANCEL_RESULT. The request itself stays
   * open. */
  void (*cancel) (oh_upstream_t *upstream, uint64_t id);

  /* Closes the connection of the request. */
  void (*abandon) (oh_upstream_t *upstream, uint64_t id);

  /* While paused the answer is not read, so that the upstream's TCP window closes. */
  void (*set_paused) (oh_upstream_t *upstream, uint64_t id, bool paused);
} oh_upstream_ops_t;

struct oh_upstream
{
  const oh_upstream_ops_t *ops;
};
