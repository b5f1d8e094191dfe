#pragma once

#include <glib.h>
#include <stdbool.h>

#include "core/keyring.h"
#include "wire/control.pb-c.h"

/* Blocking client of the control replicas for operators' tools. */

typedef struct oh_operator_client oh_operator_client_t;

/* replicas: comma-separated endpoints "tcp://IPV4:PORT". NULL and error on failure. */
oh_operator_client_t *oh_operator_client_open (const char *replicas, oh_keyring_t *keyring,
                                               oh_error_t *error);
void oh_operator_client_close (oh_operator_client_t *client);

/*
 * Sends the change with the same id to one replica after the other until one gives its result: accepted,
 * conflict or invalid. The reply is freed with oh__change_reply__free_unpacked. NULL after the timeout: the
 * outcome is not known, and the change can be sent again with the same id; the error says what was heard
 * last.
 */
Oh__ChangeReply *oh_operator_client_change (oh_operator_client_t *client, const Oh__Change *change,
                                            int timeout_ms, oh_error_t *error);

/*
 * Status of a replica that leads and is confirmed, or after half of the timeout of any confirmed one. NULL
 * and error after the timeout; freed with oh__status_reply__free_unpacked.
 */
Oh__StatusReply *oh_operator_client_current (oh_operator_client_t *client, bool want_text, int timeout_ms,
                                             oh_error_t *error);

typedef struct
{
  const char *endpoint;   /* owned by the client */
  Oh__StatusReply *reply; /* owned by the client until the next call; NULL without an answer */
} oh_replica_status_t;

/* Asks every replica of the list; returns when all have answered or the time is over. Free with
 * g_array_unref. */
GArray *oh_operator_client_status (oh_operator_client_t *client, int timeout_ms);
