/**
 * @file queue.h
 * Queue of requests at one instance, per service and customer, ordered within
 * a customer by class and then by arrival, with deadlines.  Nodes are embedded
 * in the caller's request.  Memory is allocated only for the first request of
 * a customer and when one of the two heaps grows (by deadline, and disposable
 * requests by arrival).  Selecting the next request costs one step for each
 * customer with requests queued for the service, independent of the number of
 * requests.
 */
#ifndef STATE_QUEUE_H
#define STATE_QUEUE_H

#include "state/catalog.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Heaps that index the queued requests. */
enum queue_heap_kind
{
  QUEUE_HEAP_DEADLINE,   /**< all requests, earliest deadline first */
  QUEUE_HEAP_DISPOSABLE, /**< disposable requests, latest arrival first */
  QUEUE_HEAP_MAX
};

/** One queued request; owned by the caller. */
struct queue_node
{
  uint64_t customer_id;
  uint64_t service_id;
  uint64_t profile_id;
  enum catalog_class request_class;
  uint64_t arrival_ns;
  uint64_t deadline_ns;
  struct queue_node *prev;
  struct queue_node *next;
  struct queue_flow *flow;               /**< private */
  uint32_t heap_indices[QUEUE_HEAP_MAX]; /**< private */
  bool queued;
};

/** Queued requests of one customer for one service. */
struct queue_demand
{
  uint64_t customer_id;
  uint64_t service_id;
  uint32_t waiting;
  uint64_t head_arrival_ns; /**< arrival of the customer's next request */
};

struct queue;

struct queue *queue_new (void);
void queue_free (struct queue *queue);

/** Appends a request. @return 0 or ERR_NO_MEMORY. */
int queue_push (struct queue *queue, struct queue_node *node);

/** Requeues a request for a retry, at the head of its customer's requests of
    the same class.  @return 0 or ERR_NO_MEMORY. */
int queue_push_front (struct queue *queue, struct queue_node *node);

/** Removes a request; no effect if it is not queued. */
void queue_remove (struct queue *queue, struct queue_node *node);

/** Returns the position of a customer; the smallest one is served next. */
typedef uint64_t (*queue_position_fn) (const void *user, uint64_t customer_id,
                                       uint64_t service_id);

/** The request to serve next at a service: the first by class and arrival of
    the customer with the smallest position.  NULL if none is queued. */
struct queue_node *queue_next (const struct queue *queue, uint64_t service_id,
                               queue_position_fn position, const void *user);

/** A request whose deadline is at or before `now_ns`; NULL if there is none.
 */
struct queue_node *queue_expired (const struct queue *queue, uint64_t now_ns);

/** The disposable request that arrived last, which is shed when the queue is
    full.  NULL if there is none. */
struct queue_node *queue_newest_disposable (const struct queue *queue);

/** Numbers of requests queued: in total, and for one service, customer or
    profile. */
uint32_t queue_total (const struct queue *queue);
uint32_t queue_waiting_service (const struct queue *queue,
                                uint64_t service_id);
uint32_t queue_waiting_customer (const struct queue *queue,
                                 uint64_t customer_id);
uint32_t queue_waiting_profile (const struct queue *queue,
                                uint64_t profile_id);

/** Writes the demand of each (customer, service) pair with queued requests.
    @return number of entries written, at most `capacity`. */
size_t queue_demands (const struct queue *queue, struct queue_demand *out,
                      size_t capacity);

#endif
