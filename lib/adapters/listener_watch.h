#pragma once

#include "base/settings.h"

/*
 * Watches whether a process listens at a TCP address, without sending anything: it holds a connection open,
 * and connects again when the peer has closed it. A process that is paused or slow still has connections
 * accepted by the kernel; a refusal means that no process listens there.
 */

enum
{
  /* Between a connection that was closed and the next one, doubled after each one in a row. */
  OH_LISTENER_WATCH_RETRY_MS = 50,
  OH_LISTENER_WATCH_RETRY_MAX_MS = 1000,
};

typedef struct oh_listener_watch oh_listener_watch_t;

/* Called once, when a connection is refused after an earlier one was accepted. A refusal before that tells
 * nothing: the process may never have listened. The watch has ended; it must still be stopped. */
typedef void (*oh_listener_watch_callback_t) (void *data);

/* Starts in the default main context. */
oh_listener_watch_t *oh_listener_watch_start (oh_address_t address, oh_listener_watch_callback_t gone,
                                              void *data);

/* Does nothing if watch is NULL. Not to be called from the callback. */
void oh_listener_watch_stop (oh_listener_watch_t *watch);
