/**
 * @file httpd_head.c
 * The head of a client's request.
 */
#include "transport/httpd_head.h"
#include <evhtp/evhtp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* RFC 9110, section 5.6.2. */
#define TOKEN_CHARACTERS                                                      \
  "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"                       \
  "abcdefghijklmnopqrstuvwxyz"
#define DIGITS       "0123456789"
#define SPACES       " \t"
#define CRLF_SIZE    2
#define VERSION_SIZE 8 /**< of "HTTP/1.1" */
#define DELETE       '\x7f'

static enum httpd_head_state read_line (struct httpd_head *head, char *line,
                                        size_t size);
static enum httpd_head_state read_request_line (struct httpd_head *head,
                                                char *line, size_t size);
static enum httpd_head_state read_header (struct httpd_head *head,
                                          const char *line, size_t size);
static bool is_target (const char *text, size_t size);
static bool is_version (const char *text, size_t size);
static bool known_to_parser (const char *method);
static bool read_framing (struct httpd_head *head, const char *name,
                          size_t name_size, const char *value,
                          size_t value_size);
static bool read_length (struct httpd_head *head, const char *value,
                         size_t size);
static bool equals (const char *text, size_t size, const char *name);
static size_t span (const char *text, size_t size, const char *characters);

enum httpd_head_state
httpd_head_read (struct httpd_head *head, struct evbuffer *input,
                 uint32_t bytes_max)
{
  enum httpd_head_state state = HTTPD_HEAD_PARTIAL;
  size_t size = evbuffer_get_length (input);
  char *data = (char *)evbuffer_pullup (input, -1);
  const char *end;
  size_t rest;

  if (data == NULL)
    return size == 0 ? HTTPD_HEAD_PARTIAL : HTTPD_HEAD_INVALID;
  if (head->size == 0)
    {
      rest = span (data, size, "\r\n");
      evbuffer_drain (input, rest);
      data += rest;
      size -= rest;
    }
  while (state == HTTPD_HEAD_PARTIAL)
    {
      char *line = data + head->size;

      rest = size - head->size;
      end = memchr (line, '\n', rest);
      if (end != NULL)
        rest = (size_t)(end + 1 - line);
      if (rest > CRLF_SIZE && head->header_bytes + rest > bytes_max)
        return HTTPD_HEAD_TOO_LARGE;
      if (end == NULL)
        return HTTPD_HEAD_PARTIAL;
      if (rest < CRLF_SIZE || line[rest - CRLF_SIZE] != '\r')
        return HTTPD_HEAD_INVALID;
      head->size += rest;
      if (head->method != NULL)
        head->header_bytes += (uint32_t)rest;
      state = read_line (head, line, rest - CRLF_SIZE);
    }
  return state;
}

/* @return HTTPD_HEAD_PARTIAL if more lines follow. */
static enum httpd_head_state
read_line (struct httpd_head *head, char *line, size_t size)
{
  if (head->method == NULL)
    return read_request_line (head, line, size);
  if (size > 0)
    return read_header (head, line, size);
  head->complete = true;
  return HTTPD_HEAD_COMPLETE;
}

static enum httpd_head_state
read_request_line (struct httpd_head *head, char *line, size_t size)
{
  size_t length = span (line, size, TOKEN_CHARACTERS);
  const char *target = line + length + 1;
  const char *version;

  if (length == 0 || length == size || line[length] != ' ')
    return HTTPD_HEAD_INVALID;
  version = memchr (target, ' ', size - length - 1);
  if (version == NULL || !is_target (target, (size_t)(version - target))
      || !is_version (version + 1, (size_t)(line + size - version - 1)))
    return HTTPD_HEAD_INVALID;
  head->method = strndup (line, length);
  if (head->method == NULL)
    return HTTPD_HEAD_INVALID;
  if (!known_to_parser (head->method))
    memset (line, '_', length);
  return HTTPD_HEAD_PARTIAL;
}

static bool
is_target (const char *text, size_t size)
{
  size_t i;

  for (i = 0; i < size; i++)
    if ((unsigned char)text[i] <= ' ' || text[i] == DELETE)
      return false;
  return size > 0;
}

static bool
is_version (const char *text, size_t size)
{
  return size == VERSION_SIZE && memcmp (text, "HTTP/", 5) == 0
         && text[5] >= '0' && text[5] <= '9' && text[6] == '.'
         && text[7] >= '0' && text[7] <= '9';
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

static enum httpd_head_state
read_header (struct httpd_head *head, const char *line, size_t size)
{
  const size_t name_size = span (line, size, TOKEN_CHARACTERS);
  const char *value = line + name_size + 1;
  size_t value_size;
  size_t spaces;

  if (!httpd_head_is_header (line, size))
    return HTTPD_HEAD_INVALID;
  value_size = size - name_size - 1;
  spaces = span (value, value_size, " ");
  return read_framing (head, line, name_size, value + spaces,
                       value_size - spaces)
             ? HTTPD_HEAD_PARTIAL
             : HTTPD_HEAD_INVALID;
}

/* The body has one length, which every reader takes for the same. */
static bool
read_framing (struct httpd_head *head, const char *name, size_t name_size,
              const char *value, size_t value_size)
{
  const bool framed = head->has_length || head->chunked;

  if (equals (name, name_size, "Content-Length"))
    return !framed && read_length (head, value, value_size);
  if (equals (name, name_size, "Transfer-Encoding"))
    {
      head->chunked = true;
      return !framed && equals (value, value_size, "chunked");
    }
  if (equals (name, name_size, "Host"))
    {
      if (head->has_host)
        return false;
      head->has_host = true;
    }
  return true;
}

static bool
read_length (struct httpd_head *head, const char *value, size_t size)
{
  size_t i;

  if (size == 0 || span (value, size, DIGITS) != size)
    return false;
  for (i = 0; i < size; i++)
    {
      const uint64_t digit = (uint64_t)(value[i] - '0');

      if (head->length > (UINT64_MAX - digit) / 10)
        return false;
      head->length = head->length * 10 + digit;
    }
  head->has_length = true;
  return true;
}

const char *
httpd_head_find (struct httpd_head *head, struct evbuffer *input,
                 const char *name)
{
  const size_t name_size = strlen (name);
  size_t rest = evbuffer_get_length (input);
  const char *line = (const char *)evbuffer_pullup (input, -1);
  const char *end = NULL;
  size_t size;

  if (line != NULL)
    end = memchr (line, '\n', rest);
  for (; end != NULL; end = memchr (line, '\n', rest))
    {
      size = (size_t)(end - line);
      if (size > 0 && line[size - 1] == '\r')
        size--;
      if (size > name_size && line[name_size] == ':'
          && equals (line, name_size, name)
          && httpd_head_is_header (line, size))
        {
          const char *value = line + name_size + 1;
          size_t spaces = span (value, size - name_size - 1, SPACES);

          free (head->found);
          head->found
              = strndup (value + spaces, size - name_size - 1 - spaces);
          return head->found;
        }
      rest -= (size_t)(end + 1 - line);
      line = end + 1;
      if (size == 0)
        break;
    }
  return NULL;
}

bool
httpd_head_is_header (const char *line, size_t size)
{
  size_t i = span (line, size, TOKEN_CHARACTERS);

  if (i == 0 || i == size || line[i] != ':')
    return false;
  return httpd_head_is_value (line + i + 1, size - i - 1);
}

bool
httpd_head_is_value (const char *text, size_t size)
{
  size_t i;

  for (i = 0; i < size; i++)
    if (((unsigned char)text[i] < ' ' && text[i] != '\t') || text[i] == DELETE)
      return false;
  return true;
}

bool
httpd_head_is_token (const char *text)
{
  return text[0] != '\0' && text[strspn (text, TOKEN_CHARACTERS)] == '\0';
}

static bool
equals (const char *text, size_t size, const char *name)
{
  return size == strlen (name) && strncasecmp (text, name, size) == 0;
}

/* strspn() for bytes that have no end. */
static size_t
span (const char *text, size_t size, const char *characters)
{
  size_t i;

  for (i = 0; i < size; i++)
    if (text[i] == '\0' || strchr (characters, text[i]) == NULL)
      return i;
  return size;
}

void
httpd_head_reset (struct httpd_head *head)
{
  free (head->method);
  free (head->found);
  memset (head, 0, sizeof *head);
}
