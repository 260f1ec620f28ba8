/**
 * @file queue_heap.c
 * Binary heaps of queued requests.
 */
#include "state/err.h"
#include "state/queue_int.h"
#include <stdlib.h>

#define HEAP_CAPACITY_MIN 64 /* initial capacity */

typedef bool (*heap_order) (const struct queue_node *a,
                            const struct queue_node *b);

static bool earlier_deadline (const struct queue_node *a,
                              const struct queue_node *b);
static bool later_arrival (const struct queue_node *a,
                           const struct queue_node *b);
static void set_node (struct queue_heap *heap, struct queue_node *node,
                      uint32_t index);
static void sift_up (struct queue_heap *heap, uint32_t index);
static void sift_down (struct queue_heap *heap, uint32_t index);

static const heap_order heap_orders[QUEUE_HEAP_MAX] = {
  [QUEUE_HEAP_DEADLINE] = earlier_deadline,
  [QUEUE_HEAP_DISPOSABLE] = later_arrival,
};

static bool
earlier_deadline (const struct queue_node *a, const struct queue_node *b)
{
  return a->deadline_ns < b->deadline_ns;
}

static bool
later_arrival (const struct queue_node *a, const struct queue_node *b)
{
  return a->arrival_ns > b->arrival_ns;
}

int
queue_heap_reserve (struct queue_heap *heap)
{
  uint32_t capacity;
  struct queue_node **nodes;

  if (heap->count < heap->capacity)
    return 0;
  capacity = heap->capacity == 0 ? HEAP_CAPACITY_MIN : heap->capacity * 2;
  nodes = realloc (heap->nodes, capacity * sizeof (struct queue_node *));
  if (nodes == NULL)
    return ERR_NO_MEMORY;
  heap->nodes = nodes;
  heap->capacity = capacity;
  return 0;
}

static void
set_node (struct queue_heap *heap, struct queue_node *node, uint32_t index)
{
  heap->nodes[index] = node;
  node->heap_indices[heap->kind] = index;
}

static void
sift_up (struct queue_heap *heap, uint32_t index)
{
  heap_order before = heap_orders[heap->kind];
  struct queue_node *node = heap->nodes[index];

  while (index > 0)
    {
      uint32_t parent = (index - 1) / 2;

      if (!before (node, heap->nodes[parent]))
        break;
      set_node (heap, heap->nodes[parent], index);
      index = parent;
    }
  set_node (heap, node, index);
}

static void
sift_down (struct queue_heap *heap, uint32_t index)
{
  heap_order before = heap_orders[heap->kind];
  struct queue_node *node = heap->nodes[index];

  for (;;)
    {
      uint32_t child = 2 * index + 1;

      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && before (heap->nodes[child + 1], heap->nodes[child]))
        child++;
      if (!before (heap->nodes[child], node))
        break;
      set_node (heap, heap->nodes[child], index);
      index = child;
    }
  set_node (heap, node, index);
}

void
queue_heap_add (struct queue_heap *heap, struct queue_node *node)
{
  heap->nodes[heap->count] = node;
  sift_up (heap, heap->count++);
}

void
queue_heap_remove (struct queue_heap *heap, struct queue_node *node)
{
  uint32_t index = node->heap_indices[heap->kind];
  struct queue_node *last = heap->nodes[--heap->count];

  if (last == node)
    return;
  set_node (heap, last, index);
  sift_up (heap, index);
  sift_down (heap, last->heap_indices[heap->kind]);
}
