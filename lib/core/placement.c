#include "core/placement.h"

#include <math.h>
#include <string.h>

/* Of the mean of the other upstreams. What an upstream with false reports really carries is not known, and it
 * must not be the one with the most. */
#define PACED_SHARE 0.9

typedef struct
{
  const oh_placement_service_t *config; /* NULL if the configuration does not name the service */
  GPtrArray *upstreams;                 /* of oh_upstream_t *, borrowed, in the order of names */
} service_table_t;

static void
free_table (gpointer data)
{
  service_table_t *table = data;

  g_ptr_array_unref (table->upstreams);
  g_free (table);
}

static service_table_t *
obtain_table (oh_placement_t *placement, uint64_t service)
{
  service_table_t *table = g_hash_table_lookup (placement->services, &service);

  if (table == NULL)
    {
      table = g_new0 (service_table_t, 1);
      table->upstreams = g_ptr_array_new ();
      g_hash_table_insert (placement->services, g_memdup2 (&service, sizeof service), table);
    }
  return table;
}

static void
reset_upstream (oh_upstream_t *upstream, uint64_t incarnation)
{
  upstream->previous_incarnation = upstream->incarnation;
  upstream->incarnation = incarnation;
  upstream->sequence = 0;
  upstream->n_unanswered = 0;
  upstream->unproven = false;
  upstream->contradictions = 0;
}

/* True if a report of that incarnation and sequence is newer than the row. A new incarnation resets the row.
 */
static bool
accept_sequence (oh_upstream_t *upstream, uint64_t incarnation, uint64_t sequence)
{
  if (incarnation == upstream->previous_incarnation && incarnation != upstream->incarnation)
    return false;
  if (incarnation != upstream->incarnation)
    reset_upstream (upstream, incarnation);
  else if (sequence <= upstream->sequence)
    return false;
  upstream->sequence = sequence;
  return true;
}

static void
set_slots (oh_upstream_t *upstream, unsigned slots)
{
  upstream->slots = slots;
  if (slots > 0)
    upstream->last_slots = slots;
}

static void
update_upstream (oh_placement_t *placement, const oh_placement_member_t *member)
{
  oh_upstream_t *upstream = g_hash_table_lookup (placement->upstreams, member->name);
  const bool fresh = upstream == NULL || upstream->service != member->service;

  if (fresh)
    {
      upstream = g_new0 (oh_upstream_t, 1);
      g_strlcpy (upstream->name, member->name, sizeof upstream->name);
      upstream->service = member->service;
      upstream->incarnation = member->incarnation;
      upstream->sequence = member->sequence;
      g_hash_table_replace (placement->upstreams, upstream->name, upstream);
    }
  upstream->listed = true;
  upstream->drained = member->drained;
  g_strlcpy (upstream->zone, member->zone, sizeof upstream->zone);
  if (!fresh && !accept_sequence (upstream, member->incarnation, member->sequence))
    return;
  upstream->agent = member->agent;
  upstream->busy = member->busy;
  upstream->queued = member->queued;
  upstream->flows = member->flows;
  upstream->max_flows = member->max_flows;
  upstream->state = member->state;
  set_slots (upstream, member->slots);
}

static gboolean
is_unlisted (gpointer key, gpointer value, gpointer data)
{
  oh_upstream_t *upstream = value;
  const bool unlisted = !upstream->listed;

  upstream->listed = false;
  return unlisted;
}

typedef enum
{
  SUSPICION_NONE,
  SUSPICION_REPORTED,   /* by the agent itself */
  SUSPICION_UNANSWERED, /* Opens are not answered */
} suspicion_t;

static suspicion_t
suspicion (const oh_upstream_t *upstream, int64_t now_us)
{
  if (upstream->n_unanswered > 0)
    {
      const int64_t sent_us = upstream->unanswered[0].sent_us;
      const int64_t age_ms = (now_us - sent_us) / 1000;

      if (upstream->unproven)
        return SUSPICION_UNANSWERED;
      if (age_ms >= OH_PLACEMENT_SILENCE_MS && upstream->heard_us < sent_us)
        return SUSPICION_UNANSWERED;
      if (age_ms >= OH_PLACEMENT_UNANSWERED_MS && upstream->answered_us < sent_us)
        return SUSPICION_UNANSWERED;
    }
  return upstream->state == OH__UPSTREAM_STATE__UPSTREAM_SUSPECT || upstream->slots == 0 ? SUSPICION_REPORTED
                                                                                         : SUSPICION_NONE;
}

/*
 * Evidence that is strong enough to refuse the Opens of a dependent service. One lost Open is none, since a
 * live agent sends a heartbeat each second.
 */
static bool
is_down (const oh_upstream_t *upstream, int64_t now_us)
{
  const int64_t silence_us = (int64_t)OH_PLACEMENT_DOWN_MS * 1000;
  const bool waiting = upstream->n_unanswered > 0 && now_us - upstream->unanswered[0].sent_us >= silence_us
                       && upstream->heard_us < upstream->unanswered[0].sent_us;

  return waiting || (upstream->unproven && now_us - upstream->heard_us >= silence_us)
         || upstream->state == OH__UPSTREAM_STATE__UPSTREAM_SUSPECT || upstream->slots == 0;
}

static bool
is_draining (const oh_upstream_t *upstream)
{
  return upstream->drained || upstream->state == OH__UPSTREAM_STATE__UPSTREAM_DRAINING;
}

static bool
is_full (const oh_upstream_t *upstream)
{
  return upstream->flows + upstream->n_unanswered >= upstream->max_flows;
}

static bool
is_tried (const oh_upstream_t *upstream, const uint64_t *tried, size_t n_tried)
{
  for (size_t i = 0; i < n_tried; i++)
    if (tried[i] == upstream->incarnation)
      return true;
  return false;
}

static unsigned
effective_slots (const oh_upstream_t *upstream)
{
  return MAX (upstream->slots > 0 ? upstream->slots : upstream->last_slots, 1u);
}

static double
work_per_slot (const oh_upstream_t *upstream)
{
  return (double)(upstream->busy + upstream->queued + upstream->n_unanswered) / effective_slots (upstream);
}

static double
flows_per_slot (const oh_upstream_t *upstream)
{
  return (double)(upstream->flows + upstream->n_unanswered) / effective_slots (upstream);
}

/* True if the suspect at the index is among the `cap` strongest suspects of the table. */
static bool
is_excluded (const service_table_t *table, guint index, unsigned cap, int64_t now_us)
{
  const suspicion_t own = suspicion (g_ptr_array_index (table->upstreams, index), now_us);
  unsigned stronger = 0;

  if (own == SUSPICION_NONE)
    return false;
  for (guint i = 0; i < table->upstreams->len; i++)
    {
      const oh_upstream_t *other = g_ptr_array_index (table->upstreams, i);
      const suspicion_t theirs = is_draining (other) ? SUSPICION_NONE : suspicion (other, now_us);

      if (theirs > own || (theirs == own && i < index))
        stronger++;
    }
  return stronger < cap;
}

static bool
has_able_upstream (oh_placement_t *placement, uint64_t service, int64_t now_us)
{
  const service_table_t *table = g_hash_table_lookup (placement->services, &service);

  for (guint i = 0; table != NULL && i < table->upstreams->len; i++)
    {
      const oh_upstream_t *upstream = g_ptr_array_index (table->upstreams, i);

      if (!is_draining (upstream) && !is_full (upstream) && !is_down (upstream, now_us))
        return true;
    }
  return false;
}

static const char *
find_unavailable_dependency (oh_placement_t *placement, const oh_placement_service_t *service, int64_t now_us)
{
  for (guint i = 0; i < service->depends->len; i++)
    {
      const uint64_t id = g_array_index (service->depends, uint64_t, i);

      if (!has_able_upstream (placement, id, now_us))
        return ((service_table_t *)g_hash_table_lookup (placement->services, &id))->config->name;
    }
  return NULL;
}

static bool
refuse (oh_placement_decision_t *decision, oh_placement_reason_t reason, Oh__Result result)
{
  decision->reason = reason;
  decision->refused = result;
  decision->upstream = NULL;
  return false;
}

/* Load first, then flows, then the zone; returns below zero if a is the better choice. The reason tells which
 * of them decided. */
static int
compare (const oh_placement_t *placement, const oh_upstream_t *a, const oh_upstream_t *b,
         oh_placement_reason_t *reason)
{
  const double work = work_per_slot (a) - work_per_slot (b);
  const double flows = flows_per_slot (a) - flows_per_slot (b);
  const int zone = strcmp (b->zone, placement->zone) == 0 ? 1 : 0;
  const int other_zone = strcmp (a->zone, placement->zone) == 0 ? 1 : 0;

  *reason = OH_PLACEMENT_LEAST_LOAD;
  if (work != 0)
    return work < 0 ? -1 : 1;
  *reason = OH_PLACEMENT_FEWEST_FLOWS;
  if (flows != 0)
    return flows < 0 ? -1 : 1;
  *reason = OH_PLACEMENT_SAME_ZONE;
  return zone - other_zone;
}

/* True if the reported load does not tell what the upstream can take. One that fails fast is always idle. */
static bool
is_distrusted (const oh_upstream_t *upstream, int64_t now_us)
{
  return upstream->contradictions >= OH_PLACEMENT_CONTRADICTIONS
         || suspicion (upstream, now_us) != SUSPICION_NONE;
}

static double
share_per_slot (const oh_upstream_t *upstream, int64_t now_us)
{
  const double elapsed_ms = (double)(now_us - upstream->share_us) / 1000;

  return upstream->share * exp (-elapsed_ms / OH_PLACEMENT_SHARE_MS) / effective_slots (upstream);
}

/* Among the candidates whose reports can be believed, with a random choice between equals. */
static void
choose_by_load (oh_placement_t *placement, oh_upstream_t *const *candidates, unsigned n,
                oh_placement_decision_t *decision)
{
  unsigned ties = 1;

  decision->upstream = candidates[0];
  decision->reason = OH_PLACEMENT_ONLY_CANDIDATE;
  for (unsigned i = 1; i < n; i++)
    {
      oh_placement_reason_t reason;
      const int order = compare (placement, candidates[i], decision->upstream, &reason);

      if (order == 0)
        {
          reason = OH_PLACEMENT_RANDOM_TIE;
          ties++;
          if (oh_random_below (placement->random, ties) == 0)
            decision->upstream = candidates[i];
        }
      else if (order < 0)
        {
          decision->upstream = candidates[i];
          ties = 1;
        }
      /* The weakest criterion that was needed to tell the choice from another candidate. */
      if (order <= 0 || reason > decision->reason)
        decision->reason = reason;
    }
}

/* The distrusted candidate that has had the fewest Opens lately, if it is behind its pace. */
static oh_upstream_t *
find_paced (oh_upstream_t *const *distrusted, unsigned n_distrusted, oh_upstream_t *const *trusted,
            unsigned n_trusted, int64_t now_us)
{
  oh_upstream_t *least = NULL;
  double sum = 0;

  for (unsigned i = 0; i < n_distrusted; i++)
    if (n_trusted > 0 && suspicion (distrusted[i], now_us) == SUSPICION_UNANSWERED)
      continue; /* more Opens would tell nothing new; each delays a caller until it sends again */
    else if (least == NULL || share_per_slot (distrusted[i], now_us) < share_per_slot (least, now_us))
      least = distrusted[i];
  for (unsigned i = 0; i < n_trusted; i++)
    sum += share_per_slot (trusted[i], now_us);
  if (least != NULL && n_trusted > 0 && share_per_slot (least, now_us) >= PACED_SHARE * sum / n_trusted)
    return NULL;
  return least;
}

static void
choose_candidate (oh_placement_t *placement, const service_table_t *table, const uint64_t *tried,
                  size_t n_tried, unsigned cap, int64_t now_us, oh_placement_decision_t *decision)
{
  /* Trusted ones from the front, distrusted ones from the back. */
  oh_upstream_t **candidates = (oh_upstream_t **)placement->candidates->pdata;
  unsigned trusted = 0;
  unsigned distrusted = 0;
  oh_upstream_t *paced;

  for (guint i = 0; i < table->upstreams->len; i++)
    {
      oh_upstream_t *upstream = g_ptr_array_index (table->upstreams, i);

      if (is_draining (upstream))
        continue;
      if (is_excluded (table, i, cap, now_us))
        decision->excluded++;
      else if (is_full (upstream) || is_tried (upstream, tried, n_tried))
        continue;
      else if (is_distrusted (upstream, now_us))
        candidates[placement->candidates->len - ++distrusted] = upstream;
      else
        candidates[trusted++] = upstream;
    }
  decision->candidates = trusted + distrusted;
  decision->distrusted = distrusted;
  paced = find_paced (candidates + placement->candidates->len - distrusted, distrusted, candidates, trusted,
                      now_us);
  if (paced != NULL)
    {
      decision->upstream = paced;
      decision->reason = decision->candidates == 1 ? OH_PLACEMENT_ONLY_CANDIDATE : OH_PLACEMENT_PACED;
    }
  else if (trusted > 0)
    choose_by_load (placement, candidates, trusted, decision);
}

void
oh_placement_init (oh_placement_t *placement, const char *zone, oh_random_t *random)
{
  *placement = (oh_placement_t){
    .random = random,
    .services = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_table),
    .upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free),
    .candidates = g_ptr_array_new (),
  };
  g_strlcpy (placement->zone, zone, sizeof placement->zone);
}

void
oh_placement_finish (oh_placement_t *placement)
{
  g_hash_table_unref (placement->services);
  g_hash_table_unref (placement->upstreams);
  g_ptr_array_unref (placement->candidates);
  oh_placement_view_free (placement->view);
}

void
oh_placement_update (oh_placement_t *placement, oh_placement_view_t *view, int64_t now_us)
{
  for (guint i = 0; i < view->members->len; i++)
    update_upstream (placement, &g_array_index (view->members, oh_placement_member_t, i));
  g_hash_table_foreach_remove (placement->upstreams, is_unlisted, NULL);
  oh_placement_view_free (placement->view);
  placement->view = view;

  g_ptr_array_set_size (placement->candidates, (gint)view->members->len);
  g_hash_table_remove_all (placement->services);
  for (guint i = 0; i < view->services->len; i++)
    {
      const oh_placement_service_t *service = &g_array_index (view->services, oh_placement_service_t, i);

      obtain_table (placement, service->id)->config = service;
    }
  for (guint i = 0; i < view->members->len; i++)
    {
      const oh_placement_member_t *member = &g_array_index (view->members, oh_placement_member_t, i);

      g_ptr_array_add (obtain_table (placement, member->service)->upstreams,
                       g_hash_table_lookup (placement->upstreams, member->name));
    }
}

bool
oh_placement_report (oh_placement_t *placement, const Oh__Load *load, int64_t now_us)
{
  oh_upstream_t *upstream = g_hash_table_lookup (placement->upstreams, load->upstream);

  if (upstream == NULL || upstream->service != load->service)
    return false;
  if (load->incarnation == upstream->incarnation)
    upstream->heard_us = now_us;
  if (!accept_sequence (upstream, load->incarnation, load->sequence))
    return false;
  upstream->heard_us = now_us;
  upstream->busy = load->busy;
  upstream->queued = load->queued;
  upstream->flows = load->flows;
  upstream->max_flows = load->max_flows;
  upstream->state = load->state;
  set_slots (upstream, load->slots);
  if (load->agent != NULL && load->agent->port > 0 && load->agent->port <= G_MAXUINT16)
    upstream->agent = (oh_address_t){ .ipv4 = load->agent->ipv4, .port = (uint16_t)load->agent->port };
  return true;
}

bool
oh_placement_choose (oh_placement_t *placement, uint64_t service, const uint64_t *tried, size_t n_tried,
                     int64_t now_us, oh_placement_decision_t *decision)
{
  const service_table_t *table = g_hash_table_lookup (placement->services, &service);
  const char *blocked_by;
  unsigned able = 0;

  *decision = (oh_placement_decision_t){ .service_name = "", .blocked_by = "" };
  if (placement->view == NULL || !placement->view->confirmed)
    return refuse (decision, OH_PLACEMENT_NO_CONFIRMED_VIEW, OH__RESULT__RESULT_NO_CONFIRMED_VIEW);
  if (table == NULL || table->config == NULL)
    return refuse (decision, OH_PLACEMENT_UNKNOWN_SERVICE, OH__RESULT__RESULT_WRONG_SERVICE);
  decision->service_name = table->config->name;
  blocked_by = find_unavailable_dependency (placement, table->config, now_us);
  if (blocked_by != NULL)
    {
      decision->blocked_by = blocked_by;
      return refuse (decision, OH_PLACEMENT_DEPENDENCY_UNAVAILABLE,
                     OH__RESULT__RESULT_DEPENDENCY_UNAVAILABLE);
    }
  decision->upstreams = table->upstreams->len;
  for (guint i = 0; i < table->upstreams->len; i++)
    {
      const oh_upstream_t *upstream = g_ptr_array_index (table->upstreams, i);

      if (is_draining (upstream))
        continue;
      able++;
      if (suspicion (upstream, now_us) != SUSPICION_NONE)
        decision->suspects++;
    }
  if (n_tried >= OH_PLACEMENT_TRIED_MAX)
    return refuse (decision, OH_PLACEMENT_TRIED_ALL, OH__RESULT__RESULT_NO_UPSTREAM);
  choose_candidate (placement, table, tried, n_tried, able / 3, now_us, decision);
  if (decision->upstream == NULL)
    return refuse (decision, n_tried > 0 ? OH_PLACEMENT_TRIED_ALL : OH_PLACEMENT_NO_UPSTREAM,
                   OH__RESULT__RESULT_NO_UPSTREAM);
  decision->refused = OH__RESULT__RESULT_NONE;
  decision->load = work_per_slot (decision->upstream);
  return true;
}

void
oh_placement_sent (oh_placement_t *placement, oh_upstream_t *upstream, uint64_t key, int64_t now_us)
{
  upstream->share = share_per_slot (upstream, now_us) * effective_slots (upstream) + 1;
  upstream->share_us = now_us;
  if (upstream->n_unanswered < OH_PLACEMENT_UNANSWERED_MAX)
    upstream->unanswered[upstream->n_unanswered++] = (oh_unanswered_t){ .key = key, .sent_us = now_us };
}

void
oh_placement_answered (oh_placement_t *placement, const Oh__Load *load, uint64_t key, bool accepted,
                       int64_t now_us)
{
  oh_upstream_t *upstream = g_hash_table_lookup (placement->upstreams, load->upstream);

  for (unsigned i = 0; upstream != NULL && i < upstream->n_unanswered; i++)
    if (upstream->unanswered[i].key == key)
      {
        upstream->n_unanswered--;
        memmove (&upstream->unanswered[i], &upstream->unanswered[i + 1],
                 (upstream->n_unanswered - i) * sizeof upstream->unanswered[0]);
        upstream->answered_us = now_us;
        upstream->unproven = false;
        if (accepted && load->busy + load->queued == 0)
          upstream->contradictions++;
        else
          upstream->contradictions = 0;
        return;
      }
}

void
oh_placement_expire (oh_placement_t *placement, int64_t now_us)
{
  const int64_t limit_us = now_us - (int64_t)OH_PLACEMENT_RESERVATION_MS * 1000;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      oh_upstream_t *upstream = value;
      unsigned expired = 0;

      while (expired < upstream->n_unanswered && upstream->unanswered[expired].sent_us <= limit_us)
        expired++;
      if (expired == 0)
        continue;
      if (upstream->answered_us < upstream->unanswered[expired - 1].sent_us)
        upstream->unproven = true;
      upstream->n_unanswered -= expired;
      memmove (&upstream->unanswered[0], &upstream->unanswered[expired],
               upstream->n_unanswered * sizeof upstream->unanswered[0]);
    }
}

oh_upstream_t *
oh_placement_find (oh_placement_t *placement, const char *name)
{
  return g_hash_table_lookup (placement->upstreams, name);
}

const char *
oh_placement_reason_name (oh_placement_reason_t reason)
{
  switch (reason)
    {
    case OH_PLACEMENT_ONLY_CANDIDATE:
      return "only-candidate";
    case OH_PLACEMENT_LEAST_LOAD:
      return "least-load";
    case OH_PLACEMENT_FEWEST_FLOWS:
      return "fewest-flows";
    case OH_PLACEMENT_SAME_ZONE:
      return "same-zone";
    case OH_PLACEMENT_RANDOM_TIE:
      return "random-tie";
    case OH_PLACEMENT_PACED:
      return "paced";
    case OH_PLACEMENT_NO_CONFIRMED_VIEW:
      return "no-confirmed-view";
    case OH_PLACEMENT_UNKNOWN_SERVICE:
      return "unknown-service";
    case OH_PLACEMENT_DEPENDENCY_UNAVAILABLE:
      return "dependency-unavailable";
    case OH_PLACEMENT_NO_UPSTREAM:
      return "no-upstream";
    case OH_PLACEMENT_TRIED_ALL:
      return "tried-all";
    }
  return "";
}
