/**
 * @file test_looptime.c
 * Time of an event loop by kind of work.
 */
#include "support/suite.h"
#include "transport/looptime.h"

#define START_NS 1000000000ULL

/* Time counts for the innermost kind of work, and the outer one goes on. */
static void
test_nested_work (void)
{
  struct clock clock;
  struct looptime time = { .clock = &clock };
  enum loop_work outer;
  enum loop_work inner;

  clock_init_manual (&clock, START_NS, 0);
  outer = looptime_begin (&time, LOOP_WORK_PARSE);
  CU_ASSERT_EQUAL (outer, LOOP_WORK_OTHER);
  clock_advance_ms (&clock, 2);
  inner = looptime_begin (&time, LOOP_WORK_SEND);
  CU_ASSERT_EQUAL (inner, LOOP_WORK_PARSE);
  clock_advance_ms (&clock, 3);
  looptime_begin (&time, inner);
  clock_advance_ms (&clock, 4);
  looptime_begin (&time, outer);
  clock_advance_ms (&clock, 5);
  looptime_begin (&time, LOOP_WORK_OTHER);
  CU_ASSERT_EQUAL (time.total_ns[LOOP_WORK_PARSE], 6 * CLOCK_NS_PER_MS);
  CU_ASSERT_EQUAL (time.total_ns[LOOP_WORK_SEND], 3 * CLOCK_NS_PER_MS);
  CU_ASSERT_EQUAL (time.total_ns[LOOP_WORK_OTHER], 5 * CLOCK_NS_PER_MS);
}

/* Each kind has a name, which is a field of a log line. */
static void
test_names (void)
{
  int work;

  for (work = 0; work < LOOP_WORK_MAX; work++)
    CU_ASSERT_PTR_NOT_NULL (looptime_name ((enum loop_work)work));
}

static const struct suite_test tests[] = {
  { "nested work", test_nested_work },
  { "names", test_names },
};

SUITE_MAIN ("test_looptime", tests)
