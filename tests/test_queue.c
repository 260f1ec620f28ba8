/**
 * @file test_queue.c
 * Compares the queue with a linear scan over all requests: selection of the
 * next request, expiry, the request to shed, and counts.
 */
#include "state/queue.h"
#include "state/rng.h"
#include "support/suite.h"
#include <string.h>

#define NODES      400
#define STEPS      20000
#define CUSTOMERS  7
#define SERVICES   2
#define SEED       7
#define TIME_LIMIT 1000

struct model
{
  struct queue_node nodes[NODES];
  uint64_t positions[CUSTOMERS];
  struct rng rng;
};

static uint64_t position (const void *user, uint64_t customer_id,
                          uint64_t service_id);
static void node_init (struct queue_node *node, uint64_t customer,
                       enum catalog_class class, uint64_t arrival_ns);
static void push_random_node (struct queue *queue, struct model *model,
                              struct queue_node *node);
static void check_next (struct queue *queue, const struct model *model,
                        uint64_t service);
static void check_expiry_order (struct queue *queue);
static void check_counts (struct queue *queue, const struct model *model);

static uint64_t
position (const void *user, uint64_t customer_id, uint64_t service_id)
{
  const struct model *model = user;

  (void)service_id;
  return model->positions[customer_id];
}

static void
node_init (struct queue_node *node, uint64_t customer,
           enum catalog_class class, uint64_t arrival_ns)
{
  memset (node, 0, sizeof *node);
  node->customer_id = customer;
  node->request_class = class;
  node->arrival_ns = arrival_ns;
  node->deadline_ns = UINT64_MAX;
}

/* The customer with the smallest position is served first; its requests are
   ordered quick, durable, disposable. */
static void
test_order (void)
{
  static struct model model;
  struct queue_node nodes[4];
  struct queue *queue = queue_new ();

  model.positions[1] = 10;
  model.positions[2] = 20;
  node_init (&nodes[0], 1, CATALOG_DISPOSABLE, 1);
  node_init (&nodes[1], 1, CATALOG_DURABLE, 2);
  node_init (&nodes[2], 1, CATALOG_QUICK, 3);
  node_init (&nodes[3], 2, CATALOG_QUICK, 0);
  queue_push (queue, &nodes[3]);
  queue_push (queue, &nodes[0]);
  queue_push (queue, &nodes[1]);
  queue_push (queue, &nodes[2]);
  CU_ASSERT_PTR_EQUAL (queue_next (queue, 0, position, &model), &nodes[2]);
  queue_remove (queue, &nodes[2]);
  CU_ASSERT_PTR_EQUAL (queue_next (queue, 0, position, &model), &nodes[1]);
  model.positions[1] = 30;
  CU_ASSERT_PTR_EQUAL (queue_next (queue, 0, position, &model), &nodes[3]);
  queue_remove (queue, &nodes[3]);
  queue_remove (queue, &nodes[1]);
  CU_ASSERT_PTR_EQUAL (queue_next (queue, 0, position, &model), &nodes[0]);
  queue_remove (queue, &nodes[0]);
  CU_ASSERT_PTR_NULL (queue_next (queue, 0, position, &model));
  queue_free (queue);
}

static void
test_push_front (void)
{
  static struct model model;
  struct queue_node nodes[2];
  struct queue *queue = queue_new ();

  node_init (&nodes[0], 1, CATALOG_DURABLE, 1);
  node_init (&nodes[1], 1, CATALOG_DURABLE, 2);
  queue_push (queue, &nodes[1]);
  queue_push_front (queue, &nodes[0]);
  CU_ASSERT_PTR_EQUAL (queue_next (queue, 0, position, &model), &nodes[0]);
  queue_free (queue);
}

static void
push_random_node (struct queue *queue, struct model *model,
                  struct queue_node *node)
{
  node_init (node, rng_below (&model->rng, CUSTOMERS),
             (enum catalog_class)rng_below (&model->rng, CATALOG_CLASS_MAX),
             rng_below (&model->rng, TIME_LIMIT));
  node->service_id = rng_below (&model->rng, SERVICES);
  node->profile_id = node->customer_id;
  node->deadline_ns = rng_below (&model->rng, TIME_LIMIT);
  CU_ASSERT_EQUAL_FATAL (queue_push (queue, node), 0);
}

static void
check_next (struct queue *queue, const struct model *model, uint64_t service)
{
  const struct queue_node *next = queue_next (queue, service, position, model);
  size_t i;

  for (i = 0; i < NODES; i++)
    {
      const struct queue_node *node = &model->nodes[i];

      if (!node->queued || node->service_id != service)
        continue;
      CU_ASSERT_FATAL (next != NULL
                       && model->positions[next->customer_id]
                              <= model->positions[node->customer_id]);
    }
}

static void
check_counts (struct queue *queue, const struct model *model)
{
  const struct queue_node *expired = queue_expired (queue, TIME_LIMIT);
  const struct queue_node *newest = queue_newest_disposable (queue);
  uint32_t total = 0;
  uint32_t first_customer = 0;
  size_t i;

  for (i = 0; i < NODES; i++)
    {
      const struct queue_node *node = &model->nodes[i];

      if (!node->queued)
        continue;
      total++;
      first_customer += node->customer_id == 0 ? 1 : 0;
      CU_ASSERT_FATAL (expired != NULL
                       && expired->deadline_ns <= node->deadline_ns);
      if (node->request_class == CATALOG_DISPOSABLE)
        CU_ASSERT_FATAL (newest != NULL
                         && newest->arrival_ns >= node->arrival_ns);
    }
  if (expired != NULL && expired->deadline_ns > 0)
    CU_ASSERT_PTR_NULL (queue_expired (queue, expired->deadline_ns - 1));
  CU_ASSERT_EQUAL_FATAL (queue_total (queue), total);
  CU_ASSERT_EQUAL_FATAL (queue_waiting_customer (queue, 0), first_customer);
  CU_ASSERT_EQUAL_FATAL (queue_waiting_profile (queue, 0), first_customer);
}

/* Removes all requests as they expire; they must come in order of deadline. */
static void
check_expiry_order (struct queue *queue)
{
  struct queue_node *node;
  uint64_t last_ns = 0;

  while ((node = queue_expired (queue, TIME_LIMIT)) != NULL)
    {
      CU_ASSERT_FATAL (node->deadline_ns >= last_ns);
      last_ns = node->deadline_ns;
      queue_remove (queue, node);
    }
  CU_ASSERT_EQUAL (queue_total (queue), 0);
}

static void
test_random_operations (void)
{
  static struct model model;
  struct queue *queue = queue_new ();
  int step;

  rng_init (&model.rng, SEED);
  for (step = 0; step < STEPS; step++)
    {
      struct queue_node *node = &model.nodes[rng_below (&model.rng, NODES)];

      if (node->queued)
        queue_remove (queue, node);
      else
        push_random_node (queue, &model, node);
      model.positions[rng_below (&model.rng, CUSTOMERS)]
          = rng_below (&model.rng, TIME_LIMIT);
      if (step % 4 == 0)
        {
          check_next (queue, &model, rng_below (&model.rng, SERVICES));
          check_counts (queue, &model);
        }
    }
  check_expiry_order (queue);
  queue_free (queue);
}

static const struct suite_test tests[] = {
  { "order within and between customers", test_order },
  { "a retried request is queued first", test_push_front },
  { "random operations agree with a linear scan", test_random_operations },
};

SUITE_MAIN ("test_queue", tests)
