#include "core/placement.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/locality.h"

/* Limit of a distrusted upstream's recent Opens per slot, as a fraction of the mean of the trusted ones. It
 * is below 1 because the real load is unknown and must not be the highest. */
#define PACED_FRACTION 0.9

/* The same for an outlier: most requests that it gets fail, and a few show when that ends. */
#define OUTLIER_FRACTION 0.1

/* Bounds of the pace of an upstream, relative to the mean of its service. A pace closer to 1 than the factor
 * PACE_NOISE counts as 1: the requests may differ, not the upstreams. */
#define PACE_MIN 0.25
#define PACE_MAX 4.0
#define PACE_NOISE 1.25

enum
{
  /* An upstream that answers so much faster than the median of its service does not run its requests: VMs of
   * one deployment differ by less. */
  OUTLIER_FACTOR = 6,
  OUTLIER_UPSTREAMS_MIN = 3, /* with a service time; a median of fewer says nothing */
  PACE_INTERVAL_MS = 100,    /* between two computations of the paces of a service */
};

typedef struct
{
  const oh_placement_service_t *config; /* NULL if the configuration does not name the service */
  GPtrArray *upstreams;                 /* of oh_placement_upstream_t *, borrowed, sorted by name */
  GArray *service_times;                /* of unsigned: scratch space for the median, one for each upstream */
  unsigned service_us;                  /* median of the upstreams; 0: not known */
  int64_t paced_us;                     /* when it and the paces were computed; 0: never */
} service_entry_t;

static void
free_service_entry (gpointer data)
{
  service_entry_t *entry = data;

  g_ptr_array_unref (entry->upstreams);
  g_array_unref (entry->service_times);
  g_free (entry);
}

/* Creates the entry if there is none. */
static service_entry_t *
ensure_service_entry (oh_placement_t *placement, uint64_t service)
{
  service_entry_t *entry = g_hash_table_lookup (placement->services, &service);

  if (entry == NULL)
    {
      entry = g_new0 (service_entry_t, 1);
      entry->upstreams = g_ptr_array_new ();
      entry->service_times = g_array_new (FALSE, FALSE, sizeof (unsigned));
      g_hash_table_insert (placement->services, g_memdup2 (&service, sizeof service), entry);
    }
  return entry;
}

static void
reset_upstream (oh_placement_upstream_t *upstream, uint64_t incarnation)
{
  upstream->previous_incarnation = upstream->incarnation;
  upstream->incarnation = incarnation;
  upstream->sequence = 0;
  upstream->n_unanswered = 0;
  upstream->probing = false;
  upstream->false_reports = 0;
  upstream->full_us[false] = upstream->full_us[true] = 0;
}

/*
 * Returns true and records the sequence if a report is newer than the upstream's last one. A new incarnation
 * resets the upstream; reports of the previous one are late and ignored.
 */
static bool
accept_sequence (oh_placement_upstream_t *upstream, uint64_t incarnation, uint64_t sequence)
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
set_slots (oh_placement_upstream_t *upstream, unsigned slots)
{
  upstream->slots = slots;
  if (slots > 0)
    upstream->last_slots = slots;
}

static void
update_upstream (oh_placement_t *placement, const oh_placement_member_t *member)
{
  oh_placement_upstream_t *upstream = g_hash_table_lookup (placement->upstreams, member->name);
  const bool is_new = upstream == NULL || upstream->service != member->service;

  if (is_new)
    {
      upstream = g_new0 (oh_placement_upstream_t, 1);
      g_strlcpy (upstream->name, member->name, sizeof upstream->name);
      upstream->service = member->service;
      upstream->incarnation = member->incarnation;
      upstream->sequence = member->sequence;
      g_hash_table_replace (placement->upstreams, upstream->name, upstream);
    }
  upstream->listed = true;
  upstream->drained = member->drained;
  upstream->pace = 0;
  upstream->outlier = false;
  g_strlcpy (upstream->zone, member->zone, sizeof upstream->zone);
  if (!is_new && !accept_sequence (upstream, member->incarnation, member->sequence))
    return;
  upstream->agent = member->agent;
  upstream->busy = member->busy;
  upstream->queued = member->queued;
  upstream->flows = member->flows;
  upstream->max_flows = member->max_flows;
  upstream->limit = member->limit;
  upstream->reserved = member->reserved;
  upstream->service_us = member->service_us;
  upstream->state = member->state;
  set_slots (upstream, member->slots);
}

/* For g_hash_table_foreach_remove; also clears the mark for the next view. */
static gboolean
is_unlisted (gpointer key, gpointer value, gpointer data)
{
  oh_placement_upstream_t *upstream = value;
  const bool unlisted = !upstream->listed;

  upstream->listed = false;
  return unlisted;
}

/* In ascending order of the strength of the evidence. */
typedef enum
{
  SUSPICION_NONE,
  SUSPICION_REPORTED,   /* by the agent itself */
  SUSPICION_UNANSWERED, /* Opens are not answered */
} suspicion_t;

static suspicion_t
suspicion (const oh_placement_upstream_t *upstream, int64_t now_us)
{
  if (upstream->n_unanswered > 0)
    {
      const int64_t sent_us = upstream->unanswered[0].sent_us;
      const int64_t age_ms = (now_us - sent_us) / 1000;

      if (upstream->probing)
        return SUSPICION_UNANSWERED;
      if (age_ms >= OH_PLACEMENT_SILENCE_TIMEOUT_MS && upstream->last_report_us < sent_us)
        return SUSPICION_UNANSWERED;
      if (age_ms >= OH_PLACEMENT_ANSWER_TIMEOUT_MS && upstream->last_answer_us < sent_us)
        return SUSPICION_UNANSWERED;
    }
  return upstream->state == OH__UPSTREAM_STATE__UPSTREAM_SUSPECT || upstream->slots == 0 ? SUSPICION_REPORTED
                                                                                         : SUSPICION_NONE;
}

/*
 * Returns true if the evidence suffices to refuse the Opens of a service that depends on this one. One lost
 * Open does not suffice; a live agent sends a heartbeat each second.
 */
static bool
is_down (const oh_placement_upstream_t *upstream, int64_t now_us)
{
  const int64_t silence_us = (int64_t)OH_PLACEMENT_DOWN_TIMEOUT_MS * 1000;
  const bool unanswered = upstream->n_unanswered > 0 && now_us - upstream->unanswered[0].sent_us >= silence_us
                          && upstream->last_report_us < upstream->unanswered[0].sent_us;

  return unanswered || (upstream->probing && now_us - upstream->last_report_us >= silence_us)
         || upstream->state == OH__UPSTREAM_STATE__UPSTREAM_SUSPECT || upstream->slots == 0;
}

static bool
is_draining (const oh_placement_upstream_t *upstream)
{
  return upstream->drained || upstream->state == OH__UPSTREAM_STATE__UPSTREAM_DRAINING;
}

static bool
is_full (const oh_placement_upstream_t *upstream)
{
  return upstream->flows + upstream->n_unanswered >= upstream->max_flows;
}

static bool
is_tried (const oh_placement_upstream_t *upstream, const uint64_t *tried, size_t n_tried)
{
  for (size_t i = 0; i < n_tried; i++)
    if (tried[i] == upstream->incarnation)
      return true;
  return false;
}

static unsigned
effective_slots (const oh_placement_upstream_t *upstream)
{
  return MAX (upstream->slots > 0 ? upstream->slots : upstream->last_slots, 1u);
}

/* In slots of mean pace. */
static double
capacity (const oh_placement_upstream_t *upstream)
{
  return effective_slots (upstream) * (upstream->pace > 0 ? upstream->pace : 1);
}

static int
compare_times (const void *a, const void *b)
{
  const unsigned x = *(const unsigned *)a;
  const unsigned y = *(const unsigned *)b;

  return x < y ? -1 : x > y;
}

/* Median service time of the upstreams that do not drain; 0 if none is known. */
static unsigned
median_service_us (service_entry_t *entry, unsigned *n_known)
{
  unsigned *times = (unsigned *)(void *)entry->service_times->data;
  unsigned n = 0;

  for (guint i = 0; i < entry->upstreams->len; i++)
    {
      const oh_placement_upstream_t *upstream = g_ptr_array_index (entry->upstreams, i);

      if (upstream->service_us > 0 && !is_draining (upstream))
        times[n++] = upstream->service_us;
    }
  *n_known = n;
  if (n == 0)
    return 0;
  qsort (times, n, sizeof times[0], compare_times);
  return times[n / 2];
}

/* Computes the paces of a managed service against the median, which upstreams that fail at once and look fast
 * do not move while they are few. */
static void
update_paces (service_entry_t *entry, int64_t now_us)
{
  unsigned n_known;

  if (!entry->config->managed
      || (entry->paced_us != 0 && now_us - entry->paced_us < (int64_t)PACE_INTERVAL_MS * 1000))
    return;
  entry->paced_us = now_us;
  entry->service_us = median_service_us (entry, &n_known);
  for (guint i = 0; i < entry->upstreams->len; i++)
    {
      oh_placement_upstream_t *upstream = g_ptr_array_index (entry->upstreams, i);
      const double pace = upstream->service_us > 0 ? (double)entry->service_us / upstream->service_us : 1;

      upstream->outlier = n_known >= OUTLIER_UPSTREAMS_MIN && pace > OUTLIER_FACTOR;
      if (upstream->service_us == 0 || entry->service_us == 0)
        upstream->pace = 0;
      else
        upstream->pace = pace < PACE_NOISE && pace > 1 / PACE_NOISE ? 1 : CLAMP (pace, PACE_MIN, PACE_MAX);
    }
}

/* Offers whose answers may still come. An agent answers well within the time; an older offer, or its answer,
 * is lost. */
static unsigned
pending_offers (const oh_placement_upstream_t *upstream, int64_t now_us)
{
  const int64_t before_us = now_us - (int64_t)OH_PLACEMENT_SILENCE_TIMEOUT_MS * 1000;
  unsigned lost = 0;

  while (lost < upstream->n_unanswered && upstream->unanswered[lost].sent_us <= before_us)
    lost++;
  return upstream->n_unanswered - lost;
}

static int
free_positions (const oh_placement_upstream_t *upstream, bool yields, int64_t now_us)
{
  const unsigned reserved = yields ? MIN (upstream->reserved, upstream->limit) : 0;

  return (int)(upstream->limit - reserved)
         - (int)(upstream->busy + upstream->queued + pending_offers (upstream, now_us));
}

/* Time in which a position at a full agent becomes free on average. */
static int64_t
position_wait_us (const oh_placement_upstream_t *upstream)
{
  const int64_t wait_us = upstream->service_us / effective_slots (upstream);

  return upstream->service_us == 0 ? (int64_t)OH_PLACEMENT_FULL_MAX_MS * 1000
                                   : CLAMP (wait_us, (int64_t)OH_PLACEMENT_FULL_MIN_MS * 1000,
                                            (int64_t)OH_PLACEMENT_FULL_MAX_MS * 1000);
}

static oh_position_t
find_position (const service_entry_t *entry, const oh_placement_upstream_t *upstream, bool yields,
               int64_t now_us)
{
  const int64_t full_us = upstream->full_us[yields];

  if (!entry->config->managed || upstream->limit == 0)
    return OH_POSITION_FREE;
  if (full_us != 0 && now_us - full_us < position_wait_us (upstream))
    return OH_POSITION_TAKEN;
  if (free_positions (upstream, yields, now_us) > 0)
    return OH_POSITION_FREE;
  /* One offer at a time finds out whether a position is free. */
  return pending_offers (upstream, now_us) == 0 ? OH_POSITION_POSSIBLE : OH_POSITION_TAKEN;
}

double
oh_placement_work_per_slot (const oh_placement_upstream_t *upstream)
{
  return (double)(upstream->busy + upstream->queued + upstream->n_unanswered) / capacity (upstream);
}

double
oh_placement_flows_per_slot (const oh_placement_upstream_t *upstream)
{
  return (double)(upstream->flows + upstream->n_unanswered) / capacity (upstream);
}

/* Returns true if the upstream at the index is one of the max_excluded suspects with the strongest
 * evidence. */
static bool
is_excluded (const service_entry_t *entry, guint index, unsigned max_excluded, int64_t now_us)
{
  const suspicion_t own = suspicion (g_ptr_array_index (entry->upstreams, index), now_us);
  unsigned stronger = 0;

  if (own == SUSPICION_NONE)
    return false;
  for (guint i = 0; i < entry->upstreams->len; i++)
    {
      const oh_placement_upstream_t *other = g_ptr_array_index (entry->upstreams, i);
      const suspicion_t other_suspicion = is_draining (other) ? SUSPICION_NONE : suspicion (other, now_us);

      if (other_suspicion > own || (other_suspicion == own && i < index))
        stronger++;
    }
  return stronger < max_excluded;
}

static bool
has_available_upstream (oh_placement_t *placement, uint64_t service, int64_t now_us)
{
  const service_entry_t *entry = g_hash_table_lookup (placement->services, &service);

  for (guint i = 0; entry != NULL && i < entry->upstreams->len; i++)
    {
      const oh_placement_upstream_t *upstream = g_ptr_array_index (entry->upstreams, i);

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

      if (!has_available_upstream (placement, id, now_us))
        return ((service_entry_t *)g_hash_table_lookup (placement->services, &id))->config->name;
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

/* Compares by work per capacity, then flows per capacity, then the zone; returns a negative value if a is the
 * better choice. The reason is the criterion that decided, the zone if all are equal. */
static int
compare (const oh_placement_t *placement, const oh_placement_upstream_t *a, const oh_placement_upstream_t *b,
         oh_placement_reason_t *reason)
{
  const double work = oh_placement_work_per_slot (a) - oh_placement_work_per_slot (b);
  const double flows = oh_placement_flows_per_slot (a) - oh_placement_flows_per_slot (b);
  const int b_in_zone = strcmp (b->zone, placement->zone) == 0 ? 1 : 0;
  const int a_in_zone = strcmp (a->zone, placement->zone) == 0 ? 1 : 0;

  *reason = OH_PLACEMENT_LEAST_LOAD;
  if (work != 0)
    return work < 0 ? -1 : 1;
  *reason = OH_PLACEMENT_FEWEST_FLOWS;
  if (flows != 0)
    return flows < 0 ? -1 : 1;
  *reason = OH_PLACEMENT_SAME_ZONE;
  return b_in_zone - a_in_zone;
}

/* Returns true if the reported load says nothing about spare capacity: an upstream that fails its requests at
 * once always looks idle. */
static bool
is_distrusted (const oh_placement_upstream_t *upstream, int64_t now_us)
{
  return upstream->false_reports >= OH_PLACEMENT_FALSE_REPORTS_LIMIT || upstream->outlier
         || suspicion (upstream, now_us) != SUSPICION_NONE;
}

static double
recent_opens_per_slot (const oh_placement_upstream_t *upstream, int64_t now_us)
{
  const double elapsed_ms = (double)(now_us - upstream->recent_opens_us) / 1000;

  return upstream->recent_opens * exp (-elapsed_ms / OH_PLACEMENT_RECENT_OPENS_DECAY_MS)
         / effective_slots (upstream);
}

/* Chooses the best of the trusted candidates (n > 0), at random among equals. */
static void
choose_by_load (oh_placement_t *placement, oh_placement_upstream_t *const *candidates, unsigned n,
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
      /* Report the lowest criterion that was needed to tell the chosen upstream from another candidate. */
      if (order <= 0 || reason > decision->reason)
        decision->reason = reason;
    }
}

/* Greatest number of recent Opens per slot of a distrusted upstream, as a fraction of the mean of the trusted
 * ones. */
static double
paced_fraction (const oh_placement_upstream_t *upstream)
{
  return upstream->outlier ? OUTLIER_FRACTION : PACED_FRACTION;
}

/* Returns the distrusted candidate with the fewest recent Opens per slot of those below their limits, or NULL
 * if there is none. */
static oh_placement_upstream_t *
find_paced_candidate (oh_placement_upstream_t *const *distrusted, unsigned n_distrusted,
                      oh_placement_upstream_t *const *trusted, unsigned n_trusted, int64_t now_us)
{
  oh_placement_upstream_t *fewest = NULL;
  double mean = 0;

  for (unsigned i = 0; i < n_trusted; i++)
    mean += recent_opens_per_slot (trusted[i], now_us) / n_trusted;
  for (unsigned i = 0; i < n_distrusted; i++)
    {
      const double recent = recent_opens_per_slot (distrusted[i], now_us);

      /* Another unanswered Open tells nothing new and costs a caller one retransmission interval. */
      if (n_trusted > 0
          && (suspicion (distrusted[i], now_us) == SUSPICION_UNANSWERED
              || recent >= paced_fraction (distrusted[i]) * mean))
        continue;
      if (fewest == NULL || recent < recent_opens_per_slot (fewest, now_us))
        fewest = distrusted[i];
    }
  return fewest;
}

/* Chooses among the upstreams with at least this position. */
static void
choose_candidate (oh_placement_t *placement, const service_entry_t *entry,
                  const oh_placement_request_t *request, oh_position_t least, unsigned max_excluded,
                  int64_t now_us, oh_placement_decision_t *decision)
{
  /* Trusted upstreams fill the array from the front, distrusted ones from the back. */
  oh_placement_upstream_t **candidates = (oh_placement_upstream_t **)placement->candidates->pdata;
  unsigned trusted = 0;
  unsigned distrusted = 0;
  unsigned full = 0;
  oh_placement_upstream_t *paced;

  decision->excluded = 0;
  for (guint i = 0; i < entry->upstreams->len; i++)
    {
      oh_placement_upstream_t *upstream = g_ptr_array_index (entry->upstreams, i);

      if (is_draining (upstream))
        continue;
      if (is_excluded (entry, i, max_excluded, now_us))
        decision->excluded++;
      else if (is_full (upstream) || is_tried (upstream, request->tried, request->n_tried))
        continue;
      else if (find_position (entry, upstream, request->yields, now_us) < least)
        full++;
      else if (is_distrusted (upstream, now_us))
        candidates[placement->candidates->len - ++distrusted] = upstream;
      else
        candidates[trusted++] = upstream;
    }
  decision->candidates = trusted + distrusted;
  decision->full = full;
  decision->distrusted = distrusted;
  paced = find_paced_candidate (candidates + placement->candidates->len - distrusted, distrusted, candidates,
                                trusted, now_us);
  if (paced != NULL)
    {
      decision->upstream = paced;
      decision->reason = decision->candidates == 1 ? OH_PLACEMENT_ONLY_CANDIDATE : OH_PLACEMENT_PACED;
    }
  else if (trusted > 0)
    {
      decision->considered
        = oh_locality_select (candidates, trusted, placement->zone, placement->view->n_balancers,
                              placement->view->n_zones, placement->random);
      choose_by_load (placement, candidates, decision->considered, decision);
      if (decision->considered == 1 && trusted > 1)
        decision->reason = OH_PLACEMENT_SAME_ZONE;
    }
}

void
oh_placement_init (oh_placement_t *placement, const char *zone, oh_random_t *random)
{
  *placement = (oh_placement_t){
    .random = random,
    .services = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_service_entry),
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
oh_placement_set_view (oh_placement_t *placement, oh_placement_view_t *view, int64_t now_us)
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

      ensure_service_entry (placement, service->id)->config = service;
    }
  for (guint i = 0; i < view->members->len; i++)
    {
      const oh_placement_member_t *member = &g_array_index (view->members, oh_placement_member_t, i);

      service_entry_t *entry = ensure_service_entry (placement, member->service);

      g_ptr_array_add (entry->upstreams, g_hash_table_lookup (placement->upstreams, member->name));
      g_array_set_size (entry->service_times, entry->upstreams->len);
    }
}

bool
oh_placement_apply_load (oh_placement_t *placement, const Oh__Load *load, int64_t now_us)
{
  oh_placement_upstream_t *upstream = g_hash_table_lookup (placement->upstreams, load->upstream);

  if (upstream == NULL || upstream->service != load->service)
    return false;
  if (load->incarnation == upstream->incarnation)
    upstream->last_report_us = now_us;
  if (!accept_sequence (upstream, load->incarnation, load->sequence))
    return false;
  upstream->last_report_us = now_us;
  upstream->busy = load->busy;
  upstream->queued = load->queued;
  upstream->flows = load->flows;
  upstream->max_flows = load->max_flows;
  upstream->limit = load->limit;
  upstream->reserved = load->reserved;
  upstream->service_us = load->service_us;
  for (int yields = false; yields <= true; yields++)
    if (free_positions (upstream, yields, now_us) > 0)
      upstream->full_us[yields] = 0;
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
  const oh_placement_request_t request = {
    .service = service,
    .tried = tried,
    .n_tried = n_tried,
    .position = OH_POSITION_POSSIBLE,
  };

  return oh_placement_choose_position (placement, &request, now_us, decision);
}

bool
oh_placement_choose_position (oh_placement_t *placement, const oh_placement_request_t *request,
                              int64_t now_us, oh_placement_decision_t *decision)
{
  service_entry_t *entry = g_hash_table_lookup (placement->services, &request->service);
  const char *unavailable_dependency;
  unsigned n_drained = 0;
  unsigned eligible = 0;

  *decision = (oh_placement_decision_t){ .service_name = "", .unavailable_dependency = "" };
  if (placement->view == NULL || !placement->view->confirmed)
    return refuse (decision, OH_PLACEMENT_NO_CONFIRMED_VIEW, OH__RESULT__RESULT_NO_CONFIRMED_VIEW);
  if (entry == NULL || entry->config == NULL)
    return refuse (decision, OH_PLACEMENT_UNKNOWN_SERVICE, OH__RESULT__RESULT_WRONG_SERVICE);
  decision->service_name = entry->config->name;
  unavailable_dependency = find_unavailable_dependency (placement, entry->config, now_us);
  if (unavailable_dependency != NULL)
    {
      decision->unavailable_dependency = unavailable_dependency;
      return refuse (decision, OH_PLACEMENT_DEPENDENCY_UNAVAILABLE,
                     OH__RESULT__RESULT_DEPENDENCY_UNAVAILABLE);
    }
  decision->upstreams = entry->upstreams->len;
  for (guint i = 0; i < entry->upstreams->len; i++)
    {
      const oh_placement_upstream_t *upstream = g_ptr_array_index (entry->upstreams, i);

      n_drained += upstream->drained;
      if (is_draining (upstream))
        continue;
      eligible++;
      if (suspicion (upstream, now_us) != SUSPICION_NONE)
        decision->suspects++;
    }
  if (n_drained > 0 && n_drained == entry->upstreams->len)
    return refuse (decision, OH_PLACEMENT_ALL_DRAINED, OH__RESULT__RESULT_NO_UPSTREAM);
  if (request->n_tried >= OH_PLACEMENT_TRIED_MAX)
    return refuse (decision, OH_PLACEMENT_TRIED_ALL, OH__RESULT__RESULT_NO_UPSTREAM);
  /* Suspicion excludes at most a third of the upstreams that do not drain. */
  update_paces (entry, now_us);
  choose_candidate (placement, entry, request, OH_POSITION_FREE, eligible / 3, now_us, decision);
  if (decision->upstream == NULL && decision->full > 0 && request->position < OH_POSITION_FREE)
    choose_candidate (placement, entry, request, OH_POSITION_POSSIBLE, eligible / 3, now_us, decision);
  if (decision->upstream == NULL && decision->full > 0)
    return refuse (decision, OH_PLACEMENT_NO_POSITION, OH__RESULT__RESULT_NOT_RUN_OVERLOADED);
  if (decision->upstream == NULL)
    return refuse (decision, request->n_tried > 0 ? OH_PLACEMENT_TRIED_ALL : OH_PLACEMENT_NO_UPSTREAM,
                   OH__RESULT__RESULT_NO_UPSTREAM);
  decision->position = find_position (entry, decision->upstream, request->yields, now_us);
  decision->refused = OH__RESULT__RESULT_NONE;
  decision->load = oh_placement_work_per_slot (decision->upstream);
  return true;
}

void
oh_placement_open_sent (oh_placement_t *placement, oh_placement_upstream_t *upstream, uint64_t key,
                        int64_t now_us)
{
  upstream->recent_opens = recent_opens_per_slot (upstream, now_us) * effective_slots (upstream) + 1;
  upstream->recent_opens_us = now_us;
  if (upstream->n_unanswered < OH_PLACEMENT_UNANSWERED_MAX)
    upstream->unanswered[upstream->n_unanswered++] = (oh_unanswered_open_t){ .key = key, .sent_us = now_us };
}

/* The agent has accepted an Open: if that took its last position, the next one becomes free later. */
static void
note_last_position (oh_placement_upstream_t *upstream, int64_t now_us)
{
  for (int yields = false; yields <= true; yields++)
    if (upstream->limit > 0 && free_positions (upstream, yields, now_us) <= 0)
      upstream->full_us[yields] = now_us;
}

void
oh_placement_overloaded (oh_placement_t *placement, const Oh__Load *load, bool yields, int64_t now_us)
{
  oh_placement_upstream_t *upstream = g_hash_table_lookup (placement->upstreams, load->upstream);

  if (upstream == NULL)
    return;
  upstream->full_us[true] = now_us;
  if (!yields)
    upstream->full_us[false] = now_us;
}

bool
oh_placement_has_position (oh_placement_t *placement, const Oh__Load *load, int64_t now_us)
{
  const oh_placement_upstream_t *upstream = g_hash_table_lookup (placement->upstreams, load->upstream);

  return upstream != NULL && upstream->limit > 0 && free_positions (upstream, false, now_us) > 0;
}

unsigned
oh_placement_service_us (const oh_placement_t *placement, uint64_t service)
{
  const service_entry_t *entry = g_hash_table_lookup (placement->services, &service);

  return entry != NULL ? entry->service_us : 0;
}

unsigned
oh_placement_upstream_share (const oh_placement_t *placement)
{
  const unsigned n_balancers = placement->view != NULL ? placement->view->n_balancers : 0;
  const unsigned n_upstreams = g_hash_table_size (placement->upstreams);

  return MAX (n_upstreams / MAX (n_balancers, 1u), 1u);
}

void
oh_placement_open_answered (oh_placement_t *placement, const Oh__Load *load, uint64_t key, bool accepted,
                            int64_t now_us)
{
  oh_placement_upstream_t *upstream = g_hash_table_lookup (placement->upstreams, load->upstream);

  for (unsigned i = 0; upstream != NULL && i < upstream->n_unanswered; i++)
    if (upstream->unanswered[i].key == key)
      {
        upstream->n_unanswered--;
        memmove (&upstream->unanswered[i], &upstream->unanswered[i + 1],
                 (upstream->n_unanswered - i) * sizeof upstream->unanswered[0]);
        upstream->last_answer_us = now_us;
        upstream->probing = false;
        if (accepted && load->busy + load->queued == 0)
          upstream->false_reports++;
        else
          upstream->false_reports = 0;
        if (accepted)
          note_last_position (upstream, now_us);
        return;
      }
}

void
oh_placement_expire_opens (oh_placement_t *placement, int64_t now_us)
{
  const int64_t limit_us = now_us - (int64_t)OH_PLACEMENT_RESERVATION_MS * 1000;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      oh_placement_upstream_t *upstream = value;
      unsigned expired = 0;

      while (expired < upstream->n_unanswered && upstream->unanswered[expired].sent_us <= limit_us)
        expired++;
      if (expired == 0)
        continue;
      if (upstream->last_answer_us < upstream->unanswered[expired - 1].sent_us)
        upstream->probing = true;
      upstream->n_unanswered -= expired;
      memmove (&upstream->unanswered[0], &upstream->unanswered[expired],
               upstream->n_unanswered * sizeof upstream->unanswered[0]);
    }
}

oh_placement_upstream_t *
oh_placement_find_upstream (oh_placement_t *placement, const char *name)
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
    case OH_PLACEMENT_ALL_DRAINED:
      return "all-drained";
    case OH_PLACEMENT_TRIED_ALL:
      return "tried-all";
    case OH_PLACEMENT_NO_POSITION:
      return "no-position";
    }
  return "";
}
