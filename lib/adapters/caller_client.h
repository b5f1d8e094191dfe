#pragma once

#include <glib.h>

#include "base/error.h"
#include "base/settings.h"
#include "core/caller_core.h"
#include "ports/clock.h"
#include "ports/random.h"

/*
 * The caller library: flows over UDP in a GLib main context. All functions and callbacks run in the thread of
 * that context. Callbacks may call every function of the client but oh_client_free.
 */

typedef struct oh_client oh_client_t;
typedef struct oh_client_flow oh_client_flow_t;

/* Reports every action but sending, timers and path replacement; the action is valid during the call. */
typedef void (*oh_client_report_t) (oh_client_flow_t *flow, const oh_caller_action_t *action, void *data);

/* fabric: where datagrams go, and the only address that replies are taken from. */
oh_client_t *oh_client_new (GMainContext *context, oh_address_t fabric, oh_clock_t *clock,
                            oh_random_t *random);

/* Frees the flows too, without closing them. */
void oh_client_free (oh_client_t *client);

/* Opens a flow; NULL and the error if there is no socket. */
oh_client_flow_t *oh_client_open (oh_client_t *client, const char *service, oh_client_report_t report,
                                  void *data, oh_error_t *error);

/* The id in the request is the user's choice and unique in the flow. The payload is copied. */
void oh_client_request (oh_client_flow_t *flow, const oh_caller_request_t *request);
void oh_client_cancel (oh_client_flow_t *flow, uint64_t id);

/* OH_CALLER_ACTION_CLOSED is reported when the flow is closed. */
void oh_client_close (oh_client_flow_t *flow);
void oh_client_flow_free (oh_client_flow_t *flow);

const oh_caller_core_t *oh_client_flow_core (const oh_client_flow_t *flow);

/* 32 hexadecimal digits and a terminating zero. */
enum
{
  OH_FLOW_ID_TEXT_BYTES = 2 * OH_FLOW_ID_BYTES + 1,
};
void oh_client_flow_format_id (const oh_client_flow_t *flow, char text[OH_FLOW_ID_TEXT_BYTES]);
