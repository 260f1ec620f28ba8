/**
 * @file series.c
 * Dynamic array of measured values.
 */
#include "series.h"
#include <stdlib.h>
#include <string.h>

#define CAPACITY_MIN 256 /**< values */

static int compare (const void *left, const void *right);

void
series_init (struct series *series)
{
  memset (series, 0, sizeof (*series));
}

void
series_finish (struct series *series)
{
  free (series->values);
  series_init (series);
}

void
series_add (struct series *series, uint64_t value)
{
  uint32_t *values;
  size_t capacity;

  if (series->count == series->capacity)
    {
      capacity = series->capacity == 0 ? CAPACITY_MIN : series->capacity * 2;
      values = realloc (series->values, capacity * sizeof (*values));
      if (values == NULL)
        abort ();
      series->values = values;
      series->capacity = capacity;
    }
  series->values[series->count++]
      = value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

void
series_append (struct series *series, const struct series *other)
{
  size_t i;

  for (i = 0; i < other->count; i++)
    series_add (series, other->values[i]);
}

uint32_t
series_percentile (struct series *series, uint32_t permille)
{
  size_t rank;

  if (series->count == 0)
    return 0;
  qsort (series->values, series->count, sizeof (*series->values), compare);
  rank = (series->count * permille + 999) / 1000;
  return series->values[rank == 0 ? 0 : rank - 1];
}

static int
compare (const void *left, const void *right)
{
  uint32_t a = *(const uint32_t *)left;
  uint32_t b = *(const uint32_t *)right;

  return a < b ? -1 : a > b;
}
