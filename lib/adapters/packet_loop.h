#pragma once

#include <glib.h>
#include <stdatomic.h>

#include "base/counters.h"
#include "base/error.h"
#include "core/balancer_core.h"
#include "ports/clock.h"

/*
 * The balancer's packet task: a thread that owns the two UDP sockets and the core, and moves datagrams in
 * batches. Other threads reach it only by posting views.
 */

typedef struct oh_packet_batches oh_packet_batches_t;

typedef struct
{
  oh_balancer_sink_t sink;
  oh_balancer_core_t *core; /* used by the thread only while it runs */
  oh_clock_t *clock;
  int caller_fd;
  int relay_fd;
  int wake_fd;
  GAsyncQueue *views; /* of oh_placement_view_t *, owned */
  GThread *thread;
  _Atomic bool stop;
  _Atomic bool posted; /* views wait, or the thread has to stop */
  oh_packet_batches_t *batches;
  oh_counter_t received;
  oh_counter_t receive_batches;
  oh_counter_t send_dropped; /* the kernel did not take the datagram */
} oh_packet_loop_t;

/* Opens the sockets. On failure nothing is left open. */
bool oh_packet_loop_init (oh_packet_loop_t *loop, oh_address_t listen, oh_address_t relay, oh_clock_t *clock,
                          oh_error_t *error);

/* Stops the thread if it runs. The core remains with the caller. */
void oh_packet_loop_finish (oh_packet_loop_t *loop);

/* The bound addresses. */
oh_address_t oh_packet_loop_listen_address (const oh_packet_loop_t *loop);
oh_address_t oh_packet_loop_relay_address (const oh_packet_loop_t *loop);

void oh_packet_loop_add_counters (oh_packet_loop_t *loop, oh_counters_t *counters);

void oh_packet_loop_start (oh_packet_loop_t *loop, oh_balancer_core_t *core);

/* Takes ownership of the view; any thread may call it. */
void oh_packet_loop_post_view (oh_packet_loop_t *loop, oh_placement_view_t *view);
