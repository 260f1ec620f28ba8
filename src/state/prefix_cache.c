/**
 * @file prefix_cache.c
 * Model of the prefix caches of upstreams.
 */
#include "state/prefix_cache.h"
#include "state/hash.h"
#include <stdlib.h>
#include <string.h>

struct prefix_cache_key
{
  uint64_t upstream_id;
  uint64_t part_hash;
};

struct prefix_cache_entry
{
  struct prefix_cache_key key;
  uint64_t used_ns;
  UT_hash_handle hh;
};

void
prefix_cache_init (struct prefix_cache *prefix_cache)
{
  memset (prefix_cache, 0, sizeof (*prefix_cache));
}

void
prefix_cache_finish (struct prefix_cache *prefix_cache)
{
  struct prefix_cache_entry *entry;
  struct prefix_cache_entry *next;

  entry = prefix_cache->entries;
  HASH_CLEAR (hh, prefix_cache->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
}

void
prefix_cache_record (struct prefix_cache *prefix_cache, uint64_t upstream_id,
                     const struct prompt *prompt, uint64_t now_ns)
{
  struct prefix_cache_key key = { upstream_id, 0 };
  struct prefix_cache_entry *entry;
  uint32_t i;

  for (i = 0; i < prompt->part_count; i++)
    {
      key.part_hash = prompt->parts[i].hash;
      HASH_FIND (hh, prefix_cache->entries, &key, sizeof (key), entry);
      if (entry != NULL)
        HASH_DEL (prefix_cache->entries, entry);
      else if (prefix_cache->count >= PREFIX_CACHE_ENTRIES_MAX)
        {
          /* The table is in order of use: the first entry is the oldest. */
          entry = prefix_cache->entries;
          HASH_DEL (prefix_cache->entries, entry);
        }
      else
        {
          entry = calloc (1, sizeof (*entry));
          if (entry == NULL)
            return;
          prefix_cache->count++;
        }
      entry->key = key;
      entry->used_ns = now_ns;
      HASH_ADD (hh, prefix_cache->entries, key, sizeof (key), entry);
    }
}

uint32_t
prefix_cache_cached_tokens (const struct prefix_cache *prefix_cache,
                            uint64_t upstream_id, const struct prompt *prompt,
                            uint64_t ttl_ns, uint64_t now_ns)
{
  struct prefix_cache_key key = { upstream_id, 0 };
  const struct prefix_cache_entry *entry;
  uint32_t tokens = 0;
  uint32_t i;

  for (i = 0; i < prompt->part_count; i++)
    {
      key.part_hash = prompt->parts[i].hash;
      HASH_FIND (hh, prefix_cache->entries, &key, sizeof (key), entry);
      if (entry == NULL || now_ns - entry->used_ns > ttl_ns)
        break;
      tokens += prompt->parts[i].tokens;
    }
  return tokens;
}
