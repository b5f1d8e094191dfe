#pragma once

#include "base/counters.h"
#include "base/error.h"
#include "base/settings.h"

/*
 * HTTP endpoint of a daemon:
 *
 *   GET /healthz   "ok"
 *   GET /counters  the counters, one "name value" line each
 *   GET /metrics   the counters and histograms in the text format of Prometheus
 */

typedef struct oh_admin oh_admin_t;

/* Serves in the thread's default main context. The counters must outlive the endpoint. Returns NULL and sets
 * the error if the address cannot be listened on. */
oh_admin_t *oh_admin_start (oh_address_t address, oh_counters_t *counters, oh_error_t *error);

/* Closes the listener and frees admin, which may be NULL. */
void oh_admin_stop (oh_admin_t *admin);
