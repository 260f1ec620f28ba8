/**
 * @file test_clock.c
 * A process that was suspended with its machine finds that the time has
 * passed: what it was permitted before has run out.
 */
#include "state/event_times.h"
#include "support/suite.h"
#include "transport/clock.h"
#include <time.h>

#define SUSPENDED_S 5

static time_t suspended_s;

/* Takes the place of the C library's: only some clocks count the time for
   which the machine is suspended. */
int
clock_gettime (clockid_t id, struct timespec *ts)
{
  ts->tv_sec = 1000 + (id == CLOCK_MONOTONIC ? 0 : suspended_s);
  ts->tv_nsec = 0;
  return 0;
}

static void
test_suspended (void)
{
  struct clock clock;
  uint64_t before_ns;

  clock_init_real (&clock);
  suspended_s = 0;
  before_ns = clock_now_ns (&clock);
  suspended_s = SUSPENDED_S;
  CU_ASSERT_EQUAL (clock_now_ns (&clock) - before_ns,
                   SUSPENDED_S * CLOCK_NS_PER_S);
}

/* The first event ends the forecast; later attempts and events do not count.
 */
static void
test_event_times (void)
{
  struct event_times times = { .first_ns = 0 };

  event_times_sent (&times, 100, 50);
  event_times_sent (&times, 200, 70);
  CU_ASSERT_EQUAL (event_times_to_first_ns (&times), 0);
  event_times_arrived (&times, 300);
  CU_ASSERT_EQUAL (event_times_to_first_ns (&times), 100);
  event_times_sent (&times, 400, 10);
  event_times_arrived (&times, 450);
  event_times_arrived (&times, 460);
  CU_ASSERT_EQUAL (event_times_to_first_ns (&times), 100);
  CU_ASSERT_EQUAL (times.forecast_ns, 70);
  CU_ASSERT_EQUAL (times.longest_gap_ns, 150);
}

static const struct suite_test tests[] = {
  { "suspended machine", test_suspended },
  { "times of events", test_event_times },
};

SUITE_MAIN ("test_clock", tests)
