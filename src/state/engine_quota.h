/**
 * @file engine_quota.h
 * Quota of an engine's free capacity that this instance may use before the
 * other instances have learned of it.
 *
 * Without a quota, all instances that see an engine become free at the same
 * moment would send it the prompts for which it is the primary engine, and its
 * prefill backlog would grow to many times its capacity.  Instances report how
 * many prompt tokens they have queued for each engine.  An interval lasts as
 * long as a report takes to reach all instances.  In each, the quota is a part
 * of the capacity that was free at its start, in proportion to this instance's
 * part of all queued tokens.  A prompt larger than the remaining quota is sent
 * with a probability such that the expected sum over all instances is the free
 * capacity.
 */
#ifndef STATE_ENGINE_QUOTA_H
#define STATE_ENGINE_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

/** Quota at one engine; zero-initialise. */
struct portion
{
  uint64_t turn;           /**< interval for which the quota was computed */
  double remaining_tokens; /**< rest of the quota; may fall below 0 */
  double draw;             /**< random number from 0 to 1 for this interval */
};

struct portion_request
{
  uint64_t turn;        /**< number of the interval */
  uint64_t room_tokens; /**< largest permitted prefill backlog of the engine */
  uint64_t ahead_tokens; /**< its backlog, as far as known here */
  uint64_t own_tokens;   /**< queued for it at this instance */
  uint64_t peer_tokens;  /**< queued for it at other instances */
  double draw;           /**< random, 0 to 1; used if first in the interval */
};

/** Whether a prompt may be sent now.
    @param tokens  prompt tokens that the engine would have to prefill. */
bool portion_allows (struct portion *portion,
                     const struct portion_request *request, uint32_t tokens);
/** Deducts a prompt that was sent. */
void portion_take (struct portion *portion, uint32_t tokens);

#endif
