/**
 * @file reserve.h
 * Learns what a running request of a service still costs: the mean cost
 * weighted by cost itself, as long requests fill slots for longer than short
 * ones.  It is the same for every customer, so that customers with equal
 * positions run equally many requests, whatever their sizes and hints.
 */
#ifndef STATE_RESERVE_H
#define STATE_RESERVE_H

#include <stddef.h>
#include <stdint.h>

struct reserve_table
{
  struct reserve_entry *entries; /**< uthash by service, private */
};

void reserve_init (struct reserve_table *table);
void reserve_finish (struct reserve_table *table);

/** Reserve of one running request, in cost units, at least 1.  Until a cost
    was seen it is the first hint that was asked with. */
uint64_t reserve_cost (struct reserve_table *table, uint64_t service_id,
                       uint64_t hint);

/** Learns the true cost of a finished request, in cost units. */
void reserve_observe (struct reserve_table *table, uint64_t service_id,
                      uint64_t cost);

#endif
