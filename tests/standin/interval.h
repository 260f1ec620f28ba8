/**
 * @file interval.h
 * Lengths of time in the form that libevent takes.
 */
#ifndef TESTS_STANDIN_INTERVAL_H
#define TESTS_STANDIN_INTERVAL_H

#include <stdint.h>
#include <sys/time.h>

static inline struct timeval
interval_us (uint64_t length_us)
{
  const struct timeval interval
      = { (time_t)(length_us / 1000000), (suseconds_t)(length_us % 1000000) };

  return interval;
}

static inline struct timeval
interval_ms (uint64_t length_ms)
{
  return interval_us (length_ms * 1000);
}

#endif
