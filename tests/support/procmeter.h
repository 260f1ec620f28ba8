/**
 * @file procmeter.h
 * Starts one of the system's own programs, and measures what it holds: memory
 * and the bytes that its sockets have received and it has not read.
 */
#ifndef TESTS_SUPPORT_PROCMETER_H
#define TESTS_SUPPORT_PROCMETER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct procmeter
{
  pid_t pid;              /**< 0: not started, or ended */
  uint16_t port;          /**< that it listens on for clients */
  uint16_t upstream_port; /**< that it connects to */
  uint64_t start_kb;      /**< what it held when it was ready */
  uint64_t peak_kb;       /**< most that procmeter_sample() has seen */
  uint32_t peak_fds;
};

/** Starts a program of the folder that the test is in.  Its output goes to the
    file that PROCMETER_LOG names in the environment, if any.
    @param args  with the program's name, which ends the path; NULL at the end.
    @param setting  NAME=VALUE added to the environment, or NULL.
    @return whether it was started. */
bool procmeter_start (struct procmeter *meter, const char *const *args,
                      const char *setting);
/** Ends it, by SIGTERM first. @return its exit code, or -1. */
int procmeter_stop (struct procmeter *meter);

/** Whether the process lives. */
bool procmeter_lives (struct procmeter *meter);
/** Resident memory and unread bytes, in KB.  With the sanitizers, whose own
    memory is no part of it, less start_kb. */
uint64_t procmeter_kb (const struct procmeter *meter);
uint32_t procmeter_fds (const struct procmeter *meter);
/** Measures, and keeps the peaks. */
void procmeter_sample (struct procmeter *meter);

#endif
