#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"

/* Non-blocking IPv4 UDP sockets. */

enum
{
  OH_UDP_BATCH_DATAGRAMS = 64,
  OH_UDP_MAX_BYTES = 2048, /* above the largest datagram that this system's programs send */
};

/*
 * Opens a socket bound to the address; port 0 selects a free port. Returns the descriptor, or -1 and sets
 * the error.
 */
int oh_udp_open (oh_address_t address, oh_error_t *error);

/* The address that the socket is bound to. */
oh_address_t oh_udp_local_address (int fd);

/*
 * Lets the socket report datagrams that a process with a bound socket did not get: its descriptor then
 * becomes ready with an error (G_IO_ERR), and oh_udp_take_refusals tells how many were refused. To be used
 * with a socket that sends to one address only. Returns false, with errno set, if the system does not support
 * it.
 */
bool oh_udp_report_refusals (int fd);

/*
 * Reads the errors that have been reported since the last call. To be called when the descriptor is ready
 * with an error. Returns the number of datagrams that were refused because no socket was bound to the port
 * that they were sent to.
 */
unsigned oh_udp_take_refusals (int fd);

/*
 * Returns false if the kernel does not accept the datagram at once; it is then lost, as it could be on the
 * network.
 */
bool oh_udp_send (int fd, oh_address_t to, const void *bytes, size_t length);

/* Receives one datagram; the bytes are valid, and may be modified, during the call. */
typedef void (*oh_udp_receive_callback_t) (void *data, uint8_t *bytes, size_t length);

/*
 * Calls back for each waiting datagram, at most OH_UDP_BATCH_DATAGRAMS, so that other sources of the main
 * loop are not delayed. Datagrams of more than OH_UDP_MAX_BYTES are dropped.
 */
void oh_udp_receive_batch (int fd, oh_udp_receive_callback_t callback, void *data);

/*
 * Receives one datagram. Returns its full length, which exceeds the capacity if it was truncated, or -1 if
 * none is waiting. from may be NULL.
 */
ssize_t oh_udp_receive (int fd, oh_address_t *from, void *buffer, size_t capacity);
