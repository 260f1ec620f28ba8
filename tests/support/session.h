/**
 * @file session.h
 * Replays golden sessions.  A session is a text file: lines that start with
 * "$ " are commands, and the lines below each command are its expected output.
 * The output of the replay must equal the file byte for byte.
 */
#ifndef TESTS_SUPPORT_SESSION_H
#define TESTS_SUPPORT_SESSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

struct session_command
{
  const char *name;
  int word_count; /**< including the name */
  void (*run) (void *user, char **words);
};

/** The commands and the environment of the sessions in one folder. */
struct session_kind
{
  const char *folder;
  int sessions_min; /**< least number of files expected in the folder */
  const struct session_command *commands;
  size_t command_count;
  /** Creates the environment of one session; commands write to `out`.
      @return the `user` of the commands. */
  void *(*start) (FILE *out);
  void (*finish) (void *user);
};

/** Replays each session of the folder and asserts that its output equals the
    file.  With `rewrite`, files that differ are overwritten, for review as a
    diff. */
void session_replay (const struct session_kind *kind, bool rewrite);

#endif
