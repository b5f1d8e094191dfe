#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"

/* Non-blocking IPv4 UDP sockets. */

enum
{
  OH_UDP_BATCH = 64,
  OH_UDP_MAX_BYTES = 2048, /* the system's own datagrams are smaller */
};

/* Binds to the address; port 0 takes a free one. Returns the descriptor, or -1 with the error set. */
int oh_udp_open (oh_address_t address, oh_error_t *error);

/* The bound address. */
oh_address_t oh_udp_local_address (int fd);

/* A datagram that the kernel does not take at once is lost, as on the network. */
bool oh_udp_send (int fd, oh_address_t to, const void *bytes, size_t length);

typedef void (*oh_udp_received_t) (void *data, uint8_t *bytes, size_t length);

/* Calls back for up to OH_UDP_BATCH datagrams that are waiting, so that other sources of the loop get their
 * turn. Datagrams of more than OH_UDP_MAX_BYTES are dropped. */
void oh_udp_receive_some (int fd, oh_udp_received_t received, void *data);

/* Returns the length, or -1 if nothing is waiting. */
ssize_t oh_udp_receive (int fd, oh_address_t *from, void *buffer, size_t capacity);
