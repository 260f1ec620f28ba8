/**
 * @file explain.c
 * The `explain` subcommand: selects the log lines of one request from the logs
 * of any number of instances, and prints them as sentences ordered by time.
 */
#include "command.h"
#include "transport/log.h"
#include <argp.h>
#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_SIZE  4096 /* bytes of a log line */
#define LINES_MAX  4096 /* lines of one request */
#define FIELD_SIZE 512  /* bytes of a field value */
#define TIME_SIZE  32   /* bytes of a time stamp */
#define TIME_OF_DAY_OFFSET                                                    \
  11 /* offset of the time of day in "2026-12-03T..." */

struct arguments
{
  const char *request_id;
  char **files;
  size_t file_count;
};

struct log_line
{
  char *line;
  size_t order; /* position among the lines found */
};

struct request_log
{
  const char *request_id;
  struct log_line lines[LINES_MAX];
  size_t count;
  size_t lines_read;
};

/** Sentence printed for a log message, with names of log fields in braces. */
struct message_template
{
  enum log_message message;
  const char *text;
};

static error_t parse_option (int key, char *arg, struct argp_state *state);
static int read_file (struct request_log *request_log, const char *path);
static int read_lines (struct request_log *request_log, FILE *file);
static bool find_field (const char *line, const char *name, char *value,
                        size_t size);
static int compare (const void *a, const void *b);
static void print_line (const char *line);
static void print_template (const char *line, const char *text);
static const char *find_template (const char *message);

static const struct argp_option options[] = { { 0 } };

static const struct argp parser
    = { .options = options,
        .parser = parse_option,
        .args_doc = "ID [FILE...]",
        .doc
        = "Describe what happened to the request ID, from log lines in FILEs "
          "or on standard input.  Lines of several instances may be mixed." };

static const struct message_template templates[] = {
  { LOG_REQUEST_WAITED,
    "waited {waited_ms} ms in a queue of {in_line} for {upstream} (primary: "
    "{home}), which had a backlog of {ahead_tokens} tokens and a capacity of "
    "{room_tokens}; customer {customer} recently used {had_tokens} tokens, "
    "customers with queued requests {others_had_tokens} on average" },
  { LOG_ATTEMPT_STARTED,
    "attempt {attempt} at {upstream} (primary: {home}): {unread_tokens} "
    "tokens to prefill, a backlog of {ahead_tokens}, {remaining_ms} ms left" },
  { LOG_ATTEMPT_FAILED,
    "attempt {attempt} at {upstream} failed: {error}; verdict so far: "
    "{verdict}" },
  { LOG_STATUS_WITHHELD,
    "{upstream} answered {status} without saying that the request did not "
    "run: withheld" },
  { LOG_UPSTREAM_DRAINING, "{upstream} is leaving, by its {from}" },
  { LOG_UPSTREAM_PAUSED, "{upstream} wants no requests for {ms} ms" },
  { LOG_REQUEST_REFUSED,
    "refused with {status}: {reason}, {verdict}, retry after "
    "{retry_after_ms} ms; configuration {config}, {config_age_ms} ms old" },
  { LOG_REQUEST_DONE,
    "completed with {status} after {total_ms} ms, {waited_ms} ms of them "
    "before the last attempt; {bytes} bytes, {attempts} attempts" },
  { LOG_REQUEST_ABORTED,
    "response aborted after {total_ms} ms and {bytes} bytes: {verdict}" },
  { LOG_CLIENT_GONE,
    "client disconnected after {total_ms} ms and {bytes} bytes: {verdict}" },
};

int
command_explain (int argc, char **argv)
{
  static struct request_log request_log;
  struct arguments arguments = { .request_id = NULL };
  int code = COMMAND_SUCCESS;
  size_t i;

  if (argp_parse (&parser, argc, argv, 0, NULL, &arguments) != 0)
    return COMMAND_USAGE;
  request_log.request_id = arguments.request_id;
  if (arguments.file_count == 0)
    code = read_lines (&request_log, stdin);
  for (i = 0; i < arguments.file_count && code == COMMAND_SUCCESS; i++)
    code = read_file (&request_log, arguments.files[i]);
  qsort (request_log.lines, request_log.count, sizeof request_log.lines[0],
         compare);
  for (i = 0; i < request_log.count; i++)
    {
      print_line (request_log.lines[i].line);
      free (request_log.lines[i].line);
    }
  if (code == COMMAND_SUCCESS && request_log.count == 0)
    {
      fprintf (stderr, "%s: not found in the %zu lines read\n",
               request_log.request_id, request_log.lines_read);
      return COMMAND_FAILED;
    }
  return code;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (arguments->request_id != NULL)
        return ARGP_ERR_UNKNOWN;
      arguments->request_id = arg;
      return 0;
    case ARGP_KEY_ARGS:
      arguments->files = state->argv + state->next;
      arguments->file_count = (size_t)(state->argc - state->next);
      return 0;
    case ARGP_KEY_END:
      if (arguments->request_id == NULL)
        argp_error (state, "no ID given");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
read_file (struct request_log *request_log, const char *path)
{
  FILE *file = fopen (path, "r");
  int code;

  if (file == NULL)
    {
      fprintf (stderr, "%s: %s\n", path, strerror (errno));
      return COMMAND_FAILED;
    }
  code = read_lines (request_log, file);
  fclose (file);
  return code;
}

static int
read_lines (struct request_log *request_log, FILE *file)
{
  char line[LINE_SIZE];
  char id[FIELD_SIZE];
  char *copy;

  while (fgets (line, sizeof line, file) != NULL)
    {
      request_log->lines_read++;
      line[strcspn (line, "\n")] = '\0';
      if (!find_field (line, "request_id", id, sizeof id)
          || strcmp (id, request_log->request_id) != 0
          || request_log->count == LINES_MAX)
        continue;
      copy = strdup (line);
      if (copy == NULL)
        {
          fputs ("out of memory\n", stderr);
          return COMMAND_FAILED;
        }
      request_log->lines[request_log->count]
          = (struct log_line){ copy, request_log->count };
      request_log->count++;
    }
  return COMMAND_SUCCESS;
}

/* Finds the value of `name=value`; a quoted value may contain spaces and
   backslash escapes. */
static bool
find_field (const char *line, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  const char *p = line;
  size_t used = 0;
  bool quoted;

  for (;; p++)
    {
      p = strstr (p, name);
      if (p == NULL)
        return false;
      if ((p == line || p[-1] == ' ') && p[length] == '=')
        break;
    }
  p += length + 1;
  quoted = *p == '"';
  if (quoted)
    p++;
  while (*p != '\0' && *p != (quoted ? '"' : ' ') && used + 1 < size)
    {
      if (quoted && *p == '\\' && p[1] != '\0')
        p++;
      value[used++] = *p++;
    }
  value[used] = '\0';
  return true;
}

/* Orders by time; lines of the same millisecond stay in the order read. */
static int
compare (const void *a, const void *b)
{
  const struct log_line *first = a;
  const struct log_line *second = b;
  char first_time[TIME_SIZE] = "";
  char second_time[TIME_SIZE] = "";
  int order;

  find_field (first->line, "time", first_time, sizeof first_time);
  find_field (second->line, "time", second_time, sizeof second_time);
  order = strcmp (first_time, second_time);
  if (order != 0)
    return order;
  return first->order < second->order ? -1 : 1;
}

static void
print_line (const char *line)
{
  char timestamp[TIME_SIZE] = "";
  char instance[FIELD_SIZE] = "";
  char message[FIELD_SIZE] = "";
  const char *text;

  find_field (line, "time", timestamp, sizeof timestamp);
  find_field (line, "instance", instance, sizeof instance);
  find_field (line, "msg", message, sizeof message);
  printf ("%s %s: ",
          strlen (timestamp) > TIME_OF_DAY_OFFSET
              ? timestamp + TIME_OF_DAY_OFFSET
              : timestamp,
          instance[0] == '\0' ? "-" : instance);
  text = find_template (message);
  if (text == NULL)
    puts (line);
  else
    print_template (line, text);
}

static const char *
find_template (const char *message)
{
  size_t i;

  for (i = 0; i < sizeof templates / sizeof templates[0]; i++)
    if (strcmp (log_messages[templates[i].message].text, message) == 0)
      return templates[i].text;
  return NULL;
}

static void
print_template (const char *line, const char *text)
{
  char name[FIELD_SIZE];
  char value[FIELD_SIZE];
  size_t length;

  for (; *text != '\0'; text++)
    {
      if (*text != '{')
        {
          putchar (*text);
          continue;
        }
      length = strcspn (text, "}") - 1;
      snprintf (name, sizeof name, "%.*s", (int)length, text + 1);
      fputs (find_field (line, name, value, sizeof value) ? value : "?",
             stdout);
      text += length + 1;
    }
  putchar ('\n');
}
