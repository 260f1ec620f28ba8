/**
 * @file outlier.c
 * Avoidance of failing upstreams.
 */
#include "state/outlier.h"

#define NS_PER_MS 1000000ULL /* nanoseconds */

static void note (struct outlier *outlier, bool failed);
static bool fails_often (const struct outlier *outlier);

/* A relapse is punished longer until a whole window has gone well. */
void
outlier_success (struct outlier *outlier)
{
  note (outlier, false);
  outlier->failures = 0;
  outlier->avoid_end_ns = 0;
  outlier->probing = false;
  if (outlier->recent == 0)
    outlier->avoid_ms = 0;
}

void
outlier_failure (struct outlier *outlier, bool hard, uint64_t now_ns)
{
  note (outlier, true);
  outlier->failures++;
  if (!hard && !outlier->probing && outlier->failures < OUTLIER_FAILURES
      && !fails_often (outlier))
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

static void
note (struct outlier *outlier, bool failed)
{
  outlier->recent
      = ((outlier->recent << 1) | (failed ? 1 : 0)) & OUTLIER_WINDOW_MASK;
}

static bool
fails_often (const struct outlier *outlier)
{
  uint32_t left = outlier->recent;
  uint32_t failed = 0;

  for (; left != 0; left &= left - 1)
    failed++;
  return failed >= OUTLIER_WINDOW_FAILURES;
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
