/**
 * @file budget.h
 * Retry budget of a customer: each first attempt earns a tenth of a retry,
 * up to a small cap, so a dead service costs at most 1.1 times its load and
 * the cap.  A customer starts with the cap saved up: its first request may be
 * retried too.
 */
#ifndef STATE_BUDGET_H
#define STATE_BUDGET_H

#include <stddef.h>
#include <stdint.h>

#define BUDGET_EARN_PERMILLE 100   /**< of a retry, per first attempt */
#define BUDGET_CAP_PERMILLE  10000 /**< at most ten retries saved up */

struct budget_table
{
  struct budget_entry *entries; /**< uthash by customer, private */
};

void budget_init (struct budget_table *table);
void budget_finish (struct budget_table *table);
/** Counts a first attempt. @return 0 or ERR_NO_MEMORY. */
int budget_earn (struct budget_table *table, uint64_t customer_id);
/** Spends one retry. @return 0, or ERR_FULL when the budget is empty. */
int budget_spend (struct budget_table *table, uint64_t customer_id);

#endif
