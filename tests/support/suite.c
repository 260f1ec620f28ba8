/**
 * @file suite.c
 * Common main of the unit test programs.
 */
#include "suite.h"
#include <CUnit/Basic.h>
#include <stdio.h>

static void print_failed (void);

int
suite_run (const char *name, const struct suite_test *tests, size_t count)
{
  CU_pSuite suite;
  unsigned int run;
  unsigned int failed;
  size_t i;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  suite = CU_add_suite (name, NULL, NULL);
  for (i = 0; i < count; i++)
    if (suite == NULL
        || CU_add_test (suite, tests[i].name, tests[i].run) == NULL)
      return 1;
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  run = CU_get_number_of_tests_run ();
  failed = CU_get_number_of_tests_failed ();
  print_failed ();
  CU_cleanup_registry ();
  printf ("\n%s: %u passed, %u failed\n", name, run - failed, failed);
  return failed == 0 && run > 0 ? 0 : 1;
}

/* The records of a test stand next to each other. */
static void
print_failed (void)
{
  const struct CU_FailureRecord *record;
  const struct CU_Test *last = NULL;

  for (record = CU_get_failure_list (); record != NULL; record = record->pNext)
    {
      if (record->pTest != NULL && record->pTest != last)
        printf ("\nFAILED %s", record->pTest->pName);
      last = record->pTest;
    }
}
