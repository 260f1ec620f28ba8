/**
 * @file test_reserve.c
 * Estimated reserve of a running request.
 */
#include "state/reserve.h"
#include "support/suite.h"

#define SERVICE 7

static void
test_first_cost_replaces_hint (void)
{
  struct reserve_table table;

  reserve_init (&table);
  CU_ASSERT_EQUAL (reserve_cost (&table, SERVICE, 100000), 100000);
  CU_ASSERT_EQUAL (reserve_cost (&table, SERVICE, 5), 100000);
  reserve_observe (&table, SERVICE, 200);
  CU_ASSERT_EQUAL (reserve_cost (&table, SERVICE, 5), 200);
  CU_ASSERT_EQUAL (reserve_cost (&table, SERVICE + 1, 0), 1);
  reserve_finish (&table);
}

/* The mean is weighted by cost: although only a tenth of the requests costs
   10,000 and the others 100, the reserve is near 10,000.  It returns to 100
   when large requests cease. */
static void
test_cost_weighted_mean (void)
{
  struct reserve_table table;
  uint64_t reserve;
  int i;

  reserve_init (&table);
  reserve_cost (&table, SERVICE, 100);
  for (i = 0; i < 2000; i++)
    reserve_observe (&table, SERVICE, i % 10 == 0 ? 10000 : 100);
  reserve = reserve_cost (&table, SERVICE, 100);
  CU_ASSERT (reserve > 9000 && reserve < 10000);
  for (i = 0; i < 10000; i++)
    reserve_observe (&table, SERVICE, 100);
  CU_ASSERT_EQUAL (reserve_cost (&table, SERVICE, 100), 100);
  reserve_finish (&table);
}

static const struct suite_test tests[] = {
  { "first observed cost replaces the hint", test_first_cost_replaces_hint },
  { "mean is weighted by cost", test_cost_weighted_mean },
};

SUITE_MAIN ("test_reserve", tests)
