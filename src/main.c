/**
 * @file main.c
 * Entry point of the program.
 */
#include "command.h"

int
main (int argc, char **argv)
{
  return command_main (argc, argv);
}
