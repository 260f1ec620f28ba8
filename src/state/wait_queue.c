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

struct wait_queue_customer
{
  uint64_t customer_id;
  struct wait_queue_item *items;  /* by priority, then by objective */
  uint64_t usage_tokens;          /* recent tokens of the customer */
  uint32_t rejected;              /* offers not taken in this call */
  struct wait_queue_item *cursor; /* next to offer in this call */
  uint32_t count;                 /* of items */
  /* With a longer queue, those to offer in this call in place of `cursor`,
     newest first; NULL for a request that has left. */
  struct wait_queue_item *newest[WAIT_QUEUE_REJECTED_MAX];
  uint32_t newest_count;
  uint32_t newest_next;
  UT_hash_handle hh;
};

static struct wait_queue_customer *
find_customer (const struct wait_queue *queue, uint64_t customer_id);
static int compare_items (const struct wait_queue_item *a,
                          const struct wait_queue_item *b);
static void decay_rate (struct wait_queue *queue, uint64_t now_ns);
static struct wait_queue_customer *
least_served_customer (const struct wait_queue *queue);
static struct wait_queue_item *
first_timely (struct wait_queue_customer *customer, uint64_t now_ns);
static void select_newest (struct wait_queue_customer *customer,
                           uint64_t pass);
static void advance_cursor (struct wait_queue_customer *customer,
                            const struct wait_queue_item *item, uint64_t pass);
static struct wait_queue_item *
next_newest (struct wait_queue_customer *customer);

void
wait_queue_init (struct wait_queue *queue)
{
  memset (queue, 0, sizeof *queue);
}

void
wait_queue_finish (struct wait_queue *queue)
{
  struct wait_queue_customer *customer;
  struct wait_queue_customer *next;

  customer = queue->customers;
  HASH_CLEAR (hh, queue->customers);
  for (; customer != NULL; customer = next)
    {
      next = customer->hh.next;
      free (customer);
    }
}

static struct wait_queue_customer *
find_customer (const struct wait_queue *queue, uint64_t customer_id)
{
  struct wait_queue_customer *customer;

  HASH_FIND (hh, queue->customers, &customer_id, sizeof customer_id, customer);
  return customer;
}

static int
compare_items (const struct wait_queue_item *a,
               const struct wait_queue_item *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->objective_ns != b->objective_ns)
    return a->objective_ns < b->objective_ns ? -1 : 1;
  return 0;
}

int
wait_queue_add (struct wait_queue *queue, struct usage_share *share,
                struct wait_queue_item *item)
{
  struct usage_share_entry *usage
      = usage_share_customer (share, item->customer_id);
  struct wait_queue_customer *customer
      = find_customer (queue, item->customer_id);

  if (usage == NULL)
    return ERR_NO_MEMORY;
  if (customer == NULL)
    {
      customer = calloc (1, sizeof *customer);
      if (customer == NULL)
        return ERR_NO_MEMORY;
      customer->customer_id = item->customer_id;
      HASH_ADD (hh, queue->customers, customer_id,
                sizeof customer->customer_id, customer);
    }
  DL_INSERT_INORDER (customer->items, item, compare_items);
  item->queued = true;
  customer->count++;
  usage->waiting++;
  queue->count++;
  return 0;
}

void
wait_queue_remove (struct wait_queue *queue, struct usage_share *share,
                   struct wait_queue_item *item)
{
  struct wait_queue_customer *customer
      = find_customer (queue, item->customer_id);
  uint32_t i;

  if (!item->queued)
    return;
  if (customer->cursor == item)
    customer->cursor
        = customer->newest_count > 0 ? next_newest (customer) : item->next;
  for (i = 0; i < customer->newest_count; i++)
    if (customer->newest[i] == item)
      customer->newest[i] = NULL;
  customer->count--;
  DL_DELETE (customer->items, item);
  item->queued = false;
  usage_share_customer (share, item->customer_id)->waiting--;
  queue->count--;
  if (customer->items != NULL)
    return;
  HASH_DEL (queue->customers, customer);
  free (customer);
}

bool
wait_queue_is_next (const struct wait_queue *queue, struct usage_share *share,
                    const struct wait_queue_item *item, uint64_t now_ns)
{
  const struct wait_queue_customer *own
      = find_customer (queue, item->customer_id);
  const struct wait_queue_customer *customer;
  uint64_t usage;

  if (own == NULL || own->count < WAIT_QUEUE_REJECTED_MAX
      || own->items->priority < item->priority)
    return false;
  usage = usage_share_total (share, item->customer_id, now_ns);
  for (customer = queue->customers; customer != NULL;
       customer = customer->hh.next)
    if (customer != own
        && usage_share_total (share, customer->customer_id, now_ns) < usage)
      return false;
  return true;
}

void
wait_queue_offer (struct wait_queue *queue, struct usage_share *share,
                  uint64_t now_ns,
                  enum wait_queue_answer (*take) (void *user, void *owner),
                  void *user)
{
  struct wait_queue_customer *customer;
  struct wait_queue_item *item;
  enum wait_queue_answer answer;
  uint64_t customer_id;

  queue->pass++;
  for (customer = queue->customers; customer != NULL;
       customer = customer->hh.next)
    {
      customer->usage_tokens
          = usage_share_total (share, customer->customer_id, now_ns);
      customer->rejected = 0;
      customer->newest_count = 0;
      customer->cursor = first_timely (customer, now_ns);
      if (customer->count > WAIT_QUEUE_REJECTED_MAX)
        select_newest (customer, queue->pass);
    }
  while ((customer = least_served_customer (queue)) != NULL)
    {
      item = customer->cursor;
      item->pass = queue->pass;
      advance_cursor (customer, item, queue->pass);
      customer_id = customer->customer_id;
      answer = take (user, item->owner);
      if (answer == WAIT_QUEUE_STOP)
        return;
      if (answer == WAIT_QUEUE_HELD)
        {
          customer->rejected++;
          continue;
        }
      decay_rate (queue, now_ns);
      queue->dispatched_per_s += 1000.0 / DISPATCH_WINDOW_MS;
      /* The customer's entry is freed with its last request. */
      customer = find_customer (queue, customer_id);
      if (customer == NULL)
        continue;
      customer->usage_tokens = usage_share_total (share, customer_id, now_ns);
      if (customer->cursor == NULL && customer->newest_count == 0)
        customer->cursor = first_timely (customer, now_ns);
    }
}

static void
advance_cursor (struct wait_queue_customer *customer,
                const struct wait_queue_item *item, uint64_t pass)
{
  if (customer->newest_count == 0)
    {
      customer->cursor = item->next;
      return;
    }
  customer->cursor = next_newest (customer);
  if (customer->cursor == NULL
      && customer->newest_count == WAIT_QUEUE_REJECTED_MAX)
    select_newest (customer, pass);
}

/* Selects the newest requests that this pass has not offered, of the highest
   priority that has any. */
static void
select_newest (struct wait_queue_customer *customer, uint64_t pass)
{
  struct wait_queue_item *item;
  uint32_t i;

  customer->newest_count = 0;
  for (item = customer->items; item != NULL; item = item->next)
    {
      if (item->pass == pass)
        continue;
      if (customer->newest_count > 0
          && item->priority != customer->newest[0]->priority)
        break;
      if (customer->newest_count == WAIT_QUEUE_REJECTED_MAX
          && customer->newest[WAIT_QUEUE_REJECTED_MAX - 1]->arrival_ns
                 >= item->arrival_ns)
        continue;
      if (customer->newest_count < WAIT_QUEUE_REJECTED_MAX)
        customer->newest_count++;
      for (i = customer->newest_count - 1;
           i > 0 && customer->newest[i - 1]->arrival_ns < item->arrival_ns;
           i--)
        customer->newest[i] = customer->newest[i - 1];
      customer->newest[i] = item;
    }
  customer->newest_next = 0;
  customer->cursor = next_newest (customer);
}

static struct wait_queue_item *
next_newest (struct wait_queue_customer *customer)
{
  while (customer->newest_next < customer->newest_count)
    if (customer->newest[customer->newest_next++] != NULL)
      return customer->newest[customer->newest_next - 1];
  return NULL;
}

static void
decay_rate (struct wait_queue *queue, uint64_t now_ns)
{
  if (now_ns <= queue->rate_updated_ns)
    return;
  queue->dispatched_per_s *= exp (-(double)(now_ns - queue->rate_updated_ns)
                                  / (DISPATCH_WINDOW_MS * NS_PER_MS));
  queue->rate_updated_ns = now_ns;
}

uint64_t
wait_queue_drain_ns (struct wait_queue *queue, uint64_t now_ns)
{
  decay_rate (queue, now_ns);
  if (queue->dispatched_per_s < DISPATCH_MIN_PER_S)
    return queue->count == 0 ? 0 : UINT64_MAX;
  return (uint64_t)(queue->count / queue->dispatched_per_s * 1000.0
                    * NS_PER_MS);
}

/* The first request that can still meet its objective; the first of all if
   none can.  Late requests that sort before it are skipped while such a
   request is queued. */
static struct wait_queue_item *
first_timely (struct wait_queue_customer *customer, uint64_t now_ns)
{
  struct wait_queue_item *item;

  DL_FOREACH (customer->items, item)
    if (item->objective_ns >= now_ns)
      return item;
  return customer->items;
}

static struct wait_queue_customer *
least_served_customer (const struct wait_queue *queue)
{
  struct wait_queue_customer *best = NULL;
  struct wait_queue_customer *customer;

  for (customer = queue->customers; customer != NULL;
       customer = customer->hh.next)
    if (customer->cursor != NULL
        && customer->rejected < WAIT_QUEUE_REJECTED_MAX
        && (best == NULL || customer->usage_tokens < best->usage_tokens))
      best = customer;
  return best;
}

void
wait_queue_expire (struct wait_queue *queue, uint64_t now_ns,
                   bool (*expire) (void *user, void *owner), void *user)
{
  struct wait_queue_customer *customer;
  struct wait_queue_customer *next_customer;
  struct wait_queue_item *item;
  struct wait_queue_item *next;

  for (customer = queue->customers; customer != NULL; customer = next_customer)
    {
      /* The customer's entry is freed with its last request. */
      next_customer = customer->hh.next;
      DL_FOREACH_SAFE (customer->items, item, next)
        if (item->expiry_ns <= now_ns && !expire (user, item->owner))
          return;
    }
}
