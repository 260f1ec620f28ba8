/**
 * @file rng.h
 * Pseudo-random numbers (SplitMix64) with a seed, for reproducible runs.
 */
#ifndef STATE_RNG_H
#define STATE_RNG_H

#include <stdint.h>

struct rng
{
  uint64_t state;
};

void rng_init (struct rng *rng, uint64_t seed);
uint64_t rng_next (struct rng *rng);
/** Random number from 0 to `limit` - 1; 0 when `limit` is 0. */
uint64_t rng_below (struct rng *rng, uint64_t limit);

#endif
