/**
 * @file looptime.h
 * Divides the time of an event loop among kinds of work.  Each moment counts
 * for the innermost one that is being done.
 */
#ifndef TRANSPORT_LOOPTIME_H
#define TRANSPORT_LOOPTIME_H

#include "transport/clock.h"
#include <stdint.h>

enum loop_work
{
  LOOP_WORK_OTHER,     /**< system calls of the event loop, waiting */
  LOOP_WORK_TURN_AWAY, /**< refusing connections unread */
  LOOP_WORK_ACCEPT,    /**< setting up connections */
  LOOP_WORK_CLOSE,     /**< clients that left */
  LOOP_WORK_PARSE,     /**< parsing requests */
  LOOP_WORK_REQUEST,   /**< validating requests, refusing them on arrival */
  LOOP_WORK_DISPATCH,  /**< passes over the wait queue */
  LOOP_WORK_SEND,      /**< starting attempts */
  LOOP_WORK_RESPONSE,  /**< forwarding responses */
  LOOP_WORK_PEERS,     /**< load reports, links, housekeeping */
  LOOP_WORK_MAX
};

/** Zero-initialise, then set the clock. */
struct looptime
{
  const struct clock *clock;
  enum loop_work work;
  uint64_t since_ns; /**< start of `work`; 0: not started */
  uint64_t total_ns[LOOP_WORK_MAX];
};

/** Begins a kind of work.
    @return the one before, which the caller begins again afterwards. */
enum loop_work looptime_begin (struct looptime *time, enum loop_work work);

/** Name of a kind of work, as in the log. */
const char *looptime_name (enum loop_work work);

/** @return the time of all kinds of work for clients and upstreams. */
uint64_t looptime_traffic_ns (const struct looptime *time);

#endif
