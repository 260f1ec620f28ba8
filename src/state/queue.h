/**
 * @file queue.h
 * Requests waiting at one instance: per service, per customer, ordered within
 * a customer by class and then by arrival, with deadlines.  Nodes are embedded
 * in the caller's request; only the first request of a customer and growth of
 * the two heaps (by deadline, and of disposable requests by age) allocate.
 * The choice of the next request looks at each customer with requests waiting
 * at the service once, not at the requests.
 */
#ifndef STATE_QUEUE_H
#define STATE_QUEUE_H

#include "state/catalog.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Heaps that a waiting request may stand in. */
enum queue_heap_kind
{
  QUEUE_HEAP_DEADLINE,   /**< every request, the earliest deadline on top */
  QUEUE_HEAP_DISPOSABLE, /**< disposable ones, the youngest on top */
  QUEUE_HEAP_MAX
};

/** Links of one waiting request; owned by the caller. */
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

/** What one customer has waiting at one service. */
struct queue_demand
{
  uint64_t customer_id;
  uint64_t service_id;
  uint32_t waiting;
  uint64_t head_arrival_ns; /**< arrival of the request next in turn */
};

struct queue;

struct queue *queue_new (void);
void queue_free (struct queue *queue);

/** Appends a request. @return 0 or ERR_NO_MEMORY. */
int queue_push (struct queue *queue, struct queue_node *node);

/** Puts a request that failed before it ran back at its customer's head. */
int queue_push_front (struct queue *queue, struct queue_node *node);

/** Removes a request, wherever it stands. */
void queue_remove (struct queue *queue, struct queue_node *node);

/** Position of a customer; the customer with the least one is served next. */
typedef uint64_t (*queue_position_fn) (const void *user, uint64_t customer_id,
                                       uint64_t service_id);

/** The request to serve next at a service: of the customer with the least
    position, its first by class and arrival.  NULL when none waits. */
struct queue_node *queue_next (const struct queue *queue, uint64_t service_id,
                               queue_position_fn position, const void *user);

/** Some request whose deadline is at or before `now_ns`; NULL when none. */
struct queue_node *queue_expired (const struct queue *queue, uint64_t now_ns);

/** The youngest disposable request, to make room; NULL when none. */
struct queue_node *queue_victim (const struct queue *queue);

uint32_t queue_total (const struct queue *queue);
uint32_t queue_waiting_service (const struct queue *queue,
                                uint64_t service_id);
uint32_t queue_waiting_customer (const struct queue *queue,
                                 uint64_t customer_id);
uint32_t queue_waiting_profile (const struct queue *queue,
                                uint64_t profile_id);

/** Writes the demand of every (customer, service) with requests waiting.
    @return number written, at most `capacity`. */
size_t queue_demands (const struct queue *queue, struct queue_demand *out,
                      size_t capacity);

#endif
