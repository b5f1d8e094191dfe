#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "ports/storage.h"

/*
 * Records of the storage files. A record is a header of 16 bytes and a protobuf message. The header holds,
 * little endian:
 *
 *   4 bytes  length of the message
 *   4 bytes  checksum of the length, the low half of its XXH64
 *   8 bytes  XXH64 of the message
 *
 * Both digests are seeded with the offset of the record in the file. Because the length has a checksum of its
 * own, a flipped bit in it is not taken for an incomplete record.
 */

enum
{
  OH_RECORD_HEADER_BYTES = 16,
  OH_RECORD_MAX_BYTES = 32 * 1024 * 1024,
};

typedef enum
{
  OH_RECORD_OK,
  OH_RECORD_END,  /* no bytes after the previous record */
  OH_RECORD_TORN, /* last record, cut off by the end of the file or with an unwritten (zero) end */
  OH_RECORD_CORRUPT,
} oh_record_status_t;

/* Reads the record at *offset of a file's bytes. On OH_RECORD_OK sets *message, which points into bytes, and
 * its length, and advances *offset to the next record. */
oh_record_status_t oh_record_read (const uint8_t *bytes, size_t length, size_t *offset,
                                   const uint8_t **message, size_t *message_length);

/* Fills in the header of a record that will be stored at offset of its file. */
void oh_record_write_header (uint8_t header[OH_RECORD_HEADER_BYTES], uint64_t offset, const uint8_t *message,
                             size_t length);

/* Fills a clear snapshot from an encoded StoredSnapshot; the caller clears it with oh_snapshot_clear. On
 * failure it stays clear. */
bool oh_snapshot_decode (const uint8_t *message, size_t length, oh_snapshot_t *snapshot, oh_error_t *error);

/*
 * Rebuilds the hard state and the entries of recovered from the bytes of a log file. recovered->snapshot must
 * be set before, with index 0 if there is none; the hard state must be zero and the entries NULL.
 * *valid_length is the length without a torn last record. On failure the entries stay NULL.
 */
bool oh_stored_log_recover (const uint8_t *bytes, size_t length, oh_recovered_state_t *recovered,
                            size_t *valid_length, oh_error_t *error);
