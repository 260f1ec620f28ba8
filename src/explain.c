/**
 * @file explain.c
 * The `explain` subcommand: tells the story of one request from the log lines
 * of any number of instances, in the order of their time.
 */
#include "command.h"
#include "transport/log.h"
#include <argp.h>
#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_SIZE   4096 /* bytes of a log line */
#define LINES_MAX   4096 /* lines of one request */
#define FIELD_SIZE  512  /* bytes of a value */
#define STAMP_SIZE  32   /* bytes of a time */
#define CLOCK_START 11   /* where a time of day begins in "2026-12-03T..." */

struct arguments
{
  const char *request_id;
  char **files;
  size_t file_count;
};

struct found
{
  char *line;
  size_t order; /* among lines of the same millisecond */
};

struct story
{
  const char *request_id;
  struct found lines[LINES_MAX];
  size_t count;
  size_t read;
};

/** How a message is told; fields stand in braces. */
struct telling
{
  enum log_message message;
  const char *text;
};

static error_t parse_option (int key, char *arg, struct argp_state *state);
static int read_file (struct story *story, const char *path);
static int read_lines (struct story *story, FILE *file);
static bool find_field (const char *line, const char *name, char *value,
                        size_t size);
static int compare (const void *a, const void *b);
static void tell (const char *line);
static void tell_template (const char *line, const char *text);
static const char *template_of (const char *message);

static const struct argp_option options[] = { { 0 } };

static const struct argp parser
    = { .options = options,
        .parser = parse_option,
        .args_doc = "ID [FILE...]",
        .doc
        = "Tell the story of the request ID from log lines in FILEs, or "
          "on standard input.  Lines of several instances may be mixed." };

static const struct telling tellings[] = {
  { LOG_REQUEST_WAITED,
    "waited {waited_ms} ms among {in_line} for {upstream} (home: {home}), "
    "which had {ahead_tokens} tokens to read and is handed {room_tokens}; its "
    "customer {customer} had {had_tokens} tokens of late, those that wait "
    "{others_had_tokens} on the mean" },
  { LOG_ATTEMPT_STARTED,
    "attempt {attempt} to {upstream} (home: {home}): {unread_tokens} tokens "
    "to read, {ahead_tokens} ahead, {remaining_ms} ms left" },
  { LOG_ATTEMPT_FAILED,
    "attempt {attempt} at {upstream} failed: {error}; so far {verdict}" },
  { LOG_REQUEST_REFUSED,
    "refused with {status}: {reason}, {verdict}, to come back after "
    "{retry_after_ms} ms; configuration {config}, {config_age_ms} ms old" },
  { LOG_REQUEST_DONE,
    "answered with {status} after {total_ms} ms, {waited_ms} of them before "
    "its last attempt; {bytes} bytes, {attempts} attempts" },
  { LOG_REQUEST_ABORTED,
    "broken off after {total_ms} ms and {bytes} bytes: {verdict}" },
  { LOG_CLIENT_GONE,
    "the client left after {total_ms} ms and {bytes} bytes: {verdict}" },
};

int
command_explain (int argc, char **argv)
{
  static struct story story;
  struct arguments arguments = { .request_id = NULL };
  int code = COMMAND_DONE;
  size_t i;

  if (argp_parse (&parser, argc, argv, 0, NULL, &arguments) != 0)
    return COMMAND_USAGE;
  story.request_id = arguments.request_id;
  if (arguments.file_count == 0)
    code = read_lines (&story, stdin);
  for (i = 0; i < arguments.file_count && code == COMMAND_DONE; i++)
    code = read_file (&story, arguments.files[i]);
  qsort (story.lines, story.count, sizeof story.lines[0], compare);
  for (i = 0; i < story.count; i++)
    {
      tell (story.lines[i].line);
      free (story.lines[i].line);
    }
  if (code == COMMAND_DONE && story.count == 0)
    {
      fprintf (stderr, "%s: not in the %zu lines read\n", story.request_id,
               story.read);
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
read_file (struct story *story, const char *path)
{
  FILE *file = fopen (path, "r");
  int code;

  if (file == NULL)
    {
      fprintf (stderr, "%s: %s\n", path, strerror (errno));
      return COMMAND_FAILED;
    }
  code = read_lines (story, file);
  fclose (file);
  return code;
}

static int
read_lines (struct story *story, FILE *file)
{
  char line[LINE_SIZE];
  char id[FIELD_SIZE];
  char *copy;

  while (fgets (line, sizeof line, file) != NULL)
    {
      story->read++;
      line[strcspn (line, "\n")] = '\0';
      if (!find_field (line, "request_id", id, sizeof id)
          || strcmp (id, story->request_id) != 0 || story->count == LINES_MAX)
        continue;
      copy = strdup (line);
      if (copy == NULL)
        {
          fputs ("no memory\n", stderr);
          return COMMAND_FAILED;
        }
      story->lines[story->count] = (struct found){ copy, story->count };
      story->count++;
    }
  return COMMAND_DONE;
}

/* Value of `name=value`; a value in quotes may hold spaces and escapes. */
static bool
find_field (const char *line, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  const char *at = line;
  size_t used = 0;
  bool quoted;

  for (;; at++)
    {
      at = strstr (at, name);
      if (at == NULL)
        return false;
      if ((at == line || at[-1] == ' ') && at[length] == '=')
        break;
    }
  at += length + 1;
  quoted = *at == '"';
  if (quoted)
    at++;
  while (*at != '\0' && *at != (quoted ? '"' : ' ') && used + 1 < size)
    {
      if (quoted && *at == '\\' && at[1] != '\0')
        at++;
      value[used++] = *at++;
    }
  value[used] = '\0';
  return true;
}

/* By time; lines of one millisecond as they were read. */
static int
compare (const void *a, const void *b)
{
  const struct found *first = a;
  const struct found *second = b;
  char first_time[STAMP_SIZE] = "";
  char second_time[STAMP_SIZE] = "";
  int order;

  find_field (first->line, "time", first_time, sizeof first_time);
  find_field (second->line, "time", second_time, sizeof second_time);
  order = strcmp (first_time, second_time);
  if (order != 0)
    return order;
  return first->order < second->order ? -1 : 1;
}

static void
tell (const char *line)
{
  char stamp[STAMP_SIZE] = "";
  char instance[FIELD_SIZE] = "";
  char message[FIELD_SIZE] = "";
  const char *text;

  find_field (line, "time", stamp, sizeof stamp);
  find_field (line, "instance", instance, sizeof instance);
  find_field (line, "msg", message, sizeof message);
  printf (
      "%s %s: ", strlen (stamp) > CLOCK_START ? stamp + CLOCK_START : stamp,
      instance[0] == '\0' ? "-" : instance);
  text = template_of (message);
  if (text == NULL)
    puts (line);
  else
    tell_template (line, text);
}

static const char *
template_of (const char *message)
{
  size_t i;

  for (i = 0; i < sizeof tellings / sizeof tellings[0]; i++)
    if (strcmp (log_messages[tellings[i].message].text, message) == 0)
      return tellings[i].text;
  return NULL;
}

static void
tell_template (const char *line, const char *text)
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
