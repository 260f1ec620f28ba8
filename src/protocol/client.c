/**
 * @file client.c
 * Parses clients' requests and builds the responses that the router itself
 * sends.
 */
#include "protocol/client.h"
#include "state/err.h"
#include <ctype.h>
#include <jansson.h>
#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#define BEARER_PREFIX   "Bearer "
#define SERVICES_PREFIX "/services/"
#define BYTES_PER_TOKEN 4 /* estimate of a prompt's tokens */

static void hash_text (size_t *bytes, XXH3_state_t *hash, const json_t *text);
static const char *reason_phrase (uint16_t status);

/* Hop-by-hop headers, headers that the router sets itself, and credentials. */
static const char *const unforwarded_headers[] = {
  "Authorization", "Connection",        "Content-Length",   "Expect",
  "Host",          "Keep-Alive",        "Proxy-Connection", "TE",
  "Trailer",       "Transfer-Encoding", "Upgrade",
};

void
client_parse_path (const char *path, struct client_path *out)
{
  const char *name;
  size_t length;

  out->target = CLIENT_TARGET_UNKNOWN;
  out->upstream_path = path;
  if (strcmp (path, "/v1/chat/completions") == 0
      || strcmp (path, "/v1/completions") == 0)
    out->target = CLIENT_TARGET_ENGINE;
  else if (strcmp (path, "/healthz") == 0)
    out->target = CLIENT_TARGET_HEALTHZ;
  else if (strcmp (path, "/readyz") == 0)
    out->target = CLIENT_TARGET_READYZ;
  if (strncmp (path, SERVICES_PREFIX, strlen (SERVICES_PREFIX)) != 0)
    return;
  name = path + strlen (SERVICES_PREFIX);
  length = strcspn (name, "/");
  if (length == 0 || length >= sizeof (out->service))
    return;
  memcpy (out->service, name, length);
  out->service[length] = '\0';
  out->upstream_path = name[length] == '\0' ? "/" : name + length;
  out->target = CLIENT_TARGET_PLAIN;
}

bool
client_request_id_valid (const char *id)
{
  size_t i;

  for (i = 0; id[i] != '\0'; i++)
    if (i == CLIENT_REQUEST_ID_SIZE - 1
        || (!isalnum ((unsigned char)id[i]) && strchr ("._:-", id[i]) == NULL))
      return false;
  return i > 0;
}

int
client_key_digest (const char *authorization,
                   uint8_t digest[CATALOG_KEY_HASH_SIZE])
{
  const char *key;

  if (authorization == NULL
      || strncasecmp (authorization, BEARER_PREFIX, strlen (BEARER_PREFIX))
             != 0)
    return ERR_AUTH;
  key = authorization + strlen (BEARER_PREFIX);
  if (*key == '\0')
    return ERR_AUTH;
  SHA256 ((const unsigned char *)key, strlen (key), digest);
  return 0;
}

int
client_parse_prompt (const char *body, size_t size, struct client_prompt *out)
{
  json_t *root = json_loadb (body, size, JSON_REJECT_DUPLICATES, NULL);
  XXH3_state_t *hash = XXH3_createState ();
  const json_t *messages;
  size_t bytes = 0;
  size_t i;
  int error = ERR_INVALID;

  if (json_is_object (root) && hash != NULL)
    {
      XXH3_64bits_reset (hash);
      messages = json_object_get (root, "messages");
      hash_text (&bytes, hash, json_object_get (root, "prompt"));
      for (i = 0; i < json_array_size (messages); i++)
        hash_text (&bytes, hash,
                   json_object_get (json_array_get (messages, i), "content"));
      out->input_tokens = bytes / BYTES_PER_TOKEN;
      if (out->input_tokens == 0)
        out->input_tokens = 1;
      out->prefix_hash = bytes == 0 ? 0 : XXH3_64bits_digest (hash);
      error = 0;
    }
  XXH3_freeState (hash);
  json_decref (root);
  return error;
}

/* Adds a text's length to `bytes`, and to the hash the part of it that lies in
   the first CLIENT_PREFIX_BYTES of the prompt. */
static void
hash_text (size_t *bytes, XXH3_state_t *hash, const json_t *text)
{
  size_t length = json_string_length (text);
  size_t prefix_left
      = *bytes < CLIENT_PREFIX_BYTES ? CLIENT_PREFIX_BYTES - *bytes : 0;

  if (length == 0)
    return;
  XXH3_64bits_update (hash, json_string_value (text),
                      length < prefix_left ? length : prefix_left);
  *bytes += length;
}

bool
client_header_is_forwarded (const char *name)
{
  static const char own_prefix[] = "Cherrylanding-";
  size_t i;

  if (strncasecmp (name, own_prefix, sizeof (own_prefix) - 1) == 0)
    return false;
  for (i = 0;
       i < sizeof (unforwarded_headers) / sizeof (unforwarded_headers[0]); i++)
    if (strcasecmp (name, unforwarded_headers[i]) == 0)
      return false;
  return true;
}

char *
client_refusal_body (enum refusal refusal, enum verdict verdict,
                     const char *request_id)
{
  const struct refusal_info *info = refusal_info (refusal);
  json_t *root = json_pack ("{s:{s:s,s:s,s:s,s:s}}", "error", "code",
                            info->code, "message", info->message, "verdict",
                            verdict_name (verdict), "request_id", request_id);
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  return text;
}

void
client_refusal_response (struct evbuffer *out, enum refusal refusal,
                         const char *request_id)
{
  const struct refusal_info *info = refusal_info (refusal);
  char *body = client_refusal_body (refusal, VERDICT_NOT_RUN, request_id);

  if (body == NULL)
    return;
  evbuffer_add_printf (out,
                       "HTTP/1.1 %u %s\r\n"
                       "Content-Type: application/json\r\n"
                       "Content-Length: %zu\r\n"
                       "Connection: close\r\n" CLIENT_HEADER_VERDICT
                       ": not-run\r\n" CLIENT_HEADER_REQUEST_ID ": %s\r\n",
                       info->status, reason_phrase (info->status),
                       strlen (body), request_id);
  if (info->retry_after_s > 0)
    evbuffer_add_printf (out, "Retry-After: %u\r\n", info->retry_after_s);
  evbuffer_add_printf (out, "\r\n%s", body);
  free (body);
}

static const char *
reason_phrase (uint16_t status)
{
  switch (status)
    {
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Service Unavailable";
    }
}
