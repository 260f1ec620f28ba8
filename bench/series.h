/**
 * @file series.h
 * Dynamic array of all measured values, for exact percentiles.
 */
#ifndef BENCH_SERIES_H
#define BENCH_SERIES_H

#include <stddef.h>
#include <stdint.h>

struct series
{
  uint32_t *values;
  size_t count;
  size_t capacity;
};

void series_init (struct series *series);
void series_finish (struct series *series);
/** Appends a value; one above UINT32_MAX is stored as UINT32_MAX. */
void series_add (struct series *series, uint64_t value);
void series_append (struct series *series, const struct series *other);

/** Sorts the series.  @return the smallest value that at least `permille` of
    the values do not exceed (nearest rank); 0 for an empty series. */
uint32_t series_percentile (struct series *series, uint32_t permille);

#endif
