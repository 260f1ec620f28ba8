/**
 * @file stage_int.h
 * Shared by the files of the fleet simulator.
 */
#ifndef TESTS_SUPPORT_STAGE_INT_H
#define TESTS_SUPPORT_STAGE_INT_H

#include "support/stage.h"

#define STAGE_NS_PER_MS 1000000ULL /**< nanoseconds */

/** Writes a line to the transcript, with the time in ms. */
void stage_trace (struct stage *sim, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Records a violated invariant; only the first is kept. */
void stage_record_violation (struct stage *sim, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Passes an event to the dispatcher of an instance and performs the resulting
    actions. */
int stage_handle_event (struct stage *sim, uint32_t instance,
                        const struct dispatch_event *event);
/** Notifies the dispatcher of an instance that its slots changed. */
void stage_capacity_changed (struct stage *sim, uint32_t instance);
void stage_end_request (struct stage *sim, struct stage_request *request,
                        enum stage_outcome outcome);
/** Advances the attempts that are due. */
void stage_advance_attempts (struct stage *sim);

#endif
