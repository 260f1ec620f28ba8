/**
 * @file test_decimal.c
 * Numbers that a double rounds: two that differ must not count as equal.
 */
#include "state/decimal.h"
#include "state/rng.h"
#include "support/suite.h"
#include <inttypes.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))

/** In rising order. */
static const char *const rising[] = {
  "0",
  "1e-999999999",
  "0.0009",
  "0.001",
  "0.00100000000000000000000000000000001",
  "7",
  "7.25",
  "7.5",
  "10",
  "9007199254740992",
  "9007199254740993",
  "1765058400123456789",
  "1765058400123456850",
  "9223372036854775807",
  "9223372036854775808",
  "18446744073709551615",
  "18446744073709551616",
  "20261207025452123456",
  "20261207025452123457",
  "1e30",
  "1000000000000000000000000000001",
  "1e999999999",
};

static const char *const equal[][2] = {
  { "0", "0.000" },    { "0", "0e99" },   { "7", "7.0" },
  { "7", "0.7e1" },    { "7", "700e-2" }, { "120", "1.2E+2" },
  { "0.05", "5e-2" },  { "100", "1e2" },  { "1e1", "10" },
  { "12.50", "12.5" }, { "0.0e5", "0" },  { "0.10e1", "1" },
};

static const char *const invalid[]
    = { "",     "-1",   "-0",    "+1",    "01",  "1.",  ".5",
        "1e",   "1e+",  "0x1",   "1 ",    " 1",  "NaN", "1a",
        "1e2e", "1..2", "1.2.3", "\"1\"", "null" };

static int
sign (int value)
{
  return (value > 0) - (value < 0);
}

static void
test_order (void)
{
  size_t i;
  size_t j;

  for (i = 0; i < COUNT (rising); i++)
    for (j = 0; j < COUNT (rising); j++)
      if (sign (decimal_compare (rising[i], rising[j])) != (i > j) - (i < j))
        {
          printf ("%s, %s\n", rising[i], rising[j]);
          CU_FAIL ("numbers in another order");
        }
}

static void
test_equal (void)
{
  size_t i;

  for (i = 0; i < COUNT (equal); i++)
    {
      CU_ASSERT_EQUAL (decimal_compare (equal[i][0], equal[i][1]), 0);
      CU_ASSERT_EQUAL (decimal_compare (equal[i][1], equal[i][0]), 0);
    }
}

static void
test_valid (void)
{
  size_t i;

  for (i = 0; i < COUNT (rising); i++)
    CU_ASSERT_TRUE (decimal_is_valid (rising[i], strlen (rising[i])));
  for (i = 0; i < COUNT (invalid); i++)
    CU_ASSERT_FALSE (decimal_is_valid (invalid[i], strlen (invalid[i])));
  CU_ASSERT_FALSE (decimal_is_valid ("7\0", 2));
}

/* Neighbours of numbers of each size. */
static void
test_random (void)
{
  struct rng rng;
  char left[32];
  char right[32];
  uint64_t a;
  uint64_t b;
  int i;

  rng_init (&rng, 63);
  for (i = 0; i < 20000; i++)
    {
      a = rng_next (&rng) >> rng_below (&rng, 64);
      b = a + rng_below (&rng, 3) - 1;
      snprintf (left, sizeof left, "%" PRIu64, a);
      snprintf (right, sizeof right, "%" PRIu64, b);
      CU_ASSERT_EQUAL (sign (decimal_compare (left, right)),
                       (a > b) - (a < b));
    }
}

static const struct suite_test tests[] = {
  { "numbers that a double rounds keep their order", test_order },
  { "equal numbers", test_equal },
  { "valid numbers", test_valid },
  { "neighbours", test_random },
};

SUITE_MAIN ("test_decimal", tests)
