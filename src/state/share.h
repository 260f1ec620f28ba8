/**
 * @file share.h
 * Weighted max-min fair division of a service's slots among customers, then
 * among the instances that hold their requests, then rounding to whole slots
 * of upstreams.  The functions are pure: every lessor computes the same result
 * from the same input.
 */
#ifndef STATE_SHARE_H
#define STATE_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Demand of one customer for a service at one instance. */
struct share_demand
{
  uint64_t customer_id;
  uint64_t instance_id;
  uint32_t requests; /**< queued and running */
  uint32_t waiting;  /**< queued */
  uint32_t weight;
  uint64_t position; /**< ledger position of the customer, normalised units */
};

/** Slots that an instance should lease over all upstreams of a service. */
struct share_target
{
  uint64_t instance_id;
  uint64_t millislots; /**< thousandths of a slot */
};

/**
 * Computes each instance's target.  Slots in excess of the demand are divided
 * evenly among all instances, so that a new request finds a free slot.
 * @param demands  in any order; one entry for each customer and instance.
 * @param slots    slots of the service over all its usable upstreams.
 * @param payback  normalised units that a customer's position is behind the
 *                 mean for its weight to double; 0 disables the correction.
 * @param targets  in: instance_id of each live instance, sorted by it;
 *                 out: millislots.
 * @return 0 or ERR_NO_MEMORY.
 */
int share_compute_targets (const struct share_demand *demands,
                           size_t demand_count, uint32_t slots,
                           uint64_t payback, struct share_target *targets,
                           size_t target_count);

/** How slots are divided: the default policy and baselines for benchmarks. */
struct share_policy
{
  const char *name;
  int (*compute) (const struct share_demand *demands, size_t demand_count,
                  uint32_t slots, uint64_t payback,
                  struct share_target *targets, size_t target_count);
  bool rebalances;        /**< slots follow demand between exchanges as well */
  bool exchanges_ledgers; /**< instances exchange their ledgers */
  bool by_position;       /**< queues serve by ledger position, otherwise by
                               arrival */
};

extern const struct share_policy share_fleet;
/** Baseline: divides the slots of each upstream evenly among the instances,
    which serve by their own ledger only. */
extern const struct share_policy share_static;
/** Baseline: divides slots like share_fleet, but queues are first come, first
    served. */
extern const struct share_policy share_fcfs;

/** Finds a policy by its name; NULL if there is none. */
const struct share_policy *share_policy_find (const char *name);

/**
 * Rounds the targets to whole slots of one upstream for each instance, with a
 * low-discrepancy sequence.  The result sums to `upstream_slots`, and over all
 * upstreams each instance gets its target to within one slot.
 * @param first  index of the upstream's first slot among the service's slots.
 * @param out    slots of each instance, in the order of `targets`.
 */
void share_round_targets (const struct share_target *targets,
                          size_t target_count, uint32_t slots, uint32_t first,
                          uint32_t upstream_slots, uint32_t *out);

#endif
