/**
 * @file test_hist.c
 * Buckets of the latency histogram, and counters of attempts and outcomes.
 */
#include "state/hist.h"
#include "state/metrics.h"
#include "support/suite.h"

static void
test_bucket_bounds (void)
{
  struct hist hist = { 0 };
  size_t i;

  for (i = 0; i + 1 < HIST_BUCKETS; i++)
    {
      CU_ASSERT (hist_bound_us (i) < hist_bound_us (i + 1));
      hist_observe (&hist, hist_bound_us (i));
      hist_observe (&hist, hist_bound_us (i) + 1);
    }
  /* Upper bounds are inclusive; a value greater by 1 is in the next bucket. */
  CU_ASSERT_EQUAL (hist.buckets[0], 1);
  for (i = 1; i + 1 < HIST_BUCKETS; i++)
    CU_ASSERT_EQUAL (hist.buckets[i], 2);
  CU_ASSERT_EQUAL (hist.buckets[HIST_BUCKETS - 1], 1);
  CU_ASSERT_EQUAL (hist.count, 2ULL * (HIST_BUCKETS - 1));
  hist_observe (&hist, UINT64_MAX);
  CU_ASSERT_EQUAL (hist.buckets[HIST_BUCKETS - 1], 2);
}

static void
test_attempts_and_outcomes (void)
{
  struct metrics metrics = { 0 };
  struct metrics_customer_service *counters;

  metrics_attempt (&metrics, 1, 2, 1);
  metrics_attempt (&metrics, 1, 2, 2);
  metrics_attempt (&metrics, 2, 1, 1);
  metrics_outcome (&metrics, 1, 2, METRICS_ABORTED);
  metrics_refused (&metrics, REFUSAL_DEADLINE);
  counters = metrics_customer_service (&metrics, 1, 2);
  CU_ASSERT_EQUAL (counters->attempts, 2);
  CU_ASSERT_EQUAL (counters->retries, 1);
  CU_ASSERT_EQUAL (counters->outcomes[METRICS_ABORTED], 1);
  CU_ASSERT_EQUAL (counters->outcomes[METRICS_COMPLETED], 0);
  CU_ASSERT_EQUAL (metrics_customer_service (&metrics, 2, 1)->attempts, 1);
  CU_ASSERT_EQUAL (metrics.refused[REFUSAL_DEADLINE], 1);
  CU_ASSERT_PTR_EQUAL (metrics_service (&metrics, 9),
                       metrics_service (&metrics, 9));
  metrics_finish (&metrics);
}

static const struct suite_test tests[] = {
  { "bucket bounds", test_bucket_bounds },
  { "attempts and outcomes", test_attempts_and_outcomes },
};

SUITE_MAIN ("test_hist", tests)
