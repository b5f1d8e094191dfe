#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

/*
 * ZeroMQ sockets in a GLib main context. A server is a ROUTER that replies to peer ids; a client is a DEALER
 * connected to one endpoint. Messages are single frames. ZeroMQ heartbeats detect a connection that has gone
 * silent, and it reconnects by itself. Queues are bounded; a message to a peer that does not read is dropped.
 */

typedef struct oh_link oh_link_t;

/* Called for each message. For a server, peer is the id to reply to; for a client it is NULL. */
typedef void (*oh_link_receive_t) (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length,
                                   void *data);

/* Endpoints read "tcp://IPV4:PORT". Both return NULL and set the error on failure. */
oh_link_t *oh_link_serve (GMainContext *context, const char *endpoint, oh_link_receive_t receive, void *data,
                          oh_error_t *error);
oh_link_t *oh_link_connect (GMainContext *context, const char *endpoint, oh_link_receive_t receive,
                            void *data, oh_error_t *error);

/*
 * As oh_link_connect, but while there is no connection messages are dropped instead of kept until there is
 * one. For messages that are repeated anyway, which would arrive all at once and stale when the peer returns.
 */
oh_link_t *oh_link_connect_unqueued (GMainContext *context, const char *endpoint, oh_link_receive_t receive,
                                     void *data, oh_error_t *error);
void oh_link_close (oh_link_t *link);

/* Returns false if the message was dropped. peer is NULL for a client. */
bool oh_link_send (oh_link_t *link, GBytes *peer, const uint8_t *bytes, size_t length);
