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
  int fd;         /* of the connection that is being made; -1: none */
  guint fd_id;    /* its source; 0: none */
  guint timer_id; /* source of the next connection; 0: none */
  bool accepted;  /* a connection was accepted since the start */
  bool polling;
  bool refused; /* a connection was refused: no further one is made */
};

static gboolean start_connection (gpointer data);

static void
close_connection (oh_listener_watch_t *watch)
{
  if (watch->fd_id != 0)
    g_source_remove (watch->fd_id);
  watch->fd_id = 0;
  if (watch->fd >= 0)
    close (watch->fd);
  watch->fd = -1;
}

/* Handles the outcome of a connection; error is 0 if it was accepted. */
static void
finish_connection (oh_listener_watch_t *watch, int error)
{
  char text[OH_ADDRESS_TEXT_BYTES];

  close_connection (watch);
  if (error != 0)
    oh_log_limited (OH_LOG_MODULE, OH_LOG_INFO, "listener_unreachable",
                    "address=%s accepted=%d reason=\"%s\"", oh_address_format (watch->address, text),
                    watch->accepted, g_strerror (error));
  watch->accepted |= error == 0;
  watch->refused = error == ECONNREFUSED;
  if (watch->refused && watch->accepted)
    watch->gone (watch->data);
  if (!watch->refused && (watch->polling || !watch->accepted))
    watch->timer_id = g_timeout_add (OH_LISTENER_WATCH_INTERVAL_MS, start_connection, watch);
}

static gboolean
on_connection (gint fd, GIOCondition condition, gpointer data)
{
  socklen_t size = sizeof (int);
  int error = 0;

  (void)condition;
  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    error = errno;
  finish_connection (data, error);
  return G_SOURCE_CONTINUE;
}

static gboolean
start_connection (gpointer data)
{
  oh_listener_watch_t *watch = data;
  const struct sockaddr_in sockaddr = {
    .sin_family = AF_INET,
    .sin_port = htons (watch->address.port),
    .sin_addr.s_addr = htonl (watch->address.ipv4),
  };

  watch->timer_id = 0;
  watch->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (watch->fd < 0
      || (connect (watch->fd, (const struct sockaddr *)&sockaddr, sizeof sockaddr) != 0
          && errno != EINPROGRESS))
    finish_connection (watch, errno);
  else
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
  watch->timer_id = g_idle_add (start_connection, watch);
  return watch;
}

void
oh_listener_watch_poll (oh_listener_watch_t *watch)
{
  watch->polling = true;
  if (watch->fd < 0 && watch->timer_id == 0 && !watch->refused)
    watch->timer_id = g_timeout_add (OH_LISTENER_WATCH_INTERVAL_MS, start_connection, watch);
}

void
oh_listener_watch_stop (oh_listener_watch_t *watch)
{
  if (watch == NULL)
    return;
  close_connection (watch);
  if (watch->timer_id != 0)
    g_source_remove (watch->timer_id);
  g_free (watch);
}
