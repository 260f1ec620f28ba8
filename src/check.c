/**
 * @file check.c
 * The `check` subcommand: says what is wrong with a settings file.
 */
#include "command.h"
#include "protocol/settings.h"
#include <argp.h>
#include <stdio.h>

static error_t parse_option (int key, char *arg, struct argp_state *state);

static const struct argp parser
    = { .parser = parse_option,
        .args_doc = "FILE",
        .doc = "Check a settings file and print every fault as "
               "FILE:LINE: PATH: reason." };

int
command_check (int argc, char **argv)
{
  const char *path = NULL;
  struct settings *settings = NULL;
  int error;

  if (argp_parse (&parser, argc, argv, 0, NULL, &path) != 0)
    return COMMAND_USAGE;
  error = settings_load (path, &settings, stderr);
  if (error == 0)
    error = settings_validate (settings, path, stderr);
  if (error == 0)
    printf ("%s: %u customers, %u profiles, %u services%s\n", path,
            settings->customers_count, settings->profiles_count,
            settings->services_count,
            settings->router == NULL ? "" : ", router settings");
  settings_free (settings);
  return error == 0 ? COMMAND_DONE : COMMAND_FAILED;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  const char **path = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (*path != NULL)
        argp_error (state, "more than one FILE");
      *path = arg;
      return 0;
    case ARGP_KEY_END:
      if (*path == NULL)
        argp_error (state, "no FILE given");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}
