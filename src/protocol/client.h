/**
 * @file client.h
 * The client side of the HTTP interface: paths, API keys, request IDs,
 * prompts, and the responses that the router itself sends.
 */
#ifndef PROTOCOL_CLIENT_H
#define PROTOCOL_CLIENT_H

#include "state/catalog.h"
#include "state/refusal.h"
#include "state/verdict.h"
#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CLIENT_REQUEST_ID_SIZE 65 /**< bytes of a request ID, with NUL */
#define CLIENT_PREFIX_BYTES                                                   \
  256 /**< first bytes of a prompt, hashed for placement */

#define CLIENT_HEADER_REQUEST_ID "Cherrylanding-Request-Id"
#define CLIENT_HEADER_PROFILE    "Cherrylanding-Profile"
#define CLIENT_HEADER_VERDICT    "Cherrylanding-Verdict"

/** Target of a request, by its path. */
enum client_target
{
  CLIENT_TARGET_ENGINE, /**< /v1/chat/completions or /v1/completions */
  CLIENT_TARGET_PLAIN,  /**< /services/NAME/... */
  CLIENT_TARGET_HEALTHZ,
  CLIENT_TARGET_READYZ,
  CLIENT_TARGET_UNKNOWN
};

/** A parsed path. */
struct client_path
{
  enum client_target target;
  char service[CATALOG_NAME_SIZE]; /**< set for CLIENT_TARGET_PLAIN */
  const char *upstream_path;       /**< points into the parsed text */
};

/** Properties of an engine request's prompt. */
struct client_prompt
{
  uint64_t input_tokens; /**< input tokens, estimated from the text's bytes */
  uint64_t prefix_hash;  /**< of its first CLIENT_PREFIX_BYTES bytes; 0
                              without any text */
};

void client_parse_path (const char *path, struct client_path *out);

/** Whether an id consists of 1 to 64 letters, digits, `.`, `_`, `:` and
    `-`. */
bool client_request_id_valid (const char *id);

/** SHA-256 of the key in an `Authorization: Bearer KEY` value.
    @return 0 or ERR_AUTH. */
int client_key_digest (const char *authorization,
                       uint8_t digest[CATALOG_KEY_HASH_SIZE]);

/** Reads an engine request's JSON body. @return 0 or ERR_INVALID. */
int client_parse_prompt (const char *body, size_t size,
                         struct client_prompt *out);

/** Whether a header is forwarded, in either direction.  Hop-by-hop headers,
    credentials and `Cherrylanding-` headers are not. */
bool client_header_is_forwarded (const char *name);

/** JSON body of a refusal. @return text to free(), or NULL. */
char *client_refusal_body (enum refusal refusal, enum verdict verdict,
                           const char *request_id);

/** Writes a complete HTTP response with the verdict not-run and
    `Connection: close`. */
void client_refusal_response (struct evbuffer *out, enum refusal refusal,
                              const char *request_id);

#endif
