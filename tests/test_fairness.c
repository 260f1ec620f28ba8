/**
 * @file test_fairness.c
 * Fair shares in a simulated fleet.  Each case computes its bounds from its
 * configuration before the run.  test_baselines_are_unfair runs the flood case
 * with the policies share_static and share_fcfs and checks that the gap then
 * exceeds the bound.
 */
#include "support/fakefleet.h"
#include "support/suite.h"
#include <stdio.h>

#define COUNT(array)  (sizeof (array) / sizeof ((array)[0]))
#define INSTANCES     7
#define UPSTREAMS     5
#define SLOTS         8
#define ALL_INSTANCES 127
#define NS_PER_MS     1000000.0
#define WARM_UP_MS    2000
#define RUN_MS        12000
/* Lease time and grace. */
#define LEASE_EXPIRY_MS       (FAKEFLEET_LEASE_MS + FAKEFLEET_LEASE_MS / 5)
#define UTILISATION_MIN       0.98
#define FAULT_UTILISATION_MIN 0.95 /* during FAULT_MS after a fault */
#define FAULT_MS              5000
#define TURNS_MAX             3 /* bound of a wait, see check_fair */
#define FLOOD_CUSTOMERS       4
#define SEEDS                 3 /* runs of each case with a fault */

struct bounds
{
  double gap;             /* of the normalised service of two customers */
  double cost_max;        /* of a request */
  double cost_per_ms;     /* served by all slots, at most */
  double duration_max_ms; /* of a request */
  double weight_sum;
  double fair_turn_gap; /* slots x cost_max / customers; printed only */
};

/* Customer 0 floods one instance, customer 1 uses all instances, customers 2
   and 3 use some. */
static const struct fakefleet_customer flood[FLOOD_CUSTOMERS]
    = { { 1, 1, 1000, 200, 0, 0, 0 },
        { 1, ALL_INSTANCES, 20, 200, 0, 0, 0 },
        { 1, 96, 60, 200, 0, 0, 0 },
        { 1, 30, 40, 200, 0, 0, 0 } };

static uint64_t seed = 1;

static struct bounds compute_bounds (const struct fakefleet *sim);
static struct fakefleet *start (const struct fakefleet_customer *customers,
                                uint32_t count,
                                const struct share_policy *policy);
static void print_results (const struct fakefleet *sim, const char *name);
static void check_fair (const struct fakefleet *sim, const char *name);
static void check_idle_fleet (struct fakefleet *sim);
static void check_ledgers (const struct fakefleet *sim, bool killed);
static void set_partition (struct fakefleet *sim, bool out, bool in, bool cut);
static void run_after_fault (struct fakefleet *sim, const char *name);
static void run_partition (const char *name, bool out, bool in);
static void run_with_seeds (void (*run) (void));
static void run_case (const char *name,
                      const struct fakefleet_customer *customers,
                      uint32_t count, uint32_t ms);

static struct bounds
compute_bounds (const struct fakefleet *sim)
{
  struct bounds bounds = { 0 };
  uint32_t slots = 0;
  uint32_t i;

  for (i = 0; i < sim->config.upstream_count; i++)
    slots += sim->upstreams[i].slots;
  for (i = 0; i < sim->config.customer_count; i++)
    {
      const struct fakefleet_customer *customer = &sim->customers[i];
      uint32_t large = customer->second_output_tokens > customer->output_tokens
                           ? customer->second_output_tokens
                           : customer->output_tokens;
      double cost
          = FAKEFLEET_INPUT_TOKENS + FAKEFLEET_TOKEN_COST * (double)large;
      double smallest
          = customer->output_tokens
            - (double)customer->output_tokens / FAKEFLEET_JITTER_DIVISOR;
      double rate = FAKEFLEET_TOKEN_COST + FAKEFLEET_INPUT_TOKENS / smallest;

      bounds.weight_sum += customer->weight;
      bounds.cost_max = cost > bounds.cost_max ? cost : bounds.cost_max;
      bounds.duration_max_ms
          = large > bounds.duration_max_ms ? large : bounds.duration_max_ms;
      bounds.cost_per_ms = slots * rate > bounds.cost_per_ms
                               ? slots * rate
                               : bounds.cost_per_ms;
    }
  bounds.gap = 2 * slots * bounds.cost_max
               + bounds.cost_per_ms * FAKEFLEET_INTERVAL_MS;
  bounds.fair_turn_gap = slots * bounds.cost_max / sim->config.customer_count;
  return bounds;
}

static struct fakefleet *
start (const struct fakefleet_customer *customers, uint32_t count,
       const struct share_policy *policy)
{
  struct fakefleet_config config = { .instance_count = INSTANCES,
                                     .upstream_count = UPSTREAMS,
                                     .slots = SLOTS,
                                     .customer_count = count,
                                     .customers = customers,
                                     .policy = policy,
                                     .seed = seed };
  struct fakefleet *sim = fakefleet_new (&config);

  fakefleet_run (sim, WARM_UP_MS);
  fakefleet_reset_measurements (sim);
  return sim;
}

static void
print_results (const struct fakefleet *sim, const char *name)
{
  struct bounds bounds = compute_bounds (sim);
  double gap = fakefleet_service_gap (sim);

  printf ("%s: gap_ratio %.3f gap_fair_turns %.3f utilisation %.4f\n", name,
          gap / bounds.gap, gap / bounds.fair_turn_gap,
          fakefleet_utilisation (sim));
}

static void
check_fair (const struct fakefleet *sim, const char *name)
{
  struct bounds bounds = compute_bounds (sim);
  uint32_t c;

  print_results (sim, name);
  CU_ASSERT (fakefleet_service_gap (sim) <= bounds.gap);
  CU_ASSERT (fakefleet_utilisation (sim) >= UTILISATION_MIN);
  CU_ASSERT_EQUAL (sim->refused, 0);
  for (c = 0; c < sim->config.customer_count; c++)
    {
      /* Time that the largest request takes with the customer's share of all
         slots. */
      double turn_ms = bounds.weight_sum / sim->customers[c].weight
                       * bounds.cost_max / bounds.cost_per_ms;

      if (turn_ms < bounds.duration_max_ms)
        turn_ms = bounds.duration_max_ms;
      CU_ASSERT ((double)sim->longest_wait_ns[c] / NS_PER_MS
                 <= TURNS_MAX * turn_ms);
    }
}

/* Once all customers are idle, each slot is leased to exactly one instance. */
static void
check_idle_fleet (struct fakefleet *sim)
{
  uint32_t i;

  for (i = 0; i < sim->config.customer_count; i++)
    sim->customers[i].outstanding = 0;
  fakefleet_run (sim, 60000);
  CU_ASSERT_EQUAL (sim->attempt_count, 0);
  for (i = 0; i < sim->config.upstream_count; i++)
    CU_ASSERT_EQUAL (fakefleet_capacity (sim, i), sim->upstreams[i].slots);
}

static void
run_case (const char *name, const struct fakefleet_customer *customers,
          uint32_t count, uint32_t ms)
{
  struct fakefleet *sim = start (customers, count, &share_fleet);

  fakefleet_run (sim, ms);
  check_fair (sim, name);
  CU_ASSERT_EQUAL (sim->oversubscribed, 0);
  check_idle_fleet (sim);
  fakefleet_free (sim);
}

static void
test_flood (void)
{
  run_case ("flood", flood, COUNT (flood), RUN_MS);
}

static void
test_wrong_hint (void)
{
  static const struct fakefleet_customer customers[]
      = { { 1, 1, 60, 200, 0, 22, 0 },
          { 1, ALL_INSTANCES, 20, 200, 0, 0, 0 },
          { 1, 62, 20, 200, 0, 0, 0 } };

  run_case ("hint 20 times too low", customers, COUNT (customers), RUN_MS);
}

static void
test_intermittent_load (void)
{
  static const struct fakefleet_customer customers[]
      = { { 1, ALL_INSTANCES, 30, 200, 0, 0, 700 },
          { 1, 1, 60, 200, 0, 0, 0 },
          { 1, 62, 20, 200, 0, 0, 0 } };

  run_case ("intermittent load", customers, COUNT (customers), RUN_MS);
}

static void
test_weights (void)
{
  static const struct fakefleet_customer customers[]
      = { { 1, 1, 60, 200, 0, 0, 0 },
          { 2, ALL_INSTANCES, 20, 200, 0, 0, 0 },
          { 8, 6, 60, 200, 0, 0, 0 } };

  run_case ("weights 1:2:8", customers, COUNT (customers), RUN_MS);
}

static void
test_many_customers (void)
{
  struct fakefleet_customer customers[FAKEFLEET_CUSTOMERS_MAX];
  uint32_t c;

  for (c = 0; c < FAKEFLEET_CUSTOMERS_MAX; c++)
    customers[c] = (struct fakefleet_customer){
      1, UINT32_C (1) << c % INSTANCES, 4, 200, 0, 0, 0
    };
  for (c = 0; c < 3; c++)
    {
      customers[c].instance_mask = ALL_INSTANCES;
      customers[c].outstanding = 40;
    }
  run_case ("16 customers, 3 with high load", customers, COUNT (customers),
            RUN_MS);
}

static void
test_mixed_sizes (void)
{
  static const struct fakefleet_customer customers[]
      = { { 1, 1, 60, 50, 0, 0, 0 },
          { 1, ALL_INSTANCES, 20, 50, 5000, 0, 0 },
          { 1, 6, 30, 5000, 0, 0, 0 } };

  run_case ("50 and 5000 tokens", customers, COUNT (customers), 60000);
}

/* The check can fail: both baseline policies exceed the bound of the gap. */
static void
test_baselines_are_unfair (void)
{
  static const struct share_policy *const policies[]
      = { &share_static, &share_fcfs };
  size_t i;

  for (i = 0; i < COUNT (policies); i++)
    {
      struct fakefleet *sim = start (flood, COUNT (flood), policies[i]);

      fakefleet_run (sim, RUN_MS);
      print_results (sim, policies[i]->name);
      CU_ASSERT (fakefleet_service_gap (sim) > compute_bounds (sim).gap);
      fakefleet_free (sim);
    }
}

/* The ledgers of all instances agree and match the service given, except for
   what a killed instance had not reported or not completed. */
static void
check_ledgers (const struct fakefleet *sim, bool killed)
{
  struct bounds bounds = compute_bounds (sim);
  double unreported = killed ? bounds.cost_per_ms * FAKEFLEET_INTERVAL_MS : 0;
  double unfinished = killed ? UPSTREAMS * SLOTS * bounds.cost_max : 0;
  uint32_t c;
  uint32_t n;

  for (c = 0; c < sim->config.customer_count; c++)
    for (n = 0; n < INSTANCES; n++)
      {
        double accounted = (double)fakefleet_ledger_cost (sim, n, c);
        double served = (double)sim->completed_cost[c];

        CU_ASSERT_EQUAL (accounted, (double)fakefleet_ledger_cost (sim, 0, c));
        CU_ASSERT (accounted >= served - unreported);
        CU_ASSERT (accounted <= served + unfinished);
      }
}

static void
run_with_seeds (void (*run) (void))
{
  for (seed = 1; seed <= SEEDS; seed++)
    run ();
  seed = 1;
}

/* Cuts or restores the links from instance 1 (`out`) and to it (`in`). */
static void
set_partition (struct fakefleet *sim, bool out, bool in, bool cut)
{
  uint32_t n;

  for (n = 0; n < INSTANCES; n++)
    {
      if (n != 1 && out)
        fakefleet_set_link_cut (sim, 1, n, cut);
      if (n != 1 && in)
        fakefleet_set_link_cut (sim, n, 1, cut);
    }
}

/* Runs for FAULT_MS after a fault or after its end, and checks utilisation. */
static void
run_after_fault (struct fakefleet *sim, const char *name)
{
  fakefleet_run (sim, FAULT_MS);
  print_results (sim, name);
  CU_ASSERT (fakefleet_utilisation (sim) >= FAULT_UTILISATION_MIN);
}

static void
run_partition (const char *name, bool out, bool in)
{
  struct fakefleet *sim = start (flood, COUNT (flood), &share_fleet);

  set_partition (sim, out, in, true);
  run_after_fault (sim, name);
  set_partition (sim, out, in, false);
  fakefleet_run (sim, RUN_MS);
  check_fair (sim, "  and reconnected");
  fakefleet_reset_measurements (sim);
  fakefleet_run (sim, RUN_MS);
  check_fair (sim, "  later");
  CU_ASSERT_EQUAL (sim->oversubscribed, 0);
  check_idle_fleet (sim);
  check_ledgers (sim, false);
  fakefleet_free (sim);
}

static void
run_partition_both_ways (void)
{
  run_partition ("partition in both directions", true, true);
}

static void
test_partition_both_ways (void)
{
  run_with_seeds (run_partition_both_ways);
}

static void
run_partition_outgoing (void)
{
  run_partition ("partition of outgoing messages", true, false);
}

static void
test_partition_outgoing (void)
{
  run_with_seeds (run_partition_outgoing);
}

static void
run_partition_incoming (void)
{
  run_partition ("partition of incoming messages", false, true);
}

static void
test_partition_incoming (void)
{
  run_with_seeds (run_partition_incoming);
}

static void
run_kill_and_cold_restart (void)
{
  struct fakefleet *sim = start (flood, COUNT (flood), &share_fleet);

  fakefleet_kill (sim, 1);
  run_after_fault (sim, "killed");
  fakefleet_start (sim, 1);
  fakefleet_run (sim, FAULT_MS);
  check_fair (sim, "  and restarted cold");
  CU_ASSERT_EQUAL (sim->oversubscribed, 0);
  check_idle_fleet (sim);
  check_ledgers (sim, true);
  fakefleet_free (sim);
}

static void
test_kill_and_cold_restart (void)
{
  run_with_seeds (run_kill_and_cold_restart);
}

static void
run_pause_past_lease (void)
{
  struct fakefleet *sim = start (flood, COUNT (flood), &share_fleet);

  sim->instances[1].paused = true;
  fakefleet_run (sim, 2 * LEASE_EXPIRY_MS);
  print_results (sim, "paused");
  sim->instances[1].paused = false;
  run_after_fault (sim, "  and resumed");
  fakefleet_run (sim, RUN_MS);
  CU_ASSERT (fakefleet_service_gap (sim) <= compute_bounds (sim).gap);
  fakefleet_reset_measurements (sim);
  fakefleet_run (sim, FAULT_MS);
  check_fair (sim, "  later");
  check_idle_fleet (sim);
  check_ledgers (sim, false);
  fakefleet_free (sim);
}

static void
test_pause_past_lease (void)
{
  run_with_seeds (run_pause_past_lease);
}

static void
run_unreliable_network (void)
{
  struct fakefleet *sim = start (flood, COUNT (flood), &share_fleet);

  sim->config.loss_percent = 5;
  sim->config.repeat_percent = 5;
  sim->config.delay_ms = 20;
  fakefleet_run (sim, RUN_MS);
  print_results (sim, "reports lost, repeated, reordered, delayed");
  CU_ASSERT (fakefleet_service_gap (sim) <= compute_bounds (sim).gap);
  CU_ASSERT (fakefleet_utilisation (sim) >= FAULT_UTILISATION_MIN);
  CU_ASSERT_EQUAL (sim->oversubscribed, 0);
  sim->config.loss_percent = 0;
  check_idle_fleet (sim);
  check_ledgers (sim, false);
  fakefleet_free (sim);
}

static void
test_unreliable_network (void)
{
  run_with_seeds (run_unreliable_network);
}

/* All slots go to the only instance with requests, and about half of them go
   back to the others once these have requests. */
static void
test_capacity_follows_demand (void)
{
  static const struct fakefleet_customer customers[]
      = { { 1, 1, 200, 50, 0, 0, 0 }, { 1, 126, 60, 50, 0, 0, 0 } };
  struct fakefleet *sim = start (customers, COUNT (customers), &share_fleet);
  uint32_t n;
  uint32_t others = 0;

  sim->customers[1].outstanding = 0;
  fakefleet_run (sim, WARM_UP_MS);
  sim->customers[0].outstanding = 0;
  fakefleet_run (sim, WARM_UP_MS);
  sim->customers[0].outstanding = 200;
  fakefleet_run (sim, 2 * FAKEFLEET_INTERVAL_MS);
  CU_ASSERT_EQUAL (fakefleet_busy (sim, 0), UPSTREAMS * SLOTS);
  fakefleet_run (sim, WARM_UP_MS);
  CU_ASSERT_EQUAL (fakefleet_busy (sim, 0), UPSTREAMS * SLOTS);
  sim->customers[1].outstanding = 60;
  fakefleet_run (sim, 2 * FAKEFLEET_INTERVAL_MS + 50);
  for (n = 1; n < INSTANCES; n++)
    others += fakefleet_busy (sim, n);
  CU_ASSERT (others >= UPSTREAMS * SLOTS / 2 - 1);
  check_idle_fleet (sim);
  fakefleet_free (sim);
}

static void
test_upstreams_change (void)
{
  struct fakefleet *sim = start (flood, COUNT (flood), &share_fleet);

  sim->ms_per_token[0] = 4;
  fakefleet_run (sim, FAULT_MS);
  print_results (sim, "an upstream is slower");
  CU_ASSERT (fakefleet_utilisation (sim) >= UTILISATION_MIN);
  sim->upstreams[1].slots = SLOTS / 2;
  fakefleet_configure (sim, UPSTREAMS);
  fakefleet_run (sim, 1000);
  fakefleet_reset_measurements (sim);
  fakefleet_run (sim, FAULT_MS);
  print_results (sim, "  another has fewer slots");
  CU_ASSERT_EQUAL (sim->oversubscribed, 0);
  CU_ASSERT (fakefleet_utilisation (sim) >= UTILISATION_MIN);
  fakefleet_configure (sim, UPSTREAMS - 1);
  fakefleet_run (sim, 1000);
  CU_ASSERT_EQUAL (fakefleet_capacity (sim, UPSTREAMS - 1), 0);
  sim->upstreams[2].draining = true;
  fakefleet_configure (sim, UPSTREAMS + 1);
  fakefleet_run (sim, 1000);
  CU_ASSERT_EQUAL (fakefleet_capacity (sim, 2), 0);
  sim->upstreams[2].draining = false;
  fakefleet_configure (sim, UPSTREAMS + 1);
  fakefleet_run (sim, 1000);
  fakefleet_reset_measurements (sim);
  fakefleet_run (sim, FAULT_MS);
  print_results (sim, "  one removed, two added");
  CU_ASSERT (fakefleet_utilisation (sim) >= UTILISATION_MIN);
  check_idle_fleet (sim);
  fakefleet_free (sim);
}

static const struct suite_test tests[] = {
  { "a customer floods one instance", test_flood },
  { "a customer's cost is 20 times its hint", test_wrong_hint },
  { "a customer alternates between busy and idle", test_intermittent_load },
  { "weights", test_weights },
  { "many customers, three of them with high load", test_many_customers },
  { "requests of very different sizes", test_mixed_sizes },
  { "baseline policies exceed the bound", test_baselines_are_unfair },
  { "capacity follows demand", test_capacity_follows_demand },
  { "an instance is killed and restarted cold", test_kill_and_cold_restart },
  { "an instance is partitioned in both directions",
    test_partition_both_ways },
  { "messages from an instance are lost", test_partition_outgoing },
  { "messages to an instance are lost", test_partition_incoming },
  { "an instance is paused until its leases have expired",
    test_pause_past_lease },
  { "reports lost, repeated, reordered, delayed", test_unreliable_network },
  { "upstreams slow down, lose slots, leave and join", test_upstreams_change },
};

SUITE_MAIN ("test_fairness", tests)
