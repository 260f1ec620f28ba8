/**
 * @file engine_quota.c
 * Per-instance quotas of an engine's free capacity.
 */
#include "state/engine_quota.h"

static double quota_tokens (const struct engine_quota_request *request,
                            double free_tokens);
static double
preferred_peer_tokens (const struct engine_quota_request *request);

bool
engine_quota_allows (struct engine_quota *quota,
                     const struct engine_quota_request *request,
                     uint32_t tokens)
{
  uint64_t free_tokens
      = request->capacity_tokens > request->backlog_tokens
            ? request->capacity_tokens - request->backlog_tokens
            : 0;

  /* No other instance has prompts queued for this engine. */
  if (request->peer_tokens == 0)
    return true;
  if (quota->interval != request->interval)
    {
      quota->interval = request->interval;
      quota->remaining_tokens = quota_tokens (request, (double)free_tokens);
      quota->random = request->random;
    }
  return quota->remaining_tokens > quota->random * tokens;
}

static double
quota_tokens (const struct engine_quota_request *request, double free_tokens)
{
  double local
      = request->local_tokens == 0 ? 1 : (double)request->local_tokens;
  double preferred = preferred_peer_tokens (request);
  double left = free_tokens > preferred ? free_tokens - preferred : 0;
  double by_weight
      = free_tokens * (double)request->local_weight
        / (double)(request->local_weight + request->peer_weight + 1);
  double by_tokens
      = left * local / (local + (double)request->peer_tokens - preferred);

  if (by_weight > local)
    by_weight = local;
  return by_weight > by_tokens ? by_weight : by_tokens;
}

/* Estimates how many of the other instances' tokens have the largest factor.
   Only sums are known: the rest is assumed to have this instance's factor. */
static double
preferred_peer_tokens (const struct engine_quota_request *request)
{
  double factor
      = request->local_tokens == 0
            ? 1
            : (double)request->local_weight / (double)request->local_tokens;
  double excess
      = (double)request->peer_weight - factor * (double)request->peer_tokens;

  if (excess <= 0 || factor >= ENGINE_QUOTA_FACTOR_MAX)
    return 0;
  excess /= ENGINE_QUOTA_FACTOR_MAX - factor;
  return excess > (double)request->peer_tokens ? (double)request->peer_tokens
                                               : excess;
}

void
engine_quota_consume (struct engine_quota *quota, uint32_t tokens)
{
  quota->remaining_tokens -= tokens;
}
