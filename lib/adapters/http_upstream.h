#pragma once

#include "base/error.h"
#include "ports/upstream.h"

/*
 * The upstream over HTTP/1.1: POST /request, DELETE /request/FLOW/NUMBER, and each second GET /health and
 * GET /load. Runs in the thread's default main context, where events are delivered.
 */

typedef struct oh_http_upstream oh_http_upstream_t;

typedef void (*oh_http_upstream_handler_t) (const oh_upstream_event_t *event, void *data);

/* url reads "http://IPV4:PORT". connections bounds the open connections to the upstream. */
oh_http_upstream_t *oh_http_upstream_start (const char *url, const char *service, unsigned connections,
                                            oh_http_upstream_handler_t handler, void *data,
                                            oh_error_t *error);
void oh_http_upstream_stop (oh_http_upstream_t *upstream);

oh_upstream_t *oh_http_upstream_port (oh_http_upstream_t *upstream);
