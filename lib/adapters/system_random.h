#pragma once

#include "ports/random.h"

/* Random bytes from the operating system, through libsodium. */
oh_random_t *oh_system_random (void);
