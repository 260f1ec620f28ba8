/**
 * @file share.h
 * Weighted max-min division of a service's slots over customers, then over
 * the instances where they wait, then rounded to whole slots of upstreams.
 * Pure arithmetic: every lessor computes the same result from the same view.
 */
#ifndef STATE_SHARE_H
#define STATE_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Demand of one customer at one instance. */
struct share_demand
{
  uint64_t customer_id;
  uint64_t instance_id;
  uint32_t requests; /**< waiting and running */
  uint32_t waiting;  /**< waiting only */
  uint32_t weight;
  uint64_t position; /**< ledger position of the customer, normalised units */
};

/** Slots that an instance should hold, over all upstreams of a service. */
struct share_target
{
  uint64_t instance_id;
  uint64_t millislots; /**< thousandths of a slot */
};

/**
 * Computes each instance's target.  Slots that no demand claims are divided
 * evenly over all instances, so that the next arrival finds one.
 * @param demands  any order; customers may repeat over instances.
 * @param slots    slots of the service over all its usable upstreams.
 * @param payback  normalised units of debt that double a customer's weight
 *                 for this division; 0 turns payback off.
 * @param targets  in: instance_id of every live instance, sorted; out: filled.
 * @return 0 or ERR_NO_MEMORY.
 */
int share_compute (const struct share_demand *demands, size_t demand_count,
                   uint32_t slots, uint64_t payback,
                   struct share_target *targets, size_t target_count);

/** How slots are divided: the mechanism, and baselines for the benches. */
struct share_policy
{
  const char *name;
  int (*compute) (const struct share_demand *demands, size_t demand_count,
                  uint32_t slots, uint64_t payback,
                  struct share_target *targets, size_t target_count);
  bool moves;       /**< slots follow demand between exchanges too */
  bool exchanges;   /**< accounts are exchanged between instances */
  bool by_position; /**< queues serve by ledger position, else by arrival */
};

extern const struct share_policy share_fleet;
/** Each instance gets slots / instances of every upstream, and serves by its
    own accounts alone. */
extern const struct share_policy share_static;
/** Slots as share_fleet; queues serve in order of arrival. */
extern const struct share_policy share_fcfs;

/** Policy of a name; NULL when unknown. */
const struct share_policy *share_policy_find (const char *name);

/**
 * Whole slots of one upstream for each instance, by low-discrepancy rounding
 * of the targets: sums to `upstream_slots`, and over all upstreams each
 * instance gets its target to within one slot.
 * @param first  index of the upstream's first slot among the service's slots.
 * @param out    slots per target, in the order of `targets`.
 */
void share_round (const struct share_target *targets, size_t target_count,
                  uint32_t slots, uint32_t first, uint32_t upstream_slots,
                  uint32_t *out);

#endif
