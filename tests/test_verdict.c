/**
 * @file test_verdict.c
 * Names of verdicts and error numbers.
 */
#include "state/err.h"
#include "state/verdict.h"
#include "support/suite.h"
#include <string.h>

static void
test_names (void)
{
  CU_ASSERT_STRING_EQUAL (verdict_name (VERDICT_NOT_RUN), "not-run");
  CU_ASSERT_STRING_EQUAL (verdict_name (VERDICT_MAY_HAVE_RUN), "may-have-run");
  CU_ASSERT_STRING_EQUAL (verdict_name (VERDICT_RAN), "ran");
}

static void
test_every_error_has_a_name (void)
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
  { "names", test_names },
  { "every error has a name", test_every_error_has_a_name },
};

SUITE_MAIN ("test_verdict", tests)
