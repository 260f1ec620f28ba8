/**
 * @file test_verdict.c
 * Names of verdicts and errors.
 */
#include "state/err.h"
#include "state/verdict.h"
#include "support/suite.h"
#include <string.h>

static void
test_verdict_names (void)
{
  CU_ASSERT_STRING_EQUAL (verdict_name (VERDICT_NOT_RUN), "not-run");
  CU_ASSERT_STRING_EQUAL (verdict_name (VERDICT_MAY_HAVE_RUN), "may-have-run");
  CU_ASSERT_STRING_EQUAL (verdict_name (VERDICT_RAN), "ran");
}

/* Guards against a status that has a client send again what has run. */
static void
test_not_run_statuses (void)
{
  int status;

  for (status = 100; status < 600; status++)
    CU_ASSERT_EQUAL (verdict_status_is_not_run (status),
                     status == 408 || status == 421 || status == 429
                         || status == 503);
}

static void
test_error_names (void)
{
  int error;

  for (error = 0; error > ERR_MIN; error--)
    {
      CU_ASSERT_PTR_NOT_NULL_FATAL (err_name (error));
      CU_ASSERT (strcmp (err_name (error), "unknown") != 0);
    }
  CU_ASSERT_STRING_EQUAL (err_name (ERR_MIN), "unknown");
  CU_ASSERT_STRING_EQUAL (err_name (1), "unknown");
}

static const struct suite_test tests[] = {
  { "verdict names", test_verdict_names },
  { "statuses that mean not run", test_not_run_statuses },
  { "every error has a name", test_error_names },
};

SUITE_MAIN ("test_verdict", tests)
