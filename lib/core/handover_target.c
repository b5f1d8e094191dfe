#include "core/handover_target.h"

enum
{
  /* Short, as flows sent in the meantime are added to the load, but other new work is not. */
  LOAD_VALID_US = 2 * G_USEC_PER_SEC,
};

/* Last known load of a peer. */
typedef struct
{
  uint64_t incarnation;
  uint64_t sequence; /* of the load report */
  unsigned slots;
  unsigned busy;
  unsigned queued;
  unsigned flows;
  unsigned max_flows;
  int64_t replied_us;  /* 0: never */
  unsigned in_transit; /* flows sent whose reply has not arrived */
  bool accepts_flows;  /* neither draining nor suspect */
} peer_t;

/* Load per slot; the lowest score is chosen, work before flows. */
typedef struct
{
  double work;
  double flows;
} score_t;

static bool
accepts_flows (Oh__UpstreamState state)
{
  return state != OH__UPSTREAM_STATE__UPSTREAM_DRAINING && state != OH__UPSTREAM_STATE__UPSTREAM_SUSPECT;
}

static peer_t *
get_or_add_peer (oh_handover_targets_t *targets, uint64_t incarnation)
{
  peer_t *peer = g_hash_table_lookup (targets->peers, &incarnation);

  if (peer == NULL)
    {
      peer = g_new0 (peer_t, 1);
      peer->incarnation = incarnation;
      g_hash_table_insert (targets->peers, &peer->incarnation, peer);
    }
  return peer;
}

static const peer_t *
refresh_from_view (oh_handover_targets_t *targets, const oh_view_member_t *member)
{
  peer_t *peer = get_or_add_peer (targets, member->incarnation);

  if (member->sequence > peer->sequence || peer->max_flows == 0)
    *peer = (peer_t){
      .incarnation = member->incarnation,
      .sequence = member->sequence,
      .slots = member->slots,
      .busy = member->busy,
      .queued = member->queued,
      .flows = member->flows,
      .max_flows = member->max_flows,
      .in_transit = peer->in_transit,
      .replied_us = peer->replied_us,
      .accepts_flows = accepts_flows (member->state),
    };
  return peer;
}

static bool
can_take_flow (const oh_handover_targets_t *targets, const oh_view_member_t *member)
{
  return member->service == targets->service && member->incarnation != targets->incarnation
         && !member->drained && member->peer_endpoint != NULL && member->peer_endpoint[0] != '\0';
}

static score_t
peer_score (const peer_t *peer, double work_per_flow, int64_t now_us)
{
  const bool fresh = peer->replied_us != 0 && now_us - peer->replied_us < LOAD_VALID_US;
  const double slots = MAX (peer->slots, 1);

  /* A peer with outdated load comes first, for one flow only: its reply brings the current load. */
  if (!fresh && peer->in_transit == 0)
    return (score_t){ .work = -1 };
  return (score_t){
    .work = (peer->busy + peer->queued + work_per_flow * peer->in_transit) / slots,
    .flows = (peer->flows + peer->in_transit) / slots,
  };
}

void
oh_handover_targets_init (oh_handover_targets_t *targets, uint64_t service, uint64_t incarnation,
                          oh_random_t *random)
{
  *targets = (oh_handover_targets_t){
    .service = service,
    .incarnation = incarnation,
    .random = random,
    .peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free),
  };
}

void
oh_handover_targets_finish (oh_handover_targets_t *targets)
{
  g_hash_table_unref (targets->peers);
}

void
oh_handover_targets_replied (oh_handover_targets_t *targets, uint64_t incarnation, const Oh__Load *load,
                             int64_t now_us)
{
  peer_t *peer = get_or_add_peer (targets, incarnation);

  if (peer->in_transit > 0)
    peer->in_transit--;
  if (load == NULL || load->incarnation != incarnation || load->service != targets->service
      || load->max_flows == 0)
    return;
  if (peer->max_flows != 0 && load->sequence < peer->sequence)
    return;
  *peer = (peer_t){
    .incarnation = incarnation,
    .sequence = load->sequence,
    .slots = load->slots,
    .busy = load->busy,
    .queued = load->queued,
    .flows = load->flows,
    .max_flows = load->max_flows,
    .in_transit = peer->in_transit,
    .replied_us = now_us,
    .accepts_flows = accepts_flows (load->state),
  };
}

const oh_view_member_t *
oh_handover_targets_choose (oh_handover_targets_t *targets, const oh_view_t *view, const char *avoid,
                            double work_per_flow, int64_t now_us)
{
  const oh_view_member_t *best = NULL;
  score_t best_score = { 0 };
  unsigned ties = 0;

  for (guint i = 0; view != NULL && i < view->members->len; i++)
    {
      const oh_view_member_t *member = g_ptr_array_index (view->members, i);
      const peer_t *peer;
      score_t score;

      if (!can_take_flow (targets, member) || g_strcmp0 (member->name, avoid) == 0)
        continue;
      peer = refresh_from_view (targets, member);
      if (!peer->accepts_flows || peer->flows + peer->in_transit >= peer->max_flows)
        continue;
      score = peer_score (peer, work_per_flow, now_us);
      if (best != NULL && score.work == best_score.work && score.flows == best_score.flows)
        {
          ties++;
          if (oh_random_below (targets->random, ties) != 0)
            continue;
        }
      else if (best != NULL
               && (score.work > best_score.work
                   || (score.work == best_score.work && score.flows > best_score.flows)))
        continue;
      else
        ties = 1;
      best = member;
      best_score = score;
    }
  return best;
}

void
oh_handover_targets_sent (oh_handover_targets_t *targets, const oh_view_member_t *member)
{
  get_or_add_peer (targets, member->incarnation)->in_transit++;
}
