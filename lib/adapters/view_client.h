#pragma once

#include "adapters/link.h"
#include "core/keyring.h"
#include "core/view.h"

/*
 * Polls every control replica each second, announces the node, and keeps a merged view. The replicas are
 * those of the settings and those that confirmed views list. Runs in the given main context; callbacks are
 * called there.
 */

typedef struct oh_view_client oh_view_client_t;

typedef struct
{
  /* The view changed. It belongs to the client and is valid until the next callback. */
  void (*changed) (const oh_view_t *view, void *data);

  /* Fills role-specific fields of the next poll (member for agents, relay for balancers). May be NULL. What
   * it sets must stay valid until the callback is called again. */
  void (*fill_poll) (Oh__Poll *poll, void *data);
} oh_view_client_callbacks_t;

/* replicas: comma-separated endpoints "tcp://IPV4:PORT". The keyring is advanced to the view's key
 * generation. */
oh_view_client_t *oh_view_client_start (GMainContext *context, const char *name, Oh__NodeRole role,
                                        const char *zone, const char *replicas, oh_keyring_t *keyring,
                                        const oh_view_client_callbacks_t *callbacks, void *data,
                                        oh_error_t *error);

/* Replaces the endpoints given at the start; replicas that views list are polled besides. */
bool oh_view_client_set_replicas (oh_view_client_t *client, const char *replicas, oh_error_t *error);

/* Sends a poll now, for instance after a change of load that other nodes should learn. */
void oh_view_client_poll_now (oh_view_client_t *client);

/* Tells the replicas that the node leaves, then stops. */
void oh_view_client_stop (oh_view_client_t *client);

/* Stops without a word, so that the lease lasts until the node's next start or its end. */
void oh_view_client_abandon (oh_view_client_t *client);
