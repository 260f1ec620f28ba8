/**
 * @file platform_http.h
 * Paths and JSON documents of the key-value store's HTTP API.
 */
#ifndef PROTOCOL_PLATFORM_HTTP_H
#define PROTOCOL_PLATFORM_HTTP_H

#include "protocol/platform.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLATFORM_HTTP_INDEX                                                   \
  "X-Index" /**< response header with the store's index */
#define PLATFORM_HTTP_KEY "/v1/kv/" /**< path prefix of a key */

/** Items of a response; owns their keys and values. */
struct platform_http_items
{
  struct platform_item *items;
  size_t count;
};

/** Decodes `[{"Key", "Value", "ModifyIndex"}]` with values in base64.
    @return 0, ERR_PROTOCOL or ERR_NO_MEMORY; after an error there is nothing
    to release. */
int platform_http_decode (const char *text, size_t size,
                          struct platform_http_items *items);
void platform_http_items_finish (struct platform_http_items *items);

/** Decodes `true` or `false`. @return 0 or ERR_PROTOCOL. */
int platform_http_decode_bool (const char *text, size_t size, bool *value);

/** Decodes a session's `{"ID": "..."}`. @return 0 or ERR_PROTOCOL. */
int platform_http_decode_session (const char *text, size_t size, char *id,
                                  size_t id_size);

/** Writes PLATFORM_HTTP_KEY, the percent-encoded key, and `query`.
    @return 0 or ERR_TOO_LARGE. */
int platform_http_path (char *out, size_t size, const char *key,
                        const char *query);

#endif
