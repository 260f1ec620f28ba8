/**
 * @file demand.h
 * Requests that wait and run anywhere in the fleet, as last reported, by
 * service, customer and instance.
 */
#ifndef COORDINATION_DEMAND_H
#define COORDINATION_DEMAND_H

#include "coordination/message.h"
#include "state/catalog.h"
#include "state/ledger.h"
#include "state/share.h"
#include <stdint.h>
#include <uthash.h>

/** Requests of one instance at a service. */
struct demand_instance
{
  uint64_t instance_id;
  uint32_t waiting;
  uint32_t running;
  uint32_t granted_since_report; /**< slots granted since its last report */
};

struct demand_service
{
  uint64_t id;
  struct demand_customer *customers; /**< uthash, private */
  struct demand_instance *instances;
  uint32_t instance_count;
  uint32_t row_count; /**< number of (customer, instance) rows */
  UT_hash_handle hh;
};

/** Zero-initialised memory is an empty table. */
struct demand_table
{
  struct demand_service *services; /**< uthash by id; iterate only */
};

void demand_finish (struct demand_table *table);

/** Applies the demand in an instance's heartbeat.
    @return 0 or ERR_NO_MEMORY. */
int demand_apply (struct demand_table *table, uint64_t instance_id,
                  const struct message_heartbeat *heartbeat);

/** Removes the demand of an instance. */
void demand_remove_instance (struct demand_table *table, uint64_t instance_id);

/** Demand at a service; NULL when none was ever reported. */
struct demand_service *demand_find (const struct demand_table *table,
                                    uint64_t service_id);

/** Demand of an instance at a service; NULL when none was ever reported.
    `service` may be NULL. */
struct demand_instance *
demand_instance_find (const struct demand_service *service,
                      uint64_t instance_id);

/** Sets the ledger's fleet ratio of each customer that has requests both at
    the given instance and at others. */
void demand_update_fleet_ratio (const struct demand_service *service,
                                uint64_t instance_id, struct ledger *ledger);

/**
 * Fills in the input of share_compute_targets, grouped by customer.  Rows of
 * instances that are not among the targets are omitted.
 * @param targets  sorted by instance_id.
 * @param out  room for `service->row_count` rows.
 * @return number of rows written.
 */
size_t demand_fill_shares (const struct demand_service *service,
                           const struct catalog *catalog,
                           const struct ledger *ledger,
                           const struct share_target *targets,
                           size_t target_count, struct share_demand *out);

#endif
