#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"

/* Non-blocking IPv4 UDP sockets. */

/* Binds to the address; port 0 takes a free one. Returns the descriptor, or -1 with the error set. */
int oh_udp_open (oh_address_t address, oh_error_t *error);

/* The bound address. */
oh_address_t oh_udp_local_address (int fd);

/* A datagram that the kernel does not take at once is lost, as on the network. */
bool oh_udp_send (int fd, oh_address_t to, const void *bytes, size_t length);

/* Returns the length, or -1 if nothing is waiting. */
ssize_t oh_udp_receive (int fd, oh_address_t *from, void *buffer, size_t capacity);
