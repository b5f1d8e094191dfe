#pragma once

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/settings.h"

/*
 * Segments: the datagrams of flows whose ends do not speak the caller protocol. A flow resembles a TCP
 * connection. The cores see the decoded header; the bytes are forwarded as they are.
 */

enum
{
  OH_SEGMENT_MAX_BYTES = 1232, /* header and data */
  OH_SEGMENT_RESET_MAX_BYTES = 64,
};

/* Both ends of a flow, from the caller's side. */
typedef struct
{
  oh_address_t caller;
  oh_address_t route;
} oh_flow_key_t;

typedef struct
{
  oh_address_t from;
  oh_address_t to;
  bool syn;
  bool ack;
  bool fin;
  bool rst;
  bool returned; /* the upstream does not hold the flow, or cannot accept it, and gives the segment back */
  uint32_t sequence;
  uint32_t acknowledged; /* of a caller's first segment: the number of earlier copies */
  unsigned length;       /* of the data */
} oh_segment_t;

typedef struct oh_segment_format oh_segment_format_t;

/* Translation between bytes and segments; provided by an adapter. */
typedef struct
{
  /* Returns false if the bytes are no segment: too short, or with a length that does not fit. */
  bool (*decode) (const oh_segment_format_t *format, const uint8_t *bytes, size_t length,
                  oh_segment_t *segment);

  /* Writes a reset of the flow to its caller, which was last heard to acknowledge the given number. Returns
   * the length. */
  size_t (*make_reset) (const oh_segment_format_t *format, const oh_flow_key_t *key, uint32_t sequence,
                        uint8_t buffer[OH_SEGMENT_RESET_MAX_BYTES]);

  /* Removes from a returned segment what the upstream marked it with, so that it can go to another one. */
  void (*restore) (const oh_segment_format_t *format, uint8_t *bytes, size_t length);
} oh_segment_format_ops_t;

struct oh_segment_format
{
  const oh_segment_format_ops_t *ops;
};

/* "caller=... route=... ", then what the format gives; cut to the size. Returns pairs. */
const char *oh_flow_key_pairs (const oh_flow_key_t *key, char *pairs, size_t size, const char *format,
                               va_list arguments);

/* For GHashTable. */
unsigned oh_flow_key_hash (const void *key);
int oh_flow_key_equal (const void *a, const void *b);

/* The same flow has the same number at every process. */
uint64_t oh_flow_key_digest (const oh_flow_key_t *key);
