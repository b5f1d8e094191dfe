#pragma once

#include "core/control_core.h"

/* Functions shared by the control_*.c files. */

/* Prefixes the pairs with the name of this replica. */
void oh_control_log_event (const oh_control_core_t *core, const char *event, const char *format, ...)
  G_GNUC_PRINTF (3, 4);
