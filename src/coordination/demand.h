/**
 * @file demand.h
 * Requests waiting and running anywhere in the fleet, as last heard, by
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

/** One instance's requests at a service. */
struct demand_instance
{
  uint64_t instance_id;
  uint32_t waiting;
  uint32_t running;
  uint32_t given; /**< slots granted to it since it last reported */
};

struct demand_service
{
  uint64_t id;
  struct demand_customer *customers; /**< uthash, private */
  struct demand_instance *instances;
  uint32_t instance_count;
  uint32_t row_count; /**< of (customer, instance) */
  UT_hash_handle hh;
};

/** Zero-initialised memory is an empty table. */
struct demand_table
{
  struct demand_service *services; /**< uthash by id; iterate only */
};

void demand_finish (struct demand_table *table);

/** Applies a heartbeat. @return 0 or ERR_NO_MEMORY. */
int demand_apply (struct demand_table *table, uint64_t instance_id,
                  const struct message_heartbeat *heartbeat);

/** Drops what an instance reported. */
void demand_forget (struct demand_table *table, uint64_t instance_id);

/** Demand at a service; NULL when nothing was ever reported. */
struct demand_service *demand_find (const struct demand_table *table,
                                    uint64_t service_id);

/** An instance's requests at a service; NULL when none were ever reported.
    `service` may be NULL. */
struct demand_instance *
demand_instance_find (const struct demand_service *service,
                      uint64_t instance_id);

/** Tells the ledger how each customer's requests are spread, as seen from an
    instance. */
void demand_spread (const struct demand_service *service, uint64_t instance_id,
                    struct ledger *ledger);

/**
 * Input of share_compute, grouped by customer; rows of instances that are not
 * among the targets (sorted by instance) are left out.
 * @param out  room for `service->row_count` rows.
 * @return number of rows written.
 */
size_t demand_rows (const struct demand_service *service,
                    const struct catalog *catalog, const struct ledger *ledger,
                    const struct share_target *targets, size_t target_count,
                    struct share_demand *out);

#endif
