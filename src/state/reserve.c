/**
 * @file reserve.c
 * Reserve estimates from exponentially decayed sums of costs and of squared
 * costs.
 */
#include "state/reserve.h"
#include <stdbool.h>
#include <stdlib.h>
#include <uthash.h>

#define RESERVE_WINDOW 512.0 /* time constant of the decay, in requests */

struct reserve_entry
{
  uint64_t service_id;
  double costs;   /* decayed sum of costs */
  double squares; /* decayed sum of squared costs */
  bool observed;  /* false while the sums hold the hint */
  UT_hash_handle hh;
};

static struct reserve_entry *find (const struct reserve_table *table,
                                   uint64_t service_id);

void
reserve_init (struct reserve_table *table)
{
  table->entries = NULL;
}

void
reserve_finish (struct reserve_table *table)
{
  struct reserve_entry *entry = table->entries;
  struct reserve_entry *next;

  HASH_CLEAR (hh, table->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
}

uint64_t
reserve_cost (struct reserve_table *table, uint64_t service_id, uint64_t hint)
{
  struct reserve_entry *entry = find (table, service_id);
  uint64_t reserve = hint;

  if (entry == NULL && (entry = calloc (1, sizeof *entry)) != NULL)
    {
      entry->service_id = service_id;
      entry->costs = (double)hint;
      entry->squares = (double)hint * (double)hint;
      HASH_ADD (hh, table->entries, service_id, sizeof entry->service_id,
                entry);
    }
  if (entry != NULL && entry->costs > 0)
    reserve = (uint64_t)(entry->squares / entry->costs + 0.5);
  return reserve == 0 ? 1 : reserve;
}

void
reserve_observe (struct reserve_table *table, uint64_t service_id,
                 uint64_t cost)
{
  struct reserve_entry *entry = find (table, service_id);

  if (entry == NULL || cost == 0)
    return;
  if (!entry->observed)
    entry->costs = entry->squares = 0;
  entry->observed = true;
  entry->costs -= entry->costs / RESERVE_WINDOW;
  entry->squares -= entry->squares / RESERVE_WINDOW;
  entry->costs += (double)cost;
  entry->squares += (double)cost * (double)cost;
}

static struct reserve_entry *
find (const struct reserve_table *table, uint64_t service_id)
{
  struct reserve_entry *entry;

  HASH_FIND (hh, table->entries, &service_id, sizeof service_id, entry);
  return entry;
}
