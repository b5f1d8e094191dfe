#pragma once

#include <stdint.h>

#include "ports/clock.h"

/* The boot-time clock of the operating system: it goes on while the VM is suspended. */
oh_clock_t *oh_system_clock (void);

/* The time for g_source_set_ready_time, which counts on another clock, at which due_us has come. */
int64_t oh_system_clock_ready_time (int64_t due_us);
