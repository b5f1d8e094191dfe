#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "ports/storage.h"

/*
 * Records of the storage files. A record is a header of 16 bytes and a protobuf message. The header holds,
 * little endian, the length of the message (4 bytes), a check of the length (4 bytes, low half of XXH64 over
 * it) and XXH64 of the message (8 bytes); both digests are seeded with the offset of the record in the file.
 * Because the length has its own check, a flipped bit in it is not taken for an incomplete record.
 */

enum
{
  OH_RECORD_HEADER_BYTES = 16,
  OH_RECORD_MAX_BYTES = 32 * 1024 * 1024,
};

typedef enum
{
  OH_RECORD_OK,
  OH_RECORD_END,  /* no bytes left */
  OH_RECORD_TORN, /* last record, cut off by the end of the file or with an unwritten (zero) end */
  OH_RECORD_CORRUPT,
} oh_record_status_t;

/* Reads the record at *offset of a file's bytes. On OH_RECORD_OK the message is set and *offset advanced. */
oh_record_status_t oh_record_read (const uint8_t *bytes, size_t length, size_t *offset,
                                   const uint8_t **message, size_t *message_length);

/* Writes the header of a record that will stand at offset. */
void oh_record_header (uint8_t header[OH_RECORD_HEADER_BYTES], uint64_t offset, const uint8_t *message,
                       size_t length);

/* Fills a clear snapshot from a StoredSnapshot. */
bool oh_snapshot_decode (const uint8_t *message, size_t length, oh_snapshot_t *snapshot, oh_error_t *error);

/*
 * Rebuilds hard state and entries from the bytes of a log file, on top of the snapshot in recovered; its hard
 * state must be zero and its entries NULL. *valid_length is the length without a torn tail. On failure
 * the entries stay NULL.
 */
bool oh_log_recover (const uint8_t *bytes, size_t length, oh_recovered_t *recovered, size_t *valid_length,
                     oh_error_t *error);
