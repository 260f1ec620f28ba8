/**
 * @file httpd_headers.c
 * Checks of request headers that libevhtp does not perform.
 */
#include "state/err.h"
#include "transport/httpd_head.h"
#include "transport/httpd_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define FORM_TYPE "application/x-www-form-urlencoded"

bool
httpd_framing_valid (evhtp_headers_t *headers)
{
  const evhtp_header_t *header;
  uint32_t length_count = 0;
  uint32_t coding_count = 0;

  TAILQ_FOREACH (header, headers, next)
  {
    if (!httpd_head_is_token (header->key))
      return false;
    if (strcasecmp (header->key, "Content-Length") == 0)
      {
        length_count++;
        if (header->val[strspn (header->val, "0123456789")] != '\0')
          return false;
      }
    else if (strcasecmp (header->key, "Transfer-Encoding") == 0)
      {
        coding_count++;
        if (strcasecmp (header->val, "chunked") != 0)
          return false;
      }
  }
  return length_count + coding_count <= 1;
}

/* libevhtp parses the body of a form as if it were the query and replaces the
   query of the path with it.  A space before the value, which HTTP ignores,
   keeps libevhtp from recognising the type. */
int
httpd_disable_form_parsing (evhtp_headers_t *headers)
{
  evhtp_kv_t *header = evhtp_headers_find_header (headers, "Content-Type");
  char *value = NULL;
  int length;

  if (header == NULL
      || strncasecmp (header->val, FORM_TYPE, strlen (FORM_TYPE)) != 0)
    return 0;
  length = asprintf (&value, " %s", header->val);
  if (length < 0)
    return ERR_NO_MEMORY;
  if (header->v_heaped)
    free (header->val);
  header->val = value;
  header->vlen = (size_t)length;
  header->v_heaped = 1;
  return 0;
}
