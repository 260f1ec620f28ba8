/**
 * @file outlier.h
 * Passive outlier detection: finds upstreams that fail requests although they
 * appear healthy, from the results of attempts.  An upstream that failed
 * several attempts in a row, or a third of its recent ones, is ejected for a
 * time that doubles with each further ejection; then single attempts probe it.
 */
#ifndef STATE_OUTLIER_H
#define STATE_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#define OUTLIER_EJECTION_MIN_MS                                               \
  500 /**< first ejection: the time of two lost round trips */
#define OUTLIER_EJECTION_MAX_MS                                               \
  8000 /**< longest ejection: a failing upstream is still probed this often   \
        */
#define OUTLIER_CONSECUTIVE_FAILURES                                          \
  3 /**< consecutive failures that eject an upstream; fewer may be chance */
#define OUTLIER_WINDOW_MASK                                                   \
  0xffffU /**< the last 16 attempts; older ones say little of the present */
#define OUTLIER_WINDOW_FAILURES                                               \
  6 /**< failures in the window that eject an upstream; a healthy one fails   \
       less than one in ten attempts */

/** Zero-initialise. */
struct outlier
{
  uint32_t failures;    /**< consecutive */
  uint32_t history;     /**< one bit per attempt, 1: failed; newest in bit 0 */
  uint32_t ejection_ms; /**< length of the last ejection; 0: none */
  uint64_t ejection_end_ns; /**< ejected until then; 0: not ejected */
  bool probing;             /**< a probing attempt is in progress */
  uint64_t success_ns;      /**< time of the last success; 0: none */
};

void outlier_success (struct outlier *outlier, uint64_t now_ns);
/** @param hard  the upstream could not be reached at all: it is ejected after
                 this single failure. */
void outlier_failure (struct outlier *outlier, bool hard, uint64_t now_ns);
/** True while ejected or being probed: other upstreams are preferred. */
bool outlier_ejected (const struct outlier *outlier, uint64_t now_ns);
/** Records the start of an attempt; the first after an ejection is a probe. */
void outlier_attempt_started (struct outlier *outlier, uint64_t now_ns);

#endif
