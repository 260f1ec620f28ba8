/**
 * @file status.c
 * The `status` subcommand: prints the state of an instance.
 */
#include "adminclient.h"
#include "command.h"
#include <argp.h>

static error_t parse_option (int key, char *arg, struct argp_state *state);

static const struct argp_child children[]
    = { { &adminclient_argp, 0, NULL, 0 }, { NULL, 0, NULL, 0 } };

static const struct argp parser
    = { .parser = parse_option,
        .doc = "Print the state of an instance, its members, slots and "
               "customers.",
        .children = children };

int
command_status (int argc, char **argv)
{
  struct adminclient client = { .address = NULL };

  if (argp_parse (&parser, argc, argv, 0, NULL, &client) != 0)
    return COMMAND_USAGE;
  return adminclient_print (&client, "/admin/v1/status");
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  (void)arg;
  if (key != ARGP_KEY_INIT)
    return ARGP_ERR_UNKNOWN;
  state->child_inputs[0] = state->input;
  return 0;
}
