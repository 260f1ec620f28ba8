/**
 * @file outlier.h
 * Finds upstreams that fail what they are sent though they look healthy, from
 * what attempts show.  An upstream that failed several attempts in a row, or
 * a third of its recent ones, is avoided for a while that grows with each
 * relapse; then one attempt at a time probes it.
 */
#ifndef STATE_OUTLIER_H
#define STATE_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#define OUTLIER_AVOID_MIN_MS                                                  \
  500 /**< first avoidance; two lost round trips                              \
       */
#define OUTLIER_AVOID_MAX_MS                                                  \
  8000                     /**< an upstream is tried this often at least */
#define OUTLIER_FAILURES 3 /**< in a row; fewer may be chance */
#define OUTLIER_WINDOW_MASK                                                   \
  0xffffU /**< the last sixteen attempts; older ones tell little of now */
#define OUTLIER_WINDOW_FAILURES                                               \
  6 /**< of these sixteen; one that is well fails fewer than one in ten */

/** Zero-initialise. */
struct outlier
{
  uint32_t failures;     /**< in a row */
  uint32_t recent;       /**< a bit for each attempt, newest lowest; failed */
  uint32_t avoid_ms;     /**< length of the last avoidance; 0: none */
  uint64_t avoid_end_ns; /**< avoided until then; 0: not */
  bool probing;          /**< an attempt is finding out */
};

void outlier_success (struct outlier *outlier);
/** @param hard  the upstream could not be reached at all, which one attempt
                 proves. */
void outlier_failure (struct outlier *outlier, bool hard, uint64_t now_ns);
/** True while others are to be preferred. */
bool outlier_avoided (const struct outlier *outlier, uint64_t now_ns);
/** An attempt starts: the first after an avoidance is a probe. */
void outlier_attempt (struct outlier *outlier, uint64_t now_ns);

#endif
