/**
 * @file test_fleet.c
 * Three instances share the slots of three upstreams while the links between
 * them fail.
 */
#include "support/suite.h"
#include "support/world.h"
#include <string.h>

#define SLOTS   ((uint64_t)WORLD_UPSTREAMS * WORLD_SLOTS)
#define BACKLOG 40 /* clients that keep an instance backlogged */
/* Time until all leases of a partitioned instance have expired at all
   instances. */
#define LEASE_EXPIRY_MS                                                       \
  (WORLD_LEASE_MS + WORLD_LEASE_MS / 5                                        \
   + (MEMBER_GONE_INTERVALS + 2) * WORLD_INTERVAL_MS)
/* A cold start takes a lease time and the grace, then a few exchanges. */
#define SETTLE_MS 3000

static uint32_t
busy_total (const struct world *world)
{
  uint32_t busy = 0;
  uint32_t i;

  for (i = 0; i < WORLD_NODES; i++)
    busy += world_busy (world, i);
  return busy;
}

/* Stops all load and waits until every report has arrived; then all instances
   must have the same ledger positions. */
static void
assert_ledgers_agree (struct world *world)
{
  uint32_t customer;
  uint32_t i;

  memset (world->clients, 0, sizeof world->clients);
  world->lost_percent = 0;
  world_run_ms (world, 70000);
  for (customer = 0; customer < 2; customer++)
    for (i = 1; i < WORLD_NODES; i++)
      if (world->nodes[i].fleet != NULL)
        CU_ASSERT_EQUAL (world_position (world, i, customer),
                         world_position (world, 0, customer));
  CU_ASSERT_EQUAL (busy_total (world), 0);
}

/* While requests wait, at least 98 percent of the slots are busy, and no
   upstream gets more requests than it has slots. */
static void
assert_all_slots_used (struct world *world)
{
  uint64_t used = 0;
  uint32_t ms;

  world->over = 0;
  for (ms = 0; ms < 500; ms++)
    {
      world_run_ms (world, 1);
      used += busy_total (world);
    }
  CU_ASSERT (used * 100 >= (uint64_t)SLOTS * 500 * 98);
  CU_ASSERT_EQUAL (world->over, 0);
}

static void
test_capacity_follows_demand (void)
{
  static struct world world;

  world_init (&world, 1);
  world.clients[0][0] = BACKLOG;
  world_run_ms (&world, SETTLE_MS);
  CU_ASSERT_EQUAL (world_capacity (&world, 0), SLOTS);
  assert_all_slots_used (&world);
  /* The other instances get their share back within two exchanges. */
  world.clients[1][1] = BACKLOG;
  world.clients[2][1] = BACKLOG;
  world_run_ms (&world, 2 * WORLD_INTERVAL_MS);
  CU_ASSERT (world_capacity (&world, 1) + world_capacity (&world, 2)
             >= SLOTS / 2 - 1);
  world_run_ms (&world, SETTLE_MS);
  assert_all_slots_used (&world);
  assert_ledgers_agree (&world);
  world_finish (&world);
}

/* A customer at one instance and a customer at all instances get equal
   service. */
static void
test_equal_service (void)
{
  static struct world world;
  uint64_t a;
  uint64_t b;
  uint64_t gap;

  world_init (&world, 2);
  world.clients[0][0] = BACKLOG;
  world.clients[0][1] = BACKLOG;
  world.clients[1][1] = BACKLOG;
  world.clients[2][1] = BACKLOG;
  world_run_ms (&world, 20000);
  a = world_position (&world, 0, 0);
  b = world_position (&world, 0, 1);
  gap = a > b ? a - b : b - a;
  /* One request costs 20 units.  The bound is two requests for each slot, plus
     what is served between two exchanges. */
  CU_ASSERT (gap <= LEDGER_SCALE * 20ULL
                        * (2ULL * SLOTS
                           + SLOTS * WORLD_INTERVAL_MS / world.service_ms));
  CU_ASSERT (a > LEDGER_SCALE * 20ULL * SLOTS * 50);
  assert_all_slots_used (&world);
  world_finish (&world);
}

static void
load_all (struct world *world)
{
  uint32_t i;

  for (i = 0; i < WORLD_NODES; i++)
    {
      world->clients[i][0] = BACKLOG;
      world->clients[i][1] = BACKLOG;
    }
}

static void
test_partition (void)
{
  static struct world world;

  world_init (&world, 3);
  load_all (&world);
  world_run_ms (&world, SETTLE_MS);
  world_isolate (&world, 2, true);
  world_run_ms (&world, LEASE_EXPIRY_MS);
  /* The larger part uses all slots, so the partition costs no capacity.  The
     smaller part uses its fraction of the slots of each upstream, and no
     more. */
  CU_ASSERT_EQUAL (world_busy (&world, 0) + world_busy (&world, 1), SLOTS);
  CU_ASSERT_EQUAL (world_busy (&world, 2),
                   (uint64_t)WORLD_UPSTREAMS * (WORLD_SLOTS / WORLD_NODES));
  world_isolate (&world, 2, false);
  world_join (&world, 0, 2);
  world_join (&world, 1, 2);
  world_run_ms (&world, LEASE_EXPIRY_MS);
  assert_all_slots_used (&world);
  assert_ledgers_agree (&world);
  world_finish (&world);
}

/* Instance 2 receives messages of the others, but they receive none of it. */
static void
test_one_way_partition (void)
{
  static struct world world;

  world_init (&world, 4);
  load_all (&world);
  world_run_ms (&world, SETTLE_MS);
  world.cut[2][0] = world.cut[2][1] = true;
  world_run_ms (&world, LEASE_EXPIRY_MS);
  CU_ASSERT_EQUAL (world_busy (&world, 0) + world_busy (&world, 1), SLOTS);
  world.cut[2][0] = world.cut[2][1] = false;
  world_join (&world, 0, 2);
  world_join (&world, 1, 2);
  world_run_ms (&world, LEASE_EXPIRY_MS);
  CU_ASSERT (world_busy (&world, 2) > 0);
  assert_all_slots_used (&world);
  assert_ledgers_agree (&world);
  world_finish (&world);
}

/* What an instance served before it was killed stays counted, exactly once. */
static void
test_cold_restart (void)
{
  static struct world world;
  uint64_t before;

  world_init (&world, 5);
  load_all (&world);
  world_run_ms (&world, SETTLE_MS);
  world_kill (&world, 1);
  world_run_ms (&world, LEASE_EXPIRY_MS);
  assert_all_slots_used (&world);
  before = world_position (&world, 0, 0);
  world_start (&world, 1);
  world_join (&world, 0, 1);
  world_join (&world, 1, 2);
  world_run_ms (&world, 10);
  CU_ASSERT (world_position (&world, 1, 0) >= before);
  world_run_ms (&world, LEASE_EXPIRY_MS);
  CU_ASSERT (world_busy (&world, 1) > 0);
  assert_all_slots_used (&world);
  assert_ledgers_agree (&world);
  CU_ASSERT (world_position (&world, 1, 0) > before);
  world_finish (&world);
}

/* No instance is left that knows which slots were leased to whom. */
static void
test_cold_restart_of_all (void)
{
  static struct world world;
  uint32_t i;

  world_init (&world, 6);
  load_all (&world);
  world_run_ms (&world, SETTLE_MS);
  for (i = 0; i < WORLD_NODES; i++)
    world_kill (&world, i);
  world_run_ms (&world, 10);
  for (i = 0; i < WORLD_NODES; i++)
    world_start (&world, i);
  world_join (&world, 0, 1);
  world_join (&world, 1, 2);
  world_join (&world, 0, 2);
  world_run_ms (&world, SETTLE_MS);
  assert_all_slots_used (&world);
  world_finish (&world);
}

/* A draining instance completes the requests that it has accepted; then its
   slots go to the others. */
static void
test_drain (void)
{
  static struct world world;
  uint32_t waiting;
  uint32_t i;

  world_init (&world, 7);
  load_all (&world);
  world_run_ms (&world, SETTLE_MS);
  waiting = dispatch_total (world.nodes[0].dispatch);
  CU_ASSERT (waiting > world_busy (&world, 0));
  world.nodes[0].completed = 0;
  world_drain (&world, 0);
  world_run_ms (&world, 3000);
  CU_ASSERT_EQUAL (world.nodes[0].completed, waiting);
  CU_ASSERT_EQUAL (dispatch_total (world.nodes[0].dispatch), 0);
  CU_ASSERT_EQUAL (world_capacity (&world, 0), 0);
  assert_all_slots_used (&world);
  /* The last instance can lease slots only from itself. */
  waiting = dispatch_total (world.nodes[1].dispatch);
  world.nodes[1].completed = 0;
  for (i = 1; i < WORLD_NODES; i++)
    world_drain (&world, i);
  world_run_ms (&world, 6000);
  CU_ASSERT_EQUAL (world.nodes[1].completed, waiting);
  CU_ASSERT_EQUAL (busy_total (&world), 0);
  world_finish (&world);
}

static void
test_unreliable_network (void)
{
  static struct world world;
  uint32_t seed;

  for (seed = 10; seed < 14; seed++)
    {
      world_init (&world, seed);
      world.delay_ms_max = WORLD_INTERVAL_MS;
      world.lost_percent = 10;
      world.twice_percent = 20;
      load_all (&world);
      world_run_ms (&world, SETTLE_MS);
      world.over = 0;
      world_run_ms (&world, 10000);
      /* No upstream gets more requests than it has slots, in whatever order
         reports arrive. */
      CU_ASSERT_EQUAL (world.over, 0);
      CU_ASSERT (busy_total (&world) * 10ULL >= SLOTS * 8);
      assert_ledgers_agree (&world);
      world_finish (&world);
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
