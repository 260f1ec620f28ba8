/**
 * @file peer_demand.h
 * Requests that wait and run at the other instances, as reported in their
 * heartbeats, summed by customer and service.
 */
#ifndef COORDINATION_PEER_DEMAND_H
#define COORDINATION_PEER_DEMAND_H

#include "coordination/message.h"
#include "state/dispatch.h"
#include "state/ledger.h"
#include <stdint.h>

/** Zero-initialise. */
struct peer_demand
{
  struct peer_demand_instance *instances; /**< uthash, private */
  struct peer_demand_pair *pairs;         /**< uthash, private */
  struct peer_demand_service *services;   /**< uthash, private */
};

void peer_demand_finish (struct peer_demand *peer_demand);

/** Applies the demand in an instance's heartbeat.  Unless the heartbeat is
    full, only the listed pairs change.
    @return 0 or ERR_NO_MEMORY. */
int peer_demand_apply (struct peer_demand *peer_demand, uint64_t instance_id,
                       const struct message_heartbeat *heartbeat);

/** Removes the demand of an instance. */
void peer_demand_remove_instance (struct peer_demand *peer_demand,
                                  uint64_t instance_id);

/** Summarises the requests of a service at the other instances, from the point
    of view of one customer.
    @param reserve cost units charged in advance for each running request. */
void peer_demand_query (const struct peer_demand *peer_demand,
                        const struct ledger *ledger,
                        const struct catalog *catalog, uint64_t customer_id,
                        uint64_t service_id, uint64_t reserve,
                        struct dispatch_peer_demand *out);

/** Number of requests of a service that wait at the other instances. */
uint32_t peer_demand_waiting (const struct peer_demand *peer_demand,
                              uint64_t service_id);

#endif
