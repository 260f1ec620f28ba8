/**
 * @file estimate.c
 * Learned request costs.  The first observed cost replaces the hint.  The nth
 * one has the weight 1/n, at least 1/ESTIMATE_WINDOW, so that the mean follows
 * a change in the requests of a customer.
 */
#include "state/estimate.h"
#include "state/err.h"
#include "state/hash.h"
#include <stdlib.h>
#include <string.h>

#define ESTIMATE_WINDOW 8 /* effective number of observations in the mean */

struct estimate_key
{
  uint64_t customer_id;
  uint64_t profile_id;
};

struct estimate_entry
{
  struct estimate_key key;
  double mean;
  uint32_t observations; /* up to ESTIMATE_WINDOW */
  UT_hash_handle hh;
};

static struct estimate_entry *find (const struct estimate_table *table,
                                    uint64_t customer_id, uint64_t profile_id);

void
estimate_init (struct estimate_table *table)
{
  memset (table, 0, sizeof *table);
}

void
estimate_finish (struct estimate_table *table)
{
  struct estimate_entry *entry;
  struct estimate_entry *next;

  entry = table->entries;
  HASH_CLEAR (hh, table->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
  table->count = 0;
}

static struct estimate_entry *
find (const struct estimate_table *table, uint64_t customer_id,
      uint64_t profile_id)
{
  struct estimate_key key = { customer_id, profile_id };
  struct estimate_entry *entry;

  HASH_FIND (hh, table->entries, &key, sizeof key, entry);
  return entry;
}

uint64_t
estimate_cost (const struct estimate_table *table, uint64_t customer_id,
               uint64_t profile_id, uint64_t hint)
{
  const struct estimate_entry *entry = find (table, customer_id, profile_id);
  uint64_t cost = entry == NULL ? hint : (uint64_t)(entry->mean + 0.5);

  return cost == 0 ? 1 : cost;
}

int
estimate_observe (struct estimate_table *table, uint64_t customer_id,
                  uint64_t profile_id, uint64_t hint, uint64_t cost)
{
  struct estimate_entry *entry = find (table, customer_id, profile_id);

  if (entry == NULL)
    {
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return ERR_NO_MEMORY;
      entry->key.customer_id = customer_id;
      entry->key.profile_id = profile_id;
      entry->mean = (double)hint;
      HASH_ADD (hh, table->entries, key, sizeof entry->key, entry);
      table->count++;
    }
  if (entry->observations < ESTIMATE_WINDOW)
    entry->observations++;
  entry->mean += ((double)cost - entry->mean) / entry->observations;
  return 0;
}
