#include <glib.h>

#include "base/compression.h"
#include "core/codec.h"
#include "core/view.h"

#define TEXT "[oriolehaven]\nname=a\n[service kiln-log]\naddress=127.0.0.1:7000\n"

typedef struct
{
  Oh__View view;
  Oh__Member member;
  Oh__Load load;
  Oh__Address agent;
  Oh__Member *members[1];
  char *names[1];
} message_t;

static const Oh__View *
version_message (message_t *message, uint64_t version, bool confirmed, const char *text)
{
  *message = (message_t){ .view = OH__VIEW__INIT };
  message->view.version = version;
  message->view.confirmed = confirmed;
  message->view.has_text = text != NULL;
  message->view.text = text != NULL ? (char *)text : message->view.text;
  return &message->view;
}

static const Oh__View *
member_message (message_t *message, bool snapshot, uint64_t incarnation, uint64_t sequence)
{
  *message = (message_t){ .view = OH__VIEW__INIT, .member = OH__MEMBER__INIT, .load = OH__LOAD__INIT };
  oh_address_to_wire ((oh_address_t){ .ipv4 = 1, .port = 2 }, &message->agent);
  message->load.upstream = (char *)"kiln-1";
  message->load.service = oh_service_id ("kiln-log");
  message->load.incarnation = incarnation;
  message->load.sequence = sequence;
  message->load.agent = &message->agent;
  message->member.load = &message->load;
  message->member.service_name = (char *)"kiln-log";
  message->members[0] = &message->member;
  message->view.snapshot = snapshot;
  message->view.n_members = 1;
  message->view.members = message->members;
  return &message->view;
}

static const Oh__View *
removal_message (message_t *message)
{
  *message = (message_t){ .view = OH__VIEW__INIT };
  message->names[0] = (char *)"kiln-1";
  message->view.n_removed_members = 1;
  message->view.removed_members = message->names;
  return &message->view;
}

/* Guards against a view that reverts to an older version or treats a stale one as confirmed. */
static void
test_versions (void)
{
  static const struct
  {
    uint64_t version;
    bool confirmed;
    const char *text;
    bool changed;
    uint64_t expected_version;
    bool expected_confirmed;
    bool expected_service;
  } steps[] = {
    { 5, false, TEXT, true, 5, false, true },
    { 4, true, "", false, 5, false, true }, /* confirmed, but older than the node's version */
    { 6, false, "[broken", false, 5, false, true },
    { 6, false, NULL, true, 6, false, true }, /* no text: the text is unchanged */
    { 6, true, NULL, true, 6, true, true },
    { 5, false, "", false, 6, true, true },
    { 7, false, "", true, 7, true, false },
  };
  message_t message;
  oh_view_t view;

  oh_view_init (&view);
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      version_message (&message, steps[i].version, steps[i].confirmed, steps[i].text);
      g_assert_cmpint (oh_view_merge (&view, 0, &message.view), ==, steps[i].changed);
      g_assert_cmpuint (view.version, ==, steps[i].expected_version);
      g_assert_cmpint (view.confirmed, ==, steps[i].expected_confirmed);
      g_assert_cmpint (oh_config_find (&view.config, oh_service_id ("kiln-log")) != NULL, ==,
                       steps[i].expected_service);
    }
  oh_view_finish (&view);
}

/* Guards against a partitioned replica that restores an earlier incarnation or removes a live member. */
static void
test_members (void)
{
  static const struct
  {
    unsigned replica;
    uint64_t incarnation; /* 0: removed */
    uint64_t sequence;
    uint64_t expected_incarnation; /* 0: absent */
    uint64_t expected_sequence;
  } steps[] = {
    { 0, 70, 1, 70, 1 }, { 1, 70, 3, 70, 3 }, { 0, 70, 2, 70, 3 },
    { 0, 20, 1, 20, 1 }, /* replica 0 saw the restart; the value of an incarnation has no order */
    { 2, 70, 9, 20, 1 }, /* partitioned: still lists the earlier incarnation */
    { 1, 0, 0, 20, 1 },  { 2, 0, 0, 20, 1 },  { 0, 0, 0, 0, 0 },
    { 2, 70, 9, 70, 9 },
  };
  message_t message;
  oh_view_t view;

  oh_view_init (&view);
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      if (steps[i].incarnation == 0)
        removal_message (&message);
      else
        member_message (&message, false, steps[i].incarnation, steps[i].sequence);
      oh_view_merge (&view, steps[i].replica, &message.view);

      const oh_view_member_t *member = oh_view_find_member (&view, "kiln-1");

      g_assert_cmpint (member != NULL, ==, steps[i].expected_incarnation != 0);
      if (member == NULL)
        continue;
      g_assert_cmpuint (member->incarnation, ==, steps[i].expected_incarnation);
      g_assert_cmpuint (member->sequence, ==, steps[i].expected_sequence);
    }
  oh_view_finish (&view);
}

/* Guards against a snapshot that keeps members that the replica no longer lists. */
static void
test_snapshot (void)
{
  char *drained[] = { (char *)"kiln-1" };
  message_t message;
  oh_view_t view;

  oh_view_init (&view);
  g_assert_true (oh_view_merge (&view, 0, member_message (&message, true, 1, 1)));
  g_assert_false (oh_view_merge (&view, 0, member_message (&message, true, 1, 1)));
  version_message (&message, 1, false, TEXT);
  message.view.n_drained = 1;
  message.view.drained = drained;
  g_assert_true (oh_view_merge (&view, 0, &message.view));
  g_assert_true (oh_view_find_member (&view, "kiln-1")->drained);
  version_message (&message, 0, false, NULL);
  message.view.snapshot = true;
  g_assert_false (oh_view_merge (&view, 1, &message.view));
  g_assert_true (oh_view_merge (&view, 0, &message.view));
  g_assert_null (oh_view_find_member (&view, "kiln-1"));
  member_message (&message, false, 1, 1);
  message.load.service++;
  g_assert_false (oh_view_merge (&view, 0, &message.view));
  oh_view_finish (&view);
}

/* Guards against a member of a drained zone that gets flows, be it listed before or after the order or moved
 * there, and against one that stays drained after the order has ended. */
static void
test_drained_zones (void)
{
  static const struct
  {
    const char *zone;     /* drained; NULL: none */
    const char *upstream; /* drained; NULL: none */
    const char *member_zone;
    bool listed_first; /* the member is listed before the view with the version, otherwise after it */
    bool expected;
  } cases[] = {
    { NULL, NULL, "plv-a", true, false },       { "plv-a", NULL, "plv-a", true, true },
    { "plv-a", NULL, "plv-a", false, true },    { "plv-a", NULL, "plv-b", true, false },
    { "plv-a", NULL, "plv-b", false, false },   { "plv-a", NULL, "", false, false },
    { "plv-a", "kiln-1", "plv-b", true, true }, { "plv-b", "kiln-1", "plv-b", false, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *zones[] = { (char *)cases[i].zone };
      char *upstreams[] = { (char *)cases[i].upstream };
      message_t member;
      message_t version;
      oh_view_t view;

      oh_view_init (&view);
      member_message (&member, false, 1, 1);
      member.member.zone = (char *)cases[i].member_zone;
      version_message (&version, 1, true, TEXT);
      version.view.drained_zones = zones;
      version.view.n_drained_zones = cases[i].zone != NULL;
      version.view.drained = upstreams;
      version.view.n_drained = cases[i].upstream != NULL;
      oh_view_merge (&view, 0, cases[i].listed_first ? &member.view : &version.view);
      oh_view_merge (&view, 0, cases[i].listed_first ? &version.view : &member.view);
      g_assert_cmpint (oh_view_find_member (&view, "kiln-1")->drained, ==, cases[i].expected);
      g_assert_cmpint (oh_view_is_zone_drained (&view, "plv-a"), ==, g_strcmp0 (cases[i].zone, "plv-a") == 0);

      /* An older version does not bring a zone back; a newer one does. */
      version.view.n_drained_zones = version.view.n_drained = 0;
      version.view.version = 0;
      oh_view_merge (&view, 1, &version.view);
      g_assert_cmpint (oh_view_find_member (&view, "kiln-1")->drained, ==, cases[i].expected);
      version.view.version = 2;
      oh_view_merge (&view, 1, &version.view);
      g_assert_false (oh_view_find_member (&view, "kiln-1")->drained);
      g_assert_false (oh_view_is_zone_drained (&view, "plv-a"));

      /* The same upstream starts again in a drained zone. */
      version.view.version = 3;
      version.view.n_drained_zones = cases[i].zone != NULL;
      oh_view_merge (&view, 0, &version.view);
      member_message (&member, false, 2, 1);
      member.member.zone = (char *)(cases[i].zone != NULL ? cases[i].zone : "plv-c");
      oh_view_merge (&view, 0, &member.view);
      g_assert_cmpint (oh_view_find_member (&view, "kiln-1")->drained, ==, cases[i].zone != NULL);
      oh_view_finish (&view);
    }
}

/* Guards against adopting a version whose text is missing, or whose compressed text is truncated or too long.
 */
static void
test_texts (void)
{
  g_autoptr (GBytes) packed = oh_compress_text (TEXT);
  g_autofree char *long_text = g_strnfill (OH_CONFIG_TEXT_MAX_BYTES + 1, '#');
  g_autoptr (GBytes) packed_long = oh_compress_text (long_text);
  const struct
  {
    const char *name;
    bool withheld;
    GBytes *packed;
    size_t n_truncated; /* bytes missing at the end */
    uint64_t version;
  } cases[] = {
    { "withheld", true, NULL, 0, 0 },
    { "truncated", false, packed, 3, 0 },
    { "too long", false, packed_long, 0, 0 },
    { "valid", false, packed, 0, 7 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      message_t message;
      oh_view_t view;

      oh_view_init (&view);
      version_message (&message, 7, true, NULL);
      message.view.text_withheld = cases[i].withheld;
      if (cases[i].packed != NULL)
        {
          message.view.has_text = true;
          message.view.packed_text.data
            = (uint8_t *)g_bytes_get_data (cases[i].packed, &message.view.packed_text.len);
          message.view.packed_text.len -= cases[i].n_truncated;
        }
      oh_view_merge (&view, 0, &message.view);
      if (view.version != cases[i].version)
        g_error ("case %s: version %" G_GUINT64_FORMAT, cases[i].name, view.version);
      g_assert_cmpuint (view.withheld_version, ==, cases[i].withheld ? 7 : 0);
      g_assert_cmpstr (view.text, ==, cases[i].version != 0 ? TEXT : "");
      oh_view_finish (&view);
    }
}

/* Guards against an agent that goes by the services of an earlier version, or by none, after a configuration
 * changed them. */
static void
test_services (void)
{
  static const struct
  {
    uint64_t version;
    bool has_services;
    uint64_t service;
    bool changed;
    uint64_t expected; /* 0: the services are not known */
  } steps[] = {
    { 4, false, 0, true, 0 },   { 5, true, 11, true, 11 }, { 5, true, 11, false, 11 },
    { 4, true, 12, false, 11 }, { 6, false, 0, true, 11 }, { 6, true, 13, true, 13 },
  };
  oh_view_t view;

  oh_view_init (&view);
  view.without_text = true;
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      message_t message;
      uint64_t ids[] = { steps[i].service };

      version_message (&message, steps[i].version, false, NULL);
      message.view.has_services = steps[i].has_services;
      message.view.services = ids;
      message.view.n_services = steps[i].has_services ? 1 : 0;
      g_assert_cmpint (oh_view_merge (&view, 0, &message.view), ==, steps[i].changed);
      g_assert_cmpint (oh_service_set_is_known (&view.services), ==, steps[i].expected != 0);
      if (steps[i].expected != 0)
        g_assert_true (oh_service_set_contains (&view.services, steps[i].expected));
      g_assert_false (oh_service_set_contains (&view.services, 99));
    }
  oh_view_finish (&view);
}

/* Guards against limits of warming upstreams that an agent keeps although a later view has none, that change
 * the digest of services without limits (agents of the previous release would be sent them with each view),
 * or that do not change the digest of the others. */
static void
test_warmups (void)
{
  static const struct
  {
    uint64_t version;
    uint32_t milli_per_s[2]; /* in the view, both for service 12 */
    bool changed;
    uint32_t expected;
  } steps[] = {
    { 5, { 0, 0 }, true, 0 },          { 6, { 20000, 0 }, true, 20000 }, { 6, { 20000, 0 }, false, 20000 },
    { 6, { 0, 20000 }, false, 20000 }, { 5, { 0, 0 }, false, 20000 },    { 7, { 30000, 500 }, true, 500 },
    { 8, { 0, 0 }, true, 0 },
  };
  uint64_t ids[] = { 13, 12 };
  oh_service_set_t plain;
  oh_view_t view;

  oh_service_set_init (&plain);
  oh_service_set_assign (&plain, ids, G_N_ELEMENTS (ids));
  oh_view_init (&view);
  view.without_text = true;
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      Oh__ServiceWarmup warmups[2] = { OH__SERVICE_WARMUP__INIT, OH__SERVICE_WARMUP__INIT };
      Oh__ServiceWarmup *pointers[2] = { &warmups[0], &warmups[1] };
      message_t message;

      for (unsigned j = 0; j < 2; j++)
        {
          warmups[j].service = 12;
          warmups[j].milli_per_s = steps[i].milli_per_s[j];
        }
      version_message (&message, steps[i].version, false, NULL);
      message.view.has_services = true;
      message.view.services = ids;
      message.view.n_services = G_N_ELEMENTS (ids);
      message.view.warmups = pointers;
      message.view.n_warmups = G_N_ELEMENTS (pointers);
      g_assert_cmpint (oh_view_merge (&view, 0, &message.view), ==, steps[i].changed);
      g_assert_cmpuint (oh_service_set_warmup (&view.services, 12), ==, steps[i].expected);
      g_assert_cmpuint (oh_service_set_warmup (&view.services, 13), ==, 0);
      g_assert_cmpint (view.services.digest == plain.digest, ==, steps[i].expected == 0);
    }
  oh_service_set_finish (&plain);
  oh_view_finish (&view);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/view/drained-zones", test_drained_zones);
  g_test_add_func ("/view/versions", test_versions);
  g_test_add_func ("/view/members", test_members);
  g_test_add_func ("/view/snapshot", test_snapshot);
  g_test_add_func ("/view/texts", test_texts);
  g_test_add_func ("/view/services", test_services);
  g_test_add_func ("/view/warmups", test_warmups);
  return g_test_run ();
}
