/**
 * @file test_time_share.c
 * Shares of a loop's time.
 */
#include "state/time_share.h"
#include "support/suite.h"

#define MS       1000000ULL
#define PERMILLE 250
#define BURST_MS 20
#define HOUR_NS  (3600000 * MS)

static const struct time_share quarter
    = { .permille = PERMILLE, .burst_ns = BURST_MS * MS, .at_ns = MS };

/* Nothing else takes time: the burst, then a quarter of what passes. */
static void
test_share (void)
{
  struct time_share share = quarter;
  uint64_t now_ns = MS;
  uint64_t taken_ns = 0;
  uint64_t left_ns;
  int i;

  CU_ASSERT_EQUAL (time_share_left_ns (&share, now_ns), BURST_MS * MS);
  for (i = 0; i < 10000; i++)
    {
      left_ns = time_share_left_ns (&share, now_ns);
      CU_ASSERT (left_ns <= BURST_MS * MS);
      if (left_ns > 0)
        {
          time_share_take (&share, now_ns, now_ns + MS);
          taken_ns += MS;
        }
      now_ns += MS;
    }
  CU_ASSERT (taken_ns >= 10000 * MS / 1000 * PERMILLE);
  CU_ASSERT (taken_ns <= 10000 * MS / 1000 * PERMILLE + (BURST_MS + 1) * MS);
}

/* What was not taken is not saved up beyond the burst. */
static void
test_burst (void)
{
  struct time_share share = quarter;

  CU_ASSERT_EQUAL (time_share_left_ns (&share, HOUR_NS), BURST_MS * MS);
  time_share_take (&share, HOUR_NS, HOUR_NS + 100 * MS);
  CU_ASSERT_EQUAL (time_share_left_ns (&share, HOUR_NS + 100 * MS), 0);
}

/* A clock that steps back neither gives nor takes time. */
static void
test_clock_back (void)
{
  struct time_share share = quarter;

  time_share_take (&share, 1000 * MS, 1010 * MS);
  CU_ASSERT_EQUAL (time_share_left_ns (&share, MS), 10 * MS);
  CU_ASSERT_EQUAL (time_share_left_ns (&share, 0), 10 * MS);
  time_share_take (&share, 10 * MS, 5 * MS);
  CU_ASSERT_EQUAL (time_share_left_ns (&share, 0), 10 * MS);
}

static const struct suite_test tests[] = {
  { "share", test_share },
  { "burst", test_burst },
  { "clock steps back", test_clock_back },
};

SUITE_MAIN ("test_time_share", tests)
