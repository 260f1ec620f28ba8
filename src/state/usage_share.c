/**
 * @file usage_share.c
 * Exponentially decaying usage counters per customer.
 */
#include "state/usage_share.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define NS_PER_MS 1000000.0 /* nanoseconds */
/* Time constant of the demand counters; refused clients retry within two
   seconds. */
#define DEMAND_WINDOW_MS 1000.0
/* In the mean usage, a customer is weighted by its number of waiting requests,
   up to this number.  One with a single waiting request demands little, so its
   usage says little about the fair share. */
#define BACKLOG_WEIGHT_MAX 8

/* Waiting requests from which a customer counts as backlogged. */
#define BACKLOG_MIN BACKLOG_WEIGHT_MAX
/* Time after which the usage of a customer with a backlog shows its rate:
   three quarters of the time constant of the decay. */
#define BACKLOG_AGE_PERMILLE 750
/* Usage of the best served customer, in thousandths of the least served one.
   Below 2000, as usages are known with a delay. */
#define CAP_PERMILLE 1500
/* Added to the cap: the size of a few large requests. */
#define CAP_OFFSET_TOKENS 50000

static void decay_demand (struct usage_share_entry *customer, uint64_t now_ns);
static uint64_t fleet_waiting (struct usage_share_entry *customer,
                               uint64_t now_ns);

void
usage_share_init (struct usage_share *share, uint32_t window_ms)
{
  memset (share, 0, sizeof *share);
  share->window_ms = window_ms == 0 ? 1 : window_ms;
}

void
usage_share_finish (struct usage_share *share)
{
  struct usage_share_entry *customer;
  struct usage_share_entry *next;

  customer = share->customers;
  HASH_CLEAR (hh, share->customers);
  for (; customer != NULL; customer = next)
    {
      next = customer->hh.next;
      free (customer);
    }
}

struct usage_share_entry *
usage_share_customer (struct usage_share *share, uint64_t customer_id)
{
  struct usage_share_entry *customer;

  HASH_FIND (hh, share->customers, &customer_id, sizeof customer_id, customer);
  if (customer != NULL)
    return customer;
  customer = calloc (1, sizeof *customer);
  if (customer == NULL)
    return NULL;
  customer->customer_id = customer_id;
  HASH_ADD (hh, share->customers, customer_id, sizeof customer_id, customer);
  return customer;
}

void
usage_share_charge (struct usage_share *share, uint64_t customer_id,
                    double tokens, uint64_t now_ns)
{
  struct usage_share_entry *customer
      = usage_share_customer (share, customer_id);

  if (customer == NULL)
    return;
  usage_share_local (share, customer, now_ns);
  customer->local_tokens += tokens;
  if (customer->local_tokens < 0)
    customer->local_tokens = 0;
}

static void
decay_demand (struct usage_share_entry *customer, uint64_t now_ns)
{
  double factor;

  if (now_ns <= customer->demand_ns)
    return;
  factor = exp (-(double)(now_ns - customer->demand_ns)
                / (DEMAND_WINDOW_MS * NS_PER_MS));
  customer->arrived *= factor;
  customer->refused *= factor;
  customer->demand_ns = now_ns;
}

void
usage_share_count_arrived (struct usage_share *share, uint64_t customer_id,
                           uint64_t now_ns)
{
  struct usage_share_entry *customer
      = usage_share_customer (share, customer_id);

  if (customer == NULL)
    return;
  decay_demand (customer, now_ns);
  customer->arrived++;
}

void
usage_share_count_refused (struct usage_share *share, uint64_t customer_id,
                           uint64_t now_ns)
{
  struct usage_share_entry *customer
      = usage_share_customer (share, customer_id);

  if (customer == NULL)
    return;
  decay_demand (customer, now_ns);
  customer->refused++;
}

void
usage_share_count_unread (struct usage_share *share, uint64_t requests,
                          uint64_t now_ns)
{
  struct usage_share_entry *customer;
  double arrived = 0;

  for (customer = share->customers; customer != NULL;
       customer = customer->hh.next)
    {
      decay_demand (customer, now_ns);
      arrived += customer->arrived;
    }
  if (arrived <= 0)
    return;
  for (customer = share->customers; customer != NULL;
       customer = customer->hh.next)
    customer->refused += (double)requests * customer->arrived / arrived;
}

uint32_t
usage_share_waiting (struct usage_share_entry *customer, uint64_t now_ns)
{
  decay_demand (customer, now_ns);
  return customer->waiting + (uint32_t)customer->refused;
}

static uint64_t
fleet_waiting (struct usage_share_entry *customer, uint64_t now_ns)
{
  return (uint64_t)usage_share_waiting (customer, now_ns)
         + customer->peer_waiting;
}

uint64_t
usage_share_local (const struct usage_share *share,
                   struct usage_share_entry *customer, uint64_t now_ns)
{
  double elapsed_ms;

  /* `now_ns` may be the start of the caller's pass over the queue, and thus
     earlier than the last charge. */
  if (now_ns <= customer->decayed_ns)
    return (uint64_t)customer->local_tokens;
  elapsed_ms = (double)(now_ns - customer->decayed_ns) / NS_PER_MS;
  customer->local_tokens *= exp (-elapsed_ms / share->window_ms);
  customer->decayed_ns = now_ns;
  return (uint64_t)customer->local_tokens;
}

uint64_t
usage_share_total (struct usage_share *share, uint64_t customer_id,
                   uint64_t now_ns)
{
  struct usage_share_entry *customer;

  HASH_FIND (hh, share->customers, &customer_id, sizeof customer_id, customer);
  if (customer == NULL)
    return 0;
  return usage_share_local (share, customer, now_ns) + customer->peer_tokens;
}

uint64_t
usage_share_backlogged_mean (struct usage_share *share, uint64_t now_ns)
{
  struct usage_share_entry *customer;
  uint64_t sum = 0;
  uint64_t weights = 0;
  uint64_t waiting;
  uint64_t weight;

  for (customer = share->customers; customer != NULL;
       customer = customer->hh.next)
    {
      waiting = fleet_waiting (customer, now_ns);
      weight = waiting < BACKLOG_WEIGHT_MAX ? waiting : BACKLOG_WEIGHT_MAX;
      sum += weight
             * (usage_share_local (share, customer, now_ns)
                + customer->peer_tokens);
      weights += weight;
    }
  return weights == 0 ? UINT64_MAX : sum / weights;
}

uint64_t
usage_share_cap (struct usage_share *share, uint64_t now_ns)
{
  const uint64_t age_ns
      = (uint64_t)share->window_ms * BACKLOG_AGE_PERMILLE * 1000;
  struct usage_share_entry *customer;
  const struct usage_share_entry *least = NULL;
  uint64_t lowest = UINT64_MAX;
  uint64_t usage;
  uint64_t cap;

  for (customer = share->customers; customer != NULL;
       customer = customer->hh.next)
    {
      if (fleet_waiting (customer, now_ns) < BACKLOG_MIN)
        customer->backlogged_ns = 0;
      else if (customer->backlogged_ns == 0)
        customer->backlogged_ns = now_ns;
      if (customer->customer_id == 0 || customer->backlogged_ns == 0
          || now_ns - customer->backlogged_ns < age_ns)
        continue;
      usage = usage_share_local (share, customer, now_ns)
              + customer->peer_tokens;
      if (usage >= lowest)
        continue;
      lowest = usage;
      least = customer;
    }
  if (least == NULL)
    return UINT64_MAX;
  cap = lowest * CAP_PERMILLE / 1000 + CAP_OFFSET_TOKENS;
  for (customer = share->customers; customer != NULL;
       customer = customer->hh.next)
    if (customer != least && customer->customer_id != 0
        && fleet_waiting (customer, now_ns) > 0
        && usage_share_local (share, customer, now_ns) + customer->peer_tokens
               <= cap)
      return cap;
  return UINT64_MAX;
}
