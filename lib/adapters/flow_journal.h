#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counters.h"
#include "core/segment.h"

/*
 * Owners of flows on disk, for a balancer that is killed and started again while its flows live on. Nothing
 * is synced: a loss of power ends the flows, too. What was written last, or was damaged, may be missing after
 * a start; such flows are searched.
 *
 * A thread of its own opens, reads and writes the file, so that a slow disk delays nothing else; while it is
 * too slow, records are dropped. Runs in the default main context.
 */

enum
{
  OH_FLOW_JOURNAL_MIN_RECORDS = 16384, /* the file is not rewritten before it has these */
  OH_FLOW_JOURNAL_GROWTH = 4,          /* times the records after the last rewriting */
  OH_FLOW_JOURNAL_BATCHES_MAX = 64,    /* that wait for the disk */
  OH_FLOW_JOURNAL_STOP_MS = 200,       /* for the disk, at the end of the process */
};

typedef struct
{
  oh_counter_t written;
  oh_counter_t dropped;  /* records that the disk was too slow for, or refused */
  oh_counter_t restored; /* records found at the start */
} oh_flow_journal_counters_t;

typedef struct oh_flow_journal_writer oh_flow_journal_writer_t;

typedef void (*oh_flow_journal_restore_t) (void *data, const oh_flow_key_t *key, oh_address_t owner);

typedef struct
{
  oh_flow_journal_writer_t *writer; /* shared with its thread; NULL without a folder */
  oh_flow_journal_restore_t restore;
  void *data;
  GByteArray *batch;
  bool rewrites;    /* the batch replaces the file */
  unsigned records; /* in the file */
  unsigned limit;   /* of records, before the file is rewritten */
  oh_flow_journal_counters_t counters;
} oh_flow_journal_t;

/*
 * Begins to open the journal in the folder, which is created if necessary, and calls back for each record in
 * it, the oldest first. A folder of NULL or "" gives a journal that keeps nothing, and so does one that
 * cannot be used, which is logged.
 */
void oh_flow_journal_init (oh_flow_journal_t *journal, const char *folder, oh_flow_journal_restore_t restore,
                           void *data);
void oh_flow_journal_finish (oh_flow_journal_t *journal);
void oh_flow_journal_add_counters (oh_flow_journal_t *journal, oh_counters_t *counters);

void oh_flow_journal_add (oh_flow_journal_t *journal, const oh_flow_key_t *key, oh_address_t owner);

/* Hands what was added to the disk. Returns true if the file has grown so much that the caller has to add all
 * flows again: they will replace it. */
bool oh_flow_journal_flush (oh_flow_journal_t *journal);
