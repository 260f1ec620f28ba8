/**
 * @file test_fleet.c
 * Three instances share the slots of three upstreams while the links between
 * them fail.
 */
#include "support/lossyfleet.h"
#include "support/suite.h"
#include <string.h>

#define SLOTS   ((uint64_t)LOSSYFLEET_UPSTREAMS * LOSSYFLEET_SLOTS)
#define BACKLOG 40 /* clients that keep an instance backlogged */
/* Time until all leases of a partitioned instance have expired at all
   instances. */
#define LEASE_EXPIRY_MS                                                       \
  (LOSSYFLEET_LEASE_MS + LOSSYFLEET_LEASE_MS / 5                              \
   + (MEMBER_GONE_INTERVALS + 2) * LOSSYFLEET_INTERVAL_MS)
/* A cold start takes a lease time and the grace, then a few exchanges. */
#define SETTLE_MS 3000

static uint32_t
busy_total (const struct lossyfleet *sim)
{
  uint32_t busy = 0;
  uint32_t i;

  for (i = 0; i < LOSSYFLEET_INSTANCES; i++)
    busy += lossyfleet_busy (sim, i);
  return busy;
}

/* Stops all load and waits until every report has arrived; then all instances
   must have the same ledger positions. */
static void
assert_ledgers_agree (struct lossyfleet *sim)
{
  uint32_t customer;
  uint32_t i;

  memset (sim->client_counts, 0, sizeof sim->client_counts);
  sim->loss_percent = 0;
  lossyfleet_run_ms (sim, 70000);
  for (customer = 0; customer < 2; customer++)
    for (i = 1; i < LOSSYFLEET_INSTANCES; i++)
      if (sim->instances[i].fleet != NULL)
        CU_ASSERT_EQUAL (lossyfleet_position (sim, i, customer),
                         lossyfleet_position (sim, 0, customer));
  CU_ASSERT_EQUAL (busy_total (sim), 0);
}

/* While requests wait, at least 98 percent of the slots are busy, and no
   upstream gets more requests than it has slots. */
static void
assert_all_slots_used (struct lossyfleet *sim)
{
  uint64_t used = 0;
  uint32_t ms;

  sim->oversubscribed = 0;
  for (ms = 0; ms < 500; ms++)
    {
      lossyfleet_run_ms (sim, 1);
      used += busy_total (sim);
    }
  CU_ASSERT (used * 100 >= (uint64_t)SLOTS * 500 * 98);
  CU_ASSERT_EQUAL (sim->oversubscribed, 0);
}

static void
test_capacity_follows_demand (void)
{
  static struct lossyfleet sim;

  lossyfleet_init (&sim, 1);
  sim.client_counts[0][0] = BACKLOG;
  lossyfleet_run_ms (&sim, SETTLE_MS);
  CU_ASSERT_EQUAL (lossyfleet_capacity (&sim, 0), SLOTS);
  assert_all_slots_used (&sim);
  /* The other instances get their share back within two exchanges. */
  sim.client_counts[1][1] = BACKLOG;
  sim.client_counts[2][1] = BACKLOG;
  lossyfleet_run_ms (&sim, 2 * LOSSYFLEET_INTERVAL_MS);
  CU_ASSERT (lossyfleet_capacity (&sim, 1) + lossyfleet_capacity (&sim, 2)
             >= SLOTS / 2 - 1);
  lossyfleet_run_ms (&sim, SETTLE_MS);
  assert_all_slots_used (&sim);
  assert_ledgers_agree (&sim);
  lossyfleet_finish (&sim);
}

/* A customer at one instance and a customer at all instances get equal
   service. */
static void
test_equal_service (void)
{
  static struct lossyfleet sim;
  uint64_t a;
  uint64_t b;
  uint64_t gap;

  lossyfleet_init (&sim, 2);
  sim.client_counts[0][0] = BACKLOG;
  sim.client_counts[0][1] = BACKLOG;
  sim.client_counts[1][1] = BACKLOG;
  sim.client_counts[2][1] = BACKLOG;
  lossyfleet_run_ms (&sim, 20000);
  a = lossyfleet_position (&sim, 0, 0);
  b = lossyfleet_position (&sim, 0, 1);
  gap = a > b ? a - b : b - a;
  /* One request costs 20 units.  The bound is two requests for each slot, plus
     what is served between two exchanges. */
  CU_ASSERT (gap <= LEDGER_SCALE * 20ULL
                        * (2ULL * SLOTS
                           + SLOTS * LOSSYFLEET_INTERVAL_MS / sim.service_ms));
  CU_ASSERT (a > LEDGER_SCALE * 20ULL * SLOTS * 50);
  assert_all_slots_used (&sim);
  lossyfleet_finish (&sim);
}

static void
load_all (struct lossyfleet *sim)
{
  uint32_t i;

  for (i = 0; i < LOSSYFLEET_INSTANCES; i++)
    {
      sim->client_counts[i][0] = BACKLOG;
      sim->client_counts[i][1] = BACKLOG;
    }
}

static void
test_partition (void)
{
  static struct lossyfleet sim;

  lossyfleet_init (&sim, 3);
  load_all (&sim);
  lossyfleet_run_ms (&sim, SETTLE_MS);
  lossyfleet_set_isolated (&sim, 2, true);
  lossyfleet_run_ms (&sim, LEASE_EXPIRY_MS);
  /* The larger part uses all slots, so the partition costs no capacity.  The
     smaller part uses its fraction of the slots of each upstream, and no
     more. */
  CU_ASSERT_EQUAL (lossyfleet_busy (&sim, 0) + lossyfleet_busy (&sim, 1),
                   SLOTS);
  CU_ASSERT_EQUAL (lossyfleet_busy (&sim, 2),
                   (uint64_t)LOSSYFLEET_UPSTREAMS
                       * (LOSSYFLEET_SLOTS / LOSSYFLEET_INSTANCES));
  lossyfleet_set_isolated (&sim, 2, false);
  lossyfleet_connect (&sim, 0, 2);
  lossyfleet_connect (&sim, 1, 2);
  lossyfleet_run_ms (&sim, LEASE_EXPIRY_MS);
  assert_all_slots_used (&sim);
  assert_ledgers_agree (&sim);
  lossyfleet_finish (&sim);
}

/* Instance 2 receives messages of the others, but they receive none of it. */
static void
test_one_way_partition (void)
{
  static struct lossyfleet sim;

  lossyfleet_init (&sim, 4);
  load_all (&sim);
  lossyfleet_run_ms (&sim, SETTLE_MS);
  sim.cut[2][0] = sim.cut[2][1] = true;
  lossyfleet_run_ms (&sim, LEASE_EXPIRY_MS);
  CU_ASSERT_EQUAL (lossyfleet_busy (&sim, 0) + lossyfleet_busy (&sim, 1),
                   SLOTS);
  sim.cut[2][0] = sim.cut[2][1] = false;
  lossyfleet_connect (&sim, 0, 2);
  lossyfleet_connect (&sim, 1, 2);
  lossyfleet_run_ms (&sim, LEASE_EXPIRY_MS);
  CU_ASSERT (lossyfleet_busy (&sim, 2) > 0);
  assert_all_slots_used (&sim);
  assert_ledgers_agree (&sim);
  lossyfleet_finish (&sim);
}

/* What an instance served before it was killed stays counted, exactly once. */
static void
test_cold_restart (void)
{
  static struct lossyfleet sim;
  uint64_t before;

  lossyfleet_init (&sim, 5);
  load_all (&sim);
  lossyfleet_run_ms (&sim, SETTLE_MS);
  lossyfleet_kill (&sim, 1);
  lossyfleet_run_ms (&sim, LEASE_EXPIRY_MS);
  assert_all_slots_used (&sim);
  before = lossyfleet_position (&sim, 0, 0);
  lossyfleet_start (&sim, 1);
  lossyfleet_connect (&sim, 0, 1);
  lossyfleet_connect (&sim, 1, 2);
  lossyfleet_run_ms (&sim, 10);
  CU_ASSERT (lossyfleet_position (&sim, 1, 0) >= before);
  lossyfleet_run_ms (&sim, LEASE_EXPIRY_MS);
  CU_ASSERT (lossyfleet_busy (&sim, 1) > 0);
  assert_all_slots_used (&sim);
  assert_ledgers_agree (&sim);
  CU_ASSERT (lossyfleet_position (&sim, 1, 0) > before);
  lossyfleet_finish (&sim);
}

/* No instance is left that knows which slots were leased to whom. */
static void
test_cold_restart_of_all (void)
{
  static struct lossyfleet sim;
  uint32_t i;

  lossyfleet_init (&sim, 6);
  load_all (&sim);
  lossyfleet_run_ms (&sim, SETTLE_MS);
  for (i = 0; i < LOSSYFLEET_INSTANCES; i++)
    lossyfleet_kill (&sim, i);
  lossyfleet_run_ms (&sim, 10);
  for (i = 0; i < LOSSYFLEET_INSTANCES; i++)
    lossyfleet_start (&sim, i);
  lossyfleet_connect (&sim, 0, 1);
  lossyfleet_connect (&sim, 1, 2);
  lossyfleet_connect (&sim, 0, 2);
  lossyfleet_run_ms (&sim, SETTLE_MS);
  assert_all_slots_used (&sim);
  lossyfleet_finish (&sim);
}

/* A draining instance completes the requests that it has accepted; then its
   slots go to the others. */
static void
test_drain (void)
{
  static struct lossyfleet sim;
  uint32_t waiting;
  uint32_t i;

  lossyfleet_init (&sim, 7);
  load_all (&sim);
  lossyfleet_run_ms (&sim, SETTLE_MS);
  waiting = dispatch_total (sim.instances[0].dispatch);
  CU_ASSERT (waiting > lossyfleet_busy (&sim, 0));
  sim.instances[0].completed = 0;
  lossyfleet_drain (&sim, 0);
  lossyfleet_run_ms (&sim, 3000);
  CU_ASSERT_EQUAL (sim.instances[0].completed, waiting);
  CU_ASSERT_EQUAL (dispatch_total (sim.instances[0].dispatch), 0);
  CU_ASSERT_EQUAL (lossyfleet_capacity (&sim, 0), 0);
  assert_all_slots_used (&sim);
  /* The last instance can lease slots only from itself. */
  waiting = dispatch_total (sim.instances[1].dispatch);
  sim.instances[1].completed = 0;
  for (i = 1; i < LOSSYFLEET_INSTANCES; i++)
    lossyfleet_drain (&sim, i);
  lossyfleet_run_ms (&sim, 6000);
  CU_ASSERT_EQUAL (sim.instances[1].completed, waiting);
  CU_ASSERT_EQUAL (busy_total (&sim), 0);
  lossyfleet_finish (&sim);
}

static void
test_unreliable_network (void)
{
  static struct lossyfleet sim;
  uint32_t seed;

  for (seed = 10; seed < 14; seed++)
    {
      lossyfleet_init (&sim, seed);
      sim.delay_ms_max = LOSSYFLEET_INTERVAL_MS;
      sim.loss_percent = 10;
      sim.repeat_percent = 20;
      load_all (&sim);
      lossyfleet_run_ms (&sim, SETTLE_MS);
      sim.oversubscribed = 0;
      lossyfleet_run_ms (&sim, 10000);
      /* No upstream gets more requests than it has slots, in whatever order
         reports arrive. */
      CU_ASSERT_EQUAL (sim.oversubscribed, 0);
      CU_ASSERT (busy_total (&sim) * 10ULL >= SLOTS * 8);
      assert_ledgers_agree (&sim);
      lossyfleet_finish (&sim);
    }
}

static const struct suite_test tests[] = {
  { "capacity follows demand", test_capacity_follows_demand },
  { "equal service", test_equal_service },
  { "partition in both directions", test_partition },
  { "partition in one direction", test_one_way_partition },
  { "cold restart of one instance", test_cold_restart },
  { "cold restart of all instances", test_cold_restart_of_all },
  { "drain", test_drain },
  { "messages lost, repeated, reordered and delayed",
    test_unreliable_network },
};

SUITE_MAIN ("test_fleet", tests)
