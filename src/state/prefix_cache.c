/**
 * @file prefix_cache.c
 * Model of the prefix caches of upstreams.
 */
#include "state/prefix_cache.h"
#include "state/hash.h"
#include <stdlib.h>
#include <string.h>

struct prefixes_key
{
  uint64_t upstream_id;
  uint64_t part_hash;
};

struct prefixes_entry
{
  struct prefixes_key key;
  uint64_t used_ns;
  UT_hash_handle hh;
};

void
prefixes_init (struct prefixes *prefixes)
{
  memset (prefixes, 0, sizeof (*prefixes));
}

void
prefixes_finish (struct prefixes *prefixes)
{
  struct prefixes_entry *entry;
  struct prefixes_entry *next;

  entry = prefixes->entries;
  HASH_CLEAR (hh, prefixes->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
}

void
prefixes_note (struct prefixes *prefixes, uint64_t upstream_id,
               const struct prompt *prompt, uint64_t now_ns)
{
  struct prefixes_key key = { upstream_id, 0 };
  struct prefixes_entry *entry;
  uint32_t i;

  for (i = 0; i < prompt->part_count; i++)
    {
      key.part_hash = prompt->parts[i].hash;
      HASH_FIND (hh, prefixes->entries, &key, sizeof (key), entry);
      if (entry != NULL)
        HASH_DEL (prefixes->entries, entry);
      else if (prefixes->count >= PREFIXES_PARTS_MAX)
        {
          /* The table is in order of use: the first entry is the oldest. */
          entry = prefixes->entries;
          HASH_DEL (prefixes->entries, entry);
        }
      else
        {
          entry = calloc (1, sizeof (*entry));
          if (entry == NULL)
            return;
          prefixes->count++;
        }
      entry->key = key;
      entry->used_ns = now_ns;
      HASH_ADD (hh, prefixes->entries, key, sizeof (key), entry);
    }
}

uint32_t
prefixes_kept (const struct prefixes *prefixes, uint64_t upstream_id,
               const struct prompt *prompt, uint64_t fresh_ns, uint64_t now_ns)
{
  struct prefixes_key key = { upstream_id, 0 };
  const struct prefixes_entry *entry;
  uint32_t tokens = 0;
  uint32_t i;

  for (i = 0; i < prompt->part_count; i++)
    {
      key.part_hash = prompt->parts[i].hash;
      HASH_FIND (hh, prefixes->entries, &key, sizeof (key), entry);
      if (entry == NULL || now_ns - entry->used_ns > fresh_ns)
        break;
      tokens += prompt->parts[i].tokens;
    }
  return tokens;
}
