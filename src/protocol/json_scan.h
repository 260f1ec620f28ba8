/**
 * @file json_scan.h
 * Finds the elements of a JSON array or object one at a time, without building
 * them (RFC 8259).  What an element contains is not checked, so each has to
 * be parsed by itself.
 */
#ifndef PROTOCOL_JSON_SCAN_H
#define PROTOCOL_JSON_SCAN_H

#include <stddef.h>

/** Part of a text, borrowed. */
struct json_span
{
  const char *text;
  size_t size; /**< bytes */
};

/** Position in an array or object. */
struct json_scan
{
  struct json_span in;
  size_t at;
  size_t count; /**< elements found */
  char close;   /**< bracket that ends it */
};

/** Begins with the array (`open` is '[') or object ('{') that a text is.
    @return 0 or ERR_INVALID. */
int json_scan_begin (struct json_scan *scan, const struct json_span *text,
                     char open);
/** Finds the next element.
    @param key  of a member of an object, a string in quotes; not set for
    arrays.
    @return 1, 0 when there are no more, or ERR_INVALID if the text between
    two elements, or behind the last one, is malformed. */
int json_scan_next (struct json_scan *scan, struct json_span *key,
                    struct json_span *value);

#endif
