#pragma once

#include "base/error.h"
#include "ports/random.h"
#include "ports/storage.h"

/*
 * Storage of a replica in one data folder:
 *
 *   identity   one record, written when the folder is created
 *   snapshot   one record, replaced by rename
 *   log        one record for each persist request; replaced by rename when a snapshot is stored, and when
 *              it has grown too long
 *   lock       locked while the storage is open
 *
 * A last record of the log that the end of the file cuts off, or whose end is unwritten (zero bytes), was
 * never reported as durable and is removed. Any other damage is OH_ERROR_CODE_CORRUPT: the replica must not
 * run with this folder, and has to rejoin with an empty one.
 */

/*
 * Opens the data folder of the replica called name, creates it if it does not exist, and fills *recovered,
 * which the caller clears with oh_recovered_state_clear. A new folder gets a replica id from random. Returns
 * NULL and sets the error if the folder belongs to a replica of another name, is in use by another process,
 * is corrupt or cannot be accessed. Close the storage with oh_file_storage_close.
 */
oh_storage_t *oh_file_storage_open (const char *path, const char *name, oh_random_t *random,
                                    oh_recovered_state_t *recovered, oh_error_t *error);
void oh_file_storage_close (oh_storage_t *storage);
