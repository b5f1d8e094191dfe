#pragma once

#include <glib.h>
#include <stdbool.h>

#include "ports/storage.h"

/* Runs persist requests on a thread of its own, so that a slow disk does not delay the main loop. */

typedef struct oh_storage_worker oh_storage_worker_t;

/* Called in the main context when the request is durable or has failed; error is NULL on success. */
typedef void (*oh_storage_done_t) (uint64_t id, const oh_error_t *error, void *data);

/* The storage must outlive the worker. */
oh_storage_worker_t *oh_storage_worker_start (GMainContext *context, oh_storage_t *storage,
                                              oh_storage_done_t done, void *data);

/* Takes the request. */
void oh_storage_worker_persist (oh_storage_worker_t *worker, oh_persist_t *request);

/* Finishes the requests that were handed over; their results are discarded. */
void oh_storage_worker_stop (oh_storage_worker_t *worker);
