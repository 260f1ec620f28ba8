/**
 * @file store_index.h
 * Position in the history of the platform's store: its era, which rises each
 * time the store is restored from an older copy, and its revision in that era.
 * A restored store assigns revisions again that it had assigned before, so
 * only both together are ordered.  They share one number: an index compares
 * with `<', and index 0 is before all others.
 */
#ifndef STATE_STORE_INDEX_H
#define STATE_STORE_INDEX_H

#include <stdbool.h>
#include <stdint.h>

/** Enough for ten years at 3,000 changes a second. */
#define STORE_INDEX_REVISION_BITS 40
#define STORE_INDEX_REVISION_MAX                                              \
  ((UINT64_C (1) << STORE_INDEX_REVISION_BITS) - 1)
#define STORE_INDEX_ERA_MAX (UINT64_MAX >> STORE_INDEX_REVISION_BITS)

/** @param era       of the store; 0 for one that does not report it.
    @param revision  in that era, at most STORE_INDEX_REVISION_MAX. */
static inline uint64_t
store_index (uint64_t era, uint64_t revision)
{
  return era << STORE_INDEX_REVISION_BITS | revision;
}

static inline uint64_t
store_index_era (uint64_t index)
{
  return index >> STORE_INDEX_REVISION_BITS;
}

static inline uint64_t
store_index_revision (uint64_t index)
{
  return index & STORE_INDEX_REVISION_MAX;
}

#endif
