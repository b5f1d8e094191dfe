#include "core/control_views.h"

#include "base/compression.h"
#include "core/control_core_private.h"

/* What decides which parts of a view a node needs. */
typedef struct
{
  Oh__NodeRole role;
  uint64_t version_in_force;
  bool without_text;
  uint64_t services_digest;
  oh_list_cursor_t cursor;
  bool text_on_its_way;
} view_request_t;

/* The current text, compressed for sending; cached for each text version. */
static GBytes *
packed_text (oh_control_core_t *core)
{
  if (core->packed_text == NULL || core->packed_version != core->state.text_version)
    {
      g_clear_pointer (&core->packed_text, g_bytes_unref);
      core->packed_text = oh_compress_text (core->state.text);
      core->packed_version = core->state.text_version;
    }
  return core->packed_text;
}

/* Prepares the limits of the services for views. */
static void
pack_warmups (oh_control_core_t *core)
{
  const GArray *limits = core->services.warmups;

  if (core->warmups == NULL)
    core->warmups = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_set_size (core->warmups, 0);
  for (guint i = 0; limits != NULL && i < limits->len; i++)
    {
      const oh_service_warmup_t *limit = &g_array_index (limits, oh_service_warmup_t, i);
      Oh__ServiceWarmup *wire = g_new (Oh__ServiceWarmup, 1);

      oh__service_warmup__init (wire);
      wire->service = limit->service;
      wire->milli_per_s = (uint32_t)limit->milli_per_s;
      g_ptr_array_add (core->warmups, wire);
    }
}

/* The services of the current text; cached for each text version. */
static const oh_service_set_t *
current_services (oh_control_core_t *core)
{
  oh_config_t config;
  oh_error_t error;

  if (core->services_version == core->state.text_version)
    return &core->services;
  core->services_version = core->state.text_version;
  if (!oh_config_parse (&config, "configuration", core->state.text, &error))
    {
      /* The replicas that accepted the text have another release. */
      oh_control_log_event (core, "services_unknown", "version=%" G_GUINT64_FORMAT " reason=\"%s\"",
                            core->state.text_version, error.message);
      oh_service_set_finish (&core->services);
      oh_service_set_init (&core->services);
      return &core->services;
    }
  oh_service_set_assign_config (&core->services, &config);
  pack_warmups (core);
  oh_config_finish (&config);
  return &core->services;
}

/* Adds the services and their limits for an agent that does not have them yet. */
static void
fill_services (oh_control_core_t *core, const view_request_t *request, Oh__View *view)
{
  const oh_service_set_t *services = current_services (core);

  if (request->role != OH__NODE_ROLE__NODE_AGENT || !request->without_text || core->state.text_version == 0
      || !oh_service_set_is_known (services) || services->digest == request->services_digest)
    return;
  view->has_services = true;
  view->n_services = services->ids->len;
  view->services = (uint64_t *)(void *)services->ids->data;
  view->n_warmups = core->warmups->len;
  view->warmups = (Oh__ServiceWarmup **)core->warmups->pdata;
}

/* Adds the text if the node has an older one. A node takes a version that is newer than its own only with its
 * text, or after a view that withholds none. */
static void
fill_text (oh_control_core_t *core, const view_request_t *request, Oh__View *view)
{
  GBytes *packed;

  if (request->version_in_force >= core->state.text_version)
    return;
  view->text_withheld = request->without_text || request->text_on_its_way;
  view->has_text = !view->text_withheld;
  if (!view->has_text)
    return;
  packed = packed_text (core);
  view->packed_text.data = (uint8_t *)g_bytes_get_data (packed, &view->packed_text.len);
}

static void
send_view (oh_control_core_t *core, GBytes *route, Oh__View *view)
{
  Oh__Control message = OH__CONTROL__INIT;
  char *endpoints[OH_RAFT_REPLICAS_MAX];
  const GPtrArray *replicas;

  view->confirmed = oh_control_core_confirmed (core, core->now_us);
  /* A restarted replica does not know what is committed; the latest set of its log helps nodes to find the
   * other replicas. */
  replicas = view->confirmed ? core->committed_replicas : oh_raft_replicas (&core->raft);
  view->version = core->state.version;
  view->key_generation = core->state.key_generation;
  view->listed = oh_membership_is_complete (&core->membership, core->now_us);
  view->replicas = endpoints;
  for (guint i = 0; i < replicas->len; i++)
    {
      const oh_raft_replica_t *replica = g_ptr_array_index (replicas, i);

      if (replica->role == OH__REPLICA_ROLE__REPLICA_VOTER)
        endpoints[view->n_replicas++] = replica->endpoint;
    }
  view->n_drained = core->state.drained->len;
  view->drained = (char **)core->state.drained->pdata;
  view->n_drained_zones = core->state.drained_zones->len;
  view->drained_zones = (char **)core->state.drained_zones->pdata;
  message.sender = core->name;
  message.body_case = OH__CONTROL__BODY_VIEW;
  message.view = view;
  core->sink->ops->reply (core->sink, route, OH_KEY_CONTROL, &message);
}

/* Records what was sent to the node. */
static void
record_sent (const oh_control_core_t *core, oh_node_t *node, const Oh__View *view)
{
  if (view->has_text)
    {
      node->text_sent_version = core->state.text_version;
      node->text_sent_us = core->now_us;
    }
  if (!node->cursor.increments
      || (node->cursor.epoch == view->list_epoch && node->cursor.sequence == view->list_sequence))
    return;
  node->cursor.epoch = view->list_epoch;
  node->cursor.sequence = view->list_sequence;
  node->sent_us = core->now_us;
}

static view_request_t
request_of_node (const oh_control_core_t *core, const oh_node_t *node)
{
  return (view_request_t){
    .role = node->role,
    .version_in_force = node->version_in_force,
    .without_text = node->without_text,
    .services_digest = node->services_digest,
    .cursor = node->cursor,
    .text_on_its_way = node->text_sent_version == core->state.text_version
                       && core->now_us - node->text_sent_us < OH_CONTROL_TEXT_RESEND_US,
  };
}

static view_request_t
request_of_poll (const Oh__Poll *poll)
{
  return (view_request_t){
    .role = poll->role,
    .version_in_force = poll->version_in_force,
    .without_text = poll->without_text,
    .services_digest = poll->services_digest,
    .cursor = oh_membership_cursor_of (poll),
  };
}

static bool
has_list_changes (const Oh__View *view)
{
  return view->n_members > 0 || view->n_balancers > 0 || view->n_removed_members > 0
         || view->n_removed_balancers > 0;
}

/* Sends what the node has not been sent yet; with list_only, only if that includes changes of the list. */
static void
push_to_node (oh_control_core_t *core, oh_node_t *node, bool list_only)
{
  const view_request_t request = request_of_node (core, node);
  Oh__View view = OH__VIEW__INIT;

  oh_membership_fill_view (&core->membership, &request.cursor, core->now_us, &view);
  if (!list_only || has_list_changes (&view))
    {
      fill_text (core, &request, &view);
      fill_services (core, &request, &view);
      send_view (core, node->route, &view);
      record_sent (core, node, &view);
    }
  oh_membership_clear_view (&view);
}

static void
push (oh_control_core_t *core, bool list_only)
{
  core->pushed_version = core->state.version;
  core->pushed_sequence = core->membership.sequence;
  core->pushed_confirmed = oh_control_core_confirmed (core, core->now_us);
  for (unsigned role = 0; role < G_N_ELEMENTS (core->membership.nodes); role++)
    {
      GHashTableIter iter;
      gpointer node;

      g_hash_table_iter_init (&iter, core->membership.nodes[role]);
      while (g_hash_table_iter_next (&iter, NULL, &node))
        push_to_node (core, node, list_only);
    }
}

void
oh_control_views_answer (oh_control_core_t *core, GBytes *route, const Oh__Poll *poll)
{
  oh_node_t *node = oh_membership_find (&core->membership, poll->role, poll->name);
  view_request_t request;
  Oh__View view = OH__VIEW__INIT;

  if (node != NULL && g_bytes_equal (node->route, route))
    {
      push_to_node (core, node, false);
      return;
    }
  request = request_of_poll (poll);
  oh_membership_fill_view (&core->membership, &request.cursor, core->now_us, &view);
  fill_text (core, &request, &view);
  fill_services (core, &request, &view);
  send_view (core, route, &view);
  oh_membership_clear_view (&view);
}

void
oh_control_views_push (oh_control_core_t *core)
{
  push (core, false);
}

void
oh_control_views_push_list (oh_control_core_t *core)
{
  push (core, true);
}
