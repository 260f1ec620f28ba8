/**
 * @file looplag.h
 * Measures how long a ready event of traffic waits for its turn in an event
 * loop: an event that is made active runs after those that were ready before
 * it.
 */
#ifndef TRANSPORT_LOOPLAG_H
#define TRANSPORT_LOOPLAG_H

#include "transport/clock.h"
#include <event2/event.h>
#include <stdint.h>

struct looplag
{
  const struct clock *clock;
  struct event *probe;
  uint64_t since_ns; /**< start of the measurement in progress; 0: none */
  uint64_t last_ns;  /**< result of the last one */
  /** Called with each result. */
  void (*measured) (void *user, uint64_t lag_ns);
  void *user;
};

/** @return 0 or ERR_NO_MEMORY. */
int looplag_init (struct looplag *lag, struct event_base *base,
                  const struct clock *clock,
                  void (*measured) (void *user, uint64_t lag_ns), void *user);
void looplag_finish (struct looplag *lag);

/** Starts a measurement unless one is in progress.
    @param since_ns  from when on the loop is known to be late, or now. */
void looplag_start (struct looplag *lag, uint64_t since_ns);

/** How long the measurement in progress has taken; 0 if there is none. */
uint64_t looplag_pending_ns (const struct looplag *lag);
/** The lag as far as it is known now: the last result, or the measurement in
    progress if that has taken longer. */
uint64_t looplag_ns (const struct looplag *lag);

#endif
