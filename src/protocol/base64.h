/**
 * @file base64.h
 * Standard base64 with padding.
 */
#ifndef PROTOCOL_BASE64_H
#define PROTOCOL_BASE64_H

#include <stddef.h>

#define BASE64_VALUE_MAX 2097152 /**< bytes that are decoded at most */

/** Decodes into new memory, with a NUL behind it.
    @return 0, ERR_PROTOCOL or ERR_NO_MEMORY. */
int base64_decode (const char *text, char **value, size_t *size);
/** @return new text, or NULL without memory. */
char *base64_encode (const char *value, size_t size);

#endif
