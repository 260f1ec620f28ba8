/**
 * @file admin_auth.c
 * Authenticates requests to the admin API by their bearer token.
 */
#include "admin_int.h"
#include "protocol/settings_int.h"
#include <event2/keyvalq_struct.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <string.h>

#define BEARER "Bearer "

/* Does not stop at a match, so that the time taken does not depend on which
   token matches. */
const struct settings_token *
admin_auth (const struct settings_router *settings,
            struct evhttp_request *http)
{
  const char *header = evhttp_find_header (
      evhttp_request_get_input_headers (http), "Authorization");
  const struct settings_token *found = NULL;
  uint8_t digest[CATALOG_KEY_HASH_SIZE];
  uint8_t known_digest[CATALOG_KEY_HASH_SIZE];
  uint32_t i;

  if (header == NULL || strncasecmp (header, BEARER, strlen (BEARER)) != 0)
    return NULL;
  header += strlen (BEARER);
  if (!EVP_Digest (header, strlen (header), digest, NULL, EVP_sha256 (), NULL))
    return NULL;
  for (i = 0; i < settings->tokens_count; i++)
    if (settings_parse_digest (settings->tokens[i].token_sha256, known_digest)
            == 0
        && CRYPTO_memcmp (digest, known_digest, sizeof digest) == 0)
      found = &settings->tokens[i];
  return found;
}
