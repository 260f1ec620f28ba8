/**
 * @file wait_queue.h
 * Requests that wait at this instance because no upstream would start them
 * soon.  Upstreams serve requests in order of arrival and do not distinguish
 * customers, so ordering and fairness have to be enforced here.
 *
 * The customer with the least recent usage over the fleet is served next.
 * Its requests are ordered by priority and then by objective, and are offered
 * from the first one that can still meet its objective.  Late requests before
 * that one are skipped while such a request is queued.  A request that no
 * upstream can take now does not block others.  A customer with more waiting
 * requests than may be held back in a call has its newest ones offered first:
 * in order of their objectives, each would be sent when it is nearly late, and
 * few in time.  A request that was not dispatched by its own expiry time
 * leaves the queue.
 */
#ifndef STATE_WAIT_QUEUE_H
#define STATE_WAIT_QUEUE_H

#include "state/usage_share.h"
#include <stdbool.h>
#include <stdint.h>

/** Limit of requests held back, per customer and call of wait_queue_offer():
    further requests of the customer are left for the next call. */
#define WAIT_QUEUE_REJECTED_MAX 24

/** What became of a request that was offered. */
enum wait_queue_answer
{
  WAIT_QUEUE_TAKEN, /**< dispatched, and removed from the queue */
  WAIT_QUEUE_HELD,  /**< no upstream can take it now */
  WAIT_QUEUE_STOP   /**< not tried; the call ends */
};

/** One request; zero-initialise, embedded in its owner. */
struct wait_queue_item
{
  uint64_t customer_id;
  uint32_t priority; /**< 0 is the highest */
  uint64_t arrival_ns;
  uint64_t objective_ns; /**< latest start that meets the objective */
  uint64_t expiry_ns;    /**< leaves the queue then */
  bool queued;           /**< is in a queue */
  uint64_t pass; /**< call of wait_queue_offer() that last offered it */
  void *owner;
  struct wait_queue_item *prev;
  struct wait_queue_item *next;
};

struct wait_queue
{
  struct wait_queue_customer *customers; /**< uthash by customer, private */
  uint32_t count;
  uint64_t pass;            /**< calls of wait_queue_offer() so far */
  double dispatched_per_s;  /**< recent rate of dispatched requests */
  uint64_t rate_updated_ns; /**< time of the last update of the rate */
};

void wait_queue_init (struct wait_queue *queue);
void wait_queue_finish (struct wait_queue *queue);

/** @return 0 or ERR_NO_MEMORY. */
int wait_queue_add (struct wait_queue *queue, struct usage_share *share,
                    struct wait_queue_item *item);
void wait_queue_remove (struct wait_queue *queue, struct usage_share *share,
                        struct wait_queue_item *item);

/** Whether a new request may be offered before it is queued, as the next pass
    would offer it first: many requests of its customer wait, none of a higher
    priority, and no other waiting customer has less usage. */
bool wait_queue_is_next (const struct wait_queue *queue,
                         struct usage_share *share,
                         const struct wait_queue_item *item, uint64_t now_ns);

/** Estimated time to dispatch all waiting requests at the recent rate; 0
    without any, UINT64_MAX when the rate is too low for an estimate. */
uint64_t wait_queue_drain_ns (struct wait_queue *queue, uint64_t now_ns);

/** Offers the waiting requests in order.
    @param take  is called for each; it has removed those that it took. */
void wait_queue_offer (
    struct wait_queue *queue, struct usage_share *share, uint64_t now_ns,
    enum wait_queue_answer (*take) (void *user, void *owner), void *user);

/** Calls `expire` for each request whose expiry time has passed.  It removes
    the request and returns true, or returns false to end the pass. */
void wait_queue_expire (struct wait_queue *queue, uint64_t now_ns,
                        bool (*expire) (void *user, void *owner), void *user);

#endif
