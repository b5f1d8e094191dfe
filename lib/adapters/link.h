#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

/*
 * ZeroMQ sockets in a GLib main context. A server is a ROUTER that replies to peer ids; a client is a DEALER
 * connected to one endpoint. Each message is one frame. ZeroMQ heartbeats detect a connection whose peer no
 * longer responds, and ZeroMQ reconnects by itself. Queues are bounded; a message to a peer that does not
 * read is dropped.
 */

typedef struct oh_link oh_link_t;

/*
 * Called for each message. For a server, peer is the id to reply to; for a client it is NULL. peer and bytes
 * are valid during the call, which may close the link.
 */
typedef void (*oh_link_receive_t) (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length,
                                   void *data);

/* Endpoints have the form "tcp://IPV4:PORT". Both return NULL and set the error on failure. */
oh_link_t *oh_link_serve (GMainContext *context, const char *endpoint, oh_link_receive_t receive, void *data,
                          oh_error_t *error);
oh_link_t *oh_link_connect (GMainContext *context, const char *endpoint, oh_link_receive_t receive,
                            void *data, oh_error_t *error);

/*
 * As oh_link_connect, but messages sent while there is no connection are dropped instead of queued. For
 * messages that are sent periodically: queued ones would arrive stale and all at once when the peer returns.
 */
oh_link_t *oh_link_connect_unqueued (GMainContext *context, const char *endpoint, oh_link_receive_t receive,
                                     void *data, oh_error_t *error);
void oh_link_close (oh_link_t *link);

/* Returns false if the message was dropped. peer is NULL for a client. */
bool oh_link_send (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length);
