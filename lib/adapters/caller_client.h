#pragma once

#include <glib.h>

#include "base/error.h"
#include "base/settings.h"
#include "core/caller_core.h"
#include "ports/clock.h"
#include "ports/random.h"

/*
 * The caller library: opens flows over UDP and sends requests on them, in a GLib main context. All functions
 * and callbacks run in the thread of that context. Callbacks may call every function of the client except
 * oh_caller_client_free.
 */

typedef struct oh_caller_client oh_caller_client_t;
typedef struct oh_caller_flow oh_caller_flow_t;

/*
 * Receives every action of the flow's core except sends, timers and path replacements, which the client
 * carries out itself. The action is valid during the call.
 */
typedef void (*oh_caller_flow_callback_t) (oh_caller_flow_t *flow, const oh_caller_action_t *action,
                                           void *data);

/*
 * fabric: the address that datagrams are sent to; datagrams from any other address are ignored. clock and
 * random must outlive the client.
 */
oh_caller_client_t *oh_caller_client_new (GMainContext *context, oh_address_t fabric, oh_clock_t *clock,
                                          oh_random_t *random);

/* Frees the flows too, without closing them. */
void oh_caller_client_free (oh_caller_client_t *client);

/* Starts to open a flow to the service. Returns NULL and sets the error if no socket can be opened. */
oh_caller_flow_t *oh_caller_client_open_flow (oh_caller_client_t *client, const char *service,
                                              oh_caller_flow_callback_t callback, void *data,
                                              oh_error_t *error);

/* The user chooses the request's id, which must be unique in the flow. The payload is copied. */
void oh_caller_flow_request (oh_caller_flow_t *flow, const oh_caller_request_t *request);
void oh_caller_flow_cancel (oh_caller_flow_t *flow, uint64_t id);

/* Starts to close the flow; the callback receives OH_CALLER_ACTION_CLOSED once it is closed. */
void oh_caller_flow_close (oh_caller_flow_t *flow);

/* Frees the flow without closing it; its callback is not called again. */
void oh_caller_flow_free (oh_caller_flow_t *flow);

/* The flow's state machine, to read its state and statistics; owned by the flow. */
const oh_caller_core_t *oh_caller_flow_core (const oh_caller_flow_t *flow);

/* 32 hexadecimal digits and a terminating NUL. */
enum
{
  OH_FLOW_ID_TEXT_BYTES = 2 * OH_FLOW_ID_BYTES + 1,
};
void oh_caller_flow_format_id (const oh_caller_flow_t *flow, char text[OH_FLOW_ID_TEXT_BYTES]);
