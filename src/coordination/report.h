/**
 * @file report.h
 * This instance's own demand, and what of it peers have been told.
 */
#ifndef COORDINATION_REPORT_H
#define COORDINATION_REPORT_H

#include "coordination/message.h"
#include "state/dispatch.h"
#include <stdbool.h>
#include <stdint.h>

#define REPORT_COARSE 2 /**< changes by more than a half of a count */
#define REPORT_FINE   8 /**< changes by more than an 8th */
#define REPORT_GROWTH 4 /**< requests; growth below is never urgent */

/** Zero-initialise. */
struct report
{
  struct report_entry *entries;    /**< uthash, private */
  struct report_service *services; /**< uthash, private */
  struct dispatch_demand *scratch; /**< private */
  size_t scratch_capacity;
  uint64_t round; /**< private: number of the last refresh */
};

void report_finish (struct report *report);

/** Reads the dispatcher's demand. @return 0 or ERR_NO_MEMORY. */
int report_refresh (struct report *report, const struct dispatch *dispatch);

/** Whether requests of a service wait that peers know nothing of: some where
    there were none, or half as many again.  The customers of one service do
    not count apart: a peer that knows that the service waits here gives its
    free slots, and who gets them is decided here. */
bool report_urgent (struct report *report, const struct dispatch *dispatch);

/** What a heartbeat tells, and whom. */
enum report_scope
{
  REPORT_CHANGES,  /**< coarse changes, to all peers */
  REPORT_DETAILS,  /**< fine changes, to all peers */
  REPORT_URGENT,   /**< coarse changes at urgent services, to all peers */
  REPORT_FULL,     /**< everything, to all peers */
  REPORT_SNAPSHOT, /**< everything, to one peer: the others know no more */
  REPORT_SCOPE_MAX
};

/** Fills in a heartbeat's demands, and notes what all peers are told.
    @return 0 or ERR_NO_MEMORY. */
int report_write (struct report *report, enum report_scope scope,
                  struct message_heartbeat *heartbeat);

#endif
