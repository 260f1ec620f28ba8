/**
 * @file command.c
 * The table of subcommands and the options of the program itself.
 */
#include "command.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum command_id
{
  COMMAND_SERVE,
  COMMAND_GATEWAY,
  COMMAND_CHECK,
  COMMAND_APPLY,
  COMMAND_GET,
  COMMAND_AUDIT,
  COMMAND_STATUS,
  COMMAND_DRAIN,
  COMMAND_EXPLAIN,
  COMMAND_MAX
};

struct command_entry
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
};

static int command_help (FILE *out, int code);

static const struct command_entry commands[COMMAND_MAX] = {
  [COMMAND_SERVE] = { "serve", "run a router", command_serve },
  [COMMAND_GATEWAY]
  = { "gateway", "run an instance on the users' platform", command_gateway },
  [COMMAND_CHECK]
  = { "check", "check files of settings and objects", command_check },
  [COMMAND_APPLY]
  = { "apply", "send the objects of a file to an instance", command_apply },
  [COMMAND_GET] = { "get", "print current objects", command_get },
  [COMMAND_AUDIT]
  = { "audit", "print who changed what, when and why", command_audit },
  [COMMAND_STATUS]
  = { "status", "print the state of an instance", command_status },
  [COMMAND_DRAIN]
  = { "drain", "let an instance finish its requests and exit", command_drain },
  [COMMAND_EXPLAIN]
  = { "explain", "describe what happened to a request, from log lines",
      command_explain },
};

const char *argp_program_version = "cherrylanding " CHERRYLANDING_VERSION;

int
command_main (int argc, char **argv)
{
  static char name[32]; /* argp keeps a pointer to it */
  int i;

  argp_err_exit_status = COMMAND_USAGE;
  if (argc < 2)
    return command_help (stderr, COMMAND_USAGE);
  if (strcmp (argv[1], "--help") == 0)
    return command_help (stdout, COMMAND_SUCCESS);
  if (strcmp (argv[1], "--version") == 0)
    {
      puts (argp_program_version);
      return COMMAND_SUCCESS;
    }
  for (i = 0; i < COMMAND_MAX; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      {
        snprintf (name, sizeof name, "cherrylanding %s", commands[i].name);
        argv[1] = name;
        return commands[i].run (argc - 1, argv + 1);
      }
  fprintf (stderr, "cherrylanding: unknown command '%s'\n", argv[1]);
  return command_help (stderr, COMMAND_USAGE);
}

static int
command_help (FILE *out, int code)
{
  int i;

  fputs ("Usage: cherrylanding COMMAND [OPTION...]\n\nCommands:\n", out);
  for (i = 0; i < COMMAND_MAX; i++)
    fprintf (out, "  %-8s %s\n", commands[i].name, commands[i].summary);
  fputs ("\n`cherrylanding COMMAND --help' describes a command.\n", out);
  return code;
}
