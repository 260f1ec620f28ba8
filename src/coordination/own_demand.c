/**
 * @file own_demand.c
 * Demand of this instance, and the changes that peers must be sent.
 */
#include "coordination/own_demand.h"
#include "state/err.h"
#include "state/hash.h"
#include <stdlib.h>

#define SCRATCH_MIN 64 /* initial capacity, in (customer, service) pairs */

struct own_demand_key
{
  uint64_t customer_id;
  uint64_t service_id;
};

/** Waiting requests of a service that peers have been sent. */
struct own_demand_service
{
  uint64_t service_id;
  uint32_t sent_waiting; /* sum over customers */
  bool urgent;
  UT_hash_handle hh;
};

struct own_demand_entry
{
  struct own_demand_key key;
  struct own_demand_service *service;
  uint32_t waiting;
  uint32_t running;
  uint32_t sent_waiting;
  uint32_t sent_running;
  uint64_t refresh_number; /* of the last refresh that found it */
  UT_hash_handle hh;
};

static size_t read_demands (struct own_demand *own_demand,
                            const struct dispatch *dispatch);
static struct own_demand_entry *
entry_get (struct own_demand *own_demand,
           const struct dispatch_demand *demand);
static struct own_demand_service *service_get (struct own_demand *own_demand,
                                               uint64_t service_id);
static void record_sent (struct own_demand *own_demand,
                         struct own_demand_entry *entry);
static bool differs (uint32_t value, uint32_t sent, uint32_t divisor);
static bool entry_changed (const struct own_demand_entry *entry,
                           uint32_t divisor);
static bool is_idle (const struct own_demand_entry *entry);

void
own_demand_finish (struct own_demand *own_demand)
{
  struct own_demand_entry *entry = own_demand->entries;
  struct own_demand_entry *next;
  struct own_demand_service *service;
  struct own_demand_service *next_service;

  HASH_CLEAR (hh, own_demand->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
  service = own_demand->services;
  HASH_CLEAR (hh, own_demand->services);
  for (; service != NULL; service = next_service)
    {
      next_service = service->hh.next;
      free (service);
    }
  free (own_demand->scratch);
}

int
own_demand_refresh (struct own_demand *own_demand,
                    const struct dispatch *dispatch)
{
  size_t count = read_demands (own_demand, dispatch);
  struct own_demand_entry *entry;
  size_t i;

  if (own_demand->scratch == NULL)
    return ERR_NO_MEMORY;
  own_demand->refresh_number++;
  for (i = 0; i < count; i++)
    {
      entry = entry_get (own_demand, &own_demand->scratch[i]);
      if (entry == NULL)
        return ERR_NO_MEMORY;
      entry->waiting = own_demand->scratch[i].waiting;
      entry->running = own_demand->scratch[i].running;
      entry->refresh_number = own_demand->refresh_number;
    }
  for (entry = own_demand->entries; entry != NULL; entry = entry->hh.next)
    if (entry->refresh_number != own_demand->refresh_number)
      {
        entry->waiting = 0;
        entry->running = 0;
      }
  return 0;
}

bool
own_demand_urgent (struct own_demand *own_demand,
                   const struct dispatch *dispatch)
{
  struct own_demand_service *service;
  uint32_t waiting;
  uint32_t sent;
  bool urgent = false;

  for (service = own_demand->services; service != NULL;
       service = service->hh.next)
    {
      waiting = dispatch_waiting_service (dispatch, service->service_id);
      sent = service->sent_waiting;
      service->urgent
          = sent == 0 ? waiting > 0
                      : waiting >= sent + sent / 2 + OWN_DEMAND_URGENT_GROWTH;
      urgent = urgent || service->urgent;
    }
  return urgent;
}

int
own_demand_write (struct own_demand *own_demand, enum own_demand_scope scope,
                  struct message_heartbeat *heartbeat)
{
  const uint32_t divisor = scope == OWN_DEMAND_FINE_CHANGES
                               ? OWN_DEMAND_FINE_DIVISOR
                               : OWN_DEMAND_COARSE_DIVISOR;
  struct own_demand_entry *entry;
  struct own_demand_entry *next;

  heartbeat->full = scope == OWN_DEMAND_FULL || scope == OWN_DEMAND_SNAPSHOT;
  heartbeat->demand_count = 0;
  heartbeat->demands = calloc (HASH_COUNT (own_demand->entries) + 1,
                               sizeof *heartbeat->demands);
  if (heartbeat->demands == NULL)
    return ERR_NO_MEMORY;
  for (entry = own_demand->entries; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      if (scope == OWN_DEMAND_URGENT && !entry->service->urgent)
        continue;
      if (heartbeat->full ? !is_idle (entry) : entry_changed (entry, divisor))
        heartbeat->demands[heartbeat->demand_count++]
            = (struct message_demand){ entry->key.customer_id,
                                       entry->key.service_id, entry->waiting,
                                       entry->running };
      else if (!heartbeat->full)
        continue;
      if (scope != OWN_DEMAND_SNAPSHOT)
        record_sent (own_demand, entry);
    }
  return 0;
}

/** Records an entry as sent to all peers; removes it when it has no
    requests. */
static void
record_sent (struct own_demand *own_demand, struct own_demand_entry *entry)
{
  entry->service->sent_waiting += entry->waiting - entry->sent_waiting;
  entry->sent_waiting = entry->waiting;
  entry->sent_running = entry->running;
  if (!is_idle (entry))
    return;
  HASH_DEL (own_demand->entries, entry);
  free (entry);
}

/** @return number of pairs in the scratch buffer.  The buffer is NULL when its
    first allocation failed. */
static size_t
read_demands (struct own_demand *own_demand, const struct dispatch *dispatch)
{
  struct dispatch_demand *scratch;
  size_t capacity;
  size_t count;

  for (;;)
    {
      count = own_demand->scratch == NULL
                  ? 0
                  : dispatch_list_demands (dispatch, own_demand->scratch,
                                           own_demand->scratch_capacity);
      if (own_demand->scratch != NULL && count < own_demand->scratch_capacity)
        return count;
      capacity = own_demand->scratch == NULL
                     ? SCRATCH_MIN
                     : 2 * own_demand->scratch_capacity;
      scratch = realloc (own_demand->scratch, capacity * sizeof *scratch);
      if (scratch == NULL)
        return count;
      own_demand->scratch = scratch;
      own_demand->scratch_capacity = capacity;
    }
}

static struct own_demand_entry *
entry_get (struct own_demand *own_demand, const struct dispatch_demand *demand)
{
  const struct own_demand_key key
      = { demand->customer_id, demand->service_id };
  struct own_demand_entry *entry = NULL;

  HASH_FIND (hh, own_demand->entries, &key, sizeof key, entry);
  if (entry != NULL)
    return entry;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->key = key;
  entry->service = service_get (own_demand, key.service_id);
  if (entry->service == NULL)
    {
      free (entry);
      return NULL;
    }
  HASH_ADD (hh, own_demand->entries, key, sizeof entry->key, entry);
  return entry;
}

static struct own_demand_service *
service_get (struct own_demand *own_demand, uint64_t service_id)
{
  struct own_demand_service *service = NULL;

  HASH_FIND (hh, own_demand->services, &service_id, sizeof service_id,
             service);
  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  service->service_id = service_id;
  HASH_ADD (hh, own_demand->services, service_id, sizeof service->service_id,
            service);
  return service;
}

static bool
is_idle (const struct own_demand_entry *entry)
{
  return entry->waiting == 0 && entry->running == 0;
}

/** Whether a count differs from the sent one by more than 1/divisor. */
static bool
entry_changed (const struct own_demand_entry *entry, uint32_t divisor)
{
  return differs (entry->waiting, entry->sent_waiting, divisor)
         || differs (entry->running, entry->sent_running, divisor);
}

static bool
differs (uint32_t value, uint32_t sent, uint32_t divisor)
{
  uint32_t difference = value > sent ? value - sent : sent - value;

  if ((value == 0) != (sent == 0))
    return true;
  return difference > sent / divisor;
}
