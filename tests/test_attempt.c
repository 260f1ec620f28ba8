/**
 * @file test_attempt.c
 * The verdict is derived from the furthest step of all attempts, and the
 * verdict decides whether another attempt is allowed.
 */
#include "state/attempt.h"
#include "state/err.h"
#include "support/suite.h"

/* A request whose first attempt has reached `step`. */
static struct attempt
attempt_at (enum attempt_step step, bool idempotent)
{
  struct attempt attempt;

  attempt_init (&attempt, idempotent, 3);
  CU_ASSERT_EQUAL (attempt_start (&attempt, 1, 0), 0);
  if (step > ATTEMPT_LEASED)
    CU_ASSERT_EQUAL (attempt_advance (&attempt, step, 1), 0);
  return attempt;
}

static void
test_verdict_and_retry_by_step (void)
{
  static const struct
  {
    enum verdict verdict;
    bool retry_non_idempotent; /**< if not idempotent */
    bool retry_idempotent;     /**< if idempotent */
  } expected[ATTEMPT_STEP_MAX] = {
    [ATTEMPT_LEASED] = { VERDICT_NOT_RUN, true, true },
    [ATTEMPT_CONNECTING] = { VERDICT_NOT_RUN, true, true },
    [ATTEMPT_SENDING] = { VERDICT_MAY_HAVE_RUN, false, true },
    [ATTEMPT_SENT] = { VERDICT_MAY_HAVE_RUN, false, true },
    [ATTEMPT_RESPONDING] = { VERDICT_MAY_HAVE_RUN, false, true },
    [ATTEMPT_DONE] = { VERDICT_RAN, false, false },
  };
  struct attempt attempt;
  int step;

  for (step = ATTEMPT_LEASED; step < ATTEMPT_STEP_MAX; step++)
    {
      attempt = attempt_at ((enum attempt_step)step, false);
      CU_ASSERT_EQUAL (attempt_verdict (&attempt), expected[step].verdict);
      CU_ASSERT_EQUAL (attempt_may_retry (&attempt),
                       expected[step].retry_non_idempotent);
      attempt = attempt_at ((enum attempt_step)step, true);
      CU_ASSERT_EQUAL (attempt_may_retry (&attempt),
                       expected[step].retry_idempotent);
    }
}

static void
test_steps_cannot_go_back (void)
{
  struct attempt attempt = attempt_at (ATTEMPT_SENT, true);

  CU_ASSERT_EQUAL (attempt_advance (&attempt, ATTEMPT_SENT, 2), ERR_INVALID);
  CU_ASSERT_EQUAL (attempt_advance (&attempt, ATTEMPT_SENDING, 2),
                   ERR_INVALID);
}

static void
test_verdict_covers_earlier_attempts (void)
{
  struct attempt attempt = attempt_at (ATTEMPT_SENDING, true);

  CU_ASSERT_EQUAL (attempt_start (&attempt, 2, 1), 0);
  CU_ASSERT_EQUAL (attempt.step, ATTEMPT_LEASED);
  CU_ASSERT_EQUAL (attempt_verdict (&attempt), VERDICT_MAY_HAVE_RUN);
  /* Rejection of the second attempt does not change the verdict on the
     first. */
  CU_ASSERT_EQUAL (attempt_advance (&attempt, ATTEMPT_SENT, 2), 0);
  attempt_mark_rejected (&attempt);
  CU_ASSERT_EQUAL (attempt_verdict (&attempt), VERDICT_MAY_HAVE_RUN);
}

static void
test_rejection_by_upstream (void)
{
  struct attempt attempt = attempt_at (ATTEMPT_RESPONDING, false);

  attempt_mark_rejected (&attempt);
  CU_ASSERT_EQUAL (attempt_verdict (&attempt), VERDICT_NOT_RUN);
  CU_ASSERT_EQUAL (attempt_start (&attempt, 2, 1), 0);
  CU_ASSERT_EQUAL (attempt_advance (&attempt, ATTEMPT_SENDING, 2), 0);
  CU_ASSERT_EQUAL (attempt_start (&attempt, 3, 3), ERR_INVALID);
}

static void
test_attempt_limit (void)
{
  struct attempt attempt = attempt_at (ATTEMPT_LEASED, true);

  CU_ASSERT_EQUAL (attempt_start (&attempt, 1, 0), 0);
  CU_ASSERT_EQUAL (attempt_start (&attempt, 1, 0), 0);
  CU_ASSERT_FALSE (attempt_may_retry (&attempt));
  CU_ASSERT_EQUAL (attempt_start (&attempt, 1, 0), ERR_INVALID);
  CU_ASSERT_EQUAL (attempt.number, 3);
}

static const struct suite_test tests[] = {
  { "verdict and retry by step", test_verdict_and_retry_by_step },
  { "steps cannot go back", test_steps_cannot_go_back },
  { "verdict covers earlier attempts", test_verdict_covers_earlier_attempts },
  { "rejection by the upstream", test_rejection_by_upstream },
  { "limit on attempts", test_attempt_limit },
};

SUITE_MAIN ("test_attempt", tests)
