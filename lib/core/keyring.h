#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"

/*
 * Keys derived from one 32-byte master key by purpose and generation, the seal of messages between the
 * system's processes, and the MAC of route tokens. Not thread safe: each task has its own copy.
 */

enum
{
  OH_MASTER_KEY_BYTES = 32,
  OH_MAC_BYTES = 16,
  OH_SEAL_HEADER_BYTES = OH_MAC_BYTES + 4,
  OH_FLOW_ID_BYTES = 16,
};

typedef enum
{
  OH_KEY_TOKEN,
  OH_KEY_RELAY,
  OH_KEY_CONTROL,
  OH_KEY_OPERATOR,
  OH_KEY_PURPOSES,
} oh_key_purpose_t;

typedef struct
{
  uint8_t master[OH_MASTER_KEY_BYTES];
  uint32_t generation; /* current; generation - 1 and generation + 1 are accepted too */
  uint8_t keys[OH_KEY_PURPOSES][3][16];
} oh_keyring_t;

typedef struct
{
  uint8_t bytes[OH_FLOW_ID_BYTES];
} oh_flow_id_t;

typedef struct
{
  uint64_t service;
  oh_address_t agent;
  uint64_t incarnation;
  uint64_t offer;
  uint32_t flow_generation;
  uint32_t key_generation;
  uint8_t mac[OH_MAC_BYTES];
} oh_token_t;

/* The keyring starts at generation 1. */
void oh_keyring_init (oh_keyring_t *keyring, const uint8_t master[OH_MASTER_KEY_BYTES]);

/* Wipes the keys. */
void oh_keyring_finish (oh_keyring_t *keyring);

/* Reads the master key, 64 hexadecimal digits, from a file. */
bool oh_keyring_load (oh_keyring_t *keyring, const char *path, oh_error_t *error);

/* Moves to a higher generation; a lower or equal one is ignored. */
void oh_keyring_advance (oh_keyring_t *keyring, uint32_t generation);

/*
 * Writes the seal header for the body that follows it: buffer holds OH_SEAL_HEADER_BYTES free bytes, then
 * body_length bytes.
 */
void oh_seal (const oh_keyring_t *keyring, oh_key_purpose_t purpose, uint8_t *buffer, size_t body_length);

/* Checks a sealed buffer; on success *body points into it. */
bool oh_unseal (const oh_keyring_t *keyring, oh_key_purpose_t purpose, const uint8_t *buffer, size_t length,
                const uint8_t **body, size_t *body_length, oh_error_t *error);

/*
 * Advances to the generation of a message that was sealed with a later one of the same master key. A process
 * that missed rotations, or has just started, catches up in this way. Returns false if the message is not
 * such a one.
 */
bool oh_keyring_follow (oh_keyring_t *keyring, oh_key_purpose_t purpose, const uint8_t *buffer,
                        size_t length);

/* Fills a keyring of the same master key with the generation that the message names. */
bool oh_keyring_of_message (const oh_keyring_t *keyring, const uint8_t *buffer, size_t length,
                            oh_keyring_t *other);

/* Sets key_generation and mac of the token for the flow. */
void oh_token_sign (const oh_keyring_t *keyring, const oh_flow_id_t *flow, oh_token_t *token);

bool oh_token_verify (const oh_keyring_t *keyring, const oh_flow_id_t *flow, const oh_token_t *token);

/* 64-bit identifier of a service, XXH64 of its name. */
uint64_t oh_service_id (const char *name);

/* Digest of a chunk, chained to the digest of the chunk before it (0 before the first). */
uint64_t oh_chunk_digest (uint64_t previous, const void *data, size_t length);
