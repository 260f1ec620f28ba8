/**
 * @file platform_http.h
 * Paths and JSON of the key-value service's HTTP interface.
 */
#ifndef PROTOCOL_PLATFORM_HTTP_H
#define PROTOCOL_PLATFORM_HTTP_H

#include "protocol/platform.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLATFORM_HTTP_INDEX "X-Index" /**< header with the store's index */
#define PLATFORM_HTTP_KEY   "/v1/kv/" /**< path before a key */

/** Items of a response; owns their texts. */
struct platform_http_items
{
  struct platform_item *items;
  size_t count;
};

/** Reads `[{"Key", "Value", "ModifyIndex"}]`, values in base 64.
    @return 0, ERR_PROTOCOL or ERR_NO_MEMORY, with nothing to release. */
int platform_http_decode (const char *text, size_t size,
                          struct platform_http_items *items);
void platform_http_items_finish (struct platform_http_items *items);

/** Reads `true` or `false`. @return 0 or ERR_PROTOCOL. */
int platform_http_decode_bool (const char *text, size_t size, bool *value);

/** Reads `{"ID": "..."}` of a session. @return 0 or ERR_PROTOCOL. */
int platform_http_decode_session (const char *text, size_t size, char *id,
                                  size_t id_size);

/** Writes PLATFORM_HTTP_KEY, the key with its unsafe bytes escaped, and
    `query`. @return 0 or ERR_TOO_LARGE. */
int platform_http_path (char *out, size_t size, const char *key,
                        const char *query);

#endif
