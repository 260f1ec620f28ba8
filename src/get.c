/**
 * @file get.c
 * The `get` subcommand: prints the current objects.
 */
#include "adminclient.h"
#include "command.h"
#include "protocol/object.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#define PATH_SIZE 512 /* bytes */

struct arguments
{
  struct adminclient client;
  const char *kind;
  const char *name;
};

static error_t parse_option (int key, char *arg, struct argp_state *state);
static int print_all (const struct adminclient *client);

static const struct argp_child children[]
    = { { &adminclient_argp, 0, NULL, 0 }, { NULL, 0, NULL, 0 } };

static const struct argp parser
    = { .parser = parse_option,
        .args_doc = "[KIND [NAME]]",
        .doc = "Print the current objects.  KIND is customers, profiles or "
               "services.",
        .children = children };

int
command_get (int argc, char **argv)
{
  struct arguments arguments = { .kind = NULL };
  enum object_kind kind;
  char path[PATH_SIZE];
  char *name;

  if (argp_parse (&parser, argc, argv, 0, NULL, &arguments) != 0)
    return COMMAND_USAGE;
  if (arguments.kind == NULL)
    return print_all (&arguments.client);
  kind = object_find_kind (arguments.kind);
  if (kind == OBJECT_KIND_MAX)
    {
      fprintf (stderr, "%s: not customers, profiles or services\n",
               arguments.kind);
      return COMMAND_USAGE;
    }
  name = adminclient_escape (arguments.name == NULL ? "" : arguments.name);
  snprintf (path, sizeof path, "/admin/v1/%s%s%s", object_collection (kind),
            arguments.name == NULL ? "" : "/", name == NULL ? "" : name);
  free (name);
  return adminclient_print (&arguments.client, path);
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
      if (state->arg_num > 1)
        argp_error (state, "too many arguments");
      if (state->arg_num == 0)
        arguments->kind = arg;
      else
        arguments->name = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
print_all (const struct adminclient *client)
{
  char path[PATH_SIZE];
  int code = COMMAND_SUCCESS;
  int kind;

  for (kind = 0; kind < OBJECT_KIND_MAX && code == COMMAND_SUCCESS; kind++)
    {
      snprintf (path, sizeof path, "/admin/v1/%s",
                object_collection ((enum object_kind)kind));
      code = adminclient_print (client, path);
    }
  return code;
}
