/**
 * @file clock.h
 * Monotonic and wall clock time through a table of functions, so that tests
 * can use a manual clock, which only moves when it is advanced.
 */
#ifndef TRANSPORT_CLOCK_H
#define TRANSPORT_CLOCK_H

#include <stdint.h>
#include <sys/time.h>

#define CLOCK_NS_PER_US 1000ULL       /**< nanoseconds */
#define CLOCK_NS_PER_MS 1000000ULL    /**< nanoseconds */
#define CLOCK_NS_PER_S  1000000000ULL /**< nanoseconds */

struct clock
{
  uint64_t (*monotonic_ns) (const struct clock *clock);
  uint64_t (*wall_ms) (const struct clock *clock); /**< since the epoch */
  uint64_t manual_ns;      /**< used by the manual clock only */
  uint64_t manual_wall_ms; /**< wall time of manual_ns 0 */
};

/** Uses CLOCK_MONOTONIC and CLOCK_REALTIME. */
void clock_init_real (struct clock *clock);
/** Uses a manual clock that starts at `start_ns`.  `wall_ms` is the wall time
    that corresponds to a monotonic time of 0. */
void clock_init_manual (struct clock *clock, uint64_t start_ns,
                        uint64_t wall_ms);
void clock_advance_ms (struct clock *clock, uint64_t duration_ms);

/** Converts a duration to the type that libevent expects. */
struct timeval clock_timeval (uint32_t duration_ms);

uint64_t clock_now_ns (const struct clock *clock);
uint64_t clock_wall_ms (const struct clock *clock);

#endif
