/**
 * @file stream_summary.c
 * Store value that names streams and their builds.
 */
#include "protocol/stream_summary.h"
#include "state/err.h"
#include <endian.h>
#include <string.h>

#define WORD         sizeof (uint64_t)
#define HEADER_WORDS 3 /* service, build, count */

static void write_word (uint8_t *out, uint64_t value);
static uint64_t read_word (const uint8_t *value);
static bool is_valid (const uint8_t *value, size_t size);

static void
write_word (uint8_t *out, uint64_t value)
{
  value = htobe64 (value);
  memcpy (out, &value, sizeof value);
}

static uint64_t
read_word (const uint8_t *value)
{
  uint64_t word;

  memcpy (&word, value, sizeof word);
  return be64toh (word);
}

/* Neighbouring rows of one build share a group. */
size_t
stream_summary_write (const struct stream_builds_row *rows, size_t count,
                      uint8_t *out)
{
  const struct stream_builds_row *group = NULL;
  uint64_t group_count = 0;
  uint8_t *header = out;
  uint8_t *end = out;
  size_t i;

  for (i = 0; i < count; i++)
    {
      if (rows[i].build == 0)
        continue;
      if (group == NULL || rows[i].service_id != group->service_id
          || rows[i].build != group->build)
        {
          group = &rows[i];
          group_count = 0;
          header = end;
          write_word (header, group->service_id);
          write_word (header + WORD, group->build);
          end += HEADER_WORDS * WORD;
        }
      write_word (end, rows[i].key);
      end += WORD;
      write_word (header + 2 * WORD, ++group_count);
    }
  return (size_t)(end - out);
}

static bool
is_valid (const uint8_t *value, size_t size)
{
  uint64_t count;

  if (size % WORD != 0)
    return false;
  while (size > 0)
    {
      if (size < HEADER_WORDS * WORD)
        return false;
      count = read_word (value + 2 * WORD);
      size -= HEADER_WORDS * WORD;
      if (count == 0 || count > size / WORD || read_word (value + WORD) == 0)
        return false;
      value += (HEADER_WORDS + count) * WORD;
      size -= count * WORD;
    }
  return true;
}

int
stream_summary_read (const uint8_t *value, size_t size,
                     void (*put) (void *user,
                                  const struct stream_builds_row *row),
                     void *user)
{
  const uint8_t *end = value + size;
  struct stream_builds_row row = { .ttl_ms = STREAM_BUILDS_TTL_MS };
  uint64_t count;

  if (!is_valid (value, size))
    return ERR_INVALID;
  while (value < end)
    {
      row.service_id = read_word (value);
      row.build = read_word (value + WORD);
      count = read_word (value + 2 * WORD);
      for (value += HEADER_WORDS * WORD; count > 0; count--, value += WORD)
        {
          row.key = read_word (value);
          put (user, &row);
        }
    }
  return 0;
}
