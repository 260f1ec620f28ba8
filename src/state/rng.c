/**
 * @file rng.c
 * SplitMix64 pseudo-random number generator.
 */
#include "state/rng.h"

void
rng_init (struct rng *rng, uint64_t seed)
{
  rng->state = seed;
}

uint64_t
rng_next (struct rng *rng)
{
  uint64_t z = rng->state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

uint64_t
rng_below (struct rng *rng, uint64_t limit)
{
  return limit == 0 ? 0 : rng_next (rng) % limit;
}
