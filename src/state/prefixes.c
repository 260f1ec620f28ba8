/**
 * @file prefixes.c
 * Beliefs about upstreams' caches.
 */
#include "state/prefixes.h"
#include "state/hash.h"
#include <stdlib.h>
#include <string.h>

struct prefixes_key
{
  uint64_t upstream_id;
  uint64_t part_hash;
};

struct prefixes_belief
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
  struct prefixes_belief *belief;
  struct prefixes_belief *next;

  belief = prefixes->beliefs;
  HASH_CLEAR (hh, prefixes->beliefs);
  for (; belief != NULL; belief = next)
    {
      next = belief->hh.next;
      free (belief);
    }
}

void
prefixes_note (struct prefixes *prefixes, uint64_t upstream_id,
               const struct prompt *prompt, uint64_t now_ns)
{
  struct prefixes_key key = { upstream_id, 0 };
  struct prefixes_belief *belief;
  uint32_t i;

  for (i = 0; i < prompt->part_count; i++)
    {
      key.part_hash = prompt->parts[i].hash;
      HASH_FIND (hh, prefixes->beliefs, &key, sizeof (key), belief);
      if (belief != NULL)
        HASH_DEL (prefixes->beliefs, belief);
      else if (prefixes->count >= PREFIXES_PARTS_MAX)
        {
          /* The first in order was used longest ago. */
          belief = prefixes->beliefs;
          HASH_DEL (prefixes->beliefs, belief);
        }
      else
        {
          belief = calloc (1, sizeof (*belief));
          if (belief == NULL)
            return;
          prefixes->count++;
        }
      belief->key = key;
      belief->used_ns = now_ns;
      HASH_ADD (hh, prefixes->beliefs, key, sizeof (key), belief);
    }
}

uint32_t
prefixes_kept (const struct prefixes *prefixes, uint64_t upstream_id,
               const struct prompt *prompt, uint64_t fresh_ns, uint64_t now_ns)
{
  struct prefixes_key key = { upstream_id, 0 };
  const struct prefixes_belief *belief;
  uint32_t tokens = 0;
  uint32_t i;

  for (i = 0; i < prompt->part_count; i++)
    {
      key.part_hash = prompt->parts[i].hash;
      HASH_FIND (hh, prefixes->beliefs, &key, sizeof (key), belief);
      if (belief == NULL || now_ns - belief->used_ns > fresh_ns)
        break;
      tokens += prompt->parts[i].tokens;
    }
  return tokens;
}
