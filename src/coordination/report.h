/**
 * @file report.h
 * Demand of this instance, and what peers have been sent of it.
 */
#ifndef COORDINATION_REPORT_H
#define COORDINATION_REPORT_H

#include "coordination/message.h"
#include "state/dispatch.h"
#include <stdbool.h>
#include <stdint.h>

#define REPORT_COARSE_DIVISOR 2 /**< changes of over 1/2 are sent */
#define REPORT_FINE_DIVISOR   8 /**< changes of over 1/8 are sent */
#define REPORT_URGENT_GROWTH  4 /**< minimum increase, in requests */

/** Zero-initialise. */
struct report
{
  struct report_entry *entries;    /**< uthash, private */
  struct report_service *services; /**< uthash, private */
  struct dispatch_demand *scratch; /**< private */
  size_t scratch_capacity;
  uint64_t refresh_number; /**< private: number of the last refresh */
};

void report_finish (struct report *report);

/** Reads the current demand from the dispatcher.
    @return 0 or ERR_NO_MEMORY. */
int report_refresh (struct report *report, const struct dispatch *dispatch);

/** Whether peers must be notified at once because requests of a service wait
    where the last heartbeat reported none, or because they increased by half
    and REPORT_URGENT_GROWTH.  Customers of a service are not considered one by
    one: a peer that knows that the service has requests waiting here releases
    its free slots, and this instance decides which customer gets them. */
bool report_urgent (struct report *report, const struct dispatch *dispatch);

/** What a heartbeat contains, and who receives it. */
enum report_scope
{
  REPORT_COARSE_CHANGES, /**< coarse changes, to all peers */
  REPORT_FINE_CHANGES,   /**< fine changes, to all peers */
  REPORT_URGENT,   /**< coarse changes at urgent services, to all peers */
  REPORT_FULL,     /**< everything, to all peers */
  REPORT_SNAPSHOT, /**< everything, to one peer; not recorded as sent */
  REPORT_SCOPE_MAX
};

/** Fills in the demands of a heartbeat, and records them as sent unless the
    scope is REPORT_SNAPSHOT.
    @return 0 or ERR_NO_MEMORY. */
int report_write (struct report *report, enum report_scope scope,
                  struct message_heartbeat *heartbeat);

#endif
