/**
 * @file outlier.c
 * Avoidance of failing upstreams.
 */
#include "state/outlier.h"

#define NS_PER_MS 1000000ULL /* nanoseconds */

void
outlier_success (struct outlier *outlier)
{
  outlier->failures = 0;
  outlier->avoid_ms = 0;
  outlier->avoid_end_ns = 0;
  outlier->probing = false;
}

void
outlier_failure (struct outlier *outlier, bool hard, uint64_t now_ns)
{
  outlier->failures++;
  if (!hard && !outlier->probing && outlier->failures < OUTLIER_FAILURES)
    return;
  if (outlier->avoid_end_ns > now_ns)
    return;
  outlier->avoid_ms
      = outlier->avoid_ms == 0 ? OUTLIER_AVOID_MIN_MS : outlier->avoid_ms * 2;
  if (outlier->avoid_ms > OUTLIER_AVOID_MAX_MS)
    outlier->avoid_ms = OUTLIER_AVOID_MAX_MS;
  outlier->avoid_end_ns = now_ns + outlier->avoid_ms * NS_PER_MS;
  outlier->probing = false;
}

bool
outlier_avoided (const struct outlier *outlier, uint64_t now_ns)
{
  return outlier->avoid_end_ns > now_ns || outlier->probing;
}

void
outlier_attempt (struct outlier *outlier, uint64_t now_ns)
{
  if (outlier->avoid_end_ns != 0 && outlier->avoid_end_ns <= now_ns)
    outlier->probing = true;
}
