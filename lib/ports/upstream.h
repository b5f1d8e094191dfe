#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/keyring.h"
#include "wire/packet.pb-c.h"

/*
 * Sends requests to the upstream of an agent and polls its health and load. Every call is asynchronous:
 * results arrive later as events, never from within the call. OH_UPSTREAM_END, OH_UPSTREAM_FAILED or a call
 * of abandon ends a request: no later event has its id, except one OH_UPSTREAM_CANCEL_RESULT for an
 * outstanding cancel.
 */

typedef struct
{
  uint64_t id; /* chosen by the agent, never reused */
  oh_flow_id_t flow;
  uint32_t number; /* of the request within the flow */
  Oh__RequestKind kind;
  unsigned priority;      /* class, 0 is the highest */
  int64_t remaining_ms;   /* 0: no deadline */
  bool resume;            /* continue a response from resume_chunk or last_event_id */
  uint64_t resume_chunk;  /* transfers: first chunk requested */
  uint64_t last_event_id; /* feeds: last item received */
  const uint8_t *payload; /* valid during the call */
  size_t payload_length;
} oh_upstream_request_t;

typedef enum
{
  OH_UPSTREAM_STARTED, /* the response headers arrived */
  OH_UPSTREAM_DATA,    /* part of the response body; not for feeds */
  OH_UPSTREAM_ITEM,    /* one item of a feed */
  OH_UPSTREAM_END,     /* the response is complete */
  OH_UPSTREAM_FAILED,
  OH_UPSTREAM_CANCEL_RESULT,
  OH_UPSTREAM_HEALTH, /* poll result */
  OH_UPSTREAM_LOAD,   /* poll result */
} oh_upstream_event_kind_t;

typedef enum
{
  OH_UPSTREAM_SHED,            /* refused because of overload; not run */
  OH_UPSTREAM_WRONG_SERVICE,   /* the upstream serves another service; not run */
  OH_UPSTREAM_DEADLINE,        /* the deadline passed before it was run */
  OH_UPSTREAM_NOT_SENT,        /* the connection could not be established; not run */
  OH_UPSTREAM_ERROR,           /* the request ran and failed */
  OH_UPSTREAM_CONNECTION_LOST, /* the request may have run */
} oh_upstream_failure_t;

/* Whether a cancelled request has run, as reported by the upstream. */
typedef enum
{
  OH_CANCEL_RESULT_UNKNOWN, /* no reply, or the reply does not say */
  OH_CANCEL_RESULT_NOT_RUN,
  OH_CANCEL_RESULT_RUN,
} oh_cancel_result_t;

typedef struct
{
  oh_upstream_event_kind_t kind;
  uint64_t id; /* 0 for poll results */
  union
  {
    struct
    {
      uint64_t tag; /* hash of the response's entity tag; 0: none */
      bool partial; /* the response starts at the chunk requested */
    } started;
    struct
    {
      const uint8_t *bytes;
      size_t length;
      uint64_t item; /* OH_UPSTREAM_ITEM: id of the item */
    } data;          /* OH_UPSTREAM_DATA, OH_UPSTREAM_ITEM; valid during the call */
    oh_upstream_failure_t failure;
    oh_cancel_result_t cancel_result;
    struct
    {
      bool answered;    /* false: the other fields are not set */
      uint64_t service; /* service id */
      Oh__UpstreamState state;
      uint64_t instance; /* hash of the instance name; 0: none given */
    } health;
    struct
    {
      unsigned slots; /* requests that the upstream runs at the same time, at most */
      unsigned busy;  /* requests running now */
    } load;
  };
} oh_upstream_event_t;

typedef struct oh_upstream oh_upstream_t;

typedef struct
{
  void (*start) (oh_upstream_t *upstream, const oh_upstream_request_t *request);

  /* Asks the upstream to cancel the request; its reply arrives as OH_UPSTREAM_CANCEL_RESULT. The request
   * itself stays open. */
  void (*cancel) (oh_upstream_t *upstream, uint64_t id);

  /* Ends the request by closing its connection, without an event. */
  void (*abandon) (oh_upstream_t *upstream, uint64_t id);

  /* While paused, the response is not read, so that the TCP receive window fills up and the upstream has to
   * stop sending. */
  void (*set_paused) (oh_upstream_t *upstream, uint64_t id, bool paused);
} oh_upstream_ops_t;

struct oh_upstream
{
  const oh_upstream_ops_t *ops;
};
