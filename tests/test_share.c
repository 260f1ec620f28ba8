/**
 * @file test_share.c
 * Properties of the division of slots, over random demands.
 */
#include "state/rng.h"
#include "state/share.h"
#include "support/suite.h"
#include <stdlib.h>

#define INSTANCES 7
#define CUSTOMERS 12
#define DEMANDS   24 /* two of each customer */
#define ROUNDS    300
#define UPSTREAMS 5
#define MILLI     UINT64_C (1000)

static uint64_t total (const struct share_target *targets, size_t count);
static void set_targets (struct share_target *targets);

static uint64_t
total (const struct share_target *targets, size_t count)
{
  uint64_t sum = 0;
  size_t i;

  for (i = 0; i < count; i++)
    sum += targets[i].millislots;
  return sum;
}

static void
set_targets (struct share_target *targets)
{
  uint64_t i;

  for (i = 0; i < INSTANCES; i++)
    targets[i].instance_id = i + 1;
}

/* Nothing is lost, order does not matter, and over all upstreams each
   instance gets its target to within one slot. */
static void
test_all_slots_are_given (void)
{
  struct share_target targets[INSTANCES];
  struct share_target again[INSTANCES];
  struct share_demand demands[DEMANDS];
  struct rng rng;
  int round;

  rng_init (&rng, 3);
  set_targets (targets);
  set_targets (again);
  for (round = 0; round < ROUNDS; round++)
    {
      uint32_t per_upstream = 1 + (uint32_t)rng_below (&rng, 16);
      uint32_t slots = per_upstream * UPSTREAMS;
      uint32_t sums[INSTANCES] = { 0 };
      uint32_t out[INSTANCES];
      uint32_t u;
      size_t i;

      for (i = 0; i < DEMANDS; i++)
        {
          uint32_t waiting = (uint32_t)rng_below (&rng, 20);

          demands[i] = (struct share_demand){
            .customer_id = i / 2,
            .instance_id = 1 + rng_below (&rng, INSTANCES),
            .requests = waiting + (uint32_t)rng_below (&rng, 5),
            .waiting = waiting,
            .weight = 1 + (uint32_t)(i / 2) % 3,
            .position = (i / 2) * 1000
          };
        }
      share_compute_targets (demands, DEMANDS, slots, 5000, targets,
                             INSTANCES);
      for (i = 0; i < CUSTOMERS; i++)
        {
          struct share_demand one = demands[i];

          demands[i] = demands[DEMANDS - 1 - i];
          demands[DEMANDS - 1 - i] = one;
        }
      share_compute_targets (demands, DEMANDS, slots, 5000, again, INSTANCES);
      CU_ASSERT_EQUAL (total (targets, INSTANCES), (uint64_t)slots * MILLI);
      for (u = 0; u < UPSTREAMS; u++)
        {
          share_round_targets (targets, INSTANCES, slots, u * per_upstream,
                               per_upstream, out);
          for (i = 0; i < INSTANCES; i++)
            sums[i] += out[i];
        }
      for (i = 0; i < INSTANCES; i++)
        {
          CU_ASSERT_EQUAL (targets[i].millislots, again[i].millislots);
          CU_ASSERT ((uint64_t)sums[i] * MILLI + MILLI
                     > targets[i].millislots);
          CU_ASSERT ((uint64_t)sums[i] * MILLI
                     < targets[i].millislots + MILLI);
        }
    }
}

/* Weighted max-min: a customer with little demand gets it all; the others
   share the rest by weight, wherever they wait. */
static void
test_max_min (void)
{
  struct share_target targets[INSTANCES];
  struct share_demand demands[] = { { 1, 1, 4, 4, 1, 0 },
                                    { 2, 2, 1000, 1000, 1, 0 },
                                    { 3, 3, 100, 100, 2, 0 },
                                    { 3, 4, 100, 100, 2, 0 } };

  set_targets (targets);
  share_compute_targets (demands, 4, 64, 0, targets, INSTANCES);
  CU_ASSERT_EQUAL (targets[0].millislots, 4 * MILLI);
  CU_ASSERT_EQUAL (targets[1].millislots, 20 * MILLI);
  CU_ASSERT_EQUAL (targets[2].millislots, 20 * MILLI);
  CU_ASSERT_EQUAL (targets[3].millislots, 20 * MILLI);
  CU_ASSERT_EQUAL (targets[4].millislots, 0);
}

/* With slots to spare every instance has some at hand. */
static void
test_light_load (void)
{
  struct share_target targets[INSTANCES];
  struct share_demand demand = { 1, 1, 8, 0, 1, 0 };

  set_targets (targets);
  share_compute_targets (&demand, 1, 64, 0, targets, INSTANCES);
  CU_ASSERT_EQUAL (targets[0].millislots, 16 * MILLI);
  CU_ASSERT_EQUAL (targets[6].millislots, 8 * MILLI);
}

/* Debt is paid back, at most at twice the weight, and nobody is shut out. */
static void
test_payback_is_bounded (void)
{
  struct share_target targets[INSTANCES];
  struct share_demand demands[]
      = { { 1, 1, 100, 100, 1, 0 }, { 2, 2, 100, 100, 1, 1000000000 } };

  set_targets (targets);
  share_compute_targets (demands, 2, 50, 1000, targets, INSTANCES);
  CU_ASSERT_EQUAL (targets[0].millislots, 40 * MILLI);
  CU_ASSERT_EQUAL (targets[1].millislots, 10 * MILLI);
  share_compute_targets (demands, 2, 50, 0, targets, INSTANCES);
  CU_ASSERT_EQUAL (targets[0].millislots, 25 * MILLI);
}

static const struct suite_test tests[] = {
  { "all slots are given", test_all_slots_are_given },
  { "weighted max-min", test_max_min },
  { "light load", test_light_load },
  { "payback is bounded", test_payback_is_bounded },
};

SUITE_MAIN ("test_share", tests)
