#define OH_LOG_MODULE "test"

#include <arpa/inet.h>
#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/listener_watch.h"
#include "adapters/udp.h"

/* What shows that the process of an upstream has ended: refused datagrams and refused connections. The peers
 * are sockets of this process. */

enum
{
  WAIT_MS = 2 * OH_LISTENER_WATCH_INTERVAL_MS,
};

static gboolean
on_timeout (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

static void
run_loop (guint ms)
{
  bool done = false;

  g_timeout_add (ms, on_timeout, &done);
  while (!done)
    g_main_context_iteration (NULL, TRUE);
}

/* Port 0 selects a free port. */
static int
listen_on (uint16_t port, oh_address_t *address)
{
  struct sockaddr_in sockaddr
    = { .sin_family = AF_INET, .sin_port = htons (port), .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof sockaddr;
  const int on = 1;
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  g_assert_cmpint (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on), ==, 0);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&sockaddr, sizeof sockaddr), ==, 0);
  g_assert_cmpint (listen (fd, 8), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&sockaddr, &size), ==, 0);
  *address = (oh_address_t){ .ipv4 = INADDR_LOOPBACK, .port = ntohs (sockaddr.sin_port) };
  return fd;
}

static void
on_gone (void *data)
{
  (*(unsigned *)data)++;
}

typedef enum
{
  LISTENS,         /* and accepts no connection, as a process that is paused */
  LISTENS_NOT,     /* from the start on */
  STOPS_LISTENING, /* later */
  IS_REPLACED,     /* by another process that listens at the same address */
} behaviour_t;

static void
test_listener_watch (void)
{
  static const struct
  {
    const char *name; /* the failure that it guards against */
    behaviour_t behaviour;
    bool polled;
    unsigned n_gone;
  } cases[] = {
    { "a process that is paused is taken for gone", LISTENS, true, 0 },
    { "a process that never listened is taken for gone", LISTENS_NOT, true, 0 },
    { "a process that has ended is not noticed, or reported twice", STOPS_LISTENING, true, 1 },
    { "a process is connected to again, although it is not polled", STOPS_LISTENING, false, 0 },
    { "a process whose successor listens is taken for gone", IS_REPLACED, true, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      unsigned n_gone = 0;
      oh_address_t address;
      int listener = listen_on (0, &address);
      oh_listener_watch_t *watch;

      g_test_message ("%s", cases[i].name);
      if (cases[i].behaviour == LISTENS_NOT)
        close (listener);
      watch = oh_listener_watch_start (address, on_gone, &n_gone);
      if (cases[i].polled)
        oh_listener_watch_poll (watch);
      run_loop (WAIT_MS);
      if (cases[i].behaviour == STOPS_LISTENING || cases[i].behaviour == IS_REPLACED)
        close (listener);
      if (cases[i].behaviour == IS_REPLACED)
        listener = listen_on (address.port, &address);
      run_loop (WAIT_MS);
      g_assert_cmpuint (n_gone, ==, cases[i].n_gone);
      oh_listener_watch_stop (watch);
      if (cases[i].behaviour != LISTENS_NOT && cases[i].behaviour != STOPS_LISTENING)
        close (listener);
    }
}

static gboolean
on_error (gint fd, GIOCondition condition, gpointer data)
{
  g_assert_cmpint (condition & G_IO_ERR, !=, 0);
  *(unsigned *)data += oh_udp_take_refusals (fd);
  return G_SOURCE_CONTINUE;
}

/* Guards against refused datagrams that are not reported, or reported for ever, against a datagram that is
 * lost because an earlier one was refused, and against refusals while a process has the address. */
static void
test_refused_datagrams (void)
{
  const oh_address_t any = { .ipv4 = INADDR_LOOPBACK, .port = 0 };
  const int fd = oh_udp_open (any, NULL);
  int upstream = oh_udp_open (any, NULL);
  const oh_address_t to = oh_udp_local_address (upstream);
  unsigned n_refused = 0;
  char byte;
  guint id;

  g_assert_true (oh_udp_report_refusals (fd));
  id = g_unix_fd_add (fd, G_IO_ERR, on_error, &n_refused);
  g_assert_true (oh_udp_send (fd, to, "a", 1));
  run_loop (50);
  g_assert_cmpuint (n_refused, ==, 0);
  close (upstream);
  g_assert_true (oh_udp_send (fd, to, "b", 1));
  upstream = oh_udp_open (to, NULL);
  g_assert_true (oh_udp_send (fd, to, "c", 1));
  run_loop (50);
  g_assert_cmpuint (n_refused, ==, 1);
  g_assert_cmpint (oh_udp_receive (upstream, NULL, &byte, 1), ==, 1);
  g_assert_cmpint (byte, ==, 'c');
  g_assert_cmpuint (oh_udp_take_refusals (fd), ==, 0);
  g_source_remove (id);
  close (upstream);
  close (fd);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upstream-end/listener-watch", test_listener_watch);
  g_test_add_func ("/upstream-end/refused-datagrams", test_refused_datagrams);
  return g_test_run ();
}
