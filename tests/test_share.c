/**
 * @file test_share.c
 * Division of slots among customers and instances, partly with random demands.
 */
#include "state/rng.h"
#include "state/share.h"
#include "support/suite.h"
#include <stdlib.h>

#define INSTANCES 7
#define CUSTOMERS 12
#define DEMANDS   24 /* two per customer */
#define ROUNDS    300
#define UPSTREAMS 5
#define MILLI     UINT64_C (1000)

static uint64_t sum_millislots (const struct share_target *targets,
                                size_t count);
static void init_targets (struct share_target *targets);

static uint64_t
sum_millislots (const struct share_target *targets, size_t count)
{
  uint64_t sum = 0;
  size_t i;

  for (i = 0; i < count; i++)
    sum += targets[i].millislots;
  return sum;
}

static void
init_targets (struct share_target *targets)
{
  uint64_t i;

  for (i = 0; i < INSTANCES; i++)
    targets[i].instance_id = i + 1;
}

/* The targets sum to all slots and do not depend on the order of the demands.
   Over all upstreams, each instance gets its target to within one slot. */
static void
test_targets_sum_to_slots (void)
{
  struct share_target targets[INSTANCES];
  struct share_target reordered[INSTANCES];
  struct share_demand demands[DEMANDS];
  struct rng rng;
  int round;

  rng_init (&rng, 3);
  init_targets (targets);
  init_targets (reordered);
  for (round = 0; round < ROUNDS; round++)
    {
      uint32_t per_upstream = 1 + (uint32_t)rng_below (&rng, 16);
      uint32_t slots = per_upstream * UPSTREAMS;
      uint32_t sums[INSTANCES] = { 0 };
      uint32_t out[INSTANCES];
      uint32_t upstream;
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
          struct share_demand swapped = demands[i];

          demands[i] = demands[DEMANDS - 1 - i];
          demands[DEMANDS - 1 - i] = swapped;
        }
      share_compute_targets (demands, DEMANDS, slots, 5000, reordered,
                             INSTANCES);
      CU_ASSERT_EQUAL (sum_millislots (targets, INSTANCES),
                       (uint64_t)slots * MILLI);
      for (upstream = 0; upstream < UPSTREAMS; upstream++)
        {
          share_round_targets (targets, INSTANCES, slots,
                               upstream * per_upstream, per_upstream, out);
          for (i = 0; i < INSTANCES; i++)
            sums[i] += out[i];
        }
      for (i = 0; i < INSTANCES; i++)
        {
          CU_ASSERT_EQUAL (targets[i].millislots, reordered[i].millislots);
          CU_ASSERT ((uint64_t)sums[i] * MILLI + MILLI
                     > targets[i].millislots);
          CU_ASSERT ((uint64_t)sums[i] * MILLI
                     < targets[i].millislots + MILLI);
        }
    }
}

/* Weighted max-min fairness: a customer with little demand gets all of it; the
   others share the rest by weight, however many instances hold their
   requests. */
static void
test_max_min (void)
{
  struct share_target targets[INSTANCES];
  struct share_demand demands[] = { { 1, 1, 4, 4, 1, 0 },
                                    { 2, 2, 1000, 1000, 1, 0 },
                                    { 3, 3, 100, 100, 2, 0 },
                                    { 3, 4, 100, 100, 2, 0 } };

  init_targets (targets);
  share_compute_targets (demands, 4, 64, 0, targets, INSTANCES);
  CU_ASSERT_EQUAL (targets[0].millislots, 4 * MILLI);
  CU_ASSERT_EQUAL (targets[1].millislots, 20 * MILLI);
  CU_ASSERT_EQUAL (targets[2].millislots, 20 * MILLI);
  CU_ASSERT_EQUAL (targets[3].millislots, 20 * MILLI);
  CU_ASSERT_EQUAL (targets[4].millislots, 0);
}

/* Slots in excess of the demand are divided evenly among all instances. */
static void
test_excess_slots (void)
{
  struct share_target targets[INSTANCES];
  struct share_demand demand = { 1, 1, 8, 0, 1, 0 };

  init_targets (targets);
  share_compute_targets (&demand, 1, 64, 0, targets, INSTANCES);
  CU_ASSERT_EQUAL (targets[0].millislots, 16 * MILLI);
  CU_ASSERT_EQUAL (targets[6].millislots, 8 * MILLI);
}

/* Positions change the weight of a customer at most by a factor of two, so one
   that is far ahead still gets slots. */
static void
test_bounded_payback (void)
{
  struct share_target targets[INSTANCES];
  struct share_demand demands[]
      = { { 1, 1, 100, 100, 1, 0 }, { 2, 2, 100, 100, 1, 1000000000 } };

  init_targets (targets);
  share_compute_targets (demands, 2, 50, 1000, targets, INSTANCES);
  CU_ASSERT_EQUAL (targets[0].millislots, 40 * MILLI);
  CU_ASSERT_EQUAL (targets[1].millislots, 10 * MILLI);
  share_compute_targets (demands, 2, 50, 0, targets, INSTANCES);
  CU_ASSERT_EQUAL (targets[0].millislots, 25 * MILLI);
}

static const struct suite_test tests[] = {
  { "targets sum to all slots", test_targets_sum_to_slots },
  { "weighted max-min", test_max_min },
  { "excess slots are divided evenly", test_excess_slots },
  { "correction by position is bounded", test_bounded_payback },
};

SUITE_MAIN ("test_share", tests)
