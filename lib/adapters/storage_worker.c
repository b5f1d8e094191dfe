#include "adapters/storage_worker.h"

struct oh_storage_worker
{
  GMainContext *context;
  oh_storage_t *storage;
  oh_storage_done_t done;
  void *data;
  GThread *thread;
  GAsyncQueue *requests; /* of oh_persist_request_t *, owned; the address of stop_request ends the thread */
  GAsyncQueue *results;  /* of result_t *, owned */
  GSource *source;       /* made ready when there are results */
};

typedef struct
{
  uint64_t id;
  bool ok;
  oh_error_t error;
} result_t;

static int stop_request; /* only its address is used */

static gpointer
run (gpointer data)
{
  oh_storage_worker_t *worker = data;
  gpointer item;

  while ((item = g_async_queue_pop (worker->requests)) != &stop_request)
    {
      oh_persist_request_t *request = item;
      result_t *result = g_new0 (result_t, 1);

      result->id = request->id;
      result->ok = oh_storage_persist (worker->storage, request, &result->error);
      oh_persist_request_free (request);
      g_async_queue_push (worker->results, result);
      g_source_set_ready_time (worker->source, 0);
    }
  return NULL;
}

static gboolean
deliver (gpointer data)
{
  oh_storage_worker_t *worker = data;
  result_t *result;

  g_source_set_ready_time (worker->source, -1);
  while ((result = g_async_queue_try_pop (worker->results)) != NULL)
    {
      worker->done (result->id, result->ok ? NULL : &result->error, worker->data);
      g_free (result);
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  (void)source;
  return callback (data);
}

oh_storage_worker_t *
oh_storage_worker_start (GMainContext *context, oh_storage_t *storage, oh_storage_done_t done, void *data)
{
  static GSourceFuncs funcs = { .dispatch = dispatch };
  oh_storage_worker_t *worker = g_new0 (oh_storage_worker_t, 1);

  worker->context = context;
  worker->storage = storage;
  worker->done = done;
  worker->data = data;
  worker->requests = g_async_queue_new ();
  worker->results = g_async_queue_new_full (g_free);
  worker->source = g_source_new (&funcs, sizeof (GSource));
  g_source_set_callback (worker->source, deliver, worker, NULL);
  g_source_attach (worker->source, context);
  worker->thread = g_thread_new ("storage", run, worker);
  return worker;
}

void
oh_storage_worker_persist (oh_storage_worker_t *worker, oh_persist_request_t *request)
{
  g_async_queue_push (worker->requests, request);
}

void
oh_storage_worker_stop (oh_storage_worker_t *worker)
{
  if (worker == NULL)
    return;
  g_async_queue_push (worker->requests, &stop_request);
  g_thread_join (worker->thread);
  g_source_destroy (worker->source);
  g_source_unref (worker->source);
  g_async_queue_unref (worker->requests);
  g_async_queue_unref (worker->results);
  g_free (worker);
}
