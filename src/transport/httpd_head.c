/**
 * @file httpd_head.c
 * The head of a client's request.
 */
#include "transport/httpd_head.h"
#include <evhtp/evhtp.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* RFC 9110, section 5.6.2. */
#define TOKEN_CHARACTERS                                                      \
  "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"                       \
  "abcdefghijklmnopqrstuvwxyz"

static bool known_to_parser (const char *method);

enum httpd_head_state
httpd_head_read_line (struct httpd_head *head, struct evbuffer *input)
{
  const size_t size = evbuffer_get_length (input);
  char *data = (char *)evbuffer_pullup (input, -1);
  size_t start = 0;
  size_t length;

  if (size == 0)
    return HTTPD_HEAD_PARTIAL;
  if (data == NULL)
    return HTTPD_HEAD_INVALID;
  while (start < size && (data[start] == '\r' || data[start] == '\n'))
    start++;
  if (start == size || memchr (data + start, '\n', size - start) == NULL)
    return HTTPD_HEAD_PARTIAL;
  /* The line's end is no character of a token. */
  length = strspn (data + start, TOKEN_CHARACTERS);
  if (length == 0 || data[start + length] != ' ')
    return HTTPD_HEAD_INVALID;
  httpd_head_reset (head);
  head->method = strndup (data + start, length);
  if (head->method == NULL)
    return HTTPD_HEAD_INVALID;
  if (!known_to_parser (head->method))
    memset (data + start, '_', length);
  return HTTPD_HEAD_COMPLETE;
}

/* libevhtp parses the target of CONNECT as an authority only, whatever it
   is. */
static bool
known_to_parser (const char *method)
{
  int known;

  if (strcmp (method, "CONNECT") == 0)
    return false;
  for (known = 0; known < htp_method_UNKNOWN; known++)
    if (strcmp (method, htparser_get_methodstr_m ((htp_method)known)) == 0)
      return true;
  return false;
}

void
httpd_head_reset (struct httpd_head *head)
{
  free (head->method);
  head->method = NULL;
}
