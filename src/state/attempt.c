/**
 * @file attempt.c
 * Steps of attempts, and the verdict derived from them.
 */
#include "state/attempt.h"
#include "state/err.h"

static const char *const step_names[ATTEMPT_STEP_MAX] = {
  [ATTEMPT_QUEUED] = "queued",
  [ATTEMPT_LEASED] = "leased",
  [ATTEMPT_CONNECTING] = "connecting",
  [ATTEMPT_SENDING] = "sending",
  [ATTEMPT_SENT] = "sent",
  [ATTEMPT_RESPONDING] = "responding",
  [ATTEMPT_DONE] = "done",
};

void
attempt_init (struct attempt *attempt, bool idempotent, uint32_t attempts_max)
{
  *attempt = (struct attempt){ .step = ATTEMPT_QUEUED,
                               .furthest = ATTEMPT_QUEUED,
                               .furthest_before = ATTEMPT_QUEUED,
                               .attempts_max = attempts_max,
                               .idempotent = idempotent };
}

int
attempt_start (struct attempt *attempt, uint64_t upstream_id, uint64_t now_ns)
{
  if (!attempt_may_retry (attempt))
    return ERR_INVALID;
  attempt->furthest_before = attempt->furthest;
  attempt->step = ATTEMPT_LEASED;
  if (attempt->furthest < ATTEMPT_LEASED)
    attempt->furthest = ATTEMPT_LEASED;
  attempt->number++;
  attempt->upstream_id = upstream_id;
  attempt->step_ns = now_ns;
  return 0;
}

int
attempt_advance (struct attempt *attempt, enum attempt_step step,
                 uint64_t now_ns)
{
  if (step <= attempt->step || step >= ATTEMPT_STEP_MAX)
    return ERR_INVALID;
  attempt->step = step;
  attempt->step_ns = now_ns;
  if (attempt->furthest < step)
    attempt->furthest = step;
  return 0;
}

void
attempt_mark_rejected (struct attempt *attempt)
{
  attempt->furthest = attempt->furthest_before;
}

enum verdict
attempt_verdict (const struct attempt *attempt)
{
  if (attempt->furthest == ATTEMPT_DONE)
    return VERDICT_RAN;
  if (attempt->furthest >= ATTEMPT_SENDING)
    return VERDICT_MAY_HAVE_RUN;
  return VERDICT_NOT_RUN;
}

bool
attempt_may_retry (const struct attempt *attempt)
{
  if (attempt->number >= attempt->attempts_max
      || attempt->furthest == ATTEMPT_DONE)
    return false;
  return attempt->idempotent || attempt_verdict (attempt) == VERDICT_NOT_RUN;
}

const char *
attempt_step_name (enum attempt_step step)
{
  return step_names[step];
}
