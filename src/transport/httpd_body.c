/**
 * @file httpd_body.c
 * Where the body of a message ends.
 */
#include "transport/httpd_body.h"
#include "state/err.h"
#include <string.h>

#define HEX_DIGIT_BITS 4
#define CRLF_SIZE      2

/** The bytes of one call. */
struct reader
{
  struct httpd_body *body;
  const char *data;
  size_t size;
  size_t used; /**< bytes that were read */
  size_t drop; /**< bytes to be dropped after these */
  uint32_t line_max;
};

static int read_bytes (struct reader *reader);
static int read_size (struct reader *reader);
static int read_line_end (struct reader *reader);
static int read_trailer (struct reader *reader);
static int read_end (struct reader *reader);
static int line_size (const struct reader *reader, size_t *size);
static int hex_digit (char character);

static int (*const readers[]) (struct reader *reader) = {
  [HTTPD_BODY_BYTES] = read_bytes,
  [HTTPD_BODY_SIZE] = read_size,
  [HTTPD_BODY_SIZE_END] = read_line_end,
  [HTTPD_BODY_CHUNK] = read_bytes,
  [HTTPD_BODY_CHUNK_END] = read_line_end,
  [HTTPD_BODY_TRAILER] = read_trailer,
  [HTTPD_BODY_END] = read_end,
};

void
httpd_body_init (struct httpd_body *body, const struct httpd_head *head)
{
  if (head->chunked)
    {
      httpd_body_init_chunked (body);
      return;
    }
  memset (body, 0, sizeof *body);
  body->left = head->length;
  body->state = body->left > 0 ? HTTPD_BODY_BYTES : HTTPD_BODY_END;
}

void
httpd_body_init_chunked (struct httpd_body *body)
{
  memset (body, 0, sizeof *body);
  body->state = HTTPD_BODY_SIZE;
}

int
httpd_body_read (struct httpd_body *body, const char *data, size_t size,
                 uint32_t line_max, struct httpd_body_step *step)
{
  struct reader reader
      = { .body = body, .data = data, .size = size, .line_max = line_max };
  int error;
  size_t used;

  do
    {
      used = reader.used;
      error = readers[body->state](&reader);
    }
  while (error == 0 && reader.drop == 0 && reader.used > used);
  step->pass = reader.used;
  step->drop = reader.drop;
  return error;
}

/* Each reader advances `used` if it can go on. */

static int
read_bytes (struct reader *reader)
{
  struct httpd_body *body = reader->body;
  const size_t rest = reader->size - reader->used;
  const size_t count = rest < body->left ? rest : (size_t)body->left;

  reader->used += count;
  body->left -= count;
  if (body->left == 0)
    body->state = body->state == HTTPD_BODY_CHUNK ? HTTPD_BODY_CHUNK_END
                                                  : HTTPD_BODY_END;
  return 0;
}

static int
read_size (struct reader *reader)
{
  struct httpd_body *body = reader->body;
  const char *line = reader->data + reader->used;
  size_t size;
  size_t digits;
  size_t spaces;
  int error = line_size (reader, &size);

  if (error != 0 || size == 0)
    return error;
  size -= CRLF_SIZE;
  body->left = 0;
  for (digits = 0; digits < size && hex_digit (line[digits]) >= 0; digits++)
    {
      if (body->left > UINT64_MAX >> HEX_DIGIT_BITS)
        return ERR_INVALID;
      body->left
          = body->left << HEX_DIGIT_BITS | (uint64_t)hex_digit (line[digits]);
    }
  if (digits == 0)
    return ERR_INVALID;
  for (spaces = 0;
       digits + spaces < size
       && (line[digits + spaces] == ' ' || line[digits + spaces] == '\t');
       spaces++)
    continue;
  if (digits < size
      && (digits + spaces == size || line[digits + spaces] != ';'))
    return ERR_INVALID;
  reader->used += digits;
  reader->drop = size - digits;
  body->state = HTTPD_BODY_SIZE_END;
  return 0;
}

static int
read_line_end (struct reader *reader)
{
  struct httpd_body *body = reader->body;
  const size_t rest = reader->size - reader->used;

  if (memcmp (reader->data + reader->used, "\r\n",
              rest < CRLF_SIZE ? rest : CRLF_SIZE)
      != 0)
    return ERR_INVALID;
  if (rest < CRLF_SIZE)
    return 0;
  reader->used += CRLF_SIZE;
  if (body->state == HTTPD_BODY_CHUNK_END)
    body->state = HTTPD_BODY_SIZE;
  else
    body->state = body->left > 0 ? HTTPD_BODY_CHUNK : HTTPD_BODY_TRAILER;
  return 0;
}

static int
read_trailer (struct reader *reader)
{
  struct httpd_body *body = reader->body;
  size_t size;
  int error = line_size (reader, &size);

  if (error != 0 || size == 0)
    return error;
  if (size == CRLF_SIZE)
    {
      reader->used += size;
      body->state = HTTPD_BODY_END;
      return 0;
    }
  body->trailer_bytes += (uint32_t)size;
  if (body->trailer_bytes > reader->line_max
      || !httpd_head_is_header (reader->data + reader->used, size - CRLF_SIZE))
    return ERR_INVALID;
  reader->drop = size;
  return 0;
}

static int
read_end (struct reader *reader)
{
  (void)reader;
  return 0;
}

/* @param size  with its CRLF; 0 if the line is not complete. */
static int
line_size (const struct reader *reader, size_t *size)
{
  const char *line = reader->data + reader->used;
  const size_t rest = reader->size - reader->used;
  const char *end = memchr (line, '\n', rest);

  *size = end == NULL ? 0 : (size_t)(end + 1 - line);
  if ((end == NULL ? rest : *size) > reader->line_max)
    return ERR_INVALID;
  return end != NULL && (*size < CRLF_SIZE || end[-1] != '\r') ? ERR_INVALID
                                                               : 0;
}

static int
hex_digit (char character)
{
  if (character >= '0' && character <= '9')
    return character - '0';
  if (character >= 'a' && character <= 'f')
    return character - 'a' + 10;
  return character >= 'A' && character <= 'F' ? character - 'A' + 10 : -1;
}
