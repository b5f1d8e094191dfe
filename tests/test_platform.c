#include <glib.h>
#include <libsoup/soup.h>
#include <string.h>
#include <unistd.h>

#include "core/config_text.h"
#include "core/keyring.h"
#include "core/route_table.h"
#include "platform/change_outcome.h"
#include "platform/config_document.h"
#include "platform/heartbeat_http.h"
#include "platform/operator_http.h"
#include "platform/segment_codec.h"
#include "platform/service_name.h"

#define SERVICES "\"Services\":[{\"Name\":\"a\"},{\"Name\":\"b\"}]"
#define ROUTE(rest)                                                                                          \
  "{\"Name\":\"r\",\"Host\":\"198.18.0.1\",\"PathPrefix\":\"/8443/\",\"Type\":\"safe\"," rest "}"
#define VALID_ROUTE ROUTE ("\"TimeoutMs\":1000,\"Service\":\"a\"")
#define DOCUMENT(routes) "{\"Version\":7,\"Routes\":[" routes "]," SERVICES "}"

/* Guards against accepting invalid configuration documents, and against rejecting valid ones. */
static void
test_documents (void)
{
  static const struct
  {
    const char *name;
    const char *document;
    bool valid;
  } cases[] = {
    { "valid", DOCUMENT (VALID_ROUTE), true },
    { "unknown fields", "{\"New\":{},\"Version\":7,\"Routes\":[" VALID_ROUTE "]," SERVICES "}", true },
    { "traffic split",
      DOCUMENT (ROUTE ("\"TimeoutMs\":1,\"TrafficSplit\":[{\"Service\":\"a\",\"Weight\":90},"
                       "{\"Service\":\"b\",\"Weight\":10}]")),
      true },
    { "one weight 0",
      DOCUMENT (ROUTE ("\"TimeoutMs\":1,\"TrafficSplit\":[{\"Service\":\"a\",\"Weight\":90},"
                       "{\"Service\":\"b\",\"Weight\":0}]")),
      true },
    { "empty", "", false },
    { "truncated", "{\"Version\":7,\"Routes\":[{\"Name\":\"r\"", false },
    { "not an object", "[]", false },
    { "no version", "{\"Routes\":[" VALID_ROUTE "]," SERVICES "}", false },
    { "version of another type", "{\"Version\":\"7\",\"Routes\":[" VALID_ROUTE "]," SERVICES "}", false },
    { "version 0", "{\"Version\":0,\"Routes\":[" VALID_ROUTE "]," SERVICES "}", false },
    { "no services", "{\"Version\":7,\"Routes\":[" VALID_ROUTE "]}", false },
    { "no routes", "{\"Version\":7," SERVICES "}", false },
    { "routes of another type", "{\"Version\":7,\"Routes\":{}," SERVICES "}", false },
    { "route of another type", DOCUMENT ("7"), false },
    { "unknown service", DOCUMENT (ROUTE ("\"TimeoutMs\":1000,\"Service\":\"c\"")), false },
    { "unknown service in a split",
      DOCUMENT (ROUTE ("\"TimeoutMs\":1,\"TrafficSplit\":[{\"Service\":\"c\",\"Weight\":1}]")), false },
    { "unknown service beside a valid split",
      DOCUMENT (
        ROUTE ("\"TimeoutMs\":1,\"Service\":\"c\",\"TrafficSplit\":[{\"Service\":\"a\",\"Weight\":1}]")),
      false },
    { "service of another type beside a valid split",
      DOCUMENT (ROUTE ("\"TimeoutMs\":1,\"Service\":1,\"TrafficSplit\":[{\"Service\":\"a\",\"Weight\":1}]")),
      false },
    { "service beside a valid split",
      DOCUMENT (
        ROUTE ("\"TimeoutMs\":1,\"Service\":\"b\",\"TrafficSplit\":[{\"Service\":\"a\",\"Weight\":1}]")),
      true },
    { "service and an empty split",
      DOCUMENT (ROUTE ("\"TimeoutMs\":1,\"Service\":\"a\",\"TrafficSplit\":[]")), true },
    { "split of another type", DOCUMENT (ROUTE ("\"TimeoutMs\":1,\"Service\":\"a\",\"TrafficSplit\":{}")),
      false },
    { "service given twice", DOCUMENT (ROUTE ("\"TimeoutMs\":1,\"Service\":\"a\",\"Service\":\"b\"")),
      false },
    { "weight beyond its range",
      DOCUMENT (
        ROUTE ("\"TimeoutMs\":1,\"TrafficSplit\":[{\"Service\":\"a\",\"Weight\":9223372036854775807}]")),
      false },
    { "timeout beyond its range", DOCUMENT (ROUTE ("\"TimeoutMs\":9223372036854775807,\"Service\":\"a\"")),
      false },
    { "timeout beyond 64 bits", DOCUMENT (ROUTE ("\"TimeoutMs\":18446744073709551616,\"Service\":\"a\"")),
      false },
    { "timeout that is not a whole number", DOCUMENT (ROUTE ("\"TimeoutMs\":1.5,\"Service\":\"a\"")), false },
    { "name of another type",
      DOCUMENT ("{\"Name\":1,\"Host\":\"1.2.3.4\",\"PathPrefix\":\"/1/\",\"TimeoutMs\":1,\"Service\":\"a\"}"),
      false },
    { "type of another type",
      DOCUMENT ("{\"Type\":1,\"Host\":\"1.2.3.4\",\"PathPrefix\":\"/1/\",\"TimeoutMs\":1,\"Service\":\"a\"}"),
      false },
    { "port out of range",
      DOCUMENT ("{\"Host\":\"1.2.3.4\",\"PathPrefix\":\"/65536/\",\"TimeoutMs\":1,\"Service\":\"a\"}"),
      false },
    { "port 0", DOCUMENT ("{\"Host\":\"1.2.3.4\",\"PathPrefix\":\"/0/\",\"TimeoutMs\":1,\"Service\":\"a\"}"),
      false },
    { "no service", DOCUMENT (ROUTE ("\"TimeoutMs\":1000")), false },
    { "timeout 0", DOCUMENT (ROUTE ("\"TimeoutMs\":0,\"Service\":\"a\"")), false },
    { "no timeout", DOCUMENT (ROUTE ("\"Service\":\"a\"")), false },
    { "two routes with the same address", DOCUMENT (VALID_ROUTE "," VALID_ROUTE), false },
    { "all weights 0",
      DOCUMENT (ROUTE ("\"TimeoutMs\":1,\"TrafficSplit\":[{\"Service\":\"a\",\"Weight\":0}]")), false },
    { "negative weight",
      DOCUMENT (ROUTE ("\"TimeoutMs\":1,\"TrafficSplit\":[{\"Service\":\"a\",\"Weight\":-1}]")), false },
    { "host that is not an address",
      DOCUMENT ("{\"Host\":\"x\",\"PathPrefix\":\"/1/\",\"TimeoutMs\":1,\"Service\":\"a\"}"), false },
    { "path prefix without a port",
      DOCUMENT ("{\"Host\":\"1.2.3.4\",\"PathPrefix\":\"/\",\"TimeoutMs\":1,\"Service\":\"a\"}"), false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GBytes) document = g_bytes_new_static (cases[i].document, strlen (cases[i].document));
      oh_publication_t publication;
      oh_error_t error = { 0 };
      const bool valid = oh_publication_parse (&publication, document, &error);

      if (valid != cases[i].valid)
        g_error ("case %s: valid %d, %s", cases[i].name, valid, error.message);
      if (valid)
        g_assert_true (g_bytes_equal (publication.document, document));
      else
        g_assert_cmpint (error.code, !=, 0);
      oh_publication_clear (&publication);
    }
}

/* Guards against accepting a document that was cut short, and texts that are no JSON but that a lenient
 * parser reads. */
static void
test_unreadable_documents (void)
{
  static const char complete[] = DOCUMENT (VALID_ROUTE);
  static const struct
  {
    const char *name;
    const char *before;
    const char *after;
  } cases[] = {
    { "text after the document", "", "x" },
    { "bracket after the document", "", "}" },
    { "second document", "", complete },
    { "comma after the document", "", "," },
    { "assignment", "var a = ", ";" },
    { "assignment without a semicolon", "var a = ", "" },
    { "comment of one line", "// a\n", "" },
    { "comment after the document", "", " // a" },
    { "comment of several lines", "/* a */", "" },
    { "array around the document", "[", "]" },
    { "shell comment", "# a\n", "" },
    { "invalid UTF-8", "{\"\xff\":1,\"a\":", "}" },
  };

  for (size_t length = 0; length < strlen (complete); length++)
    {
      g_autoptr (GBytes) document = g_bytes_new (complete, length);
      oh_publication_t publication;

      if (oh_publication_parse (&publication, document, NULL))
        g_error ("accepted after %zu of %zu bytes", length, strlen (complete));
    }
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = g_strconcat (cases[i].before, complete, cases[i].after, NULL);
      g_autoptr (GBytes) document = g_bytes_new (text, strlen (text));
      oh_publication_t publication;

      if (oh_publication_parse (&publication, document, NULL))
        g_error ("accepted with %s", cases[i].name);
    }
}

/* Guards against rejecting a document of 250 KiB with over 1000 routes; operators publish such documents. */
static void
test_large_document (void)
{
  g_autoptr (GString) text = g_string_new ("{\"Version\":7," SERVICES ",\"Routes\":[" VALID_ROUTE);
  g_autoptr (GBytes) document = NULL;
  oh_publication_t publication;
  oh_error_t error = { 0 };
  oh_config_t config;

  for (unsigned i = 0; text->len < 250 * 1024; i++)
    g_string_append_printf (
      text,
      ",{\"Name\":\"r-%u\",\"Host\":\"198.19.%u.%u\",\"PathPrefix\":\"/8443/\",\"Type\":"
      "\"safe\",\"TimeoutMs\":1000,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"b\"}",
      i, i / 250, i % 250);
  g_string_append (text, "]}");
  document = g_bytes_new (text->str, text->len);
  if (!oh_publication_parse (&publication, document, &error))
    g_error ("%s", error.message);
  g_assert_true (oh_config_parse (&config, "test", publication.text, &error));
  g_assert_cmpuint (config.routes->len, >, 1000);
  oh_config_finish (&config);
  oh_publication_clear (&publication);
}

/* Guards against a document that is rejected for a rate of warming upstreams, against a limit that was not
 * meant, and against a rate that is raised when it is rounded. */
static void
test_warmups (void)
{
  static const struct
  {
    const char *fields;
    unsigned milli_per_s;
  } cases[] = {
    { "", 0 },
    { ",\"WarmupPerS\":20,\"WarmupS\":2", 20000 },
    { ",\"WarmupPerS\":12.5", 12500 },
    { ",\"WarmupPerS\":0.57,\"WarmupS\":null", 570 },
    { ",\"WarmupPerS\":0.0016", 1 },
    { ",\"WarmupPerS\":0.0004", 1 },
    { ",\"WarmupPerS\":1.9999", 1999 },
    { ",\"WarmupPerS\":1e12", 1000000000 },
    { ",\"WarmupPerS\":0", 0 },
    { ",\"WarmupPerS\":-3", 0 },
    { ",\"WarmupPerS\":-0.5", 0 },
    { ",\"WarmupPerS\":\"20\"", 0 },
    { ",\"WarmupPerS\":null", 0 },
    { ",\"WarmupPerS\":true", 0 },
    { ",\"WarmupPerS\":[20]", 0 },
    { ",\"WarmupPerS\":20,\"WarmupS\":-1", 0 },
    { ",\"WarmupPerS\":20,\"WarmupS\":\"2\"", 0 },
    { ",\"WarmupPerS\":20,\"WarmupS\":0", 20000 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text
        = g_strdup_printf ("{\"Version\":7,\"Routes\":[%s,%s],\"Services\":[{\"Name\":\"a\"},"
                           "{\"Name\":\"K b\"%s}]}",
                           VALID_ROUTE,
                           "{\"Host\":\"198.18.0.2\",\"PathPrefix\":\"/1/\",\"TimeoutMs\":1,"
                           "\"Service\":\"K b\"}",
                           cases[i].fields);
      g_autoptr (GBytes) document = g_bytes_new (text, strlen (text));
      g_autofree char *name = oh_platform_service_name ("K b");
      oh_publication_t publication;
      oh_error_t error = { 0 };
      oh_config_t config;

      if (!oh_publication_parse (&publication, document, &error))
        g_error ("%s: %s", cases[i].fields, error.message);
      g_assert_true (oh_config_parse (&config, "test", publication.text, NULL));
      g_assert_cmpuint (oh_config_find (&config, oh_service_id (name))->warmup_milli_per_s, ==,
                        cases[i].milli_per_s);
      g_assert_cmpuint (oh_config_find (&config, oh_service_id ("a"))->warmup_milli_per_s, ==, 0);
      /* Replicas of the previous release reject a text with the key. */
      g_assert_cmpint (strstr (publication.text, "warmup") != NULL, ==, cases[i].milli_per_s > 0);
      oh_config_finish (&config);
      oh_publication_clear (&publication);
    }
}

/* Guards against flows that do not follow the weights of a traffic split, or that each balancer distributes
 * differently. */
static void
test_weights (void)
{
  static const char document_text[] = DOCUMENT (ROUTE ("\"TimeoutMs\":1,\"TrafficSplit\":[{\"Service\":\"a\","
                                                       "\"Weight\":90},{\"Service\":\"b\",\"Weight\":10}]"));
  g_autoptr (GBytes) document = g_bytes_new_static (document_text, strlen (document_text));
  oh_publication_t publication;
  oh_config_t config;
  oh_route_table_t table;
  const oh_route_t *route;
  oh_address_t address;
  unsigned to_b = 0;

  g_assert_true (oh_publication_parse (&publication, document, NULL));
  g_assert_true (oh_config_parse (&config, "test", publication.text, NULL));
  oh_route_table_init (&table);
  oh_route_table_load (&table, &config);
  g_assert_true (oh_address_parse ("198.18.0.1:8443", &address));
  route = oh_route_table_find (&table, address);
  g_assert_nonnull (route);
  for (uint32_t i = 0; i < 10000; i++)
    {
      const oh_flow_key_t key = { .caller = { .ipv4 = i, .port = 1000 }, .route = address };

      to_b += oh_route_choose (route, &key) == oh_service_id ("b");
    }
  g_assert_cmpuint (to_b, >, 900);
  g_assert_cmpuint (to_b, <, 1100);
  oh_route_table_finish (&table);
  oh_config_finish (&config);
  oh_publication_clear (&publication);
}

#define NOW_MS 1000000
#define FIELD_SERVICE "\"Service\":\"a\","
#define FIELD_ADDRESS "\"Address\":\"10.0.0.3:8080\","
#define FIELD_PLACE "\"Zone\":\"z\",\"Version\":\"v1\","
#define FIELD_STATE "\"State\":\"ready\","
#define FIELD_COUNTS "\"MaxConcurrency\":4,\"WarmupLeftMs\":0,\"Sequence\":4,"
#define FIELD_START "\"born\":5"
#define HEARTBEAT "{" FIELD_SERVICE FIELD_ADDRESS FIELD_PLACE FIELD_STATE FIELD_COUNTS FIELD_START "}"

/* Guards against a check-in that a backend did not send, with fields missing, of another type or out of
 * range, that is taken for the upstream's, and against rejecting a sound one. */
static void
test_heartbeats (void)
{
  /* Each case replaces a part of the sound body by another text. */
  static const struct
  {
    const char *name;
    const char *part;
    const char *replacement;
    bool valid;
  } cases[] = {
    { "sound", "", "", true },
    { "unknown fields", FIELD_SERVICE, FIELD_SERVICE "\"New\":[],", true },
    { "draining", "ready", "draining", true },
    { "sequence 0", "\"Sequence\":4", "\"Sequence\":0", true },
    { "start a little ahead of this clock", ":5}", ":1003000}", true },
    { "no address", FIELD_ADDRESS, "", false },
    { "address of another type", "\"10.0.0.3:8080\"", "[\"10.0.0.3\",8080]", false },
    { "address without a port", "10.0.0.3:8080", "10.0.0.3", false },
    { "address with a port out of range", ":8080", ":65536", false },
    { "address with a negative port", ":8080", ":-1", false },
    { "address with port 0", ":8080", ":0", false },
    { "address that is a name", "10.0.0.3", "localhost", false },
    { "no zone", "\"Zone\":\"z\",", "", false },
    { "zone of another type", "\"Zone\":\"z\"", "\"Zone\":{}", false },
    { "empty zone", "\"Zone\":\"z\"", "\"Zone\":\"\"", false },
    { "no version", "\"Version\":\"v1\",", "", false },
    { "version of another type", "\"v1\"", "1", false },
    { "no slots", "\"MaxConcurrency\":4,", "", false },
    { "slots of another type", "\"MaxConcurrency\":4", "\"MaxConcurrency\":\"4\"", false },
    { "0 slots", "\"MaxConcurrency\":4", "\"MaxConcurrency\":0", false },
    { "too many slots", "\"MaxConcurrency\":4", "\"MaxConcurrency\":4294967300", false },
    { "no warm-up", "\"WarmupLeftMs\":0,", "", false },
    { "negative warm-up", "\"WarmupLeftMs\":0", "\"WarmupLeftMs\":-1", false },
    { "warm-up that is null", "\"WarmupLeftMs\":0", "\"WarmupLeftMs\":null", false },
    { "warm-up that never ends", "\"WarmupLeftMs\":0", "\"WarmupLeftMs\":9223372036854775807", false },
    { "no sequence", "\"Sequence\":4,", "", false },
    { "sequence of another type", "\"Sequence\":4", "\"Sequence\":{}", false },
    { "negative sequence", "\"Sequence\":4", "\"Sequence\":-1", false },
    { "sequence that is not exact everywhere", "\"Sequence\":4", "\"Sequence\":9007199254740992", false },
    { "sequence beyond 64 bits", "\"Sequence\":4", "\"Sequence\":18446744073709551616", false },
    { "number beyond a double", "\"Sequence\":4", "\"Sequence\":1e999", false },
    { "no start time", "," FIELD_START, "", false },
    { "start time of another type", ":5}", ":\"5\"}", false },
    { "start time that is not an integer", ":5}", ":5.5}", false },
    { "negative start time", ":5}", ":-5}", false },
    { "start time in the future", ":5}", ":1060001}", false },
    { "greatest start time", ":5}", ":9223372036854775807}", false },
    { "no state", FIELD_STATE, "", false },
    { "unknown state", "ready", "asleep", false },
    { "state of another type", "\"ready\"", "1", false },
    { "no service", FIELD_SERVICE, "", false },
    { "empty service", "\"Service\":\"a\"", "\"Service\":\"\"", false },
    { "service of another type", "\"Service\":\"a\"", "\"Service\":[]", false },
    { "service with a NUL", "\"Service\":\"a\"", "\"Service\":\"a\\u0000\"", false },
    { "service given twice", FIELD_SERVICE, FIELD_SERVICE "\"Service\":\"b\",", false },
    { "empty", HEARTBEAT, "", false },
    { "not JSON", HEARTBEAT, "\xff\xfe", false },
    { "not an object", HEARTBEAT, "7", false },
    { "an array", HEARTBEAT, "[" HEARTBEAT "]", false },
    { "two objects", HEARTBEAT, HEARTBEAT HEARTBEAT, false },
    { "comment", HEARTBEAT, "/* a */" HEARTBEAT, false },
    { "cut short", "}", "", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GString) body = g_string_new (HEARTBEAT);
      oh_announcement_t announcement;
      oh_error_t error = { 0 };
      bool valid;

      if (cases[i].part[0] != '\0' && g_string_replace (body, cases[i].part, cases[i].replacement, 1) != 1)
        g_error ("case %s: the part to replace is missing", cases[i].name);
      valid = oh_heartbeat_decode ("i-1", body->str, body->len, NOW_MS, &announcement, &error);
      if (valid != cases[i].valid)
        g_error ("case %s: valid %d, %s", cases[i].name, valid, error.message);
      g_assert_cmpint (error.domain, ==, valid ? OH_ERROR_NONE : OH_ERROR_DECODE);
      oh_heartbeat_clear (&announcement);
    }
}

/* Guards against a late call of an earlier start under the same id, or one of another program, that ends the
 * flows of the present upstream. */
static void
test_deregister (void)
{
  static const struct
  {
    const char *name;
    const char *body;
    bool valid;
    int64_t started_ms;
  } cases[] = {
    { "no body", "", true, OH_ANNOUNCED_START_UNKNOWN },
    { "start time", "{\"born\":5}", true, 5 },
    { "unknown fields", "{\"born\":5,\"New\":{}}", true, 5 },
    { "no start time", "{}", false, 0 },
    { "start time of another type", "{\"born\":\"5\"}", false, 0 },
    { "negative start time", "{\"born\":-1}", false, 0 },
    { "start time in the future", "{\"born\":9223372036854775807}", false, 0 },
    { "not JSON", "gone", false, 0 },
    { "not an object", "[5]", false, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      oh_announcement_t announcement;
      oh_error_t error = { 0 };
      const bool valid
        = oh_deregister_decode ("i-1", cases[i].body, strlen (cases[i].body), NOW_MS, &announcement, &error);

      if (valid != cases[i].valid || (valid && announcement.started_ms != cases[i].started_ms))
        g_error ("case %s: valid %d, %s", cases[i].name, valid, error.message);
      g_assert_cmpint (error.domain, ==, valid ? OH_ERROR_NONE : OH_ERROR_DECODE);
      if (valid)
        g_assert_cmpint (announcement.state, ==, OH_ANNOUNCED_LEFT);
      oh_heartbeat_clear (&announcement);
    }
}

/* Guards against ids that are cut off, so that each check-in seems to come from another upstream, and against
 * ids that forge log lines. */
static void
test_instance_ids (void)
{
  static const char id_63[] = "123456789012345678901234567890123456789012345678901234567890123";
  static const struct
  {
    const char *id;
    bool valid;
  } cases[] = {
    { "i-7f3a91c2", true }, { "A.b_c:d~9", true },
    { id_63, true },        { "", false },
    { "a b", false },       { "a\nb", false },
    { "a\"b", false },      { "a=b", false },
    { "a\\b", false },      { "\xc3\xa4", false },
    { "a\x7f", false },     { "1234567890123456789012345678901234567890123456789012345678901234", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      oh_announcement_t announcement;
      const bool heartbeat
        = oh_heartbeat_decode (cases[i].id, HEARTBEAT, strlen (HEARTBEAT), NOW_MS, &announcement, NULL);

      oh_heartbeat_clear (&announcement);
      if (heartbeat != cases[i].valid
          || oh_deregister_decode (cases[i].id, "", 0, NOW_MS, &announcement, NULL) != cases[i].valid)
        g_error ("id %s: expected valid %d", cases[i].id, cases[i].valid);
      oh_heartbeat_clear (&announcement);
    }
}

/* Guards against a header layout other than the platform's: both segments are given as literal bytes. */
static void
test_segments (void)
{
  static const uint8_t syn_segment[]
    = { 0xa1, 0xb2, 0xc3, 0xd5, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb,
        0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x04, 0x00, 0x00, 0x00, 0x00, 0x00 };
  static const uint8_t expected_reset[]
    = { 0x00, 0x00, 0x00, 0x00, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41,
        0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00 };
  const oh_segment_format_t *format = oh_platform_segment_format ();
  uint8_t buffer[OH_SEGMENT_RESET_MAX_BYTES];
  char text[OH_ADDRESS_TEXT_BYTES];
  oh_segment_t segment;
  oh_flow_key_t key;

  g_assert_true (format->ops->decode (format, syn_segment, sizeof syn_segment, &segment));
  g_assert_cmpstr (oh_address_format (segment.from, text), ==, "100.64.0.7:40001");
  g_assert_cmpstr (oh_address_format (segment.to, text), ==, "198.18.0.1:443");
  g_assert_true (segment.syn && !segment.ack && !segment.fin && !segment.rst && !segment.returned);
  g_assert_cmpuint (segment.sequence, ==, 0x11223344);
  key = (oh_flow_key_t){ .caller = segment.from, .route = segment.to };
  g_assert_cmpmem (buffer, format->ops->make_reset (format, &key, 0, buffer), expected_reset,
                   sizeof expected_reset);
}

/* Guards against different platform services that get the same name in the configuration text, and against
 * names that are not allowed there. */
static void
test_service_names (void)
{
  static const char *const names[] = { "kiln-log", "Kiln-Log", "kiln_log", "kiln log", "x-6b", "1a", "" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    for (size_t j = 0; j < i; j++)
      {
        g_autofree char *a = oh_platform_service_name (names[i]);
        g_autofree char *b = oh_platform_service_name (names[j]);

        g_assert_cmpstr (a, !=, b);
        g_assert_cmpuint (strspn (a, "abcdefghijklmnopqrstuvwxyz0123456789-"), ==, strlen (a));
      }
}

static uint16_t
free_port (void)
{
  g_autoptr (GSocketListener) listener = g_socket_listener_new ();
  const uint16_t port = g_socket_listener_add_any_inet_port (listener, NULL, NULL);

  g_assert_cmpuint (port, !=, 0);
  g_socket_listener_close (listener);
  return port;
}

/* A replica behind the operators' interface, which answers orders as a test case says. */
typedef struct
{
  oh_operator_http_t *api;
  Oh__ChangeStatus status;
  const char *leader;
  bool unknown_zone;
  unsigned n_orders;
  char order[32]; /* the last one */
} fake_replica_t;

static void
on_order_zone (void *data, uint64_t request, const oh_zone_order_t *order)
{
  fake_replica_t *replica = data;
  Oh__ChangeReply reply = OH__CHANGE_REPLY__INIT;
  oh_address_t leader = { 0 };
  oh_publish_status_t status;

  reply.status = replica->status;
  reply.leader = (char *)replica->leader;
  status = replica->unknown_zone ? OH_PUBLISH_UNKNOWN : oh_zone_order_outcome (&reply, &leader);
  replica->n_orders++;
  g_snprintf (replica->order, sizeof replica->order, "%s %s", order->drain ? "drain" : "undrain",
              order->zone);
  oh_operator_http_answer (replica->api, request, status, leader.ipv4, "reason");
}

static void
on_sent (GObject *session, GAsyncResult *result, gpointer data)
{
  g_autoptr (GError) error = NULL;

  *(GBytes **)data = soup_session_send_and_read_finish (SOUP_SESSION (session), result, &error);
  g_assert_no_error (error);
}

/* Returns the request after it has been answered. */
static SoupMessage *
send_request (SoupSession *session, const char *method, oh_address_t server, const char *path, size_t length)
{
  char address[OH_ADDRESS_TEXT_BYTES];
  g_autofree char *uri = g_strconcat ("http://", oh_address_format (server, address), path, NULL);
  SoupMessage *message = soup_message_new (method, uri);
  g_autofree char *text = g_strnfill (length, 'x');
  g_autoptr (GBytes) body = g_bytes_new (text, length);
  GBytes *response = NULL;

  if (length > 0)
    soup_message_set_request_body_from_bytes (message, "text/plain", body);
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL, on_sent, &response);
  while (response == NULL)
    g_main_context_iteration (NULL, TRUE);
  g_bytes_unref (response);
  return message;
}

/* Guards against an order for a zone that gets a 4xx although it is valid, so that the operator gives up,
 * whatever the state of the replica; one that is acknowledged although it may be lost; and a redirect to
 * another path. */
static void
test_zone_orders (void)
{
  enum
  {
    OK = OH__CHANGE_STATUS__CHANGE_ACCEPTED,
    CONFLICT = OH__CHANGE_STATUS__CHANGE_CONFLICT,
    INVALID = OH__CHANGE_STATUS__CHANGE_INVALID,
    NOT_LEADER = OH__CHANGE_STATUS__CHANGE_NOT_LEADER,
    UNAVAILABLE = OH__CHANGE_STATUS__CHANGE_UNAVAILABLE,
    BEYOND_LIMIT = 3 << 20, /* bytes, more than the server takes for a document */
  };
  static const char leader[] = "tcp://127.0.0.9:7720";
  static const struct
  {
    const char *name;
    const char *method;
    const char *path;
    const char *order; /* that the replica gets; NULL: none */
    int reply;         /* of the replica */
    const char *leader;
    bool unknown_zone;
    size_t body_bytes;
    unsigned status;
    const char *redirect; /* path at the leader */
  } cases[] = {
    { "committed", "POST", "/evacuations/plv-b/start", "drain plv-b", OK, "", false, 0, 200, NULL },
    { "end", "POST", "/evacuations/plv-b/end", "undrain plv-b", OK, "", false, 0, 200, NULL },
    { "escaped name", "POST", "/evacuations/plv%2Db/start", "drain plv-b", OK, "", false, 0, 200, NULL },
    { "ignored body", "POST", "/evacuations/plv-b/start", "drain plv-b", OK, "", false, 7, 200, NULL },
    { "large body", "POST", "/evacuations/plv-b/start", "drain plv-b", OK, "", false, BEYOND_LIMIT, 200,
      NULL },
    { "follower", "POST", "/evacuations/plv-b/start", "drain plv-b", NOT_LEADER, leader, false, 0, 307,
      "/evacuations/plv-b/start" },
    { "follower, end", "POST", "/evacuations/plv-b/end", "undrain plv-b", NOT_LEADER, leader, false, 0, 307,
      "/evacuations/plv-b/end" },
    { "no leader, or no cluster yet", "POST", "/evacuations/plv-b/start", "drain plv-b", NOT_LEADER, "",
      false, 0, 503, NULL },
    { "unusable leader", "POST", "/evacuations/plv-b/start", "drain plv-b", NOT_LEADER, "tcp://x", false, 0,
      503, NULL },
    { "leadership lost, disk full, or a replica of the former release", "POST", "/evacuations/plv-b/start",
      "drain plv-b", UNAVAILABLE, leader, false, 0, 503, NULL },
    { "conflict", "POST", "/evacuations/plv-b/start", "drain plv-b", CONFLICT, "", false, 0, 503, NULL },
    { "too many zones", "POST", "/evacuations/plv-b/start", "drain plv-b", INVALID, "", false, 0, 503, NULL },
    { "unknown zone", "POST", "/evacuations/plv-x/start", "drain plv-x", OK, "", true, 0, 404, NULL },
    { "no name", "POST", "/evacuations//start", NULL, OK, "", false, 0, 404, NULL },
    { "not a name", "POST", "/evacuations/plv%20b/start", NULL, OK, "", false, 0, 404, NULL },
    { "another call", "POST", "/evacuations/plv-b/stop", NULL, OK, "", false, 0, 404, NULL },
    { "no call", "POST", "/evacuations/plv-b", NULL, OK, "", false, 0, 404, NULL },
    { "longer path", "POST", "/evacuations/plv-b/start/now", NULL, OK, "", false, 0, 404, NULL },
    { "another method", "GET", "/evacuations/plv-b/start", NULL, OK, "", false, 0, 404, NULL },
  };
  static const oh_operator_api_callbacks_t callbacks = { .order_zone = on_order_zone };
  /* An address of this process, as other tests may take the port in between. */
  const oh_address_t server
    = { .ipv4 = 0x7f010001 + (((uint32_t)getpid () & 0xffff) << 8), .port = free_port () };
  g_autoptr (SoupSession) session = soup_session_new ();
  fake_replica_t replica = { 0 };
  oh_error_t error;

  replica.api = oh_operator_http_start (server, &callbacks, &replica, &error);
  g_assert_nonnull (replica.api);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (SoupMessage) message = NULL;
      g_autofree char *location = cases[i].redirect != NULL ? g_strdup_printf ("http://127.0.0.9:%u%s",
                                                                               server.port, cases[i].redirect)
                                                            : NULL;

      g_test_message ("%s", cases[i].name);
      replica.status = (Oh__ChangeStatus)cases[i].reply;
      replica.leader = cases[i].leader;
      replica.unknown_zone = cases[i].unknown_zone;
      replica.n_orders = 0;
      message = send_request (session, cases[i].method, server, cases[i].path, cases[i].body_bytes);
      g_assert_cmpuint (soup_message_get_status (message), ==, cases[i].status);
      g_assert_cmpstr (soup_message_headers_get_one (soup_message_get_response_headers (message), "Location"),
                       ==, location);
      g_assert_cmpuint (replica.n_orders, ==, cases[i].order != NULL);
      if (cases[i].order != NULL)
        g_assert_cmpstr (replica.order, ==, cases[i].order);
    }
  soup_session_abort (session);
  oh_operator_http_stop (replica.api);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/documents", test_documents);
  g_test_add_func ("/platform/unreadable-documents", test_unreadable_documents);
  g_test_add_func ("/platform/large-document", test_large_document);
  g_test_add_func ("/platform/warmups", test_warmups);
  g_test_add_func ("/platform/weights", test_weights);
  g_test_add_func ("/platform/heartbeats", test_heartbeats);
  g_test_add_func ("/platform/deregister", test_deregister);
  g_test_add_func ("/platform/instance-ids", test_instance_ids);
  g_test_add_func ("/platform/segments", test_segments);
  g_test_add_func ("/platform/zone-orders", test_zone_orders);
  g_test_add_func ("/platform/service-names", test_service_names);
  return g_test_run ();
}
