#pragma once

#include "base/settings.h"

/*
 * Watches whether a process listens at a TCP address. It connects and closes the connection at once, so that
 * it keeps no process waiting, and sends nothing. A process that is paused or slow still has connections
 * accepted by the kernel; a refusal means that no process listens there.
 */

enum
{
  OH_LISTENER_WATCH_INTERVAL_MS = 250, /* between two connections */
};

typedef struct oh_listener_watch oh_listener_watch_t;

/* Called once, when a connection is refused after an earlier one was accepted. A refusal before that tells
 * nothing: the process may never have listened. No further connection is made; the watch must still be
 * stopped. */
typedef void (*oh_listener_watch_callback_t) (void *data);

/* Connects until one connection was accepted, in the default main context. */
oh_listener_watch_t *oh_listener_watch_start (oh_address_t address, oh_listener_watch_callback_t gone,
                                              void *data);

/* Goes on connecting in intervals, until a connection is refused. */
void oh_listener_watch_poll (oh_listener_watch_t *watch);

/* Does nothing if watch is NULL. Not to be called from the callback. */
void oh_listener_watch_stop (oh_listener_watch_t *watch);
