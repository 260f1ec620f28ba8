/**
 * @file hist.h
 * Latency histogram with fixed bucket bounds.
 */
#ifndef STATE_HIST_H
#define STATE_HIST_H

#include <stddef.h>
#include <stdint.h>

#define HIST_BUCKETS 22 /**< the last one has no upper bound */

/** Zero-initialise. */
struct hist
{
  uint64_t buckets[HIST_BUCKETS]; /**< observations, not cumulative */
  uint64_t count;
  uint64_t sum_us;
};

void hist_observe (struct hist *hist, uint64_t duration_us);

/** Inclusive upper bound of a bucket in microseconds; UINT64_MAX for the
    last. */
uint64_t hist_bound_us (size_t bucket);

#endif
