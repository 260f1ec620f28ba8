/**
 * @file hubs.h
 * Topology of the load exchange between gateways.  In a small fleet every
 * instance exchanges load with every other one (full mesh).  In a larger fleet
 * a few hubs of each availability zone form the mesh, and each other instance
 * of the zone connects to two of its hubs.  The traffic of an instance then
 * does not grow with the fleet, and only hubs watch the platform's store.
 * Every instance computes the same hubs from the same member list.  While the
 * lists differ, an instance serves every instance that connects to it, whether
 * or not it considers itself a hub.
 */
#ifndef COORDINATION_HUBS_H
#define COORDINATION_HUBS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** With more members, the messages of a full mesh cost a small machine more
    than one percent of its CPU time. */
#define HUBS_MESH_MAX 12 /**< members of the largest full mesh */
#define HUBS_PER_ZONE 2  /**< losing one of two does not stop the exchange */

struct hubs_member
{
  uint64_t id;
  uint64_t zone_id;  /**< identifier of its availability zone */
  uint32_t capacity; /**< CPU capacity in thousandths of a core */
  bool hub;          /**< set by hubs_assign */
};

/** Sorts members by zone, capacity and identifier, and marks the hubs: all
    members of a fleet of at most HUBS_MESH_MAX, otherwise the HUBS_PER_ZONE
    members of each zone with the greatest capacity. */
void hubs_assign (struct hubs_member *members, size_t count);

#endif
