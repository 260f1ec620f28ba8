/**
 * @file logpipe.h
 * Keeps the log lines of a part of a test.
 */
#ifndef TESTS_SUPPORT_LOGPIPE_H
#define TESTS_SUPPORT_LOGPIPE_H

#define LOGPIPE_SIZE 65536 /* bytes; what a pipe holds */

struct logpipe
{
  int fds[2];
  char text[LOGPIPE_SIZE]; /* after logpipe_finish */
};

/** Lines go to the pipe from now on. */
void logpipe_init (struct logpipe *logpipe);
/** Lines go to standard output again. */
void logpipe_finish (struct logpipe *logpipe);

#endif
