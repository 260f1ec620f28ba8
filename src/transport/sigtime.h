/**
 * @file sigtime.h
 * Records when signals arrive.  A late event loop delays libevent's callbacks
 * of them.  Signals that arrive while a process starts wait for its handlers.
 */
#ifndef TRANSPORT_SIGTIME_H
#define TRANSPORT_SIGTIME_H

#include "transport/clock.h"

/** Holds back SIGTERM, SIGINT and SIGHUP until sigtime_release(). */
void sigtime_hold (void);
/** Delivers those that have arrived; does nothing if none are held back. */
void sigtime_release (void);
/** Records the times of a signal.  Its present handler is still called.
    @param clock  for all signals; async-signal-safe.
    @return 0 or ERR_INVALID. */
int sigtime_watch (int signal_number, const struct clock *clock);
/** @return the time at which the signal arrived last, in nanoseconds; `now_ns`
    if that was not recorded. */
uint64_t sigtime_last_ns (int signal_number, uint64_t now_ns);
/** Stops recording if it uses this clock. */
void sigtime_finish (const struct clock *clock);

#endif
