/**
 * @file loop.h
 * Event loops with two priorities.  Events of links and of the store go before
 * those of clients and upstreams, so that an overloaded instance still knows
 * the state of the fleet.
 *
 * libevent runs no event of traffic in a round in which one of control was
 * active.  The time for which events of control go first is therefore bounded;
 * beyond it they wait in turn with those of traffic.
 */
#ifndef TRANSPORT_LOOP_H
#define TRANSPORT_LOOP_H

#include "state/time_share.h"
#include "transport/clock.h"
#include "transport/looptime.h"
#include <event2/event.h>
#include <stdbool.h>

/** Share of the time for which events of LOOP_CONTROL go first, in
    thousandths, and the longest time of them at once.  Traffic also goes
    before them when none of it had a turn for that long. */
#define LOOP_CONTROL_SHARE_PERMILLE 500
#define LOOP_CONTROL_BURST_MS       20

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

/** Bounds the priority of the events of control of a loop. */
struct loop_control
{
  const struct clock *clock;
  struct time_share share;
  struct event *turn;    /**< of traffic: runs when that has its turn */
  bool waits;            /**< `turn` does */
  uint64_t waits_ns;     /**< since when no traffic had its turn */
  uint64_t traffic_ns;   /**< time of traffic until then */
  struct looptime *time; /**< counts it as LOOP_WORK_PEERS; may be NULL */
  uint64_t start_ns;     /**< of the callback in progress */
  enum loop_work work;   /**< before it */
};

void loop_control_init (struct loop_control *control,
                        const struct clock *clock, struct looptime *time);
/** To be called before the event loop is freed. */
void loop_control_finish (struct loop_control *control);
/** Begins and ends the callback of an event of control.  While such callbacks
    have taken more than their share, or no traffic had a turn, the event gets
    the priority of traffic for its next turn.
    @param control  NULL: the priority is not bounded. */
void loop_control_begin (struct loop_control *control, struct event *event);
void loop_control_end (struct loop_control *control);

#endif
