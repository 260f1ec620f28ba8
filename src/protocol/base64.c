/**
 * @file base64.c
 * Base64 (RFC 4648), implemented with OpenSSL's EVP block functions.
 */
#include "protocol/base64.h"
#include "state/err.h"
#include <openssl/evp.h>
#include <stdlib.h>

int
base64_decode (const char *text, size_t length, char **value, size_t *size)
{
  size_t padding = 0;
  int decoded;

  while (padding < 2 && padding < length && text[length - 1 - padding] == '=')
    padding++;
  if (length % 4 != 0 || length / 4 * 3 > BASE64_VALUE_MAX)
    return ERR_PROTOCOL;
  *value = malloc (length / 4 * 3 + 1);
  if (*value == NULL)
    return ERR_NO_MEMORY;
  decoded = EVP_DecodeBlock ((unsigned char *)*value,
                             (const unsigned char *)text, (int)length);
  if (decoded < 0 || (size_t)decoded < padding)
    {
      free (*value);
      *value = NULL;
      return ERR_PROTOCOL;
    }
  *size = (size_t)decoded - padding;
  (*value)[*size] = '\0';
  return 0;
}

char *
base64_encode (const char *value, size_t size)
{
  char *text = malloc ((size + 2) / 3 * 4 + 1);

  if (text != NULL)
    EVP_EncodeBlock ((unsigned char *)text, (const unsigned char *)value,
                     (int)size);
  return text;
}
