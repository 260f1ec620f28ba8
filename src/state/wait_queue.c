/**
 * @file wait_queue.c
 * Queue of requests that wait for an upstream, ordered by customer usage.
 */
#include "state/wait_queue.h"
#include "state/err.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define NS_PER_MS          1000000.0 /* nanoseconds */
#define DISPATCH_WINDOW_MS 1000.0    /* averaging time of the dispatch rate */
#define DISPATCH_MIN_PER_S 0.1       /* a lower rate is too uncertain to use */

struct waitline_queue
{
  uint64_t customer_id;
  struct waitline_item *items;  /* by priority, then by objective */
  uint64_t usage_tokens;        /* recent tokens of the customer */
  uint32_t rejected;            /* offers not taken in this pass */
  struct waitline_item *cursor; /* next to offer in this pass */
  UT_hash_handle hh;
};

static struct waitline_queue *find_queue (const struct waitline *line,
                                          uint64_t customer_id);
static int compare_items (const struct waitline_item *a,
                          const struct waitline_item *b);
static void decay_rate (struct waitline *line, uint64_t now_ns);
static struct waitline_queue *least_served_queue (const struct waitline *line);
static struct waitline_item *first_timely (struct waitline_queue *queue,
                                           uint64_t now_ns);

void
waitline_init (struct waitline *line)
{
  memset (line, 0, sizeof *line);
}

void
waitline_finish (struct waitline *line)
{
  struct waitline_queue *queue;
  struct waitline_queue *next;

  queue = line->queues;
  HASH_CLEAR (hh, line->queues);
  for (; queue != NULL; queue = next)
    {
      next = queue->hh.next;
      free (queue);
    }
}

static struct waitline_queue *
find_queue (const struct waitline *line, uint64_t customer_id)
{
  struct waitline_queue *queue;

  HASH_FIND (hh, line->queues, &customer_id, sizeof customer_id, queue);
  return queue;
}

static int
compare_items (const struct waitline_item *a, const struct waitline_item *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->objective_ns != b->objective_ns)
    return a->objective_ns < b->objective_ns ? -1 : 1;
  return 0;
}

int
waitline_add (struct waitline *line, struct usage_share *share,
              struct waitline_item *item)
{
  struct usage_customer *customer
      = usage_share_customer (share, item->customer_id);
  struct waitline_queue *queue = find_queue (line, item->customer_id);

  if (customer == NULL)
    return ERR_NO_MEMORY;
  if (queue == NULL)
    {
      queue = calloc (1, sizeof *queue);
      if (queue == NULL)
        return ERR_NO_MEMORY;
      queue->customer_id = item->customer_id;
      HASH_ADD (hh, line->queues, customer_id, sizeof queue->customer_id,
                queue);
    }
  DL_INSERT_INORDER (queue->items, item, compare_items);
  item->waits = true;
  customer->waiting++;
  line->count++;
  return 0;
}

void
waitline_remove (struct waitline *line, struct usage_share *share,
                 struct waitline_item *item)
{
  struct waitline_queue *queue = find_queue (line, item->customer_id);

  if (!item->waits)
    return;
  if (queue->cursor == item)
    queue->cursor = item->next;
  DL_DELETE (queue->items, item);
  item->waits = false;
  usage_share_customer (share, item->customer_id)->waiting--;
  line->count--;
  if (queue->items != NULL)
    return;
  HASH_DEL (line->queues, queue);
  free (queue);
}

void
waitline_pass (struct waitline *line, struct usage_share *share,
               uint64_t now_ns, bool (*take) (void *user, void *owner),
               void *user)
{
  struct waitline_queue *queue;
  struct waitline_item *item;
  uint64_t customer_id;

  for (queue = line->queues; queue != NULL; queue = queue->hh.next)
    {
      queue->usage_tokens
          = usage_share_used (share, queue->customer_id, now_ns);
      queue->rejected = 0;
      queue->cursor = first_timely (queue, now_ns);
    }
  while ((queue = least_served_queue (line)) != NULL)
    {
      item = queue->cursor;
      queue->cursor = item->next;
      customer_id = queue->customer_id;
      if (!take (user, item->owner))
        {
          queue->rejected++;
          continue;
        }
      decay_rate (line, now_ns);
      line->dispatched_per_s += 1000.0 / DISPATCH_WINDOW_MS;
      /* The queue is freed together with its last request. */
      queue = find_queue (line, customer_id);
      if (queue == NULL)
        continue;
      queue->usage_tokens = usage_share_used (share, customer_id, now_ns);
      if (queue->cursor == NULL)
        queue->cursor = first_timely (queue, now_ns);
    }
}

static void
decay_rate (struct waitline *line, uint64_t now_ns)
{
  if (now_ns <= line->rate_updated_ns)
    return;
  line->dispatched_per_s *= exp (-(double)(now_ns - line->rate_updated_ns)
                                 / (DISPATCH_WINDOW_MS * NS_PER_MS));
  line->rate_updated_ns = now_ns;
}

uint64_t
waitline_ahead_ns (struct waitline *line, uint64_t now_ns)
{
  decay_rate (line, now_ns);
  if (line->dispatched_per_s < DISPATCH_MIN_PER_S)
    return line->count == 0 ? 0 : UINT64_MAX;
  return (uint64_t)(line->count / line->dispatched_per_s * 1000.0 * NS_PER_MS);
}

/* The first request that can still meet its objective: late ones sort before
   it, but are offered after it. */
static struct waitline_item *
first_timely (struct waitline_queue *queue, uint64_t now_ns)
{
  struct waitline_item *item;

  DL_FOREACH (queue->items, item)
    if (item->objective_ns >= now_ns)
      return item;
  return queue->items;
}

static struct waitline_queue *
least_served_queue (const struct waitline *line)
{
  struct waitline_queue *best = NULL;
  struct waitline_queue *queue;

  for (queue = line->queues; queue != NULL; queue = queue->hh.next)
    if (queue->cursor != NULL && queue->rejected < WAITLINE_REJECTED_MAX
        && (best == NULL || queue->usage_tokens < best->usage_tokens))
      best = queue;
  return best;
}

struct waitline_item *
waitline_expired (struct waitline *line, uint64_t now_ns)
{
  struct waitline_queue *queue;
  struct waitline_item *item;

  for (queue = line->queues; queue != NULL; queue = queue->hh.next)
    DL_FOREACH (queue->items, item)
      if (item->expiry_ns <= now_ns)
        return item;
  return NULL;
}
