/**
 * @file hist.c
 * Latency histogram with fixed bucket bounds.
 */
#include "state/hist.h"

static const uint64_t bounds_us[HIST_BUCKETS]
    = { 100,       250,       500,       1000,      2500,     5000,
        10000,     25000,     50000,     100000,    250000,   500000,
        1000000,   2500000,   5000000,   10000000,  30000000, 60000000,
        120000000, 300000000, 600000000, UINT64_MAX };

void
hist_observe (struct hist *hist, uint64_t duration_us)
{
  size_t i = 0;

  while (duration_us > bounds_us[i])
    i++;
  hist->buckets[i]++;
  hist->count++;
  hist->sum_us += duration_us;
}

uint64_t
hist_bound_us (size_t bucket)
{
  return bounds_us[bucket];
}
