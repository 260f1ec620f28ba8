/**
 * @file reserve.h
 * Estimates the remaining cost of a running request of a service, from the
 * costs of finished requests.  It is the mean cost weighted by cost, since
 * expensive requests occupy slots for longer than cheap ones.  The estimate is
 * the same for all customers, so that customers with equal positions run
 * equally many requests, whatever their request sizes and hints.
 */
#ifndef STATE_RESERVE_H
#define STATE_RESERVE_H

#include <stddef.h>
#include <stdint.h>

struct reserve_table
{
  struct reserve_entry *entries; /**< uthash by service_id, private */
};

void reserve_init (struct reserve_table *table);
void reserve_finish (struct reserve_table *table);

/** Reserve of one running request, in cost units, at least 1.  Until the first
    reserve_observe() it is the hint of the first call for the service. */
uint64_t reserve_cost (struct reserve_table *table, uint64_t service_id,
                       uint64_t hint);

/** Records the actual cost of a finished request, in cost units. */
void reserve_observe (struct reserve_table *table, uint64_t service_id,
                      uint64_t cost);

#endif
