/**
 * @file loop.h
 * Event loops with two priorities.  Events of links and of the store go before
 * those of clients and upstreams, so that an overloaded instance still knows
 * the state of the fleet.
 */
#ifndef TRANSPORT_LOOP_H
#define TRANSPORT_LOOP_H

#include <event2/event.h>

enum loop_priority
{
  LOOP_CONTROL, /**< links to peers, calls to the store, ticks, signals */
  LOOP_TRAFFIC, /**< clients and upstreams; the default of new events */
  LOOP_PRIORITY_MAX
};

/** @return an event loop that looks for events of LOOP_CONTROL again within
    10 ms and one callback of traffic; NULL if out of memory. */
struct event_base *loop_new (void);

/** Gives an event that is not active LOOP_CONTROL; on a loop without
    priorities it has no effect. */
void loop_set_control (struct event *event);

#endif
