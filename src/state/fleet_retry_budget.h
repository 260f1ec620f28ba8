/**
 * @file fleet_retry_budget.h
 * This instance's share of a retry budget common to all instances: within any
 * window, a service may receive retries up to a ratio of its requests plus a
 * fixed allowance.  Each instance applies the ratio to its own requests and
 * uses an equal share of the allowance, so that the fleet stays within the
 * budget without communication.  Prevents retry storms when a service fails.
 */
#ifndef STATE_FLEET_RETRY_BUDGET_H
#define STATE_FLEET_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** 15 buckets for the window, 1 in progress. */
#define FLEET_RETRY_BUDGET_BUCKETS 16

struct fleet_retry_budget_config
{
  uint32_t permille;  /**< retries per thousand requests */
  uint32_t allowance; /**< further retries per window, over the fleet */
  uint32_t window_ms;
};

struct fleet_retry_budget
{
  struct fleet_retry_budget_config config;
  uint32_t instances; /**< that share the allowance; at least 1 */
  struct fleet_retry_budget_service *services; /**< uthash, private */
};

void fleet_retry_budget_init (struct fleet_retry_budget *budget,
                              const struct fleet_retry_budget_config *config);
void fleet_retry_budget_finish (struct fleet_retry_budget *budget);

/** Counts a client's request for a service. @return 0 or ERR_NO_MEMORY. */
int fleet_retry_budget_count_request (struct fleet_retry_budget *budget,
                                      uint64_t service_id, uint64_t now_ns);
/** Takes one retry. @return 0, or ERR_FULL when the budget is exhausted. */
int fleet_retry_budget_take (struct fleet_retry_budget *budget,
                             uint64_t service_id, uint64_t now_ns);

#endif
