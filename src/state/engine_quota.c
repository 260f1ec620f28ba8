/**
 * @file engine_quota.c
 * Per-instance quotas of an engine's free capacity.
 */
#include "state/engine_quota.h"

bool
portion_allows (struct portion *portion, const struct portion_request *request,
                uint32_t tokens)
{
  uint64_t free_tokens = request->room_tokens > request->ahead_tokens
                             ? request->room_tokens - request->ahead_tokens
                             : 0;

  /* No other instance has prompts queued for this engine. */
  if (request->peer_tokens == 0)
    return true;
  if (portion->turn != request->turn)
    {
      portion->turn = request->turn;
      portion->remaining_tokens
          = (double)free_tokens * (double)request->own_tokens
            / (double)(request->own_tokens + request->peer_tokens);
      portion->draw = request->draw;
    }
  return portion->remaining_tokens > portion->draw * tokens;
}

void
portion_take (struct portion *portion, uint32_t tokens)
{
  portion->remaining_tokens -= tokens;
}
