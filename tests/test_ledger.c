/**
 * @file test_ledger.c
 * Ledgers of all instances converge to the exact positions although reports
 * are lost, duplicated and reordered.
 */
#include "state/err.h"
#include "state/ledger.h"
#include "state/rng.h"
#include "support/suite.h"

#define INSTANCES    4
#define CUSTOMERS    5
#define SERVICE      9
#define STEPS        4000
#define SEEDS        20
#define LOSS_PERCENT 30 /* of reports */

/* A ledger entry sent by an instance. */
struct own_demand
{
  struct ledger_origin origin;
  struct ledger_entry entry;
};

/* All reports that were not lost.  They are delivered in random order, some
   several times. */
struct report_pool
{
  struct own_demand reports[STEPS * CUSTOMERS];
  size_t count;
};

struct merge_target
{
  struct ledger *destination;
};

static struct ledger_origin make_origin (uint32_t instance,
                                         uint64_t incarnation);
static void charge_random (struct ledger *ledger, struct rng *rng,
                           uint64_t *expected);
static void send_reports (struct ledger *ledger, uint32_t instance,
                          uint64_t *cursor, struct report_pool *report_pool,
                          struct rng *rng);
static void merge_random_reports (struct ledger **ledgers,
                                  const struct report_pool *report_pool,
                                  struct rng *rng);
static int merge_entry (void *user, struct ledger_origin origin,
                        const struct ledger_entry *entry);
static void exchange_snapshots (struct ledger **ledgers);
static void run_seed (uint64_t seed);

static struct ledger_origin
make_origin (uint32_t instance, uint64_t incarnation)
{
  return (struct ledger_origin){ instance + 1, incarnation };
}

static void
charge_random (struct ledger *ledger, struct rng *rng, uint64_t *expected)
{
  uint64_t customer = rng_below (rng, CUSTOMERS);
  uint64_t estimate = 1 + rng_below (rng, 50);
  uint64_t refund = rng_below (rng, estimate);

  ledger_charge (ledger, customer, SERVICE, estimate, 1);
  ledger_refund (ledger, customer, SERVICE, refund, 1);
  expected[customer] += (estimate - refund) * LEDGER_SCALE;
}

static void
send_reports (struct ledger *ledger, uint32_t instance, uint64_t *cursor,
              struct report_pool *report_pool, struct rng *rng)
{
  struct ledger_entry entries[CUSTOMERS];
  size_t count = ledger_changes (ledger, cursor, entries, CUSTOMERS);
  size_t i;

  for (i = 0; i < count; i++)
    if (rng_below (rng, 100) >= LOSS_PERCENT)
      report_pool->reports[report_pool->count++]
          = (struct own_demand){ make_origin (instance, 1), entries[i] };
}

static void
merge_random_reports (struct ledger **ledgers,
                      const struct report_pool *report_pool, struct rng *rng)
{
  const struct own_demand *report;
  uint32_t i;

  for (i = 0; i < INSTANCES && report_pool->count > 0; i++)
    {
      report = &report_pool->reports[rng_below (rng, report_pool->count)];
      CU_ASSERT (ledger_merge (ledgers[rng_below (rng, INSTANCES)],
                               report->origin, &report->entry)
                 >= 0);
    }
}

static int
merge_entry (void *user, struct ledger_origin origin,
             const struct ledger_entry *entry)
{
  const struct merge_target *merge_target = user;

  return ledger_merge (merge_target->destination, origin, entry) < 0
             ? ERR_INVALID
             : 0;
}

static void
exchange_snapshots (struct ledger **ledgers)
{
  uint32_t sender;
  uint32_t receiver;

  for (sender = 0; sender < INSTANCES; sender++)
    for (receiver = 0; receiver < INSTANCES; receiver++)
      {
        struct merge_target merge_target = { ledgers[receiver] };

        if (sender != receiver)
          CU_ASSERT_EQUAL (
              ledger_visit (ledgers[sender], merge_entry, &merge_target), 0);
      }
}

static void
run_seed (uint64_t seed)
{
  static struct report_pool report_pool;
  struct ledger *ledgers[INSTANCES];
  uint64_t expected[CUSTOMERS] = { 0 };
  uint64_t cursors[INSTANCES] = { 0 };
  struct rng rng;
  uint32_t instance;
  uint32_t customer;
  int step;

  rng_init (&rng, seed);
  report_pool.count = 0;
  for (instance = 0; instance < INSTANCES; instance++)
    ledgers[instance] = ledger_new (make_origin (instance, 1));
  for (step = 0; step < STEPS; step++)
    {
      instance = (uint32_t)rng_below (&rng, INSTANCES);
      charge_random (ledgers[instance], &rng, expected);
      send_reports (ledgers[instance], instance, &cursors[instance],
                    &report_pool, &rng);
      merge_random_reports (ledgers, &report_pool, &rng);
    }
  exchange_snapshots (ledgers);
  /* Outdated reports that arrive late change nothing. */
  for (step = 0; step < STEPS; step++)
    merge_random_reports (ledgers, &report_pool, &rng);
  for (instance = 0; instance < INSTANCES; instance++)
    {
      for (customer = 0; customer < CUSTOMERS; customer++)
        CU_ASSERT_EQUAL (
            ledger_position (ledgers[instance], customer, SERVICE),
            expected[customer]);
      ledger_free (ledgers[instance]);
    }
}

static void
test_unreliable_reports (void)
{
  uint64_t seed;

  for (seed = 1; seed <= SEEDS; seed++)
    run_seed (seed);
}

/* One instance has aggregated the counters of earlier incarnations and another
   has not yet.  Neither the aggregation nor a late report of one of these
   incarnations changes a position. */
static void
test_aggregate (void)
{
  struct ledger *local = ledger_new (make_origin (0, 1));
  struct ledger *remote = ledger_new (make_origin (1, 1));
  struct ledger_entry first = { 1, SERVICE, 700, 100, 0, 0 };
  struct ledger_entry second = { 1, SERVICE, 300, 0, 0, 0 };
  struct merge_target merge_target = { remote };

  ledger_merge (local, make_origin (2, 1), &first);
  ledger_merge (local, make_origin (2, 2), &second);
  ledger_merge (remote, make_origin (2, 1), &first);
  CU_ASSERT_EQUAL (ledger_position (local, 1, SERVICE), 900);
  CU_ASSERT_EQUAL (ledger_aggregate (local, make_origin (2, 2)), 0);
  CU_ASSERT_EQUAL (ledger_position (local, 1, SERVICE), 900);
  CU_ASSERT_EQUAL (ledger_merge (local, make_origin (2, 1), &first), 0);
  CU_ASSERT_EQUAL (ledger_position (local, 1, SERVICE), 900);
  ledger_visit (local, merge_entry, &merge_target);
  CU_ASSERT_EQUAL (ledger_position (remote, 1, SERVICE), 900);
  ledger_merge (remote, make_origin (2, 2), &second);
  CU_ASSERT_EQUAL (ledger_position (remote, 1, SERVICE), 900);
  CU_ASSERT_EQUAL (ledger_aggregate (remote, make_origin (2, 1)), 0);
  CU_ASSERT_EQUAL (ledger_position (remote, 1, SERVICE), 900);
  ledger_free (local);
  ledger_free (remote);
}

static void
test_floor_and_weight (void)
{
  const struct ledger_entry lower = { .customer_id = 1,
                                      .service_id = SERVICE,
                                      .floor = UINT64_C (55) * LEDGER_SCALE };
  struct ledger *ledger = ledger_new (make_origin (0, 1));

  ledger_charge (ledger, 1, SERVICE, 100, 4);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE),
                   UINT64_C (100) * LEDGER_SCALE / 4);
  ledger_raise_floor (ledger, 1, SERVICE, UINT64_C (65) * LEDGER_SCALE);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE),
                   UINT64_C (90) * LEDGER_SCALE);
  /* The floor is a maximum register: a lower report changes nothing. */
  CU_ASSERT_EQUAL (ledger_merge (ledger, make_origin (2, 1), &lower), 0);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE),
                   UINT64_C (90) * LEDGER_SCALE);
  /* The refund at a lower weight exceeds the charge: it is limited to the
     charge. */
  ledger_refund (ledger, 1, SERVICE, 100, 1);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE),
                   UINT64_C (65) * LEDGER_SCALE);
  ledger_free (ledger);
}

/* Charges expected of other instances count until those report them. */
static void
test_expected_charges (void)
{
  struct ledger *ledger = ledger_new (make_origin (0, 1));
  struct ledger_entry entry = { 1, SERVICE, 3000, 0, 0, 0 };

  ledger_charge (ledger, 1, SERVICE, 1, 1);
  ledger_set_fleet_ratio (ledger, 1, SERVICE, 4000);
  ledger_charge (ledger, 1, SERVICE, 1, 1);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE), 5000);
  ledger_merge (ledger, make_origin (1, 1), &entry);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE), 5000);
  ledger_charge (ledger, 1, SERVICE, 2, 1);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE), 13000);
  ledger_start_interval (ledger);
  CU_ASSERT_EQUAL (ledger_position (ledger, 1, SERVICE), 10000);
  ledger_free (ledger);
}

static const struct suite_test tests[] = {
  { "reports lost, duplicated and reordered", test_unreliable_reports },
  { "aggregation of earlier incarnations", test_aggregate },
  { "floor and weight", test_floor_and_weight },
  { "expected charges of other instances", test_expected_charges },
};

SUITE_MAIN ("test_ledger", tests)
