/**
 * @file prefixes.h
 * What each upstream is believed to keep of prompts that it has read: an LRU
 * of prompt parts per upstream, bounded by the share of its memory that is
 * not needed by running requests.
 */
#ifndef STATE_PREFIXES_H
#define STATE_PREFIXES_H

#include "state/prompt.h"
#include <stdbool.h>
#include <stdint.h>

#define PREFIXES_PARTS_MAX 8192 /**< beliefs kept over all upstreams */

struct prefixes
{
  struct prefixes_belief *beliefs; /**< uthash, the stalest first; private */
  uint32_t count;
};

void prefixes_init (struct prefixes *prefixes);
void prefixes_finish (struct prefixes *prefixes);

/** An upstream reads a prompt now. */
void prefixes_note (struct prefixes *prefixes, uint64_t upstream_id,
                    const struct prompt *prompt, uint64_t now_ns);
/** Tokens of a prompt that an upstream need not read again, as far as it was
    told in the last `fresh_ns`. */
uint32_t prefixes_kept (const struct prefixes *prefixes, uint64_t upstream_id,
                        const struct prompt *prompt, uint64_t fresh_ns,
                        uint64_t now_ns);

#endif
