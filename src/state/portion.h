/**
 * @file portion.h
 * What part of an engine's room an instance may fill before word of it has
 * gone round.
 *
 * Answers many instances that see one engine free at the same moment, each
 * with a prompt that has its home there: all would send, and the engine would
 * have many times its room to read.  Instances tell how much waits for each
 * engine; in each turn, as long as word takes to go round, an instance sends
 * what its part of that is of the room that it saw when the turn began.  A
 * prompt larger than what is left of the part is sent with the chance that
 * makes the parts of all add up.
 */
#ifndef STATE_PORTION_H
#define STATE_PORTION_H

#include <stdbool.h>
#include <stdint.h>

/** Of one engine; zero-initialise. */
struct portion
{
  uint64_t turn;      /**< that the rest holds for */
  double left_tokens; /**< of this instance's part */
  double draw;        /**< 0 to 1, of this turn */
};

struct portion_request
{
  uint64_t turn;
  uint64_t room_tokens;  /**< that the engine may have ahead of it */
  uint64_t ahead_tokens; /**< that it has, as far as is known */
  uint64_t own_tokens;   /**< that wait for it here */
  uint64_t peer_tokens;  /**< that wait for it at other instances */
  double draw;           /**< 0 to 1; of the first request in a turn counts */
};

/** Whether a prompt may be sent now.
    @param tokens  that the engine would have to read. */
bool portion_allows (struct portion *portion,
                     const struct portion_request *request, uint32_t tokens);
/** It was sent. */
void portion_take (struct portion *portion, uint32_t tokens);

#endif
