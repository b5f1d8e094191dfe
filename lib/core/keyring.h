#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"

/*
 * Keys derived from one 32-byte master key by purpose and generation, the seal of messages between the
 * system's processes, and the MAC of flow tokens. A seal authenticates a message and does not encrypt it. Not
 * thread safe: each thread has its own copy.
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
  OH_KEY_TOKEN,    /* MAC of flow tokens */
  OH_KEY_RELAY,    /* datagrams between balancers and agents */
  OH_KEY_CONTROL,  /* control messages between processes */
  OH_KEY_OPERATOR, /* control messages from and to operator tools */
  OH_KEY_PURPOSES, /* number of purposes */
} oh_key_purpose_t;

typedef struct
{
  uint8_t master[OH_MASTER_KEY_BYTES];
  uint32_t generation;                  /* current; generation - 1 and generation + 1 are accepted too */
  uint8_t keys[OH_KEY_PURPOSES][3][16]; /* of generation - 1, generation and generation + 1 */
} oh_keyring_t;

typedef struct
{
  uint8_t bytes[OH_FLOW_ID_BYTES];
} oh_flow_id_t;

/* Names the agent that owns a flow. The MAC covers the flow id and every other field. */
typedef struct
{
  uint64_t service;
  oh_address_t agent;
  uint64_t incarnation;     /* of the agent */
  uint64_t offer;           /* number of the agent's offer that the token came from */
  uint32_t flow_generation; /* 1 for a new flow; grows with each new owner */
  uint32_t key_generation;  /* of the key that signed the token */
  uint8_t mac[OH_MAC_BYTES];
} oh_token_t;

/* The keyring starts at generation 1. */
void oh_keyring_init (oh_keyring_t *keyring, const uint8_t master[OH_MASTER_KEY_BYTES]);

/* Wipes the keys. */
void oh_keyring_finish (oh_keyring_t *keyring);

/* Initialises the keyring with the master key in a file, 64 hexadecimal digits. Returns false and sets the
 * error if the file cannot be read or holds anything else. */
bool oh_keyring_load (oh_keyring_t *keyring, const char *path, oh_error_t *error);

/* Moves to a higher generation; a lower or equal one is ignored. */
void oh_keyring_advance (oh_keyring_t *keyring, uint32_t generation);

/*
 * Writes the seal header, a MAC and the key generation, in front of a body: buffer has OH_SEAL_HEADER_BYTES
 * bytes for the header, then body_length bytes of body.
 */
void oh_seal (const oh_keyring_t *keyring, oh_key_purpose_t purpose, uint8_t *buffer, size_t body_length);

/* Verifies the seal of a message; on success *body points into buffer. Fails with OH_ERROR_CODE_TRUNCATED,
 * OH_ERROR_CODE_UNKNOWN_GENERATION or OH_ERROR_CODE_BAD_MAC. */
bool oh_unseal (const oh_keyring_t *keyring, oh_key_purpose_t purpose, const uint8_t *buffer, size_t length,
                const uint8_t **body, size_t *body_length, oh_error_t *error);

/*
 * Advances to the key generation of a message if that is later than the keyring's and the seal is valid under
 * the same master key; returns false otherwise. A process that missed rotations, or has just started, catches
 * up in this way.
 */
bool oh_keyring_follow (oh_keyring_t *keyring, oh_key_purpose_t purpose, const uint8_t *buffer,
                        size_t length);

/* Initialises other with the same master key and the key generation in the seal header of a message, whose
 * MAC is not verified. Returns false if the message is too short. Wipe other with oh_keyring_finish. */
bool oh_keyring_init_for_message (const oh_keyring_t *keyring, const uint8_t *buffer, size_t length,
                                  oh_keyring_t *other);

/* Sets key_generation and mac of a token for the flow. */
void oh_token_sign (const oh_keyring_t *keyring, const oh_flow_id_t *flow, oh_token_t *token);

/* False if the MAC does not match or the key generation is neither the current nor an adjacent one. */
bool oh_token_verify (const oh_keyring_t *keyring, const oh_flow_id_t *flow, const oh_token_t *token);

/* 64-bit identifier of a service: XXH64 of its name with seed 0. */
uint64_t oh_service_id (const char *name);

/* Digest of a chunk: XXH64 seeded with the digest of the chunk before it, 0 for the first. */
uint64_t oh_chunk_digest (uint64_t previous, const void *data, size_t length);
