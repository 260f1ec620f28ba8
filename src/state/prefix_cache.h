/**
 * @file prefix_cache.h
 * Estimated contents of the prefix caches of upstreams: one LRU table of
 * (upstream, prompt part) over all upstreams, bounded by
 * PREFIX_CACHE_ENTRIES_MAX.
 */
#ifndef STATE_PREFIX_CACHE_H
#define STATE_PREFIX_CACHE_H

#include "state/prompt.h"
#include <stdbool.h>
#include <stdint.h>

#define PREFIX_CACHE_ENTRIES_MAX 8192 /**< entries over all upstreams */

struct prefix_cache
{
  struct prefix_cache_entry *entries; /**< uthash, least recently used first;
                                   private */
  uint32_t count;
};

void prefix_cache_init (struct prefix_cache *prefix_cache);
void prefix_cache_finish (struct prefix_cache *prefix_cache);

/** Records that a prompt is sent to an upstream, which then caches it. */
void prefix_cache_record (struct prefix_cache *prefix_cache,
                          uint64_t upstream_id, const struct prompt *prompt,
                          uint64_t now_ns);
/** Prompt tokens in the longest prefix of which each part was sent to the
    upstream within the last `ttl_ns`, and so is assumed to be cached. */
uint32_t prefix_cache_cached_tokens (const struct prefix_cache *prefix_cache,
                                     uint64_t upstream_id,
                                     const struct prompt *prompt,
                                     uint64_t ttl_ns, uint64_t now_ns);

#endif
