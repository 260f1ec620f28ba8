/**
 * @file client.h
 * What clients say and are told: paths, keys, request ids, prompts and the
 * responses that the router makes itself.
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

#define CLIENT_REQUEST_ID_SIZE 65  /**< bytes of a request id with its NUL */
#define CLIENT_PREFIX_BYTES    256 /**< of a prompt, for placement */

#define CLIENT_HEADER_REQUEST_ID "Cherrylanding-Request-Id"
#define CLIENT_HEADER_PROFILE    "Cherrylanding-Profile"
#define CLIENT_HEADER_VERDICT    "Cherrylanding-Verdict"

/** What a path asks for. */
enum client_target
{
  CLIENT_ENGINE, /**< /v1/chat/completions or /v1/completions */
  CLIENT_PLAIN,  /**< /services/NAME/... */
  CLIENT_HEALTHZ,
  CLIENT_READYZ,
  CLIENT_UNKNOWN
};

/** A path taken apart. */
struct client_path
{
  enum client_target target;
  char service[CATALOG_NAME_SIZE]; /**< CLIENT_PLAIN */
  const char *rest; /**< path at the upstream, into the argument */
};

/** What the router reads of an engine request. */
struct client_prompt
{
  uint64_t input_units; /**< input tokens, estimated from its bytes */
  uint64_t prefix_hash;
};

void client_parse_path (const char *path, struct client_path *out);

/** 1 to 64 characters of letters, digits, `.`, `_`, `:` and `-`. */
bool client_request_id_valid (const char *id);

/** SHA-256 of the key in an `Authorization: Bearer KEY` value.
    @return 0 or ERR_AUTH. */
int client_key_digest (const char *authorization,
                       uint8_t digest[CATALOG_KEY_HASH_SIZE]);

/** Reads an engine request's JSON body. @return 0 or ERR_INVALID. */
int client_parse_prompt (const char *body, size_t size,
                         struct client_prompt *out);

/** False for headers of one connection or of this protocol, which are not
    passed on in either direction. */
bool client_header_passes (const char *name);

/** JSON body of a refusal. @return text to free(), or NULL. */
char *client_refusal_body (enum refusal refusal, enum verdict verdict,
                           const char *request_id);

/** A whole HTTP response marked not-run that closes the connection. */
void client_refusal_response (struct evbuffer *out, enum refusal refusal,
                              const char *request_id);

#endif
