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
 * part of all queued tokens.
 *
 * Tokens of customers with little recent usage weigh more.  They are served
 * first, and the others share what those leave: a few such prompts at other
 * instances must not keep an engine idle while prompts of heavy users wait.
 *
 * A prompt larger than the remaining quota is sent with a probability such
 * that the expected sum over all instances is the free capacity.
 */
#ifndef STATE_ENGINE_QUOTA_H
#define STATE_ENGINE_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

/** Largest factor of a customer with little recent usage; one with the mean
    usage has 1.  The largest puts a customer nearly first. */
#define ENGINE_QUOTA_FACTOR_MAX 64.0

/** Quota at one engine; zero-initialise. */
struct engine_quota
{
  uint64_t interval;       /**< interval for which the quota was computed */
  double remaining_tokens; /**< rest of the quota; may fall below 0 */
  double random;           /**< random number from 0 to 1 for this interval */
};

struct engine_quota_request
{
  uint64_t interval; /**< number of the interval */
  uint64_t
      capacity_tokens; /**< largest permitted prefill backlog of the engine */
  uint64_t backlog_tokens; /**< its backlog, as far as known here */
  uint64_t local_tokens;   /**< queued for it at this instance */
  uint64_t local_weight;   /**< the same, each times its customer's factor */
  uint64_t peer_tokens;    /**< queued for it at other instances */
  uint64_t peer_weight;    /**< the same, each times its customer's factor */
  double random; /**< random, 0 to 1; used if first in the interval */
};

/** Whether a prompt may be sent now.
    @param tokens  prompt tokens that the engine would have to prefill. */
bool engine_quota_allows (struct engine_quota *quota,
                          const struct engine_quota_request *request,
                          uint32_t tokens);
/** Deducts a prompt that was sent. */
void engine_quota_consume (struct engine_quota *quota, uint32_t tokens);

#endif
