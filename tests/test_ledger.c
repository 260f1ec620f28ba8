/**
 * @file test_ledger.c
 * Accounts agree and are exact whatever happens to the reports on their way.
 */
#include "state/err.h"
#include "state/ledger.h"
#include "state/rng.h"
#include "support/suite.h"

#define NODES     4
#define CUSTOMERS 5
#define SERVICE   9
#define STEPS     4000
#define SEEDS     20
#define LOST      30 /* percent of reports */

/* Reports that are on their way, drawn in any order, some more than once. */
struct report
{
  struct ledger_origin origin;
  struct ledger_entry entry;
};

struct bag
{
  struct report reports[STEPS * CUSTOMERS];
  size_t count;
};

struct copy
{
  struct ledger *to;
};

static struct ledger_origin origin_of (uint32_t node, uint64_t life);
static void work (struct ledger *ledger, struct rng *rng, uint64_t *served);
static void report_changes (struct ledger *ledger, uint32_t node,
                            uint64_t *cursor, struct bag *bag,
                            struct rng *rng);
static void merge_some (struct ledger **ledgers, const struct bag *bag,
                        struct rng *rng);
static int copy_entry (void *user, struct ledger_origin origin,
                       const struct ledger_entry *entry);
static void exchange_all (struct ledger **ledgers);
static void run_seed (uint64_t seed);

static struct ledger_origin
origin_of (uint32_t node, uint64_t life)
{
  return (struct ledger_origin){ node + 1, life };
}

static void
work (struct ledger *ledger, struct rng *rng, uint64_t *served)
{
  uint64_t customer = rng_below (rng, CUSTOMERS);
  uint64_t estimate = 1 + rng_below (rng, 50);
  uint64_t back = rng_below (rng, estimate);

  ledger_charge (ledger, customer, SERVICE, estimate, 1);
  ledger_refund (ledger, customer, SERVICE, back, 1);
  served[customer] += (estimate - back) * LEDGER_SCALE;
}

static void
report_changes (struct ledger *ledger, uint32_t node, uint64_t *cursor,
                struct bag *bag, struct rng *rng)
{
  struct ledger_entry entries[CUSTOMERS];
  size_t count = ledger_changes (ledger, cursor, entries, CUSTOMERS);
  size_t i;

  for (i = 0; i < count; i++)
    if (rng_below (rng, 100) >= LOST)
      bag->reports[bag->count++]
          = (struct report){ origin_of (node, 1), entries[i] };
}

static void
merge_some (struct ledger **ledgers, const struct bag *bag, struct rng *rng)
{
  const struct report *report;
  uint32_t i;

  for (i = 0; i < NODES && bag->count > 0; i++)
    {
      report = &bag->reports[rng_below (rng, bag->count)];
      CU_ASSERT (ledger_merge (ledgers[rng_below (rng, NODES)], report->origin,
                               &report->entry)
                 >= 0);
    }
}

static int
copy_entry (void *user, struct ledger_origin origin,
            const struct ledger_entry *entry)
{
  const struct copy *copy = user;

  return ledger_merge (copy->to, origin, entry) < 0 ? ERR_INVALID : 0;
}

static void
exchange_all (struct ledger **ledgers)
{
  uint32_t a;
  uint32_t b;

  for (a = 0; a < NODES; a++)
    for (b = 0; b < NODES; b++)
      {
        struct copy copy = { ledgers[b] };

        if (a != b)
          CU_ASSERT_EQUAL (ledger_visit (ledgers[a], copy_entry, &copy), 0);
      }
}

static void
run_seed (uint64_t seed)
{
  static struct bag bag;
  struct ledger *ledgers[NODES];
  uint64_t served[CUSTOMERS] = { 0 };
  uint64_t cursors[NODES] = { 0 };
  struct rng rng;
  uint32_t node;
  uint32_t c;
  int step;

  rng_init (&rng, seed);
  bag.count = 0;
  for (node = 0; node < NODES; node++)
    ledgers[node] = ledger_new (origin_of (node, 1));
  for (step = 0; step < STEPS; step++)
    {
      node = (uint32_t)rng_below (&rng, NODES);
      work (ledgers[node], &rng, served);
      report_changes (ledgers[node], node, &cursors[node], &bag, &rng);
      merge_some (ledgers, &bag, &rng);
    }
  exchange_all (ledgers);
  for (step = 0; step < STEPS; step++)
    merge_some (ledgers, &bag, &rng); /* the latest of all are late ones */
  for (node = 0; node < NODES; node++)
    {
      for (c = 0; c < CUSTOMERS; c++)
        CU_ASSERT_EQUAL (ledger_position (ledgers[node], c, SERVICE),
                         served[c]);
      ledger_free (ledgers[node]);
    }
}

static void
test_any_order_of_reports (void)
{
  uint64_t seed;

  for (seed = 1; seed <= SEEDS; seed++)
    run_seed (seed);
}

/* Incarnations that ended are aggregated at one instance and not yet at
   another; a late report of one of them, and the aggregation itself, change no
   position. */
static void
test_aggregate (void)
{
  struct ledger *here = ledger_new (origin_of (0, 1));
  struct ledger *there = ledger_new (origin_of (1, 1));
  struct ledger_entry first = { 1, SERVICE, 700, 100, 0, 0 };
  struct ledger_entry second = { 1, SERVICE, 300, 0, 0, 0 };
  struct copy copy = { there };

  ledger_merge (here, origin_of (2, 1), &first);
  ledger_merge (here, origin_of (2, 2), &second);
  ledger_merge (there, origin_of (2, 1), &first);
  CU_ASSERT_EQUAL (ledger_position (here, 1, SERVICE), 900);
  CU_ASSERT_EQUAL (ledger_aggregate (here, origin_of (2, 2)), 0);
  CU_ASSERT_EQUAL (ledger_position (here, 1, SERVICE), 900);
  CU_ASSERT_EQUAL (ledger_merge (here, origin_of (2, 1), &first), 0);
  CU_ASSERT_EQUAL (ledger_position (here, 1, SERVICE), 900);
  ledger_visit (here, copy_entry, &copy);
  CU_ASSERT_EQUAL (ledger_position (there, 1, SERVICE), 900);
  ledger_merge (there, origin_of (2, 2), &second);
  CU_ASSERT_EQUAL (ledger_position (there, 1, SERVICE), 900);
  CU_ASSERT_EQUAL (ledger_aggregate (there, origin_of (2, 1)), 0);
  CU_ASSERT_EQUAL (ledger_position (there, 1, SERVICE), 900);
  ledger_free (here);
  ledger_free (there);
}

static void
test_floor_and_weight (void)
{
  const struct ledger_entry lower = { .customer_id = 1,
                                      .service_id = SERVICE,
                                      .floor = UINT64_C (55) * LEDGER_SCALE };
  struct ledger *ledger = ledger_new (origin_of (0, 1));

  ledger_charge (ledger, 1, SERVICE, 100, 4);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE),
                   UINT64_C (100) * LEDGER_SCALE / 4);
  ledger_raise_floor (ledger, 1, SERVICE, UINT64_C (65) * LEDGER_SCALE);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE),
                   UINT64_C (90) * LEDGER_SCALE);
  /* The floor is a maximum register: a lower report changes nothing. */
  CU_ASSERT_EQUAL (ledger_merge (ledger, origin_of (2, 1), &lower), 0);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE),
                   UINT64_C (90) * LEDGER_SCALE);
  /* Refunded at a lower weight than it was charged at: never below zero. */
  ledger_refund (ledger, 1, SERVICE, 100, 1);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE),
                   UINT64_C (65) * LEDGER_SCALE);
  ledger_free (ledger);
}

/* What the others are expected to charge counts until they report it. */
static void
test_expected (void)
{
  struct ledger *ledger = ledger_new (origin_of (0, 1));
  struct ledger_entry entry = { 1, SERVICE, 3000, 0, 0, 0 };

  ledger_charge (ledger, 1, SERVICE, 1, 1);
  ledger_set_fleet_ratio (ledger, 1, SERVICE, 4000);
  ledger_charge (ledger, 1, SERVICE, 1, 1);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE), 5000);
  ledger_merge (ledger, origin_of (1, 1), &entry);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE), 5000);
  ledger_charge (ledger, 1, SERVICE, 2, 1);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE), 13000);
  ledger_start_interval (ledger);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE), 10000);
  ledger_free (ledger);
}

static const struct suite_test tests[] = {
  { "reports lost, repeated and in any order", test_any_order_of_reports },
  { "lives that ended are folded", test_aggregate },
  { "floor and weight", test_floor_and_weight },
  { "expected charges", test_expected },
};

SUITE_MAIN ("test_ledger", tests)
