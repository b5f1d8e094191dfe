#pragma once

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/settings.h"

/*
 * Segments: datagrams of flows whose endpoints do not speak the caller protocol. A flow resembles a TCP
 * connection between a caller and a route: it opens with a SYN, which the upstream answers with a SYN-ACK,
 * and ends with a FIN or RST. The cores work on the decoded header and forward the bytes unchanged.
 */

enum
{
  OH_SEGMENT_MAX_BYTES = 1232, /* header and data */
  OH_SEGMENT_RESET_MAX_BYTES = 64,
};

/* Identifies a flow: the caller and the route that it addresses. */
typedef struct
{
  oh_address_t caller;
  oh_address_t route;
} oh_flow_key_t;

/* The decoded header of a segment. */
typedef struct
{
  oh_address_t from;
  oh_address_t to;
  bool syn;
  bool ack;
  bool fin;
  bool rst;
  bool returned; /* sent back by an upstream that does not have the flow, or cannot accept it */
  uint32_t sequence;
  uint32_t acknowledged; /* of a SYN: the number of earlier transmissions */
  unsigned length;       /* of the data, in bytes */
} oh_segment_t;

typedef struct oh_segment_format oh_segment_format_t;

/* Wire format of segments; provided by an adapter. */
typedef struct
{
  /* Returns false if the bytes are not a segment: too short or too long, with a length field that does not
   * match, or with a port 0. */
  bool (*decode) (const oh_segment_format_t *format, const uint8_t *bytes, size_t length,
                  oh_segment_t *segment);

  /* Writes a reset from the route to the caller into the buffer. sequence is the number that the caller
   * acknowledged last. Returns the length in bytes. */
  size_t (*make_reset) (const oh_segment_format_t *format, const oh_flow_key_t *key, uint32_t sequence,
                        uint8_t buffer[OH_SEGMENT_RESET_MAX_BYTES]);

  /* Clears the mark that the upstream set in a returned segment, so that another upstream accepts it. */
  void (*clear_returned) (const oh_segment_format_t *format, uint8_t *bytes, size_t length);
} oh_segment_format_ops_t;

struct oh_segment_format
{
  const oh_segment_format_ops_t *ops;
};

/* Formats "caller=... route=... " followed by the formatted arguments, as key=value pairs for the log;
 * truncates them to size bytes. Returns pairs. */
const char *oh_flow_key_pairs (const oh_flow_key_t *key, char *pairs, size_t size, const char *format,
                               va_list arguments);

/* Hash and equality functions for a GHashTable. */
unsigned oh_flow_key_hash (const void *key);
int oh_flow_key_equal (const void *a, const void *b);

/* Hash of the key that is the same in every process. */
uint64_t oh_flow_key_digest (const oh_flow_key_t *key);
