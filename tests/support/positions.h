/**
 * @file positions.h
 * Short names for positions in the platform's store.
 */
#ifndef TESTS_SUPPORT_POSITIONS_H
#define TESTS_SUPPORT_POSITIONS_H

#include "state/store_position.h"

/** A pointer to a position, valid in the block. */
#define POSITION(era, revision)                                               \
  ((const struct store_position[]){                                           \
      store_position_from_u64 ((era), (revision)) })

static inline bool
position_is (const struct store_position *position, uint64_t era,
             uint64_t revision)
{
  return store_position_compare (position, POSITION (era, revision)) == 0;
}

#endif
