/**
 * @file request_end.c
 * Ends of requests that are not parsed.
 */
#include "transport/request_end.h"
#include <stdbool.h>
#include <string.h>
#include <strings.h>

#define HEAD_END     "\r\n\r\n"
#define LENGTH       "Content-Length:"
#define CODING       "Transfer-Encoding:"
#define DIGITS_MAX   18 /* their number fits in 64 bits */
#define IS_DIGIT(c)  ((c) >= '0' && (c) <= '9')
#define STARTS(t, n) (strncasecmp ((t), (n), sizeof (n) - 1) == 0)

static bool read_length (const char *value, const char *end, uint64_t *length);

uint64_t
request_end_missing (const char *text, size_t size)
{
  const char *const end = memmem (text, size, HEAD_END, sizeof HEAD_END - 1);
  const char *line = text;
  bool has_length = false;
  uint64_t length = 0;
  size_t arrived;

  /* Empty lines before a request are not its end. */
  if (end == NULL || end == text)
    return REQUEST_END_UNKNOWN;
  /* The head's end follows each line, so no comparison passes it. */
  while ((line = memchr (line, '\n', (size_t)(end - line))) != NULL)
    {
      line++;
      if (STARTS (line, CODING))
        return REQUEST_END_UNKNOWN;
      if (!STARTS (line, LENGTH))
        continue;
      if (has_length || !read_length (line + sizeof LENGTH - 1, end, &length))
        return REQUEST_END_UNKNOWN;
      has_length = true;
    }
  arrived = size - (size_t)(end - text) - (sizeof HEAD_END - 1);
  return arrived <= length ? length - arrived : REQUEST_END_UNKNOWN;
}

static bool
read_length (const char *value, const char *end, uint64_t *length)
{
  const char *digits;

  while (value < end && (*value == ' ' || *value == '\t'))
    value++;
  *length = 0;
  for (digits = value; value < end && IS_DIGIT (*value); value++)
    *length = *length * 10 + (uint64_t)(*value - '0');
  while (value < end && (*value == ' ' || *value == '\t'))
    value++;
  return value > digits && value - digits <= DIGITS_MAX
         && (value == end || *value == '\r');
}
