#pragma once

#include "ports/random.h"

/* Random bytes from the operating system, through libsodium. Shared and static; not freed. */
oh_random_t *oh_system_random (void);
