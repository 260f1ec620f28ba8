/**
 * @file estimate.h
 * Learns the cost of a request per customer and profile: an exponentially
 * weighted mean that uses the profile's hint until the first observation.
 */
#ifndef STATE_ESTIMATE_H
#define STATE_ESTIMATE_H

#include <stddef.h>
#include <stdint.h>

struct estimate_table
{
  struct estimate_entry *entries; /**< uthash, private */
  size_t count;
};

void estimate_init (struct estimate_table *table);
void estimate_finish (struct estimate_table *table);

/** Expected cost, in cost units, at least 1. */
uint64_t estimate_cost (const struct estimate_table *table,
                        uint64_t customer_id, uint64_t profile_id,
                        uint64_t hint);

/** Adds the actual cost of a finished request to the mean.
    @return 0 or ERR_NO_MEMORY. */
int estimate_observe (struct estimate_table *table, uint64_t customer_id,
                      uint64_t profile_id, uint64_t hint, uint64_t cost);

#endif
