/**
 * @file rng.h
 * Seeded pseudo-random numbers (SplitMix64), so that runs can be repeated.
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
/** Number below `limit`; 0 when `limit` is 0. */
uint64_t rng_below (struct rng *rng, uint64_t limit);

#endif
