/**
 * @file apply.c
 * The `apply` subcommand: writes the objects of a file through the admin API
 * of an instance.
 */
#include "adminclient.h"
#include "command.h"
#include "protocol/object.h"
#include "protocol/settings.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_SIZE 192 /* bytes */

struct arguments
{
  struct adminclient client;
  const char *path;
};

static error_t parse_option (int key, char *arg, struct argp_state *state);
static int apply_all (const struct arguments *arguments,
                      const struct settings *settings);
static int apply_object (const struct adminclient *client,
                         enum object_kind kind, const json_t *object);

static const struct argp_child children[]
    = { { &adminclient_argp, 0, NULL, 0 }, { NULL, 0, NULL, 0 } };

static const struct argp parser
    = { .parser = parse_option,
        .args_doc = "FILE",
        .doc = "Send the customers, profiles and services of FILE to an "
               "instance.",
        .children = children };

/* Services first, as profiles refer to them. */
static const enum object_kind order[OBJECT_KIND_MAX]
    = { OBJECT_SERVICE, OBJECT_PROFILE, OBJECT_CUSTOMER };

int
command_apply (int argc, char **argv)
{
  struct arguments arguments = { .path = NULL };
  struct settings *settings = NULL;
  int code = COMMAND_FAILED;

  if (argp_parse (&parser, argc, argv, 0, NULL, &arguments) != 0)
    return COMMAND_USAGE;
  if (settings_load (arguments.path, &settings, stderr) == 0
      && settings_validate (settings, arguments.path, stderr) == 0)
    code = apply_all (&arguments, settings);
  settings_free (settings);
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
      if (arguments->path != NULL)
        argp_error (state, "more than one FILE");
      arguments->path = arg;
      return 0;
    case ARGP_KEY_END:
      if (arguments->path == NULL)
        argp_error (state, "no FILE given");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
apply_all (const struct arguments *arguments, const struct settings *settings)
{
  int code = COMMAND_SUCCESS;
  uint32_t i;
  int kind_index;

  for (kind_index = 0; kind_index < OBJECT_KIND_MAX; kind_index++)
    for (i = 0; i < object_settings_count (settings, order[kind_index]); i++)
      {
        json_t *object = object_from_settings (settings, order[kind_index], i);

        if (apply_object (&arguments->client, order[kind_index], object) != 0)
          code = COMMAND_FAILED;
        json_decref (object);
      }
  return code;
}

static int
apply_object (const struct adminclient *client, enum object_kind kind,
              const json_t *object)
{
  const char *name = json_string_value (json_object_get (object, "name"));
  struct adminclient_response response;
  char path[PATH_SIZE];
  char *body = json_dumps (object, JSON_COMPACT);
  const char *result = NULL;
  int error = -1;

  if (name == NULL || body == NULL)
    {
      free (body);
      fputs ("out of memory\n", stderr);
      return -1;
    }
  /* Names need no escaping: settings_validate allows only letters, digits,
     '.', '_' and '-'. */
  snprintf (path, sizeof path, "/admin/v1/%s/%s", object_collection (kind),
            name);
  if (adminclient_call (client, EVHTTP_REQ_PUT, path, body, &response) == 0)
    {
      result = json_string_value (json_object_get (response.json, "result"));
      if (response.status / 100 == 2 && result != NULL)
        {
          printf ("%s/%s %s\n", object_kind_name (kind), name, result);
          error = 0;
        }
      else
        adminclient_print_error (path, &response);
      adminclient_response_finish (&response);
    }
  free (body);
  return error;
}
