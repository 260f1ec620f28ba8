/**
 * @file request_digest.c
 * Digest of a request's method, host, path, customer and body.
 */
#include "state/request_digest.h"
#include <ctype.h>
#include <openssl/evp.h>
#include <string.h>

static void add_bytes (EVP_MD_CTX *context, const void *bytes, size_t size);
static void add_text (EVP_MD_CTX *context, const char *text);
static void add_host (EVP_MD_CTX *context, const char *host);

uint64_t
request_digest (const struct request_digest_input *input)
{
  EVP_MD_CTX *context = EVP_MD_CTX_new ();
  unsigned char bytes[EVP_MAX_MD_SIZE] = { 0 };
  uint64_t digest;

  if (context != NULL && EVP_DigestInit_ex (context, EVP_sha256 (), NULL) == 1)
    {
      add_text (context, input->method);
      add_host (context, input->host);
      add_text (context, input->path);
      add_bytes (context, &input->customer_id, sizeof input->customer_id);
      add_bytes (context, input->body, input->body_size);
      if (input->body_size == 0)
        {
          add_text (context, input->model);
          add_bytes (context, input->part_ids,
                     input->part_count * sizeof *input->part_ids);
        }
      EVP_DigestFinal_ex (context, bytes, NULL);
    }
  EVP_MD_CTX_free (context);
  memcpy (&digest, bytes, sizeof digest);
  return digest == 0 ? 1 : digest;
}

/* The size keeps bytes of one field from being read as those of the next. */
static void
add_bytes (EVP_MD_CTX *context, const void *bytes, size_t size)
{
  const uint64_t prefix = size;

  EVP_DigestUpdate (context, &prefix, sizeof prefix);
  EVP_DigestUpdate (context, bytes, size);
}

static void
add_text (EVP_MD_CTX *context, const char *text)
{
  add_bytes (context, text, text == NULL ? 0 : strlen (text));
}

static void
add_host (EVP_MD_CTX *context, const char *host)
{
  char name[256];
  size_t size = host == NULL ? 0 : strcspn (host, ":");
  size_t i;

  if (size > sizeof name)
    size = sizeof name;
  for (i = 0; i < size; i++)
    name[i] = (char)tolower ((unsigned char)host[i]);
  add_bytes (context, name, size);
}
