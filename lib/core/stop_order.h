#pragma once

#include <stdbool.h>

#include "core/config_text.h"
#include "wire/control.pb-c.h"

/* Order of planned stops: services that depend on a service must be stopped before it. */

/*
 * True if the upstream may be drained: another upstream of its service accepts work, or no service that
 * depends on its service, directly or indirectly, has an upstream that accepts work. Otherwise *dependant is
 * set to the name of such a service, which belongs to config. An upstream that is not announced, or
 * whose service is not in config, may be drained. An upstream accepts work if it is announced and neither
 * drains nor is drained by an operator, alone or with its availability zone.
 */
bool oh_stop_order_allows (const oh_config_t *config, const Oh__StatusReply *status, const char *upstream,
                           const char **dependant);
