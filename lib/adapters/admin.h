#pragma once

#include "base/counters.h"
#include "base/error.h"
#include "base/settings.h"

/* HTTP endpoint of a daemon: GET /healthz answers "ok", GET /counters the counters, one "name value" line
 * each. */

typedef struct oh_admin oh_admin_t;

/* Serves in the thread's default main context. Returns NULL and sets the error on failure. */
oh_admin_t *oh_admin_start (oh_address_t address, oh_counters_t *counters, oh_error_t *error);
void oh_admin_stop (oh_admin_t *admin);
