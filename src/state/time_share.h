/**
 * @file time_share.h
 * Bounds the time that one kind of work takes of a loop: a token bucket whose
 * tokens are nanoseconds.
 */
#ifndef STATE_TIME_SHARE_H
#define STATE_TIME_SHARE_H

#include <stdint.h>

/** Set `permille` and `burst_ns`, zero the rest. */
struct time_share
{
  uint32_t permille; /**< of the time that passes, in thousandths */
  uint64_t burst_ns; /**< taken at once at most */
  uint64_t debt_ns;  /**< taken and not made up for yet */
  uint64_t at_ns;    /**< when `debt_ns` was last brought up to date */
};

/** @return the time that may be taken now, in nanoseconds; 0: none. */
uint64_t time_share_left_ns (struct time_share *share, uint64_t now_ns);
/** Counts time that was taken. */
void time_share_take (struct time_share *share, uint64_t start_ns,
                      uint64_t end_ns);

#endif
