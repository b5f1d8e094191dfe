#include <string.h>

#include "core/config_text.h"
#include "core/keyring.h"
#include "platform/config_document.h"
#include "platform/heartbeat_http.h"
#include "platform/segment_codec.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Checks what later code relies on in an announcement. */
static void
check_announcement (oh_announcement_t *announcement, bool valid, const oh_error_t *error)
{
  if (valid)
    {
      g_assert_cmpuint (strlen (announcement->id), <=, OH_ANNOUNCEMENT_ID_MAX_BYTES);
      g_assert_cmpuint (strlen (announcement->service), <=, OH_CONFIG_NAME_MAX_BYTES);
      g_assert_true (announcement->state == OH_ANNOUNCED_LEFT || announcement->slots > 0);
      g_assert_true (announcement->state == OH_ANNOUNCED_LEFT || announcement->address.port > 0);
    }
  else
    g_assert_cmpint (error->domain, ==, OH_ERROR_DECODE);
  oh_heartbeat_clear (announcement);
}

static void
decode_document (const uint8_t *data, size_t size)
{
  g_autoptr (GBytes) document = g_bytes_new_static (data, size);
  oh_publication_t publication;
  oh_error_t error = { 0 };
  oh_config_t config;

  if (oh_publication_parse (&publication, document, &error))
    {
      g_assert_true (oh_config_parse (&config, "fuzz", publication.text, NULL));
      oh_config_finish (&config);
    }
  else
    g_assert_cmpint (error.domain, !=, OH_ERROR_NONE);
  oh_publication_clear (&publication);
}

/* Decodes the input as each of the platform's messages. The first byte is the clock of the heartbeats. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const oh_segment_format_t *format = oh_platform_segment_format ();
  const int64_t now_ms = size > 0 ? data[0] * (int64_t)1000 : 0;
  oh_announcement_t announcement;
  oh_error_t error = { 0 };
  oh_segment_t segment;
  bool valid;

  valid = oh_heartbeat_decode ("i-1", (const char *)data, size, now_ms, &announcement, &error);
  check_announcement (&announcement, valid, &error);
  valid = oh_deregister_decode ("i-1", (const char *)data, size, now_ms, &announcement, &error);
  check_announcement (&announcement, valid, &error);
  decode_document (data, size);
  format->ops->decode (format, data, size, &segment);
  return 0;
}
