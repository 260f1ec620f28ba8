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
#define BUDGET_EARN_PERMILLE 100   /**< earned by each first attempt */
#define BUDGET_CAP_PERMILLE  10000 /**< cap: ten retries */

struct budget_table
{
  struct budget_entry *entries; /**< uthash by customer_id, private */
};

void budget_init (struct budget_table *table);
void budget_finish (struct budget_table *table);
/** Credits a first attempt. @return 0 or ERR_NO_MEMORY. */
int budget_earn (struct budget_table *table, uint64_t customer_id);
/** Spends one retry.  @return 0, or ERR_FULL if the budget is exhausted. */
int budget_spend (struct budget_table *table, uint64_t customer_id);

#endif
