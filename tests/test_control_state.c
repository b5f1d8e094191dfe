#include <glib.h>
#include <string.h>

#include "core/control_state.h"

#define TEXT "[oriolehaven]\nname=a\n[service kiln-log]\naddress=127.0.0.1:7000\n"

static Oh__Change
make_change (const uint8_t id[OH_CHANGE_ID_BYTES], Oh__ChangeKind kind, uint64_t base, const char *text,
             const char *target)
{
  Oh__Change change = OH__CHANGE__INIT;

  change.id.data = (uint8_t *)id;
  change.id.len = OH_CHANGE_ID_BYTES;
  change.kind = kind;
  change.base_version = base;
  change.text = (char *)text;
  change.target = (char *)target;
  change.author = (char *)(id[0] % 2 == 0 ? "vesela" : "petar");
  return change;
}

static oh_change_result_t
apply (oh_control_state_t *state, const Oh__Change *change)
{
  g_autofree uint8_t *bytes = g_malloc (oh__change__get_packed_size (change));
  const size_t length = oh__change__pack (change, bytes);
  oh_change_result_t result;

  oh_control_state_apply (state, bytes, length, &result);
  return result;
}

/* Saves and reloads the state, like a replica that restarts from a snapshot. */
static void
restart (oh_control_state_t *state)
{
  size_t length;
  g_autofree uint8_t *bytes = oh_control_state_save (state, &length);
  oh_control_state_t loaded;
  size_t length_again;
  g_autofree uint8_t *again = NULL;

  oh_control_state_init (&loaded);
  g_assert_true (oh_control_state_load (&loaded, bytes, length, NULL));
  oh_control_state_finish (state);
  *state = loaded;
  again = oh_control_state_save (state, &length_again);
  g_assert_cmpmem (bytes, length, again, length_again);
}

/* Guards against two concurrent changes of the same version that are both accepted, a resent change that is
 * applied twice or gets a different result, and a snapshot that does not preserve these rules. */
static void
test_changes (void)
{
  enum
  {
    APPLY = OH__CHANGE_KIND__CHANGE_APPLY,
    DRAIN = OH__CHANGE_KIND__CHANGE_DRAIN,
    UNDRAIN = OH__CHANGE_KIND__CHANGE_UNDRAIN,
    ROTATE = OH__CHANGE_KIND__CHANGE_ROTATE_KEYS,
    REMOVE = OH__CHANGE_KIND__CHANGE_REMOVE_REPLICA,
    OK = OH__CHANGE_STATUS__CHANGE_ACCEPTED,
    CONFLICT = OH__CHANGE_STATUS__CHANGE_CONFLICT,
    INVALID = OH__CHANGE_STATUS__CHANGE_INVALID,
  };
  static const struct
  {
    uint8_t id;
    int kind;
    uint64_t base;
    const char *argument; /* text or target */
    int status;
    uint64_t version;
    uint8_t winner;
    uint32_t key_generation;
    unsigned drained;
  } steps[] = {
    { 1, APPLY, 0, "t1", OK, 1, 0, 1, 0 },
    { 2, APPLY, 0, "t2", CONFLICT, 1, 1, 1, 0 },
    { 1, APPLY, 0, "t1", OK, 1, 0, 1, 0 },         /* resend */
    { 1, APPLY, 1, "t1", OK, 1, 0, 1, 0 },         /* resend with a newer base */
    { 1, APPLY, 1, "other", INVALID, 1, 0, 1, 0 }, /* id of a different change */
    { 3, APPLY, 1, "t3", OK, 2, 0, 1, 0 },
    { 2, APPLY, 0, "t2", CONFLICT, 1, 1, 1, 0 }, /* resend: first result, with the first winner */
    { 4, DRAIN, 0, "kiln-1", OK, 3, 0, 1, 1 },
    { 5, DRAIN, 0, "kiln-1", OK, 3, 0, 1, 1 }, /* already drained: no new version */
    { 6, DRAIN, 2, "kiln-2", CONFLICT, 3, 4, 1, 1 },
    { 7, ROTATE, 0, "", CONFLICT, 3, 4, 1, 1 }, /* concurrent rotations must not skip a generation */
    { 8, ROTATE, 3, "", OK, 4, 0, 2, 1 },
    { 9, UNDRAIN, 0, "kiln-1", OK, 5, 0, 2, 0 },
    { 10, DRAIN, 0, "", INVALID, 5, 0, 2, 0 },
    { 4, DRAIN, 0, "kiln-1", OK, 3, 0, 2, 0 },      /* late resend of a drain that has been undone */
    { 11, REMOVE, 0, "control-a", OK, 5, 0, 2, 0 }, /* the replica set itself is in the Raft log */
    { 11, REMOVE, 0, "control-a", OK, 5, 0, 2, 0 },
    { 12, REMOVE, 4, "control-a", CONFLICT, 5, 9, 2, 0 },
  };

  for (unsigned with_restart = 0; with_restart < 2; with_restart++)
    {
      oh_control_state_t state;

      oh_control_state_init (&state);
      for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
        {
          const uint8_t id[OH_CHANGE_ID_BYTES] = { steps[i].id };
          const bool is_text = steps[i].kind == APPLY;
          const Oh__Change change
            = make_change (id, (Oh__ChangeKind)steps[i].kind, steps[i].base, is_text ? steps[i].argument : "",
                           is_text ? "" : steps[i].argument);
          const oh_change_result_t result = apply (&state, &change);

          g_test_message ("step %zu: %s", i, result.detail);
          g_assert_cmpint (result.status, ==, steps[i].status);
          g_assert_cmpuint (result.version, ==, steps[i].version);
          g_assert_cmpuint (result.winner_id[0], ==, steps[i].winner);
          g_assert_cmpuint (state.key_generation, ==, steps[i].key_generation);
          g_assert_cmpuint (state.drained->len, ==, steps[i].drained);
          if (with_restart)
            restart (&state);
        }
      g_assert_cmpstr (state.text, ==, "t3");
      g_assert_cmpuint (state.text_version, ==, 2);
      oh_control_state_finish (&state);
    }
}

/* Guards against an order for a zone that has no effect, a repeated one that makes a new version or is
 * refused, crossing orders of which not the last one holds, and a snapshot that loses drained zones. */
static void
test_zones (void)
{
  enum
  {
    DRAIN = OH__CHANGE_KIND__CHANGE_DRAIN_ZONE,
    UNDRAIN = OH__CHANGE_KIND__CHANGE_UNDRAIN_ZONE,
    DRAIN_UPSTREAM = OH__CHANGE_KIND__CHANGE_DRAIN,
    OK = OH__CHANGE_STATUS__CHANGE_ACCEPTED,
    CONFLICT = OH__CHANGE_STATUS__CHANGE_CONFLICT,
    INVALID = OH__CHANGE_STATUS__CHANGE_INVALID,
  };
  static const struct
  {
    uint8_t id;
    int kind;
    uint64_t base;
    const char *zone;
    int status;
    uint64_t version;
    const char *drained; /* zones, separated by commas */
  } steps[] = {
    { 1, UNDRAIN, 0, "plv-b", OK, 0, "" }, /* not drained: accepted without effect */
    { 2, DRAIN, 0, "plv-b", OK, 1, "plv-b" },
    { 3, DRAIN, 0, "plv-b", OK, 1, "plv-b" }, /* sent again by the platform, under another id */
    { 4, DRAIN, 0, "plv-a", OK, 2, "plv-a,plv-b" },
    { 5, DRAIN_UPSTREAM, 0, "plv-c", OK, 3, "plv-a,plv-b" }, /* an upstream of the same name as a zone */
    { 6, DRAIN, 1, "plv-d", CONFLICT, 3, "plv-a,plv-b" },
    { 7, UNDRAIN, 0, "plv-b", OK, 4, "plv-a" },
    { 2, DRAIN, 0, "plv-b", OK, 1, "plv-a" },       /* resend with its id: the first result */
    { 8, DRAIN, 0, "plv-b", OK, 5, "plv-a,plv-b" }, /* late copy with an id of its own: the last one holds */
    { 9, DRAIN, 0, "plv b", INVALID, 5, "plv-a,plv-b" },
    { 10, UNDRAIN, 0, "plv-a", OK, 6, "plv-b" },
    { 11, UNDRAIN, 0, "plv-b", OK, 7, "" },
  };

  for (unsigned with_restart = 0; with_restart < 2; with_restart++)
    {
      oh_control_state_t state;

      oh_control_state_init (&state);
      for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
        {
          const uint8_t id[OH_CHANGE_ID_BYTES] = { steps[i].id };
          const Oh__Change change
            = make_change (id, (Oh__ChangeKind)steps[i].kind, steps[i].base, "", steps[i].zone);
          const oh_change_result_t result = apply (&state, &change);
          g_autofree char *drained = NULL;

          g_test_message ("step %zu: %s", i, result.detail);
          g_assert_cmpint (result.status, ==, steps[i].status);
          g_assert_cmpuint (result.version, ==, steps[i].version);
          g_ptr_array_add (state.drained_zones, NULL);
          drained = g_strjoinv (",", (char **)state.drained_zones->pdata);
          g_ptr_array_set_size (state.drained_zones, (gint)state.drained_zones->len - 1);
          g_assert_cmpstr (drained, ==, steps[i].drained);
          if (with_restart)
            restart (&state);
        }
      oh_control_state_finish (&state);
    }
}

/* Guards against an unbounded number of drained zones, and a limit that keeps zones from being undrained. */
static void
test_zone_bound (void)
{
  oh_control_state_t state;

  oh_control_state_init (&state);
  for (unsigned i = 0; i <= OH_DRAINED_ZONES_MAX; i++)
    {
      const uint8_t id[OH_CHANGE_ID_BYTES] = { (uint8_t)i };
      g_autofree char *zone = g_strdup_printf ("zone-%u", i);
      const Oh__Change change = make_change (id, OH__CHANGE_KIND__CHANGE_DRAIN_ZONE, 0, "", zone);

      g_assert_cmpint (apply (&state, &change).status, ==,
                       i < OH_DRAINED_ZONES_MAX ? OH__CHANGE_STATUS__CHANGE_ACCEPTED
                                                : OH__CHANGE_STATUS__CHANGE_INVALID);
      restart (&state);
    }
  g_assert_cmpuint (state.version, ==, OH_DRAINED_ZONES_MAX);
  {
    const uint8_t id[OH_CHANGE_ID_BYTES] = { 200 };
    const Oh__Change change = make_change (id, OH__CHANGE_KIND__CHANGE_UNDRAIN_ZONE, 0, "", "zone-7");

    g_assert_cmpint (apply (&state, &change).status, ==, OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  }
  g_assert_cmpuint (state.drained_zones->len, ==, OH_DRAINED_ZONES_MAX - 1);
  oh_control_state_finish (&state);
}

/* Guards against an unbounded number of kept results, and against a result removed too early. */
static void
test_result_bound (void)
{
  oh_control_state_t state;
  oh_change_result_t result;

  oh_control_state_init (&state);
  for (unsigned i = 0; i <= OH_CHANGE_RESULTS_MAX; i++)
    {
      uint8_t id[OH_CHANGE_ID_BYTES] = { 0 };

      memcpy (id, &i, sizeof i);
      const Oh__Change change = make_change (id, OH__CHANGE_KIND__CHANGE_APPLY, i, "text", "");

      g_assert_cmpint (apply (&state, &change).status, ==, OH__CHANGE_STATUS__CHANGE_ACCEPTED);
    }
  restart (&state);
  for (unsigned i = 0; i <= OH_CHANGE_RESULTS_MAX; i++)
    {
      uint8_t id[OH_CHANGE_ID_BYTES] = { 0 };

      memcpy (id, &i, sizeof i);
      const Oh__Change change = make_change (id, OH__CHANGE_KIND__CHANGE_APPLY, i, "text", "");

      g_assert_cmpint (oh_control_state_find_result (&state, &change, &result), ==, i > 0);
    }
  oh_control_state_finish (&state);
}

/* Guards against a change that is replicated although no node can use it. */
static void
test_check (void)
{
  static const uint8_t id[OH_CHANGE_ID_BYTES] = { 1 };
  static const struct
  {
    Oh__ChangeKind kind;
    size_t id_length;
    const char *text;
    const char *target;
    const char *endpoint;
    bool valid;
  } cases[] = {
    { OH__CHANGE_KIND__CHANGE_APPLY, 16, TEXT, "", "", true },
    { OH__CHANGE_KIND__CHANGE_APPLY, 15, TEXT, "", "", false },
    { OH__CHANGE_KIND__CHANGE_APPLY, 16, "[service a]\n", "", "", false },
    { OH__CHANGE_KIND__CHANGE_DRAIN, 16, "", "kiln-1", "", true },
    { OH__CHANGE_KIND__CHANGE_DRAIN, 16, "", "kiln 1", "", false },
    { OH__CHANGE_KIND__CHANGE_UNDRAIN, 16, "", "", "", false },
    { OH__CHANGE_KIND__CHANGE_ROTATE_KEYS, 16, "", "", "", true },
    { OH__CHANGE_KIND__CHANGE_DRAIN_ZONE, 16, "", "plv-a", "", true },
    { OH__CHANGE_KIND__CHANGE_UNDRAIN_ZONE, 16, "", "plv-a", "", true },
    { OH__CHANGE_KIND__CHANGE_DRAIN_ZONE, 16, "", "plv/a", "", false },
    { OH__CHANGE_KIND__CHANGE_UNDRAIN_ZONE, 16, "", "", "", false },
    { OH__CHANGE_KIND__CHANGE_ADD_REPLICA, 16, "", "d", "tcp://127.0.0.1:7", true },
    { OH__CHANGE_KIND__CHANGE_ADD_REPLICA, 16, "", "d", "127.0.0.1:7", false },
    { OH__CHANGE_KIND__CHANGE_REMOVE_REPLICA, 16, "", "d", "", true },
    { (Oh__ChangeKind)9, 16, TEXT, "d", "", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Oh__Change change = make_change (id, cases[i].kind, 0, cases[i].text, cases[i].target);
      oh_error_t error;

      change.id.len = cases[i].id_length;
      change.endpoint = (char *)cases[i].endpoint;
      g_assert_cmpint (oh_change_check (&change, &error), ==, cases[i].valid);
    }
}

/* Guards against truncated or corrupt commands and snapshots that cause a crash or alter the state. */
static void
test_corruption (void)
{
  static const uint8_t id[OH_CHANGE_ID_BYTES] = { 1 };
  const Oh__Change change = make_change (id, OH__CHANGE_KIND__CHANGE_APPLY, 0, TEXT, "");
  g_autofree uint8_t *saved = NULL;
  oh_control_state_t state;
  oh_change_result_t result;
  size_t length;

  oh_control_state_init (&state);
  g_assert_cmpint (apply (&state, &change).status, ==, OH__CHANGE_STATUS__CHANGE_ACCEPTED);
  saved = oh_control_state_save (&state, &length);
  for (size_t i = 0; i < length; i++)
    {
      g_autofree uint8_t *part = g_memdup2 (saved, length);
      oh_control_state_t other;

      oh_control_state_apply (&state, part, i, &result);
      g_assert_cmpuint (state.version, ==, 1);
      part[i] ^= 0x55;
      oh_control_state_init (&other);
      oh_control_state_load (&other, part, length, NULL);
      oh_control_state_finish (&other);
    }
  g_assert_false (oh_control_state_load (&state, saved, length - 1, NULL));
  g_assert_cmpuint (state.version, ==, 1);
  oh_control_state_finish (&state);
}

static Oh__Change
make_publication (uint8_t id[OH_CHANGE_ID_BYTES], uint64_t number, GBytes *document)
{
  Oh__Change change;

  oh_change_id_of_publication (number, document, id);
  change = make_change (id, OH__CHANGE_KIND__CHANGE_PUBLISH, 0, TEXT, "");
  change.number = number;
  change.document.data = (uint8_t *)g_bytes_get_data (document, &change.document.len);
  return change;
}

/* Guards against a publication with a lower number, or other content under the same number, that takes
 * effect, a valid publication that is refused, and a document that is not kept byte for byte. */
static void
test_publications (void)
{
  static const struct
  {
    uint64_t number;
    const char *document;
    uint64_t number_in_effect;
    const char *document_in_effect;
  } cases[] = {
    { 7, "seven", 7, "seven" },     { 7, "seven", 7, "seven" },     { 7, "other", 7, "seven" },
    { 3, "three", 7, "seven" },     { 20, "twenty", 20, "twenty" }, { 7, "seven", 20, "twenty" },
    { 20, "twenty", 20, "twenty" },
  };
  oh_control_state_t state;

  oh_control_state_init (&state);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GBytes) document = g_bytes_new_static (cases[i].document, strlen (cases[i].document));
      uint8_t id[OH_CHANGE_ID_BYTES];
      const Oh__Change change = make_publication (id, cases[i].number, document);

      g_assert_true (oh_change_check (&change, NULL));
      g_assert_cmpint (apply (&state, &change).status, ==, OH__CHANGE_STATUS__CHANGE_ACCEPTED);
      g_assert_cmpuint (state.published_number, ==, cases[i].number_in_effect);
      g_assert_cmpmem (g_bytes_get_data (state.document, NULL), g_bytes_get_size (state.document),
                       cases[i].document_in_effect, strlen (cases[i].document_in_effect));
      restart (&state);
    }
  g_assert_cmpuint (state.version, ==, 2);
  oh_control_state_finish (&state);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-state/changes", test_changes);
  g_test_add_func ("/control-state/zones", test_zones);
  g_test_add_func ("/control-state/zone-bound", test_zone_bound);
  g_test_add_func ("/control-state/result-bound", test_result_bound);
  g_test_add_func ("/control-state/check", test_check);
  g_test_add_func ("/control-state/publications", test_publications);
  g_test_add_func ("/control-state/corruption", test_corruption);
  return g_test_run ();
}
