/**
 * @file share.c
 * Weighted max-min division of slots.
 */
#include "state/share.h"
#include "state/err.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define MILLI        1000
#define FACTOR_MAX   2.0     /* payback at most doubles or halves a weight */
#define GOLDEN_RATIO 0.61803 /* step of the slots' permutation */

/* All demand of one customer. */
struct party
{
  size_t first; /* index of its first demand */
  size_t count;
  uint64_t requests;
  uint64_t waiting;
  uint64_t position;
  double weight;
  double level; /* water level at which its demand is met */
  uint64_t millislots;
};

static int compare_customers (const void *a, const void *b);
static int compare_levels (const void *a, const void *b);
static int compare_targets (const void *key, const void *target);
static bool is_grouped (const struct share_demand *demands, size_t count);
static size_t gather (const struct share_demand *demands, size_t count,
                      struct party *parties);
static void apply_payback (struct party *parties, size_t count,
                           uint64_t payback);
static void fill (struct party *parties, size_t count, uint64_t millislots);
static uint64_t spread (const struct share_demand *demands,
                        const struct party *party,
                        struct share_target *targets, size_t target_count);
static void spread_evenly (uint64_t millislots, struct share_target *targets,
                           size_t target_count);
static int divide (const struct share_demand *demands, size_t demand_count,
                   uint32_t slots, uint64_t payback,
                   struct share_target *targets, size_t target_count);
static int compute_static (const struct share_demand *demands,
                           size_t demand_count, uint32_t slots,
                           uint64_t payback, struct share_target *targets,
                           size_t target_count);
static uint32_t common_divisor (uint32_t a, uint32_t b);
static uint32_t permutation_step (uint32_t slots);

const struct share_policy share_fleet
    = { "fleet", share_compute, true, true, true };
const struct share_policy share_static
    = { "static", compute_static, false, false, true };
const struct share_policy share_fcfs
    = { "fcfs", share_compute, true, true, false };

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
  const struct party *one = a;
  const struct party *other = b;

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
gather (const struct share_demand *demands, size_t count,
        struct party *parties)
{
  struct party *party = NULL;
  size_t party_count = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      if (i == 0 || demands[i].customer_id != demands[i - 1].customer_id)
        {
          party = &parties[party_count++];
          memset (party, 0, sizeof *party);
          party->first = i;
          party->position = demands[i].position;
          party->weight = demands[i].weight == 0 ? 1 : demands[i].weight;
        }
      party->count++;
      party->requests += demands[i].requests;
      party->waiting += demands[i].waiting;
    }
  return party_count;
}

/* A backlogged customer that is behind the mean of the backlogged gets a
   larger weight, one ahead a smaller one, both bounded, so that debt is paid
   back at a bounded rate and nobody is shut out meanwhile. */
static void
apply_payback (struct party *parties, size_t count, uint64_t payback)
{
  double mean = 0;
  size_t backlogged = 0;
  size_t i;

  for (i = 0; i < count; i++)
    if (parties[i].waiting > 0)
      mean += ((double)parties[i].position - mean) / (double)++backlogged;
  for (i = 0; i < count; i++)
    if (parties[i].waiting > 0 && payback > 0)
      {
        double behind = (mean - (double)parties[i].position) / (double)payback;
        double factor = behind < 0 ? 1 - behind : 1 + behind;

        if (factor > FACTOR_MAX)
          factor = FACTOR_MAX;
        parties[i].weight *= behind < 0 ? 1 / factor : factor;
      }
  for (i = 0; i < count; i++)
    parties[i].level = (double)parties[i].requests / parties[i].weight;
}

/* Water filling: the customers whose demand is met at the lowest level first,
   each later one from what those before left over. */
static void
fill (struct party *parties, size_t count, uint64_t millislots)
{
  double weights = 0;
  size_t i;

  qsort (parties, count, sizeof *parties, compare_levels);
  for (i = 0; i < count; i++)
    weights += parties[i].weight;
  for (i = 0; i < count; i++)
    {
      double part = i + 1 == count ? 1 : parties[i].weight / weights;
      uint64_t fair = (uint64_t)((double)millislots * part);
      uint64_t demand = parties[i].requests * MILLI;

      parties[i].millislots = demand < fair ? demand : fair;
      millislots -= parties[i].millislots;
      weights -= parties[i].weight;
    }
}

/* In proportion to the customer's requests at each instance. */
static uint64_t
spread (const struct share_demand *demands, const struct party *party,
        struct share_target *targets, size_t target_count)
{
  uint64_t given = 0;
  size_t i;

  for (i = party->first; i < party->first + party->count; i++)
    {
      struct share_target *target
          = bsearch (&demands[i].instance_id, targets, target_count,
                     sizeof *targets, compare_targets);
      uint64_t part
          = party->requests == 0
                ? 0
                : party->millislots * demands[i].requests / party->requests;

      if (target == NULL)
        continue;
      target->millislots += part;
      given += part;
    }
  return given;
}

static void
spread_evenly (uint64_t millislots, struct share_target *targets,
               size_t target_count)
{
  size_t i;

  for (i = 0; i < target_count; i++)
    targets[i].millislots
        += millislots / target_count + (i < millislots % target_count ? 1 : 0);
}

/* `demands` are grouped by customer. */
static int
divide (const struct share_demand *demands, size_t demand_count,
        uint32_t slots, uint64_t payback, struct share_target *targets,
        size_t target_count)
{
  struct party *parties = calloc (demand_count + 1, sizeof *parties);
  uint64_t left = (uint64_t)slots * MILLI;
  size_t count;
  size_t i;

  if (parties == NULL)
    return ERR_NO_MEMORY;
  count = gather (demands, demand_count, parties);
  apply_payback (parties, count, payback);
  fill (parties, count, left);
  for (i = 0; i < count; i++)
    left -= spread (demands, &parties[i], targets, target_count);
  spread_evenly (left, targets, target_count);
  free (parties);
  return 0;
}

int
share_compute (const struct share_demand *demands, size_t demand_count,
               uint32_t slots, uint64_t payback, struct share_target *targets,
               size_t target_count)
{
  struct share_demand *sorted;
  size_t i;
  int result;

  for (i = 0; i < target_count; i++)
    targets[i].millislots = 0;
  if (target_count == 0)
    return 0;
  if (is_grouped (demands, demand_count))
    return divide (demands, demand_count, slots, payback, targets,
                   target_count);
  sorted = malloc (demand_count * sizeof *sorted);
  if (sorted == NULL)
    return ERR_NO_MEMORY;
  memcpy (sorted, demands, demand_count * sizeof *sorted);
  qsort (sorted, demand_count, sizeof *sorted, compare_customers);
  result
      = divide (sorted, demand_count, slots, payback, targets, target_count);
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
  return share_compute (NULL, 0, slots, payback, targets, target_count);
}

static uint32_t
common_divisor (uint32_t a, uint32_t b)
{
  while (b != 0)
    {
      uint32_t rest = a % b;

      a = b;
      b = rest;
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

/* The targets lie end to end on a line as long as all slots.  Slot s stands
   at the place s x step of it, so the slots of one upstream are spread over
   the whole line, and all places are taken once. */
void
share_round (const struct share_target *targets, size_t target_count,
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
      uint64_t place = (uint64_t)i * step % slots * MILLI + MILLI / 2;
      uint64_t end = targets[0].millislots;
      size_t target = 0;

      while (place >= end && target + 1 < target_count)
        end += targets[++target].millislots;
      out[target]++;
    }
}
