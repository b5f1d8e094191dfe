#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counters.h"
#include "core/segment.h"

/*
 * Journal of the owners of flows on disk, for a balancer that is killed and restarted while its flows stay
 * open. After a loss of power the flows are gone, too, and their owners can say so: records are synced within
 * OH_FLOW_JOURNAL_SYNC_INTERVAL_MS. Records that were written last or that are damaged may be missing after a
 * restart; the balancer then searches for the owners of these flows.
 *
 * A separate thread opens, reads and writes the file, so that a slow disk delays nothing else; while too many
 * batches wait for it, new records are dropped. The functions and the callback run in the default main
 * context.
 */

enum
{
  OH_FLOW_JOURNAL_REWRITE_MIN_RECORDS = 16384, /* a file with fewer records is not rewritten */
  OH_FLOW_JOURNAL_GROWTH_FACTOR = 4,       /* growth since the last rewrite at which the file is rewritten */
  OH_FLOW_JOURNAL_QUEUED_BATCHES_MAX = 64, /* batches that wait for the thread */
  OH_FLOW_JOURNAL_REPAIR_FLUSHES = 20,     /* between attempts to write all flows after a write has failed */
  OH_FLOW_JOURNAL_SYNC_INTERVAL_MS = 500,  /* at least, between two syncs of the file */
  OH_FLOW_JOURNAL_STOP_TIMEOUT_MS = 200,   /* how long oh_flow_journal_finish waits for the thread */
};

typedef struct
{
  oh_counter_t written;  /* records written to the file */
  oh_counter_t dropped;  /* records that the disk was too slow for, or whose write failed */
  oh_counter_t restored; /* records found at the start */
  oh_counter_t syncs;    /* of the file */
} oh_flow_journal_counters_t;

typedef struct oh_flow_journal_writer oh_flow_journal_writer_t;

/* Called for each valid record of the file at the start, the oldest first. */
typedef void (*oh_flow_journal_restore_t) (void *data, const oh_flow_key_t *key, oh_address_t owner);

typedef struct
{
  oh_flow_journal_writer_t *writer; /* shared with its thread; NULL without a folder */
  oh_flow_journal_restore_t restore;
  void *data;
  GByteArray *batch;        /* records that were added after the last flush */
  bool batch_replaces_file; /* otherwise it is appended */
  unsigned records;         /* in the file and the batch, those that were dropped included */
  unsigned
    flushes_incomplete; /* since the last attempt to write all flows, while some are missing in the file */
  unsigned rewrite_threshold; /* of records, at which the file is rewritten */
  oh_flow_journal_counters_t counters;
} oh_flow_journal_t;

/*
 * Starts to open the journal in the folder, which is created if necessary, and calls restore for the records
 * in it from the main context. With a folder of NULL or "" the journal stores nothing. The same holds for a
 * folder that cannot be used, which is logged.
 */
void oh_flow_journal_init (oh_flow_journal_t *journal, const char *folder, oh_flow_journal_restore_t restore,
                           void *data);

/* Hands the last batch to the thread and waits a limited time for it to be written. */
void oh_flow_journal_finish (oh_flow_journal_t *journal);
void oh_flow_journal_add_counters (oh_flow_journal_t *journal, oh_counters_t *counters);

/* Adds the owner of a flow to the batch. */
void oh_flow_journal_add (oh_flow_journal_t *journal, const oh_flow_key_t *key, oh_address_t owner);

/*
 * Updates the counters and hands the batch to the thread, or drops it while too many batches wait; a batch
 * that replaces the file is then kept for a later flush. Returns true if the file has grown so much that it
 * is to be rewritten, or some time after a write has failed: the caller then adds all present flows again,
 * and the next batch replaces the file.
 */
bool oh_flow_journal_flush (oh_flow_journal_t *journal);
