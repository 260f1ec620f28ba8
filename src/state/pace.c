/**
 * @file pace.c
 * Reading rate of engines.
 */
#include "state/pace.h"

#define NS_PER_MS           1000000.0 /* nanoseconds */
#define TOKENS_PER_MS_FIRST 30.0      /* of a usual engine */
#define BEGIN_MS_FIRST      100.0     /* of a usual engine */
#define RATE_WEIGHT         0.02 /* of one observation; some fifty count */
/* The fixed time is what the quickest tenth of small prompts take: the others
   waited for what was not known to be ahead of them. */
#define BEGIN_WEIGHT_DOWN 0.09
#define BEGIN_WEIGHT_UP   0.01
#define BEGIN_STEP_MAX_MS 50.0 /* that one observation counts for at most */
#define SMALL_TOKENS      2000 /* prompts that tell the fixed time */
#define LARGE_TOKENS      6000 /* prompts that tell the rate */
#define RATE_MIN          5.0  /* tokens a ms that are believed at least */

void
pace_init (struct pace *pace, uint64_t tokens_per_s, uint32_t engines)
{
  pace->begin_ms = BEGIN_MS_FIRST;
  pace->tokens_per_ms = TOKENS_PER_MS_FIRST;
  if (tokens_per_s > 0 && engines > 0)
    {
      pace->tokens_per_ms = (double)tokens_per_s / engines / 1000.0;
      pace->stated = true;
    }
  if (pace->tokens_per_ms < RATE_MIN)
    pace->tokens_per_ms = RATE_MIN;
}

void
pace_observe (struct pace *pace, uint64_t tokens, uint64_t duration_ns)
{
  double spent_ms = (double)duration_ns / NS_PER_MS;
  double step_ms;
  double rate;

  if (tokens < SMALL_TOKENS)
    {
      spent_ms -= (double)tokens / pace->tokens_per_ms;
      step_ms = spent_ms - pace->begin_ms;
      if (spent_ms <= 0)
        return;
      if (step_ms > BEGIN_STEP_MAX_MS)
        step_ms = BEGIN_STEP_MAX_MS;
      pace->begin_ms
          += step_ms * (step_ms < 0 ? BEGIN_WEIGHT_DOWN : BEGIN_WEIGHT_UP);
      return;
    }
  if (pace->stated || tokens < LARGE_TOKENS || spent_ms <= pace->begin_ms)
    return;
  rate = (double)tokens / (spent_ms - pace->begin_ms);
  if (rate > pace->tokens_per_ms * 2)
    rate = pace->tokens_per_ms * 2;
  pace->tokens_per_ms += (rate - pace->tokens_per_ms) * RATE_WEIGHT;
  if (pace->tokens_per_ms < RATE_MIN)
    pace->tokens_per_ms = RATE_MIN;
}

uint64_t
pace_begin_ns (const struct pace *pace, uint64_t tokens)
{
  return (uint64_t)((pace->begin_ms + (double)tokens / pace->tokens_per_ms)
                    * NS_PER_MS);
}

uint64_t
pace_tokens (const struct pace *pace, uint32_t duration_ms)
{
  return (uint64_t)(pace->tokens_per_ms * duration_ms);
}
