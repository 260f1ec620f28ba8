/**
 * @file report.c
 * Demand of this instance, and the changes that peers must be sent.
 */
#include "coordination/report.h"
#include "state/err.h"
#include "state/hash.h"
#include <stdlib.h>

#define SCRATCH_MIN 64 /* initial capacity, in (customer, service) pairs */

struct report_key
{
  uint64_t customer_id;
  uint64_t service_id;
};

/** Waiting requests of a service that peers have been sent. */
struct report_service
{
  uint64_t service_id;
  uint32_t sent_waiting; /* sum over customers */
  bool urgent;
  UT_hash_handle hh;
};

struct report_entry
{
  struct report_key key;
  struct report_service *service;
  uint32_t waiting;
  uint32_t running;
  uint32_t sent_waiting;
  uint32_t sent_running;
  uint64_t refresh_number; /* of the last refresh that found it */
  UT_hash_handle hh;
};

static size_t read_demands (struct report *report,
                            const struct dispatch *dispatch);
static struct report_entry *entry_get (struct report *report,
                                       const struct dispatch_demand *demand);
static struct report_service *service_get (struct report *report,
                                           uint64_t service_id);
static void record_sent (struct report *report, struct report_entry *entry);
static bool differs (uint32_t value, uint32_t sent, uint32_t divisor);
static bool entry_changed (const struct report_entry *entry, uint32_t divisor);
static bool is_idle (const struct report_entry *entry);

void
report_finish (struct report *report)
{
  struct report_entry *entry = report->entries;
  struct report_entry *next;
  struct report_service *service;
  struct report_service *next_service;

  HASH_CLEAR (hh, report->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
  service = report->services;
  HASH_CLEAR (hh, report->services);
  for (; service != NULL; service = next_service)
    {
      next_service = service->hh.next;
      free (service);
    }
  free (report->scratch);
}

int
report_refresh (struct report *report, const struct dispatch *dispatch)
{
  size_t count = read_demands (report, dispatch);
  struct report_entry *entry;
  size_t i;

  if (report->scratch == NULL)
    return ERR_NO_MEMORY;
  report->refresh_number++;
  for (i = 0; i < count; i++)
    {
      entry = entry_get (report, &report->scratch[i]);
      if (entry == NULL)
        return ERR_NO_MEMORY;
      entry->waiting = report->scratch[i].waiting;
      entry->running = report->scratch[i].running;
      entry->refresh_number = report->refresh_number;
    }
  for (entry = report->entries; entry != NULL; entry = entry->hh.next)
    if (entry->refresh_number != report->refresh_number)
      {
        entry->waiting = 0;
        entry->running = 0;
      }
  return 0;
}

bool
report_urgent (struct report *report, const struct dispatch *dispatch)
{
  struct report_service *service;
  uint32_t waiting;
  uint32_t sent;
  bool urgent = false;

  for (service = report->services; service != NULL; service = service->hh.next)
    {
      waiting = dispatch_waiting_service (dispatch, service->service_id);
      sent = service->sent_waiting;
      service->urgent
          = sent == 0 ? waiting > 0
                      : waiting >= sent + sent / 2 + REPORT_URGENT_GROWTH;
      urgent = urgent || service->urgent;
    }
  return urgent;
}

int
report_write (struct report *report, enum report_scope scope,
              struct message_heartbeat *heartbeat)
{
  const uint32_t divisor = scope == REPORT_FINE_CHANGES
                               ? REPORT_FINE_DIVISOR
                               : REPORT_COARSE_DIVISOR;
  struct report_entry *entry;
  struct report_entry *next;

  heartbeat->full = scope == REPORT_FULL || scope == REPORT_SNAPSHOT;
  heartbeat->demand_count = 0;
  heartbeat->demands
      = calloc (HASH_COUNT (report->entries) + 1, sizeof *heartbeat->demands);
  if (heartbeat->demands == NULL)
    return ERR_NO_MEMORY;
  for (entry = report->entries; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      if (scope == REPORT_URGENT && !entry->service->urgent)
        continue;
      if (heartbeat->full ? !is_idle (entry) : entry_changed (entry, divisor))
        heartbeat->demands[heartbeat->demand_count++]
            = (struct message_demand){ entry->key.customer_id,
                                       entry->key.service_id, entry->waiting,
                                       entry->running };
      else if (!heartbeat->full)
        continue;
      if (scope != REPORT_SNAPSHOT)
        record_sent (report, entry);
    }
  return 0;
}

/** Records an entry as sent to all peers; removes it when it has no
    requests. */
static void
record_sent (struct report *report, struct report_entry *entry)
{
  entry->service->sent_waiting += entry->waiting - entry->sent_waiting;
  entry->sent_waiting = entry->waiting;
  entry->sent_running = entry->running;
  if (!is_idle (entry))
    return;
  HASH_DEL (report->entries, entry);
  free (entry);
}

/** @return number of pairs in the scratch buffer.  The buffer is NULL when its
    first allocation failed. */
static size_t
read_demands (struct report *report, const struct dispatch *dispatch)
{
  struct dispatch_demand *scratch;
  size_t capacity;
  size_t count;

  for (;;)
    {
      count = report->scratch == NULL
                  ? 0
                  : dispatch_list_demands (dispatch, report->scratch,
                                           report->scratch_capacity);
      if (report->scratch != NULL && count < report->scratch_capacity)
        return count;
      capacity = report->scratch == NULL ? SCRATCH_MIN
                                         : 2 * report->scratch_capacity;
      scratch = realloc (report->scratch, capacity * sizeof *scratch);
      if (scratch == NULL)
        return count;
      report->scratch = scratch;
      report->scratch_capacity = capacity;
    }
}

static struct report_entry *
entry_get (struct report *report, const struct dispatch_demand *demand)
{
  const struct report_key key = { demand->customer_id, demand->service_id };
  struct report_entry *entry = NULL;

  HASH_FIND (hh, report->entries, &key, sizeof key, entry);
  if (entry != NULL)
    return entry;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->key = key;
  entry->service = service_get (report, key.service_id);
  if (entry->service == NULL)
    {
      free (entry);
      return NULL;
    }
  HASH_ADD (hh, report->entries, key, sizeof entry->key, entry);
  return entry;
}

static struct report_service *
service_get (struct report *report, uint64_t service_id)
{
  struct report_service *service = NULL;

  HASH_FIND (hh, report->services, &service_id, sizeof service_id, service);
  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  service->service_id = service_id;
  HASH_ADD (hh, report->services, service_id, sizeof service->service_id,
            service);
  return service;
}

static bool
is_idle (const struct report_entry *entry)
{
  return entry->waiting == 0 && entry->running == 0;
}

/** Whether a count differs from the sent one by more than 1/divisor. */
static bool
entry_changed (const struct report_entry *entry, uint32_t divisor)
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
