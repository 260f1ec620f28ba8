/**
 * @file hubs.h
 * Who exchanges load with whom.  A small fleet is a mesh.  In a larger one a
 * few hubs of each availability zone are a mesh, and the other instances of
 * the zone hang on two of them: what an instance sends and hears then does not
 * grow with the fleet, and only hubs follow the store.  Every instance works
 * out the same hubs from the same members; where views differ for a while, an
 * instance that others hang on serves them, hub or not.
 */
#ifndef COORDINATION_HUBS_H
#define COORDINATION_HUBS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HUBS_MESH_MAX                                                         \
  12                    /**< members that are all hubs: with more, a mesh's   \
                             messages cost a small machine over a percent */
#define HUBS_PER_ZONE 2 /**< the loss of one is borne without a pause */

struct hubs_member
{
  uint64_t id;
  uint64_t zone_id;  /**< of its availability zone */
  uint32_t capacity; /**< of its processor, in thousandths of a core */
  bool hub;          /**< worked out */
};

/** Marks the hubs among members, the largest of each zone, sorting them by
    zone, capacity and id. */
void hubs_assign (struct hubs_member *members, size_t count);

#endif
