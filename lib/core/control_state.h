#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "wire/control.pb-c.h"

/*
 * Replicated state machine of the control plane: version, operators' configuration text, key generation,
 * drained upstreams and zones, and the results of recent changes. Commands are applied in log order and
 * deterministically: the same commands give the same state and the same results on every replica.
 *
 * Each accepted change that alters the state creates the next version. Changes of the text and of the keys
 * must name the current version as their base version. Drains and replica set changes commute with other
 * changes, so their base version may also be 0, meaning the current one. A publication has base version 0: it
 * takes effect if its number is higher than that of the last publication that took effect, otherwise it is
 * accepted without effect.
 */

enum
{
  OH_CHANGE_ID_BYTES = 16,
  OH_CHANGE_AUTHOR_MAX_BYTES = 63,
  OH_CHANGE_TARGET_MAX_BYTES = 63,
  OH_CHANGE_RESULTS_MAX = 1024, /* results kept to reply to resent changes */
  OH_DRAINED_MAX = 4096,
  OH_DRAINED_ZONES_MAX = 64,
  OH_DOCUMENT_MAX_BYTES = 1024 * 1024,
};

typedef struct
{
  uint8_t id[OH_CHANGE_ID_BYTES];
  uint64_t digest; /* of the change without its id, base version and author */
  Oh__ChangeStatus status;
  uint64_t version; /* current after the change */
  /* CHANGE_CONFLICT: the change that created the current version. */
  uint8_t winner_id[OH_CHANGE_ID_BYTES];
  char winner_author[OH_CHANGE_AUTHOR_MAX_BYTES + 1];
  char detail[96];
} oh_change_result_t;

typedef struct
{
  uint64_t version;
  uint64_t text_version; /* version that last changed the text */
  char *text;
  uint64_t published_number; /* of the last publication that took effect; 0 if none */
  GBytes *document;          /* source of the published text; NULL if none was published */
  uint32_t key_generation;
  GPtrArray *drained;       /* names of upstreams: of char *, owned, sorted */
  GPtrArray *drained_zones; /* the same of availability zones */
  /* The change that created the current version. */
  uint8_t last_id[OH_CHANGE_ID_BYTES];
  char last_author[OH_CHANGE_AUTHOR_MAX_BYTES + 1];
  GQueue results;            /* of oh_change_result_t *, owned, oldest first */
  GHashTable *results_by_id; /* change id to its entry in results, borrowed */
} oh_control_state_t;

void oh_control_state_init (oh_control_state_t *state);
void oh_control_state_finish (oh_control_state_t *state);

/* True for the name of an upstream, replica or availability zone that a change may have as its target. */
bool oh_change_target_valid (const char *target);

/* True for a change that drains or undrains an availability zone. */
bool oh_change_is_of_zone (const Oh__Change *change);

/*
 * Validates what does not depend on the state: sizes, names, endpoint and text. A replica calls it before it
 * proposes a change. Applying a command repeats all of it except the parsing of the text, so that replicas
 * whose releases accept different texts do not diverge.
 */
bool oh_change_check (const Oh__Change *change, oh_error_t *error);

/* Derives the change id of a publication from its number and document, so that a resend has the same id. */
void oh_change_id_of_publication (uint64_t number, GBytes *document, uint8_t id[OH_CHANGE_ID_BYTES]);

/*
 * Looks up the result of an applied change by its id. Returns false if the id is not known. If the id belongs
 * to a change with different content, the result is CHANGE_INVALID.
 */
bool oh_control_state_find_result (const oh_control_state_t *state, const Oh__Change *change,
                                   oh_change_result_t *result);

/* Applies one log command, an encoded Change. Malformed bytes give CHANGE_INVALID and alter nothing. */
void oh_control_state_apply (oh_control_state_t *state, const uint8_t *bytes, size_t length,
                             oh_change_result_t *result);

/* Encodes the whole state as a snapshot; free with g_free. */
uint8_t *oh_control_state_save (const oh_control_state_t *state, size_t *length);

/* Replaces the state by a snapshot; on failure the state is left unchanged. */
bool oh_control_state_load (oh_control_state_t *state, const uint8_t *bytes, size_t length,
                            oh_error_t *error);

bool oh_control_state_is_drained (const oh_control_state_t *state, const char *upstream);
