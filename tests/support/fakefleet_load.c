/**
 * @file fakefleet_load.c
 * Customers, upstreams and measurements of the fake fleet.
 */
#include "support/fakefleet_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS        UINT64_C (1000000) /* nanoseconds */
#define REPORT_MS 20 /* between reports of a response's progress */

static void submit (struct fakefleet *world, uint32_t customer, uint32_t node);
static int add_cost (void *user, struct ledger_origin origin,
                     const struct ledger_entry *entry);
static bool waits (const struct fakefleet *world, uint32_t customer);

static void
submit (struct fakefleet *world, uint32_t customer, uint32_t node)
{
  const struct fake_customer *who = &world->customers[customer];
  struct dispatch_event event = { .kind = DISPATCH_ARRIVED };
  struct fake_request *request;
  uint32_t tokens = who->tokens;
  char name[CATALOG_NAME_SIZE];

  world->requests = realloc (world->requests, (world->request_count + 1)
                                                  * sizeof *world->requests);
  if (who->tokens_large != 0 && world->request_count % 2 == 1)
    tokens = who->tokens_large;
  tokens -= (uint32_t)rng_below (&world->rng, tokens / FAKE_JITTER + 1);
  request = &world->requests[world->request_count++];
  *request = (struct fake_request){ customer, node, tokens };
  snprintf (name, sizeof name, "c%u", customer);
  event.request = world->request_count;
  event.u.arrival.customer_id = catalog_id (name);
  event.u.arrival.profile_id = catalog_id (name);
  event.u.arrival.input_tokens = FAKE_INPUT_TOKENS;
  world->outstanding[customer][node]++;
  fake_handle (&world->nodes[node], &event);
}

void
fake_keep_outstanding (struct fakefleet *world)
{
  uint32_t c;
  uint32_t n;

  for (c = 0; c < world->config.customer_count; c++)
    {
      const struct fake_customer *who = &world->customers[c];

      if (who->pulse_ms != 0 && world->now_ns / MS / who->pulse_ms % 2 == 1)
        continue;
      for (n = 0; n < world->config.node_count; n++)
        while (world->nodes[n].up && !world->nodes[n].paused
               && (who->nodes >> n & 1) != 0
               && world->outstanding[c][n] < who->outstanding)
          submit (world, c, n);
    }
}

void
fake_progress (struct fakefleet *world)
{
  size_t i = 0;

  while (i < world->job_count)
    {
      struct fake_job job = world->jobs[i];
      const struct fake_request *request = &world->requests[job.handle - 1];
      struct fake_node *node = &world->nodes[request->node];
      struct dispatch_event event = { .kind = DISPATCH_PROGRESS,
                                      .request = job.handle,
                                      .attempt = job.attempt };

      if (job.done_ms < job.total_ms)
        {
          double cost = FAKE_INPUT_TOKENS + FAKE_TOKEN_COST * request->tokens;

          job.done_ms++;
          world->jobs[i] = job;
          world->service[request->customer]
              += cost / job.total_ms
                 / world->customers[request->customer].weight;
        }
      event.u.progress.output_tokens
          = (uint64_t)request->tokens * job.done_ms / job.total_ms;
      i++;
      if (node->paused)
        continue;
      if (job.done_ms == job.total_ms)
        {
          event.kind = DISPATCH_COMPLETED;
          world->settled[request->customer]
              += FAKE_INPUT_TOKENS + FAKE_TOKEN_COST * request->tokens;
          world->jobs[--i] = world->jobs[--world->job_count];
        }
      if (job.done_ms == job.total_ms
          || (job.done_ms > 0 && job.done_ms % REPORT_MS == 0))
        fake_handle (node, &event);
    }
}

static bool
waits (const struct fakefleet *world, uint32_t customer)
{
  char name[CATALOG_NAME_SIZE];
  struct dispatch_demand demands[FAKE_CUSTOMERS_MAX];
  uint32_t n;
  size_t i;

  snprintf (name, sizeof name, "c%u", customer);
  for (n = 0; n < world->config.node_count; n++)
    {
      const struct fake_node *node = &world->nodes[n];
      size_t count = node->up ? dispatch_list_demands (node->dispatch, demands,
                                                       FAKE_CUSTOMERS_MAX)
                              : 0;

      for (i = 0; i < count; i++)
        if (demands[i].customer_id == catalog_id (name)
            && demands[i].waiting > 0)
          return true;
    }
  return false;
}

void
fake_sample (struct fakefleet *world)
{
  uint32_t running[FAKE_UPSTREAMS_MAX] = { 0 };
  bool waiting = false;
  size_t i;
  uint32_t c;
  uint32_t d;
  uint32_t u;

  for (c = 0; c < world->config.customer_count; c++)
    {
      bool here = waits (world, c);

      waiting = waiting || here;
      if (!here)
        world->served_ns[c] = world->now_ns;
      if (world->now_ns - world->served_ns[c] > world->longest_wait_ns[c])
        world->longest_wait_ns[c] = world->now_ns - world->served_ns[c];
      for (d = 0; d < c; d++)
        {
          double apart = world->service[c] - world->service[d];

          world->low[c][d]
              = apart < world->low[c][d] ? apart : world->low[c][d];
          world->high[c][d]
              = apart > world->high[c][d] ? apart : world->high[c][d];
        }
    }
  for (i = 0; i < world->job_count; i++)
    if (world->jobs[i].done_ms < world->jobs[i].total_ms)
      running[world->jobs[i].upstream]++;
  for (u = 0; u < world->config.upstream_count; u++)
    {
      uint32_t slots = world->upstreams[u].slots;

      if (running[u] > slots && running[u] - slots > world->oversubscribed)
        world->oversubscribed = running[u] - slots;
      world->slot_ms += waiting ? slots : 0;
      world->busy_ms += !waiting ? 0 : running[u] < slots ? running[u] : slots;
    }
}

void
fake_measure (struct fakefleet *world)
{
  uint32_t c;

  memset (world->service, 0, sizeof world->service);
  memset (world->low, 0, sizeof world->low);
  memset (world->high, 0, sizeof world->high);
  memset (world->longest_wait_ns, 0, sizeof world->longest_wait_ns);
  for (c = 0; c < FAKE_CUSTOMERS_MAX; c++)
    world->served_ns[c] = world->now_ns;
  world->slot_ms = 0;
  world->busy_ms = 0;
  world->oversubscribed = 0;
}

double
fake_gap (const struct fakefleet *world)
{
  double gap = 0;
  uint32_t c;
  uint32_t d;

  for (c = 0; c < world->config.customer_count; c++)
    for (d = 0; d < c; d++)
      if (world->customers[c].pulse_ms == 0
          && world->customers[d].pulse_ms == 0
          && world->high[c][d] - world->low[c][d] > gap)
        gap = world->high[c][d] - world->low[c][d];
  return gap;
}

double
fake_utilisation (const struct fakefleet *world)
{
  return world->slot_ms == 0 ? 1
                             : (double)world->busy_ms / (double)world->slot_ms;
}

uint32_t
fake_capacity (const struct fakefleet *world, uint32_t upstream)
{
  uint32_t capacity = 0;
  uint32_t n;

  for (n = 0; n < world->config.node_count; n++)
    {
      const struct slots_entry *entry
          = world->nodes[n].up ? slots_find (&world->nodes[n].slots,
                                             world->upstreams[upstream].id)
                               : NULL;

      if (entry != NULL && world->now_ns < entry->expiry_ns)
        capacity
            += entry->capacity > entry->busy ? entry->capacity : entry->busy;
    }
  return capacity;
}

uint32_t
fake_busy (const struct fakefleet *world, uint32_t node)
{
  const struct slots_entry *entry = world->nodes[node].slots.entries;
  uint32_t busy = 0;

  for (; entry != NULL; entry = entry->hh.next)
    busy += entry->busy;
  return busy;
}

static int
add_cost (void *user, struct ledger_origin origin,
          const struct ledger_entry *entry)
{
  struct ledger_entry *sum = user;

  (void)origin;
  if (entry->customer_id == sum->customer_id)
    sum->charged += entry->charged - entry->refunded;
  return 0;
}

uint64_t
fake_accounted (const struct fakefleet *world, uint32_t node,
                uint32_t customer)
{
  struct ledger_entry sum = { 0 };
  char name[CATALOG_NAME_SIZE];

  snprintf (name, sizeof name, "c%u", customer);
  sum.customer_id = catalog_id (name);
  ledger_visit (world->nodes[node].ledger, add_cost, &sum);
  return sum.charged * world->customers[customer].weight / LEDGER_SCALE;
}
