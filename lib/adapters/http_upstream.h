#pragma once

#include "base/error.h"
#include "ports/upstream.h"

/*
 * Implements the upstream interface over HTTP/1.1: POST /request, DELETE /request/FLOW/NUMBER to cancel, and
 * each second GET /health and GET /load. Runs in the default main context, which also delivers the events.
 */

typedef struct oh_http_upstream oh_http_upstream_t;

/* Receives an event, which is valid during the call. */
typedef void (*oh_http_upstream_handler_t) (const oh_upstream_event_t *event, void *data);

/*
 * url has the form "http://IPV4:PORT". connections limits the connections for requests and, separately,
 * those for cancellations. Returns NULL and sets the error if the url is malformed.
 */
oh_http_upstream_t *oh_http_upstream_start (const char *url, const char *service, unsigned connections,
                                            oh_http_upstream_handler_t handler, void *data,
                                            oh_error_t *error);

/*
 * Abandons all requests, runs the main context until the callbacks of cancelled operations have run, and
 * frees the adapter.
 */
void oh_http_upstream_stop (oh_http_upstream_t *upstream);

/* The adapter's upstream interface, owned by the adapter. */
oh_upstream_t *oh_http_upstream_port (oh_http_upstream_t *upstream);
