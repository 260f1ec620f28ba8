/**
 * @file own_demand.h
 * Demand of this instance, and what peers have been sent of it.
 */
#ifndef COORDINATION_OWN_DEMAND_H
#define COORDINATION_OWN_DEMAND_H

#include "coordination/message.h"
#include "state/dispatch.h"
#include <stdbool.h>
#include <stdint.h>

#define OWN_DEMAND_COARSE_DIVISOR 2 /**< changes of over 1/2 are sent */
#define OWN_DEMAND_FINE_DIVISOR   8 /**< changes of over 1/8 are sent */
#define OWN_DEMAND_URGENT_GROWTH  4 /**< minimum increase, in requests */

/** Zero-initialise. */
struct own_demand
{
  struct own_demand_entry *entries;    /**< uthash, private */
  struct own_demand_service *services; /**< uthash, private */
  struct dispatch_demand *scratch;     /**< private */
  size_t scratch_capacity;
  uint64_t refresh_number; /**< private: number of the last refresh */
};

void own_demand_finish (struct own_demand *own_demand);

/** Reads the current demand from the dispatcher.
    @return 0 or ERR_NO_MEMORY. */
int own_demand_refresh (struct own_demand *own_demand,
                        const struct dispatch *dispatch);

/** Whether peers must be notified at once because requests of a service wait
    where the last heartbeat reported none, or because they increased by half
    and OWN_DEMAND_URGENT_GROWTH.  Customers of a service are not considered
    one by one: a peer that knows that the service has requests waiting here
    releases its free slots; this instance decides which customer gets them. */
bool own_demand_urgent (struct own_demand *own_demand,
                        const struct dispatch *dispatch);

/** What a heartbeat contains, and who receives it. */
enum own_demand_scope
{
  OWN_DEMAND_COARSE_CHANGES, /**< coarse changes, to all peers */
  OWN_DEMAND_FINE_CHANGES,   /**< fine changes, to all peers */
  OWN_DEMAND_URGENT,   /**< coarse changes at urgent services, to all peers */
  OWN_DEMAND_FULL,     /**< everything, to all peers */
  OWN_DEMAND_SNAPSHOT, /**< everything, to one peer; not recorded as sent */
  OWN_DEMAND_SCOPE_MAX
};

/** Fills in the demands of a heartbeat, and records them as sent unless the
    scope is OWN_DEMAND_SNAPSHOT.
    @return 0 or ERR_NO_MEMORY. */
int own_demand_write (struct own_demand *own_demand,
                      enum own_demand_scope scope,
                      struct message_heartbeat *heartbeat);

#endif
