#include "core/segment.h"

#include <glib.h>
#include <xxhash.h>

uint64_t
oh_flow_key_digest (const oh_flow_key_t *key)
{
  const uint32_t words[] = {
    key->caller.ipv4,
    key->route.ipv4,
    (uint32_t)key->caller.port << 16 | key->route.port,
  };

  return XXH64 (words, sizeof words, 0);
}

unsigned
oh_flow_key_hash (const void *key)
{
  return (unsigned)oh_flow_key_digest (key);
}

int
oh_flow_key_equal (const void *a, const void *b)
{
  const oh_flow_key_t *left = a;
  const oh_flow_key_t *right = b;

  return oh_address_equal (left->caller, right->caller) && oh_address_equal (left->route, right->route);
}

const char *
oh_flow_key_pairs (const oh_flow_key_t *key, char *pairs, size_t size, const char *format, va_list arguments)
{
  char caller[OH_ADDRESS_TEXT_BYTES];
  char route[OH_ADDRESS_TEXT_BYTES];
  const int length = g_snprintf (pairs, size, "caller=%s route=%s ", oh_address_format (key->caller, caller),
                                 oh_address_format (key->route, route));

  g_vsnprintf (pairs + length, size - (size_t)length, format, arguments);
  return pairs;
}
