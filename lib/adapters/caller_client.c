#include "adapters/caller_client.h"

#include <sys/epoll.h>
#include <unistd.h>

#include "adapters/udp.h"

#define OH_LOG_MODULE "caller"
#include "base/log.h"

enum
{
  BATCH_EVENTS = 64,
  BATCH_DATAGRAMS = 32, /* per flow and dispatch, so that one flow cannot delay the others */
};

typedef struct
{
  GSource source;
  oh_caller_client_t *client;
} client_source_t;

struct oh_caller_client
{
  oh_address_t fabric;
  oh_clock_t *clock;
  oh_random_t *random;
  oh_retry_budget_t budget;
  int epoll_fd;
  client_source_t *source;
  oh_list_t flows;
  oh_list_t freed_flows; /* destroyed after a dispatch, since its epoll events may still refer to them */
  GSequence *timers;     /* flows with an armed timer, by due time */
  oh_arena_t arena;
};

/* An event that a callback submitted while the core handled another one. */
typedef struct
{
  oh_caller_event_t event;
  GBytes *payload; /* copy that the event's request refers to; NULL for other events */
} deferred_t;

struct oh_caller_flow
{
  oh_caller_sink_t sink;
  oh_caller_client_t *client;
  oh_caller_core_t core;
  oh_caller_flow_callback_t callback;
  void *data;
  int fd;
  oh_list_t link;
  int64_t due_us;
  GSequenceIter *timer;
  bool in_core;    /* the core is handling an event */
  bool freed;      /* by the user */
  GQueue deferred; /* of deferred_t *, owned */
};

static int
compare_due (const void *a, const void *b, void *data)
{
  const int64_t due_a = ((const oh_caller_flow_t *)a)->due_us;
  const int64_t due_b = ((const oh_caller_flow_t *)b)->due_us;

  (void)data;
  return (due_a > due_b) - (due_a < due_b);
}

static void
set_ready_time (oh_caller_client_t *client)
{
  GSequenceIter *first = g_sequence_get_begin_iter (client->timers);
  const int64_t due_us
    = g_sequence_iter_is_end (first) ? -1 : ((oh_caller_flow_t *)g_sequence_get (first))->due_us;

  g_source_set_ready_time (&client->source->source, due_us);
}

static void
disarm (oh_caller_flow_t *flow)
{
  g_clear_pointer (&flow->timer, g_sequence_remove);
}

static void
arm (oh_caller_flow_t *flow, int64_t due_us)
{
  disarm (flow);
  flow->due_us = due_us;
  flow->timer = g_sequence_insert_sorted (flow->client->timers, flow, compare_due, NULL);
}

static bool
open_socket (oh_caller_flow_t *flow, oh_error_t *error)
{
  const int fd = oh_udp_open ((oh_address_t){ 0 }, error);
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = flow };

  if (fd < 0)
    return false;
  if (epoll_ctl (flow->client->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
    {
      close (fd);
      return oh_error_set (error, OH_ERROR_IO, OH_ERROR_CODE_SYSTEM, "cannot add the UDP socket to epoll");
    }
  if (flow->fd >= 0)
    close (flow->fd);
  flow->fd = fd;
  return true;
}

static void
replace_path (oh_caller_flow_t *flow)
{
  char id[OH_FLOW_ID_TEXT_BYTES];
  oh_error_t error;

  oh_caller_flow_format_id (flow, id);
  if (open_socket (flow, &error))
    oh_log_info ("path_replaced", "flow=%s generation=%u", id, flow->core.generation);
  else
    oh_log_warning ("path_replacement_failed", "flow=%s reason=\"%s\"", id, error.message);
}

static void
emit (oh_caller_sink_t *sink, const oh_caller_action_t *action)
{
  oh_caller_flow_t *flow = (oh_caller_flow_t *)sink;

  switch (action->kind)
    {
    case OH_CALLER_ACTION_SEND:
      oh_udp_send (flow->fd, flow->client->fabric, action->bytes, action->length);
      break;
    case OH_CALLER_ACTION_ARM_TIMER:
      if (!flow->freed)
        arm (flow, action->due_us);
      break;
    case OH_CALLER_ACTION_REPLACE_PATH:
      replace_path (flow);
      break;
    case OH_CALLER_ACTION_OPENED:
    case OH_CALLER_ACTION_DATA:
    case OH_CALLER_ACTION_RESTART:
    case OH_CALLER_ACTION_RENUMBERED:
    case OH_CALLER_ACTION_DONE:
    case OH_CALLER_ACTION_OPEN_FAILED:
    case OH_CALLER_ACTION_CLOSED:
      if (!flow->freed)
        flow->callback (flow, action, flow->data);
      break;
    }
}

static void
deferred_free (deferred_t *deferred)
{
  g_clear_pointer (&deferred->payload, g_bytes_unref);
  g_free (deferred);
}

/* Passes the event to the core, or queues it if the core is still handling another one. */
static void
submit (oh_caller_flow_t *flow, const oh_caller_event_t *event)
{
  deferred_t *deferred;

  if (flow->freed)
    return;
  if (flow->in_core)
    {
      deferred = g_new0 (deferred_t, 1);
      deferred->event = *event;
      if (event->kind == OH_CALLER_EVENT_REQUEST)
        {
          deferred->payload = g_bytes_new (event->request.payload, event->request.payload_length);
          deferred->event.request.payload = g_bytes_get_data (deferred->payload, NULL);
        }
      g_queue_push_tail (&flow->deferred, deferred);
      return;
    }
  flow->in_core = true;
  oh_caller_core_handle (&flow->core, event, &flow->sink);
  while (!flow->freed && (deferred = g_queue_pop_head (&flow->deferred)) != NULL)
    {
      deferred->event.now_us = oh_clock_now_us (flow->client->clock);
      oh_caller_core_handle (&flow->core, &deferred->event, &flow->sink);
      deferred_free (deferred);
    }
  flow->in_core = false;
  set_ready_time (flow->client);
}

static oh_caller_event_t
event_now (const oh_caller_flow_t *flow, oh_caller_event_kind_t kind)
{
  return (oh_caller_event_t){ .kind = kind, .now_us = oh_clock_now_us (flow->client->clock) };
}

static void
receive (oh_caller_flow_t *flow)
{
  oh_caller_client_t *client = flow->client;
  uint8_t buffer[OH_PACKET_MAX_BYTES + 1];
  oh_address_t from;

  for (unsigned i = 0; i < BATCH_DATAGRAMS && !flow->freed; i++)
    {
      oh_caller_event_t event = event_now (flow, OH_CALLER_EVENT_PACKET);
      const ssize_t length = oh_udp_receive (flow->fd, &from, buffer, sizeof buffer);

      if (length < 0)
        return;
      if (!oh_address_equal (from, client->fabric) || length > OH_PACKET_MAX_BYTES)
        continue;
      event.packet = oh_packet_decode (&client->arena, buffer, (size_t)length, NULL);
      if (event.packet != NULL)
        submit (flow, &event);
    }
}

static void
run_timers (oh_caller_client_t *client)
{
  const int64_t now_us = oh_clock_now_us (client->clock);
  GSequenceIter *first;

  while (first = g_sequence_get_begin_iter (client->timers), !g_sequence_iter_is_end (first))
    {
      oh_caller_flow_t *flow = g_sequence_get (first);
      const oh_caller_event_t event = event_now (flow, OH_CALLER_EVENT_TIMER);

      if (flow->due_us > now_us)
        return;
      disarm (flow);
      submit (flow, &event);
    }
}

static void
destroy_flow (oh_caller_flow_t *flow)
{
  oh_list_remove (&flow->link);
  disarm (flow);
  g_queue_clear_full (&flow->deferred, (GDestroyNotify)deferred_free);
  oh_caller_core_finish (&flow->core);
  if (flow->fd >= 0)
    close (flow->fd);
  g_free (flow);
}

static void
destroy_freed_flows (oh_caller_client_t *client)
{
  oh_list_foreach_safe (&client->freed_flows, link, following)
    {
      oh_caller_flow_t *flow = oh_list_entry (link, oh_caller_flow_t, link);

      if (!flow->in_core)
        destroy_flow (flow);
    }
}

static gboolean
source_dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  oh_caller_client_t *client = ((client_source_t *)source)->client;
  struct epoll_event events[BATCH_EVENTS];
  const int n = epoll_wait (client->epoll_fd, events, BATCH_EVENTS, 0);

  (void)callback;
  (void)data;
  for (int i = 0; i < n; i++)
    {
      oh_caller_flow_t *flow = events[i].data.ptr;

      if (!flow->freed)
        receive (flow);
    }
  run_timers (client);
  destroy_freed_flows (client);
  set_ready_time (client);
  return G_SOURCE_CONTINUE;
}

oh_caller_client_t *
oh_caller_client_new (GMainContext *context, oh_address_t fabric, oh_clock_t *clock, oh_random_t *random)
{
  static GSourceFuncs funcs = { .dispatch = source_dispatch };
  oh_caller_client_t *client = g_new0 (oh_caller_client_t, 1);

  client->fabric = fabric;
  client->clock = clock;
  client->random = random;
  client->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  client->timers = g_sequence_new (NULL);
  oh_retry_budget_init (&client->budget);
  oh_list_init (&client->flows);
  oh_list_init (&client->freed_flows);
  oh_arena_init (&client->arena);
  client->source = (client_source_t *)g_source_new (&funcs, sizeof (client_source_t));
  client->source->client = client;
  g_source_add_unix_fd (&client->source->source, client->epoll_fd, G_IO_IN);
  g_source_attach (&client->source->source, context);
  return client;
}

void
oh_caller_client_free (oh_caller_client_t *client)
{
  if (client == NULL)
    return;
  oh_list_foreach_safe (&client->flows, link, following)
    destroy_flow (oh_list_entry (link, oh_caller_flow_t, link));
  oh_list_foreach_safe (&client->freed_flows, link, following)
    destroy_flow (oh_list_entry (link, oh_caller_flow_t, link));
  g_source_destroy (&client->source->source);
  g_source_unref (&client->source->source);
  g_sequence_free (client->timers);
  close (client->epoll_fd);
  g_free (client);
}

oh_caller_flow_t *
oh_caller_client_open_flow (oh_caller_client_t *client, const char *service,
                            oh_caller_flow_callback_t callback, void *data, oh_error_t *error)
{
  oh_caller_flow_t *flow = g_new0 (oh_caller_flow_t, 1);
  oh_caller_event_t event;

  flow->sink.emit = emit;
  flow->client = client;
  flow->callback = callback;
  flow->data = data;
  flow->fd = -1;
  g_queue_init (&flow->deferred);
  oh_list_init (&flow->link);
  if (!open_socket (flow, error))
    {
      g_free (flow);
      return NULL;
    }
  oh_list_append (&client->flows, &flow->link);
  oh_caller_core_init (&flow->core, oh_service_id (service), client->random, &client->budget);
  event = event_now (flow, OH_CALLER_EVENT_OPEN);
  submit (flow, &event);
  return flow;
}

void
oh_caller_flow_request (oh_caller_flow_t *flow, const oh_caller_request_t *request)
{
  oh_caller_event_t event = event_now (flow, OH_CALLER_EVENT_REQUEST);

  event.request = *request;
  submit (flow, &event);
}

void
oh_caller_flow_cancel (oh_caller_flow_t *flow, uint64_t id)
{
  oh_caller_event_t event = event_now (flow, OH_CALLER_EVENT_CANCEL);

  event.cancel_id = id;
  submit (flow, &event);
}

void
oh_caller_flow_close (oh_caller_flow_t *flow)
{
  const oh_caller_event_t event = event_now (flow, OH_CALLER_EVENT_CLOSE);

  submit (flow, &event);
}

void
oh_caller_flow_free (oh_caller_flow_t *flow)
{
  if (flow == NULL || flow->freed)
    return;
  flow->freed = true;
  disarm (flow);
  oh_list_remove (&flow->link);
  oh_list_append (&flow->client->freed_flows, &flow->link);
  /* The next dispatch destroys it. */
  g_source_set_ready_time (&flow->client->source->source, 0);
}

const oh_caller_core_t *
oh_caller_flow_core (const oh_caller_flow_t *flow)
{
  return &flow->core;
}

void
oh_caller_flow_format_id (const oh_caller_flow_t *flow, char text[OH_FLOW_ID_TEXT_BYTES])
{
  for (size_t i = 0; i < OH_FLOW_ID_BYTES; i++)
    g_snprintf (text + 2 * i, 3, "%02x", flow->core.flow.bytes[i]);
}
