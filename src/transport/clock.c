/**
 * @file clock.c
 * The system clock, and a manual clock for tests.
 */
#include "transport/clock.h"
#include <time.h>

static uint64_t real_monotonic_ns (const struct clock *clock);
static uint64_t real_wall_ms (const struct clock *clock);
static uint64_t manual_monotonic_ns (const struct clock *clock);
static uint64_t manual_wall_ms (const struct clock *clock);

void
clock_init_real (struct clock *clock)
{
  clock->monotonic_ns = real_monotonic_ns;
  clock->wall_ms = real_wall_ms;
  clock->manual_ns = 0;
  clock->manual_wall_ms = 0;
}

void
clock_init_manual (struct clock *clock, uint64_t start_ns, uint64_t wall_ms)
{
  clock->monotonic_ns = manual_monotonic_ns;
  clock->wall_ms = manual_wall_ms;
  clock->manual_ns = start_ns;
  clock->manual_wall_ms = wall_ms;
}

void
clock_advance_ms (struct clock *clock, uint64_t duration_ms)
{
  clock->manual_ns += duration_ms * CLOCK_NS_PER_MS;
}

struct timeval
clock_timeval (uint32_t duration_ms)
{
  return (struct timeval){ .tv_sec = duration_ms / 1000,
                           .tv_usec
                           = (suseconds_t)(duration_ms % 1000) * 1000 };
}

uint64_t
clock_now_ns (const struct clock *clock)
{
  return clock->monotonic_ns (clock);
}

uint64_t
clock_wall_ms (const struct clock *clock)
{
  return clock->wall_ms (clock);
}

static uint64_t
real_monotonic_ns (const struct clock *clock)
{
  struct timespec ts;

  (void)clock;
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (uint64_t)ts.tv_sec * CLOCK_NS_PER_S + (uint64_t)ts.tv_nsec;
}

static uint64_t
real_wall_ms (const struct clock *clock)
{
  struct timespec ts;

  (void)clock;
  clock_gettime (CLOCK_REALTIME, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / CLOCK_NS_PER_MS;
}

static uint64_t
manual_monotonic_ns (const struct clock *clock)
{
  return clock->manual_ns;
}

static uint64_t
manual_wall_ms (const struct clock *clock)
{
  return clock->manual_wall_ms + clock->manual_ns / CLOCK_NS_PER_MS;
}
