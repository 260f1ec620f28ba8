/**
 * @file dispatch_pace.c
 * Fills idle slots step by step.  When many requests arrive at once, each
 * instance would fill all its idle slots before it hears what waits elsewhere,
 * and shares would be off for as long as these requests run.
 */
#include "state/dispatch_int.h"

#define NS_PER_MS 1000000ULL /**< nanoseconds */

static uint32_t step (uint32_t capacity);

bool
dispatch_pace (struct dispatch *dispatch, uint64_t service_id, uint64_t now_ns)
{
  struct dispatch_service *service;
  const struct slots_entry *entry;
  uint32_t capacity = 0;
  uint32_t busy = 0;

  if (dispatch->config.fleet_backlog == NULL)
    return true;
  service = dispatch_service_entry (dispatch, service_id);
  if (service == NULL)
    return true;
  for (entry = dispatch->config.slots->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->service_id == service_id)
      {
        capacity += entry->capacity;
        busy += entry->busy;
      }
  if (now_ns >= service->pace_ns)
    {
      service->pace_ns = now_ns + DISPATCH_PACE_MS * NS_PER_MS;
      service->pace_busy = busy;
    }
  return busy < service->pace_busy + step (capacity);
}

static uint32_t
step (uint32_t capacity)
{
  uint32_t part = capacity / DISPATCH_PACE_PART;

  return part > DISPATCH_PACE_MIN ? part : DISPATCH_PACE_MIN;
}
