#pragma once

#include <stdbool.h>

#include "core/config_text.h"
#include "wire/control.pb-c.h"

/* The order of planned stops: the services that depend on a service are stopped before it. */

/*
 * True if the upstream may be drained: it is not the last one of its service that takes work, or no service
 * that depends on its service, directly or through others, has an upstream that takes work. Otherwise
 * *dependant is the name of such a service; it belongs to the config. An upstream that is not announced may
 * be drained.
 */
bool oh_stop_order_allows (const oh_config_t *config, const Oh__StatusReply *status, const char *upstream,
                           const char **dependant);
