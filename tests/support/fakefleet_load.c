/**
 * @file fakefleet_load.c
 * Customers, upstreams and measurements of the fake fleet.
 */
#include "support/fakefleet_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NS_PER_MS UINT64_C (1000000)
#define REPORT_MS 20 /* between progress events of a response */

static void submit_request (struct fakefleet *sim, uint32_t customer,
                            uint32_t instance);
static int add_net_cost (void *user, struct ledger_origin origin,
                         const struct ledger_entry *entry);
static bool has_waiting_requests (const struct fakefleet *sim,
                                  uint32_t customer);

static void
submit_request (struct fakefleet *sim, uint32_t customer, uint32_t instance)
{
  const struct fake_customer *load = &sim->customers[customer];
  struct dispatch_event event = { .kind = DISPATCH_ARRIVED };
  struct fakefleet_request *request;
  uint32_t tokens = load->tokens;
  char name[CATALOG_NAME_SIZE];

  sim->requests = realloc (sim->requests,
                           (sim->request_count + 1) * sizeof *sim->requests);
  if (load->tokens_large != 0 && sim->request_count % 2 == 1)
    tokens = load->tokens_large;
  tokens -= (uint32_t)rng_below (&sim->rng, tokens / FAKE_JITTER + 1);
  request = &sim->requests[sim->request_count++];
  *request = (struct fakefleet_request){ customer, instance, tokens };
  snprintf (name, sizeof name, "c%u", customer);
  event.request = sim->request_count;
  event.u.arrival.customer_id = catalog_id (name);
  event.u.arrival.profile_id = catalog_id (name);
  event.u.arrival.input_tokens = FAKE_INPUT_TOKENS;
  sim->outstanding[customer][instance]++;
  fakefleet_handle (&sim->nodes[instance], &event);
}

void
fakefleet_submit_requests (struct fakefleet *sim)
{
  uint32_t c;
  uint32_t n;

  for (c = 0; c < sim->config.customer_count; c++)
    {
      const struct fake_customer *load = &sim->customers[c];

      if (load->pulse_ms != 0
          && sim->now_ns / NS_PER_MS / load->pulse_ms % 2 == 1)
        continue;
      for (n = 0; n < sim->config.node_count; n++)
        while (sim->nodes[n].up && !sim->nodes[n].paused
               && (load->nodes >> n & 1) != 0
               && sim->outstanding[c][n] < load->outstanding)
          submit_request (sim, c, n);
    }
}

void
fakefleet_advance_attempts (struct fakefleet *sim)
{
  size_t i = 0;

  while (i < sim->job_count)
    {
      struct fakefleet_attempt attempt = sim->attempts[i];
      const struct fakefleet_request *request
          = &sim->requests[attempt.handle - 1];
      struct fake_node *instance = &sim->nodes[request->instance];
      struct dispatch_event event = { .kind = DISPATCH_PROGRESS,
                                      .request = attempt.handle,
                                      .attempt = attempt.number };

      if (attempt.done_ms < attempt.total_ms)
        {
          double cost = FAKE_INPUT_TOKENS + FAKE_TOKEN_COST * request->tokens;

          attempt.done_ms++;
          sim->attempts[i] = attempt;
          sim->service[request->customer]
              += cost / attempt.total_ms
                 / sim->customers[request->customer].weight;
        }
      event.u.progress.output_tokens
          = (uint64_t)request->tokens * attempt.done_ms / attempt.total_ms;
      i++;
      if (instance->paused)
        continue;
      if (attempt.done_ms == attempt.total_ms)
        {
          event.kind = DISPATCH_COMPLETED;
          sim->settled[request->customer]
              += FAKE_INPUT_TOKENS + FAKE_TOKEN_COST * request->tokens;
          sim->attempts[--i] = sim->attempts[--sim->job_count];
        }
      if (attempt.done_ms == attempt.total_ms
          || (attempt.done_ms > 0 && attempt.done_ms % REPORT_MS == 0))
        fakefleet_handle (instance, &event);
    }
}

static bool
has_waiting_requests (const struct fakefleet *sim, uint32_t customer)
{
  char name[CATALOG_NAME_SIZE];
  struct dispatch_demand demands[FAKE_CUSTOMERS_MAX];
  uint32_t n;
  size_t i;

  snprintf (name, sizeof name, "c%u", customer);
  for (n = 0; n < sim->config.node_count; n++)
    {
      const struct fake_node *instance = &sim->nodes[n];
      size_t count = instance->up ? dispatch_list_demands (
                         instance->dispatch, demands, FAKE_CUSTOMERS_MAX)
                                  : 0;

      for (i = 0; i < count; i++)
        if (demands[i].customer_id == catalog_id (name)
            && demands[i].waiting > 0)
          return true;
    }
  return false;
}

void
fakefleet_sample (struct fakefleet *sim)
{
  uint32_t running[FAKE_UPSTREAMS_MAX] = { 0 };
  bool waiting = false;
  size_t i;
  uint32_t c;
  uint32_t d;
  uint32_t u;

  for (c = 0; c < sim->config.customer_count; c++)
    {
      bool queued = has_waiting_requests (sim, c);

      waiting = waiting || queued;
      if (!queued)
        sim->last_service_ns[c] = sim->now_ns;
      if (sim->now_ns - sim->last_service_ns[c] > sim->longest_wait_ns[c])
        sim->longest_wait_ns[c] = sim->now_ns - sim->last_service_ns[c];
      for (d = 0; d < c; d++)
        {
          double difference = sim->service[c] - sim->service[d];

          sim->low[c][d]
              = difference < sim->low[c][d] ? difference : sim->low[c][d];
          sim->high[c][d]
              = difference > sim->high[c][d] ? difference : sim->high[c][d];
        }
    }
  for (i = 0; i < sim->job_count; i++)
    if (sim->attempts[i].done_ms < sim->attempts[i].total_ms)
      running[sim->attempts[i].upstream]++;
  for (u = 0; u < sim->config.upstream_count; u++)
    {
      uint32_t slots = sim->upstreams[u].slots;

      if (running[u] > slots && running[u] - slots > sim->oversubscribed)
        sim->oversubscribed = running[u] - slots;
      sim->available_slot_ms += waiting ? slots : 0;
      sim->busy_slot_ms += !waiting             ? 0
                           : running[u] < slots ? running[u]
                                                : slots;
    }
}

void
fake_measure (struct fakefleet *sim)
{
  uint32_t c;

  memset (sim->service, 0, sizeof sim->service);
  memset (sim->low, 0, sizeof sim->low);
  memset (sim->high, 0, sizeof sim->high);
  memset (sim->longest_wait_ns, 0, sizeof sim->longest_wait_ns);
  for (c = 0; c < FAKE_CUSTOMERS_MAX; c++)
    sim->last_service_ns[c] = sim->now_ns;
  sim->available_slot_ms = 0;
  sim->busy_slot_ms = 0;
  sim->oversubscribed = 0;
}

double
fake_gap (const struct fakefleet *sim)
{
  double gap = 0;
  uint32_t c;
  uint32_t d;

  for (c = 0; c < sim->config.customer_count; c++)
    for (d = 0; d < c; d++)
      if (sim->customers[c].pulse_ms == 0 && sim->customers[d].pulse_ms == 0
          && sim->high[c][d] - sim->low[c][d] > gap)
        gap = sim->high[c][d] - sim->low[c][d];
  return gap;
}

double
fake_utilisation (const struct fakefleet *sim)
{
  return sim->available_slot_ms == 0
             ? 1
             : (double)sim->busy_slot_ms / (double)sim->available_slot_ms;
}

uint32_t
fake_capacity (const struct fakefleet *sim, uint32_t upstream)
{
  uint32_t capacity = 0;
  uint32_t n;

  for (n = 0; n < sim->config.node_count; n++)
    {
      const struct slots_entry *entry
          = sim->nodes[n].up ? slots_find (&sim->nodes[n].slots,
                                           sim->upstreams[upstream].id)
                             : NULL;

      if (entry != NULL && sim->now_ns < entry->expiry_ns)
        capacity
            += entry->capacity > entry->busy ? entry->capacity : entry->busy;
    }
  return capacity;
}

uint32_t
fake_busy (const struct fakefleet *sim, uint32_t instance)
{
  const struct slots_entry *entry = sim->nodes[instance].slots.entries;
  uint32_t busy = 0;

  for (; entry != NULL; entry = entry->hh.next)
    busy += entry->busy;
  return busy;
}

static int
add_net_cost (void *user, struct ledger_origin origin,
              const struct ledger_entry *entry)
{
  struct ledger_entry *sum = user;

  (void)origin;
  if (entry->customer_id == sum->customer_id)
    sum->charged += entry->charged - entry->refunded;
  return 0;
}

uint64_t
fake_accounted (const struct fakefleet *sim, uint32_t instance,
                uint32_t customer)
{
  struct ledger_entry sum = { 0 };
  char name[CATALOG_NAME_SIZE];

  snprintf (name, sizeof name, "c%u", customer);
  sum.customer_id = catalog_id (name);
  ledger_visit (sim->nodes[instance].ledger, add_net_cost, &sum);
  return sum.charged * sim->customers[customer].weight / LEDGER_SCALE;
}
