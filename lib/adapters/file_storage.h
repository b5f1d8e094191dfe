#pragma once

#include "base/error.h"
#include "ports/random.h"
#include "ports/storage.h"

/*
 * Storage of a replica in one data folder:
 *
 *   identity   one record, written when the folder is created
 *   snapshot   one record, replaced by rename
 *   log        one record for each persist request; replaced by rename when a snapshot is stored
 *   lock       held while the storage is open
 *
 * A record that the end of the file cuts off, or whose end is unwritten (zero bytes), was never reported as
 * durable and is removed. Any other damage is OH_ERROR_CODE_CORRUPT: the replica must not run with this
 * folder, and rejoins with an empty one.
 */

/*
 * Opens the data folder, creates it if it does not exist, and fills recovered (oh_recovered_clear). A folder
 * that belongs to a replica of another name is an error. The storage is closed with
 * oh_file_storage_close.
 */
oh_storage_t *oh_file_storage_open (const char *path, const char *name, oh_random_t *random,
                                    oh_recovered_t *recovered, oh_error_t *error);
void oh_file_storage_close (oh_storage_t *storage);
