/**
 * @file check.c
 * The `check` subcommand: validates settings files.
 */
#include "command.h"
#include "protocol/settings.h"
#include <argp.h>
#include <stdio.h>

static error_t parse_option (int key, char *arg, struct argp_state *state);
static int check_file (const char *path);

static const struct argp parser
    = { .parser = parse_option,
        .args_doc = "FILE...",
        .doc = "Check files of settings and objects, and print every error "
               "as FILE:LINE: PATH: reason." };

int
command_check (int argc, char **argv)
{
  int first_file = 0;
  int code = COMMAND_SUCCESS;

  if (argp_parse (&parser, argc, argv, ARGP_IN_ORDER, &first_file, NULL) != 0)
    return COMMAND_USAGE;
  for (; first_file < argc; first_file++)
    if (check_file (argv[first_file]) != 0)
      code = COMMAND_FAILED;
  return code;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  (void)arg;
  switch (key)
    {
    case ARGP_KEY_ARG:
      return ARGP_ERR_UNKNOWN; /* ends parsing; argp sets `first_file` */
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "no FILE given");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
check_file (const char *path)
{
  struct settings *settings = NULL;
  int error = settings_load (path, &settings, stderr);

  if (error == 0)
    error = settings_validate (settings, path, stderr);
  if (error == 0)
    printf ("%s: %u customers, %u profiles, %u services%s\n", path,
            settings->customers_count, settings->profiles_count,
            settings->services_count,
            settings->router == NULL ? "" : ", router settings");
  settings_free (settings);
  return error;
}
