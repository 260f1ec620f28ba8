/**
 * @file suite.h
 * Runs a table of CUnit tests and prints a line `FAILED TEST` for each one
 * that failed, and `NAME: N passed, N failed` as the last line.
 */
#ifndef TESTS_SUPPORT_SUITE_H
#define TESTS_SUPPORT_SUITE_H

#include <CUnit/CUnit.h>
#include <stddef.h>

struct suite_test
{
  const char *name;
  void (*run) (void);
};

/** @return 0 when every test passed and at least one ran, else 1. */
int suite_run (const char *name, const struct suite_test *tests, size_t count);

#define SUITE_MAIN(name, tests)                                               \
  int main (void)                                                             \
  {                                                                           \
    return suite_run ((name), (tests), sizeof (tests) / sizeof ((tests)[0])); \
  }

#endif
