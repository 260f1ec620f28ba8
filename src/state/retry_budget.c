/**
 * @file retry_budget.c
 * Table of retry budgets by customer.
 */
#include "state/retry_budget.h"
#include "state/err.h"
#include <stdlib.h>
#include <uthash.h>

#define RETRY_PERMILLE 1000 /* cost of one retry */

struct budget_entry
{
  uint64_t customer_id;
  uint32_t balance_permille; /* thousandths of a retry left */
  UT_hash_handle hh;
};

static struct budget_entry *find (const struct budget_table *table,
                                  uint64_t customer_id);

void
budget_init (struct budget_table *table)
{
  table->entries = NULL;
}

void
budget_finish (struct budget_table *table)
{
  struct budget_entry *entry;
  struct budget_entry *next;

  entry = table->entries;
  HASH_CLEAR (hh, table->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
}

static struct budget_entry *
find (const struct budget_table *table, uint64_t customer_id)
{
  struct budget_entry *entry;

  HASH_FIND (hh, table->entries, &customer_id, sizeof customer_id, entry);
  return entry;
}

int
budget_earn (struct budget_table *table, uint64_t customer_id)
{
  struct budget_entry *entry = find (table, customer_id);

  if (entry == NULL)
    {
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return ERR_NO_MEMORY;
      entry->customer_id = customer_id;
      entry->balance_permille = BUDGET_CAP_PERMILLE;
      HASH_ADD (hh, table->entries, customer_id, sizeof entry->customer_id,
                entry);
      return 0;
    }
  entry->balance_permille += BUDGET_EARN_PERMILLE;
  if (entry->balance_permille > BUDGET_CAP_PERMILLE)
    entry->balance_permille = BUDGET_CAP_PERMILLE;
  return 0;
}

int
budget_spend (struct budget_table *table, uint64_t customer_id)
{
  struct budget_entry *entry = find (table, customer_id);

  if (entry == NULL || entry->balance_permille < RETRY_PERMILLE)
    return ERR_FULL;
  entry->balance_permille -= RETRY_PERMILLE;
  return 0;
}
