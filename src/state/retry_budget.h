/**
 * @file retry_budget.h
 * Retry budgets of customers.  Each first attempt earns a tenth of a retry, up
 * to a small cap, so a failed service receives at most 1.1 times its load plus
 * the cap.  A customer starts with a full budget, so that its first request
 * may be retried as well.
 */
#ifndef STATE_RETRY_BUDGET_H
#define STATE_RETRY_BUDGET_H

#include <stddef.h>
#include <stdint.h>

/** Thousandths of a retry. */
#define RETRY_BUDGET_EARN_PERMILLE 100   /**< earned by each first attempt */
#define RETRY_BUDGET_CAP_PERMILLE  10000 /**< cap: ten retries */

struct retry_budget_table
{
  struct retry_budget_entry *entries; /**< uthash by customer_id, private */
};

void retry_budget_init (struct retry_budget_table *table);
void retry_budget_finish (struct retry_budget_table *table);
/** Credits a first attempt. @return 0 or ERR_NO_MEMORY. */
int retry_budget_earn (struct retry_budget_table *table, uint64_t customer_id);
/** Spends one retry.  @return 0, or ERR_FULL if the budget is exhausted. */
int retry_budget_spend (struct retry_budget_table *table,
                        uint64_t customer_id);

#endif
