#pragma once

#include "adapters/link.h"
#include "core/keyring.h"
#include "core/view.h"

/*
 * Polls the control replicas each second, which announces the node to them, and merges their replies into
 * one view. The replicas are those of the settings and those that confirmed views list. Until the node has a
 * confirmed view, it polls more often, and also the replicas that unconfirmed views list
 * (core/replica_poll.h). Runs in the given main context, which also calls the callbacks.
 */

typedef struct oh_view_client oh_view_client_t;

typedef struct
{
  /* The view changed. It is owned by the client and valid until the next callback. May be NULL. */
  void (*changed) (const oh_view_t *view, void *data);

  /* Fills in the role's fields of the next poll: member for agents, relay for balancers. What it sets must
   * stay valid until the next call. May be NULL. */
  void (*fill_poll) (Oh__Poll *poll, void *data);
} oh_view_client_callbacks_t;

/*
 * replicas: comma-separated endpoints "tcp://IPV4:PORT". The keyring must outlive the client and is advanced
 * to the view's key generation. callbacks is copied. Returns NULL and sets the error on failure.
 */
oh_view_client_t *oh_view_client_start (GMainContext *context, const char *name, Oh__NodeRole role,
                                        const char *zone, const char *replicas, oh_keyring_t *keyring,
                                        const oh_view_client_callbacks_t *callbacks, void *data,
                                        oh_error_t *error);

/*
 * Replaces the endpoints given at the start; replicas that views list are still polled. The new endpoints are
 * checked and polled at once only if too few of the listed replicas answer; then returns false and sets the
 * error if one is invalid or there are too many.
 */
bool oh_view_client_set_replicas (oh_view_client_t *client, const char *replicas, oh_error_t *error);

/* Polls now instead of at the next second, for instance to report a change of load to other nodes. */
void oh_view_client_poll_now (oh_view_client_t *client);

/* Tells the replicas that the node leaves, then stops and frees the client. */
void oh_view_client_stop (oh_view_client_t *client);

/*
 * Stops and frees the client without telling the replicas, so that the node's lease lasts until it expires
 * or the node starts again.
 */
void oh_view_client_stop_without_leaving (oh_view_client_t *client);
