#pragma once

#include <glib.h>
#include <stdbool.h>

#include "ports/storage.h"

/* Runs persist requests on a thread of its own, so that a slow disk does not delay the main loop. */

typedef struct oh_storage_worker oh_storage_worker_t;

/* Called when the request with this id is durable or has failed; error is NULL on success. */
typedef void (*oh_storage_done_t) (uint64_t id, const oh_error_t *error, void *data);

/* Starts the thread; done is called in context. The storage must outlive the worker, and nothing else may use
 * it until oh_storage_worker_stop has returned. */
oh_storage_worker_t *oh_storage_worker_start (GMainContext *context, oh_storage_t *storage,
                                              oh_storage_done_t done, void *data);

/* Queues the request and takes ownership of it. Requests run in the order in which they were queued. */
void oh_storage_worker_persist (oh_storage_worker_t *worker, oh_persist_request_t *request);

/* Blocks until the queued requests have run, discards results that were not delivered yet, and frees worker,
 * which may be NULL. */
void oh_storage_worker_stop (oh_storage_worker_t *worker);
