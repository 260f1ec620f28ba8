/**
 * @file audit.c
 * The `audit` subcommand: prints the change history of objects.
 */
#include "adminclient.h"
#include "command.h"
#include <argp.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PATH_SIZE 512 /* bytes */
#define TIME_SIZE 32  /* bytes */

struct arguments
{
  struct adminclient client;
  const char *key;
};

static error_t parse_option (int key, char *arg, struct argp_state *state);
static void print_change (const json_t *change);
static void print_field (const json_t *field);
static void format_time (json_int_t time_ms, char *out, size_t size);
static const char *string_member (const json_t *object, const char *key);

static const struct argp_child children[]
    = { { &adminclient_argp, 0, NULL, 0 }, { NULL, 0, NULL, 0 } };

static const struct argp parser
    = { .parser = parse_option,
        .args_doc = "[KEY]",
        .doc = "Print the changes of all objects, or of one KEY such as "
               "customer/NAME, newest first.",
        .children = children };

int
command_audit (int argc, char **argv)
{
  struct arguments arguments = { .key = NULL };
  struct adminclient_response response;
  char path[PATH_SIZE];
  char *key;
  const json_t *changes;
  size_t i;
  int code = COMMAND_FAILED;

  if (argp_parse (&parser, argc, argv, 0, NULL, &arguments) != 0)
    return COMMAND_USAGE;
  key = adminclient_escape (arguments.key == NULL ? "" : arguments.key);
  snprintf (path, sizeof path, "/admin/v1/audit%s%s",
            arguments.key == NULL ? "" : "?key=", key == NULL ? "" : key);
  free (key);
  if (adminclient_call (&arguments.client, EVHTTP_REQ_GET, path, NULL,
                        &response)
      != 0)
    return COMMAND_FAILED;
  changes = json_object_get (response.json, "changes");
  if (response.status == HTTP_OK && json_is_array (changes))
    {
      for (i = 0; i < json_array_size (changes); i++)
        print_change (json_array_get (changes, i));
      code = COMMAND_SUCCESS;
    }
  else
    adminclient_print_error ("audit", &response);
  adminclient_response_finish (&response);
  return code;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &arguments->client;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->key != NULL)
        argp_error (state, "more than one KEY");
      arguments->key = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
print_change (const json_t *change)
{
  const json_t *fields = json_object_get (change, "fields");
  const char *reason = string_member (change, "reason");
  char time_text[TIME_SIZE];
  size_t i;

  format_time (json_integer_value (json_object_get (change, "time_ms")),
               time_text, sizeof time_text);
  printf ("%s %s %s%s%s\n", time_text, string_member (change, "operator"),
          string_member (change, "key"), *reason == '\0' ? "" : ": ", reason);
  for (i = 0; i < json_array_size (fields); i++)
    print_field (json_array_get (fields, i));
}

static void
print_field (const json_t *field)
{
  char *before = json_dumps (json_object_get (field, "old"),
                             JSON_COMPACT | JSON_ENCODE_ANY);
  char *after = json_dumps (json_object_get (field, "new"),
                            JSON_COMPACT | JSON_ENCODE_ANY);

  printf ("  %s: %s -> %s\n", string_member (field, "path"),
          before == NULL ? "?" : before, after == NULL ? "?" : after);
  free (before);
  free (after);
}

static void
format_time (json_int_t time_ms, char *out, size_t size)
{
  time_t seconds = (time_t)(time_ms / 1000);
  struct tm utc;

  if (gmtime_r (&seconds, &utc) == NULL
      || strftime (out, size, "%Y-%m-%dT%H:%M:%SZ", &utc) == 0)
    snprintf (out, size, "?");
}

static const char *
string_member (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text == NULL ? "" : text;
}
