/**
 * @file kvstore_codec.h
 * Paths and JSON documents of the key-value store's HTTP API.
 */
#ifndef PROTOCOL_KVSTORE_CODEC_H
#define PROTOCOL_KVSTORE_CODEC_H

#include "protocol/kvstore.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KVSTORE_CODEC_INDEX_HEADER                                            \
  "X-Index" /**< response header with the store's index */
#define KVSTORE_CODEC_KEY_PATH "/v1/kv/" /**< path prefix of a key */

#define KVSTORE_CODEC_BAD_VALUE_SIZE 161 /**< bytes */

/** Items of a response; owns their keys and values. */
struct kvstore_codec_items
{
  struct kvstore_item *items;
  size_t count;
  const char *bad_field; /**< after ERR_PROTOCOL; "body" if it is no JSON */
  char bad_value[KVSTORE_CODEC_BAD_VALUE_SIZE];
};

/** Decodes `[{"Key", "Value", "ModifyIndex"}]` with values in base64.
    @return 0, ERR_PROTOCOL or ERR_NO_MEMORY; after an error there is nothing
    to release. */
int kvstore_codec_decode (const char *text, size_t size,
                          struct kvstore_codec_items *items);
void kvstore_codec_items_finish (struct kvstore_codec_items *items);

/** Decodes `true` or `false`. @return 0 or ERR_PROTOCOL. */
int kvstore_codec_decode_bool (const char *text, size_t size, bool *value);

/** Decodes a session's `{"ID": "..."}`. @return 0 or ERR_PROTOCOL. */
int kvstore_codec_decode_session (const char *text, size_t size, char *id,
                                  size_t id_size);

/** Writes KVSTORE_CODEC_KEY_PATH, the percent-encoded key, and `query`.
    @return 0 or ERR_TOO_LARGE. */
int kvstore_codec_path (char *out, size_t size, const char *key,
                        const char *query);

#endif
