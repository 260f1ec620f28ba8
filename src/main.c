/**
 * @file main.c
 * Command line: dispatches to subcommands.
 */
#include "command.h"

int
main (int argc, char **argv)
{
  return command_main (argc, argv);
}
