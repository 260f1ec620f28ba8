/**
 * @file settings.c
 * Loads the YAML file with libcyaml and fills in defaults.  libcyaml stops at
 * the first error and passes it, with a backtrace, to a log callback; the
 * backtrace is converted to "FILE:LINE: PATH: reason".
 */
#include "protocol/settings.h"
#include "protocol/settings_int.h"
#include "protocol/settings_json.h"
#include "protocol/settings_source.h"
#include "state/err.h"
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_BYTES_MAX 67108864 /* largest settings file, in bytes */
#define BACKTRACE_MAX  16       /* frames */
#define STEP_SIZE      64       /* bytes of one step of a path */
#define LOG_LINE_SIZE  256      /* bytes */

/* Prefixes of libcyaml's log lines. */
#define UNEXPECTED_KEY "Unexpected key: "
#define MISSING_FIELD  "Missing required mapping field: "
#define DUPLICATE_KEY  "Mapping field already seen: "
#define LOG_PREFIX     "Load: "
#define FRAME_FIELD    "  in mapping field '"
#define FRAME_SEQUENCE "  in sequence entry '"
#define FRAME_LINE     "(line: "

/** An error as logged by libcyaml. */
struct backtrace
{
  char reason[LOG_LINE_SIZE];
  uint32_t line;
  uint32_t depth;
  char steps[BACKTRACE_MAX][STEP_SIZE]; /**< of the path, innermost first */
};

struct defaults
{
  struct settings_source *source;
  int error;
};

static char *read_file (const char *path, size_t *size, int *error);
static void on_log_line (cyaml_log_t level, void *ctx, const char *format,
                         va_list arguments)
    __attribute__ ((format (printf, 3, 0)));
static void add_frame (struct backtrace *trace, const char *line);
static void report_backtrace (const struct backtrace *trace, const char *path,
                              struct settings_source *source, FILE *errors);
static void join_steps (const struct backtrace *trace, bool mapping, char *out,
                        size_t size);
static bool starts_with (const char *text, const char *prefix);
static int fill_defaults (struct settings *settings,
                          struct settings_source *source);
static void fill_default (void *user, const char *path,
                          const struct settings_field *field, void *data);

static const cyaml_config_t free_config = { .mem_fn = cyaml_mem };

int
settings_load (const char *path, struct settings **settings, FILE *errors)
{
  size_t size = 0;
  int error = 0;
  char *text = read_file (path, &size, &error);

  if (text == NULL)
    {
      fprintf (errors, "%s: %s\n", path,
               error == ERR_NOT_FOUND ? strerror (errno) : err_name (error));
      return error;
    }
  error = settings_load_text (path, text, size, settings, errors);
  free (text);
  return error;
}

void
settings_free (struct settings *settings)
{
  if (settings != NULL)
    cyaml_free (&free_config, settings_schema (), settings, 0);
}

void
settings_free_record (enum settings_record_id id, void *record)
{
  if (record != NULL)
    cyaml_free (&free_config, settings_record_schema (id), record, 0);
}

static char *
read_file (const char *path, size_t *size, int *error)
{
  FILE *file = fopen (path, "re");
  char *text = NULL;
  long length = -1;

  *error = ERR_NOT_FOUND;
  if (file == NULL)
    return NULL;
  if (fseek (file, 0, SEEK_END) == 0)
    length = ftell (file);
  *error = length < 0 ? ERR_IO : ERR_TOO_LARGE;
  if (length >= 0 && length <= FILE_BYTES_MAX)
    {
      *error = ERR_NO_MEMORY;
      text = malloc ((size_t)length + 1);
    }
  if (text != NULL)
    {
      rewind (file);
      *size = fread (text, 1, (size_t)length, file);
      text[*size] = '\0';
      *error = 0;
    }
  fclose (file);
  return text;
}

int
settings_load_text (const char *path, const char *text, size_t size,
                    struct settings **settings, FILE *errors)
{
  struct settings_source *source = NULL;
  struct backtrace trace = { .line = 0 };
  const cyaml_config_t config = { .log_fn = on_log_line,
                                  .log_ctx = &trace,
                                  .mem_fn = cyaml_mem,
                                  .log_level = CYAML_LOG_ERROR,
                                  .flags = CYAML_CFG_NO_ALIAS };
  cyaml_data_t *data = NULL;
  uint32_t line = 0;
  int error = settings_source_parse (text, size, &source, &line, trace.reason,
                                     sizeof trace.reason);

  if (error != 0)
    {
      fprintf (errors, "%s:%u: file: %s\n", path, line, trace.reason);
      return error;
    }
  if (cyaml_load_data ((const uint8_t *)text, size, &config,
                       settings_schema (), &data, NULL)
      != CYAML_OK)
    {
      report_backtrace (&trace, path, source, errors);
      error = ERR_INVALID;
    }
  else if (data == NULL)
    {
      fprintf (errors, "%s:1: file: is empty\n", path);
      error = ERR_INVALID;
    }
  else
    error = fill_defaults (data, source);
  settings_source_free (source);
  if (error == 0)
    *settings = data;
  else
    settings_free (data);
  return error;
}

static void
on_log_line (cyaml_log_t level, void *ctx, const char *format,
             va_list arguments)
{
  struct backtrace *trace = ctx;
  char line[LOG_LINE_SIZE];
  const char *start = line;

  (void)level;
  vsnprintf (line, sizeof line, format, arguments);
  line[strcspn (line, "\n")] = '\0';
  if (starts_with (line, "  in "))
    {
      add_frame (trace, line);
      return;
    }
  if (starts_with (line, LOG_PREFIX))
    start += strlen (LOG_PREFIX);
  if (trace->reason[0] == '\0')
    snprintf (trace->reason, sizeof trace->reason, "%s", start);
}

static void
add_frame (struct backtrace *trace, const char *line)
{
  const char *mark = strstr (line, FRAME_LINE);
  char *step = trace->steps[trace->depth];

  if (mark != NULL && trace->line == 0)
    trace->line = (uint32_t)strtoul (mark + strlen (FRAME_LINE), NULL, 10);
  if (trace->depth == BACKTRACE_MAX)
    return;
  if (starts_with (line, FRAME_FIELD))
    {
      line += strlen (FRAME_FIELD);
      snprintf (step, STEP_SIZE, ".%.*s", (int)strcspn (line, "'"), line);
      trace->depth++;
    }
  else if (starts_with (line, FRAME_SEQUENCE))
    {
      unsigned long number
          = strtoul (line + strlen (FRAME_SEQUENCE), NULL, 10);

      snprintf (step, STEP_SIZE, "[%lu]", number == 0 ? 0 : number - 1);
      trace->depth++;
    }
}

static void
report_backtrace (const struct backtrace *trace, const char *path,
                  struct settings_source *source, FILE *errors)
{
  char value_path[SETTINGS_PATH_SIZE * 2];
  const char *reason = trace->reason;
  const char *key = "";
  uint32_t line;

  if (starts_with (reason, UNEXPECTED_KEY))
    {
      key = reason + strlen (UNEXPECTED_KEY);
      reason = "unknown field";
    }
  else if (starts_with (reason, MISSING_FIELD))
    {
      key = reason + strlen (MISSING_FIELD);
      reason = "is missing";
    }
  else if (starts_with (reason, DUPLICATE_KEY))
    reason = "duplicate field";
  join_steps (trace, *key != '\0', value_path, sizeof value_path);
  line = settings_source_line (source, value_path);
  if (*key != '\0')
    {
      size_t length = strlen (value_path);

      snprintf (value_path + length, sizeof value_path - length, "%s%s",
                length == 0 ? "" : ".", key);
    }
  if (settings_source_line (source, value_path) > 0)
    line = settings_source_line (source, value_path);
  if (line == 0 || (*key == '\0' && trace->line > line))
    line = trace->line;
  fprintf (errors, "%s:%u: %s: %s\n", path, line == 0 ? 1 : line,
           value_path[0] == '\0' ? "file" : value_path, reason);
}

/* For an error of a whole mapping libcyaml's innermost step is the mapping's
   last field; `mapping` omits that step. */
static void
join_steps (const struct backtrace *trace, bool mapping, char *out,
            size_t size)
{
  uint32_t first = mapping && trace->steps[0][0] == '.' ? 1 : 0;
  size_t length = 0;
  uint32_t i;

  out[0] = '\0';
  for (i = trace->depth; i > first; i--)
    {
      const char *step = trace->steps[i - 1];

      step += length == 0 && *step == '.';
      length += (size_t)snprintf (out + length, size - length, "%s", step);
      if (length >= size)
        return;
    }
}

static bool
starts_with (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

static int
fill_defaults (struct settings *settings, struct settings_source *source)
{
  struct defaults defaults = { .source = source };

  settings_walk (SETTINGS_RECORD_TOP, settings, "", fill_default, &defaults);
  return defaults.error;
}

static void
fill_default (void *user, const char *path, const struct settings_field *field,
              void *data)
{
  struct defaults *defaults = user;

  if (field->kind == SETTINGS_TEXT && *(char **)data == NULL
      && field->default_text != NULL)
    {
      *(char **)data = strdup (field->default_text);
      if (*(char **)data == NULL)
        defaults->error = ERR_NO_MEMORY;
    }
  if (field->kind == SETTINGS_U32
      && settings_source_line (defaults->source, path) == 0)
    *(uint32_t *)data = (uint32_t)field->default_value;
  if (field->kind == SETTINGS_U64
      && settings_source_line (defaults->source, path) == 0)
    *(uint64_t *)data = field->default_value;
}
