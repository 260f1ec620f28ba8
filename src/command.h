/**
 * @file command.h
 * Subcommands of the program.  Each parses its own arguments (argv[0] is
 * "cherrylanding NAME") and returns an exit code.
 */
#ifndef COMMAND_H
#define COMMAND_H

/** Exit codes. */
enum command_exit
{
  COMMAND_SUCCESS = 0,
  COMMAND_FAILED = 1,
  COMMAND_USAGE = 2
};

int command_main (int argc, char **argv);

int command_serve (int argc, char **argv);
int command_gateway (int argc, char **argv);
int command_check (int argc, char **argv);
int command_apply (int argc, char **argv);
int command_get (int argc, char **argv);
int command_audit (int argc, char **argv);
int command_status (int argc, char **argv);
int command_drain (int argc, char **argv);
int command_explain (int argc, char **argv);

#endif
