/**
 * @file dispatch_fill.c
 * Limits how many idle slots are filled per time step.  Without the limit, an
 * instance that receives a burst would fill all its idle slots before it
 * learns of the requests queued at other instances, and customers would have
 * the wrong shares for as long as these requests run.
 */
#include "state/dispatch_int.h"

#define NS_PER_MS 1000000ULL

static uint32_t fill_step_slots (uint32_t capacity);

bool
dispatch_may_fill_slot (struct dispatch *dispatch, uint64_t service_id,
                        uint64_t now_ns)
{
  struct dispatch_service *service;
  const struct slots_entry *entry;
  uint32_t capacity = 0;
  uint32_t busy = 0;

  if (dispatch->config.peer_demand == NULL)
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
  if (now_ns >= service->fill_step_end_ns)
    {
      service->fill_step_end_ns = now_ns + DISPATCH_FILL_STEP_MS * NS_PER_MS;
      service->fill_step_busy = busy;
    }
  return busy < service->fill_step_busy + fill_step_slots (capacity);
}

static uint32_t
fill_step_slots (uint32_t capacity)
{
  uint32_t slots = capacity / DISPATCH_FILL_STEP_DIVISOR;

  return slots > DISPATCH_FILL_SLOTS_MIN ? slots : DISPATCH_FILL_SLOTS_MIN;
}
