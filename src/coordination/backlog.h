/**
 * @file backlog.h
 * What the other instances have waiting and running, as their heartbeats tell
 * it, summed by customer and service.
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

/** Takes over an instance's demand: changed pairs only, unless the heartbeat
    is full. @return 0 or ERR_NO_MEMORY. */
int backlog_apply (struct backlog *backlog, uint64_t instance_id,
                   const struct message_heartbeat *heartbeat);

/** Forgets an instance's demand. */
void backlog_drop (struct backlog *backlog, uint64_t instance_id);

/** What waits elsewhere, seen from one customer.
    @param reserve cost units charged for each running request. */
void backlog_of (const struct backlog *backlog, const struct ledger *ledger,
                 const struct catalog *catalog, uint64_t customer_id,
                 uint64_t service_id, uint64_t reserve,
                 struct dispatch_backlog *out);

/** Requests of a service that wait elsewhere. */
uint32_t backlog_waiting (const struct backlog *backlog, uint64_t service_id);

#endif
