/**
 * @file event_times.h
 * Times of a stream's events: what was forecast when it was sent to an
 * upstream, and what its client saw.  Separates streams that began late from
 * those that paused.
 */
#ifndef STATE_EVENT_TIMES_H
#define STATE_EVENT_TIMES_H

#include <stdint.h>

/** Zero-initialise. */
struct event_times
{
  uint64_t sent_ns;     /**< attempt that brought the first event */
  uint64_t forecast_ns; /**< expected from then to the first event */
  uint64_t first_ns;    /**< first event; 0: none yet */
  uint64_t last_ns;
  uint64_t longest_gap_ns; /**< between two events */
};

/** An attempt is sent; later ones than the first event's do not count.
    @param forecast_ns  expected time to the first event. */
void event_times_sent (struct event_times *times, uint64_t now_ns,
                       uint64_t forecast_ns);
/** At least one complete event has arrived. */
void event_times_arrived (struct event_times *times, uint64_t now_ns);
/** Time from the attempt to its first event; 0 without one. */
uint64_t event_times_to_first_ns (const struct event_times *times);

#endif
