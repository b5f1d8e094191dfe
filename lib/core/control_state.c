#include "core/control_state.h"

#include <string.h>
#include <xxhash.h>

#include "base/settings.h"
#include "core/config_text.h"
#include "wire/replica.pb-c.h"

static const uint8_t no_id[OH_CHANGE_ID_BYTES];

static guint
hash_id (gconstpointer id)
{
  return (guint)XXH64 (id, OH_CHANGE_ID_BYTES, 0);
}

static gboolean
equal_ids (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, OH_CHANGE_ID_BYTES) == 0;
}

static uint64_t
digest_change (const Oh__Change *change)
{
  uint64_t digest = XXH64 (change->text, strlen (change->text) + 1, (uint64_t)change->kind);

  digest = XXH64 (change->target, strlen (change->target) + 1, digest);
  if (change->kind == OH__CHANGE_KIND__CHANGE_PUBLISH)
    digest = XXH64 (change->document.data, change->document.len, digest ^ change->number);
  return XXH64 (change->endpoint, strlen (change->endpoint) + 1, digest);
}

static bool
endpoint_valid (const char *endpoint)
{
  static const char scheme[] = "tcp://";
  oh_address_t address;

  return g_str_has_prefix (endpoint, scheme) && oh_address_parse (endpoint + strlen (scheme), &address);
}

/* The names appear in log lines and in lists, so white space, separators and quotes are excluded. */
bool
oh_change_target_valid (const char *target)
{
  const size_t length = strlen (target);

  return length > 0 && length <= OH_CHANGE_TARGET_MAX_BYTES
         && strspn (target, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == length;
}

static bool
bounds_valid (const Oh__Change *change)
{
  if (change->id.len != OH_CHANGE_ID_BYTES || strlen (change->author) > OH_CHANGE_AUTHOR_MAX_BYTES
      || strlen (change->text) > OH_CONFIG_TEXT_MAX_BYTES)
    return false;
  switch (change->kind)
    {
    case OH__CHANGE_KIND__CHANGE_APPLY:
    case OH__CHANGE_KIND__CHANGE_ROTATE_KEYS:
      return true;
    case OH__CHANGE_KIND__CHANGE_PUBLISH:
      return change->number > 0 && change->document.len <= OH_DOCUMENT_MAX_BYTES;
    case OH__CHANGE_KIND__CHANGE_DRAIN:
    case OH__CHANGE_KIND__CHANGE_UNDRAIN:
    case OH__CHANGE_KIND__CHANGE_REMOVE_REPLICA:
    case OH__CHANGE_KIND__CHANGE_DRAIN_ZONE:
    case OH__CHANGE_KIND__CHANGE_UNDRAIN_ZONE:
      return oh_change_target_valid (change->target);
    case OH__CHANGE_KIND__CHANGE_ADD_REPLICA:
      return oh_change_target_valid (change->target) && endpoint_valid (change->endpoint);
    case _OH__CHANGE_KIND_IS_INT_SIZE:
      break;
    }
  return false;
}

static void
set_winner (const oh_control_state_t *state, oh_change_result_t *result)
{
  memcpy (result->winner_id, state->last_id, sizeof result->winner_id);
  g_strlcpy (result->winner_author, state->last_author, sizeof result->winner_author);
}

static void
reject (const oh_control_state_t *state, oh_change_result_t *result, Oh__ChangeStatus status,
        const char *detail)
{
  result->status = status;
  result->version = state->version;
  g_strlcpy (result->detail, detail, sizeof result->detail);
}

/* Binary search in the sorted names; position is where the name is, or where it has to be inserted. */
static bool
find_name (const GPtrArray *names, const char *name, guint *position)
{
  guint low = 0;
  guint high = names->len;

  while (low < high)
    {
      const guint middle = low + (high - low) / 2;

      if (strcmp (g_ptr_array_index (names, middle), name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *position = low;
  return low < names->len && strcmp (g_ptr_array_index (names, low), name) == 0;
}

static void
store_result (oh_control_state_t *state, const oh_change_result_t *result)
{
  oh_change_result_t *kept = g_memdup2 (result, sizeof *result);

  g_queue_push_tail (&state->results, kept);
  g_hash_table_insert (state->results_by_id, kept->id, kept);
  if (state->results.length > OH_CHANGE_RESULTS_MAX)
    {
      oh_change_result_t *oldest = g_queue_pop_head (&state->results);

      g_hash_table_remove (state->results_by_id, oldest->id);
      g_free (oldest);
    }
}

static void
set_text (oh_control_state_t *state, const char *text)
{
  g_free (state->text);
  state->text = g_strdup (text);
  state->text_version = state->version + 1;
}

static bool
publish (oh_control_state_t *state, const Oh__Change *change, oh_change_result_t *result)
{
  if (change->number <= state->published_number)
    {
      g_snprintf (result->detail, sizeof result->detail, "number %" G_GUINT64_FORMAT " is in effect",
                  state->published_number);
      return false;
    }
  set_text (state, change->text);
  state->published_number = change->number;
  g_clear_pointer (&state->document, g_bytes_unref);
  state->document = g_bytes_new (change->document.data, change->document.len);
  return true;
}

/* Adds the name to the drained ones. Returns as mutate_state does. */
static bool
drain (const oh_control_state_t *state, GPtrArray *drained, guint max, const char *name,
       oh_change_result_t *result)
{
  guint position;

  if (find_name (drained, name, &position))
    {
      g_strlcpy (result->detail, "already drained", sizeof result->detail);
      return false;
    }
  if (drained->len >= max)
    {
      reject (state, result, OH__CHANGE_STATUS__CHANGE_INVALID,
              drained == state->drained ? "too many drained upstreams" : "too many drained zones");
      return false;
    }
  g_ptr_array_insert (drained, (gint)position, g_strdup (name));
  return true;
}

static bool
undrain (GPtrArray *drained, const char *name, oh_change_result_t *result)
{
  guint position;

  if (!find_name (drained, name, &position))
    {
      g_strlcpy (result->detail, "not drained", sizeof result->detail);
      return false;
    }
  g_ptr_array_remove_index (drained, position);
  return true;
}

/* Returns true if the change altered the state; otherwise the reason is in the result, except for a change of
 * the replica set, which the Raft log holds. */
static bool
mutate_state (oh_control_state_t *state, const Oh__Change *change, oh_change_result_t *result)
{
  switch (change->kind)
    {
    case OH__CHANGE_KIND__CHANGE_APPLY:
      set_text (state, change->text);
      return true;
    case OH__CHANGE_KIND__CHANGE_PUBLISH:
      return publish (state, change, result);
    case OH__CHANGE_KIND__CHANGE_DRAIN:
      return drain (state, state->drained, OH_DRAINED_MAX, change->target, result);
    case OH__CHANGE_KIND__CHANGE_UNDRAIN:
      return undrain (state->drained, change->target, result);
    case OH__CHANGE_KIND__CHANGE_DRAIN_ZONE:
      return drain (state, state->drained_zones, OH_DRAINED_ZONES_MAX, change->target, result);
    case OH__CHANGE_KIND__CHANGE_UNDRAIN_ZONE:
      return undrain (state->drained_zones, change->target, result);
    case OH__CHANGE_KIND__CHANGE_ROTATE_KEYS:
      state->key_generation++;
      return true;
    case OH__CHANGE_KIND__CHANGE_ADD_REPLICA:
    case OH__CHANGE_KIND__CHANGE_REMOVE_REPLICA:
      return false;
    case _OH__CHANGE_KIND_IS_INT_SIZE:
      break;
    }
  g_assert_not_reached ();
}

static bool
base_matches (const oh_control_state_t *state, const Oh__Change *change)
{
  const bool commutes
    = change->kind != OH__CHANGE_KIND__CHANGE_APPLY && change->kind != OH__CHANGE_KIND__CHANGE_ROTATE_KEYS;

  return change->base_version == state->version || (commutes && change->base_version == 0);
}

static void
apply_change (oh_control_state_t *state, const Oh__Change *change, oh_change_result_t *result)
{
  if (oh_control_state_find_result (state, change, result))
    return;
  memcpy (result->id, change->id.data, OH_CHANGE_ID_BYTES);
  result->digest = digest_change (change);
  result->status = OH__CHANGE_STATUS__CHANGE_ACCEPTED;
  if (!base_matches (state, change))
    {
      reject (state, result, OH__CHANGE_STATUS__CHANGE_CONFLICT, "the base version is not the current one");
      set_winner (state, result);
    }
  else if (mutate_state (state, change, result))
    {
      state->version++;
      memcpy (state->last_id, change->id.data, OH_CHANGE_ID_BYTES);
      g_strlcpy (state->last_author, change->author, sizeof state->last_author);
    }
  result->version = state->version;
  store_result (state, result);
}

static Oh__ChangeResult *
result_to_wire (const oh_change_result_t *result)
{
  Oh__ChangeResult *wire = g_new (Oh__ChangeResult, 1);

  oh__change_result__init (wire);
  wire->id.data = (uint8_t *)result->id;
  wire->id.len = sizeof result->id;
  wire->digest = result->digest;
  wire->status = result->status;
  wire->version = result->version;
  if (memcmp (result->winner_id, no_id, sizeof no_id) != 0)
    {
      wire->winner_id.data = (uint8_t *)result->winner_id;
      wire->winner_id.len = sizeof result->winner_id;
    }
  wire->winner_author = (char *)result->winner_author;
  wire->detail = (char *)result->detail;
  return wire;
}

static bool
result_from_wire (const Oh__ChangeResult *wire, oh_change_result_t *result)
{
  *result = (oh_change_result_t){ .digest = wire->digest, .status = wire->status, .version = wire->version };
  if (wire->id.len != OH_CHANGE_ID_BYTES
      || (wire->winner_id.len != 0 && wire->winner_id.len != OH_CHANGE_ID_BYTES))
    return false;
  memcpy (result->id, wire->id.data, OH_CHANGE_ID_BYTES);
  if (wire->winner_id.len != 0)
    memcpy (result->winner_id, wire->winner_id.data, OH_CHANGE_ID_BYTES);
  g_strlcpy (result->winner_author, wire->winner_author, sizeof result->winner_author);
  g_strlcpy (result->detail, wire->detail, sizeof result->detail);
  return true;
}

static bool
fill_from_wire (oh_control_state_t *state, const Oh__ControlState *wire)
{
  if ((wire->last_id.len != 0 && wire->last_id.len != OH_CHANGE_ID_BYTES) || wire->key_generation == 0
      || wire->n_results > OH_CHANGE_RESULTS_MAX || wire->n_drained_zones > OH_DRAINED_ZONES_MAX)
    return false;
  state->version = wire->version;
  state->text_version = wire->text_version;
  g_free (state->text);
  state->text = g_strdup (wire->text);
  state->published_number = wire->published_number;
  if (wire->published_number != 0)
    state->document = g_bytes_new (wire->document.data, wire->document.len);
  state->key_generation = wire->key_generation;
  if (wire->last_id.len != 0)
    memcpy (state->last_id, wire->last_id.data, OH_CHANGE_ID_BYTES);
  g_strlcpy (state->last_author, wire->last_author, sizeof state->last_author);
  for (size_t i = 0; i < wire->n_drained; i++)
    g_ptr_array_add (state->drained, g_strdup (wire->drained[i]));
  for (size_t i = 0; i < wire->n_drained_zones; i++)
    g_ptr_array_add (state->drained_zones, g_strdup (wire->drained_zones[i]));
  for (size_t i = 0; i < wire->n_results; i++)
    {
      oh_change_result_t result;

      if (!result_from_wire (wire->results[i], &result)
          || g_hash_table_contains (state->results_by_id, result.id))
        return false;
      store_result (state, &result);
    }
  return true;
}

void
oh_control_state_init (oh_control_state_t *state)
{
  *state = (oh_control_state_t){
    .text = g_strdup (""),
    .key_generation = 1,
    .drained = g_ptr_array_new_with_free_func (g_free),
    .drained_zones = g_ptr_array_new_with_free_func (g_free),
    .results = G_QUEUE_INIT,
    .results_by_id = g_hash_table_new (hash_id, equal_ids),
  };
}

void
oh_control_state_finish (oh_control_state_t *state)
{
  g_clear_pointer (&state->text, g_free);
  g_clear_pointer (&state->document, g_bytes_unref);
  g_clear_pointer (&state->drained, g_ptr_array_unref);
  g_clear_pointer (&state->drained_zones, g_ptr_array_unref);
  g_clear_pointer (&state->results_by_id, g_hash_table_unref);
  g_queue_clear_full (&state->results, g_free);
}

bool
oh_change_is_of_zone (const Oh__Change *change)
{
  return change->kind == OH__CHANGE_KIND__CHANGE_DRAIN_ZONE
         || change->kind == OH__CHANGE_KIND__CHANGE_UNDRAIN_ZONE;
}

bool
oh_change_check (const Oh__Change *change, oh_error_t *error)
{
  oh_config_t config;

  if (!bounds_valid (change))
    return oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_BAD_VALUE,
                         "change: target \"%.80s\", endpoint \"%.80s\": expected a name of 1 to 63 letters, "
                         "digits, -, _ or ., an endpoint tcp://IPV4:PORT, an id of 16 bytes",
                         change->target, change->endpoint);
  if (change->kind != OH__CHANGE_KIND__CHANGE_APPLY && change->kind != OH__CHANGE_KIND__CHANGE_PUBLISH)
    return true;
  if (!oh_config_parse (&config, "text", change->text, error))
    return false;
  oh_config_finish (&config);
  return true;
}

void
oh_change_id_of_publication (uint64_t number, GBytes *document, uint8_t id[OH_CHANGE_ID_BYTES])
{
  gsize length;
  const void *bytes = g_bytes_get_data (document, &length);
  const XXH128_hash_t digest = XXH3_128bits_withSeed (bytes, length, number);

  G_STATIC_ASSERT (sizeof digest == OH_CHANGE_ID_BYTES);
  memcpy (id, &digest, sizeof digest);
}

bool
oh_control_state_find_result (const oh_control_state_t *state, const Oh__Change *change,
                              oh_change_result_t *result)
{
  const oh_change_result_t *known;

  *result = (oh_change_result_t){ 0 };
  if (change->id.len != OH_CHANGE_ID_BYTES)
    return false;
  known = g_hash_table_lookup (state->results_by_id, change->id.data);
  if (known == NULL)
    return false;
  if (known->digest == digest_change (change))
    {
      *result = *known;
      return true;
    }
  memcpy (result->id, change->id.data, OH_CHANGE_ID_BYTES);
  reject (state, result, OH__CHANGE_STATUS__CHANGE_INVALID, "the id belongs to a change with other content");
  return true;
}

void
oh_control_state_apply (oh_control_state_t *state, const uint8_t *bytes, size_t length,
                        oh_change_result_t *result)
{
  Oh__Change *change = oh__change__unpack (NULL, length, bytes);

  *result = (oh_change_result_t){ 0 };
  if (change == NULL || !bounds_valid (change))
    reject (state, result, OH__CHANGE_STATUS__CHANGE_INVALID, "the command is no valid change");
  else
    apply_change (state, change, result);
  if (change != NULL)
    oh__change__free_unpacked (change, NULL);
}

uint8_t *
oh_control_state_save (const oh_control_state_t *state, size_t *length)
{
  Oh__ControlState wire = OH__CONTROL_STATE__INIT;
  g_autoptr (GPtrArray) results = g_ptr_array_new_with_free_func (g_free);
  uint8_t *bytes;

  for (const GList *link = state->results.head; link != NULL; link = link->next)
    g_ptr_array_add (results, result_to_wire (link->data));
  wire.version = state->version;
  wire.text_version = state->text_version;
  wire.text = state->text;
  wire.published_number = state->published_number;
  if (state->document != NULL)
    wire.document.data = (uint8_t *)g_bytes_get_data (state->document, &wire.document.len);
  wire.key_generation = state->key_generation;
  wire.drained = (char **)state->drained->pdata;
  wire.n_drained = state->drained->len;
  wire.drained_zones = (char **)state->drained_zones->pdata;
  wire.n_drained_zones = state->drained_zones->len;
  wire.last_id.data = (uint8_t *)state->last_id;
  wire.last_id.len = sizeof state->last_id;
  wire.last_author = (char *)state->last_author;
  wire.results = (Oh__ChangeResult **)results->pdata;
  wire.n_results = results->len;
  *length = oh__control_state__get_packed_size (&wire);
  bytes = g_malloc (*length);
  oh__control_state__pack (&wire, bytes);
  return bytes;
}

bool
oh_control_state_load (oh_control_state_t *state, const uint8_t *bytes, size_t length, oh_error_t *error)
{
  Oh__ControlState *wire = oh__control_state__unpack (NULL, length, bytes);
  oh_control_state_t loaded;
  bool ok;

  oh_control_state_init (&loaded);
  ok = wire != NULL && fill_from_wire (&loaded, wire);
  if (wire != NULL)
    oh__control_state__free_unpacked (wire, NULL);
  if (!ok)
    {
      oh_control_state_finish (&loaded);
      return oh_error_set (error, OH_ERROR_STORAGE, OH_ERROR_CODE_CORRUPT,
                           "snapshot of %zu bytes is not a valid control state", length);
    }
  oh_control_state_finish (state);
  *state = loaded;
  return true;
}

bool
oh_control_state_is_drained (const oh_control_state_t *state, const char *upstream)
{
  guint position;

  return find_name (state->drained, upstream, &position);
}
