/**
 * @file slots.c
 * Table of leased slots, one entry for each upstream.
 */
#include "state/slots.h"
#include "state/err.h"
#include <stdlib.h>

void
slots_init (struct slots *slots)
{
  slots->entries = NULL;
}

void
slots_finish (struct slots *slots)
{
  struct slots_entry *entry;
  struct slots_entry *next;

  entry = slots->entries;
  HASH_CLEAR (hh, slots->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
}

struct slots_entry *
slots_find (const struct slots *slots, uint64_t upstream_id)
{
  struct slots_entry *entry;

  HASH_FIND (hh, slots->entries, &upstream_id, sizeof upstream_id, entry);
  return entry;
}

struct slots_entry *
slots_add (struct slots *slots, uint64_t upstream_id, uint64_t service_id)
{
  struct slots_entry *entry = slots_find (slots, upstream_id);

  if (entry != NULL)
    return entry;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->upstream_id = upstream_id;
  entry->service_id = service_id;
  HASH_ADD (hh, slots->entries, upstream_id, sizeof entry->upstream_id, entry);
  return entry;
}

int
slots_remove (struct slots *slots, uint64_t upstream_id)
{
  struct slots_entry *entry = slots_find (slots, upstream_id);

  if (entry == NULL)
    return 0;
  if (entry->busy > 0)
    return ERR_EXISTS;
  HASH_DEL (slots->entries, entry);
  free (entry);
  return 0;
}

uint32_t
slots_free (const struct slots_entry *entry, uint64_t now_ns)
{
  if (entry->draining || now_ns >= entry->expiry_ns
      || now_ns < entry->backoff_end_ns || entry->busy >= entry->capacity)
    return 0;
  return entry->capacity - entry->busy;
}

int
slots_acquire (struct slots *slots, uint64_t upstream_id, uint64_t now_ns)
{
  struct slots_entry *entry = slots_find (slots, upstream_id);

  if (entry == NULL)
    return ERR_NOT_FOUND;
  if (slots_free (entry, now_ns) == 0)
    return ERR_FULL;
  entry->busy++;
  return 0;
}

int
slots_release (struct slots *slots, uint64_t upstream_id)
{
  struct slots_entry *entry = slots_find (slots, upstream_id);

  if (entry == NULL)
    return ERR_NOT_FOUND;
  if (entry->busy == 0)
    return ERR_INVALID;
  entry->busy--;
  return 0;
}
