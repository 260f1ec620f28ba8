/**
 * @file backlog.h
 * Requests that wait and run at the other instances, as reported in their
 * heartbeats, summed by customer and service.
 */
#ifndef COORDINATION_BACKLOG_H
#define COORDINATION_BACKLOG_H

#include "coordination/message.h"
#include "state/dispatch.h"
#include "state/ledger.h"
#include <stdint.h>

/** Zero-initialise. */
struct backlog
{
  struct backlog_instance *instances; /**< uthash, private */
  struct backlog_pair *pairs;         /**< uthash, private */
  struct backlog_service *services;   /**< uthash, private */
};

void backlog_finish (struct backlog *backlog);

/** Applies the demand in an instance's heartbeat.  Unless the heartbeat is
    full, only the listed pairs change.
    @return 0 or ERR_NO_MEMORY. */
int backlog_apply (struct backlog *backlog, uint64_t instance_id,
                   const struct message_heartbeat *heartbeat);

/** Removes the demand of an instance. */
void backlog_remove_instance (struct backlog *backlog, uint64_t instance_id);

/** Summarises the requests of a service at the other instances, from the point
    of view of one customer.
    @param reserve cost units charged in advance for each running request. */
void backlog_query (const struct backlog *backlog, const struct ledger *ledger,
                    const struct catalog *catalog, uint64_t customer_id,
                    uint64_t service_id, uint64_t reserve,
                    struct dispatch_backlog *out);

/** Number of requests of a service that wait at the other instances. */
uint32_t backlog_waiting (const struct backlog *backlog, uint64_t service_id);

#endif
