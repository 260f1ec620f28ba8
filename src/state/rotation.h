/**
 * @file rotation.h
 * Whether this instance is in the load balancer's rotation: the load balancer
 * sends new connections to instances that say they are ready.
 *
 * The load balancer places clients by a hash, so all clients of a customer may
 * reach one instance, and come back to it when they are turned away.  An
 * instance that goes on turning connections away leaves the rotation for a
 * while: the load balancer then sends these clients to another one, and the
 * other clients of this instance are served elsewhere, too.  At most a part of
 * an availability zone is out at a time.  If more of its instances are
 * flooded, they all have too much work, and sending clients from one to
 * another gains nothing.
 */
#ifndef STATE_ROTATION_H
#define STATE_ROTATION_H

#include <stdbool.h>
#include <stdint.h>

/** One in this many instances of an availability zone may be out. */
#define ROTATION_ZONE_PART 4

/** Zero-initialise. */
struct rotation
{
  uint64_t flood_start_ns; /**< since when connections are turned away */
  uint64_t flooded_ns;     /**< when some last were; 0: never */
  bool out;
};

/** The availability zone of this instance. */
struct rotation_zone
{
  uint32_t instances;  /**< including this one */
  uint32_t others_out; /**< of these, without this one */
};

/** Decides anew.  To be called several times a second.
    @param turned_away  connections turned away since the last call.
    @return whether `out` has changed. */
bool rotation_update (struct rotation *rotation, uint64_t turned_away,
                      const struct rotation_zone *zone, uint64_t now_ns);

#endif
