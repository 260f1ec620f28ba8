/**
 * @file serve.c
 * The `serve` subcommand.
 */
#include "command.h"
#include <stdio.h>

int
command_serve (int argc, char **argv)
{
  (void)argc;
  (void)argv;
  fputs ("cherrylanding: serve: no settings file given\n", stderr);
  return COMMAND_USAGE;
}
