/**
 * @file outlier.c
 * Outlier detection and ejection of upstreams.
 */
#include "state/outlier.h"

#define NS_PER_MS 1000000ULL /* nanoseconds */

static void record_result (struct outlier *outlier, bool failed);
static bool reached_failure_limit (const struct outlier *outlier);

/* The ejection time keeps doubling with each new ejection until all attempts
   of a window have succeeded. */
void
outlier_success (struct outlier *outlier, uint64_t now_ns)
{
  outlier->success_ns = now_ns;
  record_result (outlier, false);
  outlier->failures = 0;
  outlier->ejection_end_ns = 0;
  outlier->probing = false;
  if (outlier->history == 0)
    outlier->ejection_ms = 0;
}

void
outlier_failure (struct outlier *outlier, bool hard, uint64_t now_ns)
{
  record_result (outlier, true);
  outlier->failures++;
  if (!hard && !outlier->probing
      && outlier->failures < OUTLIER_CONSECUTIVE_FAILURES
      && !reached_failure_limit (outlier))
    return;
  if (outlier->ejection_end_ns > now_ns)
    return;
  outlier->ejection_ms = outlier->ejection_ms == 0 ? OUTLIER_EJECTION_MIN_MS
                                                   : outlier->ejection_ms * 2;
  if (outlier->ejection_ms > OUTLIER_EJECTION_MAX_MS)
    outlier->ejection_ms = OUTLIER_EJECTION_MAX_MS;
  outlier->ejection_end_ns = now_ns + outlier->ejection_ms * NS_PER_MS;
  outlier->probing = false;
}

static void
record_result (struct outlier *outlier, bool failed)
{
  outlier->history
      = ((outlier->history << 1) | (failed ? 1 : 0)) & OUTLIER_WINDOW_MASK;
}

static bool
reached_failure_limit (const struct outlier *outlier)
{
  uint32_t bits = outlier->history;
  uint32_t failed = 0;

  for (; bits != 0; bits &= bits - 1)
    failed++;
  return failed >= OUTLIER_WINDOW_FAILURES;
}

bool
outlier_ejected (const struct outlier *outlier, uint64_t now_ns)
{
  return outlier->ejection_end_ns > now_ns || outlier->probing;
}

void
outlier_attempt_started (struct outlier *outlier, uint64_t now_ns)
{
  if (outlier->ejection_end_ns != 0 && outlier->ejection_end_ns <= now_ns)
    outlier->probing = true;
}
