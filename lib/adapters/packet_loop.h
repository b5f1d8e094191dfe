#pragma once

#include <glib.h>
#include <stdatomic.h>

#include "base/counters.h"
#include "base/error.h"
#include "core/balancer_core.h"
#include "ports/clock.h"

/*
 * The balancer's packet thread. It owns the two UDP sockets and the core, and receives and sends datagrams in
 * batches. Other threads only post views to it and read its counters.
 */

typedef struct oh_packet_batches oh_packet_batches_t;

typedef struct
{
  oh_balancer_sink_t sink;
  oh_balancer_core_t *core; /* while the thread runs, only the thread uses it */
  oh_clock_t *clock;
  int caller_fd;
  int relay_fd;
  int wake_fd;        /* eventfd */
  GAsyncQueue *views; /* of oh_placement_view_t *, owned */
  GThread *thread;
  _Atomic bool stop;
  _Atomic bool wake_requested; /* views are queued, or the thread has to stop */
  oh_packet_batches_t *batches;
  oh_counter_t received;
  oh_counter_t receive_batches;
  oh_counter_t send_dropped; /* the kernel did not accept the datagram */
} oh_packet_loop_t;

/* Opens and binds the sockets. On failure returns false, sets the error and leaves nothing open. */
bool oh_packet_loop_init (oh_packet_loop_t *loop, oh_address_t listen, oh_address_t relay, oh_clock_t *clock,
                          oh_error_t *error);

/* Stops the thread if it runs. Does not free the core. */
void oh_packet_loop_finish (oh_packet_loop_t *loop);

/* The bound addresses. */
oh_address_t oh_packet_loop_listen_address (const oh_packet_loop_t *loop);
oh_address_t oh_packet_loop_relay_address (const oh_packet_loop_t *loop);

void oh_packet_loop_add_counters (oh_packet_loop_t *loop, oh_counters_t *counters);

/* Starts the thread, which uses the core until oh_packet_loop_finish. */
void oh_packet_loop_start (oh_packet_loop_t *loop, oh_balancer_core_t *core);

/* Passes the view to the packet thread, with its ownership. May be called from any thread. */
void oh_packet_loop_post_view (oh_packet_loop_t *loop, oh_placement_view_t *view);
