/**
 * @file event_times.c
 * Times of a stream's events.
 */
#include "state/event_times.h"

void
event_times_sent (struct event_times *times, uint64_t now_ns,
                  uint64_t forecast_ns)
{
  if (times->first_ns != 0)
    return;
  times->sent_ns = now_ns;
  times->forecast_ns = forecast_ns;
}

void
event_times_arrived (struct event_times *times, uint64_t now_ns)
{
  if (times->first_ns == 0)
    times->first_ns = now_ns;
  else if (now_ns - times->last_ns > times->longest_gap_ns)
    times->longest_gap_ns = now_ns - times->last_ns;
  times->last_ns = now_ns;
}

uint64_t
event_times_to_first_ns (const struct event_times *times)
{
  return times->first_ns == 0 ? 0 : times->first_ns - times->sent_ns;
}
