#include "adapters/link.h"

#include <errno.h>
#include <zmq.h>

enum
{
  HEARTBEAT_INTERVAL_MS = 500,
  /* Below the 3 s lease, so that a dead connection is replaced before the lease ends. */
  HEARTBEAT_TIMEOUT_MS = 2000,
  /* A VM that is powered off does not answer; the kernel would retransmit the SYN only after 1 s or more. */
  CONNECT_TIMEOUT_MS = 250,
  HANDSHAKE_TIMEOUT_MS = 1000, /* for a connection whose peer stops responding before the first message */
  RECONNECT_MS = 50,
  RECONNECT_MAX_MS = 100,
  QUEUE_MESSAGES = 4096,
  MESSAGE_MAX_BYTES = 8 << 20,
};

typedef struct
{
  GSource source;
  oh_link_t *link;
} link_source_t;

struct oh_link
{
  void *socket;
  bool server;
  bool closed;
  oh_link_receive_t receive;
  void *data;
  link_source_t *source;
  gpointer fd_tag;
};

static void *
shared_context (void)
{
  static gsize initialised;
  static void *context;

  if (g_once_init_enter (&initialised))
    {
      context = zmq_ctx_new ();
      g_once_init_leave (&initialised, 1);
    }
  return context;
}

static bool
is_readable (const oh_link_t *link)
{
  int events = 0;
  size_t length = sizeof events;

  return zmq_getsockopt (link->socket, ZMQ_EVENTS, &events, &length) == 0 && (events & ZMQ_POLLIN) != 0;
}

static bool
receive_frame (oh_link_t *link, zmq_msg_t *message)
{
  zmq_msg_init (message);
  if (zmq_msg_recv (message, link->socket, ZMQ_DONTWAIT) >= 0)
    return true;
  zmq_msg_close (message);
  return false;
}

/* Receives one message, or discards it if its frame count is wrong. Returns false if none is waiting. */
static bool
receive_message (oh_link_t *link)
{
  g_autoptr (GBytes) peer = NULL;
  zmq_msg_t frame;
  bool more;

  if (!receive_frame (link, &frame))
    return false;
  if (link->server)
    {
      peer = g_bytes_new (zmq_msg_data (&frame), zmq_msg_size (&frame));
      more = zmq_msg_more (&frame) != 0;
      zmq_msg_close (&frame);
      if (!more || !receive_frame (link, &frame))
        return true;
    }
  more = zmq_msg_more (&frame) != 0;
  if (!more)
    link->receive (link, peer, zmq_msg_data (&frame), zmq_msg_size (&frame), link->data);
  zmq_msg_close (&frame);
  while (more && !link->closed && receive_frame (link, &frame))
    {
      more = zmq_msg_more (&frame) != 0;
      zmq_msg_close (&frame);
    }
  return true;
}

static gboolean
source_prepare (GSource *source, gint *timeout)
{
  *timeout = -1;
  return is_readable (((link_source_t *)source)->link);
}

static gboolean
source_check (GSource *source)
{
  return is_readable (((link_source_t *)source)->link);
}

static gboolean
source_dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  enum
  {
    BATCH_MESSAGES = 64 /* per dispatch, so that the other sources of the main loop are not delayed */
  };
  oh_link_t *link = ((link_source_t *)source)->link;

  (void)callback;
  (void)data;
  for (unsigned i = 0; i < BATCH_MESSAGES && !link->closed; i++)
    if (!receive_message (link))
      break;
  return G_SOURCE_CONTINUE;
}

static void
source_finalize (GSource *source)
{
  g_free (((link_source_t *)source)->link);
}

typedef enum
{
  LINK_SERVER,
  LINK_CLIENT,
  LINK_CLIENT_UNQUEUED,
} link_kind_t;

static void
set_option (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static oh_link_t *
open_link (GMainContext *context, const char *endpoint, link_kind_t kind, oh_link_receive_t receive,
           void *data, oh_error_t *error)
{
  static GSourceFuncs funcs = {
    .prepare = source_prepare,
    .check = source_check,
    .dispatch = source_dispatch,
    .finalize = source_finalize,
  };
  const int64_t max_bytes = MESSAGE_MAX_BYTES;
  const bool server = kind == LINK_SERVER;
  void *socket = zmq_socket (shared_context (), server ? ZMQ_ROUTER : ZMQ_DEALER);
  oh_link_t *link;
  size_t fd_size = sizeof (int);
  int fd;

  set_option (socket, ZMQ_LINGER, 0);
  set_option (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
  set_option (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  set_option (socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  set_option (socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
  set_option (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  set_option (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  set_option (socket, ZMQ_IMMEDIATE, kind == LINK_CLIENT_UNQUEUED);
  set_option (socket, ZMQ_SNDHWM, QUEUE_MESSAGES);
  set_option (socket, ZMQ_RCVHWM, QUEUE_MESSAGES);
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof max_bytes);
  if ((server ? zmq_bind (socket, endpoint) : zmq_connect (socket, endpoint)) != 0)
    {
      oh_error_set (error, OH_ERROR_IO, OH_ERROR_CODE_SYSTEM, "cannot open ZeroMQ endpoint %s: %s", endpoint,
                    zmq_strerror (errno));
      zmq_close (socket);
      return NULL;
    }
  link = g_new0 (oh_link_t, 1);
  link->socket = socket;
  link->server = server;
  link->receive = receive;
  link->data = data;
  link->source = (link_source_t *)g_source_new (&funcs, sizeof (link_source_t));
  link->source->link = link;
  zmq_getsockopt (socket, ZMQ_FD, &fd, &fd_size);
  link->fd_tag = g_source_add_unix_fd (&link->source->source, fd, G_IO_IN);
  g_source_attach (&link->source->source, context);
  return link;
}

oh_link_t *
oh_link_serve (GMainContext *context, const char *endpoint, oh_link_receive_t receive, void *data,
               oh_error_t *error)
{
  return open_link (context, endpoint, LINK_SERVER, receive, data, error);
}

oh_link_t *
oh_link_connect (GMainContext *context, const char *endpoint, oh_link_receive_t receive, void *data,
                 oh_error_t *error)
{
  return open_link (context, endpoint, LINK_CLIENT, receive, data, error);
}

oh_link_t *
oh_link_connect_unqueued (GMainContext *context, const char *endpoint, oh_link_receive_t receive, void *data,
                          oh_error_t *error)
{
  return open_link (context, endpoint, LINK_CLIENT_UNQUEUED, receive, data, error);
}

void
oh_link_close (oh_link_t *link)
{
  if (link == NULL)
    return;
  link->closed = true;
  g_source_remove_unix_fd (&link->source->source, link->fd_tag);
  zmq_close (link->socket);
  g_source_destroy (&link->source->source);
  g_source_unref (&link->source->source); /* frees the link */
}

bool
oh_link_send (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length)
{
  if (link->server)
    {
      gsize peer_length;
      const void *id = g_bytes_get_data (peer, &peer_length);

      if (zmq_send (link->socket, id, peer_length, ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
        return false;
    }
  return zmq_send (link->socket, bytes, length, ZMQ_DONTWAIT) >= 0;
}
