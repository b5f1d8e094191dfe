#define OH_LOG_MODULE "listener_watch"
#include "base/log.h"

#include "adapters/listener_watch.h"

#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct oh_listener_watch
{
  oh_address_t address;
  oh_listener_watch_callback_t gone;
  void *data;
  int fd;         /* -1 if there is no connection */
  guint fd_id;    /* source of the descriptor; 0: none */
  guint retry_id; /* source of the next connection; 0: none */
  guint retry_ms;
  bool connected;
  bool accepted; /* a connection was accepted since the start */
};

static gboolean connect_again (gpointer data);

static void
close_connection (oh_listener_watch_t *watch)
{
  if (watch->fd_id != 0)
    g_source_remove (watch->fd_id);
  watch->fd_id = 0;
  if (watch->fd >= 0)
    close (watch->fd);
  watch->fd = -1;
  watch->connected = false;
}

static void
retry_later (oh_listener_watch_t *watch)
{
  close_connection (watch);
  watch->retry_id = g_timeout_add (watch->retry_ms, connect_again, watch);
  watch->retry_ms = MIN (watch->retry_ms * 2, OH_LISTENER_WATCH_RETRY_MAX_MS);
}

static void
handle_failure (oh_listener_watch_t *watch, int error)
{
  char text[OH_ADDRESS_TEXT_BYTES];

  oh_log_limited (OH_LOG_MODULE, OH_LOG_INFO, "listener_unreachable", "address=%s accepted=%d reason=\"%s\"",
                  oh_address_format (watch->address, text), watch->accepted, g_strerror (error));
  if (error != ECONNREFUSED)
    {
      retry_later (watch);
      return;
    }
  close_connection (watch);
  if (watch->accepted)
    watch->gone (watch->data);
}

/* True if the peer has closed the connection. It has nothing to send, since it was asked for nothing. */
static bool
is_closed (int fd)
{
  char byte;
  const ssize_t n = recv (fd, &byte, sizeof byte, 0);

  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

static gboolean
on_connection (gint fd, GIOCondition condition, gpointer data)
{
  oh_listener_watch_t *watch = data;
  socklen_t size = sizeof (int);
  int error = 0;

  (void)condition;
  if (watch->connected)
    {
      if (is_closed (fd))
        retry_later (watch);
      return G_SOURCE_CONTINUE;
    }
  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    error = errno;
  if (error != 0)
    {
      handle_failure (watch, error);
      return G_SOURCE_CONTINUE;
    }
  watch->connected = true;
  watch->accepted = true;
  g_source_remove (watch->fd_id);
  watch->fd_id = g_unix_fd_add (fd, G_IO_IN | G_IO_ERR | G_IO_HUP, on_connection, watch);
  return G_SOURCE_CONTINUE;
}

static gboolean
connect_again (gpointer data)
{
  oh_listener_watch_t *watch = data;
  const struct sockaddr_in sockaddr = {
    .sin_family = AF_INET,
    .sin_port = htons (watch->address.port),
    .sin_addr.s_addr = htonl (watch->address.ipv4),
  };

  watch->retry_id = 0;
  watch->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (watch->fd < 0)
    {
      handle_failure (watch, errno);
      return G_SOURCE_REMOVE;
    }
  if (connect (watch->fd, (const struct sockaddr *)&sockaddr, sizeof sockaddr) != 0 && errno != EINPROGRESS)
    {
      handle_failure (watch, errno);
      return G_SOURCE_REMOVE;
    }
  watch->fd_id = g_unix_fd_add (watch->fd, G_IO_OUT | G_IO_ERR | G_IO_HUP, on_connection, watch);
  return G_SOURCE_REMOVE;
}

oh_listener_watch_t *
oh_listener_watch_start (oh_address_t address, oh_listener_watch_callback_t gone, void *data)
{
  oh_listener_watch_t *watch = g_new0 (oh_listener_watch_t, 1);

  watch->address = address;
  watch->gone = gone;
  watch->data = data;
  watch->fd = -1;
  watch->retry_ms = OH_LISTENER_WATCH_RETRY_MS;
  watch->retry_id = g_idle_add (connect_again, watch);
  return watch;
}

void
oh_listener_watch_stop (oh_listener_watch_t *watch)
{
  if (watch == NULL)
    return;
  close_connection (watch);
  if (watch->retry_id != 0)
    g_source_remove (watch->retry_id);
  g_free (watch);
}
