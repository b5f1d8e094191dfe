#include <string.h>

#include "adapters/records.h"
#include "core/raft_replicas.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/*
 * Recovers the stored log and decodes the stored snapshot. The first byte of the input selects how the rest
 * is taken: as a log, as the messages of a log, or as a snapshot. Random bytes rarely carry valid digests, so
 * messages, each after two bytes of length (little endian), are written to a log with valid headers.
 */

static void
recover (const uint8_t *bytes, size_t size)
{
  oh_recovered_state_t recovered = { 0 };
  oh_error_t error;
  size_t valid_length;

  if (!oh_stored_log_recover (bytes, size, &recovered, &valid_length, &error))
    {
      g_assert_null (recovered.entries);
      g_assert_cmpint (error.domain, ==, OH_ERROR_STORAGE);
      return;
    }
  g_assert_cmpuint (valid_length, <=, size);
  for (unsigned i = 0; i < recovered.entries->len; i++)
    g_assert_cmpuint (((oh_entry_t *)recovered.entries->pdata[i])->index, ==, i + 1);
  oh_recovered_state_clear (&recovered);
}

static void
recover_messages (const uint8_t *data, size_t size)
{
  GByteArray *file = g_byte_array_new ();

  while (size > 2)
    {
      const size_t length = MIN ((size_t)(data[0] | data[1] << 8), size - 2);
      uint8_t header[OH_RECORD_HEADER_BYTES];

      oh_record_write_header (header, file->len, data + 2, length);
      g_byte_array_append (file, header, sizeof header);
      g_byte_array_append (file, data + 2, (unsigned)length);
      data += 2 + length;
      size -= 2 + length;
    }
  recover (file->data, file->len);
  /* A file cut anywhere is either recovered or reported as corrupt. */
  recover (file->data, file->len / 2);
  g_byte_array_unref (file);
}

static void
decode_snapshot (const uint8_t *data, size_t size)
{
  oh_snapshot_t snapshot = { 0 };

  if (oh_snapshot_decode (data, size, &snapshot, NULL))
    oh_snapshot_clear (&snapshot);
  g_assert_null (snapshot.data);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  switch (data[0] % 3)
    {
    case 0:
      recover (data + 1, size - 1);
      break;
    case 1:
      recover_messages (data + 1, size - 1);
      break;
    case 2:
      decode_snapshot (data + 1, size - 1);
      break;
    }
  return 0;
}
