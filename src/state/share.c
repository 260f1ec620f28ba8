/**
 * @file share.c
 * Weighted max-min fair division of slots.
 */
#include "state/share.h"
#include "state/err.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define MILLISLOTS_PER_SLOT 1000
#define PAYBACK_FACTOR_MAX  2.0     /* at most doubles or halves a weight */
#define GOLDEN_RATIO        0.61803 /* its multiples spread evenly modulo 1 */

/* Demand of one customer over all instances. */
struct customer_demand
{
  size_t first; /* index of its first demand */
  size_t count; /* of its demands */
  uint64_t requests;
  uint64_t waiting;
  uint64_t position;
  double weight;
  double level; /* water level at which its demand is satisfied */
  uint64_t millislots;
};

static int compare_customers (const void *a, const void *b);
static int compare_levels (const void *a, const void *b);
static int compare_targets (const void *key, const void *target);
static bool is_grouped (const struct share_demand *demands, size_t count);
static size_t group_by_customer (const struct share_demand *demands,
                                 size_t count,
                                 struct customer_demand *customers);
static void apply_payback (struct customer_demand *customers, size_t count,
                           uint64_t payback);
static void water_fill (struct customer_demand *customers, size_t count,
                        uint64_t millislots);
static uint64_t distribute (const struct share_demand *demands,
                            const struct customer_demand *customer,
                            struct share_target *targets, size_t target_count);
static void distribute_evenly (uint64_t millislots,
                               struct share_target *targets,
                               size_t target_count);
static int divide_slots (const struct share_demand *demands,
                         size_t demand_count, uint32_t slots, uint64_t payback,
                         struct share_target *targets, size_t target_count);
static int compute_static (const struct share_demand *demands,
                           size_t demand_count, uint32_t slots,
                           uint64_t payback, struct share_target *targets,
                           size_t target_count);
static uint32_t common_divisor (uint32_t a, uint32_t b);
static uint32_t permutation_step (uint32_t slots);

const struct share_policy share_fleet
    = { "fleet", share_compute_targets, true, true, true };
const struct share_policy share_static
    = { "static", compute_static, false, false, true };
const struct share_policy share_fcfs
    = { "fcfs", share_compute_targets, true, true, false };

const struct share_policy *
share_policy_find (const char *name)
{
  static const struct share_policy *const policies[]
      = { &share_fleet, &share_static, &share_fcfs };
  size_t i;

  for (i = 0; i < sizeof policies / sizeof policies[0]; i++)
    if (strcmp (policies[i]->name, name) == 0)
      return policies[i];
  return NULL;
}

static int
compare_customers (const void *a, const void *b)
{
  const struct share_demand *one = a;
  const struct share_demand *other = b;

  if (one->customer_id != other->customer_id)
    return one->customer_id < other->customer_id ? -1 : 1;
  return one->instance_id < other->instance_id   ? -1
         : one->instance_id > other->instance_id ? 1
                                                 : 0;
}

static int
compare_levels (const void *a, const void *b)
{
  const struct customer_demand *one = a;
  const struct customer_demand *other = b;

  if (one->level < other->level || one->level > other->level)
    return one->level < other->level ? -1 : 1;
  return one->first < other->first ? -1 : 1;
}

static int
compare_targets (const void *key, const void *target)
{
  uint64_t id = *(const uint64_t *)key;
  uint64_t other = ((const struct share_target *)target)->instance_id;

  return id < other ? -1 : id > other ? 1 : 0;
}

static bool
is_grouped (const struct share_demand *demands, size_t count)
{
  size_t i;

  for (i = 1; i < count; i++)
    if (demands[i].customer_id < demands[i - 1].customer_id)
      return false;
  return true;
}

static size_t
group_by_customer (const struct share_demand *demands, size_t count,
                   struct customer_demand *customers)
{
  struct customer_demand *customer = NULL;
  size_t customer_count = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      if (i == 0 || demands[i].customer_id != demands[i - 1].customer_id)
        {
          customer = &customers[customer_count++];
          memset (customer, 0, sizeof *customer);
          customer->first = i;
          customer->position = demands[i].position;
          customer->weight = demands[i].weight == 0 ? 1 : demands[i].weight;
        }
      customer->count++;
      customer->requests += demands[i].requests;
      customer->waiting += demands[i].waiting;
    }
  return customer_count;
}

/* Increases the weight of a backlogged customer whose position is behind the
   mean of the backlogged customers and decreases it if the position is ahead.
   The factor is bounded, so that differences are corrected at a limited rate
   and no customer is starved meanwhile. */
static void
apply_payback (struct customer_demand *customers, size_t count,
               uint64_t payback)
{
  double mean = 0;
  size_t backlogged = 0;
  size_t i;

  for (i = 0; i < count; i++)
    if (customers[i].waiting > 0)
      mean += ((double)customers[i].position - mean) / (double)++backlogged;
  for (i = 0; i < count; i++)
    if (customers[i].waiting > 0 && payback > 0)
      {
        double behind
            = (mean - (double)customers[i].position) / (double)payback;
        double factor = behind < 0 ? 1 - behind : 1 + behind;

        if (factor > PAYBACK_FACTOR_MAX)
          factor = PAYBACK_FACTOR_MAX;
        customers[i].weight *= behind < 0 ? 1 / factor : factor;
      }
  for (i = 0; i < count; i++)
    customers[i].level = (double)customers[i].requests / customers[i].weight;
}

/* Water filling: customers in the order of the level at which their demand is
   satisfied, each sharing the slots that the previous ones left. */
static void
water_fill (struct customer_demand *customers, size_t count,
            uint64_t millislots)
{
  double weights = 0;
  size_t i;

  qsort (customers, count, sizeof *customers, compare_levels);
  for (i = 0; i < count; i++)
    weights += customers[i].weight;
  for (i = 0; i < count; i++)
    {
      double weight_ratio = i + 1 == count ? 1 : customers[i].weight / weights;
      uint64_t fair_share = (uint64_t)((double)millislots * weight_ratio);
      uint64_t demand = customers[i].requests * MILLISLOTS_PER_SLOT;

      customers[i].millislots = demand < fair_share ? demand : fair_share;
      millislots -= customers[i].millislots;
      weights -= customers[i].weight;
    }
}

/* Adds a customer's slots to the targets of the instances in proportion to its
   requests there.  Returns the millislots added. */
static uint64_t
distribute (const struct share_demand *demands,
            const struct customer_demand *customer,
            struct share_target *targets, size_t target_count)
{
  uint64_t added = 0;
  size_t i;

  for (i = customer->first; i < customer->first + customer->count; i++)
    {
      struct share_target *target
          = bsearch (&demands[i].instance_id, targets, target_count,
                     sizeof *targets, compare_targets);
      uint64_t millislots = customer->requests == 0
                                ? 0
                                : customer->millislots * demands[i].requests
                                      / customer->requests;

      if (target == NULL)
        continue;
      target->millislots += millislots;
      added += millislots;
    }
  return added;
}

static void
distribute_evenly (uint64_t millislots, struct share_target *targets,
                   size_t target_count)
{
  size_t i;

  for (i = 0; i < target_count; i++)
    targets[i].millislots
        += millislots / target_count + (i < millislots % target_count ? 1 : 0);
}

/* Requires `demands` grouped by customer. */
static int
divide_slots (const struct share_demand *demands, size_t demand_count,
              uint32_t slots, uint64_t payback, struct share_target *targets,
              size_t target_count)
{
  struct customer_demand *customers
      = calloc (demand_count + 1, sizeof *customers);
  uint64_t remaining = (uint64_t)slots * MILLISLOTS_PER_SLOT;
  size_t count;
  size_t i;

  if (customers == NULL)
    return ERR_NO_MEMORY;
  count = group_by_customer (demands, demand_count, customers);
  apply_payback (customers, count, payback);
  water_fill (customers, count, remaining);
  for (i = 0; i < count; i++)
    remaining -= distribute (demands, &customers[i], targets, target_count);
  distribute_evenly (remaining, targets, target_count);
  free (customers);
  return 0;
}

int
share_compute_targets (const struct share_demand *demands, size_t demand_count,
                       uint32_t slots, uint64_t payback,
                       struct share_target *targets, size_t target_count)
{
  struct share_demand *sorted;
  size_t i;
  int result;

  for (i = 0; i < target_count; i++)
    targets[i].millislots = 0;
  if (target_count == 0)
    return 0;
  if (is_grouped (demands, demand_count))
    return divide_slots (demands, demand_count, slots, payback, targets,
                         target_count);
  sorted = malloc (demand_count * sizeof *sorted);
  if (sorted == NULL)
    return ERR_NO_MEMORY;
  memcpy (sorted, demands, demand_count * sizeof *sorted);
  qsort (sorted, demand_count, sizeof *sorted, compare_customers);
  result = divide_slots (sorted, demand_count, slots, payback, targets,
                         target_count);
  free (sorted);
  return result;
}

static int
compute_static (const struct share_demand *demands, size_t demand_count,
                uint32_t slots, uint64_t payback, struct share_target *targets,
                size_t target_count)
{
  (void)demands;
  (void)demand_count;
  return share_compute_targets (NULL, 0, slots, payback, targets,
                                target_count);
}

static uint32_t
common_divisor (uint32_t a, uint32_t b)
{
  while (b != 0)
    {
      uint32_t remainder = a % b;

      a = b;
      b = remainder;
    }
  return a;
}

static uint32_t
permutation_step (uint32_t slots)
{
  uint32_t step = (uint32_t)((double)slots * GOLDEN_RATIO);

  if (step == 0)
    step = 1;
  while (common_divisor (step, slots) != 1)
    step++;
  return step;
}

/* The targets are laid end to end on a line as long as all slots.  Slot s is
   at the point s * step mod slots, where step is coprime to the number of
   slots.  So each point is used once, and the consecutive slots of one
   upstream are spread over the whole line.  A slot belongs to the target at
   its point.
 */
void
share_round_targets (const struct share_target *targets, size_t target_count,
                     uint32_t slots, uint32_t first, uint32_t upstream_slots,
                     uint32_t *out)
{
  uint32_t step;
  uint32_t i;

  memset (out, 0, target_count * sizeof *out);
  if (target_count == 0 || slots == 0)
    return;
  step = permutation_step (slots);
  for (i = first; i < first + upstream_slots; i++)
    {
      uint64_t point = (uint64_t)i * step % slots * MILLISLOTS_PER_SLOT
                       + MILLISLOTS_PER_SLOT / 2;
      uint64_t end = targets[0].millislots;
      size_t target = 0;

      while (point >= end && target + 1 < target_count)
        end += targets[++target].millislots;
      out[target]++;
    }
}
