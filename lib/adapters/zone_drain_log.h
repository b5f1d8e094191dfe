#pragma once

#include "core/view.h"

/* Logs on a node which availability zones the operators have drained, whenever that changes. */

typedef struct
{
  char *zones; /* as last logged, separated by commas; NULL: none */
} oh_zone_drain_log_t;

/* To be called for each view that the node puts into effect. A zeroed struct needs no initialisation. */
void oh_zone_drain_log_update (oh_zone_drain_log_t *log, const oh_view_t *view);
void oh_zone_drain_log_finish (oh_zone_drain_log_t *log);
