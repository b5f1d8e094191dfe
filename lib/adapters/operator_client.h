#pragma once

#include <glib.h>
#include <stdbool.h>

#include "core/keyring.h"
#include "wire/control.pb-c.h"

/* Blocking client of the control replicas, for operators' tools. */

typedef struct oh_operator_client oh_operator_client_t;

/*
 * replicas: comma-separated endpoints "tcp://IPV4:PORT". The keyring must outlive the client and is advanced
 * to the key generation of the replicas. Returns NULL and sets the error on failure.
 */
oh_operator_client_t *oh_operator_client_open (const char *replicas, oh_keyring_t *keyring,
                                               oh_error_t *error);
void oh_operator_client_close (oh_operator_client_t *client);

/*
 * Sends the change, always with the same id, to one replica after another until one replies with a final
 * status: accepted, conflict or invalid. Free the reply with oh__change_reply__free_unpacked. Returns NULL
 * after the timeout: the outcome is not known, the change can be sent again with the same id, and the error
 * holds the last reply.
 */
Oh__ChangeReply *oh_operator_client_change (oh_operator_client_t *client, const Oh__Change *change,
                                            int timeout_ms, oh_error_t *error);

/*
 * Returns the status of a confirmed replica: of the leader, or after half of the timeout of any. Free it with
 * oh__status_reply__free_unpacked. Returns NULL and sets the error after the timeout.
 */
Oh__StatusReply *oh_operator_client_confirmed_status (oh_operator_client_t *client, bool want_text,
                                                      int timeout_ms, oh_error_t *error);

typedef struct
{
  const char *endpoint;   /* owned by the client */
  Oh__StatusReply *reply; /* owned by the client, valid until the next call; NULL if there was no answer */
} oh_replica_status_t;

/*
 * Queries every configured replica. Returns an array of oh_replica_status_t when all have answered or after
 * the timeout. Free it with g_array_unref.
 */
GArray *oh_operator_client_status (oh_operator_client_t *client, int timeout_ms);
