#define OH_LOG_MODULE "packet_loop"
#include "adapters/packet_loop.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/udp.h"

enum
{
  BATCH_DATAGRAMS = 64,
  BUFFER_BYTES = 2048, /* above the largest valid datagram, so that a truncated one is still too long */
};

/* Datagrams received together or to be sent together; message i refers to buffer i and address i. */
typedef struct
{
  struct mmsghdr messages[BATCH_DATAGRAMS];
  struct iovec vectors[BATCH_DATAGRAMS];
  struct sockaddr_in addresses[BATCH_DATAGRAMS];
  uint8_t buffers[BATCH_DATAGRAMS][BUFFER_BYTES];
  unsigned count; /* datagrams to be sent; unused when receiving */
} batch_t;

struct oh_packet_batches
{
  batch_t in;
  batch_t to_callers;
  batch_t to_agents;
};

static void
init_batch (batch_t *batch)
{
  memset (batch, 0, sizeof *batch);
  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    {
      batch->vectors[i].iov_base = batch->buffers[i];
      batch->vectors[i].iov_len = BUFFER_BYTES;
      batch->messages[i].msg_hdr = (struct msghdr){
        .msg_name = &batch->addresses[i],
        .msg_namelen = sizeof batch->addresses[i],
        .msg_iov = &batch->vectors[i],
        .msg_iovlen = 1,
      };
    }
}

static void
flush_batch (oh_packet_loop_t *loop, int fd, batch_t *batch)
{
  unsigned sent = 0;

  while (sent < batch->count)
    {
      const int n = sendmmsg (fd, batch->messages + sent, batch->count - sent, 0);

      if (n > 0)
        {
          sent += (unsigned)n;
          continue;
        }
      if (errno == EINTR)
        continue;
      if (errno == EAGAIN || errno == ENOBUFS)
        {
          /* Drops the rest: waiting would delay all flows, and the callers retransmit. */
          oh_counter_add (&loop->send_dropped, batch->count - sent);
          break;
        }
      oh_counter_increment (&loop->send_dropped);
      sent++;
    }
  batch->count = 0;
}

static void
append_datagram (oh_packet_loop_t *loop, int fd, batch_t *batch, oh_address_t to, const uint8_t *bytes,
                 size_t length)
{
  g_assert (length <= BUFFER_BYTES);
  if (batch->count == BATCH_DATAGRAMS)
    flush_batch (loop, fd, batch);
  memcpy (batch->buffers[batch->count], bytes, length);
  batch->vectors[batch->count].iov_len = length;
  batch->addresses[batch->count] = (struct sockaddr_in){
    .sin_family = AF_INET,
    .sin_port = htons (to.port),
    .sin_addr.s_addr = htonl (to.ipv4),
  };
  batch->count++;
}

static void
emit_action (oh_balancer_sink_t *sink, const oh_balancer_action_t *action)
{
  oh_packet_loop_t *loop = (oh_packet_loop_t *)sink;

  switch (action->kind)
    {
    case OH_BALANCER_SEND_CALLER:
      append_datagram (loop, loop->caller_fd, &loop->batches->to_callers, action->send.to, action->send.bytes,
                       action->send.length);
      break;
    case OH_BALANCER_SEND_AGENT:
      append_datagram (loop, loop->relay_fd, &loop->batches->to_agents, action->send.to, action->send.bytes,
                       action->send.length);
      break;
    case OH_BALANCER_LOG:
      oh_log_event ("balancer", action->log.level, action->log.event, "%s", action->log.pairs);
      break;
    }
}

/* Returns the number of datagrams received. */
static int
receive_batch (oh_packet_loop_t *loop, int fd, oh_balancer_event_kind_t kind)
{
  batch_t *in = &loop->batches->in;
  int n;

  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    in->messages[i].msg_hdr.msg_namelen = sizeof in->addresses[i];
  n = recvmmsg (fd, in->messages, BATCH_DATAGRAMS, MSG_DONTWAIT, NULL);
  if (n <= 0)
    return 0;
  oh_counter_add (&loop->received, (uint64_t)n);
  oh_counter_increment (&loop->receive_batches);

  const int64_t now_us = oh_clock_now_us (loop->clock);

  for (int i = 0; i < n; i++)
    {
      const oh_balancer_event_t event = {
        .kind = kind,
        .now_us = now_us,
        .datagram = {
          .from = { .ipv4 = ntohl (in->addresses[i].sin_addr.s_addr), .port = ntohs (in->addresses[i].sin_port) },
          .bytes = in->buffers[i],
          .length = in->messages[i].msg_len,
        },
      };

      oh_balancer_core_handle (loop->core, &event, &loop->sink);
    }
  flush_batch (loop, loop->caller_fd, &loop->batches->to_callers);
  flush_batch (loop, loop->relay_fd, &loop->batches->to_agents);
  return n;
}

static void
handle_posted_views (oh_packet_loop_t *loop)
{
  oh_placement_view_t *view;
  uint64_t count;

  /* Cleared before the queue is read: a view posted from here on sets it again. */
  atomic_exchange (&loop->wake_requested, false);
  if (read (loop->wake_fd, &count, sizeof count) < 0 && errno != EAGAIN)
    oh_log_warning ("wake_failed", "errno=%d", errno);
  while ((view = g_async_queue_try_pop (loop->views)) != NULL)
    {
      const oh_balancer_event_t event
        = { .kind = OH_BALANCER_VIEW, .now_us = oh_clock_now_us (loop->clock), .view = view };

      oh_balancer_core_handle (loop->core, &event, &loop->sink);
    }
}

/* Waits until a socket or the eventfd is readable, or the timer is due. */
static void
wait_for_input (oh_packet_loop_t *loop, int64_t due_us)
{
  struct pollfd fds[] = {
    { .fd = loop->caller_fd, .events = POLLIN },
    { .fd = loop->relay_fd, .events = POLLIN },
    { .fd = loop->wake_fd, .events = POLLIN },
  };
  const int64_t left_us = MAX (due_us - oh_clock_now_us (loop->clock), 0);
  const struct timespec timeout
    = { .tv_sec = left_us / G_USEC_PER_SEC, .tv_nsec = (left_us % G_USEC_PER_SEC) * 1000 };

  /* The eventfd may be written after handle_posted_views read it, and then has to be read again. */
  if (ppoll (fds, G_N_ELEMENTS (fds), &timeout, NULL) > 0 && fds[2].revents != 0)
    atomic_store (&loop->wake_requested, true);
}

/*
 * The packet thread. Under load it reads the sockets in turn without waiting. It waits with ppoll since a
 * persistent epoll registration would make the kernel run a callback for every datagram that arrives.
 */
static gpointer
run (gpointer data)
{
  oh_packet_loop_t *loop = data;
  const int64_t period_us = (int64_t)OH_BALANCER_TIMER_MS * 1000;
  int64_t due_us = oh_clock_now_us (loop->clock) + period_us;

  while (!atomic_load_explicit (&loop->stop, memory_order_relaxed))
    {
      const int received = receive_batch (loop, loop->caller_fd, OH_BALANCER_CALLER_PACKET)
                           + receive_batch (loop, loop->relay_fd, OH_BALANCER_RELAY);
      int64_t now_us;

      if (atomic_load (&loop->wake_requested))
        handle_posted_views (loop);
      if (received == 0)
        wait_for_input (loop, due_us);
      now_us = oh_clock_now_us (loop->clock);
      if (now_us >= due_us)
        {
          const oh_balancer_event_t event = { .kind = OH_BALANCER_TIMER, .now_us = now_us };

          oh_balancer_core_handle (loop->core, &event, &loop->sink);
          due_us = now_us + period_us;
        }
    }
  return NULL;
}

static void
wake (oh_packet_loop_t *loop)
{
  const uint64_t one = 1;

  atomic_store (&loop->wake_requested, true);
  if (write (loop->wake_fd, &one, sizeof one) < 0)
    oh_log_warning ("wake_failed", "errno=%d", errno);
}

static void
close_descriptors (oh_packet_loop_t *loop)
{
  const int fds[] = { loop->caller_fd, loop->relay_fd, loop->wake_fd };

  for (size_t i = 0; i < G_N_ELEMENTS (fds); i++)
    if (fds[i] >= 0)
      close (fds[i]);
}

bool
oh_packet_loop_init (oh_packet_loop_t *loop, oh_address_t listen, oh_address_t relay, oh_clock_t *clock,
                     oh_error_t *error)
{
  memset (loop, 0, sizeof *loop);
  loop->sink.emit = emit_action;
  loop->clock = clock;
  loop->relay_fd = -1;
  loop->wake_fd = -1;
  loop->caller_fd = oh_udp_open (listen, error);
  if (loop->caller_fd < 0)
    goto fail;
  loop->relay_fd = oh_udp_open (relay, error);
  if (loop->relay_fd < 0)
    goto fail;
  loop->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (loop->wake_fd < 0)
    {
      oh_error_set (error, OH_ERROR_IO, OH_ERROR_CODE_SYSTEM,
                    "cannot create the eventfd of the packet loop: %s", strerror (errno));
      goto fail;
    }
  loop->views = g_async_queue_new_full ((GDestroyNotify)oh_placement_view_free);
  loop->batches = g_new (oh_packet_batches_t, 1);
  init_batch (&loop->batches->in);
  init_batch (&loop->batches->to_callers);
  init_batch (&loop->batches->to_agents);
  return true;

fail:
  close_descriptors (loop);
  return false;
}

void
oh_packet_loop_finish (oh_packet_loop_t *loop)
{
  if (loop->thread != NULL)
    {
      atomic_store (&loop->stop, true);
      wake (loop);
      g_thread_join (loop->thread);
    }
  g_async_queue_unref (loop->views);
  g_free (loop->batches);
  close_descriptors (loop);
}

oh_address_t
oh_packet_loop_listen_address (const oh_packet_loop_t *loop)
{
  return oh_udp_local_address (loop->caller_fd);
}

oh_address_t
oh_packet_loop_relay_address (const oh_packet_loop_t *loop)
{
  return oh_udp_local_address (loop->relay_fd);
}

void
oh_packet_loop_add_counters (oh_packet_loop_t *loop, oh_counters_t *counters)
{
  oh_counters_add (counters, &loop->received, "datagrams_received_total");
  oh_counters_add (counters, &loop->receive_batches, "receive_batches_total");
  oh_counters_add (counters, &loop->send_dropped, "send_dropped_total");
}

void
oh_packet_loop_start (oh_packet_loop_t *loop, oh_balancer_core_t *core)
{
  loop->core = core;
  loop->thread = g_thread_new ("packets", run, loop);
}

void
oh_packet_loop_post_view (oh_packet_loop_t *loop, oh_placement_view_t *view)
{
  g_async_queue_push (loop->views, view);
  wake (loop);
}
