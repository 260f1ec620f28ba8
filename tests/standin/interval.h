/**
 * @file interval.h
 * Conversion of durations to the struct timeval that libevent takes.
 */
#ifndef TESTS_STANDIN_INTERVAL_H
#define TESTS_STANDIN_INTERVAL_H

#include <stdint.h>
#include <sys/time.h>

static inline struct timeval
interval_us (uint64_t duration_us)
{
  const struct timeval interval = { (time_t)(duration_us / 1000000),
                                    (suseconds_t)(duration_us % 1000000) };

  return interval;
}

static inline struct timeval
interval_ms (uint64_t duration_ms)
{
  return interval_us (duration_ms * 1000);
}

#endif
