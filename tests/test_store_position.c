/**
 * @file test_store_position.c
 * Tests of numbers of any size, and of positions in the store's history.
 */
#include "state/err.h"
#include "state/store_position.h"
#include "support/positions.h"
#include "support/suite.h"
#include <string.h>

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))

/** In rising order. */
static const char *const numbers[] = {
  "0",
  "7",
  "1099511627775",
  "1099511627776",
  "9007199254740992",
  "9007199254740993",
  "9223372036854775808",
  "18446744073709551615",
  "18446744073709551616",
  "99999999999999999999",
  "100000000000000000000",
  "99999999999999999999999999999999999999999999999999999999999999",
};

static struct digits
parse (const char *text)
{
  struct digits number = { .count = 0 };

  CU_ASSERT_EQUAL (digits_parse (&number, text, strlen (text)), 0);
  return number;
}

static void
test_digits (void)
{
  static const char *const malformed[]
      = { "", "-1", "+1", " 1", "1 ", "1.0", "1e3", "0x10", "one" };
  struct digits number = parse ("12");
  struct digits left;
  struct digits right;
  char long_text[DIGITS_MAX + 2];
  uint64_t value = 0;
  size_t i;
  size_t j;

  for (i = 0; i < COUNT (numbers); i++)
    {
      left = parse (numbers[i]);
      CU_ASSERT_STRING_EQUAL (digits_text (&left), numbers[i]);
      for (j = 0; j < COUNT (numbers); j++)
        {
          right = parse (numbers[j]);
          CU_ASSERT_EQUAL (digits_compare (&left, &right) < 0, i < j);
          CU_ASSERT_EQUAL (digits_compare (&left, &right) > 0, i > j);
        }
    }
  for (i = 0; i < COUNT (malformed); i++)
    CU_ASSERT_EQUAL (
        digits_parse (&number, malformed[i], strlen (malformed[i])),
        ERR_INVALID);
  memset (long_text, '9', sizeof long_text);
  CU_ASSERT_EQUAL (digits_parse (&number, long_text, DIGITS_MAX + 1),
                   ERR_TOO_LARGE);
  CU_ASSERT_STRING_EQUAL (digits_text (&number), "12");
  memset (long_text, '0', sizeof long_text);
  CU_ASSERT_EQUAL (digits_parse (&number, long_text, sizeof long_text), 0);
  CU_ASSERT_STRING_EQUAL (digits_text (&number), "0");
  number = parse ("18446744073709551615");
  CU_ASSERT_EQUAL (digits_to_u64 (&number, &value), 0);
  CU_ASSERT_EQUAL (value, UINT64_MAX);
  number = parse ("18446744073709551617");
  CU_ASSERT_EQUAL (digits_to_u64 (&number, &value), ERR_TOO_LARGE);
  CU_ASSERT_EQUAL (digits_low64 (&number), 1);
  number = digits_from_u64 (UINT64_MAX);
  CU_ASSERT_STRING_EQUAL (digits_text (&number), "18446744073709551615");
}

static struct store_position
position (const char *era, const char *revision)
{
  return (struct store_position){ .era = parse (era),
                                  .revision = parse (revision) };
}

static void
test_order (void)
{
  /* In rising order. */
  const struct store_position positions[] = {
    position ("0", "0"),
    position ("0", "1"),
    position ("0", "1099511627776"),
    position ("0", "18446744073709551616"),
    position ("1", "5"),
    position ("20000000", "3"),
    position ("20000000", "4"),
    position ("4611686018427387904", "4611686018427387904"),
    position ("20261208013000123456", "1"),
  };
  size_t i;
  size_t j;

  CU_ASSERT_TRUE (store_position_is_none (&positions[0]));
  for (i = 0; i < COUNT (positions); i++)
    for (j = 0; j < COUNT (positions); j++)
      {
        const int order
            = store_position_compare (&positions[i], &positions[j]);

        CU_ASSERT_EQUAL (order < 0, i < j);
        CU_ASSERT_EQUAL (order > 0, i > j);
      }
}

/* Positions of programs that know 64 bits alone keep their order among those
   with digits, also where the revision passes 2^40, 2^63 or 2^64, and across a
   restore. */
static void
test_packed_order (void)
{
  static const char *const rising[][2] = {
    { "0", "1099511627770" },
    { "0", "1099511627775" },
    { "0", "1099511627776" },
    { "0", "1099511627790" },
    { "1", "1099511627000" },
    { "1", "1099511627999" },
    { "0", "9223372036854775807" },
    { "0", "9223372036854775808" },
    { "0", "18446744073709551615" },
    { "0", "18446744073709551616" },
    { "20000000", "77" },
    { "20000001", "70" },
    { "20000001", "20261208013000123456" },
    { "20000001", "20261208013000123457" },
  };
  struct store_position before;
  struct store_position after;
  struct store_position relayed;
  size_t i;

  for (i = 0; i + 1 < COUNT (rising); i++)
    {
      before = position (rising[i][0], rising[i][1]);
      after = position (rising[i + 1][0], rising[i + 1][1]);
      relayed = store_position_unpack (store_position_pack (&before));
      CU_ASSERT_TRUE (relayed.packed);
      CU_ASSERT_EQUAL (store_position_compare (&relayed, &before), 0);
      CU_ASSERT_EQUAL (store_position_pack (&relayed),
                       store_position_pack (&before));
      /* Not among positions that are far apart. */
      if (i == 5 || i == 7 || i == 9 || i == 11)
        continue;
      CU_ASSERT_TRUE (store_position_compare (&relayed, &after) < 0);
      CU_ASSERT_TRUE (store_position_compare (&after, &relayed) > 0);
    }
}

/* Positions from programs that read no others are exact among themselves. */
static void
test_packed_and_exact (void)
{
  const struct store_position early
      = store_position_unpack (store_position_pack (POSITION (0, 500)));
  const struct store_position late
      = store_position_unpack (store_position_pack (POSITION (12000000, 400)));

  CU_ASSERT_TRUE (store_position_compare (&early, &late) < 0);
  CU_ASSERT_TRUE (store_position_compare (&late, POSITION (0, 500)) > 0);
  CU_ASSERT_TRUE (store_position_compare (POSITION (1, 1), &late) < 0);
}

static void
test_packed_form (void)
{
  const struct store_position none = position ("0", "0");
  const struct store_position wraps_to_0 = position ("16777216", "0");
  const struct store_position largest = position ("16777215", "1099511627775");
  const struct store_position far = position ("0", "1099511627776");
  const struct store_position late = position ("16777216", "1");

  CU_ASSERT_EQUAL (store_position_pack (POSITION (3, 5)),
                   (UINT64_C (3) << 40) + 5);
  CU_ASSERT_EQUAL (store_position_pack (&largest), UINT64_MAX);
  CU_ASSERT_TRUE (store_position_fits (&largest));
  CU_ASSERT_FALSE (store_position_fits (&far));
  CU_ASSERT_FALSE (store_position_fits (&late));
  CU_ASSERT_EQUAL (store_position_pack (&none), 0);
  CU_ASSERT_EQUAL (store_position_pack (&wraps_to_0), 1);
}

static const struct suite_test tests[] = {
  { "digits", test_digits },
  { "order", test_order },
  { "order of packed positions", test_packed_order },
  { "packed and exact positions", test_packed_and_exact },
  { "packed form", test_packed_form },
};

SUITE_MAIN ("test_store_position", tests)
