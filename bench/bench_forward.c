/*
 * Forwarding on loopback. Compares the datagrams per second through the packet loop and the balancer core
 * with those through a baseline relay, which moves the same datagrams in the same batches without decoding
 * them, in alternating rounds of one run. Also measures new flows per second and heap allocations per
 * forwarded datagram. The log level is info; log lines go to a file.
 */

#define OH_LOG_MODULE "bench"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/packet_loop.h"
#include "adapters/system_clock.h"
#include "adapters/system_random.h"
#include "adapters/udp.h"
#include "base/log.h"
#include "core/balancer_core.h"

enum
{
  BATCH_DATAGRAMS = 64,
  BUFFER_BYTES = 2048,
  ROUNDS = 5,
  ROUND_MS = 600,
  SETTLE_MS = 150,
  OPEN_WINDOW = 128, /* Opens in flight; far fewer than a socket buffer holds, so that it drops none */
  OPEN_DURATION_MS = 2000,
  REQUEST_PAYLOAD_BYTES = 128, /* a short command or text message */
  UPSTREAMS = 4,
};

#define MIN_THROUGHPUT_RATIO 0.7 /* of the baseline relay */
#define MIN_FLOWS_PER_SECOND 10000.0

static const oh_address_t any_port = { .ipv4 = 0x7f000001, .port = 0 };
static const uint8_t master_key[OH_MASTER_KEY_BYTES] = { 7 };
static _Atomic bool stop;
static _Atomic uint64_t allocations;

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
/* Replace the functions of the C library in order to count every allocation of the process. */
extern void *__libc_malloc (size_t size);
extern void *__libc_calloc (size_t n, size_t size);
extern void *__libc_realloc (void *block, size_t size);

void *
malloc (size_t size)
{
  atomic_fetch_add_explicit (&allocations, 1, memory_order_relaxed);
  return __libc_malloc (size);
}

void *
calloc (size_t n, size_t size)
{
  atomic_fetch_add_explicit (&allocations, 1, memory_order_relaxed);
  return __libc_calloc (n, size);
}

void *
realloc (void *block, size_t size)
{
  atomic_fetch_add_explicit (&allocations, 1, memory_order_relaxed);
  return __libc_realloc (block, size);
}
#endif

typedef struct
{
  struct mmsghdr messages[BATCH_DATAGRAMS];
  struct iovec vectors[BATCH_DATAGRAMS];
  struct sockaddr_in addresses[BATCH_DATAGRAMS];
  uint8_t buffers[BATCH_DATAGRAMS][BUFFER_BYTES];
} batch_t;

/* Argument of a sender, sink or baseline relay thread. */
typedef struct
{
  int fd;
  oh_address_t to;      /* of sender and relay */
  const uint8_t *bytes; /* datagram that a sender repeats */
  size_t length;
  _Atomic uint64_t n_received; /* by a sink */
} worker_t;

static batch_t *
new_batch (void)
{
  batch_t *batch = g_new0 (batch_t, 1);

  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    {
      batch->vectors[i] = (struct iovec){ .iov_base = batch->buffers[i], .iov_len = BUFFER_BYTES };
      batch->messages[i].msg_hdr = (struct msghdr){
        .msg_name = &batch->addresses[i],
        .msg_namelen = sizeof batch->addresses[i],
        .msg_iov = &batch->vectors[i],
        .msg_iovlen = 1,
      };
    }
  return batch;
}

static void
set_destination (batch_t *batch, unsigned index, oh_address_t to, size_t length)
{
  batch->addresses[index] = (struct sockaddr_in){ .sin_family = AF_INET,
                                                  .sin_port = htons (to.port),
                                                  .sin_addr.s_addr = htonl (to.ipv4) };
  batch->messages[index].msg_hdr.msg_namelen = sizeof batch->addresses[index];
  batch->vectors[index].iov_len = length;
}

/* Returns the number of datagrams received. If none is there, waits for one up to 20 ms and returns 0. */
static int
receive_batch (int fd, batch_t *batch)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  int n;

  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    {
      batch->vectors[i].iov_len = BUFFER_BYTES;
      batch->messages[i].msg_hdr.msg_namelen = sizeof batch->addresses[i];
    }
  n = recvmmsg (fd, batch->messages, BATCH_DATAGRAMS, MSG_DONTWAIT, NULL);
  if (n > 0)
    return n;
  poll (&poll_fd, 1, 20);
  return 0;
}

/* Sends the same datagram as fast as the socket accepts it. */
static gpointer
run_sender (gpointer data)
{
  worker_t *worker = data;
  batch_t *batch = new_batch ();

  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    {
      memcpy (batch->buffers[i], worker->bytes, worker->length);
      set_destination (batch, i, worker->to, worker->length);
    }
  while (!atomic_load (&stop))
    if (sendmmsg (worker->fd, batch->messages, BATCH_DATAGRAMS, 0) < 0 && errno != EAGAIN)
      break;
  g_free (batch);
  return NULL;
}

static gpointer
run_sink (gpointer data)
{
  worker_t *worker = data;
  batch_t *batch = new_batch ();

  while (!atomic_load (&stop))
    atomic_fetch_add (&worker->n_received, (uint64_t)receive_batch (worker->fd, batch));
  g_free (batch);
  return NULL;
}

/* Sends each datagram that arrives at fd on to an address. */
static gpointer
run_baseline_relay (gpointer data)
{
  worker_t *worker = data;
  const int out_fd = oh_udp_open (any_port, NULL);
  batch_t *batch = new_batch ();

  while (!atomic_load (&stop))
    {
      const int n = receive_batch (worker->fd, batch);

      for (int i = 0; i < n; i++)
        set_destination (batch, (unsigned)i, worker->to, batch->messages[i].msg_len);
      for (int sent = 0; sent < n;)
        {
          const int done = sendmmsg (out_fd, batch->messages + sent, (unsigned)(n - sent), 0);

          if (done <= 0)
            break;
          sent += done;
        }
    }
  close (out_fd);
  g_free (batch);
  return NULL;
}

typedef struct
{
  oh_keyring_t keyring;
  oh_packet_loop_t loop;
  oh_balancer_core_t core;
  oh_address_t agent;
} balancer_t;

static oh_placement_view_t *
make_view (oh_address_t agent)
{
  static const char text[]
    = "[oriolehaven]\nname=bench\n[service plan-fetch]\naddress=127.0.0.1:7000\ndepends=\n";
  oh_view_member_t members[UPSTREAMS];
  char names[UPSTREAMS][8];
  oh_view_t view = { .confirmed = true, .version = 1, .key_generation = 1 };
  oh_placement_view_t *placement_view;
  oh_error_t error;

  if (!oh_config_parse (&view.config, "bench", text, &error))
    g_error ("%s", error.message);
  view.members = g_ptr_array_new ();
  for (unsigned i = 0; i < UPSTREAMS; i++)
    {
      g_snprintf (names[i], sizeof names[i], "p%u", i);
      members[i] = (oh_view_member_t){
        .name = names[i],
        .service = oh_service_id ("plan-fetch"),
        .agent = agent,
        .incarnation = i + 1,
        .slots = 4,
        .max_flows = 2000,
      };
      g_ptr_array_add (view.members, &members[i]);
    }
  placement_view = oh_placement_view_new (&view);
  g_ptr_array_unref (view.members);
  oh_config_finish (&view.config);
  return placement_view;
}

static void
start_balancer (balancer_t *balancer, oh_address_t agent)
{
  oh_error_t error;

  balancer->agent = agent;
  oh_keyring_init (&balancer->keyring, master_key);
  if (!oh_packet_loop_init (&balancer->loop, any_port, any_port, oh_system_clock (), &error))
    g_error ("%s", error.message);
  oh_balancer_core_init (&balancer->core, "a", oh_packet_loop_relay_address (&balancer->loop),
                         &balancer->keyring, oh_system_random (), OH_LOG_INFO);
  oh_packet_loop_start (&balancer->loop, &balancer->core);
  oh_packet_loop_post_view (&balancer->loop, make_view (agent));
}

static void
stop_balancer (balancer_t *balancer)
{
  oh_packet_loop_finish (&balancer->loop);
  oh_balancer_core_finish (&balancer->core);
}

static Oh__Packet
make_packet (const oh_flow_id_t *flow)
{
  Oh__Packet packet = OH__PACKET__INIT;

  packet.flow.data = (uint8_t *)flow->bytes;
  packet.flow.len = OH_FLOW_ID_BYTES;
  packet.service = oh_service_id ("plan-fetch");
  return packet;
}

static size_t
make_request (const balancer_t *balancer, uint8_t *buffer)
{
  static uint8_t payload[REQUEST_PAYLOAD_BYTES];
  const oh_flow_id_t flow = { { 1, 2, 3 } };
  oh_token_t token = { .service = oh_service_id ("plan-fetch"), .agent = balancer->agent, .incarnation = 1 };
  Oh__Packet packet = make_packet (&flow);
  Oh__Request request = OH__REQUEST__INIT;
  Oh__Token wire;
  Oh__Address address;

  oh_token_sign (&balancer->keyring, &flow, &token);
  oh_token_to_wire (&token, &wire, &address);
  packet.token = &wire;
  packet.body_case = OH__PACKET__BODY_REQUEST;
  packet.request = &request;
  request.number = 1;
  request.payload = (ProtobufCBinaryData){ .len = sizeof payload, .data = payload };
  return oh_packet_encode (&packet, buffer, OH_PACKET_MAX_BYTES);
}

/* Encodes a relay with a chunk of maximum size for the caller and a load report; returns the length. */
static size_t
make_chunk_relay (const balancer_t *balancer, oh_address_t caller, uint8_t *buffer)
{
  static uint8_t data[OH_CHUNK_MAX_BYTES];
  const oh_flow_id_t flow = { { 1, 2, 3 } };
  uint8_t bytes[OH_PACKET_MAX_BYTES];
  Oh__Packet packet = make_packet (&flow);
  Oh__Chunk chunk = OH__CHUNK__INIT;
  Oh__Relay relay = OH__RELAY__INIT;
  Oh__Load load = OH__LOAD__INIT;
  Oh__Address address;

  packet.body_case = OH__PACKET__BODY_CHUNK;
  packet.chunk = &chunk;
  chunk.number = 1;
  chunk.data = (ProtobufCBinaryData){ .len = sizeof data, .data = data };
  oh_address_to_wire (caller, &address);
  relay.caller = &address;
  relay.packet.data = bytes;
  relay.packet.len = oh_packet_encode (&packet, bytes, sizeof bytes);
  relay.load = &load;
  load.upstream = (char *)"p0";
  load.service = packet.service;
  load.incarnation = 1;
  load.sequence = 1;
  load.slots = 4;
  load.max_flows = 2000;
  return oh_relay_encode (&relay, &balancer->keyring, buffer, OH_RELAY_MAX_BYTES);
}

/*
 * Returns the datagrams per second that arrive at the sink while two senders saturate the relay that listens
 * at to. baseline is the baseline relay to run, or NULL if the balancer is measured.
 */
static double
measure_throughput (int sink_fd, oh_address_t to, const uint8_t *bytes, size_t length, worker_t *baseline)
{
  worker_t sink = { .fd = sink_fd };
  worker_t senders[2];
  GThread *threads[G_N_ELEMENTS (senders) + 2] = { NULL };
  size_t n = 0;
  uint64_t before;
  int64_t start_us;
  double rate;

  atomic_store (&stop, false);
  threads[n++] = g_thread_new ("sink", run_sink, &sink);
  if (baseline != NULL)
    threads[n++] = g_thread_new ("baseline", run_baseline_relay, baseline);
  for (size_t i = 0; i < G_N_ELEMENTS (senders); i++)
    {
      senders[i]
        = (worker_t){ .fd = oh_udp_open (any_port, NULL), .to = to, .bytes = bytes, .length = length };
      threads[n++] = g_thread_new ("sender", run_sender, &senders[i]);
    }
  g_usleep (SETTLE_MS * 1000);
  before = atomic_load (&sink.n_received);
  start_us = g_get_monotonic_time ();
  g_usleep (ROUND_MS * 1000);
  rate
    = (double)(atomic_load (&sink.n_received) - before) * 1e6 / (double)(g_get_monotonic_time () - start_us);
  atomic_store (&stop, true);
  for (size_t i = 0; i < n; i++)
    g_thread_join (threads[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (senders); i++)
    close (senders[i].fd);
  return rate;
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  const double x = *(const double *)a;
  const double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
median (double *values, size_t n)
{
  qsort (values, n, sizeof *values, compare_doubles);
  return values[n / 2];
}

/* Rounds alternate, so that other load on the machine affects both relays alike. */
static void
compare_throughput (const char *name, int sink_fd, oh_address_t balancer_address, const uint8_t *bytes,
                    size_t length)
{
  double balancer[ROUNDS];
  double baseline[ROUNDS];
  worker_t relay = { .fd = oh_udp_open (any_port, NULL), .to = oh_udp_local_address (sink_fd) };

  for (unsigned i = 0; i < ROUNDS; i++)
    {
      baseline[i] = measure_throughput (sink_fd, oh_udp_local_address (relay.fd), bytes, length, &relay);
      balancer[i] = measure_throughput (sink_fd, balancer_address, bytes, length, NULL);
    }
  close (relay.fd);

  const double rate = median (balancer, ROUNDS);
  const double limit = median (baseline, ROUNDS);

  printf ("measure=%s value=%.0f unit=datagrams/s baseline=%.0f limit=%.0f bound=%.0f verdict=%s\n", name,
          rate, limit, limit, MIN_THROUGHPUT_RATIO * limit,
          rate >= MIN_THROUGHPUT_RATIO * limit ? "pass" : "fail");
}

/* Start-up allocates, so a count of zero before the measurement is a failure: counting does not work. */
static void
measure_allocations (balancer_t *balancer, int sink_fd, const uint8_t *bytes, size_t length)
{
  const uint64_t forwarded_before = oh_counter_get (&balancer->core.counters.forwarded);
  const uint64_t allocations_before = atomic_load (&allocations);
  const int fd = oh_udp_open (any_port, NULL);
  const oh_address_t to = oh_packet_loop_listen_address (&balancer->loop);
  double per_datagram;
  uint64_t count;

  for (unsigned i = 0; i < 20000; i++)
    {
      oh_udp_send (fd, to, bytes, length);
      if (i % 100 == 99)
        g_usleep (500);
    }
  g_usleep (SETTLE_MS * 1000);
  count = oh_counter_get (&balancer->core.counters.forwarded) - forwarded_before;
  per_datagram = count > 0 ? (double)(atomic_load (&allocations) - allocations_before) / (double)count : 1;
  printf ("measure=forward_allocations value=%.4f unit=allocations/datagram baseline=0 limit=0 bound=0 "
          "verdict=%s\n",
          per_datagram, per_datagram == 0 && count > 0 && allocations_before > 0 ? "pass" : "fail");
  close (fd);
}

typedef struct
{
  int fd;
  oh_address_t balancer;
  const oh_keyring_t *keyring;
  unsigned flows[UPSTREAMS];
  uint64_t sequence;
} agent_t;

/* Answers one Open with a token and a load report. arenas: one for the relay, one for the packet in it. */
static void
answer_open (agent_t *agent, oh_arena_t *arenas, const uint8_t *bytes, size_t length)
{
  const Oh__Relay *relay = oh_relay_decode (&arenas[0], agent->keyring, bytes, length, NULL);
  const Oh__Packet *open;
  uint8_t packet_bytes[OH_PACKET_MAX_BYTES];
  uint8_t buffer[OH_RELAY_MAX_BYTES];
  oh_flow_id_t flow;
  oh_token_t token = { .service = oh_service_id ("plan-fetch"), .incarnation = 1, .flow_generation = 1 };
  Oh__Packet packet;
  Oh__OpenReply reply = OH__OPEN_REPLY__INIT;
  Oh__Relay answer = OH__RELAY__INIT;
  Oh__Load load = OH__LOAD__INIT;
  Oh__Token wire;
  Oh__Address address;

  open = relay != NULL ? oh_packet_decode (&arenas[1], relay->packet.data, relay->packet.len, NULL) : NULL;
  if (open == NULL || open->body_case != OH__PACKET__BODY_OPEN)
    return;
  oh_flow_id_from_packet (open, &flow);
  token.agent = oh_udp_local_address (agent->fd);
  oh_token_sign (agent->keyring, &flow, &token);
  oh_token_to_wire (&token, &wire, &address);
  packet = make_packet (&flow);
  packet.body_case = OH__PACKET__BODY_OPEN_REPLY;
  packet.open_reply = &reply;
  reply.token = &wire;
  answer.caller = relay->caller;
  answer.packet.data = packet_bytes;
  answer.packet.len = oh_packet_encode (&packet, packet_bytes, sizeof packet_bytes);
  answer.load = &load;
  load.upstream = (char *)"p0";
  load.service = packet.service;
  load.incarnation = 1;
  load.sequence = ++agent->sequence;
  load.slots = 4;
  load.busy = 1;
  load.flows = 1;
  load.max_flows = 2000;
  oh_udp_send (agent->fd, agent->balancer, buffer,
               oh_relay_encode (&answer, agent->keyring, buffer, sizeof buffer));
}

static gpointer
run_agent (gpointer data)
{
  agent_t *agent = data;
  batch_t *batch = new_batch ();
  oh_arena_t arenas[2];

  oh_arena_init (&arenas[0]);
  oh_arena_init (&arenas[1]);
  while (!atomic_load (&stop))
    {
      const int n = receive_batch (agent->fd, batch);

      for (int i = 0; i < n; i++)
        answer_open (agent, arenas, batch->buffers[i], batch->messages[i].msg_len);
    }
  g_free (batch);
  return NULL;
}

static size_t
make_open (uint64_t number, uint8_t *buffer)
{
  oh_flow_id_t flow = { { 0 } };
  Oh__Packet packet = make_packet (&flow);
  Oh__Open open = OH__OPEN__INIT;

  memcpy (flow.bytes, &number, sizeof number);
  packet.body_case = OH__PACKET__BODY_OPEN;
  packet.open = &open;
  open.attempt = 1;
  open.flow_generation = 1;
  return oh_packet_encode (&packet, buffer, OH_PACKET_MAX_BYTES);
}

/* Measures new flows per second: Opens answered with a token while OPEN_WINDOW Opens are in flight. */
static void
measure_flows (balancer_t *balancer, int agent_fd)
{
  agent_t agent = { .fd = agent_fd,
                    .balancer = oh_packet_loop_relay_address (&balancer->loop),
                    .keyring = &balancer->keyring };
  const oh_address_t to = oh_packet_loop_listen_address (&balancer->loop);
  const int fd = oh_udp_open (any_port, NULL);
  batch_t *batch = new_batch ();
  oh_arena_t arena;
  GThread *thread;
  uint8_t buffer[OH_PACKET_MAX_BYTES];
  uint64_t sent = 0;
  uint64_t opened = 0;
  uint64_t refused = 0;
  int64_t start_us;
  double rate;

  oh_arena_init (&arena);
  atomic_store (&stop, false);
  thread = g_thread_new ("agent", run_agent, &agent);
  start_us = g_get_monotonic_time ();
  while (g_get_monotonic_time () - start_us < OPEN_DURATION_MS * 1000)
    {
      int n;

      while (sent - opened - refused < OPEN_WINDOW)
        oh_udp_send (fd, to, buffer, make_open (sent++, buffer));
      n = receive_batch (fd, batch);
      for (int i = 0; i < n; i++)
        {
          const Oh__Packet *reply
            = oh_packet_decode (&arena, batch->buffers[i], batch->messages[i].msg_len, NULL);

          if (reply != NULL && reply->body_case == OH__PACKET__BODY_OPEN_REPLY
              && reply->open_reply->token != NULL)
            opened++;
          else
            refused++;
        }
    }
  rate = (double)opened * 1e6 / (double)(g_get_monotonic_time () - start_us);
  atomic_store (&stop, true);
  g_thread_join (thread);
  printf ("measure=new_flows value=%.0f unit=flows/s baseline=0 limit=%.0f bound=%.0f verdict=%s\n", rate,
          MIN_FLOWS_PER_SECOND, MIN_FLOWS_PER_SECOND,
          rate >= MIN_FLOWS_PER_SECOND && refused == 0 ? "pass" : "fail");
  printf ("detail=new_flows opened=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT
          " log_lines_dropped=%" G_GUINT64_FORMAT "\n",
          opened, refused, oh_log_dropped ());
  close (fd);
  g_free (batch);
}

/* Sends log lines to an unlinked temporary file, as a service manager redirects them to a file. */
static void
redirect_log (void)
{
  g_autofree char *path = NULL;
  const int fd = g_file_open_tmp ("bench-XXXXXX", &path, NULL);

  if (fd < 0)
    return;
  g_unlink (path);
  dup2 (fd, STDERR_FILENO);
  close (fd);
}

int
main (void)
{
  static balancer_t balancer;
  const int agent_fd = oh_udp_open (any_port, NULL);
  const int caller_fd = oh_udp_open (any_port, NULL);
  uint8_t request[OH_PACKET_MAX_BYTES];
  uint8_t chunk[OH_RELAY_MAX_BYTES];
  size_t request_length;
  size_t chunk_length;

  redirect_log ();
  oh_log_start (OH_LOG_INFO, STDERR_FILENO);
  start_balancer (&balancer, oh_udp_local_address (agent_fd));
  request_length = make_request (&balancer, request);
  chunk_length = make_chunk_relay (&balancer, oh_udp_local_address (caller_fd), chunk);
  g_usleep (SETTLE_MS * 1000);
  measure_flows (&balancer, agent_fd);
  measure_allocations (&balancer, agent_fd, request, request_length);
  compare_throughput ("forward_requests", agent_fd, oh_packet_loop_listen_address (&balancer.loop), request,
                      request_length);
  compare_throughput ("forward_chunks", caller_fd, oh_packet_loop_relay_address (&balancer.loop), chunk,
                      chunk_length);
  stop_balancer (&balancer);
  oh_log_stop ();
  close (agent_fd);
  close (caller_fd);
  return 0;
}
