/**
 * @file prefill_rate.h
 * Estimates how fast a service's engines process prompts (prefill) from the
 * observed times to first token: a base latency plus a time for each token of
 * the prompt and of the prompts queued before it.  If the total rate of all
 * engines is configured, the rate of one engine is derived from it and only
 * the base latency is estimated; otherwise both are estimated.
 */
#ifndef STATE_PREFILL_RATE_H
#define STATE_PREFILL_RATE_H

#include <stdbool.h>
#include <stdint.h>

/** Prefill model of one service.  Zero-initialise. */
struct prefill_rate
{
  double tokens_per_ms; /**< prefill rate of one engine */
  bool configured;      /**< the rate is configured and not estimated */
  double base_ms;       /**< base latency, without any tokens to process */
};

/** @param tokens_per_s  total rate of all engines; 0 if not configured. */
void prefill_rate_init (struct prefill_rate *prefill_rate,
                        uint64_t tokens_per_s, uint32_t engines);
/** Records the time to first token of a prompt.
    @param tokens  tokens of the prompt and of those queued before it. */
void prefill_rate_observe (struct prefill_rate *prefill_rate, uint64_t tokens,
                           uint64_t duration_ns);
/** Expected time to first token with `tokens` to process. */
uint64_t prefill_rate_first_token_ns (const struct prefill_rate *prefill_rate,
                                      uint64_t tokens);
/** Tokens that an engine processes in `duration_ms`. */
uint64_t prefill_rate_tokens (const struct prefill_rate *prefill_rate,
                              uint32_t duration_ms);

#endif
