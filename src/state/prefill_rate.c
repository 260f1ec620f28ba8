/**
 * @file prefill_rate.c
 * Prefill rate of engines.
 */
#include "state/prefill_rate.h"

#define NS_PER_MS       1000000.0
#define RATE_INITIAL    30.0  /* tokens per ms, of a typical engine */
#define BASE_MS_INITIAL 100.0 /* initial value, of a typical engine */
/* Weight of one observation: a moving average over about 50. */
#define RATE_WEIGHT 0.02
/* The asymmetric weights keep the base latency near that of the fastest tenth
   of small prompts.  The slower ones waited for other prompts at the engine
   that this instance did not know of. */
#define BASE_WEIGHT_DOWN 0.09
#define BASE_WEIGHT_UP   0.01
#define BASE_STEP_MAX_MS 50.0 /* bound on the effect of a slow observation */
#define BASE_TOKENS_MAX  2000 /* shorter prompts sample the base latency */
#define RATE_TOKENS_MIN  6000 /* prompts from this size on sample the rate */
#define RATE_MIN         5.0  /* lower bound of the rate, in tokens per ms */

void
prefill_rate_init (struct prefill_rate *prefill_rate, uint64_t tokens_per_s,
                   uint32_t engines)
{
  prefill_rate->base_ms = BASE_MS_INITIAL;
  prefill_rate->tokens_per_ms = RATE_INITIAL;
  if (tokens_per_s > 0 && engines > 0)
    {
      prefill_rate->tokens_per_ms = (double)tokens_per_s / engines / 1000.0;
      prefill_rate->configured = true;
    }
  if (prefill_rate->tokens_per_ms < RATE_MIN)
    prefill_rate->tokens_per_ms = RATE_MIN;
}

void
prefill_rate_observe (struct prefill_rate *prefill_rate, uint64_t tokens,
                      uint64_t duration_ns)
{
  double latency_ms = (double)duration_ns / NS_PER_MS;
  double step_ms;
  double rate;

  if (tokens < BASE_TOKENS_MAX)
    {
      latency_ms -= (double)tokens / prefill_rate->tokens_per_ms;
      step_ms = latency_ms - prefill_rate->base_ms;
      if (latency_ms <= 0)
        return;
      if (step_ms > BASE_STEP_MAX_MS)
        step_ms = BASE_STEP_MAX_MS;
      prefill_rate->base_ms
          += step_ms * (step_ms < 0 ? BASE_WEIGHT_DOWN : BASE_WEIGHT_UP);
      return;
    }
  if (prefill_rate->configured || tokens < RATE_TOKENS_MIN
      || latency_ms <= prefill_rate->base_ms)
    return;
  rate = (double)tokens / (latency_ms - prefill_rate->base_ms);
  if (rate > prefill_rate->tokens_per_ms * 2)
    rate = prefill_rate->tokens_per_ms * 2;
  prefill_rate->tokens_per_ms
      += (rate - prefill_rate->tokens_per_ms) * RATE_WEIGHT;
  if (prefill_rate->tokens_per_ms < RATE_MIN)
    prefill_rate->tokens_per_ms = RATE_MIN;
}

uint64_t
prefill_rate_first_token_ns (const struct prefill_rate *prefill_rate,
                             uint64_t tokens)
{
  return (uint64_t)((prefill_rate->base_ms
                     + (double)tokens / prefill_rate->tokens_per_ms)
                    * NS_PER_MS);
}

uint64_t
prefill_rate_tokens (const struct prefill_rate *prefill_rate,
                     uint32_t duration_ms)
{
  return (uint64_t)(prefill_rate->tokens_per_ms * duration_ms);
}
