#pragma once

#include <stdint.h>

#include "ports/clock.h"

/* The boot-time clock of the operating system (CLOCK_BOOTTIME), which also counts the time that the VM is
 * suspended. Shared and static; not freed. */
oh_clock_t *oh_system_clock (void);

/* Converts due_us, a time of oh_system_clock, to the ready time of a GSource (g_source_set_ready_time), which
 * counts on the monotonic clock of GLib. */
int64_t oh_system_clock_ready_time (int64_t due_us);
