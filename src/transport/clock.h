/**
 * @file clock.h
 * The runtime's clock as a table of functions.  Tests use a manual clock,
 * which stands still until it is advanced.
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

/** The machine's clocks. */
void clock_init_real (struct clock *clock);
/** A clock that stands at `start_ns`. */
void clock_init_manual (struct clock *clock, uint64_t start_ns,
                        uint64_t wall_ms);
void clock_advance_ms (struct clock *clock, uint64_t duration_ms);

/** A duration as libevent takes it. */
struct timeval clock_timeval (uint32_t duration_ms);

uint64_t clock_now_ns (const struct clock *clock);
uint64_t clock_wall_ms (const struct clock *clock);

#endif
