#include <string.h>

#include "core/codec.h"
#include "wire/raft.pb-c.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Decodes the input as a control message, as it is and with a valid seal, and the Raft message in it. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const uint8_t master_key[OH_MASTER_KEY_BYTES] = { 1 };
  oh_keyring_t keyring;
  Oh__Control *message;
  g_autofree uint8_t *sealed = g_malloc (OH_SEAL_HEADER_BYTES + size);

  oh_keyring_init (&keyring, master_key);
  message = oh_control_decode (&keyring, OH_KEY_CONTROL, data, size, NULL);
  if (message != NULL)
    oh__control__free_unpacked (message, NULL);
  if (size > 0)
    memcpy (sealed + OH_SEAL_HEADER_BYTES, data, size);
  oh_seal (&keyring, OH_KEY_CONTROL, sealed, size);
  message = oh_control_decode (&keyring, OH_KEY_CONTROL, sealed, OH_SEAL_HEADER_BYTES + size, NULL);
  if (message != NULL && message->body_case == OH__CONTROL__BODY_RAFT)
    {
      Oh__RaftMessage *raft = oh__raft_message__unpack (NULL, message->raft.len, message->raft.data);

      if (raft != NULL)
        oh__raft_message__free_unpacked (raft, NULL);
    }
  if (message != NULL)
    oh__control__free_unpacked (message, NULL);
  oh_keyring_finish (&keyring);
  return 0;
}
