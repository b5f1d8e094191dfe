#include <string.h>

#include "core/codec.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Decodes the input as a relay, as it is and with a valid seal, as from a process that holds the key. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const uint8_t master_key[OH_MASTER_KEY_BYTES] = { 1 };
  static oh_arena_t arena;
  oh_keyring_t keyring;
  g_autofree uint8_t *sealed = g_malloc (OH_SEAL_HEADER_BYTES + size);

  oh_keyring_init (&keyring, master_key);
  oh_arena_init (&arena);
  oh_relay_decode (&arena, &keyring, data, size, NULL);
  if (size > 0)
    memcpy (sealed + OH_SEAL_HEADER_BYTES, data, size);
  oh_seal (&keyring, OH_KEY_RELAY, sealed, size);
  oh_relay_decode (&arena, &keyring, sealed, OH_SEAL_HEADER_BYTES + size, NULL);
  oh_keyring_finish (&keyring);
  return 0;
}
