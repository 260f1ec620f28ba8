/**
 * @file session.h
 * Replays golden sessions.  A session is one text file: lines that start with
 * "$ " are commands, the lines below each are what came of it.  The replay
 * must give the file back byte for byte.
 */
#ifndef TESTS_SUPPORT_SESSION_H
#define TESTS_SUPPORT_SESSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

struct session_command
{
  const char *name;
  int words; /**< with the name */
  void (*run) (void *user, char **words);
};

/** What sessions of a folder are played on. */
struct session_kind
{
  const char *folder;
  int sessions; /**< at least */
  const struct session_command *commands;
  size_t command_count;
  /** Makes the world of one session, which writes to `out`. */
  void *(*start) (FILE *out);
  void (*finish) (void *user);
};

/** Replays each session of the folder and asserts that it is the same; with
    `rewrite` it writes the files anew, for a person to read the diff. */
void session_replay (const struct session_kind *kind, bool rewrite);

#endif
