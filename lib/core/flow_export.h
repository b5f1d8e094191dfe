#pragma once

#include <stdbool.h>

#include "base/error.h"
#include "core/flow_table.h"
#include "wire/control.pb-c.h"

/* Conversion between a flow and the FlowState message that hands it over to another agent. */

/* generation is the one that the flow gets at the receiver, incarnation that of this agent. No request of the
 * flow may be queued or at the upstream. Free the result with oh__flow_state__free_unpacked (state, NULL). */
Oh__FlowState *oh_flow_export (const oh_flow_t *flow, uint64_t service, uint32_t generation,
                               uint64_t incarnation, uint64_t target_incarnation);

/* Fills a flow that has no entries; its id, state and generation are not set. Fails if an entry is
 * malformed or duplicated; the flow is then unchanged. */
bool oh_flow_import (oh_flow_t *flow, const Oh__FlowState *state, int64_t now_us, oh_error_t *error);
