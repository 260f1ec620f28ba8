/**
 * @file test_fairness.c
 * Shares over a fake fleet: each case computes its bounds from the settings
 * before the run.  With share_static in place of the mechanism the gap of
 * every case that says so goes beyond its bound; see test_static_is_unfair.
 */
#include "support/fakefleet.h"
#include "support/suite.h"
#include <stdio.h>

#define COUNT(array)  (sizeof (array) / sizeof ((array)[0]))
#define NODES         4
#define UPSTREAMS     4
#define SLOTS         8
#define ALL_NODES     15
#define NS_PER_MS     1000000.0
#define WARM_UP_MS    2000
#define RUN_MS        12000
#define LEASE_END_MS  (FAKE_LEASE_MS + FAKE_LEASE_MS / 5) /* with the grace */
#define UTILISATION   0.98
#define TURNS_MAX     3
#define SERVICE_COUNT 4 /* customers of most cases */

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
        { 1, 8, 60, 200, 0, 0, 0 },
        { 1, 6, 40, 200, 0, 0, 0 } };

static struct bounds bounds_of (const struct fakefleet *world);
static struct fakefleet *start (const struct fake_customer *customers,
                                uint32_t count,
                                const struct share_policy *policy);
static void show (const struct fakefleet *world, const char *name);
static void check_fair (const struct fakefleet *world, const char *name);
static void check_settled (struct fakefleet *world);
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
                                .seed = 1 };
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
          { 1, 14, 20, 200, 0, 0, 0 } };

  run_case ("hint 20 times too low", customers, COUNT (customers), RUN_MS);
}

static void
test_pulse (void)
{
  static const struct fake_customer customers[]
      = { { 1, ALL_NODES, 30, 200, 0, 0, 700 },
          { 1, 1, 60, 200, 0, 0, 0 },
          { 1, 14, 20, 200, 0, 0, 0 } };

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

/* The check can fail: a static split does not hold it. */
static void
test_static_is_unfair (void)
{
  struct fakefleet *world = start (flood, COUNT (flood), &share_static);

  fake_run (world, RUN_MS);
  show (world, "static");
  CU_ASSERT (fake_gap (world) > bounds_of (world).gap);
  fake_free (world);
}

static const struct suite_test tests[] = {
  { "a customer floods one instance", test_flood },
  { "a customer's cost is 20 times its hint", test_wrong_hint },
  { "a customer pulses", test_pulse },
  { "weights", test_weights },
  { "many customers, three of them large", test_many_customers },
  { "requests of very different sizes", test_mixed_sizes },
  { "a static split is unfair", test_static_is_unfair },
};

SUITE_MAIN ("test_fairness", tests)
