/**
 * @file response_head.c
 * The head of an upstream's response.
 */
#include "transport/response_head.h"
#include "state/err.h"
#include "transport/httpd_head.h"
#include <string.h>

#define CRLF_SIZE     2
#define STATUS_SIZE   12 /**< of "HTTP/1.1 200" */
#define STATUS_OFFSET 9

static int read_line (struct response_head *head, char *line, size_t size);
static bool is_status_line (const char *line, size_t size);
static bool is_digit (char character);
static void move_spaces_behind_colon (char *line, size_t size);

int
response_head_read (struct response_head *head, char *data, size_t size,
                    size_t line_max, size_t *used)
{
  int error = 0;

  *used = 0;
  while (error == 0 && !head->complete)
    {
      char *line = data + *used;
      const size_t rest = size - *used;
      const char *end = memchr (line, '\n', rest);
      const size_t line_size = end == NULL ? rest : (size_t)(end + 1 - line);

      if (line_size > line_max)
        return ERR_TOO_LARGE;
      if (end == NULL)
        return 0;
      if (line_size < CRLF_SIZE || end[-1] != '\r')
        return ERR_PROTOCOL;
      error = read_line (head, line, line_size - CRLF_SIZE);
      *used += line_size;
    }
  return error;
}

static int
read_line (struct response_head *head, char *line, size_t size)
{
  if (!head->has_status)
    {
      head->has_status = true;
      return is_status_line (line, size) ? 0 : ERR_PROTOCOL;
    }
  if (size == 0)
    {
      head->complete = true;
      return 0;
    }
  move_spaces_behind_colon (line, size);
  return httpd_head_is_header (line, size) ? 0 : ERR_PROTOCOL;
}

/* A status is of three digits, from 100 to 599 (RFC 9110, section 15). */
static bool
is_status_line (const char *line, size_t size)
{
  const char *status = line + STATUS_OFFSET;

  return size >= STATUS_SIZE && httpd_head_is_value (line, size)
         && memcmp (line, "HTTP/1.", 7) == 0 && is_digit (line[7])
         && line[8] == ' ' && status[0] >= '1' && status[0] <= '5'
         && is_digit (status[1]) && is_digit (status[2])
         && (size == STATUS_SIZE || line[STATUS_SIZE] == ' ');
}

static bool
is_digit (char character)
{
  return character >= '0' && character <= '9';
}

/* A proxy removes white space before a colon (RFC 9112, section 5.1). */
static void
move_spaces_behind_colon (char *line, size_t size)
{
  char *colon = memchr (line, ':', size);
  char *end = colon;

  if (colon == NULL)
    return;
  while (end > line && (end[-1] == ' ' || end[-1] == '\t'))
    end--;
  if (end == colon || end == line)
    return;
  memset (end, ' ', (size_t)(colon + 1 - end));
  *end = ':';
}
