/**
 * @file logpipe.c
 * Log lines in a pipe.
 */
#include "support/logpipe.h"
#include "transport/log.h"
#include <CUnit/CUnit.h>
#include <fcntl.h>
#include <unistd.h>

void
logpipe_init (struct logpipe *logpipe)
{
  CU_ASSERT_EQUAL_FATAL (pipe2 (logpipe->fds, O_NONBLOCK), 0);
  log_set_sink (&(struct log_sink){ .fd = logpipe->fds[1] });
}

void
logpipe_finish (struct logpipe *logpipe)
{
  ssize_t size;

  log_set_sink (&(struct log_sink){ .fd = STDOUT_FILENO });
  size = read (logpipe->fds[0], logpipe->text, sizeof logpipe->text - 1);
  logpipe->text[size < 0 ? 0 : size] = '\0';
  close (logpipe->fds[0]);
  close (logpipe->fds[1]);
}
