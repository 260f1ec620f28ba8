/**
 * @file prefix_cache.h
 * Estimated contents of the prefix caches of upstreams: one LRU table of
 * (upstream, prompt part) over all upstreams, bounded by PREFIXES_PARTS_MAX.
 */
#ifndef STATE_PREFIX_CACHE_H
#define STATE_PREFIX_CACHE_H

#include "state/prompt.h"
#include <stdbool.h>
#include <stdint.h>

#define PREFIXES_PARTS_MAX 8192 /**< entries over all upstreams */

struct prefixes
{
  struct prefixes_entry *entries; /**< uthash, least recently used first;
                                   private */
  uint32_t count;
};

void prefixes_init (struct prefixes *prefixes);
void prefixes_finish (struct prefixes *prefixes);

/** Records that a prompt is sent to an upstream, which then caches it. */
void prefixes_note (struct prefixes *prefixes, uint64_t upstream_id,
                    const struct prompt *prompt, uint64_t now_ns);
/** Prompt tokens in the longest prefix of which each part was sent to the
    upstream within the last `fresh_ns`, and so is assumed to be cached. */
uint32_t prefixes_kept (const struct prefixes *prefixes, uint64_t upstream_id,
                        const struct prompt *prompt, uint64_t fresh_ns,
                        uint64_t now_ns);

#endif
