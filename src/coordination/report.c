/**
 * @file report.c
 * Own demand, and the part of it that peers must be told.
 */
#include "coordination/report.h"
#include "state/err.h"
#include "state/hash.h"
#include <stdlib.h>

#define SCRATCH_MIN 64 /* pairs of customer and service, at first */

struct report_key
{
  uint64_t customer_id;
  uint64_t service_id;
};

/** What peers know of a service. */
struct report_service
{
  uint64_t service_id;
  uint32_t told_waiting; /* sum over customers */
  bool urgent;
  UT_hash_handle hh;
};

struct report_entry
{
  struct report_key key;
  struct report_service *service;
  uint32_t waiting;
  uint32_t running;
  uint32_t told_waiting;
  uint32_t told_running;
  uint64_t round; /* of the refresh that saw it last */
  UT_hash_handle hh;
};

static size_t read_demands (struct report *report,
                            const struct dispatch *dispatch);
static struct report_entry *entry_get (struct report *report,
                                       const struct dispatch_demand *demand);
static struct report_service *service_get (struct report *report,
                                           uint64_t service_id);
static void note_told (struct report *report, struct report_entry *entry);
static bool differs (uint32_t value, uint32_t told, uint32_t part);
static bool changed (const struct report_entry *entry, uint32_t part);
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
  report->round++;
  for (i = 0; i < count; i++)
    {
      entry = entry_get (report, &report->scratch[i]);
      if (entry == NULL)
        return ERR_NO_MEMORY;
      entry->waiting = report->scratch[i].waiting;
      entry->running = report->scratch[i].running;
      entry->round = report->round;
    }
  for (entry = report->entries; entry != NULL; entry = entry->hh.next)
    if (entry->round != report->round)
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
  uint32_t told;
  bool urgent = false;

  for (service = report->services; service != NULL; service = service->hh.next)
    {
      waiting = dispatch_waiting_service (dispatch, service->service_id);
      told = service->told_waiting;
      service->urgent = told == 0 ? waiting > 0
                                  : waiting >= told + told / 2 + REPORT_GROWTH;
      urgent = urgent || service->urgent;
    }
  return urgent;
}

int
report_write (struct report *report, enum report_scope scope,
              struct message_heartbeat *heartbeat)
{
  const uint32_t part = scope == REPORT_DETAILS ? REPORT_FINE : REPORT_COARSE;
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
      if (heartbeat->full ? !is_idle (entry) : changed (entry, part))
        heartbeat->demands[heartbeat->demand_count++]
            = (struct message_demand){ entry->key.customer_id,
                                       entry->key.service_id, entry->waiting,
                                       entry->running };
      else if (!heartbeat->full)
        continue;
      if (scope != REPORT_SNAPSHOT)
        note_told (report, entry);
    }
  return 0;
}

/** Notes that all peers know an entry; one without demand is dropped. */
static void
note_told (struct report *report, struct report_entry *entry)
{
  entry->service->told_waiting += entry->waiting - entry->told_waiting;
  entry->told_waiting = entry->waiting;
  entry->told_running = entry->running;
  if (!is_idle (entry))
    return;
  HASH_DEL (report->entries, entry);
  free (entry);
}

/** @return number of pairs in the scratch buffer; it is NULL without memory.
 */
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
                  : dispatch_demands (dispatch, report->scratch,
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

/** @param part changes by more than this part of a count are told. */
static bool
changed (const struct report_entry *entry, uint32_t part)
{
  return differs (entry->waiting, entry->told_waiting, part)
         || differs (entry->running, entry->told_running, part);
}

static bool
differs (uint32_t value, uint32_t told, uint32_t part)
{
  uint32_t distance = value > told ? value - told : told - value;

  if ((value == 0) != (told == 0))
    return true;
  return distance > told / part;
}
