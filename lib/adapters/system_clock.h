#pragma once

#include "ports/clock.h"

/* The monotonic clock of the operating system. */
oh_clock_t *oh_system_clock (void);
