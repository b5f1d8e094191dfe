#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "wire/control.pb-c.h"

/*
 * The replicated state of the control plane: version, operators' text, key generation, drained upstreams and
 * the results of the last changes. Commands are applied in log order; the
 * same commands give the same state and the same results on every replica.
 *
 * Every accepted change that alters the state makes the next version. Changes of the text, of the keys and of
 * the replica set must name the current version as their base. Drains commute, so their base version may be
 * 0: whatever is current. A publication names no base: it takes effect if its number is higher than that of
 * the last one, and is accepted without effect otherwise.
 */

enum
{
  OH_CHANGE_ID_BYTES = 16,
  OH_CHANGE_AUTHOR_MAX_BYTES = 63,
  OH_CHANGE_TARGET_MAX_BYTES = 63,
  OH_CHANGE_RESULTS = 1024, /* results kept for repeated changes */
  OH_DRAINED_MAX = 4096,
  OH_DOCUMENT_MAX_BYTES = 1024 * 1024,
};

typedef struct
{
  uint8_t id[OH_CHANGE_ID_BYTES];
  uint64_t digest; /* of the change without its id, base version and author */
  Oh__ChangeStatus status;
  uint64_t version; /* made, or current if the change was not accepted */
  uint8_t winner_id[OH_CHANGE_ID_BYTES];
  char winner_author[OH_CHANGE_AUTHOR_MAX_BYTES + 1];
  char detail[96];
} oh_change_result_t;

typedef struct
{
  uint64_t version;
  uint64_t text_version;
  char *text;
  uint64_t published_number; /* of the last publication in effect, 0 if there was none */
  GBytes *document;          /* that the text was made from; NULL if there was no publication */
  uint32_t key_generation;
  GPtrArray *drained; /* of char *, owned, sorted */
  uint8_t last_id[OH_CHANGE_ID_BYTES];
  char last_author[OH_CHANGE_AUTHOR_MAX_BYTES + 1];
  GQueue results;            /* of oh_change_result_t *, owned, oldest first */
  GHashTable *results_by_id; /* borrowed */
} oh_control_state_t;

void oh_control_state_init (oh_control_state_t *state);
void oh_control_state_finish (oh_control_state_t *state);

/*
 * Checks what does not depend on the state: sizes, names, endpoint and text. A replica checks a change before
 * it proposes it; apply repeats only the bounds, so that replicas with different rules for texts do not
 * diverge.
 */
bool oh_change_check (const Oh__Change *change, oh_error_t *error);

/* The id of a publication is a digest of what it says. */
void oh_change_id_of_publication (uint64_t number, GBytes *document, uint8_t id[OH_CHANGE_ID_BYTES]);

/*
 * The result that a change with this id has already. False if the id is not known. A known id of a change
 * with other content gives CHANGE_INVALID.
 */
bool oh_control_state_find (const oh_control_state_t *state, const Oh__Change *change,
                            oh_change_result_t *result);

/* Applies one log command, an encoded Change. Bytes that are no change alter nothing: CHANGE_INVALID. */
void oh_control_state_apply (oh_control_state_t *state, const uint8_t *bytes, size_t length,
                             oh_change_result_t *result);

/* Snapshot of the whole state; free with g_free. */
uint8_t *oh_control_state_save (const oh_control_state_t *state, size_t *length);

/* Replaces the state; on failure it is left unchanged. */
bool oh_control_state_load (oh_control_state_t *state, const uint8_t *bytes, size_t length,
                            oh_error_t *error);

bool oh_control_state_is_drained (const oh_control_state_t *state, const char *upstream);
