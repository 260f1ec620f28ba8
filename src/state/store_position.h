/**
 * @file store_position.h
 * Position in the history of the platform's store: its era, which rises each
 * time the store is restored from an older copy, and its revision in that era.
 * A restored store assigns revisions again that it had assigned before, so
 * only both together are ordered.  Each may have any size.
 *
 * Messages to peers carry a position packed into 64 bits, with 24 for the era,
 * and its digits where these do not fit.  Programs without digits read the
 * packed form alone, and relay it as if it were exact.
 */
#ifndef STATE_STORE_POSITION_H
#define STATE_STORE_POSITION_H

#include "state/digits.h"
#include <stdbool.h>
#include <stdint.h>

/** Zero-initialise for none, which is before all others. */
struct store_position
{
  struct digits era; /**< 0 for a store that does not report it */
  struct digits revision;
  bool packed; /**< known in packed form only */
};

struct store_position store_position_from_u64 (uint64_t era,
                                               uint64_t revision);

bool store_position_is_none (const struct store_position *position);

/** One that is known in packed form only is compared with the packed form of
    another one that does not fit it.
    @return less than, equal to or greater than 0, as for strcmp(). */
int store_position_compare (const struct store_position *left,
                            const struct store_position *right);

/** Positions that do not fit wrap around, and stay ordered among those that
    are less than 2^63 apart in packed form.
    @return 0 for none only. */
uint64_t store_position_pack (const struct store_position *position);

struct store_position store_position_unpack (uint64_t packed);

/** Whether the packed form alone is exact. */
bool store_position_fits (const struct store_position *position);

#endif
