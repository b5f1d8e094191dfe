#include "core/keyring.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

/* NULL if the generation is neither the current nor an adjacent one. */
static const uint8_t *
find_key (const oh_keyring_t *keyring, oh_key_purpose_t purpose, uint32_t generation)
{
  const int64_t offset = (int64_t)generation - keyring->generation;

  if (offset < -1 || offset > 1)
    return NULL;
  return keyring->keys[purpose][offset + 1];
}

static void
derive_keys (oh_keyring_t *keyring)
{
  for (unsigned purpose = 0; purpose < OH_KEY_PURPOSES; purpose++)
    for (unsigned i = 0; i < 3; i++)
      {
        const uint32_t input[2] = { GUINT32_TO_LE (purpose), GUINT32_TO_LE (keyring->generation + i - 1) };

        crypto_generichash (keyring->keys[purpose][i], sizeof keyring->keys[purpose][i],
                            (const uint8_t *)input, sizeof input, keyring->master, sizeof keyring->master);
      }
}

/* The MAC covers the key generation and the body. */
static void
compute_seal_mac (const uint8_t *key, const uint8_t *buffer, size_t body_length, uint8_t mac[OH_MAC_BYTES])
{
  crypto_shorthash_siphashx24 (mac, buffer + OH_MAC_BYTES, body_length + 4, key);
}

static void
compute_token_mac (const uint8_t *key, const oh_flow_id_t *flow, const oh_token_t *token,
                   uint8_t mac[OH_MAC_BYTES])
{
  /* Fixed layout without padding, little endian. */
  uint8_t input[OH_FLOW_ID_BYTES + 40];
  const uint64_t fields_64[3]
    = { GUINT64_TO_LE (token->service), GUINT64_TO_LE (token->incarnation), GUINT64_TO_LE (token->offer) };
  const uint32_t fields_32[4]
    = { GUINT32_TO_LE (token->agent.ipv4), GUINT32_TO_LE ((uint32_t)token->agent.port),
        GUINT32_TO_LE (token->flow_generation), GUINT32_TO_LE (token->key_generation) };

  memcpy (input, flow->bytes, OH_FLOW_ID_BYTES);
  memcpy (input + OH_FLOW_ID_BYTES, fields_64, sizeof fields_64);
  memcpy (input + OH_FLOW_ID_BYTES + sizeof fields_64, fields_32, sizeof fields_32);
  crypto_shorthash_siphashx24 (mac, input, sizeof input, key);
}

void
oh_keyring_init (oh_keyring_t *keyring, const uint8_t master[OH_MASTER_KEY_BYTES])
{
  memcpy (keyring->master, master, OH_MASTER_KEY_BYTES);
  keyring->generation = 1;
  derive_keys (keyring);
}

void
oh_keyring_finish (oh_keyring_t *keyring)
{
  sodium_memzero (keyring, sizeof *keyring);
}

bool
oh_keyring_load (oh_keyring_t *keyring, const char *path, oh_error_t *error)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) gerror = NULL;
  uint8_t master[OH_MASTER_KEY_BYTES];
  size_t length;
  bool ok;

  if (!g_file_get_contents (path, &text, NULL, &gerror))
    return oh_error_set (error, OH_ERROR_IO, OH_ERROR_CODE_SYSTEM, "failed to read key file: %s",
                         gerror->message);
  g_strchomp (text);
  ok = sodium_hex2bin (master, sizeof master, text, strlen (text), NULL, &length, NULL) == 0
       && length == sizeof master;
  if (ok)
    oh_keyring_init (keyring, master);
  else
    oh_error_set (error, OH_ERROR_SETTINGS, OH_ERROR_CODE_BAD_VALUE,
                  "%s: master key must be %d hexadecimal digits", path, 2 * OH_MASTER_KEY_BYTES);
  sodium_memzero (master, sizeof master);
  sodium_memzero (text, strlen (text));
  return ok;
}

void
oh_keyring_advance (oh_keyring_t *keyring, uint32_t generation)
{
  if (generation <= keyring->generation)
    return;
  keyring->generation = generation;
  derive_keys (keyring);
}

void
oh_seal (const oh_keyring_t *keyring, oh_key_purpose_t purpose, uint8_t *buffer, size_t body_length)
{
  const uint32_t generation = GUINT32_TO_LE (keyring->generation);

  memcpy (buffer + OH_MAC_BYTES, &generation, sizeof generation);
  compute_seal_mac (keyring->keys[purpose][1], buffer, body_length, buffer);
}

bool
oh_unseal (const oh_keyring_t *keyring, oh_key_purpose_t purpose, const uint8_t *buffer, size_t length,
           const uint8_t **body, size_t *body_length, oh_error_t *error)
{
  uint8_t mac[OH_MAC_BYTES];
  uint32_t generation;
  const uint8_t *key;

  if (length < OH_SEAL_HEADER_BYTES)
    return oh_error_set (error, OH_ERROR_DECODE, OH_ERROR_CODE_TRUNCATED,
                         "sealed message of %zu bytes, expected at least %d", length, OH_SEAL_HEADER_BYTES);
  memcpy (&generation, buffer + OH_MAC_BYTES, sizeof generation);
  generation = GUINT32_FROM_LE (generation);
  key = find_key (keyring, purpose, generation);
  if (key == NULL)
    return oh_error_set (error, OH_ERROR_AUTH, OH_ERROR_CODE_UNKNOWN_GENERATION,
                         "message has key generation %u, expected %u or an adjacent one", generation,
                         keyring->generation);
  compute_seal_mac (key, buffer, length - OH_SEAL_HEADER_BYTES, mac);
  if (sodium_memcmp (mac, buffer, OH_MAC_BYTES) != 0)
    return oh_error_set (error, OH_ERROR_AUTH, OH_ERROR_CODE_BAD_MAC, "message MAC does not match");
  *body = buffer + OH_SEAL_HEADER_BYTES;
  *body_length = length - OH_SEAL_HEADER_BYTES;
  return true;
}

bool
oh_keyring_init_for_message (const oh_keyring_t *keyring, const uint8_t *buffer, size_t length,
                             oh_keyring_t *other)
{
  uint32_t generation;

  if (length < OH_SEAL_HEADER_BYTES)
    return false;
  memcpy (&generation, buffer + OH_MAC_BYTES, sizeof generation);
  memcpy (other->master, keyring->master, sizeof other->master);
  other->generation = GUINT32_FROM_LE (generation);
  derive_keys (other);
  return true;
}

bool
oh_keyring_follow (oh_keyring_t *keyring, oh_key_purpose_t purpose, const uint8_t *buffer, size_t length)
{
  oh_keyring_t other;
  const uint8_t *body;
  size_t body_length;
  bool ok;

  if (!oh_keyring_init_for_message (keyring, buffer, length, &other))
    return false;
  ok = other.generation > keyring->generation
       && oh_unseal (&other, purpose, buffer, length, &body, &body_length, NULL);
  if (ok)
    oh_keyring_advance (keyring, other.generation);
  oh_keyring_finish (&other);
  return ok;
}

void
oh_token_sign (const oh_keyring_t *keyring, const oh_flow_id_t *flow, oh_token_t *token)
{
  token->key_generation = keyring->generation;
  compute_token_mac (keyring->keys[OH_KEY_TOKEN][1], flow, token, token->mac);
}

bool
oh_token_verify (const oh_keyring_t *keyring, const oh_flow_id_t *flow, const oh_token_t *token)
{
  const uint8_t *key = find_key (keyring, OH_KEY_TOKEN, token->key_generation);
  uint8_t mac[OH_MAC_BYTES];

  if (key == NULL)
    return false;
  compute_token_mac (key, flow, token, mac);
  return sodium_memcmp (mac, token->mac, OH_MAC_BYTES) == 0;
}

uint64_t
oh_service_id (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

uint64_t
oh_chunk_digest (uint64_t previous, const void *data, size_t length)
{
  return XXH64 (data, length, previous);
}
