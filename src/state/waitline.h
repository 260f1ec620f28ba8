/**
 * @file waitline.h
 * Requests that wait at this instance because no upstream would begin them
 * soon.  Upstreams serve in order of arrival and know no customers, so what
 * order there is to be has to be made here.
 *
 * Next is the customer that has had the least service of late, over the
 * fleet; within it, requests that can still meet their objective go before
 * those that cannot, the most urgent first.  A request that no upstream would
 * take now does not hold up others.  Each leaves at a time of its own when
 * none has taken it.
 */
#ifndef STATE_WAITLINE_H
#define STATE_WAITLINE_H

#include "state/usage_share.h"
#include <stdbool.h>
#include <stdint.h>

#define WAITLINE_TRIES_MAX 24 /**< requests of a customer tried in a pass */

/** One request; zero-initialise, embedded in its owner. */
struct waitline_item
{
  uint64_t customer_id;
  uint32_t priority;     /**< 0 is the highest */
  uint64_t objective_ns; /**< to begin by, for full credit; past: too late */
  uint64_t expiry_ns;    /**< leaves the line then */
  bool waits;            /**< is in a line */
  void *owner;
  struct waitline_item *prev;
  struct waitline_item *next;
};

struct waitline
{
  struct waitline_queue *queues; /**< uthash by customer, private */
  uint32_t count;
  double taken_per_s; /**< requests that upstreams took of late */
  uint64_t taken_ns;  /**< as of */
};

void waitline_init (struct waitline *line);
void waitline_finish (struct waitline *line);

/** @return 0 or ERR_NO_MEMORY. */
int waitline_add (struct waitline *line, struct usage_share *share,
                  struct waitline_item *item);
void waitline_remove (struct waitline *line, struct usage_share *share,
                      struct waitline_item *item);

/** Time until upstreams have taken as many requests as wait now, as fast as
    they took them of late; UINT64_MAX when they took none. */
uint64_t waitline_ahead_ns (struct waitline *line, uint64_t now_ns);

/** Offers waiting requests in their order.
    @param take  true when it has taken the request, which it removes. */
void waitline_pass (struct waitline *line, struct usage_share *share,
                    uint64_t now_ns, bool (*take) (void *user, void *owner),
                    void *user);

/** A request whose time has come to leave; NULL when there is none. */
struct waitline_item *waitline_expired (struct waitline *line,
                                        uint64_t now_ns);

#endif
