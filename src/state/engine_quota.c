/**
 * @file engine_quota.c
 * Per-instance quotas of an engine's free capacity.
 */
#include "state/engine_quota.h"

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
      quota->remaining_tokens
          = (double)free_tokens * (double)request->local_tokens
            / (double)(request->local_tokens + request->peer_tokens);
      quota->random = request->random;
    }
  return quota->remaining_tokens > quota->random * tokens;
}

void
engine_quota_consume (struct engine_quota *quota, uint32_t tokens)
{
  quota->remaining_tokens -= tokens;
}
