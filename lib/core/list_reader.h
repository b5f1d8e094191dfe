#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "wire/control.pb-c.h"

/*
 * A node's position in the list of nodes of one control replica. A replica sends the changes after what it
 * has sent before; the reader finds out that a message between them was lost, and asks for what is missing.
 */

typedef struct
{
  uint64_t list_epoch; /* with list_sequence: up to where the list was received; 0: nothing yet */
  uint64_t list_sequence;
  bool incomplete; /* a message was lost */
  uint64_t epoch;  /* with sequence: the last view, for replicas of earlier releases; 0: none */
  uint64_t sequence;
} oh_list_reader_t;

/* Tells the replica in the poll what has been received. */
void oh_list_reader_fill_poll (const oh_list_reader_t *reader, Oh__Poll *poll);

/*
 * Advances the reader to the message. Returns false if the message follows one that was lost: then it cannot
 * be merged, and the node should poll soon.
 */
bool oh_list_reader_accept (oh_list_reader_t *reader, const Oh__View *message);

/* The node has discarded what the replica listed. */
void oh_list_reader_reset (oh_list_reader_t *reader);
