/**
 * @file attempt.h
 * How far one request got.  The verdict is a function of the furthest step
 * of all its attempts, so a refusal marked not-run is true by construction.
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
  ATTEMPT_SENDING,    /**< first byte handed to the socket */
  ATTEMPT_SENT,       /**< whole request handed to the socket */
  ATTEMPT_RESPONDING, /**< status line received */
  ATTEMPT_DONE,       /**< whole response received */
  ATTEMPT_STEP_MAX
};

/** Attempt record of a request. */
struct attempt
{
  enum attempt_step step;     /**< of the current attempt */
  enum attempt_step furthest; /**< over all attempts */
  enum attempt_step earlier;  /**< over all attempts before the current */
  uint32_t number;            /**< current attempt, from 1; 0 while queued */
  uint32_t attempts_max;
  bool idempotent;
  uint64_t upstream_id; /**< of the current attempt */
  uint64_t step_ns;     /**< monotonic time of the last step */
};

void attempt_init (struct attempt *attempt, bool idempotent,
                   uint32_t attempts_max);

/** Starts the next attempt at an upstream, in step ATTEMPT_LEASED.
    @return 0, or ERR_INVALID when the rules forbid a further attempt. */
int attempt_start (struct attempt *attempt, uint64_t upstream_id,
                   uint64_t now_ns);

/** Moves the current attempt forward.
    @return 0, or ERR_INVALID when `step` is not later than the current. */
int attempt_advance (struct attempt *attempt, enum attempt_step step,
                     uint64_t now_ns);

/** The upstream said that it refused the current attempt before running it:
    the attempt counts as one that handed over nothing. */
void attempt_refused (struct attempt *attempt);

enum verdict attempt_verdict (const struct attempt *attempt);

/** Whether the rules allow another attempt after the current one failed;
    a request that is not idempotent may only while its verdict is not-run. */
bool attempt_may_retry (const struct attempt *attempt);

/** Log name of a step. */
const char *attempt_step_name (enum attempt_step step);

#endif
