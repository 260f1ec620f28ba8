/**
 * @file test_fairness.c
 * Shares over a fake fleet: each case computes its bounds from the settings
 * before the run.  With share_static in place of the mechanism the gap of
 * every case that says so goes beyond its bound; see
 * test_baselines_are_unfair.
 */
#include "support/fakefleet.h"
#include "support/suite.h"
#include <stdio.h>

#define COUNT(array)      (sizeof (array) / sizeof ((array)[0]))
#define NODES             7
#define UPSTREAMS         5
#define SLOTS             8
#define ALL_NODES         127
#define NS_PER_MS         1000000.0
#define WARM_UP_MS        2000
#define RUN_MS            12000
#define LEASE_END_MS      (FAKE_LEASE_MS + FAKE_LEASE_MS / 5) /* with the grace */
#define UTILISATION       0.98
#define FAULT_UTILISATION 0.95 /* in FAULT_MS after a fault */
#define FAULT_MS          5000
#define TURNS_MAX         3
#define SERVICE_COUNT     4 /* customers of most cases */
#define SEEDS             3 /* runs of each case with a fault */

struct bounds
{
  double gap;
  double cost;        /* of the largest request */
  double cost_per_ms; /* of all slots */
  double longest_ms;  /* of the largest request */
  double weights;
  double fair_turn_gap; /* slots x largest cost / customers, for the report */
};

/* c0 floods one instance, c1 is on all of them, c2 and c3 on some. */
static const struct fake_customer flood[SERVICE_COUNT]
    = { { 1, 1, 1000, 200, 0, 0, 0 },
        { 1, ALL_NODES, 20, 200, 0, 0, 0 },
        { 1, 96, 60, 200, 0, 0, 0 },
        { 1, 30, 40, 200, 0, 0, 0 } };

static uint64_t seed = 1;

static struct bounds bounds_of (const struct fakefleet *world);
static struct fakefleet *start (const struct fake_customer *customers,
                                uint32_t count,
                                const struct share_policy *policy);
static void show (const struct fakefleet *world, const char *name);
static void check_fair (const struct fakefleet *world, const char *name);
static void check_settled (struct fakefleet *world);
static void check_accounts (const struct fakefleet *world, bool killed);
static void cut_off (struct fakefleet *world, bool out, bool in, bool cut);
static void run_fault (struct fakefleet *world, const char *name);
static void run_partition (const char *name, bool out, bool in);
static void with_seeds (void (*run) (void));
static void run_case (const char *name, const struct fake_customer *customers,
                      uint32_t count, uint32_t ms);

static struct bounds
bounds_of (const struct fakefleet *world)
{
  struct bounds bounds = { 0 };
  uint32_t slots = 0;
  uint32_t i;

  for (i = 0; i < world->config.upstream_count; i++)
    slots += world->upstreams[i].slots;
  for (i = 0; i < world->config.customer_count; i++)
    {
      const struct fake_customer *who = &world->customers[i];
      uint32_t large
          = who->tokens_large > who->tokens ? who->tokens_large : who->tokens;
      double cost = FAKE_INPUT_TOKENS + FAKE_TOKEN_COST * (double)large;
      double smallest = who->tokens - (double)who->tokens / FAKE_JITTER;
      double rate = FAKE_TOKEN_COST + FAKE_INPUT_TOKENS / smallest;

      bounds.weights += who->weight;
      bounds.cost = cost > bounds.cost ? cost : bounds.cost;
      bounds.longest_ms
          = large > bounds.longest_ms ? large : bounds.longest_ms;
      bounds.cost_per_ms = slots * rate > bounds.cost_per_ms
                               ? slots * rate
                               : bounds.cost_per_ms;
    }
  bounds.gap = 2 * slots * bounds.cost + bounds.cost_per_ms * FAKE_INTERVAL_MS;
  bounds.fair_turn_gap = slots * bounds.cost / world->config.customer_count;
  return bounds;
}

static struct fakefleet *
start (const struct fake_customer *customers, uint32_t count,
       const struct share_policy *policy)
{
  struct fake_config config = { .node_count = NODES,
                                .upstream_count = UPSTREAMS,
                                .slots = SLOTS,
                                .customer_count = count,
                                .customers = customers,
                                .policy = policy,
                                .seed = seed };
  struct fakefleet *world = fake_new (&config);

  fake_run (world, WARM_UP_MS);
  fake_measure (world);
  return world;
}

static void
show (const struct fakefleet *world, const char *name)
{
  struct bounds bounds = bounds_of (world);
  double gap = fake_gap (world);

  printf ("%s: gap_ratio %.3f gap_fair_turns %.3f utilisation %.4f\n", name,
          gap / bounds.gap, gap / bounds.fair_turn_gap,
          fake_utilisation (world));
}

static void
check_fair (const struct fakefleet *world, const char *name)
{
  struct bounds bounds = bounds_of (world);
  uint32_t c;

  show (world, name);
  CU_ASSERT (fake_gap (world) <= bounds.gap);
  CU_ASSERT (fake_utilisation (world) >= UTILISATION);
  CU_ASSERT_EQUAL (world->refused, 0);
  for (c = 0; c < world->config.customer_count; c++)
    {
      double turn_ms = bounds.weights / world->customers[c].weight
                       * bounds.cost / bounds.cost_per_ms;

      if (turn_ms < bounds.longest_ms)
        turn_ms = bounds.longest_ms;
      CU_ASSERT ((double)world->longest_wait_ns[c] / NS_PER_MS
                 <= TURNS_MAX * turn_ms);
    }
}

/* With nothing outstanding every slot is at somebody's disposal, once. */
static void
check_settled (struct fakefleet *world)
{
  uint32_t i;

  for (i = 0; i < world->config.customer_count; i++)
    world->customers[i].outstanding = 0;
  fake_run (world, 60000);
  CU_ASSERT_EQUAL (world->job_count, 0);
  for (i = 0; i < world->config.upstream_count; i++)
    CU_ASSERT_EQUAL (fake_capacity (world, i), world->upstreams[i].slots);
}

static void
run_case (const char *name, const struct fake_customer *customers,
          uint32_t count, uint32_t ms)
{
  struct fakefleet *world = start (customers, count, &share_fleet);

  fake_run (world, ms);
  check_fair (world, name);
  CU_ASSERT_EQUAL (world->oversubscribed, 0);
  check_settled (world);
  fake_free (world);
}

static void
test_flood (void)
{
  run_case ("flood", flood, COUNT (flood), RUN_MS);
}

static void
test_wrong_hint (void)
{
  static const struct fake_customer customers[]
      = { { 1, 1, 60, 200, 0, 22, 0 },
          { 1, ALL_NODES, 20, 200, 0, 0, 0 },
          { 1, 62, 20, 200, 0, 0, 0 } };

  run_case ("hint 20 times too low", customers, COUNT (customers), RUN_MS);
}

static void
test_pulse (void)
{
  static const struct fake_customer customers[]
      = { { 1, ALL_NODES, 30, 200, 0, 0, 700 },
          { 1, 1, 60, 200, 0, 0, 0 },
          { 1, 62, 20, 200, 0, 0, 0 } };

  run_case ("pulse", customers, COUNT (customers), RUN_MS);
}

static void
test_weights (void)
{
  static const struct fake_customer customers[]
      = { { 1, 1, 60, 200, 0, 0, 0 },
          { 2, ALL_NODES, 20, 200, 0, 0, 0 },
          { 8, 6, 60, 200, 0, 0, 0 } };

  run_case ("weights 1:2:8", customers, COUNT (customers), RUN_MS);
}

static void
test_many_customers (void)
{
  struct fake_customer customers[FAKE_CUSTOMERS_MAX];
  uint32_t c;

  for (c = 0; c < FAKE_CUSTOMERS_MAX; c++)
    customers[c] = (struct fake_customer){
      1, UINT32_C (1) << c % NODES, 4, 200, 0, 0, 0
    };
  for (c = 0; c < 3; c++)
    {
      customers[c].nodes = ALL_NODES;
      customers[c].outstanding = 40;
    }
  run_case ("16 customers, 3 large", customers, COUNT (customers), RUN_MS);
}

static void
test_mixed_sizes (void)
{
  static const struct fake_customer customers[]
      = { { 1, 1, 60, 50, 0, 0, 0 },
          { 1, ALL_NODES, 20, 50, 5000, 0, 0 },
          { 1, 6, 30, 5000, 0, 0, 0 } };

  run_case ("50 and 5000 tokens", customers, COUNT (customers), 60000);
}

/* The check can fail: neither baseline holds it. */
static void
test_baselines_are_unfair (void)
{
  static const struct share_policy *const policies[]
      = { &share_static, &share_fcfs };
  size_t i;

  for (i = 0; i < COUNT (policies); i++)
    {
      struct fakefleet *world = start (flood, COUNT (flood), policies[i]);

      fake_run (world, RUN_MS);
      show (world, policies[i]->name);
      CU_ASSERT (fake_gap (world) > bounds_of (world).gap);
      fake_free (world);
    }
}

/* Every instance has the same accounts, and they are what was served; but for
   what a killed instance had not reported, or not finished. */
static void
check_accounts (const struct fakefleet *world, bool killed)
{
  struct bounds bounds = bounds_of (world);
  double unreported = killed ? bounds.cost_per_ms * FAKE_INTERVAL_MS : 0;
  double unfinished = killed ? UPSTREAMS * SLOTS * bounds.cost : 0;
  uint32_t c;
  uint32_t n;

  for (c = 0; c < world->config.customer_count; c++)
    for (n = 0; n < NODES; n++)
      {
        double accounted = (double)fake_accounted (world, n, c);
        double served = (double)world->settled[c];

        CU_ASSERT_EQUAL (accounted, (double)fake_accounted (world, 0, c));
        CU_ASSERT (accounted >= served - unreported);
        CU_ASSERT (accounted <= served + unfinished);
      }
}

static void
with_seeds (void (*run) (void))
{
  for (seed = 1; seed <= SEEDS; seed++)
    run ();
  seed = 1;
}

/* Cuts instance 1 off, or mends its links. */
static void
cut_off (struct fakefleet *world, bool out, bool in, bool cut)
{
  uint32_t n;

  for (n = 0; n < NODES; n++)
    {
      if (n != 1 && out)
        fake_cut (world, 1, n, cut);
      if (n != 1 && in)
        fake_cut (world, n, 1, cut);
    }
}

/* The time after a fault, and after it is mended. */
static void
run_fault (struct fakefleet *world, const char *name)
{
  fake_run (world, FAULT_MS);
  show (world, name);
  CU_ASSERT (fake_utilisation (world) >= FAULT_UTILISATION);
}

static void
run_partition (const char *name, bool out, bool in)
{
  struct fakefleet *world = start (flood, COUNT (flood), &share_fleet);

  cut_off (world, out, in, true);
  run_fault (world, name);
  cut_off (world, out, in, false);
  fake_run (world, RUN_MS);
  check_fair (world, "  and mended");
  fake_measure (world);
  fake_run (world, RUN_MS);
  check_fair (world, "  later");
  CU_ASSERT_EQUAL (world->oversubscribed, 0);
  check_settled (world);
  check_accounts (world, false);
  fake_free (world);
}

static void
run_cut_off_both_ways (void)
{
  run_partition ("cut off both ways", true, true);
}

static void
test_cut_off_both_ways (void)
{
  with_seeds (run_cut_off_both_ways);
}

static void
run_cut_off_outwards (void)
{
  run_partition ("cut off outwards", true, false);
}

static void
test_cut_off_outwards (void)
{
  with_seeds (run_cut_off_outwards);
}

static void
run_cut_off_inwards (void)
{
  run_partition ("cut off inwards", false, true);
}

static void
test_cut_off_inwards (void)
{
  with_seeds (run_cut_off_inwards);
}

static void
run_kill_and_cold_restart (void)
{
  struct fakefleet *world = start (flood, COUNT (flood), &share_fleet);

  fake_kill (world, 1);
  run_fault (world, "killed");
  fake_start (world, 1);
  fake_run (world, FAULT_MS);
  check_fair (world, "  and restarted cold");
  CU_ASSERT_EQUAL (world->oversubscribed, 0);
  check_settled (world);
  check_accounts (world, true);
  fake_free (world);
}

static void
test_kill_and_cold_restart (void)
{
  with_seeds (run_kill_and_cold_restart);
}

static void
run_pause_past_the_lease (void)
{
  struct fakefleet *world = start (flood, COUNT (flood), &share_fleet);

  world->nodes[1].paused = true;
  fake_run (world, 2 * LEASE_END_MS);
  show (world, "paused");
  world->nodes[1].paused = false;
  run_fault (world, "  and resumed");
  fake_run (world, RUN_MS);
  CU_ASSERT (fake_gap (world) <= bounds_of (world).gap);
  fake_measure (world);
  fake_run (world, FAULT_MS);
  check_fair (world, "  later");
  check_settled (world);
  check_accounts (world, false);
  fake_free (world);
}

static void
test_pause_past_the_lease (void)
{
  with_seeds (run_pause_past_the_lease);
}

static void
run_reports_lost_repeated_reordered_late (void)
{
  struct fakefleet *world = start (flood, COUNT (flood), &share_fleet);

  world->config.loss_percent = 5;
  world->config.repeat_percent = 5;
  world->config.delay_ms = 20;
  fake_run (world, RUN_MS);
  show (world, "reports lost, repeated, reordered, late");
  CU_ASSERT (fake_gap (world) <= bounds_of (world).gap);
  CU_ASSERT (fake_utilisation (world) >= FAULT_UTILISATION);
  CU_ASSERT_EQUAL (world->oversubscribed, 0);
  world->config.loss_percent = 0;
  check_settled (world);
  check_accounts (world, false);
  fake_free (world);
}

static void
test_reports_lost_repeated_reordered_late (void)
{
  with_seeds (run_reports_lost_repeated_reordered_late);
}

/* All slots to the only instance with work, and back to the others. */
static void
test_capacity_follows_work (void)
{
  static const struct fake_customer customers[]
      = { { 1, 1, 200, 50, 0, 0, 0 }, { 1, 126, 60, 50, 0, 0, 0 } };
  struct fakefleet *world = start (customers, COUNT (customers), &share_fleet);
  uint32_t n;
  uint32_t others = 0;

  world->customers[1].outstanding = 0;
  fake_run (world, WARM_UP_MS);
  world->customers[0].outstanding = 0;
  fake_run (world, WARM_UP_MS);
  world->customers[0].outstanding = 200;
  fake_run (world, 2 * FAKE_INTERVAL_MS);
  CU_ASSERT_EQUAL (fake_busy (world, 0), UPSTREAMS * SLOTS);
  fake_run (world, WARM_UP_MS);
  CU_ASSERT_EQUAL (fake_busy (world, 0), UPSTREAMS * SLOTS);
  world->customers[1].outstanding = 60;
  fake_run (world, 2 * FAKE_INTERVAL_MS + 50);
  for (n = 1; n < NODES; n++)
    others += fake_busy (world, n);
  CU_ASSERT (others >= UPSTREAMS * SLOTS / 2 - 1);
  check_settled (world);
  fake_free (world);
}

static void
test_upstreams_change (void)
{
  struct fakefleet *world = start (flood, COUNT (flood), &share_fleet);

  world->slowness[0] = 4;
  fake_run (world, FAULT_MS);
  show (world, "an upstream is slower");
  CU_ASSERT (fake_utilisation (world) >= UTILISATION);
  world->upstreams[1].slots = SLOTS / 2;
  fake_configure (world, UPSTREAMS);
  fake_run (world, 1000);
  fake_measure (world);
  fake_run (world, FAULT_MS);
  show (world, "  another has fewer slots");
  CU_ASSERT_EQUAL (world->oversubscribed, 0);
  CU_ASSERT (fake_utilisation (world) >= UTILISATION);
  fake_configure (world, UPSTREAMS - 1);
  fake_run (world, 1000);
  CU_ASSERT_EQUAL (fake_capacity (world, UPSTREAMS - 1), 0);
  world->upstreams[2].draining = true;
  fake_configure (world, UPSTREAMS + 1);
  fake_run (world, 1000);
  CU_ASSERT_EQUAL (fake_capacity (world, 2), 0);
  world->upstreams[2].draining = false;
  fake_configure (world, UPSTREAMS + 1);
  fake_run (world, 1000);
  fake_measure (world);
  fake_run (world, FAULT_MS);
  show (world, "  one gone, two new");
  CU_ASSERT (fake_utilisation (world) >= UTILISATION);
  check_settled (world);
  fake_free (world);
}

static const struct suite_test tests[] = {
  { "a customer floods one instance", test_flood },
  { "a customer's cost is 20 times its hint", test_wrong_hint },
  { "a customer pulses", test_pulse },
  { "weights", test_weights },
  { "many customers, three of them large", test_many_customers },
  { "requests of very different sizes", test_mixed_sizes },
  { "the baselines are unfair", test_baselines_are_unfair },
  { "capacity follows work", test_capacity_follows_work },
  { "an instance is killed and restarted cold", test_kill_and_cold_restart },
  { "an instance is cut off both ways", test_cut_off_both_ways },
  { "an instance is not heard", test_cut_off_outwards },
  { "an instance does not hear", test_cut_off_inwards },
  { "an instance pauses past its lease", test_pause_past_the_lease },
  { "reports lost, repeated, reordered, late",
    test_reports_lost_repeated_reordered_late },
  { "upstreams slower, smaller, gone, new", test_upstreams_change },
};

SUITE_MAIN ("test_fairness", tests)
