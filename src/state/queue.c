/**
 * @file queue.c
 * Queued requests.  A flow holds the requests of one customer for one service;
 * a service lists only its flows that are not empty.
 */
#include "state/queue.h"
#include "state/err.h"
#include "state/hash.h"
#include "state/queue_int.h"
#include <stdlib.h>
#include <utlist.h>

struct queue_flow_key
{
  uint64_t customer_id;
  uint64_t service_id;
};

struct queue_flow
{
  struct queue_flow_key key;
  struct queue_service *service;
  struct queue_counter *customer;
  struct queue_node *lists[CATALOG_CLASS_MAX];
  uint32_t waiting;
  struct queue_flow *prev; /* in the service's list of active flows */
  struct queue_flow *next;
  UT_hash_handle hh;
};

struct queue_service
{
  uint64_t id;
  uint32_t waiting;
  struct queue_flow *active;
  UT_hash_handle hh;
};

/* Number of queued requests of one customer or profile. */
struct queue_counter
{
  uint64_t id;
  uint32_t waiting;
  UT_hash_handle hh;
};

struct queue
{
  struct queue_flow *flows;
  struct queue_service *services;
  struct queue_counter *customers;
  struct queue_counter *profiles;
  struct queue_heap heaps[QUEUE_HEAP_MAX];
  uint32_t waiting;
};

/* Order in which the classes of one customer are served. */
static const enum catalog_class class_order[CATALOG_CLASS_MAX]
    = { CATALOG_QUICK, CATALOG_DURABLE, CATALOG_DISPOSABLE };

static struct queue_counter *counter_find (struct queue_counter *table,
                                           uint64_t id);
static struct queue_counter *counter_get (struct queue_counter **table,
                                          uint64_t id);
static void counters_free (struct queue_counter **table);
static struct queue_service *service_get (struct queue *queue, uint64_t id);
static struct queue_flow *flow_get (struct queue *queue,
                                    const struct queue_node *node);
static struct queue_node *flow_head (const struct queue_flow *flow);
static int insert_node (struct queue *queue, struct queue_node *node,
                        bool front);

struct queue *
queue_new (void)
{
  struct queue *queue = calloc (1, sizeof *queue);
  int kind;

  if (queue == NULL)
    return NULL;
  for (kind = 0; kind < QUEUE_HEAP_MAX; kind++)
    queue->heaps[kind].kind = (enum queue_heap_kind)kind;
  return queue;
}

void
queue_free (struct queue *queue)
{
  struct queue_flow *flow;
  struct queue_flow *next_flow;
  struct queue_service *service;
  struct queue_service *next_service;
  int kind;

  if (queue == NULL)
    return;
  flow = queue->flows;
  HASH_CLEAR (hh, queue->flows);
  for (; flow != NULL; flow = next_flow)
    {
      next_flow = flow->hh.next;
      free (flow);
    }
  service = queue->services;
  HASH_CLEAR (hh, queue->services);
  for (; service != NULL; service = next_service)
    {
      next_service = service->hh.next;
      free (service);
    }
  counters_free (&queue->customers);
  counters_free (&queue->profiles);
  for (kind = 0; kind < QUEUE_HEAP_MAX; kind++)
    free (queue->heaps[kind].nodes);
  free (queue);
}

static struct queue_counter *
counter_find (struct queue_counter *table, uint64_t id)
{
  struct queue_counter *counter;

  HASH_FIND (hh, table, &id, sizeof id, counter);
  return counter;
}

static struct queue_counter *
counter_get (struct queue_counter **table, uint64_t id)
{
  struct queue_counter *counter = counter_find (*table, id);

  if (counter != NULL)
    return counter;
  counter = calloc (1, sizeof *counter);
  if (counter == NULL)
    return NULL;
  counter->id = id;
  HASH_ADD (hh, *table, id, sizeof counter->id, counter);
  return counter;
}

static void
counters_free (struct queue_counter **table)
{
  struct queue_counter *counter;
  struct queue_counter *next;

  counter = *table;
  HASH_CLEAR (hh, *table);
  for (; counter != NULL; counter = next)
    {
      next = counter->hh.next;
      free (counter);
    }
}

static struct queue_service *
service_get (struct queue *queue, uint64_t id)
{
  struct queue_service *service;

  HASH_FIND (hh, queue->services, &id, sizeof id, service);
  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  service->id = id;
  HASH_ADD (hh, queue->services, id, sizeof service->id, service);
  return service;
}

static struct queue_flow *
flow_get (struct queue *queue, const struct queue_node *node)
{
  struct queue_flow_key key = { node->customer_id, node->service_id };
  struct queue_service *service = service_get (queue, node->service_id);
  struct queue_counter *customer
      = counter_get (&queue->customers, node->customer_id);
  struct queue_flow *flow;

  if (service == NULL || customer == NULL)
    return NULL;
  HASH_FIND (hh, queue->flows, &key, sizeof key, flow);
  if (flow != NULL)
    return flow;
  flow = calloc (1, sizeof *flow);
  if (flow == NULL)
    return NULL;
  flow->key = key;
  flow->service = service;
  flow->customer = customer;
  HASH_ADD (hh, queue->flows, key, sizeof flow->key, flow);
  return flow;
}

static struct queue_node *
flow_head (const struct queue_flow *flow)
{
  int i;

  for (i = 0; i < CATALOG_CLASS_MAX; i++)
    if (flow->lists[class_order[i]] != NULL)
      return flow->lists[class_order[i]];
  return NULL;
}

static int
insert_node (struct queue *queue, struct queue_node *node, bool front)
{
  struct queue_flow *flow = flow_get (queue, node);
  struct queue_counter *profile
      = counter_get (&queue->profiles, node->profile_id);

  if (flow == NULL || profile == NULL
      || queue_heap_reserve (&queue->heaps[QUEUE_HEAP_DEADLINE]) != 0
      || queue_heap_reserve (&queue->heaps[QUEUE_HEAP_DISPOSABLE]) != 0)
    return ERR_NO_MEMORY;
  if (front)
    DL_PREPEND (flow->lists[node->request_class], node);
  else
    DL_APPEND (flow->lists[node->request_class], node);
  queue_heap_add (&queue->heaps[QUEUE_HEAP_DEADLINE], node);
  if (node->request_class == CATALOG_DISPOSABLE)
    queue_heap_add (&queue->heaps[QUEUE_HEAP_DISPOSABLE], node);
  if (flow->waiting++ == 0)
    DL_APPEND (flow->service->active, flow);
  flow->service->waiting++;
  flow->customer->waiting++;
  profile->waiting++;
  queue->waiting++;
  node->flow = flow;
  node->queued = true;
  return 0;
}

int
queue_push (struct queue *queue, struct queue_node *node)
{
  return insert_node (queue, node, false);
}

int
queue_push_front (struct queue *queue, struct queue_node *node)
{
  return insert_node (queue, node, true);
}

void
queue_remove (struct queue *queue, struct queue_node *node)
{
  struct queue_flow *flow = node->flow;

  if (!node->queued)
    return;
  DL_DELETE (flow->lists[node->request_class], node);
  queue_heap_remove (&queue->heaps[QUEUE_HEAP_DEADLINE], node);
  if (node->request_class == CATALOG_DISPOSABLE)
    queue_heap_remove (&queue->heaps[QUEUE_HEAP_DISPOSABLE], node);
  if (--flow->waiting == 0)
    DL_DELETE (flow->service->active, flow);
  flow->service->waiting--;
  flow->customer->waiting--;
  counter_find (queue->profiles, node->profile_id)->waiting--;
  queue->waiting--;
  node->flow = NULL;
  node->queued = false;
}

struct queue_node *
queue_next (const struct queue *queue, uint64_t service_id,
            queue_position_fn position, const void *user)
{
  const struct queue_service *service;
  const struct queue_flow *best = NULL;
  struct queue_flow *flow;
  uint64_t best_position = 0;

  HASH_FIND (hh, queue->services, &service_id, sizeof service_id, service);
  if (service == NULL)
    return NULL;
  for (flow = service->active; flow != NULL; flow = flow->next)
    {
      uint64_t flow_position
          = position (user, flow->key.customer_id, service_id);

      if (best == NULL || flow_position < best_position
          || (flow_position == best_position
              && flow_head (flow)->arrival_ns < flow_head (best)->arrival_ns))
        {
          best = flow;
          best_position = flow_position;
        }
    }
  return best == NULL ? NULL : flow_head (best);
}

struct queue_node *
queue_expired (const struct queue *queue, uint64_t now_ns)
{
  const struct queue_heap *heap = &queue->heaps[QUEUE_HEAP_DEADLINE];

  if (heap->count == 0 || heap->nodes[0]->deadline_ns > now_ns)
    return NULL;
  return heap->nodes[0];
}

struct queue_node *
queue_newest_disposable (const struct queue *queue)
{
  const struct queue_heap *heap = &queue->heaps[QUEUE_HEAP_DISPOSABLE];

  return heap->count == 0 ? NULL : heap->nodes[0];
}

uint32_t
queue_total (const struct queue *queue)
{
  return queue->waiting;
}

uint32_t
queue_waiting_service (const struct queue *queue, uint64_t service_id)
{
  const struct queue_service *service;

  HASH_FIND (hh, queue->services, &service_id, sizeof service_id, service);
  return service == NULL ? 0 : service->waiting;
}

uint32_t
queue_waiting_customer (const struct queue *queue, uint64_t customer_id)
{
  const struct queue_counter *counter
      = counter_find (queue->customers, customer_id);

  return counter == NULL ? 0 : counter->waiting;
}

uint32_t
queue_waiting_profile (const struct queue *queue, uint64_t profile_id)
{
  const struct queue_counter *counter
      = counter_find (queue->profiles, profile_id);

  return counter == NULL ? 0 : counter->waiting;
}

size_t
queue_demands (const struct queue *queue, struct queue_demand *out,
               size_t capacity)
{
  const struct queue_service *service;
  const struct queue_flow *flow;
  size_t count = 0;

  for (service = queue->services; service != NULL; service = service->hh.next)
    for (flow = service->active; flow != NULL; flow = flow->next)
      {
        if (count == capacity)
          return count;
        out[count].customer_id = flow->key.customer_id;
        out[count].service_id = flow->key.service_id;
        out[count].waiting = flow->waiting;
        out[count].head_arrival_ns = flow_head (flow)->arrival_ns;
        count++;
      }
  return count;
}
