/**
 * @file log.c
 * Formats log lines and writes them.
 */
#include "transport/log.h"
#include "transport/log_budget.h"
#include <inttypes.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LOG_LINE_MAX 2048 /**< bytes of a line with its newline */

/** Output buffer of fixed size; the last byte is reserved for the NUL. */
struct log_buffer
{
  char *out;
  size_t size;
  size_t used;
};

static bool write_line (enum log_message message, const char *request_id,
                        const struct log_field *fields, size_t count,
                        uint64_t wall_ms);
static void put_bytes (struct log_buffer *buffer, const char *bytes,
                       size_t count);
static void put_text (struct log_buffer *buffer, const char *text);
static void put_value (struct log_buffer *buffer, const char *text);
static void put_escaped (struct log_buffer *buffer, unsigned char byte);
static void put_field (struct log_buffer *buffer,
                       const struct log_field *field);
static void put_time (struct log_buffer *buffer, uint64_t wall_ms);
static bool needs_quotes (const char *text);

static const char *const level_names[LOG_LEVEL_MAX] = {
  [LOG_LEVEL_DEBUG] = "debug",
  [LOG_LEVEL_INFO] = "info",
  [LOG_LEVEL_WARN] = "warn",
  [LOG_LEVEL_ERROR] = "error",
};

static enum log_level log_threshold = LOG_LEVEL_INFO;
static const struct clock *log_clock;
static struct log_sink log_sink = { .fd = STDERR_FILENO };
static struct log_budget log_budget;

void
log_init (enum log_level level, const struct clock *clock)
{
  log_threshold = level;
  log_clock = clock;
}

enum log_level
log_level_parse (const char *name)
{
  int level;

  for (level = 0; level < LOG_LEVEL_MAX; level++)
    if (strcmp (name, level_names[level]) == 0)
      break;
  return (enum log_level)level;
}

void
log_set_sink (const struct log_sink *sink)
{
  log_sink = *sink;
  memset (&log_budget, 0, sizeof log_budget);
  log_budget.lines_max = sink->lines_max;
}

bool
log_write (enum log_message message, const char *request_id,
           const struct log_field *fields, size_t count)
{
  uint64_t wall_ms = log_clock == NULL ? 0 : clock_wall_ms (log_clock);
  char kinds[LOG_BUDGET_REPORT_SIZE];
  uint32_t dropped;

  if (log_messages[message].level < log_threshold)
    return false;
  dropped = log_budget_report (&log_budget, wall_ms, kinds);
  if (dropped > 0)
    write_line (LOG_LINES_DROPPED, NULL,
                (const struct log_field[]){ LOG_U ("lines", dropped),
                                            LOG_S ("kinds", kinds) },
                2, wall_ms);
  return log_budget_take (&log_budget, message, wall_ms)
         && write_line (message, request_id, fields, count, wall_ms);
}

bool
log_has_budget (enum log_message message)
{
  uint64_t wall_ms = log_clock == NULL ? 0 : clock_wall_ms (log_clock);

  return log_messages[message].level >= log_threshold
         && log_budget_has (&log_budget, message, wall_ms);
}

static bool
write_line (enum log_message message, const char *request_id,
            const struct log_field *fields, size_t count, uint64_t wall_ms)
{
  struct pollfd sink_poll = { .fd = log_sink.fd, .events = POLLOUT };
  char line[LOG_LINE_MAX];
  size_t length;
  size_t done;
  ssize_t n;

  length = log_format (line, sizeof (line) - 1, wall_ms, message, request_id,
                       fields, count);
  line[length++] = '\n';
  /* A pipe that poll reports as writable accepts up to PIPE_BUF bytes at once,
     so a line is written completely. */
  if (log_sink.lines_max > 0 && poll (&sink_poll, 1, 0) <= 0)
    {
      log_budget_count_dropped (&log_budget, message);
      return false;
    }
  for (done = 0; done < length; done += (size_t)n)
    {
      n = write (log_sink.fd, line + done, length - done);
      if (n <= 0)
        return false; /* there is no other place to report the error */
    }
  return true;
}

size_t
log_format (char *out, size_t size, uint64_t wall_ms, enum log_message message,
            const char *request_id, const struct log_field *fields,
            size_t count)
{
  struct log_buffer buffer = { out, size, 0 };
  size_t i;

  put_text (&buffer, "time=");
  put_time (&buffer, wall_ms);
  put_text (&buffer, " level=");
  put_text (&buffer, level_names[log_messages[message].level]);
  put_text (&buffer, " msg=");
  put_value (&buffer, log_messages[message].text);
  if (log_sink.instance != NULL)
    {
      put_text (&buffer, " instance=");
      put_value (&buffer, log_sink.instance);
    }
  if (request_id != NULL)
    {
      put_text (&buffer, " request_id=");
      put_value (&buffer, request_id);
    }
  for (i = 0; i < count; i++)
    put_field (&buffer, &fields[i]);
  out[buffer.used] = '\0';
  return buffer.used;
}

static void
put_field (struct log_buffer *buffer, const struct log_field *field)
{
  char number[24];

  put_text (buffer, " ");
  put_text (buffer, field->key);
  put_text (buffer, "=");
  switch (field->kind)
    {
    case LOG_FIELD_STRING:
      put_value (buffer, field->u.string == NULL ? "" : field->u.string);
      break;
    case LOG_FIELD_U64:
      snprintf (number, sizeof (number), "%" PRIu64, field->u.u64);
      put_text (buffer, number);
      break;
    case LOG_FIELD_I64:
      snprintf (number, sizeof (number), "%" PRId64, field->u.i64);
      put_text (buffer, number);
      break;
    }
}

static void
put_time (struct log_buffer *buffer, uint64_t wall_ms)
{
  char text[40];
  time_t seconds = (time_t)(wall_ms / 1000);
  struct tm tm;
  size_t length;

  gmtime_r (&seconds, &tm);
  length = strftime (text, sizeof (text), "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (text + length, sizeof (text) - length, ".%03uZ",
            (unsigned int)(wall_ms % 1000));
  put_text (buffer, text);
}

static bool
needs_quotes (const char *text)
{
  const unsigned char *p;

  for (p = (const unsigned char *)text; *p != '\0'; p++)
    if (*p <= ' ' || *p == '"' || *p == '=' || *p == '\\' || *p == 0x7f)
      return true;
  return p == (const unsigned char *)text;
}

static void
put_value (struct log_buffer *buffer, const char *text)
{
  const char *p;

  if (!needs_quotes (text))
    {
      put_text (buffer, text);
      return;
    }
  put_text (buffer, "\"");
  for (p = text; *p != '\0'; p++)
    put_escaped (buffer, (unsigned char)*p);
  put_text (buffer, "\"");
}

static void
put_escaped (struct log_buffer *buffer, unsigned char byte)
{
  char escape[8];

  if (byte == '"' || byte == '\\')
    snprintf (escape, sizeof (escape), "\\%c", byte);
  else if (byte < ' ' || byte == 0x7f)
    snprintf (escape, sizeof (escape), "\\x%02x", byte);
  else
    snprintf (escape, sizeof (escape), "%c", byte);
  put_text (buffer, escape);
}

static void
put_text (struct log_buffer *buffer, const char *text)
{
  put_bytes (buffer, text, strlen (text));
}

static void
put_bytes (struct log_buffer *buffer, const char *bytes, size_t count)
{
  size_t available = buffer->size - 1 - buffer->used;

  if (count > available)
    count = available;
  memcpy (buffer->out + buffer->used, bytes, count);
  buffer->used += count;
}
