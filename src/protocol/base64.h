/**
 * @file base64.h
 * Base64 (RFC 4648) with padding.
 */
#ifndef PROTOCOL_BASE64_H
#define PROTOCOL_BASE64_H

#include <stddef.h>

#define BASE64_VALUE_MAX 2097152 /**< maximum bytes decoded */

/** Decodes into newly allocated memory and appends a NUL byte.
    @param length  of the text, in bytes.
    @return 0, ERR_PROTOCOL or ERR_NO_MEMORY. */
int base64_decode (const char *text, size_t length, char **value,
                   size_t *size);
/** @return text to free(), or NULL when memory runs out. */
char *base64_encode (const char *value, size_t size);

#endif
