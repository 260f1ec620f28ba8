/**
 * @file rotation.c
 * Leaving the load balancer's rotation while flooded.
 */
#include "state/rotation.h"

#define NS_PER_MS 1000000ULL /* nanoseconds */
/* Connections are turned away at least this often in a flood. */
#define FLOOD_GAP_MS 250
/* A flood that is shorter ends by itself before the load balancer acts. */
#define FLOOD_MIN_MS 300
/* Time out of the rotation after connections were last turned away.  The load
   balancer takes up to two seconds to remove an instance, so a flood that goes
   on reaches two others before it returns to this one. */
#define OUT_MS 4000

bool
rotation_update (struct rotation *rotation, uint64_t turned_away,
                 const struct rotation_zone *zone, uint64_t now_ns)
{
  bool was_out = rotation->out;

  if (turned_away > 0)
    {
      if (rotation->flooded_ns == 0
          || now_ns - rotation->flooded_ns > FLOOD_GAP_MS * NS_PER_MS)
        rotation->flood_start_ns = now_ns;
      rotation->flooded_ns = now_ns;
    }
  if (was_out)
    rotation->out = now_ns - rotation->flooded_ns < OUT_MS * NS_PER_MS;
  else if (turned_away > 0)
    rotation->out
        = now_ns - rotation->flood_start_ns >= FLOOD_MIN_MS * NS_PER_MS
          && (uint64_t)(zone->others_out + 1) * ROTATION_ZONE_PART
                 <= zone->instances;
  return rotation->out != was_out;
}
