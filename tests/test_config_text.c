#include <glib.h>
#include <string.h>

#include "core/config_text.h"
#include "core/keyring.h"

#define HEAD "[oriolehaven]\nname=foundation\n"
#define KILN "[service kiln-log]\naddress=127.0.0.1:7000\n"
#define SCAN "[service scan-serve]\naddress=127.0.0.1:7001\n"

/* Guards against an error in the configuration text that is accepted, or reported without its location. */
static void
test_errors (void)
{
  static const struct
  {
    const char *text;
    oh_error_code_t code;
    const char *parts[5]; /* section, key, value and expected format that the message must contain */
  } cases[] = {
    { "", OH_ERROR_CODE_MISSING_KEY, { "[oriolehaven]", "key name", "a-z" } },
    { HEAD, OH_ERROR_CODE_MISSING_KEY, { "[service NAME]", "at least one" } },
    { "[oriolehaven]\nname=A b\n" KILN,
      OH_ERROR_CODE_BAD_VALUE,
      { "[oriolehaven]", "key name", "A b", "a-z" } },
    { "[oriolehaven]\nname=a\nzone=b\n" KILN,
      OH_ERROR_CODE_UNKNOWN_KEY,
      { "[oriolehaven]", "key zone", "\"b\"", "name" } },
    { HEAD "[upstream a]\naddress=127.0.0.1:1\n",
      OH_ERROR_CODE_UNKNOWN_KEY,
      { "[upstream a]", "[service NAME]" } },
    { HEAD "[service Kiln]\naddress=127.0.0.1:1\n",
      OH_ERROR_CODE_BAD_VALUE,
      { "[service Kiln]", "Kiln", "a-z" } },
    { HEAD "[service a]\n", OH_ERROR_CODE_MISSING_KEY, { "[service a]", "key address", "IPV4:PORT" } },
    { HEAD "[service a]\naddress=localhost:1\n",
      OH_ERROR_CODE_BAD_VALUE,
      { "[service a]", "key address", "localhost:1", "IPV4:PORT" } },
    { HEAD "[service a]\naddress=\n", OH_ERROR_CODE_BAD_VALUE, { "key address", "IPV4:PORT" } },
    { HEAD "[service a]\naddress=127.0.0.1:70000\n", OH_ERROR_CODE_BAD_VALUE, { "127.0.0.1:70000" } },
    { HEAD "[service a]\naddress=127.0.0.1:1,127.0.0.1:1\n",
      OH_ERROR_CODE_DUPLICATE,
      { "[service a]", "key address", "127.0.0.1:1", "once" } },
    { HEAD KILN "[service a]\naddress=127.0.0.1:7000\n",
      OH_ERROR_CODE_DUPLICATE,
      { "[service a]", "key address", "127.0.0.1:7000", "no other service" } },
    { HEAD KILN "weight=3\n", OH_ERROR_CODE_UNKNOWN_KEY, { "[service kiln-log]", "key weight", "\"3\"" } },
    { HEAD KILN "max_class=3\n",
      OH_ERROR_CODE_BAD_VALUE,
      { "[service kiln-log]", "key max_class", "\"3\"", "0 to 2" } },
    { HEAD KILN "queue_per_slot=0\n",
      OH_ERROR_CODE_BAD_VALUE,
      { "[service kiln-log]", "key queue_per_slot", "\"0\"", "1 to 64" } },
    { HEAD KILN "warmup_per_s=0.0001\n",
      OH_ERROR_CODE_BAD_VALUE,
      { "[service kiln-log]", "key warmup_per_s", "0.0001", "three digits" } },
    { HEAD KILN "warmup_per_s=-1\n", OH_ERROR_CODE_BAD_VALUE, { "warmup_per_s", "-1" } },
    { HEAD KILN "warmup_per_s=1e3\n", OH_ERROR_CODE_BAD_VALUE, { "warmup_per_s", "1e3" } },
    { HEAD KILN "warmup_per_s=.5\n", OH_ERROR_CODE_BAD_VALUE, { "warmup_per_s", ".5" } },
    { HEAD KILN "warmup_per_s=5.\n", OH_ERROR_CODE_BAD_VALUE, { "warmup_per_s", "5." } },
    { HEAD KILN "warmup_per_s=\n", OH_ERROR_CODE_BAD_VALUE, { "warmup_per_s" } },
    { HEAD KILN "warmup_per_s=1000000.001\n", OH_ERROR_CODE_BAD_VALUE, { "warmup_per_s", "1000000" } },
    { HEAD KILN "warmup_per_s=99999999999999999999999999\n", OH_ERROR_CODE_BAD_VALUE, { "warmup_per_s" } },
    { HEAD KILN "depends=plan-fetch\n",
      OH_ERROR_CODE_BAD_VALUE,
      { "[service kiln-log]", "key depends", "plan-fetch", "names of services" } },
    { HEAD KILN "depends=kiln-log\n",
      OH_ERROR_CODE_CYCLE,
      { "[service kiln-log]", "key depends", "kiln-log", "do not depend" } },
    { HEAD KILN "depends=scan-serve\n" SCAN "depends=kiln-log\n",
      OH_ERROR_CODE_CYCLE,
      { "[service scan-serve]", "key depends", "kiln-log" } },
    { HEAD KILN SCAN "depends=kiln-log,kiln-log\n", OH_ERROR_CODE_DUPLICATE, { "key depends", "once" } },
    { HEAD KILN KILN, OH_ERROR_CODE_DUPLICATE, { "[service kiln-log]", "once" } },
    { HEAD KILN "max_class=1\nmax_class=2\n", OH_ERROR_CODE_DUPLICATE, { "key max_class", "\"2\"", "once" } },
    { HEAD KILN "max_class\n", OH_ERROR_CODE_MALFORMED, { "[service kiln-log]", "max_class", "key=value" } },
    { HEAD KILN "depends=\xff\n", OH_ERROR_CODE_MALFORMED, { "UTF-8" } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      oh_config_t config;
      oh_error_t error = { 0 };

      g_assert_false (oh_config_parse (&config, "site.ini", cases[i].text, &error));
      g_assert_null (config.services);
      if (error.code != cases[i].code)
        g_error ("case %zu: code %d, %s", i, error.code, error.message);
      g_assert_cmpint (error.domain, ==, OH_ERROR_SETTINGS);
      g_assert_nonnull (strstr (error.message, "site.ini"));
      for (size_t j = 0; j < G_N_ELEMENTS (cases[i].parts) && cases[i].parts[j] != NULL; j++)
        if (strstr (error.message, cases[i].parts[j]) == NULL)
          g_error ("case %zu: \"%s\" not in \"%s\"", i, cases[i].parts[j], error.message);
    }
}

/* Guards against a text over the size limit, which every replica would have to store. */
static void
test_size (void)
{
  g_autoptr (GString) text = g_string_new (HEAD KILN);
  oh_config_t config;
  oh_error_t error;

  while (text->len < OH_CONFIG_TEXT_MAX_BYTES - 1)
    g_string_append_c (text, '#');
  g_string_append_c (text, '\n');
  g_assert_true (oh_config_parse (&config, "site.ini", text->str, &error));
  oh_config_finish (&config);
  g_string_append_c (text, '\n');
  g_assert_false (oh_config_parse (&config, "site.ini", text->str, &error));
  g_assert_cmpint (error.code, ==, OH_ERROR_CODE_TOO_LARGE);
}

/* Guards against values and dependencies that are parsed incorrectly. */
static void
test_values (void)
{
  oh_config_t config;
  oh_error_t error;

  g_assert_true (oh_config_parse (&config, "site.ini",
                                  HEAD "# comment\n[service a]\naddress = 127.0.0.1:1, 127.0.0.1:2\n"
                                       "depends=b\nmax_class=1\nqueue_per_slot=3\n"
                                       "[service b]\naddress=127.0.0.1:3\ndepends=c\nwarmup_per_s=12.05\n"
                                       "[service c]\naddress=127.0.0.1:4\ndepends=\n",
                                  &error));
  const oh_config_service_t *a = oh_config_find (&config, oh_service_id ("a"));
  const oh_config_service_t *b = oh_config_find (&config, oh_service_id ("b"));
  const oh_config_service_t *c = oh_config_find (&config, oh_service_id ("c"));

  g_assert_cmpstr (config.name, ==, "foundation");
  g_assert_cmpuint (config.services->len, ==, 3);
  g_assert_cmpuint (a->addresses->len, ==, 2);
  g_assert_cmpuint (g_array_index (a->addresses, oh_address_t, 1).port, ==, 2);
  g_assert_cmpuint (a->max_class, ==, 1);
  g_assert_cmpuint (a->queue_per_slot, ==, 3);
  g_assert_cmpuint (c->queue_per_slot, ==, 8);
  g_assert_cmpuint (b->warmup_milli_per_s, ==, 12050);
  g_assert_cmpuint (c->warmup_milli_per_s, ==, 0);
  g_assert_true (oh_config_depends_on (a, c));
  g_assert_false (oh_config_depends_on (c, a));
  g_assert_null (oh_config_find (&config, oh_service_id ("d")));
  oh_config_finish (&config);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config-text/errors", test_errors);
  g_test_add_func ("/config-text/size", test_size);
  g_test_add_func ("/config-text/values", test_values);
  return g_test_run ();
}
