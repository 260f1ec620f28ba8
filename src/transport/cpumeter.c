/**
 * @file cpumeter.c
 * Measures CPU time with the CPU clock of the calling thread.
 */
#include "transport/cpumeter.h"
#include "transport/clock.h"
#include <time.h>

static uint64_t thread_cpu_ns (void);

void
cpumeter_enter (struct cpumeter *meter)
{
  if (meter->depth++ == 0)
    meter->start_ns = thread_cpu_ns ();
}

void
cpumeter_leave (struct cpumeter *meter)
{
  if (--meter->depth == 0)
    meter->total_ns += thread_cpu_ns () - meter->start_ns;
}

static uint64_t
thread_cpu_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &ts);
  return (uint64_t)ts.tv_sec * CLOCK_NS_PER_S + (uint64_t)ts.tv_nsec;
}
