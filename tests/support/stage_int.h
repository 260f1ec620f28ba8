/**
 * @file stage_int.h
 * Shared by the files of the test stage.
 */
#ifndef TESTS_SUPPORT_STAGE_INT_H
#define TESTS_SUPPORT_STAGE_INT_H

#include "support/stage.h"

#define STAGE_NS_PER_MS 1000000ULL /**< nanoseconds */

/** Writes a line of the transcript, with the time in ms. */
void stage_note (struct stage *stage, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Records the first broken invariant. */
void stage_violation (struct stage *stage, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Feeds an event to an instance and performs the actions. */
int stage_handle (struct stage *stage, uint32_t instance,
                  const struct dispatch_event *event);
/** Tells an instance's dispatcher that its slots changed. */
void stage_capacity (struct stage *stage, uint32_t instance);
void stage_end (struct stage *stage, struct stage_request *request,
                enum stage_outcome outcome);
/** Advances the attempts that are due. */
void stage_run_attempts (struct stage *stage);

#endif
