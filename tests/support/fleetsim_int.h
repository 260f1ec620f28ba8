/**
 * @file fleetsim_int.h
 * Shared by the files of the fleet simulator.
 */
#ifndef TESTS_SUPPORT_FLEETSIM_INT_H
#define TESTS_SUPPORT_FLEETSIM_INT_H

#include "support/fleetsim.h"

#define FLEETSIM_NS_PER_MS 1000000ULL /**< nanoseconds */

/** Writes a line to the transcript, with the time in ms. */
void fleetsim_trace (struct fleetsim *sim, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Records a violated invariant; only the first is kept. */
void fleetsim_record_violation (struct fleetsim *sim, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Passes an event to the dispatcher of an instance and performs the resulting
    actions. */
int fleetsim_handle_event (struct fleetsim *sim, uint32_t instance,
                           const struct dispatch_event *event);
/** Notifies the dispatcher of an instance that its slots changed. */
void fleetsim_capacity_changed (struct fleetsim *sim, uint32_t instance);
void fleetsim_end_request (struct fleetsim *sim,
                           struct fleetsim_request *request,
                           enum fleetsim_outcome outcome);
/** Advances the attempts that are due. */
void fleetsim_advance_attempts (struct fleetsim *sim);

#endif
