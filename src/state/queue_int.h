/**
 * @file queue_int.h
 * Binary heaps of queued requests.  Each node stores its index in each heap,
 * so that it can be removed from the middle.
 */
#ifndef STATE_QUEUE_INT_H
#define STATE_QUEUE_INT_H

#include "state/queue.h"

struct queue_heap
{
  enum queue_heap_kind kind;
  struct queue_node **nodes;
  uint32_t count;
  uint32_t capacity;
};

/** Reserves capacity for one more node. @return 0 or ERR_NO_MEMORY. */
int queue_heap_reserve (struct queue_heap *heap);

/** Adds a node; requires a preceding queue_heap_reserve(). */
void queue_heap_add (struct queue_heap *heap, struct queue_node *node);

void queue_heap_remove (struct queue_heap *heap, struct queue_node *node);

#endif
