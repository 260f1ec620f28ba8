/**
 * @file attempt.h
 * Progress of one request through its attempts.  The verdict is derived from
 * the furthest step over all attempts, so a response with the verdict not-run
 * is correct by construction.
 */
#ifndef STATE_ATTEMPT_H
#define STATE_ATTEMPT_H

#include "state/verdict.h"
#include <stdbool.h>
#include <stdint.h>

enum attempt_step
{
  ATTEMPT_QUEUED,
  ATTEMPT_LEASED, /**< holds a slot */
  ATTEMPT_CONNECTING,
  ATTEMPT_SENDING,    /**< first request byte written to the socket */
  ATTEMPT_SENT,       /**< complete request written to the socket */
  ATTEMPT_RESPONDING, /**< status line received */
  ATTEMPT_DONE,       /**< complete response received */
  ATTEMPT_STEP_MAX
};

/** Attempt state of a request. */
struct attempt
{
  enum attempt_step step;            /**< of the current attempt */
  enum attempt_step furthest;        /**< over all attempts */
  enum attempt_step furthest_before; /**< before the current attempt */
  uint32_t number; /**< current attempt, from 1; 0 while queued */
  uint32_t attempts_max;
  bool idempotent;
  uint64_t upstream_id; /**< of the current attempt */
  uint64_t step_ns;     /**< monotonic time of the current step */
};

void attempt_init (struct attempt *attempt, bool idempotent,
                   uint32_t attempts_max);

/** Starts the next attempt, at step ATTEMPT_LEASED.
    @return 0, or ERR_INVALID if attempt_may_retry() is false. */
int attempt_start (struct attempt *attempt, uint64_t upstream_id,
                   uint64_t now_ns);

/** Advances the current attempt to `step`.
    @return 0, or ERR_INVALID if `step` is not after the current step. */
int attempt_advance (struct attempt *attempt, enum attempt_step step,
                     uint64_t now_ns);

/** Records that the upstream rejected the current attempt without executing
    the request: the attempt no longer counts towards the verdict. */
void attempt_mark_rejected (struct attempt *attempt);

enum verdict attempt_verdict (const struct attempt *attempt);

/** Whether another attempt is allowed after the current one failed.  A request
    that is not idempotent is retried only while its verdict is not-run. */
bool attempt_may_retry (const struct attempt *attempt);

/** Name of a step for logs. */
const char *attempt_step_name (enum attempt_step step);

#endif
