/**
 * @file retry_budget.c
 * Table of retry budgets by customer.
 */
#include "state/retry_budget.h"
#include "state/err.h"
#include <stdlib.h>
#include <uthash.h>

#define RETRY_PERMILLE 1000 /* cost of one retry */

struct retry_budget_entry
{
  uint64_t customer_id;
  uint32_t balance_permille; /* thousandths of a retry left */
  UT_hash_handle hh;
};

static struct retry_budget_entry *find (const struct retry_budget_table *table,
                                        uint64_t customer_id);

void
retry_budget_init (struct retry_budget_table *table)
{
  table->entries = NULL;
}

void
retry_budget_finish (struct retry_budget_table *table)
{
  struct retry_budget_entry *entry;
  struct retry_budget_entry *next;

  entry = table->entries;
  HASH_CLEAR (hh, table->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
}

static struct retry_budget_entry *
find (const struct retry_budget_table *table, uint64_t customer_id)
{
  struct retry_budget_entry *entry;

  HASH_FIND (hh, table->entries, &customer_id, sizeof customer_id, entry);
  return entry;
}

int
retry_budget_earn (struct retry_budget_table *table, uint64_t customer_id)
{
  struct retry_budget_entry *entry = find (table, customer_id);

  if (entry == NULL)
    {
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return ERR_NO_MEMORY;
      entry->customer_id = customer_id;
      entry->balance_permille = RETRY_BUDGET_CAP_PERMILLE;
      HASH_ADD (hh, table->entries, customer_id, sizeof entry->customer_id,
                entry);
      return 0;
    }
  entry->balance_permille += RETRY_BUDGET_EARN_PERMILLE;
  if (entry->balance_permille > RETRY_BUDGET_CAP_PERMILLE)
    entry->balance_permille = RETRY_BUDGET_CAP_PERMILLE;
  return 0;
}

int
retry_budget_spend (struct retry_budget_table *table, uint64_t customer_id)
{
  struct retry_budget_entry *entry = find (table, customer_id);

  if (entry == NULL || entry->balance_permille < RETRY_PERMILLE)
    return ERR_FULL;
  entry->balance_permille -= RETRY_PERMILLE;
  return 0;
}
