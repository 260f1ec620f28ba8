/**
 * @file series.h
 * A growing series of measured values, for exact percentiles.
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
void series_add (struct series *series, uint64_t value);
void series_append (struct series *series, const struct series *other);

/** Value below which `permille` of the values lie; sorts the series.
    @return 0 for an empty series. */
uint32_t series_percentile (struct series *series, uint32_t permille);

#endif
